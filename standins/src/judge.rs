//! Checks the five rules on the recorded events of a day.

use crate::record::{Entry, Event, State};
use crate::script::{FaultKind, Script};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// Seconds by which timers and sockets may be late on a busy machine.
const SLACK: f64 = 0.25;

/// The pilot is responsible for the overload of a cold server if at least this share of the work came from askers that
/// could have known of its start.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// Seconds by which the clock of the record may start before that of the script, which waits for the pilot.
const CLOCK_OFFSET: f64 = 2.0;

/// Whether a fault of the script may have kept answers from askers at some time in a span.
fn answers_lost(script: &Script, from: f64, to: f64) -> bool {
    let relevant =
        |kind: &FaultKind| matches!(kind, FaultKind::DnsLost | FaultKind::PilotDies | FaultKind::PilotEnds);
    script.faults.iter().any(|f| relevant(&f.kind) && f.at < to && f.at + f.lasts + CLOCK_OFFSET > from)
}

#[derive(Debug, Default)]
pub struct Verdict {
    /// The number of a rule and a description of its violation; at most `MAX_DESCRIBED` of each rule.
    pub violations: Vec<(u8, String)>,
    /// Number of violations by rule.
    pub counts: [usize; 5],
    /// Benefit of all queries.
    pub asked: f64,
    /// Benefit of queries answered in time.
    pub answered: f64,
    /// The lowest service in any second.
    pub worst_second: f64,
    /// The highest load of a cold server in any window, over its limit.
    pub max_cold_load: f64,
    /// Cold servers that failed under overload, whether or not their start was known.
    pub failed_cold_servers: usize,
    /// The highest number of lines waiting in the channel.
    pub max_waiting: f64,
}

/// Violations of each rule that are described; further ones are only counted.
const MAX_DESCRIBED: usize = 5;

impl Verdict {
    fn add_violation(&mut self, rule: u8, at: f64, description: String) {
        let count = &mut self.counts[usize::from(rule) - 1];
        *count += 1;
        if *count <= MAX_DESCRIBED {
            self.violations.push((rule, format!("{at:.3} s: {description}")));
        }
    }

    /// Benefit of queries answered in time, over the benefit of all queries.
    pub fn service(&self) -> f64 {
        self.answered / self.asked.max(f64::MIN_POSITIVE)
    }
}

#[derive(Default)]
struct Server {
    running: bool,
    /// Time of a cold start; `None` for a warm one.
    cold_since: Option<f64>,
    /// Number of its starts so far.
    start: u32,
    /// Time since which the pilot has known of the latest start.
    known: Option<f64>,
    /// Time, work, and whether the asker could have known of the start.
    arrivals: VecDeque<(f64, f64, bool)>,
}

/// The latest state of a server that the current pilot process received.
#[derive(Clone, Copy, PartialEq)]
enum ListedState {
    Ready,
    /// Draining or no longer listed. `binds`: rule 3 applies.
    Removed {
        since: f64,
        binds: bool,
    },
}

