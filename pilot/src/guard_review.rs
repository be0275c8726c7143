//! Runs the guard on tables before they are published: feeds it with reports and the list of servers, and
//! logs and reports its verdicts.

use oatlever::round::{Address, Readiness, Round};
use oatlever_discovery::ServerList;
use oatlever_guard::{
    Evidence, Finding, Guard, Holders, ListStatus, ListedServer, Mode, Outcome, State, Verdict, Weights,
};
use oatlever_settings::Settings;
use oatlever_tables::{Review, Tables};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The guard of a pilot and its inputs.
pub struct GuardReview {
    pub guard: Guard,
    evidence: Evidence,
    holders: Holders,
    pub state: State,
    /// The verdict last logged for each table, so that an unchanged one is not logged in every round.
    reported: BTreeMap<u16, Verdict>,
}

/// The review of one round's tables.
pub struct RoundReview<'a> {
    parent: &'a mut GuardReview,
    settings: &'a Settings,
}

impl GuardReview {
    pub fn new(settings: &Settings) -> Option<Self> {
        let guard = settings.guard.as_ref()?;
        let guard = Guard::new(guard.figures.clone(), guard.mode, settings.max_table_lifetime());
        let state = State {
            cold_share: settings.rules.cold_share,
            warm_within: settings.rules.warm_within,
            fall_multiple: settings.rules.fall_multiple,
            drain_gone: !settings.rules.gone_does_not_bind,
            ..State::default()
        };
        let holders = Holders::new(settings.max_table_lifetime());
        Some(GuardReview { guard, evidence: Evidence::default(), holders, state, reported: BTreeMap::new() })
    }

    /// Takes in a round's reports and the current list of servers.
    pub fn observe(&mut self, round: &Round, book: &ServerList, tables: &Tables, settings: &Settings) {
        self.evidence.observe(&round.tries, &round.queries, &round.health, round.now);
        let named = tables.summaries().flat_map(|(_, _, index, _)| index.lines()).map(|line| line.server);
        let known: BTreeSet<Address> = book.members().keys().copied().chain(named).collect();
        self.evidence.retain(&known);
        let entry = |server: Address| {
            let member = book.get(&server)?;
            let list_status = match book.members().get(&server).map(|member| member.readiness) {
                Some(Readiness::Ready) => ListStatus::Ready,
                Some(Readiness::Draining) => ListStatus::Draining,
                Some(Readiness::Gone) | None => ListStatus::Gone,
            };
            let (zone, weight, started) = (member.zone, member.weight, member.started);
            Some((server, ListedServer { zone, list_status, weight, started }))
        };
        self.state.now = round.now;
        self.evidence.update_state(known.into_iter().filter_map(entry), &mut self.state);
        for asker in 0..settings.askers.len() as u16 {
            self.holders.bind(asker, tables.bound_table(asker), round.now);
        }
        self.holders.expire(round.now);
        let all = tables.summaries().map(|(table, ..)| table).chain(self.holders.tables());
        self.state.demand = all.map(|table| (table, self.demand(table, settings))).collect();
        self.guard.expire(round.now);
    }

    /// Queries per second of all askers that may hold a table.
    fn demand(&self, table: u16, settings: &Settings) -> f64 {
        let usual = |asker: u16| settings.askers[usize::from(asker)].usual_rate;
        self.holders.askers_of(table).map(|asker| self.evidence.query_rate(asker, usual(asker))).sum()
    }

    pub fn review<'a>(&'a mut self, settings: &'a Settings) -> RoundReview<'a> {
        RoundReview { parent: self, settings }
    }
}

impl Review for RoundReview<'_> {
    fn prepare(&mut self, proposals: &BTreeMap<u16, Weights>) {
        let parent = &mut *self.parent;
        parent.guard.begin_round(&parent.state, proposals);
    }

    fn review_lines(&mut self, table: u16, lines: &Weights, users: &BTreeSet<u16>) -> Option<Weights> {
        // Askers bound in this round already count towards the table's demand.
        let parent = &mut *self.parent;
        for asker in users {
            parent.holders.bind(*asker, Some(table), parent.state.now);
        }
        let demand = parent.demand(table, self.settings);
        parent.state.demand.insert(table, demand);
        let (verdict, instead) = parent.guard.evaluate(&parent.state, table, lines);
        let same = |old: &Verdict| {
            let checks = |verdict: &Verdict| verdict.findings.iter().map(|f| f.check).collect::<Vec<_>>();
            checks(old) == checks(&verdict) && old.outcome.name() == verdict.outcome.name()
        };
        if verdict.outcome == Outcome::Fine {
            if self.parent.reported.remove(&table).is_some() {
                tracing::info!(table, "table passes the guard's checks again");
            }
        } else if !parent.reported.get(&table).is_some_and(same) {
            let check = verdict.findings.first().map_or("", |finding| finding.check.name());
            tracing::warn!(table, check, outcome = verdict.outcome.name(), %verdict, "table fails the guard's checks");
            parent.reported.insert(table, verdict);
        }
        instead
    }

    fn review_level(&mut self, table: u16, class: u16, level: f64, tries: u8) -> (f64, u8) {
        let classes = &self.settings.classes;
        let index = usize::from(class);
        let parent = &mut *self.parent;
        let tries = parent.guard.retry_mode(table, class, classes[index].once, tries, parent.state.now);
        let Some(limit) = parent.guard.admission_limit(table) else { return (level, tries) };
        let benefit: Vec<f64> = classes.iter().map(|class| class.benefit).collect();
        let demand = parent.evidence.rates_by_class(parent.holders.askers_of(table), classes.len());
        (level.min(limit.levels(&benefit, &demand)[index]), tries)
    }
}

fn finding_json(finding: &Finding) -> Value {
    let servers: Vec<String> = finding.servers.iter().map(Address::to_string).collect();
    json!({"check": finding.check, "servers": servers, "found": finding.value, "limit": finding.limit,
           "age": finding.data_age, "text": finding.to_string()})
}

pub fn verdict_json(verdict: &Verdict, now: f64) -> Value {
    let findings: Vec<Value> = verdict.findings.iter().map(finding_json).collect();
    let mut value = json!({"table": verdict.table, "ago": now - verdict.at, "outcome": verdict.outcome.name(),
                          "findings": findings});
    if let Outcome::Nearest { moved, fits } = verdict.outcome {
        (value["moved"], value["fits"]) = (json!(moved), json!(fits));
    }
    value
}

/// The guard's state as JSON, for `oatlever guard at explain`.
pub fn explain(guard: &Guard, now: f64) -> Value {
    let overrides = guard.overrides.iter();
    let overrides = overrides.map(|o| json!({"check": o.check, "by": o.author, "for": o.expires_at - now}));
    let pins = guard.pins.iter().map(|pin| {
        json!({"server": pin.server.to_string(), "least": pin.min_share, "most": pin.max_share,
               "for": pin.expires_at - now})
    });
    json!({"mode": if guard.mode == Mode::Report { "report" } else { "enforce" },
           "findings": guard.findings, "outcomes": guard.outcomes,
           "overrides": overrides.collect::<Vec<_>>(), "pins": pins.collect::<Vec<_>>(),
           "verdicts": guard.recent_verdicts().map(|verdict| verdict_json(verdict, now)).collect::<Vec<_>>()})
}
