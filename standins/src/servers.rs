//! Servers: cores, a queue, cold starts that fall over, counters; HTTP/1.1 on one address each.

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

/// Queries that may wait at a server, for each of its cores.
const QUEUE: usize = 20;

pub type Labels = Vec<(String, String)>;

pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

pub fn seconds() -> Histogram {
    Histogram::new([])
}

pub struct Server {
    pub host: Ipv4Addr,
    pub zone: u8,
    pub started: Cell<f64>,
    /// Unix time of the start, as the roster tells it.
    pub started_unix: Cell<f64>,
    /// How often it has started.
    pub starts: Cell<u32>,
    pub running: Cell<bool>,
    pub draining: Cell<bool>,
    pub hung: Cell<bool>,
    pub slow: Cell<f64>,
    pub failing: Cell<bool>,
    pub losing: Cell<bool>,
    cold: Cell<bool>,
    cores: RefCell<Rc<Semaphore>>,
    waiting: Cell<usize>,
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
        let answers = Family::new_with_constructor(seconds as fn() -> Histogram);
        registry.register("queries", "Queries, by class and client", Family::clone(&queries));
        registry.register("failed", "Queries that failed, by client", Family::clone(&failed));
        registry.register("answer_seconds", "Time of answers, by client", Family::clone(&answers));
        registry.register("in_flight", "Queries held now", Gauge::clone(&in_flight));
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
            slow: Cell::new(1.0),
            failing: Cell::new(false),
            losing: Cell::new(false),
            cold: Cell::new(false),
            cores: RefCell::new(Rc::new(Semaphore::new(cores))),
            waiting: Cell::new(0),
            arrivals: RefCell::default(),
            tasks: RefCell::default(),
            counters: RefCell::new(Counters::new()),
        }
    }

    /// Part of its capacity that it has now.
    fn warm_part(&self, world: &World) -> f64 {
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
        self.waiting.set(0);
        self.arrivals.borrow_mut().clear();
        *self.cores.borrow_mut() = Rc::new(Semaphore::new(world.script.cores));
        *self.counters.borrow_mut() = Counters::new();
        self.starts.set(self.starts.get() + 1);
        world.record.note(Event::Started { server: self.host, cold, start: self.starts.get() });
        let (server, world_for) = (self.clone(), world.clone());
        let host = SocketAddr::from((self.host, crate::script::SERVICE_PORT));
        let serve = web::serve(host, world.executor.clone(), move |path, source| {
            server.clone().answer(world_for.clone(), path, source)
        });
        self.tasks.borrow_mut().push(world.executor.spawn(serve));
    }

    /// Its process ends: connections break, what runs is lost.
    pub fn stop(&self, world: &World) {
        if self.running.replace(false) {
            world.record.note(Event::Stopped { server: self.host });
            drop(self.tasks.take());
        }
    }

    async fn answer(self: Rc<Self>, world: Rc<World>, path: String, source: SocketAddr) -> (u16, String) {
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
        // `/class/query`
        let mut parts = path.trim_start_matches('/').split('/');
        let class = parts.next().and_then(|name| world.script.classes.iter().position(|c| c.name == name));
        let query = parts.next().and_then(|text| text.parse().ok());
        let (Some(class), Some(query), IpAddr::V4(asker)) = (class, query, source.ip()) else {
            return (404, String::new());
        };
        self.work(&world, class, query, asker).await
    }

    async fn work(&self, world: &World, class: usize, query: u64, asker: Ipv4Addr) -> (u16, String) {
        let (begun, client) = (world.now(), asker.to_string());
        let work = world.script.classes[class].work * (0.5 + world.chance());
        let number = class as u8;
        world.record.note(Event::Arrival { asker, server: self.host, class: number, query, work });
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
        if self.falls(world, work) {
            // It hangs from now on, and does not come back by itself.
            world.record.note(Event::Fell { server: self.host });
            self.hung.set(true);
            return failed(500);
        }
        if self.failing.get() {
            return failed(500);
        }
        if self.draining.get() || self.waiting.get() >= QUEUE * world.script.cores {
            // 503 here means: it never ran.
            return failed(503);
        }
        self.waiting.set(self.waiting.get() + 1);
        self.counters.borrow().in_flight.set(self.waiting.get() as i64);
        let cores = self.cores.borrow().clone();
        let core = cores.acquire().await;
        world.record.note(Event::Ran { server: self.host, class: number, query });
        let took = work * self.slow.get() / self.warm_part(world);
        Timer::after(Duration::from_secs_f64(took)).await;
        drop(core);
        self.waiting.set(self.waiting.get().saturating_sub(1));
        {
            let counters = self.counters.borrow();
            counters.in_flight.set(self.waiting.get() as i64);
            counters.answers.get_or_create(&client_labels).observe(world.now() - begun);
        }
        if self.losing.get() && world.chance() < 0.5 {
            futures_lite::future::pending::<()>().await;
        }
        (200, "done".to_string())
    }

    /// Whether this is more than a cold server stands.
    fn falls(&self, world: &World, work: f64) -> bool {
        let (script, now) = (&world.script, world.now());
        if !self.cold.get() || now - self.started.get() >= script.warm_within {
            return false;
        }
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.push_back((now, work));
        arrivals.retain(|(at, _)| now - at <= script.fall_within);
        let held: f64 = arrivals.iter().map(|(_, work)| work).sum();
        let can = self.warm_part(world) * script.cores as f64 * script.fall_within;
        held > can * script.fall_multiple
    }
}
