//! Throughput and latency of the DNS front, compared with a bare UDP echo server. Each runs on one thread, under the
//! same load.

use crate::fleet::{server, Fleet};
use async_io::Async;
use hdrhistogram::Histogram;
use oatlever::round::Address;
use oatlever_askers::PrefixTrie;
use oatlever_dns::{serve_udp, Backend, Front, Handler, Transport};
use oatlever_leases::{AddressSelector, Answer, Client, Lifetimes};
use oatlever_settings::Settings;
use oatlever_tables::View;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of client threads.
const CLIENTS: usize = 2;
/// Number of concurrent queries of each client.
const IN_FLIGHT: usize = 16;

/// Number of askers, from which each query's is drawn at random.
const ASKERS: u32 = 20_000;

struct Answers {
    fleet: Fleet,
    selector: AddressSelector,
    rng: fastrand::Rng,
}

impl Backend for Answers {
    fn lookup(&mut self, asker: u16, class: u16, now: f64) -> Option<View<'_>> {
        self.fleet.tables.record_answer(asker, class, now);
        self.fleet.tables.view(asker, class)
    }
    fn lookup_addresses(
        &mut self,
        asker: u16,
        class: u16,
        _: Ipv4Addr,
        most: usize,
        now: f64,
    ) -> Option<Answer> {
        self.fleet.tables.record_answer(asker, class, now);
        let view = self.fleet.tables.view(asker, class)?;
        let rng = &mut self.rng;
        let host = Ipv4Addr::from(0x0a00_0000 + rng.u32(..ASKERS));
        let zone = |server: &Address| Some(u16::from(server.host[3]) % 3);
        self.selector.answer(&view, Client { host, class, group_rate: 100.0 }, most, zone, now, || rng.f64())
    }
    fn is_listed(&self, _: Ipv4Addr) -> bool {
        true
    }
    fn tables_version(&self) -> u64 {
        self.fleet.tables.version()
    }
}

struct Service {
    front: RefCell<Front>,
    answers: RefCell<Answers>,
    start: Instant,
}

impl Handler for Service {
    fn answer(&self, packet: &[u8], source: SocketAddr, via: Transport) -> Option<Vec<u8>> {
        let now = 1000.0 + self.start.elapsed().as_secs_f64();
        self.front.borrow_mut().answer(&mut *self.answers.borrow_mut(), packet, source, via, now)
    }
}

fn settings() -> Settings {
    let text = serde_json::json!({
        "zones": ["north", "south", "west"],
        "classes": [{"name": "search", "benefit": 1, "due_time": 2}],
        "rules": {"drain_grace": 3, "without_server": 3, "cold_share": 0.2, "warm_within": 10,
                  "fall_multiple": 2.5},
        "channel": {"lines_per_second": 1000, "most_waiting": 1000},
        "roster": {"source": "http://127.0.0.1:7100/targets", "period": 1, "patience": 0.5},
        "reports": {"period": 1, "patience": 0.5},
        "askers": [{"name": "all", "zone": "north", "prefixes": ["127.0.0.0/8"], "usual_rate": 5}],
        "dns": {"listen": ["127.0.0.1:0"], "origin": "shops.test", "address": "127.0.0.1", "lifetime": 1,
                "overstay": 0.5,
                "limits": {"answers_per_second": 1e9, "burst": 1e9, "prefix_bits": 32, "prefixes": 1024,
                           "connections": 64, "connections_each": 8, "idle": 1.0}},
        "status": {"listen": "127.0.0.1:0", "away_after": 5}
    });
    oatlever_settings::parse(&text.to_string()).expect("valid settings")
}

/// Encodes a DNS query with an EDNS payload size of 1,232 bytes.
fn encode_query(name: &str, kind: u16) -> Vec<u8> {
    let mut packet = vec![0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 1];
    for label in name.split('.') {
        packet.push(label.len() as u8);
        packet.extend(label.as_bytes());
    }
    packet.push(0);
    packet.extend(kind.to_be_bytes());
    packet.extend([0, 1]);
    packet.extend([0, 0, 41, 4, 208, 0, 0, 0, 0, 0, 0]);
    packet
}

