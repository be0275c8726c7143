//! From an order to the last ACK, with all proxies and the pilot on one thread: an upper bound.

use crate::fleet::server;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use hyper::body::Bytes;
use oatlever::round::{Address, Writer};
use oatlever_identity::Peer;
use oatlever_tables::{Kind, News, Pull, Tables, View};
use oatlever_xds::grpc::{framed, Reader};
use oatlever_xds::{call, methods, serve, Backend, Class, Limits, LoadReport, Server};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as discovery;

const CLASSES: [&str; 3] = ["search", "price", "reserve"];
const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const LINES: u16 = 40;
const CHANGES: usize = 60;

struct Book {
    tables: RefCell<Tables>,
    began: Instant,
    last: Cell<u64>,
    current: Cell<usize>,
}

#[derive(Clone)]
struct Pilot(Rc<Book>);

impl Backend for Pilot {
    fn now(&self) -> f64 {
        self.0.began.elapsed().as_secs_f64()
    }
    fn authorize(&self, node: &str, _: Option<&str>, _: Option<&Peer>) -> Result<u16, String> {
        node.parse().map_err(|_| format!("{node:?} is no number"))
    }
    fn unix_time(&self) -> f64 {
        0.0
    }
    fn stream_opened(&self, asker: u16) {
        let mut tables = self.0.tables.borrow_mut();
        tables.open(0.0, 1, News::default());
        tables.bind(asker, asker % 3);
        tables.close();
    }
    fn stream_closed(&self, asker: u16) {
        self.0.tables.borrow_mut().leave(asker);
    }
    fn with_view<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R {
        see(self.0.tables.borrow().held(asker, class))
    }
    fn tables_version(&self) -> u64 {
        self.0.tables.borrow().version()
    }
    fn zone_of(&self, server: &Address) -> Option<String> {
        Some(format!("zone-{}", server.host[3] % 3))
    }
    fn acknowledged(&self, asker: u16, version: u64) {
        self.0.tables.borrow_mut().pull.acknowledge(asker, version);
        if version >= self.0.last.get() {
            self.0.current.set(self.0.current.get() + 1);
        }
    }
    fn rejected(&self, _: u16, _: u64, _: &str) {}
    fn load_reported(&self, _: u16, _: Vec<LoadReport>) {}
}

/// One proxy: it takes all that it is sent.
async fn proxy(n: u16, delta: bool, host: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Option<()> {
    let socket = Async::<TcpStream>::connect(host).await.ok()?;
    let (sender, receiver) = async_channel::unbounded::<Bytes>();
    let names: Vec<String> = CLASSES.iter().map(|name| name.to_string()).collect();
    let node = Some(Node { id: n.to_string(), ..Default::default() });
    let state = |node, nonce| {
        framed(&discovery::DiscoveryRequest {
            node,
            type_url: ENDPOINTS.into(),
            resource_names: names.clone(),
            response_nonce: nonce,
            ..Default::default()
        })
    };
    let changes = |node, names, nonce| {
        framed(&discovery::DeltaDiscoveryRequest {
            node,
            type_url: ENDPOINTS.into(),
            resource_names_subscribe: names,
            response_nonce: nonce,
            ..Default::default()
        })
    };
    let first = if delta { changes(node, names.clone(), String::new()) } else { state(node, String::new()) };
    sender.try_send(first).ok()?;
    let path = if delta { methods::DELTA_AGGREGATED_RESOURCES } else { methods::STREAM_AGGREGATED_RESOURCES };
    let (response, _open) = call(socket, (host, path), receiver, &executor).await.ok()?;
    let mut reader = Reader::new(response.into_body(), 1 << 20);
    loop {
        let taken = if delta {
            let response = reader.next::<discovery::DeltaDiscoveryResponse>().await.ok()??;
            changes(None, Vec::new(), response.nonce)
        } else {
            state(None, reader.next::<discovery::DiscoveryResponse>().await.ok()??.nonce)
        };
        sender.send(taken).await.ok()?;
    }
}

/// What a run came to.
struct Found {
    /// ms from each order to the last ACK, in order of size.
    times: Vec<f64>,
    /// Bytes a change and proxy.
    bytes: f64,
    /// us of CPU a push, at both ends together.
    cpu: f64,
    /// KiB a stream, at both ends together.
    memory: f64,
}

/// A figure of this process's status, in KiB.
fn memory() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|figure| figure.parse().ok()).unwrap_or(0.0)
}

