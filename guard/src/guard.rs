//! The guard itself: what is in place, what was said of whom, and what goes out instead.

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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Says what it finds and lets everything out.
    Report,
    #[default]
    Enforce,
}

/// What became of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Fine,
    /// Let out, as the guard only reports.
    Reported,
    /// The last safe table stays.
    Kept,
    /// The nearest safe table is laid: part of the queries it moves, and part that there is room for.
    Nearest {
        moved: f64,
        fits: f64,
    },
    /// Let out with its findings, as there is nothing better: a proxy is not to be left without a server.
    NothingBetter,
    /// No line is left and nobody serves: the truth goes out.
    Empty,
}

impl Outcome {
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
            write!(f, " (moves {moved:.3} of the queries, room for {fits:.3})")?;
        }
        for finding in &self.findings {
            write!(f, "; {}: {finding}", finding.check.name())?;
        }
        Ok(())
    }
}

/// A check that is not to hold for a while, by somebody's word.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    pub check: Check,
    /// Whose word it is.
    pub author: String,
    /// s, on the pilot's clock.
    pub expires_at: f64,
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// As laid last, by parts, and the zones that it goes to.
    lines: Weights,
    zones: BTreeSet<u16>,
    /// As it was `window` to twice that ago, and the one to follow it.
    earlier: Weights,
    next: Weights,
    turned_at: f64,
    /// Less than all is let in where not all fits.
    relief: Option<AdmissionLimit>,
}

fn zones(state: &State, lines: &Weights) -> BTreeSet<u16> {
    lines.keys().filter_map(|server| state.servers.get(server)).map(|s| s.zone).collect()
}

/// Verdicts kept for people to ask about; fine ones are not.
const TOLD: usize = 500;

#[derive(Clone, Debug)]
pub struct Guard {
    pub config: GuardConfig,
    pub mode: Mode,
    /// s; the longest that an older table may be in use.
    max_table_lifetime: f64,
    pub loads: Loads,
    tables: BTreeMap<u16, Held>,
    /// Zones of the tables that are to be judged in this round.
    coming: BTreeMap<u16, BTreeSet<u16>>,
    pub pins: Vec<Pin>,
    pub overrides: Vec<Override>,
    /// Findings by check, and verdicts by outcome.
    pub findings: BTreeMap<&'static str, u64>,
    pub outcomes: BTreeMap<&'static str, u64>,
    told: VecDeque<Verdict>,
}

impl Guard {
    pub fn new(config: GuardConfig, mode: Mode, max_table_lifetime: f64) -> Self {
        Guard {
            config,
            mode,
            max_table_lifetime,
            loads: Loads::default(),
            tables: BTreeMap::new(),
            coming: BTreeMap::new(),
            pins: Vec::new(),
            overrides: Vec::new(),
            findings: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            told: VecDeque::new(),
        }
    }

    /// Everything wrong with a table, by parts, if it were laid now in place of the last.
    fn findings(&self, context: &CheckContext, proposed: &Weights, parts: &Weights) -> Vec<Finding> {
        let mut found: Vec<Finding> = [
            context.not_finite(proposed),
            context.emptied(parts),
            context.cold_only(parts),
            context.cut(parts),
            context.zone_cut(parts),
            context.moved(parts),
            context.pinned(parts),
            context.fragile(parts),
        ]
        .into_iter()
        .flatten()
        .collect();
        found.extend(context.overloads(parts));
        found.retain(|finding| !self.is_lifted(finding.check, context.state.now));
        found
    }

    fn is_lifted(&self, check: Check, now: f64) -> bool {
        self.overrides.iter().any(|o| o.check == check && o.expires_at > now)
    }

    /// The tables that are to be judged next, all of one round: each is judged as if the others were laid.
    pub fn begin_round(&mut self, state: &State, proposals: &BTreeMap<u16, Weights>) {
        let zones = |(table, lines): (&u16, &Weights)| (*table, zones(state, &normalize(lines)));
        self.coming = proposals.iter().map(zones).collect();
    }

    /// Zones that tables but one go to, once all that are on their way are laid.
    fn elsewhere(&self, but: u16) -> BTreeSet<u16> {
        let coming = self.coming.iter();
        let laid = self.tables.iter().filter(|(table, _)| !self.coming.contains_key(table));
        let zones = coming.chain(laid.map(|(table, held)| (table, &held.zones)));
        zones.filter(|(table, _)| **table != but).flat_map(|(_, zones)| zones).copied().collect()
    }

