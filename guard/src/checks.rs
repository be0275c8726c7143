//! The checks of a proposed table. Each is independent of the others and reports its finding with figures.

use crate::state::{GuardConfig, Server, State};
use crate::{share, Loads, Weights};
use oatlever::round::Address;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Identifies a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// A weight is negative or not finite.
    NotFinite,
    /// The table becomes empty although servers are available.
    Emptied,
    /// The table has only cold servers although warm ones are available.
    ColdOnly,
    /// Available servers that had more than the allowed share of a zone's queries are dropped.
    Cut,
    /// A zone with available servers is no longer in any table.
    ZoneCut,
    /// More than the allowed share of the queries moves at once.
    Moved,
    /// A warm server exceeds its capacity.
    Overload,
    /// A cold server exceeds its capacity.
    ColdOverload,
    /// A cold server would exceed its capacity if the server with the largest share failed.
    Fragile,
    /// A class that must not run twice would be retried after failures where it may have run.
    Twice,
    /// The table violates an operator's pin.
    Pinned,
}

impl Check {
    /// The name in metrics, logs and commands.
    pub fn name(self) -> &'static str {
        match self {
            Check::NotFinite => "not_finite",
            Check::Emptied => "emptied",
            Check::ColdOnly => "cold_only",
            Check::Cut => "cut",
            Check::ZoneCut => "zone_cut",
            Check::Moved => "moved",
            Check::Overload => "overload",
            Check::ColdOverload => "cold_overload",
            Check::Fragile => "fragile",
            Check::Twice => "twice",
            Check::Pinned => "pinned",
        }
    }
}

/// The result of a check that failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub check: Check,
    /// The affected servers, the worst first, at most `MAX_SERVERS`.
    pub servers: Vec<Address>,
    /// The measured value; its meaning depends on the check.
    pub value: f64,
    pub limit: f64,
    /// Age of the demand measurement behind the finding, s.
    pub data_age: f64,
}

/// Maximum number of servers listed in a finding.
const MAX_SERVERS: usize = 5;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (value, limit) = (self.value, self.limit);
        match self.check {
            Check::NotFinite => write!(f, "{value} weights are negative or not finite"),
            Check::Emptied => write!(f, "the table is empty while {value} servers are available"),
            Check::ColdOnly => {
                write!(f, "the table has only cold servers while {value} warm ones are available")
            }
            Check::Cut => {
                write!(
                    f,
                    "dropped servers that are available had {value:.3} of a zone's queries, limit {limit:.3}"
                )
            }
            Check::ZoneCut => {
                write!(f, "zone {value} is no longer in any table while {limit} of its servers are available")
            }
            Check::Moved => write!(f, "{value:.3} of the queries move at once, limit {limit:.3}"),
            Check::Overload => write!(f, "{value:.2} queries per second for a server, limit {limit:.2}"),
            Check::ColdOverload => {
                write!(f, "{value:.2} queries per second for a cold server, limit {limit:.2}")
            }
            Check::Fragile => {
                write!(
                    f,
                    "{value:.2} queries per second for a cold server if the server with the largest share fails, \
                     limit {limit:.2}"
                )
            }
            Check::Twice => {
                write!(f, "retries after any failure for class {value}, which must not run twice")
            }
            Check::Pinned => write!(f, "{value:.3} of the queries for a server pinned to {limit:.3}"),
        }?;
        let servers: Vec<String> = self.servers.iter().map(Address::to_string).collect();
        if !servers.is_empty() {
            write!(f, " ({})", servers.join(", "))?;
        }
        write!(f, ", from data {:.1} s old", self.data_age)
    }
}

/// An operator's limits on a server's share of every table that contains it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pin {
    pub server: Address,
    pub min_share: f64,
    pub max_share: f64,
    /// s, on the pilot's clock.
    pub expires_at: f64,
}

/// Everything that a proposed table is checked against.
pub struct CheckContext<'a> {
    pub state: &'a State,
    pub config: &'a GuardConfig,
    pub loads: &'a Loads,
    pub pins: &'a [Pin],
    pub table: u16,
    /// The table published last, as shares.
    pub before: &'a Weights,
    /// The table as it was one to two `window`s ago, as shares.
    pub earlier: &'a Weights,
    /// [`State::typical_rate`].
    pub typical_rate: Option<f64>,
    /// Zones in other tables, assuming that all proposals of the round are published.
    pub other_zones: &'a BTreeSet<u16>,
}

