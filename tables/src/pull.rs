//! The channel of those who pull: what was ordered and may not be in use everywhere yet.
//!
//! Nobody is pushed to, so a message waits while an answer older than it may still be in use: until the
//! last such answer handed to the asker has run out, or, where the asker is one host, until it was handed
//! newer ones for all it holds. Receipts are passed on in the order of the orders, as the decisions take
//! one for proof that all earlier messages have left.

use oatlever::round::Receipt;
use std::collections::VecDeque;

/// Until when answers of a class may be in use, by those who were handed them.
type Holds = Vec<f64>;

#[derive(Clone, Debug)]
struct Asker {
    /// It stands for one host, which forgets an answer when it gets the next.
    single: bool,
    until: Holds,
}

#[derive(Clone, Debug)]
struct Message {
    asker: u16,
    number: Option<u64>,
    version: u64,
    lines: f64,
    until: Holds,
}

impl Message {
    fn left_at(&self) -> f64 {
        self.until.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

/// The book of what waits.
#[derive(Clone, Debug)]
pub struct Pull {
    hold: f64,
    askers: Vec<Asker>,
    messages: VecDeque<Message>,
    waiting: f64,
    /// The most lines that ever waited.
    pub most: f64,
    /// Messages ordered so far.
    pub ordered: u64,
}

impl Pull {
    /// `hold` is how long an answer may be in use, s. What others may have handed out before `start` is
    /// assumed to be in use as long as anything could be. `single` says which askers are one host.
    pub fn new(single: &[bool], classes: usize, hold: f64, start: f64) -> Self {
        let asker = |single: &bool| Asker { single: *single, until: vec![start + hold; classes] };
        Pull {
            hold,
            askers: single.iter().map(asker).collect(),
            messages: VecDeque::new(),
            waiting: 0.0,
            most: 0.0,
            ordered: 0,
        }
    }

    /// Lines of changes ordered for an asker, that `version` brings.
    pub fn order(&mut self, asker: u16, lines: f64, number: Option<u64>, version: u64, now: f64) {
        let Some(held) = self.askers.get(usize::from(asker)) else { return };
        let until = held.until.iter().map(|until| if *until > now { *until } else { f64::NEG_INFINITY });
        let until = until.collect();
        self.messages.push_back(Message { asker, number, version, lines, until });
        self.ordered += 1;
        self.waiting += lines;
        self.most = self.most.max(self.waiting);
    }

    /// An answer of a class, of this version, goes out to an asker.
    pub fn hand_out(&mut self, asker: u16, class: u16, version: u64, now: f64) {
        let class = usize::from(class);
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        let Some(until) = held.until.get_mut(class) else { return };
        *until = now + self.hold;
        if held.single {
            let older = self.messages.iter_mut().filter(|m| m.asker == asker && m.version <= version);
            older.for_each(|m| m.until[class] = f64::NEG_INFINITY);
        }
    }

    pub fn leave(&mut self, asker: u16) {
        self.messages.retain(|m| m.asker != asker);
        self.waiting = self.messages.iter().map(|m| m.lines).sum();
    }

    /// Receipts of what has left by now.
    pub fn receipts(&mut self, now: f64) -> Vec<Receipt> {
        let mut out = Vec::new();
        while let Some(front) = self.messages.front().filter(|front| front.left_at() <= now) {
            let (proxy, lines) = (front.asker, front.lines);
            out.extend(front.number.map(|number| Receipt { proxy, number }));
            self.waiting = (self.waiting - lines).max(0.0);
            self.messages.pop_front();
        }
        if self.messages.is_empty() {
            self.waiting = 0.0;
        }
        out
    }

    /// When the next receipt may come, if nobody asks before.
    pub fn next_at(&self) -> Option<f64> {
        self.messages.front().map(Message::left_at)
    }

    /// Lines that wait, counted at each asker concerned.
    pub fn waiting(&self) -> f64 {
        self.waiting
    }
}
