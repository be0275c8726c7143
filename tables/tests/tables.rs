//! Random orders against a plain book of them, and the channel of those who pull against one that keeps
//! every answer that was handed out.

use oatlever::round::{Address, Writer};
use oatlever_tables::{frozen, Index, Kind, Lines, News, Pull, Refusal, Spread, Tables, Unreviewed};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};
use std::collections::{BTreeMap, BTreeSet};

const ASKERS: u16 = 5;
const CLASSES: usize = 2;
const HOLD: f64 = 1.5;

fn server(n: u8) -> Address {
    Address { host: [10, 0, 0, n % 6], port: 7000 }
}

#[derive(Clone, Debug)]
enum Order {
    Weigh(u16, u8, f64),
    Clear(u16),
    Bind(u16, u16),
    Withdraw(u8, bool),
    Admit(u16, u16, f64),
    Close,
}

impl Arbitrary for Order {
    fn arbitrary(g: &mut Gen) -> Self {
        let (table, n) = (u16::arbitrary(g) % 3, u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0..=3 => Order::Weigh(table, n, f64::from(u8::arbitrary(g) % 4)),
            4 => Order::Clear(table),
            5 => Order::Bind(u16::arbitrary(g) % ASKERS, table),
            6 => Order::Withdraw(n, bool::arbitrary(g)),
            7 => Order::Admit(table, u16::arbitrary(g) % 4, f64::from(n % 3) / 2.0),
            _ => Order::Close,
        }
    }
}

/// The plain book.
#[derive(Default)]
struct Plain {
    lines: BTreeMap<(u16, Address), f64>,
    levels: BTreeMap<(u16, u16), f64>,
    bound: BTreeMap<u16, u16>,
    out: BTreeSet<Address>,
}

impl Plain {
    fn held(&self, asker: u16) -> Option<Vec<(Address, f64)>> {
        let table = *self.bound.get(&asker)?;
        let own = self.lines.iter().filter(|((t, s), _)| *t == table && !self.out.contains(s));
        Some(own.map(|((_, server), weight)| (*server, *weight)).collect())
    }
}

