//! Compares the guard's verdicts on all tables of small pools, with three possible weights per server, with a direct
//! implementation of the checks.

use oatlever::round::Address;
use oatlever_guard::{Check, Guard, GuardConfig, ListStatus, Mode, Outcome, Server, State, Weights};
use std::collections::BTreeSet;

const WEIGHTS: [f64; 3] = [0.0, 1.0, 3.0];
/// Maximum queries per second of a warm server in these pools: twice the proven rate of 10.
const WARM_LIMIT: f64 = 20.0;

fn server(n: usize) -> Address {
    Address { host: [10, 0, 0, n as u8], port: 7000 }
}

/// Servers, numbered from 0, and the demand on them. All answer, and even numbers are in one zone and odd ones in
/// another. Numbers beyond the size of the pool are ignored.
struct Pool {
    /// Servers that started 50 s ago.
    cold: &'static [usize],
    draining: &'static [usize],
    /// Queries per second of the users of table 0, which is proposed, and of table 1, which doesn't change.
    demand: [f64; 2],
}

const POOLS: [Pool; 4] = [
    // Only warm servers.
    Pool { cold: &[], draining: &[], demand: [30.0, 20.0] },
    // A cold server, under a demand that one warm server can take.
    Pool { cold: &[1], draining: &[], demand: [12.0, 8.0] },
    // Cold servers and a draining one: only cold ones are available in pools of two and three.
    Pool { cold: &[0, 2], draining: &[1], demand: [10.0, 6.0] },
    // A cold server, under a demand of 80, more than the capacity of 66.5 of a pool of four.
    Pool { cold: &[0], draining: &[], demand: [40.0, 40.0] },
];

impl Pool {
    fn state(&self, servers: usize) -> State {
        let state_of = |n: usize| Server {
            zone: (n % 2) as u16,
            list_status: if self.draining.contains(&n) { ListStatus::Draining } else { ListStatus::Ready },
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
            servers: (0..servers).map(|n| (server(n), state_of(n))).collect(),
            demand: [(0, self.demand[0]), (1, self.demand[1])].into(),
            measured_at: 1000.0,
            cold_share: 0.1,
            warm_within: 200.0,
            fall_multiple: 2.0,
            ..State::default()
        }
    }

    /// Maximum queries per second of a server. A cold one started 50 s ago with 0.1 (`cold_share`) of its full
    /// capacity, and reaches it 200 s (`warm_within`) after its start: it now has 0.1 + 0.9 * 50 / 200 = 0.325 of it.
    /// Its limit is `fall_multiple`, 2, times that fraction of the proven rate of 10.
    fn limit(&self, n: usize) -> f64 {
        if self.cold.contains(&n) {
            2.0 * 0.325 * 10.0
        } else {
            WARM_LIMIT
        }
    }

    fn is_available(&self, n: usize) -> bool {
        !self.draining.contains(&n)
    }

    /// The checks that fail if table 0 changes from `old` to `new` while table 1 is `other`. A table is a list of each
    /// server's share of the queries.
    fn failed_checks(&self, old: &[f64], new: &[f64], other: &[f64]) -> BTreeSet<Check> {
        let all = 0..new.len();
        let is_cold = |n: &usize| self.cold.contains(n);
        let mut failed = BTreeSet::new();
        let empty = new.iter().all(|share| *share == 0.0);
        if empty && all.clone().any(|n| self.is_available(n)) {
            failed.insert(Check::Emptied);
        }
        let warm_available = || all.clone().filter(|n| self.is_available(*n) && !is_cold(n));
        if !empty
            && all.clone().filter(|n| new[*n] > 0.0).all(|n| is_cold(&n))
            && warm_available().count() > 0
        {
            failed.insert(Check::ColdOnly);
        }
        for zone in 0..2 {
            let sum = |shares: &[f64]| -> f64 { shares.iter().skip(zone).step_by(2).sum() };
            let here = || all.clone().filter(|n| n % 2 == zone && self.is_available(*n));
            let dropped: f64 = here().filter(|n| new[*n] == 0.0).map(|n| old[n]).sum();
            if sum(new) > 0.0 && dropped > 0.5 * sum(old) + 1e-9 {
                failed.insert(Check::Cut);
            }
            let abandoned = !empty && sum(old) > 0.05 && sum(new) == 0.0 && sum(other) == 0.0;
            if abandoned && here().count() > 0 {
                failed.insert(Check::ZoneCut);
            }
        }
        let moved: f64 =
            all.clone().filter(|n| self.is_available(*n)).map(|n| (old[n] - new[n]).max(0.0)).sum();
        if moved > 0.9 + 1e-9 {
            failed.insert(Check::Moved);
        }
        let load = |n: usize, share: f64| share.max(old[n]) * self.demand[0] + other[n] * self.demand[1];
        for n in all.clone().filter(|n| new[*n] > old[*n] + 1e-9) {
            if load(n, new[n]) > self.limit(n) + 1e-6 {
                failed.insert(if is_cold(&n) { Check::ColdOverload } else { Check::Overload });
            }
        }
        let load_after_loss = |shares: &[f64], n: usize| {
            let lost = all.clone().filter(|m| *m != n).map(|m| shares[m]).fold(0.0, f64::max);
            load(n, if lost < 1.0 { shares[n] / (1.0 - lost) } else { 1.0 })
        };
        let has_unused_warm = warm_available().any(|n| new[n] == 0.0);
        for n in all.clone().filter(|n| is_cold(n) && new[*n] > 0.0 && has_unused_warm) {
            let grows = old[n] == 0.0 || load_after_loss(new, n) > load_after_loss(old, n) + 1e-6;
            if grows
                && load(n, new[n]) <= self.limit(n) + 1e-6
                && load_after_loss(new, n) > self.limit(n) + 1e-6
            {
                failed.insert(Check::Fragile);
            }
        }
        failed
    }
}

