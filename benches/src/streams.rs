//! Time from a table change to the last ACK on xDS streams. All proxies and the pilot share one thread, so the results
//! are upper bounds.

use crate::fleet::{memory, server};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use hyper::body::Bytes;
use oatlever::round::{Address, Writer};
use oatlever_identity::Peer;
use oatlever_tables::{AskerKind, DeliveryTracker, RoundInputs, Tables, View};
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
/// Number of servers per table.
const LINES: u16 = 40;
/// Number of servers whose weight a measured change sets.
const CHANGED_LINES: u16 = 10;
/// Number of measured changes per run.
const CHANGES: usize = 60;
/// Number of tables; the proxies are distributed among them.
const TABLES: u16 = 3;
/// Number of zones.
const ZONES: u8 = 3;
/// How long an answer may be in use, in seconds.
const ANSWER_LIFETIME: f64 = 1.5;
/// Number of changes that the tables' history keeps.
const MAX_HISTORY: usize = 10;
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of connections, and length of the listening socket's queue, as all proxies connect at once.
const MAX_CONNECTIONS: u16 = 4096;
/// Interval of checks for the last ACK: the resolution of the measured times.
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// The pilot's tables and the acknowledgements of the latest change.
struct State {
    tables: RefCell<Tables>,
    start: Instant,
    /// Version of the latest change.
    version: Cell<u64>,
    /// Number of proxies that have acknowledged it.
    acknowledged: Cell<usize>,
}

#[derive(Clone)]
struct Pilot(Rc<State>);

impl Backend for Pilot {
    fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }
    fn authorize(&self, node: &str, _: Option<&str>, _: Option<&Peer>) -> Result<u16, String> {
        node.parse().map_err(|_| format!("{node:?} is not a number"))
    }
    fn unix_time(&self) -> f64 {
        0.0
    }
    fn stream_opened(&self, asker: u16) {
        let mut tables = self.0.tables.borrow_mut();
        tables.begin_round(0.0, 1, RoundInputs::default());
        tables.bind(asker, asker % TABLES);
        tables.end_round();
    }
    fn stream_closed(&self, asker: u16) {
        self.0.tables.borrow_mut().disconnect(asker);
    }
    fn with_view<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R {
        see(self.0.tables.borrow().view(asker, class))
    }
    fn tables_version(&self) -> u64 {
        self.0.tables.borrow().version()
    }
    fn zone_of(&self, server: &Address) -> Option<String> {
        Some(format!("zone-{}", server.host[3] % ZONES))
    }
    fn acknowledged(&self, asker: u16, version: u64) {
        self.0.tables.borrow_mut().deliveries.acknowledge(asker, version);
        if version >= self.0.version.get() {
            self.0.acknowledged.set(self.0.acknowledged.get() + 1);
        }
    }
    fn rejected(&self, _: u16, _: u64, _: &str) {}
    fn load_reported(&self, _: u16, _: Vec<LoadReport>) {}
}

/// Runs a proxy, which acknowledges every response.
async fn run_proxy(
    n: u16,
    delta: bool,
    host: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
) -> Option<()> {
    let socket = Async::<TcpStream>::connect(host).await.ok()?;
    let (sender, receiver) = async_channel::unbounded::<Bytes>();
    let names: Vec<String> = CLASSES.iter().map(|name| name.to_string()).collect();
    let node = Some(Node { id: n.to_string(), ..Default::default() });
    let full_request = |node, nonce| {
        framed(&discovery::DiscoveryRequest {
            node,
            type_url: ENDPOINTS.into(),
            resource_names: names.clone(),
            response_nonce: nonce,
            ..Default::default()
        })
    };
    let delta_request = |node, names, nonce| {
        framed(&discovery::DeltaDiscoveryRequest {
            node,
            type_url: ENDPOINTS.into(),
            resource_names_subscribe: names,
            response_nonce: nonce,
            ..Default::default()
        })
    };
    let first = if delta {
        delta_request(node, names.clone(), String::new())
    } else {
        full_request(node, String::new())
    };
    sender.try_send(first).ok()?;
    let path = if delta { methods::DELTA_AGGREGATED_RESOURCES } else { methods::STREAM_AGGREGATED_RESOURCES };
    let (response, _connection) = call(socket, (host, path), receiver, &executor).await.ok()?;
    let mut reader = Reader::new(response.into_body(), MAX_MESSAGE_BYTES);
    loop {
        let ack = if delta {
            let response = reader.next::<discovery::DeltaDiscoveryResponse>().await.ok()??;
            delta_request(None, Vec::new(), response.nonce)
        } else {
            full_request(None, reader.next::<discovery::DiscoveryResponse>().await.ok()??.nonce)
        };
        sender.send(ack).await.ok()?;
    }
}

