//! Verdicts against a plain recount, tables against a search through all of them, and the hard cases.

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

/// So many warm servers in two zones by turns; each may have 20 queries a second.
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

fn lines(of: &[(u8, f64)]) -> Weights {
    of.iter().map(|(n, weight)| (server(*n), *weight)).collect()
}

fn even(servers: std::ops::Range<u8>) -> Weights {
    servers.map(|n| (server(n), 1.0)).collect()
}

const WAY: f64 = 5.0;

/// A guard with a table in place for long.
fn guard(state: &State, table: &Weights) -> Guard {
    let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, WAY);
    let earlier = State { now: state.now - 50.0, measured_at: state.now - 50.0, ..state.clone() };
    let mut fine = earlier.clone();
    fine.servers.values_mut().for_each(|s| s.list_status = ListStatus::Ready);
    fine.demand.clear();
    guard.evaluate(&fine, 0, table);
    guard
}

fn checks(guard: &mut Guard, state: &State, table: u16, proposed: &Weights) -> (Vec<Check>, Outcome) {
    let (verdict, _) = guard.evaluate(state, table, proposed);
    (verdict.findings.iter().map(|finding| finding.check).collect(), verdict.outcome)
}

/// Every check has a case that it alone refuses: switched off, the table goes out.
#[test]
fn each_check_refuses_something_that_no_other_does() {
    let calm = state(6, 10.0);
    let mut cold = calm.clone();
    cold.servers.get_mut(&server(5)).unwrap().started = 990.0;
    let mut only_cold = cold.clone();
    only_cold.demand.clear();
    (0..4).for_each(|n| only_cold.servers.get_mut(&server(n)).unwrap().answered_at = None);
    only_cold.servers.values_mut().for_each(|s| s.zone = 0);
    let mut one_open = calm.clone();
    (0..5).for_each(|n| one_open.servers.get_mut(&server(n)).unwrap().answered_at = None);
    let busy = state(6, 60.0);
    let mut cold_busy = busy.clone();
    cold_busy.servers.get_mut(&server(5)).unwrap().started = 990.0;
    let mut cut_off = calm.clone();
    // A zone of one server that serves.
    cut_off.servers.get_mut(&server(5)).unwrap().zone = 7;
    let all = even(0..6);
    let cases: [(Check, &State, Weights); 9] = [
        (Check::NotFinite, &calm, [(server(0), f64::NAN)].into_iter().chain(even(1..6)).collect()),
        (Check::Emptied, &one_open, Weights::new()),
        (Check::ColdOnly, &only_cold, lines(&[(5, 1.0)])),
        (Check::Cut, &calm, even(0..2)),
        (Check::ZoneCut, &cut_off, even(0..5)),
        (Check::Moved, &calm, lines(&[(0, 1e6), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0)])),
        (Check::Overload, &busy, lines(&[(0, 3.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0)])),
        (
            Check::ColdOverload,
            &cold_busy,
            lines(&[(0, 1.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.2)]),
        ),
        (Check::Pinned, &calm, lines(&[(0, 1.0), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 2.0)])),
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
        let mut lifted = guard.clone();
        let (found, outcome) = checks(&mut guard, state, 0, &proposed);
        assert_eq!(found, [check], "{outcome:?}");
        assert!(matches!(outcome, Outcome::Kept | Outcome::Nearest { .. }), "{check:?}: {outcome:?}");
        lifted.overrides.push(Override { check, author: "a test".into(), expires_at: 1001.0 });
        let (found, outcome) = checks(&mut lifted, state, 0, &proposed);
        assert!(found.is_empty() && matches!(outcome, Outcome::Fine | Outcome::Empty), "{check:?} {found:?}");
        // An override runs out by itself.
        let mut late = guard.clone();
        late.overrides.push(Override { check, author: "a test".into(), expires_at: 999.0 });
        late.expire(state.now);
        assert!(late.overrides.is_empty());
    }
    let mut guard = guard(&calm, &all);
    let mut tries = |once, mode| guard.retry_mode(0, 1, once, mode, 1000.0);
    assert_eq!((tries(true, 1), tries(true, 2), tries(false, 2)), (1, 0, 2));
    guard.overrides.push(Override { check: Check::Twice, author: "a test".into(), expires_at: 1001.0 });
    assert_eq!(guard.retry_mode(0, 1, true, 2, 1000.0), 2);
}

