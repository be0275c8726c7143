//! Tests of the program as a process: its command line, its shutdown, and misbehaving clients.

use domain::base::iana::{Class, Rcode, Rtype};
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::Srv;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Longer than any step takes on a busy machine, so that only a fault reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("oatlever-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let (path, fresh) = (self.0.join(name), self.0.join(format!("{name}.fresh")));
        std::fs::write(&fresh, text).unwrap();
        std::fs::rename(&fresh, &path).unwrap();
        path
    }

    fn list(&self, servers: std::ops::Range<u8>) {
        let targets: Vec<String> = servers.map(|n| format!("10.0.0.{n}:7000")).collect();
        self.write("servers.json", &json!([{"targets": targets, "labels": {"zone": "north"}}]).to_string());
    }

    fn settings(&self) -> Value {
        json!({
            "zones": ["north"],
            "classes": [{"name": "search", "benefit": 1, "due_time": 2}],
            "rules": {"drain_grace": 3, "without_server": 3, "cold_share": 0.2, "warm_within": 10,
                      "fall_multiple": 2.5},
            "channel": {"lines_per_second": 10000, "most_waiting": 10000},
            "roster": {"source": format!("file://{}/servers.json", self.0.display()), "period": 0.1,
                       "patience": 0.1, "cache": format!("{}/kept.json", self.0.display())},
            "reports": {"period": 0.5, "patience": 0.4},
            "askers": [{"name": "all", "zone": "north", "prefixes": ["127.0.0.0/8"], "usual_rate": 5}],
            "dns": {"listen": ["127.0.0.1:0"], "origin": "shops.test", "address": "127.0.0.1",
                    "lifetime": 1, "overstay": 0.5,
                    "limits": {"answers_per_second": 50, "burst": 100, "prefix_bits": 32, "prefixes": 1024,
                               "connections": 64, "connections_each": 8, "idle": 1.0}},
            "status": {"listen": "127.0.0.1:0", "away_after": 5}
        })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oatlever")).args(arguments).output().unwrap()
}

struct Pilot {
    child: Child,
    dns: std::net::SocketAddr,
    status: std::net::SocketAddr,
}

