//! What was seen of servers and askers, gathered from reports and checks.

use crate::state::{ListStatus, Server, State};
use oatlever::round::{Address, HealthCheckResult, ProxyQueries, Tries};
use std::collections::{BTreeMap, BTreeSet};

/// s; what was proven fades to half in so long: software and neighbours change.
const PROOF_HALF: f64 = 600.0;
/// Part of the tries that may fail where the rest proves something.
const FAILING: f64 = 0.05;
/// Queries; a rate over fewer proves nothing.
const FEW: f64 = 5.0;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    listed: Option<(ListStatus, f64)>,
    answered_at: Option<f64>,
    failed_at: Option<f64>,
    checked: Option<(f64, bool)>,
    proven: f64,
    proven_at: f64,
}

impl Seen {
    fn proven(&self, now: f64) -> f64 {
        self.proven * 0.5_f64.powf((now - self.proven_at).max(0.0) / PROOF_HALF)
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    pub zone: u16,
    pub list_status: ListStatus,
    pub weight: f64,
    pub started: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Evidence {
    servers: BTreeMap<Address, Seen>,
    /// Queries a second of each asker by class, as last reported.
    rates: BTreeMap<u16, BTreeMap<u8, f64>>,
    heard_at: Option<f64>,
    /// Part of all tries that failed, by the last report.
    failing: f64,
}

impl Evidence {
    /// Takes in what a round brought.
    pub fn observe(
        &mut self,
        tries: &[Tries],
        queries: &[ProxyQueries],
        health: &[HealthCheckResult],
        now: f64,
    ) {
        let mut met: BTreeMap<Address, (f64, f64, f64, f64)> = BTreeMap::new();
        for one in tries.iter().filter(|one| one.span > 0.0) {
            let (rate, failed, answered, span) = met.entry(one.server).or_default();
            *span = one.span.max(*span);
            *rate += (one.tries - one.failed).max(0.0) / one.span;
            *failed += one.failed;
            *answered += (one.tries - one.failed).max(0.0);
        }
        if !met.is_empty() {
            let (failed, answered) =
                met.values().fold((0.0, 0.0), |(f, a), (_, failed, answered, _)| (f + failed, a + answered));
            self.failing = failed / (failed + answered).max(1.0);
        }
        for (server, (rate, failed, answered, span)) in met {
            let seen = self.servers.entry(server).or_default();
            if answered > 0.0 {
                seen.answered_at = Some(now - span);
            } else if failed > 0.0 {
                seen.failed_at = Some(now);
            }
            let proves = answered >= FEW && failed <= FAILING * (answered + failed);
            if proves && rate > seen.proven(now) {
                (seen.proven, seen.proven_at) = (rate, now);
            }
        }
        for answer in health {
            self.servers.entry(answer.server).or_default().checked = Some((now, answer.healthy));
        }
        if !queries.is_empty() {
            let mut rates: BTreeMap<u16, BTreeMap<u8, f64>> = BTreeMap::new();
            for one in queries.iter().filter(|one| one.span > 0.0) {
                *rates.entry(one.proxy).or_default().entry(one.class).or_default() += one.received / one.span;
            }
            self.rates.extend(rates);
            self.heard_at = Some(now);
        }
    }

    /// Forgets servers that nobody lists or names any more.
    pub fn retain(&mut self, known: &BTreeSet<Address>) {
        self.servers.retain(|server, _| known.contains(server));
    }

    /// Queries a second of an asker; what the settings say where none was heard.
    pub fn query_rate(&self, asker: u16, usual: f64) -> f64 {
        self.rates.get(&asker).map_or(usual, |classes| classes.values().sum())
    }

    /// Queries a second that came to askers, by class, for so many classes; none where none was heard.
    pub fn rates_by_class(&self, askers: impl Iterator<Item = u16>, classes: usize) -> Vec<f64> {
        let mut sums = vec![0.0; classes];
        for (class, rate) in askers.filter_map(|asker| self.rates.get(&asker)).flatten() {
            if let Some(sum) = sums.get_mut(usize::from(*class)) {
                *sum += rate;
            }
        }
        sums
    }

    /// Writes servers and the age of the demand into a state.
    pub fn update_state(&mut self, listed: impl Iterator<Item = (Address, ListedServer)>, state: &mut State) {
        let now = state.now;
        state.measured_at = self.heard_at.unwrap_or(now);
        state.failure_rate = self.failing;
        state.servers = listed
            .map(|(address, entry)| {
                let seen = self.servers.entry(address).or_default();
                let status_changed_at = match seen.listed {
                    Some((word, at)) if word == entry.list_status => at,
                    _ => now,
                };
                seen.listed = Some((entry.list_status, status_changed_at));
                let server = Server {
                    zone: entry.zone,
                    list_status: entry.list_status,
                    weight: entry.weight,
                    started: entry.started,
                    status_changed_at,
                    answered_at: seen.answered_at,
                    failed_at: seen.failed_at,
                    last_check: seen.checked,
                    proven_rate: seen.proven(now),
                };
                (address, server)
            })
            .collect();
    }
}
