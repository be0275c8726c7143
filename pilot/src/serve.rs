//! The sockets of a pilot and the loop that keeps its rounds.

use crate::core::Core;
use crate::probes::Probes;
use crate::{control, status};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{future, StreamExt};
use oatlever::round::Address;
use oatlever_dns::{Front, Gate, Handler, TcpLimits, Via};
use oatlever_fetch as fetch;
use oatlever_identity::{Grant, Grants, Node, Peer, Scope, TlsFiles, TlsKeys};
use oatlever_reports::{Target, Text};
use oatlever_roster::{BootTime, Cache, Source};
use oatlever_settings::{Settings, Tls, Xds};
use oatlever_tables::View;
use oatlever_xds::orca::{self, Gauges};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// s; at the end, answers under way get so long. The kill follows SIGTERM no sooner than 0.7 s.
const LAST_ANSWERS: f64 = 0.5;
/// Health checks under way at once: a whole zone that returns is asked within a few of them.
const CHECKS_AT_ONCE: usize = 64;

/// A pilot, shared by the tasks of its one thread. No borrow is held across a wait.
pub struct Pilot {
    pub core: RefCell<Core>,
    pub front: RefCell<Front>,
    pub gate: Rc<Gate>,
    /// Something came in that a round should take up.
    news: Event,
    /// Tables may have changed.
    pub changed: Rc<Event>,
    /// A list was read.
    listed: Rc<Event>,
    pub streams: RefCell<Option<Rc<Streams>>>,
}

pub type Streams = oatlever_xds::Shared<StreamDesk>;

impl Pilot {
    fn step(&self) {
        let mut core = self.core.borrow_mut();
        let (now, version) = (core.now(), core.tables.version());
        core.step(now);
        if core.tables.version() != version {
            self.changed.notify(usize::MAX);
        }
    }

    fn tell(&self) {
        self.news.notify(usize::MAX);
    }
}

impl Handler for Pilot {
    fn answer(&self, packet: &[u8], source: SocketAddr, via: Via) -> Option<Vec<u8>> {
        let mut core = self.core.borrow_mut();
        let now = core.now();
        let (rounds, mut front) = (core.counts.rounds, self.front.borrow_mut());
        let answer = front.answer(&mut *core, packet, source, via, now);
        if core.counts.rounds != rounds {
            self.tell();
            self.changed.notify(usize::MAX);
        }
        answer
    }
}

/// What streams are pushed, and what their proxies tell.
pub struct StreamDesk {
    pilot: Rc<Pilot>,
    grants: Grants,
    /// By node.
    askers: BTreeMap<String, u16>,
}

impl StreamDesk {
    fn new(pilot: Rc<Pilot>, settings: &Settings, xds: &Xds) -> Self {
        let scope = |grant: &oatlever_settings::Grant| match (&grant.node, &grant.zone) {
            (Some(node), _) => Some(Scope::Node(node.clone())),
            (_, zone) => zone.clone().map(Scope::Zone),
        };
        let grants = xds
            .grants
            .iter()
            .filter_map(|grant| Some(Grant { identity: grant.identity.clone(), scope: scope(grant)? }));
        let nodes = settings.askers.iter().enumerate();
        let nodes = nodes.filter_map(|(place, asker)| Some((asker.node.clone()?, place as u16)));
        StreamDesk { pilot, grants: Grants::new(&grants.collect::<Vec<_>>()), askers: nodes.collect() }
    }
}

impl oatlever_xds::Desk for StreamDesk {
    fn now(&self) -> f64 {
        self.pilot.core.borrow().now()
    }

