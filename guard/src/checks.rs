//! What may be wrong with a table. Each check stands by itself and tells its finding in figures.

use crate::state::{GuardConfig, Server, State};
use crate::{part, Loads, Weights};
use oatlever::round::Address;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// A weight that is no finite number, or below zero.
    NotFinite,
    /// No line left, while servers serve.
    Emptied,
    /// Only cold servers, while warm ones serve.
    ColdOnly,
    /// Servers of a zone that serve were dropped, more than may be.
    Cut,
    /// A zone with servers that serve is in no table any more.
    ZoneCut,
    /// Too many queries move at once.
    Moved,
    /// A warm server past its capacity.
    Overload,
    /// A cold one past what it can take.
    ColdOverload,
    /// A cold one past what it can take once the server of the greatest part is lost.
    Fragile,
    /// A class that must not run twice, with further tries where it may have run.
    Twice,
    /// An operator's pin is broken.
    Pinned,
}

impl Check {
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

/// Something wrong, in figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub check: Check,
    /// The servers concerned, the worst first; a few of them.
    pub servers: Vec<Address>,
    pub value: f64,
    pub limit: f64,
    /// s; the age of the oldest news it rests on.
    pub data_age: f64,
}

/// Servers told in a finding.
const TOLD: usize = 5;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (found, limit) = (self.value, self.limit);
        match self.check {
            Check::NotFinite => write!(f, "{found} weights are no finite numbers of 0 or more"),
            Check::Emptied => write!(f, "no line is left while {found} servers serve"),
            Check::ColdOnly => write!(f, "only cold servers are left while {found} warm ones serve"),
            Check::Cut => {
                write!(f, "{found:.3} of a zone's queries taken from servers that serve, {limit:.3} at most")
            }
            Check::ZoneCut => {
                write!(f, "zone {found} is in no table any more while {limit} of its servers serve")
            }
            Check::Moved => write!(f, "{found:.3} of the queries move at once, {limit:.3} at most"),
            Check::Overload => write!(f, "{found:.2} queries a second for a server that may have {limit:.2}"),
            Check::ColdOverload => {
                write!(f, "{found:.2} queries a second for a cold server that may have {limit:.2}")
            }
            Check::Fragile => {
                write!(
                    f,
                    "{found:.2} queries a second for a cold server that may have {limit:.2}, if the next is lost"
                )
            }
            Check::Twice => {
                write!(f, "further tries after any failure for class {found}, which must not run twice")
            }
            Check::Pinned => write!(f, "{found:.3} of the queries, pinned to {limit:.3}"),
        }?;
        let told: Vec<String> = self.servers.iter().map(Address::to_string).collect();
        if !told.is_empty() {
            write!(f, " ({})", told.join(", "))?;
        }
        write!(f, ", by news {:.1} s old", self.data_age)
    }
}

/// An operator's word on a server's part of every table that names it, until a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Pin {
    pub server: Address,
    pub min_share: f64,
    pub max_share: f64,
    /// s, on the pilot's clock.
    pub expires_at: f64,
}

/// A table as it would be, beside what it is judged by.
pub struct CheckContext<'a> {
    pub state: &'a State,
    pub config: &'a GuardConfig,
    pub loads: &'a Loads,
    pub pins: &'a [Pin],
    pub table: u16,
    /// As laid last, by parts.
    pub before: &'a Weights,
    /// As it was about `window` ago, by parts.
    pub earlier: &'a Weights,
    pub typical: Option<f64>,
    /// Zones that other tables go to, once all that are on their way are laid.
    pub elsewhere: &'a BTreeSet<u16>,
}

/// What checks leave room for, as parts are sums of many.
const SLACK: f64 = 1e-9;

/// The two greatest parts of a table.
pub struct Greatest {
    first: Option<Address>,
    parts: (f64, f64),
}

