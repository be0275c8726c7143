//! What the orders of a pilot add up to: which lines each asker may use, and since which version.
//!
//! [`Tables`] is the [`Writer`] that orders go to. Every front reads from it and decides nothing anew.
//! It knows no sockets, clocks or files: the time comes in with each call, in seconds.
//!
//! A round is written between [`Tables::open`] and [`Tables::close`]; readers see it whole or not at all,
//! as nothing is read in between.

mod history;
mod index;
mod pull;
mod versions;

pub use history::{Change, History, News};
pub use index::{Index, Line, Spread};
pub use pull::{Kind, Pull};
pub use versions::{frozen, Kept, Lines, Refusal, Versions};

use oatlever::round::{classes_in_mask, Acknowledgement, Actions, Address, Writer, ALL_TABLES};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// The level and the mode of further tries where none was ordered.
const ALL: (f64, u8) = (1.0, 0);

/// Versions kept of each table, where nothing else is set.
const VERSIONS: usize = 64;

/// What an asker may use for a class now.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub table: u16,
    /// The version that last changed these lines.
    pub version: u64,
    pub index: &'a Index,
    /// Part of the class that is let in, or queries a second, as the site's levels say.
    pub level: f64,
    /// Mode of a further try.
    pub tries: u8,
}

/// Whoever looks at tables before they go out, and may put other lines in their place.
pub trait Review {
    /// The tables that are looked at next, all of one round, as they are wanted.
    fn expect(&mut self, _proposals: &BTreeMap<u16, Lines>) {}
    /// Lines that are to go out instead; none where these may. `users` are those who use the table.
    fn lines(&mut self, table: u16, lines: &Lines, users: &BTreeSet<u16>) -> Option<Lines>;
    /// The level and the mode of further tries of a class that are to go out.
    fn level(&mut self, table: u16, class: u16, level: f64, tries: u8) -> (f64, u8);
}

/// Lets everything out.
pub struct Unreviewed;

impl Review for Unreviewed {
    fn lines(&mut self, _: u16, _: &Lines, _: &BTreeSet<u16>) -> Option<Lines> {
        None
    }

    fn level(&mut self, _: u16, _: u16, level: f64, tries: u8) -> (f64, u8) {
        (level, tries)
    }
}

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<Address, f64>,
    /// By class, as ordered.
    levels: BTreeMap<u16, (f64, u8)>,
    /// By class, as readers see them, where they are not let in whole and never tried again.
    shown: BTreeMap<u16, (f64, u8)>,
    index: Index,
    version: u64,
    users: BTreeSet<u16>,
    versions: Versions,
    /// The version it was rolled back to, and its lines then.
    frozen: Option<(u64, Lines)>,
    /// Readers see other lines than the decisions', by a review.
    replaced: bool,
}

/// A round as it is being written.
#[derive(Debug, Default)]
struct Open {
    now: f64,
    round: u64,
    news: News,
    /// Tables with lines touched.
    touched: BTreeSet<u16>,
    /// Tables with levels touched.
    turned: BTreeSet<u16>,
    /// Lines and levels to each asker.
    cost: BTreeMap<u16, f64>,
    mark: Option<u64>,
}

pub struct Tables {
    classes: usize,
    tables: Vec<Table>,
    bound: Vec<Option<u16>>,
    withdrawn: BTreeSet<Address>,
    /// Servers that frozen tables must not give more than the decisions do.
    cold: BTreeSet<Address>,
    kept: usize,
    version: u64,
    open: Open,
    actions: Actions,
    pub pull: Pull,
    pub history: History,
}

impl Tables {
    /// For so many askers and classes; `pull` keeps the book of what waits, `kept` changes are remembered.
    pub fn new(askers: usize, classes: usize, pull: Pull, kept: usize) -> Self {
        Tables {
            classes,
            tables: Vec::new(),
            bound: vec![None; askers],
            withdrawn: BTreeSet::new(),
            cold: BTreeSet::new(),
            kept: VERSIONS,
            version: 0,
            open: Open::default(),
            actions: Actions::default(),
            pull,
            history: History::keep(kept),
        }
    }

