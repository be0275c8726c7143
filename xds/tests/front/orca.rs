//! Servers that report their load, fall silent, refuse, and leave.

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
const LONG: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Known {
    servers: RefCell<BTreeMap<Address, SocketAddrV4>>,
    heard: RefCell<BTreeMap<Address, Vec<f64>>>,
}

#[derive(Clone, Default)]
struct Backend(Rc<Known>);

impl ReportHandler for Backend {
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4> {
        self.0.servers.borrow().clone()
    }
    fn set_in_flight(&self, server: Address, queries: f64) {
        self.0.heard.borrow_mut().entry(server).or_default().push(queries);
    }
}

/// Reports 1, 2, 3 in flight, then a figure that can be none, then nothing more; `open` counts connections.
async fn serve(listener: TcpListener, open: Rc<Cell<usize>>, executor: Rc<LocalExecutor<'static>>) {
    let listener = Async::<TcpListener>::try_from(listener).unwrap();
    loop {
        let (socket, _): (Async<TcpStream>, _) = listener.accept().await.unwrap();
        let (open, of) = (open.clone(), executor.clone());
        let talk = async move {
            open.set(open.get() + 1);
            let service = service_fn(|request: hyper::Request<Incoming>| async {
                assert_eq!(request.uri().path(), METHOD);
                let asked: Request = Reader::new(request.into_body(), 1000).next().await.unwrap().unwrap();
                assert_eq!(asked.report_interval.unwrap().nanos, 100_000_000);
                let report = |queries| {
                    let named_metrics = [("in_flight".to_string(), queries)].into();
                    Ok::<_, Infallible>(Frame::data(framed(&Report { named_metrics, ..Report::default() })))
                };
                let reports = stream::iter([1.0, 2.0, 3.0, f64::NAN].map(report)).chain(stream::pending());
                Ok::<_, Infallible>(hyper::Response::new(StreamBody::new(reports)))
            });
            let builder = hyper::server::conn::http2::Builder::new(HyperExecutor(of));
            let _ = builder.serve_connection(FuturesIo::new(socket), service).await;
            open.set(open.get() - 1);
        };
        executor.spawn(talk).detach();
    }
}

#[test]
fn reports_are_heard_for_as_long_as_a_server_is_named() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(host) = listener.local_addr().unwrap() else { panic!() };
        let (open, desk, changed) = (Rc::new(Cell::new(0)), Backend::default(), Rc::new(Event::new()));
        let server = |n: u8| Address { host: [10, 0, 0, n], port: 7000 };
        // One reports; one has nobody at its port; one takes the connection and says nothing.
        let mute = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(silent) = mute.local_addr().unwrap() else { panic!() };
        let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let SocketAddr::V4(nobody) = nobody else { panic!() };
        *desk.0.servers.borrow_mut() = [(server(1), host), (server(2), nobody), (server(3), silent)].into();
        let _serving = executor.spawn(serve(listener, open.clone(), executor.clone()));
        let _running = executor.spawn(run(desk.clone(), INTERVAL, changed.clone(), executor.clone()));
        let until = async |what: &str, done: &dyn Fn() -> bool| {
            let begun = Instant::now();
            while !done() {
                assert!(begun.elapsed() < LONG, "never: {what}");
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let heard = |n| desk.0.heard.borrow().get(&server(n)).cloned().unwrap_or_default();
        until("three reports", &|| heard(1) == [1.0, 2.0, 3.0]).await;
        // It has fallen silent: it is dialled again, and the old connection is not kept.
        until("three more", &|| heard(1).len() == 6).await;
        until("one connection", &|| open.get() == 1).await;
        desk.0.servers.borrow_mut().remove(&server(1));
        changed.notify(usize::MAX);
        until("none", &|| open.get() == 0).await;
        assert!(heard(2).is_empty() && heard(3).is_empty());
        future::yield_now().await;
    }));
}
