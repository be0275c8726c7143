//! Races between requests, answers, signals and disconnects. The process is stopped while events are produced, so
//! that it handles all of them in one turn of its event loop.

mod harness;

use harness::{attach, configuration, write_configuration, Pilot, TIMEOUT};
use oatlever_standins::platform::{server_entry, Discovery, Peer, ResponseFault, MIN_TERMINATION_GRACE};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

fn start_discovery(servers: &[(&str, &str)]) -> Discovery {
    let discovery = Discovery::start().unwrap();
    for (id, state) in servers {
        discovery.set_state(id, state);
    }
    discovery
}

fn start_pilot(name: &str, sockets: u32) -> (Discovery, Pilot) {
    let discovery = start_discovery(&[("s-1", "up")]);
    let pilot = Pilot::start(name, &configuration(discovery.address, sockets));
    (discovery, pilot)
}

/// The types of all messages on a connection until it ends.
fn messages_until_end(peer: &mut Peer) -> Vec<String> {
    let mut messages = Vec::new();
    while let Some(message) = peer.receive().expect("the end of the connection") {
        messages.push(message["msg"].as_str().unwrap().to_string());
    }
    messages
}

fn assert_heartbeat_answered(peer: &mut Peer) {
    peer.send_message(json!({"msg": "hb"})).unwrap();
    while peer.receive().unwrap().expect("an open connection")["msg"] != "hb_ok" {}
}

fn wait_for_server(peer: &mut Peer, id: &str) {
    assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key(id)), "{:?}", peer.table);
}

/// Replaces the configuration atomically, as operators do.
fn replace_file(path: &Path, configuration: &Value) {
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, configuration.to_string()).unwrap();
    std::fs::rename(&fresh, path).unwrap();
}

// Heartbeats.

/// The heartbeat and the half-close arrive in the same turn.
#[test]
fn a_heartbeat_followed_by_a_half_close_is_answered() {
    let (_discovery, pilot) = start_pilot("half", 64);
    pilot.pause();
    let mut peer = pilot.dial();
    peer.send_message(json!({"msg": "hb"})).unwrap();
    peer.half_close().unwrap();
    pilot.resume();
    assert_eq!(messages_until_end(&mut peer), ["hb_ok"]);
}

