//! Tracks the load that all tables in use may put on each server.
//!
//! A proxy may use the last table or any version replaced within the maximum table lifetime, so a server counts with
//! its largest share in any of them. Each entry keeps its former shares of that time in a monotonic queue whose
//! front is the largest. The total load of each server is kept as a sum that is adjusted with each change: a change
//! costs time in proportion to the entries of its table, and a query doesn't depend on the number of tables.

use crate::Weights;
use oatlever::round::Address;
use std::collections::{BTreeMap, VecDeque};

/// A server's share in all versions of a table that may be in use.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Share in the last version.
    share: f64,
    /// When the use of former versions ends, s, and their shares, in decreasing order.
    former: VecDeque<(f64, f64)>,
}

impl Entry {
    fn max_share(&self) -> f64 {
        self.former.front().map_or(self.share, |(_, share)| share.max(self.share))
    }

    /// Sets the share; the old one may be in use until a time.
    fn set(&mut self, share: f64, until: f64) {
        let old = std::mem::replace(&mut self.share, share);
        while self.former.back().is_some_and(|(_, smaller)| *smaller <= old) {
            self.former.pop_back();
        }
        if old > 0.0 {
            self.former.push_back((until, old));
        }
    }

    fn expire(&mut self, now: f64) {
        while self.former.front().is_some_and(|(until, _)| *until <= now) {
            self.former.pop_front();
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Table {
    entries: BTreeMap<Address, Entry>,
    /// Queries per second of the table's users.
    demand: f64,
}

/// The total load of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLoad {
    /// Queries per second.
    queries: f64,
    /// Number of tables with an entry for the server in any version in use.
    tables: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Loads {
    tables: BTreeMap<u16, Table>,
    servers: BTreeMap<Address, ServerLoad>,
    /// When some version of a table expires, s; in chronological order, as the lifetime is constant.
    expirations: VecDeque<(f64, u16)>,
}

/// Changes an entry and adjusts its server's total.
fn update_entry(
    servers: &mut BTreeMap<Address, ServerLoad>,
    demand: f64,
    server: Address,
    entry: &mut Entry,
    change: impl FnOnce(&mut Entry),
) {
    let max_share = entry.max_share();
    change(entry);
    servers.entry(server).or_default().queries += (entry.max_share() - max_share) * demand;
}

impl Loads {
    /// Publishes a table, as shares. The version before may be in use for `max_table_lifetime` s more.
    pub fn publish(&mut self, table: u16, shares: &Weights, now: f64, max_table_lifetime: f64) {
        self.expire(now);
        let Loads { tables, servers, expirations } = self;
        let table_state = tables.entry(table).or_default();
        let until = now + max_table_lifetime;
        let mut changed = false;
        let added = shares.keys().filter(|server| !table_state.entries.contains_key(server));
        for server in added.copied().collect::<Vec<_>>() {
            table_state.entries.insert(server, Entry::default());
            servers.entry(server).or_default().tables += 1;
        }
        for (server, entry) in &mut table_state.entries {
            let share = shares.get(server).copied().unwrap_or(0.0);
            if entry.share != share {
                changed = true;
                let set = |entry: &mut Entry| entry.set(share, until);
                update_entry(servers, table_state.demand, *server, entry, set);
            }
        }
        if changed {
            expirations.push_back((until, table));
        }
    }

    /// Sets the queries per second of a table's users.
    pub fn set_demand(&mut self, table: u16, demand: f64) {
        let table_state = self.tables.entry(table).or_default();
        let increase = demand - std::mem::replace(&mut table_state.demand, demand);
        if increase != 0.0 {
            for (server, entry) in &table_state.entries {
                self.servers.entry(*server).or_default().queries += increase * entry.max_share();
            }
        }
    }

    /// Removes versions that can no longer be in use.
    pub fn expire(&mut self, now: f64) {
        let Loads { tables, servers, expirations } = self;
        while expirations.front().is_some_and(|(until, _)| *until <= now) {
            let Some(table) = expirations.pop_front().and_then(|(_, table)| tables.get_mut(&table)) else {
                continue;
            };
            let demand = table.demand;
            table.entries.retain(|server, entry| {
                update_entry(servers, demand, *server, entry, |entry| entry.expire(now));
                let in_use = entry.share > 0.0 || !entry.former.is_empty();
                if let Some(load) = servers.get_mut(server).filter(|_| !in_use) {
                    load.tables -= 1;
                    // Removing the server with its last entry clears rounding errors and bounds the memory, as
                    // addresses come and go for the lifetime of a pilot.
                    if load.tables == 0 {
                        servers.remove(server);
                    }
                }
                in_use
            });
        }
    }

    /// Number of servers with an entry in any version in use.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The largest share of a server in any version of a table in use.
    pub fn max_share(&self, table: u16, server: &Address) -> f64 {
        self.tables.get(&table).and_then(|table| table.entries.get(server)).map_or(0.0, Entry::max_share)
    }

    /// Maximum queries per second that a server may receive from all tables but one.
    pub fn load_from_others(&self, table: u16, server: &Address) -> f64 {
        let own = self.tables.get(&table).map_or(0.0, |table| table.demand) * self.max_share(table, server);
        self.servers.get(server).map_or(0.0, |load| (load.queries - own).max(0.0))
    }
}
