//! Data structures of this project compared with simple implementations of the same operations.

use crate::fleet::server;
use oatlever_askers::{PrefixTrie, RateLimiter};
use oatlever_tables::WeightedIndex;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Instant;

/// Returns nanoseconds per call, after a warm-up.
fn time(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    for n in 0..calls / 10 {
        call(n);
    }
    let start = Instant::now();
    for n in 0..calls {
        call(n);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

fn print_row(name: &str, size: usize, ours: f64, plain: f64) {
    println!("{name:44} {size:8} {ours:10.1} {plain:10.1} {:8.2}", plain / ours);
}

pub fn measure() {
    println!("{:44} {:>8} {:>10} {:>10} {:>8}", "ns per call", "size", "ours", "plain", "ratio");
    let mut rng = fastrand::Rng::with_seed(3);
    for size in [8u16, 64, 350] {
        let lines: BTreeMap<_, _> = (0..size).map(|n| (server(n), 1.0 + rng.f64())).collect();
        let index = WeightedIndex::new(lines.clone());
        let total: f64 = lines.values().sum();
        let ours = time(200_000, |_| {
            black_box(index.at_fraction(rng.f64()));
        });
        let mut rng = fastrand::Rng::with_seed(3);
        let plain = time(200_000, |_| {
            let mut target = rng.f64() * total;
            let found = lines.iter().find(|(_, weight)| {
                target -= **weight;
                target < 0.0
            });
            black_box(found);
        });
        print_row("weighted random choice: index, map", usize::from(size), ours, plain);
    }
    for size in [12u32, 500, 5000] {
        let (mut trie, mut list) = (PrefixTrie::default(), Vec::new());
        for n in 0..size {
            let bits = 20 + (n % 13) as u8;
            let prefix = rng.u32(..) & u32::MAX << (32 - bits);
            trie.insert(prefix.into(), bits, n as u16);
            list.push((prefix, bits, n as u16));
        }
        let hosts: Vec<Ipv4Addr> =
            (0..1000).map(|n| Ipv4Addr::from(list[n % list.len()].0 | rng.u32(..) & 0xff)).collect();
        let ours = time(100_000, |n| {
            black_box(trie.longest_match(hosts[n as usize % 1000]));
        });
        let plain = time(20_000, |n| {
            let host = u32::from(hosts[n as usize % 1000]);
            let matching = list.iter().filter(|(prefix, bits, _)| host & u32::MAX << (32 - bits) == *prefix);
            black_box(matching.max_by_key(|(_, bits, _)| *bits));
        });
        print_row("longest matching prefix: trie, list", size as usize, ours, plain);
    }
    for size in [1000u32, 100_000] {
        let mut limits = RateLimiter::new(10.0, 20.0, 32, 65_536, (1, 2));
        let mut buckets: HashMap<u32, (f64, f64)> = HashMap::new();
        let ours = time(400_000, |n| {
            black_box(
                limits.check(Ipv4Addr::from(n.wrapping_mul(2_654_435_761) % size), f64::from(n) * 1e-5),
            );
        });
        let plain = time(400_000, |n| {
            let now = f64::from(n) * 1e-5;
            let bucket = buckets.entry(n.wrapping_mul(2_654_435_761) % size).or_insert((20.0, now));
            bucket.0 = (bucket.0 + (now - bucket.1) * 10.0).min(20.0) - 1.0;
            bucket.1 = now;
        });
        print_row("rate limit by source: sets, unbounded map", size as usize, ours, plain);
    }
    for size in [3u64, 1000, 100_000] {
        let mut set: BTreeSet<(u64, u64)> = (0..size).map(|n| (n * 1000, n)).collect();
        let ours = time(200_000, |_| {
            if let Some((at, n)) = set.pop_first() {
                set.insert((at + 1000 * size, n));
            }
        });
        let mut wheel = Wheel::new(1024, 1000);
        (0..size).for_each(|n| wheel.insert(n * 1000, n));
        let plain = time(200_000, |_| {
            let (at, n) = wheel.pop();
            wheel.insert(at + 1000 * size, n);
        });
        print_row("pop and reinsert a timer: set, hashed wheel", size as usize, ours, plain);
    }
}

/// A hashed timing wheel.
struct Wheel {
    slots: Vec<Vec<(u64, u64)>>,
    tick: u64,
    /// The current tick.
    at: u64,
}

impl Wheel {
    fn new(slots: usize, tick: u64) -> Self {
        Wheel { slots: vec![Vec::new(); slots], tick, at: 0 }
    }

    fn insert(&mut self, time: u64, n: u64) {
        let slot = (time / self.tick) as usize % self.slots.len();
        self.slots[slot].push((time, n));
    }

    /// Removes the next timer; advances the wheel until there is one.
    fn pop(&mut self) -> (u64, u64) {
        loop {
            let slot = self.at as usize % self.slots.len();
            let due = (self.at + 1) * self.tick;
            if let Some(index) = self.slots[slot].iter().position(|(time, _)| *time < due) {
                return self.slots[slot].swap_remove(index);
            }
            self.at += 1;
        }
    }
}
