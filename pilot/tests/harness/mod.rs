//! Runs a pilot on the platform as a process, for tests.

// Each test file uses only a part of the harness.
#![allow(dead_code)]

use oatlever_standins::platform::{server_entry, Peer};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Longer than any step takes on a busy machine, so that only a fault reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub struct Pilot {
    pub child: Child,
    pub host: SocketAddr,
    pub path: PathBuf,
    /// The lines of its log.
    log: Receiver<Value>,
}

/// A configuration for two zones and two classes, with a limit of file descriptors.
pub fn configuration(discovery: SocketAddr, sockets: u32) -> Value {
    let lane = |name: &str, worth: f64| json!({"name": name, "slo-ms": 1000.0, "worth": worth});
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"version": 1, "full": true, "servers": [server_entry("s-1", "up"), server_entry("s-old", "up")]},
        "settings": {
            "family-info": {"egress-per-s": 8600.0, "head": 4.0, "level-kind": "share", "partitions-n": 0,
                "data-plane-size": 9, "choice": "weighted", "period-ms": 1000.0, "queue-cap": 8600.0,
                "reloads-max": 0, "transit-max-ms": 545.0, "update-window-ms": 10000.0,
                "write-life-ms": 4020.0},
            "lanes": [lane("lookup", 1.0), lane("order", 3.0)],
            "limits": {"probes": false, "connect-timeout-ms": 300.0},
            "registry-mode": "pushed", "siblings": 1, "tick-ms": 2.0, "zones": ["a", "b"],
            "rules": {"ask-within-ms": 10000.0, "fall-multiple": 2.5, "start-capacity": 0.15,
                "warm-within-ms": 16000.0}
        }
    })
}

/// The join message of a proxy.
pub fn attach(proxy: u16) -> Value {
    json!({"msg": "attach", "proxy": proxy, "zone": "a", "weight": 2.5, "fresh": true})
}

/// Writes a configuration to a temporary file.
pub fn write_configuration(name: &str, configuration: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("oatlever-{}-{name}.json", std::process::id()));
    std::fs::write(&path, configuration.to_string()).unwrap();
    path
}

/// The error output of a pilot that refuses its configuration.
pub fn start_error(name: &str, configuration: &Value) -> String {
    let path = write_configuration(name, configuration);
    let mut program = Command::new(env!("CARGO_BIN_EXE_oatlever"));
    let output = program.arg("platform").arg(&path).env_remove("BALANCER_LISTEN").output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).unwrap()
}

impl Pilot {
    pub fn start(name: &str, configuration: &Value) -> Pilot {
        Pilot::start_with(&mut Command::new(env!("CARGO_BIN_EXE_oatlever")), name, configuration)
    }

    /// Starts a pilot with a given command and waits until it listens.
    pub fn start_with(program: &mut Command, name: &str, configuration: &Value) -> Pilot {
        let path = write_configuration(name, configuration);
        Pilot::spawn(program, path).wait_until_serving()
    }

    /// Starts a pilot with an existing configuration file, without waiting until it listens.
    pub fn spawn(program: &mut Command, path: PathBuf) -> Pilot {
        let command = program.args(["platform", path.to_str().unwrap(), "--log", "json"]);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, log) = channel();
        // The thread keeps reading the log, so that the pilot never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                drop(sender.send(serde_json::from_str(&line).unwrap_or(Value::String(line))));
            }
        });
        Pilot { child, host: ([0, 0, 0, 0], 0).into(), path, log }
    }

    /// Waits until the pilot listens, and records its address.
    pub fn wait_until_serving(mut self) -> Pilot {
        self.host = self.wait_for_log("serving the platform")["host"].as_str().unwrap().parse().unwrap();
        self
    }

    /// Waits for a log line with a message and returns its fields.
    pub fn wait_for_log(&self, message: &str) -> Value {
        loop {
            let line = self.log.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no log line {message:?}"));
            if line["fields"]["message"] == message {
                return line["fields"].clone();
            }
        }
    }

    /// Waits until the counters in the log contain a text.
    pub fn wait_for_counts(&self, part: &str) {
        let started = Instant::now();
        loop {
            let counts = self.wait_for_log("so far")["counts"].to_string();
            if counts.contains(part) {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "{counts}");
        }
    }

    /// Stops the process, so that everything done until [`Pilot::resume`] reaches it in one turn of its event loop.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Opens a connection and waits for an answer on it, which shows that the pilot has accepted it.
    pub fn dial_accepted(&self) -> Peer {
        let mut peer = self.dial();
        peer.send_message(json!({"msg": "hb"})).unwrap();
        assert_eq!(peer.receive().unwrap().unwrap()["msg"], "hb_ok");
        peer
    }

    /// Waits until the process exits and returns its exit status; `None` if a signal killed it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        panic!("the pilot does not exit");
    }

    pub fn dial(&self) -> Peer {
        Peer::dial(self.host, TIMEOUT).unwrap()
    }

    /// Joins as a proxy and waits until its table lists a server.
    pub fn join_proxy(&self, number: u16, server: &str) -> Peer {
        let mut peer = self.dial();
        peer.send_message(attach(number)).unwrap();
        assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key(server)), "{:?}", peer.table);
        peer
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}
