//! The structure of the settings. The doc comments of its types and fields are the descriptions in the schema.

use oatlever_guard::{GuardConfig, Mode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one pilot. Times are seconds.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Names of the zones; a zone's number is its index here.
    #[schemars(length(min = 1, max = 256))]
    pub zones: Vec<String>,
    /// The query classes, at most 16.
    #[schemars(length(min = 1, max = 16))]
    pub classes: Vec<Class>,
    pub rules: Rules,
    pub channel: Channel,
    pub roster: Roster,
    pub reports: Reports,
    /// Health checks of servers; none if left out.
    #[serde(default)]
    pub checks: Option<Checks>,
    /// The askers: proxies with their own counters, and groups of clients identified by their addresses.
    #[schemars(length(min = 1, max = 65000))]
    pub askers: Vec<Asker>,
    pub dns: Dns,
    /// xDS streams for proxies identified by `node`.
    #[serde(default)]
    pub xds: Option<Xds>,
    pub status: Status,
    /// Commands to the running pilot from the same machine.
    #[serde(default)]
    pub control: Option<Control>,
    /// Checks of every table before it is published; none if left out.
    #[serde(default)]
    pub guard: Option<Guard>,
    /// Prices of servers and links. If left out, queries stay in their zone as far as its servers have capacity.
    #[serde(default)]
    pub costs: Option<Costs>,
}

/// Prices, all in the same unit.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Costs {
    /// Price per answered query for every zone, by the zone that answers it.
    pub prices: BTreeMap<String, f64>,
    /// Links between zones; a link that is left out costs nothing and has no latency.
    #[serde(default)]
    pub links: Vec<ZoneLink>,
    #[serde(default)]
    pub figures: oatlever_cost::PlannerConfig,
}

/// The link between two zones, the same in both directions.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Way")]
pub struct ZoneLink {
    /// Names of the two zones.
    #[schemars(length(min = 2, max = 2))]
    pub between: Vec<String>,
    /// Price per query that crosses the link.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub price: f64,
    /// One-way latency, s.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub time: f64,
    /// No query may cross the link.
    #[serde(default)]
    pub closed: bool,
}

/// Conditions for publishing a table, and what is done with tables that fail them.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// `report` reports findings, `enforce` publishes another table instead.
    pub mode: Mode,
    pub figures: GuardConfig,
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of a Unix socket that only the pilot's user may use.
    #[schemars(length(min = 1, max = 100))]
    pub socket: String,
    /// Number of versions kept of each table.
    #[serde(default = "default_versions")]
    #[schemars(range(min = 1, max = 10_000))]
    pub versions: usize,
}

fn default_versions() -> usize {
    64
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A DNS label: letters, digits and hyphens.
    #[schemars(length(min = 1, max = 62))]
    pub name: String,
    /// Benefit of an answer within the due time.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub benefit: f64,
    /// s; an answer within this time has the full benefit.
    #[schemars(range(min = 0.001, max = 3600.0))]
    pub due_time: f64,
    /// Queries of this class must never run twice.
    #[serde(default)]
    pub once: bool,
}

/// Parameters of the rules.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// s; maximum time until no more queries are sent to a server after the pilot learns that it is draining or gone.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub drain_grace: f64,
    /// s; maximum time that an asker may be without a usable server.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub without_server: f64,
    /// Fraction of its capacity that a server has when it starts.
    #[schemars(range(min = 0.001, max = 1.0))]
    pub cold_share: f64,
    /// s; a server is warm this long after its start.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub warm_within: f64,
    /// A cold server fails under more than this multiple of its present capacity.
    #[schemars(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// The list may be wrong: a server that disappears from it but still answers is kept.
    #[serde(default)]
    pub gone_does_not_bind: bool,
}

