//! Relays and terminals: they ask the DNS, pick by what it answers, and send.

use crate::record::Event;
use crate::script::{Front, METRICS_PORT, SERVICE_PORT};
use crate::servers::{labels, seconds, Labels};
use crate::streams;
use crate::web;
use crate::world::World;
use async_executor::Task;
use async_io::{Async, Timer};
use domain::base::iana::{Class as DnsClass, Rcode, Rtype};
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::{Srv, A};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oatlever_fetch::{get, Error, HttpUrl};
use prometheus_client::metrics::{counter::Counter, family::Family, histogram::Histogram};
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// s; an answer over UDP that takes longer is lost.
const UDP_PATIENCE: f64 = 0.25;

/// What an asker holds for a class.
#[derive(Clone, Debug, Default)]
struct Held {
    lines: Vec<(Ipv4Addr, u16)>,
    /// When the answer came.
    since: f64,
    until: f64,
}

pub struct Asker {
    pub host: Ipv4Addr,
    pub zone: u8,
    /// A relay asks for SRV and counts; a terminal asks for A and keeps one address.
    pub relay: bool,
    pub front: Front,
    /// Many stand behind it and use what it got.
    pub resolver: bool,
    pub running: Cell<bool>,
    held: RefCell<Vec<Held>>,
    /// Classes that a terminal keeps asking for, as no answer has come.
    asking: RefCell<Vec<bool>>,
    tasks: RefCell<Vec<Task<()>>>,
    counters: RefCell<Counters>,
    /// What it met since its last load report.
    pub met: RefCell<Vec<Met>>,
}

