//! What is wrong with the record of a run.
//!
//! Bounds are those of the operators' pages, or of our own where those name none; none is taken from what was measured.

use super::plan::{Plan, FALL_MULTIPLE, MEMORY_MB, RATE, START_CAPACITY, WARM_WITHIN};
use super::record::{Connection, Ending, Entry, Event, Exit, Life, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// s; a process is ready within this. Nine in ten are within `MOSTLY_READY_WITHIN`, over all runs.
pub const READY_WITHIN: f64 = 30.0;
pub const MOSTLY_READY_WITHIN: f64 = 10.0;
/// s; a proxy that has joined a pilot that is ready holds a table that it can use, as long as a server is open.
pub const SERVED_WITHIN: f64 = 3.3;
/// s; a server that drains is in no table of a joined proxy after this.
pub const DRAINED_WITHIN: f64 = 2.3;
/// s; a cold server falls over that is brought too much for so long.
pub const FALLS_AFTER: f64 = 2.3;
/// s; the young life of a process, of which memory and descriptors are not compared.
const SETTLES_WITHIN: f64 = 20.0;
/// KiB and descriptors by which a process may grow after that.
const GROWS_MEMORY: u64 = 2048;
const GROWS_DESCRIPTORS: u64 = 8;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Requests that were read and never answered, though nobody killed the pilot.
    Unanswered {
        connection: Connection,
        requests: usize,
    },
    /// A proxy that had joined and no server to go to.
    NoTable {
        proxy: u16,
        seconds: f64,
    },
    /// A table that still names a server that was to be left.
    NotDrained {
        proxy: u16,
        server: String,
        seconds: f64,
    },
    /// Requests a second for a cold server, and what it bears.
    PushedOver {
        server: String,
        brought: f64,
        bears: f64,
    },
    /// The exit of a process that nobody killed.
    WrongExit {
        life: Life,
        exit: Exit,
    },
    NotReady {
        life: Life,
    },
    Panicked {
        life: Life,
        line: String,
    },
    /// Over the limits of a pilot.
    OverLimit {
        life: Life,
        memory: u64,
        descriptors: u64,
    },
    /// More and more memory or descriptors.
    Grows {
        life: Life,
        memory: (u64, u64),
        descriptors: (u64, u64),
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::Unanswered { connection, requests } => {
                write!(f, "connection {connection}: {requests} requests were read and not answered")
            }
            Violation::NoTable { proxy, seconds } => {
                write!(f, "proxy {proxy}: no endpoint for {seconds:.2} s")
            }
            Violation::NotDrained { proxy, server, seconds } => {
                write!(f, "proxy {proxy}: still sends to {server} after {seconds:.2} s")
            }
            Violation::PushedOver { server, brought, bears } => {
                write!(f, "{server}: is brought {brought:.1} requests a second, and bears {bears:.1}")
            }
            Violation::WrongExit { life, exit } => write!(f, "process {life}: ended with {exit:?}"),
            Violation::NotReady { life } => write!(f, "process {life}: not ready"),
            Violation::Panicked { life, line } => write!(f, "process {life}: {line}"),
            Violation::OverLimit { life, memory, descriptors } => {
                write!(f, "process {life}: {memory} KiB, {descriptors} descriptors")
            }
            Violation::Grows { life, memory, descriptors } => {
                write!(f, "process {life}: grew from {memory:?} KiB, {descriptors:?} descriptors")
            }
        }
    }
}

/// s from the start of each process to its first answer.
pub fn times_to_ready(record: &[Entry]) -> Vec<f64> {
    let started: BTreeMap<Life, f64> = record
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Started { life } => Some((life, entry.at)),
            _ => None,
        })
        .collect();
    let ready = record.iter().filter_map(|entry| match entry.event {
        Event::Ready { life } => Some(entry.at - started.get(&life)?),
        _ => None,
    });
    ready.collect()
}

/// All that is wrong with a run.
pub fn check(plan: &Plan, record: &[Entry]) -> Vec<Violation> {
    let mut found = unanswered(record);
    found.extend(exits(record));
    found.extend(not_ready(record));
    found.extend(growth(plan, record));
    found.extend(Replay::new(plan).run(record));
    found
}

/// A connection that was closed, not reset, has had all its requests read.
fn unanswered(record: &[Entry]) -> Vec<Violation> {
    let killed: BTreeSet<Life> = record
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Exited { life, exit: Exit::KilledUnasked } => Some(life),
            _ => None,
        })
        .collect();
    let mut owed: BTreeMap<Connection, (Life, usize)> = BTreeMap::new();
    let mut found = Vec::new();
    for entry in record {
        match entry.event {
            Event::Asked { connection, life } => owed.entry(connection).or_insert((life, 0)).1 += 1,
            Event::Answered { connection } => {
                if let Some((_, requests)) = owed.get_mut(&connection) {
                    *requests = requests.saturating_sub(1);
                }
            }
            Event::Ended { connection, ending: Ending::Closed } => {
                let (life, requests) = owed.remove(&connection).unwrap_or_default();
                if requests > 0 && !killed.contains(&life) {
                    found.push(Violation::Unanswered { connection, requests });
                }
            }
            _ => {}
        }
    }
    found
}

