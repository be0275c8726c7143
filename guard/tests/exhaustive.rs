//! Every pair of tables of small pools, three weights a line, against a plain reading of the checks.

use oatlever::round::Address;
use oatlever_guard::{Check, Guard, GuardConfig, ListStatus, Mode, Outcome, Server, State, Weights};
use std::collections::BTreeSet;

const WEIGHTS: [f64; 3] = [0.0, 1.0, 3.0];
/// Queries a second that a warm server of these pools may be asked for: proven 10, twice that.
const WARM: f64 = 20.0;

fn server(n: usize) -> Address {
    Address { host: [10, 0, 0, n as u8], port: 7000 }
}

/// What a pool is made of: which servers are cold, which drain, and the demand of both tables.
struct Pool {
    cold: &'static [usize],
    drains: &'static [usize],
    demand: [f64; 2],
}

const POOLS: [Pool; 4] = [
    Pool { cold: &[], drains: &[], demand: [30.0, 20.0] },
    Pool { cold: &[1], drains: &[], demand: [12.0, 8.0] },
    Pool { cold: &[0, 2], drains: &[1], demand: [10.0, 6.0] },
    Pool { cold: &[0], drains: &[], demand: [40.0, 40.0] },
];

impl Pool {
    fn state(&self, servers: usize) -> State {
        let one = |n: usize| Server {
            zone: (n % 2) as u16,
            list_status: if self.drains.contains(&n) { ListStatus::Draining } else { ListStatus::Ready },
            status_changed_at: 0.0,
            weight: 1.0,
            started: if self.cold.contains(&n) { 950.0 } else { 0.0 },
            answered_at: Some(1000.0),
            failed_at: None,
            last_check: None,
            proven_rate: 10.0,
        };
        State {
            now: 1000.0,
            servers: (0..servers).map(|n| (server(n), one(n))).collect(),
            demand: [(0, self.demand[0]), (1, self.demand[1])].into(),
            measured_at: 1000.0,
            cold_share: 0.1,
            warm_within: 200.0,
            fall_multiple: 2.0,
            ..State::default()
        }
    }

    /// A quarter of the way from 0.1 to 1, times two, times 10.
    fn limit(&self, n: usize) -> f64 {
        if self.cold.contains(&n) {
            2.0 * 0.325 * 10.0
        } else {
            WARM
        }
    }

    fn open(&self, n: usize) -> bool {
        !self.drains.contains(&n)
    }

    /// All that is wrong with `new` in place of `old` while the other table is `other`; all by parts.
    fn wrong(&self, old: &[f64], new: &[f64], other: &[f64]) -> BTreeSet<Check> {
        let all = 0..new.len();
        let is_cold = |n: &usize| self.cold.contains(n);
        let mut found = BTreeSet::new();
        let empty = new.iter().all(|part| *part == 0.0);
        if empty && all.clone().any(|n| self.open(n)) {
            found.insert(Check::Emptied);
        }
        let warm_open = || all.clone().filter(|n| self.open(*n) && !is_cold(n));
        if !empty && all.clone().filter(|n| new[*n] > 0.0).all(|n| is_cold(&n)) && warm_open().count() > 0 {
            found.insert(Check::ColdOnly);
        }
        for zone in 0..2 {
            let of = |lines: &[f64]| -> f64 { lines.iter().skip(zone).step_by(2).sum() };
            let here = || all.clone().filter(|n| n % 2 == zone && self.open(*n));
            let dropped: f64 = here().filter(|n| new[*n] == 0.0).map(|n| old[n]).sum();
            if of(new) > 0.0 && dropped > 0.5 * of(old) + 1e-9 {
                found.insert(Check::Cut);
            }
            let left = !empty && of(old) > 0.05 && of(new) == 0.0 && of(other) == 0.0;
            if left && here().count() > 0 {
                found.insert(Check::ZoneCut);
            }
        }
        let away: f64 = all.clone().filter(|n| self.open(*n)).map(|n| (old[n] - new[n]).max(0.0)).sum();
        if away > 0.9 + 1e-9 {
            found.insert(Check::Moved);
        }
        let load = |n: usize, part: f64| part.max(old[n]) * self.demand[0] + other[n] * self.demand[1];
        for n in all.clone().filter(|n| new[*n] > old[*n] + 1e-9) {
            if load(n, new[n]) > self.limit(n) + 1e-6 {
                found.insert(if is_cold(&n) { Check::ColdOverload } else { Check::Overload });
            }
        }
        let after = |lines: &[f64], n: usize| {
            let lost = all.clone().filter(|m| *m != n).map(|m| lines[m]).fold(0.0, f64::max);
            load(n, if lost < 1.0 { lines[n] / (1.0 - lost) } else { 1.0 })
        };
        let rest = warm_open().any(|n| new[n] == 0.0);
        for n in all.clone().filter(|n| is_cold(n) && new[*n] > 0.0 && rest) {
            let grows = old[n] == 0.0 || after(new, n) > after(old, n) + 1e-6;
            if grows && load(n, new[n]) <= self.limit(n) + 1e-6 && after(new, n) > self.limit(n) + 1e-6 {
                found.insert(Check::Fragile);
            }
        }
        found
    }
}

