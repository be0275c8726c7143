//! Orders after a whole fleet has joined at once on an idle channel.
//!
//! Guards against a pilot that orders nothing for seconds: with four of five pilots killed, the remaining one
//! wrote nothing for nine seconds although servers had become warm and levels had to fall, and 28 to 43% of
//! all requests were refused or failed. The tables of the joining proxies, which can't be deferred, had been
//! charged to the budget of ordinary weights: ten seconds' worth of it (16,535 lines, drained at 1,660 a
//! second). Nothing waited in the channel of 8,300 lines, but none of the 80 to 100 pending changes of each
//! table fitted the budget.

mod support;

use oatlever::round::*;
use support::*;

const SERVERS: u16 = 60;
const PROXIES: u16 = 240;
const START: f64 = 1000.0;
/// Report periods until a change that a report calls for is ordered, where the channel has space: a cycle
/// follows each round of reports after 1 to 2 s (`docs/design.md`).
const ORDERED_WITHIN: u32 = 2;

fn fleet_channel() -> Channel {
    Channel { lines_per_second: 8300.0, max_waiting_lines: 8300.0, ..channel(0) }
}

/// Reports of one second; `time` is the response time of each server.
fn report_round(now: f64, time: impl Fn(u16) -> f64) -> Round {
    let queries = (0..PROXIES).map(|proxy| ProxyQueries { proxy, class: 0, received: 10.0, span: 1.0 });
    let tries_per_server = 10.0 * f64::from(PROXIES) / f64::from(SERVERS);
    Round {
        queries: queries.collect(),
        tries: (0..SERVERS).map(|n| tries(n, 0, tries_per_server, 0.0, time(n))).collect(),
        ..round_at(now)
    }
}

/// Lets a fleet join at once and runs rounds a quarter of a second apart until all proxies hold a table.
fn joined_fleet(server_zones: u16, proxy_zones: u16) -> (Harness, f64) {
    let fleet = (0..PROXIES).map(|proxy| join(proxy, proxy % proxy_zones)).collect();
    // One of five pilots, with the others gone.
    let site = Site { proxies: f64::from(PROXIES), pilots: 5, ..site() };
    let mut harness = Harness::new(site, rules(), fleet_channel());
    let mut now = START;
    harness.round(&initial_round(now, ready_servers(SERVERS, server_zones), fleet));
    while harness.state.bound.len() < usize::from(PROXIES) || harness.state.waiting > 0.0 || now.fract() > 0.0
    {
        now += 0.25;
        harness.round(&if now.fract() == 0.0 { report_round(now, |_| 0.2) } else { round_at(now) });
        assert!(
            now < START + 5.0,
            "{} hold a table, {} lines wait",
            harness.state.bound.len(),
            harness.state.waiting
        );
    }
    (harness, now)
}

/// Reports of `periods` report periods, and the rounds after each.
fn run_reports(harness: &mut Harness, now: f64, periods: u32, time: impl Fn(u16) -> f64 + Copy) {
    for second in 1..=periods {
        let now = now + f64::from(second);
        harness.round(&report_round(now, time));
        for quarter in 1..=3 {
            harness.round(&round_at(now + f64::from(quarter) / 4.0));
        }
    }
}

/// All servers are in one zone, so that each table has many entries.
#[test]
fn a_slowing_server_loses_queries_in_time() {
    let (mut harness, now) = joined_fleet(1, 3);
    let before = harness.state.share_of_all(7);
    run_reports(&mut harness, now, ORDERED_WITHIN, |n| if n == 7 { 2.0 } else { 0.2 });
    let after = harness.state.share_of_all(7);
    assert!(after < 0.8 * before, "its share was {before} and is {after}");
}

#[test]
fn a_level_is_lowered_in_time() {
    let (mut harness, now) = joined_fleet(1, 3);
    run_reports(&mut harness, now, ORDERED_WITHIN, |_| 3.0);
    let levels: Vec<f64> = harness.state.levels.values().map(|level| level.0).collect();
    assert!(levels.iter().any(|level| *level < 1.0), "{levels:?}");
}

/// The same while weights use up what ordinary orders may: a decrease of a level does not wait behind them.
#[test]
fn lowering_a_level_does_not_wait_behind_weights() {
    let (mut harness, mut now) = joined_fleet(1, 3);
    // A third of the fleet is slow in turn, so that all weights change in each cycle.
    for second in 0..12 {
        run_reports(&mut harness, now, 1, |n| if n % 3 == second % 3 { 0.5 } else { 0.1 });
        now += 1.0;
    }
    run_reports(&mut harness, now, 1, |_| 3.0);
    let levels: Vec<f64> = harness.state.levels.values().map(|level| level.0).collect();
    assert!(levels.iter().any(|level| *level < 1.0), "{levels:?}");
}

/// The same where all proxies use one table, so that a message to each of them takes a large part of the
/// ordinary queue space. Half of that space, the limit of one table, was less than a message header, and no
/// weight was ever sent on a channel that stayed empty.
#[test]
fn a_table_used_by_all_proxies_is_changed_in_time() {
    let (mut harness, now) = joined_fleet(3, 1);
    let before = harness.state.share_of_all(7);
    run_reports(&mut harness, now, ORDERED_WITHIN, |n| if n == 7 { 2.0 } else { 0.2 });
    let after = harness.state.share_of_all(7);
    assert!(after < 0.8 * before, "its share was {before} and is {after}");
}
