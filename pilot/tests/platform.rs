//! The pilot on the platform as a process, against a small platform on loopback.

mod harness;

use harness::{configuration, refused, Pilot, LONG};
use oatlever_standins::platform::{Discovery, Peer, Spoilt};
use serde_json::json;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

#[test]
fn a_proxy_follows_the_list_through_the_pilot() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    discovery.say("s-2", "up");
    let mut pilot = Pilot::start("follow", &configuration(discovery.host, 64));
    let mut peer = pilot.proxy(3, "s-2");
    // What was known at the start and is listed no more has no line.
    assert!(peer.holds(LONG, |table| !table.contains_key("s-old")), "{:?}", peer.table);
    let mark = *peer.marks.last().expect("a mark");
    peer.say(json!({"msg": "done", "proxy": 3, "mark": mark, "took_ms": 3.5})).unwrap();
    discovery.say("s-1", "draining");
    assert!(peer.holds(LONG, |table| !table.contains_key("s-1")), "{:?}", peer.table);

    // It joins anew before the old stream is seen to end: the old one is closed, the new one served.
    let _again = pilot.proxy(3, "s-2");
    while let Some(_late) = peer.hear().unwrap() {}
    pilot.signal("-TERM");
    assert_eq!(pilot.child.wait().unwrap().code(), Some(0));
}

/// Guards against a pilot without discovery that serves nobody: its last list has to do.
#[test]
fn the_known_list_serves_while_discovery_is_silent() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let pilot = Pilot::start("silent", &configuration(silent.local_addr().unwrap(), 64));
    pilot.proxy(3, "s-old");
}

/// Whatever is wrong with an answer, the list that is held stays in use and is asked for again: the proxy
/// keeps its lines all the while, and learns what changes after.
#[test]
fn answers_of_no_use_leave_the_list_as_it_is() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    discovery.say("s-2", "up");
    let pilot = Pilot::start("faults", &configuration(discovery.host, 64));
    let mut peer = pilot.proxy(3, "s-2");
    assert!(discovery.is_asked("index=", LONG));
    let ways = [Spoilt::Cut, Spoilt::NoList, Spoilt::Older, Spoilt::HungUp, Spoilt::Silent, Spoilt::Cut];
    assert!(discovery.spoil(&ways, LONG));
    discovery.say("s-1", "draining");
    let mut lost = false;
    assert!(peer.holds(LONG, |table| {
        lost |= !table.contains_key("s-2");
        !table.contains_key("s-1")
    }));
    assert!(!lost, "{:?}", peer.table);
}

/// Guards against a descriptor and a handshake for each call, and against a watch that starts anew each time.
#[test]
fn the_watch_stays_on_one_connection() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let pilot = Pilot::start("kept", &configuration(discovery.host, 64));
    let mut peer = pilot.proxy(3, "s-1");
    for n in 0..6 {
        discovery.say("s-2", if n % 2 == 0 { "up" } else { "draining" });
        assert!(peer.holds(LONG, |table| table.contains_key("s-2") == (n % 2 == 0)));
    }
    let (calls, connections) = discovery.calls();
    assert!(calls >= 6 && connections == 1, "{calls} calls on {connections} connections");
}

/// Guards against a proxy counted for good whose machine vanished without closing its stream: it owes answers
/// to marks, and others speak. Those that answer stay.
#[test]
fn a_stream_that_fell_silent_is_ended_and_others_stay() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let mut short = configuration(discovery.host, 64);
    short["settings"]["family-info"]["period-ms"] = json!(50.0);
    let pilot = Pilot::start("quiet", &short);
    let mut silent = pilot.proxy(3, "s-1");
    let mut others = [pilot.proxy(4, "s-1"), pilot.proxy(5, "s-1")];
    let ended = std::thread::spawn(move || while let Some(_late) = silent.hear().unwrap() {});
    while !ended.is_finished() {
        for peer in &mut others {
            peer.say(json!({"msg": "hb"})).unwrap();
            while peer.hear().unwrap().expect("the stream goes on")["msg"] != "hb_ok" {}
        }
    }
    ended.join().unwrap();
}

