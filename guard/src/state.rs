//! What is known of servers and of the demand, each with its age.

use oatlever::round::Address;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ListStatus {
    Ready,
    Draining,
    /// The list calls it gone, or names it no more.
    Gone,
}

/// A server, as several sources have it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub zone: u16,
    pub list_status: ListStatus,
    /// Its size beside others, as listed.
    pub weight: f64,
    /// s, on the pilot's clock; 0 means long ago.
    pub started: f64,
    /// When the list last changed its word on it, s.
    pub status_changed_at: f64,
    /// When it last answered for sure, s: at the start of the time that the report is of.
    pub answered_at: Option<f64>,
    /// When tries at it last came to nothing but failures, s.
    pub failed_at: Option<f64>,
    /// When its health was last checked, s, and whether it was fine.
    pub last_check: Option<(f64, bool)>,
    /// The most queries a second that it was seen to answer, nearly none failing; 0 where none was.
    pub proven_rate: f64,
}

/// The guard's figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Figures")]
pub struct GuardConfig {
    /// s; an answer or a check no older than this shows that a server serves.
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub answers_within: f64,
    /// Part of a zone's queries in a table; no more may be taken at once, or within `window`, from servers
    /// that serve by dropping them.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cut_part: f64,
    /// Part of a table's queries; no more may move at once away from servers that serve.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub moved_part: f64,
    /// s; small steps count together for so long.
    #[schemars(range(min = 1.0, max = 3600.0))]
    pub window: f64,
    /// Times what a warm server is proven to carry that it may be asked for.
    #[schemars(range(min = 1.0, max = 100.0))]
    pub stretch: f64,
    /// Part a second by which demand may have grown since it was measured.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub growth: f64,
    /// Part of a zone's former queries under which losing the zone is no matter.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub zone_part: f64,
}

impl Default for GuardConfig {
    fn default() -> Self {
        GuardConfig {
            answers_within: 10.0,
            cut_part: 0.5,
            moved_part: 0.9,
            window: 60.0,
            stretch: 2.0,
            growth: 0.05,
            zone_part: 0.05,
        }
    }
}

/// Everything that a verdict goes by, as of one moment.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// s, on the pilot's clock.
    pub now: f64,
    pub servers: BTreeMap<Address, Server>,
    /// Queries a second of the users of each table, as measured.
    pub demand: BTreeMap<u16, f64>,
    /// When that was, s.
    pub measured_at: f64,
    /// Part of all tries that failed lately.
    pub failure_rate: f64,
    /// Part of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// s; a server is warm so long after its start.
    pub warm_within: f64,
    /// Times what it can do at the moment; a cold server sent more falls over.
    pub fall_multiple: f64,
    /// What the list calls gone must be left within the grace, like what drains.
    pub drain_gone: bool,
}

/// Where nothing at all is known of a class of evidence, s ago: never.
fn is_fresh(at: Option<f64>, now: f64, within: f64) -> bool {
    at.is_some_and(|at| now - at <= within)
}

impl State {
    /// Part of its full strength that a server has now.
    pub fn warm_fraction(&self, server: &Server) -> f64 {
        if server.started <= 0.0 || self.warm_within <= 0.0 {
            return 1.0;
        }
        let age = ((self.now - server.started) / self.warm_within).clamp(0.0, 1.0);
        self.cold_share + (1.0 - self.cold_share) * age
    }

    pub fn is_warm(&self, server: &Server) -> bool {
        self.warm_fraction(server) >= 1.0
    }

    /// It must be left, whatever else is known: it drains, or is gone where that binds.
    pub fn must_drain(&self, server: &Server) -> bool {
        match server.list_status {
            ListStatus::Ready => false,
            ListStatus::Draining => true,
            ListStatus::Gone => self.drain_gone,
        }
    }

    /// An answer or a check shows that it serves, and nothing later speaks against it: a check that failed,
    /// tries that all failed, or the list calling it gone. What came before the list's word says nothing of
    /// after it, or each server that dies would be taken for one that the list lies about.
    pub fn is_serving(&self, server: &Server, figures: &GuardConfig) -> bool {
        let fine = server.last_check.filter(|(_, fine)| *fine).map(|(at, _)| at);
        let failed = server.last_check.filter(|(_, fine)| !*fine).map(|(at, _)| at);
        let gone = (server.list_status == ListStatus::Gone).then_some(server.status_changed_at);
        let later = |a: Option<f64>, b: Option<f64>| a.into_iter().chain(b).max_by(f64::total_cmp);
        let Some(shown) = later(server.answered_at, fine) else { return false };
        let against = later(later(failed, server.failed_at), gone);
        is_fresh(Some(shown), self.now, figures.answers_within) && against.is_none_or(|at| shown > at)
    }

    /// It may be sent to, and is shown to serve.
    pub fn is_available(&self, server: &Server, figures: &GuardConfig) -> bool {
        !self.must_drain(server) && self.is_serving(server, figures)
    }

    /// Queries a second that a warm server of weight 1 is proven to carry: the median of those proven; none
    /// where none is, as just after a restart.
    pub fn typical_rate(&self) -> Option<f64> {
        let proven = self.servers.values().filter(|s| s.proven_rate > 0.0 && s.weight > 0.0);
        let mut proven: Vec<f64> = proven.map(|s| s.proven_rate / s.weight).collect();
        proven.sort_by(f64::total_cmp);
        proven.get(proven.len() / 2).copied()
    }

    /// Queries a second that a server may be asked for now. A server that was never asked for much is taken
    /// for as good as a typical one of its weight. None where nothing is proven of anyone.
    pub fn capacity(&self, server: &Server, typical: Option<f64>, figures: &GuardConfig) -> Option<f64> {
        let size = typical? * server.weight;
        let warm = figures.stretch * size.max(server.proven_rate);
        if self.is_warm(server) {
            return Some(warm);
        }
        // What it was proven to carry when it was warm says nothing of now.
        Some((self.fall_multiple * self.warm_fraction(server) * size).min(warm))
    }

    /// Times what was measured that demand may have grown to by now.
    pub fn demand_growth(&self, figures: &GuardConfig) -> f64 {
        1.0 + figures.growth * (self.now - self.measured_at).max(0.0)
    }

    /// Queries a second that a table's users may bring by now, its age allowed for.
    pub fn expected_demand(&self, table: u16, figures: &GuardConfig) -> f64 {
        self.demand.get(&table).copied().unwrap_or(0.0) * self.demand_growth(figures)
    }
}
