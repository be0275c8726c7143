//! The ledger of handed-out addresses beside plain maps that remember every hold: time and memory by askers.

use crate::fleet::{memory, server};
use oatlever::round::Address;
use oatlever_handout::{AddressSelector, Client, HeavyHitters, Ledger, Lifetimes};
use oatlever_tables::{View, WeightedIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Instant;

/// Askers that the ledger remembers.
const MOST: usize = 65_536;
const SERVERS: u16 = 300;
/// Addresses in an answer, and how long it is held, s.
const ADDRESSES: u16 = 4;
const HELD: f64 = 1.5;
const CALLS: u32 = 400_000;

/// Every hold by asker and server, and by server in the order in which they run out.
#[derive(Default)]
struct Plain {
    askers: HashMap<Ipv4Addr, HashMap<Address, (f64, f64)>>,
    servers: BTreeMap<Address, (f64, BTreeSet<(u64, Ipv4Addr)>)>,
}

impl Plain {
    fn hand(
        &mut self,
        host: Ipv4Addr,
        weight: f64,
        servers: impl Iterator<Item = Address>,
        until: f64,
        now: f64,
    ) {
        for server in servers {
            self.outstanding(&server, now);
            let held = self.askers.entry(host).or_default().insert(server, (until, weight));
            let (sum, ends) = self.servers.entry(server).or_default();
            if let Some((old, weight)) = held.filter(|(old, _)| ends.remove(&(old.to_bits(), host))) {
                debug_assert!(old > 0.0);
                *sum -= weight;
            }
            ends.insert((until.to_bits(), host));
            *sum += weight;
        }
    }

    fn outstanding(&mut self, server: &Address, now: f64) -> f64 {
        let Some((sum, ends)) = self.servers.get_mut(server) else { return 0.0 };
        while let Some((until, host)) =
            ends.first().copied().filter(|(until, _)| f64::from_bits(*until) <= now)
        {
            ends.pop_first();
            if let Some((_, weight)) = self.askers.get_mut(&host).and_then(|holds| holds.remove(server)) {
                *sum -= weight;
            }
            debug_assert!(until > 0);
        }
        *sum
    }
}

/// Nanoseconds a call, and KiB more than before.
fn measured<T>(mut kept: T, mut call: impl FnMut(&mut T, u32)) -> (f64, f64) {
    let before = memory();
    let begun = Instant::now();
    (0..CALLS).for_each(|n| call(&mut kept, n));
    let took = begun.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS);
    let more = memory() - before;
    // Kept, so that what comes next does not get its memory.
    std::mem::forget(kept);
    (took, more)
}

pub fn measure() {
    println!(
        "{:34} {:>9} {:>9} {:>9} {:>7} {:>9} {:>9}",
        "", "askers", "ns, ours", "plain", "ratio", "KiB, ours", "plain"
    );
    for askers in [1_000, 100_000, 1_000_000] {
        // 20,000 answers a second.
        let ask = |n: u32| {
            let mut chance = fastrand::Rng::with_seed(u64::from(n));
            let host = Ipv4Addr::from(0x0a00_0000 + chance.u32(..askers));
            let from = chance.u16(..SERVERS);
            (host, (0..ADDRESSES).map(move |k| server((from + k) % SERVERS)), 100.0 + f64::from(n) / 20_000.0)
        };
        let ours = measured(Ledger::new(MOST, (1, 2)), |ledger, n| {
            let (host, servers, now) = ask(n);
            ledger.record_answer((host, 0), 1.0, servers.clone(), (now, HELD), now);
            servers.for_each(|server| _ = black_box(ledger.outstanding(&server, now)));
        });
        let plain = measured(Plain::default(), |plain, n| {
            let (host, servers, now) = ask(n);
            plain.hand(host, 1.0, servers.clone(), now + HELD, now);
            servers.for_each(|server| _ = black_box(plain.outstanding(&server, now)));
        });
        row("an answer of four and its load", askers, ours, plain);
        let count =
            |n: u32| Ipv4Addr::from(0x0a00_0000 + fastrand::Rng::with_seed(u64::from(n)).u32(..askers));
        let ours = measured(HeavyHitters::new(MOST), |hosts, n| {
            hosts.add(count(n), 0, 1.0, f64::from(n) / 20_000.0)
        });
        let plain =
            measured(HashMap::<Ipv4Addr, f64>::new(), |map, n| *map.entry(count(n)).or_default() += 1.0);
        row("a count of an asker's queries", askers, ours, plain);
    }
    choices();
}

/// Nanoseconds to choose an answer's addresses, without a ledger and with one.
fn choices() {
    println!(
        "\nns to choose four addresses   servers   drawn by weight   with the ledger   with a tenth cold"
    );
    for servers in [24_u16, 300] {
        let index = WeightedIndex::new((0..servers).map(|n| (server(n), 1.0 + f64::from(n % 5))));
        let view = View { table: 0, version: 1, index: &index, level: 1.0, retry_mode: 0 };
        let lives = Lifetimes { normal: 1, near_cold: 1, overstay: 0.5 };
        let took = |mut handout: AddressSelector, cold: u16| {
            handout.set_cold_budgets((0..cold).map(|n| (server(n * 10), 20.0)).collect(), 0.0);
            let mut chance = fastrand::Rng::with_seed(1);
            let host = |n: u32| Ipv4Addr::from(0x0a00_0000 + n % 20_000);
            (0..20_000).for_each(|n| handout.rates.add(host(n), 0, 5.0, 100.0));
            measured(handout, |handout, n| {
                let who = Client { host: host(n * 7919), class: 0, group_rate: 100.0 };
                let zone = |server: &Address| Some(u16::from(server.host[3] % 3));
                let now = 100.0 + f64::from(n) / 20_000.0;
                black_box(handout.answer(&view, who, 4, zone, now, || chance.f64()));
            })
            .0
        };
        let kept = || AddressSelector::new(lives, MOST, (1, 2), 0.0);
        let (plain, ledger, cold) =
            (took(AddressSelector::without_ledger(lives), 0), took(kept(), 0), took(kept(), servers / 10));
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
