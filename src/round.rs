//! The interface of the decisions: the settings at start, the inputs of a round, and the writer that receives
//! the orders. This module decides nothing.
//!
//! Times are in seconds; ids are those of the wire protocol.

use std::fmt;

/// Address of a server, as in the list.
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

/// A class of queries.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Relative benefit of an answer; the least beneficial classes are refused first.
    pub benefit: f64,
    /// s; answers are expected within this time.
    pub due_time: f64,
}

/// How proxies enforce the admission level of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    /// As a share of its queries.
    Share,
    /// As a number of queries a second at each proxy.
    Rate,
    /// Not at all.
    Ignored,
}

/// The deployment, as stated in the pilot's settings.
#[derive(Clone, Debug)]
pub struct Site {
    pub zones: usize,
    pub pilots: usize,
    /// Number of proxies of all pilots together.
    pub proxies: f64,
    pub slices: usize,
    /// Whether a slice may have only one server at a time.
    pub exclusive_owner: bool,
    /// Whether the list is sent only on request instead of being pushed.
    pub list_on_request: bool,
    /// Whether the pilot may check the health of servers.
    pub probes: bool,
    pub level_kind: LevelKind,
    /// Whether a proxy draws two servers by weight and picks the one with fewer of its own queries in flight.
    pub power_of_two_choices: bool,
    pub report_period: f64,
    /// The longest time that a write may take at the server that it was sent to.
    pub max_write_duration: f64,
    /// s; where slices have exclusive owners, a proxy goes on sending writes to the owner it knows for this long
    /// after its stream broke or the slice was assigned to another pilot, then none until it has read the store.
    pub write_lease: f64,
}

/// The pilot's channel to its proxies.
#[derive(Clone, Debug)]
pub struct Channel {
    pub lines_per_second: f64,
    /// Lines that may wait in the channel.
    pub max_waiting_lines: f64,
    /// Cost of a message besides its lines, in lines.
    pub header_lines: f64,
    /// Messages to one proxy within `window`; 0 means no limit.
    pub max_messages: usize,
    pub window: f64,
    /// The longest time that a message takes to arrive.
    pub max_delivery_delay: f64,
}

/// Parameters of the rules that every order must keep.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Where the list is sent on request: the longest time that may pass without an answer.
    pub list_deadline: f64,
    /// Share of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// Time after its start until a server has its full capacity.
    pub warm_within: f64,
    /// Multiple of its present capacity at which a cold server fails.
    pub fall_multiple: f64,
    /// Whether a server that the list drops may still be used if it answers.
    pub gone_does_not_bind: bool,
}

/// State of a server according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Gone,
    Ready,
    Draining,
}

/// A server as listed.
#[derive(Clone, Debug)]
pub struct Entry {
    pub server: Address,
    pub zone: u16,
    pub kind: u8,
    pub readiness: Readiness,
    pub weight: f64,
    /// Time of its last start, on the clock of `Round::now`; 0 means long ago.
    pub started: f64,
}

/// What a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The servers that changed.
    Changes,
    /// All servers.
    Full,
    /// All servers, from a stored copy.
    Cached,
    /// Nothing: the request failed.
    Failed,
}

/// A list of servers, or a part of it.
#[derive(Clone, Debug)]
pub struct List {
    pub kind: ListKind,
    pub entries: Vec<Entry>,
}

/// A proxy's stream came up or broke.
#[derive(Clone, Debug)]
pub struct Stream {
    pub proxy: u16,
    pub up: bool,
    pub zone: u16,
    /// Queries a second that the proxy usually receives.
    pub rate: f64,
}

/// Queries of a class that a proxy received.
#[derive(Clone, Debug)]
pub struct ProxyQueries {
    pub proxy: u16,
    pub class: u8,
    pub received: f64,
    pub span: f64,
}

/// Tries that the proxies of a zone made at a server.
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

/// Result of a health check.
#[derive(Clone, Debug)]
pub struct HealthCheckResult {
    pub server: Address,
    pub healthy: bool,
}

