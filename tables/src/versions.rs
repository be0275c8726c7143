//! The retained versions of a table, and rollback to one of them.
//!
//! A table that was rolled back stays frozen at the shares of the old version until it is released. The
//! rules of the decisions still apply: a server without a line in the current decisions (it drains, is
//! gone, or must not be used) gets none in the frozen table, and a cold server gets no greater share than
//! they give it. The share taken from these goes to the old version's warm servers. If none of them is
//! left, the decisions' own lines are used, so that no asker is left without a server or with cold ones
//! only.

use oatlever::round::Address;
use std::collections::{BTreeMap, VecDeque};

/// The weights of a table by server.
pub type Lines = BTreeMap<Address, f64>;

/// A version of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableVersion {
    pub version: u64,
    /// Seconds, on the pilot's clock.
    pub at: f64,
    pub lines: Lines,
}

/// The latest versions of a table, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    versions: VecDeque<TableVersion>,
}

impl Versions {
    /// Adds a version and drops the oldest ones beyond `max`.
    pub fn push(&mut self, version: TableVersion, max: usize) {
        self.versions.push_back(version);
        while self.versions.len() > max.max(1) {
            self.versions.pop_front();
        }
    }

    pub fn all(&self) -> impl DoubleEndedIterator<Item = &TableVersion> {
        self.versions.iter()
    }

    pub fn find(&self, version: u64) -> Option<&TableVersion> {
        self.versions.iter().find(|candidate| candidate.version == version)
    }
}

/// Why a table cannot be rolled back, frozen or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreezeError {
    NoTable,
    /// The version does not exist or is no longer retained.
    NoVersion,
    /// The version, or the lines set by an operator, give no server any weight.
    Empty,
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
    let total = lines.values().sum::<f64>().max(f64::MIN_POSITIVE);
    lines.iter().map(|(server, weight)| (*server, weight / total)).collect()
}

/// The lines of a table frozen at an old version, given the lines of the current decisions.
pub fn frozen_lines(old: &Lines, current: &Lines, is_cold: impl Fn(&Address) -> bool) -> Lines {
    let (old, current_shares) = (shares(old), shares(current));
    let (mut cold, mut warm) = (Lines::new(), Lines::new());
    for (server, share) in old.into_iter().filter(|(_, share)| *share > 0.0) {
        match current_shares.get(&server) {
            None => {}
            Some(max) if is_cold(&server) => drop(cold.insert(server, share.min(*max))),
            Some(_) => drop(warm.insert(server, share)),
        }
    }
    if warm.is_empty() {
        return current.clone();
    }
    let warm_share = 1.0 - cold.values().sum::<f64>();
    let mut lines = shares(&warm);
    lines.values_mut().for_each(|share| *share *= warm_share);
    lines.extend(cold);
    lines
}
