//! The guard between what was decided and the fronts: what it is told, and what is said of its verdicts.

use oatlever::round::{Address, Readiness, Round};
use oatlever_guard::{
    Entry, Evidence, Finding, Guard, Holders, Lines, Listed, Mode, Outcome, State, Verdict,
};
use oatlever_roster::ServerList;
use oatlever_settings::Settings;
use oatlever_tables::{Review, Tables};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

pub struct Guarding {
    pub guard: Guard,
    evidence: Evidence,
    holders: Holders,
    pub state: State,
    /// What was last said of each table, so that the same is not said in every round.
    said: BTreeMap<u16, Verdict>,
}

/// One round's review.
pub struct Reviewer<'a> {
    of: &'a mut Guarding,
    settings: &'a Settings,
}

impl Guarding {
    pub fn new(settings: &Settings) -> Option<Self> {
        let set = settings.guard.as_ref()?;
        let guard = Guard::new(set.figures.clone(), set.mode, settings.longest_use());
        let state = State {
            cold_share: settings.rules.cold_share,
            warm_within: settings.rules.warm_within,
            fall_multiple: settings.rules.fall_multiple,
            gone_binds: !settings.rules.gone_does_not_bind,
            ..State::default()
        };
        let holders = Holders::new(settings.longest_use());
        Some(Guarding { guard, evidence: Evidence::default(), holders, state, said: BTreeMap::new() })
    }

    /// Takes in what a round brought, and what the list says by now.
    pub fn hear(&mut self, round: &Round, book: &ServerList, tables: &Tables, settings: &Settings) {
        self.evidence.hear(&round.tries, &round.queries, &round.health, round.now);
        let named = tables.all().flat_map(|(_, _, index, _)| index.lines()).map(|line| line.server);
        let known: BTreeSet<Address> = book.members().keys().copied().chain(named).collect();
        self.evidence.keep_only(&known);
        let entry = |server: Address| {
            let member = book.get(&server)?;
            let listed = match book.members().get(&server).map(|member| member.readiness) {
                Some(Readiness::Ready) => Listed::Ready,
                Some(Readiness::Draining) => Listed::Draining,
                Some(Readiness::Gone) | None => Listed::Gone,
            };
            let (zone, weight, started) = (member.zone, member.weight, member.started);
            Some((server, Entry { zone, listed, weight, started }))
        };
        self.state.now = round.now;
        self.evidence.tell(known.into_iter().filter_map(entry), &mut self.state);
        for asker in 0..settings.askers.len() as u16 {
            self.holders.bind(asker, tables.bound(asker), round.now);
        }
        self.holders.expire(round.now);
        let all = tables.all().map(|(table, ..)| table).chain(self.holders.tables());
        self.state.demand = all.map(|table| (table, self.demand(table, settings))).collect();
        self.guard.expire(round.now);
    }

    /// Queries a second of all who may hold a table.
    fn demand(&self, table: u16, settings: &Settings) -> f64 {
        let usual = |asker: u16| settings.askers[usize::from(asker)].usual_rate;
        self.holders.of(table).map(|asker| self.evidence.rate(asker, usual(asker))).sum()
    }

    pub fn review<'a>(&'a mut self, settings: &'a Settings) -> Reviewer<'a> {
        Reviewer { of: self, settings }
    }
}

impl Review for Reviewer<'_> {
    fn expect(&mut self, proposals: &BTreeMap<u16, Lines>) {
        let of = &mut *self.of;
        of.guard.expect(&of.state, proposals);
    }

    fn lines(&mut self, table: u16, lines: &Lines, users: &BTreeSet<u16>) -> Option<Lines> {
        // Who was bound in this round counts already.
        let of = &mut *self.of;
        for asker in users {
            of.holders.bind(*asker, Some(table), of.state.now);
        }
        let demand = of.demand(table, self.settings);
        of.state.demand.insert(table, demand);
        let (verdict, instead) = of.guard.judge(&of.state, table, lines);
        let same = |old: &Verdict| {
            let checks = |verdict: &Verdict| verdict.findings.iter().map(|f| f.check).collect::<Vec<_>>();
            checks(old) == checks(&verdict) && old.outcome.name() == verdict.outcome.name()
        };
        if verdict.outcome == Outcome::Fine {
            if self.of.said.remove(&table).is_some() {
                tracing::info!(table, "the guard lets the table out again");
            }
        } else if !of.said.get(&table).is_some_and(same) {
            let check = verdict.findings.first().map_or("", |finding| finding.check.name());
            tracing::warn!(table, check, outcome = verdict.outcome.name(), %verdict, "the guard");
            of.said.insert(table, verdict);
        }
        instead
    }

    fn level(&mut self, table: u16, class: u16, level: f64, tries: u8) -> (f64, u8) {
        let classes = &self.settings.classes;
        let place = usize::from(class);
        let of = &mut *self.of;
        let tries = of.guard.tries(table, class, classes[place].once, tries, of.state.now);
        let Some(relief) = of.guard.relief(table) else { return (level, tries) };
        let benefit: Vec<f64> = classes.iter().map(|class| class.benefit).collect();
        let demand = of.evidence.by_class(of.holders.of(table), classes.len());
        (level.min(relief.levels(&benefit, &demand)[place]), tries)
    }
}

fn finding(finding: &Finding) -> Value {
    let servers: Vec<String> = finding.servers.iter().map(Address::to_string).collect();
    json!({"check": finding.check, "servers": servers, "found": finding.found, "limit": finding.limit,
           "age": finding.age, "text": finding.to_string()})
}

pub fn verdict(verdict: &Verdict, now: f64) -> Value {
    let findings: Vec<Value> = verdict.findings.iter().map(finding).collect();
    let mut told = json!({"table": verdict.table, "ago": now - verdict.at, "outcome": verdict.outcome.name(),
                          "findings": findings});
    if let Outcome::Nearest { moved, fits } = verdict.outcome {
        (told["moved"], told["fits"]) = (json!(moved), json!(fits));
    }
    told
}

/// What is said of the guard, for people and machines.
pub fn explain(guard: &Guard, now: f64) -> Value {
    let overrides = guard.overrides.iter();
    let overrides = overrides.map(|o| json!({"check": o.check, "by": o.by, "for": o.until - now}));
    let pins = guard.pins.iter().map(|pin| {
        json!({"server": pin.server.to_string(), "least": pin.least, "most": pin.most, "for": pin.until - now})
    });
    json!({"mode": if guard.mode == Mode::Report { "report" } else { "enforce" },
           "findings": guard.findings, "outcomes": guard.outcomes,
           "overrides": overrides.collect::<Vec<_>>(), "pins": pins.collect::<Vec<_>>(),
           "verdicts": guard.told().map(|told| verdict(told, now)).collect::<Vec<_>>()})
}