impl Pilot {
    /// Starts a pilot and waits until it has logged its addresses.
    fn start(settings: &std::path::Path) -> Pilot {
        let mut child = Command::new(env!("CARGO_BIN_EXE_oatlever"))
            .args(["pilot", settings.to_str().unwrap(), "--log", "json", "--seed", "1"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut host = |what: &str| loop {
            let line = lines.next().expect("a log line").unwrap();
            let entry: Value = serde_json::from_str(&line).expect("a line of JSON");
            if entry["fields"]["message"] == what {
                return entry["fields"]["host"].as_str().unwrap().parse().unwrap();
            }
        };
        let (dns, status) = (host("answering DNS"), host("serving status"));
        // The thread keeps reading the log, so that the pilot never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Pilot { child, dns, status }
    }

    /// Sends a DNS query from an address and returns the answer, if one arrives in time.
    fn query(&self, source: [u8; 4]) -> Option<Message<Vec<u8>>> {
        let socket = UdpSocket::bind((Ipv4Addr::from(source), 0)).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        socket.send_to(&question(), self.dns).unwrap();
        let mut packet = vec![0; 4096];
        let length = socket.recv(&mut packet).ok()?;
        packet.truncate(length);
        Message::from_octets(packet).ok()
    }

    /// Repeats a DNS query until its answer meets a condition.
    fn query_until(&self, description: &str, condition: impl Fn(&Message<Vec<u8>>) -> bool) {
        let started = Instant::now();
        while !self.query([127, 0, 0, 1]).is_some_and(|answer| condition(&answer)) {
            assert!(started.elapsed() < TIMEOUT, "timed out waiting for {description}");
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    fn page(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.status).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text.split_once("\r\n\r\n").unwrap().1.to_string()
    }

    /// Resident memory, KiB.
    fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Sends SIGTERM and waits for the exit. Returns the exit status and the time it took.
    fn terminate(mut self) -> (Option<i32>, Duration) {
        let started = Instant::now();
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        (self.child.wait().unwrap().code(), started.elapsed())
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn question() -> Vec<u8> {
    let mut builder = MessageBuilder::new_vec().question();
    let name = Name::<Vec<u8>>::from_chars("_search._tcp.shops.test".chars()).unwrap();
    builder.push((name, Rtype::SRV, Class::IN)).unwrap();
    let mut additional = builder.additional();
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(1232);
            Ok(())
        })
        .unwrap();
    additional.finish()
}

/// The number of SRV records in an answer.
fn count_records(message: &Message<Vec<u8>>) -> usize {
    message.answer().unwrap().limit_to::<Srv<_>>().flatten().count()
}

#[test]
fn invalid_settings_and_arguments_are_reported_with_status_2() {
    let folder = Folder::new("invalid");
    let mut settings = folder.settings();
    settings["dns"]["lifetime"] = json!(30);
    settings["zones"] = json!(["north", "north"]);
    let path = folder.write("settings.json", &settings.to_string());
    for command in ["check", "pilot"] {
        let output = program(&[command, path.to_str().unwrap()]);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains("/dns/lifetime: found lifetime 30 + overstay 0.5 = 30.5 s"), "{errors}");
        assert!(errors.contains("/zones/1: found \"north\""), "{errors}");
    }
    let missing = program(&["check", "/nowhere/settings.json"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8(missing.stderr).unwrap().contains("/nowhere/settings.json"));
    for arguments in [&["pilot"][..], &["pilot", "x", "--fast"], &["fly"], &["pilot", "x", "--seed", "-"]] {
        assert_eq!(program(arguments).status.code(), Some(2), "{arguments:?}");
    }
    let schema = program(&["schema"]);
    assert!(schema.status.success());
    assert!(serde_json::from_slice::<Value>(&schema.stdout).unwrap()["properties"]["dns"].is_object());
}

#[test]
fn a_port_in_use_is_reported_with_status_1() {
    let folder = Folder::new("taken");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = listener.local_addr().unwrap().to_string();
    for (at, place) in [("/dns/listen/0", "/dns/listen"), ("/status/listen", "/status/listen")] {
        let mut settings = folder.settings();
        let value = if at == place { json!(host) } else { json!([host]) };
        *settings.pointer_mut(place).unwrap() = value;
        let path = folder.write("settings.json", &settings.to_string());
        let output = program(&["pilot", path.to_str().unwrap()]);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{errors}");
        assert!(errors.contains(at) && errors.contains(&host) && errors.contains("TCP"), "{errors}");
    }
}

#[test]
fn it_answers_explains_changes_and_shuts_down_cleanly() {
    let folder = Folder::new("well");
    folder.list(1..4);
    let pilot = Pilot::start(&folder.write("settings.json", &folder.settings().to_string()));
    pilot.query_until("three lines", |answer| count_records(answer) == 3);
    let changes: Value = serde_json::from_str(&pilot.page("/changes?server=10.0.0.2:7000")).unwrap();
    assert_eq!(changes[0]["lines"]["10.0.0.2:7000"][0], 0.0, "{changes}");
    assert!(changes[0]["news"]["lists"].is_u64() && changes[0]["round"].is_u64(), "{changes}");
    assert_eq!(pilot.page("/changes?table=x").trim(), "\"table=x\": expected a table's number");
    let status: Value = serde_json::from_str(&pilot.page("/status")).unwrap();
    assert_eq!((&status["askers"][0]["up"], &status["tables"][0]["users"]), (&json!(true), &json!(1)));
    let metrics = pilot.page("/metrics");
    assert!(metrics.ends_with("# EOF\n") && metrics.contains("\noatlever_servers_listed 3"), "{metrics}");
    // A query over TCP that is under way on shutdown is still answered.
    let mut stream = TcpStream::connect(pilot.dns).unwrap();
    let packet = question();
    stream.write_all(&(packet.len() as u16).to_be_bytes()).unwrap();
    stream.write_all(&packet).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut length = [0; 2];
    stream.read_exact(&mut length).unwrap();
    let (code, took) = pilot.terminate();
    assert_eq!(code, Some(0));
    assert!(took < Duration::from_secs(2), "{took:?}");
    let mut answer = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(count_records(&Message::from_octets(answer).unwrap()), 3);
}

/// A table is rolled back to an old version and released again by commands. Drains apply to the frozen table. Errors
/// state the reason.
#[test]
fn tables_are_rolled_back_and_released_by_command() {
    let folder = Folder::new("back");
    folder.list(1..5);
    let socket = folder.0.join("control");
    let mut settings = folder.settings();
    settings["control"] = json!({"socket": socket.to_str().unwrap(), "versions": 20});
    let settings = folder.write("settings.json", &settings.to_string());
    let pilot = Pilot::start(&settings);
    pilot.query_until("four lines", |answer| count_records(answer) == 4);
    let tables = |arguments: &[&str]| -> Result<Value, String> {
        let done = program(&[&["tables", "--socket", socket.to_str().unwrap()], arguments].concat());
        match done.status.code() {
            Some(0) => Ok(serde_json::from_slice(&done.stdout).unwrap()),
            code => Err(format!("{code:?} {}", String::from_utf8(done.stderr).unwrap().trim())),
        }
    };
    let first = tables(&["list"]).unwrap()[0]["version"].as_u64().unwrap().to_string();
    folder.list(1..8);
    pilot.query_until("seven lines", |answer| count_records(answer) == 7);
    let second = tables(&["list"]).unwrap()[0]["version"].as_u64().unwrap().to_string();
    let shown = tables(&["show", "0", &first]).unwrap();
    assert_eq!(shown["lines"].as_object().unwrap().len(), 4, "{shown}");
    let differing = tables(&["diff", "0", &first, &second]).unwrap();
    assert_eq!(differing["10.0.0.7:7000"][0], Value::Null, "{differing}");
    tables(&["rollback", "0", &first]).unwrap();
    pilot.query_until("four lines again", |answer| count_records(answer) == 4);
    assert_eq!(tables(&["list"]).unwrap()[0]["frozen_at"].as_u64().unwrap().to_string(), first);
    folder.list(2..9);
    pilot.query_until("one of the four dropped", |answer| count_records(answer) == 3);
    tables(&["release", "0"]).unwrap();
    pilot.query_until("seven lines of the new list", |answer| count_records(answer) == 7);
    assert_eq!(tables(&["release", "0"]), Err("Some(1) oatlever: the table is not frozen".into()));
    assert_eq!(tables(&["show", "0", "999"]), Err("Some(1) oatlever: that version is not kept".into()));
    assert_eq!(tables(&["rollback", "9", "1"]), Err("Some(1) oatlever: there is no such table".into()));
    // A second pilot can't take the control socket, but one that follows a killed pilot can.
    let second = program(&["pilot", settings.to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8(second.stderr).unwrap().contains("another pilot listens there"));
    drop(pilot);
    assert!(tables(&["list"]).unwrap_err().contains("control"));
    let pilot = Pilot::start(&settings);
    pilot.query_until("lines of the next pilot", |answer| count_records(answer) == 7);
    assert!(tables(&["list"]).unwrap()[0]["frozen_at"].is_null());
}

/// Without a list of servers, queries fail at once with SERVFAIL. A cached list serves until a new one is read.
#[test]
fn a_start_without_discovery_uses_the_cached_list() {
    let folder = Folder::new("kept");
    let settings = folder.write("settings.json", &folder.settings().to_string());
    let pilot = Pilot::start(&settings);
    pilot.query_until("SERVFAIL without a list", |answer| answer.header().rcode() == Rcode::SERVFAIL);
    folder.list(1..6);
    pilot.query_until("five lines", |answer| count_records(answer) == 5);
    // The pilot is killed, and the list is gone when it restarts.
    drop(pilot);
    std::fs::remove_file(folder.0.join("servers.json")).unwrap();
    let pilot = Pilot::start(&settings);
    pilot.query_until("five lines from the cached list", |answer| count_records(answer) == 5);
    folder.write("servers.json", "[{\"targets\": [\"10.0.0.1:70");
    std::thread::sleep(Duration::from_millis(300));
    pilot.query_until("five lines with a truncated list", |answer| count_records(answer) == 5);
    folder.list(1..3);
    pilot.query_until("two lines of the new list", |answer| count_records(answer) == 2);
    drop(pilot);
    // A corrupt cached list is ignored.
    folder.write("kept.json", "[{\"server\": \"10.0.0.1:70");
    std::fs::remove_file(folder.0.join("servers.json")).unwrap();
    let pilot = Pilot::start(&settings);
    pilot.query_until("SERVFAIL with a corrupt cached list", |answer| {
        answer.header().rcode() == Rcode::SERVFAIL
    });
}

/// Clients are answered even if all servers have just started and there are no reports: with the guard and the ledger,
/// and for any configured usual rate.
#[test]
fn clients_are_answered_with_only_cold_servers() {
    for (name, usual_rate, guarded) in
        [("cold", 5.0, false), ("cold-0", 0.0, false), ("cold-guard", 5.0, true)]
    {
        let folder = Folder::new(name);
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs_f64();
        let targets: Vec<String> = (1..6).map(|n| format!("10.0.0.{n}:7000")).collect();
        let labels = json!({"zone": "north", "started": now.to_string()});
        folder.write("servers.json", &json!([{"targets": targets, "labels": labels}]).to_string());
        let mut settings = folder.settings();
        settings["askers"][0]["usual_rate"] = json!(usual_rate);
        // The servers stay cold for the whole test.
        settings["rules"]["warm_within"] = json!(600);
        if guarded {
            settings["guard"] = json!({"mode": "enforce"});
            settings["dns"]["ledger"] = json!({});
        }
        let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
        pilot.query_until("five lines", |answer| count_records(answer) == 5);
    }
}

/// With random bytes, floods, idle connections and slow ones, other clients are still answered, and memory stays
/// bounded.
#[test]
fn misbehaving_clients_do_not_affect_others() {
    let folder = Folder::new("peers");
    folder.list(1..20);
    let pilot = Pilot::start(&folder.write("settings.json", &folder.settings().to_string()));
    pilot.query_until("lines", |answer| count_records(answer) == 19);
    let before = pilot.memory();

    // A thousand idle connections from one address: that address gets its share of connections and no more.
    let idle: Vec<TcpStream> = (0..1000).filter_map(|_| TcpStream::connect(pilot.dns).ok()).collect();
    assert!(idle.len() > 500);
    let over_tcp = |source: [u8; 4]| {
        let socket = std::net::SocketAddr::from((source, 0));
        let stream = connect(socket, pilot.dns);
        let packet = question();
        let mut whole = (packet.len() as u16).to_be_bytes().to_vec();
        whole.extend(packet);
        (stream, whole)
    };
    let (mut stream, whole) = over_tcp([127, 0, 0, 8]);
    stream.write_all(&whole).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut length = [0; 2];
    stream.read_exact(&mut length).unwrap();

    // A connection that sends one byte at intervals is closed after the idle time and never answered.
    let (mut slow, whole) = over_tcp([127, 0, 0, 9]);
    let started = Instant::now();
    slow.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let closed = whole.iter().cycle().any(|byte| {
        assert!(started.elapsed() < TIMEOUT, "the slow connection is still open");
        let mut one = [0];
        slow.write_all(&[*byte]).is_err() || matches!(slow.read(&mut one), Ok(0))
    });
    assert!(closed && started.elapsed() >= Duration::from_millis(900), "{:?}", started.elapsed());

    // A flood of random bytes and queries from one address; another address is answered meanwhile.
    let mut random = oatlever::rng::Rng::new(9);
    let flood = UdpSocket::bind("127.0.0.7:0").unwrap();
    let packet = question();
    for n in 0..20_000 {
        let noise: Vec<u8> = (0..n % 300).map(|_| (random.f64() * 256.0) as u8).collect();
        let bytes = if n % 2 == 0 { &noise } else { &packet };
        let _ = flood.send_to(bytes, pilot.dns);
        if n % 1000 == 0 {
            pilot.query_until("an answer during the flood", |answer| count_records(answer) == 19);
        }
    }
    pilot.query_until("an answer after the flood", |answer| count_records(answer) == 19);
    let grown = pilot.memory().saturating_sub(before);
    assert!(grown < 20_000, "{grown} KiB more");
    let metrics = pilot.page("/metrics");
    let limited = metrics.lines().find_map(|line| line.strip_prefix("oatlever_dns_limited_total "));
    assert!(limited.unwrap().parse::<u64>().unwrap() > 1000, "{metrics}");
    assert_eq!(pilot.terminate().0, Some(0));
}

/// Opens a TCP connection from a given address.
fn connect(from: std::net::SocketAddr, to: std::net::SocketAddr) -> TcpStream {
    let connected = async_io::block_on(oatlever_fetch::connect(to, Some(from))).unwrap();
    let stream = connected.into_inner().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// `guard check` checks a table from files. An invalid file is reported by name, with status 2.
#[test]
fn a_table_is_checked_offline() {
    let folder = Folder::new("guard-check");
    let server = json!({"zone": 0, "listed": "ready", "weight": 1, "answered_ago": 0.5, "proven": 10});
    let host = |n: u8| format!("10.0.0.{n}:7000");
    let servers: serde_json::Map<_, _> = (0..4).map(|n| (host(n), server.clone())).collect();
    let even: serde_json::Map<_, _> = (0..4).map(|n| (host(n), json!(1))).collect();
    let state = json!({"servers": servers, "demand": 30, "in_place": even, "cold_share": 0.2,
                       "warm_within": 60, "fall_multiple": 2.5});
    let state = folder.write("state.json", &state.to_string());
    let check = |lines: Value| {
        let table = folder.write("table.json", &json!({"lines": lines}).to_string());
        let output = program(&["guard", "check", table.to_str().unwrap(), state.to_str().unwrap()]);
        let verdict = serde_json::from_slice::<Value>(&output.stdout).unwrap_or_default();
        (output.status.code(), verdict, output.stderr)
    };
    let (code, verdict, _) = check(json!(even));
    assert_eq!((code, &verdict["outcome"]), (Some(0), &json!("fine")));
    let (code, verdict, _) = check(json!({host(1): 1}));
    assert_eq!(
        (code, &verdict["outcome"], &verdict["findings"][0]["check"]),
        (Some(1), &json!("kept"), &json!("cut"))
    );
    assert_eq!(verdict["findings"][0]["found"], 0.75);
    assert_eq!(verdict["instead"][host(0)], 0.25);
    let (code, _, errors) = check(json!({"here": 1}));
    let errors = String::from_utf8(errors).unwrap();
    assert!(code == Some(2) && errors.contains("table.json") && errors.contains("\"here\""), "{errors}");
}

/// An operator freezes a table of a running pilot at lines that fail a check. The guard refuses and reports them, and
/// publishes them once the check is overridden.
#[test]
fn the_guard_of_a_running_pilot_takes_commands() {
    let folder = Folder::new("guard");
    folder.list(0..6);
    let socket = folder.0.join("control");
    let mut settings = folder.settings();
    settings["control"] = json!({"socket": socket.to_str().unwrap()});
    settings["guard"] = json!({"mode": "enforce"});
    // There are no reports and no health checks, so the guard has no evidence about servers. A pin still applies.
    let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
    pilot.query_until("six servers", |answer| count_records(answer) == 6);
    let run = |arguments: &[&str]| {
        let mut all = vec![arguments[0]];
        all.extend((arguments[0] == "guard").then_some("at"));
        all.extend(["--socket", socket.to_str().unwrap()]);
        all.extend(&arguments[1..]);
        let output = program(&all);
        match output.status.success() {
            true => Ok(serde_json::from_slice::<Value>(&output.stdout).unwrap()),
            false => Err(String::from_utf8(output.stderr).unwrap()),
        }
    };
    run(&["guard", "pin", "10.0.0.1:7000", "0", "0.5", "60"]).unwrap();
    assert!(run(&["guard", "pin", "10.0.0.1:7000", "0.9", "0.5", "60"]).unwrap_err().contains("lower one"));
    assert!(run(&["guard", "override", "everything", "me", "60"]).is_err());
    assert!(run(&["guard", "override", "pinned", "me", "1e9"]).unwrap_err().contains("86400"));
    let frozen = folder.write("lines.json", &json!({"10.0.0.1:7000": 9, "10.0.0.2:7000": 1}).to_string());
    let frozen = frozen.to_str().unwrap();
    run(&["tables", "lay", "0", frozen]).unwrap();
    let state = run(&["guard", "explain"]).unwrap();
    assert_eq!(state["verdicts"][0]["findings"][0]["check"], "pinned", "{state:#}");
    assert_eq!((&state["verdicts"][0]["outcome"], &state["pins"][0]["most"]), (&json!("kept"), &json!(0.5)));
    assert_eq!(count_records(&pilot.query([127, 0, 0, 1]).unwrap()), 6, "the table in place is kept");
    assert!(pilot.page("/metrics").contains("oatlever_guard_verdicts_total{outcome=\"kept\"}"));
    run(&["guard", "override", "pinned", "me", "60"]).unwrap();
    pilot.query_until("the frozen table", |answer| count_records(answer) == 2);
    run(&["tables", "release", "0"]).unwrap();
    pilot.query_until("six servers again", |answer| count_records(answer) == 6);
    assert!(run(&["tables", "lay", "0", "/nowhere"]).unwrap_err().contains("/nowhere"));
    let invalid = folder.write("lines.json", "[1]");
    assert!(run(&["tables", "lay", "0", invalid.to_str().unwrap()]).is_err());
}

/// A pilot with prices but no reports shows on `/status` that its plan is unknown. Plans are made offline from a model,
/// unchanged and with options, and invalid input is reported by name.
#[test]
fn plans_are_shown_and_made_offline() {
    let folder = Folder::new("plan");
    folder.list(0..6);
    let mut settings = folder.settings();
    let socket = folder.0.join("control");
    settings["control"] = json!({"socket": socket.to_str().unwrap()});
    settings["costs"] = json!({"prices": {"north": 2}});
    let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
    pilot.query_until("six servers", |answer| count_records(answer) == 6);
    let status: Value = serde_json::from_str(&pilot.page("/status")).unwrap();
    assert_eq!(status["plan"]["outcome"], "unknown");
    assert!(pilot.page("/metrics").contains("oatlever_plans_total{outcome=\"unknown\"}"));
    let price = |text: &str| program(&["price", "--socket", socket.to_str().unwrap(), text]).status.code();
    assert_eq!(
        (price("north=3"), price("west=3"), price("north=-1"), price("north")),
        (Some(0), Some(1), Some(1), Some(1))
    );

    let pool = |zone: u8, price: f64| json!({"zone": zone, "price": price, "capacity": 10});
    let model = json!({"zones": ["north", "south"], "classes": [{"name": "search", "work": 0.5, "benefit": 1}],
                       "pools": [pool(0, 1.0), pool(1, 3.0)], "demand": [[10], [16]]});
    let path = folder.write("model.json", &model.to_string());
    let plan = |options: &[&str]| {
        let output = program(&[&["plan", path.to_str().unwrap()], options].concat());
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code(), text)
    };
    let (code, text) = plan(&["--json"]);
    let value: Value = serde_json::from_str(&text).unwrap();
    // 13 units of work: 10 at price 1, 3 at price 3.
    assert!(code == Some(0) && (value["plan"]["cost"].as_f64().unwrap() - 19.0).abs() < 0.01, "{value:#}");
    let (code, text) = plan(&["--lost", "north"]);
    assert!(code == Some(1) && text.contains("does not fit by 3.00"), "{text}");
    let (code, text) = plan(&["--price", "north=5", "--demand", "0.5"]);
    assert!(
        code == Some(0) && text.contains("cost 19.5") && text.contains("without south: everything fits"),
        "{text}"
    );
    for invalid in [&["--lost", "west"], &["--price", "north"], &["--price", "north=x"]] {
        assert!(matches!(plan(invalid), (Some(2), text) if text.contains(invalid[1])), "{invalid:?}");
    }
    folder.write("model.json", &model.to_string().replace("0.5", "-0.5"));
    assert!(matches!(plan(&[]), (Some(2), text) if text.contains("/classes/0/work: -0.5")));
}
