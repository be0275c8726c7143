//! Tests of the guard: single checks, random tables against a direct computation, replacement tables against an
//! exhaustive search, and edge cases.

use oatlever::round::Address;
use oatlever_guard::{
    normalize, Check, Guard, GuardConfig, Holders, ListStatus, Loads, Mode, Outcome, Override, Pin, Server,
    State, Weights,
};
use std::collections::BTreeSet;

fn server(n: u8) -> Address {
    Address { host: [10, 0, 0, n], port: 7000 }
}

fn ready(zone: u16) -> Server {
    let (answered_at, last_check) = (Some(1000.0), None);
    let (list_status, status_changed_at, failed_at) = (ListStatus::Ready, 0.0, None);
    let (weight, started, proven_rate) = (1.0, 0.0, 10.0);
    Server {
        zone,
        list_status,
        status_changed_at,
        weight,
        started,
        answered_at,
        failed_at,
        last_check,
        proven_rate,
    }
}

/// Warm servers, alternating between two zones; the capacity of each is 20 queries per second.
fn state(servers: u8, demand: f64) -> State {
    State {
        now: 1000.0,
        servers: (0..servers).map(|n| (server(n), ready(u16::from(n % 2)))).collect(),
        demand: [(0, demand), (1, demand)].into(),
        measured_at: 1000.0,
        failure_rate: 0.0,
        cold_share: 0.2,
        warm_within: 100.0,
        fall_multiple: 2.5,
        drain_gone: false,
    }
}

fn weights(entries: &[(u8, f64)]) -> Weights {
    entries.iter().map(|(n, weight)| (server(*n), *weight)).collect()
}

fn even(servers: std::ops::Range<u8>) -> Weights {
    servers.map(|n| (server(n), 1.0)).collect()
}

/// s
const MAX_TABLE_LIFETIME: f64 = 5.0;

/// A guard with a table that has been in place for 50 s.
fn guard(state: &State, table: &Weights) -> Guard {
    let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, MAX_TABLE_LIFETIME);
    let earlier = State { now: state.now - 50.0, measured_at: state.now - 50.0, ..state.clone() };
    let mut all_ready = earlier.clone();
    all_ready.servers.values_mut().for_each(|s| s.list_status = ListStatus::Ready);
    all_ready.demand.clear();
    guard.evaluate(&all_ready, 0, table);
    guard
}

fn evaluate(guard: &mut Guard, state: &State, table: u16, proposed: &Weights) -> (Vec<Check>, Outcome) {
    let (verdict, _) = guard.evaluate(state, table, proposed);
    (verdict.findings.iter().map(|finding| finding.check).collect(), verdict.outcome)
}

