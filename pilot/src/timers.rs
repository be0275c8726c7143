//! Pending timers. The decisions have only a few at a time, so an ordered set is enough; see
//! `docs/measurements.md` for a comparison with a timer wheel.

use std::collections::BTreeSet;

/// Timers as pairs of due time (ns) and number.
#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(u64, u64)>);

fn nanos(time: f64) -> u64 {
    (time * 1e9) as u64
}

impl Timers {
    pub fn set(&mut self, at: f64, number: u64) {
        self.0.insert((nanos(at), number));
    }

    /// Removes the timers that are due and returns their numbers in order of due time.
    pub fn due(&mut self, now: f64) -> Vec<u64> {
        let later = self.0.split_off(&(nanos(now) + 1, 0));
        std::mem::replace(&mut self.0, later).into_iter().map(|(_, number)| number).collect()
    }

    pub fn next_at(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / 1e9)
    }
}
