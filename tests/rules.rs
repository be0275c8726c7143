//! Seeded random runs; the rules are checked after every step.

mod support;

use oatlever::round::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use support::*;

fn number(address: &Address) -> u16 {
    u16::from_be_bytes([address.host[2], address.host[3]])
}

/// How large a run is, and what its pilot's channel and reports can carry.
#[derive(Clone, Copy, Debug)]
struct Scale {
    servers: u16,
    proxies: u16,
    most_messages: usize,
    /// A channel holds so many lines, and sends as many a second when all is well.
    lines: f64,
    /// How many times slower than stated the channel is; the rules' times grow with it.
    slower: f64,
    /// Report lines of a step at most; the next step goes on where this one stopped.
    reports: usize,
}

const SMALL: Scale =
    Scale { servers: 9, proxies: 6, most_messages: 0, lines: 2000.0, slower: 1.0, reports: usize::MAX };
/// As the operators set a channel's limit: what can't be put off fits twice.
const LARGE: Scale = Scale { servers: 300, proxies: 200, lines: 6800.0, reports: 250, ..SMALL };

/// One thing that happens, to so many servers or proxies in a row.
#[derive(Clone, Debug)]
enum Step {
    Servers { n: u16, many: u8, readiness: u8, restarted: bool },
    Proxies { proxy: u16, many: u8, up: bool },
    Reports { bad: u16, how: u8 },
    Quiet,
}

impl Arbitrary for Scale {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => LARGE,
            1 => Scale { slower: 20.0, ..LARGE },
            2..=4 => Scale { most_messages: 12, ..SMALL },
            _ => SMALL,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Step::Servers {
                n: u16::arbitrary(g),
                many: u8::arbitrary(g),
                readiness: u8::arbitrary(g) % 3,
                restarted: bool::arbitrary(g),
            },
            1 => Step::Proxies { proxy: u16::arbitrary(g), many: u8::arbitrary(g), up: bool::arbitrary(g) },
            2..=5 => Step::Reports { bad: u16::arbitrary(g), how: u8::arbitrary(g) % 5 },
            _ => Step::Quiet,
        }
    }
}

/// Servers as the list has them, and proxies as their streams are.
struct World {
    readiness: BTreeMap<u16, (Readiness, f64)>,
    joined: BTreeMap<u16, f64>,
    left: BTreeMap<u16, f64>,
    told: usize,
}

/// A step strikes one server or proxy of a small run, a part as large of a large one.
fn struck(from: u16, many: u8, all: u16) -> impl Iterator<Item = u16> {
    let many = (u32::from(all) * u32::from(many) / 1000).max(1);
    (0..many).map(move |k| ((u32::from(from) + k) % u32::from(all)) as u16)
}

fn round_of(step: &Step, world: &mut World, book: &Book, now: f64, scale: Scale) -> Round {
    let mut round = at(now);
    match *step {
        Step::Servers { n, many, readiness, restarted } => {
            let readiness = match readiness {
                0 => Readiness::Gone,
                1 => Readiness::Ready,
                _ => Readiness::Draining,
            };
            let mut entries = Vec::new();
            for n in struck(n, many, scale.servers) {
                let held = world.readiness[&n];
                let back = held.0 == Readiness::Gone && readiness == Readiness::Ready;
                let started = if restarted || back { now - 0.5 } else { held.1 };
                world.readiness.insert(n, (readiness, started));
                match readiness {
                    Readiness::Ready => world.left.remove(&n),
                    _ => Some(*world.left.entry(n).or_insert(now)),
                };
                entries.push(entry(n, n % 3, readiness, started));
            }
            round = change(now, entries);
        }
        Step::Proxies { proxy, many, up } => {
            for proxy in struck(proxy, many, scale.proxies) {
                if up {
                    world.joined.insert(proxy, now);
                } else {
                    world.joined.remove(&proxy);
                }
                round.streams.push(Stream { proxy, up, zone: proxy % 3, rate: 12.0 });
            }
        }
        Step::Reports { bad, how } => {
            for proxy in world.joined.keys() {
                for class in 0..2 {
                    let query = ProxyQueries { proxy: *proxy, class, received: 9.0, span: 1.0 };
                    round.queries.push(query);
                }
            }
            let pairs = book.tables.values().enumerate();
            let pairs: Vec<(u16, u16)> =
                pairs.flat_map(|(t, lines)| lines.keys().map(move |a| (t as u16 % 3, number(a)))).collect();
            for (zone, n) in pairs.iter().cycle().skip(world.told).take(scale.reports.min(pairs.len())) {
                let (failed, time) = match how {
                    _ if *n != bad % scale.servers => (0.0, 0.2),
                    0 => (8.0, 0.0),
                    1 => (3.0, 0.05),
                    2 => (0.0, 2.5),
                    _ => continue,
                };
                round.tries.push(tries(*n, *zone, 8.0, failed, time));
            }
            // Some runs have plans, good or not: everything to one zone, far past what it carries or well within.
            round.plan = (bad % 3 == 0).then(|| {
                let row = (0..3).map(|zone| f64::from(u8::from(zone == bad % 9 / 3))).collect();
                Plan { parts: vec![row; 3], carries: f64::from(bad % 7) * 10.0 }
            });
            world.told = (world.told + scale.reports.min(pairs.len())) % pairs.len().max(1);
        }
        Step::Quiet => {}
    }
    round
}