/// For each check, a table that only this check refuses: with the check overridden, the table is published.
#[test]
fn each_check_refuses_a_table_that_no_other_does() {
    let idle = state(6, 10.0);
    let mut cold = idle.clone();
    cold.servers.get_mut(&server(5)).unwrap().started = 990.0;
    let mut only_cold = cold.clone();
    only_cold.demand.clear();
    (0..4).for_each(|n| only_cold.servers.get_mut(&server(n)).unwrap().answered_at = None);
    only_cold.servers.values_mut().for_each(|s| s.zone = 0);
    let mut one_available = idle.clone();
    (0..5).for_each(|n| one_available.servers.get_mut(&server(n)).unwrap().answered_at = None);
    let busy = state(6, 60.0);
    let mut cold_busy = busy.clone();
    cold_busy.servers.get_mut(&server(5)).unwrap().started = 990.0;
    let mut lone_zone = idle.clone();
    // A zone with a single server.
    lone_zone.servers.get_mut(&server(5)).unwrap().zone = 7;
    let all = even(0..6);
    let cases: [(Check, &State, Weights); 9] = [
        (Check::NotFinite, &idle, [(server(0), f64::NAN)].into_iter().chain(even(1..6)).collect()),
        (Check::Emptied, &one_available, Weights::new()),
        (Check::ColdOnly, &only_cold, weights(&[(5, 1.0)])),
        (Check::Cut, &idle, even(0..2)),
        (Check::ZoneCut, &lone_zone, even(0..5)),
        (Check::Moved, &idle, weights(&[(0, 1e6), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0)])),
        (Check::Overload, &busy, weights(&[(0, 3.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0)])),
        (
            Check::ColdOverload,
            &cold_busy,
            weights(&[(0, 1.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.2)]),
        ),
        (Check::Pinned, &idle, weights(&[(0, 1.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 2.0)])),
    ];
    for (check, state, proposed) in cases {
        let mut guard = guard(state, &all);
        guard.config.moved_part = 0.8;
        guard.pins.push(Pin {
            server: server(5),
            min_share: 0.0,
            max_share: 0.2,
            expires_at: if check == Check::Pinned { 2000.0 } else { 0.0 },
        });
        let mut overridden = guard.clone();
        let (found, outcome) = evaluate(&mut guard, state, 0, &proposed);
        assert_eq!(found, [check], "{outcome:?}");
        assert!(matches!(outcome, Outcome::Kept | Outcome::Nearest { .. }), "{check:?}: {outcome:?}");
        overridden.overrides.push(Override { check, author: "test".into(), expires_at: 1001.0 });
        let (found, outcome) = evaluate(&mut overridden, state, 0, &proposed);
        assert!(found.is_empty() && matches!(outcome, Outcome::Fine | Outcome::Empty), "{check:?} {found:?}");
        // Overrides expire.
        let mut expired = guard.clone();
        expired.overrides.push(Override { check, author: "test".into(), expires_at: 999.0 });
        expired.expire(state.now);
        assert!(expired.overrides.is_empty());
    }
    let mut guard = guard(&idle, &all);
    let mut retry_mode = |once, mode| guard.retry_mode(0, 1, once, mode, 1000.0);
    assert_eq!((retry_mode(true, 1), retry_mode(true, 2), retry_mode(false, 2)), (1, 0, 2));
    guard.overrides.push(Override { check: Check::Twice, author: "test".into(), expires_at: 1001.0 });
    assert_eq!(guard.retry_mode(0, 1, true, 2, 1000.0), 2);
}

/// The list reports nine of ten servers as gone although they answer: they stay in the table. The list is followed if
/// nothing shows that they serve, or if gone servers must be drained in any case.
#[test]
fn false_list_is_distinguished_from_a_true_one() {
    let mut false_list = state(10, 20.0);
    (1..10).for_each(|n| false_list.servers.get_mut(&server(n)).unwrap().list_status = ListStatus::Gone);
    let few = weights(&[(0, 1.0)]);
    let (found, outcome) = evaluate(&mut guard(&false_list, &even(0..10)), &false_list, 0, &few);
    assert!(found.contains(&Check::Cut) && outcome == Outcome::Kept, "{found:?} {outcome:?}");
    let mut true_list = false_list.clone();
    (1..10).for_each(|n| true_list.servers.get_mut(&server(n)).unwrap().answered_at = Some(900.0));
    true_list.demand.clear();
    assert_eq!(evaluate(&mut guard(&true_list, &even(0..10)), &true_list, 0, &few).1, Outcome::Fine);
    // Failed checks from before an answer don't count; a check that failed after it does.
    let mut checked = false_list.clone();
    for n in 1..10 {
        let s = checked.servers.get_mut(&server(n)).unwrap();
        (s.answered_at, s.last_check) = (Some(995.0), Some((994.0, false)));
    }
    assert_eq!(evaluate(&mut guard(&checked, &even(0..10)), &checked, 0, &few).1, Outcome::Kept);
    checked.servers.values_mut().for_each(|s| s.last_check = Some((996.0, false)));
    checked.demand.clear();
    assert_eq!(evaluate(&mut guard(&checked, &even(0..10)), &checked, 0, &few).1, Outcome::Fine);
    // Answers from before the list's report don't count, so servers that died are removed. So are servers at which
    // all tries fail.
    let mut died = false_list.clone();
    died.demand.clear();
    died.servers.values_mut().for_each(|s| (s.status_changed_at, s.answered_at) = (997.0, Some(996.0)));
    assert_eq!(evaluate(&mut guard(&died, &even(0..10)), &died, 0, &few).1, Outcome::Fine);
    died.servers.values_mut().for_each(|s| (s.answered_at, s.failed_at) = (Some(998.0), Some(999.0)));
    assert_eq!(evaluate(&mut guard(&died, &even(0..10)), &died, 0, &few).1, Outcome::Fine);
    // Servers listed as gone must be drained, even if they answer.
    false_list.drain_gone = true;
    false_list.demand.clear();
    assert_eq!(evaluate(&mut guard(&false_list, &even(0..10)), &false_list, 0, &few).1, Outcome::Fine);
}

