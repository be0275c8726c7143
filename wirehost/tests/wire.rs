//! Byte layouts against the examples of the protocol, and errors for malformed input.

use oatlever::round::{Address, Writer};
use oatlever_wirehost::{frame, host::Host};

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    digits.chunks(2).map(pair).collect()
}

/// Records of 56 bytes each, zero-filled, then a tail.
fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut out = 250.0f64.to_be_bytes().to_vec();
    let length = 20 + 56 * records.len() + tail.len();
    out.extend((length as u32).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(9u32.to_be_bytes());
    for record in records {
        let mut record = record.clone();
        record.resize(56, 0);
        out.extend(record);
    }
    out.extend(tail);
    out
}

fn answer(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, String> {
    let batch = frame::read_batch(&mut &bytes[..]).map_err(|e| e.to_string())?;
    host.answer(&batch.expect("a batch")).map_err(|e| e.to_string())
}

const CONF: &str = r#"{"family-info": {"bootstrap": 12, "egress-per-s": 8600.0, "head": 4.0,
    "level-kind": "share", "mutating": [false, true], "one-owner": false, "partitions-n": 0,
    "data-plane-size": 9, "choice": "weighted",
    "per-try": 0.8, "period-ms": 1000.0, "queue-cap": 8600.0, "reloads-max": 0,
    "transit-max-ms": 545.0, "update-window-ms": 10000.0, "write-life-ms": 4020.0,
    "zone-bound": [false, false], "something-new": {"a": [1]}},
  "fees": {"cross-zone": 0.04}, "limits": {"probes": true},
  "lanes": [{"deadline-ms": 6000.0, "effect": "pure", "slo-ms": 2000.0, "worth": 1.0},
            {"deadline-ms": 4000.0, "effect": "side_effect", "slo-ms": 1200.0, "worth": 3.0}],
  "registry-mode": "pushed", "siblings": 1, "stats": {"fields": ["rif"], "how": "inline"},
  "rules": {"ask-within-ms": 10000.0, "fall-multiple": 2.5, "overload-for-ms": 2000.0,
    "start-capacity": 0.15, "stop-sending-within-ms": 2000.0, "warm-within-ms": 16000.0},
  "zones": ["atlanta", "athens", "macon"]}"#;

/// The start event of an instance, whose settings are in the tail.
fn start_event(instance: u16, offset: u32, length: usize) -> Vec<u8> {
    let mut record = bytes("0105");
    record.extend(instance.to_be_bytes());
    record.extend(77u64.to_be_bytes());
    record.extend(offset.to_be_bytes());
    record.extend((length as u32).to_be_bytes());
    record
}

fn started_host() -> Host {
    let mut host = Host::default();
    let start = batch(&[start_event(3, 0, CONF.len())], CONF.as_bytes());
    answer(&mut host, &start).expect("a start");
    host
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let empty = bytes("40c06e2000000000 00000014 00000000 00000001");
    let reply = answer(&mut Host::default(), &empty).unwrap();
    assert_eq!(reply, bytes("00000000 0000000c 00000001"));
}

#[test]
fn orders_are_encoded_as_in_the_protocol_s_examples() {
    let mut reply = frame::Reply::default();
    let server = Address { host: [0x0a, 0x90, 0x11, 0xf2], port: 0x1b84 };
    reply.set_instance(3);
    reply.set_weight(0x75, server, 0.5);
    reply.set_timer(0.5, 0x4d);
    reply.bind(0x29, 0x75);
    reply.set_level(0x75, 2, 0.5, 1);
    reply.set_instance(5);
    reply.log("two servers known");
    let expected = bytes(
        "00000005 00000095 0000000c
         0105 0003 0075 0a9011f2 1b84 3f000000 0000000000000000
         0107 0003 407f400000000000 000000000000004d 00000000
         0108 0003 0029 0075 0000 0000000000000000000000000000
         0109 0003 0075 0002 3f000000 01 0000000000000000000000
         0100 0005 00000000 00000011 000000000000000000000000
         74776f2073657276657273206b6e6f776e",
    );
    assert_eq!(reply.finish(0x0c), expected);
}

