//! What all tables that may be in use ask of each server.
//!
//! A proxy may hold the table laid last or any laid since the longest way of a message ago, so a server
//! counts with the greatest part that it has in any of them. Each line keeps the parts it had within that
//! time in a queue that only falls, so that the greatest is its front: a change costs in proportion to the
//! lines of its table, and a question in proportion to the tables that name the server, whatever the others
//! hold.

use crate::Lines;
use oatlever::round::Address;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, Default, PartialEq)]
struct Line {
    /// In the table laid last.
    part: f64,
    /// Parts it had, and until when they may be in use, s: later ones are smaller.
    past: VecDeque<(f64, f64)>,
}

impl Line {
    fn most(&self, now: f64) -> f64 {
        let past = self.past.iter().find(|(until, _)| *until > now);
        past.map_or(self.part, |(_, part)| part.max(self.part))
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
}

#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// By server, then by table.
    lines: BTreeMap<Address, BTreeMap<u16, Line>>,
    /// Servers with a line in the table laid last.
    laid: BTreeMap<u16, BTreeSet<Address>>,
    /// When something may have run out, s, and where; in order of time, as the way is always as long.
    ends: VecDeque<(f64, Address, u16)>,
}

impl Loads {
    /// A table is laid, by parts; what was before may be in use for `way` s more.
    pub fn lay(&mut self, table: u16, parts: &Lines, now: f64, way: f64) {
        self.expire(now);
        let before = self.laid.insert(table, parts.keys().copied().collect()).unwrap_or_default();
        let until = now + way;
        let servers: BTreeSet<Address> = before.iter().chain(parts.keys()).copied().collect();
        for server in servers {
            let part = parts.get(&server).copied().unwrap_or(0.0);
            let line = self.lines.entry(server).or_default().entry(table).or_default();
            if line.part != part {
                line.change(part, until);
                self.ends.push_back((until, server, table));
            }
        }
    }

    /// Forgets what nobody can hold any more.
    pub fn expire(&mut self, now: f64) {
        while self.ends.front().is_some_and(|(until, _, _)| *until <= now) {
            let Some((_, server, table)) = self.ends.pop_front() else { break };
            let Some(tables) = self.lines.get_mut(&server) else { continue };
            if let Some(line) = tables.get_mut(&table) {
                while line.past.front().is_some_and(|(until, _)| *until <= now) {
                    line.past.pop_front();
                }
                if line.part <= 0.0 && line.past.is_empty() {
                    tables.remove(&table);
                }
            }
            if tables.is_empty() {
                self.lines.remove(&server);
            }
        }
    }

    /// The greatest part that a server has in any version of a table in use.
    pub fn most(&self, table: u16, server: &Address, now: f64) -> f64 {
        let line = self.lines.get(server).and_then(|tables| tables.get(&table));
        line.map_or(0.0, |line| line.most(now))
    }

    /// Queries a second that all tables but one ask of a server at most; `demand` gives each table's.
    pub fn others(&self, but: u16, server: &Address, now: f64, demand: impl Fn(u16) -> f64) -> f64 {
        let tables = self.lines.get(server).into_iter().flatten();
        tables.filter(|(table, _)| **table != but).map(|(table, line)| line.most(now) * demand(*table)).sum()
    }

    /// Whether any table but one, as laid last, names a server.
    pub fn names(&self, but: u16, server: &Address) -> bool {
        let mut tables = self.lines.get(server).into_iter().flatten();
        tables.any(|(table, line)| *table != but && line.part > 0.0)
    }
}
