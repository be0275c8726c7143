//! Plans between what was heard and the decisions: what the planner is told, and what is said of its plans.

use oatlever::round::{Plan, Readiness, Round};
use oatlever_cost::{Decided, Planner, Without, Zone};
use oatlever_roster::ServerList;
use oatlever_settings::Settings;
use serde_json::{json, Value};
use std::collections::BTreeMap;

pub struct Planning {
    pub planner: Planner,
    /// Plans by what came of them.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// The last plan, and when it was made, s.
    pub last: Option<(f64, Result<Decided, Without>)>,
}

/// What came of a plan, in a word.
fn word(plan: &Result<Decided, Without>) -> &'static str {
    match plan {
        Ok(_) => "planned",
        Err(Without::Unknown) => "unknown",
        Err(Without::Over(_)) => "over",
        Err(Without::Unsolved(_)) => "unsolved",
    }
}

impl Planning {
    pub fn new(settings: &Settings) -> Option<Self> {
        let costs = settings.costs.as_ref()?;
        let (prices, links) = settings.prices(costs);
        let due_time = settings.classes.iter().map(|class| class.due_time).min_by(f64::total_cmp);
        let planner = Planner::new(costs.figures.clone(), prices, links, due_time);
        Some(Planning { planner, outcomes: BTreeMap::new(), last: None })
    }

    /// Makes a plan from a round that brings reports, for the same round to carry.
    pub fn plan(
        &mut self,
        round: &Round,
        book: &ServerList,
        zone_of: impl Fn(u16) -> u16,
        settings: &Settings,
    ) -> Option<Plan> {
        for stream in round.streams.iter().filter(|stream| !stream.up) {
            self.planner.leave(stream.proxy);
        }
        if round.queries.is_empty() && round.tries.is_empty() && round.lists.is_empty() {
            return None;
        }
        let (now, rules) = (round.now, &settings.rules);
        let mut zones = vec![Zone::default(); settings.zones.len()];
        for member in book.members().values().filter(|member| member.readiness == Readiness::Ready) {
            let young = member.started > 0.0 && now - member.started < rules.warm_within;
            let warmed = if young { (now - member.started).max(0.0) / rules.warm_within } else { 1.0 };
            let part = rules.cold_share + (1.0 - rules.cold_share) * warmed;
            if let Some(zone) = zones.get_mut(usize::from(member.zone)) {
                zone.weight += member.weight * part;
            }
        }
        let zone_of_server = |server: &_| book.get(server).map(|member| usize::from(member.zone));
        self.planner.hear(&round.queries, &round.tries, zone_of_server, &zones, now);
        let plan = self.planner.plan(|asker| usize::from(zone_of(asker)), &zones, now);
        let (word, before) = (word(&plan), self.last.as_ref().map(|(_, last)| self::word(last)));
        if before != Some(word) {
            match &plan {
                Ok(decided) => {
                    tracing::info!(cost = decided.plan.cost, bound = decided.plan.bound, "planned")
                }
                Err(Without::Over(over)) => {
                    let missing: f64 = over.faults.iter().map(|fault| fault.missing).sum();
                    tracing::warn!(missing, "demand does not fit: no plan");
                }
                Err(without) => tracing::info!(?without, "no plan"),
            }
        }
        *self.outcomes.entry(word).or_default() += 1;
        let orders = plan.as_ref().map_or_else(|_| Plan::default(), |decided| decided.orders.clone());
        self.last = Some((now, plan));
        Some(orders)
    }

    /// What is said of the last plan, for people and machines.
    pub fn explain(&self, settings: &Settings, now: f64) -> Value {
        let Some((at, plan)) = &self.last else { return Value::Null };
        let mut told =
            json!({"outcome": word(plan), "ago": now - at, "carries": self.planner.carry.figure()});
        match plan {
            Ok(decided) => {
                let row = |parts: &Vec<f64>| -> serde_json::Map<String, Value> {
                    settings.zones.iter().cloned().zip(parts.iter().map(|part| json!(part))).collect()
                };
                let parts = settings.zones.iter().cloned().zip(decided.orders.parts.iter().map(row));
                told["parts"] = parts.map(|(zone, row)| (zone, Value::Object(row))).collect();
                let plan = &decided.plan;
                (told["cost"], told["bound"], told["gap"]) =
                    (json!(plan.cost), json!(plan.bound), json!(plan.gap()));
                (told["pool_prices"], told["model"]) = (json!(plan.pool_prices), json!(decided.model));
            }
            Err(Without::Over(over)) => {
                (told["faults"], told["refused"]) = (json!(over.faults), json!(over.refused));
            }
            Err(Without::Unsolved(what)) => told["why"] = json!(what),
            Err(Without::Unknown) => {}
        }
        told
    }
}
