//! Trust in each server, from its reported tries and from health checks.

use super::Balancer;
use crate::round::{Tries, Writer};
use crate::state::Server;
use crate::sums::median;

/// Share; trust gained in a cycle that brought answers (design).
const TRUST_STEP: f64 = 0.2;
/// Share; minimum trust, so that a recovery is noticed. It costs a few queries.
const MIN_TRUST: f64 = 0.05;
/// Share; a new server trusted less than this gets one health check a cycle, where checks are allowed.
const HEALTH_CHECK_MAX_TRUST: f64 = 0.3;
/// Ratio; maximum trust of a server that is faster than its peers, as its short times may be chance.
const MAX_TRUST: f64 = 3.0;
/// Exponent of speed in trust where proxies choose the less loaded of two: proxies and trust each make half
/// of the correction.
const TWO_CHOICES_EXPONENT: f64 = 0.5;
/// Answers; weight of the peers' mean in a server's own mean, against the noise of small samples.
const PRIOR_ANSWERS: f64 = 4.0;
/// Share; a failure rate this far above the peers' removes all trust.
const EXCESS_FAILURE_LIMIT: f64 = 0.25;
/// Share of the trust implied by its throughput that a server keeps regardless of response times and
/// failures.
const THROUGHPUT_CREDIT: f64 = 0.7;

impl Balancer {
    /// Adds the reported tries to the sums of their servers.
    pub(super) fn apply_tries(&mut self, reports: &[Tries], now: f64) {
        if reports.is_empty() {
            return;
        }
        self.times.first_report_at.get_or_insert(now);
        self.times.last_report_at = Some(now);
        for tries in reports {
            if let Some(server) = self.servers.get_mut(&tries.server) {
                server.record_tries(tries, now);
            }
        }
    }

    /// Updates trust. It falls at once to the target value and recovers step by step, in cycles that brought
    /// answers.
    pub(super) fn update_trust(&mut self, now: f64) {
        let measured = |s: &Server| s.is_ready() && s.answers.read(now) >= 1.0;
        let times =
            self.servers.values().filter(|s| measured(s)).map(|s| s.mean_time(now, 0.0, 0.0)).collect();
        let median_time = median(times).unwrap_or(0.0);
        let ready = self.servers.values().filter(|s| s.is_ready());
        let median_failure_share =
            median(ready.map(|s| s.failure_share(now, PRIOR_ANSWERS)).collect()).unwrap_or(0.0);
        let last_cycle = self.times.last_cycle;
        // Trust must not lag behind warming: where a server is warm within a few cycles, the rest of the
        // fleet would carry its share meanwhile. While it is cold, its budget limits it.
        let new_step = TRUST_STEP.max(self.cycle_length() / self.rules.warm_within.max(f64::MIN_POSITIVE));
        let (mut answers, mut trusted_weight) = (0.0, 0.0);
        for server in self.servers.values().filter(|s| s.is_ready()) {
            answers += server.answers.read(now);
            trusted_weight += server.weight * server.trust;
        }
        let answers_per_trusted_weight = answers / trusted_weight.max(f64::MIN_POSITIVE);
        for server in self.servers.values_mut() {
            let speed = match server.mean_time(now, median_time, PRIOR_ANSWERS) {
                time if time > 0.0 && median_time > 0.0 => median_time / time,
                _ => 1.0,
            };
            let excess_failures = (server.failure_share(now, PRIOR_ANSWERS) - median_failure_share).max(0.0);
            // Proxies that choose the less loaded of two already avoid slow servers; without the exponent the
            // correction would be applied twice. A server that slows down gradually keeps more queries for
            // it.
            let exponent = if self.site.power_of_two_choices { TWO_CHOICES_EXPONENT } else { 1.0 };
            let target =
                speed.min(MAX_TRUST).powf(exponent) * (1.0 - excess_failures / EXCESS_FAILURE_LIMIT).max(0.0);
            // A server that still answers at a good rate is overloaded rather than broken, and removing all
            // its queries would overload the next one. A server whose answers are all late keeps too much for
            // a cycle or two.
            let credit = server.answers.read(now)
                / (server.weight * answers_per_trusted_weight).max(f64::MIN_POSITIVE);
            let target = target.max(THROUGHPUT_CREDIT * credit).max(MIN_TRUST);
            if target < server.trust {
                server.trust = target;
                server.lost_trust = true;
            } else if server.answered_at > last_cycle {
                let step = if server.lost_trust { TRUST_STEP } else { new_step };
                server.trust = (server.trust + step).min(target);
            }
        }
    }

    /// Requests health checks of new servers with little trust. A successful check counts like a cycle with
    /// answers.
    ///
    /// A new server gets few queries. Where each proxy brings few, it may get none for many cycles although
    /// it is warm, which matters when many servers return at once. A check shows only that the process runs:
    /// it doesn't count for a warm server that failed queries, never raises trust above what queries support,
    /// and costs some work.
    pub(super) fn check_health(&self, now: f64, out: &mut dyn Writer) {
        let needs_check =
            |s: &Server| (self.is_cold(s, now) || !s.lost_trust) && s.trust < HEALTH_CHECK_MAX_TRUST;
        let candidates = self.servers.iter().filter(|(_, s)| s.is_ready() && needs_check(s));
        for (address, _) in candidates.filter(|_| self.site.probes) {
            out.check_health(*address);
        }
    }
}
