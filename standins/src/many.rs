//! Random faults for many short days, and statistics of the guard's findings on them.
//!
//! A finding is compared with the events that the servers recorded around its time, which the pilot doesn't see.

use crate::record::{Entry, Event};
use crate::script::{Fault, FaultKind, Script};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Seconds; a server is in service at a time if it started a query within this interval around it.
const SERVICE_INTERVAL: f64 = 2.0;
/// Seconds within which the effect of a table shows: cached answers expire, streams apply it, and load builds up.
const EFFECT_INTERVAL: f64 = 5.0;

/// Draws two to five faults, each of which ends before the day does.
pub fn draw_faults(rng: &mut fastrand::Rng, zones: u8, seconds: f64) -> Vec<Fault> {
    let count = 2 + rng.u8(..4);
    let fault = |_| {
        let kind = match rng.u8(..13) {
            0 => FaultKind::Crash,
            1 => FaultKind::Restart,
            2 => FaultKind::Drain,
            3 => FaultKind::Hang,
            4 => FaultKind::Slow(2.0 + 4.0 * rng.f64()),
            5 => FaultKind::QuickErrors,
            6 => FaultKind::AnswersLost,
            7 => FaultKind::ListLies,
            8 => FaultKind::ListEmpty,
            9 => FaultKind::RosterDown,
            10 => FaultKind::RelaysDie,
            11 => FaultKind::DnsLate(0.3 * rng.f64()),
            _ => FaultKind::ScrapesHang,
        };
        let zone = rng.bool().then(|| rng.u8(..zones));
        let max_part = if zone.is_some() { 1.0 } else { 0.5 };
        let part = match kind {
            FaultKind::ListLies => 0.9,
            _ => max_part * (0.2 + 0.8 * rng.f64()),
        };
        let (at, lasts) = (2.0 + (seconds - 10.0) * rng.f64(), 2.0 + 6.0 * rng.f64());
        Fault { at, lasts, kind, zone, part }
    };
    (0..count).map(fault).collect()
}

/// Draws restarts of the pilot. Some coincide with another fault: server restarts, drains, discovery failures or relay
/// restarts.
pub fn draw_restarts(rng: &mut fastrand::Rng, zones: u8, seconds: f64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = 1.0 + rng.f64();
    while at < seconds - 4.0 {
        let lasts = 0.2 + rng.f64();
        let kind = if rng.u8(..3) == 0 { FaultKind::PilotDies } else { FaultKind::PilotEnds };
        faults.push(Fault { at, lasts, kind, zone: None, part: 1.0 });
        let coinciding = match rng.u8(..6) {
            0 => Some(FaultKind::Restart),
            1 => Some(FaultKind::Drain),
            2 => Some(FaultKind::RosterDown),
            3 => Some(FaultKind::RelaysDie),
            _ => None,
        };
        let zone = rng.bool().then(|| rng.u8(..zones));
        faults.extend(coinciding.map(|kind| Fault {
            at: at + 0.5 * rng.f64(),
            lasts,
            kind,
            zone,
            part: 0.5,
        }));
        at += lasts + 2.5 + rng.f64();
    }
    faults
}

/// Statistics of the guard's findings.
#[derive(Debug, Default)]
pub struct Tally {
    pub days: usize,
    pub verdicts: f64,
    /// By check: the number of findings, and of those that were not confirmed.
    pub findings: BTreeMap<String, (usize, usize)>,
}

impl Tally {
    /// Adds the record of a day.
    pub fn add(&mut self, script: &Script, entries: &[Entry]) {
        self.days += 1;
        for Entry { at, event } in entries {
            match event {
                Event::Verdicts(count) => self.verdicts += count,
                Event::Finding { check, servers } => {
                    let entry = self.findings.entry(check.clone()).or_default();
                    entry.0 += 1;
                    entry.1 += usize::from(!is_confirmed(script, entries, *at, check, servers));
                }
                _ => {}
            }
        }
    }
}

/// Whether the recorded events confirm a finding. For load checks, at least one of the servers was overloaded soon
/// after; for other checks, at least one of the servers was in service, or none is named.
fn is_confirmed(script: &Script, entries: &[Entry], at: f64, check: &str, servers: &[Ipv4Addr]) -> bool {
    let in_service = |server: &Ipv4Addr| {
        entries.iter().any(|entry| {
            let ran = matches!(entry.event, Event::Ran { server: own, .. } if own == *server);
            ran && (entry.at - at).abs() <= SERVICE_INTERVAL
        })
    };
    match check {
        "overload" => servers.iter().any(|s| peak_load(script, entries, at, s) > script.cores as f64),
        "cold_overload" | "fragile" => servers.iter().any(|server| {
            let cold_limit = script.cold_share * script.cores as f64 * script.fall_multiple;
            peak_load(script, entries, at, server) > cold_limit
        }),
        _ => servers.is_empty() || servers.iter().any(in_service),
    }
}

/// The highest load of a server soon after a time, in core seconds per second over a window of `fall_within`.
fn peak_load(script: &Script, entries: &[Entry], at: f64, server: &Ipv4Addr) -> f64 {
    let arrivals: Vec<(f64, f64)> = entries
        .iter()
        .filter(|entry| entry.at >= at && entry.at <= at + EFFECT_INTERVAL)
        .filter_map(|entry| match entry.event {
            Event::Arrival { server: own, work, .. } if own == *server => Some((entry.at, work)),
            _ => None,
        })
        .collect();
    let window =
        |from: f64| arrivals.iter().filter(move |(at, _)| *at >= from && *at < from + script.fall_within);
    arrivals
        .iter()
        .map(|(from, _)| window(*from).map(|(_, work)| work).sum::<f64>() / script.fall_within)
        .fold(0.0, f64::max)
}
