//! The judge must catch a planted breach of each rule, and nothing in a day that keeps them.

use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::Command;

const SERVER: &str = "127.1.10.1";
const OTHER: &str = "127.1.10.2";
const RELAY: &str = "127.1.20.1";

fn script() -> Value {
    let mut script: Value = serde_json::from_str(include_str!("../scripts/demo.json")).unwrap();
    script["gone_does_not_bind"] = json!(false);
    script
}

/// A quiet day: two warm servers, a relay that holds both.
fn quiet() -> Vec<Value> {
    let ended = |at: f64| json!({"at": at, "ended": {"query": 1, "class": 0, "asked": 1, "answered": 1}});
    vec![
        json!({"at": 0.0, "started": {"server": SERVER, "cold": false, "start": 1}}),
        json!({"at": 0.0, "started": {"server": OTHER, "cold": false, "start": 1}}),
        json!({"at": 0.1, "pilot_started": null}),
        json!({"at": 0.2, "told": [[SERVER, "ready", 1], [OTHER, "ready", 1]]}),
        json!({"at": 0.3, "answer": {"asker": RELAY, "class": 0, "lines": [[SERVER, 1], [OTHER, 1]]}}),
        json!({"at": 0.4, "arrival": {"asker": RELAY, "server": SERVER, "class": 2, "query": 1, "work": 0.2}}),
        json!({"at": 0.4, "ran": {"server": SERVER, "class": 2, "query": 1}}),
        ended(1.0),
        json!({"at": 1.1, "waiting": 100.0}),
    ]
}

/// Exit status and report of the judge on a record with these entries after the quiet ones.
fn judged(name: &str, more: &[Value]) -> (Option<i32>, String) {
    judged_by(script(), name, more)
}

fn judged_by(script: Value, name: &str, more: &[Value]) -> (Option<i32>, String) {
    let path: PathBuf = std::env::temp_dir().join(format!("oatlever-judge-{}-{name}", std::process::id()));
    let mut lines = vec![script];
    lines.extend(quiet());
    lines.extend_from_slice(more);
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(&path, text.join("\n")).unwrap();
    let done =
        Command::new(env!("CARGO_BIN_EXE_oatlever-standins")).arg("judge").arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    (done.status.code(), String::from_utf8(done.stdout).unwrap() + &String::from_utf8(done.stderr).unwrap())
}

fn arrival(at: f64, server: &str, work: f64) -> Value {
    json!({"at": at, "arrival": {"asker": RELAY, "server": server, "class": 0, "query": 9, "work": work}})
}

#[test]
fn a_day_that_keeps_the_rules_passes() {
    let (code, report) = judged("quiet", &[]);
    assert_eq!(code, Some(0), "{report}");
}

