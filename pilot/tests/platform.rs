//! Tests of the pilot on the platform as a process, with a simulated platform on loopback.

mod harness;

use harness::{configuration, start_error, Pilot, TIMEOUT};
use oatlever_standins::platform::{Discovery, Peer, ResponseFault};
use serde_json::json;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

#[test]
fn a_proxy_follows_the_list_through_the_pilot() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    discovery.set_state("s-2", "up");
    let mut pilot = Pilot::start("follow", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-2");
    // A server of the known list that discovery does not list is dropped.
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-old")), "{:?}", peer.table);
    let mark = *peer.marks.last().expect("a mark");
    peer.send_message(json!({"msg": "done", "proxy": 3, "mark": mark, "took_ms": 3.5})).unwrap();
    discovery.set_state("s-1", "draining");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);

    // The proxy joins again before its old stream ends: the old one is closed, the new one served.
    let _again = pilot.join_proxy(3, "s-2");
    while let Some(_late) = peer.receive().unwrap() {}
    pilot.signal("-TERM");
    assert_eq!(pilot.child.wait().unwrap().code(), Some(0));
}

/// Without discovery, a pilot must serve from its last known list.
#[test]
fn the_known_list_serves_while_discovery_is_silent() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let pilot = Pilot::start("silent", &configuration(silent.local_addr().unwrap(), 64));
    pilot.join_proxy(3, "s-old");
}

/// After an unusable answer of any kind, the current list stays in use and a new one is requested. The proxy keeps its
/// lines meanwhile and gets later changes.
#[test]
fn unusable_answers_leave_the_list_unchanged() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    discovery.set_state("s-2", "up");
    let pilot = Pilot::start("faults", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-2");
    assert!(discovery.wait_for_request("index=", TIMEOUT));
    let ways = [
        ResponseFault::Truncated,
        ResponseFault::InvalidServers,
        ResponseFault::StaleVersion,
        ResponseFault::Closed,
        ResponseFault::NoResponse,
        ResponseFault::Truncated,
    ];
    assert!(discovery.inject_faults(&ways, TIMEOUT));
    discovery.set_state("s-1", "draining");
    let mut lost = false;
    assert!(peer.wait_for_table(TIMEOUT, |table| {
        lost |= !table.contains_key("s-2");
        !table.contains_key("s-1")
    }));
    assert!(!lost, "{:?}", peer.table);
}

/// Requests must not need a new connection each, which would cost a descriptor and a handshake and restart the watch.
#[test]
fn the_watch_stays_on_one_connection() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let pilot = Pilot::start("kept", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    for n in 0..6 {
        discovery.set_state("s-2", if n % 2 == 0 { "up" } else { "draining" });
        assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key("s-2") == (n % 2 == 0)));
    }
    let (calls, connections) = discovery.request_counts();
    assert!(calls >= 6 && connections == 1, "{calls} calls on {connections} connections");
}

/// A machine can vanish without closing its stream. Such a proxy stops acknowledging marks and must not count for
/// ever; streams that answer stay open.
#[test]
fn an_unresponsive_stream_is_closed_and_others_stay() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let mut short = configuration(discovery.address, 64);
    short["settings"]["family-info"]["period-ms"] = json!(50.0);
    let pilot = Pilot::start("quiet", &short);
    let mut silent = pilot.join_proxy(3, "s-1");
    let mut others = [pilot.join_proxy(4, "s-1"), pilot.join_proxy(5, "s-1")];
    let closed = std::thread::spawn(move || while let Some(_late) = silent.receive().unwrap() {});
    while !closed.is_finished() {
        for peer in &mut others {
            peer.send_message(json!({"msg": "hb"})).unwrap();
            while peer.receive().unwrap().expect("an open stream")["msg"] != "hb_ok" {}
        }
    }
    closed.join().unwrap();
}

