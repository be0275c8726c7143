//! The latest changes of tables, each with the round that made it and the inputs of that round.

use oatlever::round::{Address, Round};
use std::collections::{BTreeMap, VecDeque};

/// Number of inputs of a round by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundInputs {
    pub lists: usize,
    pub streams: usize,
    pub queries: usize,
    pub tries: usize,
    pub health: usize,
    pub acknowledgements: usize,
    pub timers: usize,
}

impl RoundInputs {
    pub fn from_round(round: &Round) -> Self {
        RoundInputs {
            lists: round.lists.len(),
            streams: round.streams.len(),
            queries: round.queries.len(),
            tries: round.tries.len(),
            health: round.health.len(),
            acknowledgements: round.acknowledgements.len(),
            timers: round.timers.len(),
        }
    }

    /// The kinds with at least one input, and their numbers.
    pub fn nonzero(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let all = [
            ("lists", self.lists),
            ("streams", self.streams),
            ("queries", self.queries),
            ("tries", self.tries),
            ("health", self.health),
            ("acknowledgements", self.acknowledgements),
            ("timers", self.timers),
        ];
        all.into_iter().filter(|(_, count)| *count > 0)
    }
}

/// A change of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub version: u64,
    /// Seconds, on the pilot's clock.
    pub at: f64,
    pub round: u64,
    pub inputs: RoundInputs,
    pub table: u16,
    /// Server, weight before, weight after.
    pub lines: Vec<(Address, f64, f64)>,
    /// By class, if levels changed: the admission level and the retry mode.
    pub levels: BTreeMap<u16, (f64, u8)>,
}

/// A bounded log of changes.
#[derive(Clone, Debug)]
pub struct History {
    capacity: usize,
    changes: VecDeque<Change>,
}

impl History {
    pub fn with_capacity(capacity: usize) -> Self {
        History { capacity: capacity.max(1), changes: VecDeque::new() }
    }

    pub fn push(&mut self, change: Change) {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    pub fn newest_first(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().rev()
    }
}
