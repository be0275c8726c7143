//! What askers are worth: queries a second by address and class, the heaviest exactly, all others bounded.
//!
//! A space-saving sketch (Metwally, Agrawal, El Abbadi, 2005) over counts that fade: of so many counters the
//! lightest is given to whoever has none, with all it counted. No address brings more than its counter says, and
//! one without a counter no more than the lightest.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;

/// s; counts fade over this: a few reports, as a terminal's queries come seldom.
const SPAN: f64 = 10.0;
/// Spans after which counts are written anew; sums grow by e in each until then.
const REWRITE: f64 = 50.0;

/// Counts in order, and whose they are. Counts are never below zero, so that their bits sort as they do.
type Order = BTreeSet<(u64, Key)>;
/// An address and a class.
type Key = (Ipv4Addr, u16);

#[derive(Clone, Debug)]
pub struct HeavyHitters {
    most: usize,
    /// Counts as of `since`: later ones weigh more, so that none has to fade.
    counts: HashMap<Key, f64>,
    order: Order,
    /// Of all counts.
    sum: f64,
    since: f64,
    now: f64,
}

impl HeavyHitters {
    /// With so many counters.
    pub fn new(most: usize) -> Self {
        let (counts, order) = Default::default();
        HeavyHitters { most: most.max(1), counts, order, sum: 0.0, since: 0.0, now: 0.0 }
    }

    fn scale(&self, now: f64) -> f64 {
        ((now - self.since) / SPAN).exp()
    }

    /// So many queries of a class from an address were counted by now.
    pub fn add(&mut self, host: Ipv4Addr, class: u16, queries: f64, now: f64) {
        if !(queries > 0.0 && queries.is_finite()) {
            return;
        }
        self.now = now.max(self.now);
        if self.now - self.since > REWRITE * SPAN {
            self.rewrite();
        }
        let (host, more) = ((host, class), queries * self.scale(self.now));
        let old = match self.counts.get(&host) {
            Some(count) => {
                self.order.remove(&(count.to_bits(), host));
                *count
            }
            None if self.counts.len() < self.most => 0.0,
            None => {
                let (count, lightest) = self.order.pop_first().unwrap_or((0, host));
                self.counts.remove(&lightest);
                f64::from_bits(count)
            }
        };
        // Whoever took a counter took what it counted, so that the sum has just grown.
        self.sum += more;
        self.counts.insert(host, old + more);
        self.order.insert(((old + more).to_bits(), host));
    }

    fn rewrite(&mut self) {
        let scale = self.scale(self.now);
        self.since = self.now;
        // Whoever has not been heard of for so long has nothing left.
        self.counts.retain(|_, count| {
            *count /= scale;
            *count > f64::MIN_POSITIVE
        });
        self.sum = self.counts.values().sum();
        self.order = self.counts.iter().map(|(host, count)| (count.to_bits(), *host)).collect();
    }

    fn rate(&self, count: f64, now: f64) -> f64 {
        count / self.scale(now.max(self.now)) / SPAN
    }

    /// Queries a second of an address with a counter of its own, at most.
    pub fn estimate(&self, host: Ipv4Addr, class: u16, now: f64) -> Option<f64> {
        self.counts.get(&(host, class)).map(|count| self.rate(*count, now))
    }

    /// Queries a second of an address without one, at most; none where there are counters for everybody.
    pub fn untracked_bound(&self, now: f64) -> Option<f64> {
        let first = self.order.first().filter(|_| self.counts.len() == self.most);
        first.map(|(count, _)| self.rate(f64::from_bits(*count), now))
    }

    /// Addresses with a counter.
    pub fn tracked(&self) -> usize {
        self.counts.len()
    }

    /// Queries a second of an address with a counter, on average.
    pub fn mean_rate(&self, now: f64) -> f64 {
        self.rate(self.sum, now) / self.counts.len().max(1) as f64
    }
}
