//! The soak's checks: each finds the fault that it is there for, and nothing in a run without one; and a seeded part
//! of the soak itself.

use oatlever_standins::soak::check::{check, Violation};
use oatlever_standins::soak::plan::Plan;
use oatlever_standins::soak::proxy::{stranger, Shared};
use oatlever_standins::soak::record::{Ending, Entry, Event, Exit, Recorder, Table};
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering;

/// A run of one pilot, two proxies and two warm servers, written by hand.
struct Record {
    plan: Plan,
    entries: Vec<Entry>,
}

fn table(servers: &[&str]) -> Table {
    servers.iter().map(|server| (server.to_string(), 1.0)).collect()
}

impl Record {
    /// All is well until 1 s: the pilot is ready, both proxies hold both servers.
    fn begun() -> Record {
        let plan = Plan { pilots: 1, proxies: 2, servers: 2, ..Plan::draw(1, 8.0) };
        let mut record = Record { plan, entries: Vec::new() };
        for server in ["s-0", "s-1"] {
            record.at(0.0, Event::Listed { server: server.to_string(), started: -1e6 });
        }
        record.at(0.0, Event::Started { life: 0 });
        record.at(0.1, Event::Ready { life: 0 });
        for proxy in 0..2 {
            record.at(0.2, Event::Joined { proxy, life: 0 });
            record.at(1.0, Event::Holding { proxy, table: table(&["s-0", "s-1"]), admitted: 1.0 });
        }
        record
    }

    fn at(&mut self, at: f64, event: Event) {
        self.entries.push(Entry { at, event });
        self.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    fn ask(&mut self, at: f64, requests: usize, answers: usize, ending: Ending) {
        for _ in 0..requests {
            self.at(at, Event::Asked { connection: 7, life: 0 });
        }
        for _ in 0..answers {
            self.at(at + 0.01, Event::Answered { connection: 7 });
        }
        self.at(at + 0.02, Event::Ended { connection: 7, ending });
    }

    /// What is found where the run goes on until 20 s and the pilot ends as it should.
    fn found(mut self) -> Vec<Violation> {
        self.at(20.0, Event::AskedToEnd { life: 0 });
        self.at(20.1, Event::Exited { life: 0, exit: Exit::Status(Some(0)) });
        check(&self.plan, &self.entries)
    }
}

#[test]
fn a_run_without_a_fault_has_no_finding() {
    let mut record = Record::begun();
    record.ask(2.0, 3, 3, Ending::Closed);
    record.ask(3.0, 3, 1, Ending::Reset);
    record.at(4.0, Event::Closed { server: "s-0".to_string() });
    for proxy in 0..2 {
        record.at(5.0, Event::Holding { proxy, table: table(&["s-1"]), admitted: 1.0 });
    }
    assert_eq!(record.found(), []);
}

#[test]
fn requests_that_were_read_and_not_answered_are_found() {
    let mut record = Record::begun();
    record.ask(2.0, 3, 1, Ending::Closed);
    assert_eq!(record.found(), [Violation::Unanswered { connection: 7, requests: 2 }]);
}

/// On real sockets: a pilot that reads a request and closes owes its answer; one that closes unread does not.
#[test]
fn closed_and_reset_connections_are_told_apart() {
    for reads in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let plan = Plan { pilots: 1, ..Plan::draw(1, 8.0) };
        let shared = Shared::new(plan.clone(), Recorder::start(), vec![listener.local_addr().unwrap()]);
        shared.pilots[0].1.store(0, Ordering::SeqCst);
        // The fourth of the strangers asks for a sign of life.
        let client = std::thread::spawn({
            let shared = shared.clone();
            move || stranger(shared, 3)
        });
        let (mut stream, _) = listener.accept().unwrap();
        stream.peek(&mut [0; 64]).unwrap();
        if reads {
            let mut request = String::new();
            BufReader::new(&mut stream).read_line(&mut request).unwrap();
        }
        drop(stream);
        // It dials again once it has seen the end.
        let _again = listener.accept().unwrap();
        shared.over.store(true, Ordering::SeqCst);
        client.join().unwrap();
        let found = check(&plan, &shared.recorder.take());
        let unanswered = matches!(found[..], [Violation::Unanswered { requests: 1, .. }]);
        assert_eq!(unanswered, reads, "{found:?}");
    }
}

/// A kill without notice may take answers with it, and no other end.
#[test]
fn a_kill_without_notice_excuses_unanswered_requests() {
    for (exit, excused) in [(Exit::KilledUnasked, true), (Exit::Status(Some(0)), false)] {
        let mut record = Record::begun();
        record.ask(2.0, 1, 0, Ending::Closed);
        record.at(2.5, Event::Exited { life: 0, exit });
        assert_eq!(check(&record.plan, &record.entries).is_empty(), excused);
    }
}

#[test]
fn a_proxy_without_a_server_to_go_to_is_found() {
    let mut record = Record::begun();
    record.at(2.0, Event::Holding { proxy: 1, table: table(&["s-unheard-of"]), admitted: 1.0 });
    record.at(5.2, Event::Ready { life: 1 });
    record.at(5.4, Event::Ready { life: 1 });
    let found = record.found();
    assert!(matches!(found[..], [Violation::NoTable { proxy: 1, .. }]), "{found:?}");
}

#[test]
fn a_table_that_names_a_drained_server_is_found() {
    let mut record = Record::begun();
    record.at(2.0, Event::Closed { server: "s-0".to_string() });
    record.at(2.5, Event::Holding { proxy: 0, table: table(&["s-1"]), admitted: 1.0 });
    let found = record.found();
    assert!(
        matches!(&found[..], [Violation::NotDrained { proxy: 1, server, .. }] if server == "s-0"),
        "{found:?}"
    );
}

