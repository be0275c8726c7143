//! A day's script: the fleet, its load, and what goes wrong when. JSON; times are seconds.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub seconds: f64,
    pub seed: u64,
    pub zones: u8,
    /// In each zone.
    pub servers: u8,
    pub relays: u8,
    pub terminals: u8,
    pub cores: usize,
    /// Queries a second of all relays, and of all terminals.
    pub relay_rate: f64,
    pub terminal_rate: f64,
    pub classes: Vec<Class>,
    pub lifetime: u32,
    pub overstay: f64,
    pub grace: f64,
    pub without: f64,
    pub cold_share: f64,
    pub warm_within: f64,
    pub fall_multiple: f64,
    pub fall_within: f64,
    /// The roster tells of a change so much later.
    pub list_late: f64,
    pub gone_does_not_bind: bool,
    /// How relays come by their tables.
    #[serde(default)]
    pub relays_by: Front,
    /// The mode of the pilot's guard; none without.
    #[serde(default)]
    pub guard: Option<String>,
    /// The first terminal of each zone is a resolver that hands its answers on to so many.
    #[serde(default = "one")]
    pub resolver: f64,
    /// Times their lifetime that resolvers keep answers.
    #[serde(default = "one")]
    pub keep: f64,
    /// The pilot keeps a ledger of what it hands out.
    #[serde(default)]
    pub ledger: bool,
    /// What servers and ways cost; none without.
    #[serde(default)]
    pub costs: Option<Costs>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    pub most_waiting: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Costs {
    /// Of a query, by zone.
    pub zones: Vec<f64>,
    /// Of a query that leaves its zone.
    pub crossing: f64,
    /// Part of what servers can do that the best plan leaves free, and the pilot's plans.
    pub headroom: f64,
    /// The pilot is told of the prices.
    pub told: bool,
    /// Queries a second of a server, as the pilot is told; it learns them where left out.
    #[serde(default)]
    pub carries: Option<f64>,
}

/// A rule of thumb that askers go by instead of the pilot's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Instead {
    /// All listed servers evenly.
    Even,
    /// All listed servers of the cheapest zone evenly.
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
    /// One relay each in turn.
    All,
}

impl Front {
    /// The front of a relay.
    pub fn of(self, relay: u8) -> Front {
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
    pub part: f64,
    /// s of a core.
    pub work: f64,
    pub due: f64,
    pub abandon: f64,
    pub benefit: f64,
    /// Must never run twice.
    pub once: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    pub kind: Kind,
    /// Whom it hits: those of a zone, or of all.
    #[serde(default)]
    pub zone: Option<u8>,
    /// The part of them that it hits.
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
pub enum Kind {
    /// Servers die and come back cold at the end.
    Crash,
    /// Servers restart cold at once.
    Restart,
    Drain,
    Hang,
    Slow(f64),
    QuickErrors,
    AnswersLost,
    /// The list calls them gone.
    ListLies,
    ListEmpty,
    RosterDown,
    /// Documents are cut off in the middle.
    ListCut,
    RelaysDie,
    PilotDies,
    /// The pilot is asked to end, killed at the earliest after that, and started again at the end.
    PilotEnds,
    DnsLost,
    DnsLate(f64),
    ScrapesHang,
    /// Counters start anew at the end, and can't be read before.
    ReportsReset,
    /// So many times the queries come.
    Surge(f64),
    /// Somebody lays every table by hand: one server gets everything.
    HandLays,
}

impl Script {
    /// Errors: what is wrong, in words.
    pub fn read(text: &str) -> Result<Script, String> {
        let script: Script = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let fits = (1..=8).contains(&script.zones) && script.servers > 0 && !script.classes.is_empty();
        let sizes = [script.servers, script.relays, script.terminals].iter().all(|n| *n <= 200);
        let priced = script.costs.as_ref().is_none_or(|c| c.zones.len() == usize::from(script.zones));
        if !(fits && sizes && priced && script.seconds > 0.0 && script.cores > 0) {
            return Err("1 to 8 zones, 1 to 200 servers a zone, one class or more, a time, a price a zone"
                .to_string());
        }
        Ok(script)
    }
}

/// Where everything of a run sits: `127.(10 * realm + zone).kind.number`, so that runs don't meet.
#[derive(Clone, Copy, Debug)]
pub struct Realm {
    pub number: u8,
    /// Where the pilot is to listen, if elsewhere.
    pub dns: Option<SocketAddr>,
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
    pub fn roster(self) -> SocketAddr {
        ([127, 10 * self.number, 0, 2], 7100).into()
    }

    /// Settings of a pilot for such a fleet.
    pub fn settings(self, script: &Script, cache: &str) -> Value {
        let zones: Vec<String> = (0..script.zones).map(|zone| format!("zone-{zone}")).collect();
        let (mut askers, relays) = (Vec::new(), f64::from(script.relays) * f64::from(script.zones));
        for zone in 0..script.zones {
            for n in 0..script.relays {
                let host = self.relay(zone, n);
                if script.relays_by.of(n) != Front::Dns {
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
            "roster": {"source": format!("http://{}/targets", self.roster()), "period": 0.5, "patience": 0.4,
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
