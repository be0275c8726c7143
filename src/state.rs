//! State of servers, proxies and tables that the decisions keep between rounds. This module decides nothing.

use crate::round::{Acknowledgement, Address, Entry, ProxyQueries, Readiness, Tries};
use crate::sums::DecayingSum;
use std::collections::{BTreeMap, VecDeque};

/// A server and the measurements of its tries.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    /// The groups it belongs to.
    pub groups: Vec<usize>,
    pub readiness: Readiness,
    /// When it was found to be gone, if it is.
    pub gone_at: Option<f64>,
    pub weight: f64,
    /// The largest weight it was listed with, as some lists lower the weight of busy servers.
    pub size: f64,
    /// Time of its last start, on the clock of `Round::now`; 0 means long ago.
    pub started: f64,
    pub trust: f64,
    /// Whether the results of its queries have lowered its trust since its start.
    pub lost_trust: bool,
    pub tries: DecayingSum,
    pub failed: DecayingSum,
    pub answers: DecayingSum,
    /// Sum of its answers' times, s.
    pub total_time: DecayingSum,
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
            lost_trust: false,
            tries: DecayingSum::new(span),
            failed: DecayingSum::new(span),
            answers: DecayingSum::new(span),
            total_time: DecayingSum::new(span),
            answered_at: f64::NEG_INFINITY,
        }
    }

    /// Adds the tries that proxies made at it.
    pub fn record_tries(&mut self, tries: &Tries, now: f64) {
        let answers = (tries.tries - tries.failed).max(0.0);
        self.tries.add(now, tries.tries);
        self.failed.add(now, tries.failed);
        if answers > 0.0 && tries.time > 0.0 {
            self.answers.add(now, answers);
            self.total_time.add(now, tries.time * answers);
            self.answered_at = now;
        }
    }

    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// Progress of warming, from 0 to 1.
    pub fn warm_progress(&self, now: f64, warm_within: f64) -> f64 {
        if self.started <= 0.0 || now - self.started >= warm_within {
            return 1.0;
        }
        (now - self.started).max(0.0) / warm_within
    }

    /// Mean time of its answers, with a prior of `weight` answers that took `prior` each.
    pub fn mean_time(&self, now: f64, prior: f64, weight: f64) -> f64 {
        (self.total_time.read(now) + prior * weight) / (self.answers.read(now) + weight)
    }

    /// Share of tries that failed, with a prior of `weight` successful ones.
    pub fn failure_share(&self, now: f64, weight: f64) -> f64 {
        self.failed.read(now) / (self.tries.read(now) + weight)
    }
}

/// A proxy and its reported usage.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: usize,
    /// The group it belongs to; a number for which there is no group means none yet.
    pub group: usize,
    /// Whether its stream is up.
    pub joined: bool,
    /// Whether it has been sent a table.
    pub bound: bool,
    /// Queries a second that it usually receives.
    pub rate: f64,
    /// Queries received, by class.
    pub received: Vec<DecayingSum>,
    /// Start of the first span reported since it joined.
    pub measured_since: Option<f64>,
    /// When messages were written to it within the window of the message cap.
    pub sent_at: VecDeque<f64>,
    /// When the oldest message was written that it has not acknowledged, where slice orders were written to it.
    pub unacknowledged_since: Option<f64>,
}

impl Proxy {
    /// Adds queries that it received, in sums that decay over `span`.
    pub fn record_queries(&mut self, queries: &ProxyQueries, classes: usize, span: f64, now: f64) {
        self.received.resize(classes, DecayingSum::new(span));
        self.measured_since.get_or_insert(now - queries.span);
        if let Some(sum) = self.received.get_mut(usize::from(queries.class)) {
            sum.add(now, queries.received);
        }
    }

    /// Records a message to it.
    pub fn record_sent(&mut self, now: f64, window: f64) {
        self.sent_at.retain(|at| now - at < window);
        self.sent_at.push_back(now);
    }

    /// Number of messages to it after `at`.
    pub fn sent_since(&self, at: f64) -> usize {
        self.sent_at.iter().rev().take_while(|sent| **sent > at).count()
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
            received: Vec::new(),
            measured_since: None,
            sent_at: VecDeque::new(),
            unacknowledged_since: None,
        }
    }
}

