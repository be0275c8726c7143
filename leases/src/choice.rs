//! Selects the addresses of an answer.

use crate::heavy_hitters::HeavyHitters;
use crate::ledger::Ledger;
use oatlever::round::Address;
use oatlever_tables::{GoldenSequence, Line, View, WeightedIndex};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// The assumed rate of an unknown client as a multiple of the mean of the known ones: most are near the
/// mean, few are far above it.
const UNKNOWN_RATE_FACTOR: f64 = 2.0;

/// Maximum number of random samples taken to replace a server. If all are unsuitable, the replacement is
/// sampled from the suitable lines of the whole table.
const MAX_SAMPLES: usize = 8;

/// A client host and the class it queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Client {
    pub host: Ipv4Addr,
    pub class: u16,
    /// Queries per second of the whole asker that the client belongs to.
    pub group_rate: f64,
}

/// Lifetimes of answers, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetimes {
    /// For tables without a cold server.
    pub normal: u32,
    /// For tables that contain a cold server.
    pub near_cold: u32,
    /// Time in seconds for which clients are assumed to go on using an expired answer.
    pub overstay: f64,
}

/// The servers of an answer, in order, and its lifetime in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub servers: Vec<Address>,
    pub lifetime: u32,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Times a cold server was left out of an answer for lack of budget.
    pub cold_skipped: u64,
    /// Answers with a cold server without budget, for lack of any other server.
    pub cold_only: u64,
}

/// Selects the addresses of answers by the weights of a table and the budgets of cold servers.
pub struct AddressSelector {
    pub ledger: Ledger,
    pub rates: HeavyHitters,
    /// By table and class: where the next answer's first server is sampled.
    sequences: HashMap<(u16, u16), GoldenSequence>,
    /// Budget of each cold server: queries per second that answers may bring it.
    budgets: BTreeMap<Address, f64>,
    /// By table: a version, and whether that version contains a cold server. Cleared when the budgets change.
    contains_cold: HashMap<u16, (u64, bool)>,
    lifetimes: Lifetimes,
    /// Time in seconds until which clients may use answers of a previous instance. The ledger lacks these.
    previous_answers_expire_at: f64,
    /// Whether answers are recorded in the ledger and the budgets of cold servers limit the selection.
    uses_ledger: bool,
    pub counters: Counters,
}

impl AddressSelector {
    /// Tracks at most `max_clients` clients; `key` is the ledger's hash key. Answers given before `start`
    /// by another instance are assumed to be in use for the longest possible time: cold servers are not
    /// selected until then.
    pub fn new(lifetimes: Lifetimes, max_clients: usize, key: (u64, u64), start: f64) -> Self {
        let (sequences, budgets, contains_cold, counters) = Default::default();
        let previous_answers_expire_at = start + f64::from(lifetimes.normal) + lifetimes.overstay;
        let (ledger, rates) = (Ledger::new(max_clients, key), HeavyHitters::new(max_clients));
        AddressSelector {
            ledger,
            rates,
            sequences,
            budgets,
            contains_cold,
            lifetimes,
            previous_answers_expire_at,
            uses_ledger: true,
            counters,
        }
    }

    /// Selects by weight alone, without a ledger.
    pub fn without_ledger(lifetimes: Lifetimes) -> Self {
        AddressSelector { uses_ledger: false, ..AddressSelector::new(lifetimes, 1, (0, 0), 0.0) }
    }

    /// Records that a client sent a server `queries` of a class within `span` seconds. None of them was sent
    /// before the time `since`: if the client's lease expired earlier, it is using an expired answer, and the
    /// ledger extends the lease.
    pub fn record_queries(
        &mut self,
        server: Address,
        host: Ipv4Addr,
        class: u16,
        (queries, span): (f64, f64),
        since: f64,
        now: f64,
    ) {
        if !self.uses_ledger || queries <= 0.0 || span <= 0.0 {
            return;
        }
        self.rates.add(host, class, queries, now);
        let rate = queries / span;
        self.ledger.record_use((host, class), &server, rate, since, now);
    }

    /// Sets the cold servers and their budgets: the queries per second that the tables give each of them
    /// from the clients that query here.
    pub fn set_cold_budgets(&mut self, budgets: BTreeMap<Address, f64>, now: f64) {
        self.budgets = budgets;
        self.contains_cold.clear();
        self.ledger.expire(now);
    }

    /// The budget of a cold server in queries per second; `None` for a warm one.
    pub fn budget(&self, server: &Address) -> Option<f64> {
        self.budgets.get(server).copied()
    }

    /// Estimate of a client's queries per second: an upper bound if the client is tracked, and a deliberately
    /// high guess otherwise.
    fn client_rate(&self, client: Client, now: f64) -> f64 {
        if let Some(rate) = self.rates.estimate(client.host, client.class, now) {
            return rate;
        }
        // While no client is known, one client may be the whole asker.
        let assumed = if self.rates.tracked() == 0 {
            client.group_rate
        } else {
            UNKNOWN_RATE_FACTOR * self.rates.mean_rate(now)
        };
        self.rates.untracked_bound(now).unwrap_or(0.0).max(assumed)
    }

    /// The budget that remains at a cold server after adding a client with this rate; `None` for a warm
    /// server.
    fn remaining_budget(&mut self, server: &Address, client: Client, rate: f64, now: f64) -> Option<f64> {
        let budget = *self.budgets.get(server)?;
        if now < self.previous_answers_expire_at {
            return Some(f64::NEG_INFINITY);
        }
        let own = self.ledger.leased_to(client.host, client.class, server, now);
        Some(budget - (self.ledger.outstanding(server, now) - own).max(0.0) - rate)
    }

