//! Checks random decisions against a simple model of the tables, and deliveries to askers that poll against
//! a model that records every answer given.

use oatlever::round::{Address, Writer};
use oatlever_tables::{
    frozen_lines, AskerKind, DeliveryTracker, FreezeError, GoldenSequence, Lines, NoReview, RoundInputs,
    Tables, WeightedIndex,
};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};
use std::collections::{BTreeMap, BTreeSet};

const ASKERS: u16 = 5;
const CLASSES: usize = 2;
/// Seconds for which an answer may be in use.
const ANSWER_LIFETIME: f64 = 1.5;

fn server(n: u8) -> Address {
    Address { host: [10, 0, 0, n % 6], port: 7000 }
}

#[derive(Clone, Debug)]
enum Decision {
    Weigh(u16, u8, f64),
    Clear(u16),
    Bind(u16, u16),
    Withdraw(u8, bool),
    Admit(u16, u16, f64),
    EndRound,
}

impl Arbitrary for Decision {
    fn arbitrary(g: &mut Gen) -> Self {
        let (table, n) = (u16::arbitrary(g) % 3, u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0..=3 => Decision::Weigh(table, n, f64::from(u8::arbitrary(g) % 4)),
            4 => Decision::Clear(table),
            5 => Decision::Bind(u16::arbitrary(g) % ASKERS, table),
            6 => Decision::Withdraw(n, bool::arbitrary(g)),
            7 => Decision::Admit(table, u16::arbitrary(g) % 4, f64::from(n % 3) / 2.0),
            _ => Decision::EndRound,
        }
    }
}

/// A simple model of the tables.
#[derive(Default)]
struct Model {
    lines: BTreeMap<(u16, Address), f64>,
    levels: BTreeMap<(u16, u16), f64>,
    bindings: BTreeMap<u16, u16>,
    withdrawn: BTreeSet<Address>,
}

impl Model {
    fn lines(&self, asker: u16) -> Option<Vec<(Address, f64)>> {
        let table = *self.bindings.get(&asker)?;
        let lines = self.lines.iter().filter(|((t, s), _)| *t == table && !self.withdrawn.contains(s));
        Some(lines.map(|((_, server), weight)| (*server, *weight)).collect())
    }
}

