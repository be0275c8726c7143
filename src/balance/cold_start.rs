//! Budgets of cold servers: how far a server has warmed up and how much it may be sent meanwhile.

use super::{Balancer, MIN_TABLE_SHARE};
use crate::round::Address;
use crate::state::{ColdBudget, Server};
use crate::sums::median;
use std::collections::BTreeMap;

/// Share of the load at which a cold server fails that it may be sent. About a third, as reports lag behind.
const COLD_BUDGET_SHARE: f64 = 0.3;
/// Share of the cold budget that applies until reports have settled, as demand may double from one report to
/// the next.
const UNSETTLED_SHARE: f64 = 0.4;

impl Balancer {
    /// The share of its full capacity that a server is sure to have by now.
    pub(super) fn warm_share(&self, server: &Server, now: f64) -> f64 {
        let cold = self.rules.cold_share;
        cold + (1.0 - cold) * server.warm_progress(now, self.rules.warm_within)
    }

    pub(super) fn is_cold(&self, server: &Server, now: f64) -> bool {
        self.warm_share(server, now) < 1.0
    }

    /// The inputs of the cold servers' limits at this moment.
    pub(super) fn cold_budget(&self, now: f64) -> ColdBudget {
        let usual_size = median(self.servers.values().map(|s| s.size).collect()).unwrap_or(0.0);
        ColdBudget { capacity_per_size: self.capacity_per_size(now), usual_size }
    }

    /// The rate that a cold server may be sent at most, by all zones together. No server counts as larger
    /// than the median: some lists lower the weight of busy servers, and a cold one is idle.
    pub(super) fn cold_limit(&self, server: &Server, budget: &ColdBudget, now: f64) -> f64 {
        let load_factor = self.warm_share(server, now) * self.rules.fall_multiple * COLD_BUDGET_SHARE;
        // A pilot that has just started may face an overload in which demand doubles between reports.
        let certainty = if self.is_settled(now) { 1.0 } else { UNSETTLED_SHARE };
        budget.capacity_per_size * server.size.min(budget.usual_size) * load_factor * certainty
    }

    /// Scales down the weights of cold servers to their budget, whatever trust and flows say. The excess goes
    /// to the group's warm servers in any zone; where there are none, less is admitted. Returns the share of
    /// each table's queries that is still placed.
    ///
    /// This protects cold servers when warm ones lose trust together or a zone's demand is not known yet.
    /// Where the observed capacity is far below the real one, servers take longer to return.
    pub(super) fn limit_cold_servers(&self, targets: &mut [BTreeMap<Address, f64>], now: f64) -> Vec<f64> {
        let demand = self.demand(true, now);
        let total: f64 = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let scale = total.max(self.admission.completed_tries) / total;
        let budget = self.cold_budget(now);
        for (address, server) in self.servers.iter().filter(|(_, s)| s.is_ready() && self.is_cold(s, now)) {
            let sent = targets
                .iter()
                .zip(&demand)
                .map(|(weights, d)| weights.get(address).unwrap_or(&0.0) * d * scale);
            let limit = self.cold_limit(server, &budget, now);
            let factor = limit / sent.sum::<f64>().max(limit).max(f64::MIN_POSITIVE);
            for weights in targets.iter_mut().filter(|_| factor < 1.0) {
                if let Some(weight) = weights.get_mut(address) {
                    *weight *= factor;
                }
            }
        }
        let placed: Vec<f64> = targets.iter().map(|weights| weights.values().sum()).collect();
        let mut admissible = Vec::new();
        for (table, (weights, placed)) in targets.iter_mut().zip(placed).enumerate() {
            let own = self.group_members(table / self.site.zones, now);
            let own = own.iter().filter(|(_, s)| !self.is_cold(s, now));
            let warm: Vec<_> = own.map(|(address, s)| (*address, s.weight * s.trust)).collect();
            let total: f64 = warm.iter().map(|(_, weight)| weight).sum();
            admissible.push(if warm.is_empty() { placed } else { 1.0 });
            for (address, weight) in
                warm.into_iter().filter(|w| (1.0 - placed) * w.1 / total > MIN_TABLE_SHARE)
            {
                *weights.entry(address).or_insert(0.0) += (1.0 - placed) * weight / total;
            }
        }
        admissible
    }
}
