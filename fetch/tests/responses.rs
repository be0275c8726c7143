//! Responses that arrive in pieces, stop, or never end.

use oatlever_fetch::{get, status, AsyncIo, Error, HttpUrl, Timeouts};
use oatlever_standins::pieces::{response, serve, Pieces};
use std::net::SocketAddr;
use std::time::Duration;

/// Allowed silence, in seconds: several times the pauses between pieces here.
const SILENCE: f64 = 1.0;
const SLOW: Pieces = Pieces { count: 6, gap: Duration::from_millis(300) };
const MAX_BYTES: usize = 1 << 16;

fn url(host: SocketAddr) -> HttpUrl {
    HttpUrl { host, path: "/".to_string() }
}

fn get_from(host: SocketAddr, timeouts: Timeouts) -> Result<String, Error> {
    let answer = async_io::block_on(get::<AsyncIo>(&url(host), None, timeouts, MAX_BYTES))?;
    Ok(String::from_utf8(answer.body).unwrap())
}

#[test]
fn a_response_may_take_longer_than_a_silence() {
    let host = serve(response("a body"), SLOW).unwrap();
    assert_eq!(get_from(host, Timeouts::from_silence(SILENCE)).unwrap(), "a body");
    let error = get_from(host, Timeouts::from_total(SILENCE)).unwrap_err();
    assert!(matches!(error, Error::TooSlow { limit: SILENCE, received: 1.. }), "{error}");
}

/// Each stage of an exchange may be the last: connecting, the head, and the body.
#[test]
fn silence_at_any_stage_is_noticed() {
    let whole = response("a body");
    for cut in [0, 9, whole.len() - 1] {
        let host = serve(whole[..cut].to_string(), Pieces::ONE).unwrap();
        let error = get_from(host, Timeouts::from_silence(0.2)).unwrap_err();
        assert!(matches!(error, Error::Silent { limit: 0.2, received } if received == cut), "{error}");
    }
}

#[test]
fn a_response_that_keeps_arriving_is_limited_in_time_and_size() {
    let endless = response(&"x".repeat(MAX_BYTES));
    let drip = Pieces { count: endless.len(), gap: Duration::from_millis(1) };
    let host = serve(endless, drip).unwrap();
    let error = get_from(host, Timeouts { total: 0.5, ..Timeouts::from_silence(20.0) }).unwrap_err();
    assert!(matches!(error, Error::TooSlow { limit: 0.5, .. }), "{error}");
    let host = serve(response(&"x".repeat(MAX_BYTES + 1)), Pieces::ONE).unwrap();
    let error = get_from(host, Timeouts::from_silence(20.0)).unwrap_err();
    assert!(matches!(error, Error::TooLarge(MAX_BYTES)), "{error}");
}

/// A healthy server was taken for a failed one while the body of its answer, which nobody uses, was on its way.
#[test]
fn a_status_does_not_wait_for_the_body() {
    let host = serve("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n".to_string(), Pieces::ONE).unwrap();
    let answered = async_io::block_on(status::<AsyncIo>(&url(host), None, Timeouts::from_silence(SILENCE)));
    assert_eq!(answered.unwrap(), 200);
}