quickcheck! {
    fn tables_follow_the_decisions(decisions: Vec<Decision>) -> bool {
        let deliveries = DeliveryTracker::new(&[AskerKind::Host; ASKERS as usize], CLASSES, ANSWER_LIFETIME, 0.0);
        let mut tables = Tables::new(usize::from(ASKERS), CLASSES, deliveries, 10);
        let (mut model, mut previous) = (Model::default(), Vec::new());
        tables.begin_round(0.0, 0, RoundInputs::default());
        for (n, decision) in decisions.iter().enumerate() {
            match *decision {
                Decision::Weigh(table, n, weight) => {
                    tables.set_weight(table, server(n), weight);
                    if weight > 0.0 {
                        model.lines.insert((table, server(n)), weight);
                    } else {
                        model.lines.remove(&(table, server(n)));
                    }
                }
                Decision::Clear(table) => {
                    tables.clear_table(table);
                    model.lines.retain(|(t, _), _| *t != table);
                    model.levels.retain(|(t, _), _| *t != table);
                }
                Decision::Bind(asker, table) => {
                    tables.bind(asker, table);
                    model.bindings.insert(asker, table);
                }
                Decision::Withdraw(n, withdrawn) => {
                    tables.withdraw(server(n), withdrawn);
                    if withdrawn { model.withdrawn.insert(server(n)) } else { model.withdrawn.remove(&server(n)) };
                }
                Decision::Admit(table, classes, level) => {
                    tables.set_level(table, classes, level, 1);
                    for class in (0..CLASSES as u16).filter(|c| classes == 0 || classes & (1 << c) != 0) {
                        model.levels.insert((table, class), level);
                    }
                }
                Decision::EndRound => {
                    tables.end_round();
                    // With the same table and version, nothing that a front reads may have changed.
                    let current: Vec<_> = (0..ASKERS).map(|asker| snapshot(&tables, asker)).collect();
                    let changed = |(old, new): (&Snapshot, &Snapshot)| match (old, new) {
                        (Some((version, old)), Some((same, new))) => version == same && old != new,
                        _ => false,
                    };
                    if previous.iter().zip(&current).any(changed) { return false; }
                    previous = current;
                    for asker in 0..ASKERS {
                        if lines(&tables, asker) != model.lines(asker) { return false; }
                        for class in 0..CLASSES as u16 {
                            let level = tables.view(asker, class).map(|view| view.level);
                            let table = model.bindings.get(&asker);
                            let expected = table.map(|t| *model.levels.get(&(*t, class)).unwrap_or(&1.0));
                            if level != expected { return false; }
                        }
                    }
                    tables.begin_round(n as f64, n as u64, RoundInputs::default());
                }
            }
        }
        true
    }

    /// A message is acknowledged only when no older answer may be in use, and as soon as that holds for it
    /// and for all earlier messages.
    fn acknowledgements_come_when_no_older_answer_is_in_use(steps: Vec<(u8, u8, u8)>) -> TestResult {
        let kinds = [AskerKind::Host, AskerKind::Group, AskerKind::Host];
        let mut deliveries = DeliveryTracker::new(&kinds, CLASSES, ANSWER_LIFETIME, 0.0);
        // Every answer given: asker, class, version, expiry. At the start any older answer may be in use.
        let mut answers: Vec<(u16, u16, u64, f64)> = Vec::new();
        for asker in 0..3 {
            answers.extend((0..CLASSES as u16).map(|class| (asker, class, 0, ANSWER_LIFETIME)));
        }
        let mut messages: Vec<(u16, u64)> = Vec::new();
        let (mut now, mut acknowledged) = (0.0, 0);
        for (action, asker, step) in steps {
            now += f64::from(step % 8) * 0.1;
            let asker = u16::from(asker) % 3;
            if action % 3 == 0 {
                let version = messages.len() as u64 + 1;
                deliveries.enqueue(asker, 2.0, Some(version), version, now);
                messages.push((asker, version));
            } else {
                let (class, version) = (u16::from(action) % CLASSES as u16, messages.len() as u64);
                deliveries.record_answer(asker, class, version, now);
                if kinds[usize::from(asker)] == AskerKind::Host {
                    answers.retain(|a| (a.0, a.1) != (asker, class));
                }
                answers.push((asker, class, version, now + ANSWER_LIFETIME));
            }
            acknowledged += deliveries.acknowledgements(now).len();
            let delivered = |(asker, version): &(u16, u64)| {
                !answers.iter().any(|a| a.0 == *asker && a.2 < *version && a.3 > now)
            };
            let expected = messages.iter().take_while(|message| delivered(message)).count();
            if acknowledged < expected || !messages[..acknowledged].iter().all(delivered) {
                return TestResult::error(format!("{acknowledged} acknowledged, {expected} delivered at {now}"));
            }
            if deliveries.pending_lines() != 2.0 * (messages.len() - acknowledged) as f64 {
                return TestResult::error(format!("{} lines pending", deliveries.pending_lines()));
            }
        }
        TestResult::passed()
    }

    /// A frozen table has no server that the decisions dropped, gives no cold server a greater share than
    /// they do, and is never empty while theirs is not.
    fn frozen_tables_keep_the_rules(old: Vec<(u8, u8)>, current: Vec<(u8, u8)>, cold: Vec<u8>) -> bool {
        let lines = |given: &[(u8, u8)]| -> Lines {
            given.iter().map(|(n, weight)| (server(*n), f64::from(*weight) + 1.0)).collect()
        };
        let (old, current) = (lines(&old), lines(&current));
        let cold: BTreeSet<Address> = cold.iter().map(|n| server(*n)).collect();
        let frozen = frozen_lines(&old, &current, |server| cold.contains(server));
        let share = |lines: &Lines, server: &Address| lines.get(server).map_or(0.0, |w| w / lines.values().sum::<f64>());
        let is_current = |server: &Address| current.contains_key(server);
        let is_limited = |server: &Address| !cold.contains(server) || share(&frozen, server) <= share(&current, server) + 1e-9;
        frozen.is_empty() == current.is_empty()
            && frozen.keys().all(|server| is_current(server) && is_limited(server))
            && frozen.values().all(|weight| *weight > 0.0)
    }

    fn samples_have_no_duplicates_and_spread_by_weight(weights: Vec<u8>, max: u8) -> TestResult {
        let lines: BTreeMap<Address, f64> =
            weights.iter().take(200).enumerate().map(|(n, w)| (Address { host: [10, 0, 0, n as u8], port: 1 }, f64::from(*w))).collect();
        let index = WeightedIndex::new(lines.clone());
        let weighted: Vec<_> = lines.iter().filter(|(_, weight)| **weight > 0.0).collect();
        let (mut sequence, mut count, rounds) = (GoldenSequence::new(0.3), BTreeMap::new(), 2000);
        let mut rng = oatlever::rng::Rng::new(3);
        for _ in 0..rounds {
            let sample = index.sample(usize::from(max % 5) + 1, sequence.next_fraction(), || rng.f64());
            let distinct: BTreeSet<_> = sample.iter().map(|line| line.server).collect();
            let expected = (usize::from(max % 5) + 1).min(weighted.len());
            if distinct.len() != sample.len() || sample.len() != expected {
                return TestResult::error(format!("{} sampled, {expected} expected", sample.len()));
            }
            if let Some(line) = sample.first() {
                *count.entry(line.server).or_insert(0.0) += 1.0;
            }
        }
        // The golden sequence deviates from a line's share by a few samples at most.
        let total: f64 = weighted.iter().map(|(_, weight)| **weight).sum();
        let deviation = |(server, weight): (&Address, &f64)| {
            (count.get(server).copied().unwrap_or(0.0) - f64::from(rounds) * weight / total).abs()
        };
        let worst = weighted.iter().map(|(s, w)| deviation((s, w))).fold(0.0, f64::max);
        TestResult::from_bool(worst <= 12.0)
    }
}

