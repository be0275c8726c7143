//! Time and memory of the ledger of handed-out addresses, compared with maps that store every lease, by the number of
//! askers.

use crate::fleet::{memory, server};
use oatlever::round::Address;
use oatlever_leases::{AddressSelector, Client, HeavyHitters, Ledger, Lifetimes};
use oatlever_tables::{View, WeightedIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Instant;

/// Maximum number of askers in the ledger.
const MAX_ASKERS: usize = 65_536;
const SERVERS: u16 = 300;
/// Addresses per answer.
const ADDRESSES: u16 = 4;
/// Seconds for which an answer is used.
const HOLD_TIME: f64 = 1.5;
const CALLS: u32 = 400_000;

/// A ledger that stores every lease.
#[derive(Default)]
struct MapLedger {
    /// Expiry and weight by asker and server.
    askers: HashMap<Ipv4Addr, HashMap<Address, (f64, f64)>>,
    /// Total weight and leases in order of expiry, by server.
    servers: BTreeMap<Address, (f64, BTreeSet<(u64, Ipv4Addr)>)>,
}

impl MapLedger {
    /// Stores leases of some servers to an asker until a given time.
    fn add(
        &mut self,
        host: Ipv4Addr,
        weight: f64,
        servers: impl Iterator<Item = Address>,
        until: f64,
        now: f64,
    ) {
        for server in servers {
            self.outstanding(&server, now);
            let previous = self.askers.entry(host).or_default().insert(server, (until, weight));
            let (sum, expiries) = self.servers.entry(server).or_default();
            if let Some((old, weight)) = previous.filter(|(old, _)| expiries.remove(&(old.to_bits(), host))) {
                debug_assert!(old > 0.0);
                *sum -= weight;
            }
            expiries.insert((until.to_bits(), host));
            *sum += weight;
        }
    }

    /// Returns the weight of unexpired leases of a server.
    fn outstanding(&mut self, server: &Address, now: f64) -> f64 {
        let Some((sum, expiries)) = self.servers.get_mut(server) else { return 0.0 };
        while let Some((until, host)) =
            expiries.first().copied().filter(|(until, _)| f64::from_bits(*until) <= now)
        {
            expiries.pop_first();
            if let Some((_, weight)) = self.askers.get_mut(&host).and_then(|held| held.remove(server)) {
                *sum -= weight;
            }
            debug_assert!(until > 0);
        }
        *sum
    }
}

/// Calls `call` repeatedly. Returns nanoseconds per call and the growth of the process in KiB.
fn time_and_memory<T>(mut state: T, mut call: impl FnMut(&mut T, u32)) -> (f64, f64) {
    let before = memory();
    let start = Instant::now();
    (0..CALLS).for_each(|n| call(&mut state, n));
    let time = start.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS);
    let growth = memory() - before;
    // Leaked, so that the next measurement can't reuse its memory.
    std::mem::forget(state);
    (time, growth)
}

pub fn measure() {
    println!(
        "{:34} {:>9} {:>9} {:>9} {:>7} {:>9} {:>9}",
        "", "askers", "ns, ours", "plain", "ratio", "KiB, ours", "plain"
    );
    for askers in [1_000, 100_000, 1_000_000] {
        // 20,000 answers per second.
        let query = |n: u32| {
            let mut rng = fastrand::Rng::with_seed(u64::from(n));
            let host = Ipv4Addr::from(0x0a00_0000 + rng.u32(..askers));
            let first = rng.u16(..SERVERS);
            let servers = (0..ADDRESSES).map(move |k| server((first + k) % SERVERS));
            (host, servers, 100.0 + f64::from(n) / 20_000.0)
        };
        let ours = time_and_memory(Ledger::new(MAX_ASKERS, (1, 2)), |ledger, n| {
            let (host, servers, now) = query(n);
            ledger.record_answer((host, 0), 1.0, servers.clone(), (now, HOLD_TIME), now);
            servers.for_each(|server| _ = black_box(ledger.outstanding(&server, now)));
        });
        let plain = time_and_memory(MapLedger::default(), |plain, n| {
            let (host, servers, now) = query(n);
            plain.add(host, 1.0, servers.clone(), now + HOLD_TIME, now);
            servers.for_each(|server| _ = black_box(plain.outstanding(&server, now)));
        });
        row("an answer of four and its load", askers, ours, plain);
        let host =
            |n: u32| Ipv4Addr::from(0x0a00_0000 + fastrand::Rng::with_seed(u64::from(n)).u32(..askers));
        let ours = time_and_memory(HeavyHitters::new(MAX_ASKERS), |hosts, n| {
            hosts.add(host(n), 0, 1.0, f64::from(n) / 20_000.0)
        });
        let plain = time_and_memory(HashMap::<Ipv4Addr, f64>::new(), |map, n| {
            *map.entry(host(n)).or_default() += 1.0
        });
        row("a count of an asker's queries", askers, ours, plain);
    }
    measure_selection();
}

/// Measures the selection of an answer's addresses without a ledger, with one, and with one and cold servers.
fn measure_selection() {
    println!(
        "\nns to choose four addresses   servers   drawn by weight   with the ledger   with a tenth cold"
    );
    for servers in [24_u16, 300] {
        let index = WeightedIndex::new((0..servers).map(|n| (server(n), 1.0 + f64::from(n % 5))));
        let view = View { table: 0, version: 1, index: &index, level: 1.0, retry_mode: 0 };
        let lives = Lifetimes { normal: 1, near_cold: 1, overstay: 0.5 };
        let time = |mut selector: AddressSelector, cold: u16| {
            selector.set_cold_budgets((0..cold).map(|n| (server(n * 10), 20.0)).collect(), 0.0);
            let mut rng = fastrand::Rng::with_seed(1);
            let host = |n: u32| Ipv4Addr::from(0x0a00_0000 + n % 20_000);
            (0..20_000).for_each(|n| selector.rates.add(host(n), 0, 5.0, 100.0));
            time_and_memory(selector, |selector, n| {
                let who = Client { host: host(n * 7919), class: 0, group_rate: 100.0 };
                let zone = |server: &Address| Some(u16::from(server.host[3] % 3));
                let now = 100.0 + f64::from(n) / 20_000.0;
                black_box(selector.answer(&view, who, 4, zone, now, || rng.f64()));
            })
            .0
        };
        let with_ledger = || AddressSelector::new(lives, MAX_ASKERS, (1, 2), 0.0);
        let (plain, ledger, cold) = (
            time(AddressSelector::without_ledger(lives), 0),
            time(with_ledger(), 0),
            time(with_ledger(), servers / 10),
        );
        println!("{servers:39} {plain:17.0} {ledger:17.0} {cold:19.0}");
    }
}

fn row(what: &str, askers: u32, ours: (f64, f64), plain: (f64, f64)) {
    let ratio = plain.0 / ours.0;
    println!(
        "{what:34} {askers:9} {:9.0} {:9.0} {ratio:7.2} {:9.0} {:9.0}",
        ours.0, plain.0, ours.1, plain.1
    );
}
