//! Flows of queries between zones, by capacity or by plan, and the table weights that follow from them.

use super::{Balancer, MIN_TABLE_SHARE, STALE_AFTER};
use crate::round::Plan;
use crate::state::TargetTable;
use std::collections::BTreeMap;

/// Share; lower bound of a zone's capacity, relative to its servers (design).
const MIN_ZONE_CAPACITY: f64 = 0.05;

/// Shares of each zone's queries by target zone. A zone keeps what its own share of the capacity carries and
/// spills the rest to the other zones, in proportion to their spare capacity.
pub fn flows_by_capacity(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let normalized = |x: &[f64]| -> Vec<f64> {
        let total = x.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        x.iter().map(|value| value / total).collect()
    };
    let (demand, capacity) = (normalized(demand), normalized(capacity));
    let spare: Vec<f64> = demand.iter().zip(&capacity).map(|(d, c)| (c - d).max(0.0)).collect();
    let total_spare: f64 = spare.iter().sum();
    let flow = |zone: usize| {
        let keep = match capacity[zone] {
            own if demand[zone] > 0.0 && total_spare > 0.0 => (own / demand[zone]).min(1.0),
            own => f64::from(u8::from(own > 0.0)),
        };
        let to = |other: usize| match () {
            () if other == zone => keep,
            () if total_spare > 0.0 => (1.0 - keep) * spare[other] / total_spare,
            () => (1.0 - keep) * capacity[other],
        };
        (0..capacity.len()).map(to).collect()
    };
    (0..demand.len()).map(flow).collect()
}

/// Shares of each zone's queries by target zone, following the plan as far as the trusted capacity allows.
/// The excess goes to zones with spare capacity.
///
/// This limits the damage of a plan that is older than a loss of servers. If the plan overestimates servers,
/// they are overloaded until their trust falls.
pub fn flows_by_plan(plan: &Plan, demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let zones = capacity.len();
    let load = |to: usize| -> f64 { demand.iter().zip(&plan.shares).map(|(d, shares)| d * shares[to]).sum() };
    let load: Vec<f64> = (0..zones).map(load).collect();
    let limit: Vec<f64> = capacity.iter().map(|c| c * plan.capacity_per_weight).collect();
    let admitted = |to: usize| if load[to] > limit[to] { limit[to] / load[to] } else { 1.0 };
    let spare: Vec<f64> = (0..zones).map(|to| (limit[to] - load[to]).max(0.0)).collect();
    let spare_or_limit = if spare.iter().sum::<f64>() > 0.0 { spare } else { limit.clone() };
    let total = spare_or_limit.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let flow = |shares: &Vec<f64>| {
        let excess: f64 = (0..zones).map(|to| shares[to] * (1.0 - admitted(to))).sum();
        (0..zones).map(|to| shares[to] * admitted(to) + excess * spare_or_limit[to] / total).collect()
    };
    plan.shares.iter().map(flow).collect()
}

impl Balancer {
    /// The weights of each table, and the share of its queries that they can carry.
    pub(super) fn target_tables(&self, demand: &[f64], now: f64) -> Vec<TargetTable> {
        let zones = self.site.zones;
        let without_reports = self.times.last_report_at.is_none_or(|at| now - at > STALE_AFTER);
        let plan =
            self.plan.as_ref().filter(|(at, plan)| now - at <= STALE_AFTER && plan.shares.len() == zones);
        let plan = plan.map(|(_, plan)| plan);
        let mut targets = vec![BTreeMap::new(); self.tables.len()];
        for (group, demand) in demand.chunks(zones).enumerate() {
            // Capacity is weight times trust, scaled down by crowding, and has a lower bound.
            let (mut trusted_weight, mut count, mut capacity) =
                (vec![0.0; zones], vec![0.0; zones], vec![0.0; zones]);
            let mut plan_capacity = vec![0.0; zones];
            let members = self.group_members(group, now);
            for (_, server) in &members {
                count[server.zone] += if without_reports { server.trust } else { server.weight };
                trusted_weight[server.zone] += server.weight * server.trust;
            }
            for zone in 0..zones {
                plan_capacity[zone] = trusted_weight[zone].max(MIN_ZONE_CAPACITY * count[zone]);
                capacity[zone] =
                    (trusted_weight[zone] * self.crowding[zone]).max(MIN_ZONE_CAPACITY * count[zone]);
            }
            let total_count = count.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let flows = match plan {
                _ if without_reports => vec![count.iter().map(|c| c / total_count).collect(); zones],
                // Crowding is not applied: a plan loads zones on purpose and accounts for their capacity.
                Some(plan) => flows_by_plan(plan, demand, &plan_capacity),
                None => flows_by_capacity(demand, &capacity),
            };
            for (address, server) in members {
                let share = server.weight * server.trust / trusted_weight[server.zone];
                for (zone, flow) in flows.iter().enumerate() {
                    if flow[server.zone] * share > MIN_TABLE_SHARE {
                        targets[group * zones + zone].insert(address, flow[server.zone] * share);
                    }
                }
            }
        }
        let admissible = self.limit_cold_servers(&mut targets, now);
        let table = |(weights, admissible)| TargetTable { weights, admissible };
        targets.into_iter().zip(admissible).map(table).collect()
    }
}
