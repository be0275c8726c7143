//! The sockets of a pilot and its main loop, which runs the rounds.

use crate::core::Core;
use crate::probes::Probes;
use crate::{control, status};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{future, StreamExt};
use oatlever::round::Address;
use oatlever_discovery::{BootTime, Cache, Source};
use oatlever_dns::{Front, Handler, TcpConnections, TcpLimits, Transport};
use oatlever_fetch as fetch;
use oatlever_identity::{Grant, Grants, Node, Peer, Scope, TlsFiles, TlsKeys};
use oatlever_reports::{Exposition, Target};
use oatlever_settings::{Settings, Tls, Xds};
use oatlever_tables::View;
use oatlever_xds::orca::{self, ReportHandler};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds that answers under way get on shutdown. SIGKILL follows SIGTERM after no less than 0.7 s.
const SHUTDOWN_GRACE: f64 = 0.5;
/// Concurrent health checks. Enough to check a whole zone that returns in a few batches.
const MAX_CHECKS: usize = 64;

/// A pilot, shared by the tasks of its single thread. No borrow is held across an await.
pub struct Pilot {
    pub core: RefCell<Core>,
    pub front: RefCell<Front>,
    pub gate: Rc<TcpConnections>,
    /// Notified when there is input for a round.
    input: Event,
    /// Notified when tables may have changed.
    pub tables_changed: Rc<Event>,
    /// Notified when a list of servers was read.
    list_read: Rc<Event>,
    pub streams: RefCell<Option<Rc<Streams>>>,
}

pub type Streams = oatlever_xds::Server<XdsHandler>;

impl Pilot {
    fn step(&self) {
        let mut core = self.core.borrow_mut();
        let (now, version) = (core.now(), core.tables.version());
        core.step(now);
        if core.tables.version() != version {
            self.tables_changed.notify(usize::MAX);
        }
    }

    /// Wakes the main loop to run a round.
    fn wake(&self) {
        self.input.notify(usize::MAX);
    }
}

impl Handler for Pilot {
    fn answer(&self, packet: &[u8], source: SocketAddr, transport: Transport) -> Option<Vec<u8>> {
        let mut core = self.core.borrow_mut();
        let now = core.now();
        let (rounds, mut front) = (core.counts.rounds, self.front.borrow_mut());
        let answer = front.answer(&mut *core, packet, source, transport, now);
        if core.counts.rounds != rounds {
            self.wake();
            self.tables_changed.notify(usize::MAX);
        }
        answer
    }
}

/// Connects xDS streams to the pilot: admission, table contents, acknowledgements and load reports.
pub struct XdsHandler {
    pilot: Rc<Pilot>,
    grants: Grants,
    /// Askers by node name.
    askers: BTreeMap<String, u16>,
}

impl XdsHandler {
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
        let nodes = nodes.filter_map(|(index, asker)| Some((asker.node.clone()?, index as u16)));
        XdsHandler { pilot, grants: Grants::new(&grants.collect::<Vec<_>>()), askers: nodes.collect() }
    }
}

impl oatlever_xds::Backend for XdsHandler {
    fn now(&self) -> f64 {
        self.pilot.core.borrow().now()
    }

    fn authorize(&self, node: &str, zone: Option<&str>, peer: Option<&Peer>) -> Result<u16, String> {
        let asker = *self.askers.get(node).ok_or_else(|| format!("no asker has the node {node:?}"))?;
        let core = self.pilot.core.borrow();
        let known = Node { name: node, zone: &core.settings.askers[usize::from(asker)].zone };
        let admitted = self.grants.authorize(peer, known, zone, self.unix_time());
        admitted.map(|()| asker).map_err(|denied| {
            tracing::warn!(%denied, "proxy denied");
            denied.to_string()
        })
    }

    fn unix_time(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
    }

    fn stream_opened(&self, asker: u16) {
        self.pilot.core.borrow_mut().set_stream(asker, true);
        self.pilot.tables_changed.notify(usize::MAX);
        self.pilot.wake();
    }

    fn stream_closed(&self, asker: u16) {
        self.pilot.core.borrow_mut().set_stream(asker, false);
        self.pilot.tables_changed.notify(usize::MAX);
        self.pilot.wake();
    }

    fn with_view<R>(&self, asker: u16, class: u16, see: impl FnOnce(Option<View>) -> R) -> R {
        see(self.pilot.core.borrow().tables.view(asker, class))
    }

