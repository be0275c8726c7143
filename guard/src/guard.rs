//! The guard: runs all checks on a proposed table, decides what is published, and keeps the last verdicts.

use crate::admission::AdmissionLimit;
use crate::checks::{Check, CheckContext, Finding, Pin};
use crate::nearest::nearest;
use crate::state::{GuardConfig, State};
use crate::{normalize, Loads, Weights};
use oatlever::round::{NO_RETRY, RETRY_UNPROCESSED};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// What the guard does with a table that fails a check: report it, or enforce the check by publishing another table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Reports its findings and publishes every table.
    Report,
    #[default]
    Enforce,
}

/// What was done with a proposed table.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Published without findings.
    Fine,
    /// Published despite its findings, as the guard only reports.
    Reported,
    /// Refused; the last table is kept.
    Kept,
    /// Replaced by the nearest safe table, with the share of the queries that it moves and the share that servers
    /// have room for.
    Nearest { moved: f64, fits: f64 },
    /// Published despite its findings, as there is no better table and proxies must not be left without a server.
    NothingBetter,
    /// Published empty, as no server is available.
    Empty,
}

impl Outcome {
    /// The name in metrics, logs and on `/status`.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Fine => "fine",
            Outcome::Reported => "reported",
            Outcome::Kept => "kept",
            Outcome::Nearest { .. } => "nearest",
            Outcome::NothingBetter => "nothing_better",
            Outcome::Empty => "empty",
        }
    }
}

/// The result of checking a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub table: u16,
    /// s, on the pilot's clock.
    pub at: f64,
    pub findings: Vec<Finding>,
    pub outcome: Outcome,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "table {}: {}", self.table, self.outcome.name())?;
        if let Outcome::Nearest { moved, fits } = self.outcome {
            write!(f, " (share of queries moved: {moved:.3}, share that servers have room for: {fits:.3})")?;
        }
        for finding in &self.findings {
            write!(f, "; {}: {finding}", finding.check.name())?;
        }
        Ok(())
    }
}

/// An operator's order to ignore a check for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    pub check: Check,
    /// Who gave the order.
    pub author: String,
    /// s, on the pilot's clock.
    pub expires_at: f64,
}

/// A table in use.
#[derive(Clone, Debug, Default)]
struct Table {
    /// The version published last, as shares.
    shares: Weights,
    /// The zones of its servers.
    zones: BTreeSet<u16>,
    /// The version in place when the previous window began, one to two `window`s ago if the table is published
    /// regularly. New versions are also compared with this one, so that a series of small changes counts in sum.
    previous_window_shares: Weights,
    /// The version in place when the current window began. Becomes `previous_window_shares` when the next one begins.
    window_shares: Weights,
    /// When the current window began, s, on the pilot's clock.
    window_started_at: f64,
    /// The limit on admitted queries; `None` while all are admitted.
    admission: Option<AdmissionLimit>,
}

fn zones(state: &State, table: &Weights) -> BTreeSet<u16> {
    table.keys().filter_map(|server| state.servers.get(server)).map(|s| s.zone).collect()
}

/// Number of verdicts kept, other than [`Outcome::Fine`].
const MAX_VERDICTS: usize = 500;

/// Checks tables and keeps track of those in use.
#[derive(Clone, Debug)]
pub struct Guard {
    pub config: GuardConfig,
    pub mode: Mode,
    /// Maximum time that a table is used after it was replaced, s.
    max_table_lifetime: f64,
    pub loads: Loads,
    tables: BTreeMap<u16, Table>,
    /// Zones of the tables proposed in this round.
    proposed_zones: BTreeMap<u16, BTreeSet<u16>>,
    pub pins: Vec<Pin>,
    pub overrides: Vec<Override>,
    /// Number of findings by check.
    pub findings: BTreeMap<&'static str, u64>,
    /// Number of verdicts by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    verdicts: VecDeque<Verdict>,
}

