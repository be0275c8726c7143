//! Relays and terminals: they look up servers over DNS or xDS, pick one for each query and send the query to it.

use crate::record::Event;
use crate::script::{Front, METRICS_PORT, SERVICE_PORT};
use crate::servers::{empty_histogram, labels, Labels};
use crate::streams;
use crate::web;
use crate::world::World;
use async_executor::Task;
use async_io::{Async, Timer};
use domain::base::iana::{Class as DnsClass, Rcode, Rtype};
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::{Srv, A};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oatlever_fetch::{get, Error, HttpUrl, Timeouts};
use prometheus_client::metrics::{counter::Counter, family::Family, histogram::Histogram};
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a DNS query over UDP, in seconds.
const UDP_TIMEOUT: f64 = 0.25;

/// The latest answer for a class.
#[derive(Clone, Debug, Default)]
struct CachedAnswer {
    /// Servers and weights.
    lines: Vec<(Ipv4Addr, u16)>,
    received_at: f64,
    expires_at: f64,
}

pub struct Asker {
    pub host: Ipv4Addr,
    pub zone: u8,
    /// A relay queries SRV records and has metrics; a terminal queries A records and uses only the first address.
    pub relay: bool,
    pub front: Front,
    /// It stands for a resolver with many terminals behind it, which all use its answers.
    pub resolver: bool,
    pub running: Cell<bool>,
    /// By class.
    cache: RefCell<Vec<CachedAnswer>>,
    /// Classes for which a terminal repeats its query until an answer arrives.
    retrying: RefCell<Vec<bool>>,
    tasks: RefCell<Vec<Task<()>>>,
    counters: RefCell<Counters>,
    /// Load by class since the last load report.
    pub load: RefCell<Vec<ClassLoad>>,
}

/// Load of a class.
#[derive(Clone, Debug, Default)]
pub struct ClassLoad {
    /// Queries received.
    pub received: u64,
    /// By server: answered tries, failed tries, and total response time of the answered ones in seconds.
    pub servers: BTreeMap<Ipv4Addr, (u64, u64, f64)>,
}

struct Counters {
    registry: Registry,
    queries: Family<Labels, Counter>,
    tries: Family<Labels, Counter>,
    failed: Family<Labels, Counter>,
    answers: Family<Labels, Histogram, fn() -> Histogram>,
}

impl Counters {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("proxy");
        let (queries, tries, failed) = Default::default();
        let answers = Family::new_with_constructor(empty_histogram as fn() -> Histogram);
        registry.register("queries", "Queries received, by class", Family::clone(&queries));
        registry.register("tries", "Tries, by server", Family::clone(&tries));
        registry.register("failed", "Failed tries, by server", Family::clone(&failed));
        registry.register("answer_seconds", "Response time, by server", Family::clone(&answers));
        Counters { registry, queries, tries, failed, answers }
    }
}

impl Asker {
    pub fn new(host: Ipv4Addr, zone: u8, relay: bool, front: Front, classes: usize) -> Self {
        Asker {
            host,
            zone,
            relay,
            front,
            resolver: false,
            running: Cell::new(false),
            cache: RefCell::new(vec![CachedAnswer::default(); classes]),
            retrying: RefCell::new(vec![false; classes]),
            tasks: RefCell::default(),
            counters: RefCell::new(Counters::new()),
            load: RefCell::new(vec![ClassLoad::default(); classes]),
        }
    }

    /// Resets the metrics.
    pub fn reset(&self) {
        *self.counters.borrow_mut() = Counters::new();
    }

    pub fn start(self: &Rc<Self>, world: &Rc<World>) {
        if self.running.replace(true) {
            return;
        }
        self.reset();
        self.cache.borrow_mut().fill(CachedAnswer::default());
        if !self.relay {
            return;
        }
        let mut tasks = self.tasks.borrow_mut();
        if self.front != Front::Dns && world.baseline.is_none() {
            tasks.push(world.executor.spawn(streams::follow_tables(self.clone(), world.clone())));
            tasks.push(world.executor.spawn(streams::report_load(self.clone(), world.clone())));
            return;
        }
        let (asker, shared) = (self.clone(), world.clone());
        let host = SocketAddr::from((self.host, METRICS_PORT));
        let serve = web::serve(host, world.executor.clone(), move |_, _| {
            let (asker, world) = (asker.clone(), shared.clone());
            async move {
                if world.faults.borrow().scrapes_hang {
                    future::pending::<()>().await;
                }
                let text = web::metrics(&asker.counters.borrow().registry);
                (200, text)
            }
        });
        tasks.push(world.executor.spawn(serve));
        for class in 0..world.script.classes.len() {
            let (asker, world) = (self.clone(), world.clone());
            tasks.push(world.executor.clone().spawn(async move {
                loop {
                    asker.refresh(&world, class).await;
                    let left = asker.cache.borrow()[class].expires_at - world.now();
                    Timer::after(Duration::from_secs_f64(left.max(0.05))).await;
                }
            }));
        }
    }

    pub fn stop(&self) {
        self.running.set(false);
        drop(self.tasks.take());
    }

