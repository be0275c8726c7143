//! Which servers clients may still be using by the answers they were given.
//!
//! Each client counts once at every server named by any of its live answers. Clients are kept in a
//! set-associative table with LRU replacement; an evicted client that queries again counts twice until its
//! earlier answer has expired, so that totals may be too high but never too low.

use crate::holds::{ExpiryWheel, Slot};
use arrayvec::ArrayVec;
use oatlever::round::Address;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Entries per set.
const WAYS: usize = 8;
/// Servers tracked per client and class: the answers that it may hold at once name few.
const MAX_LEASES: usize = 8;
/// Upper limit in seconds on the time that a client is assumed to use an answer past its end: ten times the
/// longest usual lifetime of a minute.
const MAX_OVERSTAY: f64 = 600.0;

/// A client's use of a server, until the answers that name the server expire.
#[derive(Clone, Copy, Debug)]
struct Lease {
    server: Address,
    /// Queries per second, rounded up to `f32`: rates take a third of a client's memory.
    rate: f32,
    slot: Slot,
    /// Seconds; when the last answer that named the server expires, without any overstay observed since.
    due: f64,
}

/// An `f32` that is not below `rate`.
fn round_up(rate: f64) -> f32 {
    (rate as f32).next_up()
}

#[derive(Clone, Debug)]
struct Entry {
    host: Ipv4Addr,
    class: u16,
    last_answer: f64,
    /// Seconds; how long the client was observed to use a server past the end of a lease.
    overstay: f64,
    /// Expired leases are kept while there is room, to detect clients that go on using a server.
    leases: ArrayVec<Lease, MAX_LEASES>,
}

/// Tracks the leases of clients and their sum at each server.
#[derive(Clone, Debug)]
pub struct Ledger {
    servers: HashMap<Address, ExpiryWheel>,
    sets: Vec<Vec<Entry>>,
    key: (u64, u64),
    /// Entries evicted while they had live leases.
    pub evicted: u64,
    /// Times that a client was observed to use a server past the end of its lease.
    pub overstays: u64,
    /// The longest overstay observed, in seconds.
    pub max_overstay: f64,
}

impl Entry {
    /// Leases a server until `expires_at`; `due` is when its use should end. An existing lease of the
    /// server is extended.
    fn lease(
        &mut self,
        servers: &mut HashMap<Address, ExpiryWheel>,
        server: Address,
        rate: f64,
        (expires_at, due): (f64, f64),
        now: f64,
    ) {
        let (mut max_rate, mut end) = (round_up(rate), expires_at);
        let index = self.leases.iter().position(|lease| lease.server == server);
        let old = index.map(|index| self.leases[index]).filter(|old| old.slot.end() > now);
        let covered = old.is_some_and(|old| old.slot.end() >= expires_at && old.rate >= max_rate);
        if let Some(index) = index.filter(|_| covered) {
            self.leases[index].due = due;
            return;
        }
        let wheel = servers.entry(server).or_default();
        if let Some(old) = old {
            wheel.remove(f64::from(old.rate), old.slot, now);
            // The earlier estimate of its rate stays valid until the lease ends.
            (max_rate, end) = (old.rate.max(max_rate), old.slot.end().max(expires_at));
        }
        if let Some(index) = index {
            self.leases.swap_remove(index);
        }
        let slot = wheel.add(f64::from(max_rate), end, now);
        if self.leases.len() == MAX_LEASES {
            // Replace the lease that expired first; if all are live, the new one is counted but not
            // remembered.
            let end = |lease: &Lease| lease.slot.end();
            let first =
                (0..MAX_LEASES).min_by(|a, b| end(&self.leases[*a]).total_cmp(&end(&self.leases[*b])));
            let Some(first) = first.filter(|first| end(&self.leases[*first]) <= now) else { return };
            self.leases.swap_remove(first);
        }
        self.leases.push(Lease { server, rate: max_rate, slot, due });
    }
}

impl Ledger {
    /// Tracks at most `max_entries` clients and classes. The hash key keeps clients from choosing whom they
    /// evict.
    pub fn new(max_entries: usize, key: (u64, u64)) -> Self {
        let sets = vec![Vec::new(); max_entries.div_ceil(WAYS).max(1)];
        Ledger { servers: HashMap::new(), sets, key, evicted: 0, overstays: 0, max_overstay: 0.0 }
    }

