//! What all stand-ins of a run share.

use crate::askers::Asker;
use crate::record::{Event, Recorder, State};
use crate::script::{Instead, Realm, Script};
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

/// Faults that hit more than servers.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub scrapes_hang: bool,
    pub dns_lost: f64,
    pub dns_late: f64,
    pub roster_down: bool,
    pub list_cut: bool,
    pub list_empty: bool,
    /// Servers that the list calls gone.
    pub unlisted: Vec<Ipv4Addr>,
    /// Times the usual queries that come; 0 as long as nothing is said.
    pub surge: f64,
}

/// A server as the roster names it: address, zone, state, Unix time of its start; and its starts so far.
pub type Named = (Ipv4Addr, u8, State, f64, u32);

pub struct World {
    pub script: Script,
    pub realm: Realm,
    pub executor: Rc<LocalExecutor<'static>>,
    pub record: Recorder,
    pub faults: RefCell<Faults>,
    pub servers: RefCell<Vec<Rc<Server>>>,
    pub askers: RefCell<Vec<Rc<Asker>>>,
    /// What askers go by instead of the pilot's answers.
    pub instead: Option<Instead>,
    pub queries: Cell<u64>,
    chance: RefCell<fastrand::Rng>,
    /// What was true at each moment; the roster tells it late.
    truth: RefCell<VecDeque<(f64, Vec<Named>)>>,
}

impl World {
    pub fn new(
        script: Script,
        realm: Realm,
        instead: Option<Instead>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(World {
            chance: RefCell::new(fastrand::Rng::with_seed(script.seed)),
            script,
            realm,
            executor,
            record: Recorder::start(),
            faults: RefCell::default(),
            servers: RefCell::default(),
            askers: RefCell::default(),
            instead,
            queries: Cell::new(0),
            truth: RefCell::default(),
        })
    }

    pub fn now(&self) -> f64 {
        self.record.now()
    }

    pub fn chance(&self) -> f64 {
        self.chance.borrow_mut().f64()
    }

    /// The list as the roster tells it now: what was true a while ago, less what it gets wrong.
    pub fn listed(&self) -> Vec<Named> {
        let now = self.now();
        let servers = self.servers.borrow();
        let running = servers.iter().filter(|server| server.running.get()).map(|server| {
            let state = if server.draining.get() { State::Draining } else { State::Ready };
            (server.host, server.zone, state, server.started_unix.get(), server.starts.get())
        });
        let mut truth = self.truth.borrow_mut();
        truth.push_back((now, running.collect()));
        while truth.get(1).is_some_and(|(at, _)| now - at >= self.script.list_late) {
            truth.pop_front();
        }
        let faults = self.faults.borrow();
        let told = truth.front().map(|(_, list)| list.clone()).unwrap_or_default();
        let kept =
            told.into_iter().filter(|(host, ..)| !faults.list_empty && !faults.unlisted.contains(host));
        kept.collect()
    }

    /// What a rule of thumb makes of the list; none where askers go by the pilot.
    pub fn by_rule(&self) -> Option<Vec<(Ipv4Addr, u16)>> {
        let instead = self.instead?;
        let price = |zone: u8| self.script.costs.as_ref().map_or(0.0, |costs| costs.zones[usize::from(zone)]);
        let listed = self.listed();
        let least = listed.iter().map(|(_, zone, ..)| price(*zone)).fold(f64::INFINITY, f64::min);
        let taken =
            listed.into_iter().filter(|(_, zone, ..)| instead == Instead::Even || price(*zone) <= least);
        Some(taken.map(|(host, ..)| (host, 1)).collect())
    }

    /// The roster: Prometheus HTTP service discovery.
    pub async fn roster(self: Rc<Self>) {
        let host = self.realm.roster();
        let world = self.clone();
        let keep_up = async {
            loop {
                world.listed();
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        let world = self.clone();
        let serve = web::serve(host, self.executor.clone(), move |_, _| {
            let world = world.clone();
            async move {
                let listed = world.listed();
                let faults = world.faults.borrow().clone();
                if faults.roster_down {
                    return (500, String::new());
                }
                let group = |(host, zone, state, started, _): &Named| {
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
                let told =
                    listed.iter().map(|(host, _, state, _, starts)| (*host, *state, *starts)).collect();
                world.record.note(Event::Told(told));
                (200, text)
            }
        });
        futures_lite::future::or(keep_up, serve).await
    }
}