#[test]
fn empty_pool_is_published_and_unknown_pool_is_accepted() {
    let mut gone = state(4, 20.0);
    for s in gone.servers.values_mut() {
        (s.list_status, s.answered_at) = (ListStatus::Gone, Some(980.0));
    }
    assert_eq!(evaluate(&mut guard(&gone, &even(0..4)), &gone, 0, &Weights::new()).1, Outcome::Empty);
    // After a restart nothing is known of any server: every proposal is published.
    let mut unknown = state(4, 20.0);
    unknown.servers.values_mut().for_each(|s| (s.answered_at, s.proven_rate) = (None, 0.0));
    let mut fresh = Guard::new(GuardConfig::default(), Mode::Enforce, MAX_TABLE_LIFETIME);
    assert_eq!(evaluate(&mut fresh, &unknown, 0, &Weights::new()).1, Outcome::Fine);
    assert_eq!(evaluate(&mut fresh, &unknown, 0, &even(0..4)).1, Outcome::Fine);
    assert_eq!(evaluate(&mut fresh, &unknown, 0, &even(2..3)).1, Outcome::Fine);
}

/// At the end of a spill, a table drops available servers of another zone that other tables still use.
#[test]
fn spill_may_end() {
    let mut state = state(8, 20.0);
    state.demand.remove(&1);
    let (local, remote) =
        (weights(&[(0, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)]), weights(&[(1, 1.0), (3, 1.0)]));
    let spilled: Weights = local.keys().take(1).chain(remote.keys()).map(|server| (*server, 1.0)).collect();
    let mut guard = guard(&state, &spilled);
    guard.evaluate(&state, 1, &remote);
    assert_eq!(evaluate(&mut guard, &state, 0, &local), (vec![], Outcome::Fine));
}

/// A refused table never delays a drain: the table published instead doesn't contain the draining server.
#[test]
fn refusal_never_delays_a_drain() {
    let mut draining = state(6, 20.0);
    draining.servers.get_mut(&server(0)).unwrap().list_status = ListStatus::Draining;
    let mut guard = guard(&draining, &even(0..6));
    let (verdict, published) = guard.evaluate(&draining, 0, &weights(&[(1, 1.0)]));
    assert!(matches!(verdict.outcome, Outcome::Nearest { .. }), "{verdict}");
    let published = published.unwrap();
    assert_eq!(published.keys().copied().collect::<Vec<_>>(), (1..6).map(server).collect::<Vec<_>>());
    assert!(published.values().all(|share| (share - 0.2).abs() < 1e-9), "{published:?}");
}

/// A series of steps that are each below the limit is refused once it exceeds the limit in sum.
#[test]
fn small_steps_count_in_sum() {
    let mut state = state(10, 20.0);
    let mut guard = guard(&state, &even(0..10));
    let mut refused = None;
    for left in (1..10).rev() {
        state.now += 2.0;
        (state.measured_at, refused) = (state.now, Some(left));
        state.servers.values_mut().for_each(|s| s.answered_at = Some(state.now));
        if guard.evaluate(&state, 0, &even(0..left)).0.outcome != Outcome::Fine {
            break;
        }
    }
    assert_eq!(refused, Some(5), "the step to 5 servers is the first that exceeds the limit");
}

