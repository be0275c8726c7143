//! Servers with cores, a queue, cold starts that can fail under overload, and metrics. Each serves HTTP/1.1 on its own
//! address.

use crate::record::Event;
use crate::web;
use crate::world::World;
use async_executor::Task;
use async_io::Timer;
use async_lock::Semaphore;
use prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram};
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of queries at a server, per core.
const MAX_QUERIES_PER_CORE: usize = 20;

pub type Labels = Vec<(String, String)>;

pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// A histogram without buckets: only count and sum.
pub fn empty_histogram() -> Histogram {
    Histogram::new([])
}

pub struct Server {
    pub host: Ipv4Addr,
    pub zone: u8,
    pub started: Cell<f64>,
    /// Unix time of a cold start, as service discovery lists it; 0 after a warm start.
    pub started_unix: Cell<f64>,
    /// Number of starts so far.
    pub starts: Cell<u32>,
    pub running: Cell<bool>,
    pub draining: Cell<bool>,
    /// It doesn't respond.
    pub hung: Cell<bool>,
    /// Multiple of the processing time.
    pub slowdown: Cell<f64>,
    /// It fails every query immediately.
    pub failing: Cell<bool>,
    /// Half of its answers are lost.
    pub losing_answers: Cell<bool>,
    cold: Cell<bool>,
    cores: RefCell<Rc<Semaphore>>,
    in_flight: Cell<usize>,
    /// Times and work of recent queries while the server is cold.
    arrivals: RefCell<VecDeque<(f64, f64)>>,
    tasks: RefCell<Vec<Task<()>>>,
    counters: RefCell<Counters>,
}

struct Counters {
    registry: Registry,
    queries: Family<Labels, Counter>,
    failed: Family<Labels, Counter>,
    answers: Family<Labels, Histogram, fn() -> Histogram>,
    in_flight: Gauge,
}

impl Counters {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("server");
        let (queries, failed, in_flight) = Default::default();
        let answers = Family::new_with_constructor(empty_histogram as fn() -> Histogram);
        registry.register("queries", "Queries, by class and client", Family::clone(&queries));
        registry.register("failed", "Failed queries, by client", Family::clone(&failed));
        registry.register("answer_seconds", "Response time, by client", Family::clone(&answers));
        registry.register("in_flight", "Queries in progress or queued", Gauge::clone(&in_flight));
        Counters { registry, queries, failed, answers, in_flight }
    }
}

impl Server {
    pub fn new(host: Ipv4Addr, zone: u8, cores: usize) -> Self {
        Server {
            host,
            zone,
            started: Cell::new(0.0),
            started_unix: Cell::new(0.0),
            starts: Cell::new(0),
            running: Cell::new(false),
            draining: Cell::new(false),
            hung: Cell::new(false),
            slowdown: Cell::new(1.0),
            failing: Cell::new(false),
            losing_answers: Cell::new(false),
            cold: Cell::new(false),
            cores: RefCell::new(Rc::new(Semaphore::new(cores))),
            in_flight: Cell::new(0),
            arrivals: RefCell::default(),
            tasks: RefCell::default(),
            counters: RefCell::new(Counters::new()),
        }
    }

    /// Share of the full capacity that the server has now.
    fn capacity_share(&self, world: &World) -> f64 {
        let (share, age) = (world.script.cold_share, world.now() - self.started.get());
        match self.cold.get() {
            true => share + (1.0 - share) * (age / world.script.warm_within).clamp(0.0, 1.0),
            false => 1.0,
        }
    }

    pub fn start(self: &Rc<Self>, world: &Rc<World>, cold: bool) {
        if self.running.replace(true) {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64());
        self.cold.set(cold);
        self.started.set(world.now());
        self.started_unix.set(if cold { unix } else { 0.0 });
        self.draining.set(false);
        self.hung.set(false);
        self.in_flight.set(0);
        self.arrivals.borrow_mut().clear();
        *self.cores.borrow_mut() = Rc::new(Semaphore::new(world.script.cores));
        *self.counters.borrow_mut() = Counters::new();
        self.starts.set(self.starts.get() + 1);
        world.recorder.record(Event::Started { server: self.host, cold, start: self.starts.get() });
        let (server, shared) = (self.clone(), world.clone());
        let host = SocketAddr::from((self.host, crate::script::SERVICE_PORT));
        let serve = web::serve(host, world.executor.clone(), move |path, source| {
            server.clone().respond(shared.clone(), path, source)
        });
        self.tasks.borrow_mut().push(world.executor.spawn(serve));
    }