#[test]
fn events_of_the_protocol_s_examples_are_decoded() {
    let mut host = started_host();
    let stats = bytes(
        "010a 0003 00000001 0000 4048200000000000 0000000e 0a124a07 1b5b 408f400000000000
         01 40e00000 00000000 00000000 00000000",
    );
    let tick = bytes("0101 0003 000000000000004d");
    let usage = bytes("010b 0003 0029 00 00000009 00000000 409f400000000000");
    let joined = bytes("0104 0003 40d00000 0000 01 0029");
    let mut list = bytes("0100 0003 02 0000000000000029 00000000 00000002");
    list.resize(56, 0);
    let entries = bytes(
        "0a124a07 1b5b 0000 00 0000 01 3f800000 0000000000000000
         0a9011f2 1b84 0001 00 0000 01 3fc00000 40b7d40000000000",
    );
    let records = [list, joined, stats, usage, tick];
    let reply = answer(&mut host, &batch(&records, &entries)).unwrap();
    let codes: Vec<&[u8]> = reply[12..].chunks(24).map(|record| &record[..2]).collect();
    assert!(codes.contains(&&bytes("0105")[..]), "lines are written: {codes:02x?}");
    let bind = reply[12..].chunks(24).find(|record| record[..2] == [1, 8]).expect("a bind");
    assert_eq!(bind[4..6], [0, 0x29]);
}

#[test]
fn instances_are_independent_and_a_restart_drops_state() {
    let mut host = started_host();
    let both = batch(
        &[bytes("0109 0003"), start_event(3, 0, CONF.len()), start_event(4, 0, CONF.len())],
        CONF.as_bytes(),
    );
    assert!(answer(&mut host, &both).is_ok());
    let joined = bytes("0104 0004 40d00000 0000 01 0029");
    let reply = answer(&mut host, &batch(&[joined], &[])).unwrap();
    let instances: Vec<&[u8]> = reply[12..].chunks(24).map(|record| &record[2..4]).collect();
    assert!(instances.iter().all(|i| *i == [0, 4]), "only the instance with an event acts: {instances:?}");
}

#[test]
fn malformed_input_is_reported() {
    let whole = batch(&[bytes("0101 0003")], &[]);
    let settings = |from: &str, to: &str, expected| {
        let conf = CONF.replace(from, to);
        (batch(&[start_event(1, 0, conf.len())], conf.as_bytes()), expected)
    };
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (whole[..10].to_vec(), "10 bytes into a frame header"),
        (whole[..50].to_vec(), "input ends after"),
        (bytes("40c06e2000000000 00000010 00000000 00000001"), "does not fit"),
        (bytes("40c06e2000000000 ffffffff 00000000 00000001"), "does not fit"),
        (bytes("7ff8000000000000 00000014 00000000 00000001"), "not a number"),
        (batch(&[bytes("0101 0007")], &[]), "never started"),
        (batch(&[bytes("02ff 0003")], &[]), "unknown code"),
        (batch(&[bytes("0100 0003 01 0000000000000029 00000000 00000001")], &[]), "outside a tail"),
        (batch(&[bytes("0100 0003 09 0000000000000029")], &[]), "unknown kind"),
        (batch(&[[bytes("010a 0003"), vec![0; 32], vec![5]].concat()], &[]), "a load report of 5 values"),
        (batch(&[start_event(5, 0, 3)], b"{{{"), "not JSON"),
        (batch(&[start_event(5, 0, 2)], b"{}"), "`family-info` is missing"),
        settings("\"head\": 4.0", "\"head\": \"x\"", "`family-info.head` is \"x\", not a number"),
        settings("\"head\": 4.0", "\"head\": -1", "`family-info.head` is -1, not a number"),
        settings("\"probes\": true", "\"probes\": 3", "`limits.probes` is 3, not true or false"),
        settings(
            "[\"atlanta\", \"athens\", \"macon\"]",
            "[]",
            "`zones` is [], not a list of one zone or more",
        ),
        settings("\"worth\": 3.0", "\"worthy\": 3.0", "`worth` is missing in `lanes[1]`"),
    ];
    for (input, expected) in cases {
        let error = answer(&mut started_host(), &input).expect_err("an error");
        assert!(error.contains(expected), "got `{error}`, expected `{expected}`");
    }
}
