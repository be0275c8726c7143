//! Responses of discovery that arrive in pieces, late, or not at all, and a pilot as a process that reads them.

mod harness;

use harness::{configuration, Pilot, TIMEOUT};
use oatlever_standins::pieces::Pieces;
use oatlever_standins::platform::{Discovery, ResponseFault};
use std::time::{Duration, Instant};

/// The protocol counts a response as received this long after the request, whether it has arrived or not.
const RECEIVED_AT_LATEST: Duration = Duration::from_secs(6);
/// The same for a watch of the pilot's 2 s: 2 s after the wait ends.
const CHANGE_RECEIVED_AT_LATEST: Duration = Duration::from_secs(4);

fn start_discovery(pieces: Pieces) -> Discovery {
    let discovery = Discovery::start().unwrap();
    discovery.set_state("s-1", "up");
    discovery.set_state("s-2", "up");
    discovery.send_in_pieces(pieces);
    discovery
}

/// Checks that a pilot takes up the whole list, and then a drain, from a discovery that responds in pieces.
fn assert_list_is_followed(name: &str, pieces: Pieces) {
    let discovery = start_discovery(pieces);
    let pilot = Pilot::start(name, &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-old")), "{:?}", peer.table);
    discovery.set_state("s-1", "draining");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);
}

/// The pilot gave up each response after 1 s, however it progressed, and requested the same list for ever: servers
/// that drained or were gone stayed in its tables.
#[test]
fn a_response_that_takes_longer_than_a_silence_is_read() {
    assert_list_is_followed("pieces", Pieces { count: 6, gap: Duration::from_millis(300) });
}

/// A pause within a response may be longer than the silence after which the list is requested again. If each response
/// has one, the pilot must still read them.
#[test]
fn a_response_that_continues_after_the_next_request_is_read() {
    assert_list_is_followed("pauses", Pieces { count: 4, gap: Duration::from_millis(1300) });
}

/// SIGHUP moves the pilot to a discovery that responds in pieces.
#[test]
fn a_response_in_pieces_is_read_after_a_move() {
    let first = Discovery::start().unwrap();
    first.set_state("s-1", "up");
    let pilot = Pilot::start("pieces-moved", &configuration(first.address, 64));
    let mut peer = pilot.join_proxy(3, "s-1");
    assert!(first.wait_for_request("index=", TIMEOUT));
    let second = start_discovery(Pieces { count: 6, gap: Duration::from_millis(300) });
    std::fs::write(&pilot.path, configuration(second.address, 64).to_string()).unwrap();
    pilot.signal("-HUP");
    assert!(peer.wait_for_table(TIMEOUT, |table| table.contains_key("s-2")), "{:?}", peer.table);
}

/// Connections that fall silent at any point of the response to a first request are replaced soon enough that the list
/// arrives when the protocol counts it as received. Waiting for slow responses on each of them would take far longer.
#[test]
fn a_first_list_arrives_in_time_after_silent_connections() {
    let discovery = start_discovery(Pieces::ONE);
    discovery.set_state("s-1", "draining");
    discovery.queue_faults(&[
        ResponseFault::NoResponse,
        ResponseFault::StalledHeaders,
        ResponseFault::StalledBody,
    ]);
    let started = Instant::now();
    let pilot = Pilot::start("silent-start", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-old");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);
    assert!(started.elapsed() < RECEIVED_AT_LATEST, "{:?}", started.elapsed());
}

/// The same for the responses of a watch, which the pilot must not await for as long as the service may wait for a
/// change.
#[test]
fn a_change_arrives_in_time_after_connections_that_fell_silent_within_a_response() {
    let discovery = start_discovery(Pieces::ONE);
    let pilot = Pilot::start("silent-change", &configuration(discovery.address, 64));
    let mut peer = pilot.join_proxy(3, "s-2");
    assert!(discovery.wait_for_request("index=", TIMEOUT));
    discovery.queue_faults(&[ResponseFault::StalledHeaders, ResponseFault::StalledBody]);
    let started = Instant::now();
    discovery.set_state("s-1", "draining");
    assert!(peer.wait_for_table(TIMEOUT, |table| !table.contains_key("s-1")), "{:?}", peer.table);
    assert!(started.elapsed() < CHANGE_RECEIVED_AT_LATEST, "{:?}", started.elapsed());
}