/// With eight servers, one carries 5 requests a second, and bears 2.5 times 0.15 of that as it starts; two proxies
/// bring 20.
#[test]
fn a_cold_server_that_is_pushed_over_is_found() {
    for (admitted, pushed) in [(1.0, true), (0.05, false)] {
        let mut record = Record::begun();
        record.plan.servers = 8;
        record.at(2.0, Event::Listed { server: "s-2".to_string(), started: 2.0 });
        for proxy in 0..2 {
            record.at(2.1, Event::Holding { proxy, table: table(&["s-2"]), admitted });
        }
        record.at(2.2, Event::Answered { connection: 0 });
        record.at(4.6, Event::Answered { connection: 0 });
        let found = record.found();
        assert_eq!(
            matches!(&found[..], [Violation::PushedOver { server, .. }] if server == "s-2"),
            pushed,
            "{found:?}"
        );
        assert!(pushed || found.is_empty(), "{found:?}");
    }
}

#[test]
fn ends_other_than_0_hangs_and_ends_unbidden_are_found() {
    for exit in [Exit::Status(Some(1)), Exit::Status(None), Exit::KilledLate, Exit::Unbidden] {
        let mut record = Record::begun();
        record.at(2.0, Event::Exited { life: 0, exit });
        let found = check(&record.plan, &record.entries);
        assert_eq!(found, [Violation::WrongExit { life: 0, exit }]);
    }
}

#[test]
fn a_process_that_is_never_ready_is_found() {
    let mut record = Record::begun();
    record.at(2.0, Event::Started { life: 1 });
    assert_eq!(record.found(), [Violation::NotReady { life: 1 }]);
}

#[test]
fn a_panic_is_found() {
    let mut record = Record::begun();
    let line = "thread 'main' panicked at src/main.rs".to_string();
    record.at(2.0, Event::Panicked { life: 0, line: line.clone() });
    assert_eq!(record.found(), [Violation::Panicked { life: 0, line }]);
}

#[test]
fn memory_and_descriptors_that_grow_or_are_too_many_are_found() {
    let held = |memory: fn(u64) -> u64, descriptors: fn(u64) -> u64| {
        let mut record = Record::begun();
        for second in 0..80 {
            let (memory, descriptors) = (memory(second), descriptors(second));
            record.at(second as f64, Event::Holds { life: 0, memory, descriptors });
        }
        check(&record.plan, &record.entries)
    };
    assert_eq!(held(|_| 4000, |second| 20 + second % 7), []);
    assert!(matches!(held(|second| 4000 + 100 * second, |_| 20)[..], [Violation::Grows { life: 0, .. }]));
    assert!(matches!(held(|_| 4000, |second| 20 + second / 2)[..], [Violation::Grows { life: 0, .. }]));
    assert!(matches!(held(|_| 70_000, |_| 20)[..], [Violation::OverLimit { .. }, ..]));
    assert!(matches!(held(|_| 4000, |_| 900)[..], [Violation::OverLimit { .. }, ..]));
}

fn soaked(arguments: &[&str]) -> (Option<i32>, String) {
    let played =
        Command::new(env!("CARGO_BIN_EXE_oatlever-standins")).arg("soak").args(arguments).output().unwrap();
    let said = String::from_utf8_lossy(&played.stdout) + String::from_utf8_lossy(&played.stderr);
    (played.status.code(), said.into_owned())
}

/// Half a minute of the soak; the long one is played by hand.
#[test]
fn seeded_runs_of_restarts_keep_their_promises() {
    let (status, said) = soaked(&["--runs", "6", "--seconds", "9", "--at-once", "2"]);
    assert_eq!(status, Some(0), "{said}");
}

/// The same on DNS and on both variants of xDS.
#[test]
fn seeded_days_of_restarts_keep_the_rules() {
    let (status, said) = soaked(&["--front", "all", "--runs", "2", "--seconds", "10", "--at-once", "2"]);
    assert_eq!(status, Some(0), "{said}");
}

/// A pilot that ends with another status than 0 when it is asked to fails the day, which is told with its command.
#[cfg(unix)]
#[test]
fn a_day_whose_pilot_ends_badly_fails() {
    use std::os::unix::fs::PermissionsExt;
    let pilot = Path::new(env!("CARGO_BIN_EXE_oatlever-standins")).with_file_name("oatlever");
    let wrapped = std::env::temp_dir().join(format!("oatlever-soak-bad-{}", std::process::id()));
    // Of a command in the background, a shell makes standard input /dev/null before it is redirected.
    let script =
        format!("#!/bin/sh\ntrap 'exit 3' TERM\nexec 3<&0\n{} \"$@\" <&3 &\nwait\n", pilot.display());
    std::fs::write(&wrapped, script).unwrap();
    std::fs::set_permissions(&wrapped, std::fs::Permissions::from_mode(0o755)).unwrap();
    let (status, said) = soaked(&[
        "--front",
        "dns",
        "--realm",
        "5",
        "--runs",
        "1",
        "--seconds",
        "10",
        "--pilot",
        wrapped.to_str().unwrap(),
    ]);
    std::fs::remove_file(&wrapped).unwrap();
    assert_eq!(status, Some(1), "{said}");
    assert!(said.contains("a day ended with exit status: 2") && said.contains("again: "), "{said}");
}
