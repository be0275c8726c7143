//! Fleets where all servers are cold, with whatever the pilot knows about capacity and rates.
//!
//! Guards against a fleet that is never served after a restart of all servers: before the first report of
//! tries the pilot knew no capacity, so the budget of each cold server was 0 and every weight was scaled to
//! 0. Proxies with an empty table get no binding, so nobody could try anything and the report that would have
//! ended it never came. Every request failed until a server was warm.

mod support;

use oatlever::round::*;
use support::*;

/// s; every proxy must hold a table by then, as the pilot has all the inputs it needs in its first round.
const SERVED_WITHIN: f64 = 1.0;
const SERVERS: u16 = 12;
const PROXIES: u16 = 6;
/// Queries a second of a proxy, as `join` states.
const RATE: f64 = 10.0;
/// Queries a second that a warm server carries if the fleet's capacity just equals the usual demand.
const CAPACITY: f64 = RATE * PROXIES as f64 / SERVERS as f64;
const START: f64 = 1000.0;

fn cold_servers(count: u16) -> Vec<Entry> {
    (0..count).map(|n| entry(n, n % 3, Readiness::Ready, START)).collect()
}

fn fleet() -> Vec<Stream> {
    (0..PROXIES).map(|proxy| join(proxy, proxy % 3)).collect()
}

fn fleet_without_rates() -> Vec<Stream> {
    fleet().into_iter().map(|stream| Stream { rate: 0.0, ..stream }).collect()
}

fn single_class() -> Vec<QueryClass> {
    vec![QueryClass { benefit: 1.0, due_time: 1.0 }]
}

/// Usage of every proxy over the last second, without any tries.
fn usage_round(now: f64, proxies: u16) -> Round {
    let queries = (0..proxies).map(|proxy| ProxyQueries { proxy, class: 0, received: RATE, span: 1.0 });
    Round { queries: queries.collect(), ..round_at(now) }
}

/// One of four rounds a second; reports come once a second.
fn quarter_round(now: f64, proxies: u16) -> Round {
    if now.fract() == 0.0 {
        usage_round(now, proxies)
    } else {
        round_at(now)
    }
}

/// The share of a class that a proxy admits.
fn admitted(harness: &Harness, proxy: u16, class: u16) -> f64 {
    let table = harness.state.bound[&proxy];
    let level = harness.state.levels.get(&(table, 1 << class)).map_or(1.0, |level| level.0);
    if harness.state.levels_are_rates {
        (level / RATE).min(1.0)
    } else {
        level
    }
}

/// Fails if a proxy has no server to go to or admits nothing.
fn assert_all_served(harness: &Harness, proxies: u16) {
    for proxy in 0..proxies {
        let table = harness.state.bound.get(&proxy).unwrap_or_else(|| panic!("proxy {proxy} holds no table"));
        assert!(
            harness.state.table(*table).values().any(|weight| *weight > 0.0),
            "proxy {proxy}: no endpoint"
        );
        assert!(admitted(harness, proxy, 0) > 0.0, "proxy {proxy}: nothing is admitted");
    }
}

/// Fails if a server receives more than it can bear at its age.
fn assert_none_overloaded(harness: &Harness, servers: u16, capacity: f64, now: f64) {
    for n in 0..servers {
        let sent = |proxy: &u16| {
            RATE * admitted(harness, *proxy, 0) * harness.state.share(harness.state.bound[proxy], n)
        };
        let sent: f64 = (0..PROXIES).map(|proxy| sent(&proxy)).sum();
        let warmed = ((now - START) / rules().warm_within).clamp(0.0, 1.0);
        let limit = capacity * (0.15 + 0.85 * warmed) * rules().fall_multiple;
        assert!(sent <= limit, "server {n} receives {sent} of at most {limit} at {now}");
    }
}

