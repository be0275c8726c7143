//! Queries are encoded and responses decoded by the `domain` crate, a codec independent of the front's.

use domain::base::iana::{Class, Opcode, OptRcode, Rcode, Rtype};
use domain::base::opt::UnknownOptData;
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::{AllRecordData, Hinfo, Ns, Soa, Srv, A};
use oatlever::round::{Address, Writer};
use oatlever_askers::PrefixTrie;
use oatlever_dns::{Backend, Front, Transport};
use oatlever_leases::{AddressSelector, Answer, Client, Lifetimes};
use oatlever_settings::Settings;
use oatlever_tables::{AskerKind, DeliveryTracker, RoundInputs, Tables, View};
use quickcheck::{quickcheck, Gen};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

fn settings() -> Settings {
    let text = r#"{
        "zones": ["north", "south"],
        "classes": [{"name": "search", "benefit": 1, "due_time": 2}, {"name": "part-reserve", "benefit": 1, "due_time": 2}],
        "rules": {"drain_grace": 3, "without_server": 3, "cold_share": 0.2, "warm_within": 10, "fall_multiple": 2.5},
        "channel": {"lines_per_second": 1000, "most_waiting": 1000},
        "roster": {"source": "http://127.0.0.1:7100/targets", "period": 1, "patience": 0.5},
        "reports": {"period": 1, "patience": 0.5},
        "askers": [
            {"name": "relay", "zone": "north", "prefixes": ["127.0.1.0/24"], "usual_rate": 5},
            {"name": "others", "zone": "south", "usual_rate": 5},
            {"name": "early", "zone": "north", "prefixes": ["127.0.9.0/24"], "usual_rate": 5},
            {"name": "idle", "zone": "north", "prefixes": ["127.0.8.0/24"], "usual_rate": 5}],
        "dns": {"listen": ["127.0.0.1:5300"], "origin": "shops.test", "address": "127.0.0.9",
                "lifetime": 1, "overstay": 0.5, "trusted_resolvers": ["127.0.7.0/24"],
                "limits": {"answers_per_second": 10, "burst": 20, "prefix_bits": 32, "prefixes": 64,
                           "connections": 10, "connections_each": 5, "idle": 1}},
        "status": {"listen": "127.0.0.1:7300", "away_after": 5}}"#;
    oatlever_settings::parse(text).unwrap()
}

const LIFETIMES: Lifetimes = Lifetimes { normal: 1, near_cold: 1, overstay: 0.5 };

struct TestBackend {
    tables: Tables,
    selector: AddressSelector,
}

impl Backend for TestBackend {
    fn lookup(&mut self, asker: u16, class: u16, _: f64) -> Option<View<'_>> {
        self.tables.view(asker, class)
    }
    fn lookup_addresses(
        &mut self,
        asker: u16,
        class: u16,
        host: Ipv4Addr,
        max: usize,
        now: f64,
    ) -> Option<Answer> {
        let view = self.tables.view(asker, class)?;
        let empty = Answer { servers: Vec::new(), lifetime: 1 };
        let client = Client { host, class, group_rate: 1.0 };
        let mut rng = fastrand::Rng::with_seed(now.to_bits());
        Some(self.selector.answer(&view, client, max, |_| None, now, || rng.f64()).unwrap_or(empty))
    }
    fn is_listed(&self, host: Ipv4Addr) -> bool {
        host.octets()[..3] == [10, 0, 0]
    }
    fn tables_version(&self) -> u64 {
        self.tables.version()
    }
}

struct Harness {
    front: Front,
    backend: TestBackend,
    now: f64,
}

