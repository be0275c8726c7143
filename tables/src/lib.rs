//! The routing tables that the pilot's decisions result in: which lines each asker may use, by version.
//!
//! [`Tables`] is the [`Writer`] that decisions are written to. Every front reads from it and makes no
//! decisions of its own. It performs no I/O and reads no clock: the time is passed in with each call, in
//! seconds.
//!
//! A round is written between [`Tables::begin_round`] and [`Tables::end_round`]. Nothing is read in
//! between, so that readers see a round completely or not at all.

mod history;
mod index;
mod pull;
mod versions;

pub use history::{Change, History, RoundInputs};
pub use index::{GoldenSequence, Line, WeightedIndex};
pub use pull::{AskerKind, DeliveryTracker};
pub use versions::{frozen_lines, FreezeError, Lines, TableVersion, Versions};

use oatlever::round::{classes_in_mask, Acknowledgement, Actions, Address, Writer, ALL_TABLES};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// The admission level and the retry mode of a class without decision: admit all, no retries.
const DEFAULT_LEVEL: (f64, u8) = (1.0, 0);

/// Default number of versions retained of each table.
const DEFAULT_MAX_VERSIONS: usize = 64;

/// The table of an asker as it applies to a class.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub table: u16,
    /// The version that last changed these lines.
    pub version: u64,
    pub index: &'a WeightedIndex,
    /// Admission level of the class: the share admitted, or queries per second, as the settings define.
    pub level: f64,
    /// How failed tries are repeated.
    pub retry_mode: u8,
}

/// Reviews tables before they are published and may replace their lines and levels.
pub trait Review {
    /// Called first with all proposed tables of a round.
    fn prepare(&mut self, _proposals: &BTreeMap<u16, Lines>) {}
    /// Returns the lines to publish instead, or `None` to accept the proposed ones. `users` are the askers
    /// bound to the table.
    fn review_lines(&mut self, table: u16, lines: &Lines, users: &BTreeSet<u16>) -> Option<Lines>;
    /// Returns the admission level and the retry mode of a class to publish.
    fn review_level(&mut self, table: u16, class: u16, level: f64, retry_mode: u8) -> (f64, u8);
}

/// Accepts everything.
pub struct NoReview;

impl Review for NoReview {
    fn review_lines(&mut self, _: u16, _: &Lines, _: &BTreeSet<u16>) -> Option<Lines> {
        None
    }

    fn review_level(&mut self, _: u16, _: u16, level: f64, retry_mode: u8) -> (f64, u8) {
        (level, retry_mode)
    }
}

#[derive(Clone, Debug, Default)]
struct Table {
    /// The lines of the decisions.
    lines: BTreeMap<Address, f64>,
    /// By class: admission level and retry mode of the decisions.
    levels: BTreeMap<u16, (f64, u8)>,
    /// By class: the published admission level and retry mode, if they differ from the default.
    published_levels: BTreeMap<u16, (f64, u8)>,
    /// The published lines.
    index: WeightedIndex,
    version: u64,
    users: BTreeSet<u16>,
    versions: Versions,
    /// The version it is frozen at (0 for lines set by an operator) and that version's lines.
    frozen: Option<(u64, Lines)>,
    /// Whether a review replaced lines or levels of the decisions.
    replaced: bool,
}

/// The round being written.
#[derive(Debug, Default)]
struct PendingRound {
    now: f64,
    number: u64,
    inputs: RoundInputs,
    /// Tables whose lines were written.
    written_lines: BTreeSet<u16>,
    /// Tables whose levels were written.
    written_levels: BTreeSet<u16>,
    /// By asker: number of lines and levels sent to it.
    cost: BTreeMap<u16, f64>,
    mark: Option<u64>,
}

/// All tables, the askers bound to them, pending deliveries and the history of changes.
pub struct Tables {
    classes: usize,
    tables: Vec<Table>,
    /// By asker: the table it is bound to.
    bindings: Vec<Option<u16>>,
    withdrawn: BTreeSet<Address>,
    /// Servers that frozen tables must not give a greater share than the decisions do.
    cold: BTreeSet<Address>,
    max_versions: usize,
    version: u64,
    pending: PendingRound,
    actions: Actions,
    pub deliveries: DeliveryTracker,
    pub history: History,
}

impl Tables {
    /// Creates the tables for a number of askers and classes; the history keeps the latest `max_changes`
    /// changes.
    pub fn new(askers: usize, classes: usize, deliveries: DeliveryTracker, max_changes: usize) -> Self {
        Tables {
            classes,
            tables: Vec::new(),
            bindings: vec![None; askers],
            withdrawn: BTreeSet::new(),
            cold: BTreeSet::new(),
            max_versions: DEFAULT_MAX_VERSIONS,
            version: 0,
            pending: PendingRound::default(),
            actions: Actions::default(),
            deliveries,
            history: History::with_capacity(max_changes),
        }
    }