/// The results of a run. CPU time and memory include both the pilot and the proxies.
struct Results {
    /// Milliseconds from each change to the last ACK, sorted.
    times: Vec<f64>,
    /// Bytes per change and proxy.
    bytes: f64,
    /// CPU microseconds per push.
    cpu: f64,
    /// KiB per stream.
    memory: f64,
}

/// Returns the CPU time of this process in seconds.
fn cpu_time() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

async fn run(proxies: u16, delta: bool, executor: Rc<LocalExecutor<'static>>) -> Results {
    let kinds = vec![AskerKind::Stream; usize::from(proxies)];
    let deliveries = DeliveryTracker::new(&kinds, CLASSES.len(), ANSWER_LIFETIME, 0.0);
    let state = Rc::new(State {
        tables: RefCell::new(Tables::new(usize::from(proxies), CLASSES.len(), deliveries, MAX_HISTORY)),
        start: Instant::now(),
        version: Cell::new(u64::MAX),
        acknowledged: Cell::new(0),
    });
    let change_tables = |weight: f64| {
        let mut tables = state.tables.borrow_mut();
        tables.begin_round(0.0, 1, RoundInputs::default());
        for table in 0..TABLES {
            // The first change adds all servers.
            let changed = if weight > 1.0 { CHANGED_LINES } else { LINES };
            (0..changed).for_each(|n| tables.set_weight(table, server(n), weight + f64::from(n)));
        }
        tables.end_round();
        state.acknowledged.set(0);
        state.version.set(tables.version());
    };
    change_tables(1.0);
    let classes = CLASSES.iter().map(|name| Class { name: name.to_string(), at_most_once: false }).collect();
    let limits = Limits {
        response_timeout: 30.0,
        max_message_bytes: MAX_MESSAGE_BYTES,
        max_connections: usize::from(MAX_CONNECTIONS),
        report_period: 1.0,
    };
    let changed = Rc::new(Event::new());
    let shared = Server::new(Pilot(state.clone()), classes, limits, changed.clone(), 1, None);
    let listener = TcpListener::bind("127.0.0.1:0").expect("can't bind a loopback socket");
    rustix::net::listen(&listener, i32::from(MAX_CONNECTIONS)).expect("can't extend the listen queue");
    let host = listener.local_addr().expect("the listener has no address");
    // Spawned before memory is measured, so that what the executor allocates on its first spawn isn't attributed to
    // the streams.
    let mut tasks = vec![executor.spawn(async {})];
    let memory_before = memory();
    let serving = serve(listener, shared.clone(), executor.clone());
    tasks.push(executor.spawn(async move { drop(serving.await) }));
    for n in 0..proxies {
        let proxy = run_proxy(n, delta, host, executor.clone());
        tasks.push(executor.spawn(async move {
            proxy.await;
        }));
    }
    let all_acknowledged = |state: Rc<State>| async move {
        while state.acknowledged.get() < usize::from(proxies) {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    all_acknowledged(state.clone()).await;
    let memory = (memory() - memory_before) / f64::from(proxies);
    let (mut times, bytes) = (Vec::new(), shared.counts.borrow().bytes);
    let (pushes, cpu_before) = (shared.counts.borrow().pushes, cpu_time());
    for n in 0..CHANGES {
        let start = Instant::now();
        change_tables(2.0 + n as f64);
        changed.notify(usize::MAX);
        all_acknowledged(state.clone()).await;
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    let sent = (shared.counts.borrow().bytes - bytes) as f64;
    let cpu = (cpu_time() - cpu_before) * 1e6 / (shared.counts.borrow().pushes - pushes) as f64;
    times.sort_by(f64::total_cmp);
    Results { times, bytes: sent / CHANGES as f64 / f64::from(proxies), cpu, memory }
}

pub fn measure() {
    println!(
        "variant               proxies  change to last ACK, ms: median  99th   bytes per change and proxy   \
         us of CPU per push   KiB per stream"
    );
    for (delta, name) in [(false, "state of the world"), (true, "incremental")] {
        // The largest run comes first: later ones reuse freed memory, which would hide the growth.
        for proxies in [480, 120, 12] {
            let executor = Rc::new(LocalExecutor::new());
            let results = async_io::block_on(executor.run(run(proxies, delta, executor.clone())));
            let quantile = |q: f64| results.times[((results.times.len() - 1) as f64 * q) as usize];
            println!(
                "{name:20} {proxies:8} {:30.2} {:6.2} {:28.0} {:20.1} {:16.1}",
                quantile(0.5),
                quantile(0.99),
                results.bytes,
                results.cpu,
                results.memory
            );
        }
    }
}