/// An invalid message must not close the connection before a valid one in the same bytes is answered.
#[test]
fn a_heartbeat_followed_by_garbage_is_answered_before_the_close() {
    let (_discovery, pilot) = start_pilot("garbage", 64);
    let mut peer = pilot.dial();
    peer.send(b"{\"msg\":\"hb\"}\nGET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(messages_until_end(&mut peer), ["hb_ok", "reject"]);
    // A joined collector gets its answer too, but no refusal.
    let mut collector = pilot.dial();
    collector.send(b"{\"msg\":\"telemetry\",\"zone\":\"a\"}\n{\"msg\":\"hb\"}\n\xff\n").unwrap();
    assert_eq!(messages_until_end(&mut collector), ["hb_ok"]);
}

#[test]
fn a_heartbeat_in_single_bytes_is_answered() {
    let (_discovery, pilot) = start_pilot("bytes", 64);
    let mut peer = pilot.dial();
    for byte in b"{\"msg\":\"hb\"}\n" {
        peer.send(&[*byte]).unwrap();
    }
    assert_eq!(peer.receive().unwrap().unwrap()["msg"], "hb_ok");
}

/// A join message that arrived in time counts even if the pilot was delayed and reads it in the turn in which the
/// join timeout expires.
#[test]
fn a_join_unread_at_the_join_timeout_counts() {
    let (_discovery, pilot) = start_pilot("late", 64);
    let (mut proxy, mut unjoined) = (pilot.dial_accepted(), pilot.dial_accepted());
    pilot.pause();
    // Longer than the join timeout; the sleep waits for nothing else.
    std::thread::sleep(Duration::from_millis(1700));
    proxy.send_message(attach(3)).unwrap();
    unjoined.send_message(json!({"msg": "hb"})).unwrap();
    pilot.resume();
    wait_for_server(&mut proxy, "s-1");
    assert_eq!(messages_until_end(&mut unjoined), ["hb_ok", "reject"]);
}

/// A peer that sends heartbeats without end and reads nothing is disconnected. Other peers get answers meanwhile.
#[test]
fn a_peer_that_does_not_read_delays_no_other() {
    let (_discovery, pilot) = start_pilot("unread", 64);
    let mut flooding = pilot.join_proxy(3, "s-1");
    let flood = std::thread::spawn(move || {
        let many = b"{\"msg\":\"hb\"}\n".repeat(5000);
        while flooding.send(&many).is_ok() {}
    });
    let mut other = pilot.join_proxy(4, "s-1");
    while !flood.is_finished() {
        assert_heartbeat_answered(&mut other);
    }
    flood.join().unwrap();
}

// Streams.

/// Join messages on two streams of one proxy may both be unread, and the one on the older stream may be read last.
#[test]
fn an_older_stream_does_not_replace_a_newer_one() {
    let (discovery, pilot) = start_pilot("older", 64);
    let mut older = pilot.dial_accepted();
    let mut newer = pilot.join_proxy(3, "s-1");
    older.send_message(attach(3)).unwrap();
    assert_eq!(messages_until_end(&mut older), ["reject"]);
    discovery.set_state("s-2", "up");
    wait_for_server(&mut newer, "s-2");
}

/// The end of a proxy's old stream and its new stream arrive in the same turn, in either order.
#[test]
fn a_new_stream_is_served_when_the_old_one_ends_in_the_same_turn() {
    let (discovery, pilot) = start_pilot("turn", 64);
    let mut peer = pilot.join_proxy(3, "s-1");
    for n in 0..6 {
        pilot.pause();
        let old = peer;
        if n % 2 == 0 {
            drop(old);
            peer = pilot.dial();
            peer.send_message(attach(3)).unwrap();
        } else {
            peer = pilot.dial();
            peer.send_message(attach(3)).unwrap();
            drop(old);
        }
        pilot.resume();
        wait_for_server(&mut peer, "s-1");
    }
    discovery.set_state("s-2", "up");
    wait_for_server(&mut peer, "s-2");
}

/// A proxy joins and disconnects in one turn. When it joins again, it gets a whole table.
#[test]
fn a_stream_that_joins_and_breaks_within_a_turn_leaves_no_state() {
    let (discovery, pilot) = start_pilot("within", 64);
    let mut other = pilot.join_proxy(4, "s-1");
    pilot.pause();
    let mut brief = pilot.dial();
    brief.send_message(attach(3)).unwrap();
    drop(brief);
    pilot.resume();
    assert_heartbeat_answered(&mut other);
    pilot.join_proxy(3, "s-1");
    discovery.set_state("s-2", "up");
    wait_for_server(&mut other, "s-2");
}

/// A stream breaks with an incomplete message and unread output. The proxy's next stream gets the whole table, even
/// if the proxy says that it still holds one.
#[test]
fn a_stream_after_one_that_broke_within_a_message_gets_the_whole_table() {
    let (_discovery, pilot) = start_pilot("middle", 64);
    for _ in 0..3 {
        let mut peer = pilot.dial_accepted();
        peer.send_message(attach(3)).unwrap();
        peer.send(b"{\"msg\":\"client_stats\",\"proxy\":3,").unwrap();
        // Some output is unread, so dropping the connection resets it.
        drop(peer);
        let mut again = pilot.dial();
        let mut holding_table = attach(3);
        holding_table["fresh"] = json!(false);
        again.send_message(holding_table).unwrap();
        let first = again.receive().unwrap().expect("a table");
        assert!(first["full"] == true && first["endpoints"][0][0] == "s-1", "{first}");
    }
}

/// Only marks written on a stream may be acknowledged on it. Marks of another stream or of a former process are
/// ignored and don't close the stream.
#[test]
fn marks_of_another_stream_or_process_are_ignored() {
    let (discovery, mut pilot) = start_pilot("marks", 64);
    let peer = pilot.join_proxy(3, "s-1");
    let old = *peer.marks.last().unwrap();
    let mut again = pilot.join_proxy(3, "s-1");
    let done = |mark: u64| json!({"msg": "done", "proxy": 3, "mark": mark, "took_ms": 3.5});
    again.send_message(done(old)).unwrap();
    again.send_message(done(60_000)).unwrap();
    again.send_message(done(*again.marks.last().unwrap())).unwrap();
    assert_heartbeat_answered(&mut again);
    pilot.wait_for_counts("spoilt: 2,");

    // The pilot is killed right after an accept and restarted at the same address, while proxies hold tables of the
    // former process.
    let _unread = pilot.dial();
    pilot.signal("-KILL");
    assert_eq!(pilot.wait_for_exit(), None);
    let mut same = configuration(discovery.address, 64);
    same["listen"] = json!(pilot.host.to_string());
    let next = Pilot::start("marks-next", &same);
    let mut holding_table = attach(3);
    holding_table["fresh"] = json!(false);
    let mut returning = next.dial();
    returning.send_message(holding_table).unwrap();
    returning.send_message(done(old)).unwrap();
    wait_for_server(&mut returning, "s-1");
    discovery.set_state("s-2", "up");
    wait_for_server(&mut returning, "s-2");
}

// The limit on connections.

/// A fleet connects with unknown clients behind it. The proxies' connections are the oldest, and their join messages
/// are unread when connections must be closed to make room.
#[test]
fn proxies_with_unread_joins_are_not_closed_for_unknown_clients() {
    let (_discovery, pilot) = start_pilot("unread-joining", 64);
    pilot.pause();
    let proxies = (0..9).map(|proxy| {
        let mut peer = pilot.dial();
        peer.send_message(attach(proxy)).unwrap();
        peer
    });
    let mut proxies: Vec<Peer> = proxies.collect();
    let mut unknown_clients: Vec<Peer> = (0..60).map(|_| pilot.dial()).collect();
    pilot.resume();
    for proxy in &mut proxies {
        wait_for_server(proxy, "s-1");
    }
    for client in &mut unknown_clients {
        assert_eq!(messages_until_end(client), ["reject"]);
    }
}

/// While hundreds of clients send incomplete join messages in pieces, a fleet disconnects and reconnects
/// repeatedly. Each proxy is served each time.
#[test]
fn incomplete_join_messages_do_not_keep_a_fleet_out() {
    let (_discovery, pilot) = start_pilot("pieces", 64);
    let host = pilot.host;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = stop.clone();
    let unknown_clients = std::thread::spawn(move || {
        let mut held = std::collections::VecDeque::new();
        while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
            let Ok(mut peer) = Peer::dial(host, TIMEOUT) else { continue };
            for piece in [b"{\"msg\":".as_slice(), b"\"attach\",\"pro"] {
                // The connection may already be closed.
                let _ = peer.send(piece);
            }
            held.push_back(peer);
            if held.len() > 200 {
                held.pop_front();
            }
        }
    });
    for _ in 0..10 {
        // The join messages are complete when the pilot resumes, as a connection without one can't be told from an
        // unknown client.
        pilot.pause();
        let mut fleet: Vec<Peer> = (0..9).map(|_| pilot.dial()).collect();
        for (proxy, peer) in fleet.iter_mut().enumerate() {
            peer.send_message(attach(proxy as u16)).unwrap();
        }
        pilot.resume();
        for peer in &mut fleet {
            wait_for_server(peer, "s-1");
        }
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    unknown_clients.join().unwrap();
}

/// A whole fleet joins in one turn with 60 servers that have just started, and others. There are no reports.
fn fleet_among_cold_servers(name: &str, others: &[&str]) {
    const FLEET: u16 = 400;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut large = configuration(silent.local_addr().unwrap(), 1024);
    large["settings"]["family-info"]["data-plane-size"] = json!(FLEET);
    large["settings"]["family-info"]["egress-per-s"] = json!(1e6);
    large["settings"]["family-info"]["queue-cap"] = json!(1e6);
    // The servers stay cold for the whole test.
    large["settings"]["rules"]["warm-within-ms"] = json!(600_000.0);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let cold = |n: u16| {
        let mut entry = server_entry(&format!("s-{n}"), "up");
        entry["started_ms"] = json!(now.as_secs_f64() * 1e3);
        entry
    };
    let servers = (0..60).map(cold).chain(others.iter().map(|id| server_entry(id, "up")));
    large["known"]["servers"] = json!(servers.collect::<Vec<Value>>());
    let pilot = Pilot::start(name, &large);
    pilot.pause();
    let mut fleet: Vec<Peer> = (0..FLEET).map(|_| pilot.dial()).collect();
    for (proxy, peer) in fleet.iter_mut().enumerate() {
        peer.send_message(attach(proxy as u16)).unwrap();
    }
    let mut client = pilot.dial();
    client.send_message(json!({"msg": "hb"})).unwrap();
    pilot.resume();
    assert_eq!(client.receive().unwrap().unwrap()["msg"], "hb_ok");
    for peer in &mut fleet {
        assert!(peer.wait_for_table(TIMEOUT, |table| !table.is_empty()));
    }
}

/// The situation after a new release has restarted pilot and servers: a heartbeat is answered at once, and each proxy
/// is served.
#[test]
fn a_fleet_that_joins_at_once_is_served() {
    fleet_among_cold_servers("fleet", &["s-warm"]);
}

/// The same without any warm server.
///
/// No proxy got a table: before the first reports the pilot knew no capacity, so the budget of each cold server was 0,
/// and a proxy with an empty table is skipped. The notes showed `proven=0` in `cold_limit` from the first round on.
/// Without tables there were no tries, so no report ever ended this state.
#[test]
fn a_fleet_among_cold_servers_alone_is_served() {
    fleet_among_cold_servers("cold-fleet", &[]);
}

/// A proxy must be able to reconnect when the limit of connections is reached and its own old stream counts.
#[test]
fn a_new_stream_is_accepted_at_the_connection_limit() {
    // The smallest valid limit, which leaves nine connections for nine proxies.
    let (_discovery, pilot) = start_pilot("full", 41);
    let mut fleet: Vec<Peer> = (0..9).map(|proxy| pilot.join_proxy(proxy, "s-1")).collect();
    let mut again = pilot.join_proxy(3, "s-1");
    while let Some(_late) = fleet[3].receive().unwrap() {}
    assert_heartbeat_answered(&mut again);
    for proxy in [0, 8] {
        assert_heartbeat_answered(&mut fleet[proxy]);
    }
}

/// Clients that have disconnected before the accept don't cause other connections to be closed.
#[test]
fn accepting_disconnected_clients_closes_no_other_connection() {
    let (_discovery, pilot) = start_pilot("gone", 64);
    let mut proxy = pilot.join_proxy(3, "s-1");
    let mut unjoined = pilot.dial_accepted();
    pilot.pause();
    for _ in 0..20 {
        let mut brief = pilot.dial();
        brief.send_message(json!({"msg": "hb"})).unwrap();
    }
    pilot.resume();
    assert_heartbeat_answered(&mut proxy);
    unjoined.send_message(attach(4)).unwrap();
    wait_for_server(&mut unjoined, "s-1");
}

// Lists.

/// A server missing from a whole list is removed even if another entry of the list is invalid. The server of the
/// invalid entry stays as it was.
#[test]
fn a_whole_list_with_an_invalid_entry_still_removes_servers() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let mut invalid = server_entry("s-2", "up");
    invalid["weight"] = json!("heavy");
    discovery.set_entry("s-2", Some(invalid));
    let mut known = configuration(discovery.address, 64);
    known["known"]["servers"] =
        json!([server_entry("s-1", "up"), server_entry("s-2", "up"), server_entry("s-old", "up")]);
    let pilot = Pilot::start("invalid", &known);
    let mut peer = pilot.join_proxy(3, "s-1");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-old")), "{:?}", peer.table);
    // The list is followed although the entry stays invalid: later changes arrive, and s-2 keeps its known state.
    discovery.set_state("s-3", "up");
    wait_for_server(&mut peer, "s-3");
    assert!(peer.table.contains_key("s-2"), "{:?}", peer.table);
}