/// The list calls nine of ten gone while answers say that they serve: they stay. Where they must be left by
/// rule, or nothing shows that they serve, the list is followed.
#[test]
fn a_lying_list_is_told_from_a_true_one() {
    let mut lying = state(10, 20.0);
    (1..10).for_each(|n| lying.servers.get_mut(&server(n)).unwrap().list_status = ListStatus::Gone);
    let few = lines(&[(0, 1.0)]);
    let (found, outcome) = checks(&mut guard(&lying, &even(0..10)), &lying, 0, &few);
    assert!(found.contains(&Check::Cut) && outcome == Outcome::Kept, "{found:?} {outcome:?}");
    let mut true_list = lying.clone();
    (1..10).for_each(|n| true_list.servers.get_mut(&server(n)).unwrap().answered_at = Some(900.0));
    true_list.demand.clear();
    assert_eq!(checks(&mut guard(&true_list, &even(0..10)), &true_list, 0, &few).1, Outcome::Fine);
    // Lost checks at the same moment do not outweigh answers; a check that failed after them does.
    let mut checked = lying.clone();
    for n in 1..10 {
        let s = checked.servers.get_mut(&server(n)).unwrap();
        (s.answered_at, s.last_check) = (Some(995.0), Some((994.0, false)));
    }
    assert_eq!(checks(&mut guard(&checked, &even(0..10)), &checked, 0, &few).1, Outcome::Kept);
    checked.servers.values_mut().for_each(|s| s.last_check = Some((996.0, false)));
    checked.demand.clear();
    assert_eq!(checks(&mut guard(&checked, &even(0..10)), &checked, 0, &few).1, Outcome::Fine);
    // Answers from before the list's word say nothing of after it: a server that died is let go. So are those
    // at which all tries fail.
    let mut died = lying.clone();
    died.demand.clear();
    died.servers.values_mut().for_each(|s| (s.status_changed_at, s.answered_at) = (997.0, Some(996.0)));
    assert_eq!(checks(&mut guard(&died, &even(0..10)), &died, 0, &few).1, Outcome::Fine);
    died.servers.values_mut().for_each(|s| (s.answered_at, s.failed_at) = (Some(998.0), Some(999.0)));
    assert_eq!(checks(&mut guard(&died, &even(0..10)), &died, 0, &few).1, Outcome::Fine);
    // Gone binds: the drain is kept, whoever answers.
    lying.drain_gone = true;
    lying.demand.clear();
    assert_eq!(checks(&mut guard(&lying, &even(0..10)), &lying, 0, &few).1, Outcome::Fine);
}

#[test]
fn a_truly_empty_pool_is_told_and_an_unknown_one_is_left_alone() {
    let mut gone = state(4, 20.0);
    for s in gone.servers.values_mut() {
        (s.list_status, s.answered_at) = (ListStatus::Gone, Some(980.0));
    }
    assert_eq!(checks(&mut guard(&gone, &even(0..4)), &gone, 0, &Weights::new()).1, Outcome::Empty);
    // Just after a restart nothing is known of anybody: what the decisions say goes out.
    let mut unknown = state(4, 20.0);
    unknown.servers.values_mut().for_each(|s| (s.answered_at, s.proven_rate) = (None, 0.0));
    let mut fresh = Guard::new(GuardConfig::default(), Mode::Enforce, WAY);
    assert_eq!(checks(&mut fresh, &unknown, 0, &Weights::new()).1, Outcome::Fine);
    assert_eq!(checks(&mut fresh, &unknown, 0, &even(0..4)).1, Outcome::Fine);
    assert_eq!(checks(&mut fresh, &unknown, 0, &even(2..3)).1, Outcome::Fine);
}

/// A spill ends: a table leaves servers of another zone that serve, and other tables go on with them.
#[test]
fn a_spill_may_end() {
    let mut state = state(8, 20.0);
    state.demand.remove(&1);
    let (home, away) = (lines(&[(0, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)]), lines(&[(1, 1.0), (3, 1.0)]));
    let spilled: Weights = home.keys().take(1).chain(away.keys()).map(|server| (*server, 1.0)).collect();
    let mut guard = guard(&state, &spilled);
    guard.evaluate(&state, 1, &away);
    assert_eq!(checks(&mut guard, &state, 0, &home), (vec![], Outcome::Fine));
}