    /// Whether the server is warm, or its remaining budget covers a client with this rate.
    fn fits_budget(&mut self, server: &Address, client: Client, rate: f64, now: f64) -> bool {
        self.remaining_budget(server, client, rate, now).is_none_or(|remaining| remaining >= 0.0)
    }

    /// Selects up to `max` addresses from a client's table and records them in the ledger. `None` if the
    /// table is empty.
    pub fn answer(
        &mut self,
        view: &View,
        client: Client,
        max: usize,
        zone_of: impl Fn(&Address) -> Option<u16>,
        now: f64,
        mut random: impl FnMut() -> f64,
    ) -> Option<Answer> {
        if view.index.is_empty() {
            return None;
        }
        let sequence = self.sequences.entry((view.table, client.class));
        let fraction = sequence.or_insert_with(|| GoldenSequence::new(random())).next_fraction();
        let mut selected = view.index.sample(max, fraction, &mut random);
        if !self.uses_ledger {
            let servers = selected.iter().map(|line| line.server).collect();
            return Some(Answer { servers, lifetime: self.lifetimes.normal });
        }
        let rate = self.client_rate(client, now);
        let near_cold = self.contains_cold(view);
        if near_cold {
            self.replace_over_budget(&mut selected, view.index, client, rate, now, &mut random);
        }
        self.cover_two_zones(&mut selected, view.index, zone_of, &mut random);
        let lifetime = if near_cold { self.lifetimes.near_cold } else { self.lifetimes.normal };
        let end = (now + f64::from(lifetime), self.lifetimes.overstay);
        let servers: Vec<Address> = selected.iter().map(|line| line.server).collect();
        self.ledger.record_answer((client.host, client.class), rate, servers.iter().copied(), end, now);
        Some(Answer { servers, lifetime })
    }

    /// Whether a table contains a cold server.
    fn contains_cold(&mut self, view: &View) -> bool {
        if self.budgets.is_empty() {
            return false;
        }
        let cached = self.contains_cold.get(&view.table).filter(|(version, _)| *version == view.version);
        if let Some((_, contains_cold)) = cached {
            return *contains_cold;
        }
        let contains_cold = view.index.lines().iter().any(|line| self.budgets.contains_key(&line.server));
        self.contains_cold.insert(view.table, (view.version, contains_cold));
        contains_cold
    }

    /// Replaces cold servers whose budget this client would exceed.
    fn replace_over_budget(
        &mut self,
        selected: &mut Vec<Line>,
        index: &WeightedIndex,
        client: Client,
        rate: f64,
        now: f64,
        random: &mut impl FnMut() -> f64,
    ) {
        let count = selected.len();
        let sampled = selected.clone();
        selected.retain(|line| self.fits_budget(&line.server, client, rate, now));
        self.counters.cold_skipped += (count - selected.len()) as u64;
        while selected.len() < count {
            // Lines that were sampled before are over budget or selected already.
            let mut is_candidate = |line: &Line, selected: &[Line]| {
                let seen = sampled.iter().chain(selected).any(|other| other.server == line.server);
                !seen && self.fits_budget(&line.server, client, rate, now)
            };
            let mut replacement = None;
            for _ in 0..MAX_SAMPLES {
                let line = index.at_fraction(random()).copied();
                replacement = line.filter(|line| is_candidate(line, selected));
                if replacement.is_some() {
                    break;
                }
            }
            if replacement.is_none() {
                let candidates = index.lines().iter().filter(|line| is_candidate(line, selected));
                let candidates: Vec<(Address, f64)> =
                    candidates.map(|line| (line.server, line.weight)).collect();
                replacement = WeightedIndex::new(candidates).at_fraction(random()).copied();
            }
            let Some(replacement) = replacement else { break };
            selected.push(replacement);
        }
        if selected.is_empty() {
            // An answer always has an address: use the cold server with the most budget left.
            self.counters.cold_only += 1;
            let mut best: Option<(f64, Line)> = None;
            for line in index.lines() {
                let outstanding = self.ledger.outstanding(&line.server, now);
                let remaining = self.budgets.get(&line.server).copied().unwrap_or(0.0) - outstanding;
                if best.is_none_or(|(most, _)| remaining > most) {
                    best = Some((remaining, *line));
                }
            }
            selected.extend(best.map(|(_, line)| line));
        }
    }

    /// Makes an answer of several servers cover a second zone if the table does: a zone may fail during the
    /// answer's lifetime.
    fn cover_two_zones(
        &self,
        selected: &mut [Line],
        index: &WeightedIndex,
        zone_of: impl Fn(&Address) -> Option<u16>,
        random: &mut impl FnMut() -> f64,
    ) {
        let zone = selected.first().map(|line| zone_of(&line.server));
        let Some(last) = selected.len().checked_sub(1).filter(|last| *last > 0) else { return };
        if selected.iter().any(|line| Some(zone_of(&line.server)) != zone) {
            return;
        }
        let is_warm_elsewhere =
            |line: &&Line| Some(zone_of(&line.server)) != zone && !self.budgets.contains_key(&line.server);
        let others = index.lines().iter().filter(is_warm_elsewhere).map(|line| (line.server, line.weight));
        if let Some(other) = WeightedIndex::new(others).at_fraction(random()) {
            selected[last] = *other;
        }
    }
}
