//! The pilot on the operators' platform: its sockets and its main loop, which runs the rounds.
//!
//! `configuration` reads the configuration file, `connections` exchanges messages with proxies and collectors,
//! `lists` follows discovery, and `controller` collects their input into rounds and uses no sockets. All run on one
//! thread.

mod configuration;
mod connections;
mod controller;
mod lists;
mod peer;

pub use configuration::Configuration;

use crate::clock::Clock;
use crate::probes::Probes;
use crate::serve::listen;
use async_executor::LocalExecutor;
use connections::Connections;
use controller::{Controller, Process};
use event_listener::Event;
use futures_lite::future;
use oatlever::round::Address;
use oatlever_discovery::platform::Origin;
use oatlever_fetch::SingleThreaded;
use oatlever_reactor::{Async, Timer};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// File descriptors reserved for other purposes than accepted connections: standard streams, the reactor, the
/// listener, signals, requests to discovery and health checks, with a few to spare.
const OWN_DESCRIPTORS: usize = 32;
/// With fewer file descriptors a pilot could accept no connection.
const MIN_SOCKETS: usize = OWN_DESCRIPTORS + connections::EXTRA_CONNECTIONS + 1;
/// Incomplete messages may take up the memory limit divided by this.
const INCOMPLETE_MEMORY_DIVISOR: usize = 4;
/// Concurrent health checks, each of which uses a descriptor.
const MAX_CHECKS: usize = 8;
/// The path that health checks request.
const HEALTH: &str = "/health";
/// Longest silence of a server during a health check, as a multiple of the connect timeout.
const CHECK_TIMEOUT_FACTOR: f64 = 3.0;
/// Seconds between log lines with counters and estimates.
const STATUS_LOG_PERIOD: f64 = 5.0;

/// State shared by the tasks of the pilot's single thread. No borrow is held across an await.
struct Pilot {
    clock: Clock,
    controller: RefCell<Controller>,
    connections: Connections,
    discovery: Cell<SocketAddr>,
    /// Whether the pilot has answered a heartbeat.
    is_ready: Cell<bool>,
    /// Notified when there is input for a round.
    input: Event,
    /// Set when the whole list must be requested. Kept beside the event, which is lost if no task listens.
    request_whole_list: Cell<bool>,
    list_requested: Event,
}

impl Pilot {
    /// Wakes the main loop to run a round.
    fn wake(&self) {
        self.input.notify(usize::MAX);
    }

    /// Has the whole list of servers requested from discovery.
    fn request_list(&self) {
        self.request_whole_list.set(true);
        self.list_requested.notify(usize::MAX);
    }
}

async fn run_rounds(
    pilot: Rc<Pilot>,
    executor: Rc<LocalExecutor<'static>>,
    names: oatlever_instance::PlatformSettings,
) {
    let probes = Rc::new(Probes::new(MAX_CHECKS));
    let (tick, patience) =
        (Duration::from_secs_f64(names.tick), names.connect_timeout * CHECK_TIMEOUT_FACTOR);
    loop {
        let listener = pilot.input.listen();
        let now = pilot.clock.now();
        let effects = pilot.controller.borrow_mut().step(now);
        for (connection, bytes) in effects.messages {
            pilot.connections.send(connection, bytes);
        }
        for (server, process) in effects.checks {
            executor.spawn(check(pilot.clone(), server, process, probes.clone(), patience)).detach();
        }
        for connection in effects.unresponsive {
            tracing::info!(connection, "connection closed: no answer in time");
            pilot.connections.close(connection);
        }
        if effects.request_list {
            pilot.request_list();
        }
        let next = pilot.controller.borrow().next_at();
        let wait = async {
            match next {
                Some(at) => Timer::after(Duration::from_secs_f64((at - now).max(0.0))).await,
                None => future::pending().await,
            }
        };
        future::or(wait, listener).await;
        // All input within a tick is handled in one round.
        Timer::after(tick).await;
    }
}

async fn check(pilot: Rc<Pilot>, server: Address, process: Process, probes: Rc<Probes>, patience: f64) {
    let fine = probes.is_fine::<SingleThreaded>(process.0, HEALTH.to_string(), patience).await;
    pilot.controller.borrow_mut().record_check(server, process, fine);
    pilot.wake();
}

/// Reloads the configuration; true on success. Only the address of discovery can change while a pilot runs.
///
/// Refuses a file with other zones or classes: it belongs to another deployment, and discovery there lists servers
/// that this pilot's proxies must not use.
fn reload(pilot: &Pilot, path: &Path, names: &oatlever_instance::PlatformSettings) -> bool {
    let same_deployment =
        |new: &Configuration| (&new.names.zones, &new.names.classes) == (&names.zones, &names.classes);
    let loaded = Configuration::load(path).and_then(|new| match same_deployment(&new) {
        true => Ok(new),
        false => Err(format!("{}: `settings` has other zones or classes", path.display())),
    });
    match loaded {
        Ok(new) => {
            tracing::info!(discovery = %new.discovery, "configuration taken up");
            pilot.discovery.set(new.discovery);
            pilot.request_list();
            true
        }
        Err(what) => {
            tracing::warn!(%what, "configuration left aside");
            false
        }
    }
}

/// Attempts to reload a configuration file that may not be completely written yet, and seconds between them.
const RELOAD_ATTEMPTS: usize = 10;
const RELOAD_DELAY: f64 = 0.1;

/// Signal handlers and the clock, set up before the configuration is read.
pub struct Startup {
    /// Receives a byte for each SIGTERM or SIGINT.
    terminate: UnixStream,
    /// Receives a byte for each SIGHUP.
    reload: UnixStream,
    clock: Clock,
}

