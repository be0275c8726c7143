//! The demo's pilot ends with the demo, however that ends, and the demo with its pilot.
//!
//! What users saw: after a demo was ended by SIGTERM its pilot went on as an orphan and held the ports; the pilot of
//! the next demo ended at once as its ports were taken, and that demo printed its first line, nothing more, and did
//! not end. Nothing tied the two processes together, and nobody looked whether the pilot still ran.

#![cfg(target_os = "linux")]

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// More than any step takes on a busy machine; reached only where something is wrong.
const LONG: Duration = Duration::from_secs(20);

/// A demo that is on its way: its first second was told.
struct Demo {
    child: Child,
    pilot: u32,
}

fn demo(realm: u8, seconds: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oatlever-standins"));
    command.args(["demo", "--realm", &realm.to_string(), "--seconds", seconds]);
    command
}

fn children(process: u32) -> Vec<u32> {
    let path = format!("/proc/{process}/task/{process}/children");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().map(|id| id.parse().unwrap()).collect()
}

fn runs(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn signal(process: u32, name: &str) {
    assert!(Command::new("kill").args([name, &process.to_string()]).status().unwrap().success());
}

impl Demo {
    fn start(realm: u8) -> Demo {
        let mut child = demo(realm, "60").stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("1 s  service")), "the demo does not begin");
        // What it prints is read on, so that it never waits for a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        let pilots = children(child.id());
        assert_eq!(pilots.len(), 1);
        Demo { child, pilot: pilots[0] }
    }

    /// Its exit status and what it said to standard error.
    fn end(mut self) -> (Option<i32>, String) {
        let begun = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            if begun.elapsed() > LONG {
                self.child.kill().unwrap();
                panic!("the demo does not end");
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let mut said = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        (status.code(), said)
    }
}

#[test]
fn the_pilot_ends_with_the_demo_and_frees_its_ports() {
    const REALM: u8 = 7;
    for name in ["-TERM", "-INT", "-KILL"] {
        let demo = Demo::start(REALM);
        let pilot = demo.pilot;
        signal(demo.child.id(), name);
        demo.end();
        until("the pilot has ended", || !runs(pilot));
    }
    let played = demo(REALM, "1").output().unwrap();
    assert_eq!(played.status.code(), Some(0), "{}", String::from_utf8_lossy(&played.stderr));
}

#[test]
fn the_demo_ends_with_its_pilot() {
    let demo = Demo::start(8);
    signal(demo.pilot, "-KILL");
    let (status, said) = demo.end();
    assert_eq!(status, Some(2), "{said}");
    assert!(said.contains("the pilot ended by itself"), "{said}");
}

#[test]
fn a_pilot_that_does_not_start_ends_the_demo_with_its_last_words() {
    const REALM: u8 = 9;
    let first = Demo::start(REALM);
    let pilot = first.pilot;
    let mut second = demo(REALM, "5").stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let mut said = String::new();
    second.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(second.wait().unwrap().code(), Some(2), "{said}");
    assert!(said.contains("cannot listen on"), "{said}");
    signal(first.child.id(), "-TERM");
    first.end();
    until("the pilot has ended", || !runs(pilot));
}
