//! An xDS server on loopback with a test backend, and a client for it.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, AsyncRead, AsyncWrite};
use hyper::body::{Bytes, Incoming};
use oatlever::round::{Address, Writer};
use oatlever_identity::{Grants, Keys, Node as GrantedNode, Peer};
use oatlever_tables::{Kind as AskerKind, News, Pull, Tables, View};
use oatlever_xds::grpc::{framed, Reader};
use oatlever_xds::{call, methods, serve, Backend, Class, Limits, LoadReport, Server};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};

/// s; the response timeout of most tests.
pub const RESPONSE_TIMEOUT: f64 = 0.6;
/// Limit of every wait, reached only in a failing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The state of the test backend: tables, and a record of calls.
pub struct State {
    grants: Grants,
    pub tables: RefCell<Tables>,
    started: Instant,
    /// Askers whose streams were opened (true) or closed (false), in order.
    pub stream_events: RefCell<Vec<(u16, bool)>>,
    /// Askers and the versions that they acknowledged.
    pub acknowledged: RefCell<Vec<(u16, u64)>>,
    /// Reasons of rejections.
    pub rejections: RefCell<Vec<String>>,
    pub load_reports: RefCell<Vec<LoadReport>>,
    pub rounds: Cell<u64>,
    pub changed: Rc<Event>,
}

#[derive(Clone)]
pub struct TestBackend(pub Rc<State>);

impl Backend for TestBackend {
    fn now(&self) -> f64 {
        self.0.started.elapsed().as_secs_f64()
    }
    fn authorize(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String> {
        let asker = node.strip_prefix("relay-").and_then(|n| n.parse().ok()).filter(|n| *n < 500);
        let asker: u16 = asker.ok_or_else(|| format!("no asker has the node {node:?}"))?;
        let granted = GrantedNode { name: node, zone: if asker.is_multiple_of(2) { "even" } else { "odd" } };
        self.0
            .grants
            .admit(peer, granted, zone, self.unix_time())
            .map(|()| asker)
            .map_err(|denied| denied.to_string())
    }
    fn unix_time(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
    }
    fn stream_opened(&self, asker: u16) {
        self.0.stream_events.borrow_mut().push((asker, true));
        self.change_tables(|tables| tables.bind(asker, asker % 2));
    }
    fn stream_closed(&self, asker: u16) {
        self.0.stream_events.borrow_mut().push((asker, false));
        self.0.tables.borrow_mut().leave(asker);
    }
    fn with_view<R>(&self, asker: u16, class: u16, read: impl FnOnce(Option<View>) -> R) -> R {
        read(self.0.tables.borrow().held(asker, class))
    }
    fn tables_version(&self) -> u64 {
        self.0.tables.borrow().version()
    }
    fn zone_of(&self, server: &Address) -> Option<String> {
        Some(format!("zone-{}", server.host[3] % 2))
    }
    fn acknowledged(&self, asker: u16, version: u64) {
        self.0.acknowledged.borrow_mut().push((asker, version));
        self.0.tables.borrow_mut().pull.acknowledge(asker, version);
    }
    fn rejected(&self, asker: u16, version: u64, reason: &str) {
        self.0.rejections.borrow_mut().push(reason.to_string());
        self.0.tables.borrow_mut().pull.refuse(asker, version);
    }
    fn load_reported(&self, _: u16, reports: Vec<LoadReport>) {
        self.0.load_reports.borrow_mut().extend(reports);
    }
}

pub fn server_address(n: u8) -> Address {
    Address { host: [10, 0, 0, n], port: 7000 }
}

impl TestBackend {
    /// Changes the tables in a round of their own and notifies the server.
    pub fn change_tables(&self, write: impl FnOnce(&mut Tables)) {
        let (mut tables, round) = (self.0.tables.borrow_mut(), self.0.rounds.get() + 1);
        self.0.rounds.set(round);
        tables.open(self.now(), round, News::default());
        write(&mut tables);
        tables.mark(round, false);
        tables.close();
        drop(tables);
        self.0.changed.notify(usize::MAX);
    }