/// s of CPU that this process took so far.
fn cpu() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

async fn run(proxies: u16, delta: bool, executor: Rc<LocalExecutor<'static>>) -> Found {
    let pull = Pull::new(&vec![Kind::Stream; usize::from(proxies)], CLASSES.len(), 1.5, 0.0);
    let book = Rc::new(Book {
        tables: RefCell::new(Tables::new(usize::from(proxies), CLASSES.len(), pull, 10)),
        began: Instant::now(),
        last: Cell::new(u64::MAX),
        current: Cell::new(0),
    });
    let order = |weight: f64| {
        let mut tables = book.tables.borrow_mut();
        tables.open(0.0, 1, News::default());
        for table in 0..3 {
            let moved = if weight > 1.0 { 10 } else { LINES };
            (0..moved).for_each(|n| tables.set_weight(table, server(n), weight + f64::from(n)));
        }
        tables.close();
        book.current.set(0);
        book.last.set(tables.version());
    };
    order(1.0);
    let classes = CLASSES.iter().map(|name| Class { name: name.to_string(), at_most_once: false }).collect();
    let limits = Limits {
        response_timeout: 30.0,
        max_message_bytes: 1 << 20,
        max_connections: 4096,
        report_period: 1.0,
    };
    let changed = Rc::new(Event::new());
    let shared = Server::new(Pilot(book.clone()), classes, limits, changed.clone(), 1, None);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    rustix::net::listen(&listener, 4096).expect("a longer queue");
    let host = listener.local_addr().expect("an address");
    let mut tasks = vec![executor.spawn(async {})];
    let bare = memory();
    let serving = serve(listener, shared.clone(), executor.clone());
    tasks.push(executor.spawn(async move { drop(serving.await) }));
    for n in 0..proxies {
        let dialled = proxy(n, delta, host, executor.clone());
        tasks.push(executor.spawn(async move {
            dialled.await;
        }));
    }
    let all = |book: Rc<Book>| async move {
        while book.current.get() < usize::from(proxies) {
            Timer::after(Duration::from_micros(200)).await;
        }
    };
    all(book.clone()).await;
    let memory = (memory() - bare) / f64::from(proxies);
    let (mut times, bytes) = (Vec::new(), shared.counts.borrow().bytes);
    let (pushes, begun_at) = (shared.counts.borrow().pushes, cpu());
    for n in 0..CHANGES {
        let begun = Instant::now();
        order(2.0 + n as f64);
        changed.notify(usize::MAX);
        all(book.clone()).await;
        times.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    let sent = (shared.counts.borrow().bytes - bytes) as f64;
    let cpu = (cpu() - begun_at) * 1e6 / (shared.counts.borrow().pushes - pushes) as f64;
    times.sort_by(f64::total_cmp);
    Found { times, bytes: sent / CHANGES as f64 / f64::from(proxies), cpu, memory }
}

pub fn measure() {
    println!(
        "variant               proxies  order to last ACK, ms: median  99th   bytes a change and proxy   \
         us of CPU a push   KiB a stream"
    );
    for (delta, name) in [(false, "state of the world"), (true, "incremental")] {
        // The largest first, as memory that was let go is used again and would not be seen to grow.
        for proxies in [480, 120, 12] {
            let executor = Rc::new(LocalExecutor::new());
            let found = async_io::block_on(executor.run(run(proxies, delta, executor.clone())));
            let at = |part: f64| found.times[((found.times.len() - 1) as f64 * part) as usize];
            println!(
                "{name:20} {proxies:8} {:29.2} {:6.2} {:26.0} {:18.1} {:14.1}",
                at(0.5),
                at(0.99),
                found.bytes,
                found.cpu,
                found.memory
            );
        }
    }
}
