//! Assignment of slices to servers.

use super::{Balancer, URGENT_QUEUE_SHARE};
use crate::round::{Address, Round, Writer};
use crate::state::Server;
use std::collections::BTreeMap;

impl Balancer {
    /// Assigns slices with the fewest changes allowed: a slice whose server drains, is gone or was never
    /// named gets the ready server with the fewest slices. Where a slice has an exclusive owner, the old one
    /// is removed first and its writes get time to finish.
    pub(super) fn update_slices(&mut self, round: &Round, now: f64, out: &mut dyn Writer) {
        for assignment in &round.slice_assignments {
            self.slices.remove(&assignment.slice);
            if assignment.assigned {
                let servers = assignment.weights.iter().map(|weight| weight.0).collect();
                self.slices.insert(assignment.slice, (servers, f64::NEG_INFINITY));
            }
        }
        let assigned: Vec<Address> = self.slices.values().flat_map(|(servers, _)| servers).copied().collect();
        // A slice can't be assigned partially: a cold server gets only as many as it is sure to carry.
        let slice_demand = self.demand(true, now).iter().sum::<f64>() / self.site.slices as f64;
        let budget = self.cold_budget(now);
        let max_slices = |s: &Server| match self.is_cold(s, now) {
            true => (self.cold_limit(s, &budget, now) / slice_demand.max(f64::MIN_POSITIVE)) as usize,
            false => usize::MAX,
        };
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready());
        let loads = ready.map(|(a, s)| (*a, (assigned.iter().filter(|b| *b == a).count(), max_slices(s))));
        let mut load: BTreeMap<Address, (usize, usize)> =
            loads.filter(|(_, (count, max))| count <= max).collect();
        let joined = self.proxies.values().filter(|p| p.joined).count() as f64;
        let handover_time = if self.site.exclusive_owner {
            self.channel.max_delivery_delay + self.site.max_write_duration
        } else {
            0.0
        };
        for (slice, (servers, removed_at)) in &mut self.slices {
            let full = self.queue.ordinary_lines > URGENT_QUEUE_SHARE * self.channel.max_waiting_lines / 2.0;
            if full || !servers.is_empty() && servers.iter().all(|a| load.contains_key(a)) {
                continue;
            }
            for old in servers.extract_if(.., |a| !load.contains_key(a)) {
                out.set_weight(*slice, old, 0.0);
                *removed_at = now;
                self.queue.ordinary_lines += (self.channel.header_lines + 1.0) * joined;
            }
            let available = load.iter_mut().filter(|(_, (count, max))| count < max);
            let target = available
                .min_by_key(|(_, (count, max))| (*max < usize::MAX, *count))
                .filter(|_| servers.is_empty());
            if let Some((target, (count, _))) = target.filter(|_| now - *removed_at >= handover_time) {
                out.set_weight(*slice, *target, 1.0);
                servers.push(*target);
                *count += 1;
                self.queue.ordinary_lines += (self.channel.header_lines + 1.0) * joined;
            }
        }
    }
}
