//! Tracks which askers may use which table.
//!
//! An asker that was bound to another table may use the old one until its lifetime ends, and one whose stream broke
//! keeps the table it had. Until then its queries count towards every table that it may use.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
struct AskerTables {
    /// The table that the asker is bound to.
    bound: Option<u16>,
    /// Former tables and when their use ends at the latest, s; the oldest first.
    former: Vec<(u16, f64)>,
}

#[derive(Clone, Debug)]
pub struct Holders {
    /// Maximum time that a table is used after it was replaced, s.
    max_table_lifetime: f64,
    askers: BTreeMap<u16, AskerTables>,
    /// The askers that may use each table.
    tables: BTreeMap<u16, BTreeSet<u16>>,
}

impl Holders {
    pub fn new(max_table_lifetime: f64) -> Self {
        Holders { max_table_lifetime, askers: BTreeMap::new(), tables: BTreeMap::new() }
    }

    /// Binds an asker to a table from now on, or to none.
    pub fn bind(&mut self, asker: u16, table: Option<u16>, now: f64) {
        let tables = self.askers.entry(asker).or_default();
        if tables.bound == table {
            return;
        }
        if let Some(old) = std::mem::replace(&mut tables.bound, table) {
            tables.former.retain(|(former, _)| *former != old);
            tables.former.push((old, now + self.max_table_lifetime));
        }
        if let Some(table) = table {
            self.tables.entry(table).or_default().insert(asker);
        }
    }

    /// Removes former tables that can no longer be in use.
    pub fn expire(&mut self, now: f64) {
        for (asker, AskerTables { bound, former }) in &mut self.askers {
            for (table, _) in former.extract_if(.., |(_, until)| *until <= now) {
                if *bound != Some(table) {
                    if let Some(holders) = self.tables.get_mut(&table) {
                        holders.remove(asker);
                    }
                }
            }
        }
        self.askers.retain(|_, tables| tables.bound.is_some() || !tables.former.is_empty());
        self.tables.retain(|_, holders| !holders.is_empty());
    }

    /// The askers that may use a table.
    pub fn askers_of(&self, table: u16) -> impl Iterator<Item = u16> + '_ {
        self.tables.get(&table).into_iter().flatten().copied()
    }

    /// The tables that some asker may use.
    pub fn tables(&self) -> impl Iterator<Item = u16> + '_ {
        self.tables.keys().copied()
    }
}