/// An update whose entry was corrupted in transit must not be lost, although its version counts as received.
#[test]
fn a_change_with_an_invalid_entry_is_requested_again() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let pilot = Pilot::start("change", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-2");
    assert!(discovery.wait_for_request("index=", TIMEOUT));
    assert!(discovery.set_state_with_fault(ResponseFault::UnknownState, "s-2", "draining", TIMEOUT));
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-2")), "{:?}", peer.table);
}

/// A watch that stalls within the head or body of its response times out and is requested again. A whole list in
/// answer to it is treated as one.
#[test]
fn a_watch_that_stalls_within_a_response_is_requested_again() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let pilot = Pilot::start("silent-watch", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-2");
    assert!(discovery.wait_for_request("index=", TIMEOUT));
    discovery.set_entry("s-1", None);
    assert!(discovery.inject_faults(
        &[ResponseFault::StalledHeaders, ResponseFault::StalledBody, ResponseFault::FullList],
        TIMEOUT
    ));
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);
    discovery.set_state("s-3", "up");
    wait_for_server(&mut peer, "s-3");
}

/// The pilot must not request changes since a version that the source no longer knows for ever.
#[test]
fn a_source_that_has_lost_its_versions_is_read_whole() {
    let discovery = start_discovery(&[("s-1", "up")]);
    let pilot = Pilot::start("forgot", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    assert!(discovery.wait_for_request("index=", TIMEOUT));
    discovery.expire_versions();
    discovery.set_state("s-2", "up");
    wait_for_server(&mut peer, "s-2");
}

/// A source whose versions restart from a lower number must be accepted again. As its list may also just be old, it
/// must not reopen a draining server.
#[test]
fn restarted_versions_are_accepted_and_reopen_no_server() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up"), ("s-3", "up")]);
    let pilot = Pilot::start("anew", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-3");
    discovery.set_state("s-2", "draining");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-2")), "{:?}", peer.table);
    // Looks like a list from before the drain: a lower version, with the server open.
    discovery.reset_versions(&[("s-1", "up"), ("s-2", "up")]);
    let mut opened = false;
    let accepted = peer.wait_for_table(TIMEOUT, |table| {
        opened |= table.contains_key("s-2");
        !table.contains_key("s-3")
    });
    assert!(accepted && !opened, "{:?}", peer.table);
    // The new versions count from here on, so this state of the server is newer than the drain.
    discovery.set_state("s-2", "up");
    wait_for_server(&mut peer, "s-2");
}

/// The list that the pilot starts with is newer than the first one from discovery. The older one reopens no server
/// that drains in the newer.
#[test]
fn an_older_list_does_not_undo_a_newer_known_one() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let mut known = configuration(discovery.address, 64);
    known["known"] = json!({"version": 4, "full": true,
        "servers": [server_entry("s-1", "up"), server_entry("s-2", "draining")]});
    let pilot = Pilot::start("newer", &known);
    let mut peer = pilot.join_proxy(3, "s-1");
    let mut opened = false;
    assert!(discovery.wait_for_request("/v1/endpoints", TIMEOUT));
    discovery.set_state("s-3", "up");
    discovery.set_state("s-2", "draining");
    discovery.set_state("s-4", "up");
    let caught_up = peer.wait_for_table(TIMEOUT, |table| {
        opened |= table.contains_key("s-2");
        table.contains_key("s-4")
    });
    assert!(caught_up && !opened, "{:?}", peer.table);
}

