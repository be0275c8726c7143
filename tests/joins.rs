//! Orders after a whole fleet has joined at once on an idle channel.
//!
//! What callers saw: after four of five pilots were killed, the one that was left wrote nothing for nine seconds,
//! with servers that had become warm and levels that had to fall (28 to 43% of all requests were refused or failed).
//! A probe of `send_changes` told why: nothing waited in the channel of 8,300 lines, 80 to 100 changes waited in
//! each table and none fitted, while `spent` fell from 16,535 by 1,660 a second. The tables of those who joined,
//! which nobody can put off, had been charged to the budget for ordinary weights, ten seconds' worth of it.

mod support;

use oatlever::round::*;
use support::*;

const SERVERS: u16 = 60;
const PROXIES: u16 = 240;
const START: f64 = 1000.0;
/// Report periods until what a report asks for is ordered where the channel has room: a cycle follows each round
/// of reports after 1 to 2 s (`docs/design.md`).
const ORDERED_WITHIN: u32 = 2;

fn channel_of_a_fleet() -> Channel {
    Channel { lines_per_second: 8300.0, most_waiting: 8300.0, ..channel(0) }
}

/// Reports of one second: each server answers in the same time, but for some.
fn report(now: f64, time: impl Fn(u16) -> f64) -> Round {
    let queries = (0..PROXIES).map(|proxy| ProxyQueries { proxy, class: 0, received: 10.0, span: 1.0 });
    let each = 10.0 * f64::from(PROXIES) / f64::from(SERVERS);
    Round {
        queries: queries.collect(),
        tries: (0..SERVERS).map(|n| tries(n, 0, each, 0.0, time(n))).collect(),
        ..at(now)
    }
}

/// A fleet joins at once; the rounds go on, a quarter of a second apart, until all hold a table.
fn joined(server_zones: u16, proxy_zones: u16) -> (Play, f64) {
    let fleet = (0..PROXIES).map(|proxy| join(proxy, proxy % proxy_zones)).collect();
    // One pilot of five, and the others are gone.
    let site = Site { proxies: f64::from(PROXIES), pilots: 5, ..site() };
    let mut play = Play::new(site, rules(), channel_of_a_fleet());
    let mut now = START;
    play.round(&open(now, ready(SERVERS, server_zones), fleet));
    while play.book.bound.len() < usize::from(PROXIES) || play.book.waiting > 0.0 || now.fract() > 0.0 {
        now += 0.25;
        play.round(&if now.fract() == 0.0 { report(now, |_| 0.2) } else { at(now) });
        assert!(
            now < START + 5.0,
            "{} hold a table, {} lines wait",
            play.book.bound.len(),
            play.book.waiting
        );
    }
    (play, now)
}

/// Reports of some periods, and the rounds after them.
fn go_on(play: &mut Play, now: f64, periods: u32, time: impl Fn(u16) -> f64 + Copy) {
    for second in 1..=periods {
        let now = now + f64::from(second);
        play.round(&report(now, time));
        for quarter in 1..=3 {
            play.round(&at(now + f64::from(quarter) / 4.0));
        }
    }
}

/// All servers are in one zone, so that each table names many.
#[test]
fn a_server_that_turns_slow_loses_its_part_in_time() {
    let (mut play, now) = joined(1, 3);
    let before = play.book.part_of_all(7);
    go_on(&mut play, now, ORDERED_WITHIN, |n| if n == 7 { 2.0 } else { 0.2 });
    let after = play.book.part_of_all(7);
    assert!(after < 0.8 * before, "its part was {before} and is {after}");
}

#[test]
fn a_level_that_must_fall_falls_in_time() {
    let (mut play, now) = joined(1, 3);
    go_on(&mut play, now, ORDERED_WITHIN, |_| 3.0);
    let levels: Vec<f64> = play.book.levels.values().map(|level| level.0).collect();
    assert!(levels.iter().any(|level| *level < 1.0), "{levels:?}");
}

/// The same while weights take all that ordinary orders may: a level that falls does not wait behind them.
#[test]
fn a_level_that_must_fall_does_not_wait_behind_weights() {
    let (mut play, mut now) = joined(1, 3);
    // Thirds of the fleet turn slow in turns, so that all weights move in each cycle.
    for second in 0..12 {
        go_on(&mut play, now, 1, |n| if n % 3 == second % 3 { 0.5 } else { 0.1 });
        now += 1.0;
    }
    go_on(&mut play, now, 1, |_| 3.0);
    let levels: Vec<f64> = play.book.levels.values().map(|level| level.0).collect();
    assert!(levels.iter().any(|level| *level < 1.0), "{levels:?}");
}

/// The same where one table has all of the fleet: a message to each of its proxies is a large part of what ordinary
/// weights may fill. Half of that, which one table may use, was less than the head of a message, so that no weight
/// was ever ordered, on a channel that stayed empty.
#[test]
fn a_table_that_all_proxies_hold_is_changed_in_time() {
    let (mut play, now) = joined(3, 1);
    let before = play.book.part_of_all(7);
    go_on(&mut play, now, ORDERED_WITHIN, |n| if n == 7 { 2.0 } else { 0.2 });
    let after = play.book.part_of_all(7);
    assert!(after < 0.8 * before, "its part was {before} and is {after}");
}