impl Harness {
    /// Askers 0 and 1 have tables with `servers` servers, weighted 1, 2, 3, ... for asker 0; asker 2 has no
    /// table yet, asker 3 an empty one.
    fn new(servers: u8) -> Self {
        let settings = settings();
        let mut prefixes = PrefixTrie::default();
        for (asker, third) in [(0, 1), (2, 9), (3, 8)] {
            prefixes.insert(Ipv4Addr::new(127, 0, third, 0), 24, asker);
        }
        let mut tables = Tables::new(4, 2, DeliveryTracker::new(&[AskerKind::Host; 4], 2, 1.5, 0.0), 10);
        tables.begin_round(0.0, 1, RoundInputs::default());
        for n in 0..servers {
            let server = Address { host: [10, 0, 0, n], port: 7000 + u16::from(n) };
            tables.set_weight(0, server, f64::from(n) + 1.0);
            tables.set_weight(1, Address { host: [10, 0, 1, n], ..server }, 1.0);
        }
        tables.bind(0, 0);
        tables.bind(1, 1);
        tables.bind(3, 2);
        tables.end_round();
        Harness {
            front: Front::new(&settings, Rc::new(prefixes), 5).unwrap(),
            backend: TestBackend { tables, selector: AddressSelector::without_ledger(LIFETIMES) },
            now: 0.0,
        }
    }

    fn send(&mut self, packet: &[u8], source: [u8; 4], transport: Transport) -> Option<Vec<u8>> {
        self.now += 0.2;
        self.front.answer(&mut self.backend, packet, SocketAddr::from((source, 4000)), transport, self.now)
    }

    fn query(&mut self, query: &Query, source: [u8; 4], transport: Transport) -> Message<Vec<u8>> {
        let packet = query.packet();
        Message::from_octets(self.send(&packet, source, transport).expect("a response")).unwrap()
    }
}

const RELAY: [u8; 4] = [127, 0, 1, 5];
const UNKNOWN_CLIENT: [u8; 4] = [127, 0, 3, 1];

/// EDNS options: code and data.
type Options = Vec<(u16, Vec<u8>)>;

#[derive(Clone)]
struct Query {
    name: String,
    record_type: Rtype,
    /// Advertised UDP payload size, and options.
    edns: Option<(u16, Options)>,
}

fn query(name: &str, record_type: Rtype) -> Query {
    Query { name: name.into(), record_type, edns: Some((1232, Vec::new())) }
}

impl Query {
    fn packet(&self) -> Vec<u8> {
        let mut builder = MessageBuilder::new_vec().question();
        builder.header_mut().set_id(77);
        builder.header_mut().set_rd(true);
        builder
            .push((Name::<Vec<u8>>::from_chars(self.name.chars()).unwrap(), self.record_type, Class::IN))
            .unwrap();
        let mut additional = builder.additional();
        if let Some((size, options)) = &self.edns {
            let write = |opt: &mut domain::base::message_builder::OptBuilder<Vec<u8>>| {
                opt.set_udp_payload_size(*size);
                for (code, data) in options {
                    opt.push(&UnknownOptData::new((*code).into(), data.clone()).unwrap())?;
                }
                Ok(())
            };
            additional.opt(write).unwrap();
        }
        additional.finish()
    }

    fn option(mut self, code: u16, data: &[u8]) -> Self {
        self.edns.get_or_insert((1232, Vec::new())).1.push((code, data.to_vec()));
        self
    }
}

fn option(message: &Message<Vec<u8>>, code: u16) -> Option<Vec<u8>> {
    let opt = message.opt()?;
    let option = opt.opt().iter::<UnknownOptData<_>>().flatten().find(|o| o.code().to_int() == code);
    option.map(|o| o.data().to_vec())
}

/// Weight, port and target of each SRV record.
fn srv_records(message: &Message<Vec<u8>>) -> Vec<(u16, u16, String)> {
    let records = message.answer().unwrap().limit_to::<Srv<_>>().flatten();
    records.map(|r| (r.data().weight(), r.data().port(), r.data().target().to_string())).collect()
}

fn addresses(message: &Message<Vec<u8>>) -> Vec<Ipv4Addr> {
    message.answer().unwrap().limit_to::<A>().flatten().map(|r| r.data().addr()).collect()
}