/// Tolerance for rounding errors in sums of shares.
const TOLERANCE: f64 = 1e-9;

/// The two largest shares of a table, and the server with the largest.
pub struct LargestShares {
    first: Option<Address>,
    shares: (f64, f64),
}

impl LargestShares {
    pub fn of(shares: &Weights) -> Self {
        let mut largest = LargestShares { first: None, shares: (0.0, 0.0) };
        for (server, share) in shares {
            if *share > largest.shares.0 {
                largest = LargestShares { first: Some(*server), shares: (*share, largest.shares.0) };
            } else {
                largest.shares.1 = share.max(largest.shares.1);
            }
        }
        largest
    }

    /// The largest share of all servers but this one.
    pub fn except(&self, server: &Address) -> f64 {
        if self.first == Some(*server) {
            self.shares.1
        } else {
            self.shares.0
        }
    }
}

impl CheckContext<'_> {
    fn server(&self, server: &Address) -> Option<&Server> {
        self.state.servers.get(server)
    }

    /// Whether queries may be sent to a server, and it is known to serve.
    pub fn is_available(&self, server: &Address) -> bool {
        self.server(server).is_some_and(|s| self.state.is_available(s, self.config))
    }

    fn finding(&self, check: Check, servers: Vec<Address>, value: f64, limit: f64) -> Finding {
        let data_age = (self.state.now - self.state.measured_at).max(0.0);
        let servers = servers.into_iter().take(MAX_SERVERS).collect();
        Finding { check, servers, value, limit, data_age }
    }

    /// A finding with the number of servers as its value, if there are any.
    fn count_finding(&self, check: Check, servers: Vec<Address>) -> Option<Finding> {
        let count = servers.len() as f64;
        (count > 0.0).then(|| self.finding(check, servers, count, 0.0))
    }

    /// A finding if a value exceeds its limit, with the servers that lose the largest shares first.
    fn limit_finding(
        &self,
        check: Check,
        mut lost: Vec<(f64, Address)>,
        value: f64,
        limit: f64,
    ) -> Option<Finding> {
        lost.sort_by(|a, b| b.0.total_cmp(&a.0));
        let servers = lost.into_iter().map(|(_, server)| server).collect();
        (value > limit + TOLERANCE).then(|| self.finding(check, servers, value, limit))
    }

    /// The shares of a table by zone.
    fn by_zone(&self, table: &Weights) -> BTreeMap<u16, f64> {
        let mut shares = BTreeMap::new();
        for (server, share) in table {
            if let Some(s) = self.server(server) {
                *shares.entry(s.zone).or_default() += share;
            }
        }
        shares
    }

    /// Queries per second that a server may receive if the table gives it this share. Includes other tables and
    /// versions still in use.
    pub fn load(&self, server: &Address, share: f64) -> f64 {
        let others = self.loads.load_from_others(self.table, server) * self.state.demand_growth(self.config);
        let max_share = share.max(self.loads.max_share(self.table, server));
        others + max_share * self.state.expected_demand(self.table, self.config)
    }

    /// The largest share of this table that a server has capacity for beside its load from other tables. `None` if
    /// the capacity is unknown or the table has no demand.
    pub fn room(&self, server: &Address) -> Option<f64> {
        let demand = self.state.expected_demand(self.table, self.config);
        let capacity = self.state.capacity(self.server(server)?, self.typical_rate, self.config)?;
        let others = self.loads.load_from_others(self.table, server) * self.state.demand_growth(self.config);
        (demand > 0.0).then(|| ((capacity - others) / demand).max(0.0))
    }

    /// Pins that have not expired.
    fn pins(&self) -> impl Iterator<Item = &Pin> {
        self.pins.iter().filter(|pin| pin.expires_at > self.state.now)
    }

    /// The pin of a server, unless it has expired.
    pub fn pin(&self, server: &Address) -> Option<&Pin> {
        self.pins().find(|pin| pin.server == *server)
    }

    pub fn not_finite(&self, proposed: &Weights) -> Option<Finding> {
        let invalid = proposed.iter().filter(|(_, weight)| !weight.is_finite() || **weight < 0.0);
        self.count_finding(Check::NotFinite, invalid.map(|(server, _)| *server).collect())
    }

    /// All servers for which [`Self::is_available`] holds.
    fn available(&self) -> impl Iterator<Item = (&Address, &Server)> {
        self.state.servers.iter().filter(|(_, s)| self.state.is_available(s, self.config))
    }

    pub fn emptied(&self, shares: &Weights) -> Option<Finding> {
        // A table that was empty before is not emptied.
        if !shares.is_empty() || self.before.is_empty() {
            return None;
        }
        self.count_finding(Check::Emptied, self.available().map(|(server, _)| *server).collect())
    }

    pub fn cold_only(&self, shares: &Weights) -> Option<Finding> {
        let is_warm = |server: &Address| self.server(server).is_none_or(|s| self.state.is_warm(s));
        if shares.is_empty() || shares.keys().any(is_warm) {
            return None;
        }
        let warm = self.available().filter(|(_, s)| self.state.is_warm(s));
        self.count_finding(Check::ColdOnly, warm.map(|(server, _)| *server).collect())
    }

    /// The share of a zone's queries that dropped servers had although they are available, compared with the last
    /// table and with an earlier one, so that a series of small steps counts in sum. Only zones that the table keeps
    /// are compared: the end of a spill is no cut. The loss of a whole zone is checked over all tables instead.
    pub fn cut(&self, shares: &Weights) -> Option<Finding> {
        let remaining = self.by_zone(shares);
        let mut worst: Option<(f64, Vec<(f64, Address)>)> = None;
        for old in [self.before, self.earlier] {
            let old_by_zone = self.by_zone(old);
            let mut lost: BTreeMap<u16, Vec<(f64, Address)>> = BTreeMap::new();
            for (server, old_share) in old.iter().filter(|(server, _)| share(shares, server) <= 0.0) {
                if let Some(s) = self.server(server).filter(|s| self.state.is_available(s, self.config)) {
                    lost.entry(s.zone).or_default().push((*old_share, *server));
                }
            }
            let kept_zones = lost.into_iter().filter(|(zone, _)| {
                remaining.contains_key(zone) && old_by_zone[zone] > self.config.zone_part
            });
            for (zone, lost) in kept_zones {
                let value = lost.iter().map(|(old_share, _)| old_share).sum::<f64>() / old_by_zone[&zone];
                if worst.as_ref().is_none_or(|(max, _)| value > *max) {
                    worst = Some((value, lost));
                }
            }
        }
        let (value, lost) = worst?;
        self.limit_finding(Check::Cut, lost, value, self.config.cut_part)
    }

    /// A zone that had a share of this table and is no longer in this or any other table. Other tables count as if
    /// all proposals of the round were published; otherwise tables that leave a zone in the same round would each be
    /// accepted because of the others.
    pub fn zone_cut(&self, shares: &Weights) -> Option<Finding> {
        // An empty table is reported by `emptied`.
        if shares.is_empty() {
            return None;
        }
        let (remaining, mut former) = (self.by_zone(shares), self.by_zone(self.before));
        for (zone, share) in self.by_zone(self.earlier) {
            let max = former.entry(zone).or_default();
            *max = share.max(*max);
        }
        former.retain(|zone, share| *share > self.config.zone_part && !remaining.contains_key(zone));
        former.into_keys().filter(|zone| !self.other_zones.contains(zone)).find_map(|zone| {
            let available = self.available().filter(|(_, s)| s.zone == zone);
            let available: Vec<Address> = available.map(|(server, _)| *server).collect();
            let count = available.len() as f64;
            (count > 0.0).then(|| self.finding(Check::ZoneCut, available, f64::from(zone), count))
        })
    }

    pub fn moved(&self, shares: &Weights) -> Option<Finding> {
        let available = self.before.iter().filter(|(server, _)| self.is_available(server));
        let lost = available.map(|(server, old)| ((old - share(shares, server)).max(0.0), *server));
        let lost: Vec<(f64, Address)> = lost.filter(|(lost, _)| *lost > 0.0).collect();
        let value = lost.iter().map(|(lost, _)| lost).sum();
        self.limit_finding(Check::Moved, lost, value, self.config.moved_part)
    }

    /// Servers that this table would overload. Only servers whose share it raises: it isn't the cause of the load on
    /// the others.
    pub fn overloads(&self, shares: &Weights) -> Vec<Finding> {
        struct Worst {
            ratio: f64,
            servers: Vec<Address>,
            load: f64,
            limit: f64,
        }
        let mut worst: BTreeMap<Check, Worst> = BTreeMap::new();
        for (server, new) in
            shares.iter().filter(|(server, new)| **new > share(self.before, server) + TOLERANCE)
        {
            let Some(s) = self.server(server) else { continue };
            let Some(limit) = self.state.capacity(s, self.typical_rate, self.config) else { continue };
            let load = self.load(server, *new);
            if load <= limit * (1.0 + TOLERANCE) {
                continue;
            }
            let check = if self.state.is_warm(s) { Check::Overload } else { Check::ColdOverload };
            let ratio = load / limit.max(f64::MIN_POSITIVE);
            let entry = worst.entry(check).or_insert(Worst { ratio: 0.0, servers: Vec::new(), load, limit });
            if ratio > entry.ratio {
                entry.servers.insert(0, *server);
                (entry.ratio, entry.load, entry.limit) = (ratio, load, limit);
            } else {
                entry.servers.push(*server);
            }
        }
        worst.into_iter().map(|(check, w)| self.finding(check, w.servers, w.load, w.limit)).collect()
    }

    /// Queries per second that a server may receive once the other server with the largest share fails: proxies
    /// avoid that one and spread its share over the others by their weights.
    fn load_after_loss(&self, server: &Address, shares: &Weights, largest: &LargestShares) -> f64 {
        let remaining = 1.0 - largest.except(server);
        let new_share =
            if remaining > TOLERANCE { (share(shares, server) / remaining).min(1.0) } else { 1.0 };
        self.load(server, new_share)
    }

    /// A cold server that would be overloaded if another server failed, while warm servers are available that the
    /// table doesn't contain. Warm servers are exempt: a brief overload makes them slow but doesn't take them down.
    pub fn fragile(&self, shares: &Weights) -> Option<Finding> {
        let mut unused =
            self.available().filter(|(server, s)| self.state.is_warm(s) && !shares.contains_key(server));
        unused.next()?;
        let (largest, largest_before) = (LargestShares::of(shares), LargestShares::of(self.before));
        let mut worst: Option<(f64, Address, f64, f64)> = None;
        for server in shares.keys() {
            let Some(s) = self.server(server).filter(|s| !self.state.is_warm(s)) else { continue };
            let Some(limit) = self.state.capacity(s, self.typical_rate, self.config) else { continue };
            let load = self.load_after_loss(server, shares, &largest);
            let load_before = self.load_after_loss(server, self.before, &largest_before);
            let grows = !self.before.contains_key(server) || load > load_before * (1.0 + TOLERANCE);
            // An overload without any loss is reported by `overloads`.
            let overloaded = self.load(server, share(shares, server)) > limit * (1.0 + TOLERANCE);
            let ratio = load / limit.max(f64::MIN_POSITIVE);
            if grows
                && !overloaded
                && ratio > 1.0 + TOLERANCE
                && worst.as_ref().is_none_or(|(max, ..)| ratio > *max)
            {
                worst = Some((ratio, *server, load, limit));
            }
        }
        worst.map(|(_, server, load, limit)| self.finding(Check::Fragile, vec![server], load, limit))
    }

    pub fn pinned(&self, shares: &Weights) -> Option<Finding> {
        self.pins().find_map(|pin| {
            let is_used = shares.contains_key(&pin.server) || self.before.contains_key(&pin.server);
            // A minimum share doesn't hold for a server that must be drained.
            let must_drain = self.server(&pin.server).is_none_or(|s| self.state.must_drain(s));
            let value = share(shares, &pin.server);
            let too_low = value < pin.min_share - TOLERANCE && !must_drain;
            let limit = if too_low { pin.min_share } else { pin.max_share };
            let violated = is_used && (too_low || value > pin.max_share + TOLERANCE);
            violated.then(|| self.finding(Check::Pinned, vec![pin.server], value, limit))
        })
    }

    /// Whether the last table may be kept: it is not empty, overloads no server, violates no pin and contains no
    /// server that must be drained. Keeping a table never delays a drain.
    pub fn may_keep(&self) -> bool {
        let table = self.before;
        let must_drain = |server| self.server(server).is_none_or(|s| self.state.must_drain(s));
        if table.is_empty() || table.keys().any(must_drain) {
            return false;
        }
        let overloaded = |(server, share): (&_, &f64)| {
            self.room(server).is_some_and(|room| *share > room * (1.0 + TOLERANCE))
        };
        let findings = [self.cold_only(table), self.pinned(table), self.fragile(table)];
        findings.iter().all(Option::is_none) && !table.iter().any(overloaded)
    }
}