    fn set_index(&self, host: Ipv4Addr, class: u16) -> usize {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write_u32(host.into());
        hasher.write_u16(class);
        (hasher.finish() % self.sets.len() as u64) as usize
    }

    /// Records an answer: a client with `rate` queries per second of a class may use these servers until
    /// the answer expires at `expires_at`, and past that for `overstay` seconds or as long as the client
    /// itself was observed to overstay.
    pub fn record_answer(
        &mut self,
        (host, class): (Ipv4Addr, u16),
        rate: f64,
        servers: impl Iterator<Item = Address>,
        (expires_at, overstay): (f64, f64),
        now: f64,
    ) {
        let set_index = self.set_index(host, class);
        let set = &mut self.sets[set_index];
        let new_entry = || Entry { host, class, last_answer: now, overstay: 0.0, leases: ArrayVec::new() };
        let position = set.iter().position(|entry| (entry.host, entry.class) == (host, class));
        let position = position.unwrap_or_else(|| {
            if set.len() < WAYS {
                set.push(new_entry());
                return set.len() - 1;
            }
            let oldest =
                (0..WAYS).min_by(|a, b| set[*a].last_answer.total_cmp(&set[*b].last_answer)).unwrap_or(0);
            self.evicted += u64::from(set[oldest].leases.iter().any(|lease| lease.slot.end() > now));
            set[oldest] = new_entry();
            oldest
        });
        let entry = &mut set[position];
        entry.last_answer = now;
        let end = expires_at + overstay.max(entry.overstay);
        for server in servers {
            entry.lease(&mut self.servers, server, rate, (end, expires_at + overstay), now);
        }
    }

    /// Records that a client sent a server `rate` queries per second since the time `since`. If its lease
    /// was due before, the client uses answers past their lifetime, and is assumed to go on for as long
    /// again.
    pub fn record_use(
        &mut self,
        (host, class): (Ipv4Addr, u16),
        server: &Address,
        rate: f64,
        since: f64,
        now: f64,
    ) {
        let set_index = self.set_index(host, class);
        let entry = self.sets[set_index].iter_mut().find(|entry| (entry.host, entry.class) == (host, class));
        let Some(entry) = entry else { return };
        let lease = entry.leases.iter().find(|lease| lease.server == *server);
        let Some(due) = lease.map(|lease| lease.due).filter(|due| *due < since) else { return };
        entry.overstay = entry.overstay.max(now - due).min(MAX_OVERSTAY);
        self.overstays += 1;
        self.max_overstay = self.max_overstay.max(entry.overstay);
        let end = now + entry.overstay;
        entry.lease(&mut self.servers, *server, rate, (end, due), now);
    }

    fn entry(&self, host: Ipv4Addr, class: u16) -> Option<&Entry> {
        let set = &self.sets[self.set_index(host, class)];
        set.iter().find(|entry| (entry.host, entry.class) == (host, class))
    }

    /// How long a client was observed to use servers past the end of its leases, in seconds.
    pub fn overstay(&self, host: Ipv4Addr, class: u16) -> f64 {
        self.entry(host, class).map_or(0.0, |entry| entry.overstay)
    }

    /// Queries per second that may reach a server by live leases.
    pub fn outstanding(&mut self, server: &Address, now: f64) -> f64 {
        self.servers.get_mut(server).map_or(0.0, |wheel| wheel.sum(now))
    }

    /// The part of [`Ledger::outstanding`] that a client already holds.
    pub fn leased_to(&self, host: Ipv4Addr, class: u16, server: &Address, now: f64) -> f64 {
        let entry = self.entry(host, class);
        let lease = entry.and_then(|entry| entry.leases.iter().find(|lease| lease.server == *server));
        lease.filter(|lease| lease.slot.end() > now).map_or(0.0, |lease| f64::from(lease.rate))
    }

    /// The time in seconds at which the last lease of a server expires.
    pub fn last_expiry(&mut self, server: &Address, now: f64) -> Option<f64> {
        self.servers.get_mut(server)?.last_expiry(now)
    }

    /// Drops servers without live leases.
    pub fn expire(&mut self, now: f64) {
        self.servers.retain(|_, wheel| wheel.last_expiry(now).is_some());
    }

    /// Number of servers with live leases.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Number of clients and classes tracked.
    pub fn entry_count(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }
}