/// Checks that all records decode and that their number matches the header; returns the number.
fn count_records(message: &Message<Vec<u8>>) -> usize {
    let mut count = 0;
    for section in [message.answer(), message.authority(), message.additional()] {
        for record in section.unwrap() {
            record.unwrap().to_any_record::<AllRecordData<_, _>>().unwrap();
            count += 1;
        }
    }
    let counts = message.header_counts();
    assert_eq!(count, usize::from(counts.ancount() + counts.nscount() + counts.arcount()));
    count
}

#[test]
fn srv_records_carry_weights_ports_and_addresses() {
    let mut harness = Harness::new(5);
    let answer = harness.query(&query("_search._tcp.shops.test", Rtype::SRV), RELAY, Transport::Udp);
    let header = answer.header();
    assert!(header.aa() && header.rd() && !header.ra() && !header.tc() && header.qr());
    assert_eq!((header.id(), header.rcode()), (77, Rcode::NOERROR));
    let records = srv_records(&answer);
    let total: f64 = records.iter().map(|(weight, ..)| f64::from(*weight)).sum();
    for (n, (weight, port, target)) in records.iter().enumerate() {
        assert!((f64::from(*weight) / total - (n as f64 + 1.0) / 15.0).abs() < 0.001);
        assert_eq!(
            (*port, target.as_str()),
            (7000 + n as u16, format!("10-0-0-{n}.node.shops.test").as_str())
        );
    }
    let additional: BTreeMap<String, Ipv4Addr> = answer
        .additional()
        .unwrap()
        .limit_to::<A>()
        .flatten()
        .map(|r| (r.owner().to_string(), r.data().addr()))
        .collect();
    assert_eq!(additional["10-0-0-3.node.shops.test"], Ipv4Addr::new(10, 0, 0, 3));
    assert_eq!(count_records(&answer), 11);
    assert!(answer.answer().unwrap().flatten().all(|r| r.ttl().as_secs() == 1));
    // A zone in the name selects the table of a client whose address belongs to no asker.
    let south = query("_search._tcp.south.shops.test", Rtype::SRV);
    let answer = harness.query(&south, UNKNOWN_CLIENT, Transport::Udp);
    assert!(srv_records(&answer).iter().all(|(_, _, target)| target.starts_with("10-0-1-")));
}

/// A cached answer must not outlive its table version.
#[test]
fn answers_follow_the_tables() {
    let mut harness = Harness::new(3);
    let search = query("_search._tcp.shops.test", Rtype::SRV);
    assert_eq!(srv_records(&harness.query(&search, RELAY, Transport::Udp)).len(), 3);
    harness.backend.tables.begin_round(1.0, 2, RoundInputs::default());
    harness.backend.tables.set_weight(0, Address { host: [10, 0, 0, 1], port: 7001 }, 0.0);
    harness.backend.tables.end_round();
    let answer = harness.query(&search, RELAY, Transport::Udp);
    assert_eq!(srv_records(&answer).iter().map(|(_, port, _)| *port).collect::<Vec<_>>(), [7000, 7002]);
}

#[test]
fn query_names_match_in_any_case_and_keep_their_case() {
    let mut harness = Harness::new(4);
    let name = "_SeArCh._tCp.sHoPs.TeSt";
    for _ in 0..2 {
        let answer = harness.query(&query(name, Rtype::SRV), RELAY, Transport::Udp);
        let question = answer.sole_question().unwrap();
        assert_eq!(question.qname().to_string(), name);
        assert_eq!(srv_records(&answer).len(), 4);
        assert!(answer.answer().unwrap().flatten().all(|r| r.owner().to_string() == name));
        harness.query(&query("_search._tcp.shops.test", Rtype::SRV), RELAY, Transport::Udp);
    }
}

