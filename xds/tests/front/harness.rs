//! A front on loopback with books of its own, and calls to it.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, AsyncRead, AsyncWrite};
use hyper::body::{Bytes, Incoming};
use oatlever::round::{Address, Writer};
use oatlever_identity::{Grants, Node as Known, Peer, TlsKeys};
use oatlever_tables::{Kind as AskerKind, News, Pull, Tables, View};
use oatlever_xds::grpc::{framed, Reader};
use oatlever_xds::{call, methods, serve, Class, Desk, Limits, Load, Shared};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};

pub const PATIENCE: f64 = 0.6;
/// Reached only where something is wrong.
pub const LONG: Duration = Duration::from_secs(20);

pub struct State {
    grants: Grants,
    pub tables: RefCell<Tables>,
    began: Instant,
    pub up: RefCell<Vec<(u16, bool)>>,
    pub told: RefCell<Vec<(u16, u64)>>,
    pub refused: RefCell<Vec<String>>,
    pub loads: RefCell<Vec<Load>>,
    pub rounds: Cell<u64>,
    pub changed: Rc<Event>,
}

#[derive(Clone)]
pub struct Book(pub Rc<State>);

impl Desk for Book {
    fn now(&self) -> f64 {
        self.0.began.elapsed().as_secs_f64()
    }
    fn admit(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String> {
        let asker = node.strip_prefix("relay-").and_then(|n| n.parse().ok()).filter(|n| *n < 500);
        let asker: u16 = asker.ok_or_else(|| format!("no asker has the node {node:?}"))?;
        let known = Known { name: node, zone: if asker.is_multiple_of(2) { "even" } else { "odd" } };
        self.0
            .grants
            .authorize(peer, known, zone, self.unix())
            .map(|()| asker)
            .map_err(|denied| denied.to_string())
    }
    fn unix(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
    }
    fn arrive(&self, asker: u16) {
        self.0.up.borrow_mut().push((asker, true));
        self.order(|tables| tables.bind(asker, asker % 2));
    }
    fn depart(&self, asker: u16) {
        self.0.up.borrow_mut().push((asker, false));
        self.0.tables.borrow_mut().leave(asker);
    }
    fn look<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R {
        see(self.0.tables.borrow().held(asker, class))
    }
    fn version(&self) -> u64 {
        self.0.tables.borrow().version()
    }
    fn zone_of(&self, server: &Address) -> Option<String> {
        Some(format!("zone-{}", server.host[3] % 2))
    }
    fn acknowledged(&self, asker: u16, version: u64) {
        self.0.told.borrow_mut().push((asker, version));
        self.0.tables.borrow_mut().pull.acknowledge(asker, version);
    }
    fn refused(&self, asker: u16, version: u64, why: &str) {
        self.0.refused.borrow_mut().push(why.to_string());
        self.0.tables.borrow_mut().pull.refuse(asker, version);
    }
    fn load(&self, _: u16, loads: Vec<Load>) {
        self.0.loads.borrow_mut().extend(loads);
    }
}

pub fn server(n: u8) -> Address {
    Address { host: [10, 0, 0, n], port: 7000 }
}

impl Book {
    pub fn order(&self, write: impl FnOnce(&mut Tables)) {
        let (mut tables, round) = (self.0.tables.borrow_mut(), self.0.rounds.get() + 1);
        self.0.rounds.set(round);
        tables.open(self.now(), round, News::default());
        write(&mut tables);
        tables.mark(round, false);
        tables.close();
        drop(tables);
        self.0.changed.notify(usize::MAX);
    }