    /// Stops the server: connections are closed and running queries are lost.
    pub fn stop(&self, world: &World) {
        if self.running.replace(false) {
            world.recorder.record(Event::Stopped { server: self.host });
            drop(self.tasks.take());
        }
    }

    async fn respond(self: Rc<Self>, world: Rc<World>, path: String, source: SocketAddr) -> (u16, String) {
        if path == "/metrics" {
            if world.faults.borrow().scrapes_hang {
                futures_lite::future::pending::<()>().await;
            }
            return (200, web::metrics(&self.counters.borrow().registry));
        }
        if self.hung.get() {
            futures_lite::future::pending::<()>().await;
        }
        if path == "/health" {
            return (200, String::new());
        }
        // The path is `/class/query`.
        let mut parts = path.trim_start_matches('/').split('/');
        let class = parts.next().and_then(|name| world.script.classes.iter().position(|c| c.name == name));
        let query = parts.next().and_then(|text| text.parse().ok());
        let (Some(class), Some(query), IpAddr::V4(asker)) = (class, query, source.ip()) else {
            return (404, String::new());
        };
        self.process(&world, class, query, asker).await
    }

    /// Processes a query; returns the HTTP status and body.
    async fn process(&self, world: &World, class: usize, query: u64, asker: Ipv4Addr) -> (u16, String) {
        let (start, client) = (world.now(), asker.to_string());
        let work = world.script.classes[class].work * (0.5 + world.random());
        let number = class as u8;
        world.recorder.record(Event::Arrival { asker, server: self.host, class: number, query, work });
        let client_labels = labels(&[("client", &client)]);
        {
            let counters = self.counters.borrow();
            let with_class = labels(&[("class", &world.script.classes[class].name), ("client", &client)]);
            counters.queries.get_or_create(&with_class).inc();
        }
        let failed = |status: u16| {
            self.counters.borrow().failed.get_or_create(&client_labels).inc();
            (status, String::new())
        };
        if self.is_overloaded_cold(world, work) {
            // It stops responding until it is restarted.
            world.recorder.record(Event::Fell { server: self.host });
            self.hung.set(true);
            return failed(500);
        }
        if self.failing.get() {
            return failed(500);
        }
        if self.draining.get() || self.in_flight.get() >= MAX_QUERIES_PER_CORE * world.script.cores {
            // Askers retry after a 503, as the query has not run.
            return failed(503);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        self.counters.borrow().in_flight.set(self.in_flight.get() as i64);
        let cores = self.cores.borrow().clone();
        let core = cores.acquire().await;
        world.recorder.record(Event::Ran { server: self.host, class: number, query });
        let time = work * self.slowdown.get() / self.capacity_share(world);
        Timer::after(Duration::from_secs_f64(time)).await;
        drop(core);
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        {
            let counters = self.counters.borrow();
            counters.in_flight.set(self.in_flight.get() as i64);
            counters.answers.get_or_create(&client_labels).observe(world.now() - start);
        }
        if self.losing_answers.get() && world.random() < 0.5 {
            futures_lite::future::pending::<()>().await;
        }
        (200, "done".to_string())
    }

    /// Adds the work of a query; returns whether the server is cold and now fails under overload.
    fn is_overloaded_cold(&self, world: &World, work: f64) -> bool {
        let (script, now) = (&world.script, world.now());
        if !self.cold.get() || now - self.started.get() >= script.warm_within {
            return false;
        }
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.push_back((now, work));
        arrivals.retain(|(at, _)| now - at <= script.fall_within);
        let received: f64 = arrivals.iter().map(|(_, work)| work).sum();
        let capacity = self.capacity_share(world) * script.cores as f64 * script.fall_within;
        received > capacity * script.fall_multiple
    }
}