/// A response of the old discovery that is partly received when the configuration names a new one must be dropped.
#[test]
fn a_response_of_the_old_discovery_is_dropped_after_a_move() {
    let old = TcpListener::bind("127.0.0.1:0").unwrap();
    let pilot = Pilot::start("moved", &configuration(old.local_addr().unwrap(), 64));
    let (connection, _) = old.accept().unwrap();
    BufReader::new(&connection).read_line(&mut String::new()).unwrap();
    let list = json!({"version": 9, "full": true, "servers": [server_entry("s-wrong", "up")]}).to_string();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
    (&connection).write_all(&response.as_bytes()[..response.len() / 2]).unwrap();
    let fresh = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let mut peer = pilot.join_proxy(3, "s-old");
    replace_file(&pilot.path, &configuration(fresh.address, 64));
    pilot.signal("-HUP");
    pilot.wait_for_log("configuration taken up");
    // The pilot may have closed the connection by now.
    let _ = (&connection).write_all(&response.as_bytes()[response.len() / 2..]);
    let mut used_old_list = false;
    assert!(peer.wait_for_table(TIMEOUT, |table| {
        used_old_list |= table.contains_key("s-wrong");
        table.contains_key("s-2")
    }));
    assert!(!used_old_list, "{:?}", peer.table);
}

