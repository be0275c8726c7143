//! Fleets among cold servers alone, by whatever figures the pilot knows or lacks.
//!
//! What callers saw: after a restart among servers that had all just started, no proxy was given a table, and each
//! request failed until a server was warm. Before the first report of attempts the pilot knew no capacity, so that
//! the budget of each cold server was 0, every weight was scaled to 0, and proxies with an empty table are passed
//! over (a probe showed `proven=0` in `cold_limit` from the first round on). As nobody could attempt anything, the
//! report that would have ended it never came.

mod support;

use oatlever::round::*;
use support::*;

/// s; every proxy is to hold a table by then: the pilot has all it waits for in its first round.
const SERVED_WITHIN: f64 = 1.0;
const SERVERS: u16 = 12;
const PROXIES: u16 = 6;
/// Requests a second of a proxy, as `join` states.
const RATE: f64 = 10.0;
/// Requests a second that a warm server carries where the fleet just carries what proxies usually bring.
const CARRIES: f64 = RATE * PROXIES as f64 / SERVERS as f64;
const START: f64 = 1000.0;

fn cold(count: u16) -> Vec<Entry> {
    (0..count).map(|n| entry(n, n % 3, Readiness::Ready, START)).collect()
}

fn fleet() -> Vec<Stream> {
    (0..PROXIES).map(|proxy| join(proxy, proxy % 3)).collect()
}

fn fleet_of_unknown_rate() -> Vec<Stream> {
    fleet().into_iter().map(|stream| Stream { rate: 0.0, ..stream }).collect()
}

fn one_class() -> Vec<QueryClass> {
    vec![QueryClass { benefit: 1.0, due_time: 1.0 }]
}

/// Usage of every proxy over the last second, with no attempt anywhere.
fn usage(now: f64, proxies: u16) -> Round {
    let queries = (0..proxies).map(|proxy| ProxyQueries { proxy, class: 0, received: RATE, span: 1.0 });
    Round { queries: queries.collect(), ..at(now) }
}

/// One of four rounds a second: reports come once a second.
fn quarter(now: f64, proxies: u16) -> Round {
    if now.fract() == 0.0 {
        usage(now, proxies)
    } else {
        at(now)
    }
}

/// The part of a class that a proxy lets in.
fn admitted(play: &Play, proxy: u16, class: u16) -> f64 {
    let table = play.book.bound[&proxy];
    let level = play.book.levels.get(&(table, 1 << class)).map_or(1.0, |level| level.0);
    if play.book.rates {
        (level / RATE).min(1.0)
    } else {
        level
    }
}

/// Fails where a proxy has no server to go to, or nothing is let in.
fn assert_all_served(play: &Play, proxies: u16) {
    for proxy in 0..proxies {
        let table = play.book.bound.get(&proxy).unwrap_or_else(|| panic!("proxy {proxy} holds no table"));
        assert!(play.book.table(*table).values().any(|weight| *weight > 0.0), "proxy {proxy}: no endpoint");
        assert!(admitted(play, proxy, 0) > 0.0, "proxy {proxy}: nothing is let in");
    }
}

/// Fails where a server is brought more than it bears at its age.
fn assert_none_pushed_over(play: &Play, servers: u16, carries: f64, now: f64) {
    for n in 0..servers {
        let sent = |proxy: &u16| RATE * admitted(play, *proxy, 0) * play.book.part(play.book.bound[proxy], n);
        let sent: f64 = (0..PROXIES).map(|proxy| sent(&proxy)).sum();
        let warmed = ((now - START) / rules().warm_within).clamp(0.0, 1.0);
        let bears = carries * (0.15 + 0.85 * warmed) * rules().fall_multiple;
        assert!(sent <= bears, "server {n} is brought {sent} and bears {bears} at {now}");
    }
}

/// Some seconds with usage but no attempts; from the time to be served by on, all are. Returns the end.
fn go_on(play: &mut Play, proxies: u16) -> f64 {
    let mut now = START;
    while now < START + 4.0 {
        now += 0.25;
        play.round(&quarter(now, proxies));
        if now >= START + SERVED_WITHIN {
            assert_all_served(play, proxies);
        }
    }
    now
}

#[test]
fn it_is_served_in_its_first_round() {
    let mut play = Play::new(site(), rules(), channel(0));
    play.round(&open(START, cold(SERVERS), fleet()));
    assert_all_served(&play, PROXIES);
    assert_none_pushed_over(&play, SERVERS, CARRIES, START);
}

#[test]
fn it_is_served_where_the_list_comes_before_it_or_after_it() {
    for list_first in [true, false] {
        let mut play = Play::new(site(), rules(), channel(0));
        let (list, streams) = (open(START, cold(SERVERS), vec![]), open(START + 0.1, vec![], fleet()));
        let streams = Round { lists: vec![], ..streams };
        if list_first {
            play.round(&list);
            play.round(&streams);
        } else {
            play.round(&Round { now: START, ..streams });
            play.round(&Round { now: START + 0.1, ..list });
        }
        assert_all_served(&play, PROXIES);
        assert_none_pushed_over(&play, SERVERS, CARRIES, START + 0.1);
    }
}

/// A rate of 0 says nothing: a proxy that brought nothing would not have joined.
#[test]
fn it_is_served_where_no_usual_rate_is_told() {
    let mut play = Play::new(site(), rules(), channel(0));
    play.round(&open(START, cold(SERVERS), fleet_of_unknown_rate()));
    let now = go_on(&mut play, PROXIES);
    assert_all_served(&play, PROXIES);
    assert_none_pushed_over(&play, SERVERS, CARRIES, now);
}