/// Guards against what grows with every server that was ever listed and every stream that ever came: a pilot
/// lives for months. Ids are replaced and streams come and go, some without a word more; when as many more
/// have come as are ever remembered, memory and descriptors are where they were.
#[cfg(target_os = "linux")]
#[test]
fn memory_and_descriptors_are_level_while_servers_and_streams_are_replaced() {
    const BATCH: usize = 40;
    const KIB: usize = 1024;
    let discovery = Discovery::start().unwrap();
    discovery.say("s-stays", "up");
    let pilot = Pilot::start("level", &configuration(discovery.host, 64));
    let process = PathBuf::from(format!("/proc/{}", pilot.child.id()));
    let held = || {
        let status = std::fs::read_to_string(process.join("status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        (kib, std::fs::read_dir(process.join("fd")).unwrap().count())
    };
    let mut seen = Vec::new();
    for batch in 0..45 {
        for n in 0..BATCH {
            discovery.say(&format!("s-{}", batch * BATCH + n), "up");
            if batch > 0 {
                discovery.say(&format!("s-{}", (batch - 1) * BATCH + n), "removed");
            }
        }
        let mut peers: Vec<Peer> = (0..9).map(|proxy| pilot.proxy(proxy, "s-stays")).collect();
        peers[0].send(b"{\"msg\":\"client").unwrap();
        seen.push(held());
    }
    let (before, after) = (seen[20], seen[44]);
    assert!(after.0 < before.0 + 2 * KIB, "{seen:?} KiB and descriptors");
    assert!(after.1 <= before.1 + 9, "{seen:?} KiB and descriptors");
}

/// A wrong field spoils its message and no other; what can't be read ends the connection.
#[test]
fn spoilt_messages_are_left_aside_and_garbage_ends_a_stream() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let pilot = Pilot::start("spoilt", &configuration(discovery.host, 64));
    let mut peer = pilot.proxy(3, "s-1");
    for spoilt in [
        json!({"msg": "done", "proxy": 3, "mark": -1, "took_ms": 3.5}),
        json!({"msg": "done", "proxy": 4, "mark": 0, "took_ms": 3.5}),
        json!({"msg": "client_stats", "proxy": 3, "class": "none", "tries": 1, "failed": 0, "span_ms": 9.0}),
        json!({"msg": "upstream_stats", "zone": "a", "server": "s-1", "tries": "nan", "span_ms": 9.0}),
        json!({"msg": "attach", "proxy": 5, "zone": "a", "weight": 2.5, "fresh": true}),
        json!({"msg": "unheard of"}),
    ] {
        peer.say(spoilt).unwrap();
    }
    peer.say(json!({"msg": "hb"})).unwrap();
    while peer.hear().unwrap().expect("the stream goes on")["msg"] != "hb_ok" {}
    peer.send(b"\xff\x00 and so on\n").unwrap();
    while let Some(_late) = peer.hear().unwrap() {}
    pilot.proxy(3, "s-1");
}

/// Guards against bytes for collectors, which have no use for any: not when one is sent away for what it
/// says, nor when it gives way to another.
#[test]
fn nothing_is_written_to_a_collector() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let pilot = Pilot::start("collectors", &configuration(discovery.host, 64));
    let collector = || {
        let mut peer = pilot.dial();
        peer.say(json!({"msg": "telemetry", "zone": "a"})).unwrap();
        // The answer to this shows that it was taken in; only who asks is answered.
        peer.say(json!({"msg": "hb"})).unwrap();
        assert_eq!(peer.hear().unwrap().unwrap()["msg"], "hb_ok");
        peer
    };
    let _proxy = pilot.proxy(3, "s-1");
    let mut oldest = collector();
    let mut odd = collector();
    odd.send(b"\xff\x00 and so on\n").unwrap();
    assert_eq!(odd.hear().unwrap(), None);
    let _others = [collector(), collector()];
    assert_eq!(oldest.hear().unwrap(), None);
}

