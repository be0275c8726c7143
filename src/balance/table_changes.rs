//! Differences between the tables that proxies have and their targets, and the sending of those differences
//! within the channel's limits.

use super::{Balancer, MIN_RELATIVE_CHANGE, ORDINARY_MESSAGE_SHARE, URGENT_QUEUE_SHARE};
use crate::round::{Address, LevelKind, Writer, MARK_LINES, NO_LIMIT, NO_RETRY};
use crate::state::{Change, Level, Proxy, TableChanges, TargetTable};
use std::collections::BTreeMap;

/// Share of the channel's queue that ordinary weights may fill. The rest is reserved for urgent changes.
const ORDINARY_QUEUE_SHARE: f64 = 0.3;
/// Share of the remaining ordinary queue space that one table may use, so that the others get their turn.
const TABLE_QUEUE_SHARE: f64 = 0.5;

impl Balancer {
    /// Whether a message may be written to the proxy now.
    fn may_write(&self, proxy: &Proxy, urgent: bool, now: f64) -> bool {
        let max_messages =
            self.channel.max_messages as f64 * if urgent { 1.0 } else { ORDINARY_MESSAGE_SHARE };
        max_messages == 0.0 || (proxy.sent_since(now - self.channel.window) as f64) < max_messages
    }

    /// Accounts for a message of `lines` lines to each of the given proxies.
    fn record_write(&mut self, lines: f64, proxies: &[u16], now: f64) {
        let message_lines = self.channel.header_lines + MARK_LINES + lines;
        self.queue.write(message_lines, proxies.len());
        for id in proxies {
            self.proxies.entry(*id).or_default().record_sent(now, self.channel.window);
        }
    }