/// Table and version, and everything that a front reads of them: lines and levels.
type Snapshot = Option<((u16, u64), (Vec<(Address, f64)>, Vec<f64>))>;

fn snapshot(tables: &Tables, asker: u16) -> Snapshot {
    let view = tables.view(asker, 0)?;
    let level = |class| tables.view(asker, class).map(|view| view.level);
    let levels = (0..CLASSES as u16).filter_map(level).collect();
    Some(((view.table, view.version), (lines(tables, asker)?, levels)))
}

fn lines(tables: &Tables, asker: u16) -> Option<Vec<(Address, f64)>> {
    let view = tables.view(asker, 0)?;
    Some(view.index.lines().iter().map(|line| (line.server, line.weight)).collect())
}

/// The history tells which round made a change and what its inputs were.
#[test]
fn changes_record_their_round_and_its_inputs() {
    let mut tables = Tables::new(1, 1, DeliveryTracker::new(&[AskerKind::Host], 1, ANSWER_LIFETIME, 0.0), 2);
    for round in 1..=3u8 {
        tables.begin_round(
            f64::from(round),
            u64::from(round),
            RoundInputs { lists: 1, ..RoundInputs::default() },
        );
        tables.set_weight(0, server(round), 1.0);
        tables.end_round();
    }
    let changes: Vec<_> =
        tables.history.newest_first().map(|c| (c.round, c.inputs.lists, c.lines.clone())).collect();
    assert_eq!(changes, [(3, 1, vec![(server(3), 0.0, 1.0)]), (2, 1, vec![(server(2), 0.0, 1.0)])]);
}

/// Messages pending for a disconnected proxy must not count: the channel would look full.
#[test]
fn nothing_is_pending_for_disconnected_askers() {
    let mut deliveries = DeliveryTracker::new(&[AskerKind::Host; 2], 1, ANSWER_LIFETIME, 0.0);
    deliveries.enqueue(0, 5.0, Some(1), 1, 0.5);
    deliveries.enqueue(1, 7.0, Some(1), 1, 0.5);
    deliveries.disconnect(0);
    assert_eq!(deliveries.pending_lines(), 7.0);
    assert_eq!(deliveries.acknowledgements(ANSWER_LIFETIME).len(), 1);
}

