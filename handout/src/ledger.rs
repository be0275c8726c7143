//! What was handed out and may still be used, by server.
//!
//! Each asker counts once at every server that any of its live answers names. Who was handed what is remembered
//! in sets of a few places, the least recent giving way; a forgotten asker that asks again counts twice until its
//! older answer has run out: too high, never too low.

use crate::holds::{Holds, Slot};
use oatlever::round::Address;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Places of a set.
const WAYS: usize = 8;
/// Servers remembered of an asker and class: the answers it may hold at once name few.
const SERVERS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Hold {
    server: Address,
    weight: f64,
    slot: Slot,
}

#[derive(Clone, Debug)]
struct Entry {
    host: Ipv4Addr,
    class: u16,
    at: f64,
    holds: Vec<Hold>,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    servers: BTreeMap<Address, Holds>,
    sets: Vec<Vec<Entry>>,
    key: (u64, u64),
    /// Askers that were forgotten while their answers lived.
    pub forgotten: u64,
}

impl Ledger {
    /// Remembers so many askers and classes. The key keeps outsiders from choosing whom they push out.
    pub fn new(most: usize, key: (u64, u64)) -> Self {
        let sets = vec![Vec::new(); most.div_ceil(WAYS).max(1)];
        Ledger { servers: BTreeMap::new(), sets, key, forgotten: 0 }
    }

    fn place(&self, host: Ipv4Addr, class: u16) -> usize {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write_u32(host.into());
        hasher.write_u16(class);
        (hasher.finish() % self.sets.len() as u64) as usize
    }

    /// An asker that brings so many queries a second of a class may use these servers until a time.
    pub fn hand(
        &mut self,
        (host, class): (Ipv4Addr, u16),
        weight: f64,
        servers: impl Iterator<Item = Address>,
        until: f64,
        now: f64,
    ) {
        let place = self.place(host, class);
        let set = &mut self.sets[place];
        let found = set.iter().position(|entry| (entry.host, entry.class) == (host, class));
        let mut entry = match found {
            Some(found) => set.swap_remove(found),
            None => {
                if set.len() == WAYS {
                    let oldest = (0..WAYS).min_by(|a, b| set[*a].at.total_cmp(&set[*b].at)).unwrap_or(0);
                    let lost = set.swap_remove(oldest);
                    self.forgotten += u64::from(lost.holds.iter().any(|hold| hold.slot.end() > now));
                }
                Entry { host, class, at: now, holds: Vec::new() }
            }
        };
        entry.at = now;
        entry.holds.retain(|hold| hold.slot.end() > now);
        for server in servers {
            let held = entry.holds.iter().position(|hold| hold.server == server);
            let holds = self.servers.entry(server).or_default();
            let (mut most, mut last) = (weight, until);
            if let Some(held) = held {
                let old = entry.holds.swap_remove(held);
                holds.take(old.weight, old.slot, now);
                // What it was thought to bring before, it may still.
                (most, last) = (old.weight.max(weight), old.slot.end().max(until));
            }
            let slot = holds.add(most, last, now);
            if entry.holds.len() < SERVERS {
                entry.holds.push(Hold { server, weight: most, slot });
            }
        }
        self.sets[place].push(entry);
    }

    /// Queries a second that may come to a server by what was handed out.
    pub fn outstanding(&mut self, server: &Address, now: f64) -> f64 {
        self.servers.get_mut(server).map_or(0.0, |holds| holds.sum(now))
    }

    /// What of that an asker holds already.
    pub fn own(&self, host: Ipv4Addr, class: u16, server: &Address, now: f64) -> f64 {
        let set = &self.sets[self.place(host, class)];
        let entry = set.iter().find(|entry| (entry.host, entry.class) == (host, class));
        let hold = entry.and_then(|entry| entry.holds.iter().find(|hold| hold.server == *server));
        hold.filter(|hold| hold.slot.end() > now).map_or(0.0, |hold| hold.weight)
    }

    /// When the last holder of a server has let go, s.
    pub fn until(&mut self, server: &Address, now: f64) -> Option<f64> {
        self.servers.get_mut(server)?.until(now)
    }

    /// Forgets servers that nobody can hold any more.
    pub fn expire(&mut self, now: f64) {
        self.servers.retain(|_, holds| holds.until(now).is_some());
    }

    /// Servers with holders.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Askers and classes remembered.
    pub fn remembered(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }
}
