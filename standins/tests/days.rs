//! Days with faults, run with a real pilot on loopback; all rules must be kept.
//!
//! A day is a few seconds of a small fleet. The results must not depend on the speed of the machine: the rules have
//! tolerances, and the required service is far below the usual one.

use serde_json::{json, Value};
use std::process::Command;

/// Runs a day; returns whether all rules were kept, and its output.
fn run_day(realm: u8, seconds: f64, faults: Value, changes: Value) -> (bool, String) {
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
    let output = Command::new(env!("CARGO_BIN_EXE_oatlever-standins"))
        .args(["day", path.to_str().unwrap(), "--realm", &realm.to_string()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let report = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    let kept =
        output.status.code() == Some(0) && report.contains("rules 1 to 5: kept, kept, kept, kept, kept");
    (kept, report)
}

/// Runs a day that must keep all rules; returns its output.
fn run_valid_day(realm: u8, seconds: f64, faults: Value, changes: Value) -> String {
    let (kept, report) = run_day(realm, seconds, faults, changes);
    assert!(kept, "{report}");
    report
}

fn service(report: &str) -> f64 {
    let line = report.lines().find(|line| line.starts_with("service ")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// For 10 s nine of ten servers are missing from the list although they serve; then all are.
#[test]
fn an_incorrect_list_does_not_reduce_service() {
    let faults = json!([{"at": 2, "for": 10, "kind": "list_lies", "part": 0.9},
                        {"at": 13, "for": 7, "kind": "list_empty"}]);
    let report = run_valid_day(10, 22.0, faults, json!({}));
    assert!(service(&report) > 0.95, "{report}");
}

/// The pilot is killed twice. Relays continue with their latest answers, and the pilot restarts from its cached list
/// while service discovery is down.
#[test]
fn a_killed_pilot_restarts_from_its_cached_list() {
    let faults = json!([{"at": 3, "for": 3, "kind": "pilot_dies"}, {"at": 9, "for": 1, "kind": "pilot_dies"},
                        {"at": 8, "for": 6, "kind": "roster_down"}, {"at": 14, "for": 2, "kind": "list_cut"}]);
    let report = run_valid_day(11, 18.0, faults, json!({}));
    assert!(service(&report) > 0.95, "{report}");
}

/// All servers of a zone restart cold at the same time; later another zone fails and starts again.
#[test]
fn a_zone_that_starts_cold_is_not_overloaded() {
    let faults = json!([{"at": 3, "for": 1, "kind": "restart", "zone": 1},
                        {"at": 9, "for": 4, "kind": "crash", "zone": 2}]);
    let report = run_valid_day(12, 22.0, faults, json!({"warm_within": 8}));
    assert!(service(&report) > 0.7, "{report}");
}

/// Half of a zone drains while reports are missing and counters are reset; a quarter of the DNS queries is lost, and
/// later all are delayed.
#[test]
fn drains_are_kept_while_reports_and_queries_are_lost() {
    let faults = json!([{"at": 3, "for": 8, "kind": "drain", "zone": 1, "part": 0.5},
                        {"at": 2, "for": 9, "kind": "reports_reset"},
                        {"at": 4, "for": 8, "kind": "dns_lost", "part": 0.25},
                        {"at": 12, "for": 4, "kind": {"dns_late": 0.2}}]);
    let report = run_valid_day(13, 18.0, faults, json!({}));
    assert!(service(&report) > 0.8, "{report}");
}

/// Relays use DNS, state-of-the-world xDS and incremental xDS at the same time. Half of a zone drains, relays restart,
/// the pilot is killed while a zone has failed, and reports stop.
#[test]
fn all_fronts_keep_the_rules_together() {
    let faults = json!([{"at": 2, "for": 6, "kind": "drain", "zone": 1, "part": 0.5},
                        {"at": 5, "for": 2, "kind": "relays_die", "part": 0.5},
                        {"at": 9, "for": 6, "kind": "crash", "zone": 0},
                        {"at": 10, "for": 1, "kind": "pilot_dies"},
                        {"at": 14, "for": 3, "kind": "scrapes_hang"}]);
    let report = run_valid_day(15, 20.0, faults, json!({"relays": 3, "relays_by": "all"}));
    assert!(service(&report) > 0.6, "{report}");
}

/// Number of guard verdicts with one of the outcomes.
fn verdicts(report: &str, outcomes: &[&str]) -> u64 {
    let line = |line: &&str| outcomes.iter().any(|o| line.contains(&format!("outcome=\"{o}\"")));
    report.lines().filter(line).filter_map(|line| line.split(' ').nth(1)?.parse::<u64>().ok()).sum()
}

/// A manual override of every table sends all queries to one server while the list is incorrect. With the guard in
/// enforce mode the rules are kept and the service is not affected; in report mode the override takes effect.
#[test]
fn the_guard_refuses_what_a_hand_lays() {
    let faults = json!([{"at": 4, "for": 10, "kind": "hand_lays"},
                        {"at": 7, "for": 4, "kind": "list_lies", "part": 0.9}]);
    let load = json!({"relays": 3, "relays_by": "all", "relay_rate": 120, "guard": "enforce"});
    let report = run_valid_day(16, 16.0, faults.clone(), load);
    assert!(service(&report) > 0.95, "{report}");
    assert!(verdicts(&report, &["kept", "nearest"]) >= 3, "{report}");
    let load = json!({"relays": 3, "relays_by": "all", "relay_rate": 120, "guard": "report"});
    let (kept, report) = run_day(17, 16.0, faults, load);
    assert!(!kept && service(&report) < 0.9, "{report}");
}

/// Relative excess of the day's cost over that of the best plan in hindsight.
fn excess_cost(report: &str) -> f64 {
    let line = report.lines().find(|line| line.starts_with("cost ")).unwrap();
    line.split_whitespace().last().unwrap().trim_end_matches('%').parse::<f64>().unwrap() / 100.0
}

/// With prices, queries go to the cheapest zones within the capacity of their servers, on all fronts. Without prices
/// they stay in their zones, which costs far more.
#[test]
fn prices_are_followed_within_capacity() {
    let costs = |told| {
        json!({"servers": 5, "relays": 3, "relays_by": "all", "relay_rate": 80,
               "costs": {"zones": [1, 2, 3], "crossing": 0.2, "headroom": 0.25, "told": told, "carries": 14}})
    };
    let report = run_valid_day(20, 26.0, json!([]), costs(true));
    assert!(service(&report) > 0.9 && excess_cost(&report) < 0.08, "{report}");
    let report = run_valid_day(21, 16.0, json!([]), costs(false));
    assert!(excess_cost(&report) > 0.2, "{report}");
}

/// All servers of the cheapest zone crash and start cold again while half of the next zone restarts.
#[test]
fn the_cheapest_zone_fails() {
    let faults = json!([{"at": 6, "for": 5, "kind": "crash", "zone": 0},
                        {"at": 9, "for": 1, "kind": "restart", "zone": 1, "part": 0.5}]);
    let costs = json!({"warm_within": 6, "relays": 3, "relays_by": "all",
                       "costs": {"zones": [1, 2, 3], "crossing": 0.2, "headroom": 0.25, "told": true}});
    let report = run_valid_day(22, 22.0, faults, costs);
    assert!(service(&report) > 0.5, "{report}");
}

/// Two zones restart cold one after the other while terminals query DNS, some of them through resolvers with sixty
/// terminals each. With the ledger, no resolver directs all of its terminals to a cold server.
#[test]
fn resolvers_do_not_overload_cold_servers() {
    let faults = json!([{"at": 5, "for": 1, "kind": "restart", "zone": 1},
                        {"at": 12, "for": 1, "kind": "restart", "zone": 2}]);
    let load = json!({"warm_within": 8, "relay_rate": 20, "terminal_rate": 60, "terminals": 6, "resolver": 60,
                      "ledger": true});
    let report = run_valid_day(23, 20.0, faults, load);
    assert!(service(&report) > 0.6, "{report}");
}

/// The same manual override, with all relays on DNS.
#[test]
fn the_guard_refuses_what_a_hand_lays_over_dns() {
    let faults = json!([{"at": 4, "for": 7, "kind": "hand_lays"},
                        {"at": 6, "for": 3, "kind": "list_lies", "part": 0.9}]);
    let load = |mode| json!({"relays": 3, "relays_by": "dns", "relay_rate": 120, "guard": mode});
    let report = run_valid_day(18, 13.0, faults.clone(), load("enforce"));
    assert!(service(&report) > 0.95, "{report}");
    assert!(verdicts(&report, &["kept", "nearest"]) >= 3, "{report}");
    let (_, report) = run_day(19, 13.0, faults, load("report"));
    assert!(service(&report) < 0.9, "{report}");
}

/// Relays stop; servers crash, hang, slow down, fail queries immediately and lose answers.
#[test]
fn many_faults_at_once_keep_the_rules() {
    let faults = json!([{"at": 2, "for": 3, "kind": "relays_die", "part": 0.5},
                        {"at": 4, "for": 5, "kind": "crash", "part": 0.2},
                        {"at": 6, "for": 5, "kind": "hang", "zone": 0, "part": 0.2},
                        {"at": 8, "for": 5, "kind": {"slow": 4}, "zone": 1, "part": 0.4},
                        {"at": 10, "for": 4, "kind": "quick_errors", "zone": 2, "part": 0.2},
                        {"at": 13, "for": 3, "kind": "answers_lost", "zone": 0, "part": 0.4}]);
    let report = run_valid_day(14, 20.0, faults, json!({}));
    assert!(service(&report) > 0.5, "{report}");
}
