//! Tracks which askers are up, by heartbeats and a timeout.
//!
//! Askers that poll have no connection whose end would show that they left. Such an asker is up from its
//! first query, or the first successful scrape of its counters, until neither has happened for `away_after`
//! seconds. Groups of clients are always up, as some of them may hold an answer at any time.

use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Asker {
    /// Not subject to the timeout: a group of clients, or connected by a stream.
    permanent: bool,
    up: bool,
    last_heartbeat: f64,
}

/// The up or down state of each asker.
#[derive(Clone, Debug)]
pub struct Presence {
    away_after: f64,
    askers: Vec<Asker>,
    /// The askers to check and when, roughly in the order of their timeouts; each is queued at most once.
    checks: VecDeque<(f64, u16)>,
}

impl Presence {
    /// `permanent` tells for each asker whether it is always up.
    pub fn new(permanent: &[bool], away_after: f64) -> Self {
        let asker = |&permanent: &bool| Asker { permanent, up: permanent, last_heartbeat: 0.0 };
        Presence { away_after, askers: permanent.iter().map(asker).collect(), checks: VecDeque::new() }
    }

    pub fn is_up(&self, asker: u16) -> bool {
        self.askers.get(usize::from(asker)).is_some_and(|a| a.up)
    }

    /// The askers that are up.
    pub fn up(&self) -> impl Iterator<Item = u16> + '_ {
        self.askers.iter().enumerate().filter(|(_, a)| a.up).map(|(id, _)| id as u16)
    }

    /// Records a heartbeat. Returns whether the asker was down before.
    pub fn heartbeat(&mut self, id: u16, now: f64) -> bool {
        let Some(asker) = self.askers.get_mut(usize::from(id)) else { return false };
        asker.last_heartbeat = now;
        if asker.up {
            return false;
        }
        asker.up = true;
        self.checks.push_back((now + self.away_after, id));
        true
    }

    /// Records that an asker's stream was established or closed; no heartbeats are needed while it is
    /// established. Returns whether the asker's state changed.
    pub fn set_connected(&mut self, id: u16, up: bool) -> bool {
        let Some(asker) = self.askers.get_mut(usize::from(id)) else { return false };
        asker.permanent = up;
        std::mem::replace(&mut asker.up, up) != up
    }

    /// Marks askers down whose timeout has passed and returns them. Each asker is checked once per
    /// `away_after`, however many heartbeats it sends.
    pub fn expire(&mut self, now: f64) -> Vec<u16> {
        let mut expired = Vec::new();
        while let Some((at, id)) = self.checks.front().copied().filter(|(at, _)| *at <= now) {
            self.checks.pop_front();
            let asker = &mut self.askers[usize::from(id)];
            let deadline = asker.last_heartbeat + self.away_after;
            if deadline > now && deadline > at {
                // Keep the queue sorted: a later check is never queued ahead of those already waiting.
                let next = self.checks.back().map_or(deadline, |(last, _)| deadline.max(*last));
                self.checks.push_back((next, id));
            } else if !asker.permanent {
                asker.up = false;
                expired.push(id);
            }
        }
        expired
    }

    /// When the next check is due.
    pub fn next_check(&self) -> Option<f64> {
        self.checks.front().map(|(at, _)| *at)
    }
}
