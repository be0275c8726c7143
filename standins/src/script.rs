//! The script of a day: the fleet, its load and its faults, as JSON. Times are in seconds.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Duration of the day.
    pub seconds: f64,
    pub seed: u64,
    pub zones: u8,
    /// Servers per zone.
    pub servers: u8,
    /// Relays per zone.
    pub relays: u8,
    /// Terminals per zone.
    pub terminals: u8,
    /// Cores of each server.
    pub cores: usize,
    /// Queries per second of all relays.
    pub relay_rate: f64,
    /// Queries per second of all terminals.
    pub terminal_rate: f64,
    pub classes: Vec<Class>,
    /// TTL of DNS answers.
    pub lifetime: u32,
    /// Longest time for which terminals use an answer after its TTL.
    pub overstay: f64,
    /// Grace period after which nothing may be sent to a draining server (rule 3).
    pub grace: f64,
    /// Longest time for which an asker may have no server to pick (rule 1).
    pub without: f64,
    /// Share of its capacity that a cold server has when it starts.
    pub cold_share: f64,
    /// Time from a cold start until a server is warm.
    pub warm_within: f64,
    /// A cold server fails at a load of this multiple of its current capacity.
    pub fall_multiple: f64,
    /// Window over which the load of a cold server is measured.
    pub fall_within: f64,
    /// Delay with which service discovery reflects a change.
    pub list_late: f64,
    /// Rule 3 does not apply to servers that are unlisted without a drain.
    pub gone_does_not_bind: bool,
    /// How relays get their tables.
    #[serde(default)]
    pub relays_by: Front,
    /// The mode of the pilot's guard; without it there is no guard.
    #[serde(default)]
    pub guard: Option<String>,
    /// Number of terminals behind the first terminal of each zone, which acts as their resolver.
    #[serde(default = "one")]
    pub resolver: f64,
    /// Multiple of the TTL for which resolvers cache answers.
    #[serde(default = "one")]
    pub keep: f64,
    /// The pilot keeps a ledger of handed-out addresses.
    #[serde(default)]
    pub ledger: bool,
    /// Prices of servers and links.
    #[serde(default)]
    pub costs: Option<Costs>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Limit of the lines that wait in the pilot's channel (rule 5).
    pub most_waiting: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Costs {
    /// Price of a query by the zone of the server.
    pub zones: Vec<f64>,
    /// Additional price of a query to another zone.
    pub crossing: f64,
    /// Share of the capacity that plans leave free, both the pilot's and the best plan in hindsight.
    pub headroom: f64,
    /// The prices are configured in the pilot.
    pub told: bool,
    /// Capacity of a server in queries per second, as configured in the pilot. Without it the pilot estimates it.
    #[serde(default)]
    pub carries: Option<f64>,
}

/// A simple policy by which askers choose servers instead of by the pilot's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Baseline {
    /// All listed servers with equal weights.
    Even,
    /// All listed servers of the cheapest zone with equal weights.
    Cheapest,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Front {
    #[default]
    Dns,
    /// xDS, state of the world.
    State,
    /// xDS, incremental.
    Delta,
    /// The three in turn, by the number of the relay.
    All,
}

impl Front {
    /// The front that a relay uses.
    pub fn for_relay(self, relay: u8) -> Front {
        match self {
            Front::All => [Front::Dns, Front::State, Front::Delta][usize::from(relay % 3)],
            own => own,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Share of all queries, relative to the other classes.
    pub part: f64,
    /// Mean work of a query in core seconds.
    pub work: f64,
    /// Time within which an answer has a benefit.
    pub due: f64,
    /// Time after which a client abandons a query.
    pub abandon: f64,
    pub benefit: f64,
    /// A query must not run more than once.
    pub once: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    pub kind: FaultKind,
    /// The affected zone; without it, all zones.
    #[serde(default)]
    pub zone: Option<u8>,
    /// Share of the servers or relays that are affected; for `dns_lost`, of the queries.
    #[serde(default = "whole")]
    pub part: f64,
}

fn one() -> f64 {
    1.0
}

fn whole() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers stop and start cold at the end.
    Crash,
    /// Servers restart cold immediately.
    Restart,
    /// Servers drain and refuse queries.
    Drain,
    /// Servers don't respond.
    Hang,
    /// The processing time of servers is multiplied.
    Slow(f64),
    /// Servers fail every query immediately.
    QuickErrors,
    /// Servers process queries, but half of the answers are lost.
    AnswersLost,
    /// Servers are missing from the list of service discovery.
    ListLies,
    /// The list of service discovery is empty.
    ListEmpty,
    /// Service discovery responds with status 500.
    RosterDown,
    /// The list of service discovery is truncated in the middle.
    ListCut,
    /// Relays stop and start again at the end.
    RelaysDie,
    /// The pilot is killed and started again at the end.
    PilotDies,
    /// The pilot receives SIGTERM, is killed if it still runs after the grace period, and is started again at the end.
    PilotEnds,
    /// A share of the DNS queries is lost.
    DnsLost,
    /// DNS queries are delayed.
    DnsLate(f64),
    /// Metrics and load reports are not delivered.
    ScrapesHang,
    /// The same, and the relays' counters are reset.
    ReportsReset,
    /// The rate of queries is multiplied.
    Surge(f64),
    /// A manual override of every table sends all queries to one server.
    HandLays,
}

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    ///
    /// Returns a description of the error.
    pub fn read(text: &str) -> Result<Script, String> {
        let script: Script = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let fits = (1..=8).contains(&script.zones) && script.servers > 0 && !script.classes.is_empty();
        let sizes = [script.servers, script.relays, script.terminals].iter().all(|n| *n <= 200);
        let priced = script.costs.as_ref().is_none_or(|c| c.zones.len() == usize::from(script.zones));
        if !(fits && sizes && priced && script.seconds > 0.0 && script.cores > 0) {
            return Err("a script needs 1 to 8 zones, 1 to 200 servers and at most 200 relays and terminals per \
                        zone, at least one class and one core, a positive duration, and with costs a price for \
                        each zone"
                .to_string());
        }
        Ok(script)
    }
}

