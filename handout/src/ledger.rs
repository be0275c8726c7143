//! What was handed out and may still be used, by server.
//!
//! Each asker counts once at every server that any of its live answers names. Who was handed what is remembered
//! in sets of a few places, the least recent giving way; a forgotten asker that asks again counts twice until its
//! older answer has run out: too high, never too low.

use crate::holds::{ExpiryWheel, Slot};
use arrayvec::ArrayVec;
use oatlever::round::Address;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Places of a set.
const WAYS: usize = 8;
/// Servers remembered of an asker and class: the answers it may hold at once name few.
const SERVERS: usize = 8;
/// s; nobody is taken to keep answers for longer: ten times the longest usual lifetime of a minute.
const LATEST: f64 = 600.0;

#[derive(Clone, Copy, Debug)]
struct Hold {
    server: Address,
    /// Rounded up: a third of the memory of an asker is its weights.
    weight: f32,
    slot: Slot,
    /// s; when the last answer that named it runs out, whatever was seen since.
    due: f64,
}

/// No less than this.
fn rounded(weight: f64) -> f32 {
    (weight as f32).next_up()
}

#[derive(Clone, Debug)]
struct Entry {
    host: Ipv4Addr,
    class: u16,
    at: f64,
    /// s; how long it was seen to use a server past the end of its hold.
    late: f64,
    /// Those that have run out stay, as long as there is room, to tell who goes on.
    holds: ArrayVec<Hold, SERVERS>,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    servers: HashMap<Address, ExpiryWheel>,
    sets: Vec<Vec<Entry>>,
    key: (u64, u64),
    /// Askers that were forgotten while their answers lived.
    pub evicted: u64,
    /// Times that an asker used a server past its hold, and by how much at most, s.
    pub overstays: u64,
    pub max_overstay: f64,
}

impl Entry {
    /// It may use a server until a time, and should until another; a hold that it has there already is moved.
    fn hold(
        &mut self,
        servers: &mut HashMap<Address, ExpiryWheel>,
        server: Address,
        weight: f64,
        (until, due): (f64, f64),
        now: f64,
    ) {
        let (mut most, mut last) = (rounded(weight), until);
        let held = self.holds.iter().position(|hold| hold.server == server);
        let old = held.map(|held| self.holds[held]).filter(|old| old.slot.end() > now);
        if let Some(held) = held.filter(|_| old.is_some_and(|o| o.slot.end() >= until && o.weight >= most)) {
            self.holds[held].due = due;
            return;
        }
        let holds = servers.entry(server).or_default();
        if let Some(old) = old {
            holds.remove(f64::from(old.weight), old.slot, now);
            // What it was thought to bring before, it may still.
            (most, last) = (old.weight.max(most), old.slot.end().max(until));
        }
        if let Some(held) = held {
            self.holds.swap_remove(held);
        }
        let slot = holds.add(f64::from(most), last, now);
        if self.holds.len() == SERVERS {
            // The one that has run out longest ago gives way; where all live, the new one is not remembered.
            let ended = |hold: &Hold| hold.slot.end();
            let first = (0..SERVERS).min_by(|a, b| ended(&self.holds[*a]).total_cmp(&ended(&self.holds[*b])));
            let Some(first) = first.filter(|first| ended(&self.holds[*first]) <= now) else { return };
            self.holds.swap_remove(first);
        }
        self.holds.push(Hold { server, weight: most, slot, due });
    }
}

impl Ledger {
    /// Remembers so many askers and classes. The key keeps outsiders from choosing whom they push out.
    pub fn new(most: usize, key: (u64, u64)) -> Self {
        let sets = vec![Vec::new(); most.div_ceil(WAYS).max(1)];
        Ledger { servers: HashMap::new(), sets, key, evicted: 0, overstays: 0, max_overstay: 0.0 }
    }