/// Two tables that are safe alone overload a cold server together; a replaced version counts while proxies may still
/// use it.
#[test]
fn tables_in_use_count_in_sum() {
    let mut state = state(6, 18.0);
    state.servers.get_mut(&server(5)).unwrap().started = 970.0;
    // A warm fraction of 0.44: the limit is 11 queries per second.
    let with_cold = weights(&[(0, 1.0), (1, 1.0), (2, 1.0), (5, 1.5)]);
    let mut guard = Guard::new(
        GuardConfig { cut_part: 0.9, ..GuardConfig::default() },
        Mode::Enforce,
        MAX_TABLE_LIFETIME,
    );
    assert_eq!(evaluate(&mut guard, &state, 0, &with_cold), (vec![], Outcome::Fine));
    let (found, outcome) = evaluate(&mut guard.clone(), &state, 1, &with_cold);
    assert_eq!(found, [Check::ColdOverload], "{outcome:?}");
    // The first table drops the server; its old version counts until its lifetime ends.
    let without = weights(&[(0, 1.0), (1, 1.0), (2, 1.0)]);
    assert_eq!(evaluate(&mut guard, &state, 0, &without), (vec![], Outcome::Fine));
    state.now += MAX_TABLE_LIFETIME - 0.1;
    state.measured_at = state.now;
    assert_eq!(evaluate(&mut guard.clone(), &state, 1, &with_cold).0, [Check::ColdOverload]);
    state.now += 0.2;
    state.measured_at = state.now;
    assert_eq!(evaluate(&mut guard, &state, 1, &with_cold).0, []);
}

/// The assumed demand grows with the age of reports. If it doesn't fit, all servers are overloaded by the same
/// factor.
#[test]
fn excess_is_shared_if_not_all_fits() {
    let mut over = state(4, 70.0);
    over.demand.remove(&1);
    let mut guard = guard(&over, &even(0..4));
    let (verdict, published) = guard.evaluate(&over, 0, &weights(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]));
    assert_eq!((verdict.outcome, published), (Outcome::Kept, Some(normalize(&even(0..4)))));
    // Reports 10 s old: demand may have grown by half, to 105, with a capacity of 80.
    over.measured_at = 990.0;
    let mut old = self::guard(&over, &even(0..4));
    let (verdict, published) = old.evaluate(&over, 0, &weights(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]));
    let Outcome::Nearest { fits, .. } = verdict.outcome else { panic!("{verdict}") };
    assert!((fits - 80.0 / 105.0).abs() < 1e-9, "{fits}");
    assert!(published.unwrap().values().all(|share| (share - 0.25).abs() < 1e-9));
    // One warm server among cold ones: it doesn't get more than it has room for.
    let mut last = state(4, 30.0);
    last.demand.remove(&1);
    (1..4).for_each(|n| last.servers.get_mut(&server(n)).unwrap().started = 999.9);
    let mut guard = self::guard(&last, &even(0..4));
    let (verdict, published) = guard.evaluate(&last, 0, &weights(&[(1, 1.0)]));
    let published = published.unwrap();
    assert!(matches!(verdict.outcome, Outcome::Nearest { fits: 1.0, .. }), "{verdict}");
    assert!(published[&server(0)] < 0.5 && published.values().all(|share| *share > 0.16), "{published:?}");
    last.demand.insert(0, 60.0);
    let (verdict, published) = self::guard(&last, &even(0..4)).evaluate(&last, 0, &weights(&[(1, 1.0)]));
    // All servers exceed their limits by the same factor: the warm one gets 20 of 35 parts.
    assert!((published.unwrap()[&server(0)] - 20.0 / 35.0).abs() < 0.01, "{verdict}");
}

#[test]
fn report_mode_publishes_everything() {
    let state = state(6, 20.0);
    let mut guard = guard(&state, &even(0..6));
    guard.mode = Mode::Report;
    let (verdict, published) = guard.evaluate(&state, 0, &Weights::new());
    assert_eq!((verdict.outcome.clone(), published), (Outcome::Reported, None));
    assert!(
        verdict.to_string().contains("emptied: the table is empty while 6 servers are available"),
        "{verdict}"
    );
    assert_eq!(
        (guard.findings["emptied"], guard.outcomes["reported"], guard.recent_verdicts().count()),
        (1, 1, 1)
    );
}