quickcheck! {
    fn what_askers_hold_is_what_was_ordered(orders: Vec<Order>) -> bool {
        let pull = Pull::new(&[Kind::Host; ASKERS as usize], CLASSES, HOLD, 0.0);
        let mut tables = Tables::new(usize::from(ASKERS), CLASSES, pull, 10);
        let (mut plain, mut seen) = (Plain::default(), Vec::new());
        tables.open(0.0, 0, News::default());
        for (n, order) in orders.iter().enumerate() {
            match *order {
                Order::Weigh(table, n, weight) => {
                    tables.set_weight(table, server(n), weight);
                    if weight > 0.0 {
                        plain.lines.insert((table, server(n)), weight);
                    } else {
                        plain.lines.remove(&(table, server(n)));
                    }
                }
                Order::Clear(table) => {
                    tables.clear_table(table);
                    plain.lines.retain(|(t, _), _| *t != table);
                    plain.levels.retain(|(t, _), _| *t != table);
                }
                Order::Bind(asker, table) => {
                    tables.bind(asker, table);
                    plain.bound.insert(asker, table);
                }
                Order::Withdraw(n, out) => {
                    tables.withdraw(server(n), out);
                    if out { plain.out.insert(server(n)) } else { plain.out.remove(&server(n)) };
                }
                Order::Admit(table, classes, level) => {
                    tables.set_level(table, classes, level, 1);
                    for class in (0..CLASSES as u16).filter(|c| classes == 0 || classes & (1 << c) != 0) {
                        plain.levels.insert((table, class), level);
                    }
                }
                Order::Close => {
                    tables.close();
                    // Same table and version means that nothing a front reads has changed.
                    let fresh: Vec<_> = (0..ASKERS).map(|asker| facts(&tables, asker)).collect();
                    let changed = |(old, new): (&Facts, &Facts)| match (old, new) {
                        (Some((version, old)), Some((same, new))) => version == same && old != new,
                        _ => false,
                    };
                    if seen.iter().zip(&fresh).any(changed) { return false; }
                    seen = fresh;
                    for asker in 0..ASKERS {
                        if lines(&tables, asker) != plain.held(asker) { return false; }
                        for class in 0..CLASSES as u16 {
                            let level = tables.held(asker, class).map(|view| view.level);
                            let table = plain.bound.get(&asker);
                            let wanted = table.map(|t| *plain.levels.get(&(*t, class)).unwrap_or(&1.0));
                            if level != wanted { return false; }
                        }
                    }
                    tables.open(n as f64, n as u64, News::default());
                }
            }
        }
        true
    }

    /// No acknowledgement while an answer older than the order may be in use; an acknowledgement as soon as none may be,
    /// and nothing ordered earlier still waits.
    fn acknowledgements_tell_the_truth(steps: Vec<(u8, u8, u8)>) -> TestResult {
        let kinds = [Kind::Host, Kind::Group, Kind::Host];
        let mut pull = Pull::new(&kinds, CLASSES, HOLD, 0.0);
        // Every answer ever handed out: asker, class, version, until. At the start anything may be held.
        let mut answers: Vec<(u16, u16, u64, f64)> = Vec::new();
        for asker in 0..3 {
            answers.extend((0..CLASSES as u16).map(|class| (asker, class, 0, HOLD)));
        }
        let mut orders: Vec<(u16, u64)> = Vec::new();
        let (mut now, mut told) = (0.0, 0);
        for (what, asker, step) in steps {
            now += f64::from(step % 8) * 0.1;
            let asker = u16::from(asker) % 3;
            if what % 3 == 0 {
                let version = orders.len() as u64 + 1;
                pull.order(asker, 2.0, Some(version), version, now);
                orders.push((asker, version));
            } else {
                let (class, version) = (u16::from(what) % CLASSES as u16, orders.len() as u64);
                pull.hand_out(asker, class, version, now);
                if kinds[usize::from(asker)] == Kind::Host {
                    answers.retain(|a| (a.0, a.1) != (asker, class));
                }
                answers.push((asker, class, version, now + HOLD));
            }
            told += pull.acknowledgements(now).len();
            let left = |(asker, version): &(u16, u64)| {
                !answers.iter().any(|a| a.0 == *asker && a.2 < *version && a.3 > now)
            };
            let wanted = orders.iter().take_while(|order| left(order)).count();
            if told < wanted || !orders[..told].iter().all(left) {
                return TestResult::error(format!("{told} told, {wanted} have left at {now}"));
            }
            if pull.waiting() != 2.0 * (orders.len() - told) as f64 {
                return TestResult::error(format!("{} wait", pull.waiting()));
            }
        }
        TestResult::passed()
    }

    /// Whatever a table is frozen at: no server that the decisions dropped, no cold one with a greater part
    /// than theirs, and never without a line while they have one.
    fn frozen_tables_keep_the_rules(old: Vec<(u8, u8)>, own: Vec<(u8, u8)>, cold: Vec<u8>) -> bool {
        let lines = |given: &[(u8, u8)]| -> Lines {
            given.iter().map(|(n, weight)| (server(*n), f64::from(*weight) + 1.0)).collect()
        };
        let (old, own) = (lines(&old), lines(&own));
        let cold: BTreeSet<Address> = cold.iter().map(|n| server(*n)).collect();
        let laid = frozen(&old, &own, |server| cold.contains(server));
        let part = |lines: &Lines, server: &Address| lines.get(server).map_or(0.0, |w| w / lines.values().sum::<f64>());
        let kept = |server: &Address| own.contains_key(server);
        let spared = |server: &Address| !cold.contains(server) || part(&laid, server) <= part(&own, server) + 1e-9;
        laid.is_empty() == own.is_empty()
            && laid.keys().all(|server| kept(server) && spared(server))
            && laid.values().all(|weight| *weight > 0.0)
    }

    fn draws_hold_each_line_once_and_spread_by_weight(weights: Vec<u8>, most: u8) -> TestResult {
        let lines: BTreeMap<Address, f64> =
            weights.iter().take(200).enumerate().map(|(n, w)| (Address { host: [10, 0, 0, n as u8], port: 1 }, f64::from(*w))).collect();
        let index = Index::of(lines.clone());
        let open: Vec<_> = lines.iter().filter(|(_, weight)| **weight > 0.0).collect();
        let (mut spread, mut count, rounds) = (Spread::from(0.3), BTreeMap::new(), 2000);
        let mut rng = oatlever::rng::Rng::new(3);
        for _ in 0..rounds {
            let drawn = index.draw(usize::from(most % 5) + 1, spread.step(), || rng.f64());
            let different: BTreeSet<_> = drawn.iter().map(|line| line.server).collect();
            let wanted = (usize::from(most % 5) + 1).min(open.len());
            if different.len() != drawn.len() || drawn.len() != wanted {
                return TestResult::error(format!("{} drawn, {wanted} wanted", drawn.len()));
            }
            if let Some(line) = drawn.first() {
                *count.entry(line.server).or_insert(0.0) += 1.0;
            }
        }
        // Steps by the golden section miss a line's part by a few draws at most.
        let all: f64 = open.iter().map(|(_, weight)| **weight).sum();
        let off = |(server, weight): (&Address, &f64)| {
            (count.get(server).copied().unwrap_or(0.0) - f64::from(rounds) * weight / all).abs()
        };
        let worst = open.iter().map(|(s, w)| off((s, w))).fold(0.0, f64::max);
        TestResult::from_bool(worst <= 12.0)
    }
}

/// Table and version, and all that a front reads of them.
type Facts = Option<((u16, u64), (Vec<(Address, f64)>, Vec<f64>))>;

fn facts(tables: &Tables, asker: u16) -> Facts {
    let view = tables.held(asker, 0)?;
    let level = |class| tables.held(asker, class).map(|view| view.level);
    let levels = (0..CLASSES as u16).filter_map(level).collect();
    Some(((view.table, view.version), (lines(tables, asker)?, levels)))
}

fn lines(tables: &Tables, asker: u16) -> Option<Vec<(Address, f64)>> {
    let view = tables.held(asker, 0)?;
    Some(view.index.lines().iter().map(|line| (line.server, line.weight)).collect())
}