/// Checks all rules. The rules are: askers have a server to pick (1), queries marked `once` run at most once (2),
/// nothing is sent to a draining server after the grace period (3), cold servers are not overloaded (4), and the
/// channel's backlog stays within its limit (5).
pub fn judge(script: &Script, entries: &[Entry]) -> Verdict {
    let mut verdict = Verdict { worst_second: 1.0, ..Verdict::default() };
    let mut servers: BTreeMap<Ipv4Addr, Server> = BTreeMap::new();
    let mut listed_states: BTreeMap<Ipv4Addr, ListedState> = BTreeMap::new();
    let mut ran: BTreeMap<u64, Ipv4Addr> = BTreeMap::new();
    // Time since which an asker has had no server to pick for a class.
    let mut without: BTreeMap<(Ipv4Addr, u8), f64> = BTreeMap::new();
    // Time of the latest answer by asker and class.
    let mut answered: BTreeMap<(Ipv4Addr, u8), f64> = BTreeMap::new();
    // Time of the answer by which each query was sent. An asker may use an old answer and look up a new one at the same
    // time, so the latest answer may have arrived after the query was sent.
    let mut sent: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut pilot_start, mut seconds) = (None, BTreeMap::<u64, (f64, f64)>::new());
    for Entry { at, event } in entries {
        let at = *at;
        match event {
            Event::PilotStarted => pilot_start = Some(at),
            Event::PilotKilled => {
                // The next pilot process receives the list again.
                pilot_start = None;
                listed_states.clear();
            }
            Event::Started { server, cold, start } => {
                let cold_since = cold.then_some(at);
                let state = Server { running: true, cold_since, start: *start, ..Server::default() };
                servers.insert(*server, state);
            }
            Event::Fell { .. } => verdict.failed_cold_servers += 1,
            Event::Stopped { server } => servers.entry(*server).or_default().running = false,
            Event::Told(list) => {
                let listed: BTreeMap<Ipv4Addr, State> =
                    list.iter().map(|(host, state, _)| (*host, *state)).collect();
                for (host, _, start) in list {
                    if let Some(server) = servers.get_mut(host).filter(|server| server.start == *start) {
                        server.known.get_or_insert(at);
                    }
                }
                for server in servers.keys() {
                    let new = match listed.get(server) {
                        Some(State::Ready) => ListedState::Ready,
                        other => {
                            let binds = other.is_some() || !script.gone_does_not_bind;
                            ListedState::Removed { since: at, binds }
                        }
                    };
                    match (listed_states.get(server), new) {
                        // The time of the first removal counts; a drain also continues when the server is unlisted.
                        (Some(ListedState::Removed { binds: true, .. }), ListedState::Removed { .. }) => {}
                        (
                            Some(ListedState::Removed { binds: false, .. }),
                            ListedState::Removed { binds: false, .. },
                        ) => {}
                        (_, new) => drop(listed_states.insert(*server, new)),
                    }
                }
            }
            Event::Answer { asker, class, lines } => {
                answered.insert((*asker, *class), at);
                if !lines.is_empty() {
                    without.remove(&(*asker, *class));
                }
            }
            Event::Without { asker, class } => {
                let since = *without.entry((*asker, *class)).or_insert(at);
                let available = listed_states.iter().any(|(server, listed)| {
                    let server = &servers[server];
                    let warm = server.cold_since.is_none_or(|since| at - since >= script.warm_within);
                    *listed == ListedState::Ready && server.running && warm
                });
                let since = pilot_start.map_or(at, |start: f64| start.max(since));
                if available && at - since > script.without + SLACK {
                    let description = format!("{asker} has had no server to pick since {since:.3} s");
                    verdict.add_violation(1, at, description);
                }
            }
            Event::Ran { server, class, query } => {
                let before = ran.insert(*query, *server);
                if let Some(before) = before.filter(|_| script.classes[usize::from(*class)].once) {
                    verdict.add_violation(
                        2,
                        at,
                        format!("query {query} ran on {before} and again on {server}"),
                    );
                }
            }
            Event::Sent { query, answered } => drop(sent.insert(*query, *answered)),
            Event::Arrival { asker, server, class, query, work } => {
                let answered_at = sent.get(query).or_else(|| answered.get(&(*asker, *class))).copied();
                let answered_at = answered_at.unwrap_or(f64::NEG_INFINITY);
                if let Some(ListedState::Removed { since, binds: true }) = listed_states.get(server) {
                    let max_age = f64::from(script.lifetime) + script.overstay + SLACK;
                    // The pilot is not responsible for an expired answer that stays in use because no new one
                    // reached the asker (RFC 8767).
                    let stale = at - answered_at > max_age && answers_lost(script, *since, at);
                    if at - since > script.grace + SLACK && !stale {
                        let description = format!(
                            "{asker} sends to {server}, which drains or is unlisted since {since:.3} s"
                        );
                        verdict.add_violation(3, at, description);
                    }
                }
                let Some(state) = servers.get_mut(server) else { continue };
                let Some(since) = state.cold_since.filter(|since| at - since < script.warm_within) else {
                    continue;
                };
                // An asker could have known of the start if its answer came after the pilot knew of it, or if the
                // pilot has known of it for the grace period.
                let informed =
                    state.known.is_some_and(|known| answered_at > known || at - known > script.grace);
                state.arrivals.push_back((at, *work, informed));
                state.arrivals.retain(|(then, ..)| at - then <= script.fall_within);
                let work = |all: bool| -> f64 {
                    let counted = state.arrivals.iter().filter(|(.., informed)| all || *informed);
                    counted.map(|(_, work, _)| work).sum()
                };
                let (total, informed) = (work(true), work(false));
                let share = script.cold_share;
                let warm_part = share + (1.0 - share) * (at - since) / script.warm_within;
                let capacity = warm_part * script.cores as f64;
                let load = total / (capacity * script.fall_within * script.fall_multiple);
                if informed >= total * INFORMED_SHARE {
                    verdict.max_cold_load = verdict.max_cold_load.max(load);
                    if load > 1.0 {
                        let description = format!("cold server {server} receives {load:.2} times its limit");
                        verdict.add_violation(4, at, description);
                    }
                }
            }
            Event::Ended { asked, answered, .. } => {
                verdict.asked += asked;
                verdict.answered += answered;
                let second = seconds.entry(at as u64).or_default();
                *second = (second.0 + answered, second.1 + asked);
            }
            Event::Verdicts(_) | Event::Finding { .. } => {}
            Event::Waiting(lines) => {
                verdict.max_waiting = verdict.max_waiting.max(*lines);
                if *lines > script.most_waiting {
                    let description = format!("{lines} lines wait, the limit is {}", script.most_waiting);
                    verdict.add_violation(5, at, description);
                }
            }
        }
    }
    // The first second is left out: hardly any query can have ended in it.
    let services =
        seconds.iter().filter(|(second, _)| **second > 0).map(|(_, (answered, asked))| answered / asked);
    verdict.worst_second = services.fold(1.0, f64::min);
    verdict
}
