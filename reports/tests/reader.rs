//! Scrapes by HTTP.

use futures_lite::future;
use oatlever_fetch::HttpUrl;
use oatlever_reports::{Exposition, ScrapeHandler, Target};
use oatlever_standins::pieces::{response, serve, Pieces};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

type Results = Rc<RefCell<Vec<Result<(), String>>>>;

struct Handler {
    host: SocketAddr,
    results: Results,
}

impl ScrapeHandler for Handler {
    fn targets_version(&self) -> u64 {
        1
    }

    fn targets(&self) -> BTreeMap<Target, HttpUrl> {
        BTreeMap::from([(Target::Asker(0), HttpUrl { host: self.host, path: "/metrics".to_string() })])
    }

    fn scraped(&self, _: Target, _: Instant, result: Result<Exposition, String>) {
        self.results.borrow_mut().push(result.map(drop));
    }
}

/// The result of the first scrape of a target.
fn first_scrape(bytes: String, pieces: Pieces) -> Result<(), String> {
    let results = Results::default();
    let handler = Handler { host: serve(bytes, pieces).unwrap(), results: results.clone() };
    let (period, timeout) = (1.0, 1.0);
    let run = oatlever_reports::run(handler, period, timeout, (1 << 16, 4));
    let endless = async {
        run.await;
        unreachable!("it never ends")
    };
    // Looks for a result after each step of the other future.
    let first = future::poll_fn(|_| results.borrow_mut().pop().map_or(Poll::Pending, Poll::Ready));
    async_io::block_on(future::or(endless, first))
}

/// Counters that took longer to arrive than the timeout were thrown away at every scrape.
#[test]
fn counters_in_pieces_are_read() {
    let text = "# TYPE proxy_queries counter\nproxy_queries_total{class=\"search\"} 7\n# EOF\n";
    let pieces = Pieces { count: 6, gap: Duration::from_millis(300) };
    assert_eq!(first_scrape(response(text), pieces), Ok(()));
}

#[test]
fn counters_that_stop_are_an_error() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n# TY".to_string();
    let bytes = cut.len();
    let error = first_scrape(cut, Pieces::ONE).unwrap_err();
    assert_eq!(error, format!("response silent for 1 s after {bytes} bytes"));
}
