//! HTTP health checks of servers, with a limit on concurrent ones.

use async_lock::Semaphore;
use oatlever_fetch as fetch;
use std::net::SocketAddr;

/// Largest response, in bytes; its body is not used.
const MAX_RESPONSE_BYTES: usize = 1 << 16;

pub struct Probes {
    permits: Semaphore,
}

impl Probes {
    pub fn new(at_once: usize) -> Self {
        Probes { permits: Semaphore::new(at_once) }
    }

    /// Whether a server answers with status 200 within `patience` seconds from the start of its check, which waits
    /// for a free slot.
    pub async fn is_fine<N: fetch::Runtime>(&self, host: SocketAddr, path: String, patience: f64) -> bool {
        let _permit = self.permits.acquire().await;
        let response = fetch::get::<N>(
            &fetch::HttpUrl { host, path },
            None,
            fetch::Timeouts::from_total(patience),
            MAX_RESPONSE_BYTES,
        )
        .await;
        response.is_ok_and(|answer| answer.status == 200)
    }
}