/// Of a class: queries that came, and by server answered, failed, and seconds of the answered ones.
#[derive(Clone, Debug, Default)]
pub struct Met {
    pub came: u64,
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
        let answers = Family::new_with_constructor(seconds as fn() -> Histogram);
        registry.register("queries", "Queries that came, by class", Family::clone(&queries));
        registry.register("tries", "Tries, by server", Family::clone(&tries));
        registry.register("failed", "Tries that failed, by server", Family::clone(&failed));
        registry.register("answer_seconds", "Time of answers, by server", Family::clone(&answers));
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
            held: RefCell::new(vec![Held::default(); classes]),
            asking: RefCell::new(vec![false; classes]),
            tasks: RefCell::default(),
            counters: RefCell::new(Counters::new()),
            met: RefCell::new(vec![Met::default(); classes]),
        }
    }

    /// Counters start anew.
    pub fn reset(&self) {
        *self.counters.borrow_mut() = Counters::new();
    }

    pub fn start(self: &Rc<Self>, world: &Rc<World>) {
        if self.running.replace(true) {
            return;
        }
        self.reset();
        self.held.borrow_mut().fill(Held::default());
        if !self.relay {
            return;
        }
        let mut tasks = self.tasks.borrow_mut();
        if self.front != Front::Dns && world.instead.is_none() {
            tasks.push(world.executor.spawn(streams::discover(self.clone(), world.clone())));
            tasks.push(world.executor.spawn(streams::report(self.clone(), world.clone())));
            return;
        }
        let (asker, of) = (self.clone(), world.clone());
        let host = SocketAddr::from((self.host, METRICS_PORT));
        let serve = web::serve(host, world.executor.clone(), move |_, _| {
            let (asker, world) = (asker.clone(), of.clone());
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
            let (asker, of) = (self.clone(), world.clone());
            tasks.push(world.executor.spawn(async move {
                loop {
                    asker.refresh(&of, class).await;
                    let left = asker.held.borrow()[class].until - of.now();
                    Timer::after(Duration::from_secs_f64(left.max(0.05))).await;
                }
            }));
        }
    }

    pub fn stop(&self) {
        self.running.set(false);
        drop(self.tasks.take());
    }

    /// Takes lines that were pushed.
    pub fn take(&self, world: &World, class: usize, lines: Vec<(Ipv4Addr, u16)>) {
        world.record.note(Event::Answer { asker: self.host, class: class as u8, lines: lines.clone() });
        self.held.borrow_mut()[class] = Held { lines, since: world.now(), until: f64::INFINITY };
    }

    /// Asks for a class anew. What is held stays in use where no answer comes (RFC 8767).
    async fn refresh(&self, world: &World, class: usize) -> bool {
        let lifetime = f64::from(world.script.lifetime);
        let answered = match world.by_rule() {
            Some(lines) => Some((lines, lifetime)),
            None => self.resolve(world, class).await,
        };
        if let Some((mut lines, lifetime)) = answered {
            if !self.relay {
                lines.truncate(1);
            }
            let (asker, number) = (self.host, class as u8);
            world.record.note(Event::Answer { asker, class: number, lines: lines.clone() });
            let lifetime = if self.resolver { lifetime * world.script.keep } else { lifetime };
            let since = world.now();
            self.held.borrow_mut()[class] = Held { lines, since, until: since + lifetime };
            return true;
        }
        false
    }

    /// Asks until there is an answer.
    async fn insist(self: Rc<Self>, world: Rc<World>, class: usize) {
        if !std::mem::replace(&mut self.asking.borrow_mut()[class], true) {
            while !self.refresh(&world, class).await {
                Timer::after(Duration::from_secs_f64(UDP_PATIENCE)).await;
            }
            self.asking.borrow_mut()[class] = false;
        }
    }

    /// Whether the pilot answers with lines for every class.
    pub async fn answered(&self, world: &World) -> bool {
        for class in 0..world.script.classes.len() {
            if self.resolve(world, class).await.is_none_or(|(lines, _)| lines.is_empty()) {
                return false;
            }
        }
        true
    }

    async fn resolve(&self, world: &World, class: usize) -> Option<(Vec<(Ipv4Addr, u16)>, f64)> {
        let name = &world.script.classes[class].name;
        let (name, kind) = match self.relay {
            true => (format!("_{name}._tcp.shops.test"), Rtype::SRV),
            false => (format!("{name}.shops.test"), Rtype::A),
        };
        let host = world.realm.dns();
        let question = ask(&name, kind, (world.chance() * 65536.0) as u16)?;
        let (lost, late) = {
            let faults = world.faults.borrow();
            (faults.dns_lost, faults.dns_late)
        };
        Timer::after(Duration::from_secs_f64(late)).await;
        if world.chance() < lost {
            Timer::after(Duration::from_secs_f64(UDP_PATIENCE)).await;
            return None;
        }
        let over_udp = async {
            let socket = Async::<UdpSocket>::bind(SocketAddr::from((self.host, 0)))?;
            socket.send_to(&question, host).await?;
            let mut packet = vec![0; 4096];
            let (length, _) = socket.recv_from(&mut packet).await?;
            packet.truncate(length);
            Ok(packet)
        };
        let packet = within(UDP_PATIENCE, over_udp).await.ok()?;
        match read(&packet, kind) {
            // Cut, or without the addresses: the whole of it comes over TCP.
            None if !packet.is_empty() => {
                let over_tcp = async {
                    let from = SocketAddr::from((self.host, 0));
                    let mut stream: Async<TcpStream> = oatlever_fetch::connect(host, Some(from)).await?;
                    stream.write_all(&(question.len() as u16).to_be_bytes()).await?;
                    stream.write_all(&question).await?;
                    let mut length = [0; 2];
                    stream.read_exact(&mut length).await?;
                    let mut packet = vec![0; usize::from(u16::from_be_bytes(length))];
                    stream.read_exact(&mut packet).await?;
                    Ok(packet)
                };
                let packet = within(4.0 * UDP_PATIENCE, over_tcp).await.ok()?;
                read(&packet, kind)
            }
            found => found,
        }
    }

    /// Draws a line by weight, other than `but`.
    fn pick(&self, world: &World, class: usize, but: Option<Ipv4Addr>) -> Option<Ipv4Addr> {
        let held = self.held.borrow();
        let open = held[class].lines.iter().filter(|(host, _)| Some(*host) != but);
        let all: f64 = open.clone().map(|(_, weight)| f64::from(*weight)).sum();
        let mut target = world.chance() * all;
        let mut found = None;
        for (host, weight) in open {
            found = Some(*host);
            target -= f64::from(*weight);
            if target < 0.0 {
                break;
            }
        }
        found
    }

    /// One query of a client, from its arrival to its end.
    pub async fn query(self: Rc<Self>, world: Rc<World>, class: usize) {
        let query = world.queries.get();
        world.queries.set(query + 1);
        let (kind, begun) = (&world.script.classes[class], world.now());
        self.met.borrow_mut()[class].came += 1;
        if self.relay {
            self.counters.borrow().queries.get_or_create(&labels(&[("class", &kind.name)])).inc();
        } else if self.held.borrow()[class].until + world.script.overstay * world.chance() < begun {
            // A terminal asks when it needs to, and may keep what it has a little longer.
            if !self.refresh(&world, class).await {
                world.executor.spawn(self.clone().insist(world.clone(), class)).detach();
            }
        }
        let (mut answered, mut but) = (false, None);
        for _ in 0..if self.relay { 2 } else { 1 } {
            let Some(server) = self.pick(&world, class, but) else {
                world.record.note(Event::Without { asker: self.host, class: class as u8 });
                break;
            };
            world.record.note(Event::Sent { query, answered: self.held.borrow()[class].since });
            let (at, ran) = (world.now(), self.attempt(&world, class, query, server, begun).await);
            self.count(class, server, ran == Some(true), world.now() - at);
            answered = ran == Some(true);
            // Only what surely never ran is tried again.
            if ran.is_some() || !self.running.get() {
                break;
            }
            but = Some(server);
        }
        let answered = if answered && world.now() - begun <= kind.due { kind.benefit } else { 0.0 };
        world.record.note(Event::Ended { query, class: class as u8, asked: kind.benefit, answered });
    }

    /// Whether the server answered; none where the query surely never ran.
    async fn attempt(
        &self,
        world: &World,
        class: usize,
        query: u64,
        server: Ipv4Addr,
        begun: f64,
    ) -> Option<bool> {
        let kind = &world.script.classes[class];
        let host = SocketAddr::from((server, SERVICE_PORT));
        let place = HttpUrl { host, path: format!("/{}/{query}", kind.name) };
        let left = (begun + kind.abandon - world.now()).max(0.01);
        match get::<oatlever_fetch::AsyncIo>(&place, Some(SocketAddr::from((self.host, 0))), left, 1 << 16)
            .await
        {
            Ok(answer) if answer.status == 200 => Some(true),
            Ok(answer) if answer.status == 503 => None,
            Err(Error::Connect(_)) => None,
            _ => Some(false),
        }
    }

    fn count(&self, class: usize, server: Ipv4Addr, answered: bool, took: f64) {
        let mut met = self.met.borrow_mut();
        let at = met[class].servers.entry(server).or_default();
        match answered {
            true => *at = (at.0 + 1, at.1, at.2 + took),
            false => at.1 += 1,
        }
        let counters = self.counters.borrow();
        let server = labels(&[("server", &format!("{server}:{SERVICE_PORT}"))]);
        counters.tries.get_or_create(&server).inc();
        if answered {
            counters.answers.get_or_create(&server).observe(took);
        } else {
            counters.failed.get_or_create(&server).inc();
        }
    }
}

async fn within<T>(patience: f64, work: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(Duration::from_secs_f64(patience)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, late).await
}

/// A question with EDNS, as bytes.
pub fn ask(name: &str, kind: Rtype, id: u16) -> Option<Vec<u8>> {
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

/// Lines and their lifetime; none where the answer is cut, lacks an address, or says no more than that
/// the server is in trouble.
pub fn read(packet: &[u8], kind: Rtype) -> Option<(Vec<(Ipv4Addr, u16)>, f64)> {
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