/// A change's reason stays in reach: its round and what had come in.
#[test]
fn changes_say_which_round_made_them() {
    let mut tables = Tables::new(1, 1, Pull::new(&[Kind::Host], 1, HOLD, 0.0), 2);
    for round in 1..=3u8 {
        tables.open(f64::from(round), u64::from(round), News { lists: 1, ..News::default() });
        tables.set_weight(0, server(round), 1.0);
        tables.close();
    }
    let told: Vec<_> = tables.history.newest().map(|c| (c.round, c.news.lists, c.lines.clone())).collect();
    assert_eq!(told, [(3, 1, vec![(server(3), 0.0, 1.0)]), (2, 1, vec![(server(2), 0.0, 1.0)])]);
}

/// What waits for a proxy that is gone waits for nobody: should it count on, the channel would look full.
#[test]
fn nothing_waits_for_who_left() {
    let mut pull = Pull::new(&[Kind::Host; 2], 1, HOLD, 0.0);
    pull.order(0, 5.0, Some(1), 1, 0.5);
    pull.order(1, 7.0, Some(1), 1, 0.5);
    pull.leave(0);
    assert_eq!(pull.waiting(), 7.0);
    assert_eq!(pull.acknowledgements(HOLD).len(), 1);
}

/// An ACK is an acknowledgement, a NACK is none; both have left, and what a broken stream was owed waits no more.
#[test]
fn streams_acknowledge_refuse_or_break() {
    let mut pull = Pull::new(&[Kind::Stream; 3], 1, HOLD, 0.0);
    for version in 1..=2 {
        (0..3).for_each(|asker| pull.order(asker, 2.0, Some(version), version, 1.0));
    }
    assert!(pull.acknowledgements(1e9).is_empty(), "time alone is no acknowledgement");
    pull.acknowledge(1, 1);
    assert!(pull.acknowledgements(2.0).is_empty(), "the one before has not left");
    pull.refuse(0, 2);
    let told = |pull: &mut Pull| -> Vec<_> {
        pull.acknowledgements(3.0).iter().map(|r| (r.proxy, r.number)).collect()
    };
    assert_eq!(told(&mut pull), [(1, 1)]);
    pull.leave(2);
    assert_eq!(told(&mut pull), []);
    assert_eq!(pull.waiting(), 2.0);
    pull.acknowledge(1, 2);
    assert_eq!((told(&mut pull), pull.waiting()), (vec![(1, 2)], 0.0));
}

/// A rollback while a newer change is under way: what is held in the end is the old version, under a new
/// number, and the decisions' orders do not show until it is released. Drains do.
#[test]
fn a_table_goes_back_stays_and_is_released() {
    let mut tables = Tables::new(1, 1, Pull::new(&[Kind::Stream], 1, HOLD, 0.0), 10);
    let order = |tables: &mut Tables, round: u64, weights: &[(u8, f64)]| {
        tables.open(round as f64, round, News::default());
        weights.iter().for_each(|(n, weight)| tables.set_weight(0, server(*n), *weight));
        tables.bind(0, 0);
        tables.mark(round, false);
        tables.close();
    };
    let held = |tables: &Tables| -> Vec<(Address, f64)> { lines(tables, 0).unwrap() };
    order(&mut tables, 1, &[(1, 1.0), (2, 3.0)]);
    order(&mut tables, 2, &[(2, 1.0), (3, 2.0)]);
    assert_eq!(tables.roll_back(0, 7, 2.5, &mut Unreviewed), Err(Refusal::NoVersion));
    assert_eq!(tables.roll_back(9, 1, 2.5, &mut Unreviewed), Err(Refusal::NoTable));
    assert_eq!(tables.release(0, 2.5, &mut Unreviewed), Err(Refusal::NotFrozen));
    assert_eq!(tables.roll_back(0, 1, 2.5, &mut Unreviewed), Ok(3));
    assert_eq!((held(&tables), tables.frozen_at(0)), (vec![(server(1), 0.25), (server(2), 0.75)], Some(1)));
    assert_eq!(tables.pull.acknowledgements(1e9).len(), 0, "nothing was acknowledged yet");
    order(&mut tables, 3, &[(1, 5.0)]);
    assert_eq!(held(&tables), [(server(1), 0.25), (server(2), 0.75)]);
    // A drain goes through, and a server that is cold now gets no more than the decisions give it.
    order(&mut tables, 4, &[(1, 0.0)]);
    assert_eq!(held(&tables), [(server(2), 1.0)]);
    order(&mut tables, 5, &[(1, 1.0), (3, 8.0)]);
    tables.spare([server(1)].into());
    order(&mut tables, 6, &[]);
    assert_eq!(held(&tables), [(server(1), 0.1), (server(2), 0.9)]);
    let version = tables.release(0, 7.0, &mut Unreviewed).unwrap();
    assert_eq!(held(&tables), [(server(1), 1.0), (server(2), 1.0), (server(3), 8.0)]);
    assert_eq!(tables.versions(0).unwrap().all().next_back().unwrap().version, version);
}