    pub async fn until(&self, what: &str, mut done: impl FnMut(&State) -> bool) {
        let begun = Instant::now();
        while !done(&self.0) {
            assert!(begun.elapsed() < LONG, "never: {what}");
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

pub struct Play {
    pub book: Book,
    pub host: SocketAddr,
    pub shared: Rc<Shared<Book>>,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// A front with two tables of two servers each, and what is to be done with it.
pub fn play<F: Future<Output = ()>>(with: impl FnOnce(Rc<Play>) -> F) {
    play_for(PATIENCE, None, Grants::default(), with);
}

/// The same where proxies may owe an answer for as long as a step of a test may take.
pub fn play_patiently<F: Future<Output = ()>>(with: impl FnOnce(Rc<Play>) -> F) {
    play_for(LONG.as_secs_f64(), None, Grants::default(), with);
}

/// The same over TLS, with grants.
pub fn play_with<F: Future<Output = ()>>(
    keys: Option<TlsKeys>,
    grants: Grants,
    with: impl FnOnce(Rc<Play>) -> F,
) {
    play_for(PATIENCE, keys, grants, with);
}

fn play_for<F: Future<Output = ()>>(
    patience: f64,
    keys: Option<TlsKeys>,
    grants: Grants,
    with: impl FnOnce(Rc<Play>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let changed = Rc::new(Event::new());
    let tables = Tables::new(500, 2, Pull::new(&[AskerKind::Stream; 500], 2, 1.5, 0.0), 10);
    let book = Book(Rc::new(State {
        grants,
        tables: RefCell::new(tables),
        began: Instant::now(),
        up: RefCell::default(),
        told: RefCell::default(),
        refused: RefCell::default(),
        loads: RefCell::default(),
        rounds: Cell::new(0),
        changed: changed.clone(),
    }));
    book.order(|tables| {
        for table in 0..2u8 {
            tables.weigh(u16::from(table), server(2 * table), 1.0);
            tables.weigh(u16::from(table), server(2 * table + 1), 3.0);
            tables.admit(u16::from(table), 2, 0.75, 1);
        }
    });
    let class = |name: &str, once| Class { name: name.into(), once };
    let limits = Limits { patience, most_bytes: 1 << 16, connections: 600, report_period: 0.1 };
    let classes = vec![class("search", false), class("reserve", true)];
    let shared = Shared::new(book.clone(), classes, limits, changed, 9, keys);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 4096).unwrap();
    let host = listener.local_addr().unwrap();
    let play = Rc::new(Play { book, host, shared: shared.clone(), executor: executor.clone() });
    async_io::block_on(executor.clone().run(async move {
        let serving = executor.spawn(serve(listener, shared, executor.clone()));
        with(play).await;
        drop(serving);
    }));
}

pub struct Call {
    pub sender: async_channel::Sender<Bytes>,
    pub reader: Reader<Incoming>,
    pub status: Option<u16>,
}

impl Call {
    pub async fn start(play: &Play, path: &str, first: Bytes) -> Call {
        let socket = Async::<TcpStream>::connect(play.host).await.unwrap();
        Call::over(socket, play, path, first).await.unwrap()
    }

    /// A call on a connection made before. Errors: the other end does not go on with it.
    pub async fn over(
        socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
        play: &Play,
        path: &str,
        first: Bytes,
    ) -> io::Result<Call> {
        let (sender, receiver) = async_channel::unbounded();
        sender.try_send(first).unwrap();
        let (response, open) = call(socket, (play.host, path), receiver, &play.executor).await?;
        open.detach();
        let status = response.headers().get("grpc-status").map(|s| s.to_str().unwrap().parse().unwrap());
        Ok(Call { sender, reader: Reader::new(response.into_body(), 1 << 20), status })
    }

    pub async fn discover(play: &Play, node: &str, type_url: &str, names: &[&str]) -> Call {
        Call::start(play, methods::STATE, request(node, type_url, names, "")).await
    }

    pub async fn next(&mut self) -> DiscoveryResponse {
        let late = async {
            Timer::after(LONG).await;
            panic!("no response came");
        };
        future::or(async { self.reader.next().await.unwrap().expect("a response") }, late).await
    }

    /// The next response, taken.
    pub async fn take(&mut self, names: &[&str]) -> DiscoveryResponse {
        let response = self.next().await;
        let taken = request("", &response.type_url, names, &response.nonce);
        self.sender.send(taken).await.unwrap();
        response
    }

    /// Whether the stream has ended: no further message, or broken.
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

pub fn url(kind: &str) -> String {
    format!("type.googleapis.com/envoy.config.{kind}")
}

pub fn endpoints() -> String {
    url("endpoint.v3.ClusterLoadAssignment")
}

pub fn decode<M: Message + Default>(response: &DiscoveryResponse) -> M {
    M::decode(&response.resources[0].value[..]).unwrap()
}
