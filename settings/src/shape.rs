//! What settings look like. The comments here are the schema's descriptions.

use oatlever_guard::{GuardConfig, Mode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one pilot. Times are seconds.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Names of the zones; a zone's number is its place here.
    #[schemars(length(min = 1, max = 256))]
    pub zones: Vec<String>,
    /// The query classes, at most 16.
    #[schemars(length(min = 1, max = 16))]
    pub classes: Vec<Class>,
    pub rules: Rules,
    pub channel: Channel,
    pub roster: Roster,
    pub reports: Reports,
    /// Checks of servers' health; left out, servers are never checked.
    #[serde(default)]
    pub checks: Option<Checks>,
    /// Who asks: proxies with counters of their own, and groups of clients known by their addresses.
    #[schemars(length(min = 1, max = 65000))]
    pub askers: Vec<Asker>,
    pub dns: Dns,
    /// xDS streams for proxies that are named by `node`.
    #[serde(default)]
    pub xds: Option<Xds>,
    pub status: Status,
    /// Commands to the running pilot, from this machine.
    #[serde(default)]
    pub control: Option<Control>,
    /// A look at every table before it goes out; none without.
    #[serde(default)]
    pub guard: Option<Guard>,
    /// What servers and ways cost; queries stay in their zone as far as its servers go without.
    #[serde(default)]
    pub costs: Option<Costs>,
}

/// Prices, in any unit that all of them share.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Costs {
    /// For a query answered, by the zone that answers it; of every zone.
    pub prices: BTreeMap<String, f64>,
    /// Ways between zones; a way that is not named costs nothing and takes no time.
    #[serde(default)]
    pub links: Vec<ZoneLink>,
    #[serde(default)]
    pub figures: oatlever_cost::PlannerConfig,
}

/// The way between two zones, there and back alike.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Way")]
pub struct ZoneLink {
    /// Two zones.
    #[schemars(length(min = 2, max = 2))]
    pub between: Vec<String>,
    /// For each query that crosses it.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// s one way.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub time: f64,
    /// Nothing may cross it.
    #[serde(default)]
    pub closed: bool,
}

/// What tables must keep to go out, and what becomes of those that don't.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// `report` says what it finds, `enforce` lays another table.
    pub mode: Mode,
    pub figures: GuardConfig,
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of a Unix socket, which only the pilot's own user may use.
    #[schemars(length(min = 1, max = 100))]
    pub socket: String,
    /// Versions kept of each table.
    #[serde(default = "versions")]
    #[schemars(range(min = 1, max = 10_000))]
    pub versions: usize,
}

fn versions() -> usize {
    64
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A DNS label: letters, digits and hyphens.
    #[schemars(length(min = 1, max = 62))]
    pub name: String,
    /// What an answer within the due time is worth.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub benefit: f64,
    /// s; an answer within this earns the whole benefit.
    #[schemars(range(min = 0.001, max = 3600.0))]
    pub due_time: f64,
    /// It must never run twice.
    #[serde(default)]
    pub once: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// s; sending to a server stops this long after the pilot was told that it drains or is gone.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub drain_grace: f64,
    /// s; nobody goes without a line to pick for longer.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub without_server: f64,
    /// Part of its capacity that a server has when it starts.
    #[schemars(range(min = 0.001, max = 1.0))]
    pub cold_share: f64,
    /// s; a server is warm so long after its start.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub warm_within: f64,
    /// Times what it can do at the moment; a cold server sent more falls over.
    #[schemars(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// The list may err: a server that is dropped from it and still answers is kept.
    #[serde(default)]
    pub gone_does_not_bind: bool,
}

/// Bounds on what is under way to those who ask.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Channel {
    /// Changed lines a second, counted at each asker concerned, that the front can hand out for long.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub lines_per_second: f64,
    /// Changed lines, counted at each asker concerned, that may be ordered and not yet handed out.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub most_waiting: f64,
    /// Changes to one asker within `window`; 0 means no such limit.
    #[serde(default)]
    #[schemars(range(max = 100000))]
    pub most_messages: usize,
    /// s
    #[serde(default = "ten")]
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub window: f64,
}

fn ten() -> f64 {
    10.0
}

/// The list of servers: a document of the Prometheus service discovery format, by HTTP or in a file.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// `http://host:port/path`, or `file:///path`.
    pub source: String,
    /// s between readings.
    #[schemars(range(min = 0.05, max = 600.0))]
    pub period: f64,
    /// s; a reading that takes longer has failed.
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
    /// The largest document read, in bytes.
    #[serde(default = "roster_bytes")]
    #[schemars(range(min = 64, max = 1_000_000_000))]
    pub most_bytes: usize,
    /// A file that keeps the last good list for the next start.
    #[serde(default)]
    pub cache: Option<String>,
}

fn roster_bytes() -> usize {
    16 << 20
}

/// Sums of what proxies and servers met: their counters as OpenMetrics text.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// s; each target is read once in this time.
    #[schemars(range(min = 0.1, max = 600.0))]
    pub period: f64,
    /// s; a reading that takes longer has failed.
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
    /// Readings under way at once.
    #[serde(default = "at_once")]
    #[schemars(range(min = 1, max = 10000))]
    pub at_once: usize,
    /// The largest text read, in bytes.
    #[serde(default = "report_bytes")]
    #[schemars(range(min = 64, max = 1_000_000_000))]
    pub most_bytes: usize,
}

fn at_once() -> usize {
    64
}

fn report_bytes() -> usize {
    4 << 20
}