/// Clients that use only the first address are spread by weight, also over few answers.
#[test]
fn first_addresses_spread_by_weight() {
    let mut harness = Harness::new(5);
    let mut count = BTreeMap::new();
    let rounds = 200;
    for _ in 0..rounds {
        let selected =
            addresses(&harness.query(&query("search.shops.test", Rtype::A), RELAY, Transport::Udp));
        assert_eq!(selected.len(), 4);
        *count.entry(selected[0]).or_insert(0.0) += 1.0 / f64::from(rounds);
    }
    for n in 0..5u8 {
        let share = count[&Ipv4Addr::new(10, 0, 0, n)];
        assert!((share - (f64::from(n) + 1.0) / 15.0).abs() < 0.02, "{n}: {share}");
    }
}

#[test]
fn oversized_responses_are_truncated() {
    let mut harness = Harness::new(120);
    let search = query("_search._tcp.shops.test", Rtype::SRV);
    let udp = harness.query(&search, RELAY, Transport::Udp);
    assert!(udp.header().tc() && srv_records(&udp).is_empty() && udp.opt().is_some());
    let tcp = harness.query(&search, RELAY, Transport::Tcp);
    assert!(!tcp.header().tc());
    assert_eq!((srv_records(&tcp).len(), count_records(&tcp)), (120, 241));
    // Additional records that do not fit are omitted without setting TC (RFC 2181, section 9).
    let mut harness = Harness::new(22);
    let udp = harness.query(&search, RELAY, Transport::Udp);
    assert!(!udp.header().tc() && udp.as_slice().len() <= 1232);
    assert_eq!((srv_records(&udp).len(), count_records(&udp)), (22, 23));
    // Without EDNS a response has at most 512 bytes and no OPT record.
    let without_edns = Query { edns: None, ..search };
    let udp = harness.query(&without_edns, RELAY, Transport::Udp);
    assert!(udp.header().tc() && udp.as_slice().len() <= 512 && udp.opt().is_none());
    let few =
        harness.query(&Query { edns: None, ..query("search.shops.test", Rtype::A) }, RELAY, Transport::Udp);
    assert_eq!(addresses(&few).len(), 4);
}

#[test]
fn negative_and_special_names_get_their_response_codes() {
    let mut harness = Harness::new(3);
    let cases = [
        ("_search._tcp.shops.test", Rtype::A, Rcode::NOERROR),
        ("search.shops.test", Rtype::AAAA, Rcode::NOERROR),
        ("_tcp.shops.test", Rtype::A, Rcode::NOERROR),
        ("north.shops.test", Rtype::A, Rcode::NOERROR),
        ("_tcp.north.shops.test", Rtype::SRV, Rcode::NOERROR),
        ("node.shops.test", Rtype::A, Rcode::NOERROR),
        ("_nothing._tcp.shops.test", Rtype::SRV, Rcode::NXDOMAIN),
        ("_search._udp.shops.test", Rtype::SRV, Rcode::NXDOMAIN),
        ("a.b.c.d.shops.test", Rtype::A, Rcode::NXDOMAIN),
        ("10-9-0-1.node.shops.test", Rtype::A, Rcode::NXDOMAIN),
        ("010-0-0-1.node.shops.test", Rtype::A, Rcode::NXDOMAIN),
    ];
    for (name, record_type, code) in cases {
        let answer = harness.query(&query(name, record_type), RELAY, Transport::Udp);
        assert_eq!(answer.header().rcode(), code, "{name} {record_type}");
        assert_eq!(answer.header_counts().ancount(), 0, "{name} {record_type}");
        let soa = answer.authority().unwrap().limit_to::<Soa<_>>().flatten().next().unwrap();
        assert_eq!((soa.owner().to_string(), soa.data().minimum().as_secs()), ("shops.test".into(), 1));
        count_records(&answer);
    }
    for name in ["shops.example", "test", ".", "xshops.test"] {
        let answer = harness.query(&query(name, Rtype::A), RELAY, Transport::Udp);
        assert_eq!((answer.header().rcode(), answer.header().aa()), (Rcode::REFUSED, false), "{name}");
    }
    let answer = harness.query(&query("10-0-0-1.node.shops.test", Rtype::A), UNKNOWN_CLIENT, Transport::Udp);
    assert_eq!(addresses(&answer), [Ipv4Addr::new(10, 0, 0, 1)]);
    let answer = harness.query(&query("shops.test", Rtype::NS), UNKNOWN_CLIENT, Transport::Udp);
    let ns = answer.answer().unwrap().limit_to::<Ns<_>>().flatten().next().unwrap();
    assert_eq!(ns.data().nsdname().to_string(), "ns.shops.test");
    // RFC 8482: ANY is answered with a single HINFO record.
    let answer = harness.query(&query("_search._tcp.shops.test", Rtype::ANY), RELAY, Transport::Udp);
    assert_eq!(answer.answer().unwrap().limit_to::<Hinfo<_>>().flatten().count(), 1);
    assert_eq!(answer.header_counts().ancount(), 1);
}