/// Returns table number `number`, first as the weights passed to the guard, then as each server's share of the queries
/// (all 0 if no weight is positive). The base-3 digits of the number, lowest first, select the weights of the servers.
fn table(mut number: usize, servers: usize) -> (Weights, Vec<f64>) {
    let mut weights = Vec::new();
    for _ in 0..servers {
        weights.push(WEIGHTS[number % 3]);
        number /= 3;
    }
    let sum: f64 = weights.iter().sum();
    let shares = weights.iter().map(|w| if sum > 0.0 { w / sum } else { 0.0 }).collect();
    (weights.into_iter().enumerate().map(|(n, weight)| (server(n), weight)).collect(), shares)
}

#[test]
fn verdicts_on_all_small_tables_match_a_direct_implementation() {
    let (mut fine, mut refused, mut compared) = (0, 0, 0);
    let mut seen = BTreeSet::new();
    for (servers, step) in [(2, 1), (3, 1), (4, 1), (5, 20)] {
        let tables: Vec<_> =
            (0..3_usize.pow(servers)).map(|number| table(number, servers as usize)).collect();
        // All base-3 digits are 1: the table with weight 1 for every server, which is in place before each proposal.
        let equal_weights = (3_usize.pow(servers) - 1) / 2;
        for pool in &POOLS {
            let state = pool.state(servers as usize);
            for other in (0..tables.len()).step_by(step) {
                let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, 5.0);
                let earlier = State { now: 950.0, demand: [].into(), ..state.clone() };
                guard.set_current(&earlier, 0, &tables[equal_weights].0);
                guard.set_current(&earlier, 1, &tables[other].0);
                let (old, other_shares) = (&tables[equal_weights].1, &tables[other].1);
                for (proposed, new) in &tables {
                    let (verdict, replacement) = guard.clone().evaluate(&state, 0, proposed);
                    let found: BTreeSet<Check> = verdict.findings.iter().map(|f| f.check).collect();
                    let expected = pool.failed_checks(old, new, other_shares);
                    assert_eq!(
                        found, expected,
                        "{old:?} to {new:?} with other table {other_shares:?}: {verdict}"
                    );
                    seen.extend(found.iter().copied());
                    if found.is_empty() {
                        fine += 1;
                        assert_eq!(replacement, None);
                        continue;
                    }
                    refused += 1;
                    let Some(published) = replacement else { continue };
                    assert!(published.keys().all(|s| pool.is_available(usize::from(s.host[3]))), "{verdict}");
                    let Outcome::Nearest { moved, fits } = verdict.outcome else { continue };
                    if fits < 1.0 || found.contains(&Check::Fragile) {
                        continue;
                    }
                    // No server is overloaded, and no table of these weights without an overload moves less.
                    let load =
                        |n: usize, share: f64| share * pool.demand[0] + other_shares[n] * pool.demand[1];
                    let is_safe = |shares: &[f64]| {
                        let fits = |n: usize| shares[n] == 0.0 || load(n, shares[n]) <= pool.limit(n) + 1e-6;
                        (0..shares.len()).all(|n| fits(n) && (shares[n] == 0.0 || pool.is_available(n)))
                    };
                    let share = |n: usize| published.get(&server(n)).copied().unwrap_or(0.0);
                    let published: Vec<f64> = (0..new.len()).map(share).collect();
                    assert!(is_safe(&published), "{verdict}: {published:?}");
                    let safe = tables
                        .iter()
                        .filter(|(_, shares)| shares.iter().any(|p| *p > 0.0) && is_safe(shares));
                    let distance = |shares: &[f64]| -> f64 {
                        old.iter().zip(shares).map(|(old, new)| (old - new).max(0.0)).sum()
                    };
                    let best = safe.map(|(_, shares)| distance(shares)).fold(f64::INFINITY, f64::min);
                    assert!(moved <= best + 1e-9, "{verdict}: {published:?} moves {moved}, another {best}");
                    compared += 1;
                }
            }
        }
    }
    assert!(fine > 1000 && refused > 5000 && compared > 500, "{fine} {refused} {compared}");
    assert_eq!(seen.len(), 8, "{seen:?}: the pools don't trigger every check");
}