/// A slice assigned to this pilot.
#[derive(Clone, Debug)]
pub struct Slice {
    pub servers: Vec<Address>,
    /// When it was assigned to this pilot.
    pub assigned_at: f64,
    /// When this pilot last removed a server from it.
    pub removed_at: Option<f64>,
    /// When the proxies with a stream have received that removal; the time of the assignment where there was
    /// none.
    pub removal_received_at: f64,
}

/// What the proxies that use a table were sent last.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub weights: BTreeMap<Address, f64>,
    /// By class; `None` where no level was sent, so that everything is admitted.
    pub levels: Vec<Option<Level>>,
}

/// The target state of a table.
#[derive(Clone, Debug)]
pub struct TargetTable {
    /// By server; the sum may differ from 1.
    pub weights: BTreeMap<Address, f64>,
    /// Share of the table's queries that these weights may carry.
    pub admissible: f64,
}

/// Admission level and retry mode of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Share of its queries that is admitted, or queries a second at each proxy.
    pub admitted: f64,
    /// Retry mode as on the wire.
    pub retry: u8,
}

impl Level {
    /// Whether it admits less than `before`. Withdrawing a retry doesn't count: sent ahead of weights, it
    /// would delay those that lead away from a failing server.
    pub fn is_lower_than(self, before: Level) -> bool {
        self.admitted < before.admitted
    }
}

/// Inputs of the limits of cold servers at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    /// Queries a second that a unit of size carries.
    pub capacity_per_size: f64,
    /// Median size of a server.
    pub usual_size: f64,
}

/// All pending changes of a table.
#[derive(Clone, Debug)]
pub struct TableChanges {
    /// The index of the table.
    pub table: usize,
    /// Whether a change can't wait for the next cycle.
    pub urgent: bool,
    /// Queries a second that the changes move to other servers.
    pub moved: f64,
    pub changes: Vec<Change>,
}

/// A pending change of a table's weight for a server.
#[derive(Clone, Debug)]
pub struct Change {
    pub server: Address,
    pub weight: f64,
    pub difference: f64,
    /// Whether it can't wait for the next cycle.
    pub urgent: bool,
}

/// The admission limit and the measurements it is based on.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Share of all queries that is admitted.
    pub admitted: f64,
    /// The admitted share that applied when the present measurements were taken.
    pub lagged_admitted: f64,
    /// Queries a second that are admitted.
    pub limit: f64,
    /// Response time of the median server, failures included, over the due time.
    pub pressure: f64,
    /// The most answers a second that a unit of warm size has been seen to give.
    pub observed_capacity: f64,
    /// The largest total size of ready servers seen so far.
    pub max_listed_size: f64,
    /// Tries a second that ended in an answer or a failure.
    pub completed_tries: f64,
    /// Queries a second that the joined proxies usually bring, and when that last grew at once.
    pub usual_rate: f64,
    pub usual_grew_at: Option<f64>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            admitted: 1.0,
            lagged_admitted: 1.0,
            limit: f64::INFINITY,
            pressure: 0.0,
            observed_capacity: 0.0,
            max_listed_size: 0.0,
            completed_tries: 0.0,
            usual_rate: 0.0,
            usual_grew_at: None,
        }
    }
}

/// Times of the last and the next events.
#[derive(Clone, Debug, Default)]
pub struct Times {
    pub requested_at: Option<f64>,
    pub request_at: f64,
    pub first_report_at: Option<f64>,
    pub last_report_at: Option<f64>,
    pub last_cycle: f64,
    pub next_cycle: f64,
    pub next_recheck: f64,
    /// When the loss of a proxy's stream was last reported.
    pub stream_lost_at: f64,
}

/// The messages of one round: the number they are marked with, and how many lines and messages may still
/// wait.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    number: u16,
    written_at: f64,
    lines: f64,
    messages: f64,
}

/// Accounting of a channel: the lines that may still wait in it according to acknowledgements, and the recent
/// ordinary lines.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    marks: VecDeque<Mark>,
    /// The messages of the present round.
    current: Mark,
    /// Level of a leaky bucket that limits the long-term rate of ordinary lines.
    pub ordinary_lines: f64,
    last_drained_at: f64,
    /// When the lines given to `time_to_send` have left.
    sent_at: f64,
    last_acknowledged_at: f64,
    /// When the newest message was written that a proxy has acknowledged.
    acknowledged_until: Option<f64>,
}