    /// Waits until a condition holds; `what` names it in the panic message after a timeout.
    pub async fn wait_until(&self, what: &str, mut done: impl FnMut(&State) -> bool) {
        let started = Instant::now();
        while !done(&self.0) {
            assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

/// A running server and the means to use it.
pub struct Fixture {
    pub backend: TestBackend,
    pub host: SocketAddr,
    pub server: Rc<Server<TestBackend>>,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// Runs a test against a server with two tables of two servers each.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<Fixture>) -> F) {
    run_with(RESPONSE_TIMEOUT, None, Grants::default(), test);
}

/// Like [`run`], with a response timeout as long as any step of a test may take.
pub fn run_with_long_response_timeout<F: Future<Output = ()>>(test: impl FnOnce(Rc<Fixture>) -> F) {
    run_with(TEST_TIMEOUT.as_secs_f64(), None, Grants::default(), test);
}

/// Like [`run`], over TLS and with grants.
pub fn run_with_tls<F: Future<Output = ()>>(
    keys: Option<Keys>,
    grants: Grants,
    test: impl FnOnce(Rc<Fixture>) -> F,
) {
    run_with(RESPONSE_TIMEOUT, keys, grants, test);
}

fn run_with<F: Future<Output = ()>>(
    response_timeout: f64,
    keys: Option<Keys>,
    grants: Grants,
    test: impl FnOnce(Rc<Fixture>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let changed = Rc::new(Event::new());
    let tables = Tables::new(500, 2, Pull::new(&[AskerKind::Stream; 500], 2, 1.5, 0.0), 10);
    let backend = TestBackend(Rc::new(State {
        grants,
        tables: RefCell::new(tables),
        started: Instant::now(),
        stream_events: RefCell::default(),
        acknowledged: RefCell::default(),
        rejections: RefCell::default(),
        load_reports: RefCell::default(),
        rounds: Cell::new(0),
        changed: changed.clone(),
    }));
    backend.change_tables(|tables| {
        for table in 0..2u8 {
            tables.set_weight(u16::from(table), server_address(2 * table), 1.0);
            tables.set_weight(u16::from(table), server_address(2 * table + 1), 3.0);
            tables.set_level(u16::from(table), 2, 0.75, 1);
        }
    });
    let class = |name: &str, at_most_once| Class { name: name.into(), at_most_once };
    let limits =
        Limits { response_timeout, max_message_bytes: 1 << 16, max_connections: 600, report_period: 0.1 };
    let classes = vec![class("search", false), class("reserve", true)];
    let server = Server::new(backend.clone(), classes, limits, changed, 9, keys);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 4096).unwrap();
    let host = listener.local_addr().unwrap();
    let fixture = Rc::new(Fixture { backend, host, server: server.clone(), executor: executor.clone() });
    async_io::block_on(executor.clone().run(async move {
        let serving = executor.spawn(serve(listener, server, executor.clone()));
        test(fixture).await;
        drop(serving);
    }));
}

/// A gRPC call with requests still to be sent.
pub struct Call {
    pub sender: async_channel::Sender<Bytes>,
    pub reader: Reader<Incoming>,
    /// The status, if the response had it in its headers.
    pub status: Option<u16>,
}

impl Call {
    pub async fn start(fixture: &Fixture, path: &str, first: Bytes) -> Call {
        let socket = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        Call::over(socket, fixture, path, first).await.unwrap()
    }

    /// Makes a call on an open connection. Fails if the server does not accept it.
    pub async fn over(
        socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
        fixture: &Fixture,
        path: &str,
        first: Bytes,
    ) -> io::Result<Call> {
        let (sender, receiver) = async_channel::unbounded();
        sender.try_send(first).unwrap();
        let (response, connection) = call(socket, (fixture.host, path), receiver, &fixture.executor).await?;
        connection.detach();
        let status = response.headers().get("grpc-status").map(|s| s.to_str().unwrap().parse().unwrap());
        Ok(Call { sender, reader: Reader::new(response.into_body(), 1 << 20), status })
    }

    pub async fn discover(fixture: &Fixture, node: &str, type_url: &str, names: &[&str]) -> Call {
        Call::start(fixture, methods::STREAM_AGGREGATED_RESOURCES, request(node, type_url, names, "")).await
    }

    pub async fn next(&mut self) -> DiscoveryResponse {
        let timed_out = async {
            Timer::after(TEST_TIMEOUT).await;
            panic!("no response in time");
        };
        future::or(async { self.reader.next().await.unwrap().expect("a response") }, timed_out).await
    }

    /// Receives and acknowledges the next response.
    pub async fn accept(&mut self, names: &[&str]) -> DiscoveryResponse {
        let response = self.next().await;
        let ack = request("", &response.type_url, names, &response.nonce);
        self.sender.send(ack).await.unwrap();
        response
    }

    /// Whether the stream has ended, normally or with an error, instead of having another message.
    pub async fn ended(&mut self) -> bool {
        matches!(self.reader.next::<DiscoveryResponse>().await, Ok(None) | Err(_))
    }
}

pub fn request(node: &str, type_url: &str, names: &[&str], nonce: &str) -> Bytes {
    framed(&DiscoveryRequest {
        node: (!node.is_empty()).then(|| Node { id: node.into(), ..Default::default() }),
        type_url: type_url.into(),
        resource_names: names.iter().map(|name| name.to_string()).collect(),
        response_nonce: nonce.into(),
        ..Default::default()
    })
}

pub fn type_url(name: &str) -> String {
    format!("type.googleapis.com/envoy.config.{name}")
}

pub fn endpoints_url() -> String {
    type_url("endpoint.v3.ClusterLoadAssignment")
}

/// Decodes the first resource of a response.
pub fn decode_first<M: Message + Default>(response: &DiscoveryResponse) -> M {
    M::decode(&response.resources[0].value[..]).unwrap()
}