/// A drain is let go whatever else is wrong: what is kept or laid instead has no line for it.
#[test]
fn a_refusal_never_holds_a_drain_back() {
    let mut draining = state(6, 20.0);
    draining.servers.get_mut(&server(0)).unwrap().list_status = ListStatus::Draining;
    let mut guard = guard(&draining, &even(0..6));
    let (verdict, laid) = guard.evaluate(&draining, 0, &lines(&[(1, 1.0)]));
    assert!(matches!(verdict.outcome, Outcome::Nearest { .. }), "{verdict}");
    let laid = laid.unwrap();
    assert_eq!(laid.keys().copied().collect::<Vec<_>>(), (1..6).map(server).collect::<Vec<_>>());
    assert!(laid.values().all(|part| (part - 0.2).abs() < 1e-9), "{laid:?}");
}

/// Each step is small; together they empty a zone and take most of the pool.
#[test]
fn small_steps_count_together() {
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
    assert_eq!(refused, Some(5), "half of a zone may go, and no more");
}

/// Two tables that are fine alone push a cold server over together; a table counts with the one that proxies
/// still hold.
#[test]
fn tables_in_use_count_together() {
    let mut state = state(6, 18.0);
    state.servers.get_mut(&server(5)).unwrap().started = 970.0;
    // 0.44 warm: it may have 11 queries a second.
    let some = lines(&[(0, 1.0), (1, 1.0), (2, 1.0), (5, 1.5)]);
    let mut guard = Guard::new(GuardConfig { cut_part: 0.9, ..GuardConfig::default() }, Mode::Enforce, WAY);
    assert_eq!(checks(&mut guard, &state, 0, &some), (vec![], Outcome::Fine));
    let (found, outcome) = checks(&mut guard.clone(), &state, 1, &some);
    assert_eq!(found, [Check::ColdOverload], "{outcome:?}");
    // The first gives it up; until nobody can hold the old lines, they count.
    let without = lines(&[(0, 1.0), (1, 1.0), (2, 1.0)]);
    assert_eq!(checks(&mut guard, &state, 0, &without), (vec![], Outcome::Fine));
    state.now += WAY - 0.1;
    state.measured_at = state.now;
    assert_eq!(checks(&mut guard.clone(), &state, 1, &some).0, [Check::ColdOverload]);
    state.now += 0.2;
    state.measured_at = state.now;
    assert_eq!(checks(&mut guard, &state, 1, &some).0, []);
}

/// Old reports widen what is expected; everybody past their room is said so, and shared alike.
#[test]
fn where_nothing_fits_all_bear_alike() {
    let mut over = state(4, 70.0);
    over.demand.remove(&1);
    let mut guard = guard(&over, &even(0..4));
    let (verdict, laid) = guard.evaluate(&over, 0, &lines(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]));
    assert_eq!((verdict.outcome, laid), (Outcome::Kept, Some(normalize(&even(0..4)))));
    // Reports 10 s old: half as much again may come, 105 for servers that may have 80.
    over.measured_at = 990.0;
    let mut old = self::guard(&over, &even(0..4));
    let (verdict, laid) = old.evaluate(&over, 0, &lines(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]));
    let Outcome::Nearest { fits, .. } = verdict.outcome else { panic!("{verdict}") };
    assert!((fits - 80.0 / 105.0).abs() < 1e-9, "{fits}");
    assert!(laid.unwrap().values().all(|part| (part - 0.25).abs() < 1e-9));
    // One warm server left beside cold ones: what it has no room for is not piled on it.
    let mut last = state(4, 30.0);
    last.demand.remove(&1);
    (1..4).for_each(|n| last.servers.get_mut(&server(n)).unwrap().started = 999.9);
    let mut guard = self::guard(&last, &even(0..4));
    let (verdict, laid) = guard.evaluate(&last, 0, &lines(&[(1, 1.0)]));
    let laid = laid.unwrap();
    assert!(matches!(verdict.outcome, Outcome::Nearest { fits: 1.0, .. }), "{verdict}");
    assert!(laid[&server(0)] < 0.5 && laid.values().all(|part| *part > 0.16), "{laid:?}");
    last.demand.insert(0, 60.0);
    let (verdict, laid) = self::guard(&last, &even(0..4)).evaluate(&last, 0, &lines(&[(1, 1.0)]));
    // All are past what they may have by the same part: 20 of 35 queries for the warm one.
    assert!((laid.unwrap()[&server(0)] - 20.0 / 35.0).abs() < 0.01, "{verdict}");
}