/// The loopback addresses of a run, `127.(10 * realm + zone + 1).kind.(n + 1)`; concurrent runs use different realms.
#[derive(Clone, Copy, Debug)]
pub struct Realm {
    pub number: u8,
    /// Address of the pilot's DNS front, instead of the realm's.
    pub dns: Option<SocketAddr>,
    /// Address of the pilot's status page, instead of the realm's.
    pub status: Option<SocketAddr>,
}

pub const SERVICE_PORT: u16 = 7000;
pub const METRICS_PORT: u16 = 9100;

impl Realm {
    fn host(self, zone: u8, kind: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 10 * self.number + zone + 1, kind, n.wrapping_add(1))
    }
    pub fn server(self, zone: u8, n: u8) -> Ipv4Addr {
        self.host(zone, 10, n)
    }
    pub fn relay(self, zone: u8, n: u8) -> Ipv4Addr {
        self.host(zone, 20, n)
    }
    pub fn terminal(self, zone: u8, n: u8) -> Ipv4Addr {
        self.host(zone, 30, n)
    }
    pub fn dns(self) -> SocketAddr {
        self.dns.unwrap_or(([127, 10 * self.number, 0, 1], 5300).into())
    }
    pub fn status(self) -> SocketAddr {
        self.status.unwrap_or(([127, 10 * self.number, 0, 1], 7300).into())
    }
    pub fn xds(self) -> SocketAddr {
        ([127, 10 * self.number, 0, 1], 7400).into()
    }
    pub fn discovery(self) -> SocketAddr {
        ([127, 10 * self.number, 0, 2], 7100).into()
    }

    /// Returns the settings of a pilot for the fleet of a script.
    pub fn pilot_settings(self, script: &Script, cache: &str) -> Value {
        let zones: Vec<String> = (0..script.zones).map(|zone| format!("zone-{zone}")).collect();
        let (mut askers, relays) = (Vec::new(), f64::from(script.relays) * f64::from(script.zones));
        for zone in 0..script.zones {
            for n in 0..script.relays {
                let host = self.relay(zone, n);
                if script.relays_by.for_relay(n) != Front::Dns {
                    askers.push(json!({"name": format!("relay-{zone}-{n}"), "node": host.to_string(),
                        "zone": zones[usize::from(zone)], "usual_rate": script.relay_rate / relays}));
                    continue;
                }
                askers.push(json!({"name": format!("relay-{zone}-{n}"), "zone": zones[usize::from(zone)],
                    "prefixes": [format!("{host}/32")], "metrics": format!("http://{host}:{METRICS_PORT}/metrics"),
                    "usual_rate": script.relay_rate / relays}));
            }
            let prefix = self.host(zone, 30, u8::MAX);
            askers.push(json!({"name": format!("terminals-{zone}"), "zone": zones[usize::from(zone)],
                "prefixes": [format!("{prefix}/24")],
                "usual_rate": script.terminal_rate / f64::from(script.zones)}));
        }
        let classes = script.classes.iter();
        let classes = classes.map(|c| {
            json!({"name": c.name, "benefit": c.benefit, "due_time": c.due,
            "once": c.once})
        });
        let guard = script.guard.as_ref().map(|mode| json!({"mode": mode}));
        let costs = script.costs.as_ref().filter(|costs| costs.told).map(|costs| {
            let pairs = (0..zones.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
            let links = pairs.map(|(a, b)| json!({"between": [zones[a], zones[b]], "price": costs.crossing}));
            json!({"prices": zones.iter().zip(&costs.zones).collect::<std::collections::BTreeMap<_, _>>(),
                "links": links.collect::<Vec<_>>(),
                "figures": {"headroom": costs.headroom, "carries": costs.carries}})
        });
        json!({
            "zones": zones,
            "guard": guard,
            "costs": costs,
            "control": {"socket": format!("{cache}.control")},
            "classes": classes.collect::<Vec<_>>(),
            "rules": {"drain_grace": script.grace, "without_server": script.without,
                "cold_share": script.cold_share, "warm_within": script.warm_within,
                "fall_multiple": script.fall_multiple, "gone_does_not_bind": script.gone_does_not_bind},
            "channel": {"lines_per_second": script.most_waiting, "most_waiting": script.most_waiting},
            "roster": {"source": format!("http://{}/targets", self.discovery()), "period": 0.5, "patience": 0.4,
                "cache": cache},
            "reports": {"period": 1.0, "patience": 0.8},
            "checks": {"path": "/health", "patience": 0.5},
            "askers": askers,
            "dns": {"listen": [self.dns()], "origin": "shops.test", "address": "127.0.0.1",
                "lifetime": script.lifetime, "overstay": script.overstay,
                "ledger": script.ledger.then(|| json!({}))},
            "xds": {"listen": [self.xds()], "patience": 2.0},
            "status": {"listen": self.status(), "away_after": 5.0},
        })
    }
}