/// The table of a number: its digits to the base of three choose the weights.
fn table(mut number: usize, servers: usize) -> (Weights, Vec<f64>) {
    let mut weights = Vec::new();
    for _ in 0..servers {
        weights.push(WEIGHTS[number % 3]);
        number /= 3;
    }
    let all: f64 = weights.iter().sum();
    let parts = weights.iter().map(|w| if all > 0.0 { w / all } else { 0.0 }).collect();
    (weights.into_iter().enumerate().map(|(n, weight)| (server(n), weight)).collect(), parts)
}

#[test]
fn verdicts_on_all_pairs_of_small_tables_agree_with_a_plain_reading() {
    let (mut fine, mut refused, mut compared) = (0, 0, 0);
    let mut seen = BTreeSet::new();
    for (servers, step) in [(2, 1), (3, 1), (4, 1), (5, 20)] {
        let tables: Vec<_> =
            (0..3_usize.pow(servers)).map(|number| table(number, servers as usize)).collect();
        let even = (3_usize.pow(servers) - 1) / 2;
        for pool in &POOLS {
            let state = pool.state(servers as usize);
            for other in (0..tables.len()).step_by(step) {
                let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, 5.0);
                let earlier = State { now: 950.0, demand: [].into(), ..state.clone() };
                guard.set_current(&earlier, 0, &tables[even].0);
                guard.set_current(&earlier, 1, &tables[other].0);
                let (old, q) = (&tables[even].1, &tables[other].1);
                for (proposed, new) in &tables {
                    let (verdict, laid) = guard.clone().evaluate(&state, 0, proposed);
                    let told: BTreeSet<Check> = verdict.findings.iter().map(|f| f.check).collect();
                    let plain = pool.wrong(old, new, q);
                    assert_eq!(told, plain, "{old:?} to {new:?} beside {q:?}: {verdict}");
                    seen.extend(told.iter().copied());
                    if told.is_empty() {
                        fine += 1;
                        assert_eq!(laid, None);
                        continue;
                    }
                    refused += 1;
                    let Some(laid) = laid else { continue };
                    assert!(laid.keys().all(|s| pool.open(usize::from(s.host[3]))), "{verdict}");
                    let Outcome::Nearest { moved, fits } = verdict.outcome else { continue };
                    if fits < 1.0 || told.contains(&Check::Fragile) {
                        continue;
                    }
                    // Nobody past his room, and no table of these weights that keeps it is nearer.
                    let load = |n: usize, part: f64| part * pool.demand[0] + q[n] * pool.demand[1];
                    let keeps = |lines: &[f64]| {
                        let within = |n: usize| lines[n] == 0.0 || load(n, lines[n]) <= pool.limit(n) + 1e-6;
                        (0..lines.len()).all(|n| within(n) && (lines[n] == 0.0 || pool.open(n)))
                    };
                    let part = |n: usize| laid.get(&server(n)).copied().unwrap_or(0.0);
                    let laid: Vec<f64> = (0..new.len()).map(part).collect();
                    assert!(keeps(&laid), "{verdict}: {laid:?}");
                    let safe =
                        tables.iter().filter(|(_, lines)| lines.iter().any(|p| *p > 0.0) && keeps(lines));
                    let away = |lines: &[f64]| -> f64 {
                        old.iter().zip(lines).map(|(old, new)| (old - new).max(0.0)).sum()
                    };
                    let best = safe.map(|(_, lines)| away(lines)).fold(f64::INFINITY, f64::min);
                    assert!(moved <= best + 1e-9, "{verdict}: {laid:?} moves {moved}, another {best}");
                    compared += 1;
                }
            }
        }
    }
    assert!(fine > 1000 && refused > 5000 && compared > 500, "{fine} {refused} {compared}");
    assert_eq!(seen.len(), 8, "{seen:?}: the pools don't reach every check");
}