#[test]
fn a_guard_that_reports_lets_everything_out() {
    let state = state(6, 20.0);
    let mut guard = guard(&state, &even(0..6));
    guard.mode = Mode::Report;
    let (verdict, laid) = guard.evaluate(&state, 0, &Weights::new());
    assert_eq!((verdict.outcome.clone(), laid), (Outcome::Reported, None));
    assert!(verdict.to_string().contains("emptied: no line is left while 6 servers serve"), "{verdict}");
    assert_eq!(
        (guard.findings["emptied"], guard.outcomes["reported"], guard.recent_verdicts().count()),
        (1, 1, 1)
    );
}

/// All that was laid, remembered plainly.
#[derive(Default)]
struct Recount(Vec<(f64, u16, Weights)>);

impl Recount {
    /// The greatest part in any version in use: the last, and those replaced within the way.
    fn most(&self, table: u16, server: &Address, now: f64) -> f64 {
        let of: Vec<_> = self.0.iter().filter(|(_, t, _)| *t == table).collect();
        let in_use = of
            .iter()
            .enumerate()
            .filter(|(place, _)| of.get(place + 1).is_none_or(|(replaced, _, _)| *replaced + WAY > now));
        in_use.map(|(_, (_, _, lines))| lines.get(server).copied().unwrap_or(0.0)).fold(0.0, f64::max)
    }
}

#[test]
fn the_index_agrees_with_a_recount() {
    let mut chance = fastrand::Rng::with_seed(3);
    for _ in 0..60 {
        let (mut loads, mut recount, mut now) = (Loads::default(), Recount::default(), 100.0);
        for _ in 0..60 {
            now += chance.f64() * 2.0;
            let table = chance.u16(..4);
            let proposed: Weights = (0..8).map(|n| (server(n), f64::from(chance.u8(..4)))).collect();
            let laid = normalize(&proposed);
            loads.publish(table, &laid, now, WAY);
            recount.0.push((now, table, laid));
            (0..4).for_each(|table| loads.set_demand(table, f64::from(table) + chance.f64()));
            (0..4).for_each(|table| loads.set_demand(table, f64::from(table) + 1.0));
            let then = now + chance.f64() * 4.0;
            let mut later = loads.clone();
            later.expire(then);
            for n in 0..8 {
                for table in 0..4 {
                    assert_eq!(later.max_share(table, &server(n)), recount.most(table, &server(n), then));
                }
                let others = later.load_from_others(1, &server(n));
                let plain =
                    [0, 2, 3].iter().map(|t| recount.most(*t, &server(n), then) * (f64::from(*t) + 1.0));
                assert!((others - plain.sum::<f64>()).abs() < 1e-9);
            }
        }
    }
}

/// Ever new addresses, with something always about to run out: what nobody can hold any more is forgotten.
#[test]
fn servers_that_left_are_forgotten() {
    let mut loads = Loads::default();
    loads.set_demand(0, 30.0);
    for n in 0..20_000u16 {
        let address = |k: u16| Address { host: [10, 0, (k >> 8) as u8, k as u8], port: 7000 };
        let lines: Weights = (n..n + 3).map(|k| (address(k), 1.0 + f64::from(k % 7))).collect();
        loads.publish(0, &normalize(&lines), f64::from(n), WAY);
        assert!(loads.server_count() <= 3 + WAY as usize + 1, "{}", loads.server_count());
    }
}

