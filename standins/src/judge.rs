//! The five rules, checked against what crossed the sockets.

use crate::record::{Entry, Event, State};
use crate::script::{Kind, Script};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// s; timers and sockets of a busy machine are late by so much without anybody's doing.
const SLACK: f64 = 0.25;

/// Part; a cold server that is pushed over is the pilot's doing where so much of the work came from those
/// who could have known of the start.
const KNOWING: f64 = 2.0 / 3.0;

/// s; the record's clock starts before the script's by up to so much: the pilot is waited for.
const BEFORE: f64 = 2.0;

/// Whether the script kept answers from askers at some time in a span.
fn starved(script: &Script, from: f64, to: f64) -> bool {
    let keeps = |kind: &Kind| matches!(kind, Kind::DnsLost | Kind::PilotDies | Kind::PilotEnds);
    script.faults.iter().any(|f| keeps(&f.kind) && f.at < to && f.at + f.lasts + BEFORE > from)
}

#[derive(Debug, Default)]
pub struct Verdict {
    /// Rule and what broke it, at most a few of each.
    pub broken: Vec<(u8, String)>,
    pub breaches: [usize; 5],
    pub asked: f64,
    pub answered: f64,
    pub worst_second: f64,
    /// The highest load of a cold server over its limit in any window.
    pub coldest: f64,
    /// Cold servers that fell over, before anybody could know or not.
    pub fell: usize,
    pub most_waiting: f64,
}

impl Verdict {
    fn breach(&mut self, rule: u8, at: f64, what: String) {
        self.breaches[usize::from(rule) - 1] += 1;
        if self.breaches[usize::from(rule) - 1] <= 5 {
            self.broken.push((rule, format!("{at:.3} s: {what}")));
        }
    }

    pub fn service(&self) -> f64 {
        self.answered / self.asked.max(f64::MIN_POSITIVE)
    }
}

#[derive(Default)]
struct Server {
    running: bool,
    /// None: warm since ever.
    cold_since: Option<f64>,
    start: u32,
    /// Since when the pilot has known of this start.
    known: Option<f64>,
    /// Time, work, and whether who brought it could have known of the start.
    arrivals: VecDeque<(f64, f64, bool)>,
}

/// What the pilot in office was told of a server last.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    Ready,
    Left { since: f64, binds: bool },
}

pub fn judge(script: &Script, entries: &[Entry]) -> Verdict {
    let mut verdict = Verdict { worst_second: 1.0, ..Verdict::default() };
    let mut servers: BTreeMap<Ipv4Addr, Server> = BTreeMap::new();
    let mut told: BTreeMap<Ipv4Addr, Told> = BTreeMap::new();
    let mut ran: BTreeMap<u64, Ipv4Addr> = BTreeMap::new();
    // Since when each asker has had nothing to pick, by class.
    let mut without: BTreeMap<(Ipv4Addr, u8), f64> = BTreeMap::new();
    let mut answered: BTreeMap<(Ipv4Addr, u8), f64> = BTreeMap::new();
    // The answer that each query was sent by. Guards against taking one that came while the query was on its
    // way, as where an asker goes on with what it has and asks anew at the same time, for that one.
    let mut sent: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut pilot, mut seconds) = (None, BTreeMap::<u64, (f64, f64)>::new());
    for Entry { at, event } in entries {
        let at = *at;
        match event {
            Event::PilotStarted => pilot = Some(at),
            Event::PilotKilled => {
                // The next pilot is told anew.
                pilot = None;
                told.clear();
            }
            Event::Started { server, cold, start } => {
                let cold_since = cold.then_some(at);
                let fresh = Server { running: true, cold_since, start: *start, ..Server::default() };
                servers.insert(*server, fresh);
            }
            Event::Fell { .. } => verdict.fell += 1,
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
                    let fresh = match listed.get(server) {
                        Some(State::Ready) => Told::Ready,
                        left => Told::Left { since: at, binds: left.is_some() || !script.gone_does_not_bind },
                    };
                    match (told.get(server), fresh) {
                        // It has left already; a drain goes on when the server is dropped after.
                        (Some(Told::Left { binds: true, .. }), Told::Left { .. }) => {}
                        (Some(Told::Left { binds: false, .. }), Told::Left { binds: false, .. }) => {}
                        (_, fresh) => drop(told.insert(*server, fresh)),
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
                let open = told.iter().any(|(server, told)| {
                    let server = &servers[server];
                    let warm = server.cold_since.is_none_or(|since| at - since >= script.warm_within);
                    *told == Told::Ready && server.running && warm
                });
                let since = pilot.map_or(at, |start: f64| start.max(since));
                if open && at - since > script.without + SLACK {
                    let what = format!("{asker} has had nothing to pick since {since:.3} s");
                    verdict.breach(1, at, what);
                }
            }
            Event::Ran { server, class, query } => {
                let before = ran.insert(*query, *server);
                if let Some(before) = before.filter(|_| script.classes[usize::from(*class)].once) {
                    verdict.breach(2, at, format!("query {query} ran at {before} and again at {server}"));
                }
            }
            Event::Sent { query, answered } => drop(sent.insert(*query, *answered)),
            Event::Arrival { asker, server, class, query, work } => {
                let last = sent.get(query).or_else(|| answered.get(&(*asker, *class))).copied();
                let last = last.unwrap_or(f64::NEG_INFINITY);
                if let Some(Told::Left { since, binds: true }) = told.get(server) {
                    let held = f64::from(script.lifetime) + script.overstay + SLACK;
                    // Whoever goes on with an answer that has run out, as nothing reached it (RFC 8767), goes
                    // by no word of the pilot's.
                    let stale = at - last > held && starved(script, *since, at);
                    if at - since > script.grace + SLACK && !stale {
                        let what = format!("{asker} sends to {server}, known to leave since {since:.3} s");
                        verdict.breach(3, at, what);
                    }
                }
                let Some(state) = servers.get_mut(server) else { continue };
                let Some(since) = state.cold_since.filter(|since| at - since < script.warm_within) else {
                    continue;
                };
                // Whoever was answered after the pilot knew of the start, or whose pilot has known it for
                // the grace, could have known.
                let could = state.known.is_some_and(|known| last > known || at - known > script.grace);
                state.arrivals.push_back((at, *work, could));
                state.arrivals.retain(|(then, ..)| at - then <= script.fall_within);
                let work = |all: bool| -> f64 {
                    state.arrivals.iter().filter(|(.., could)| all || *could).map(|(_, work, _)| work).sum()
                };
                let (held, known) = (work(true), work(false));
                let share = script.cold_share;
                let can = (share + (1.0 - share) * (at - since) / script.warm_within) * script.cores as f64;
                let load = held / (can * script.fall_within * script.fall_multiple);
                if known >= held * KNOWING {
                    verdict.coldest = verdict.coldest.max(load);
                    if load > 1.0 {
                        verdict.breach(
                            4,
                            at,
                            format!("{server}, cold, is brought {load:.2} times its limit"),
                        );
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
                verdict.most_waiting = verdict.most_waiting.max(*lines);
                if *lines > script.most_waiting {
                    verdict.breach(5, at, format!("{lines} lines wait, {} may", script.most_waiting));
                }
            }
        }
    }
    // The first second has nothing that could have ended in it.
    let parts = seconds.iter().filter(|(second, _)| **second > 0).map(|(_, (got, all))| got / all);
    verdict.worst_second = parts.fold(1.0, f64::min);
    verdict
}
