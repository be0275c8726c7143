//! Assignment of slices to servers.

use super::{Balancer, URGENT_QUEUE_SHARE};
use crate::round::{Address, SliceAssignment, Writer, MARK_LINES};
use crate::state::{Server, Slice};
use std::collections::BTreeMap;

/// s; the loss of a proxy's stream is reported within this time.
const LOSS_REPORT_DELAY: f64 = 3.0;

/// The slices of a server.
struct SliceLoad {
    slices: usize,
    /// The most that it may be given.
    max_slices: usize,
}

impl Balancer {
    /// Assigns slices with the fewest changes allowed: a slice whose server drains, is gone or was never
    /// named gets the ready server with the fewest slices. Where a slice has an exclusive owner, the old one
    /// is removed first and its writes get time to finish.
    ///
    /// All proxies had received the messages written before `received_before` when this round began; those that
    /// acknowledged a later one in it, or lost their stream, may have sent writes until now.
    pub(super) fn update_slices(
        &mut self,
        assignments: &[SliceAssignment],
        received_before: f64,
        now: f64,
        out: &mut dyn Writer,
    ) {
        self.apply_slice_assignments(assignments, now);
        let mut loads = self.slice_loads(now);
        let mut slices = std::mem::take(&mut self.slices);
        let joined = self.proxies.values().filter(|proxy| proxy.joined).count() as f64;
        let order_lines = (self.channel.header_lines + 1.0) * joined;
        let (mut removed, mut orders) = (Vec::new(), 0);
        for (number, slice) in &mut slices {
            if slice.removed_at.is_some_and(|at| at >= received_before) {
                slice.removal_received_at = slice.removal_received_at.max(now);
            }
            let max_lines = URGENT_QUEUE_SHARE * self.channel.max_waiting_lines / 2.0;
            let is_served = !slice.servers.is_empty() && slice.servers.iter().all(|a| loads.contains_key(a));
            if is_served || self.queue.ordinary_lines > max_lines {
                continue;
            }
            for server in slice.servers.extract_if(.., |a| !loads.contains_key(a)) {
                out.set_weight(*number, server, 0.0);
                slice.removed_at = Some(now);
                slice.removal_received_at = now + self.channel.max_delivery_delay;
                removed.push(*number);
                orders += 1;
                self.queue.charge_ordinary(order_lines);
            }
            if !slice.servers.is_empty() || now < self.earliest_handover(slice) {
                continue;
            }
            if let Some(server) = take_least_loaded(&mut loads) {
                out.set_weight(*number, server, 1.0);
                slice.servers.push(server);
                orders += 1;
                self.queue.charge_ordinary(order_lines);
            }
        }
        self.slices = slices;
        let sending_time = self.write_slice_orders(orders, now);
        for number in removed {
            if let Some(slice) = self.slices.get_mut(&number) {
                slice.removal_received_at += sending_time;
            }
        }
    }

    /// Applies the slices that the store assigned to this pilot or took away.
    fn apply_slice_assignments(&mut self, assignments: &[SliceAssignment], now: f64) {
        for assignment in assignments {
            self.slices.remove(&assignment.slice);
            if assignment.assigned {
                let servers = assignment.weights.iter().map(|weight| weight.0).collect();
                let slice = Slice { servers, assigned_at: now, removed_at: None, removal_received_at: now };
                self.slices.insert(assignment.slice, slice);
            }
        }
    }

    /// The slices of each ready server. A slice can't be assigned partially: a cold server gets only as many
    /// as it is sure to carry, and one with more than that is left out.
    fn slice_loads(&self, now: f64) -> BTreeMap<Address, SliceLoad> {
        let slice_demand = self.demand(true, now).iter().sum::<f64>() / self.site.slices as f64;
        let budget = self.cold_budget(now);
        let max_slices = |server: &Server| match self.is_cold(server, now) {
            true => (self.cold_limit(server, &budget, now) / slice_demand.max(f64::MIN_POSITIVE)) as usize,
            false => usize::MAX,
        };
        let assigned: Vec<Address> = self.slices.values().flat_map(|slice| &slice.servers).copied().collect();
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        let loads = ready.map(|(address, server)| {
            let slices = assigned.iter().filter(|other| *other == address).count();
            (*address, SliceLoad { slices, max_slices: max_slices(server) })
        });
        loads.filter(|(_, load)| load.slices <= load.max_slices).collect()
    }

    /// Accounts for a message with the orders of a round to each joined proxy. Returns the time until the last one
    /// has left a channel that sends at the stated rate, in seconds.
    fn write_slice_orders(&mut self, orders: usize, now: f64) -> f64 {
        let message_lines = self.channel.header_lines + MARK_LINES + orders as f64;
        let mut messages = 0;
        for proxy in self.proxies.values_mut().filter(|proxy| proxy.joined && orders > 0) {
            proxy.unacknowledged_since.get_or_insert(now);
            messages += 1;
        }
        self.queue.write(message_lines, messages);
        self.queue.time_to_send(message_lines * messages as f64, self.channel.lines_per_second, now)
    }

    /// When a slice without a server may get a new one: where its owner is exclusive, the writes at any former
    /// one have finished by then.
    ///
    /// A slice that is assigned without an owner may have had one a moment ago: the pilot that removed it,
    /// another one or this one before a restart, left no trace of that in the store. A proxy that such a removal
    /// does not reach, or that loses its stream before one of this pilot reaches it, sends writes to that owner
    /// until it has read the store, for a lease at most.
    fn earliest_handover(&self, slice: &Slice) -> f64 {
        if !self.site.exclusive_owner {
            return slice.assigned_at;
        }
        let (received_at, max_write) = (slice.removal_received_at, self.site.max_write_duration);
        let cut_off_at = self.times.stream_lost_at.max(slice.assigned_at).min(received_at);
        let writes_end = received_at.max(cut_off_at + self.site.write_lease) + max_write;
        // A stream may have broken without a report yet.
        let latest_end = received_at + self.site.write_lease + max_write;
        writes_end.max(latest_end.min(received_at + LOSS_REPORT_DELAY))
    }
}

/// Counts a slice to the server that should get the next one: the one with the fewest, warm ones first.
fn take_least_loaded(loads: &mut BTreeMap<Address, SliceLoad>) -> Option<Address> {
    let available = loads.iter_mut().filter(|(_, load)| load.slices < load.max_slices);
    let (address, load) = available.min_by_key(|(_, load)| (load.max_slices < usize::MAX, load.slices))?;
    load.slices += 1;
    Some(*address)
}