fn exits(record: &[Entry]) -> Vec<Violation> {
    let mut found = Vec::new();
    for entry in record {
        match &entry.event {
            Event::Exited { exit: Exit::Status(Some(0)) | Exit::KilledUnasked, .. } => {}
            Event::Exited { life, exit } => found.push(Violation::WrongExit { life: *life, exit: *exit }),
            Event::Panicked { life, line } => {
                found.push(Violation::Panicked { life: *life, line: line.clone() });
            }
            _ => {}
        }
    }
    found
}

/// Processes that were not ready in time, and were not ended before.
fn not_ready(record: &[Entry]) -> Vec<Violation> {
    let mut waits: BTreeMap<Life, f64> = BTreeMap::new();
    let end = record.last().map_or(0.0, |entry| entry.at);
    let mut found = Vec::new();
    for entry in record {
        match entry.event {
            Event::Started { life } => drop(waits.insert(life, entry.at)),
            Event::Ready { life } => {
                let since = waits.remove(&life).unwrap_or(entry.at);
                if entry.at - since > READY_WITHIN {
                    found.push(Violation::NotReady { life });
                }
            }
            Event::AskedToEnd { life } | Event::Exited { life, .. } => drop(waits.remove(&life)),
            _ => {}
        }
    }
    let late = waits.into_iter().filter(|(_, since)| end - since > MOSTLY_READY_WITHIN);
    found.extend(late.map(|(life, _)| Violation::NotReady { life }));
    found
}

fn growth(plan: &Plan, record: &[Entry]) -> Vec<Violation> {
    let mut samples: BTreeMap<Life, Vec<(f64, u64, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    for entry in record {
        if let Event::Holds { life, memory, descriptors } = entry.event {
            samples.entry(life).or_default().push((entry.at, memory, descriptors));
            if memory > MEMORY_MB * 1024 || descriptors > plan.sockets {
                found.push(Violation::OverLimit { life, memory, descriptors });
            }
        }
    }
    for (life, samples) in samples {
        let start = samples[0].0;
        let settled: Vec<_> =
            samples.into_iter().filter(|sample| sample.0 - start > SETTLES_WITHIN).collect();
        // The most of each half: single samples swing with who has just come and gone.
        let (first, last) = settled.split_at(settled.len() / 2);
        let most = |half: &[(f64, u64, u64)]| {
            half.iter().fold((0, 0), |most, sample| (most.0.max(sample.1), most.1.max(sample.2)))
        };
        let (before, after) = (most(first), most(last));
        let grows = after.0 > before.0 + GROWS_MEMORY || after.1 > before.1 + GROWS_DESCRIPTORS;
        if !first.is_empty() && grows {
            let (memory, descriptors) = ((before.0, after.0), (before.1, after.1));
            found.push(Violation::Grows { life, memory, descriptors });
        }
    }
    found
}

/// What a proxy has, and since when something is wrong with it.
#[derive(Default)]
struct Proxy {
    life: Life,
    joined_at: f64,
    table: Table,
    admitted: f64,
    empty_since: Option<f64>,
    told: bool,
}

/// Tables, servers and processes as a run goes on.
struct Replay<'a> {
    plan: &'a Plan,
    proxies: BTreeMap<u16, Proxy>,
    /// Open servers and when they started; those to be left and since when.
    open: BTreeMap<String, f64>,
    closed: BTreeMap<String, f64>,
    /// Since when a list with an open server is there.
    open_since: Option<f64>,
    /// When each process was ready, and those that are asked to end.
    ready: BTreeMap<Life, f64>,
    ending: BTreeSet<Life>,
    /// Since when a cold server is brought too much.
    pushed_since: BTreeMap<String, f64>,
    found: Vec<Violation>,
    told: BTreeSet<String>,
}

