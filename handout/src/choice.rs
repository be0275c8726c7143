//! The addresses of an answer.

use crate::hosts::HeavyHitters;
use crate::ledger::Ledger;
use oatlever::round::Address;
use oatlever_tables::{GoldenSequence, Line, View, WeightedIndex};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// Times the mean of those who are known that somebody new may be worth: most are near it, few are far above.
const NEWCOMER: f64 = 2.0;

/// Draws that may hit what does not fit, until all lines are walked through.
const TRIES: usize = 8;

/// Who asks for what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Client {
    pub host: Ipv4Addr,
    pub class: u16,
    /// Queries a second of all that it is counted among.
    pub group_rate: f64,
}

/// How long answers live, s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetimes {
    pub normal: u32,
    /// Where a cold server is near.
    pub near_cold: u32,
    /// Answers may be in use so much longer.
    pub overstay: f64,
}

/// An answer: servers, the first first, and its lifetime in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub servers: Vec<Address>,
    pub lifetime: u32,
}

/// What answers did, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Times a cold server was passed over.
    pub cold_skipped: u64,
    /// Answers of nothing but cold servers without room.
    pub cold_only: u64,
}

pub struct AddressSelector {
    pub ledger: Ledger,
    pub rates: HeavyHitters,
    spreads: HashMap<(u16, u16), GoldenSequence>,
    /// Queries a second that each cold server may be brought by answers.
    cold: BTreeMap<Address, f64>,
    /// By table: whether its lines, as of a version, name a cold server; forgotten when the cold ones change.
    near: HashMap<u16, (u64, bool)>,
    lives: Lifetimes,
    /// s; until then somebody else's answers may be out there.
    unknown_until: f64,
    /// Nothing is counted, and no cold server passed over.
    plain: bool,
    pub counters: Counters,
}

impl AddressSelector {
    /// Remembers so many askers; the key is the ledger's. What others handed out before `start` is assumed to be in
    /// use as long as anything could be: cold servers get nothing until then.
    pub fn new(lives: Lifetimes, most: usize, key: (u64, u64), start: f64) -> Self {
        let (spreads, cold, near, counters) = Default::default();
        let unknown_until = start + f64::from(lives.normal) + lives.overstay;
        let (ledger, rates) = (Ledger::new(most, key), HeavyHitters::new(most));
        AddressSelector { ledger, rates, spreads, cold, near, lives, unknown_until, plain: false, counters }
    }

    /// Without a ledger: draws by weight, and nothing else.
    pub fn without_ledger(lives: Lifetimes) -> Self {
        AddressSelector { plain: true, ..AddressSelector::new(lives, 1, (0, 0), 0.0) }
    }

    /// So many queries of a class in so many seconds came to a server from an address, all since a time. It may go
    /// by an answer that has run out.
    pub fn record_queries(
        &mut self,
        server: Address,
        host: Ipv4Addr,
        class: u16,
        (queries, span): (f64, f64),
        since: f64,
        now: f64,
    ) {
        if self.plain || queries <= 0.0 || span <= 0.0 {
            return;
        }
        self.rates.add(host, class, queries, now);
        let worth = queries / span;
        self.ledger.record_use((host, class), &server, worth, since, now);
    }

    /// The cold servers of now, and what the tables give each of those who ask here, queries a second.
    pub fn set_cold_budgets(&mut self, cold: BTreeMap<Address, f64>, now: f64) {
        self.cold = cold;
        self.near.clear();
        self.ledger.expire(now);
    }

    /// Queries a second that a cold server may be brought; none for a warm one.
    pub fn budget(&self, server: &Address) -> Option<f64> {
        self.cold.get(server).copied()
    }

    /// Queries a second that an asker brings at most, as far as anybody knows.
    fn worth(&self, who: Client, now: f64) -> f64 {
        if let Some(own) = self.rates.estimate(who.host, who.class, now) {
            return own;
        }
        // Before anybody is known, one may be all of them.
        let unsure =
            if self.rates.tracked() == 0 { who.group_rate } else { NEWCOMER * self.rates.mean_rate(now) };
        self.rates.untracked_bound(now).unwrap_or(0.0).max(unsure)
    }

    /// What a cold server has left for an asker of this worth; none for a warm one.
    fn left(&mut self, server: &Address, who: Client, worth: f64, now: f64) -> Option<f64> {
        let budget = *self.cold.get(server)?;
        if now < self.unknown_until {
            return Some(f64::NEG_INFINITY);
        }
        let own = self.ledger.leased_to(who.host, who.class, server, now);
        Some(budget - (self.ledger.outstanding(server, now) - own).max(0.0) - worth)
    }