/// All published versions with their time and table, for computing loads directly.
#[derive(Default)]
struct History(Vec<(f64, u16, Weights)>);

impl History {
    /// The largest share in any version in use: the last, and those replaced within the maximum lifetime.
    fn max_share(&self, table: u16, server: &Address, now: f64) -> f64 {
        let versions: Vec<_> = self.0.iter().filter(|(_, t, _)| *t == table).collect();
        let in_use = versions.iter().enumerate().filter(|(index, _)| {
            versions.get(index + 1).is_none_or(|(replaced, _, _)| *replaced + MAX_TABLE_LIFETIME > now)
        });
        in_use.map(|(_, (_, _, shares))| shares.get(server).copied().unwrap_or(0.0)).fold(0.0, f64::max)
    }
}

#[test]
fn loads_match_a_direct_computation() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..60 {
        let (mut loads, mut history, mut now) = (Loads::default(), History::default(), 100.0);
        for _ in 0..60 {
            now += rng.f64() * 2.0;
            let table = rng.u16(..4);
            let proposed: Weights = (0..8).map(|n| (server(n), f64::from(rng.u8(..4)))).collect();
            let published = normalize(&proposed);
            loads.publish(table, &published, now, MAX_TABLE_LIFETIME);
            history.0.push((now, table, published));
            (0..4).for_each(|table| loads.set_demand(table, f64::from(table) + rng.f64()));
            (0..4).for_each(|table| loads.set_demand(table, f64::from(table) + 1.0));
            let then = now + rng.f64() * 4.0;
            let mut later = loads.clone();
            later.expire(then);
            for n in 0..8 {
                for table in 0..4 {
                    assert_eq!(
                        later.max_share(table, &server(n)),
                        history.max_share(table, &server(n), then)
                    );
                }
                let others = later.load_from_others(1, &server(n));
                let expected =
                    [0, 2, 3].iter().map(|t| history.max_share(*t, &server(n), then) * (f64::from(*t) + 1.0));
                assert!((others - expected.sum::<f64>()).abs() < 1e-9);
            }
        }
    }
}

/// With addresses that keep changing, servers without any version in use are removed, so that memory is bounded.
#[test]
fn departed_servers_are_removed() {
    let mut loads = Loads::default();
    loads.set_demand(0, 30.0);
    for n in 0..20_000u16 {
        let address = |k: u16| Address { host: [10, 0, (k >> 8) as u8, k as u8], port: 7000 };
        let weights: Weights = (n..n + 3).map(|k| (address(k), 1.0 + f64::from(k % 7))).collect();
        loads.publish(0, &normalize(&weights), f64::from(n), MAX_TABLE_LIFETIME);
        assert!(loads.server_count() <= 3 + MAX_TABLE_LIFETIME as usize + 1, "{}", loads.server_count());
    }
}

