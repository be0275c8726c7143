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

/// Active faults of everything but servers, relays and the pilot.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Metrics and load reports are not delivered.
    pub scrapes_hang: bool,
    /// Share of DNS queries that are lost.
    pub dns_lost: f64,
    /// Delay of DNS queries in seconds.
    pub dns_late: f64,
    pub discovery_down: bool,
    pub list_cut: bool,
    pub list_empty: bool,
    /// Running servers that are missing from the list.
    pub unlisted: Vec<Ipv4Addr>,
    /// Multiple of the usual rate of queries; 0 for none.
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
    /// Replaces the pilot's answers.
    pub baseline: Option<Baseline>,
    /// Number of queries so far.
    pub queries: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    /// Recent states of the servers by time, from which service discovery takes a delayed one.
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

    /// Returns the current list of service discovery: the servers' delayed states, changed by active faults.
    pub fn listed_servers(&self) -> Vec<ListedServer> {
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

    /// Returns the lines that the baseline policy chooses from the list; `None` without such a policy.
    pub fn baseline_lines(&self) -> Option<Vec<(Ipv4Addr, u16)>> {
        let baseline = self.baseline?;
        let price = |zone: u8| self.script.costs.as_ref().map_or(0.0, |costs| costs.zones[usize::from(zone)]);
        let listed = self.listed_servers();
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
                world.listed_servers();
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        let world = self.clone();
        let serve = web::serve(host, self.executor.clone(), move |_, _| {
            let world = world.clone();
            async move {
                let listed = world.listed_servers();
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
