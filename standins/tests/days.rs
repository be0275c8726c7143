//! Days with faults, played against a real pilot over loopback: the rules must hold on each.
//!
//! A day is a few seconds of a small fleet. The verdict does not hang on how fast the machine is: rules
//! are judged with some slack, and service is asked for well under what is usual.

use serde_json::{json, Value};
use std::process::Command;

/// Whether all rules were kept, and the report.
fn played(realm: u8, seconds: f64, faults: Value, changes: Value) -> (bool, String) {
    let mut script: Value = serde_json::from_str(include_str!("../scripts/demo.json")).unwrap();
    script["seconds"] = json!(seconds);
    script["faults"] = faults;
    script["servers"] = json!(5);
    script["relays"] = json!(2);
    script["terminals"] = json!(2);
    script["relay_rate"] = json!(50);
    script["terminal_rate"] = json!(15);
    for (key, value) in changes.as_object().unwrap() {
        script[key] = value.clone();
    }
    let path = std::env::temp_dir().join(format!("oatlever-day-{}-{realm}.json", std::process::id()));
    std::fs::write(&path, script.to_string()).unwrap();
    let done = Command::new(env!("CARGO_BIN_EXE_oatlever-standins"))
        .args(["day", path.to_str().unwrap(), "--realm", &realm.to_string()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let told = String::from_utf8(done.stdout).unwrap() + &String::from_utf8(done.stderr).unwrap();
    (done.status.code() == Some(0) && told.contains("rules 1 to 5: kept, kept, kept, kept, kept"), told)
}

fn day(realm: u8, seconds: f64, faults: Value, changes: Value) -> String {
    let (kept, told) = played(realm, seconds, faults, changes);
    assert!(kept, "{told}");
    told
}

fn service(report: &str) -> f64 {
    let line = report.lines().find(|line| line.starts_with("service ")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// The list calls nine of ten servers gone for 10 s while they serve, then all of them.
#[test]
fn a_lying_list_costs_nothing() {
    let faults = json!([{"at": 2, "for": 10, "kind": "list_lies", "part": 0.9},
                        {"at": 13, "for": 7, "kind": "list_empty"}]);
    let report = day(10, 22.0, faults, json!({}));
    assert!(service(&report) > 0.95, "{report}");
}

/// The pilot is killed twice; relays go on with what they hold, and it comes back with its kept list while
/// the roster is down.
#[test]
fn a_killed_pilot_comes_back() {
    let faults = json!([{"at": 3, "for": 3, "kind": "pilot_dies"}, {"at": 9, "for": 1, "kind": "pilot_dies"},
                        {"at": 8, "for": 6, "kind": "roster_down"}, {"at": 14, "for": 2, "kind": "list_cut"}]);
    let report = day(11, 18.0, faults, json!({}));
    assert!(service(&report) > 0.95, "{report}");
}

/// A zone's servers all restart cold at once; then it is lost and comes back.
#[test]
fn a_zone_that_starts_cold_is_not_pushed_over() {
    let faults = json!([{"at": 3, "for": 1, "kind": "restart", "zone": 1},
                        {"at": 9, "for": 4, "kind": "crash", "zone": 2}]);
    let report = day(12, 22.0, faults, json!({"warm_within": 8}));
    assert!(service(&report) > 0.7, "{report}");
}

/// Half of a zone drains; reports stop meanwhile and come back reset; a quarter of the DNS is lost and the
/// rest late.
#[test]
fn drains_hold_while_reports_and_packets_are_lost() {
    let faults = json!([{"at": 3, "for": 8, "kind": "drain", "zone": 1, "part": 0.5},
                        {"at": 2, "for": 9, "kind": "reports_reset"},
                        {"at": 4, "for": 8, "kind": "dns_lost", "part": 0.25},
                        {"at": 12, "for": 4, "kind": {"dns_late": 0.2}}]);
    let report = day(13, 18.0, faults, json!({}));
    assert!(service(&report) > 0.8, "{report}");
}

/// Relays over DNS, state of the world and incremental side by side: a zone drains, the pilot is killed while
/// a zone is lost, reports stop, and relays come back on new streams with old tables.
#[test]
fn all_fronts_keep_the_rules_at_once() {
    let faults = json!([{"at": 2, "for": 6, "kind": "drain", "zone": 1, "part": 0.5},
                        {"at": 5, "for": 2, "kind": "relays_die", "part": 0.5},
                        {"at": 9, "for": 6, "kind": "crash", "zone": 0},
                        {"at": 10, "for": 1, "kind": "pilot_dies"},
                        {"at": 14, "for": 3, "kind": "scrapes_hang"}]);
    let report = day(15, 20.0, faults, json!({"relays": 3, "relays_by": "all"}));
    assert!(service(&report) > 0.6, "{report}");
}

fn refused(report: &str, outcomes: &[&str]) -> u64 {
    let line = |line: &&str| outcomes.iter().any(|o| line.contains(&format!("outcome=\"{o}\"")));
    report.lines().filter(line).filter_map(|line| line.split(' ').nth(1)?.parse::<u64>().ok()).sum()
}

/// Somebody lays every table by hand so that one server gets everything, while the list lies: with the guard
/// the rules and the service hold, without it that server is all there is.
#[test]
fn the_guard_refuses_what_a_hand_lays() {
    let faults = json!([{"at": 4, "for": 10, "kind": "hand_lays"},
                        {"at": 7, "for": 4, "kind": "list_lies", "part": 0.9}]);
    let load = json!({"relays": 3, "relays_by": "all", "relay_rate": 120, "guard": "enforce"});
    let report = day(16, 16.0, faults.clone(), load);
    assert!(service(&report) > 0.95, "{report}");
    assert!(refused(&report, &["kept", "nearest"]) >= 3, "{report}");
    let load = json!({"relays": 3, "relays_by": "all", "relay_rate": 120, "guard": "report"});
    let (kept, report) = played(17, 16.0, faults, load);
    assert!(!kept && service(&report) < 0.9, "{report}");
}

/// How far the day's cost was over the best after the fact, in parts.
fn over_best(report: &str) -> f64 {
    let line = report.lines().find(|line| line.starts_with("cost ")).unwrap();
    line.split_whitespace().last().unwrap().trim_end_matches('%').parse::<f64>().unwrap() / 100.0
}

/// Zones with prices: queries go where they cost the least, as far as servers carry them, over both fronts;
/// without prices they stay at home and cost far more.
#[test]
fn prices_are_followed_as_far_as_servers_go() {
    let costs = |told| {
        json!({"servers": 5, "relays": 3, "relays_by": "all", "relay_rate": 80,
               "costs": {"zones": [1, 2, 3], "crossing": 0.2, "headroom": 0.25, "told": told, "carries": 14}})
    };
    let report = day(20, 26.0, json!([]), costs(true));
    assert!(service(&report) > 0.9 && over_best(&report) < 0.08, "{report}");
    let report = day(21, 16.0, json!([]), costs(false));
    assert!(over_best(&report) > 0.2, "{report}");
}

/// Every cheap server is gone at once, and comes back cold while half of the next zone restarts.
#[test]
fn all_cheap_servers_go_at_once() {
    let faults = json!([{"at": 6, "for": 5, "kind": "crash", "zone": 0},
                        {"at": 9, "for": 1, "kind": "restart", "zone": 1, "part": 0.5}]);
    let costs = json!({"warm_within": 6, "relays": 3, "relays_by": "all",
                       "costs": {"zones": [1, 2, 3], "crossing": 0.2, "headroom": 0.25, "told": true}});
    let report = day(22, 22.0, faults, costs);
    assert!(service(&report) > 0.5, "{report}");
}

/// Zones restart cold one after the other while resolvers, each with sixty terminals behind it, ask by DNS: with
/// the ledger none of them brings a cold server all of its terminals.
#[test]
fn resolvers_push_no_cold_server_over() {
    let faults = json!([{"at": 5, "for": 1, "kind": "restart", "zone": 1},
                        {"at": 12, "for": 1, "kind": "restart", "zone": 2}]);
    let load = json!({"warm_within": 8, "relay_rate": 20, "terminal_rate": 60, "terminals": 6, "resolver": 60,
                      "ledger": true});
    let report = day(23, 20.0, faults, load);
    assert!(service(&report) > 0.6, "{report}");
}

/// The same hand, where everybody asks by DNS.
#[test]
fn the_guard_refuses_what_a_hand_lays_over_dns() {
    let faults = json!([{"at": 4, "for": 7, "kind": "hand_lays"},
                        {"at": 6, "for": 3, "kind": "list_lies", "part": 0.9}]);
    let load = |mode| json!({"relays": 3, "relays_by": "dns", "relay_rate": 120, "guard": mode});
    let report = day(18, 13.0, faults.clone(), load("enforce"));
    assert!(service(&report) > 0.95, "{report}");
    assert!(refused(&report, &["kept", "nearest"]) >= 3, "{report}");
    let (_, report) = played(19, 13.0, faults, load("report"));
    assert!(service(&report) < 0.9, "{report}");
}

/// A bad day: relays die, servers crash, hang, slow down, fail at once and lose answers.
#[test]
fn a_bad_day_keeps_the_rules() {
    let faults = json!([{"at": 2, "for": 3, "kind": "relays_die", "part": 0.5},
                        {"at": 4, "for": 5, "kind": "crash", "part": 0.2},
                        {"at": 6, "for": 5, "kind": "hang", "zone": 0, "part": 0.2},
                        {"at": 8, "for": 5, "kind": {"slow": 4}, "zone": 1, "part": 0.4},
                        {"at": 10, "for": 4, "kind": "quick_errors", "zone": 2, "part": 0.2},
                        {"at": 13, "for": 3, "kind": "answers_lost", "zone": 0, "part": 0.4}]);
    let report = day(14, 20.0, faults, json!({}));
    assert!(service(&report) > 0.5, "{report}");
}