impl Replay<'_> {
    fn new(plan: &Plan) -> Replay<'_> {
        Replay {
            plan,
            proxies: BTreeMap::new(),
            open: BTreeMap::new(),
            closed: BTreeMap::new(),
            open_since: None,
            ready: BTreeMap::new(),
            ending: BTreeSet::new(),
            pushed_since: BTreeMap::new(),
            found: Vec::new(),
            told: BTreeSet::new(),
        }
    }

    fn run(mut self, record: &[Entry]) -> Vec<Violation> {
        for entry in record {
            // What held until now is judged by what was so until now.
            self.judge(entry.at);
            self.take(entry);
        }
        self.found
    }

    fn take(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Ready { life } => drop(self.ready.insert(*life, at)),
            Event::AskedToEnd { life } | Event::Exited { life, .. } => drop(self.ending.insert(*life)),
            Event::Joined { proxy, life } => {
                let held = self.proxies.remove(proxy).unwrap_or_default();
                let empty_since = self.is_empty(&held.table).then_some(at);
                let joined = Proxy { life: *life, joined_at: at, empty_since, told: false, ..held };
                self.proxies.insert(*proxy, joined);
            }
            Event::Left { proxy } => {
                // Its table stays with it; nothing is promised until it joins again.
                if let Some(proxy) = self.proxies.get_mut(proxy) {
                    proxy.life = Life::MAX;
                }
            }
            Event::Holding { proxy, table, admitted } => {
                let empty = self.is_empty(table);
                let held = self.proxies.entry(*proxy).or_default();
                (held.table, held.admitted) = (table.clone(), *admitted);
                held.empty_since = if empty { held.empty_since.or(Some(at)) } else { None };
            }
            Event::Listed { server, started } => {
                self.open.insert(server.clone(), *started);
                self.closed.remove(server);
                self.open_since.get_or_insert(at);
            }
            Event::Closed { server } => {
                self.open.remove(server);
                self.closed.insert(server.clone(), at);
                self.open_since = self.open_since.filter(|_| !self.open.is_empty());
                for proxy in self.proxies.values_mut() {
                    let usable = proxy.table.keys().any(|server| self.open.contains_key(server));
                    proxy.empty_since = if usable { None } else { proxy.empty_since.or(Some(at)) };
                }
            }
            _ => {}
        }
    }

    fn is_empty(&self, table: &Table) -> bool {
        !table.iter().any(|(server, weight)| *weight > 0.0 && self.open.contains_key(server))
    }

    /// s since when all of this holds, at most: the proxy has joined, its pilot is ready, and some moment.
    fn since(&self, proxy: &Proxy, moment: f64, now: f64) -> Option<f64> {
        let ready = self.ready.get(&proxy.life).filter(|_| !self.ending.contains(&proxy.life))?;
        Some(now - moment.max(proxy.joined_at).max(*ready))
    }

    fn judge(&mut self, now: f64) {
        let mut found = Vec::new();
        let mut told = Vec::new();
        for (number, proxy) in &self.proxies {
            if let Some(empty) = proxy.empty_since.zip(self.open_since).map(|(a, b)| a.max(b)) {
                if let Some(seconds) =
                    self.since(proxy, empty, now).filter(|s| *s > SERVED_WITHIN && !proxy.told)
                {
                    found.push(Violation::NoTable { proxy: *number, seconds });
                    told.push(*number);
                }
            }
            for (server, since) in &self.closed {
                let named = proxy.table.get(server).is_some_and(|weight| *weight > 0.0);
                let late = |s: &f64| *s > DRAINED_WITHIN && named && !proxy.told;
                if let Some(seconds) = self.since(proxy, *since, now).filter(late) {
                    found.push(Violation::NotDrained { proxy: *number, server: server.clone(), seconds });
                    told.push(*number);
                }
            }
        }
        for number in told {
            self.proxies.entry(number).or_default().told = true;
        }
        self.found.extend(found);
        self.judge_cold(now);
    }

    fn judge_cold(&mut self, now: f64) {
        let mut brought: BTreeMap<&String, f64> = BTreeMap::new();
        // Of one that has left its pilot, no order is obeyed.
        for proxy in self.proxies.values().filter(|proxy| proxy.life != Life::MAX) {
            let all: f64 = proxy.table.values().sum();
            for (server, weight) in &proxy.table {
                *brought.entry(server).or_default() +=
                    RATE * proxy.admitted * weight / all.max(f64::MIN_POSITIVE);
            }
        }
        for (server, started) in &self.open {
            let warmed = ((now - started) / WARM_WITHIN).clamp(0.0, 1.0);
            let bears =
                self.plan.carries() * (START_CAPACITY + (1.0 - START_CAPACITY) * warmed) * FALL_MULTIPLE;
            let brought = brought.get(server).copied().unwrap_or(0.0);
            if warmed >= 1.0 || brought <= bears {
                self.pushed_since.remove(server);
                continue;
            }
            let since = *self.pushed_since.entry(server.clone()).or_insert(now);
            if now - since > FALLS_AFTER && self.told.insert(server.clone()) {
                self.found.push(Violation::PushedOver { server: server.clone(), brought, bears });
            }
        }
    }
}
