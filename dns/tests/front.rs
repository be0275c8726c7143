//! Questions written and answers read by another codec than the front's.

use domain::base::iana::{Class, Opcode, OptRcode, Rcode, Rtype};
use domain::base::opt::UnknownOptData;
use domain::base::{Message, MessageBuilder, Name};
use domain::rdata::{AllRecordData, Hinfo, Ns, Soa, Srv, A};
use oatlever::round::{Address, Writer};
use oatlever_askers::Prefixes;
use oatlever_dns::{Desk, Front, Via};
use oatlever_handout::{Answer, Handout, Lives, Who};
use oatlever_settings::Settings;
use oatlever_tables::{Kind, News, Pull, Tables, View};
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

const LIVES: Lives = Lives { long: 1, short: 1, overstay: 0.5 };

struct Book(Tables, Handout);

impl Desk for Book {
    fn asks(&mut self, asker: u16, class: u16, _: f64) -> Option<View<'_>> {
        self.0.held(asker, class)
    }
    fn addresses(&mut self, asker: u16, class: u16, host: Ipv4Addr, most: usize, now: f64) -> Option<Answer> {
        let view = self.0.held(asker, class)?;
        let none = Answer { servers: Vec::new(), lifetime: 1 };
        let who = Who { host, class, group: 1.0 };
        let mut chance = fastrand::Rng::with_seed(now.to_bits());
        Some(self.1.answer(&view, who, most, |_| None, now, || chance.f64()).unwrap_or(none))
    }
    fn knows(&self, host: Ipv4Addr) -> bool {
        host.octets()[..3] == [10, 0, 0]
    }
    fn version(&self) -> u64 {
        self.0.version()
    }
}

struct Play {
    front: Front,
    book: Book,
    now: f64,
}

impl Play {
    /// Askers 0 and 1 hold tables of so many servers, weights 1, 2, 3, ...; asker 2 holds none yet, asker 3
    /// an empty one.
    fn new(servers: u8) -> Self {
        let settings = settings();
        let mut prefixes = Prefixes::default();
        for (asker, third) in [(0, 1), (2, 9), (3, 8)] {
            prefixes.insert(Ipv4Addr::new(127, 0, third, 0), 24, asker);
        }
        let mut tables = Tables::new(4, 2, Pull::new(&[Kind::Host; 4], 2, 1.5, 0.0), 10);
        tables.open(0.0, 1, News::default());
        for n in 0..servers {
            let server = Address { host: [10, 0, 0, n], port: 7000 + u16::from(n) };
            tables.weigh(0, server, f64::from(n) + 1.0);
            tables.weigh(1, Address { host: [10, 0, 1, n], ..server }, 1.0);
        }
        tables.bind(0, 0);
        tables.bind(1, 1);
        tables.bind(3, 2);
        tables.close();
        Play {
            front: Front::new(&settings, Rc::new(prefixes), 5).unwrap(),
            book: Book(tables, Handout::plain(LIVES)),
            now: 0.0,
        }
    }

    fn send(&mut self, packet: &[u8], source: [u8; 4], via: Via) -> Option<Vec<u8>> {
        self.now += 0.2;
        self.front.answer(&mut self.book, packet, SocketAddr::from((source, 4000)), via, self.now)
    }

    fn ask(&mut self, question: &Question, source: [u8; 4], via: Via) -> Message<Vec<u8>> {
        let packet = question.packet();
        Message::from_octets(self.send(&packet, source, via).expect("an answer")).unwrap()
    }
}

const RELAY: [u8; 4] = [127, 0, 1, 5];
const STRANGER: [u8; 4] = [127, 0, 3, 1];

/// Numbers and data.
type Options = Vec<(u16, Vec<u8>)>;

#[derive(Clone)]
struct Question {
    name: String,
    kind: Rtype,
    /// Largest answer over UDP, and options.
    edns: Option<(u16, Options)>,
}

fn question(name: &str, kind: Rtype) -> Question {
    Question { name: name.into(), kind, edns: Some((1232, Vec::new())) }
}