/// Runs four seconds with usage but no tries, and checks that all proxies are served from `SERVED_WITHIN` on.
/// Returns the time of the last round.
fn run_without_tries(harness: &mut Harness, proxies: u16) -> f64 {
    let mut now = START;
    while now < START + 4.0 {
        now += 0.25;
        harness.round(&quarter_round(now, proxies));
        if now >= START + SERVED_WITHIN {
            assert_all_served(harness, proxies);
        }
    }
    now
}

#[test]
fn a_cold_fleet_is_served_in_the_first_round() {
    let mut harness = Harness::new(site(), rules(), channel(0));
    harness.round(&initial_round(START, cold_servers(SERVERS), fleet()));
    assert_all_served(&harness, PROXIES);
    assert_none_overloaded(&harness, SERVERS, CAPACITY, START);
}

#[test]
fn a_cold_fleet_is_served_whether_list_or_proxies_come_first() {
    for list_first in [true, false] {
        let mut harness = Harness::new(site(), rules(), channel(0));
        let (list, streams) = (
            initial_round(START, cold_servers(SERVERS), vec![]),
            initial_round(START + 0.1, vec![], fleet()),
        );
        let streams = Round { lists: vec![], ..streams };
        if list_first {
            harness.round(&list);
            harness.round(&streams);
        } else {
            harness.round(&Round { now: START, ..streams });
            harness.round(&Round { now: START + 0.1, ..list });
        }
        assert_all_served(&harness, PROXIES);
        assert_none_overloaded(&harness, SERVERS, CAPACITY, START + 0.1);
    }
}

/// A rate of 0 means unknown: a proxy without queries would not have joined.
#[test]
fn a_cold_fleet_is_served_without_stated_rates() {
    let mut harness = Harness::new(site(), rules(), channel(0));
    harness.round(&initial_round(START, cold_servers(SERVERS), fleet_without_rates()));
    let now = run_without_tries(&mut harness, PROXIES);
    assert_all_served(&harness, PROXIES);
    assert_none_overloaded(&harness, SERVERS, CAPACITY, now);
}

/// The rates that some proxies state must not be taken for those of the others.
#[test]
fn a_cold_fleet_is_served_where_one_proxy_states_its_rate() {
    let mut harness = Harness::new(site(), rules(), channel(0));
    let mut streams = fleet_without_rates();
    streams[0].rate = RATE;
    harness.round(&initial_round(START, cold_servers(SERVERS), streams));
    let now = run_without_tries(&mut harness, PROXIES);
    assert_all_served(&harness, PROXIES);
    assert_none_overloaded(&harness, SERVERS, CAPACITY, now);
}

#[test]
fn a_cold_fleet_is_served_by_one_server_and_by_sixty() {
    for servers in [1, 60] {
        let mut harness = Harness::new(site(), rules(), channel(0));
        harness.round(&initial_round(START, cold_servers(servers), fleet()));
        assert_all_served(&harness, PROXIES);
        assert_none_overloaded(&harness, servers, RATE * f64::from(PROXIES) / f64::from(servers), START);
    }
}

/// A server without any capacity at its start can take queries a moment later.
#[test]
fn a_cold_fleet_is_served_where_servers_start_without_capacity() {
    let no_initial_capacity = Rules { cold_share: 0.0, ..rules() };
    let mut harness = Harness::new(site(), no_initial_capacity, channel(0));
    harness.round(&initial_round(START, cold_servers(SERVERS), fleet()));
    run_without_tries(&mut harness, PROXIES);
    assert_all_served(&harness, PROXIES);
}

/// Before usage is reported, only what the tables can place is admitted, not everything.
#[test]
fn cold_servers_are_not_overloaded_before_usage_is_reported() {
    for level_kind in [LevelKind::Share, LevelKind::Rate] {
        let mut harness = Harness::new(Site { level_kind, ..site() }, rules(), channel(0));
        harness.state.levels_are_rates = level_kind == LevelKind::Rate;
        harness.round(&initial_round(START, cold_servers(SERVERS), fleet()));
        assert_all_served(&harness, PROXIES);
        assert_none_overloaded(&harness, SERVERS, CAPACITY, START);
    }
}