// Signals.

fn make_fifo(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("oatlever-{}-{name}.pipe", std::process::id()));
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

/// A signal before the configuration is read must not end the process by its default action. The configuration is a
/// FIFO, so the pilot can't get past it before the signal.
#[test]
fn signals_during_the_start_are_handled() {
    let discovery = start_discovery(&[("s-1", "up")]);
    let text = configuration(discovery.address, 64).to_string();
    for (name, signals, ends) in [("hup", ["-HUP", "-HUP"], false), ("both", ["-HUP", "-TERM"], true)] {
        let path = make_fifo(name);
        let mut pilot = Pilot::spawn(&mut Command::new(env!("CARGO_BIN_EXE_oatlever")), path.clone());
        // Opening the FIFO blocks until the pilot opens it for reading.
        let mut fifo = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        for signal in signals {
            pilot.signal(signal);
        }
        // SIGHUP makes the pilot read the path again, which is then a regular file.
        replace_file(&path, &configuration(discovery.address, 64));
        fifo.write_all(text.as_bytes()).unwrap();
        drop(fifo);
        if ends {
            assert_eq!(pilot.wait_for_exit(), Some(0));
        } else {
            pilot.wait_until_serving().join_proxy(3, "s-1");
        }
    }
}

/// SIGTERM arrives while all proxies join, with or without a list of servers, table updates under way and a
/// configuration to reload. The pilot exits at once with status 0.
#[test]
fn sigterm_is_handled_beside_any_other_event() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let answering = start_discovery(&[("s-1", "up")]);
    for (name, discovery) in [("silent", silent.local_addr().unwrap()), ("answering", answering.address)] {
        let mut pilot = Pilot::start(&format!("end-{name}"), &configuration(discovery, 64));
        let mut first = pilot.dial_accepted();
        pilot.pause();
        let mut fleet: Vec<Peer> = (0..9).map(|_| pilot.dial()).collect();
        for (proxy, peer) in fleet.iter_mut().enumerate() {
            peer.send_message(attach(proxy as u16)).unwrap();
        }
        first.send_message(json!({"msg": "hb"})).unwrap();
        replace_file(&pilot.path, &configuration(answering.address, 64));
        answering.set_state("s-1", "up");
        pilot.signal("-HUP");
        pilot.signal("-TERM");
        pilot.resume();
        assert_eq!(pilot.wait_for_exit(), Some(0));
    }
}

