//! The client that watches the platform's list, with a service that controls when each byte is sent.

use oatlever_discovery::watch::{Watch, WatchTimeouts};
use oatlever_reactor::block_on;
use oatlever_standins::pieces::{self, read_request};
use std::cell::RefCell;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longer than any step takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The service may wait longer than any step takes, so that only the limit on silence can end a request before.
const TIMEOUTS: WatchTimeouts = WatchTimeouts { wait: 60.0, silence: 0.2, total: 30.0 };

fn response(version: u64, full: bool) -> Vec<u8> {
    pieces::response(&format!(r#"{{"version":{version},"full":{full},"servers":[]}}"#)).into_bytes()
}

struct Service {
    listener: TcpListener,
    watch: RefCell<Watch>,
}

impl Service {
    fn new() -> Service {
        Service { listener: TcpListener::bind("127.0.0.1:0").unwrap(), watch: RefCell::default() }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Polls while `serve` runs in another thread.
    fn poll<T: Send>(
        &self,
        after: Option<u64>,
        timeouts: WatchTimeouts,
        serve: impl FnOnce(&TcpListener) -> T + Send,
    ) -> (Result<u64, String>, T) {
        let address = self.address();
        let listener = &self.listener;
        std::thread::scope(|scope| {
            let served = scope.spawn(move || serve(listener));
            let mut watch = self.watch.borrow_mut();
            let polled = block_on(watch.poll(address, after, &[], timeouts)).unwrap();
            (polled.map(|document| document.version).map_err(|e| e.message), served.join().unwrap())
        })
    }
}

/// Accepts a connection and reads a request.
fn accept_request(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    read_request(&mut BufReader::new(&stream)).unwrap();
    stream
}

/// A response that stops at any byte is noticed by its silence, long before the service's wait ends, and its
/// request is still awaited: the next poll takes the rest of it.
#[test]
fn a_response_that_pauses_is_reported_and_then_read() {
    let whole = response(7, false);
    for cut in [1, 20, whole.len() - 1] {
        let service = Service::new();
        let started = Instant::now();
        let (polled, first) = service.poll(Some(6), TIMEOUTS, |listener| {
            let mut stream = accept_request(listener);
            stream.write_all(&whole[..cut]).unwrap();
            stream
        });
        let error = polled.unwrap_err();
        assert!(error.ends_with(&format!("response silent for 0.2 s after {cut} bytes")), "{error}");
        assert!(started.elapsed() < TIMEOUT, "{:?}", started.elapsed());
        let (polled, _second) = service.poll(Some(6), TIMEOUTS, |listener| {
            let second = accept_request(listener);
            (&first).write_all(&whole[cut..]).unwrap();
            second
        });
        assert_eq!(polled, Ok(7));
    }
}

/// After the document of an overdue request, its connection is used again and the later request is given up.
#[test]
fn the_connection_of_an_overdue_response_is_kept() {
    let service = Service::new();
    let (polled, first) = service.poll(None, TIMEOUTS, accept_request);
    assert!(polled.unwrap_err().ends_with("no response within 0.2 s"));
    let (polled, mut second) = service.poll(None, TIMEOUTS, |listener| {
        let second = accept_request(listener);
        (&first).write_all(&response(3, true)).unwrap();
        second
    });
    assert_eq!(polled, Ok(3));
    second.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(second.read(&mut [0; 1]).unwrap(), 0, "the second connection is closed");
    let (polled, ()) = service.poll(Some(3), TIMEOUTS, |_| {
        read_request(&mut BufReader::new(&first)).unwrap();
        (&first).write_all(&response(4, false)).unwrap();
    });
    assert_eq!(polled, Ok(4));
}

/// The latest response may be the first to arrive.
#[test]
fn a_later_request_gives_up_the_overdue_ones() {
    let service = Service::new();
    let (polled, mut first) = service.poll(None, TIMEOUTS, accept_request);
    polled.unwrap_err();
    let (polled, _second) = service.poll(None, TIMEOUTS, |listener| {
        let second = accept_request(listener);
        (&second).write_all(&response(3, true)).unwrap();
        second
    });
    assert_eq!(polled, Ok(3));
    first.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(first.read(&mut [0; 1]).unwrap(), 0, "the first connection is closed");
}

/// A service that never stops sending must not hold a poll for ever, and one that never responds must not take up
/// more and more connections.
#[test]
fn endless_responses_and_silent_connections_are_bounded() {
    let service = Service::new();
    let short = WatchTimeouts { wait: 0.0, silence: 5.0, total: 0.3 };
    let (polled, dripping) = service.poll(None, short, |listener| {
        let stream = accept_request(listener);
        (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n\r\n").unwrap();
        let mut drip = stream.try_clone().unwrap();
        std::thread::spawn(move || while drip.write_all(b" ").is_ok() {});
        stream
    });
    let error = polled.unwrap_err();
    assert!(error.contains("response incomplete after 0.3 s"), "{error}");
    drop(dripping);

    let quick = WatchTimeouts { silence: 0.05, ..TIMEOUTS };
    let silent = (0..12).map(|_| service.poll(None, quick, accept_request).1).collect::<Vec<_>>();
    let is_open = |mut stream: &TcpStream| {
        stream.set_nonblocking(true).unwrap();
        !matches!(stream.read(&mut [0; 1]), Ok(0))
    };
    assert_eq!(silent.iter().filter(|stream| is_open(stream)).count(), 4);
}

/// After a move, the response of the old host is dropped, however late it arrives.
#[test]
fn an_overdue_response_of_another_host_is_dropped() {
    let (old, new) = (Service::new(), Service::new());
    let (polled, first) = old.poll(None, TIMEOUTS, accept_request);
    polled.unwrap_err();
    new.watch.swap(&old.watch);
    let (polled, _second) = new.poll(None, TIMEOUTS, |listener| {
        // The connection is closed by now, or will be.
        let _ = (&first).write_all(&response(9, true));
        let second = accept_request(listener);
        (&second).write_all(&response(3, true)).unwrap();
        second
    });
    assert_eq!(polled, Ok(3));
}
