//! Timers that were set. The decisions set a few at a time, so an ordered set does: see
//! `docs/measurements.md` for it beside a wheel.

use std::collections::BTreeSet;

#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(u64, u64)>);

fn nanos(time: f64) -> u64 {
    (time * 1e9) as u64
}

impl Timers {
    pub fn set(&mut self, at: f64, number: u64) {
        self.0.insert((nanos(at), number));
    }

    /// The numbers of those that are due, in order of time.
    pub fn due(&mut self, now: f64) -> Vec<u64> {
        let later = self.0.split_off(&(nanos(now) + 1, 0));
        std::mem::replace(&mut self.0, later).into_iter().map(|(_, number)| number).collect()
    }

    pub fn next_at(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / 1e9)
    }
}