    fn tables_version(&self) -> u64 {
        self.pilot.core.borrow().tables.version()
    }

    fn zone_of(&self, server: &Address) -> Option<String> {
        let core = self.pilot.core.borrow();
        let zone = core.book.get(server)?.zone;
        core.settings.zones.get(usize::from(zone)).cloned()
    }

    fn acknowledged(&self, asker: u16, version: u64) {
        self.pilot.core.borrow_mut().tables.deliveries.acknowledge(asker, version);
    }

    fn rejected(&self, asker: u16, version: u64, why: &str) {
        let mut core = self.pilot.core.borrow_mut();
        let name = &core.settings.askers[usize::from(asker)].name;
        tracing::warn!(asker = %name, version, why, "tables refused");
        core.tables.deliveries.reject(asker, version);
    }

    fn load_reported(&self, asker: u16, loads: Vec<oatlever_xds::LoadReport>) {
        self.pilot.core.borrow_mut().record_loads(asker, loads);
    }
}

/// Supplies the targets of scrapes and takes their results.
struct ScrapeHandler(Rc<Pilot>);

impl oatlever_reports::ScrapeHandler for ScrapeHandler {
    fn targets_version(&self) -> u64 {
        self.0.core.borrow().targets_version
    }

    fn targets(&self) -> BTreeMap<Target, fetch::HttpUrl> {
        let mut core = self.0.core.borrow_mut();
        let askers = core.settings.askers.iter().enumerate().filter_map(|(index, asker)| {
            let endpoint = asker.metrics.as_ref().and_then(|url| fetch::HttpUrl::parse(url))?;
            Some((Target::Asker(index as u16), endpoint))
        });
        // A server that is gone from the list is scraped as long as a table names it: the list may be wrong, and
        // the server may still serve.
        let named =
            core.tables.summaries().flat_map(|(_, _, index, _)| index.lines()).map(|line| line.server);
        let servers: BTreeSet<_> = core.book.members().keys().copied().chain(named).collect();
        let servers = servers.into_iter().filter_map(|server| {
            let host = SocketAddr::V4(core.book.get(&server)?.metrics?);
            Some((Target::Server(server), fetch::HttpUrl { host, path: "/metrics".to_string() }))
        });
        let targets = askers.chain(servers).collect();
        core.retain_targets(&targets);
        targets
    }

    fn scraped(&self, target: Target, asked: Instant, text: Result<Exposition, String>) {
        let mut core = self.0.core.borrow_mut();
        core.take_scrape(target, asked, text);
        if core.has_input() {
            self.0.wake();
        }
    }
}

/// Takes the ORCA reports of servers.
struct OrcaHandler(Rc<Pilot>);

impl ReportHandler for OrcaHandler {
    fn servers(&self) -> BTreeMap<Address, SocketAddrV4> {
        let core = self.0.core.borrow();
        let members = core.book.members().iter();
        members.filter_map(|(server, member)| Some((*server, member.orca?))).collect()
    }

    fn set_in_flight(&self, server: Address, queries: f64) {
        self.0.core.borrow_mut().sums.in_flight.insert(server, queries);
    }
}

