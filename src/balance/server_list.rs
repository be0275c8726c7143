//! Applies lists of servers to the state and requests lists where they are not pushed.

use super::{Balancer, RECHECK_INTERVAL, SERVER_DECAY};
use crate::round::{List, ListKind, Readiness, Writer};
use crate::state::Server;

/// Share; initial trust of a server that has just started (design).
const INITIAL_TRUST: f64 = 0.05;
/// s; a server that an unreliable list drops is kept while its last answer is younger than this.
const DELISTED_GRACE: f64 = 5.0;
/// s; a server gone for longer than this is forgotten and counts as new if it returns. Releases take far
/// less.
const GONE_RETENTION: f64 = 600.0;

impl Balancer {
    /// Applies a list. A server that returns without having restarted keeps its state.
    pub(super) fn apply_list(&mut self, list: &List, now: f64) {
        let first_list = self.servers.is_empty();
        // Servers that are replaced daily would otherwise accumulate forever. A server that a table still
        // names is kept until it no longer does.
        let tables = &self.tables;
        self.servers.retain(|address, server| {
            let recent = server.gone_at.is_none_or(|at| now - at < GONE_RETENTION);
            recent || tables.iter().any(|table| table.weights.contains_key(address))
        });
        // Where lists are unreliable, a server that still answers is kept although the list dropped it.
        let unreliable = self.rules.gone_does_not_bind;
        let still_answers = |s: &Server| unreliable && now - s.answered_at < DELISTED_GRACE;
        if matches!(list.kind, ListKind::Full | ListKind::Cached) {
            for (address, server) in &mut self.servers {
                if !still_answers(server) && !list.entries.iter().any(|e| e.server == *address) {
                    server.readiness = Readiness::Gone;
                }
            }
        }
        for entry in list.entries.iter().filter(|e| usize::from(e.zone) < self.site.zones) {
            let known = self.servers.get(&entry.server);
            if entry.readiness == Readiness::Gone && known.is_some_and(|s| s.is_ready() && still_answers(s)) {
                continue;
            }
            if known.is_none_or(|s| s.started != entry.started) {
                let mut server = Server::new(entry, SERVER_DECAY, 1.0);
                server.groups = known.map_or(Vec::new(), |s| s.groups.clone());
                if !first_list || server.warm_progress(now, self.rules.warm_within) < 1.0 {
                    server.trust = INITIAL_TRUST;
                }
                self.servers.insert(entry.server, server);
            } else if let Some(server) = self.servers.get_mut(&entry.server) {
                server.readiness = entry.readiness;
                server.weight = if entry.weight > 0.0 { entry.weight } else { server.weight };
                server.size = server.size.max(server.weight);
            }
        }
        for server in self.servers.values_mut() {
            let gone = server.readiness == Readiness::Gone;
            server.gone_at = server.gone_at.or(Some(now)).filter(|_| gone);
        }
        let total_size: f64 = self.sum_by_zone(|s| s.size).iter().sum();
        self.admission.max_listed_size = self.admission.max_listed_size.max(total_size);
    }

    /// Requests the list where it is not pushed: subscribes, retries after a failure, and repeats an
    /// unanswered request well before the deadline.
    pub(super) fn request_list(&mut self, lists: &[List], now: f64, out: &mut dyn Writer) {
        for list in lists {
            match list.kind {
                ListKind::Failed => {
                    self.times.requested_at = None;
                    self.times.request_at = now + RECHECK_INTERVAL * (1.0 + self.rng.f64());
                }
                ListKind::Cached => {}
                _ => self.times.request_at = f64::INFINITY,
            }
        }
        let overdue = self.times.requested_at.is_some_and(|at| now - at > self.rules.list_deadline / 2.0);
        if now >= self.times.request_at && (self.times.requested_at.is_none() || overdue) {
            self.times.requested_at = Some(now);
            out.follow_list();
        }
    }
}