/// Limits on changes on their way to askers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Channel {
    /// Changed table entries per second, counted for each affected asker, that the front can sustain.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub lines_per_second: f64,
    /// Maximum number of changed table entries, counted for each affected asker, that are not yet delivered.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub most_waiting: f64,
    /// Maximum number of changes to one asker within `window`; 0 for no limit.
    #[serde(default)]
    #[schemars(range(max = 100000))]
    pub most_messages: usize,
    /// s; the time to which `most_messages` applies.
    #[serde(default = "default_window")]
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub window: f64,
}

fn default_window() -> f64 {
    10.0
}

/// The list of servers: a document in the Prometheus service discovery format, by HTTP or from a file.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// `http://host:port/path`, or `file:///path`.
    pub source: String,
    /// s between requests.
    #[schemars(range(min = 0.05, max = 600.0))]
    pub period: f64,
    /// s; longest silence of the source. A response that keeps arriving may take 6 times as long.
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
    /// Maximum size of the document, in bytes.
    #[serde(default = "default_roster_bytes")]
    #[schemars(range(min = 64, max = 1_000_000_000))]
    pub most_bytes: usize,
    /// A file that stores the last valid list for the next start.
    #[serde(default)]
    pub cache: Option<String>,
}

fn default_roster_bytes() -> usize {
    16 << 20
}

/// Reports of proxies and servers: their counters as OpenMetrics text.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// s; each target is scraped once in this time.
    #[schemars(range(min = 0.1, max = 600.0))]
    pub period: f64,
    /// s; longest silence of a target. A response that keeps arriving may take 6 times as long.
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
    /// Maximum number of concurrent scrapes.
    #[serde(default = "default_at_once")]
    #[schemars(range(min = 1, max = 10000))]
    pub at_once: usize,
    /// Maximum size of a target's text, in bytes.
    #[serde(default = "default_report_bytes")]
    #[schemars(range(min = 64, max = 1_000_000_000))]
    pub most_bytes: usize,
}

fn default_at_once() -> usize {
    64
}

fn default_report_bytes() -> usize {
    4 << 20
}

/// Health checks: `GET path` at the server; status 200 means healthy.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Checks {
    pub path: String,
    /// s; longest silence of a server that is checked. A response that keeps arriving may take 6 times as long.
    #[schemars(range(min = 0.01, max = 600.0))]
    pub patience: f64,
}

/// A proxy, or a group of clients that send DNS queries themselves.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Asker {
    pub name: String,
    /// The zone that it is in.
    pub zone: String,
    /// Source prefixes, such as `10.1.0.0/16`. If empty: every other source that asks for the zone by name.
    #[serde(default)]
    pub prefixes: Vec<String>,
    /// URL of its counters, `http://host:port/path`. If left out, the servers' counters by client are used.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The node name on its xDS stream. An asker with a node uses no other front.
    #[serde(default)]
    pub node: Option<String>,
    /// Usual queries per second.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub usual_rate: f64,
}

/// The xDS front.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Xds {
    #[schemars(length(min = 1, max = 64))]
    pub listen: Vec<SocketAddr>,
    /// s; a stream is closed if the proxy neither acknowledges nor refuses an update for this long.
    #[schemars(range(min = 0.1, max = 600.0))]
    pub patience: f64,
    /// Maximum size of a message, in bytes.
    #[serde(default = "default_message_bytes")]
    #[schemars(range(min = 1024, max = 100_000_000))]
    pub most_bytes: usize,
    /// Maximum number of open connections.
    #[serde(default = "default_connections")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// TLS keys and certificates; connections are in plain text if left out.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Identities that may connect as a node. If empty, every client may connect as any node.
    #[serde(default)]
    pub grants: Vec<Grant>,
}

