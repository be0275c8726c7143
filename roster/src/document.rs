//! One document: `[{"targets": ["host:port"], "labels": {...}}]`, as Prometheus' HTTP and file service
//! discovery publish it. Labels understood: `zone` (needed), `kind`, `weight`, `state` (`ready`,
//! `draining`, `gone`), `started` (Unix time, s), `metrics` (host:port of its counters),
//! `orca` (host:port of its load reports).

use oatlever::round::{Address, Readiness};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

#[derive(Deserialize)]
struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// A server as a document names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: Address,
    pub zone: u16,
    pub kind: String,
    pub readiness: Readiness,
    pub weight: f64,
    /// Unix time, s, on the clock of whoever wrote the document.
    pub started: Option<f64>,
    pub metrics: Option<SocketAddrV4>,
    pub orca: Option<SocketAddrV4>,
}

/// How much of a document could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completeness {
    Full,
    /// These servers are named, with labels that make no sense: they are to stay what they were.
    Except(BTreeSet<Address>),
    /// Some targets can't even be told: nobody may be dropped by this document.
    Partial,
}

#[derive(Clone, Debug)]
pub struct Document {
    pub servers: Vec<ServerEntry>,
    pub completeness: Completeness,
    /// What is wrong and where, in words.
    pub errors: Vec<String>,
}

fn entry(group: &Group, server: Address, zones: &[String]) -> Result<ServerEntry, String> {
    let label = |name: &str| group.labels.get(name).map(String::as_str);
    let number = |name: &str| match label(name) {
        None => Ok(None),
        Some(text) => match text.parse::<f64>() {
            Ok(x) if x.is_finite() && x >= 0.0 => Ok(Some(x)),
            _ => Err(format!("label {name} is {text:?}, not a number of 0 or more")),
        },
    };
    let zone = label("zone").ok_or("label zone is missing")?;
    let place = zones.iter().position(|known| known == zone);
    let readiness = match label("state").unwrap_or("ready") {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        other => return Err(format!("label state is {other:?}, not ready, draining or gone")),
    };
    let host = |name: &str| match label(name) {
        None => Ok(None),
        Some(text) => match text.parse::<SocketAddrV4>() {
            Ok(host) => Ok(Some(host)),
            Err(_) => Err(format!("label {name} is {text:?}, not address:port")),
        },
    };
    Ok(ServerEntry {
        server,
        zone: place.ok_or_else(|| format!("label zone is {zone:?}, not a zone of the settings"))? as u16,
        kind: label("kind").unwrap_or("").to_string(),
        readiness,
        weight: number("weight")?.filter(|weight| *weight > 0.0).unwrap_or(1.0),
        started: number("started")?.filter(|started| *started > 0.0),
        metrics: host("metrics")?,
        orca: host("orca")?,
    })
}

impl Document {
    /// Reads a document. Errors: it is none, or was cut off.
    pub fn parse(bytes: &[u8], zones: &[String]) -> Result<Document, String> {
        let groups: Vec<Group> = serde_json::from_slice(bytes).map_err(|e| format!("not a list: {e}"))?;
        let mut found: BTreeMap<Address, ServerEntry> = BTreeMap::new();
        let (mut odd, mut lost, mut errors) = (BTreeSet::new(), false, Vec::new());
        for (n, group) in groups.iter().enumerate() {
            for (k, target) in group.targets.iter().enumerate() {
                let at = format!("/{n}/targets/{k}");
                let Ok(host) = target.parse::<SocketAddrV4>() else {
                    errors.push(format!("{at}: {target:?} is not an IPv4 address:port"));
                    lost = true;
                    continue;
                };
                let server = Address { host: host.ip().octets(), port: host.port() };
                match entry(group, server, zones) {
                    Err(what) => {
                        errors.push(format!("{at}: {target}: {what}"));
                        odd.insert(server);
                    }
                    Ok(listed) => match found.get(&server) {
                        Some(other) if *other != listed => {
                            errors.push(format!("{at}: {target} is listed twice, differently"));
                            odd.insert(server);
                        }
                        _ => drop(found.insert(server, listed)),
                    },
                }
            }
        }
        found.retain(|server, _| !odd.contains(server));
        let completeness = match () {
            () if lost => Completeness::Partial,
            () if !odd.is_empty() => Completeness::Except(odd),
            () => Completeness::Full,
        };
        Ok(Document { servers: found.into_values().collect(), completeness, errors })
    }
}