/// An ACK and a NACK both complete a delivery, but only an ACK is acknowledged; a closed stream has nothing
/// pending.
#[test]
fn streams_acknowledge_reject_or_disconnect() {
    let mut deliveries = DeliveryTracker::new(&[AskerKind::Stream; 3], 1, ANSWER_LIFETIME, 0.0);
    for version in 1..=2 {
        (0..3).for_each(|asker| deliveries.enqueue(asker, 2.0, Some(version), version, 1.0));
    }
    assert!(deliveries.acknowledgements(1e9).is_empty(), "time alone is no acknowledgement");
    deliveries.acknowledge(1, 1);
    assert!(deliveries.acknowledgements(2.0).is_empty(), "an earlier message is pending");
    deliveries.reject(0, 2);
    let acknowledged = |deliveries: &mut DeliveryTracker| -> Vec<_> {
        deliveries.acknowledgements(3.0).iter().map(|r| (r.proxy, r.number)).collect()
    };
    assert_eq!(acknowledged(&mut deliveries), [(1, 1)]);
    deliveries.disconnect(2);
    assert_eq!(acknowledged(&mut deliveries), []);
    assert_eq!(deliveries.pending_lines(), 2.0);
    deliveries.acknowledge(1, 2);
    assert_eq!((acknowledged(&mut deliveries), deliveries.pending_lines()), (vec![(1, 2)], 0.0));
}

/// A rollback while a newer change is pending: the old version is published under a new number, and later
/// decisions take effect only after the release. Drains take effect at once.
#[test]
fn a_table_is_rolled_back_stays_frozen_and_is_released() {
    let mut tables =
        Tables::new(1, 1, DeliveryTracker::new(&[AskerKind::Stream], 1, ANSWER_LIFETIME, 0.0), 10);
    let decide = |tables: &mut Tables, round: u64, weights: &[(u8, f64)]| {
        tables.begin_round(round as f64, round, RoundInputs::default());
        weights.iter().for_each(|(n, weight)| tables.set_weight(0, server(*n), *weight));
        tables.bind(0, 0);
        tables.mark(round, false);
        tables.end_round();
    };
    let published = |tables: &Tables| -> Vec<(Address, f64)> { lines(tables, 0).unwrap() };
    decide(&mut tables, 1, &[(1, 1.0), (2, 3.0)]);
    decide(&mut tables, 2, &[(2, 1.0), (3, 2.0)]);
    assert_eq!(tables.roll_back(0, 7, 2.5, &mut NoReview), Err(FreezeError::NoVersion));
    assert_eq!(tables.roll_back(9, 1, 2.5, &mut NoReview), Err(FreezeError::NoTable));
    assert_eq!(tables.release(0, 2.5, &mut NoReview), Err(FreezeError::NotFrozen));
    assert_eq!(tables.roll_back(0, 1, 2.5, &mut NoReview), Ok(3));
    assert_eq!(
        (published(&tables), tables.frozen_version(0)),
        (vec![(server(1), 0.25), (server(2), 0.75)], Some(1))
    );
    assert_eq!(tables.deliveries.acknowledgements(1e9).len(), 0, "nothing was acknowledged yet");
    decide(&mut tables, 3, &[(1, 5.0)]);
    assert_eq!(published(&tables), [(server(1), 0.25), (server(2), 0.75)]);
    // A drain takes effect, and a server that is cold now gets no greater share than the decisions give it.
    decide(&mut tables, 4, &[(1, 0.0)]);
    assert_eq!(published(&tables), [(server(2), 1.0)]);
    decide(&mut tables, 5, &[(1, 1.0), (3, 8.0)]);
    tables.set_cold([server(1)].into());
    decide(&mut tables, 6, &[]);
    assert_eq!(published(&tables), [(server(1), 0.1), (server(2), 0.9)]);
    let version = tables.release(0, 7.0, &mut NoReview).unwrap();
    assert_eq!(published(&tables), [(server(1), 1.0), (server(2), 1.0), (server(3), 8.0)]);
    assert_eq!(tables.versions(0).unwrap().all().next_back().unwrap().version, version);
}