/// Guards against strangers that hold what proxies need: far more of them than there are descriptors, of
/// every kind; each is sent away, and a proxy that dials amid them is served.
#[test]
fn strangers_are_sent_away_and_do_not_keep_proxies_out() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let pilot = Pilot::start("strangers", &configuration(discovery.host, 64));
    let kinds: [&[u8]; 7] = [
        b"",
        b"{\"msg\":\"att",
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        b"{\"msg\":\"attach\",\"proxy\":9,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n",
        b"{\"msg\":\"telemetry\",\"zone\":\"z\"}\n",
        b"{\"msg\":\"done\",\"proxy\":3,\"mark\":0,\"took_ms\":3.5}\n",
        b"{\"msg\":\"hb\"}\n",
    ];
    let mut strangers = Vec::new();
    for n in 0..150 {
        let mut stranger = pilot.dial();
        // It may be sent away before it has said its word.
        let _ = stranger.send(kinds[n % kinds.len()]);
        strangers.push(stranger);
    }
    let mut endless = pilot.dial();
    while endless.send(&[b'x'; 4096]).is_ok() {}
    let mut proxy = pilot.proxy(3, "s-1");
    for mut stranger in strangers {
        while let Some(said) = stranger.hear().expect("an end") {
            assert!(["hb_ok", "reject"].contains(&said["msg"].as_str().unwrap()), "{said}");
        }
    }
    proxy.say(json!({"msg": "hb"})).unwrap();
    while proxy.hear().unwrap().expect("the proxy stays")["msg"] != "hb_ok" {}
}

/// Guards against a limit that is lower than the configuration says: strangers would hold the last
/// descriptor, and no proxy could dial.
#[test]
fn descriptors_that_run_out_are_taken_from_strangers() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", "ulimit -n 40; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_oatlever")]);
    let pilot = Pilot::start_by(&mut shell, "few", &configuration(discovery.host, 1024));
    let _strangers: Vec<Peer> = (0..100).map(|_| pilot.dial()).collect();
    pilot.proxy(3, "s-1");
}

/// Guards against a fleet that has joined and begins long messages which it does not end: they may not fill
/// the memory, and whoever says what it has to is heard.
#[test]
fn messages_without_end_share_a_part_of_the_memory() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let mut small = configuration(discovery.host, 64);
    small["limits"]["memory_mb"] = json!(1);
    let pilot = Pilot::start("endless", &small);
    let mut peers: Vec<Peer> = (0..9).map(|proxy| pilot.proxy(proxy, "s-1")).collect();
    let mut honest = peers.pop().unwrap();
    // A quarter of 1 MiB holds two of them, and four of what is read of one at a time.
    let begun = [b"{".as_slice(), &vec![b' '; 100 << 10]].concat();
    for peer in &mut peers {
        // Whoever is sent away may be so before it has written all.
        let _ = peer.send(&begun);
        honest.say(json!({"msg": "hb"})).unwrap();
        while honest.hear().unwrap().expect("it stays")["msg"] != "hb_ok" {}
    }
    let mut heard = 0;
    for peer in &mut peers {
        let _ = peer.send(b"\"msg\":\"hb\"}\n");
        while let Some(said) = peer.hear().unwrap() {
            if said["msg"] == "hb_ok" {
                heard += 1;
                break;
            }
        }
    }
    assert!((1..=4).contains(&heard), "{heard} of {}", peers.len());
}

/// A pilot that is to end does so at once, also while a configuration is being tried again.
#[test]
fn the_word_to_end_does_not_wait_for_a_configuration() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-1", "up");
    let mut pilot = Pilot::start("end", &configuration(discovery.host, 64));
    std::fs::write(&pilot.path, "{").unwrap();
    pilot.signal("-HUP");
    let asked = std::time::Instant::now();
    pilot.signal("-TERM");
    assert_eq!(pilot.child.wait().unwrap().code(), Some(0));
    assert!(asked.elapsed() < Duration::from_millis(700), "{:?}", asked.elapsed());
}