/// On random fleets and tables, a table published by an enforcing guard is not empty while servers are available. If
/// the guard replaced the proposal, the table contains no server that must be drained and overloads none unless demand
/// exceeds capacity. Findings match a direct computation.
#[test]
fn published_tables_are_safe_by_direct_computation() {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut fine, mut refused) = (0, 0);
    for _ in 0..1500 {
        let count = rng.u8(2..8);
        let mut state = state(count, 0.0);
        state.demand = [(0, rng.f64() * 60.0), (1, rng.f64() * 30.0)].into();
        state.drain_gone = rng.bool();
        let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, MAX_TABLE_LIFETIME);
        let mut history = History::default();
        for _ in 0..8 {
            state.now += rng.f64() * 3.0;
            state.measured_at = state.now - rng.f64() * 4.0;
            for s in state.servers.values_mut() {
                match rng.u8(..12) {
                    0 => s.list_status = ListStatus::Draining,
                    1 => s.list_status = ListStatus::Gone,
                    2 => s.started = state.now - rng.f64() * 50.0,
                    3 => s.answered_at = None,
                    4 | 5 => (s.list_status, s.answered_at) = (ListStatus::Ready, Some(state.now)),
                    _ => {}
                }
            }
            let table = rng.u16(..2);
            let proposed: Weights =
                (0..count).map(|n| (server(n), f64::from(rng.u8(..6).saturating_sub(1)))).collect();
            let (verdict, replacement) = guard.evaluate(&state, table, &proposed);
            let published = replacement.clone().unwrap_or_else(|| normalize(&proposed));
            let is_available = |server: &Address| state.is_available(&state.servers[server], &guard.config);
            if published.is_empty() {
                let was_filled = history
                    .0
                    .iter()
                    .rev()
                    .find(|(_, t, _)| *t == table)
                    .is_some_and(|(_, _, l)| !l.is_empty());
                assert!(!was_filled || !state.servers.keys().any(is_available), "{verdict}: no server left");
            }
            let typical_rate = state.typical_rate();
            let load = |server: &Address, share: f64| {
                let expected = |t: u16| state.expected_demand(t, &guard.config);
                let own = share.max(history.max_share(table, server, state.now)) * expected(table);
                own + history.max_share(1 - table, server, state.now) * expected(1 - table)
            };
            let limit = |server: &Address| {
                state.capacity(&state.servers[server], typical_rate, &guard.config).unwrap_or(f64::INFINITY)
            };
            let last = history
                .0
                .iter()
                .rev()
                .find(|(_, t, _)| *t == table)
                .map(|(_, _, l)| l.clone())
                .unwrap_or_default();
            let is_raised =
                |server: &Address, share: f64| share > last.get(server).copied().unwrap_or(0.0) + 1e-9;
            let overloads = normalize(&proposed)
                .iter()
                .any(|(s, p)| is_raised(s, *p) && load(s, *p) > limit(s) * (1.0 + 1e-6));
            let reported =
                verdict.findings.iter().any(|f| matches!(f.check, Check::Overload | Check::ColdOverload));
            assert_eq!(overloads, reported, "{verdict}");
            let wanted = normalize(&proposed);
            let remaining = last.iter().filter(|(s, _)| is_available(s));
            let moved: f64 =
                remaining.map(|(s, old)| (old - wanted.get(s).copied().unwrap_or(0.0)).max(0.0)).sum();
            let emptied = wanted.is_empty() && !last.is_empty() && state.servers.keys().any(is_available);
            for (expected, check) in [(moved > 0.9 + 1e-6, Check::Moved), (emptied, Check::Emptied)] {
                assert_eq!(
                    expected,
                    verdict.findings.iter().any(|f| f.check == check),
                    "{check:?} {verdict}"
                );
            }
            for finding in &verdict.findings {
                if matches!(finding.check, Check::Overload | Check::ColdOverload) {
                    let worst = finding.servers[0];
                    let share = normalize(&proposed)[&worst];
                    assert!(
                        (load(&worst, share) - finding.value).abs() < 1e-6
                            && (limit(&worst) - finding.limit).abs() < 1e-6
                    );
                }
            }
            match &verdict.outcome {
                Outcome::Fine | Outcome::Empty => fine += 1,
                outcome => {
                    refused += 1;
                    if !matches!(outcome, Outcome::NothingBetter) {
                        assert!(published.keys().all(|s| !state.must_drain(&state.servers[s])), "{verdict}");
                    }
                    if let Outcome::Nearest { fits, .. } = outcome {
                        let demand = state.expected_demand(table, &guard.config);
                        for (s, share) in &published {
                            let other = history.max_share(1 - table, s, state.now)
                                * state.expected_demand(1 - table, &guard.config);
                            let overloaded = share * demand + other > limit(s) * (1.0 + 1e-6);
                            assert!(!overloaded || *fits < 1.0 - 1e-9, "{verdict}: {s} is overloaded");
                        }
                    }
                }
            }
            history.0.push((state.now, table, published));
        }
    }
    assert!(fine > 3000 && refused > 1000, "{fine} fine, {refused} refused");
}

