//! `.ci/test` with lists of known failures and a stub of cargo that has one passing and one failing test.

#![cfg(unix)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Lists two tests and runs them: `bad` fails.
const CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
    *--list) echo "good: test"; echo "bad: test" ;;
    *"--exact bad") echo "test bad ... FAILED"; exit 101 ;;
    *"--exact good") echo "test good ... ok" ;;
    *) echo "ran: $*" ;;
esac
"#;

fn write_script(path: &Path, text: &str) {
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    std::fs::write(path, text).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}

/// Runs the script with this list. Returns whether it passes, and its output.
fn run_script(name: &str, list: Option<&str>) -> (bool, String) {
    let dir = std::env::temp_dir().join(format!("oatlever-known-red-{}-{name}", std::process::id()));
    write_script(&dir.join("bin/cargo"), CARGO);
    write_script(&dir.join(".ci/test"), include_str!("../.ci/test"));
    if let Some(list) = list {
        std::fs::write(dir.join("KNOWN-RED.txt"), list).unwrap();
    }
    let mut paths = vec![dir.join("bin")];
    paths.extend(std::env::split_paths(&std::env::var_os("PATH").unwrap()).collect::<Vec<PathBuf>>());
    let mut script = Command::new("bash");
    let script = script.arg(dir.join(".ci/test")).env("PATH", std::env::join_paths(paths).unwrap());
    let result = script.output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    let output = String::from_utf8(result.stdout).unwrap() + &String::from_utf8(result.stderr).unwrap();
    (result.status.success(), output)
}

fn assert_rejected(name: &str, list: &str, message: &str) {
    let (passes, output) = run_script(name, Some(list));
    assert!(!passes && output.contains(message), "{list:?}: {output}");
}

#[test]
fn all_tests_run_without_a_list() {
    assert_eq!(run_script("none", None), (true, "ran: test --locked --workspace\n".to_string()));
}

#[test]
fn a_listed_failing_test_is_skipped_and_printed() {
    let (passes, output) =
        run_script("fails", Some("bad | cargo test, seed 7 | no table in 20 s | issue 24\n"));
    assert!(passes, "{output}");
    assert!(output.contains("test bad ... FAILED"), "{output}");
    assert!(output.contains("known red: bad: no table in 20 s (issue 24; cargo test, seed 7)"), "{output}");
    assert!(output.contains("--exact --skip bad"), "{output}");
}

#[test]
fn a_listed_flaky_test_may_pass_and_is_printed() {
    for name in ["good", "bad"] {
        let (passes, output) =
            run_script(name, Some(&format!("{name} | cargo test | late | issue 24 | at times\n")));
        assert!(passes && output.contains(&format!("known red, at times: {name}: late")), "{output}");
    }
}

#[test]
fn malformed_or_outdated_lists_are_rejected() {
    let entry = |name: &str| format!("{name} | cargo test | late | issue 24\n");
    assert_rejected("passes", &entry("good"), "good passes: take its entry out");
    assert_rejected("unknown", &entry("nobody"), "0 tests are called nobody");
    assert_rejected("twice", &entry("bad").repeat(2), "line 2 names bad again");
    assert_rejected("many", &["a", "b", "c", "d"].map(entry).concat(), "4 entries, and 3 are the most");
    assert_rejected("empty", "", "it is empty");
    for (name, list) in [
        ("old", "bad | late | issue 24"),
        ("issue", "bad | cargo test | late | soon"),
        ("seen", "bad | cargo test | | issue 24"),
        ("word", "bad | cargo test | late | issue 24 | sometimes"),
        ("blank", "\nbad | cargo test | late | issue 24"),
    ] {
        assert_rejected(name, list, "line 1 is not 'TEST | COMMAND and seed | SEEN | issue N");
    }
}
