//! Random settings from a fixed seed, within the limits of the operators' pages: the pilot starts with each
//! and keeps the rules.

mod support;

use oatlever::round::*;
use oatlever_instance::{instance_settings, platform_settings, InstanceSettings, Node};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use support::*;

/// Settings and the events of a run. The first number of a step selects the event, the second the server or
/// proxy.
#[derive(Clone, Debug)]
struct Case {
    settings: Value,
    steps: Vec<(u8, u16)>,
}

fn whole_number(g: &mut Gen, min: u32, max: u32) -> f64 {
    f64::from(min + u32::arbitrary(g) % (max - min + 1))
}

fn choose<T: Copy>(g: &mut Gen, all: &[T]) -> T {
    *g.choose(all).expect("empty slice")
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let lanes: Vec<Value> = (0..whole_number(g, 1, 16) as usize)
            .map(|n| {
                json!({"name": format!("class {n} of {}", u8::arbitrary(g)), "slo-ms": whole_number(g, 100, 4000),
                       "deadline-ms": whole_number(g, 4000, 9000), "worth": whole_number(g, 0, 60) / 4.0,
                       "effect": choose(g, &["pure", "token", "side_effect"]), "not known": null})
            })
            .collect();
        let zones: Vec<String> =
            (0..whole_number(g, 1, 5) as usize).map(|n| format!("Zone-{n} {{\"")).collect();
        let settings = json!({
            "family": "control", "of later days": [{"key": 1}],
            "family-info": {
                "egress-per-s": whole_number(g, 1100, 9500), "head": whole_number(g, 0, 6), "partitions-n": 0,
                "level-kind": choose(g, &["share", "rate", "off"]), "data-plane-size": PROXIES,
                "choice": choose(g, &["weighted", "round", "two"]), "period-ms": whole_number(g, 250, 2000),
                "queue-cap": whole_number(g, 2000, 9000), "reloads-max": choose(g, &[0, 12, 14, 20]),
                "transit-max-ms": whole_number(g, 200, 900), "update-window-ms": 10000.0,
                "write-life-ms": whole_number(g, 0, 9000), "by-zone": bool::arbitrary(g)
            },
            "lanes": lanes, "zones": zones,
            "limits": {"probes": bool::arbitrary(g), "connect-timeout-ms": whole_number(g, 100, 900)},
            "registry-mode": choose(g, &["pushed", "on_request"]), "siblings": whole_number(g, 1, 5),
            "tick-ms": whole_number(g, 1, 20),
            "rules": {"ask-within-ms": whole_number(g, 2000, 20000), "fall-multiple": whole_number(g, 8, 20) / 4.0,
                "start-capacity": whole_number(g, 15, 50) / 100.0, "warm-within-ms": whole_number(g, 4000, 20000),
                "only-draining-binds": bool::arbitrary(g)}
        });
        Case { settings, steps: Vec::arbitrary(g) }
    }
}

const SERVERS: u16 = 10;
const PROXIES: u16 = 8;

