//! Assigns servers and proxies to groups, and finds the table of a proxy and the servers of a group.

use super::Balancer;
use crate::round::Address;
use crate::state::{Proxy, Server, Table};
use crate::sums::argmin;

/// s; sending a whole table to each of its proxies should not occupy the channel for longer than this.
const MAX_TABLE_SEND_TIME: f64 = 0.25;
/// Servers of a zone; approximate minimum size of a group. In smaller groups the failure of one server weighs
/// too much.
const MIN_GROUP_SIZE: f64 = 8.0;
/// Proxies of a pilot; there is at most one table for this many, counted over all zones (design).
const MIN_PROXIES_PER_TABLE: f64 = 5.0;
/// Ratio to its size; a server moves to another group when the group sizes differ by more than this.
const REBALANCE_THRESHOLD: f64 = 1.5;

impl Balancer {
    /// Assigns servers and proxies to groups. Each group has one table per zone, made of its own servers.
    ///
    /// Without groups, tables of a large fleet are too long for the channel: sending a full one to each proxy
    /// takes seconds, and so does each change. Groups also help where servers accept few connections. Servers
    /// of a small group may not be representative, so there are as few groups as the channel allows.
    pub(super) fn assign_groups(&mut self) {
        let zones = self.site.zones;
        if self.tables.iter().all(|t| t.weights.is_empty()) && !self.proxies.values().any(|p| p.bound) {
            let proxies_per_pilot = (self.site.proxies / self.site.pilots as f64).max(1.0);
            let max_table_lines = self.channel.lines_per_second * MAX_TABLE_SEND_TIME / proxies_per_pilot
                - self.channel.header_lines;
            let largest_zone = self.sum_by_zone(|_| 1.0).into_iter().fold(0.0, f64::max);
            let max_groups = (proxies_per_pilot / (MIN_PROXIES_PER_TABLE * zones as f64)).floor();
            let groups = (largest_zone / max_table_lines.max(MIN_GROUP_SIZE)).ceil().min(max_groups).max(1.0);
            // Several pilots assign groups at random and balance out through the servers they share. A single
            // pilot has no such effect, so each of its servers is in two groups.
            let double_membership = self.site.pilots == 1 && groups > 1.0 && groups * 2.0 <= max_groups;
            self.groups_per_server = if double_membership { 2 } else { 1 };
            self.tables = vec![Table::default(); zones * groups as usize * self.groups_per_server];
        }
        let groups = self.tables.len() / zones;
        let (mut sizes, mut rates) = (vec![vec![0.0; groups]; zones], vec![vec![0.0; groups]; zones]);
        for server in self.servers.values().filter(|s| s.is_ready()) {
            for group in server.groups.iter().filter(|group| **group < groups) {
                sizes[server.zone][*group] += server.size;
            }
        }
        for proxy in self.proxies.values().filter(|p| p.joined && p.group < groups) {
            rates[proxy.zone][proxy.group] += proxy.rate;
        }
        // Servers that left or returned make the groups uneven; larger groups give servers to the smallest.
        for server in self.servers.values_mut().filter(|s| s.is_ready()) {
            let sizes = &mut sizes[server.zone];
            server.groups.resize(self.groups_per_server, usize::MAX);
            for slot in 0..self.groups_per_server {
                let mut candidate_sizes = sizes.clone();
                let current = server.groups.iter().filter(|group| **group < groups);
                current.for_each(|group| candidate_sizes[*group] = f64::INFINITY);
                let (from, to) = (server.groups[slot], argmin(&candidate_sizes, || self.rng.f64()));
                if from >= groups || sizes[from] - sizes[to] > server.size * REBALANCE_THRESHOLD {
                    sizes[to] += server.size;
                    if let Some(old_size) = sizes.get_mut(from) {
                        *old_size -= server.size;
                    }
                    server.groups[slot] = to;
                }
            }
        }
        for proxy in self.proxies.values_mut().filter(|p| p.joined && p.group >= groups) {
            proxy.group = argmin(&rates[proxy.zone], || self.rng.f64());
            rates[proxy.zone][proxy.group] += proxy.rate;
        }
    }

    /// The index of a proxy's table.
    pub(super) fn table_index(&self, proxy: &Proxy) -> usize {
        proxy.group.min(self.tables.len() / self.site.zones - 1) * self.site.zones + proxy.zone
    }

    /// The ready servers of a group; all ready servers where the group has no warm one.
    pub(super) fn group_members(&self, group: usize, now: f64) -> Vec<(Address, &Server)> {
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready()).map(|(address, s)| (*address, s));
        let own: Vec<_> = ready.clone().filter(|(_, s)| s.groups.contains(&group)).collect();
        if own.iter().any(|(_, s)| !self.is_cold(s, now)) {
            return own;
        }
        ready.collect()
    }
}