    /// Up to `most` addresses from what an asker may use; what is handed out is noted. None where the table has no
    /// line.
    pub fn answer(
        &mut self,
        view: &View,
        who: Client,
        most: usize,
        zone_of: impl Fn(&Address) -> Option<u16>,
        now: f64,
        mut chance: impl FnMut() -> f64,
    ) -> Option<Answer> {
        if view.index.is_empty() {
            return None;
        }
        let spread =
            self.spreads.entry((view.table, who.class)).or_insert_with(|| GoldenSequence::new(chance()));
        let part = spread.next_fraction();
        let mut drawn = view.index.sample(most, part, &mut chance);
        if self.plain {
            let servers = drawn.iter().map(|line| line.server).collect();
            return Some(Answer { servers, lifetime: self.lives.normal });
        }
        let worth = self.worth(who, now);
        let is_near = self.is_near(view);
        if is_near {
            self.pass_over(&mut drawn, view.index, who, worth, now, &mut chance);
        }
        self.reach_two_zones(&mut drawn, view.index, zone_of, &mut chance);
        let lifetime = if is_near { self.lives.near_cold } else { self.lives.normal };
        let ends = (now + f64::from(lifetime), self.lives.overstay);
        let servers: Vec<Address> = drawn.iter().map(|line| line.server).collect();
        self.ledger.record_answer((who.host, who.class), worth, servers.iter().copied(), ends, now);
        Some(Answer { servers, lifetime })
    }

    /// Whether a table names a cold server.
    fn is_near(&mut self, view: &View) -> bool {
        if self.cold.is_empty() {
            return false;
        }
        if let Some((_, near)) = self.near.get(&view.table).filter(|(version, _)| *version == view.version) {
            return *near;
        }
        let near = view.index.lines().iter().any(|line| self.cold.contains_key(&line.server));
        self.near.insert(view.table, (view.version, near));
        near
    }

    /// Puts others in the place of cold servers that have no room for this asker.
    fn pass_over(
        &mut self,
        drawn: &mut Vec<Line>,
        index: &WeightedIndex,
        who: Client,
        worth: f64,
        now: f64,
        chance: &mut impl FnMut() -> f64,
    ) {
        let most = drawn.len();
        let before = drawn.clone();
        drawn.retain(|line| self.left(&line.server, who, worth, now).is_none_or(|left| left >= 0.0));
        self.counters.cold_skipped += (most - drawn.len()) as u64;
        while drawn.len() < most {
            // Those that were drawn before had no room, or are there already.
            let mut fits = |line: &Line, drawn: &[Line]| {
                let seen = before.iter().chain(drawn).any(|other| other.server == line.server);
                !seen && self.left(&line.server, who, worth, now).is_none_or(|left| left >= 0.0)
            };
            let mut found = None;
            for _ in 0..TRIES {
                found = index.at_fraction(chance()).copied().filter(|line| fits(line, drawn));
                if found.is_some() {
                    break;
                }
            }
            if found.is_none() {
                let open = index.lines().iter().filter(|line| fits(line, drawn));
                let open: Vec<(Address, f64)> = open.map(|line| (line.server, line.weight)).collect();
                found = WeightedIndex::new(open).at_fraction(chance()).copied();
            }
            let Some(next) = found else { break };
            drawn.push(next);
        }
        if drawn.is_empty() {
            // Nobody is to be without an address: the one with the most room.
            self.counters.cold_only += 1;
            let mut best: Option<(f64, Line)> = None;
            for line in index.lines() {
                let held = self.ledger.outstanding(&line.server, now);
                let left = self.cold.get(&line.server).copied().unwrap_or(0.0) - held;
                if best.is_none_or(|(most, _)| left > most) {
                    best = Some((left, *line));
                }
            }
            drawn.extend(best.map(|(_, line)| line));
        }
    }

    /// Where the table goes to more than one zone, so does the answer, if it has room for two: a zone may be lost
    /// while it lives.
    fn reach_two_zones(
        &self,
        drawn: &mut [Line],
        index: &WeightedIndex,
        zone_of: impl Fn(&Address) -> Option<u16>,
        chance: &mut impl FnMut() -> f64,
    ) {
        let zone = drawn.first().map(|line| zone_of(&line.server));
        let Some(last) = drawn.len().checked_sub(1).filter(|last| *last > 0) else { return };
        if drawn.iter().any(|line| Some(zone_of(&line.server)) != zone) {
            return;
        }
        let away =
            |line: &&Line| Some(zone_of(&line.server)) != zone && !self.cold.contains_key(&line.server);
        let others = index.lines().iter().filter(away).map(|line| (line.server, line.weight));
        if let Some(other) = WeightedIndex::new(others).at_fraction(chance()) {
            drawn[last] = *other;
        }
    }
}