/// Health checks: `GET path` at the server, 200 means fine.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Checks {
    pub path: String,
    /// s
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
}

/// A proxy, or a group of clients that ask for themselves.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Asker {
    pub name: String,
    /// The zone it sits in.
    pub zone: String,
    /// Source prefixes, as `10.1.0.0/16`. None: whoever else asks for that zone by name.
    #[serde(default)]
    pub prefixes: Vec<String>,
    /// Where its counters are read, `http://host:port/path`. Left out, servers' counters by client count.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The name it gives itself on an xDS stream. It asks by no other way then.
    #[serde(default)]
    pub node: Option<String>,
    /// Queries a second it usually gets.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub usual_rate: f64,
}

/// The xDS front.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Xds {
    #[schemars(length(min = 1, max = 64))]
    pub listen: Vec<SocketAddr>,
    /// s; a proxy that neither acknowledges nor refuses what it was sent for so long is cut off.
    #[schemars(range(min = 0.1, max = 600.0))]
    pub patience: f64,
    /// The largest message read, in bytes.
    #[serde(default = "message_bytes")]
    #[schemars(range(min = 1024, max = 100_000_000))]
    pub most_bytes: usize,
    /// Open connections in all.
    #[serde(default = "connections")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Keys; connections are plain without.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Which identity may be which node; with none, whoever can connect may be any.
    #[serde(default)]
    pub grants: Vec<Grant>,
}

/// Files are read at the start and looked at again and again; what changed counts for new connections.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The pilot's certificate and those above it, PEM.
    #[schemars(length(min = 1))]
    pub certificate: String,
    /// Its private key, PEM.
    #[schemars(length(min = 1))]
    pub key: String,
    /// Certificates of those whose word on proxies is taken, PEM; proxies show none without.
    #[serde(default)]
    pub authorities: Option<String>,
    /// s between looks at the files.
    #[serde(default = "five")]
    #[schemars(range(min = 0.05, max = 3600.0))]
    pub look_again: f64,
}

fn five() -> f64 {
    5.0
}

/// An identity and what it may be: a node, or any node of a zone.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// A URI or DNS name in the proxy's certificate; one that ends in `*` stands for all that begin like it.
    #[schemars(length(min = 1, max = 2048))]
    pub identity: String,
    #[serde(default)]
    pub node: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
}

fn message_bytes() -> usize {
    1 << 20
}

fn connections() -> usize {
    4096
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    /// UDP and TCP are served on each.
    #[schemars(length(min = 1, max = 64))]
    pub listen: Vec<SocketAddr>,
    /// The zone answered for, as `shops.example`.
    pub origin: String,
    /// The address of this name server, for NS and its address.
    pub address: Ipv4Addr,
    /// s; lifetime (TTL) of answers.
    #[schemars(range(min = 0, max = 3600))]
    pub lifetime: u32,
    /// s; resolvers may keep answers this much longer than their lifetime.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub overstay: f64,
    /// Largest answer over UDP, in bytes.
    #[serde(default = "udp_bytes")]
    #[schemars(range(min = 512, max = 4096))]
    pub udp_bytes: u16,
    /// Addresses in an A answer.
    #[serde(default = "addresses")]
    #[schemars(range(min = 1, max = 64))]
    pub addresses: usize,
    /// Prefixes of resolvers whose EDNS Client Subnet is believed.
    #[serde(default)]
    pub trusted_resolvers: Vec<String>,
    #[serde(default)]
    pub limits: DnsLimits,
    /// A ledger of what was handed out, by which cold servers are spared; none without.
    #[serde(default)]
    pub ledger: Option<DnsLedger>,
}

/// What is remembered of handed-out addresses.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsLedger {
    /// Askers remembered at once, each for every class that it asks for.
    #[serde(default = "askers")]
    #[schemars(range(min = 16, max = 10_000_000))]
    pub askers: usize,
    /// s; lifetime of address answers while a server of their table is cold; `lifetime` where left out.
    #[serde(default)]
    #[schemars(range(min = 0, max = 3600))]
    pub lifetime_short: Option<u32>,
}

fn askers() -> usize {
    65_536
}

fn udp_bytes() -> u16 {
    1232
}

fn addresses() -> usize {
    4
}

/// What one source may take.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsLimits {
    /// Answers a second to one prefix over UDP, where the source has not proven its address.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub answers_per_second: f64,
    /// Answers at once, after a pause.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub burst: f64,
    /// Bits of an IPv4 source that make the prefix.
    #[schemars(range(min = 8, max = 32))]
    pub prefix_bits: u8,
    /// Prefixes remembered at once.
    #[schemars(range(min = 16, max = 10_000_000))]
    pub prefixes: usize,
    /// Open TCP connections in all.
    #[schemars(range(min = 1, max = 100_000))]
    pub connections: usize,
    /// Open TCP connections from one address.
    #[schemars(range(min = 1, max = 100_000))]
    pub connections_each: usize,
    /// s; a TCP connection that brings no whole question for so long is closed.
    #[schemars(range(min = 0.05, max = 600.0))]
    pub idle: f64,
}

impl Default for DnsLimits {
    fn default() -> Self {
        DnsLimits {
            answers_per_second: 200.0,
            burst: 400.0,
            prefix_bits: 32,
            prefixes: 65_536,
            connections: 512,
            connections_each: 32,
            idle: 5.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// HTTP: `/metrics`, `/status`, `/changes`.
    pub listen: SocketAddr,
    /// s; an asker that neither asks nor can be read for so long counts as away.
    #[schemars(range(min = 0.5, max = 3600.0))]
    pub away_after: f64,
}