    fn admit(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String> {
        let asker = *self.askers.get(node).ok_or_else(|| format!("no asker has the node {node:?}"))?;
        let core = self.pilot.core.borrow();
        let known = Node { name: node, zone: &core.settings.askers[usize::from(asker)].zone };
        let admitted = self.grants.authorize(peer, known, zone, self.unix());
        admitted.map(|()| asker).map_err(|denied| {
            tracing::warn!(%denied, "proxy not let in");
            denied.to_string()
        })
    }

    fn unix(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
    }

    fn arrive(&self, asker: u16) {
        self.pilot.core.borrow_mut().hold_stream(asker, true);
        self.pilot.changed.notify(usize::MAX);
        self.pilot.tell();
    }

    fn depart(&self, asker: u16) {
        self.pilot.core.borrow_mut().hold_stream(asker, false);
        self.pilot.changed.notify(usize::MAX);
        self.pilot.tell();
    }

    fn look<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R {
        see(self.pilot.core.borrow().tables.held(asker, class))
    }

    fn version(&self) -> u64 {
        self.pilot.core.borrow().tables.version()
    }

    fn zone_of(&self, server: &Address) -> Option<String> {
        let core = self.pilot.core.borrow();
        let zone = core.book.get(server)?.zone;
        core.settings.zones.get(usize::from(zone)).cloned()
    }

    fn acknowledged(&self, asker: u16, version: u64) {
        self.pilot.core.borrow_mut().tables.pull.acknowledge(asker, version);
    }

    fn refused(&self, asker: u16, version: u64, why: &str) {
        let mut core = self.pilot.core.borrow_mut();
        let name = &core.settings.askers[usize::from(asker)].name;
        tracing::warn!(asker = %name, version, why, "tables refused");
        core.tables.pull.refuse(asker, version);
    }

    fn load(&self, asker: u16, loads: Vec<oatlever_xds::Load>) {
        self.pilot.core.borrow_mut().load(asker, loads);
    }
}

/// Whose counters are read, and what becomes of a reading.
struct ReportDesk(Rc<Pilot>);

impl oatlever_reports::Desk for ReportDesk {
    fn targets_version(&self) -> u64 {
        self.0.core.borrow().targets_version
    }

    fn targets(&self) -> BTreeMap<Target, fetch::HttpUrl> {
        let mut core = self.0.core.borrow_mut();
        let askers = core.settings.askers.iter().enumerate().filter_map(|(place, asker)| {
            let place_to_read = asker.metrics.as_ref().and_then(|url| fetch::HttpUrl::parse(url))?;
            Some((Target::Asker(place as u16), place_to_read))
        });
        // What a list dropped is read on while tables name it: it may serve, and the list may err.
        let named = core.tables.all().flat_map(|(_, _, index, _)| index.lines()).map(|line| line.server);
        let servers: BTreeSet<_> = core.book.members().keys().copied().chain(named).collect();
        let servers = servers.into_iter().filter_map(|server| {
            let host = SocketAddr::V4(core.book.get(&server)?.metrics?);
            Some((Target::Server(server), fetch::HttpUrl { host, path: "/metrics".to_string() }))
        });
        let targets = askers.chain(servers).collect();
        core.read_only(&targets);
        targets
    }

    fn reading(&self, target: Target, asked: Instant, text: Result<Text, String>) {
        let mut core = self.0.core.borrow_mut();
        core.reading(target, asked, text);
        if core.has_news() {
            self.0.tell();
        }
    }
}

/// What servers report by themselves.
struct GaugeDesk(Rc<Pilot>);

impl Gauges for GaugeDesk {
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4> {
        let core = self.0.core.borrow();
        let members = core.book.members().iter();
        members.filter_map(|(server, member)| Some((*server, member.orca?))).collect()
    }

    fn in_flight(&self, server: Address, queries: f64) {
        self.0.core.borrow_mut().sums.in_flight.insert(server, queries);
    }
}

async fn rounds(pilot: Rc<Pilot>, executor: Rc<LocalExecutor<'static>>) {
    let checks = Rc::new(Probes::new(CHECKS_AT_ONCE));
    loop {
        let listener = pilot.news.listen();
        pilot.step();
        let to_check = std::mem::take(&mut pilot.core.borrow_mut().to_check);
        for server in to_check {
            executor.spawn(check(pilot.clone(), server, checks.clone())).detach();
        }
        let (next, now) = {
            let core = pilot.core.borrow();
            (core.next_at(), core.now())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64((next - now).max(0.0))).await;
        };
        future::or(timer, listener).await;
    }
}

async fn check(pilot: Rc<Pilot>, server: oatlever::round::Address, probes: Rc<Probes>) {
    let Some(checks) = pilot.core.borrow().settings.checks.clone() else { return };
    let host = SocketAddr::from((server.host, server.port));
    let fine = probes.is_fine::<oatlever_fetch::AsyncIo>(host, checks.path, checks.patience).await;
    let mut core = pilot.core.borrow_mut();
    core.counts.checks += 1;
    core.checked(server, fine);
    pilot.tell();
}

/// Connections that may wait to be accepted; the system cuts it to what it allows. After a restart all
/// proxies dial within a moment: with 128, the usual, some of 480 were reset.
const DIALLING: i32 = 4096;

pub fn listen(host: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(host)?;
    rustix::net::listen(&listener, DIALLING)?;
    Ok(listener)
}