/// Requests sent before SIGTERM are answered, and the pilot exits before the earliest possible SIGKILL.
///
/// The signal is handled before the sockets. Heartbeats sent before it were still unread when their connections were
/// closed, so clients saw a connection reset.
#[test]
fn pending_requests_are_answered_before_the_exit() {
    let discovery = start_discovery(&[("s-1", "up")]);
    for round in 0..5 {
        let mut pilot = Pilot::start(&format!("owed-{round}"), &configuration(discovery.address, 64));
        let mut proxy = pilot.join_proxy(3, "s-1");
        let mut others: Vec<Peer> = (0..20).map(|_| pilot.dial_accepted()).collect();
        // A client that does not read its answers must not delay the others.
        let mut idle = pilot.dial_accepted();
        idle.send(&b"{\"msg\":\"hb\"}\n".repeat(4096)).unwrap();
        pilot.pause();
        for (n, peer) in others.iter_mut().chain([&mut proxy]).enumerate() {
            peer.send(&b"{\"msg\":\"hb\"}\n".repeat(1 + n % 3)).unwrap();
        }
        pilot.signal("-TERM");
        let released = Instant::now();
        pilot.resume();
        assert_eq!(pilot.wait_for_exit(), Some(0));
        assert!(released.elapsed() < MIN_TERMINATION_GRACE, "it took {:?}", released.elapsed());
        for (n, peer) in others.iter_mut().chain([&mut proxy]).enumerate() {
            for answer in 0..1 + n % 3 {
                // The proxy gets table updates in between.
                let mut message = peer.receive().unwrap();
                while message.as_ref().is_some_and(|message| message["msg"] == "assign") {
                    message = peer.receive().unwrap();
                }
                assert!(message.is_some_and(|message| message["msg"] == "hb_ok"), "{n}: no answer {answer}");
            }
        }
    }
}

