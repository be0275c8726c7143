//! `oatlever guard check`: judges a table offline, from files.

use crate::guarding;
use oatlever::round::Address;
use oatlever_guard::{Figures, Guard, Lines, Listed, Mode, Outcome, Server, State};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// s; the drill's own clock stands here, so that ages are times after 0.
const NOW: f64 = 1e6;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    lines: BTreeMap<String, f64>,
}

/// What is known; times are s ago.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Known {
    servers: BTreeMap<String, One>,
    /// Queries a second of the table's users.
    demand: f64,
    #[serde(default)]
    measured_ago: f64,
    /// The table in place.
    #[serde(default)]
    in_place: BTreeMap<String, f64>,
    cold_share: f64,
    warm_within: f64,
    fall_multiple: f64,
    #[serde(default)]
    gone_binds: bool,
    #[serde(default)]
    figures: Figures,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct One {
    zone: u16,
    listed: Listed,
    weight: f64,
    #[serde(default)]
    started_ago: Option<f64>,
    /// Since the list last changed its word; long ago where left out.
    #[serde(default)]
    listed_ago: Option<f64>,
    #[serde(default)]
    answered_ago: Option<f64>,
    #[serde(default)]
    failed_ago: Option<f64>,
    #[serde(default)]
    checked_ago: Option<f64>,
    #[serde(default)]
    fine: bool,
    #[serde(default)]
    proven: f64,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| told(&e))?;
    serde_json::from_str(&text).map_err(|e| told(&e))
}

fn address(text: &str) -> Result<Address, String> {
    let host: SocketAddrV4 = text.parse().map_err(|_| format!("{text:?} is not an IPv4 address:port"))?;
    Ok(Address { host: host.ip().octets(), port: host.port() })
}

fn lines(of: &BTreeMap<String, f64>) -> Result<Lines, String> {
    of.iter().map(|(text, weight)| Ok((address(text)?, *weight))).collect()
}

/// Judges a table against a state and prints the verdict. True where it may go out. Errors: what can't be
/// read, and where.
pub fn check(table: &Path, state: &Path) -> Result<bool, String> {
    let (proposal, known): (Proposal, Known) = (read(table)?, read(state)?);
    let at = |path: &Path| {
        let path = path.display().to_string();
        move |e: String| format!("{path}: {e}")
    };
    let mut told = State {
        now: NOW,
        measured_at: NOW - known.measured_ago,
        cold_share: known.cold_share,
        warm_within: known.warm_within,
        fall_multiple: known.fall_multiple,
        gone_binds: known.gone_binds,
        ..State::default()
    };
    for (text, one) in &known.servers {
        let server = Server {
            zone: one.zone,
            listed: one.listed,
            weight: one.weight,
            started: one.started_ago.map_or(0.0, |ago| NOW - ago),
            listed_at: one.listed_ago.map_or(0.0, |ago| NOW - ago),
            failed_at: one.failed_ago.map(|ago| NOW - ago),
            answered_at: one.answered_ago.map(|ago| NOW - ago),
            checked: one.checked_ago.map(|ago| (NOW - ago, one.fine)),
            proven: one.proven,
        };
        told.servers.insert(address(text).map_err(at(state))?, server);
    }
    let mut guard = Guard::new(known.figures, Mode::Enforce, 0.0);
    guard.take_up(&told, 0, &lines(&known.in_place).map_err(at(state))?);
    told.demand.insert(0, known.demand);
    let (verdict, instead) = guard.judge(&told, 0, &lines(&proposal.lines).map_err(at(table))?);
    let mut value = guarding::verdict(&verdict, NOW);
    if let Some(lines) = instead {
        let lines = lines.into_iter().map(|(server, part)| (server.to_string(), part));
        value["instead"] = lines.collect::<BTreeMap<_, _>>().into_iter().collect();
    }
    println!("{value:#}");
    Ok(matches!(verdict.outcome, Outcome::Fine | Outcome::Empty))
}