fn bound<T>(at: &str, host: SocketAddr, over: &str, made: io::Result<T>) -> Result<T, String> {
    made.map_err(|e| format!("{at}: cannot listen on {host} over {over}: {e}"))
}

fn keys(tls: &Tls) -> Result<TlsKeys, String> {
    let files = TlsFiles {
        certificate: tls.certificate.clone().into(),
        key: tls.key.clone().into(),
        authorities: tls.authorities.clone().map(Into::into),
    };
    TlsKeys::load(files).map_err(|e| format!("/xds/tls: {e}"))
}

/// Waits until standard input ends; for good where it can't be waited for, as it is a file.
async fn input_ended() {
    let Ok(input) = Async::new(io::stdin()) else { return future::pending().await };
    while input.read_with(|input| input.lock().read(&mut [0; 64])).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Runs until SIGTERM or SIGINT, and no longer than standard input lasts where it is to end with it. Errors: what
/// could not be started, or why it ended.
pub fn run(settings: Settings, seed: u64, end_with_input: bool) -> Result<(), String> {
    let mut sockets = Vec::new();
    for (n, host) in settings.dns.listen.iter().enumerate() {
        let at = format!("/dns/listen/{n}");
        let tcp = bound(&at, *host, "TCP", listen(*host))?;
        // The same port for both, also where any is asked for by 0.
        let host = tcp.local_addr().unwrap_or(*host);
        sockets.push((bound(&at, host, "UDP", UdpSocket::bind(host))?, tcp));
    }
    let mut stream_sockets = Vec::new();
    for (n, host) in settings.xds.iter().flat_map(|xds| xds.listen.iter().enumerate()) {
        stream_sockets.push(bound(&format!("/xds/listen/{n}"), *host, "TCP", listen(*host))?);
    }
    let tls = settings.xds.as_ref().and_then(|xds| xds.tls.clone());
    let keys = tls.as_ref().map(keys).transpose()?;
    let status = settings.status.listen;
    let status = bound("/status/listen", status, "TCP", listen(status))?;
    let control = settings.control.as_ref().map(|control| control::bind(&control.socket)).transpose()?;
    let source = Source::parse(&settings.roster.source).ok_or("/roster/source: no place to read")?;
    let cache = settings.roster.cache.clone().map(|path| Cache(path.into()));

    let mut core = Core::new(settings, seed);
    let settings = core.settings.clone();
    match cache.as_ref().map(Cache::load) {
        None => {}
        Some(Err(e)) => tracing::info!(%e, "no kept list of servers"),
        Some(Ok(text)) => {
            let now = core.now();
            match core.restore(&text, now) {
                Ok(()) => {
                    tracing::info!(servers = core.book.members().len(), "kept list of servers taken up")
                }
                Err(what) => tracing::warn!(%what, "kept list of servers left aside"),
            }
        }
    }
    let front =
        Front::new(&settings, core.prefixes.clone(), seed).map_err(|e| format!("/dns/origin: {e}"))?;
    let limits = &settings.dns.limits;
    let gate = Gate::new(TcpLimits {
        connections: limits.connections,
        connections_each: limits.connections_each,
        idle: limits.idle,
    });
    let pilot = Rc::new(Pilot {
        core: RefCell::new(core),
        front: RefCell::new(front),
        gate: gate.clone(),
        news: Event::new(),
        changed: Rc::new(Event::new()),
        listed: Rc::new(Event::new()),
        streams: RefCell::default(),
    });
    let streams = settings.xds.as_ref().map(|xds| {
        let class = |c: &oatlever_settings::Class| oatlever_xds::Class { name: c.name.clone(), once: c.once };
        let limits = oatlever_xds::Limits {
            patience: xds.patience,
            most_bytes: xds.most_bytes,
            connections: xds.connections,
            report_period: settings.reports.period,
        };
        let classes = settings.classes.iter().map(class).collect();
        let changed = pilot.changed.clone();
        // Another life writes other versions, whatever the seed.
        let desk = StreamDesk::new(pilot.clone(), &settings, xds);
        oatlever_xds::Shared::new(desk, classes, limits, changed, fastrand::u64(..), keys)
    });
    *pilot.streams.borrow_mut() = streams.clone();
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    async_io::block_on(executor.run(async {
        let mut tasks = vec![executor.spawn(rounds(pilot.clone(), executor.clone()))];
        let (failed, failure) = (Rc::new(Event::new()), Rc::new(RefCell::new(None)));
        let ended = |what: String, failed: Rc<Event>, failure: Rc<RefCell<Option<String>>>| {
            move |e: io::Error| {
                *failure.borrow_mut() = Some(format!("{what}: {e}"));
                failed.notify(usize::MAX);
            }
        };
        let broken = failed.listen();
        for (udp, tcp) in sockets {
            let host = udp.local_addr().map(|host| host.to_string()).unwrap_or_default();
            tracing::info!(%host, "answering DNS");
            let ended_udp = ended(format!("UDP at {host}"), failed.clone(), failure.clone());
            let ended_tcp = ended(format!("TCP at {host}"), failed.clone(), failure.clone());
            let udp = oatlever_dns::serve_udp(udp, pilot.clone());
            tasks.push(executor.spawn(async move { udp.await.unwrap_or_else(ended_udp) }));
            let tcp = oatlever_dns::serve_tcp(tcp, pilot.clone(), gate.clone(), executor.clone());
            tasks.push(executor.spawn(async move { tcp.await.unwrap_or_else(ended_tcp) }));
        }
        for (socket, shared) in stream_sockets.into_iter().zip(streams.iter().cycle()) {
            let host = socket.local_addr().map(|host| host.to_string()).unwrap_or_default();
            tracing::info!(%host, "serving xDS");
            let ended_streams = ended(format!("xDS at {host}"), failed.clone(), failure.clone());
            let serve = oatlever_xds::serve(socket, shared.clone(), executor.clone());
            tasks.push(executor.spawn(async move { serve.await.unwrap_or_else(ended_streams) }));
        }
        for (shared, tls) in streams.iter().zip(&tls) {
            let (shared, pause) = (shared.clone(), Duration::from_secs_f64(tls.look_again));
            tasks.push(executor.spawn(async move {
                loop {
                    Timer::after(pause).await;
                    shared.renew_keys();
                }
            }));
        }
        let host = status.local_addr().map(|host| host.to_string()).unwrap_or_default();
        tracing::info!(%host, "serving status");
        let page = status::serve(status, pilot.clone(), executor.clone());
        let ended_page = ended("status".to_string(), failed.clone(), failure.clone());
        tasks.push(executor.spawn(async move { page.await.unwrap_or_else(ended_page) }));

        if let Some(socket) = control {
            let serve = control::serve(socket, pilot.clone(), executor.clone());
            let ended_control = ended("control".to_string(), failed.clone(), failure.clone());
            tasks.push(executor.spawn(async move { serve.await.unwrap_or_else(ended_control) }));
        }
        let roster = &settings.roster;
        let sink = {
            let pilot = pilot.clone();
            move |read| {
                let mut core = pilot.core.borrow_mut();
                let now = core.now();
                let worth = core.roster(read, now);
                if let Some(cache) = cache.as_ref().filter(|_| worth) {
                    // A list that can't be kept is a trouble of the next start only.
                    if let Err(e) = cache.save(&core.book.save(now, BootTime::now())) {
                        tracing::warn!(path = %cache.0.display(), %e, "list of servers not kept");
                    }
                }
                pilot.tell();
                pilot.listed.notify(usize::MAX);
            }
        };
        let gauges = orca::run(
            GaugeDesk(pilot.clone()),
            settings.reports.period,
            pilot.listed.clone(),
            executor.clone(),
        );
        tasks.push(executor.spawn(gauges));
        let times = (roster.period, roster.patience);
        let zones = settings.zones.clone();
        tasks.push(executor.spawn(oatlever_roster::poll(source, zones, times, roster.most_bytes, sink)));
        let reports = settings.reports.clone();
        let desk = ReportDesk(pilot.clone());
        tasks.push(executor.spawn(async move {
            let limits = (reports.most_bytes, reports.at_once);
            oatlever_reports::run(desk, reports.period, reports.patience, limits).await
        }));

        let signal = async {
            signals.next().await;
            tracing::info!("asked to end");
            Ok(())
        };
        let input = async {
            match end_with_input {
                true => input_ended().await,
                false => future::pending().await,
            }
            tracing::info!("standard input has ended");
            Ok(())
        };
        let broke = async {
            broken.await;
            Err(failure.borrow_mut().take().unwrap_or_default())
        };
        let end = future::or(future::or(signal, input), broke).await;
        gate.close();
        let until = Instant::now() + Duration::from_secs_f64(LAST_ANSWERS);
        while gate.in_hand() > 0 && Instant::now() < until {
            Timer::after(Duration::from_millis(10)).await;
        }
        drop(tasks);
        end
    }))
}