async fn run_rounds(pilot: Rc<Pilot>, executor: Rc<LocalExecutor<'static>>) {
    let probes = Rc::new(Probes::new(MAX_CHECKS));
    loop {
        let listener = pilot.input.listen();
        pilot.step();
        let to_check = std::mem::take(&mut pilot.core.borrow_mut().to_check);
        for server in to_check {
            executor.spawn(check(pilot.clone(), server, probes.clone())).detach();
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
    core.record_check(server, fine);
    pilot.wake();
}

/// Backlog of listening sockets; the system reduces it to its own limit. After a restart all proxies connect
/// almost at once: with the usual 128, some of 480 connections were reset.
const BACKLOG: i32 = 4096;

pub fn listen(host: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(host)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Adds the setting and the address to the error of a failed bind.
fn bound<T>(setting: &str, host: SocketAddr, protocol: &str, socket: io::Result<T>) -> Result<T, String> {
    socket.map_err(|e| format!("{setting}: cannot listen on {host} over {protocol}: {e}"))
}

fn load_keys(tls: &Tls) -> Result<TlsKeys, String> {
    let files = TlsFiles {
        certificate: tls.certificate.clone().into(),
        key: tls.key.clone().into(),
        authorities: tls.authorities.clone().map(Into::into),
    };
    TlsKeys::load(files).map_err(|e| format!("/xds/tls: {e}"))
}

/// Waits until standard input ends; for ever if it is a file, which can't be waited for.
async fn input_ended() {
    let Ok(input) = Async::new(io::stdin()) else { return future::pending().await };
    while input.read_with(|input| input.lock().read(&mut [0; 64])).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Runs a pilot until SIGTERM or SIGINT, or until standard input ends if `end_with_input` is set. Fails if a part
/// of it can't be started, or ends with an error.
pub fn run(settings: Settings, seed: u64, end_with_input: bool) -> Result<(), String> {
    let mut sockets = Vec::new();
    for (n, host) in settings.dns.listen.iter().enumerate() {
        let setting = format!("/dns/listen/{n}");
        let tcp = bound(&setting, *host, "TCP", listen(*host))?;
        // UDP and TCP share a port, also if the system chooses it for port 0.
        let host = tcp.local_addr().unwrap_or(*host);
        sockets.push((bound(&setting, host, "UDP", UdpSocket::bind(host))?, tcp));
    }
    let mut stream_sockets = Vec::new();
    for (n, host) in settings.xds.iter().flat_map(|xds| xds.listen.iter().enumerate()) {
        stream_sockets.push(bound(&format!("/xds/listen/{n}"), *host, "TCP", listen(*host))?);
    }
    let tls = settings.xds.as_ref().and_then(|xds| xds.tls.clone());
    let keys = tls.as_ref().map(load_keys).transpose()?;
    let status = settings.status.listen;
    let status = bound("/status/listen", status, "TCP", listen(status))?;
    let control = settings.control.as_ref().map(|control| control::bind(&control.socket)).transpose()?;
    let source =
        Source::parse(&settings.roster.source).ok_or("/roster/source: not a file:// or http:// URL")?;
    let cache = settings.roster.cache.clone().map(|path| Cache(path.into()));

    let mut core = Core::new(settings, seed);
    let settings = core.settings.clone();
    match cache.as_ref().map(Cache::load) {
        None => {}
        Some(Err(e)) => tracing::info!(%e, "no cached list of servers"),
        Some(Ok(text)) => {
            let now = core.now();
            match core.restore(&text, now) {
                Ok(()) => {
                    tracing::info!(servers = core.book.members().len(), "cached list of servers loaded")
                }
                Err(what) => tracing::warn!(%what, "cached list of servers is invalid and ignored"),
            }
        }
    }
    let front =
        Front::new(&settings, core.prefixes.clone(), seed).map_err(|e| format!("/dns/origin: {e}"))?;
    let limits = &settings.dns.limits;
    let gate = TcpConnections::new(TcpLimits {
        max_connections: limits.connections,
        max_per_source: limits.connections_each,
        idle_timeout: limits.idle,
    });
    let pilot = Rc::new(Pilot {
        core: RefCell::new(core),
        front: RefCell::new(front),
        gate: gate.clone(),
        input: Event::new(),
        tables_changed: Rc::new(Event::new()),
        list_read: Rc::new(Event::new()),
        streams: RefCell::default(),
    });
    let streams = settings.xds.as_ref().map(|xds| {
        let class =
            |c: &oatlever_settings::Class| oatlever_xds::Class { name: c.name.clone(), at_most_once: c.once };
        let limits = oatlever_xds::Limits {
            response_timeout: xds.patience,
            max_message_bytes: xds.most_bytes,
            max_connections: xds.connections,
            report_period: settings.reports.period,
        };
        let classes = settings.classes.iter().map(class).collect();
        let tables_changed = pilot.tables_changed.clone();
        let handler = XdsHandler::new(pilot.clone(), &settings, xds);
        // The versions of each process are random even with a fixed seed, so that those of two runs differ.
        oatlever_xds::Server::new(handler, classes, limits, tables_changed, fastrand::u64(..), keys)
    });
    *pilot.streams.borrow_mut() = streams.clone();
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    async_io::block_on(executor.run(async {
        let mut tasks = vec![executor.spawn(run_rounds(pilot.clone(), executor.clone()))];
        let (failed, failure) = (Rc::new(Event::new()), Rc::new(RefCell::new(None)));
        let fail = |part: String, failed: Rc<Event>, failure: Rc<RefCell<Option<String>>>| {
            move |e: io::Error| {
                *failure.borrow_mut() = Some(format!("{part}: {e}"));
                failed.notify(usize::MAX);
            }
        };
        let failed_listener = failed.listen();
        for (udp, tcp) in sockets {
            let host = udp.local_addr().map(|host| host.to_string()).unwrap_or_default();
            tracing::info!(%host, "answering DNS");
            let udp_failed = fail(format!("UDP at {host}"), failed.clone(), failure.clone());
            let tcp_failed = fail(format!("TCP at {host}"), failed.clone(), failure.clone());
            let udp = oatlever_dns::serve_udp(udp, pilot.clone());
            tasks.push(executor.spawn(async move { udp.await.unwrap_or_else(udp_failed) }));
            let tcp = oatlever_dns::serve_tcp(tcp, pilot.clone(), gate.clone(), executor.clone());
            tasks.push(executor.spawn(async move { tcp.await.unwrap_or_else(tcp_failed) }));
        }
        for (socket, shared) in stream_sockets.into_iter().zip(streams.iter().cycle()) {
            let host = socket.local_addr().map(|host| host.to_string()).unwrap_or_default();
            tracing::info!(%host, "serving xDS");
            let xds_failed = fail(format!("xDS at {host}"), failed.clone(), failure.clone());
            let serve = oatlever_xds::serve(socket, shared.clone(), executor.clone());
            tasks.push(executor.spawn(async move { serve.await.unwrap_or_else(xds_failed) }));
        }
        for (shared, tls) in streams.iter().zip(&tls) {
            let (shared, pause) = (shared.clone(), Duration::from_secs_f64(tls.look_again));
            tasks.push(executor.spawn(async move {
                loop {
                    Timer::after(pause).await;
                    shared.reload_keys();
                }
            }));
        }
        let host = status.local_addr().map(|host| host.to_string()).unwrap_or_default();
        tracing::info!(%host, "serving status");
        let serve_status = status::serve(status, pilot.clone(), executor.clone());
        let status_failed = fail("status".to_string(), failed.clone(), failure.clone());
        tasks.push(executor.spawn(async move { serve_status.await.unwrap_or_else(status_failed) }));

        if let Some(socket) = control {
            let serve = control::serve(socket, pilot.clone(), executor.clone());
            let control_failed = fail("control".to_string(), failed.clone(), failure.clone());
            tasks.push(executor.spawn(async move { serve.await.unwrap_or_else(control_failed) }));
        }
        let roster = &settings.roster;
        let sink = {
            let pilot = pilot.clone();
            move |result| {
                let mut core = pilot.core.borrow_mut();
                let now = core.now();
                let changed = core.take_list(result, now);
                if let Some(cache) = cache.as_ref().filter(|_| changed) {
                    // A failure to write the cache matters only to the next start.
                    if let Err(e) = cache.save(&core.book.save(now, BootTime::now())) {
                        tracing::warn!(path = %cache.0.display(), %e, "writing the cached list of servers failed");
                    }
                }
                pilot.wake();
                pilot.list_read.notify(usize::MAX);
            }
        };
        let orca_reports = orca::run(
            OrcaHandler(pilot.clone()),
            settings.reports.period,
            pilot.list_read.clone(),
            executor.clone(),
        );
        tasks.push(executor.spawn(orca_reports));
        let times = (roster.period, roster.patience);
        let zones = settings.zones.clone();
        tasks.push(executor.spawn(oatlever_discovery::poll(source, zones, times, roster.most_bytes, sink)));
        let reports = settings.reports.clone();
        let handler = ScrapeHandler(pilot.clone());
        tasks.push(executor.spawn(async move {
            let limits = (reports.most_bytes, reports.at_once);
            oatlever_reports::run(handler, reports.period, reports.patience, limits).await
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
        let task_failed = async {
            failed_listener.await;
            Err(failure.borrow_mut().take().unwrap_or_default())
        };
        let end = future::or(future::or(signal, input), task_failed).await;
        gate.close();
        let deadline = Instant::now() + Duration::from_secs_f64(SHUTDOWN_GRACE);
        while gate.pending_answers() > 0 && Instant::now() < deadline {
            Timer::after(Duration::from_millis(10)).await;
        }
        drop(tasks);
        end
    }))
}