fn case_starts_and_keeps_the_rules(case: Case) -> bool {
    let node = Node::root(&case.settings);
    let names = platform_settings(&node).expect("names");
    let InstanceSettings { site, classes, channel, rules } =
        instance_settings(&node).expect("settings that start");
    assert_eq!((names.zones.len(), names.classes.len()), (site.zones, classes.len()));
    let (zones, warm_within, max_messages) = (site.zones as u16, rules.warm_within, channel.max_messages);
    let (max_waiting, gone_binds) = (channel.max_waiting_lines, !rules.gone_does_not_bind);
    let levels_are_rates = site.level_kind == LevelKind::Rate;
    let count = classes.len() as u8;
    let mut harness = Harness::with_classes(site, classes, rules, channel);
    harness.state.levels_are_rates = levels_are_rates;
    let mut now = 1000.0;
    let mut servers: BTreeMap<u16, (Readiness, f64, f64)> =
        (0..SERVERS).map(|n| (n, (Readiness::Ready, 0.0, now))).collect();
    let mut joined: BTreeMap<u16, f64> = (0..PROXIES).map(|proxy| (proxy, now)).collect();
    let streams = joined.keys().map(|proxy| join(*proxy, proxy % zones)).collect();
    harness.round(&initial_round(now, ready_servers(SERVERS, zones), streams));
    for (event, n) in case.steps {
        let mut round = round_at(now);
        match event % 8 {
            kind @ 0..=2 => {
                let readiness = [Readiness::Gone, Readiness::Draining, Readiness::Ready][usize::from(kind)];
                let (old, started, _) = servers[&(n % SERVERS)];
                let back = old != Readiness::Ready && readiness == Readiness::Ready;
                let started = if back { now - 0.5 } else { started };
                servers.insert(n % SERVERS, (readiness, started, now));
                round = list_change(now, vec![entry(n % SERVERS, n % SERVERS % zones, readiness, started)]);
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
        harness.round(&round);
        for _ in 0..4 {
            now += 0.4;
            harness.round(&round_at(now));
        }
        let state = &harness.state;
        let warm = |s: &(Readiness, f64, f64)| s.0 == Readiness::Ready && now - s.1 >= warm_within;
        if servers.values().any(warm) {
            for proxy in joined.keys() {
                let table = state.bound.get(proxy).map(|table| state.table(*table)).unwrap_or_default();
                assert!(!table.is_empty(), "proxy {proxy} has an empty table");
            }
        }
        let used: BTreeSet<Address> =
            state.bound.values().flat_map(|table| state.table(*table).into_keys()).collect();
        for (n, (readiness, ..)) in &servers {
            let unavailable =
                *readiness == Readiness::Draining || *readiness == Readiness::Gone && gone_binds;
            assert!(!(unavailable && used.contains(&address(*n))), "server {n} left and is still listed");
        }
        assert!(state.levels.values().all(|(_, mode)| *mode < 2), "a retry could repeat an effect");
        assert!(state.waiting <= max_waiting, "{} lines wait", state.waiting);
        for times in state.messages.values().filter(|_| max_messages > 0) {
            let recent = times.iter().filter(|at| now - **at < 10.0).count();
            assert!(recent <= max_messages, "{recent} messages to one proxy");
        }
    }
    true
}

#[test]
fn any_valid_settings_start_and_keep_the_rules() {
    let mut runs = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(60, 24));
    runs.quickcheck(case_starts_and_keeps_the_rules as fn(Case) -> bool);
}

/// Each error message names the field and its value.
#[test]
fn invalid_settings_are_rejected() {
    let mut g = Gen::from_size_and_seed(10, 3);
    let valid = Case::arbitrary(&mut g).settings;
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
    for (path, value, expected) in cases {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).expect(path) = value;
        let node = Node::root(&invalid);
        let message = platform_settings(&node)
            .map(drop)
            .and_then(|()| instance_settings(&node).map(drop))
            .expect_err(path)
            .to_string();
        assert!(message.contains(expected), "got `{message}`, expected `{expected}`");
    }
    let mut without_lease = valid.clone();
    without_lease["family-info"]["partitions-n"] = json!(8);
    without_lease["family-info"]["one-owner"] = json!(true);
    let message = instance_settings(&Node::root(&without_lease)).expect_err("no write lease").to_string();
    assert!(message.contains("`write-lease-ms` is missing in `family-info`"), "{message}");
    let mut without_window = valid;
    without_window["family-info"]["reloads-max"] = json!(12);
    without_window["family-info"]["update-window-ms"] = json!(0);
    let message =
        instance_settings(&Node::root(&without_window)).expect_err("update window of 0").to_string();
    assert!(message.contains("`family-info.update-window-ms` is 0, not a number above 0"), "{message}");
}
