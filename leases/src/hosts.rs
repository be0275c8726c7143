//! Query rates by client address and class: the heaviest nearly exact, all others bounded from above.
//!
//! A space-saving sketch (Metwally, Agrawal, El Abbadi, 2005) over exponentially decaying counts. When all
//! counters are in use, a new key takes over the smallest one together with its count. No key is heavier
//! than its counter says, and a key without a counter is no heavier than the smallest counter.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

/// Time constant of the decay in seconds: a few report periods, as a single client's queries are rare.
const DECAY: f64 = 10.0;
/// Time constants after which the counts are rescaled; stored counts grow by a factor of e in each until
/// then.
const RESCALE_AFTER: f64 = 50.0;

/// Keys ordered by count. Counts are never negative, so that their bits order as they do.
type Order = BTreeSet<(u64, Key)>;
/// Client address and class.
type Key = (Ipv4Addr, u16);

/// A sketch of the query rates of clients.
#[derive(Clone, Debug)]
pub struct HeavyHitters {
    max_counters: usize,
    /// Counts scaled to the time `since`: later queries weigh more, so that stored counts need not decay.
    counts: HashMap<Key, f64>,
    order: Order,
    /// Sum of all counts.
    sum: f64,
    since: f64,
    now: f64,
}

impl HeavyHitters {
    /// Creates a sketch with at most `max_counters` counters.
    pub fn new(max_counters: usize) -> Self {
        let (counts, order) = Default::default();
        HeavyHitters { max_counters: max_counters.max(1), counts, order, sum: 0.0, since: 0.0, now: 0.0 }
    }

    fn scale(&self, now: f64) -> f64 {
        ((now - self.since) / DECAY).exp()
    }

    /// Adds `queries` of a class from a client, counted by `now`.
    pub fn add(&mut self, host: Ipv4Addr, class: u16, queries: f64, now: f64) {
        if !(queries > 0.0 && queries.is_finite()) {
            return;
        }
        self.now = now.max(self.now);
        if self.now - self.since > RESCALE_AFTER * DECAY {
            self.rescale();
        }
        let (key, increment) = ((host, class), queries * self.scale(self.now));
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

    fn rescale(&mut self) {
        let scale = self.scale(self.now);
        self.since = self.now;
        // Drops keys whose counts have decayed to nothing.
        self.counts.retain(|_, count| {
            *count /= scale;
            *count > f64::MIN_POSITIVE
        });
        self.sum = self.counts.values().sum();
        self.order = self.counts.iter().map(|(key, count)| (count.to_bits(), *key)).collect();
    }

    fn rate(&self, count: f64, now: f64) -> f64 {
        count / self.scale(now.max(self.now)) / DECAY
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