/// The file may belong to another customer, whose servers this pilot's proxies must not use.
#[test]
fn a_configuration_of_another_deployment_is_ignored() {
    let (ours, theirs) = (start_discovery(&[("s-1", "up")]), start_discovery(&[("s-theirs", "up")]));
    let pilot = Pilot::start("customer", &configuration(ours.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    let mut other = configuration(theirs.address, 64);
    other["settings"]["zones"] = json!(["x", "y"]);
    replace_file(&pilot.path, &other);
    pilot.signal("-HUP");
    pilot.signal("-HUP");
    let error = pilot.wait_for_log("configuration left aside")["what"].to_string();
    assert!(error.contains("`settings` has other zones or classes"), "{error}");
    ours.set_state("s-2", "up");
    wait_for_server(&mut peer, "s-2");
    assert_eq!(theirs.request_counts(), (0, 0));
}

/// The configuration names a new discovery, which at once reports that a server drains.
#[test]
fn a_drain_right_after_a_reload_is_followed() {
    let (old, fresh) =
        (start_discovery(&[("s-1", "up"), ("s-2", "up")]), start_discovery(&[("s-1", "up"), ("s-2", "up")]));
    let pilot = Pilot::start("drain", &configuration(old.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    replace_file(&pilot.path, &configuration(fresh.address, 64));
    pilot.pause();
    pilot.signal("-HUP");
    fresh.set_state("s-1", "draining");
    pilot.resume();
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);
}

// Health checks.

/// Accepts a health check and returns its connection, not yet answered, and its request line.
fn accept_check(server: &TcpListener) -> (std::net::TcpStream, String) {
    server.set_nonblocking(true).unwrap();
    let started = Instant::now();
    let stream = loop {
        match server.accept() {
            Ok((stream, _)) => break stream,
            Err(e) => assert!(started.elapsed() < TIMEOUT, "no health check: {e}"),
        }
        std::thread::yield_now();
    };
    stream.set_nonblocking(false).unwrap();
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).unwrap();
    (stream, line)
}

/// A server is replaced under its name while its health check is under way. The new process gets a check of its own,
/// and the result of the old check must not count for it.
#[test]
fn a_server_replaced_under_its_name_gets_its_own_health_check() {
    let [first, second] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let started = |at: SocketAddr, ago: f64| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let mut entry = server_entry("s-2", "up");
        entry["addr"] = json!(at.to_string());
        entry["started_ms"] = json!(now.as_secs_f64() * 1e3 - ago);
        entry
    };
    let discovery = start_discovery(&[("s-1", "up")]);
    discovery.set_entry("s-2", Some(started(first.local_addr().unwrap(), 100.0)));
    let mut probing = configuration(discovery.address, 64);
    // Health checks don't time out within the test.
    probing["settings"]["limits"] = json!({"probes": true, "connect-timeout-ms": 60_000.0});
    let pilot = Pilot::start("replaced", &probing);
    let mut peer = pilot.join_proxy(3, "s-1");
    let (mut held, line) = accept_check(&first);
    assert!(line.starts_with("GET /health "), "{line}");
    discovery.set_entry("s-2", Some(started(second.local_addr().unwrap(), 0.0)));
    let (mut answered, _) = accept_check(&second);
    // The answers of the replaced process and of a server that is removed by then are harmless.
    let fine = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    discovery.set_state("s-2", "removed");
    held.write_all(fine).unwrap();
    answered.write_all(fine).unwrap();
    discovery.set_state("s-3", "up");
    wait_for_server(&mut peer, "s-3");
    assert_heartbeat_answered(&mut peer);
}

// Logs and the process.

/// A pilot without servers logs why no proxy is served, and serves as soon as there is a server.
#[test]
fn a_pilot_without_servers_logs_the_cause_and_recovers() {
    let discovery = start_discovery(&[]);
    let mut nothing = configuration(discovery.address, 64);
    nothing["known"]["servers"] = json!([]);
    let pilot = Pilot::start("idle", &nothing);
    let mut peer = pilot.dial_accepted();
    peer.send_message(attach(3)).unwrap();
    assert!(pilot.wait_for_log("ready")["after_s"].as_f64().is_some_and(|after| after < 10.0));
    assert_eq!(pilot.wait_for_log("serves nobody")["cause"], "the list of servers is empty");
    discovery.set_state("s-1", "up");
    wait_for_server(&mut peer, "s-1");
    pilot.wait_for_log("serves again");
}

/// A pilot without proxies logs the servers on its list.
///
/// `beliefs` were updated only when messages were written, so a pilot that came back after a kill and had no proxies
/// logged zeros for the rest of the day with 200 servers listed.
#[test]
fn a_pilot_without_proxies_logs_its_beliefs() {
    let discovery = start_discovery(&[("s-1", "up"), ("s-2", "up")]);
    let mut known = configuration(discovery.address, 64);
    known["known"]["servers"] = json!([]);
    let pilot = Pilot::start("beliefs", &known);
    let beliefs = pilot.wait_for_log("so far")["beliefs"].to_string();
    assert!(beliefs.contains("ready: 2,"), "{beliefs}");
}

/// On a machine with a fraction of a core a second thread has no use, and competes with the first one at the start.
#[cfg(target_os = "linux")]
#[test]
fn a_pilot_is_one_thread() {
    let (_discovery, pilot) = start_pilot("thread", 64);
    pilot.join_proxy(3, "s-1");
    let status = std::fs::read_to_string(format!("/proc/{}/status", pilot.child.id())).unwrap();
    let threads = status.lines().find(|line| line.starts_with("Threads:")).unwrap();
    assert_eq!(threads, "Threads:\t1");
}

/// A failed write to the log must not end the pilot when the reader of its log has exited.
#[test]
fn a_pilot_outlives_the_reader_of_its_log() {
    let discovery = start_discovery(&[("s-1", "up")]);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut fixed = configuration(discovery.address, 64);
    fixed["listen"] = json!(socket.local_addr().unwrap().to_string());
    drop(socket);
    let path = write_configuration("unheard", &fixed);
    let mut child = Command::new(env!("CARGO_BIN_EXE_oatlever"))
        .args(["platform", path.to_str().unwrap()])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    log.read_line(&mut String::new()).unwrap();
    drop(log);
    let host = fixed["listen"].as_str().unwrap().parse().unwrap();
    for _ in 0..3 {
        // Each reload writes to the log.
        let id = child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
        let mut peer = Peer::dial(host, TIMEOUT).unwrap();
        peer.send_message(attach(3)).unwrap();
        wait_for_server(&mut peer, "s-1");
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).unwrap();
}
