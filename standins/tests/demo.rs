//! The demo's pilot must end with the demo, even if that is killed, and the demo must end if its pilot does.
//!
//! Guards against orphaned pilots: a pilot that outlived its demo kept the ports, so that the next demo's pilot exited
//! at once, and that demo hung after its first line because it didn't notice the exit.

#![cfg(target_os = "linux")]

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of each wait, far above what a step takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running demo that has printed its first second.
struct Demo {
    child: Child,
    pilot: u32,
}

fn demo_command(realm: u8, seconds: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oatlever-standins"));
    command.args(["demo", "--realm", &realm.to_string(), "--seconds", seconds]);
    command
}

fn children(process: u32) -> Vec<u32> {
    let path = format!("/proc/{process}/task/{process}/children");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().map(|id| id.parse().unwrap()).collect()
}

fn is_running(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timeout: {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn signal(process: u32, name: &str) {
    assert!(Command::new("kill").args([name, &process.to_string()]).status().unwrap().success());
}

impl Demo {
    fn start(realm: u8) -> Demo {
        let mut child =
            demo_command(realm, "60").stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("1 s  service")), "the demo does not start");
        // The rest is read as well, as a full pipe would block the demo.
        std::thread::spawn(move || lines.for_each(drop));
        let pilots = children(child.id());
        assert_eq!(pilots.len(), 1);
        Demo { child, pilot: pilots[0] }
    }

    /// Waits for the exit; returns the exit status and standard error.
    fn wait(mut self) -> (Option<i32>, String) {
        let start = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            if start.elapsed() > TIMEOUT {
                self.child.kill().unwrap();
                panic!("the demo does not exit");
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let mut errors = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
        (status.code(), errors)
    }
}

#[test]
fn the_pilot_ends_with_the_demo_and_frees_its_ports() {
    const REALM: u8 = 7;
    for name in ["-TERM", "-INT", "-KILL"] {
        let demo = Demo::start(REALM);
        let pilot = demo.pilot;
        signal(demo.child.id(), name);
        demo.wait();
        wait_until("the pilot has exited", || !is_running(pilot));
    }
    let output = demo_command(REALM, "1").output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn the_demo_ends_with_its_pilot() {
    let demo = Demo::start(8);
    signal(demo.pilot, "-KILL");
    let (status, errors) = demo.wait();
    assert_eq!(status, Some(2), "{errors}");
    assert!(errors.contains("the pilot exited unexpectedly"), "{errors}");
}

#[test]
fn a_demo_whose_pilot_fails_to_start_prints_its_last_log_line() {
    const REALM: u8 = 9;
    let first = Demo::start(REALM);
    let pilot = first.pilot;
    let mut second = demo_command(REALM, "5").stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let mut errors = String::new();
    second.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
    assert_eq!(second.wait().unwrap().code(), Some(2), "{errors}");
    assert!(errors.contains("cannot listen on"), "{errors}");
    signal(first.child.id(), "-TERM");
    first.wait();
    wait_until("the pilot has exited", || !is_running(pilot));
}