/// A level far below one step is not rounded to zero.
#[test]
fn queries_are_admitted_however_small_the_initial_capacity() {
    let low_initial_capacity = Rules { cold_share: 0.02, ..rules() };
    let mut harness = Harness::with_classes(site(), single_class(), low_initial_capacity, channel(0));
    harness.round(&initial_round(START, cold_servers(SERVERS), fleet()));
    run_without_tries(&mut harness, PROXIES);
    assert_all_served(&harness, PROXIES);
}

/// Proxies of another pilot join while all servers are still cold.
#[test]
fn proxies_joining_while_all_servers_are_cold_are_served() {
    let mut harness = Harness::new(site(), rules(), channel(0));
    let (first, others) = (fleet()[..2].to_vec(), fleet()[2..].to_vec());
    harness.round(&initial_round(START, cold_servers(SERVERS), first));
    let mut now = run_without_tries(&mut harness, 2);
    now += 0.1;
    harness.round(&Round { streams: others, ..round_at(now) });
    assert_all_served(&harness, PROXIES);
    assert_none_overloaded(&harness, SERVERS, CAPACITY, now);
}

/// A single server on the first list has never been seen to carry the whole fleet, so the servers listed
/// later must not be credited with that capacity.
#[test]
fn a_short_first_list_does_not_raise_the_capacity_estimate() {
    let mut harness = Harness::new(site(), rules(), channel(0));
    harness.round(&initial_round(START, cold_servers(1), fleet()));
    for second in 1..=5 {
        let now = START + f64::from(second);
        let mut round = usage_round(now, PROXIES);
        round.tries = vec![tries(0, 0, 0.1, 0.0, 0.2)];
        if second == 3 {
            round.lists = vec![list(ListKind::Changes, cold_servers(60))];
        }
        harness.round(&round);
        harness.round(&round_at(now + 0.2));
    }
    assert_all_served(&harness, PROXIES);
    assert_none_overloaded(&harness, 60, RATE * f64::from(PROXIES) / 60.0, START + 5.2);
}

/// A slice can't be assigned partially. Cold servers get as many slices as they are sure to carry and the
/// others wait until they are warm: not overloading a server takes precedence over serving every slice.
#[test]
fn slices_go_only_to_cold_servers_that_can_carry_them() {
    let slices: u16 = 96;
    let mut harness = Harness::new(Site { slices: usize::from(slices), ..site() }, rules(), channel(0));
    let assignment = |slice| SliceAssignment { slice, assigned: true, weights: vec![] };
    harness.round(&Round {
        slice_assignments: (0..slices).map(assignment).collect(),
        ..initial_round(START, cold_servers(SERVERS), fleet())
    });
    let placed = |harness: &Harness| {
        (0..slices).filter(|slice| !harness.state.table(*slice).is_empty()).count() as u16
    };
    let mut now = START;
    while now < START + 0.7 * rules().warm_within {
        now += 0.25;
        harness.round(&quarter_round(now, PROXIES));
        let slice_demand = RATE * f64::from(PROXIES) / f64::from(slices);
        let warmed = (now - START) / rules().warm_within;
        let limit = CAPACITY * (0.15 + 0.85 * warmed) * rules().fall_multiple;
        for n in 0..SERVERS {
            let assigned =
                harness.state.tables.values().filter(|table| table.contains_key(&address(n))).count();
            assert!(assigned as f64 * slice_demand <= limit, "server {n} holds {assigned} slices at {now}");
        }
    }
    assert!(placed(&harness) >= SERVERS, "{} slices are placed at {now}", placed(&harness));
    // 96 messages of five lines to six proxies take 7.2 s at the fifth of the channel's rate that they may
    // use.
    while now < START + rules().warm_within + 8.0 {
        now += 0.25;
        harness.round(&quarter_round(now, PROXIES));
    }
    assert_eq!(placed(&harness), slices);
}