/// The platform says the same in the environment; what the file leaves out is taken from there.
#[test]
fn the_environment_fills_in_what_the_configuration_leaves_out() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-2", "up");
    let mut bare = configuration(discovery.host, 64);
    for field in ["name", "listen", "discovery"] {
        bare.as_object_mut().unwrap().remove(field);
    }
    let mut program = Command::new(env!("CARGO_BIN_EXE_oatlever"));
    program.env("BALANCER_LISTEN", "127.0.0.1:0").env("BALANCER_DISCOVERY", discovery.host.to_string());
    Pilot::start_by(&mut program, "bare", &bare).proxy(3, "s-2");
    let text = refused("none", &bare);
    assert!(text.contains("`listen` is missing, and BALANCER_LISTEN is not set"), "{text}");
}

#[test]
fn a_replaced_configuration_names_another_discovery() {
    let [first, second, third] = [(); 3].map(|()| Discovery::start().unwrap());
    first.say("s-1", "up");
    let pilot = Pilot::start("reload", &configuration(first.host, 64));
    let mut peer = pilot.proxy(3, "s-1");
    assert!(first.is_asked("index=", LONG));
    // One that can't be read is left aside, whatever it was meant to say.
    std::fs::write(&pilot.path, "{").unwrap();
    pilot.signal("-HUP");
    second.say("s-1", "draining");
    second.say("s-2", "up");
    let fresh = pilot.path.with_extension("fresh");
    std::fs::write(&fresh, configuration(second.host, 64).to_string()).unwrap();
    std::fs::rename(&fresh, &pilot.path).unwrap();
    pilot.signal("-HUP");
    assert!(second.is_asked("index=", LONG));
    assert!(
        peer.holds(LONG, |table| table.contains_key("s-2") && !table.contains_key("s-1")),
        "{:?}",
        peer.table
    );

    // Moved twice in a row: the last one holds.
    for name in ["s-1", "s-2", "s-3"] {
        third.say(name, if name == "s-1" { "draining" } else { "up" });
    }
    for discovery in [&first, &third] {
        std::fs::write(&fresh, configuration(discovery.host, 64).to_string()).unwrap();
        std::fs::rename(&fresh, &pilot.path).unwrap();
        pilot.signal("-HUP");
    }
    assert!(peer.holds(LONG, |table| table.contains_key("s-3")), "{:?}", peer.table);
}

/// What is missing, odd or contradictory is told with its field and value, and nothing starts.
#[test]
fn a_wrong_configuration_is_told_with_its_place() {
    let right = configuration("127.0.0.1:9".parse().unwrap(), 64);
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
    for (n, (place, value, wanted)) in cases.into_iter().enumerate() {
        let mut wrong = right.clone();
        *wrong.pointer_mut(place).expect(place) = value;
        let text = refused(&format!("wrong-{n}"), &wrong);
        assert!(text.contains(wanted), "said {text}, wanted {wanted}");
    }
}

/// Guards against a start that is refused, or a list that is lost, for what the settings of later days hold
/// besides.
#[test]
fn fields_that_are_not_known_are_passed_over() {
    let discovery = Discovery::start().unwrap();
    discovery.say("s-2", "up");
    let mut later = configuration(discovery.host, 64);
    for place in
        ["", "/settings", "/settings/family-info", "/settings/lanes/0", "/limits", "/known/servers/0"]
    {
        later.pointer_mut(place).unwrap()["of-later-days"] = json!({"deep": [1, null]});
    }
    // An entry of the known list that can't be used refuses no start either.
    later["known"]["servers"][1]["state"] = json!(7);
    Pilot::start("later", &later).proxy(3, "s-2");
}