/// Those that tell a rate are no measure for those that do not.
#[test]
fn it_is_served_where_one_proxy_of_many_tells_its_rate() {
    let mut play = Play::new(site(), rules(), channel(0));
    let mut streams = fleet_of_unknown_rate();
    streams[0].rate = RATE;
    play.round(&open(START, cold(SERVERS), streams));
    let now = go_on(&mut play, PROXIES);
    assert_all_served(&play, PROXIES);
    assert_none_pushed_over(&play, SERVERS, CARRIES, now);
}

#[test]
fn it_is_served_by_one_server_and_by_sixty() {
    for servers in [1, 60] {
        let mut play = Play::new(site(), rules(), channel(0));
        play.round(&open(START, cold(servers), fleet()));
        assert_all_served(&play, PROXIES);
        assert_none_pushed_over(&play, servers, RATE * f64::from(PROXIES) / f64::from(servers), START);
    }
}

/// With no capacity at its start, a server can take something a moment later.
#[test]
fn it_is_served_where_servers_start_with_no_capacity() {
    let from_nothing = Rules { cold_share: 0.0, ..rules() };
    let mut play = Play::new(site(), from_nothing, channel(0));
    play.round(&open(START, cold(SERVERS), fleet()));
    go_on(&mut play, PROXIES);
    assert_all_served(&play, PROXIES);
}

/// What is let in before usage is reported is what the tables place, not everything.
#[test]
fn cold_servers_are_spared_before_usage_is_reported() {
    for levels in [Levels::Share, Levels::Rate] {
        let mut play = Play::new(Site { levels, ..site() }, rules(), channel(0));
        play.book.rates = levels == Levels::Rate;
        play.round(&open(START, cold(SERVERS), fleet()));
        assert_all_served(&play, PROXIES);
        assert_none_pushed_over(&play, SERVERS, CARRIES, START);
    }
}

/// A level far under one step is not rounded to nothing.
#[test]
fn something_is_let_in_however_little_servers_start_with() {
    let frail = Rules { cold_share: 0.02, ..rules() };
    let mut play = Play::of(site(), one_class(), frail, channel(0));
    play.round(&open(START, cold(SERVERS), fleet()));
    go_on(&mut play, PROXIES);
    assert_all_served(&play, PROXIES);
}

/// Proxies of another pilot come over while all servers are still cold.
#[test]
fn proxies_that_come_over_among_cold_servers_are_served() {
    let mut play = Play::new(site(), rules(), channel(0));
    let (first, others) = (fleet()[..2].to_vec(), fleet()[2..].to_vec());
    play.round(&open(START, cold(SERVERS), first));
    let mut now = go_on(&mut play, 2);
    now += 0.1;
    play.round(&Round { streams: others, ..at(now) });
    assert_all_served(&play, PROXIES);
    assert_none_pushed_over(&play, SERVERS, CARRIES, now);
}

/// One server that was known at the start has never been seen to carry the fleet: those that are listed later are
/// no stronger for it.
#[test]
fn a_short_list_at_the_start_proves_no_capacity() {
    let mut play = Play::new(site(), rules(), channel(0));
    play.round(&open(START, cold(1), fleet()));
    for second in 1..=5 {
        let now = START + f64::from(second);
        let mut round = usage(now, PROXIES);
        round.tries = vec![tries(0, 0, 0.1, 0.0, 0.2)];
        if second == 3 {
            round.lists = vec![list(ListKind::Changes, cold(60))];
        }
        play.round(&round);
        play.round(&at(now + 0.2));
    }
    assert_all_served(&play, PROXIES);
    assert_none_pushed_over(&play, 60, RATE * f64::from(PROXIES) / 60.0, START + 5.2);
}

/// A slice can't be given by degrees; cold servers get as many as they surely carry, and the rest waits until they
/// are warm: that none is pushed over holds before that nobody is left without.
#[test]
fn slices_among_cold_servers_alone_go_to_those_that_carry_them() {
    let slices: u16 = 96;
    let mut play = Play::new(Site { slices: usize::from(slices), ..site() }, rules(), channel(0));
    let assignment = |slice| SliceAssignment { slice, assigned: true, weights: vec![] };
    play.round(&Round {
        slice_assignments: (0..slices).map(assignment).collect(),
        ..open(START, cold(SERVERS), fleet())
    });
    let placed = |play: &Play| (0..slices).filter(|slice| !play.book.table(*slice).is_empty()).count() as u16;
    let mut now = START;
    while now < START + 0.7 * rules().warm_within {
        now += 0.25;
        play.round(&quarter(now, PROXIES));
        let each = RATE * f64::from(PROXIES) / f64::from(slices);
        let warmed = (now - START) / rules().warm_within;
        let bears = CARRIES * (0.15 + 0.85 * warmed) * rules().fall_multiple;
        for n in 0..SERVERS {
            let held = play.book.tables.values().filter(|table| table.contains_key(&address(n))).count();
            assert!(held as f64 * each <= bears, "server {n} holds {held} slices at {now}");
        }
    }
    assert!(placed(&play) >= SERVERS, "{} slices are placed at {now}", placed(&play));
    // 96 messages of five lines to six proxies take 7.2 s at the fifth of the channel's pace that they may use.
    while now < START + rules().warm_within + 8.0 {
        now += 0.25;
        play.round(&quarter(now, PROXIES));
    }
    assert_eq!(placed(&play), slices);
}