impl Queue {
    /// Accounts for `messages` messages of `lines` lines each.
    pub fn write(&mut self, lines: f64, messages: usize) {
        self.current.lines += lines * messages as f64;
        self.current.messages += messages as f64;
    }

    /// Adds lines to the bucket that limits ordinary orders.
    ///
    /// Urgent lines are not added: the tables of a fleet that joins at once would use up the ordinary rate
    /// for many seconds and hold back every weight and level while the channel is empty.
    pub fn charge_ordinary(&mut self, lines: f64) {
        self.ordinary_lines += lines;
    }

    /// Adds lines that leave after those added before, at `rate` lines a second. Returns the time until all of
    /// them have left, in seconds.
    pub fn time_to_send(&mut self, lines: f64, rate: f64, now: f64) -> f64 {
        self.sent_at = self.sent_at.max(now) + lines / rate;
        self.sent_at - now
    }

    /// The number to mark this round's messages with, if there are any.
    pub fn mark(&mut self, now: f64) -> Option<u64> {
        if self.current.messages == 0.0 {
            return None;
        }
        if self.marks.iter().all(|mark| mark.messages <= 0.0) {
            self.last_acknowledged_at = now;
        }
        self.marks.push_back(Mark { written_at: now, ..self.current });
        self.current = Mark { number: self.current.number.wrapping_add(1), ..Mark::default() };
        self.marks.back().map(|mark| u64::from(mark.number))
    }

    /// Applies acknowledgements and drains the bucket of ordinary lines at `rate` lines a second.
    ///
    /// Messages leave in order: an acknowledgement shows that its message and all of earlier rounds have
    /// left. Without any for `timeout` seconds, the proxies that should acknowledge are gone.
    pub fn acknowledge(&mut self, acknowledgements: &[Acknowledgement], now: f64, timeout: f64, rate: f64) {
        for acknowledgement in acknowledgements {
            self.last_acknowledged_at = now;
            if let Some(position) =
                self.marks.iter().position(|m| u64::from(m.number) == acknowledgement.number)
            {
                self.marks.drain(..position);
                let mark = &mut self.marks[0];
                mark.lines *= 1.0 - 1.0 / mark.messages.max(1.0);
                mark.messages -= 1.0;
            }
        }
        if now - self.last_acknowledged_at > timeout {
            self.marks.clear();
        }
        self.ordinary_lines = (self.ordinary_lines - (now - self.last_drained_at) * rate).max(0.0);
        self.last_drained_at = now;
    }

    /// Records which messages the proxies have received, before `acknowledge` forgets their marks.
    pub fn record_received(
        &mut self,
        acknowledgements: &[Acknowledgement],
        proxies: &mut BTreeMap<u16, Proxy>,
    ) {
        for acknowledgement in acknowledgements {
            let mut later = self.marks.iter();
            let mark = later.find(|mark| u64::from(mark.number) == acknowledgement.number);
            if let (Some(mark), Some(proxy)) = (mark, proxies.get_mut(&acknowledgement.proxy)) {
                proxy.unacknowledged_since = later.next().map(|mark| mark.written_at);
                let written_at = self.acknowledged_until.unwrap_or(mark.written_at).max(mark.written_at);
                self.acknowledged_until = Some(written_at);
            }
        }
    }

    /// All joined proxies have received the messages written before this time. It is infinite where proxies
    /// don't acknowledge. Those that are behind are considered gone when no proxy has acknowledged anything for
    /// `timeout` seconds, and when others have received messages that were written so much later.
    pub fn received_before(&self, proxies: &BTreeMap<u16, Proxy>, now: f64, timeout: f64) -> f64 {
        let Some(acknowledged_until) = self.acknowledged_until else {
            return f64::INFINITY;
        };
        if now - self.last_acknowledged_at > timeout {
            return f64::INFINITY;
        }
        let joined = proxies.values().filter(|proxy| proxy.joined);
        let pending = joined.filter_map(|proxy| proxy.unacknowledged_since);
        pending.filter(|since| acknowledged_until - since <= timeout).fold(f64::INFINITY, f64::min)
    }

    /// Lines that may still wait in the channel.
    pub fn waiting_lines(&self) -> f64 {
        self.current.lines + self.marks.iter().map(|mark| mark.lines).sum::<f64>()
    }
}
