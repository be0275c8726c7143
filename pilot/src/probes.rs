//! Health checks of servers, so many at once.

use async_lock::Semaphore;
use oatlever_fetch as fetch;
use std::net::SocketAddr;

/// Bytes; the body says nothing that is used.
const MOST_BYTES: usize = 1 << 16;

pub struct Probes {
    turns: Semaphore,
}

impl Probes {
    pub fn new(at_once: usize) -> Self {
        Probes { turns: Semaphore::new(at_once) }
    }

    /// Whether a server answers 200 within `patience` seconds of its turn.
    pub async fn is_fine<N: fetch::Runtime>(&self, host: SocketAddr, path: String, patience: f64) -> bool {
        let _turn = self.turns.acquire().await;
        let got = fetch::get::<N>(&fetch::HttpUrl { host, path }, None, patience, MOST_BYTES).await;
        got.is_ok_and(|answer| answer.status == 200)
    }
}
