//! Checks the recorded events of a run.
//!
//! The limits come from the operators' documentation, or from this project's where that has none; none is derived from
//! measurements.

use super::plan::{Plan, FALL_MULTIPLE, MEMORY_MB, RATE, START_CAPACITY, WARM_WITHIN};
use super::record::{Connection, Ending, Entry, Event, Exit, ProcessNumber, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Seconds within which every process must be ready.
pub const READY_WITHIN: f64 = 30.0;
/// Seconds within which nine of ten processes must be ready, over all runs.
pub const MOSTLY_READY_WITHIN: f64 = 10.0;
/// Seconds within which a proxy attached to a ready pilot must have a table with an `up` server, if there is one.
pub const SERVED_WITHIN: f64 = 3.3;
/// Seconds after which a draining server must be in no table of an attached proxy.
pub const DRAINED_WITHIN: f64 = 2.3;
/// Seconds of overload after which a cold server fails.
pub const FAILS_AFTER: f64 = 2.3;
/// Seconds after the start of a process during which its memory and descriptors may grow freely.
const SETTLING_TIME: f64 = 20.0;
/// KiB by which a process may grow after the settling time.
const MAX_MEMORY_GROWTH: u64 = 2048;
/// Descriptors by which a process may grow after the settling time.
const MAX_DESCRIPTOR_GROWTH: u64 = 8;

/// A violation of a guarantee or of a limit.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Requests that a pilot read and didn't answer, although it wasn't killed without a SIGTERM.
    Unanswered {
        connection: Connection,
        requests: usize,
    },
    /// An attached proxy had no `up` server in its table.
    NoUsableServer {
        proxy: u16,
        seconds: f64,
    },
    /// The table of a proxy still contains a draining server.
    NotDrained {
        proxy: u16,
        server: String,
        seconds: f64,
    },
    /// A cold server received more requests per second than its limit for too long.
    ColdServerOverloaded {
        server: String,
        rate: f64,
        limit: f64,
    },
    /// A process exited otherwise than with status 0 after SIGTERM.
    UnexpectedExit {
        process: ProcessNumber,
        exit: Exit,
    },
    NotReady {
        process: ProcessNumber,
    },
    Panicked {
        process: ProcessNumber,
        line: String,
    },
    /// Memory in KiB or descriptors above the limits of a pilot.
    LimitExceeded {
        process: ProcessNumber,
        memory: u64,
        descriptors: u64,
    },
    /// Memory in KiB or descriptors of a process kept growing; pairs are before and after.
    ResourceGrowth {
        process: ProcessNumber,
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
            Violation::NoUsableServer { proxy, seconds } => {
                write!(f, "proxy {proxy}: no usable server for {seconds:.2} s")
            }
            Violation::NotDrained { proxy, server, seconds } => {
                write!(f, "proxy {proxy}: still sends to {server} after {seconds:.2} s")
            }
            Violation::ColdServerOverloaded { server, rate, limit } => {
                write!(f, "{server}: cold, receives {rate:.1} requests/s, limit {limit:.1}")
            }
            Violation::UnexpectedExit { process, exit } => {
                write!(f, "process {process}: ended with {exit:?}")
            }
            Violation::NotReady { process } => write!(f, "process {process}: not ready in time"),
            Violation::Panicked { process, line } => write!(f, "process {process}: {line}"),
            Violation::LimitExceeded { process, memory, descriptors } => {
                write!(f, "process {process}: {memory} KiB, {descriptors} descriptors exceed a limit")
            }
            Violation::ResourceGrowth { process, memory, descriptors } => {
                write!(
                    f,
                    "process {process}: grew from {} to {} KiB and from {} to {} descriptors",
                    memory.0, memory.1, descriptors.0, descriptors.1
                )
            }
        }
    }
}