    /// Replaces the lines of a class with those pushed over xDS.
    pub fn set_lines(&self, world: &World, class: usize, lines: Vec<(Ipv4Addr, u16)>) {
        world.recorder.record(Event::Answer { asker: self.host, class: class as u8, lines: lines.clone() });
        self.cache.borrow_mut()[class] =
            CachedAnswer { lines, received_at: world.now(), expires_at: f64::INFINITY };
    }

    /// Queries a class; returns whether there was an answer. Without one, the expired answer stays in use (RFC 8767).
    async fn refresh(&self, world: &World, class: usize) -> bool {
        let lifetime = f64::from(world.script.lifetime);
        let answer = match world.baseline_lines() {
            Some(lines) => Some((lines, lifetime)),
            None => self.resolve(world, class).await,
        };
        let Some((mut lines, lifetime)) = answer else { return false };
        if !self.relay {
            lines.truncate(1);
        }
        let (asker, number) = (self.host, class as u8);
        world.recorder.record(Event::Answer { asker, class: number, lines: lines.clone() });
        let lifetime = if self.resolver { lifetime * world.script.keep } else { lifetime };
        let received_at = world.now();
        self.cache.borrow_mut()[class] =
            CachedAnswer { lines, received_at, expires_at: received_at + lifetime };
        true
    }

    /// Repeats the query of a class until there is an answer.
    async fn retry(self: Rc<Self>, world: Rc<World>, class: usize) {
        if !std::mem::replace(&mut self.retrying.borrow_mut()[class], true) {
            while !self.refresh(&world, class).await {
                Timer::after(Duration::from_secs_f64(UDP_TIMEOUT)).await;
            }
            self.retrying.borrow_mut()[class] = false;
        }
    }

    /// Whether the pilot's DNS answers have lines for every class.
    pub async fn has_answers(&self, world: &World) -> bool {
        for class in 0..world.script.classes.len() {
            if self.resolve(world, class).await.is_none_or(|(lines, _)| lines.is_empty()) {
                return false;
            }
        }
        true
    }

    /// Queries the pilot's DNS front, over TCP if the UDP answer is incomplete. Returns the lines and their TTL.
    async fn resolve(&self, world: &World, class: usize) -> Option<(Vec<(Ipv4Addr, u16)>, f64)> {
        let name = &world.script.classes[class].name;
        let (name, kind) = match self.relay {
            true => (format!("_{name}._tcp.shops.test"), Rtype::SRV),
            false => (format!("{name}.shops.test"), Rtype::A),
        };
        let host = world.realm.dns();
        let query = encode_query(&name, kind, (world.random() * 65536.0) as u16)?;
        let (lost, late) = {
            let faults = world.faults.borrow();
            (faults.dns_lost, faults.dns_late)
        };
        Timer::after(Duration::from_secs_f64(late)).await;
        if world.random() < lost {
            Timer::after(Duration::from_secs_f64(UDP_TIMEOUT)).await;
            return None;
        }
        let over_udp = async {
            let socket = Async::<UdpSocket>::bind(SocketAddr::from((self.host, 0)))?;
            socket.send_to(&query, host).await?;
            let mut packet = vec![0; 4096];
            let (length, _) = socket.recv_from(&mut packet).await?;
            packet.truncate(length);
            Ok(packet)
        };
        let packet = with_timeout(UDP_TIMEOUT, over_udp).await.ok()?;
        match decode_answer(&packet, kind) {
            // The answer is truncated or lacks addresses.
            None if !packet.is_empty() => {
                let over_tcp = async {
                    let from = SocketAddr::from((self.host, 0));
                    let mut stream: Async<TcpStream> = oatlever_fetch::connect(host, Some(from)).await?;
                    stream.write_all(&(query.len() as u16).to_be_bytes()).await?;
                    stream.write_all(&query).await?;
                    let mut length = [0; 2];
                    stream.read_exact(&mut length).await?;
                    let mut packet = vec![0; usize::from(u16::from_be_bytes(length))];
                    stream.read_exact(&mut packet).await?;
                    Ok(packet)
                };
                let packet = with_timeout(4.0 * UDP_TIMEOUT, over_tcp).await.ok()?;
                decode_answer(&packet, kind)
            }
            answer => answer,
        }
    }

    /// Picks a server at random by weight, other than `excluded`.
    fn pick(&self, world: &World, class: usize, excluded: Option<Ipv4Addr>) -> Option<Ipv4Addr> {
        let cache = self.cache.borrow();
        let candidates = cache[class].lines.iter().filter(|(host, _)| Some(*host) != excluded);
        let total: f64 = candidates.clone().map(|(_, weight)| f64::from(*weight)).sum();
        let mut target = world.random() * total;
        let mut picked = None;
        for (host, weight) in candidates {
            picked = Some(*host);
            target -= f64::from(*weight);
            if target < 0.0 {
                break;
            }
        }
        picked
    }