/// A pilot runs for months, so its memory and descriptors must not grow with every server that was ever listed and
/// every stream that was ever opened. Server ids are replaced and streams come and go, some in the middle of a
/// message, until more have passed than the pilot ever remembers.
#[cfg(target_os = "linux")]
#[test]
fn memory_and_descriptors_stay_level_while_servers_and_streams_are_replaced() {
    const BATCH: usize = 40;
    const KIB: usize = 1024;
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-stays", "up");
    let pilot = Pilot::start("level", &configuration(discovery.address, 64));
    let process = PathBuf::from(format!("/proc/{}", pilot.child.id()));
    let usage = || {
        let status = std::fs::read_to_string(process.join("status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        (kib, std::fs::read_dir(process.join("fd")).unwrap().count())
    };
    let mut samples = Vec::new();
    for batch in 0..45 {
        for n in 0..BATCH {
            discovery.set_state(&format!("s-{}", batch * BATCH + n), "up");
            if batch > 0 {
                discovery.set_state(&format!("s-{}", (batch - 1) * BATCH + n), "removed");
            }
        }
        let mut peers: Vec<Peer> = (0..9).map(|proxy| pilot.join_proxy(proxy, "s-stays")).collect();
        peers[0].send(b"{\"msg\":\"client").unwrap();
        samples.push(usage());
    }
    let (before, after) = (samples[20], samples[44]);
    assert!(after.0 < before.0 + 2 * KIB, "{samples:?} KiB and descriptors");
    assert!(after.1 <= before.1 + 9, "{samples:?} KiB and descriptors");
}

/// A message with an invalid field is ignored, and no other message is affected. Bytes that can't be parsed close the
/// connection.
#[test]
fn invalid_messages_are_ignored_and_garbage_closes_a_stream() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let pilot = Pilot::start("spoilt", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    for invalid in [
        json!({"msg": "done", "proxy": 3, "mark": -1, "took_ms": 3.5}),
        json!({"msg": "done", "proxy": 4, "mark": 0, "took_ms": 3.5}),
        json!({"msg": "client_stats", "proxy": 3, "class": "none", "tries": 1, "failed": 0, "span_ms": 9.0}),
        json!({"msg": "upstream_stats", "zone": "a", "server": "s-1", "tries": "nan", "span_ms": 9.0}),
        json!({"msg": "attach", "proxy": 5, "zone": "a", "weight": 2.5, "fresh": true}),
        json!({"msg": "unheard of"}),
    ] {
        peer.send_message(invalid).unwrap();
    }
    peer.send_message(json!({"msg": "hb"})).unwrap();
    while peer.receive().unwrap().expect("an open stream")["msg"] != "hb_ok" {}
    peer.send(b"\xff\x00 and so on\n").unwrap();
    while let Some(_late) = peer.receive().unwrap() {}
    pilot.join_proxy(3, "s-1");
}

/// Collectors expect no bytes: they get none when they are closed for an invalid message or replaced by another.
#[test]
fn nothing_is_written_to_a_collector() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let pilot = Pilot::start("collectors", &configuration(discovery.address, 64));
    let collector = || {
        let mut peer = pilot.dial();
        peer.send_message(json!({"msg": "telemetry", "zone": "a"})).unwrap();
        // The answer to the heartbeat shows that the collector has joined. Heartbeats are the only messages answered.
        peer.send_message(json!({"msg": "hb"})).unwrap();
        assert_eq!(peer.receive().unwrap().unwrap()["msg"], "hb_ok");
        peer
    };
    let _proxy = pilot.join_proxy(3, "s-1");
    let mut oldest = collector();
    let mut invalid = collector();
    invalid.send(b"\xff\x00 and so on\n").unwrap();
    assert_eq!(invalid.receive().unwrap(), None);
    let _others = [collector(), collector()];
    assert_eq!(oldest.receive().unwrap(), None);
}

/// Unknown clients must not hold descriptors that proxies need. Far more of them than there are descriptors connect
/// and send all kinds of input; each is closed, and a proxy that connects among them is served.
#[test]
fn unknown_clients_are_closed_and_do_not_keep_proxies_out() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let pilot = Pilot::start("unknown-clients", &configuration(discovery.address, 64));
    let kinds: [&[u8]; 7] = [
        b"",
        b"{\"msg\":\"att",
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        b"{\"msg\":\"attach\",\"proxy\":9,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n",
        b"{\"msg\":\"telemetry\",\"zone\":\"z\"}\n",
        b"{\"msg\":\"done\",\"proxy\":3,\"mark\":0,\"took_ms\":3.5}\n",
        b"{\"msg\":\"hb\"}\n",
    ];
    let mut unknown_clients = Vec::new();
    for n in 0..150 {
        let mut client = pilot.dial();
        // The connection may be closed before the write.
        let _ = client.send(kinds[n % kinds.len()]);
        unknown_clients.push(client);
    }
    let mut endless = pilot.dial();
    while endless.send(&[b'x'; 4096]).is_ok() {}
    let mut proxy = pilot.join_proxy(3, "s-1");
    for mut client in unknown_clients {
        while let Some(message) = client.receive().expect("the end of the connection") {
            assert!(["hb_ok", "reject"].contains(&message["msg"].as_str().unwrap()), "{message}");
        }
    }
    proxy.send_message(json!({"msg": "hb"})).unwrap();
    while proxy.receive().unwrap().expect("an open connection")["msg"] != "hb_ok" {}
}

