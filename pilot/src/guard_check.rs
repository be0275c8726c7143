//! `oatlever guard check`: checks a table offline, from files.

use crate::guard_review;
use oatlever::round::Address;
use oatlever_guard::{Figures, Guard, Lines, Listed, Mode, Outcome, Server, State};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// The current time of the check, s. Large enough that times in the past stay above 0.
const NOW: f64 = 1e6;

/// The file with the proposed table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    lines: BTreeMap<String, f64>,
}

/// The file with the state that the guard judges by; times are ages in seconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    servers: BTreeMap<String, ServerState>,
    /// Queries per second of the table's users.
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
struct ServerState {
    zone: u16,
    listed: Listed,
    weight: f64,
    #[serde(default)]
    started_ago: Option<f64>,
    /// Age of the last change of `listed`; long ago by default.
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
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| with_path(&e))?;
    serde_json::from_str(&text).map_err(|e| with_path(&e))
}

fn address(text: &str) -> Result<Address, String> {
    let host: SocketAddrV4 = text.parse().map_err(|_| format!("{text:?} is not an IPv4 address:port"))?;
    Ok(Address { host: host.ip().octets(), port: host.port() })
}

fn lines(weights: &BTreeMap<String, f64>) -> Result<Lines, String> {
    weights.iter().map(|(text, weight)| Ok((address(text)?, *weight))).collect()
}

/// Checks a table against a state and prints the verdict. True if the table may be published. Fails with the
/// file and the position of what can't be parsed.
pub fn check(table: &Path, state: &Path) -> Result<bool, String> {
    let (proposal, file): (Proposal, StateFile) = (read(table)?, read(state)?);
    let with_path = |path: &Path| {
        let path = path.display().to_string();
        move |e: String| format!("{path}: {e}")
    };
    let mut known = State {
        now: NOW,
        measured_at: NOW - file.measured_ago,
        cold_share: file.cold_share,
        warm_within: file.warm_within,
        fall_multiple: file.fall_multiple,
        gone_binds: file.gone_binds,
        ..State::default()
    };
    for (text, entry) in &file.servers {
        let server = Server {
            zone: entry.zone,
            listed: entry.listed,
            weight: entry.weight,
            started: entry.started_ago.map_or(0.0, |ago| NOW - ago),
            listed_at: entry.listed_ago.map_or(0.0, |ago| NOW - ago),
            failed_at: entry.failed_ago.map(|ago| NOW - ago),
            answered_at: entry.answered_ago.map(|ago| NOW - ago),
            checked: entry.checked_ago.map(|ago| (NOW - ago, entry.fine)),
            proven: entry.proven,
        };
        known.servers.insert(address(text).map_err(with_path(state))?, server);
    }
    let mut guard = Guard::new(file.figures, Mode::Enforce, 0.0);
    guard.take_up(&known, 0, &lines(&file.in_place).map_err(with_path(state))?);
    known.demand.insert(0, file.demand);
    let (verdict, instead) = guard.judge(&known, 0, &lines(&proposal.lines).map_err(with_path(table))?);
    let mut value = guard_review::verdict_json(&verdict, NOW);
    if let Some(lines) = instead {
        let lines = lines.into_iter().map(|(server, weight)| (server.to_string(), weight));
        value["instead"] = lines.collect::<BTreeMap<_, _>>().into_iter().collect();
    }
    println!("{value:#}");
    Ok(matches!(verdict.outcome, Outcome::Fine | Outcome::Empty))
}
