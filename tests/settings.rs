//! Seeded settings of any customer, within what the operators' pages allow: each starts, and the rules hold
//! under it.

mod support;

use oatlever::round::*;
use oatlever_instance::{instance_settings, platform_settings, InstanceSettings, Node};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use support::*;

/// A customer's settings, and what happens on a day: the first number of a step says what, the second to
/// whom.
#[derive(Clone, Debug)]
struct Day {
    settings: Value,
    steps: Vec<(u8, u16)>,
}

fn within(g: &mut Gen, least: u32, most: u32) -> f64 {
    f64::from(least + u32::arbitrary(g) % (most - least + 1))
}

fn one_of<T: Copy>(g: &mut Gen, all: &[T]) -> T {
    *g.choose(all).expect("there are some")
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        let lanes: Vec<Value> = (0..within(g, 1, 16) as usize)
            .map(|n| {
                json!({"name": format!("class {n} of {}", u8::arbitrary(g)), "slo-ms": within(g, 100, 4000),
                       "deadline-ms": within(g, 4000, 9000), "worth": within(g, 0, 60) / 4.0,
                       "effect": one_of(g, &["pure", "token", "side_effect"]), "not known": null})
            })
            .collect();
        let zones: Vec<String> = (0..within(g, 1, 5) as usize).map(|n| format!("Zone-{n} {{\"")).collect();
        let settings = json!({
            "family": "control", "of later days": [{"key": 1}],
            "family-info": {
                "egress-per-s": within(g, 1100, 9500), "head": within(g, 0, 6), "partitions-n": 0,
                "level-kind": one_of(g, &["share", "rate", "off"]), "data-plane-size": PROXIES,
                "choice": one_of(g, &["weighted", "round", "two"]), "period-ms": within(g, 250, 2000),
                "queue-cap": within(g, 2000, 9000), "reloads-max": one_of(g, &[0, 12, 14, 20]),
                "transit-max-ms": within(g, 200, 900), "update-window-ms": 10000.0,
                "write-life-ms": within(g, 0, 9000), "by-zone": bool::arbitrary(g)
            },
            "lanes": lanes, "zones": zones,
            "limits": {"probes": bool::arbitrary(g), "connect-timeout-ms": within(g, 100, 900)},
            "registry-mode": one_of(g, &["pushed", "on_request"]), "siblings": within(g, 1, 5),
            "tick-ms": within(g, 1, 20),
            "rules": {"ask-within-ms": within(g, 2000, 20000), "fall-multiple": within(g, 8, 20) / 4.0,
                "start-capacity": within(g, 15, 50) / 100.0, "warm-within-ms": within(g, 4000, 20000),
                "only-draining-binds": bool::arbitrary(g)}
        });
        Day { settings, steps: Vec::arbitrary(g) }
    }
}

const SERVERS: u16 = 10;
const PROXIES: u16 = 8;

fn starts_and_keeps_the_rules(day: Day) -> bool {
    let node = Node::root(&day.settings);
    let names = platform_settings(&node).expect("names");
    let InstanceSettings { site, classes, channel, rules } =
        instance_settings(&node).expect("settings that start");
    assert_eq!((names.zones.len(), names.classes.len()), (site.zones, classes.len()));
    let (zones, warm_within, most) = (site.zones as u16, rules.warm_within, channel.most_messages);
    let (cap, binds) = (channel.most_waiting, !rules.gone_does_not_bind);
    let rates = site.levels == Levels::Rate;
    let count = classes.len() as u8;
    let mut play = Play::of(site, classes, rules, channel);
    play.book.rates = rates;
    let mut now = 1000.0;
    let mut servers: BTreeMap<u16, (Readiness, f64, f64)> =
        (0..SERVERS).map(|n| (n, (Readiness::Ready, 0.0, now))).collect();
    let mut joined: BTreeMap<u16, f64> = (0..PROXIES).map(|proxy| (proxy, now)).collect();
    let streams = joined.keys().map(|proxy| join(*proxy, proxy % zones)).collect();
    play.round(&open(now, ready(SERVERS, zones), streams));
    for (what, n) in day.steps {
        let mut round = at(now);
        match what % 8 {
            kind @ 0..=2 => {
                let readiness = [Readiness::Gone, Readiness::Draining, Readiness::Ready][usize::from(kind)];
                let (held, started, _) = servers[&(n % SERVERS)];
                let back = held != Readiness::Ready && readiness == Readiness::Ready;
                let started = if back { now - 0.5 } else { started };
                servers.insert(n % SERVERS, (readiness, started, now));
                round = change(now, vec![entry(n % SERVERS, n % SERVERS % zones, readiness, started)]);
            }
            3 => {
                let proxy = n % PROXIES;
                let up = joined.remove(&proxy).is_none();
                if up {
                    joined.insert(proxy, now);
                }
                round.streams.push(Stream { up, ..join(proxy, proxy % zones) });
            }
            _ => {
                for proxy in joined.keys() {
                    let query = |class| ProxyQueries { proxy: *proxy, class, received: 9.0, span: 1.0 };
                    round.queries.extend((0..count).map(query));
                }
                for server in 0..SERVERS {
                    let failed = if server == n % (2 * SERVERS) { 8.0 } else { 0.0 };
                    round.tries.push(tries(server, server % zones, 8.0, failed, 0.2));
                }
            }
        }
        play.round(&round);
        for _ in 0..4 {
            now += 0.4;
            play.round(&at(now));
        }
        let book = &play.book;
        let warm = |s: &(Readiness, f64, f64)| s.0 == Readiness::Ready && now - s.1 >= warm_within;
        if servers.values().any(warm) {
            for proxy in joined.keys() {
                let table = book.bound.get(proxy).map(|table| book.table(*table)).unwrap_or_default();
                assert!(!table.is_empty(), "proxy {proxy} has no line");
            }
        }
        let used: BTreeSet<Address> =
            book.bound.values().flat_map(|table| book.table(*table).into_keys()).collect();
        for (n, (readiness, ..)) in &servers {
            let left = *readiness == Readiness::Draining || *readiness == Readiness::Gone && binds;
            assert!(!(left && used.contains(&address(*n))), "server {n} left and is still listed");
        }
        assert!(book.levels.values().all(|(_, mode)| *mode < 2), "an effect could repeat");
        assert!(book.waiting <= cap, "{} lines wait", book.waiting);
        for times in book.messages.values().filter(|_| most > 0) {
            let recent = times.iter().filter(|at| now - **at < 10.0).count();
            assert!(recent <= most, "{recent} messages to one proxy");
        }
    }
    true
}

