//! Many short days with faults drawn by chance, and how often the guard was wrong on them.
//!
//! A finding is held against what the servers themselves recorded round its time; the pilot sees none of that.

use crate::record::{Entry, Event};
use crate::script::{Fault, Kind, Script};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// s; a server that began work within this of a moment served then.
const NEAR: f64 = 2.0;
/// s; what a table does shows within this: answers run out, streams take it, loads build up.
const AFTER: f64 = 5.0;

/// Faults drawn by chance, from two to five of them, each over by the end.
pub fn faults(chance: &mut fastrand::Rng, zones: u8, seconds: f64) -> Vec<Fault> {
    let count = 2 + chance.u8(..4);
    let fault = |_| {
        let kind = match chance.u8(..13) {
            0 => Kind::Crash,
            1 => Kind::Restart,
            2 => Kind::Drain,
            3 => Kind::Hang,
            4 => Kind::Slow(2.0 + 4.0 * chance.f64()),
            5 => Kind::QuickErrors,
            6 => Kind::AnswersLost,
            7 => Kind::ListLies,
            8 => Kind::ListEmpty,
            9 => Kind::RosterDown,
            10 => Kind::RelaysDie,
            11 => Kind::DnsLate(0.3 * chance.f64()),
            _ => Kind::ScrapesHang,
        };
        let zone = chance.bool().then(|| chance.u8(..zones));
        let most = if zone.is_some() { 1.0 } else { 0.5 };
        let part = match kind {
            Kind::ListLies => 0.9,
            _ => most * (0.2 + 0.8 * chance.f64()),
        };
        let (at, lasts) = (2.0 + (seconds - 10.0) * chance.f64(), 2.0 + 6.0 * chance.f64());
        Fault { at, lasts, kind, zone, part }
    };
    (0..count).map(fault).collect()
}

/// Restarts of the pilot drawn by chance, with servers that start cold or a list that fails beside some of them.
pub fn restarts(chance: &mut fastrand::Rng, zones: u8, seconds: f64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = 1.0 + chance.f64();
    while at < seconds - 4.0 {
        let lasts = 0.2 + chance.f64();
        let kind = if chance.u8(..3) == 0 { Kind::PilotDies } else { Kind::PilotEnds };
        faults.push(Fault { at, lasts, kind, zone: None, part: 1.0 });
        let beside = match chance.u8(..6) {
            0 => Some(Kind::Restart),
            1 => Some(Kind::Drain),
            2 => Some(Kind::RosterDown),
            3 => Some(Kind::RelaysDie),
            _ => None,
        };
        let zone = chance.bool().then(|| chance.u8(..zones));
        faults.extend(beside.map(|kind| Fault { at: at + 0.5 * chance.f64(), lasts, kind, zone, part: 0.5 }));
        at += lasts + 2.5 + chance.f64();
    }
    faults
}

/// Findings by check: how many there were, and how many of them nothing bore out.
#[derive(Debug, Default)]
pub struct Tally {
    pub days: usize,
    pub verdicts: f64,
    pub findings: BTreeMap<String, (usize, usize)>,
}

impl Tally {
    /// Takes in a day's record.
    pub fn take(&mut self, script: &Script, entries: &[Entry]) {
        self.days += 1;
        for Entry { at, event } in entries {
            match event {
                Event::Verdicts(count) => self.verdicts += count,
                Event::Finding { check, servers } => {
                    let entry = self.findings.entry(check.clone()).or_default();
                    entry.0 += 1;
                    entry.1 += usize::from(!bears_out(script, entries, *at, check, servers));
                }
                _ => {}
            }
        }
    }
}

/// Whether what happened bears a finding out: servers that it says serve did, and those that it says would get
/// too much got it, or could not bear what they got.
fn bears_out(script: &Script, entries: &[Entry], at: f64, check: &str, servers: &[Ipv4Addr]) -> bool {
    let served = |server: &Ipv4Addr| {
        entries.iter().any(|entry| {
            let ran = matches!(entry.event, Event::Ran { server: own, .. } if own == *server);
            ran && (entry.at - at).abs() <= NEAR
        })
    };
    match check {
        "overload" => servers.iter().any(|s| busiest(script, entries, at, s) > script.cores as f64),
        "cold_overload" | "fragile" => servers.iter().any(|server| {
            let least = script.cold_share * script.cores as f64 * script.fall_multiple;
            busiest(script, entries, at, server) > least
        }),
        _ => servers.is_empty() || servers.iter().any(served),
    }
}

/// Seconds of work a second that came to a server at most, in any window of the falls' length soon after.
fn busiest(script: &Script, entries: &[Entry], at: f64, server: &Ipv4Addr) -> f64 {
    let came: Vec<(f64, f64)> = entries
        .iter()
        .filter(|entry| entry.at >= at && entry.at <= at + AFTER)
        .filter_map(|entry| match entry.event {
            Event::Arrival { server: own, work, .. } if own == *server => Some((entry.at, work)),
            _ => None,
        })
        .collect();
    let window =
        |from: f64| came.iter().filter(move |(at, _)| *at >= from && *at < from + script.fall_within);
    came.iter()
        .map(|(from, _)| window(*from).map(|(_, work)| work).sum::<f64>() / script.fall_within)
        .fold(0.0, f64::max)
}
