//! The program as a process: its command line, its end, and peers that mean no good.

use domain::base::iana::{Class, Rcode, Rtype};
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::Srv;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// More than any step takes on a busy machine; reached only where something is wrong.
const LONG: Duration = Duration::from_secs(20);

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
    /// Starts one and waits until it says where it listens.
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
        // The rest of the log is read on, so that the pilot never waits for a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Pilot { child, dns, status }
    }

    fn ask(&self, source: [u8; 4]) -> Option<Message<Vec<u8>>> {
        let socket = UdpSocket::bind((Ipv4Addr::from(source), 0)).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        socket.send_to(&question(), self.dns).unwrap();
        let mut packet = vec![0; 4096];
        let length = socket.recv(&mut packet).ok()?;
        packet.truncate(length);
        Message::from_octets(packet).ok()
    }

    /// Asks until the answer is as wanted.
    fn until(&self, what: &str, wanted: impl Fn(&Message<Vec<u8>>) -> bool) {
        let begun = Instant::now();
        while !self.ask([127, 0, 0, 1]).is_some_and(|answer| wanted(&answer)) {
            assert!(begun.elapsed() < LONG, "never: {what}");
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

    /// KiB of memory it holds.
    fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn end(mut self) -> (Option<i32>, Duration) {
        let begun = Instant::now();
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        (self.child.wait().unwrap().code(), begun.elapsed())
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

fn lines(message: &Message<Vec<u8>>) -> usize {
    message.answer().unwrap().limit_to::<Srv<_>>().flatten().count()
}

#[test]
fn wrong_settings_and_flags_are_told_and_end_with_2() {
    let folder = Folder::new("wrong");
    let mut settings = folder.settings();
    settings["dns"]["lifetime"] = json!(30);
    settings["zones"] = json!(["north", "north"]);
    let path = folder.write("settings.json", &settings.to_string());
    for command in ["check", "pilot"] {
        let done = program(&[command, path.to_str().unwrap()]);
        let told = String::from_utf8(done.stderr).unwrap();
        assert_eq!(done.status.code(), Some(2), "{told}");
        assert!(told.contains("/dns/lifetime: found lifetime 30 + overstay 0.5 = 30.5 s"), "{told}");
        assert!(told.contains("/zones/1: found \"north\""), "{told}");
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
fn a_taken_port_is_named_and_ends_with_1() {
    let folder = Folder::new("taken");
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = taken.local_addr().unwrap().to_string();
    for (at, place) in [("/dns/listen/0", "/dns/listen"), ("/status/listen", "/status/listen")] {
        let mut settings = folder.settings();
        let value = if at == place { json!(host) } else { json!([host]) };
        *settings.pointer_mut(place).unwrap() = value;
        let path = folder.write("settings.json", &settings.to_string());
        let done = program(&["pilot", path.to_str().unwrap()]);
        let told = String::from_utf8(done.stderr).unwrap();
        assert_eq!(done.status.code(), Some(1), "{told}");
        assert!(told.contains(at) && told.contains(&host) && told.contains("TCP"), "{told}");
    }
}

#[test]
fn it_answers_says_why_and_ends_well_when_told() {
    let folder = Folder::new("well");
    folder.list(1..4);
    let pilot = Pilot::start(&folder.write("settings.json", &folder.settings().to_string()));
    pilot.until("three lines", |answer| lines(answer) == 3);
    let changes: Value = serde_json::from_str(&pilot.page("/changes?server=10.0.0.2:7000")).unwrap();
    assert_eq!(changes[0]["lines"]["10.0.0.2:7000"][0], 0.0, "{changes}");
    assert!(changes[0]["news"]["lists"].is_u64() && changes[0]["round"].is_u64(), "{changes}");
    assert_eq!(pilot.page("/changes?table=x").trim(), "\"table=x\": expected a table's number");
    let status: Value = serde_json::from_str(&pilot.page("/status")).unwrap();
    assert_eq!((&status["askers"][0]["up"], &status["tables"][0]["users"]), (&json!(true), &json!(1)));
    let metrics = pilot.page("/metrics");
    assert!(metrics.ends_with("# EOF\n") && metrics.contains("\noatlever_servers_listed 3"), "{metrics}");
    // A question over TCP is under way when the end is asked for: the answer comes all the same.
    let mut stream = TcpStream::connect(pilot.dns).unwrap();
    let packet = question();
    stream.write_all(&(packet.len() as u16).to_be_bytes()).unwrap();
    stream.write_all(&packet).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut length = [0; 2];
    stream.read_exact(&mut length).unwrap();
    let (code, took) = pilot.end();
    assert_eq!(code, Some(0));
    assert!(took < Duration::from_secs(2), "{took:?}");
    let mut answer = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(lines(&Message::from_octets(answer).unwrap()), 3);
}

/// Back to an old version on command, and on again; drains go through meanwhile. Errors say what is wrong.
#[test]
fn tables_go_back_on_command_and_on_again() {
    let folder = Folder::new("back");
    folder.list(1..5);
    let socket = folder.0.join("control");
    let mut settings = folder.settings();
    settings["control"] = json!({"socket": socket.to_str().unwrap(), "versions": 20});
    let settings = folder.write("settings.json", &settings.to_string());
    let pilot = Pilot::start(&settings);
    pilot.until("four lines", |answer| lines(answer) == 4);
    let tables = |arguments: &[&str]| -> Result<Value, String> {
        let done = program(&[&["tables", "--socket", socket.to_str().unwrap()], arguments].concat());
        match done.status.code() {
            Some(0) => Ok(serde_json::from_slice(&done.stdout).unwrap()),
            code => Err(format!("{code:?} {}", String::from_utf8(done.stderr).unwrap().trim())),
        }
    };
    let first = tables(&["list"]).unwrap()[0]["version"].as_u64().unwrap().to_string();
    folder.list(1..8);
    pilot.until("seven lines", |answer| lines(answer) == 7);
    let second = tables(&["list"]).unwrap()[0]["version"].as_u64().unwrap().to_string();
    let shown = tables(&["show", "0", &first]).unwrap();
    assert_eq!(shown["lines"].as_object().unwrap().len(), 4, "{shown}");
    let differing = tables(&["diff", "0", &first, &second]).unwrap();
    assert_eq!(differing["10.0.0.7:7000"][0], Value::Null, "{differing}");
    tables(&["rollback", "0", &first]).unwrap();
    pilot.until("four lines again", |answer| lines(answer) == 4);
    assert_eq!(tables(&["list"]).unwrap()[0]["frozen_at"].as_u64().unwrap().to_string(), first);
    folder.list(2..9);
    pilot.until("one of the four dropped", |answer| lines(answer) == 3);
    tables(&["release", "0"]).unwrap();
    pilot.until("seven lines of the new list", |answer| lines(answer) == 7);
    assert_eq!(tables(&["release", "0"]), Err("Some(1) oatlever: the table is not frozen".into()));
    assert_eq!(tables(&["show", "0", "999"]), Err("Some(1) oatlever: that version is not kept".into()));
    assert_eq!(tables(&["rollback", "9", "1"]), Err("Some(1) oatlever: there is no such table".into()));
    // A second pilot does not take the socket; one that follows a killed one does.
    let second = program(&["pilot", settings.to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8(second.stderr).unwrap().contains("another pilot listens there"));
    drop(pilot);
    assert!(tables(&["list"]).unwrap_err().contains("control"));
    let pilot = Pilot::start(&settings);
    pilot.until("lines of the next pilot", |answer| lines(answer) == 7);
    assert!(tables(&["list"]).unwrap()[0]["frozen_at"].is_null());
}

/// Without a list nothing can be answered, and that is said at once; a kept list does until there is one.
#[test]
fn a_start_without_the_roster_goes_by_the_kept_list() {
    let folder = Folder::new("kept");
    let settings = folder.write("settings.json", &folder.settings().to_string());
    let pilot = Pilot::start(&settings);
    pilot.until("no list, no answer", |answer| answer.header().rcode() == Rcode::SERVFAIL);
    folder.list(1..6);
    pilot.until("five lines", |answer| lines(answer) == 5);
    // kill -9, and the roster is gone.
    drop(pilot);
    std::fs::remove_file(folder.0.join("servers.json")).unwrap();
    let pilot = Pilot::start(&settings);
    pilot.until("five lines from the kept list", |answer| lines(answer) == 5);
    folder.write("servers.json", "[{\"targets\": [\"10.0.0.1:70");
    std::thread::sleep(Duration::from_millis(300));
    pilot.until("five lines with half a list", |answer| lines(answer) == 5);
    folder.list(1..3);
    pilot.until("two lines of the new list", |answer| lines(answer) == 2);
    drop(pilot);
    // A kept list that was spoiled is left aside.
    folder.write("kept.json", "[{\"server\": \"10.0.0.1:70");
    std::fs::remove_file(folder.0.join("servers.json")).unwrap();
    let pilot = Pilot::start(&settings);
    pilot.until("no list at all", |answer| answer.header().rcode() == Rcode::SERVFAIL);
}

/// Where all servers have just started and nothing was reported, clients are answered all the same: through the
/// guard and the ledger, whatever rate they are said to bring.
#[test]
fn clients_among_cold_servers_alone_are_answered() {
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
        // They stay cold for longer than anything is waited for.
        settings["rules"]["warm_within"] = json!(600);
        if guarded {
            settings["guard"] = json!({"mode": "enforce"});
            settings["dns"]["ledger"] = json!({});
        }
        let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
        pilot.until("five lines", |answer| lines(answer) == 5);
    }
}

/// Random bytes, floods, and connections that are silent or trickle: others go on being answered, and
/// memory stays bounded.
#[test]
fn bad_peers_hurt_nobody_else() {
    let folder = Folder::new("peers");
    folder.list(1..20);
    let pilot = Pilot::start(&folder.write("settings.json", &folder.settings().to_string()));
    pilot.until("lines", |answer| lines(answer) == 19);
    let before = pilot.memory();

    // A thousand connections that stay silent, from one address: it gets its part, no more.
    let silent: Vec<TcpStream> = (0..1000).filter_map(|_| TcpStream::connect(pilot.dns).ok()).collect();
    assert!(silent.len() > 500);
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
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut length = [0; 2];
    stream.read_exact(&mut length).unwrap();

    // One byte now and then: it is closed after the stated time, answered never.
    let (mut slow, whole) = over_tcp([127, 0, 0, 9]);
    let begun = Instant::now();
    slow.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let closed = whole.iter().cycle().any(|byte| {
        assert!(begun.elapsed() < LONG, "the slow one is still open");
        let mut one = [0];
        slow.write_all(&[*byte]).is_err() || matches!(slow.read(&mut one), Ok(0))
    });
    assert!(closed && begun.elapsed() >= Duration::from_millis(900), "{:?}", begun.elapsed());

    // Floods of random bytes and of questions from one address; another is answered meanwhile.
    let mut rng = oatlever::rng::Rng::new(9);
    let flood = UdpSocket::bind("127.0.0.7:0").unwrap();
    let packet = question();
    for n in 0..20_000 {
        let noise: Vec<u8> = (0..n % 300).map(|_| (rng.f64() * 256.0) as u8).collect();
        let bytes = if n % 2 == 0 { &noise } else { &packet };
        let _ = flood.send_to(bytes, pilot.dns);
        if n % 1000 == 0 {
            pilot.until("an answer amid the flood", |answer| lines(answer) == 19);
        }
    }
    pilot.until("an answer after it all", |answer| lines(answer) == 19);
    let grown = pilot.memory().saturating_sub(before);
    assert!(grown < 20_000, "{grown} KiB more");
    let metrics = pilot.page("/metrics");
    let limited = metrics.lines().find_map(|line| line.strip_prefix("oatlever_dns_limited_total "));
    assert!(limited.unwrap().parse::<u64>().unwrap() > 1000, "{metrics}");
    assert_eq!(pilot.end().0, Some(0));
}

/// Connects from a given address.
fn connect(from: std::net::SocketAddr, to: std::net::SocketAddr) -> TcpStream {
    let connected = async_io::block_on(oatlever_fetch::connect(to, Some(from))).unwrap();
    let stream = connected.into_inner().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// The drill: a table judged from files, each wrong file told by name and ended with 2.
#[test]
fn a_table_is_judged_offline() {
    let folder = Folder::new("drill");
    let one = json!({"zone": 0, "listed": "ready", "weight": 1, "answered_ago": 0.5, "proven": 10});
    let host = |n: u8| format!("10.0.0.{n}:7000");
    let servers: serde_json::Map<_, _> = (0..4).map(|n| (host(n), one.clone())).collect();
    let even: serde_json::Map<_, _> = (0..4).map(|n| (host(n), json!(1))).collect();
    let state = json!({"servers": servers, "demand": 30, "in_place": even, "cold_share": 0.2,
                       "warm_within": 60, "fall_multiple": 2.5});
    let state = folder.write("state.json", &state.to_string());
    let judge = |lines: Value| {
        let table = folder.write("table.json", &json!({"lines": lines}).to_string());
        let done = program(&["guard", "check", table.to_str().unwrap(), state.to_str().unwrap()]);
        (done.status.code(), serde_json::from_slice::<Value>(&done.stdout).unwrap_or_default(), done.stderr)
    };
    let (code, told, _) = judge(json!(even));
    assert_eq!((code, &told["outcome"]), (Some(0), &json!("fine")));
    let (code, told, _) = judge(json!({host(1): 1}));
    assert_eq!(
        (code, &told["outcome"], &told["findings"][0]["check"]),
        (Some(1), &json!("kept"), &json!("cut"))
    );
    assert_eq!(told["findings"][0]["found"], 0.75);
    assert_eq!(told["instead"][host(0)], 0.25);
    let (code, _, told) = judge(json!({"here": 1}));
    let told = String::from_utf8(told).unwrap();
    assert!(code == Some(2) && told.contains("table.json") && told.contains("\"here\""), "{told}");
}

/// A hand lays a bad table on a running pilot: it is refused, told, and let out once the checks are lifted.
#[test]
fn the_guard_of_a_running_pilot_is_asked_and_told() {
    let folder = Folder::new("guard");
    folder.list(0..6);
    let socket = folder.0.join("control");
    let mut settings = folder.settings();
    settings["control"] = json!({"socket": socket.to_str().unwrap()});
    settings["guard"] = json!({"mode": "enforce"});
    // No reports come here, so that health checks are all the evidence there is: none. A pin still holds.
    let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
    pilot.until("six servers", |answer| lines(answer) == 6);
    let run = |arguments: &[&str]| {
        let mut all = vec![arguments[0]];
        all.extend((arguments[0] == "guard").then_some("at"));
        all.extend(["--socket", socket.to_str().unwrap()]);
        all.extend(&arguments[1..]);
        let done = program(&all);
        match done.status.success() {
            true => Ok(serde_json::from_slice::<Value>(&done.stdout).unwrap()),
            false => Err(String::from_utf8(done.stderr).unwrap()),
        }
    };
    run(&["guard", "pin", "10.0.0.1:7000", "0", "0.5", "60"]).unwrap();
    assert!(run(&["guard", "pin", "10.0.0.1:7000", "0.9", "0.5", "60"]).unwrap_err().contains("lower one"));
    assert!(run(&["guard", "override", "everything", "me", "60"]).is_err());
    assert!(run(&["guard", "override", "pinned", "me", "1e9"]).unwrap_err().contains("86400"));
    let by_hand = folder.write("hand.json", &json!({"10.0.0.1:7000": 9, "10.0.0.2:7000": 1}).to_string());
    let by_hand = by_hand.to_str().unwrap();
    run(&["tables", "lay", "0", by_hand]).unwrap();
    let told = run(&["guard", "explain"]).unwrap();
    assert_eq!(told["verdicts"][0]["findings"][0]["check"], "pinned", "{told:#}");
    assert_eq!((&told["verdicts"][0]["outcome"], &told["pins"][0]["most"]), (&json!("kept"), &json!(0.5)));
    assert_eq!(lines(&pilot.ask([127, 0, 0, 1]).unwrap()), 6, "what was in place stays");
    assert!(pilot.page("/metrics").contains("oatlever_guard_verdicts_total{outcome=\"kept\"}"));
    run(&["guard", "override", "pinned", "me", "60"]).unwrap();
    pilot.until("the hand's table", |answer| lines(answer) == 2);
    run(&["tables", "release", "0"]).unwrap();
    pilot.until("six again", |answer| lines(answer) == 6);
    assert!(run(&["tables", "lay", "0", "/nowhere"]).unwrap_err().contains("/nowhere"));
    let nonsense = folder.write("hand.json", "[1]");
    assert!(run(&["tables", "lay", "0", nonsense.to_str().unwrap()]).is_err());
}

/// A pilot with prices says on its pages that nothing is known yet; a model is planned offline, as it is and
/// otherwise, and what is wrong is told by name.
#[test]
fn plans_are_told_and_made_offline() {
    let folder = Folder::new("plan");
    folder.list(0..6);
    let mut settings = folder.settings();
    let socket = folder.0.join("control");
    settings["control"] = json!({"socket": socket.to_str().unwrap()});
    settings["costs"] = json!({"prices": {"north": 2}});
    let pilot = Pilot::start(&folder.write("settings.json", &settings.to_string()));
    pilot.until("six servers", |answer| lines(answer) == 6);
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
    let planned = |what: &[&str]| {
        let done = program(&[&["plan", path.to_str().unwrap()], what].concat());
        let told = String::from_utf8(done.stdout).unwrap() + &String::from_utf8(done.stderr).unwrap();
        (done.status.code(), told)
    };
    let (code, told) = planned(&["--json"]);
    let told: Value = serde_json::from_str(&told).unwrap();
    // 13 units of work: 10 at 1, 3 at 3.
    assert!(code == Some(0) && (told["plan"]["cost"].as_f64().unwrap() - 19.0).abs() < 0.01, "{told:#}");
    let (code, told) = planned(&["--lost", "north"]);
    assert!(code == Some(1) && told.contains("does not fit by 3.00"), "{told}");
    let (code, told) = planned(&["--price", "north=5", "--demand", "0.5"]);
    assert!(
        code == Some(0) && told.contains("cost 19.5") && told.contains("without south: everything fits"),
        "{told}"
    );
    for wrong in [&["--lost", "west"], &["--price", "north"], &["--price", "north=x"]] {
        assert!(matches!(planned(wrong), (Some(2), told) if told.contains(wrong[1])), "{wrong:?}");
    }
    folder.write("model.json", &model.to_string().replace("0.5", "-0.5"));
    assert!(matches!(planned(&[]), (Some(2), told) if told.contains("/classes/0/work: -0.5")));
}
