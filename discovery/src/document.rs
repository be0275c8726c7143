//! Parser for documents in the format of Prometheus' HTTP and file service discovery:
//! `[{"targets": ["host:port"], "labels": {...}}]`.
//!
//! Supported labels: `zone` (required), `kind`, `weight`, `state` (`ready`, `draining`, `gone`), `started`
//! (Unix time in seconds), `metrics` (host:port of the server's counters), `orca` (host:port of its load
//! reports).

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

/// A server in a document.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: Address,
    pub zone: u16,
    pub kind: String,
    pub readiness: Readiness,
    pub weight: f64,
    /// Unix time of its last start, in seconds, by the clock of the source.
    pub started: Option<f64>,
    pub metrics: Option<SocketAddrV4>,
    pub orca: Option<SocketAddrV4>,
}

/// How much of a document could be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completeness {
    Full,
    /// These servers have invalid labels, so their last known state applies.
    Except(BTreeSet<Address>),
    /// Some targets are not valid addresses, so a server that is missing may still be listed.
    Partial,
}

/// A parsed document.
#[derive(Clone, Debug)]
pub struct Document {
    pub servers: Vec<ServerEntry>,
    pub completeness: Completeness,
    /// The errors of targets that can't be used, with their positions.
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
    let zone_index = zones.iter().position(|known| known == zone);
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
        zone: zone_index.ok_or_else(|| format!("label zone is {zone:?}, not a zone of the settings"))? as u16,
        kind: label("kind").unwrap_or("").to_string(),
        readiness,
        weight: number("weight")?.filter(|weight| *weight > 0.0).unwrap_or(1.0),
        started: number("started")?.filter(|started| *started > 0.0),
        metrics: host("metrics")?,
        orca: host("orca")?,
    })
}

impl Document {
    /// Parses a document. Fails if it is not a complete list.
    pub fn parse(bytes: &[u8], zones: &[String]) -> Result<Document, String> {
        let groups: Vec<Group> = serde_json::from_slice(bytes).map_err(|e| format!("not a list: {e}"))?;
        let mut found: BTreeMap<Address, ServerEntry> = BTreeMap::new();
        let (mut invalid, mut partial, mut errors) = (BTreeSet::new(), false, Vec::new());
        for (n, group) in groups.iter().enumerate() {
            for (k, target) in group.targets.iter().enumerate() {
                let at = format!("/{n}/targets/{k}");
                let Ok(host) = target.parse::<SocketAddrV4>() else {
                    errors.push(format!("{at}: {target:?} is not an IPv4 address:port"));
                    partial = true;
                    continue;
                };
                let server = Address { host: host.ip().octets(), port: host.port() };
                match entry(group, server, zones) {
                    Err(error) => {
                        errors.push(format!("{at}: {target}: {error}"));
                        invalid.insert(server);
                    }
                    Ok(listed) => match found.get(&server) {
                        Some(other) if *other != listed => {
                            errors.push(format!("{at}: {target} is listed twice with different labels"));
                            invalid.insert(server);
                        }
                        _ => drop(found.insert(server, listed)),
                    },
                }
            }
        }
        found.retain(|server, _| !invalid.contains(server));
        let completeness = match () {
            () if partial => Completeness::Partial,
            () if !invalid.is_empty() => Completeness::Except(invalid),
            () => Completeness::Full,
        };
        Ok(Document { servers: found.into_values().collect(), completeness, errors })
    }
}