/// TLS files. They are checked for changes regularly; changes apply to new connections.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// File with the pilot's certificate chain, PEM.
    #[schemars(length(min = 1))]
    pub certificate: String,
    /// File with the private key, PEM.
    #[schemars(length(min = 1))]
    pub key: String,
    /// File with the authorities that sign proxies' certificates, PEM. If left out, no client certificates are
    /// requested.
    #[serde(default)]
    pub authorities: Option<String>,
    /// s between checks of the files for changes.
    #[serde(default = "default_look_again")]
    #[schemars(range(min = 0.05, max = 3600.0))]
    pub look_again: f64,
}

fn default_look_again() -> f64 {
    5.0
}

/// Allows an identity to connect as a node, or as any node of a zone.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// A URI or DNS name in the proxy's certificate; a trailing `*` matches any rest.
    #[schemars(length(min = 1, max = 2048))]
    pub identity: String,
    #[serde(default)]
    pub node: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
}

fn default_message_bytes() -> usize {
    1 << 20
}

fn default_connections() -> usize {
    4096
}

#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    /// Addresses served over both UDP and TCP.
    #[schemars(length(min = 1, max = 64))]
    pub listen: Vec<SocketAddr>,
    /// The DNS zone that is served, such as `shops.example`.
    pub origin: String,
    /// The address of this name server, for the A record of its NS name.
    pub address: Ipv4Addr,
    /// s; TTL of answers.
    #[schemars(range(min = 0, max = 3600))]
    pub lifetime: u32,
    /// s; resolvers may keep answers this much longer than their TTL.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub overstay: f64,
    /// Maximum size of an answer over UDP, in bytes.
    #[serde(default = "default_udp_bytes")]
    #[schemars(range(min = 512, max = 4096))]
    pub udp_bytes: u16,
    /// Maximum number of addresses in an A answer.
    #[serde(default = "default_addresses")]
    #[schemars(range(min = 1, max = 64))]
    pub addresses: usize,
    /// Prefixes of resolvers whose EDNS Client Subnet option is trusted.
    #[serde(default)]
    pub trusted_resolvers: Vec<String>,
    #[serde(default)]
    pub limits: DnsLimits,
    /// A ledger of the addresses handed out, used to protect cold servers; none if left out.
    #[serde(default)]
    pub ledger: Option<DnsLedger>,
}

/// The ledger of addresses handed out.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsLedger {
    /// Maximum number of askers in the ledger, counted for each class that they ask for.
    #[serde(default = "default_ledger_askers")]
    #[schemars(range(min = 16, max = 10_000_000))]
    pub askers: usize,
    /// s; TTL of address answers while a server of their table is cold; `lifetime` if left out.
    #[serde(default)]
    #[schemars(range(min = 0, max = 3600))]
    pub lifetime_short: Option<u32>,
}

fn default_ledger_askers() -> usize {
    65_536
}

fn default_udp_bytes() -> u16 {
    1232
}

fn default_addresses() -> usize {
    4
}

/// Limits on queries and connections.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsLimits {
    /// Answers per second to one prefix over UDP, unless the source has proven its address.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub answers_per_second: f64,
    /// Maximum burst of answers after a pause.
    #[schemars(range(min = 1.0, max = 1e9))]
    pub burst: f64,
    /// Length of the prefix of an IPv4 source to which the limit applies.
    #[schemars(range(min = 8, max = 32))]
    pub prefix_bits: u8,
    /// Maximum number of prefixes tracked.
    #[schemars(range(min = 16, max = 10_000_000))]
    pub prefixes: usize,
    /// Maximum number of open TCP connections.
    #[schemars(range(min = 1, max = 100_000))]
    pub connections: usize,
    /// Maximum number of open TCP connections from one address.
    #[schemars(range(min = 1, max = 100_000))]
    pub connections_each: usize,
    /// s; a TCP connection is closed if no complete query arrives for this long.
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
    /// HTTP address that serves `/metrics`, `/status` and `/changes`.
    pub listen: SocketAddr,
    /// s; an asker counts as away if it neither asks nor can be scraped for this long.
    #[schemars(range(min = 0.5, max = 3600.0))]
    pub away_after: f64,
}