/// If the system's limit of descriptors is lower than the configured one, unknown clients must not hold the last
/// descriptor, or no proxy could connect.
#[test]
fn exhausted_descriptors_are_reclaimed_from_unknown_clients() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_oatlever")]);
    let pilot = Pilot::start_with(&mut shell, "few", &configuration(discovery.address, 1024));
    let _unknown_clients: Vec<Peer> = (0..100).map(|_| pilot.dial()).collect();
    pilot.join_proxy(3, "s-1");
}

/// A joined fleet starts long messages and does not finish them. They must not exhaust the memory, and a proxy that
/// sends normal messages is still answered.
#[test]
fn incomplete_messages_are_limited_to_a_part_of_the_memory() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let mut small = configuration(discovery.address, 64);
    small["limits"]["memory_mb"] = json!(1);
    let pilot = Pilot::start("endless", &small);
    let mut peers: Vec<Peer> = (0..9).map(|proxy| pilot.join_proxy(proxy, "s-1")).collect();
    let mut honest = peers.pop().unwrap();
    // A quarter of 1 MiB holds two of these messages, or four read buffers.
    let incomplete = [b"{".as_slice(), &vec![b' '; 100 << 10]].concat();
    for peer in &mut peers {
        // The connection may be closed before all is written.
        let _ = peer.send(&incomplete);
        honest.send_message(json!({"msg": "hb"})).unwrap();
        while honest.receive().unwrap().expect("an open connection")["msg"] != "hb_ok" {}
    }
    let mut answered = 0;
    for peer in &mut peers {
        let _ = peer.send(b"\"msg\":\"hb\"}\n");
        while let Some(message) = peer.receive().unwrap() {
            if message["msg"] == "hb_ok" {
                answered += 1;
                break;
            }
        }
    }
    assert!((1..=4).contains(&answered), "{answered} of {}", peers.len());
}

/// SIGTERM ends the pilot at once, also while it retries to load a configuration.
#[test]
fn sigterm_does_not_wait_for_a_reload() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    let mut pilot = Pilot::start("end", &configuration(discovery.address, 64));
    std::fs::write(&pilot.path, "{").unwrap();
    pilot.signal("-HUP");
    let signalled = std::time::Instant::now();
    pilot.signal("-TERM");
    assert_eq!(pilot.child.wait().unwrap().code(), Some(0));
    assert!(signalled.elapsed() < Duration::from_millis(700), "{:?}", signalled.elapsed());
}

/// The platform also sets environment variables, which supply what the file leaves out.
#[test]
fn the_environment_fills_in_what_the_configuration_leaves_out() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-2", "up");
    let mut bare = configuration(discovery.address, 64);
    for field in ["name", "listen", "discovery"] {
        bare.as_object_mut().unwrap().remove(field);
    }
    let mut program = Command::new(env!("CARGO_BIN_EXE_oatlever"));
    program.env("BALANCER_LISTEN", "127.0.0.1:0").env("BALANCER_DISCOVERY", discovery.address.to_string());
    Pilot::start_with(&mut program, "bare", &bare).join_proxy(3, "s-2");
    let text = start_error("none", &bare);
    assert!(text.contains("`listen` is missing, and BALANCER_LISTEN is not set"), "{text}");
}