    /// The newest version: it counts rounds that changed something.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What an asker may use for a class; none before it is bound.
    pub fn held(&self, asker: u16, class: u16) -> Option<View<'_>> {
        let table = (*self.bound.get(usize::from(asker))?)?;
        let found = self.tables.get(usize::from(table))?;
        let (level, tries) = found.shown.get(&class).copied().unwrap_or(ALL);
        Some(View { table, version: found.version, index: &found.index, level, tries })
    }

    /// The table that an asker is bound to.
    pub fn bound(&self, asker: u16) -> Option<u16> {
        self.bound.get(usize::from(asker)).copied().flatten()
    }

    /// Each table's number, version, lines and users.
    pub fn all(&self) -> impl Iterator<Item = (u16, u64, &Index, usize)> {
        let used = self.tables.iter().enumerate().filter(|(_, t)| !t.users.is_empty() || !t.lines.is_empty());
        used.map(|(n, t)| (n as u16, t.version, &t.index, t.users.len()))
    }

    /// Those who use a table.
    pub fn users(&self, table: u16) -> impl Iterator<Item = u16> + '_ {
        self.tables.get(usize::from(table)).into_iter().flat_map(|held| held.users.iter().copied())
    }

    /// Whether any table has a line for a server in this range.
    pub fn names(&self, servers: RangeInclusive<Address>) -> bool {
        self.tables.iter().any(|table| table.lines.range(servers.clone()).next().is_some())
    }

    /// Starts a round of orders.
    pub fn open(&mut self, now: f64, round: u64, news: News) {
        self.open = Open { now, round, news, ..Open::default() };
    }

    /// Ends it: indexes, the version, the channel's book and the history follow the orders. Returns what
    /// the program itself is to do.
    pub fn close(&mut self) -> Actions {
        self.close_reviewed(&mut Unreviewed)
    }

    /// The same, with a review of each table that changes before anybody can read it. Tables that are frozen
    /// or were replaced by a review are looked at in every round: what they show may have drained or warmed.
    pub fn close_reviewed(&mut self, review: &mut dyn Review) -> Actions {
        let open = std::mem::take(&mut self.open);
        let held = self.tables.iter().enumerate().filter(|(_, held)| held.frozen.is_some() || held.replaced);
        let mut tables: BTreeSet<u16> = held.map(|(place, _)| place as u16).collect();
        tables.extend(open.touched.iter().chain(&open.turned));
        let laid = self.lay(&tables, &open, review);
        for (asker, lines) in &open.cost {
            self.pull.order(*asker, *lines, open.mark, self.version, open.now);
        }
        // What moved without an order is under way to its users like any change.
        for (table, moved) in laid.into_iter().filter(|(table, _)| !open.touched.contains(table)) {
            self.charge_users(table, moved, open.now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Keeps so many versions of each table.
    pub fn keep_versions(&mut self, kept: usize) {
        self.kept = kept;
    }

    /// The versions kept of a table, oldest first.
    pub fn versions(&self, table: u16) -> Option<&Versions> {
        self.tables.get(usize::from(table)).map(|held| &held.versions)
    }

    /// The version that a table is frozen at.
    pub fn frozen_at(&self, table: u16) -> Option<u64> {
        self.tables.get(usize::from(table))?.frozen.as_ref().map(|(version, _)| *version)
    }

    pub fn any_frozen(&self) -> bool {
        self.tables.iter().any(|held| held.frozen.is_some())
    }

    /// Which servers are cold now: frozen tables give them no more than the decisions do.
    pub fn spare(&mut self, cold: BTreeSet<Address>) {
        self.cold = cold;
    }

    /// Freezes a table at an old version. Returns the version that brings it.
    pub fn roll_back(
        &mut self,
        table: u16,
        version: u64,
        now: f64,
        review: &mut dyn Review,
    ) -> Result<u64, Refusal> {
        let held = self.tables.get_mut(usize::from(table)).ok_or(Refusal::NoTable)?;
        let lines = held.versions.find(version).ok_or(Refusal::NoVersion)?.lines.clone();
        if lines.is_empty() {
            return Err(Refusal::Empty);
        }
        held.frozen = Some((version, lines));
        Ok(self.lay_by_hand(table, now, review))
    }

    /// Freezes a table at lines written by hand, as version 0. Returns the version that brings it.
    pub fn freeze(
        &mut self,
        table: u16,
        lines: Lines,
        now: f64,
        review: &mut dyn Review,
    ) -> Result<u64, Refusal> {
        let held = self.tables.get_mut(usize::from(table)).ok_or(Refusal::NoTable)?;
        if !lines.values().any(|weight| *weight > 0.0) {
            return Err(Refusal::Empty);
        }
        held.frozen = Some((0, lines));
        Ok(self.lay_by_hand(table, now, review))
    }

    /// Lets a frozen table follow the decisions again. Returns the version that brings it.
    pub fn release(&mut self, table: u16, now: f64, review: &mut dyn Review) -> Result<u64, Refusal> {
        let held = self.tables.get_mut(usize::from(table)).ok_or(Refusal::NoTable)?;
        held.frozen.take().ok_or(Refusal::NotFrozen)?;
        Ok(self.lay_by_hand(table, now, review))
    }

    /// Lays a table outside of the decisions' orders.
    fn lay_by_hand(&mut self, table: u16, now: f64, review: &mut dyn Review) -> u64 {
        let open = Open { now, ..Open::default() };
        for (table, moved) in self.lay(&[table].into(), &open, review) {
            self.charge_users(table, moved, now);
        }
        self.version
    }

    fn charge_users(&mut self, table: u16, lines: usize, now: f64) {
        for asker in &self.tables[usize::from(table)].users {
            self.pull.order(*asker, lines as f64, None, self.version, now);
        }
    }

    /// What may be used of a table: the decisions' lines, or those it is frozen at; none that is withdrawn.
    fn usable(&self, table: u16) -> Lines {
        let held = &self.tables[usize::from(table)];
        let open = held.lines.iter().filter(|(server, _)| !self.withdrawn.contains(server));
        let own: Lines = open.map(|(server, weight)| (*server, *weight)).collect();
        match &held.frozen {
            Some((_, old)) => frozen(old, &own, |server| self.cold.contains(server)),
            None => own,
        }
    }

    /// Makes tables what readers are to see from now on, all as one version, if anything differs. Returns
    /// those that changed, with the number of lines that moved.
    fn lay(&mut self, tables: &BTreeSet<u16>, open: &Open, review: &mut dyn Review) -> Vec<(u16, usize)> {
        let (mut laid, next) = (Vec::new(), self.version + 1);
        let there = tables.iter().filter(|table| usize::from(**table) < self.tables.len());
        let wanted: BTreeMap<u16, Lines> = there.map(|table| (*table, self.usable(*table))).collect();
        review.expect(&wanted);
        for (table, own) in &wanted {
            let held = &mut self.tables[usize::from(*table)];
            let instead = review.lines(*table, own, &held.users);
            held.replaced = instead.is_some();
            let lines = instead.as_ref().unwrap_or(own);
            let index = Index::of(lines.iter().map(|(server, weight)| (*server, *weight)));
            let mut shown = BTreeMap::new();
            for class in 0..self.classes as u16 {
                let ordered = held.levels.get(&class).copied().unwrap_or(ALL);
                let level = review.level(*table, class, ordered.0, ordered.1);
                held.replaced |= level.0 != ordered.0;
                if level != ALL {
                    shown.insert(class, level);
                }
            }
            let turned = open.turned.contains(table) || shown != held.shown;
            held.shown = shown;
            let moved = moved(&held.index, &index);
            if moved.is_empty() && !turned {
                continue;
            }
            laid.push((*table, moved.len()));
            held.index = index;
            held.version = next;
            let lines = held.index.lines().iter().map(|line| (line.server, line.weight)).collect();
            held.versions.keep(Kept { version: next, at: open.now, lines }, self.kept);
            let levels = if turned { held.shown.clone() } else { BTreeMap::new() };
            let (at, round, news) = (open.now, open.round, open.news);
            self.history.push(Change { version: next, at, round, news, table: *table, lines: moved, levels });
        }
        if !laid.is_empty() {
            self.version = next;
        }
        laid
    }

    /// An answer built from what is held now goes out to an asker.
    pub fn hand_out(&mut self, asker: u16, class: u16, now: f64) {
        self.pull.hand_out(asker, class, self.version, now);
    }

    /// What has left the channel by now, in the order it was ordered.
    pub fn acknowledgements(&mut self, now: f64) -> Vec<Acknowledgement> {
        self.pull.acknowledgements(now)
    }

    /// A stream broke: the asker holds no table here any more, and nothing waits for it.
    pub fn leave(&mut self, asker: u16) {
        if let Some(bound) = self.bound.get_mut(usize::from(asker)) {
            if let Some(table) = bound.take() {
                self.tables[usize::from(table)].users.remove(&asker);
            }
            self.pull.leave(asker);
        }
    }

    fn table(&mut self, number: u16) -> &mut Table {
        let place = usize::from(number);
        if place >= self.tables.len() {
            self.tables.resize(place + 1, Table::default());
        }
        &mut self.tables[place]
    }

    fn charge(&mut self, table: u16) {
        let users = &self.tables[usize::from(table)].users;
        for asker in users {
            *self.open.cost.entry(*asker).or_default() += 1.0;
        }
    }
}

/// Server, weight before, weight after, of all lines that differ.
fn moved(before: &Index, after: &Index) -> Vec<(Address, f64, f64)> {
    let mut lines: BTreeMap<Address, (f64, f64)> = BTreeMap::new();
    before.lines().iter().for_each(|line| lines.entry(line.server).or_default().0 = line.weight);
    after.lines().iter().for_each(|line| lines.entry(line.server).or_default().1 = line.weight);
    let differing = lines.into_iter().filter(|(_, (before, after))| before != after);
    differing.map(|(server, (before, after))| (server, before, after)).collect()
}

impl Writer for Tables {
    fn weigh(&mut self, table: u16, server: Address, weight: f64) {
        self.open.touched.insert(table);
        let lines = &mut self.table(table).lines;
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
        self.charge(table);
    }

    fn clear(&mut self, table: u16) {
        self.open.touched.insert(table);
        let held = self.table(table);
        held.lines.clear();
        held.levels.clear();
        self.open.turned.insert(table);
        self.charge(table);
    }

    fn bind(&mut self, asker: u16, table: u16) {
        let Some(bound) = self.bound.get_mut(usize::from(asker)) else { return };
        if let Some(old) = bound.replace(table) {
            self.tables[usize::from(old)].users.remove(&asker);
        }
        let held = self.table(table);
        held.users.insert(asker);
        let lines = 1 + held.lines.len() + held.levels.len();
        *self.open.cost.entry(asker).or_default() += lines as f64;
    }

    fn withdraw(&mut self, server: Address, out: bool) {
        let holding = (0..self.tables.len()).filter(|place| self.tables[*place].lines.contains_key(&server));
        for place in holding.map(|place| place as u16).collect::<Vec<_>>() {
            self.open.touched.insert(place);
            self.charge(place);
        }
        if out {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }

    fn admit(&mut self, table: u16, classes: u16, level: f64, tries: u8) {
        let named = classes_in_mask(classes, self.classes);
        let last = self.tables.len().saturating_sub(1) as u16;
        for number in if table == ALL_TABLES { 0..=last } else { table..=table } {
            let held = self.table(number);
            held.levels.extend(named.clone().map(|class| (class, (level, tries))));
            self.open.turned.insert(number);
            self.charge(number);
        }
    }

    fn check_health(&mut self, server: Address) {
        self.actions.checks.push(server);
    }

    fn mark(&mut self, number: u64, everyone: bool) {
        self.open.mark = Some(number);
        if everyone {
            let bound = self.bound.iter().enumerate().filter(|(_, table)| table.is_some());
            for (asker, _) in bound {
                self.open.cost.entry(asker as u16).or_default();
            }
        }
    }

    // The roster is read without being asked.
    fn follow_list(&mut self) {}
    fn fetch_list(&mut self) {}

    fn set_timer(&mut self, after: f64, number: u64) {
        self.actions.timers.push((after, number));
    }

    fn note(&mut self, text: &str) {
        self.actions.notes.push(text.to_string());
    }
}
