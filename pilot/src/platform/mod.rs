//! The pilot on the operators' platform: its sockets, and the loop that keeps its rounds.
//!
//! `configuration` reads what a pilot is told at its start, `connections` hears and speaks to proxies and
//! collectors, `lists` follows discovery; `controller` gathers what they bring into rounds and knows no sockets.
//! All run on one thread.

mod configuration;
mod connections;
mod controller;
mod lists;

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
use oatlever_fetch::SingleThreaded;
use oatlever_reactor::{Async, Timer};
use oatlever_roster::platform::Origin;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Descriptors that are not connections of proxies and strangers: standard streams, the reactor's, the
/// listener, signals, calls to discovery and checks, with a few to spare.
const OWN_DESCRIPTORS: usize = 32;
/// Descriptors below which a pilot could take nobody in.
const LEAST_SOCKETS: usize = OWN_DESCRIPTORS + connections::NEWCOMERS + 1;
/// One part in so many of the memory may be held by messages that have begun and not ended.
const UNFINISHED_PART: usize = 4;
/// Health checks under way at once, each a descriptor.
const CHECKS_AT_ONCE: usize = 8;
/// What is asked of a server to see whether it runs.
const HEALTH: &str = "/health";
/// Connection times; an answer to a check takes a few at most, or is as good as none.
const CHECK_PATIENCE: f64 = 3.0;
/// s; between lines of the log that tell what the pilot sees.
const TELL_EVERY: f64 = 5.0;

/// What the tasks of the pilot's one thread share. No borrow is held across a wait.
struct Pilot {
    clock: Clock,
    controller: RefCell<Controller>,
    connections: Connections,
    discovery: Cell<SocketAddr>,
    /// It has answered a heartbeat.
    is_ready: Cell<bool>,
    /// Something came in that a round should take up.
    news: Event,
    /// The list is to be asked for anew, and whole; kept here as nobody may be listening when it is told.
    ask_anew: Cell<bool>,
    told_to_ask: Event,
}

impl Pilot {
    fn tell(&self) {
        self.news.notify(usize::MAX);
    }

    fn ask_list(&self) {
        self.ask_anew.set(true);
        self.told_to_ask.notify(usize::MAX);
    }
}

async fn rounds(
    pilot: Rc<Pilot>,
    executor: Rc<LocalExecutor<'static>>,
    names: oatlever_instance::PlatformSettings,
) {
    let probes = Rc::new(Probes::new(CHECKS_AT_ONCE));
    let (tick, patience) = (Duration::from_secs_f64(names.tick), names.connect_timeout * CHECK_PATIENCE);
    loop {
        let listener = pilot.news.listen();
        let now = pilot.clock.now();
        let done = pilot.controller.borrow_mut().step(now);
        for (connection, bytes) in done.messages {
            pilot.connections.say(connection, bytes);
        }
        for (server, process) in done.checks {
            executor.spawn(check(pilot.clone(), server, process, probes.clone(), patience)).detach();
        }
        for connection in done.silent {
            tracing::info!(connection, "fell silent");
            pilot.connections.close(connection);
        }
        if done.ask_list {
            pilot.ask_list();
        }
        let next = pilot.controller.borrow().next_at();
        let wait = async {
            match next {
                Some(at) => Timer::after(Duration::from_secs_f64((at - now).max(0.0))).await,
                None => future::pending().await,
            }
        };
        future::or(wait, listener).await;
        // What comes within a tick is one round's.
        Timer::after(tick).await;
    }
}

async fn check(pilot: Rc<Pilot>, server: Address, process: Process, probes: Rc<Probes>, patience: f64) {
    let fine = probes.is_fine::<SingleThreaded>(process.0, HEALTH.to_string(), patience).await;
    pilot.controller.borrow_mut().checked(server, process, fine);
    pilot.tell();
}

/// Takes up a replaced configuration; of it only discovery's address can change under a running pilot.
///
/// Guards against the file of another deployment, whose discovery lists servers that no proxy here may be
/// sent to.
fn reload(pilot: &Pilot, path: &Path, names: &oatlever_instance::PlatformSettings) -> bool {
    let ours =
        |fresh: &Configuration| (&fresh.names.zones, &fresh.names.classes) == (&names.zones, &names.classes);
    let fresh = Configuration::load(path).and_then(|fresh| match ours(&fresh) {
        true => Ok(fresh),
        false => Err(format!("{}: `settings` has other zones or classes", path.display())),
    });
    match fresh {
        Ok(fresh) => {
            tracing::info!(discovery = %fresh.discovery, "configuration taken up");
            pilot.discovery.set(fresh.discovery);
            pilot.ask_list();
            true
        }
        Err(what) => {
            tracing::warn!(%what, "configuration left aside");
            false
        }
    }
}

/// Times that a configuration is read again which is not whole yet, and s between them.
const RELOADS: usize = 10;
const RELOAD_PAUSE: f64 = 0.1;