/// On random fleets and tables: whatever goes out under an enforcing guard leaves nobody without a server
/// while any serves, names none that must be left where the guard chose the lines, and pushes nobody past
/// what it may have unless nothing fits; and a table with nothing wrong by a plain reading is let out as it is.
#[test]
fn what_goes_out_is_safe_by_a_plain_recount() {
    let mut chance = fastrand::Rng::with_seed(5);
    let (mut fine, mut refused) = (0, 0);
    for _ in 0..1500 {
        let count = chance.u8(2..8);
        let mut state = state(count, 0.0);
        state.demand = [(0, chance.f64() * 60.0), (1, chance.f64() * 30.0)].into();
        state.drain_gone = chance.bool();
        let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, WAY);
        let mut recount = Recount::default();
        for _ in 0..8 {
            state.now += chance.f64() * 3.0;
            state.measured_at = state.now - chance.f64() * 4.0;
            for s in state.servers.values_mut() {
                match chance.u8(..12) {
                    0 => s.list_status = ListStatus::Draining,
                    1 => s.list_status = ListStatus::Gone,
                    2 => s.started = state.now - chance.f64() * 50.0,
                    3 => s.answered_at = None,
                    4 | 5 => (s.list_status, s.answered_at) = (ListStatus::Ready, Some(state.now)),
                    _ => {}
                }
            }
            let table = chance.u16(..2);
            let proposed: Weights =
                (0..count).map(|n| (server(n), f64::from(chance.u8(..6).saturating_sub(1)))).collect();
            let (verdict, instead) = guard.evaluate(&state, table, &proposed);
            let laid = instead.clone().unwrap_or_else(|| normalize(&proposed));
            let open = |server: &Address| state.is_available(&state.servers[server], &guard.config);
            if laid.is_empty() {
                let was = recount
                    .0
                    .iter()
                    .rev()
                    .find(|(_, t, _)| *t == table)
                    .is_some_and(|(_, _, l)| !l.is_empty());
                assert!(!was || !state.servers.keys().any(open), "{verdict}: left without a server");
            }
            let typical = state.typical_rate();
            let load = |server: &Address, part: f64| {
                let expected = |t: u16| state.expected_demand(t, &guard.config);
                let own = part.max(recount.most(table, server, state.now)) * expected(table);
                own + recount.most(1 - table, server, state.now) * expected(1 - table)
            };
            let limit = |server: &Address| {
                state.capacity(&state.servers[server], typical, &guard.config).unwrap_or(f64::INFINITY)
            };
            let last = recount
                .0
                .iter()
                .rev()
                .find(|(_, t, _)| *t == table)
                .map(|(_, _, l)| l.clone())
                .unwrap_or_default();
            let grown = |server: &Address, part: f64| part > last.get(server).copied().unwrap_or(0.0) + 1e-9;
            let over = normalize(&proposed)
                .iter()
                .any(|(s, p)| grown(s, *p) && load(s, *p) > limit(s) * (1.0 + 1e-6));
            let told =
                verdict.findings.iter().any(|f| matches!(f.check, Check::Overload | Check::ColdOverload));
            assert_eq!(over, told, "{verdict}");
            let wanted = normalize(&proposed);
            let away = last.iter().filter(|(s, _)| open(s));
            let moved: f64 =
                away.map(|(s, old)| (old - wanted.get(s).copied().unwrap_or(0.0)).max(0.0)).sum();
            let emptied = wanted.is_empty() && !last.is_empty() && state.servers.keys().any(open);
            for (plain, check) in [(moved > 0.9 + 1e-6, Check::Moved), (emptied, Check::Emptied)] {
                assert_eq!(plain, verdict.findings.iter().any(|f| f.check == check), "{check:?} {verdict}");
            }
            for finding in &verdict.findings {
                if matches!(finding.check, Check::Overload | Check::ColdOverload) {
                    let worst = finding.servers[0];
                    let part = normalize(&proposed)[&worst];
                    assert!(
                        (load(&worst, part) - finding.value).abs() < 1e-6
                            && (limit(&worst) - finding.limit).abs() < 1e-6
                    );
                }
            }
            match &verdict.outcome {
                Outcome::Fine | Outcome::Empty => fine += 1,
                outcome => {
                    refused += 1;
                    if !matches!(outcome, Outcome::NothingBetter) {
                        assert!(laid.keys().all(|s| !state.must_drain(&state.servers[s])), "{verdict}");
                    }
                    if let Outcome::Nearest { fits, .. } = outcome {
                        let whole = state.expected_demand(table, &guard.config);
                        for (s, part) in &laid {
                            let other = recount.most(1 - table, s, state.now)
                                * state.expected_demand(1 - table, &guard.config);
                            let past = part * whole + other > limit(s) * (1.0 + 1e-6);
                            assert!(!past || *fits < 1.0 - 1e-9, "{verdict}: {s} past what it may have");
                        }
                    }
                }
            }
            recount.0.push((state.now, table, laid));
        }
    }
    assert!(fine > 3000 && refused > 1000, "{fine} fine, {refused} refused");
}

