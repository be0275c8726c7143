//! What all tables that may be in use ask of each server.
//!
//! A proxy may hold the table laid last or any laid since the longest way of a message ago, so a server
//! counts with the greatest part that it has in any of them. Each line keeps the parts it had within that
//! time in a queue that only falls, so that the greatest is its front. What servers are asked for in all is
//! kept as sums that follow each change, so that a change costs in proportion to the lines of its table and a
//! question nothing that grows with the number of tables.

use crate::Weights;
use oatlever::round::Address;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, Default)]
struct Line {
    /// In the table laid last.
    part: f64,
    /// Parts it had, and until when they may be in use, s: later ones are smaller.
    past: VecDeque<(f64, f64)>,
}

impl Line {
    fn most(&self) -> f64 {
        self.past.front().map_or(self.part, |(_, part)| part.max(self.part))
    }

    fn change(&mut self, part: f64, until: f64) {
        let old = std::mem::replace(&mut self.part, part);
        while self.past.back().is_some_and(|(_, smaller)| *smaller <= old) {
            self.past.pop_back();
        }
        if old > 0.0 {
            self.past.push_back((until, old));
        }
    }

    fn expire(&mut self, now: f64) {
        while self.past.front().is_some_and(|(until, _)| *until <= now) {
            self.past.pop_front();
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<Address, Line>,
    /// Queries a second of its users.
    demand: f64,
}

/// What a server is asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Queries a second.
    queries: f64,
    /// Tables with a line for it in any version in use.
    lines: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Loads {
    tables: BTreeMap<u16, Table>,
    sums: BTreeMap<Address, Sum>,
    /// When something of a table may have run out, s; in order of time, as the way is always as long.
    ends: VecDeque<(f64, u16)>,
}

/// A line changes, and the sum of its server with it.
fn follow(
    sums: &mut BTreeMap<Address, Sum>,
    demand: f64,
    server: Address,
    line: &mut Line,
    change: impl FnOnce(&mut Line),
) {
    let most = line.most();
    change(line);
    let sum = sums.entry(server).or_default();
    sum.queries += (line.most() - most) * demand;
}

impl Loads {
    /// A table is laid, by parts; what was before may be in use for `way` s more.
    pub fn publish(&mut self, table: u16, parts: &Weights, now: f64, way: f64) {
        self.expire(now);
        let Loads { tables, sums, ends } = self;
        let held = tables.entry(table).or_default();
        let until = now + way;
        let mut changed = false;
        for server in
            parts.keys().filter(|server| !held.lines.contains_key(server)).copied().collect::<Vec<_>>()
        {
            held.lines.insert(server, Line::default());
            sums.entry(server).or_default().lines += 1;
        }
        for (server, line) in &mut held.lines {
            let part = parts.get(server).copied().unwrap_or(0.0);
            if line.part != part {
                changed = true;
                follow(sums, held.demand, *server, line, |line| line.change(part, until));
            }
        }
        if changed {
            ends.push_back((until, table));
        }
    }

    /// The users of a table bring so many queries a second from now on.
    pub fn set_demand(&mut self, table: u16, demand: f64) {
        let held = self.tables.entry(table).or_default();
        let more = demand - std::mem::replace(&mut held.demand, demand);
        if more != 0.0 {
            for (server, line) in &held.lines {
                self.sums.entry(*server).or_default().queries += more * line.most();
            }
        }
    }

    /// Forgets what nobody can hold any more.
    pub fn expire(&mut self, now: f64) {
        let Loads { tables, sums, ends } = self;
        while ends.front().is_some_and(|(until, _)| *until <= now) {
            let Some(held) = ends.pop_front().and_then(|(_, table)| tables.get_mut(&table)) else { continue };
            let demand = held.demand;
            held.lines.retain(|server, line| {
                follow(sums, demand, *server, line, |line| line.expire(now));
                let stays = line.part > 0.0 || !line.past.is_empty();
                if let Some(sum) = sums.get_mut(server).filter(|_| !stays) {
                    sum.lines -= 1;
                    // With the last line goes what rounding left, and the memory: addresses come and go for
                    // as long as a pilot lives.
                    if sum.lines == 0 {
                        sums.remove(server);
                    }
                }
                stays
            });
        }
    }

    /// Servers that are remembered: those with a line in any version in use.
    pub fn server_count(&self) -> usize {
        self.sums.len()
    }

    /// The greatest part that a server has in any version of a table in use.
    pub fn max_share(&self, table: u16, server: &Address) -> f64 {
        self.tables.get(&table).and_then(|held| held.lines.get(server)).map_or(0.0, Line::most)
    }

    /// Queries a second that all tables but one ask of a server at most.
    pub fn load_from_others(&self, but: u16, server: &Address) -> f64 {
        let own = self.tables.get(&but).map_or(0.0, |held| held.demand) * self.max_share(but, server);
        self.sums.get(server).map_or(0.0, |sum| (sum.queries - own).max(0.0))
    }
}