impl Greatest {
    pub fn of(parts: &Weights) -> Self {
        let mut found = Greatest { first: None, parts: (0.0, 0.0) };
        for (server, part) in parts {
            if *part > found.parts.0 {
                found = Greatest { first: Some(*server), parts: (*part, found.parts.0) };
            } else {
                found.parts.1 = part.max(found.parts.1);
            }
        }
        found
    }

    /// The greatest part beside a server's.
    pub fn beside(&self, server: &Address) -> f64 {
        if self.first == Some(*server) {
            self.parts.1
        } else {
            self.parts.0
        }
    }
}

impl CheckContext<'_> {
    fn server(&self, server: &Address) -> Option<&Server> {
        self.state.servers.get(server)
    }

    /// It may be sent to, and is shown to serve.
    pub fn is_available(&self, server: &Address) -> bool {
        self.server(server).is_some_and(|s| self.state.is_available(s, self.config))
    }

    fn finding(&self, check: Check, servers: Vec<Address>, found: f64, limit: f64) -> Finding {
        let data_age = (self.state.now - self.state.measured_at).max(0.0);
        Finding { check, servers: servers.into_iter().take(TOLD).collect(), value: found, limit, data_age }
    }

    /// That there are servers of which this holds; their number is what was found.
    fn counted(&self, check: Check, servers: Vec<Address>) -> Option<Finding> {
        let found = servers.len() as f64;
        (found > 0.0).then(|| self.finding(check, servers, found, 0.0))
    }

    /// That more than a limit was taken, with the servers that lost the most first.
    fn taken(&self, check: Check, mut lost: Vec<(f64, Address)>, found: f64, limit: f64) -> Option<Finding> {
        lost.sort_by(|a, b| b.0.total_cmp(&a.0));
        let servers = lost.into_iter().map(|(_, server)| server).collect();
        (found > limit + SLACK).then(|| self.finding(check, servers, found, limit))
    }

    /// The parts of a table by zone.
    fn by_zone(&self, lines: &Weights) -> BTreeMap<u16, f64> {
        let mut parts = BTreeMap::new();
        for (server, part) in lines {
            if let Some(s) = self.server(server) {
                *parts.entry(s.zone).or_default() += part;
            }
        }
        parts
    }

    /// Queries a second that may come to a server if the table gives it this part.
    pub fn load(&self, server: &Address, part: f64) -> f64 {
        let others = self.loads.load_from_others(self.table, server) * self.state.demand_growth(self.config);
        let most = part.max(self.loads.max_share(self.table, server));
        others + most * self.state.expected_demand(self.table, self.config)
    }

    /// The part of this table that a server may have beside what other tables ask of it; none where nothing
    /// is known of capacities, or nothing comes.
    pub fn room(&self, server: &Address) -> Option<f64> {
        let whole = self.state.expected_demand(self.table, self.config);
        let capacity = self.state.capacity(self.server(server)?, self.typical, self.config)?;
        let others = self.loads.load_from_others(self.table, server) * self.state.demand_growth(self.config);
        (whole > 0.0).then(|| ((capacity - others) / whole).max(0.0))
    }

    /// Pins that hold now.
    fn pins(&self) -> impl Iterator<Item = &Pin> {
        self.pins.iter().filter(|pin| pin.expires_at > self.state.now)
    }

    /// The pin on a server that holds now.
    pub fn pin(&self, server: &Address) -> Option<&Pin> {
        self.pins().find(|pin| pin.server == *server)
    }

    pub fn not_finite(&self, proposed: &Weights) -> Option<Finding> {
        let odd = proposed.iter().filter(|(_, weight)| !weight.is_finite() || **weight < 0.0);
        self.counted(Check::NotFinite, odd.map(|(server, _)| *server).collect())
    }

    /// Servers that could be sent to.
    fn open(&self) -> impl Iterator<Item = (&Address, &Server)> {
        self.state.servers.iter().filter(|(_, s)| self.state.is_available(s, self.config))
    }

    pub fn emptied(&self, parts: &Weights) -> Option<Finding> {
        // A table that never had lines is not emptied.
        if !parts.is_empty() || self.before.is_empty() {
            return None;
        }
        self.counted(Check::Emptied, self.open().map(|(server, _)| *server).collect())
    }

    pub fn cold_only(&self, parts: &Weights) -> Option<Finding> {
        let warm = |server: &Address| self.server(server).is_none_or(|s| self.state.is_warm(s));
        if parts.is_empty() || parts.keys().any(warm) {
            return None;
        }
        let warm = self.open().filter(|(_, s)| self.state.is_warm(s));
        self.counted(Check::ColdOnly, warm.map(|(server, _)| *server).collect())
    }

    /// What was taken from servers that serve by dropping them, since the table before and since earlier: a
    /// row of small steps counts together. Zone by zone, and only in zones that the table still goes to: that a
    /// spill ends is no cut. A zone given up altogether is judged over all tables.
    pub fn cut(&self, parts: &Weights) -> Option<Finding> {
        let left = self.by_zone(parts);
        let mut worst: Option<(f64, Vec<(f64, Address)>)> = None;
        for then in [self.before, self.earlier] {
            let whole = self.by_zone(then);
            let mut lost: BTreeMap<u16, Vec<(f64, Address)>> = BTreeMap::new();
            for (server, old) in then.iter().filter(|(server, _)| part(parts, server) <= 0.0) {
                if let Some(s) = self.server(server).filter(|s| self.state.is_available(s, self.config)) {
                    lost.entry(s.zone).or_default().push((*old, *server));
                }
            }
            let zones = lost.into_iter();
            for (zone, lost) in
                zones.filter(|(z, _)| left.contains_key(z) && whole[z] > self.config.zone_part)
            {
                let found = lost.iter().map(|(old, _)| old).sum::<f64>() / whole[&zone];
                if worst.as_ref().is_none_or(|(most, _)| found > *most) {
                    worst = Some((found, lost));
                }
            }
        }
        let (found, lost) = worst?;
        self.taken(Check::Cut, lost, found, self.config.cut_part)
    }

    /// A zone that had a part of this table and has none, nor a line in any other: tables that leave it in one
    /// round are judged as if all of them were laid, or each would be let go for the sake of the next.
    pub fn zone_cut(&self, parts: &Weights) -> Option<Finding> {
        // That no line is left at all is found by itself.
        if parts.is_empty() {
            return None;
        }
        let (left, mut had) = (self.by_zone(parts), self.by_zone(self.before));
        for (zone, part) in self.by_zone(self.earlier) {
            let most = had.entry(zone).or_default();
            *most = part.max(*most);
        }
        had.retain(|zone, part| *part > self.config.zone_part && !left.contains_key(zone));
        had.into_keys().filter(|zone| !self.elsewhere.contains(zone)).find_map(|zone| {
            let open = self.open().filter(|(_, s)| s.zone == zone);
            let open: Vec<Address> = open.map(|(server, _)| *server).collect();
            let count = open.len() as f64;
            (count > 0.0).then(|| self.finding(Check::ZoneCut, open, f64::from(zone), count))
        })
    }

    pub fn moved(&self, parts: &Weights) -> Option<Finding> {
        let away = self.before.iter().filter(|(server, _)| self.is_available(server));
        let away = away.map(|(server, old)| ((old - part(parts, server)).max(0.0), *server));
        let away: Vec<(f64, Address)> = away.filter(|(moved, _)| *moved > 0.0).collect();
        let found = away.iter().map(|(moved, _)| moved).sum();
        self.taken(Check::Moved, away, found, self.config.moved_part)
    }

    /// Servers that this table would push past what they may have: those whose part it raises, as what it
    /// lowers or leaves is not its doing.
    pub fn overloads(&self, parts: &Weights) -> Vec<Finding> {
        let mut worst: BTreeMap<Check, (f64, Vec<Address>, f64, f64)> = BTreeMap::new();
        for (server, new) in parts.iter().filter(|(server, new)| **new > part(self.before, server) + SLACK) {
            let Some(s) = self.server(server) else { continue };
            let Some(limit) = self.state.capacity(s, self.typical, self.config) else { continue };
            let load = self.load(server, *new);
            if load <= limit * (1.0 + SLACK) {
                continue;
            }
            let check = if self.state.is_warm(s) { Check::Overload } else { Check::ColdOverload };
            let over = load / limit.max(f64::MIN_POSITIVE);
            let entry = worst.entry(check).or_insert((0.0, Vec::new(), load, limit));
            if over > entry.0 {
                entry.1.insert(0, *server);
                (entry.0, entry.2, entry.3) = (over, load, limit);
            } else {
                entry.1.push(*server);
            }
        }
        let told = worst.into_iter();
        told.map(|(check, (_, servers, load, limit))| self.finding(check, servers, load, limit)).collect()
    }

    /// Queries a second that may come to a server once the one of the greatest part beside it is lost: proxies
    /// stay away from it and its part goes to the others, as the table weighs them.
    fn load_after_loss(&self, server: &Address, parts: &Weights, greatest: &Greatest) -> f64 {
        let left = 1.0 - greatest.beside(server);
        self.load(server, if left > SLACK { (part(parts, server) / left).min(1.0) } else { 1.0 })
    }

    /// A cold server that would fall over if another server failed, where warm ones could be named beside it.
    /// Warm ones past what they may have for a moment are slow and not lost.
    pub fn fragile(&self, parts: &Weights) -> Option<Finding> {
        let mut rest = self.open().filter(|(server, s)| self.state.is_warm(s) && !parts.contains_key(server));
        rest.next()?;
        let (greatest, former) = (Greatest::of(parts), Greatest::of(self.before));
        let mut worst: Option<(f64, Address, f64, f64)> = None;
        for server in parts.keys() {
            let Some(s) = self.server(server).filter(|s| !self.state.is_warm(s)) else { continue };
            let Some(limit) = self.state.capacity(s, self.typical, self.config) else { continue };
            let load = self.load_after_loss(server, parts, &greatest);
            let before = self.load_after_loss(server, self.before, &former);
            let grows = !self.before.contains_key(server) || load > before * (1.0 + SLACK);
            // What is too much without any loss is found by itself.
            let alone = self.load(server, part(parts, server)) > limit * (1.0 + SLACK);
            let over = load / limit.max(f64::MIN_POSITIVE);
            if grows && !alone && over > 1.0 + SLACK && worst.as_ref().is_none_or(|(most, ..)| over > *most) {
                worst = Some((over, *server, load, limit));
            }
        }
        worst.map(|(_, server, load, limit)| self.finding(Check::Fragile, vec![server], load, limit))
    }

    pub fn pinned(&self, parts: &Weights) -> Option<Finding> {
        self.pins().find_map(|pin| {
            let named = parts.contains_key(&pin.server) || self.before.contains_key(&pin.server);
            // A pin holds nobody at a server that must be left.
            let bound = self.server(&pin.server).is_none_or(|s| self.state.must_drain(s));
            let found = part(parts, &pin.server);
            let low = found < pin.min_share - SLACK && !bound;
            let limit = if low { pin.min_share } else { pin.max_share };
            let broken = named && (low || found > pin.max_share + SLACK);
            broken.then(|| self.finding(Check::Pinned, vec![pin.server], found, limit))
        })
    }

    /// Whether what is in place may stay: it has lines, none for a server that must be left, nobody past what
    /// it may have, and breaks no pin. A drain is never held back by a table that is kept.
    pub fn may_stay(&self) -> bool {
        let lines = self.before;
        let bound = |server| self.server(server).is_none_or(|s| self.state.must_drain(s));
        if lines.is_empty() || lines.keys().any(bound) {
            return false;
        }
        let over =
            |(server, part): (&_, &f64)| self.room(server).is_some_and(|room| *part > room * (1.0 + SLACK));
        let found = [self.cold_only(lines), self.pinned(lines), self.fragile(lines)];
        found.iter().all(Option::is_none) && !lines.iter().any(over)
    }
}
