//! State that all stand-ins of a run share, and service discovery.

use crate::askers::Asker;
use crate::record::{Event, Recorder, State};
use crate::script::{Baseline, Realm, Script};
use crate::servers::Server;
use crate::web;
use async_executor::LocalExecutor;
use async_io::Timer;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Active faults of service discovery, DNS, metrics and demand. Faults of servers, relays and the pilot are applied to
/// these directly.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Metrics and load reports are not delivered.
    pub scrapes_hang: bool,
    /// Share of DNS queries that are lost.
    pub dns_lost: f64,
    /// Delay of DNS queries, in seconds.
    pub dns_late: f64,
    /// Service discovery responds with status 500.
    pub discovery_down: bool,
    /// The list of service discovery is truncated in the middle.
    pub list_cut: bool,
    /// The list of service discovery is empty.
    pub list_empty: bool,
    /// Running servers that are missing from the list of service discovery.
    pub unlisted: Vec<Ipv4Addr>,
    /// Factor on the usual rate of queries while a surge is active; 0 if none is.
    pub surge: f64,
}

/// A server in service discovery: address, zone, state, Unix time of its start, and number of its starts.
pub type ListedServer = (Ipv4Addr, u8, State, f64, u32);

pub struct World {
    pub script: Script,
    pub realm: Realm,
    pub executor: Rc<LocalExecutor<'static>>,
    pub recorder: Recorder,
    pub faults: RefCell<Faults>,
    pub servers: RefCell<Vec<Rc<Server>>>,
    pub askers: RefCell<Vec<Rc<Asker>>>,
    /// The policy that askers select servers by instead of querying the pilot, for comparison; `None` to query the
    /// pilot.
    pub baseline: Option<Baseline>,
    /// Number of queries since the start.
    pub queries: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    /// Recent states of the servers with their times, oldest first. Service discovery serves them with a delay.
    history: RefCell<VecDeque<(f64, Vec<ListedServer>)>>,
}

impl World {
    pub fn new(
        script: Script,
        realm: Realm,
        baseline: Option<Baseline>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(World {
            rng: RefCell::new(fastrand::Rng::with_seed(script.seed)),
            script,
            realm,
            executor,
            recorder: Recorder::start(),
            faults: RefCell::default(),
            servers: RefCell::default(),
            askers: RefCell::default(),
            baseline,
            queries: Cell::new(0),
            history: RefCell::default(),
        })
    }

    pub fn now(&self) -> f64 {
        self.recorder.now()
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    /// Appends the servers' current states to the history, drops entries that are no longer needed, and returns the
    /// list that service discovery serves: the delayed states, changed by active faults.
    pub fn update_listed_servers(&self) -> Vec<ListedServer> {
        let now = self.now();
        let servers = self.servers.borrow();
        let running = servers.iter().filter(|server| server.running.get()).map(|server| {
            let state = if server.draining.get() { State::Draining } else { State::Ready };
            (server.host, server.zone, state, server.started_unix.get(), server.starts.get())
        });
        let mut history = self.history.borrow_mut();
        history.push_back((now, running.collect()));
        while history.get(1).is_some_and(|(at, _)| now - at >= self.script.list_late) {
            history.pop_front();
        }
        let faults = self.faults.borrow();
        let delayed = history.front().map(|(_, list)| list.clone()).unwrap_or_default();
        let listed =
            delayed.into_iter().filter(|(host, ..)| !faults.list_empty && !faults.unlisted.contains(host));
        listed.collect()
    }

    /// Returns the lines that the baseline policy selects from the list, each a server's address and its weight as in a
    /// DNS answer (always 1, as the policies weigh servers equally); `None` without such a policy.
    pub fn baseline_lines(&self) -> Option<Vec<(Ipv4Addr, u16)>> {
        let baseline = self.baseline?;
        let price = |zone: u8| self.script.costs.as_ref().map_or(0.0, |costs| costs.zones[usize::from(zone)]);
        let listed = self.update_listed_servers();
        let lowest = listed.iter().map(|(_, zone, ..)| price(*zone)).fold(f64::INFINITY, f64::min);
        let chosen =
            listed.into_iter().filter(|(_, zone, ..)| baseline == Baseline::Even || price(*zone) <= lowest);
        Some(chosen.map(|(host, ..)| (host, 1)).collect())
    }

    /// Serves the list in the format of Prometheus HTTP service discovery.
    pub async fn serve_discovery(self: Rc<Self>) {
        let host = self.realm.discovery();
        let world = self.clone();
        // The history is extended at regular intervals, also when nobody requests the list.
        let update_history = async {
            loop {
                world.update_listed_servers();
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        let world = self.clone();
        let serve = web::serve(host, self.executor.clone(), move |_, _| {
            let world = world.clone();
            async move {
                let listed = world.update_listed_servers();
                let faults = world.faults.borrow().clone();
                if faults.discovery_down {
                    return (500, String::new());
                }
                let group = |(host, zone, state, started, _): &ListedServer| {
                    let port = crate::script::SERVICE_PORT;
                    let state = if *state == State::Draining { "draining" } else { "ready" };
                    json!({"targets": [format!("{host}:{port}")], "labels": {"zone": format!("zone-{zone}"),
                        "state": state, "started": started.to_string(), "weight": "1",
                        "metrics": format!("{host}:{port}")}})
                };
                let text = json!(listed.iter().map(group).collect::<Vec<_>>()).to_string();
                if faults.list_cut {
                    return (200, text[..text.len() / 2].to_string());
                }
                let list =
                    listed.iter().map(|(host, _, state, _, starts)| (*host, *state, *starts)).collect();
                world.recorder.record(Event::Told(list));
                (200, text)
            }
        });
        futures_lite::future::or(update_history, serve).await
    }
}
