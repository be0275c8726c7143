//! Random runs from a fixed seed; the rules are checked after every step.

mod support;

use oatlever::round::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use support::*;

fn server_number(address: &Address) -> u16 {
    u16::from_be_bytes([address.host[2], address.host[3]])
}

/// Size of a run, and the capacity of its pilot's channel and reports.
#[derive(Clone, Copy, Debug)]
struct Scale {
    servers: u16,
    proxies: u16,
    max_messages: usize,
    /// Lines that the channel holds, and sends a second when it is as fast as stated.
    lines: f64,
    /// Factor by which the channel is slower than stated; the time limits of the rules grow with it.
    slowdown: f64,
    /// Maximum number of report lines in a step; the next step continues where this one stopped.
    reports: usize,
}

const SMALL: Scale =
    Scale { servers: 9, proxies: 6, max_messages: 0, lines: 2000.0, slowdown: 1.0, reports: usize::MAX };
/// As operators set a channel's limit: twice what can't be deferred.
const LARGE: Scale = Scale { servers: 300, proxies: 200, lines: 6800.0, reports: 250, ..SMALL };

/// An event that affects `many` consecutive servers or proxies.
#[derive(Clone, Debug)]
enum Step {
    Servers { n: u16, count: u8, readiness: u8, restarted: bool },
    Proxies { proxy: u16, count: u8, up: bool },
    Reports { target: u16, failure: u8 },
    Quiet,
}

impl Arbitrary for Scale {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => LARGE,
            1 => Scale { slowdown: 20.0, ..LARGE },
            2..=4 => Scale { max_messages: 12, ..SMALL },
            _ => SMALL,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Step::Servers {
                n: u16::arbitrary(g),
                count: u8::arbitrary(g),
                readiness: u8::arbitrary(g) % 3,
                restarted: bool::arbitrary(g),
            },
            1 => Step::Proxies { proxy: u16::arbitrary(g), count: u8::arbitrary(g), up: bool::arbitrary(g) },
            2..=5 => Step::Reports { target: u16::arbitrary(g), failure: u8::arbitrary(g) % 5 },
            _ => Step::Quiet,
        }
    }
}

/// Servers as listed, and proxies by the state of their streams.
struct World {
    readiness: BTreeMap<u16, (Readiness, f64)>,
    joined: BTreeMap<u16, f64>,
    unavailable_since: BTreeMap<u16, f64>,
    reported: usize,
}

/// The numbers affected by a step: one server or proxy of a small run, a proportional number in a large one.
fn affected(from: u16, count: u8, all: u16) -> impl Iterator<Item = u16> {
    let count = (u32::from(all) * u32::from(count) / 1000).max(1);
    (0..count).map(move |k| ((u32::from(from) + k) % u32::from(all)) as u16)
}

fn apply_step(step: &Step, world: &mut World, state: &ProxyState, now: f64, scale: Scale) -> Round {
    let mut round = round_at(now);
    match *step {
        Step::Servers { n, count, readiness, restarted } => {
            let readiness = match readiness {
                0 => Readiness::Gone,
                1 => Readiness::Ready,
                _ => Readiness::Draining,
            };
            let mut entries = Vec::new();
            for n in affected(n, count, scale.servers) {
                let old = world.readiness[&n];
                let back = old.0 == Readiness::Gone && readiness == Readiness::Ready;
                let started = if restarted || back { now - 0.5 } else { old.1 };
                world.readiness.insert(n, (readiness, started));
                match readiness {
                    Readiness::Ready => world.unavailable_since.remove(&n),
                    _ => Some(*world.unavailable_since.entry(n).or_insert(now)),
                };
                entries.push(entry(n, n % 3, readiness, started));
            }
            round = list_change(now, entries);
        }
        Step::Proxies { proxy, count, up } => {
            for proxy in affected(proxy, count, scale.proxies) {
                if up {
                    world.joined.insert(proxy, now);
                } else {
                    world.joined.remove(&proxy);
                }
                round.streams.push(Stream { proxy, up, zone: proxy % 3, rate: 12.0 });
            }
        }
        Step::Reports { target, failure } => {
            for proxy in world.joined.keys() {
                for class in 0..2 {
                    let query = ProxyQueries { proxy: *proxy, class, received: 9.0, span: 1.0 };
                    round.queries.push(query);
                }
            }
            let pairs = state.tables.values().enumerate();
            let pairs: Vec<(u16, u16)> = pairs
                .flat_map(|(t, lines)| lines.keys().map(move |a| (t as u16 % 3, server_number(a))))
                .collect();
            for (zone, n) in pairs.iter().cycle().skip(world.reported).take(scale.reports.min(pairs.len())) {
                let (failed, time) = match failure {
                    _ if *n != target % scale.servers => (0.0, 0.2),
                    0 => (8.0, 0.0),
                    1 => (3.0, 0.05),
                    2 => (0.0, 2.5),
                    _ => continue,
                };
                round.tries.push(tries(*n, *zone, 8.0, failed, time));
            }
            // Some runs have plans, good or bad: all queries to one zone, far beyond its capacity or well
            // within.
            round.plan = (target % 3 == 0).then(|| {
                let row = (0..3).map(|zone| f64::from(u8::from(zone == target % 9 / 3))).collect();
                Plan { shares: vec![row; 3], capacity_per_weight: f64::from(target % 7) * 10.0 }
            });
            world.reported = (world.reported + scale.reports.min(pairs.len())) % pairs.len().max(1);
        }
        Step::Quiet => {}
    }
    round
}

