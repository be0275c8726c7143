//! What the decisions remember of servers, proxies and tables. Nothing here decides anything.

use crate::round::{Acknowledgement, Address, Entry, ProxyQueries, Readiness, Tries};
use crate::sums::Fading;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    /// The groups it is dealt to.
    pub groups: Vec<usize>,
    pub readiness: Readiness,
    /// Since when it is gone, where it is.
    pub gone_at: Option<f64>,
    pub weight: f64,
    /// The largest weight it was listed with; some lists lower the weight of what is busy.
    pub size: f64,
    /// Clock time of its last start; 0 means long ago.
    pub started: f64,
    pub trust: f64,
    /// Queries have spoken against it since its start.
    pub judged: bool,
    pub tries: Fading,
    pub failed: Fading,
    pub answers: Fading,
    /// Seconds that its answers took together.
    pub time: Fading,
    pub answered_at: f64,
}

impl Server {
    pub fn new(entry: &Entry, span: f64, trust: f64) -> Self {
        let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        Server {
            zone: usize::from(entry.zone),
            groups: Vec::new(),
            readiness: entry.readiness,
            gone_at: None,
            weight,
            size: weight,
            started: entry.started,
            trust,
            judged: false,
            tries: Fading::over(span),
            failed: Fading::over(span),
            answers: Fading::over(span),
            time: Fading::over(span),
            answered_at: f64::NEG_INFINITY,
        }
    }

    /// Counts what proxies met at it.
    pub fn count(&mut self, tries: &Tries, now: f64) {
        let answers = (tries.tries - tries.failed).max(0.0);
        self.tries.add(now, tries.tries);
        self.failed.add(now, tries.failed);
        if answers > 0.0 && tries.time > 0.0 {
            self.answers.add(now, answers);
            self.time.add(now, tries.time * answers);
            self.answered_at = now;
        }
    }

    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// How far it is into its warming, from 0 to 1.
    pub fn warmed(&self, now: f64, warm_within: f64) -> f64 {
        if self.started <= 0.0 || now - self.started >= warm_within {
            return 1.0;
        }
        (now - self.started).max(0.0) / warm_within
    }

    /// Mean time of its answers, with `prior` counted as that of `weight` more.
    pub fn mean_time(&self, now: f64, prior: f64, weight: f64) -> f64 {
        (self.time.read(now) + prior * weight) / (self.answers.read(now) + weight)
    }

    /// Share of tries that failed, with `weight` more that did not.
    pub fn part_failed(&self, now: f64, weight: f64) -> f64 {
        self.failed.read(now) / (self.tries.read(now) + weight)
    }
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: usize,
    /// The group it is dealt to; none yet where there is no such group.
    pub group: usize,
    pub joined: bool,
    pub bound: bool,
    /// Queries a second it usually gets.
    pub rate: f64,
    /// Queries that came, by class.
    pub came: Vec<Fading>,
    pub since: Option<f64>,
    /// When messages were written to it.
    pub sent: VecDeque<f64>,
}

impl Proxy {
    /// Counts queries that came to it, to fade over `span`.
    pub fn count(&mut self, queries: &ProxyQueries, classes: usize, span: f64, now: f64) {
        self.came.resize(classes, Fading::over(span));
        self.since.get_or_insert(now - queries.span);
        if let Some(came) = self.came.get_mut(usize::from(queries.class)) {
            came.add(now, queries.received);
        }
    }

    pub fn note_sent(&mut self, now: f64, window: f64) {
        self.sent.retain(|at| now - at < window);
        self.sent.push_back(now);
    }

    pub fn sent_since(&self, at: f64) -> usize {
        self.sent.iter().rev().take_while(|sent| **sent > at).count()
    }
}

impl Default for Proxy {
    fn default() -> Self {
        Proxy {
            zone: 0,
            group: usize::MAX,
            joined: false,
            bound: false,
            rate: 0.0,
            came: Vec::new(),
            since: None,
            sent: VecDeque::new(),
        }
    }
}

/// What the proxies that use a table have been sent last.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: BTreeMap<Address, f64>,
    /// By class; none where nothing was ordered, and everything is let in.
    pub levels: Vec<Option<Level>>,
}

/// What a table should be.
#[derive(Clone, Debug)]
pub struct WantedTable {
    /// By server; they need not add up to 1.
    pub weights: BTreeMap<Address, f64>,
    /// Part of the table's requests that may be let in on them.
    pub placed: f64,
}

/// What is ordered of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Part of its requests that is let in, or requests a second of each proxy.
    pub admitted: f64,
    /// The wire's retry mode.
    pub retry: u8,
}

