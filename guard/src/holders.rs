//! Who may hold which table.
//!
//! An asker that was bound to another table goes on with the old one until that can't be in use any more, and
//! one whose stream broke keeps what it held. For so long its queries count with each table that it may hold.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
struct Held {
    /// The table it is bound to.
    bound: Option<u16>,
    /// Tables before that, and until when each may be in use, s; the oldest first.
    past: Vec<(u16, f64)>,
}

#[derive(Clone, Debug)]
pub struct Holders {
    /// s; the longest that an older table may be in use.
    max_table_lifetime: f64,
    askers: BTreeMap<u16, Held>,
    /// By table: those who may hold it.
    tables: BTreeMap<u16, BTreeSet<u16>>,
}

impl Holders {
    pub fn new(max_table_lifetime: f64) -> Self {
        Holders { max_table_lifetime, askers: BTreeMap::new(), tables: BTreeMap::new() }
    }

    /// An asker is bound to a table from now on, or to none.
    pub fn bind(&mut self, asker: u16, table: Option<u16>, now: f64) {
        let held = self.askers.entry(asker).or_default();
        if held.bound == table {
            return;
        }
        if let Some(old) = std::mem::replace(&mut held.bound, table) {
            held.past.retain(|(past, _)| *past != old);
            held.past.push((old, now + self.max_table_lifetime));
        }
        if let Some(table) = table {
            self.tables.entry(table).or_default().insert(asker);
        }
    }

    /// Forgets what nobody can hold any more.
    pub fn expire(&mut self, now: f64) {
        for (asker, held) in &mut self.askers {
            let Held { bound, past } = held;
            for (table, _) in past.extract_if(.., |(_, until)| *until <= now) {
                if *bound != Some(table) {
                    if let Some(holders) = self.tables.get_mut(&table) {
                        holders.remove(asker);
                    }
                }
            }
        }
        self.askers.retain(|_, held| held.bound.is_some() || !held.past.is_empty());
        self.tables.retain(|_, holders| !holders.is_empty());
    }

    /// Those who may hold a table.
    pub fn askers_of(&self, table: u16) -> impl Iterator<Item = u16> + '_ {
        self.tables.get(&table).into_iter().flatten().copied()
    }

    /// Tables that somebody may hold.
    pub fn tables(&self) -> impl Iterator<Item = u16> + '_ {
        self.tables.keys().copied()
    }
}
