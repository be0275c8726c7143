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
    /// Its messages that wait, oldest first, by number since the start.
    own: VecDeque<u64>,
}

#[derive(Clone, Debug)]
struct Message {
    asker: u16,
    number: Option<u64>,
    version: u64,
    lines: f64,
    /// Empty where nobody is left whom it was for.
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
    /// Messages that were ever taken off the front.
    taken: u64,
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
        let asker = |single: &bool| Asker {
            single: *single,
            until: vec![start + hold; classes],
            own: VecDeque::new(),
        };
        Pull {
            hold,
            askers: single.iter().map(asker).collect(),
            messages: VecDeque::new(),
            taken: 0,
            waiting: 0.0,
            most: 0.0,
            ordered: 0,
        }
    }

    /// Lines of changes ordered for an asker, that `version` brings.
    pub fn order(&mut self, asker: u16, lines: f64, number: Option<u64>, version: u64, now: f64) {
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        let until = held.until.iter().map(|until| if *until > now { *until } else { f64::NEG_INFINITY });
        let until = until.collect();
        held.own.push_back(self.taken + self.messages.len() as u64);
        self.messages.push_back(Message { asker, number, version, lines, until });
        self.ordered += 1;
        self.waiting += lines;
        self.most = self.most.max(self.waiting);
    }

    /// An answer of a class, of this version, goes out to an asker. Costs in proportion to what waits for
    /// this asker, whatever waits for others.
    pub fn hand_out(&mut self, asker: u16, class: u16, version: u64, now: f64) {
        let class = usize::from(class);
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        let Some(until) = held.until.get_mut(class) else { return };
        *until = now + self.hold;
        if held.single {
            for number in &held.own {
                let message = &mut self.messages[(number - self.taken) as usize];
                if message.version <= version {
                    message.until[class] = f64::NEG_INFINITY;
                }
            }
        }
    }

    pub fn leave(&mut self, asker: u16) {
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        for number in held.own.drain(..) {
            let message = &mut self.messages[(number - self.taken) as usize];
            self.waiting -= message.lines;
            *message = Message { number: None, lines: 0.0, until: Vec::new(), ..*message };
        }
    }

    /// Receipts of what has left by now.
    pub fn receipts(&mut self, now: f64) -> Vec<Receipt> {
        let mut out = Vec::new();
        while self.messages.front().is_some_and(|front| front.left_at() <= now) {
            let Some(front) = self.messages.pop_front() else { break };
            let own = &mut self.askers[usize::from(front.asker)].own;
            if own.front() == Some(&self.taken) {
                own.pop_front();
            }
            self.taken += 1;
            out.extend(front.number.map(|number| Receipt { proxy: front.asker, number }));
            self.waiting -= front.lines;
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
