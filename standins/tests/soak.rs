//! Tests of the soak checks on hand-written records, and short seeded runs of the soak itself.

use oatlever_standins::soak::check::{check, Violation};
use oatlever_standins::soak::plan::Plan;
use oatlever_standins::soak::proxy::{run_proxy, run_unknown_client, Shared};
use oatlever_standins::soak::record::{Ending, Entry, Event, Exit, Recorder, Table};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A hand-written record of a run with one pilot, two proxies and two warm servers.
struct Record {
    plan: Plan,
    entries: Vec<Entry>,
}

fn table(servers: &[&str]) -> Table {
    servers.iter().map(|server| (server.to_string(), 1.0)).collect()
}

impl Record {
    /// A record without violations up to 1 s: the pilot is ready and both proxies hold both servers.
    fn started() -> Record {
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

    fn add_connection(&mut self, at: f64, requests: usize, answers: usize, ending: Ending) {
        for _ in 0..requests {
            self.at(at, Event::Asked { connection: 7, life: 0 });
        }
        for _ in 0..answers {
            self.at(at + 0.01, Event::Answered { connection: 7 });
        }
        self.at(at + 0.02, Event::Ended { connection: 7, ending });
    }

    /// Returns the violations if the run goes on until 20 s and the pilot then exits with status 0.
    fn violations(mut self) -> Vec<Violation> {
        self.at(20.0, Event::AskedToEnd { life: 0 });
        self.at(20.1, Event::Exited { life: 0, exit: Exit::Status(Some(0)) });
        check(&self.plan, &self.entries)
    }
}

#[test]
fn a_correct_run_has_no_violations() {
    let mut record = Record::started();
    record.add_connection(2.0, 3, 3, Ending::Closed);
    record.add_connection(3.0, 3, 1, Ending::Reset);
    record.at(4.0, Event::Closed { server: "s-0".to_string() });
    for proxy in 0..2 {
        record.at(5.0, Event::Holding { proxy, table: table(&["s-1"]), admitted: 1.0 });
    }
    assert_eq!(record.violations(), []);
}

#[test]
fn unanswered_requests_are_found() {
    let mut record = Record::started();
    record.add_connection(2.0, 3, 1, Ending::Closed);
    assert_eq!(record.violations(), [Violation::Unanswered { connection: 7, requests: 2 }]);
}

/// A listener in place of a pilot, and the state of the clients of a run with it.
fn fake_pilot() -> (TcpListener, Arc<Shared>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let plan = Plan { pilots: 1, ..Plan::draw(1, 8.0) };
    let shared = Shared::new(plan, Recorder::start(), vec![listener.local_addr().unwrap()]);
    shared.pilots[0].1.store(0, Ordering::SeqCst);
    (listener, shared)
}

/// A pilot that reads a request and closes the connection has not answered it; if it closes without reading, the
/// connection is reset and the request does not count. Uses real sockets.
#[test]
fn closed_and_reset_connections_are_distinguished() {
    for reads in [true, false] {
        let (listener, shared) = fake_pilot();
        // The unknown client with number 3 sends a heartbeat.
        let client = std::thread::spawn({
            let shared = shared.clone();
            move || run_unknown_client(shared, 3)
        });
        let (mut stream, _) = listener.accept().unwrap();
        stream.peek(&mut [0; 64]).unwrap();
        if reads {
            let mut request = String::new();
            BufReader::new(&mut stream).read_line(&mut request).unwrap();
        }
        drop(stream);
        // It connects again once it has recorded the end of the connection.
        let _again = listener.accept().unwrap();
        shared.finished.store(true, Ordering::SeqCst);
        client.join().unwrap();
        let found = check(&shared.plan, &shared.recorder.take());
        let unanswered = matches!(found[..], [Violation::Unanswered { requests: 1, .. }]);
        assert_eq!(unanswered, reads, "{found:?}");
    }
}

/// A request that could not have been read because it was sent after the process had exited was reported as read and not
/// answered. One sent before the exit still counts.
#[test]
fn only_requests_sent_before_the_exit_count_as_read() {
    for (sent_at, found) in [(2.4, true), (2.6, false)] {
        let mut record = Record::started();
        record.at(2.3, Event::AskedToEnd { life: 0 });
        record.at(2.5, Event::Exited { life: 0, exit: Exit::Status(Some(0)) });
        record.at(sent_at, Event::Asked { connection: 7, life: 0 });
        record.at(2.7, Event::Ended { connection: 7, ending: Ending::Closed });
        let violations = check(&record.plan, &record.entries);
        assert_eq!(
            violations == [Violation::Unanswered { connection: 7, requests: 1 }],
            found,
            "{violations:?}"
        );
    }
}

/// Runs a proxy against a pilot that closes each of 30 connections after an order, and returns what is found. The first
/// heartbeat of each connection is read, and answered if `answers` is set; otherwise all that follows is read as well.
///
/// The order, whose mark the proxy acknowledges, arrives at about the time of its second heartbeat, so that it often writes
/// both after the close.
fn violations_of_closed_connections(answers: bool) -> Vec<Violation> {
    let (listener, shared) = fake_pilot();
    let client = std::thread::spawn({
        let shared = shared.clone();
        move || run_proxy(shared, 0)
    });
    for delay in (38..44).cycle().take(30) {
        let (stream, _) = listener.accept().unwrap();
        read_heartbeat(&stream);
        if answers {
            (&stream).write_all(b"{\"msg\":\"hb_ok\"}\n").unwrap();
        }
        std::thread::sleep(Duration::from_millis(delay));
        let order = b"{\"msg\":\"assign\",\"endpoints\":[[\"s-0\",1.0]],\"nonce_out\":1}\n";
        (&stream).write_all(order).unwrap();
        if !answers {
            // What has arrived is read, as unread bytes would reset the connection.
            stream.set_nonblocking(true).unwrap();
            while matches!((&stream).read(&mut [0; 256]), Ok(1..)) {}
        }
    }
    shared.finished.store(true, Ordering::SeqCst);
    drop(listener);
    client.join().unwrap();
    let mut found = check(&shared.plan, &shared.recorder.take());
    found.retain(|violation| matches!(violation, Violation::Unanswered { .. }));
    found
}

fn read_heartbeat(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut message = String::new();
    while !message.contains("\"hb\"") {
        message.clear();
        reader.read_line(&mut message).unwrap();
    }
}

/// A request that was written after the pilot had closed the connection was taken for one that it had read: the reset in
/// answer to an earlier write was reported by the next write and forgotten. Uses real sockets.
#[test]
fn a_request_after_a_close_is_not_taken_for_read() {
    assert_eq!(violations_of_closed_connections(true), []);
}

/// Writes after the close do not excuse a request that was read before it. Uses real sockets.
#[test]
fn a_request_before_a_close_is_found_whatever_is_written_afterwards() {
    let found = violations_of_closed_connections(false);
    // One that arrives between the last read and the close resets its connection, which excuses it.
    assert!(found.len() >= 15, "{} of 30 connections: {found:?}", found.len());
}

/// Only a kill without a preceding SIGTERM excuses unanswered requests.
#[test]
fn a_kill_without_sigterm_excuses_unanswered_requests() {
    for (exit, excused) in [(Exit::KilledUnasked, true), (Exit::Status(Some(0)), false)] {
        let mut record = Record::started();
        record.add_connection(2.0, 1, 0, Ending::Closed);
        record.at(2.5, Event::Exited { life: 0, exit });
        assert_eq!(check(&record.plan, &record.entries).is_empty(), excused);
    }
}

#[test]
fn a_proxy_without_a_usable_server_is_found() {
    let mut record = Record::started();
    record.at(2.0, Event::Holding { proxy: 1, table: table(&["s-unlisted"]), admitted: 1.0 });
    record.at(5.2, Event::Ready { life: 1 });
    record.at(5.4, Event::Ready { life: 1 });
    let found = record.violations();
    assert!(matches!(found[..], [Violation::NoUsableServer { proxy: 1, .. }]), "{found:?}");
}

#[test]
fn a_table_with_a_draining_server_is_found() {
    let mut record = Record::started();
    record.at(2.0, Event::Closed { server: "s-0".to_string() });
    record.at(2.5, Event::Holding { proxy: 0, table: table(&["s-1"]), admitted: 1.0 });
    let found = record.violations();
    assert!(
        matches!(&found[..], [Violation::NotDrained { proxy: 1, server, .. }] if server == "s-0"),
        "{found:?}"
    );
}

/// With eight servers, each has a capacity of 5 requests per second; at its start a server bears 2.5 times 0.15 of
/// that. Two proxies send 20.
#[test]
fn an_overloaded_cold_server_is_found() {
    for (admitted, overloaded) in [(1.0, true), (0.05, false)] {
        let mut record = Record::started();
        record.plan.servers = 8;
        record.at(2.0, Event::Listed { server: "s-2".to_string(), started: 2.0 });
        for proxy in 0..2 {
            record.at(2.1, Event::Holding { proxy, table: table(&["s-2"]), admitted });
        }
        record.at(2.2, Event::Answered { connection: 0 });
        record.at(4.6, Event::Answered { connection: 0 });
        let found = record.violations();
        assert_eq!(
            matches!(&found[..], [Violation::ColdServerOverloaded { server, .. }] if server == "s-2"),
            overloaded,
            "{found:?}"
        );
        assert!(overloaded || found.is_empty(), "{found:?}");
    }
}

#[test]
fn unexpected_exits_are_found() {
    for exit in [Exit::Status(Some(1)), Exit::Status(None), Exit::KilledLate, Exit::Unbidden] {
        let mut record = Record::started();
        record.at(2.0, Event::Exited { life: 0, exit });
        let found = check(&record.plan, &record.entries);
        assert_eq!(found, [Violation::UnexpectedExit { process: 0, exit }]);
    }
}

#[test]
fn a_process_that_is_never_ready_is_found() {
    let mut record = Record::started();
    record.at(2.0, Event::Started { life: 1 });
    assert_eq!(record.violations(), [Violation::NotReady { process: 1 }]);
}

#[test]
fn a_panic_is_found() {
    let mut record = Record::started();
    let line = "thread 'main' panicked at src/main.rs".to_string();
    record.at(2.0, Event::Panicked { life: 0, line: line.clone() });
    assert_eq!(record.violations(), [Violation::Panicked { process: 0, line }]);
}

#[test]
fn growth_and_exceeded_limits_of_memory_and_descriptors_are_found() {
    let found = |memory: fn(u64) -> u64, descriptors: fn(u64) -> u64| {
        let mut record = Record::started();
        for second in 0..80 {
            let (memory, descriptors) = (memory(second), descriptors(second));
            record.at(second as f64, Event::Holds { life: 0, memory, descriptors });
        }
        check(&record.plan, &record.entries)
    };
    assert_eq!(found(|_| 4000, |second| 20 + second % 7), []);
    assert!(matches!(
        found(|second| 4000 + 100 * second, |_| 20)[..],
        [Violation::ResourceGrowth { process: 0, .. }]
    ));
    assert!(matches!(
        found(|_| 4000, |second| 20 + second / 2)[..],
        [Violation::ResourceGrowth { process: 0, .. }]
    ));
    assert!(matches!(found(|_| 70_000, |_| 20)[..], [Violation::LimitExceeded { .. }, ..]));
    assert!(matches!(found(|_| 4000, |_| 900)[..], [Violation::LimitExceeded { .. }, ..]));
}

/// Runs the `soak` command; returns its exit status and output.
fn run_soak(arguments: &[&str]) -> (Option<i32>, String) {
    let finished =
        Command::new(env!("CARGO_BIN_EXE_oatlever-standins")).arg("soak").args(arguments).output().unwrap();
    let output = String::from_utf8_lossy(&finished.stdout) + String::from_utf8_lossy(&finished.stderr);
    (finished.status.code(), output.into_owned())
}

/// Half a minute of the soak; longer ones are run by hand.
#[test]
fn seeded_restarts_have_no_violations() {
    let (status, output) = run_soak(&["--runs", "6", "--seconds", "9", "--at-once", "2"]);
    assert_eq!(status, Some(0), "{output}");
}

/// The same over DNS and over both variants of xDS.
#[test]
fn seeded_restarts_over_dns_and_xds_keep_the_rules() {
    let (status, output) = run_soak(&["--front", "all", "--runs", "2", "--seconds", "10", "--at-once", "2"]);
    assert_eq!(status, Some(0), "{output}");
}

/// A day fails if its pilot exits after SIGTERM with a status other than 0. The output contains the command to repeat
/// it.
#[cfg(unix)]
#[test]
fn a_day_fails_if_its_pilot_exits_with_an_error() {
    use std::os::unix::fs::PermissionsExt;
    let pilot = Path::new(env!("CARGO_BIN_EXE_oatlever-standins")).with_file_name("oatlever");
    let wrapped = std::env::temp_dir().join(format!("oatlever-soak-bad-{}", std::process::id()));
    // The shell redirects standard input of a background command from /dev/null, so it is duplicated first.
    let script =
        format!("#!/bin/sh\ntrap 'exit 3' TERM\nexec 3<&0\n{} \"$@\" <&3 &\nwait\n", pilot.display());
    std::fs::write(&wrapped, script).unwrap();
    std::fs::set_permissions(&wrapped, std::fs::Permissions::from_mode(0o755)).unwrap();
    let (status, output) = run_soak(&[
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
    assert_eq!(status, Some(1), "{output}");
    assert!(output.contains("a day ended with exit status: 2") && output.contains("again: "), "{output}");
}