impl Startup {
    /// Must be called first: an earlier signal ends the process by its default action, and a later one is queued
    /// for the main loop.
    pub fn new() -> Result<Self, String> {
        let register = |signals: &[i32]| -> io::Result<UnixStream> {
            let (receiver, sender) = UnixStream::pair()?;
            for signal in signals {
                pipe::register(*signal, sender.try_clone()?)?;
            }
            Ok(receiver)
        };
        let both = register(&[SIGTERM, SIGINT]).and_then(|terminate| Ok((terminate, register(&[SIGHUP])?)));
        let (terminate, reload) = both.map_err(|e| format!("signals: {e}"))?;
        Ok(Startup { terminate, reload, clock: Clock::unix() })
    }
}

/// Waits for a signal; several pending ones count as one.
async fn signal_received(signals: &Async<UnixStream>) -> io::Result<()> {
    signals.read_with(|mut signals| signals.read(&mut [0; 64])).await.map(drop)
}

/// Waits until standard input ends; for ever if it is a file, which can't be waited for.
async fn input_ended() {
    let Ok(input) = Async::new(io::stdin()) else { return future::pending().await };
    while input.read_with(|input| input.lock().read(&mut [0; 64])).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Runs a pilot until SIGTERM or SIGINT, or until standard input ends if `end_with_input` is set. Fails if a part
/// of it can't be started.
pub fn run(
    configuration: Configuration,
    path: PathBuf,
    startup: Startup,
    end_with_input: bool,
) -> Result<(), String> {
    let Startup { terminate, reload: reload_signal, clock } = startup;
    let signals = Async::new(terminate).and_then(|terminate| Ok((terminate, Async::new(reload_signal)?)));
    let (terminate, reload_signal) = signals.map_err(|e| format!("signals: {e}"))?;
    let Configuration { name, listen: host, discovery, seed, sockets, memory, known, start, names } =
        configuration;
    let socket = listen(host).and_then(Async::new);
    let socket = socket.map_err(|e| format!("cannot listen on {host}: {e}"))?;
    // The system chooses the port if the configuration has port 0.
    let host = socket.get_ref().local_addr().unwrap_or(host);
    tracing::debug!(?start, ?names, "settings of the instance");
    let follow_always = !start.site.list_on_request;
    let mut controller = Controller::new(start, &names, seed);
    // An unusable cached list must not prevent the start, as discovery sends a current one.
    if let Err(what) = controller.take_list(&known, Origin::Cached) {
        tracing::warn!(%what, "cached list of servers is unusable and ignored");
    }
    let pilot = Rc::new(Pilot {
        clock,
        controller: RefCell::new(controller),
        connections: Connections::new(sockets - OWN_DESCRIPTORS, memory / INCOMPLETE_MEMORY_DIVISOR),
        discovery: Cell::new(discovery),
        is_ready: Cell::new(false),
        input: Event::new(),
        request_whole_list: Cell::new(false),
        list_requested: Event::new(),
    });
    let executor = Rc::new(LocalExecutor::new());
    tracing::info!(%name, %host, %discovery, sockets, "serving the platform");
    let result = oatlever_reactor::block_on(executor.run(async {
        let tasks = [
            executor.spawn(run_rounds(pilot.clone(), executor.clone(), names.clone())),
            executor.spawn(lists::follow(pilot.clone(), names.zones.clone(), follow_always)),
            executor.spawn(connections::accept(socket, pilot.clone(), executor.clone())),
            executor.spawn(log_status(pilot.clone())),
        ];
        let mut attempts = 0;
        loop {
            // Retries of a reload run beside the wait for signals, so that they don't delay a shutdown.
            let retry = async {
                if attempts == 0 {
                    future::pending::<()>().await;
                }
                Timer::after(Duration::from_secs_f64(RELOAD_DELAY)).await;
                Ok(Some(attempts - 1))
            };
            let replaced = async { signal_received(&reload_signal).await.map(|()| Some(RELOAD_ATTEMPTS)) };
            let terminated = async { signal_received(&terminate).await.map(|()| None) };
            let input = async {
                match end_with_input {
                    true => input_ended().await,
                    false => future::pending().await,
                }
                Ok(None)
            };
            match future::or(future::or(terminated, input), future::or(replaced, retry)).await {
                Ok(Some(left)) => attempts = left,
                Ok(None) | Err::<_, io::Error>(_) => break,
            }
            if reload(&pilot, &path, &names) {
                attempts = 0;
            }
        }
        tracing::info!("asked to end");
        connections::finish(&pilot).await;
        drop(tasks);
    }));
    result.map_err(|e| format!("reactor: {e}"))
}

/// Logs counters and estimates at intervals, and changes of whether any proxy is served.
async fn log_status(pilot: Rc<Pilot>) {
    let (mut idle, mut rejected) = (None, 0);
    loop {
        Timer::after(Duration::from_secs_f64(STATUS_LOG_PERIOD)).await;
        let controller = pilot.controller.borrow();
        let cause = controller.idle_cause(std::mem::replace(&mut rejected, controller.rejected()));
        match (std::mem::replace(&mut idle, cause), cause) {
            (before, Some(cause)) if before != Some(cause) => tracing::warn!(cause, "serves nobody"),
            (Some(_), None) if controller.serves() => tracing::info!("serves again"),
            _ => {}
        }
        let (listed, remembered) = controller.register.counts();
        let (open, unjoined) = pilot.connections.sizes();
        tracing::info!(open, unjoined, listed, remembered, beliefs = ?controller.beliefs, counts = ?controller.counts, "so far");
    }
}