fn keeps_the_rules(scale: Scale, steps: Vec<Step>) -> bool {
    let lines = scale.lines;
    let stated = Channel { most_waiting: lines, lines_per_second: lines, ..channel(scale.most_messages) };
    let paced = Channel { lines_per_second: lines / scale.slower, ..stated.clone() };
    let site = Site { proxies: f64::from(scale.proxies), ..site() };
    let mut play = Play::new(site, rules(), stated);
    play.channel = paced;
    let mut now = 1000.0;
    let mut world = World {
        readiness: (0..scale.servers).map(|n| (n, (Readiness::Ready, 0.0))).collect(),
        joined: (0..scale.proxies).map(|p| (p, now)).collect(),
        left: BTreeMap::new(),
        told: 0,
    };
    let streams = (0..scale.proxies).map(|p| join(p, p % 3)).collect();
    play.round(&open(now, ready(scale.servers, 3), streams));
    for step in &steps {
        let round = round_of(step, &mut world, &play.book, now, scale);
        play.round(&round);
        for _ in 0..2 {
            now += 0.3;
            play.round(&at(now));
        }
        check(&world, &play.book, now, scale);
    }
    true
}

fn check(world: &World, book: &Book, now: f64, scale: Scale) {
    let warm = |(readiness, started): &(Readiness, f64)| {
        *readiness == Readiness::Ready && now - started >= rules().warm_within
    };
    // A proxy of a large run keeps its standing table until the channel has room.
    let bare = if scale.servers > 100 { 4.0 * scale.slower } else { 0.5 };
    let any_warm = world.readiness.values().any(warm);
    for (proxy, since) in world.joined.iter().filter(|(_, since)| any_warm && now - **since > bare) {
        let table = book.bound.get(proxy).map(|t| book.table(*t));
        assert!(
            table.is_some_and(|t| !t.is_empty()),
            "proxy {proxy}, joined at {since}, has no line at {now}"
        );
    }
    // Two seconds of grace, half a second of it on the way.
    for (n, _) in world.left.iter().filter(|(_, since)| now - **since > 1.5 * scale.slower) {
        for table in book.bound.values().filter_map(|t| book.tables.get(t)) {
            assert!(!table.contains_key(&address(*n)), "server {n} left and is still listed");
        }
    }
    assert!(book.levels.values().all(|(_, mode)| *mode < 2), "an effect could repeat");
    assert!(book.waiting <= scale.lines, "{} lines wait", book.waiting);
    for times in book.messages.values().filter(|_| scale.most_messages > 0) {
        let recent = times.iter().filter(|at| now - **at < 10.0).count();
        assert!(recent <= scale.most_messages, "{recent} messages to one proxy");
    }
    let demand = f64::from(scale.proxies) * 12.0;
    let warm_servers = world.readiness.values().filter(|s| warm(s)).count();
    for (n, (readiness, started)) in &world.readiness {
        let age = now - started;
        let told_long_ago = age > 1.5 * scale.slower;
        let few = warm_servers * 2 < usize::from(scale.servers);
        if *readiness == Readiness::Ready && told_long_ago && age < rules().warm_within && !few {
            let part = book.part_of_all(*n);
            let part_warm = 0.15 + 0.85 * age / rules().warm_within;
            let limit = demand / f64::from(scale.servers) * 1.5 * part_warm * rules().fall_multiple;
            assert!(part * demand <= limit, "cold server {n} gets {part} of all at age {age}");
        }
    }
}

#[test]
fn rules_hold_in_random_runs_small_and_large() {
    let mut runs = QuickCheck::new().tests(90).rng(Gen::from_size_and_seed(120, 11));
    runs.quickcheck(keeps_the_rules as fn(Scale, Vec<Step>) -> bool);
}