/// With up to four servers and shares in steps of 1/20, no safe table moves fewer queries than the guard's
/// replacement.
#[test]
fn no_safe_table_is_nearer() {
    const STEPS: usize = 20;
    let mut rng = fastrand::Rng::with_seed(9);
    let mut compared = 0;
    for _ in 0..400 {
        let count = rng.u8(2..5);
        let mut state = state(count, 0.0);
        state.demand = [(0, rng.f64() * 20.0 * f64::from(count))].into();
        for s in state.servers.values_mut() {
            s.weight = f64::from(rng.u8(1..4));
            s.proven_rate = 5.0 * s.weight;
            if rng.u8(..4) == 0 {
                s.started = 1000.0 - rng.f64() * 80.0;
            }
        }
        let current: Weights = (0..count).map(|n| (server(n), f64::from(rng.u8(1..6)))).collect();
        let mut guard = guard(&state, &current);
        let (verdict, published) = guard.evaluate(&state, 0, &weights(&[(0, 1.0)]));
        let (Outcome::Nearest { moved, fits }, Some(published)) = (&verdict.outcome, published) else {
            continue;
        };
        if *fits < 1.0 {
            continue;
        }
        let before = normalize(&current);
        let demand = state.expected_demand(0, &guard.config);
        let typical = state.typical_rate();
        let room: Vec<f64> = (0..count)
            .map(|n| state.capacity(&state.servers[&server(n)], typical, &guard.config).unwrap() / demand)
            .collect();
        // Every distribution of the steps over the servers.
        let mut best = f64::INFINITY;
        let mut distributions = BTreeSet::from([vec![]]);
        for _ in 0..count - 1 {
            distributions = distributions
                .into_iter()
                .flat_map(|prefix: Vec<usize>| {
                    let left = STEPS - prefix.iter().sum::<usize>();
                    (0..=left).map(move |next| prefix.iter().copied().chain([next]).collect())
                })
                .collect();
        }
        for mut distribution in distributions {
            distribution.push(STEPS - distribution.iter().sum::<usize>());
            let share = |n: usize| distribution[n] as f64 / STEPS as f64;
            if (0..usize::from(count)).all(|n| share(n) <= room[n]) {
                let moves: f64 =
                    (0..usize::from(count)).map(|n| (before[&server(n as u8)] - share(n)).max(0.0)).sum();
                best = best.min(moves);
            }
        }
        compared += 1;
        assert!(*moved <= best + 1e-9, "{verdict}: {published:?} moves {moved}, another {best}");
        let sum: f64 = published.values().sum();
        assert!((sum - 1.0).abs() < 1e-9);
    }
    assert!(compared > 50, "{compared}");
}

/// A cold server in a table with one warm server gets all queries if the warm one fails, so the guard adds other warm
/// servers. If there are none, the table is published, as there is no better one.
#[test]
fn loss_of_the_largest_share_is_anticipated() {
    let mut state = state(4, 15.0);
    state.demand.remove(&1);
    state.servers.get_mut(&server(1)).unwrap().started = 990.0;
    // A warm fraction of 0.28: the limit is 7 queries per second. Its share of 0.1 is 1.5, and all are 15.
    let fragile = weights(&[(0, 9.0), (1, 1.0)]);
    let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, MAX_TABLE_LIFETIME);
    let (verdict, published) = guard.evaluate(&state, 0, &fragile);
    assert_eq!(verdict.findings.iter().map(|f| f.check).collect::<Vec<_>>(), [Check::Fragile]);
    let found = &verdict.findings[0];
    assert!((found.value - 15.0).abs() < 1e-9 && (found.limit - 7.0).abs() < 1e-9, "{verdict}");
    let published = published.unwrap();
    let most =
        published.iter().filter(|(s, _)| **s != server(1)).map(|(_, share)| *share).fold(0.0, f64::max);
    assert!(published[&server(1)] / (1.0 - most) * 15.0 <= 7.0 + 1e-6, "{published:?}");
    (2..4).for_each(|n| state.servers.get_mut(&server(n)).unwrap().answered_at = None);
    let (found, outcome) = evaluate(
        &mut Guard::new(GuardConfig::default(), Mode::Enforce, MAX_TABLE_LIFETIME),
        &state,
        0,
        &fragile,
    );
    assert_eq!((found, outcome), (vec![], Outcome::Fine));
}

