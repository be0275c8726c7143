//! A pilot as a process, for tests: started, held, told and heard.

// Each test file uses a part of it.
#![allow(dead_code)]

use oatlever_standins::platform::{server, Peer};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// More than any step takes on a busy machine; reached only where something is wrong.
pub const LONG: Duration = Duration::from_secs(20);

pub struct Pilot {
    pub child: Child,
    pub host: SocketAddr,
    pub path: PathBuf,
    /// Lines of its log, as they come.
    log: Receiver<Value>,
}

pub fn configuration(discovery: SocketAddr, sockets: u32) -> Value {
    let lane = |name: &str, worth: f64| json!({"name": name, "slo-ms": 1000.0, "worth": worth});
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"version": 1, "full": true, "servers": [server("s-1", "up"), server("s-old", "up")]},
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

/// The message that a proxy joins with.
pub fn attach(proxy: u16) -> Value {
    json!({"msg": "attach", "proxy": proxy, "zone": "a", "weight": 2.5, "fresh": true})
}

pub fn written(name: &str, configuration: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("oatlever-{}-{name}.json", std::process::id()));
    std::fs::write(&path, configuration.to_string()).unwrap();
    path
}

/// What a program says that does not start for its configuration.
pub fn refused(name: &str, configuration: &Value) -> String {
    let path = written(name, configuration);
    let mut program = Command::new(env!("CARGO_BIN_EXE_oatlever"));
    let told = program.arg("platform").arg(&path).env_remove("BALANCER_LISTEN").output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(told.status.code(), Some(2));
    String::from_utf8(told.stderr).unwrap()
}

impl Pilot {
    pub fn start(name: &str, configuration: &Value) -> Pilot {
        Pilot::start_by(&mut Command::new(env!("CARGO_BIN_EXE_oatlever")), name, configuration)
    }

    /// Starts one and waits until it says where it listens.
    pub fn start_by(program: &mut Command, name: &str, configuration: &Value) -> Pilot {
        let path = written(name, configuration);
        Pilot::spawn(program, path).serving()
    }

    /// Starts one on a file that is there, and does not wait.
    pub fn spawn(program: &mut Command, path: PathBuf) -> Pilot {
        let command = program.args(["platform", path.to_str().unwrap(), "--log", "json"]);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (tell, log) = channel();
        // The log is read on, so that the pilot never waits for a full pipe.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                drop(tell.send(serde_json::from_str(&line).unwrap_or(Value::String(line))));
            }
        });
        Pilot { child, host: ([0, 0, 0, 0], 0).into(), path, log }
    }

    /// Waits until it says where it listens.
    pub fn serving(mut self) -> Pilot {
        self.host = self.logged("serving the platform")["host"].as_str().unwrap().parse().unwrap();
        self
    }

    /// Waits for a line of the log, and gives its fields.
    pub fn logged(&self, message: &str) -> Value {
        loop {
            let line = self.log.recv_timeout(LONG).unwrap_or_else(|_| panic!("no line {message:?}"));
            if line["fields"]["message"] == message {
                return line["fields"].clone();
            }
        }
    }

    /// Waits until the counts in its log have some text in them.
    pub fn counted(&self, part: &str) {
        let begun = Instant::now();
        loop {
            let counts = self.logged("so far")["counts"].to_string();
            if counts.contains(part) {
                return;
            }
            assert!(begun.elapsed() < LONG, "{counts}");
        }
    }

    /// Holds the process, so that what is done meanwhile meets it at once, in one turn.
    pub fn hold(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
    }

    pub fn release(&self) {
        self.signal("-CONT");
    }

    /// A connection on which it has answered, so that it is accepted.
    pub fn accepted(&self) -> Peer {
        let mut peer = self.dial();
        peer.say(json!({"msg": "hb"})).unwrap();
        assert_eq!(peer.hear().unwrap().unwrap()["msg"], "hb_ok");
        peer
    }

    /// Status after its end, which must come by itself.
    pub fn ended(&mut self) -> Option<i32> {
        let begun = Instant::now();
        while begun.elapsed() < LONG {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        panic!("it does not end");
    }

    pub fn dial(&self) -> Peer {
        Peer::dial(self.host, LONG).unwrap()
    }

    /// Joins a proxy and waits for its table.
    pub fn proxy(&self, number: u16, named: &str) -> Peer {
        let mut peer = self.dial();
        peer.say(attach(number)).unwrap();
        assert!(peer.holds(LONG, |table| table.contains_key(named)), "{:?}", peer.table);
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
