//! Health checks of servers whose responses arrive in pieces, or not at all.

#[path = "../src/probes.rs"]
mod probes;

use oatlever_fetch::AsyncIo;
use oatlever_standins::pieces::{response, serve, Pieces};
use probes::Probes;
use std::time::Duration;

/// Seconds that a server may be silent.
const PATIENCE: f64 = 1.0;

fn is_fine(bytes: String, pieces: Pieces) -> bool {
    let host = serve(bytes, pieces).unwrap();
    async_io::block_on(Probes::new(8).is_fine::<AsyncIo>(host, "/health".to_string(), PATIENCE))
}

/// A server was considered unhealthy while the body of its response, which is not used, was on its way.
#[test]
fn a_server_is_healthy_once_its_status_has_arrived() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n".to_string();
    assert!(is_fine(head, Pieces::ONE));
    assert!(is_fine(response("fine"), Pieces { count: 6, gap: Duration::from_millis(300) }));
}

#[test]
fn a_server_that_refuses_or_stops_within_its_status_is_not_healthy() {
    assert!(!is_fine(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\n".to_string(),
        Pieces::ONE
    ));
    assert!(!is_fine("HTTP/1.1 200 OK\r\n".to_string(), Pieces::ONE));
    assert!(!is_fine(String::new(), Pieces::ONE));
}