    /// The differences between a table and its target: urgent ones first, then the largest.
    fn table_changes(&self, table: usize, target: &BTreeMap<Address, f64>, now: f64) -> Vec<Change> {
        let sent_weights = &self.tables[table].weights;
        let mut weights = target.clone();
        weights
            .extend(sent_weights.keys().filter(|address| !target.contains_key(address)).map(|a| (*a, 0.0)));
        let mut changes = Vec::new();
        for (address, weight) in weights {
            let (sent, server) =
                (sent_weights.get(&address).copied().unwrap_or(0.0), &self.servers[&address]);
            let difference = (weight - sent).abs();
            let urgent = !server.is_ready() || weight < sent / 2.0 && self.is_cold(server, now);
            if difference > MIN_RELATIVE_CHANGE * sent {
                changes.push(Change { server: address, weight, difference, urgent });
            }
        }
        changes.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.difference.total_cmp(&a.difference)));
        // Removing all servers at once must not leave the proxies without any.
        let remaining = sent_weights.len() - changes.iter().filter(|c| c.urgent && c.weight == 0.0).count();
        if remaining == 0 {
            changes.iter_mut().filter(|c| !c.urgent).for_each(|c| c.urgent = true);
        }
        changes
    }

    /// Sends as many of a table's changes as fit to the proxies that use it.
    ///
    /// On a channel too small for the fleet, all changes of a table may never fit at once and none would be
    /// sent. So the largest go first and the rest in later cycles, and urgent ones have queue space of their
    /// own. Meanwhile tables differ from their targets.
    fn send_changes(
        &mut self,
        table: usize,
        changes: Vec<Change>,
        levels: Vec<Level>,
        now: f64,
        out: &mut dyn Writer,
    ) {
        let users = self.proxies.iter().filter(|(_, p)| p.bound && self.table_index(p) == table);
        let users: Vec<u16> = users.map(|(id, _)| *id).collect();
        let urgent_changes = changes.iter().filter(|c| c.urgent).count();
        let sent = &self.tables[table].levels;
        let changed_levels =
            (0..levels.len()).filter(|class| sent.get(*class) != Some(&Some(levels[*class])));
        let mut changed_levels: Vec<usize> = changed_levels.collect();
        // A decrease of a level can't wait behind weights.
        let admitted = if self.site.level_kind == LevelKind::Rate { NO_LIMIT } else { 1.0 };
        let unlimited = Level { admitted, retry: NO_RETRY };
        let before = |class: usize| sent.get(class).copied().flatten().unwrap_or(unlimited);
        let decreases = |class: &usize| levels[*class].is_lower_than(before(*class));
        let urgent_lines = urgent_changes + changed_levels.iter().filter(|class| decreases(class)).count();
        changed_levels.sort_by_key(|class| !decreases(class));
        let (max_lines, waiting) = (self.channel.max_waiting_lines, self.queue.waiting_lines());
        let space = |share: f64, used: f64| (share * max_lines - used) / users.len() as f64;
        let header = self.channel.header_lines + MARK_LINES;
        let urgent = space(URGENT_QUEUE_SHARE, waiting).min(header + urgent_lines as f64);
        let ordinary = space(ORDINARY_QUEUE_SHARE, self.queue.ordinary_lines.max(waiting));
        // Where one table has most proxies, half of the space may be less than a message header, and no
        // weight would ever be sent.
        let ordinary = ordinary.min((ordinary * TABLE_QUEUE_SHARE).max(header + 1.0));
        let space = ordinary.max(urgent) - header;
        let sendable = (space.max(0.0) as usize).min(changes.len() + changed_levels.len());
        if sendable == 0 || !users.iter().all(|id| self.may_write(&self.proxies[id], urgent_lines > 0, now)) {
            return;
        }
        self.record_write(sendable as f64, &users, now);
        let ordinary_lines = sendable.saturating_sub(urgent_lines) as f64;
        let ordinary_head = if urgent_lines == 0 { header } else { 0.0 };
        self.queue.charge_ordinary((ordinary_lines + ordinary_head) * users.len() as f64);
        let sent_changes = sendable.saturating_sub(changed_levels.len()).max(urgent_changes.min(sendable));
        let sent = &mut self.tables[table];
        for change in changes.into_iter().take(sent_changes) {
            out.set_weight(table as u16, change.server, change.weight);
            sent.weights.insert(change.server, change.weight);
        }
        sent.weights.retain(|_, weight| *weight > 0.0);
        sent.levels.resize(levels.len(), None);
        for class in changed_levels.into_iter().take(sendable.saturating_sub(sent_changes)) {
            sent.levels[class] = Some(levels[class]);
            out.set_level(table as u16, 1 << class, levels[class].admitted, levels[class].retry);
        }
    }

    /// Sends changes of tables, in a cycle or when they are urgent, those that move most queries first; then
    /// whole tables to proxies that have none yet.
    pub(super) fn send_tables(&mut self, cycle: bool, now: f64, out: &mut dyn Writer) {
        let demand = self.demand(false, now);
        let targets = self.target_tables(&demand, now);
        let mut tables = Vec::new();
        for (table, TargetTable { weights, .. }) in targets.iter().enumerate() {
            let changes = self.table_changes(table, weights, now);
            let moved = changes.iter().map(|c| c.difference).sum::<f64>() * demand[table];
            tables.push(TableChanges { table, urgent: changes.iter().any(|c| c.urgent), moved, changes });
        }
        tables.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.moved.total_cmp(&a.moved)));
        for TableChanges { table, changes, .. } in tables.into_iter().filter(|t| cycle || t.urgent) {
            let levels = self.target_levels(table, targets[table].admissible, now);
            self.send_changes(table, changes, levels, now, out);
        }
        let unbound = self.proxies.iter().filter(|(_, p)| p.joined && !p.bound).map(|(id, _)| *id);
        for id in unbound.collect::<Vec<u16>>() {
            let proxy = &self.proxies[&id];
            let index = self.table_index(proxy);
            let table = &self.tables[index];
            let lines = (1 + table.weights.len() + table.levels.len()) as f64;
            let cost = self.channel.header_lines + MARK_LINES + lines;
            let queue_full =
                self.queue.waiting_lines() + cost > URGENT_QUEUE_SHARE * self.channel.max_waiting_lines;
            if table.weights.is_empty() || queue_full || !self.may_write(proxy, true, now) {
                continue;
            }
            out.bind(id, index as u16);
            self.proxies.entry(id).or_default().bound = true;
            self.record_write(lines, &[id], now);
        }
    }
}
