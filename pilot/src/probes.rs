//! HTTP health checks of servers, with a limit on concurrent ones.

use async_lock::Semaphore;
use oatlever_fetch as fetch;
use std::net::SocketAddr;

pub struct Probes {
    permits: Semaphore,
}

impl Probes {
    pub fn new(at_once: usize) -> Self {
        Probes { permits: Semaphore::new(at_once) }
    }

    /// Whether a server answers with status 200, without falling silent for `patience` seconds. Waits for a free slot
    /// first.
    pub async fn is_fine<N: fetch::Runtime>(&self, host: SocketAddr, path: String, patience: f64) -> bool {
        let _permit = self.permits.acquire().await;
        let timeouts = fetch::Timeouts::from_silence(patience);
        fetch::status::<N>(&fetch::HttpUrl { host, path }, None, timeouts)
            .await
            .is_ok_and(|status| status == 200)
    }
}