fn run_keeps_the_rules(scale: Scale, steps: Vec<Step>) -> bool {
    let lines = scale.lines;
    let stated = Channel { max_waiting_lines: lines, lines_per_second: lines, ..channel(scale.max_messages) };
    let actual = Channel { lines_per_second: lines / scale.slowdown, ..stated.clone() };
    let site = Site { proxies: f64::from(scale.proxies), ..site() };
    let mut harness = Harness::new(site, rules(), stated);
    harness.channel = actual;
    let mut now = 1000.0;
    let mut world = World {
        readiness: (0..scale.servers).map(|n| (n, (Readiness::Ready, 0.0))).collect(),
        joined: (0..scale.proxies).map(|p| (p, now)).collect(),
        unavailable_since: BTreeMap::new(),
        reported: 0,
    };
    let streams = (0..scale.proxies).map(|p| join(p, p % 3)).collect();
    harness.round(&initial_round(now, ready_servers(scale.servers, 3), streams));
    for step in &steps {
        let round = apply_step(step, &mut world, &harness.state, now, scale);
        harness.round(&round);
        for _ in 0..2 {
            now += 0.3;
            harness.round(&round_at(now));
        }
        assert_rules(&world, &harness.state, now, scale);
    }
    true
}

fn assert_rules(world: &World, state: &ProxyState, now: f64, scale: Scale) {
    let warm = |(readiness, started): &(Readiness, f64)| {
        *readiness == Readiness::Ready && now - started >= rules().warm_within
    };
    // A proxy of a large run keeps its table until the channel has space.
    let max_wait = if scale.servers > 100 { 4.0 * scale.slowdown } else { 0.5 };
    let any_warm = world.readiness.values().any(warm);
    for (proxy, since) in world.joined.iter().filter(|(_, since)| any_warm && now - **since > max_wait) {
        let table = state.bound.get(proxy).map(|t| state.table(*t));
        assert!(
            table.is_some_and(|t| !t.is_empty()),
            "proxy {proxy}, joined at {since}, has an empty table at {now}"
        );
    }
    // The grace period is two seconds, including half a second for delivery.
    for (n, _) in world.unavailable_since.iter().filter(|(_, since)| now - **since > 1.5 * scale.slowdown) {
        for table in state.bound.values().filter_map(|t| state.tables.get(t)) {
            assert!(!table.contains_key(&address(*n)), "server {n} left and is still listed");
        }
    }
    assert!(state.levels.values().all(|(_, mode)| *mode < 2), "a retry could repeat an effect");
    assert!(state.waiting <= scale.lines, "{} lines wait", state.waiting);
    for times in state.messages.values().filter(|_| scale.max_messages > 0) {
        let recent = times.iter().filter(|at| now - **at < 10.0).count();
        assert!(recent <= scale.max_messages, "{recent} messages to one proxy");
    }
    let demand = f64::from(scale.proxies) * 12.0;
    let warm_servers = world.readiness.values().filter(|s| warm(s)).count();
    for (n, (readiness, started)) in &world.readiness {
        let age = now - started;
        let known = age > 1.5 * scale.slowdown;
        let mostly_cold = warm_servers * 2 < usize::from(scale.servers);
        if *readiness == Readiness::Ready && known && age < rules().warm_within && !mostly_cold {
            let share = state.share_of_all(*n);
            let warm_share = 0.15 + 0.85 * age / rules().warm_within;
            let limit = demand / f64::from(scale.servers) * 1.5 * warm_share * rules().fall_multiple;
            assert!(share * demand <= limit, "cold server {n} gets {share} of all at age {age}");
        }
    }
}

#[test]
fn rules_hold_in_random_runs() {
    let mut runs = QuickCheck::new().tests(90).rng(Gen::from_size_and_seed(120, 11));
    runs.quickcheck(run_keeps_the_rules as fn(Scale, Vec<Step>) -> bool);
}
