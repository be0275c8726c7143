//! Whether each asker is there: a heartbeat brings it up, silence takes it away.
//!
//! Those who pull have no stream. An asker counts as up from its first question, or the first reading of
//! its counters, until neither has come for `away_after`. Groups of clients are up from the start for
//! good: some of them may always hold an answer.

use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Asker {
    lasting: bool,
    up: bool,
    sign: f64,
}

#[derive(Clone, Debug)]
pub struct Presence {
    away_after: f64,
    askers: Vec<Asker>,
    /// Those that are up, about in the order in which they may turn out away; each stands here once.
    watch: VecDeque<(f64, u16)>,
}

impl Presence {
    /// `lasting` says which askers never leave.
    pub fn new(lasting: &[bool], away_after: f64) -> Self {
        let asker = |lasting: &bool| Asker { lasting: *lasting, up: *lasting, sign: 0.0 };
        Presence { away_after, askers: lasting.iter().map(asker).collect(), watch: VecDeque::new() }
    }

    pub fn is_up(&self, asker: u16) -> bool {
        self.askers.get(usize::from(asker)).is_some_and(|a| a.up)
    }

    pub fn up(&self) -> impl Iterator<Item = u16> + '_ {
        self.askers.iter().enumerate().filter(|(_, a)| a.up).map(|(place, _)| place as u16)
    }

    /// A heartbeat. True where it brings the asker up.
    pub fn heartbeat(&mut self, id: u16, now: f64) -> bool {
        let Some(asker) = self.askers.get_mut(usize::from(id)) else { return false };
        asker.sign = now;
        if asker.up {
            return false;
        }
        asker.up = true;
        self.watch.push_back((now + self.away_after, id));
        true
    }

    /// A stream came up, or broke: no sign is needed while it holds. True where that changes anything.
    pub fn set_connected(&mut self, id: u16, up: bool) -> bool {
        let Some(asker) = self.askers.get_mut(usize::from(id)) else { return false };
        asker.lasting = up;
        std::mem::replace(&mut asker.up, up) != up
    }

    /// Those that went away by now. Each asker is looked at once in `away_after`, however often it signs.
    pub fn expire(&mut self, now: f64) -> Vec<u16> {
        let mut gone = Vec::new();
        while let Some((at, id)) = self.watch.front().copied().filter(|(at, _)| *at <= now) {
            self.watch.pop_front();
            let asker = &mut self.askers[usize::from(id)];
            let due = asker.sign + self.away_after;
            if due > now && due > at {
                // Kept in order: a later sign is looked at no earlier than those already waiting.
                let last = self.watch.back().map_or(due, |(last, _)| due.max(*last));
                self.watch.push_back((last, id));
            } else if !asker.lasting {
                asker.up = false;
                gone.push(id);
            }
        }
        gone
    }

    pub fn next_check(&self) -> Option<f64> {
        self.watch.front().map(|(at, _)| *at)
    }
}