#[test]
fn a_relay_without_lines_is_seen() {
    let without = |at: f64| json!({"at": at, "without": {"asker": RELAY, "class": 0}});
    assert_eq!(judged("without-short", &[without(2.0), without(4.9)]).0, Some(0));
    let (code, report) = judged("without", &[without(2.0), without(6.0)]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 1 broken"), "{report}");
    // Nobody is to blame while no warm server is listed.
    let empty = json!({"at": 1.5, "told": []});
    assert_eq!(judged("without-empty", &[empty, without(2.0), without(6.0)]).0, Some(0));
}

#[test]
fn an_effect_twice_is_seen() {
    let (code, report) =
        judged("twice", &[json!({"at": 2.0, "ran": {"server": OTHER, "class": 2, "query": 1}})]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 2 broken"), "{report}");
    let safe = json!({"at": 2.0, "ran": {"server": OTHER, "class": 0, "query": 7}});
    assert_eq!(judged("twice-safe", &[safe.clone(), safe]).0, Some(0));
}

#[test]
fn a_drain_not_kept_is_seen_whatever_follows_it() {
    let drain = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let gone = json!({"at": 4.0, "told": [[OTHER, "ready", 1]]});
    assert_eq!(judged("drain-kept", &[drain.clone(), arrival(4.5, SERVER, 0.1)]).0, Some(0));
    let (code, report) = judged("drain", &[drain, gone, arrival(6.0, SERVER, 0.1)]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 3 broken"), "{report}");
}

#[test]
fn a_cold_server_pushed_over_is_seen() {
    // 0.15 of 3 cores, 2 s, times 2.5: 2.25 s of work at the start.
    let cold = json!({"at": 2.0, "started": {"server": SERVER, "cold": true, "start": 2}});
    let told = json!({"at": 2.05, "told": [[SERVER, "ready", 2], [OTHER, "ready", 1]]});
    let answer = json!({"at": 2.06, "answer": {"asker": RELAY, "class": 0, "lines": [[SERVER, 1]]}});
    let mut day = vec![cold.clone(), told, answer];
    let some: Vec<Value> = (0..8).map(|n| arrival(2.1 + f64::from(n) * 0.01, SERVER, 0.25)).collect();
    day.extend(some.clone());
    assert_eq!(judged("cold-kept", &day).0, Some(0));
    day.push(arrival(2.3, SERVER, 0.8));
    let (code, report) = judged("cold", &day);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 4 broken"), "{report}");
    // The same before the list tells of the start is nobody's doing.
    let mut unknown = vec![cold];
    unknown.extend(some);
    unknown.push(arrival(2.3, SERVER, 0.8));
    assert_eq!(judged("cold-unknown", &unknown).0, Some(0));
}

#[test]
fn a_channel_too_full_is_seen() {
    let (code, report) = judged("full", &[json!({"at": 2.0, "waiting": 6001.0})]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 5 broken"), "{report}");
}

#[test]
fn a_spoiled_record_is_refused_with_its_line() {
    let (code, report) = judged("spoiled", &[json!({"at": 2.0, "flew": 1})]);
    assert_eq!(code, Some(2));
    assert!(report.contains(":11: "), "{report}");
}

/// A client whose questions were lost goes on with an answer that has run out: no breach where the script lost
/// them, one where it did not, and one where the answer still held.
#[test]
fn an_answer_that_ran_out_is_nobodys_word_where_packets_were_lost() {
    let told = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let answer = |at: f64| json!({"at": at, "answer": {"asker": RELAY, "class": 0, "lines": [[SERVER, 1], [OTHER, 1]]}});
    let mut lossy = script();
    lossy["faults"] = json!([{"at": 2.0, "for": 6.0, "kind": "dns_lost", "part": 0.25}]);
    let stale = [told.clone(), answer(3.0), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judged_by(lossy.clone(), "stale-lost", &stale).0, Some(0));
    assert_eq!(judged("stale", &stale).0, Some(1));
    let held = [told, answer(4.8), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judged_by(lossy, "held-lost", &held).0, Some(1));
}

/// A query is on its way by what ran out long ago when the answer to a later question comes: it was sent by the
/// old one, whatever came since.
#[test]
fn an_answer_that_comes_while_a_query_is_on_its_way_is_not_what_it_went_by() {
    let told = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let answer = json!({"at": 5.599, "answer": {"asker": RELAY, "class": 0, "lines": [[OTHER, 1]]}});
    let sent = |answered: f64| json!({"at": 5.598, "sent": {"query": 9, "answered": answered}});
    let mut lossy = script();
    lossy["faults"] = json!([{"at": 2.0, "for": 6.0, "kind": "dns_lost", "part": 0.25}]);
    let by_the_old = [told.clone(), sent(0.3), answer.clone(), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judged_by(lossy.clone(), "late-answer", &by_the_old).0, Some(0));
    let by_the_new = [told, sent(5.5), answer, arrival(5.6, SERVER, 0.1)];
    assert_eq!(judged_by(lossy, "fresh-answer", &by_the_new).0, Some(1));
}
