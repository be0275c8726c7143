//! What is known of servers and demand, with the time of each observation.

use oatlever::round::Address;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a server in the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ListStatus {
    Ready,
    Draining,
    /// Listed as gone, or no longer listed.
    Gone,
}

/// A server as seen by the list, reports and health checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub zone: u16,
    pub list_status: ListStatus,
    /// Its capacity relative to other servers, as listed.
    pub weight: f64,
    /// Start time, s, on the pilot's clock; 0 means long ago.
    pub started: f64,
    /// When `list_status` last changed, s.
    pub status_changed_at: f64,
    /// A time at which it certainly answered, s: the start of the last report interval with answers.
    pub answered_at: Option<f64>,
    /// When a report last showed only failed tries, s.
    pub failed_at: Option<f64>,
    /// When its health was last checked, s, and whether it was healthy.
    pub last_check: Option<(f64, bool)>,
    /// The highest rate of queries per second that it answered with almost no failures; 0 if unknown.
    pub proven_rate: f64,
}

/// Limits of the guard's checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Figures")]
pub struct GuardConfig {
    /// A server counts as serving if an answer or a successful health check is no older than this, in seconds.
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub answers_within: f64,
    /// Maximum share of a zone's queries in a table that may be affected by removing serving servers from the table,
    /// in one change or in several within `window`.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cut_part: f64,
    /// Maximum share of a table's queries that a single change may move away from serving servers.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub moved_part: f64,
    /// Time in seconds over which removals of servers and zones from a table are added up, so that a series of small
    /// changes is limited like a single large one.
    #[schemars(range(min = 1.0, max = 3600.0))]
    pub window: f64,
    /// Maximum load of a warm server as a multiple of the rate that it is proven to answer.
    #[schemars(range(min = 1.0, max = 100.0))]
    pub stretch: f64,
    /// Assumed relative growth of demand per second since it was measured.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub growth: f64,
    /// Share of a table's queries below which the loss of a zone is ignored.
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

/// The input of a verdict at one moment.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Current time, s, on the pilot's clock.
    pub now: f64,
    pub servers: BTreeMap<Address, Server>,
    /// Measured queries per second of each table's users.
    pub demand: BTreeMap<u16, f64>,
    /// When `demand` was measured, s.
    pub measured_at: f64,
    /// Fraction of all tries that failed, by the last report.
    pub failure_rate: f64,
    /// Fraction of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// Time in seconds from a server's start until it is warm, i.e. has its full capacity.
    pub warm_within: f64,
    /// Load at which a cold server is assumed to fail, as a multiple of its current capacity, which is the
    /// [`State::warm_fraction`] of its full one.
    pub fall_multiple: f64,
    /// Servers listed as gone must be drained within the grace period, like draining ones.
    pub drain_gone: bool,
}

/// Whether a time is known and no longer ago than `max_age` s.
fn is_fresh(at: Option<f64>, now: f64, max_age: f64) -> bool {
    at.is_some_and(|at| now - at <= max_age)
}

impl State {
    /// The fraction of its full capacity that a server has now.
    pub fn warm_fraction(&self, server: &Server) -> f64 {
        if server.started <= 0.0 || self.warm_within <= 0.0 {
            return 1.0;
        }
        let age = ((self.now - server.started) / self.warm_within).clamp(0.0, 1.0);
        self.cold_share + (1.0 - self.cold_share) * age
    }

    /// Whether a server has its full capacity.
    pub fn is_warm(&self, server: &Server) -> bool {
        self.warm_fraction(server) >= 1.0
    }

    /// Whether queries must leave a server, whatever else is known: it is draining, or gone with `drain_gone` set.
    pub fn must_drain(&self, server: &Server) -> bool {
        match server.list_status {
            ListStatus::Ready => false,
            ListStatus::Draining => true,
            ListStatus::Gone => self.drain_gone,
        }
    }

    /// Whether a recent answer or health check shows that a server serves, and no later evidence contradicts it: a
    /// failed check, a report with only failed tries, or the list reporting it as gone. An answer or check from before
    /// the list reported the server as gone doesn't count: otherwise the list would seem wrong about every server that
    /// stops, as it answered until shortly before.
    pub fn is_serving(&self, server: &Server, config: &GuardConfig) -> bool {
        let check_passed = server.last_check.filter(|(_, healthy)| *healthy).map(|(at, _)| at);
        let check_failed = server.last_check.filter(|(_, healthy)| !*healthy).map(|(at, _)| at);
        let listed_gone = (server.list_status == ListStatus::Gone).then_some(server.status_changed_at);
        let later = |a: Option<f64>, b: Option<f64>| a.into_iter().chain(b).max_by(f64::total_cmp);
        let Some(seen_serving) = later(server.answered_at, check_passed) else { return false };
        let contradicted = later(later(check_failed, server.failed_at), listed_gone);
        is_fresh(Some(seen_serving), self.now, config.answers_within)
            && contradicted.is_none_or(|at| seen_serving > at)
    }

    /// Whether queries may be sent to a server, and it is known to serve.
    pub fn is_available(&self, server: &Server, config: &GuardConfig) -> bool {
        !self.must_drain(server) && self.is_serving(server, config)
    }

    /// Queries per second that a warm server of weight 1 is proven to answer: the median over all servers with a
    /// proven rate. `None` if there are none, as after a restart.
    pub fn typical_rate(&self) -> Option<f64> {
        let proven = self.servers.values().filter(|s| s.proven_rate > 0.0 && s.weight > 0.0);
        let mut proven: Vec<f64> = proven.map(|s| s.proven_rate / s.weight).collect();
        proven.sort_by(f64::total_cmp);
        proven.get(proven.len() / 2).copied()
    }

    /// Maximum queries per second for a server now. A server that never had much load is assumed to be as good as a
    /// typical one of its weight. `None` if no rate is proven of any server.
    pub fn capacity(&self, server: &Server, typical_rate: Option<f64>, config: &GuardConfig) -> Option<f64> {
        let rate = typical_rate? * server.weight;
        let warm = config.stretch * rate.max(server.proven_rate);
        if self.is_warm(server) {
            return Some(warm);
        }
        // A rate proven while the server was warm doesn't apply while it is cold.
        Some((self.fall_multiple * self.warm_fraction(server) * rate).min(warm))
    }

    /// Factor by which demand is assumed to have grown since it was measured.
    pub fn demand_growth(&self, config: &GuardConfig) -> f64 {
        1.0 + config.growth * (self.now - self.measured_at).max(0.0)
    }

    /// Queries per second that a table's users may send by now, including growth since the measurement.
    pub fn expected_demand(&self, table: u16, config: &GuardConfig) -> f64 {
        self.demand.get(&table).copied().unwrap_or(0.0) * self.demand_growth(config)
    }
}