/// If all tables drop a zone in the same round, each is checked as if all were published, and refused.
#[test]
fn zone_dropped_by_all_tables_of_a_round_is_refused() {
    let state = state(8, 10.0);
    let local = weights(&[(0, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)]);
    let mut guard = guard(&state, &even(0..8));
    guard.evaluate(&state, 1, &even(0..8));
    let both = [(0, local.clone()), (1, local.clone())].into();
    let mut together = guard.clone();
    together.begin_round(&state, &both);
    for table in [0, 1] {
        assert_eq!(evaluate(&mut together, &state, table, &local).0, [Check::ZoneCut]);
    }
    // A single table may drop the zone while the other still uses it.
    guard.begin_round(&state, &[(0, local.clone())].into());
    assert_eq!(evaluate(&mut guard, &state, 0, &local).0, []);
    assert_eq!(evaluate(&mut guard, &state, 1, &local).0, [Check::ZoneCut]);
}

/// An asker that was bound to another table, or whose stream broke, counts as a user of the old one until its lifetime
/// ends.
#[test]
fn former_users_count_until_the_lifetime_ends() {
    let mut holders = Holders::new(MAX_TABLE_LIFETIME);
    let of = |holders: &Holders, table| holders.askers_of(table).collect::<Vec<_>>();
    holders.bind(1, Some(0), 10.0);
    holders.bind(2, Some(0), 10.0);
    holders.bind(1, Some(3), 11.0);
    holders.bind(2, None, 12.0);
    holders.expire(15.9);
    assert_eq!((of(&holders, 0), of(&holders, 3)), (vec![1, 2], vec![1]));
    holders.expire(16.0);
    assert_eq!(of(&holders, 0), [2]);
    // Bound to a former table again before its lifetime ends.
    holders.bind(1, Some(0), 16.0);
    holders.bind(1, Some(3), 16.5);
    holders.bind(1, Some(0), 17.0);
    holders.expire(60.0);
    assert_eq!((of(&holders, 0), of(&holders, 3)), (vec![1], vec![]));
    assert_eq!(holders.tables().collect::<Vec<_>>(), [0]);
}

/// If not all queries fit and tries fail, the classes with the least benefit are refused first and admitted again
/// gradually. Without failures nothing is refused, as the proven capacity is a lower bound.
#[test]
fn admission_is_limited_only_if_tries_fail() {
    let mut over = state(4, 160.0);
    over.demand.remove(&1);
    let uneven = weights(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]);
    let mut guard = guard(&over, &even(0..4));
    let levels = |guard: &Guard| guard.admission_limit(0).map(|r| r.levels(&[1.0, 2.0], &[100.0, 60.0]));
    assert!(matches!(guard.evaluate(&over, 0, &uneven).0.outcome, Outcome::Nearest { fits: 0.5, .. }));
    assert_eq!(levels(&guard), None);
    over.failure_rate = 0.2;
    guard.evaluate(&over, 0, &uneven);
    assert_eq!(levels(&guard), Some(vec![0.2, 1.0]));
    // Without new reports, old failures refuse nothing.
    let mut silent = guard.clone();
    let late = State { now: 1030.0, ..over.clone() };
    silent.evaluate(&late, 0, &uneven);
    assert_eq!(levels(&silent), None);
    // Demand falls: the limit rises by 0.05 per second.
    (over.now, over.measured_at, over.failure_rate) = (1004.0, 1004.0, 0.0);
    over.demand.insert(0, 10.0);
    guard.evaluate(&over, 0, &even(0..4));
    assert!((guard.admission_limit(0).unwrap().share - 0.7).abs() < 1e-9);
    (over.now, over.measured_at) = (1011.0, 1011.0);
    guard.evaluate(&over, 0, &even(0..4));
    assert_eq!(levels(&guard), None);
}