/// Seconds from the start of each process to its first answer.
pub fn times_to_ready(record: &[Entry]) -> Vec<f64> {
    let started: BTreeMap<ProcessNumber, f64> = record
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

/// Returns all violations of a run.
pub fn check(plan: &Plan, record: &[Entry]) -> Vec<Violation> {
    let mut found = unanswered(record);
    found.extend(exits(record));
    found.extend(not_ready(record));
    found.extend(growth(plan, record));
    found.extend(Replay::new(plan).run(record));
    found
}

/// Finds unanswered requests. On a connection that was closed, not reset, all requests have been read that were sent
/// before the process exited.
fn unanswered(record: &[Entry]) -> Vec<Violation> {
    let killed: BTreeSet<ProcessNumber> = record
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Exited { life, exit: Exit::KilledUnasked } => Some(life),
            _ => None,
        })
        .collect();
    let mut pending: BTreeMap<Connection, (ProcessNumber, usize)> = BTreeMap::new();
    let mut exited = BTreeSet::new();
    let mut found = Vec::new();
    for entry in record {
        match entry.event {
            Event::Exited { life, .. } => drop(exited.insert(life)),
            Event::Asked { life, .. } if exited.contains(&life) => {}
            Event::Asked { connection, life } => pending.entry(connection).or_insert((life, 0)).1 += 1,
            Event::Answered { connection } | Event::NotRead { connection } => {
                if let Some((_, requests)) = pending.get_mut(&connection) {
                    *requests = requests.saturating_sub(1);
                }
            }
            Event::Ended { connection, ending: Ending::Closed } => {
                let (process, requests) = pending.remove(&connection).unwrap_or_default();
                if requests > 0 && !killed.contains(&process) {
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
            Event::Exited { life, exit } => {
                found.push(Violation::UnexpectedExit { process: *life, exit: *exit })
            }
            Event::Panicked { life, line } => {
                found.push(Violation::Panicked { process: *life, line: line.clone() });
            }
            _ => {}
        }
    }
    found
}

/// Finds processes that were not ready in time and were not terminated before.
fn not_ready(record: &[Entry]) -> Vec<Violation> {
    let mut waiting: BTreeMap<ProcessNumber, f64> = BTreeMap::new();
    let end = record.last().map_or(0.0, |entry| entry.at);
    let mut found = Vec::new();
    for entry in record {
        match entry.event {
            Event::Started { life } => drop(waiting.insert(life, entry.at)),
            Event::Ready { life } => {
                let since = waiting.remove(&life).unwrap_or(entry.at);
                if entry.at - since > READY_WITHIN {
                    found.push(Violation::NotReady { process: life });
                }
            }
            Event::AskedToEnd { life } | Event::Exited { life, .. } => drop(waiting.remove(&life)),
            _ => {}
        }
    }
    let late = waiting.into_iter().filter(|(_, since)| end - since > MOSTLY_READY_WITHIN);
    found.extend(late.map(|(process, _)| Violation::NotReady { process }));
    found
}

/// Finds processes above a limit, and those whose memory or descriptors keep growing.
fn growth(plan: &Plan, record: &[Entry]) -> Vec<Violation> {
    let mut samples: BTreeMap<ProcessNumber, Vec<(f64, u64, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    for entry in record {
        if let Event::Holds { life, memory, descriptors } = entry.event {
            samples.entry(life).or_default().push((entry.at, memory, descriptors));
            if memory > MEMORY_MB * 1024 || descriptors > plan.sockets {
                found.push(Violation::LimitExceeded { process: life, memory, descriptors });
            }
        }
    }
    for (process, samples) in samples {
        let start = samples[0].0;
        let settled: Vec<_> = samples.into_iter().filter(|sample| sample.0 - start > SETTLING_TIME).collect();
        // Maxima of both halves are compared, as single samples vary with clients that connect and disconnect.
        let (first, last) = settled.split_at(settled.len() / 2);
        let maximum = |half: &[(f64, u64, u64)]| {
            half.iter().fold((0, 0), |max, sample| (max.0.max(sample.1), max.1.max(sample.2)))
        };
        let (before, after) = (maximum(first), maximum(last));
        let grows = after.0 > before.0 + MAX_MEMORY_GROWTH || after.1 > before.1 + MAX_DESCRIPTOR_GROWTH;
        if !first.is_empty() && grows {
            let (memory, descriptors) = ((before.0, after.0), (before.1, after.1));
            found.push(Violation::ResourceGrowth { process, memory, descriptors });
        }
    }
    found
}

/// The state of a proxy during replay.
#[derive(Default)]
struct Proxy {
    /// The process that it is attached to; `DETACHED` for none.
    process: ProcessNumber,
    attached_at: f64,
    table: Table,
    admitted: f64,
    /// Time since which its table has no `up` server.
    empty_since: Option<f64>,
    /// A violation has been found since it attached.
    reported: bool,
}

const DETACHED: ProcessNumber = ProcessNumber::MAX;

/// Replays a run to check tables and the load of cold servers.
struct Replay<'a> {
    plan: &'a Plan,
    proxies: BTreeMap<u16, Proxy>,
    /// Start times of the `up` servers.
    up: BTreeMap<String, f64>,
    /// Times at which servers were listed as draining.
    draining: BTreeMap<String, f64>,
    /// Time since which at least one server has been `up`.
    up_since: Option<f64>,
    /// Times at which processes became ready.
    ready: BTreeMap<ProcessNumber, f64>,
    /// Processes that were sent SIGTERM or exited.
    ended: BTreeSet<ProcessNumber>,
    /// Times since which cold servers have been overloaded.
    overloaded_since: BTreeMap<String, f64>,
    found: Vec<Violation>,
    /// Servers whose overload has been reported.
    reported: BTreeSet<String>,
}

impl Replay<'_> {
    fn new(plan: &Plan) -> Replay<'_> {
        Replay {
            plan,
            proxies: BTreeMap::new(),
            up: BTreeMap::new(),
            draining: BTreeMap::new(),
            up_since: None,
            ready: BTreeMap::new(),
            ended: BTreeSet::new(),
            overloaded_since: BTreeMap::new(),
            found: Vec::new(),
            reported: BTreeSet::new(),
        }
    }

    fn run(mut self, record: &[Entry]) -> Vec<Violation> {
        for entry in record {
            // The state before the event lasted until now.
            self.check_tables(entry.at);
            self.check_cold_servers(entry.at);
            self.apply(entry);
        }
        self.found
    }

    fn apply(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Ready { life } => drop(self.ready.insert(*life, at)),
            Event::AskedToEnd { life } | Event::Exited { life, .. } => drop(self.ended.insert(*life)),
            Event::Joined { proxy, life } => {
                let before = self.proxies.remove(proxy).unwrap_or_default();
                let empty_since = self.is_empty(&before.table).then_some(at);
                let attached =
                    Proxy { process: *life, attached_at: at, empty_since, reported: false, ..before };
                self.proxies.insert(*proxy, attached);
            }
            Event::Left { proxy } => {
                // It keeps its table, but has no guarantees until it attaches again.
                if let Some(proxy) = self.proxies.get_mut(proxy) {
                    proxy.process = DETACHED;
                }
            }
            Event::Holding { proxy, table, admitted } => {
                let empty = self.is_empty(table);
                let proxy = self.proxies.entry(*proxy).or_default();
                (proxy.table, proxy.admitted) = (table.clone(), *admitted);
                proxy.empty_since = if empty { proxy.empty_since.or(Some(at)) } else { None };
            }
            Event::Listed { server, started } => {
                self.up.insert(server.clone(), *started);
                self.draining.remove(server);
                self.up_since.get_or_insert(at);
            }
            Event::Closed { server } => {
                self.up.remove(server);
                self.draining.insert(server.clone(), at);
                self.up_since = self.up_since.filter(|_| !self.up.is_empty());
                for proxy in self.proxies.values_mut() {
                    let usable = proxy.table.keys().any(|server| self.up.contains_key(server));
                    proxy.empty_since = if usable { None } else { proxy.empty_since.or(Some(at)) };
                }
            }
            _ => {}
        }
    }

    /// Whether a table has no `up` server.
    fn is_empty(&self, table: &Table) -> bool {
        !table.iter().any(|(server, weight)| *weight > 0.0 && self.up.contains_key(server))
    }

    /// Seconds since the latest of: `time`, the time when the proxy attached, and the time when its pilot became ready.
    /// `None` while its pilot is not ready.
    fn elapsed(&self, proxy: &Proxy, time: f64, now: f64) -> Option<f64> {
        let ready = self.ready.get(&proxy.process).filter(|_| !self.ended.contains(&proxy.process))?;
        Some(now - time.max(proxy.attached_at).max(*ready))
    }

    /// Checks that proxies have a usable server and none that drains.
    fn check_tables(&mut self, now: f64) {
        let mut found = Vec::new();
        let mut reported = Vec::new();
        for (number, proxy) in &self.proxies {
            if let Some(empty) = proxy.empty_since.zip(self.up_since).map(|(a, b)| a.max(b)) {
                if let Some(seconds) =
                    self.elapsed(proxy, empty, now).filter(|s| *s > SERVED_WITHIN && !proxy.reported)
                {
                    found.push(Violation::NoUsableServer { proxy: *number, seconds });
                    reported.push(*number);
                }
            }
            for (server, since) in &self.draining {
                let listed = proxy.table.get(server).is_some_and(|weight| *weight > 0.0);
                let late = |s: &f64| *s > DRAINED_WITHIN && listed && !proxy.reported;
                if let Some(seconds) = self.elapsed(proxy, *since, now).filter(late) {
                    found.push(Violation::NotDrained { proxy: *number, server: server.clone(), seconds });
                    reported.push(*number);
                }
            }
        }
        for number in reported {
            self.proxies.entry(number).or_default().reported = true;
        }
        self.found.extend(found);
    }

    /// Checks that no cold server is overloaded for too long.
    fn check_cold_servers(&mut self, now: f64) {
        let mut rates: BTreeMap<&String, f64> = BTreeMap::new();
        // Only attached proxies are under a pilot's control.
        for proxy in self.proxies.values().filter(|proxy| proxy.process != DETACHED) {
            let total: f64 = proxy.table.values().sum();
            for (server, weight) in &proxy.table {
                *rates.entry(server).or_default() +=
                    RATE * proxy.admitted * weight / total.max(f64::MIN_POSITIVE);
            }
        }
        for (server, started) in &self.up {
            let warmed = ((now - started) / WARM_WITHIN).clamp(0.0, 1.0);
            let capacity = self.plan.server_capacity() * (START_CAPACITY + (1.0 - START_CAPACITY) * warmed);
            let limit = capacity * FALL_MULTIPLE;
            let rate = rates.get(server).copied().unwrap_or(0.0);
            if warmed >= 1.0 || rate <= limit {
                self.overloaded_since.remove(server);
                continue;
            }
            let since = *self.overloaded_since.entry(server.clone()).or_insert(now);
            if now - since > FAILS_AFTER && self.reported.insert(server.clone()) {
                self.found.push(Violation::ColdServerOverloaded { server: server.clone(), rate, limit });
            }
        }
    }
}