#[test]
fn a_replaced_configuration_names_another_discovery() {
    let [first, second, third] = [(); 3].map(|()| Discovery::start().unwrap());
    first.set_state("s-1", "up");
    let pilot = Pilot::start("reload", &configuration(first.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    assert!(first.wait_for_request("index=", TIMEOUT));
    // A file that can't be parsed is ignored.
    std::fs::write(&pilot.path, "{").unwrap();
    pilot.signal("-HUP");
    second.set_state("s-1", "draining");
    second.set_state("s-2", "up");
    let fresh = pilot.path.with_extension("fresh");
    std::fs::write(&fresh, configuration(second.address, 64).to_string()).unwrap();
    std::fs::rename(&fresh, &pilot.path).unwrap();
    pilot.signal("-HUP");
    assert!(second.wait_for_request("index=", TIMEOUT));
    assert!(
        peer.wait_for_table(TIMEOUT, |table| table.contains_key("s-2") && !table.contains_key("s-1")),
        "{:?}",
        peer.table
    );

    // Discovery moves twice in a row; the last address counts.
    for name in ["s-1", "s-2", "s-3"] {
        third.set_state(name, if name == "s-1" { "draining" } else { "up" });
    }
    for discovery in [&first, &third] {
        std::fs::write(&fresh, configuration(discovery.address, 64).to_string()).unwrap();
        std::fs::rename(&fresh, &pilot.path).unwrap();
        pilot.signal("-HUP");
    }
    assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key("s-3")), "{:?}", peer.table);
}

/// A missing, invalid or contradictory field is reported with its path and value, and the pilot does not start.
#[test]
fn an_invalid_configuration_is_reported_with_the_field() {
    let valid = configuration("127.0.0.1:9".parse().unwrap(), 64);
    let cases = [
        (
            "/settings/family-info/head",
            json!("four"),
            "`settings.family-info.head` is \"four\", not a number from 0",
        ),
        (
            "/settings/family-info/partitions-n",
            json!(12),
            "`settings.family-info.partitions-n` is 12, not 0, as",
        ),
        (
            "/settings/lanes/1/name",
            json!("lookup"),
            "`settings.lanes[1].name` is \"lookup\", not a unique name",
        ),
        ("/limits/sockets", json!(40), "`limits.sockets` is 40, not a number from 41"),
        ("/limits/memory_mb", json!(-1), "`limits.memory_mb` is -1, not a number from 1"),
        ("/limits", json!(3), "`limits` is 3, not an object"),
        ("/seed", json!(7), "`seed` is 7, not a string"),
        ("/seed", json!("xyz"), "`seed` is \"xyz\", not a number in hexadecimal"),
        ("/seed", json!(null), "`seed` is missing"),
        ("/settings", json!(null), "`settings` is missing"),
        ("/name", json!(3), "`name` is 3, not a string"),
        ("/listen", json!("here"), "`listen` is \"here\", not an address with a port"),
        ("/discovery", json!(8500), "`discovery` is 8500, not a string"),
        ("/known", json!({"version": 1}), "`known` is {\"version\":1}, not usable: not a list"),
    ];
    for (n, (place, value, expected)) in cases.into_iter().enumerate() {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(place).expect(place) = value;
        let text = start_error(&format!("invalid-{n}"), &invalid);
        assert!(text.contains(expected), "{text} does not contain {expected}");
    }
}

/// Unknown fields, as later versions of the settings may have, must not prevent the start or invalidate the list.
#[test]
fn unknown_fields_are_ignored() {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-2", "up");
    let mut later = configuration(discovery.address, 64);
    for place in
        ["", "/settings", "/settings/family-info", "/settings/lanes/0", "/limits", "/known/servers/0"]
    {
        later.pointer_mut(place).unwrap()["of-later-days"] = json!({"deep": [1, null]});
    }
    // An invalid entry of the known list does not prevent the start either.
    later["known"]["servers"][1]["state"] = json!(7);
    Pilot::start("later", &later).join_proxy(3, "s-2");
}