/// Without a table yet, SERVFAIL lets resolvers go on serving stale answers (RFC 8767); an empty table is a
/// valid answer without data; clients that belong to no asker are refused.
#[test]
fn missing_table_empty_table_and_unknown_client_get_different_codes() {
    let mut harness = Harness::new(3);
    let search = query("_search._tcp.shops.test", Rtype::SRV);
    let code = |answer: Message<Vec<u8>>| (answer.header().rcode(), answer.header_counts().nscount());
    assert_eq!(code(harness.query(&search, [127, 0, 9, 1], Transport::Udp)), (Rcode::SERVFAIL, 0));
    assert_eq!(code(harness.query(&search, [127, 0, 8, 1], Transport::Udp)), (Rcode::NOERROR, 1));
    assert_eq!(code(harness.query(&search, UNKNOWN_CLIENT, Transport::Udp)), (Rcode::REFUSED, 0));
}

#[test]
fn client_subnets_are_used_only_from_trusted_resolvers() {
    let mut harness = Harness::new(3);
    // Family 1, 24 bits, scope 0, 127.0.1.
    let search = query("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 1]);
    let trusted = harness.query(&search, [127, 0, 7, 1], Transport::Udp);
    assert_eq!(srv_records(&trusted).len(), 3);
    let subnet = option(&trusted, 8).unwrap();
    assert_eq!((subnet[2], subnet[3] <= 24 && subnet[3] > 8, &subnet[4..]), (24, true, &[127, 0, 1][..]));
    let refused = harness.query(&search, UNKNOWN_CLIENT, Transport::Udp);
    assert_eq!(refused.header().rcode(), Rcode::REFUSED);
    // The subnet option of an untrusted asker does not change its table; the scope of its answer is 0.
    let other_subnet = query("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 9]);
    let answer = harness.query(&other_subnet, RELAY, Transport::Udp);
    assert_eq!((srv_records(&answer).len(), option(&answer, 8).unwrap()[3]), (3, 0));
}

#[test]
fn verified_cookies_exempt_a_source_from_the_rate_limit() {
    let mut harness = Harness::new(3);
    let search = query("_search._tcp.shops.test", Rtype::SRV);
    let first = harness.query(&search.clone().option(10, &[7; 8]), RELAY, Transport::Udp);
    let cookie = option(&first, 10).unwrap();
    assert_eq!((cookie.len(), &cookie[..8]), (24, &[7; 8][..]));
    // Over the limit without a cookie: answers up to the burst, then half truncated and half dropped.
    let packet = search.packet();
    let source = SocketAddr::from((RELAY, 4000));
    let (mut complete, mut truncated, mut dropped) = (0, 0, 0i32);
    for _ in 0..100 {
        match harness.front.answer(&mut harness.backend, &packet, source, Transport::Udp, harness.now) {
            None => dropped += 1,
            Some(bytes) if Message::from_octets(&bytes).unwrap().header().tc() => truncated += 1,
            Some(_) => complete += 1,
        }
    }
    assert!(complete <= 20 && truncated + dropped >= 80 && (truncated - dropped).abs() <= 1);
    // Queries with a cookie, over TCP, or from another address are still answered.
    let with_cookie = search.clone().option(10, &cookie);
    for _ in 0..50 {
        let bytes = harness
            .front
            .answer(&mut harness.backend, &with_cookie.packet(), source, Transport::Udp, harness.now)
            .unwrap();
        assert_eq!(srv_records(&Message::from_octets(bytes).unwrap()).len(), 3);
    }
    assert!(harness
        .front
        .answer(&mut harness.backend, &packet, source, Transport::Tcp, harness.now)
        .is_some());
    let other = SocketAddr::from(([127, 0, 1, 6], 4000));
    assert!(harness
        .front
        .answer(&mut harness.backend, &packet, other, Transport::Udp, harness.now)
        .is_some());
    // A cookie of invalid length is a format error.
    let malformed = harness.query(&search.option(10, &[1; 9]), [127, 0, 1, 9], Transport::Udp);
    assert_eq!(malformed.header().rcode(), Rcode::FORMERR);
}

#[test]
fn invalid_queries_get_their_response_codes() {
    let mut harness = Harness::new(3);
    let valid = query("_search._tcp.shops.test", Rtype::SRV).packet();
    let code = |harness: &mut Harness, packet: &[u8]| {
        harness
            .send(packet, RELAY, Transport::Udp)
            .map(|bytes| Message::from_octets(bytes).unwrap().header().rcode())
    };
    let mut notify = valid.clone();
    notify[2] = Opcode::NOTIFY.to_int() << 3;
    assert_eq!(code(&mut harness, &notify), Some(Rcode::NOTIMP));
    let mut two = valid.clone();
    two[5] = 2;
    assert_eq!(code(&mut harness, &two), Some(Rcode::FORMERR));
    assert_eq!(code(&mut harness, &valid[..20]), Some(Rcode::FORMERR));
    // A response is never answered: two servers could answer each other forever.
    let mut response = valid.clone();
    response[2] |= 0x80;
    assert_eq!(code(&mut harness, &response), None);
    assert_eq!(code(&mut harness, &valid[..11]), None);
    // An unsupported EDNS version: BADVERS, in the extended response code.
    let mut later = valid.clone();
    let version = later.len() - 5;
    later[version] = 1;
    let answer = Message::from_octets(harness.send(&later, RELAY, Transport::Udp).unwrap()).unwrap();
    assert_eq!(answer.opt_rcode(), OptRcode::BADVERS);
}

quickcheck! {
    /// Random bytes and corrupted queries cause no panic, and every response decodes.
    fn malformed_packets_do_no_harm(bytes: Vec<u8>, changes: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(3);
        let mut corrupted = query("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 1]).packet();
        for (offset, value) in changes {
            let offset = usize::from(offset) % corrupted.len();
            corrupted[offset] = value;
        }
        [bytes, corrupted].iter().all(|packet| {
            harness.send(packet, RELAY, Transport::Tcp).is_none_or(|answer| {
                let message = Message::from_octets(answer).unwrap();
                count_records(&message);
                message.header().qr() && message.header().id().to_be_bytes() == packet[..2]
            })
        })
    }
}

/// Compression loops and names of 255 bytes must not hang or crash the parser.
#[test]
fn compression_loops_and_longest_names_are_handled() {
    let mut harness = Harness::new(3);
    let mut looped = vec![0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    looped.extend([0xc0, 12, 0, 33, 0, 1]);
    let answer = harness.send(&looped, RELAY, Transport::Udp).unwrap();
    assert_eq!(Message::from_octets(answer).unwrap().header().rcode(), Rcode::FORMERR);
    let label = "a".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}.shops.test", "b".repeat(50));
    let answer = harness.query(&query(&longest, Rtype::A), RELAY, Transport::Udp);
    assert_eq!(answer.header().rcode(), Rcode::NXDOMAIN);
    count_records(&answer);
    let mut g = Gen::new(40);
    for _ in 0..200 {
        let mut packet = vec![0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
        packet.extend((0..40).map(|_| *g.choose(&[0xc0u8, 12, 14, 16, 0, 63, 33, 1]).unwrap()));
        harness.send(&packet, RELAY, Transport::Tcp);
    }
}