    /// The latest version, incremented by every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// An asker's table as it applies to a class; `None` before the asker is bound.
    pub fn view(&self, asker: u16, class: u16) -> Option<View<'_>> {
        let number = (*self.bindings.get(usize::from(asker))?)?;
        let table = self.tables.get(usize::from(number))?;
        let (level, retry_mode) = table.published_levels.get(&class).copied().unwrap_or(DEFAULT_LEVEL);
        Some(View { table: number, version: table.version, index: &table.index, level, retry_mode })
    }

    /// The table that an asker is bound to.
    pub fn bound_table(&self, asker: u16) -> Option<u16> {
        self.bindings.get(usize::from(asker)).copied().flatten()
    }

    /// Number, version, lines and number of users of each table that has lines or users.
    pub fn summaries(&self) -> impl Iterator<Item = (u16, u64, &WeightedIndex, usize)> {
        let in_use =
            self.tables.iter().enumerate().filter(|(_, t)| !t.users.is_empty() || !t.lines.is_empty());
        in_use.map(|(n, t)| (n as u16, t.version, &t.index, t.users.len()))
    }

    /// The askers bound to a table.
    pub fn users(&self, table: u16) -> impl Iterator<Item = u16> + '_ {
        self.tables.get(usize::from(table)).into_iter().flat_map(|table| table.users.iter().copied())
    }

    /// Whether any table has a line for a server in a range.
    pub fn references_any(&self, servers: RangeInclusive<Address>) -> bool {
        self.tables.iter().any(|table| table.lines.range(servers.clone()).next().is_some())
    }

    /// Starts writing a round of decisions.
    pub fn begin_round(&mut self, now: f64, number: u64, inputs: RoundInputs) {
        self.pending = PendingRound { now, number, inputs, ..PendingRound::default() };
    }

    /// Publishes the round: updates indexes, the version, pending deliveries and the history. Returns the
    /// actions that the pilot itself has to take.
    pub fn end_round(&mut self) -> Actions {
        self.end_round_reviewed(&mut NoReview)
    }

    /// Publishes the round after a review of each table that changes. Tables that are frozen or were
    /// replaced by a review are reviewed in every round, since their servers may have drained or warmed up.
    pub fn end_round_reviewed(&mut self, review: &mut dyn Review) -> Actions {
        let round = std::mem::take(&mut self.pending);
        let overridden = self.tables.iter().enumerate().filter(|(_, t)| t.frozen.is_some() || t.replaced);
        let mut tables: BTreeSet<u16> = overridden.map(|(number, _)| number as u16).collect();
        tables.extend(round.written_lines.iter().chain(&round.written_levels));
        let published = self.publish(&tables, &round, review);
        for (asker, lines) in &round.cost {
            self.deliveries.enqueue(*asker, *lines, round.mark, self.version, round.now);
        }
        // Lines that changed without a decision have to be delivered as well.
        for (table, lines) in published.into_iter().filter(|(table, _)| !round.written_lines.contains(table))
        {
            self.enqueue_for_users(table, lines, round.now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Sets the number of versions to retain of each table.
    pub fn set_max_versions(&mut self, max: usize) {
        self.max_versions = max;
    }

    /// The retained versions of a table, oldest first.
    pub fn versions(&self, table: u16) -> Option<&Versions> {
        self.tables.get(usize::from(table)).map(|table| &table.versions)
    }

    /// The version that a table is frozen at.
    pub fn frozen_version(&self, table: u16) -> Option<u64> {
        self.tables.get(usize::from(table))?.frozen.as_ref().map(|(version, _)| *version)
    }

    pub fn any_frozen(&self) -> bool {
        self.tables.iter().any(|table| table.frozen.is_some())
    }

    /// Sets the cold servers, which frozen tables give no greater share than the decisions do.
    pub fn set_cold(&mut self, cold: BTreeSet<Address>) {
        self.cold = cold;
    }

    /// Freezes a table at an old version. Returns the version in which this takes effect.
    pub fn roll_back(
        &mut self,
        table: u16,
        version: u64,
        now: f64,
        review: &mut dyn Review,
    ) -> Result<u64, FreezeError> {
        let state = self.tables.get_mut(usize::from(table)).ok_or(FreezeError::NoTable)?;
        let lines = state.versions.find(version).ok_or(FreezeError::NoVersion)?.lines.clone();
        if lines.is_empty() {
            return Err(FreezeError::Empty);
        }
        state.frozen = Some((version, lines));
        Ok(self.publish_override(table, now, review))
    }

    /// Freezes a table at lines set by an operator, as version 0. Returns the version in which this takes
    /// effect.
    pub fn freeze(
        &mut self,
        table: u16,
        lines: Lines,
        now: f64,
        review: &mut dyn Review,
    ) -> Result<u64, FreezeError> {
        let state = self.tables.get_mut(usize::from(table)).ok_or(FreezeError::NoTable)?;
        if !lines.values().any(|weight| *weight > 0.0) {
            return Err(FreezeError::Empty);
        }
        state.frozen = Some((0, lines));
        Ok(self.publish_override(table, now, review))
    }

    /// Lets a frozen table follow the decisions again. Returns the version in which this takes effect.
    pub fn release(&mut self, table: u16, now: f64, review: &mut dyn Review) -> Result<u64, FreezeError> {
        let state = self.tables.get_mut(usize::from(table)).ok_or(FreezeError::NoTable)?;
        state.frozen.take().ok_or(FreezeError::NotFrozen)?;
        Ok(self.publish_override(table, now, review))
    }

    /// Publishes a table outside of a round and returns the latest version.
    fn publish_override(&mut self, table: u16, now: f64, review: &mut dyn Review) -> u64 {
        let round = PendingRound { now, ..PendingRound::default() };
        for (table, lines) in self.publish(&[table].into(), &round, review) {
            self.enqueue_for_users(table, lines, now);
        }
        self.version
    }

    fn enqueue_for_users(&mut self, table: u16, lines: usize, now: f64) {
        for asker in &self.tables[usize::from(table)].users {
            self.deliveries.enqueue(*asker, lines as f64, None, self.version, now);
        }
    }

    /// The lines to propose for a table: those of the decisions without withdrawn servers, or those that it
    /// is frozen at.
    fn proposed_lines(&self, table: u16) -> Lines {
        let state = &self.tables[usize::from(table)];
        let usable = state.lines.iter().filter(|(server, _)| !self.withdrawn.contains(server));
        let current: Lines = usable.map(|(server, weight)| (*server, *weight)).collect();
        match &state.frozen {
            Some((_, old)) => frozen_lines(old, &current, |server| self.cold.contains(server)),
            None => current,
        }
    }

    /// Publishes the reviewed state of tables, all under one new version if anything changed. Returns the
    /// changed tables and the number of lines that changed in each.
    fn publish(
        &mut self,
        tables: &BTreeSet<u16>,
        round: &PendingRound,
        review: &mut dyn Review,
    ) -> Vec<(u16, usize)> {
        let (mut published, next) = (Vec::new(), self.version + 1);
        let existing = tables.iter().filter(|table| usize::from(**table) < self.tables.len());
        let proposals: BTreeMap<u16, Lines> =
            existing.map(|table| (*table, self.proposed_lines(*table))).collect();
        review.prepare(&proposals);
        for (table, proposed) in &proposals {
            let state = &mut self.tables[usize::from(*table)];
            let replacement = review.review_lines(*table, proposed, &state.users);
            state.replaced = replacement.is_some();
            let lines = replacement.as_ref().unwrap_or(proposed);
            let index = WeightedIndex::new(lines.iter().map(|(server, weight)| (*server, *weight)));
            let mut levels = BTreeMap::new();
            for class in 0..self.classes as u16 {
                let decided = state.levels.get(&class).copied().unwrap_or(DEFAULT_LEVEL);
                let level = review.review_level(*table, class, decided.0, decided.1);
                state.replaced |= level.0 != decided.0;
                if level != DEFAULT_LEVEL {
                    levels.insert(class, level);
                }
            }
            let levels_changed = round.written_levels.contains(table) || levels != state.published_levels;
            state.published_levels = levels;
            let changed_lines = diff(&state.index, &index);
            if changed_lines.is_empty() && !levels_changed {
                continue;
            }
            published.push((*table, changed_lines.len()));
            state.index = index;
            state.version = next;
            let lines = state.index.lines().iter().map(|line| (line.server, line.weight)).collect();
            let version = TableVersion { version: next, at: round.now, lines };
            state.versions.push(version, self.max_versions);
            let levels = if levels_changed { state.published_levels.clone() } else { BTreeMap::new() };
            self.history.push(Change {
                version: next,
                at: round.now,
                round: round.number,
                inputs: round.inputs,
                table: *table,
                lines: changed_lines,
                levels,
            });
        }
        if !published.is_empty() {
            self.version = next;
        }
        published
    }

    /// Records that an asker is given an answer of a class, built from the latest version.
    pub fn record_answer(&mut self, asker: u16, class: u16, now: f64) {
        self.deliveries.record_answer(asker, class, self.version, now);
    }

    /// Acknowledgements of the messages delivered by now, in the order of the messages.
    pub fn acknowledgements(&mut self, now: f64) -> Vec<Acknowledgement> {
        self.deliveries.acknowledgements(now)
    }

    /// Unbinds an asker whose stream was closed and drops its pending messages.
    pub fn disconnect(&mut self, asker: u16) {
        if let Some(binding) = self.bindings.get_mut(usize::from(asker)) {
            if let Some(table) = binding.take() {
                self.tables[usize::from(table)].users.remove(&asker);
            }
            self.deliveries.disconnect(asker);
        }
    }

    /// A table by number, created if it does not exist.
    fn table_mut(&mut self, number: u16) -> &mut Table {
        let index = usize::from(number);
        if index >= self.tables.len() {
            self.tables.resize(index + 1, Table::default());
        }
        &mut self.tables[index]
    }

    /// Adds one line to the round's cost of each user of a table.
    fn add_cost(&mut self, table: u16) {
        for asker in &self.tables[usize::from(table)].users {
            *self.pending.cost.entry(*asker).or_default() += 1.0;
        }
    }
}

/// Server, weight before and weight after of all lines that differ.
fn diff(before: &WeightedIndex, after: &WeightedIndex) -> Vec<(Address, f64, f64)> {
    let mut lines: BTreeMap<Address, (f64, f64)> = BTreeMap::new();
    before.lines().iter().for_each(|line| lines.entry(line.server).or_default().0 = line.weight);
    after.lines().iter().for_each(|line| lines.entry(line.server).or_default().1 = line.weight);
    let differing = lines.into_iter().filter(|(_, (before, after))| before != after);
    differing.map(|(server, (before, after))| (server, before, after)).collect()
}

impl Writer for Tables {
    fn set_weight(&mut self, table: u16, server: Address, weight: f64) {
        self.pending.written_lines.insert(table);
        let lines = &mut self.table_mut(table).lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
        self.add_cost(table);
    }

    fn clear_table(&mut self, table: u16) {
        self.pending.written_lines.insert(table);
        let state = self.table_mut(table);
        state.lines.clear();
        state.levels.clear();
        self.pending.written_levels.insert(table);
        self.add_cost(table);
    }

    fn bind(&mut self, asker: u16, table: u16) {
        let Some(binding) = self.bindings.get_mut(usize::from(asker)) else { return };
        if let Some(old) = binding.replace(table) {
            self.tables[usize::from(old)].users.remove(&asker);
        }
        let state = self.table_mut(table);
        state.users.insert(asker);
        let lines = 1 + state.lines.len() + state.levels.len();
        *self.pending.cost.entry(asker).or_default() += lines as f64;
    }

    fn withdraw(&mut self, server: Address, withdrawn: bool) {
        let affected = (0..self.tables.len()).filter(|n| self.tables[*n].lines.contains_key(&server));
        for table in affected.map(|n| n as u16).collect::<Vec<_>>() {
            self.pending.written_lines.insert(table);
            self.add_cost(table);
        }
        if withdrawn {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }

    fn set_level(&mut self, table: u16, classes: u16, level: f64, retry_mode: u8) {
        let classes = classes_in_mask(classes, self.classes);
        let last = self.tables.len().saturating_sub(1) as u16;
        for number in if table == ALL_TABLES { 0..=last } else { table..=table } {
            let state = self.table_mut(number);
            state.levels.extend(classes.clone().map(|class| (class, (level, retry_mode))));
            self.pending.written_levels.insert(number);
            self.add_cost(number);
        }
    }

    fn check_health(&mut self, server: Address) {
        self.actions.checks.push(server);
    }

    fn mark(&mut self, number: u64, everyone: bool) {
        self.pending.mark = Some(number);
        if everyone {
            let bound = self.bindings.iter().enumerate().filter(|(_, table)| table.is_some());
            for (asker, _) in bound {
                self.pending.cost.entry(asker as u16).or_default();
            }
        }
    }

    // The server list is polled anyway, so that requests for it need no action.
    fn follow_list(&mut self) {}
    fn fetch_list(&mut self) {}

    fn set_timer(&mut self, after: f64, number: u64) {
        self.actions.timers.push((after, number));
    }

    fn log(&mut self, text: &str) {
        self.actions.log_messages.push(text.to_string());
    }
}
