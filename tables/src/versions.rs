//! Versions of a table that are kept, and going back to one.
//!
//! A table that was rolled back stays frozen at the old version's shares until it is released. The rules go
//! on above it: a server that the decisions have no line for any more (it drains, is gone, or is not to be
//! used) has none in the frozen table either, and a cold one has no greater part than they give it. What is
//! taken from those goes to the warm servers of the old version; where none of them is left, the decisions'
//! own lines hold, as nobody may be left without a server or with cold ones only.

use oatlever::round::Address;
use std::collections::{BTreeMap, VecDeque};

pub type Lines = BTreeMap<Address, f64>;

/// A table as it was from a version on.
#[derive(Clone, Debug, PartialEq)]
pub struct TableVersion {
    pub version: u64,
    /// s, on the pilot's clock.
    pub at: f64,
    pub lines: Lines,
}

/// The last versions of a table, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    kept: VecDeque<TableVersion>,
}

impl Versions {
    pub fn push(&mut self, kept: TableVersion, most: usize) {
        self.kept.push_back(kept);
        while self.kept.len() > most.max(1) {
            self.kept.pop_front();
        }
    }

    pub fn all(&self) -> impl DoubleEndedIterator<Item = &TableVersion> {
        self.kept.iter()
    }

    pub fn find(&self, version: u64) -> Option<&TableVersion> {
        self.kept.iter().find(|kept| kept.version == version)
    }
}

/// Why a table does not go back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreezeError {
    NoTable,
    /// No such version, or not kept any more.
    NoVersion,
    /// It had no lines then.
    Empty,
    /// It is not frozen.
    NotFrozen,
}

impl std::fmt::Display for FreezeError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            FreezeError::NoTable => "there is no such table",
            FreezeError::NoVersion => "that version is not kept",
            FreezeError::Empty => "that version had no lines",
            FreezeError::NotFrozen => "the table is not frozen",
        })
    }
}

fn shares(lines: &Lines) -> Lines {
    let all = lines.values().sum::<f64>().max(f64::MIN_POSITIVE);
    lines.iter().map(|(server, weight)| (*server, weight / all)).collect()
}

/// The lines of a table frozen at an old version, while the decisions want their own.
pub fn frozen_lines(old: &Lines, own: &Lines, is_cold: impl Fn(&Address) -> bool) -> Lines {
    let (old, own_shares) = (shares(old), shares(own));
    let (mut cold, mut warm) = (Lines::new(), Lines::new());
    for (server, share) in old.into_iter().filter(|(_, share)| *share > 0.0) {
        match own_shares.get(&server) {
            None => {}
            Some(most) if is_cold(&server) => drop(cold.insert(server, share.min(*most))),
            Some(_) => drop(warm.insert(server, share)),
        }
    }
    if warm.is_empty() {
        return own.clone();
    }
    let left = 1.0 - cold.values().sum::<f64>();
    let mut lines = shares(&warm);
    lines.values_mut().for_each(|share| *share *= left);
    lines.extend(cold);
    lines
}
