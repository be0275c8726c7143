//! Limits the admitted share of a table's queries if not all of them fit.
//!
//! The proven capacity of servers is a lower bound: after a quiet night it is low, and demand above it is no reason
//! to refuse queries. The limit is lowered only if tries fail as well, and then at once; it rises again gradually,
//! because refused queries can no longer be seen to fail.

use oatlever::balance::admission_levels;

/// Fraction of failed tries above which servers count as overloaded.
const OVERLOAD_FAILURE_RATE: f64 = 0.05;
/// Rate at which the admitted share rises again, per second: half of the load returns in ten seconds, well within
/// the time in which reports show new failures.
const RECOVERY_RATE: f64 = 0.05;

/// The admitted share of a table's queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimit {
    pub share: f64,
    updated_at: f64,
}

impl AdmissionLimit {
    pub fn unlimited(now: f64) -> Self {
        AdmissionLimit { share: 1.0, updated_at: now }
    }

    /// Updates the limit from the share of the queries that servers have capacity for, and the recent fraction of
    /// failed tries.
    pub fn update(&mut self, capacity_share: f64, failure_rate: f64, now: f64) {
        let increase = RECOVERY_RATE * (now - self.updated_at).max(0.0);
        self.updated_at = now;
        let overloaded = failure_rate > OVERLOAD_FAILURE_RATE && capacity_share < 1.0;
        self.share =
            if overloaded { self.share.min(capacity_share) } else { (self.share + increase).min(1.0) };
    }

    /// Admission levels by class: the classes with the least benefit are refused first.
    pub fn levels(&self, benefit: &[f64], demand: &[f64]) -> Vec<f64> {
        admission_levels(self.share, benefit, demand)
    }
}
