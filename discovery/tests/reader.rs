//! The poll of documents by HTTP.

use futures_lite::future;
use oatlever_discovery::{poll, Source};
use oatlever_standins::pieces::{response, serve, Pieces};
use std::cell::RefCell;
use std::task::Poll;
use std::time::Duration;

/// Polls a source until its first result: the number of servers.
fn first_result(bytes: String, pieces: Pieces) -> Result<usize, String> {
    let host = serve(bytes, pieces).unwrap();
    let source = Source::parse(&format!("http://{host}/targets")).unwrap();
    let (period, timeout) = (1.0, 1.0);
    let result = RefCell::new(None);
    let sink = |read: Result<(oatlever_discovery::Document, _), String>| {
        *result.borrow_mut() = Some(read.map(|(document, _)| document.servers.len()));
    };
    let polled = poll(source, vec!["north".to_string()], (period, timeout), 1 << 16, sink);
    let endless = async {
        polled.await;
        unreachable!("it never ends")
    };
    // Looks for a result after each step of the other future.
    let first = future::poll_fn(|_| result.borrow_mut().take().map_or(Poll::Pending, Poll::Ready));
    async_io::block_on(future::or(endless, first))
}

/// A document that took longer to arrive than the timeout was thrown away and requested again for ever.
#[test]
fn a_document_in_pieces_is_read() {
    let document = r#"[{"targets": ["10.0.0.1:7000"], "labels": {"zone": "north"}}]"#;
    let pieces = Pieces { count: 6, gap: Duration::from_millis(300) };
    assert_eq!(first_result(response(document), pieces), Ok(1));
}

#[test]
fn a_document_that_stops_is_an_error() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[".to_string();
    let bytes = cut.len();
    let error = first_result(cut, Pieces::ONE).unwrap_err();
    assert_eq!(error, format!("response silent for 1 s after {bytes} bytes"));
}