/// A proxy has received the message marked with this number.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    pub proxy: u16,
    pub number: u64,
}

/// The store assigns a slice to this pilot or takes it away.
#[derive(Clone, Debug)]
pub struct SliceAssignment {
    pub slice: u16,
    pub assigned: bool,
    /// The slice's table as the store holds it.
    pub weights: Vec<(Address, f64)>,
}

/// A message from another instance.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    pub from: u16,
    pub payload: Vec<u8>,
}

/// A cost-based plan of where queries should go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Share of each zone's queries (first index) that each zone should get; a zone's shares add up to 1.
    pub shares: Vec<Vec<f64>>,
    /// Queries a second that a unit of trusted weight may be sent.
    pub capacity_per_weight: f64,
}

/// All inputs of one pilot at one moment, each kind in order of arrival.
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
    /// The plan that applies from now on, where servers have prices; one without shares ends the present
    /// plan.
    pub plan: Option<Plan>,
}

/// A pilot's estimates of load and health, for comparison with what really happened.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Beliefs {
    /// Queries a second that the joined proxies receive.
    pub demand: f64,
    /// Share of them that is admitted, and the pressure that determines it.
    pub let_in: f64,
    pub pressure: f64,
    /// Number of ready servers, and how many of them are cold or have lost trust.
    pub ready: usize,
    pub cold: usize,
    pub distrusted: usize,
}

/// Retry modes. The mode that retries after any failure has no constant, as it could repeat a query's effect.
pub const NO_RETRY: u8 = 0;
pub const RETRY_UNPROCESSED: u8 = 1;
/// No limit, where levels are queries a second: more than any proxy receives.
pub const NO_LIMIT: f64 = 1e6;
/// Lines that a mark adds to each message.
pub const MARK_LINES: f64 = 1.0;

/// Levels set for this table apply to all tables.
pub const ALL_TABLES: u16 = u16::MAX;

/// The classes, out of `count`, whose bits are set in `mask`; all of them if it is 0.
pub fn classes_in_mask(mask: u16, count: usize) -> impl Iterator<Item = u16> + Clone {
    (0..count as u16).filter(move |class| mask == 0 || mask & (1 << class) != 0)
}

/// What a round asks of the surrounding program, besides tables and messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Servers to check.
    pub checks: Vec<Address>,
    /// Seconds until a timer is due, and its number.
    pub timers: Vec<(f64, u64)>,
    pub log_messages: Vec<String>,
    /// Whether to subscribe to the list from now on.
    pub follow_list: bool,
    /// Whether to read the whole list once.
    pub fetch_list: bool,
}

/// Receives the orders of a round. They take effect in the order of the calls and become one message to each
/// proxy concerned.
pub trait Writer {
    /// Sets a server's weight in a table; 0 removes it.
    fn set_weight(&mut self, table: u16, server: Address, weight: f64);
    /// Removes all weights and levels of a table.
    fn clear_table(&mut self, table: u16);
    /// Makes a proxy use a table.
    fn bind(&mut self, proxy: u16, table: u16);
    /// Takes a server out of all tables, or puts it back where `withdrawn` is false.
    fn withdraw(&mut self, server: Address, withdrawn: bool);
    /// Sets the admission level of classes. `classes` is a mask as for [`classes_in_mask`], `table` may be
    /// [`ALL_TABLES`], and `retry` is a retry mode.
    fn set_level(&mut self, table: u16, classes: u16, level: f64, retry: u8);
    /// Requests a health check of a server.
    fn check_health(&mut self, server: Address);
    /// Marks this round's messages with a number for proxies to acknowledge; with `everyone`, proxies without
    /// other orders get a message too.
    fn mark(&mut self, number: u64, everyone: bool);
    /// Subscribes to the list.
    fn follow_list(&mut self);
    /// Reads the whole list once.
    fn fetch_list(&mut self);
    /// Starts a timer that is due `after` seconds.
    fn set_timer(&mut self, after: f64, number: u64);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
