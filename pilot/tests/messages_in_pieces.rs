//! Messages to a pilot on the platform whose bytes arrive in pieces, with pauses.

mod harness;

use harness::{attach, configuration, Pilot, TIMEOUT};
use oatlever_standins::pieces::Pieces;
use oatlever_standins::platform::{Discovery, Peer};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn start_discovery() -> Discovery {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    discovery
}

fn send_in_pieces(peer: &mut Peer, message: Value, pieces: Pieces) {
    let bytes = format!("{message}\n").into_bytes();
    for piece in bytes.chunks(bytes.len().div_ceil(pieces.count)) {
        // Ignored, so that the assertion tells how the connection ended.
        let _ = peer.send(piece);
        std::thread::sleep(pieces.gap);
    }
}

/// A proxy whose join message took longer to arrive than an unknown client may be silent was refused, each time it
/// connected.
#[test]
fn a_join_message_in_pieces_is_accepted() {
    let discovery = start_discovery();
    let pilot = Pilot::start("join-pieces", &configuration(discovery.address, 64));
    let mut peer = pilot.dial();
    send_in_pieces(&mut peer, attach(3), Pieces { count: 6, gap: Duration::from_millis(340) });
    assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key("s-1")), "{:?}", peer.table);
}

/// The platform's documentation owes each client that does not join an answer, or the end of its connection, within
/// 3 s, also one that keeps sending.
#[test]
fn a_client_that_never_completes_its_join_message_is_refused_in_time() {
    let discovery = start_discovery();
    let pilot = Pilot::start("join-never", &configuration(discovery.address, 64));
    let started = Instant::now();
    let mut peer = pilot.dial_accepted();
    while peer.send(b"{").is_ok() && started.elapsed() < Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "the connection is open after {:?}",
        started.elapsed()
    );
}

/// A stream with an unanswered mark was closed as silent while bytes arrived on it, since only complete messages counted.
#[test]
fn a_stream_whose_message_is_still_arriving_is_not_closed_as_silent() {
    let discovery = start_discovery();
    let mut short = configuration(discovery.address, 64);
    // Streams that owe an answer are closed after 0.8 s of silence.
    short["settings"]["family-info"]["period-ms"] = json!(50.0);
    let pilot = Pilot::start("arriving", &short);
    let mut slow = pilot.join_proxy(3, "s-1");
    let mut others = [pilot.join_proxy(4, "s-1"), pilot.join_proxy(5, "s-1")];
    let done = json!({"msg": "done", "proxy": 3, "mark": slow.marks.last(), "took_ms": 3.5});
    let sender = std::thread::spawn(move || {
        send_in_pieces(&mut slow, done, Pieces { count: 8, gap: Duration::from_millis(300) });
        slow
    });
    while !sender.is_finished() {
        for peer in &mut others {
            answer_heartbeat(peer);
        }
    }
    answer_heartbeat(&mut sender.join().unwrap());
}

fn answer_heartbeat(peer: &mut Peer) {
    peer.send_message(json!({"msg": "hb"})).unwrap();
    while peer.receive().unwrap().expect("an open connection")["msg"] != "hb_ok" {}
}
