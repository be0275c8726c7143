//! Tracks the delivery of changes to askers: which changes may not be in use everywhere yet.
//!
//! Nothing is pushed to askers that poll. A message to such an asker is pending while an older answer may
//! still be in use: until the last one given to the asker has expired or, if the asker is a single host,
//! until it was given newer answers for every class. A message to a proxy on a stream is pending until the
//! proxy acknowledges it. Acknowledgements are passed on in the order of the messages, since the decisions
//! take one as proof that all earlier messages have been delivered.

use oatlever::round::Acknowledgement;
use std::collections::VecDeque;

/// By class: the time until which answers given to an asker may be in use.
type Expiries = Vec<f64>;

/// How an asker gets its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskerKind {
    /// Many hosts poll independently.
    Group,
    /// A single host polls; each answer replaces the one before.
    Host,
    /// Updates are pushed on a stream and acknowledged.
    Stream,
}

#[derive(Clone, Debug)]
struct Asker {
    kind: AskerKind,
    /// Unused for streams.
    expiries: Expiries,
    /// Its pending messages, oldest first, by sequence number.
    pending: VecDeque<u64>,
}

#[derive(Clone, Debug)]
struct Message {
    asker: u16,
    number: Option<u64>,
    version: u64,
    lines: f64,
    /// When older answers expire; empty once it is acknowledged, rejected, or its asker is disconnected.
    expiries: Expiries,
}

impl Message {
    fn delivered_at(&self) -> f64 {
        self.expiries.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

/// The queue of pending messages to all askers.
#[derive(Clone, Debug)]
pub struct DeliveryTracker {
    /// Seconds for which an answer may be in use.
    answer_lifetime: f64,
    askers: Vec<Asker>,
    messages: VecDeque<Message>,
    /// Number of messages ever removed from the front of `messages`: the sequence number of the first one.
    removed: u64,
    pending_lines: f64,
    /// The largest number of lines ever pending.
    pub max_pending_lines: f64,
    /// Number of messages enqueued so far.
    pub message_count: u64,
}

impl DeliveryTracker {
    /// `answer_lifetime` is how long an answer may be in use, in seconds. Answers given by another instance
    /// before `start` are assumed to be in use for that long.
    pub fn new(kinds: &[AskerKind], classes: usize, answer_lifetime: f64, start: f64) -> Self {
        let asker = |&kind: &AskerKind| Asker {
            kind,
            expiries: vec![start + answer_lifetime; classes],
            pending: VecDeque::new(),
        };
        DeliveryTracker {
            answer_lifetime,
            askers: kinds.iter().map(asker).collect(),
            messages: VecDeque::new(),
            removed: 0,
            pending_lines: 0.0,
            max_pending_lines: 0.0,
            message_count: 0,
        }
    }

    /// Enqueues a message with the lines that changed for an asker in `version`. `number` is reported in its
    /// acknowledgement; without one there is none.
    pub fn enqueue(&mut self, asker: u16, lines: f64, number: Option<u64>, version: u64, now: f64) {
        let Some(state) = self.askers.get_mut(usize::from(asker)) else { return };
        let unexpired = |expiry: &f64| if *expiry > now { *expiry } else { f64::NEG_INFINITY };
        let expiries = match state.kind {
            AskerKind::Stream => vec![f64::INFINITY],
            _ => state.expiries.iter().map(unexpired).collect(),
        };
        state.pending.push_back(self.removed + self.messages.len() as u64);
        self.messages.push_back(Message { asker, number, version, lines, expiries });
        self.message_count += 1;
        self.pending_lines += lines;
        self.max_pending_lines = self.max_pending_lines.max(self.pending_lines);
    }

    /// Records that an asker is given an answer of a class, built from `version`. The cost is linear in the
    /// number of messages pending for this asker, independent of those pending for others.
    pub fn record_answer(&mut self, asker: u16, class: u16, version: u64, now: f64) {
        let class = usize::from(class);
        let Some(state) = self.askers.get_mut(usize::from(asker)) else { return };
        let Some(expiry) = state.expiries.get_mut(class) else { return };
        *expiry = now + self.answer_lifetime;
        if state.kind == AskerKind::Host {
            for sequence in &state.pending {
                let message = &mut self.messages[(sequence - self.removed) as usize];
                if message.version <= version {
                    message.expiries[class] = f64::NEG_INFINITY;
                }
            }
        }
    }

    /// Drops the messages pending for an asker, without acknowledgements.
    pub fn disconnect(&mut self, asker: u16) {
        let Some(state) = self.askers.get_mut(usize::from(asker)) else { return };
        for sequence in state.pending.drain(..) {
            let message = &mut self.messages[(sequence - self.removed) as usize];
            self.pending_lines -= message.lines;
            *message = Message { number: None, lines: 0.0, expiries: Vec::new(), ..*message };
        }
    }

    /// Removes the messages delivered by now and returns their acknowledgements.
    pub fn acknowledgements(&mut self, now: f64) -> Vec<Acknowledgement> {
        let mut acknowledgements = Vec::new();
        while self.messages.front().is_some_and(|front| front.delivered_at() <= now) {
            let Some(front) = self.messages.pop_front() else { break };
            let pending = &mut self.askers[usize::from(front.asker)].pending;
            if pending.front() == Some(&self.removed) {
                pending.pop_front();
            }
            self.removed += 1;
            acknowledgements
                .extend(front.number.map(|number| Acknowledgement { proxy: front.asker, number }));
            self.pending_lines -= front.lines;
        }
        if self.messages.is_empty() {
            self.pending_lines = 0.0;
        }
        acknowledgements
    }

    /// Records that a proxy on a stream acknowledged everything up to a version.
    pub fn acknowledge(&mut self, asker: u16, version: u64) {
        self.resolve(asker, version, true);
    }

    /// Records that a proxy on a stream rejected a version: its messages are no longer pending but get no
    /// acknowledgement.
    pub fn reject(&mut self, asker: u16, version: u64) {
        self.resolve(asker, version, false);
    }

    fn resolve(&mut self, asker: u16, version: u64, accepted: bool) {
        let state = self.askers.get(usize::from(asker));
        let Some(state) = state.filter(|state| state.kind == AskerKind::Stream) else { return };
        for sequence in &state.pending {
            let message = &mut self.messages[(sequence - self.removed) as usize];
            if message.version <= version && !message.expiries.is_empty() {
                message.expiries.clear();
                message.number = message.number.filter(|_| accepted);
            }
        }
    }

    /// Lines of all pending messages, counted once per asker.
    pub fn pending_lines(&self) -> f64 {
        self.pending_lines
    }
}