impl Question {
    fn packet(&self) -> Vec<u8> {
        let mut builder = MessageBuilder::new_vec().question();
        builder.header_mut().set_id(77);
        builder.header_mut().set_rd(true);
        builder
            .push((Name::<Vec<u8>>::from_chars(self.name.chars()).unwrap(), self.kind, Class::IN))
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
    let found = opt.opt().iter::<UnknownOptData<_>>().flatten().find(|o| o.code().to_int() == code);
    found.map(|o| o.data().to_vec())
}

fn services(message: &Message<Vec<u8>>) -> Vec<(u16, u16, String)> {
    let records = message.answer().unwrap().limit_to::<Srv<_>>().flatten();
    records.map(|r| (r.data().weight(), r.data().port(), r.data().target().to_string())).collect()
}

fn addresses(message: &Message<Vec<u8>>) -> Vec<Ipv4Addr> {
    message.answer().unwrap().limit_to::<A>().flatten().map(|r| r.data().addr()).collect()
}

/// Every record reads well with the other codec; none is left over.
fn all_read(message: &Message<Vec<u8>>) -> usize {
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
fn services_carry_weights_ports_and_addresses() {
    let mut play = Play::new(5);
    let answer = play.ask(&question("_search._tcp.shops.test", Rtype::SRV), RELAY, Via::Udp);
    let header = answer.header();
    assert!(header.aa() && header.rd() && !header.ra() && !header.tc() && header.qr());
    assert_eq!((header.id(), header.rcode()), (77, Rcode::NOERROR));
    let found = services(&answer);
    let all: f64 = found.iter().map(|(weight, ..)| f64::from(*weight)).sum();
    for (n, (weight, port, target)) in found.iter().enumerate() {
        assert!((f64::from(*weight) / all - (n as f64 + 1.0) / 15.0).abs() < 0.001);
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
    assert_eq!(all_read(&answer), 11);
    assert!(answer.answer().unwrap().flatten().all(|r| r.ttl().as_secs() == 1));
    // A name says the zone where the address does not.
    let south = question("_search._tcp.south.shops.test", Rtype::SRV);
    let answer = play.ask(&south, STRANGER, Via::Udp);
    assert!(services(&answer).iter().all(|(_, _, target)| target.starts_with("10-0-1-")));
}

/// Prepared answers must follow the tables: a new version is a new answer, also for a name asked before.
#[test]
fn answers_follow_the_tables() {
    let mut play = Play::new(3);
    let ask = question("_search._tcp.shops.test", Rtype::SRV);
    assert_eq!(services(&play.ask(&ask, RELAY, Via::Udp)).len(), 3);
    play.book.0.open(1.0, 2, News::default());
    play.book.0.weigh(0, Address { host: [10, 0, 0, 1], port: 7001 }, 0.0);
    play.book.0.close();
    let answer = play.ask(&ask, RELAY, Via::Udp);
    assert_eq!(services(&answer).iter().map(|(_, port, _)| *port).collect::<Vec<_>>(), [7000, 7002]);
}

#[test]
fn the_case_of_a_question_is_kept_and_does_not_matter() {
    let mut play = Play::new(4);
    let name = "_SeArCh._tCp.sHoPs.TeSt";
    for _ in 0..2 {
        let answer = play.ask(&question(name, Rtype::SRV), RELAY, Via::Udp);
        let asked = answer.sole_question().unwrap();
        assert_eq!(asked.qname().to_string(), name);
        assert_eq!(services(&answer).len(), 4);
        assert!(answer.answer().unwrap().flatten().all(|r| r.owner().to_string() == name));
        play.ask(&question("_search._tcp.shops.test", Rtype::SRV), RELAY, Via::Udp);
    }
}

/// Those who keep one address each still spread by weight, from the first few answers on.
#[test]
fn first_addresses_spread_by_weight() {
    let mut play = Play::new(5);
    let mut count = BTreeMap::new();
    let rounds = 200;
    for _ in 0..rounds {
        let drawn = addresses(&play.ask(&question("search.shops.test", Rtype::A), RELAY, Via::Udp));
        assert_eq!(drawn.len(), 4);
        *count.entry(drawn[0]).or_insert(0.0) += 1.0 / f64::from(rounds);
    }
    for n in 0..5u8 {
        let part = count[&Ipv4Addr::new(10, 0, 0, n)];
        assert!((part - (f64::from(n) + 1.0) / 15.0).abs() < 0.02, "{n}: {part}");
    }
}

#[test]
fn what_does_not_fit_is_cut_as_published() {
    let mut play = Play::new(120);
    let ask = question("_search._tcp.shops.test", Rtype::SRV);
    let udp = play.ask(&ask, RELAY, Via::Udp);
    assert!(udp.header().tc() && services(&udp).is_empty() && udp.opt().is_some());
    let tcp = play.ask(&ask, RELAY, Via::Tcp);
    assert!(!tcp.header().tc());
    assert_eq!((services(&tcp).len(), all_read(&tcp)), (120, 241));
    // Addresses that do not fit are left out without a word (RFC 2181, section 9).
    let mut play = Play::new(22);
    let udp = play.ask(&ask, RELAY, Via::Udp);
    assert!(!udp.header().tc() && udp.as_slice().len() <= 1232);
    assert_eq!((services(&udp).len(), all_read(&udp)), (22, 23));
    // Without EDNS no answer is longer than 512 bytes and none has options.
    let plain = Question { edns: None, ..ask };
    let udp = play.ask(&plain, RELAY, Via::Udp);
    assert!(udp.header().tc() && udp.as_slice().len() <= 512 && udp.opt().is_none());
    let few = play.ask(&Question { edns: None, ..question("search.shops.test", Rtype::A) }, RELAY, Via::Udp);
    assert_eq!(addresses(&few).len(), 4);
}

#[test]
fn names_without_answers_say_so() {
    let mut play = Play::new(3);
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
    for (name, kind, code) in cases {
        let answer = play.ask(&question(name, kind), RELAY, Via::Udp);
        assert_eq!(answer.header().rcode(), code, "{name} {kind}");
        assert_eq!(answer.header_counts().ancount(), 0, "{name} {kind}");
        let soa = answer.authority().unwrap().limit_to::<Soa<_>>().flatten().next().unwrap();
        assert_eq!((soa.owner().to_string(), soa.data().minimum().as_secs()), ("shops.test".into(), 1));
        all_read(&answer);
    }
    for name in ["shops.example", "test", ".", "xshops.test"] {
        let answer = play.ask(&question(name, Rtype::A), RELAY, Via::Udp);
        assert_eq!((answer.header().rcode(), answer.header().aa()), (Rcode::REFUSED, false), "{name}");
    }
    let answer = play.ask(&question("10-0-0-1.node.shops.test", Rtype::A), STRANGER, Via::Udp);
    assert_eq!(addresses(&answer), [Ipv4Addr::new(10, 0, 0, 1)]);
    let answer = play.ask(&question("shops.test", Rtype::NS), STRANGER, Via::Udp);
    let ns = answer.answer().unwrap().limit_to::<Ns<_>>().flatten().next().unwrap();
    assert_eq!(ns.data().nsdname().to_string(), "ns.shops.test");
    // RFC 8482: ANY gets one small record.
    let answer = play.ask(&question("_search._tcp.shops.test", Rtype::ANY), RELAY, Via::Udp);
    assert_eq!(answer.answer().unwrap().limit_to::<Hinfo<_>>().flatten().count(), 1);
    assert_eq!(answer.header_counts().ancount(), 1);
}

/// Nothing decided yet is trouble of ours, and resolvers keep what they have (RFC 8767); a table that is
/// empty is an answer; a stranger gets neither. All at once, held back never.
#[test]
fn empty_undecided_and_strange_are_told_apart() {
    let mut play = Play::new(3);
    let ask = question("_search._tcp.shops.test", Rtype::SRV);
    let code = |answer: Message<Vec<u8>>| (answer.header().rcode(), answer.header_counts().nscount());
    assert_eq!(code(play.ask(&ask, [127, 0, 9, 1], Via::Udp)), (Rcode::SERVFAIL, 0));
    assert_eq!(code(play.ask(&ask, [127, 0, 8, 1], Via::Udp)), (Rcode::NOERROR, 1));
    assert_eq!(code(play.ask(&ask, STRANGER, Via::Udp)), (Rcode::REFUSED, 0));
}

#[test]
fn stated_subnets_count_only_from_trusted_resolvers() {
    let mut play = Play::new(3);
    // Family 1, 24 bits, scope 0, 127.0.1.
    let ask = question("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 1]);
    let trusted = play.ask(&ask, [127, 0, 7, 1], Via::Udp);
    assert_eq!(services(&trusted).len(), 3);
    let told = option(&trusted, 8).unwrap();
    assert_eq!((told[2], told[3] <= 24 && told[3] > 8, &told[4..]), (24, true, &[127, 0, 1][..]));
    let stranger = play.ask(&ask, STRANGER, Via::Udp);
    assert_eq!(stranger.header().rcode(), Rcode::REFUSED);
    // An asker of its own keeps its table whatever it states, and the answer holds for everybody: scope 0.
    let other = question("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 9]);
    let answer = play.ask(&other, RELAY, Via::Udp);
    assert_eq!((services(&answer).len(), option(&answer, 8).unwrap()[3]), (3, 0));
}

#[test]
fn cookies_prove_a_source_and_free_it_of_the_limit() {
    let mut play = Play::new(3);
    let ask = question("_search._tcp.shops.test", Rtype::SRV);
    let first = play.ask(&ask.clone().option(10, &[7; 8]), RELAY, Via::Udp);
    let whole = option(&first, 10).unwrap();
    assert_eq!((whole.len(), &whole[..8]), (24, &[7; 8][..]));
    // Far too often, without proof: the burst, then one in two truncated, the others without an answer.
    let packet = ask.packet();
    let source = SocketAddr::from((RELAY, 4000));
    let (mut whole_answers, mut short, mut none) = (0, 0, 0i32);
    for _ in 0..100 {
        match play.front.answer(&mut play.book, &packet, source, Via::Udp, play.now) {
            None => none += 1,
            Some(bytes) if Message::from_octets(&bytes).unwrap().header().tc() => short += 1,
            Some(_) => whole_answers += 1,
        }
    }
    assert!(whole_answers <= 20 && short + none >= 80 && (short - none).abs() <= 1);
    // With proof, over TCP, or from somewhere else: answered all the same.
    let proven = ask.clone().option(10, &whole);
    for _ in 0..50 {
        let bytes = play.front.answer(&mut play.book, &proven.packet(), source, Via::Udp, play.now).unwrap();
        assert_eq!(services(&Message::from_octets(bytes).unwrap()).len(), 3);
    }
    assert!(play.front.answer(&mut play.book, &packet, source, Via::Tcp, play.now).is_some());
    let other = SocketAddr::from(([127, 0, 1, 6], 4000));
    assert!(play.front.answer(&mut play.book, &packet, other, Via::Udp, play.now).is_some());
    // A cookie of a wrong length is a malformed question.
    let odd = play.ask(&ask.option(10, &[1; 9]), [127, 0, 1, 9], Via::Udp);
    assert_eq!(odd.header().rcode(), Rcode::FORMERR);
}

#[test]
fn questions_that_make_no_sense_get_their_code() {
    let mut play = Play::new(3);
    let good = question("_search._tcp.shops.test", Rtype::SRV).packet();
    let code = |play: &mut Play, packet: &[u8]| {
        play.send(packet, RELAY, Via::Udp).map(|bytes| Message::from_octets(bytes).unwrap().header().rcode())
    };
    let mut notify = good.clone();
    notify[2] = Opcode::NOTIFY.to_int() << 3;
    assert_eq!(code(&mut play, &notify), Some(Rcode::NOTIMP));
    let mut two = good.clone();
    two[5] = 2;
    assert_eq!(code(&mut play, &two), Some(Rcode::FORMERR));
    assert_eq!(code(&mut play, &good[..20]), Some(Rcode::FORMERR));
    // A response is never answered: two servers could go on for ever.
    let mut response = good.clone();
    response[2] |= 0x80;
    assert_eq!(code(&mut play, &response), None);
    assert_eq!(code(&mut play, &good[..11]), None);
    // A later version of EDNS: BADVERS, in the extended code.
    let mut later = good.clone();
    let version = later.len() - 5;
    later[version] = 1;
    let answer = Message::from_octets(play.send(&later, RELAY, Via::Udp).unwrap()).unwrap();
    assert_eq!(answer.opt_rcode(), OptRcode::BADVERS);
}

quickcheck! {
    /// Random bytes, and good questions with bytes changed: no panic, and what comes back reads well.
    fn nothing_that_comes_does_harm(bytes: Vec<u8>, changes: Vec<(u8, u8)>) -> bool {
        let mut play = Play::new(3);
        let mut spoiled = question("_search._tcp.shops.test", Rtype::SRV).option(8, &[0, 1, 24, 0, 127, 0, 1]).packet();
        for (place, value) in changes {
            let place = usize::from(place) % spoiled.len();
            spoiled[place] = value;
        }
        [bytes, spoiled].iter().all(|packet| {
            play.send(packet, RELAY, Via::Tcp).is_none_or(|answer| {
                let message = Message::from_octets(answer).unwrap();
                all_read(&message);
                message.header().qr() && message.header().id().to_be_bytes() == packet[..2]
            })
        })
    }
}

/// Compression loops and names of 255 bytes.
#[test]
fn loops_and_longest_names_end() {
    let mut play = Play::new(3);
    let mut looped = vec![0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    looped.extend([0xc0, 12, 0, 33, 0, 1]);
    let answer = play.send(&looped, RELAY, Via::Udp).unwrap();
    assert_eq!(Message::from_octets(answer).unwrap().header().rcode(), Rcode::FORMERR);
    let label = "a".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}.shops.test", "b".repeat(50));
    let answer = play.ask(&question(&longest, Rtype::A), RELAY, Via::Udp);
    assert_eq!(answer.header().rcode(), Rcode::NXDOMAIN);
    all_read(&answer);
    let mut g = Gen::new(40);
    for _ in 0..200 {
        let mut packet = vec![0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
        packet.extend((0..40).map(|_| *g.choose(&[0xc0u8, 12, 14, 16, 0, 63, 33, 1]).unwrap()));
        play.send(&packet, RELAY, Via::Tcp);
    }
}