impl Guard {
    pub fn new(config: GuardConfig, mode: Mode, max_table_lifetime: f64) -> Self {
        Guard {
            config,
            mode,
            max_table_lifetime,
            loads: Loads::default(),
            tables: BTreeMap::new(),
            proposed_zones: BTreeMap::new(),
            pins: Vec::new(),
            overrides: Vec::new(),
            findings: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            verdicts: VecDeque::new(),
        }
    }

    /// All findings of a table if it were published now, except those of overridden checks.
    fn findings(&self, context: &CheckContext, proposed: &Weights, shares: &Weights) -> Vec<Finding> {
        let mut findings: Vec<Finding> = [
            context.not_finite(proposed),
            context.emptied(shares),
            context.cold_only(shares),
            context.cut(shares),
            context.zone_cut(shares),
            context.moved(shares),
            context.pinned(shares),
            context.fragile(shares),
        ]
        .into_iter()
        .flatten()
        .collect();
        findings.extend(context.overloads(shares));
        findings.retain(|finding| !self.is_overridden(finding.check, context.state.now));
        findings
    }

    fn is_overridden(&self, check: Check, now: f64) -> bool {
        self.overrides.iter().any(|o| o.check == check && o.expires_at > now)
    }

    /// Announces all proposals of a round: each table is checked as if the others were published.
    pub fn begin_round(&mut self, state: &State, proposals: &BTreeMap<u16, Weights>) {
        let zones = |(table, weights): (&u16, &Weights)| (*table, zones(state, &normalize(weights)));
        self.proposed_zones = proposals.iter().map(zones).collect();
    }

    /// Zones of all tables but one, assuming that all proposals of the round are published.
    fn other_zones(&self, except: u16) -> BTreeSet<u16> {
        let unchanged = self.tables.iter().filter(|(table, _)| !self.proposed_zones.contains_key(table));
        let zones =
            self.proposed_zones.iter().chain(unchanged.map(|(table, current)| (table, &current.zones)));
        zones.filter(|(table, _)| **table != except).flat_map(|(_, zones)| zones).copied().collect()
    }

    /// Checks a table. Returns the table to publish instead, or `None` to publish the proposal with its weights
    /// unchanged.
    pub fn evaluate(&mut self, state: &State, table: u16, proposed: &Weights) -> (Verdict, Option<Weights>) {
        let shares = normalize(proposed);
        self.loads.expire(state.now);
        for (table, demand) in &state.demand {
            self.loads.set_demand(*table, *demand);
        }
        let (empty, other_zones) = (Table::default(), self.other_zones(table));
        let current = self.tables.get(&table).unwrap_or(&empty);
        let context = CheckContext {
            state,
            config: &self.config,
            loads: &self.loads,
            pins: &self.pins,
            table,
            before: &current.shares,
            earlier: &current.previous_window_shares,
            typical_rate: state.typical_rate(),
            other_zones: &other_zones,
        };
        let findings = self.findings(&context, proposed, &shares);
        let (outcome, replacement) = self.decide(&context, &shares, &findings);
        self.publish(state, table, replacement.as_ref().unwrap_or(&shares));
        let fits = if let Outcome::Nearest { fits, .. } = outcome { fits } else { 1.0 };
        let admission = &mut self.tables.entry(table).or_default().admission;
        let mut limit = admission.unwrap_or(AdmissionLimit::unlimited(state.now));
        // An outdated failure rate doesn't limit admission: if reports have stopped, it may no longer apply.
        let is_recent = state.now - state.measured_at <= self.config.answers_within;
        limit.update(fits, if is_recent { state.failure_rate } else { 0.0 }, state.now);
        *admission = Some(limit).filter(|limit| limit.share < 1.0);
        let verdict = Verdict { table, at: state.now, findings, outcome };
        self.record(&verdict);
        (verdict, replacement)
    }

