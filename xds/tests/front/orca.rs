//! Servers that report their load, hang, refuse connections, and are removed.

use crate::pieces::SlowWriter;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, stream, StreamExt};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use oatlever::round::Address;
use oatlever_xds::grpc::{framed, Reader};
use oatlever_xds::orca::{run, Report, ReportHandler, Request, METHOD};
use oatlever_xds::HyperExecutor;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const INTERVAL: f64 = 0.1;
/// Limit of every wait, reached only in a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    servers: RefCell<BTreeMap<Address, SocketAddrV4>>,
    /// The reported numbers of queries in flight, in order.
    reported: RefCell<BTreeMap<Address, Vec<f64>>>,
}

#[derive(Clone, Default)]
struct TestHandler(Rc<State>);

impl ReportHandler for TestHandler {
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4> {
        self.0.servers.borrow().clone()
    }
    fn set_in_flight(&self, server: Address, queries: f64) {
        self.0.reported.borrow_mut().entry(server).or_default().push(queries);
    }
}

/// Sends one report in pieces over 1.5 times as long as a stream may be silent, and then nothing.
async fn serve_slowly(listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let listener = Async::<TcpListener>::try_from(listener).unwrap();
    loop {
        let (socket, _): (Async<TcpStream>, _) = listener.accept().await.unwrap();
        let hyper_executor = HyperExecutor(executor.clone());
        // A report has over 12 pieces, its headers included.
        let socket = SlowWriter::new(socket, 8, Duration::from_millis(50));
        let connection = async move {
            let service = service_fn(|_: hyper::Request<Incoming>| async {
                let named_metrics = [("in_flight".to_string(), 7.0)].into();
                let report = framed(&Report { named_metrics, ..Report::default() });
                let reports = stream::once(Ok::<_, Infallible>(Frame::data(report))).chain(stream::pending());
                Ok::<_, Infallible>(hyper::Response::new(StreamBody::new(reports)))
            });
            let builder = hyper::server::conn::http2::Builder::new(hyper_executor);
            let _ = builder.serve_connection(FuturesIo::new(socket), service).await;
        };
        executor.spawn(connection).detach();
    }
}

/// Reports 1, 2 and 3 queries in flight, then an invalid number, and then nothing; `open` counts connections.
async fn serve(listener: TcpListener, open: Rc<Cell<usize>>, executor: Rc<LocalExecutor<'static>>) {
    let listener = Async::<TcpListener>::try_from(listener).unwrap();
    loop {
        let (socket, _): (Async<TcpStream>, _) = listener.accept().await.unwrap();
        let (open, hyper_executor) = (open.clone(), HyperExecutor(executor.clone()));
        let connection = async move {
            open.set(open.get() + 1);
            let service = service_fn(|request: hyper::Request<Incoming>| async {
                assert_eq!(request.uri().path(), METHOD);
                let request: Request = Reader::new(request.into_body(), 1000).next().await.unwrap().unwrap();
                assert_eq!(request.report_interval.unwrap().nanos, 100_000_000);
                let report = |queries| {
                    let named_metrics = [("in_flight".to_string(), queries)].into();
                    Ok::<_, Infallible>(Frame::data(framed(&Report { named_metrics, ..Report::default() })))
                };
                let reports = stream::iter([1.0, 2.0, 3.0, f64::NAN].map(report)).chain(stream::pending());
                Ok::<_, Infallible>(hyper::Response::new(StreamBody::new(reports)))
            });
            let builder = hyper::server::conn::http2::Builder::new(hyper_executor);
            let _ = builder.serve_connection(FuturesIo::new(socket), service).await;
            open.set(open.get() - 1);
        };
        executor.spawn(connection).detach();
    }
}

#[test]
fn reports_are_read_as_long_as_a_server_is_listed() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(host) = listener.local_addr().unwrap() else { panic!() };
        let (open, handler, changed) = (Rc::new(Cell::new(0)), TestHandler::default(), Rc::new(Event::new()));
        let server = |n: u8| Address { host: [10, 0, 0, n], port: 7000 };
        // One server reports, one refuses connections, and one accepts them but sends nothing.
        let silent_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(silent) = silent_listener.local_addr().unwrap() else { panic!() };
        let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let SocketAddr::V4(refusing) = refusing else { panic!() };
        *handler.0.servers.borrow_mut() =
            [(server(1), host), (server(2), refusing), (server(3), silent)].into();
        let _serving = executor.spawn(serve(listener, open.clone(), executor.clone()));
        let _running = executor.spawn(run(handler.clone(), INTERVAL, changed.clone(), executor.clone()));
        let wait_until = async |what: &str, done: &dyn Fn() -> bool| {
            let started = Instant::now();
            while !done() {
                assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let reported = |n| handler.0.reported.borrow().get(&server(n)).cloned().unwrap_or_default();
        wait_until("three reports", &|| reported(1) == [1.0, 2.0, 3.0]).await;
        // After the timeout it is connected to again, and the old connection is closed.
        wait_until("three more", &|| reported(1).len() == 6).await;
        wait_until("one connection", &|| open.get() == 1).await;
        handler.0.servers.borrow_mut().remove(&server(1));
        changed.notify(usize::MAX);
        wait_until("no connection", &|| open.get() == 0).await;
        assert!(reported(2).is_empty() && reported(3).is_empty());
        future::yield_now().await;
    }));
}

/// A stream whose report took longer to arrive than a stream may be silent was closed, and opened again, for ever.
#[test]
fn a_report_in_pieces_is_read() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(host) = listener.local_addr().unwrap() else { panic!() };
        let (handler, changed) = (TestHandler::default(), Rc::new(Event::new()));
        let server = Address { host: [10, 0, 0, 1], port: 7000 };
        *handler.0.servers.borrow_mut() = [(server, host)].into();
        let _serving = executor.spawn(serve_slowly(listener, executor.clone()));
        let _running = executor.spawn(run(handler.clone(), INTERVAL, changed, executor.clone()));
        let started = Instant::now();
        while handler.0.reported.borrow().is_empty() {
            assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting for a report");
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(handler.0.reported.borrow()[&server], [7.0]);
    }));
}