#[test]
fn any_customer_s_settings_start_and_keep_the_rules() {
    let mut runs = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(60, 24));
    runs.quickcheck(starts_and_keeps_the_rules as fn(Day) -> bool);
}

/// Each wrong figure is told with its field and value.
#[test]
fn what_is_missing_odd_or_contradictory_starts_nothing() {
    let mut g = Gen::from_size_and_seed(10, 3);
    let right = Day::arbitrary(&mut g).settings;
    let cases = [
        ("/family-info/head", json!("x"), "`family-info.head` is \"x\", not a number from 0"),
        ("/family-info/egress-per-s", json!(0), "`family-info.egress-per-s` is 0, not a number above 0"),
        ("/family-info/queue-cap", json!(-4), "`family-info.queue-cap` is -4, not a number above 0"),
        ("/family-info/reloads-max", json!(1.5), "`family-info.reloads-max` is 1.5, not a whole number"),
        (
            "/family-info/choice",
            json!("best"),
            "`family-info.choice` is \"best\", not one of weighted, round, two",
        ),
        ("/family-info/level-kind", json!(null), "`level-kind` is missing in `family-info`"),
        (
            "/family-info/data-plane-size",
            json!(65537),
            "`family-info.data-plane-size` is 65537, not a whole number",
        ),
        ("/family-info/period-ms", json!(0), "`family-info.period-ms` is 0, not a number above 0"),
        ("/registry-mode", json!("poll"), "`registry-mode` is \"poll\", not one of pushed, on_request"),
        ("/rules/start-capacity", json!(1.01), "`rules.start-capacity` is 1.01, not a number from 0 to 1"),
        ("/rules/only-draining-binds", json!(1), "`rules.only-draining-binds` is 1, not true or false"),
        (
            "/limits/connect-timeout-ms",
            json!(1e300),
            "`limits.connect-timeout-ms` is 1e+300, not a number above 0",
        ),
        ("/tick-ms", json!(60001), "`tick-ms` is 60001, not a number from 0 to 60000"),
        ("/zones", json!([]), "`zones` is [], not a list of one zone or more"),
        ("/zones", json!(["a", "b", "a"]), "`zones[2]` is \"a\", not a unique name"),
        ("/zones", json!([""]), "`zones[0]` is \"\", not a name of 1 to 256 bytes"),
        ("/lanes", json!([]), "`lanes` is [], not a list of 1 to 16 classes"),
        ("/lanes/0/name", json!(7), "`lanes[0].name` is 7, not a string"),
        ("/lanes/0/slo-ms", json!(0), "`lanes[0].slo-ms` is 0, not a number above 0"),
        ("/lanes/0", json!(3), "is missing in `lanes[0]`"),
        ("/family-info", json!([]), "is missing in `family-info`"),
    ];
    for (place, value, wanted) in cases {
        let mut wrong = right.clone();
        *wrong.pointer_mut(place).expect(place) = value;
        let node = Node::root(&wrong);
        let said = platform_settings(&node)
            .map(drop)
            .and_then(|()| instance_settings(&node).map(drop))
            .expect_err(place)
            .to_string();
        assert!(said.contains(wanted), "said `{said}`, wanted `{wanted}`");
    }
    let mut capped = right;
    capped["family-info"]["reloads-max"] = json!(12);
    capped["family-info"]["update-window-ms"] = json!(0);
    let said = instance_settings(&Node::root(&capped)).expect_err("no span").to_string();
    assert!(said.contains("`family-info.update-window-ms` is 0, not a number above 0"), "{said}");
}