/// Up to four servers and twenty steps of weight: no safe table moves fewer queries than the one laid.
#[test]
fn no_safe_table_is_nearer() {
    const STEPS: usize = 20;
    let mut chance = fastrand::Rng::with_seed(9);
    let mut compared = 0;
    for _ in 0..400 {
        let count = chance.u8(2..5);
        let mut state = state(count, 0.0);
        state.demand = [(0, chance.f64() * 20.0 * f64::from(count))].into();
        for s in state.servers.values_mut() {
            s.weight = f64::from(chance.u8(1..4));
            s.proven_rate = 5.0 * s.weight;
            if chance.u8(..4) == 0 {
                s.started = 1000.0 - chance.f64() * 80.0;
            }
        }
        let place: Weights = (0..count).map(|n| (server(n), f64::from(chance.u8(1..6)))).collect();
        let mut guard = guard(&state, &place);
        let (verdict, laid) = guard.evaluate(&state, 0, &lines(&[(0, 1.0)]));
        let (Outcome::Nearest { moved, fits }, Some(laid)) = (&verdict.outcome, laid) else { continue };
        if *fits < 1.0 {
            continue;
        }
        let before = normalize(&place);
        let whole = state.expected_demand(0, &guard.config);
        let typical = state.typical_rate();
        let room: Vec<f64> = (0..count)
            .map(|n| state.capacity(&state.servers[&server(n)], typical, &guard.config).unwrap() / whole)
            .collect();
        // Every way to deal the steps out.
        let mut best = f64::INFINITY;
        let mut dealt = BTreeSet::from([vec![]]);
        for _ in 0..count - 1 {
            dealt = dealt
                .into_iter()
                .flat_map(|some: Vec<usize>| {
                    let left = STEPS - some.iter().sum::<usize>();
                    (0..=left).map(move |next| some.iter().copied().chain([next]).collect())
                })
                .collect();
        }
        for mut one in dealt {
            one.push(STEPS - one.iter().sum::<usize>());
            let part = |n: usize| one[n] as f64 / STEPS as f64;
            if (0..usize::from(count)).all(|n| part(n) <= room[n]) {
                let moves: f64 =
                    (0..usize::from(count)).map(|n| (before[&server(n as u8)] - part(n)).max(0.0)).sum();
                best = best.min(moves);
            }
        }
        compared += 1;
        assert!(*moved <= best + 1e-9, "{verdict}: {laid:?} moves {moved}, another {best}");
        let sum: f64 = laid.values().sum();
        assert!((sum - 1.0).abs() < 1e-9);
    }
    assert!(compared > 50, "{compared}");
}

/// A cold server beside one warm one gets all of the table's queries when the warm one fails: the guard names
/// other warm ones beside it. Where there are none, the table goes out, as nothing is better.
#[test]
fn the_loss_of_the_greatest_is_judged_beforehand() {
    let mut state = state(4, 15.0);
    state.demand.remove(&1);
    state.servers.get_mut(&server(1)).unwrap().started = 990.0;
    // 0.28 warm: it may have 7 queries a second; with 0.1 of the table it gets 1.5, or all 15.
    let lean = lines(&[(0, 9.0), (1, 1.0)]);
    let mut one = Guard::new(GuardConfig::default(), Mode::Enforce, WAY);
    let (verdict, laid) = one.evaluate(&state, 0, &lean);
    assert_eq!(verdict.findings.iter().map(|f| f.check).collect::<Vec<_>>(), [Check::Fragile]);
    let found = &verdict.findings[0];
    assert!((found.value - 15.0).abs() < 1e-9 && (found.limit - 7.0).abs() < 1e-9, "{verdict}");
    let laid = laid.unwrap();
    let most = laid.iter().filter(|(s, _)| **s != server(1)).map(|(_, part)| *part).fold(0.0, f64::max);
    assert!(laid[&server(1)] / (1.0 - most) * 15.0 <= 7.0 + 1e-6, "{laid:?}");
    (2..4).for_each(|n| state.servers.get_mut(&server(n)).unwrap().answered_at = None);
    let (found, outcome) =
        checks(&mut Guard::new(GuardConfig::default(), Mode::Enforce, WAY), &state, 0, &lean);
    assert_eq!((found, outcome), (vec![], Outcome::Fine));
}