    fn decide(
        &self,
        context: &CheckContext,
        shares: &Weights,
        findings: &[Finding],
    ) -> (Outcome, Option<Weights>) {
        if findings.is_empty() {
            let emptied = shares.is_empty() && !context.before.is_empty();
            return (if emptied { Outcome::Empty } else { Outcome::Fine }, None);
        }
        if self.mode == Mode::Report {
            return (Outcome::Reported, None);
        }
        // If the only findings are invalid weights, the table without them has passed all other checks.
        if findings.iter().all(|finding| finding.check == Check::NotFinite) {
            return (Outcome::Nearest { moved: 0.0, fits: 1.0 }, Some(shares.clone()));
        }
        if context.may_keep() {
            return (Outcome::Kept, Some(context.before.clone()));
        }
        let nearest = nearest(context, shares);
        // If being fragile is the only finding, and the nearest table is fragile too, replacing it gains nothing.
        let only_fragile = findings.iter().all(|finding| finding.check == Check::Fragile);
        if nearest.shares.is_empty() || only_fragile && context.fragile(&nearest.shares).is_some() {
            return (Outcome::NothingBetter, None);
        }
        (Outcome::Nearest { moved: nearest.moved, fits: nearest.fits }, Some(nearest.shares))
    }

    /// Sets the table in place without checking it.
    pub fn set_current(&mut self, state: &State, table: u16, weights: &Weights) {
        self.publish(state, table, &normalize(weights));
    }

    /// Records a table, as shares, as published.
    fn publish(&mut self, state: &State, table: u16, shares: &Weights) {
        self.loads.publish(table, shares, state.now, self.max_table_lifetime);
        let current = self.tables.entry(table).or_default();
        if state.now - current.window_started_at >= self.config.window {
            current.previous_window_shares =
                std::mem::replace(&mut current.window_shares, current.shares.clone());
            current.window_started_at = state.now;
        }
        for version in [&mut current.previous_window_shares, &mut current.window_shares] {
            if version.is_empty() {
                version.clone_from(&current.shares);
            }
        }
        current.shares.clone_from(shares);
        current.zones = zones(state, shares);
    }

    /// The limit on a table's admitted queries; `None` if all are admitted.
    pub fn admission_limit(&self, table: u16) -> Option<&AdmissionLimit> {
        self.tables.get(&table)?.admission.as_ref().filter(|_| self.mode == Mode::Enforce)
    }

    /// Counts a verdict and keeps it unless it is fine.
    fn record(&mut self, verdict: &Verdict) {
        *self.outcomes.entry(verdict.outcome.name()).or_default() += 1;
        for finding in &verdict.findings {
            *self.findings.entry(finding.check.name()).or_default() += 1;
        }
        if verdict.outcome != Outcome::Fine {
            if self.verdicts.len() == MAX_VERDICTS {
                self.verdicts.pop_front();
            }
            self.verdicts.push_back(verdict.clone());
        }
    }

    /// The last verdicts that were not fine, newest first.
    pub fn recent_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter().rev()
    }

    /// Checks a class's retry mode. If queries of the class must run at most once, they may only be retried where it
    /// is certain that no server has processed them; any mode that retries more is replaced by no retries.
    pub fn retry_mode(&mut self, table: u16, class: u16, at_most_once: bool, mode: u8, now: f64) -> u8 {
        // Modes are in ascending order of the failures that they retry: none, queries that were certainly not
        // processed, all.
        if !at_most_once || mode <= RETRY_UNPROCESSED || self.is_overridden(Check::Twice, now) {
            return mode;
        }
        let finding = Finding {
            check: Check::Twice,
            servers: Vec::new(),
            value: f64::from(class),
            limit: 0.0,
            data_age: 0.0,
        };
        let enforced = self.mode == Mode::Enforce;
        // As with a table, the proposal is replaced by the nearest safe one. The table itself doesn't change: no
        // queries move, and there is room for all of them.
        let outcome = if enforced { Outcome::Nearest { moved: 0.0, fits: 1.0 } } else { Outcome::Reported };
        self.record(&Verdict { table, at: now, findings: vec![finding], outcome });
        if enforced {
            NO_RETRY
        } else {
            mode
        }
    }

    /// Removes expired overrides, pins and table versions.
    pub fn expire(&mut self, now: f64) {
        self.overrides.retain(|o| o.expires_at > now);
        self.pins.retain(|pin| pin.expires_at > now);
        self.loads.expire(now);
    }
}