    /// Handles a client's query from its arrival to its end.
    pub async fn handle_query(self: Rc<Self>, world: Rc<World>, class: usize) {
        let query = world.queries.get();
        world.queries.set(query + 1);
        let (settings, start) = (&world.script.classes[class], world.now());
        self.load.borrow_mut()[class].received += 1;
        if self.relay {
            self.counters.borrow().queries.get_or_create(&labels(&[("class", &settings.name)])).inc();
        } else if self.cache.borrow()[class].expires_at + world.script.overstay * world.random() < start {
            // Terminals look up servers on demand, and may use an answer a little beyond its lifetime.
            if !self.refresh(&world, class).await {
                world.executor.spawn(self.clone().retry(world.clone(), class)).detach();
            }
        }
        let (mut answered, mut excluded) = (false, None);
        for _ in 0..if self.relay { 2 } else { 1 } {
            let Some(server) = self.pick(&world, class, excluded) else {
                world.recorder.record(Event::Without { asker: self.host, class: class as u8 });
                break;
            };
            world.recorder.record(Event::Sent { query, answered: self.cache.borrow()[class].received_at });
            let (sent_at, result) = (world.now(), self.send_query(&world, class, query, server, start).await);
            self.count_try(class, server, result == Some(true), world.now() - sent_at);
            answered = result == Some(true);
            // Only a query that certainly never ran is retried.
            if result.is_some() || !self.running.get() {
                break;
            }
            excluded = Some(server);
        }
        let in_time = answered && world.now() - start <= settings.due;
        let answered = if in_time { settings.benefit } else { 0.0 };
        world.recorder.record(Event::Ended { query, class: class as u8, asked: settings.benefit, answered });
    }

    /// Sends a query to a server. Returns whether it was answered; `None` if it certainly never ran.
    async fn send_query(
        &self,
        world: &World,
        class: usize,
        query: u64,
        server: Ipv4Addr,
        start: f64,
    ) -> Option<bool> {
        let settings = &world.script.classes[class];
        let host = SocketAddr::from((server, SERVICE_PORT));
        let place = HttpUrl { host, path: format!("/{}/{query}", settings.name) };
        let left = Timeouts::from_total((start + settings.abandon - world.now()).max(0.01));
        match get::<oatlever_fetch::AsyncIo>(&place, Some(SocketAddr::from((self.host, 0))), left, 1 << 16)
            .await
        {
            Ok(answer) if answer.status == 200 => Some(true),
            Ok(answer) if answer.status == 503 => None,
            Err(Error::Connect(_)) => None,
            _ => Some(false),
        }
    }

    /// Counts a try in the metrics and for the load report.
    fn count_try(&self, class: usize, server: Ipv4Addr, answered: bool, time: f64) {
        let mut load = self.load.borrow_mut();
        let counts = load[class].servers.entry(server).or_default();
        match answered {
            true => *counts = (counts.0 + 1, counts.1, counts.2 + time),
            false => counts.1 += 1,
        }
        let counters = self.counters.borrow();
        let server = labels(&[("server", &format!("{server}:{SERVICE_PORT}"))]);
        counters.tries.get_or_create(&server).inc();
        if answered {
            counters.answers.get_or_create(&server).observe(time);
        } else {
            counters.failed.get_or_create(&server).inc();
        }
    }
}

async fn with_timeout<T>(
    seconds: f64,
    work: impl std::future::Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}

/// Encodes a DNS query with EDNS.
fn encode_query(name: &str, kind: Rtype, id: u16) -> Option<Vec<u8>> {
    let name = Name::<Vec<u8>>::from_chars(name.chars()).ok()?;
    let mut question = MessageBuilder::new_vec().question();
    question.header_mut().set_id(id);
    question.push((name, kind, DnsClass::IN)).ok()?;
    let mut additional = question.additional();
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(1232);
            Ok(())
        })
        .ok()?;
    Some(additional.finish())
}

/// Returns the lines of a DNS answer and their TTL; `None` if the answer is truncated, lacks an address or reports an
/// error.
fn decode_answer(packet: &[u8], kind: Rtype) -> Option<(Vec<(Ipv4Addr, u16)>, f64)> {
    let message = Message::from_octets(packet).ok()?;
    if message.header().tc() || message.header().rcode() != Rcode::NOERROR {
        return None;
    }
    let mut lifetime = f64::INFINITY;
    let mut addresses = BTreeMap::new();
    for record in message.additional().ok()?.limit_to::<A>().flatten() {
        addresses.insert(record.owner().to_string(), record.data().addr());
    }
    let mut lines = Vec::new();
    if kind == Rtype::A {
        for record in message.answer().ok()?.limit_to::<A>().flatten() {
            lifetime = lifetime.min(f64::from(record.ttl().as_secs()));
            lines.push((record.data().addr(), 1));
        }
    } else {
        for record in message.answer().ok()?.limit_to::<Srv<_>>().flatten() {
            lifetime = lifetime.min(f64::from(record.ttl().as_secs()));
            let target = record.data().target().to_string();
            lines.push((*addresses.get(&target)?, record.data().weight()));
        }
    }
    Some((lines, if lifetime.is_finite() { lifetime } else { 1.0 }))
}
