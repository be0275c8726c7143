//! Query rates by client address and class: the heaviest nearly exact, all others bounded from above.
//!
//! A space-saving sketch (Metwally, Agrawal, El Abbadi, 2005) over exponentially decaying counts. When all
//! counters are in use, a new key takes over the smallest one together with its count. No key is heavier
//! than its counter says, and a key without a counter is no heavier than the smallest counter.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

/// Time constant of the exponential decay, in seconds: a few report periods, as a single client's queries
/// are rare.
const DECAY: f64 = 10.0;
/// Stored counts are rescaled when more than this number of time constants ([`DECAY`]) has passed since the
/// reference time. The weight of new queries grows by a factor of e per time constant until then.
const RESCALE_AFTER: f64 = 50.0;

/// Keys in ascending order of count. A count is stored as its `f64` bits, which are totally ordered; the bits
/// of non-negative numbers have the same order as the numbers.
type Order = BTreeSet<(u64, Key)>;
/// Client address and class of its queries.
type Key = (Ipv4Addr, u16);

/// A sketch of the query rates of clients.
#[derive(Clone, Debug)]
pub struct HeavyHitters {
    max_counters: usize,
    /// Decaying counts, stored as their value at `reference_time`: a query at time t adds
    /// exp((t - reference_time) / DECAY), and the count at time t is the stored one divided by that factor.
    /// Stored counts thus need no update as time passes.
    counts: HashMap<Key, f64>,
    order: Order,
    /// Sum of all stored counts.
    sum: f64,
    /// Time in seconds that the stored counts are scaled to.
    reference_time: f64,
    /// Time of the latest addition, in seconds. Earlier times passed by callers are raised to it.
    latest_time: f64,
}

impl HeavyHitters {
    /// Creates a sketch with at most `max_counters` counters.
    pub fn new(max_counters: usize) -> Self {
        let (counts, order) = Default::default();
        HeavyHitters {
            max_counters: max_counters.max(1),
            counts,
            order,
            sum: 0.0,
            reference_time: 0.0,
            latest_time: 0.0,
        }
    }

    /// Factor of stored counts over counts at the time `now`.
    fn scale(&self, now: f64) -> f64 {
        ((now - self.reference_time) / DECAY).exp()
    }

    /// Adds `queries` of a class from a client, counted by `now`.
    pub fn add(&mut self, host: Ipv4Addr, class: u16, queries: f64, now: f64) {
        if !(queries > 0.0 && queries.is_finite()) {
            return;
        }
        self.latest_time = now.max(self.latest_time);
        if self.latest_time - self.reference_time > RESCALE_AFTER * DECAY {
            self.rescale();
        }
        let (key, increment) = ((host, class), queries * self.scale(self.latest_time));
        let old = match self.counts.get(&key) {
            Some(count) => {
                self.order.remove(&(count.to_bits(), key));
                *count
            }
            None if self.counts.len() < self.max_counters => 0.0,
            None => {
                let (count, smallest) = self.order.pop_first().unwrap_or((0, key));
                self.counts.remove(&smallest);
                f64::from_bits(count)
            }
        };
        // A counter that changes keys retains its count, so the sum grows by the increment alone.
        self.sum += increment;
        self.counts.insert(key, old + increment);
        self.order.insert(((old + increment).to_bits(), key));
    }

    /// Moves the reference time to the latest time, before stored counts overflow.
    fn rescale(&mut self) {
        let scale = self.scale(self.latest_time);
        self.reference_time = self.latest_time;
        // Drops keys whose counts have decayed to nothing.
        self.counts.retain(|_, count| {
            *count /= scale;
            *count > f64::MIN_POSITIVE
        });
        self.sum = self.counts.values().sum();
        self.order = self.counts.iter().map(|(key, count)| (count.to_bits(), *key)).collect();
    }

    /// Converts a stored count to queries per second at the time `now`.
    fn rate(&self, count: f64, now: f64) -> f64 {
        count / self.scale(now.max(self.latest_time)) / DECAY
    }

    /// Upper bound on the queries per second of a client that has a counter; `None` if it has none.
    pub fn estimate(&self, host: Ipv4Addr, class: u16, now: f64) -> Option<f64> {
        self.counts.get(&(host, class)).map(|count| self.rate(*count, now))
    }

    /// Upper bound on the queries per second of a client without a counter; `None` while counters are free.
    pub fn untracked_bound(&self, now: f64) -> Option<f64> {
        let smallest = self.order.first().filter(|_| self.counts.len() == self.max_counters);
        smallest.map(|(count, _)| self.rate(f64::from_bits(*count), now))
    }

    /// Number of clients and classes with a counter.
    pub fn tracked(&self) -> usize {
        self.counts.len()
    }

    /// Mean queries per second of the clients with a counter.
    pub fn mean_rate(&self, now: f64) -> f64 {
        self.rate(self.sum, now) / self.counts.len().max(1) as f64
    }
}