impl Level {
    /// Whether less is let in than before. A retry that is taken back is no fall: put before weights, it keeps those
    /// that lead away from a trouble waiting.
    pub fn falls_from(self, before: Level) -> bool {
        self.admitted < before.admitted
    }
}

/// What the limits of cold servers go by at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    /// Requests a second that a unit of size carries.
    pub carried_by_size: f64,
    /// Size of most servers.
    pub usual_size: f64,
}

/// All that should change in a table.
#[derive(Clone, Debug)]
pub struct TableChanges {
    /// The place of the table.
    pub place: usize,
    /// Some of it can't wait for a cycle.
    pub must: bool,
    /// Requests a second that go elsewhere by it.
    pub moved: f64,
    pub changes: Vec<Change>,
}

/// A line of a table that should say something else.
#[derive(Clone, Debug)]
pub struct Change {
    pub server: Address,
    pub weight: f64,
    pub moved: f64,
    /// It can't wait for a cycle.
    pub must: bool,
}

/// The admission limit, and what it goes by.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Part of all queries that is let in.
    pub admitted: f64,
    /// That part, as it was while what is measured now was let in.
    pub held: f64,
    /// Queries a second that are let in.
    pub limit: f64,
    /// The usual server's time and failures, over the due time.
    pub pressure: f64,
    /// Answers a second that a unit of weight has been seen to give, at most.
    pub observed_capacity: f64,
    /// Size of all ready servers, where most of them were listed.
    pub most_listed: f64,
    /// Tries a second that came to an end.
    pub met: f64,
    /// Queries a second that the joined proxies usually bring, and when that last grew at once.
    pub usual: f64,
    pub grown_at: Option<f64>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            admitted: 1.0,
            held: 1.0,
            limit: f64::INFINITY,
            pressure: 0.0,
            observed_capacity: 0.0,
            most_listed: 0.0,
            met: 0.0,
            usual: 0.0,
            grown_at: None,
        }
    }
}

/// When what happened last, or is to happen next.
#[derive(Clone, Debug, Default)]
pub struct Times {
    pub asked_at: Option<f64>,
    pub ask_at: f64,
    pub first_heard: Option<f64>,
    pub heard_at: Option<f64>,
    pub last_cycle: f64,
    pub next_cycle: f64,
    pub next_beat: f64,
}

/// The orders of one round: the number they were marked with, and what may still wait of them.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    number: u16,
    lines: f64,
    messages: f64,
}

/// The book of a channel: what may wait in it as far as acknowledgements tell, and what was written lately.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    marks: VecDeque<Mark>,
    /// What this round has written.
    fresh: Mark,
    /// Lines of ordinary orders, less what a steady pace has taken off since.
    pub spent: f64,
    settled_at: f64,
    acknowledged_at: f64,
}

impl Queue {
    pub fn write(&mut self, lines: f64, messages: usize) {
        self.fresh.lines += lines * messages as f64;
        self.fresh.messages += messages as f64;
    }

    /// Charges lines to the pace that ordinary orders keep to.
    ///
    /// What can't wait is not charged: the tables of a fleet that joins at once would take the whole of that pace
    /// for many seconds, and shut out every weight and level while the channel is empty.
    pub fn spend(&mut self, lines: f64) {
        self.spent += lines;
    }

    /// The number to mark this round's messages with, if there are any.
    pub fn mark(&mut self, now: f64) -> Option<u64> {
        if self.fresh.messages == 0.0 {
            return None;
        }
        if self.marks.is_empty() {
            self.acknowledged_at = now;
        }
        self.marks.push_back(self.fresh);
        self.fresh = Mark { number: self.fresh.number.wrapping_add(1), ..Mark::default() };
        self.marks.back().map(|mark| u64::from(mark.number))
    }

    /// Messages leave in order: an acknowledgement shows that its message has left, and all of earlier
    /// rounds. Without any for `patience` seconds, those that should send them are gone.
    pub fn settle(&mut self, acknowledgements: &[Acknowledgement], now: f64, patience: f64, pace: f64) {
        for acknowledgement in acknowledgements {
            self.acknowledged_at = now;
            if let Some(place) = self.marks.iter().position(|m| u64::from(m.number) == acknowledgement.number)
            {
                self.marks.drain(..place);
                let mark = &mut self.marks[0];
                mark.lines *= 1.0 - 1.0 / mark.messages.max(1.0);
                mark.messages -= 1.0;
            }
        }
        if now - self.acknowledged_at > patience {
            self.marks.clear();
        }
        self.spent = (self.spent - (now - self.settled_at) * pace).max(0.0);
        self.settled_at = now;
    }

    pub fn waiting(&self) -> f64 {
        self.fresh.lines + self.marks.iter().map(|mark| mark.lines).sum::<f64>()
    }
}