/// Sends queries to a server for some seconds. Returns answers per second, the median and the 99th percentile of the
/// latency in us, and the size of an answer.
fn load(to: SocketAddr, packet: &[u8], seconds: f64) -> (f64, u64, u64, usize) {
    let client = |_| {
        let packet = packet.to_vec();
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
            socket.connect(to).expect("an address");
            socket.set_read_timeout(Some(Duration::from_millis(200))).expect("a time-out");
            let mut times = Histogram::<u64>::new(3).expect("a histogram");
            let (mut sent, mut answer, mut packet) = (vec![Instant::now(); 65536], vec![0; 4096], packet);
            let (mut id, mut size) = (0u16, 0);
            let mut send = |sent: &mut Vec<Instant>| {
                id = id.wrapping_add(1);
                packet[..2].copy_from_slice(&id.to_be_bytes());
                sent[usize::from(id)] = Instant::now();
                socket.send(&packet).expect("sent");
            };
            let until = Instant::now() + Duration::from_secs_f64(seconds);
            (0..IN_FLIGHT).for_each(|_| send(&mut sent));
            while Instant::now() < until {
                match socket.recv(&mut answer) {
                    Ok(length) => {
                        size = length;
                        let id = usize::from(u16::from_be_bytes([answer[0], answer[1]]));
                        times.record(sent[id].elapsed().as_micros() as u64).expect("recorded");
                        send(&mut sent);
                    }
                    Err(_) => (0..IN_FLIGHT).for_each(|_| send(&mut sent)),
                }
            }
            (times, size)
        })
    };
    let threads: Vec<_> = (0..CLIENTS).map(client).collect();
    let (mut total, mut size) = (Histogram::<u64>::new(3).expect("a histogram"), 0);
    for thread in threads {
        let (times, length) = thread.join().expect("a client");
        total.add(times).expect("added");
        size = length;
    }
    (total.len() as f64 / seconds, total.value_at_quantile(0.5), total.value_at_quantile(0.99), size)
}

/// How addresses for A answers are chosen.
#[derive(Clone, Copy)]
enum Selection {
    /// By weight, without a ledger.
    ByWeight,
    /// With a ledger of handed-out addresses.
    Ledger,
    /// With a ledger and this many cold servers.
    Cold(u16),
}

impl Selection {
    fn selector(self) -> AddressSelector {
        let lives = Lifetimes { normal: 1, near_cold: 1, overstay: 0.5 };
        let mut selector = AddressSelector::new(lives, 65_536, (1, 2), 0.0);
        match self {
            Selection::ByWeight => return AddressSelector::without_ledger(lives),
            Selection::Ledger => {}
            Selection::Cold(count) => {
                selector.set_cold_budgets((0..count).map(|n| (server(n), 20.0)).collect(), 0.0)
            }
        }
        (0..ASKERS).for_each(|n| selector.rates.add(Ipv4Addr::from(0x0a00_0000 + n), 0, 5.0, 1000.0));
        selector
    }
}

/// Starts a server on its own thread, which runs until the process ends.
fn serve(echo: bool, servers: u16, selection: Selection) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let host = socket.local_addr().expect("an address");
    std::thread::spawn(move || {
        if echo {
            return async_io::block_on(async {
                let socket = Async::<UdpSocket>::try_from(socket).expect("a socket");
                let mut packet = vec![0; 65535];
                loop {
                    let (length, source) = socket.recv_from(&mut packet).await.expect("a packet");
                    let _ = socket.send_to(&packet[..length], source).await;
                }
            });
        }
        let settings = settings();
        let mut prefixes = PrefixTrie::default();
        prefixes.insert(Ipv4Addr::new(127, 0, 0, 0), 8, 0);
        let service = Service {
            front: RefCell::new(Front::new(&settings, Rc::new(prefixes), 1).expect("a front")),
            answers: RefCell::new(Answers {
                fleet: Fleet::new(servers, 12),
                selector: selection.selector(),
                rng: fastrand::Rng::with_seed(2),
            }),
            start: Instant::now(),
        };
        let _ = async_io::block_on(serve_udp(socket, Rc::new(service)));
    });
    host
}

pub fn measure(seconds: f64) {
    println!("{:34} {:>10} {:>8} {:>8} {:>8} {:>8}", "", "answers/s", "of echo", "p50 us", "p99 us", "bytes");
    let srv = encode_query("_search._tcp.shops.test", 33);
    let a = encode_query("search.shops.test", 1);
    let unknown = encode_query("nothing.shops.test", 1);
    let cases = [
        ("SRV, 8 servers and addresses", 8, &srv, Selection::ByWeight),
        ("SRV, 24 servers", 24, &srv, Selection::ByWeight),
        ("A, 4 of 24 servers drawn", 24, &a, Selection::ByWeight),
        ("the same with the ledger", 24, &a, Selection::Ledger),
        ("the same with 3 servers cold", 24, &a, Selection::Cold(3)),
        ("A, 4 of 300 servers drawn", 300, &a, Selection::ByWeight),
        ("the same with the ledger", 300, &a, Selection::Ledger),
        ("the same with 40 servers cold", 300, &a, Selection::Cold(40)),
        ("no such name", 24, &unknown, Selection::ByWeight),
    ];
    for (name, servers, packet, selection) in cases {
        let (echo, front) = (serve(true, 0, selection), serve(false, servers, selection));
        // Warm up both.
        load(echo, packet, 0.2);
        load(front, packet, 0.2);
        let (echoes, median, p99, size) = load(echo, packet, seconds);
        println!("{:34} {echoes:10.0} {:8.2} {median:8} {p99:8} {size:8}", "bare echo of the query", 1.0);
        let (answers, median, p99, size) = load(front, packet, seconds);
        println!("{name:34} {answers:10.0} {:8.2} {median:8} {p99:8} {size:8}", answers / echoes);
    }
}