    /// Judges a table and says what is to be laid: the proposal itself (its weights untouched), or another.
    pub fn evaluate(&mut self, state: &State, table: u16, proposed: &Weights) -> (Verdict, Option<Weights>) {
        let wanted = normalize(proposed);
        self.loads.expire(state.now);
        for (table, demand) in &state.demand {
            self.loads.set_demand(*table, *demand);
        }
        let (none, elsewhere) = (Held::default(), self.elsewhere(table));
        let held = self.tables.get(&table).unwrap_or(&none);
        let context = CheckContext {
            state,
            config: &self.config,
            loads: &self.loads,
            pins: &self.pins,
            table,
            before: &held.lines,
            earlier: &held.earlier,
            typical: state.typical_rate(),
            elsewhere: &elsewhere,
        };
        let findings = self.findings(&context, proposed, &wanted);
        let (outcome, instead) = self.decide(&context, &wanted, &findings);
        self.lay(state, table, instead.as_ref().unwrap_or(&wanted));
        let fits = if let Outcome::Nearest { fits, .. } = outcome { fits } else { 1.0 };
        let relief = &mut self.tables.entry(table).or_default().relief;
        let mut follows = relief.unwrap_or(AdmissionLimit::unlimited(state.now));
        // What failed long ago refuses nobody now: reports may have stopped under way.
        let fresh = state.now - state.measured_at <= self.config.answers_within;
        follows.update(fits, if fresh { state.failure_rate } else { 0.0 }, state.now);
        *relief = Some(follows).filter(|relief| relief.share < 1.0);
        let verdict = Verdict { table, at: state.now, findings, outcome };
        self.note(&verdict);
        (verdict, instead)
    }

    fn decide(
        &self,
        context: &CheckContext,
        wanted: &Weights,
        findings: &[Finding],
    ) -> (Outcome, Option<Weights>) {
        if findings.is_empty() {
            let empty = wanted.is_empty() && !context.before.is_empty();
            return (if empty { Outcome::Empty } else { Outcome::Fine }, None);
        }
        if self.mode == Mode::Report {
            return (Outcome::Reported, None);
        }
        // Odd weights alone are dropped: what is left was found fine.
        if findings.iter().all(|finding| finding.check == Check::NotFinite) {
            return (Outcome::Nearest { moved: 0.0, fits: 1.0 }, Some(wanted.clone()));
        }
        if context.may_stay() {
            return (Outcome::Kept, Some(context.before.clone()));
        }
        let found = nearest(context, wanted);
        // What was refused for its fragility alone goes out where the nearest is no better.
        let fragile = findings.iter().all(|finding| finding.check == Check::Fragile);
        if found.lines.is_empty() || fragile && context.fragile(&found.lines).is_some() {
            return (Outcome::NothingBetter, None);
        }
        (Outcome::Nearest { moved: found.moved, fits: found.fits }, Some(found.lines))
    }

    /// What is in place before the guard was asked anything.
    pub fn set_current(&mut self, state: &State, table: u16, lines: &Weights) {
        self.lay(state, table, &normalize(lines));
    }

    /// A table is laid by parts, judged or not.
    fn lay(&mut self, state: &State, table: u16, lines: &Weights) {
        self.loads.publish(table, lines, state.now, self.max_table_lifetime);
        let held = self.tables.entry(table).or_default();
        if state.now - held.turned_at >= self.config.window {
            held.earlier = std::mem::replace(&mut held.next, held.lines.clone());
            held.turned_at = state.now;
        }
        for empty in [&mut held.earlier, &mut held.next].into_iter().filter(|then| then.is_empty()) {
            empty.clone_from(&held.lines);
        }
        held.lines.clone_from(lines);
        held.zones = zones(state, lines);
    }

    /// The part of a table's queries that is let in, where it is less than all.
    pub fn admission_limit(&self, table: u16) -> Option<&AdmissionLimit> {
        self.tables.get(&table)?.relief.as_ref().filter(|_| self.mode == Mode::Enforce)
    }

    fn note(&mut self, verdict: &Verdict) {
        *self.outcomes.entry(verdict.outcome.name()).or_default() += 1;
        for finding in &verdict.findings {
            *self.findings.entry(finding.check.name()).or_default() += 1;
        }
        if verdict.outcome != Outcome::Fine {
            if self.told.len() == TOLD {
                self.told.pop_front();
            }
            self.told.push_back(verdict.clone());
        }
    }

    /// The last verdicts that were not fine, newest first.
    pub fn recent_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.told.iter().rev()
    }

    /// The mode of further tries that may go out for a class: one that must not run twice has none but where
    /// it is proven not to have run.
    pub fn retry_mode(&mut self, table: u16, class: u16, once: bool, tries: u8, now: f64) -> u8 {
        if !once || tries <= RETRY_UNPROCESSED || self.is_lifted(Check::Twice, now) {
            return tries;
        }
        let finding = Finding {
            check: Check::Twice,
            servers: Vec::new(),
            value: f64::from(class),
            limit: 0.0,
            data_age: 0.0,
        };
        let enforced = self.mode == Mode::Enforce;
        let outcome = if enforced { Outcome::Nearest { moved: 0.0, fits: 1.0 } } else { Outcome::Reported };
        self.note(&Verdict { table, at: now, findings: vec![finding], outcome });
        if enforced {
            NO_RETRY
        } else {
            tries
        }
    }

    /// Words that have run out are forgotten.
    pub fn expire(&mut self, now: f64) {
        self.overrides.retain(|o| o.expires_at > now);
        self.pins.retain(|pin| pin.expires_at > now);
        self.loads.expire(now);
    }
}
