//! Collects what reports and health checks show of servers and askers.

use crate::state::{ListStatus, Server, State};
use oatlever::round::{Address, HealthCheckResult, ProxyQueries, Tries};
use std::collections::{BTreeMap, BTreeSet};

/// Half-life of proven rates, s: software and co-located processes change.
const PROVEN_HALF_LIFE: f64 = 600.0;
/// Maximum fraction of failed tries for an answered rate to count as proven.
const MAX_FAILURE_RATE: f64 = 0.05;
/// Minimum number of answered queries for a rate to count as proven.
const MIN_ANSWERS: f64 = 5.0;

/// What is known of a server; times in s.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    /// The status in the list, and since when.
    list_status: Option<(ListStatus, f64)>,
    answered_at: Option<f64>,
    failed_at: Option<f64>,
    last_check: Option<(f64, bool)>,
    proven_rate: f64,
    proven_at: f64,
}

impl Observed {
    /// The proven rate after its decay.
    fn proven_rate(&self, now: f64) -> f64 {
        self.proven_rate * 0.5_f64.powf((now - self.proven_at).max(0.0) / PROVEN_HALF_LIFE)
    }
}

/// A server's entry in the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    pub zone: u16,
    pub list_status: ListStatus,
    pub weight: f64,
    pub started: f64,
}

/// Observations of servers and askers so far.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    servers: BTreeMap<Address, Observed>,
    /// Queries per second of each asker by class, as last reported.
    rates: BTreeMap<u16, BTreeMap<u8, f64>>,
    /// When queries were last reported, s.
    measured_at: Option<f64>,
    /// Fraction of all tries that failed, by the last report.
    failure_rate: f64,
}

impl Evidence {
    /// Takes in a round's reports and health checks.
    pub fn observe(
        &mut self,
        tries: &[Tries],
        queries: &[ProxyQueries],
        health: &[HealthCheckResult],
        now: f64,
    ) {
        #[derive(Default)]
        struct Sum {
            /// Answered queries per second.
            rate: f64,
            failed: f64,
            answered: f64,
            span: f64,
        }
        let mut sums: BTreeMap<Address, Sum> = BTreeMap::new();
        for report in tries.iter().filter(|report| report.span > 0.0) {
            let answered = (report.tries - report.failed).max(0.0);
            let sum = sums.entry(report.server).or_default();
            sum.span = report.span.max(sum.span);
            sum.rate += answered / report.span;
            sum.failed += report.failed;
            sum.answered += answered;
        }
        if !sums.is_empty() {
            let (failed, answered) =
                sums.values().fold((0.0, 0.0), |(f, a), sum| (f + sum.failed, a + sum.answered));
            self.failure_rate = failed / (failed + answered).max(1.0);
        }
        for (server, Sum { rate, failed, answered, span }) in sums {
            let observed = self.servers.entry(server).or_default();
            if answered > 0.0 {
                observed.answered_at = Some(now - span);
            } else if failed > 0.0 {
                observed.failed_at = Some(now);
            }
            let proves = answered >= MIN_ANSWERS && failed <= MAX_FAILURE_RATE * (answered + failed);
            if proves && rate > observed.proven_rate(now) {
                (observed.proven_rate, observed.proven_at) = (rate, now);
            }
        }
        for result in health {
            self.servers.entry(result.server).or_default().last_check = Some((now, result.healthy));
        }
        if !queries.is_empty() {
            let mut rates: BTreeMap<u16, BTreeMap<u8, f64>> = BTreeMap::new();
            for report in queries.iter().filter(|report| report.span > 0.0) {
                *rates.entry(report.proxy).or_default().entry(report.class).or_default() +=
                    report.received / report.span;
            }
            self.rates.extend(rates);
            self.measured_at = Some(now);
        }
    }

    /// Removes all servers but these.
    pub fn retain(&mut self, known: &BTreeSet<Address>) {
        self.servers.retain(|server, _| known.contains(server));
    }

    /// Queries per second of an asker; `usual` if none were reported.
    pub fn query_rate(&self, asker: u16, usual: f64) -> f64 {
        self.rates.get(&asker).map_or(usual, |classes| classes.values().sum())
    }

    /// Queries per second of some askers by class. Askers without reports count as 0.
    pub fn rates_by_class(&self, askers: impl Iterator<Item = u16>, classes: usize) -> Vec<f64> {
        let mut sums = vec![0.0; classes];
        for (class, rate) in askers.filter_map(|asker| self.rates.get(&asker)).flatten() {
            if let Some(sum) = sums.get_mut(usize::from(*class)) {
                *sum += rate;
            }
        }
        sums
    }

    /// Updates a state's servers, failure rate and time of measurement.
    pub fn update_state(&mut self, listed: impl Iterator<Item = (Address, ListedServer)>, state: &mut State) {
        let now = state.now;
        state.measured_at = self.measured_at.unwrap_or(now);
        state.failure_rate = self.failure_rate;
        state.servers = listed
            .map(|(address, entry)| {
                let observed = self.servers.entry(address).or_default();
                let status_changed_at = match observed.list_status {
                    Some((status, at)) if status == entry.list_status => at,
                    _ => now,
                };
                observed.list_status = Some((entry.list_status, status_changed_at));
                let server = Server {
                    zone: entry.zone,
                    list_status: entry.list_status,
                    weight: entry.weight,
                    started: entry.started,
                    status_changed_at,
                    answered_at: observed.answered_at,
                    failed_at: observed.failed_at,
                    last_check: observed.last_check,
                    proven_rate: observed.proven_rate(now),
                };
                (address, server)
            })
            .collect();
    }
}
