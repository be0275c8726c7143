//! The `judge` command must find a violation of each rule, and none in a record without violations.

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

/// A record without violations: two warm servers, and a relay whose answer has both.
fn valid_record() -> Vec<Value> {
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

/// Runs `judge` on the valid record with further entries; returns the exit status and the output.
fn judge(name: &str, more: &[Value]) -> (Option<i32>, String) {
    judge_with_script(script(), name, more)
}

fn judge_with_script(script: Value, name: &str, more: &[Value]) -> (Option<i32>, String) {
    let path: PathBuf = std::env::temp_dir().join(format!("oatlever-judge-{}-{name}", std::process::id()));
    let mut lines = vec![script];
    lines.extend(valid_record());
    lines.extend_from_slice(more);
    let text: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(&path, text.join("\n")).unwrap();
    let output =
        Command::new(env!("CARGO_BIN_EXE_oatlever-standins")).arg("judge").arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let report = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    (output.status.code(), report)
}

fn arrival(at: f64, server: &str, work: f64) -> Value {
    json!({"at": at, "arrival": {"asker": RELAY, "server": server, "class": 0, "query": 9, "work": work}})
}

#[test]
fn a_valid_record_passes() {
    let (code, report) = judge("valid", &[]);
    assert_eq!(code, Some(0), "{report}");
}

#[test]
fn a_relay_without_a_server_is_found() {
    let without = |at: f64| json!({"at": at, "without": {"asker": RELAY, "class": 0}});
    assert_eq!(judge("without-short", &[without(2.0), without(4.9)]).0, Some(0));
    let (code, report) = judge("without", &[without(2.0), without(6.0)]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 1 broken"), "{report}");
    // Rule 1 does not apply while no warm server is listed.
    let empty = json!({"at": 1.5, "told": []});
    assert_eq!(judge("without-empty", &[empty, without(2.0), without(6.0)]).0, Some(0));
}

#[test]
fn a_query_that_runs_twice_is_found() {
    let (code, report) =
        judge("twice", &[json!({"at": 2.0, "ran": {"server": OTHER, "class": 2, "query": 1}})]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 2 broken"), "{report}");
    let safe = json!({"at": 2.0, "ran": {"server": OTHER, "class": 0, "query": 7}});
    assert_eq!(judge("twice-safe", &[safe.clone(), safe]).0, Some(0));
}

#[test]
fn a_query_to_a_drained_server_is_found_after_it_is_unlisted() {
    let drain = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let gone = json!({"at": 4.0, "told": [[OTHER, "ready", 1]]});
    assert_eq!(judge("drain-kept", &[drain.clone(), arrival(4.5, SERVER, 0.1)]).0, Some(0));
    let (code, report) = judge("drain", &[drain, gone, arrival(6.0, SERVER, 0.1)]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 3 broken"), "{report}");
}

#[test]
fn an_overloaded_cold_server_is_found() {
    // The limit at the start is 0.15 of 3 cores for 2 s, times 2.5: 2.25 core seconds.
    let cold = json!({"at": 2.0, "started": {"server": SERVER, "cold": true, "start": 2}});
    let told = json!({"at": 2.05, "told": [[SERVER, "ready", 2], [OTHER, "ready", 1]]});
    let answer = json!({"at": 2.06, "answer": {"asker": RELAY, "class": 0, "lines": [[SERVER, 1]]}});
    let mut day = vec![cold.clone(), told, answer];
    let some: Vec<Value> = (0..8).map(|n| arrival(2.1 + f64::from(n) * 0.01, SERVER, 0.25)).collect();
    day.extend(some.clone());
    assert_eq!(judge("cold-kept", &day).0, Some(0));
    day.push(arrival(2.3, SERVER, 0.8));
    let (code, report) = judge("cold", &day);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 4 broken"), "{report}");
    // Rule 4 does not apply before the list reflects the start.
    let mut unknown = vec![cold];
    unknown.extend(some);
    unknown.push(arrival(2.3, SERVER, 0.8));
    assert_eq!(judge("cold-unknown", &unknown).0, Some(0));
}

#[test]
fn too_many_waiting_lines_are_found() {
    let (code, report) = judge("full", &[json!({"at": 2.0, "waiting": 6001.0})]);
    assert_eq!(code, Some(1));
    assert!(report.contains("rule 5 broken"), "{report}");
}

#[test]
fn an_invalid_record_is_rejected_with_its_line_number() {
    let (code, report) = judge("invalid", &[json!({"at": 2.0, "flew": 1})]);
    assert_eq!(code, Some(2));
    assert!(report.contains(":11: "), "{report}");
}

/// A relay whose DNS queries are lost uses an expired answer that names a drained server. That violates no rule if the
/// script lost the queries; it does if the script lost none, or if the answer had not expired.
#[test]
fn an_expired_answer_is_excused_while_queries_are_lost() {
    let told = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let answer = |at: f64| json!({"at": at, "answer": {"asker": RELAY, "class": 0, "lines": [[SERVER, 1], [OTHER, 1]]}});
    let mut lossy = script();
    lossy["faults"] = json!([{"at": 2.0, "for": 6.0, "kind": "dns_lost", "part": 0.25}]);
    let stale = [told.clone(), answer(3.0), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judge_with_script(lossy.clone(), "stale-lost", &stale).0, Some(0));
    assert_eq!(judge("stale", &stale).0, Some(1));
    let held = [told, answer(4.8), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judge_with_script(lossy, "held-lost", &held).0, Some(1));
}

/// A query is sent by an expired answer, and a new answer arrives before the query reaches the server: the query must
/// be judged by the answer by which it was sent.
#[test]
fn a_query_is_judged_by_the_answer_that_it_was_sent_by() {
    let told = json!({"at": 2.0, "told": [[SERVER, "draining", 1], [OTHER, "ready", 1]]});
    let answer = json!({"at": 5.599, "answer": {"asker": RELAY, "class": 0, "lines": [[OTHER, 1]]}});
    let sent = |answered: f64| json!({"at": 5.598, "sent": {"query": 9, "answered": answered}});
    let mut lossy = script();
    lossy["faults"] = json!([{"at": 2.0, "for": 6.0, "kind": "dns_lost", "part": 0.25}]);
    let by_old_answer = [told.clone(), sent(0.3), answer.clone(), arrival(5.6, SERVER, 0.1)];
    assert_eq!(judge_with_script(lossy.clone(), "late-answer", &by_old_answer).0, Some(0));
    let by_new_answer = [told, sent(5.5), answer, arrival(5.6, SERVER, 0.1)];
    assert_eq!(judge_with_script(lossy, "fresh-answer", &by_new_answer).0, Some(1));
}
