//! The interface of the decisions: what is read at start, what came in during a
//! round, and the writer that orders go to. Nothing here decides anything.
//!
//! Times are seconds; ids are as the wire gives them.

use std::fmt;

/// A server, as the list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address {
    pub host: [u8; 4],
    pub port: u16,
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [a, b, c, d] = self.host;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

#[derive(Clone, Debug)]
pub struct QueryClass {
    pub benefit: f64,
    pub due_time: f64,
}

/// How the proxies honour the share of a class that is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Levels {
    Share,
    /// Queries a second at each proxy.
    Rate,
    Ignored,
}

/// The deployment, as far as a pilot is told.
#[derive(Clone, Debug)]
pub struct Site {
    pub zones: usize,
    pub pilots: usize,
    /// Of all pilots together.
    pub proxies: f64,
    pub slices: usize,
    pub one_owner: bool,
    pub list_on_request: bool,
    pub probes: bool,
    pub levels: Levels,
    /// A proxy draws two lines by weight and picks the one with fewer of its own queries out.
    pub picks_of_two: bool,
    pub report_period: f64,
    pub write_life: f64,
}

/// The pilot's channel to its proxies.
#[derive(Clone, Debug)]
pub struct Channel {
    pub lines_per_second: f64,
    pub most_waiting: f64,
    pub header_lines: f64,
    /// Messages to one proxy within `window`; 0 means no such limit.
    pub most_messages: usize,
    pub window: f64,
    /// The longest way of a message.
    pub longest_way: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    pub ask_within: f64,
    pub cold_share: f64,
    pub warm_within: f64,
    pub fall_multiple: f64,
    pub gone_does_not_bind: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub server: Address,
    pub zone: u16,
    pub kind: u8,
    pub readiness: Readiness,
    pub weight: f64,
    /// Clock time of its last start; 0 means long ago.
    pub started: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Debug)]
pub struct List {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
}

/// A proxy's stream came up, or broke.
#[derive(Clone, Debug)]
pub struct Stream {
    pub proxy: u16,
    pub up: bool,
    pub zone: u16,
    /// Queries a second it usually gets.
    pub rate: f64,
}

/// Queries of a class that came to a proxy.
#[derive(Clone, Debug)]
pub struct ProxyQueries {
    pub proxy: u16,
    pub class: u8,
    pub received: f64,
    pub span: f64,
}

/// What the proxies of a zone met at a server.
#[derive(Clone, Debug)]
pub struct Tries {
    pub server: Address,
    pub zone: u16,
    pub tries: f64,
    pub failed: f64,
    /// Mean time of the answered ones; 0 if there was none.
    pub time: f64,
    pub span: f64,
}

#[derive(Clone, Debug)]
pub struct HealthCheckResult {
    pub server: Address,
    pub healthy: bool,
}

#[derive(Clone, Debug)]
pub struct Acknowledgement {
    pub proxy: u16,
    pub number: u64,
}

/// The store places a slice in this pilot's charge, or takes it away.
#[derive(Clone, Debug)]
pub struct SliceAssignment {
    pub slice: u16,
    pub assigned: bool,
    /// The slice's table as the store holds it.
    pub weights: Vec<(Address, f64)>,
}

#[derive(Clone, Debug)]
pub struct PeerMessage {
    pub from: u16,
    pub payload: Vec<u8>,
}

/// Where queries should go by what servers cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Part of a zone's queries (first) that each zone should get; a zone's parts make 1.
    pub parts: Vec<Vec<f64>>,
    /// Queries a second that a unit of trusted weight may be asked for.
    pub carries: f64,
}

/// All that came in for one pilot at one moment, each kind in the order it came.
#[derive(Clone, Debug, Default)]
pub struct Round {
    pub now: f64,
    pub lists: Vec<List>,
    pub streams: Vec<Stream>,
    pub queries: Vec<ProxyQueries>,
    pub tries: Vec<Tries>,
    pub health: Vec<HealthCheckResult>,
    pub acknowledgements: Vec<Acknowledgement>,
    pub slice_assignments: Vec<SliceAssignment>,
    pub peer_messages: Vec<PeerMessage>,
    pub timers: Vec<u64>,
    /// Where servers have prices: the plan that holds from now on; one without parts ends it.
    pub plan: Option<Plan>,
}

/// What a pilot takes for true of load and health, for whoever sets it beside what passed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Beliefs {
    /// Queries a second that come to the joined proxies.
    pub demand: f64,
    /// Part of them that is let in, and the pressure it goes by.
    pub let_in: f64,
    pub pressure: f64,
    /// Servers that are ready; those of them that are cold, and those that have lost trust.
    pub ready: usize,
    pub cold: usize,
    pub distrusted: usize,
}

/// Modes of a further try. One after any failure could run an effect twice; it has no name here.
pub const NO_RETRY: u8 = 0;
pub const RETRY_UNPROCESSED: u8 = 1;
/// Where levels are queries a second: more than any proxy gets.
pub const NO_LIMIT: f64 = 1e6;
/// What a mark adds to each message, in lines.
pub const MARK_LINES: f64 = 1.0;

/// Levels that are ordered for this table hold in all.
pub const ALL_TABLES: u16 = u16::MAX;

/// Of so many classes, those that a sum of 2^place names; 0 names all.
pub fn classes_in_mask(sum: u16, count: usize) -> impl Iterator<Item = u16> + Clone {
    (0..count as u16).filter(move |class| sum == 0 || sum & (1 << class) != 0)
}

/// What a round asks of the program itself, beside tables and messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Servers to check.
    pub checks: Vec<Address>,
    /// Seconds until a timer comes due, and its number.
    pub timers: Vec<(f64, u64)>,
    pub notes: Vec<String>,
    /// The list is to be followed from now on.
    pub follow: bool,
    /// The whole list is to be read once.
    pub fetch: bool,
}

/// Where decisions go. Orders take effect in the order of the calls; what one
/// round orders becomes one message for each proxy concerned.
pub trait Writer {
    fn weigh(&mut self, table: u16, server: Address, weight: f64);
    fn clear(&mut self, table: u16);
    fn bind(&mut self, proxy: u16, table: u16);
    fn withdraw(&mut self, server: Address, out: bool);
    /// `classes` is as for [`classes_in_mask`], `table` may be [`ALL_TABLES`]; `tries` is a mode of a further
    /// try.
    fn admit(&mut self, table: u16, classes: u16, level: f64, tries: u8);
    fn check_health(&mut self, server: Address);
    fn mark(&mut self, number: u64, everyone: bool);
    fn follow_list(&mut self);
    fn fetch_list(&mut self);
    fn set_timer(&mut self, after: f64, number: u64);
    fn note(&mut self, text: &str);
}
