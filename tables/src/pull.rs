//! The channel: what was ordered and may not be in use everywhere yet.
//!
//! Those who pull are not pushed to, so a message to them waits while an answer older than it may still be in use: until the
//! last such answer handed to the asker has run out, or, where the asker is one host, until it was handed
//! newer ones for all it holds. A message to a proxy on a stream waits until it is acknowledged. Receipts are passed on in the order of the orders, as the decisions take
//! one for proof that all earlier messages have left.

use oatlever::round::Acknowledgement;
use std::collections::VecDeque;

/// Until when answers of a class may be in use, by those who were handed them.
type Holds = Vec<f64>;

/// How an asker comes by its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskerKind {
    /// Many hosts pull, each for itself.
    Group,
    /// One host pulls; it forgets an answer when it gets the next.
    Host,
    /// It holds a stream, is pushed to and acknowledges.
    Stream,
}

#[derive(Clone, Debug)]
struct Asker {
    kind: AskerKind,
    /// Of those who pull.
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
pub struct DeliveryTracker {
    hold: f64,
    askers: Vec<Asker>,
    messages: VecDeque<Message>,
    /// Messages that were ever taken off the front.
    taken: u64,
    waiting: f64,
    /// The most lines that ever waited.
    pub max_pending_lines: f64,
    /// Messages ordered so far.
    pub message_count: u64,
}

impl DeliveryTracker {
    /// `hold` is how long an answer may be in use, s. What others may have handed out before `start` is
    /// assumed to be in use as long as anything could be.
    pub fn new(askers: &[AskerKind], classes: usize, hold: f64, start: f64) -> Self {
        let asker = |kind: &AskerKind| Asker {
            kind: *kind,
            until: vec![start + hold; classes],
            own: VecDeque::new(),
        };
        DeliveryTracker {
            hold,
            askers: askers.iter().map(asker).collect(),
            messages: VecDeque::new(),
            taken: 0,
            waiting: 0.0,
            max_pending_lines: 0.0,
            message_count: 0,
        }
    }

    /// Lines of changes ordered for an asker, that `version` brings.
    pub fn enqueue(&mut self, asker: u16, lines: f64, number: Option<u64>, version: u64, now: f64) {
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        let open = |until: &f64| if *until > now { *until } else { f64::NEG_INFINITY };
        let until = match held.kind {
            AskerKind::Stream => vec![f64::INFINITY],
            _ => held.until.iter().map(open).collect(),
        };
        held.own.push_back(self.taken + self.messages.len() as u64);
        self.messages.push_back(Message { asker, number, version, lines, until });
        self.message_count += 1;
        self.waiting += lines;
        self.max_pending_lines = self.max_pending_lines.max(self.waiting);
    }

    /// An answer of a class, of this version, goes out to an asker. Costs in proportion to what waits for
    /// this asker, whatever waits for others.
    pub fn record_answer(&mut self, asker: u16, class: u16, version: u64, now: f64) {
        let class = usize::from(class);
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        let Some(until) = held.until.get_mut(class) else { return };
        *until = now + self.hold;
        if held.kind == AskerKind::Host {
            for number in &held.own {
                let message = &mut self.messages[(number - self.taken) as usize];
                if message.version <= version {
                    message.until[class] = f64::NEG_INFINITY;
                }
            }
        }
    }

    pub fn disconnect(&mut self, asker: u16) {
        let Some(held) = self.askers.get_mut(usize::from(asker)) else { return };
        for number in held.own.drain(..) {
            let message = &mut self.messages[(number - self.taken) as usize];
            self.waiting -= message.lines;
            *message = Message { number: None, lines: 0.0, until: Vec::new(), ..*message };
        }
    }

    /// Receipts of what has left by now.
    pub fn acknowledgements(&mut self, now: f64) -> Vec<Acknowledgement> {
        let mut out = Vec::new();
        while self.messages.front().is_some_and(|front| front.left_at() <= now) {
            let Some(front) = self.messages.pop_front() else { break };
            let own = &mut self.askers[usize::from(front.asker)].own;
            if own.front() == Some(&self.taken) {
                own.pop_front();
            }
            self.taken += 1;
            out.extend(front.number.map(|number| Acknowledgement { proxy: front.asker, number }));
            self.waiting -= front.lines;
        }
        if self.messages.is_empty() {
            self.waiting = 0.0;
        }
        out
    }

    /// A proxy on a stream has acknowledged all up to a version.
    pub fn acknowledge(&mut self, asker: u16, version: u64) {
        self.end(asker, version, true);
    }

    /// A proxy on a stream has refused what a version brought: it has left the channel without an acknowledgement.
    pub fn reject(&mut self, asker: u16, version: u64) {
        self.end(asker, version, false);
    }

    fn end(&mut self, asker: u16, version: u64, taken: bool) {
        let Some(held) = self.askers.get(usize::from(asker)).filter(|a| a.kind == AskerKind::Stream) else {
            return;
        };
        for number in &held.own {
            let message = &mut self.messages[(number - self.taken) as usize];
            if message.version <= version && !message.until.is_empty() {
                message.until.clear();
                message.number = message.number.filter(|_| taken);
            }
        }
    }

    /// Lines that wait, counted at each asker concerned.
    pub fn pending_lines(&self) -> f64 {
        self.waiting
    }
}