/// What a pilot has before it has read anything.
pub struct Begun {
    /// Bytes that come as it is told to end, and as its configuration is replaced.
    ends: UnixStream,
    reloads: UnixStream,
    clock: Clock,
}

/// To be called before anything else: a signal that comes earlier ends the process by itself, and one that
/// comes between this and the loop is taken up there.
pub fn begin() -> Result<Begun, String> {
    let caught = |signals: &[i32]| -> io::Result<UnixStream> {
        let (hears, told) = UnixStream::pair()?;
        for signal in signals {
            pipe::register(*signal, told.try_clone()?)?;
        }
        Ok(hears)
    };
    let both = caught(&[SIGTERM, SIGINT]).and_then(|ends| Ok((ends, caught(&[SIGHUP])?)));
    let (ends, reloads) = both.map_err(|e| format!("signals: {e}"))?;
    Ok(Begun { ends, reloads, clock: Clock::unix() })
}

/// Waits for a signal; several that came before it was waited for are one.
async fn signalled(signals: &Async<UnixStream>) -> io::Result<()> {
    signals.read_with(|mut signals| signals.read(&mut [0; 64])).await.map(drop)
}

/// Waits until standard input ends; for good where it can't be waited for, as it is a file.
async fn input_ended() {
    let Ok(input) = Async::new(io::stdin()) else { return future::pending().await };
    while input.read_with(|input| input.lock().read(&mut [0; 64])).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Runs until SIGTERM or SIGINT, and no longer than standard input lasts where it is to end with it. Errors: what
/// could not be started.
pub fn run(
    configuration: Configuration,
    path: PathBuf,
    begun: Begun,
    end_with_input: bool,
) -> Result<(), String> {
    let Begun { ends, reloads, clock } = begun;
    let signals = Async::new(ends).and_then(|ends| Ok((ends, Async::new(reloads)?)));
    let (ends, reloads) = signals.map_err(|e| format!("signals: {e}"))?;
    let Configuration { name, listen: host, discovery, seed, sockets, memory, known, start, names } =
        configuration;
    let socket = listen(host).and_then(Async::new);
    let socket = socket.map_err(|e| format!("cannot listen on {host}: {e}"))?;
    // The port is the system's where any is asked for by 0.
    let host = socket.get_ref().local_addr().unwrap_or(host);
    tracing::debug!(?start, ?names, "told");
    let follows = !start.site.list_on_request;
    let mut controller = Controller::new(start, &names, seed);
    // Guards against a start that is refused for what discovery tells anew anyway.
    if let Err(what) = controller.list(&known, Origin::Cached) {
        tracing::warn!(%what, "known list left aside");
    }
    let pilot = Rc::new(Pilot {
        clock,
        controller: RefCell::new(controller),
        connections: Connections::new(sockets - OWN_DESCRIPTORS, memory / UNFINISHED_PART),
        discovery: Cell::new(discovery),
        is_ready: Cell::new(false),
        news: Event::new(),
        ask_anew: Cell::new(false),
        told_to_ask: Event::new(),
    });
    let executor = Rc::new(LocalExecutor::new());
    tracing::info!(%name, %host, %discovery, sockets, "serving the platform");
    let ran = oatlever_reactor::block_on(executor.run(async {
        let tasks = [
            executor.spawn(rounds(pilot.clone(), executor.clone(), names.clone())),
            executor.spawn(lists::follow(pilot.clone(), names.zones.clone(), follows)),
            executor.spawn(connections::accept(socket, pilot.clone(), executor.clone())),
            executor.spawn(tell_counts(pilot.clone())),
        ];
        let mut tries = 0;
        loop {
            // A configuration is tried again beside the wait for signals: the one to end must not wait for
            // it.
            let again = async {
                if tries == 0 {
                    future::pending::<()>().await;
                }
                Timer::after(Duration::from_secs_f64(RELOAD_PAUSE)).await;
                Ok(Some(tries - 1))
            };
            let replaced = async { signalled(&reloads).await.map(|()| Some(RELOADS)) };
            let told = async { signalled(&ends).await.map(|()| None) };
            let input = async {
                match end_with_input {
                    true => input_ended().await,
                    false => future::pending().await,
                }
                Ok(None)
            };
            match future::or(future::or(told, input), future::or(replaced, again)).await {
                Ok(Some(left)) => tries = left,
                Ok(None) | Err::<_, io::Error>(_) => break,
            }
            if reload(&pilot, &path, &names) {
                tries = 0;
            }
        }
        tracing::info!("asked to end");
        connections::finish(&pilot).await;
        drop(tasks);
    }));
    ran.map_err(|e| format!("waits: {e}"))
}

async fn tell_counts(pilot: Rc<Pilot>) {
    let (mut idle, mut turned_away) = (None, 0);
    loop {
        Timer::after(Duration::from_secs_f64(TELL_EVERY)).await;
        let controller = pilot.controller.borrow();
        let cause = controller.idles(std::mem::replace(&mut turned_away, controller.turned_away()));
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
