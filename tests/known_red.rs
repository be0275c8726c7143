//! `.ci/test` on lists of known failures, with a stand-in for cargo: one test passes, one fails.

#![cfg(unix)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Lists two tests, and runs them: `bad` fails.
const CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
    *--list) echo "good: test"; echo "bad: test" ;;
    *"--exact bad") echo "test bad ... FAILED"; exit 101 ;;
    *"--exact good") echo "test good ... ok" ;;
    *) echo "ran: $*" ;;
esac
"#;

fn program(path: &Path, text: &str) {
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    std::fs::write(path, text).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}

/// Whether the script passes with this list, and what it says.
fn played(name: &str, list: Option<&str>) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("oatlever-known-red-{}-{name}", std::process::id()));
    program(&folder.join("bin/cargo"), CARGO);
    program(&folder.join(".ci/test"), include_str!("../.ci/test"));
    if let Some(list) = list {
        std::fs::write(folder.join("KNOWN-RED.txt"), list).unwrap();
    }
    let mut paths = vec![folder.join("bin")];
    paths.extend(std::env::split_paths(&std::env::var_os("PATH").unwrap()).collect::<Vec<PathBuf>>());
    let mut script = Command::new("bash");
    let script = script.arg(folder.join(".ci/test")).env("PATH", std::env::join_paths(paths).unwrap());
    let done = script.output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let said = String::from_utf8(done.stdout).unwrap() + &String::from_utf8(done.stderr).unwrap();
    (done.status.success(), said)
}

fn refused(name: &str, list: &str, words: &str) {
    let (passes, said) = played(name, Some(list));
    assert!(!passes && said.contains(words), "{list:?}: {said}");
}

#[test]
fn without_a_list_all_tests_run() {
    assert_eq!(played("none", None), (true, "ran: test --locked --workspace\n".to_string()));
}

#[test]
fn a_listed_test_that_fails_is_left_out_and_printed() {
    let (passes, said) = played("fails", Some("bad | cargo test, seed 7 | no table in 20 s | issue 24\n"));
    assert!(passes, "{said}");
    assert!(said.contains("test bad ... FAILED"), "{said}");
    assert!(said.contains("known red: bad: no table in 20 s (issue 24; cargo test, seed 7)"), "{said}");
    assert!(said.contains("--exact --skip bad"), "{said}");
}

#[test]
fn a_test_that_fails_at_times_may_pass_and_is_printed() {
    for name in ["good", "bad"] {
        let (passes, said) =
            played(name, Some(&format!("{name} | cargo test | late | issue 24 | at times\n")));
        assert!(passes && said.contains(&format!("known red, at times: {name}: late")), "{said}");
    }
}

#[test]
fn a_list_that_says_too_little_too_much_or_what_is_not_so_is_refused() {
    let entry = |name: &str| format!("{name} | cargo test | late | issue 24\n");
    refused("passes", &entry("good"), "good passes: take its entry out");
    refused("unknown", &entry("nobody"), "0 tests are called nobody");
    refused("twice", &entry("bad").repeat(2), "line 2 names bad again");
    refused("many", &["a", "b", "c", "d"].map(entry).concat(), "4 entries, and 3 are the most");
    refused("empty", "", "it is empty");
    for (name, list) in [
        ("old", "bad | late | issue 24"),
        ("issue", "bad | cargo test | late | soon"),
        ("seen", "bad | cargo test | | issue 24"),
        ("word", "bad | cargo test | late | issue 24 | sometimes"),
        ("blank", "\nbad | cargo test | late | issue 24"),
    ] {
        refused(name, list, "line 1 is not 'TEST | COMMAND and seed | SEEN | issue N");
    }
}