    fn place(&self, host: Ipv4Addr, class: u16) -> usize {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write_u32(host.into());
        hasher.write_u16(class);
        (hasher.finish() % self.sets.len() as u64) as usize
    }

    /// An asker that brings so many queries a second of a class may use these servers until an answer's lifetime has
    /// ended, and past that as long as others or it itself were seen to.
    pub fn record_answer(
        &mut self,
        (host, class): (Ipv4Addr, u16),
        weight: f64,
        servers: impl Iterator<Item = Address>,
        (end, overstay): (f64, f64),
        now: f64,
    ) {
        let place = self.place(host, class);
        let set = &mut self.sets[place];
        let fresh = || Entry { host, class, at: now, late: 0.0, holds: ArrayVec::new() };
        let found = set.iter().position(|entry| (entry.host, entry.class) == (host, class));
        let found = found.unwrap_or_else(|| {
            if set.len() < WAYS {
                set.push(fresh());
                return set.len() - 1;
            }
            let oldest = (0..WAYS).min_by(|a, b| set[*a].at.total_cmp(&set[*b].at)).unwrap_or(0);
            self.evicted += u64::from(set[oldest].holds.iter().any(|hold| hold.slot.end() > now));
            set[oldest] = fresh();
            oldest
        });
        let entry = &mut set[found];
        entry.at = now;
        let until = end + overstay.max(entry.late);
        for server in servers {
            entry.hold(&mut self.servers, server, weight, (until, end + overstay), now);
        }
    }

    /// An asker brought a server so many queries a second since a time. If its hold had run out before, it keeps
    /// answers longer than they live; what it did once it may do for as long again.
    pub fn record_use(
        &mut self,
        (host, class): (Ipv4Addr, u16),
        server: &Address,
        weight: f64,
        since: f64,
        now: f64,
    ) {
        let place = self.place(host, class);
        let found = self.sets[place].iter_mut().find(|entry| (entry.host, entry.class) == (host, class));
        let Some(entry) = found else { return };
        let held = entry.holds.iter().find(|hold| hold.server == *server);
        let Some(due) = held.map(|hold| hold.due).filter(|due| *due < since) else { return };
        entry.late = entry.late.max(now - due).min(LATEST);
        self.overstays += 1;
        self.max_overstay = self.max_overstay.max(entry.late);
        let until = now + entry.late;
        entry.hold(&mut self.servers, *server, weight, (until, due), now);
    }

    fn entry(&self, host: Ipv4Addr, class: u16) -> Option<&Entry> {
        let set = &self.sets[self.place(host, class)];
        set.iter().find(|entry| (entry.host, entry.class) == (host, class))
    }

    /// How long an asker was seen to use servers past its holds, s.
    pub fn overstay(&self, host: Ipv4Addr, class: u16) -> f64 {
        self.entry(host, class).map_or(0.0, |entry| entry.late)
    }

    /// Queries a second that may come to a server by what was handed out.
    pub fn outstanding(&mut self, server: &Address, now: f64) -> f64 {
        self.servers.get_mut(server).map_or(0.0, |holds| holds.sum(now))
    }

    /// What of that an asker holds already.
    pub fn leased_to(&self, host: Ipv4Addr, class: u16, server: &Address, now: f64) -> f64 {
        let hold =
            self.entry(host, class).and_then(|entry| entry.holds.iter().find(|hold| hold.server == *server));
        hold.filter(|hold| hold.slot.end() > now).map_or(0.0, |hold| f64::from(hold.weight))
    }

    /// When the last holder of a server has let go, s.
    pub fn last_expiry(&mut self, server: &Address, now: f64) -> Option<f64> {
        self.servers.get_mut(server)?.last_expiry(now)
    }

    /// Forgets servers that nobody can hold any more.
    pub fn expire(&mut self, now: f64) {
        self.servers.retain(|_, holds| holds.last_expiry(now).is_some());
    }

    /// Servers with holders.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Askers and classes remembered.
    pub fn entry_count(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }
}