/// Several tables leave a zone that serves in one round: each is judged as if all were laid.
#[test]
fn a_zone_left_by_all_tables_of_a_round_is_refused_to_each() {
    let state = state(8, 10.0);
    let home = lines(&[(0, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)]);
    let mut guard = guard(&state, &even(0..8));
    guard.evaluate(&state, 1, &even(0..8));
    let both = [(0, home.clone()), (1, home.clone())].into();
    let mut together = guard.clone();
    together.begin_round(&state, &both);
    for table in [0, 1] {
        assert_eq!(checks(&mut together, &state, table, &home).0, [Check::ZoneCut]);
    }
    // One that leaves alone is let go, as the other goes on there.
    guard.begin_round(&state, &[(0, home.clone())].into());
    assert_eq!(checks(&mut guard, &state, 0, &home).0, []);
    assert_eq!(checks(&mut guard, &state, 1, &home).0, [Check::ZoneCut]);
}

/// An asker that moved to another table, or whose stream broke, may go on with the old one for the way.
#[test]
fn who_may_hold_a_table_counts_with_it() {
    let mut holders = Holders::new(WAY);
    let of = |holders: &Holders, table| holders.askers_of(table).collect::<Vec<_>>();
    holders.bind(1, Some(0), 10.0);
    holders.bind(2, Some(0), 10.0);
    holders.bind(1, Some(3), 11.0);
    holders.bind(2, None, 12.0);
    holders.expire(15.9);
    assert_eq!((of(&holders, 0), of(&holders, 3)), (vec![1, 2], vec![1]));
    holders.expire(16.0);
    assert_eq!(of(&holders, 0), [2]);
    // Back where it was before the old one ran out.
    holders.bind(1, Some(0), 16.0);
    holders.bind(1, Some(3), 16.5);
    holders.bind(1, Some(0), 17.0);
    holders.expire(60.0);
    assert_eq!((of(&holders, 0), of(&holders, 3)), (vec![1], vec![]));
    assert_eq!(holders.tables().collect::<Vec<_>>(), [0]);
}

/// Not all fits and tries fail: the classes of least benefit are refused first, and come back by degrees. With
/// nothing failing nobody is refused, as what is proven is a lower bound.
#[test]
fn less_is_let_in_only_where_it_fails() {
    let mut over = state(4, 160.0);
    over.demand.remove(&1);
    let wrong = lines(&[(0, 9.0), (1, 1.0), (2, 1.0), (3, 1.0)]);
    let mut guard = guard(&over, &even(0..4));
    let levels = |guard: &Guard| guard.admission_limit(0).map(|r| r.levels(&[1.0, 2.0], &[100.0, 60.0]));
    assert!(matches!(guard.evaluate(&over, 0, &wrong).0.outcome, Outcome::Nearest { fits: 0.5, .. }));
    assert_eq!(levels(&guard), None);
    over.failure_rate = 0.2;
    guard.evaluate(&over, 0, &wrong);
    assert_eq!(levels(&guard), Some(vec![0.2, 1.0]));
    // Reports stop: what failed before them refuses nobody any more.
    let mut silent = guard.clone();
    let late = State { now: 1030.0, ..over.clone() };
    silent.evaluate(&late, 0, &wrong);
    assert_eq!(levels(&silent), None);
    // The demand is gone: 0.05 a second more.
    (over.now, over.measured_at, over.failure_rate) = (1004.0, 1004.0, 0.0);
    over.demand.insert(0, 10.0);
    guard.evaluate(&over, 0, &even(0..4));
    assert!((guard.admission_limit(0).unwrap().share - 0.7).abs() < 1e-9);
    (over.now, over.measured_at) = (1011.0, 1011.0);
    guard.evaluate(&over, 0, &even(0..4));
    assert_eq!(levels(&guard), None);
}
