//! Runs the cost planner on each round's reports and describes its last plan on `/status`.

use oatlever::round::{Plan, Readiness, Round};
use oatlever_cost::{Decision, NoPlan, Planner, ZoneServers};
use oatlever_discovery::ServerList;
use oatlever_settings::Settings;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The cost planner of a pilot and its last result.
pub struct Planning {
    pub planner: Planner,
    /// Number of plans by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// The last plan, and when it was made, s.
    pub last: Option<(f64, Result<Decision, NoPlan>)>,
}

fn outcome(plan: &Result<Decision, NoPlan>) -> &'static str {
    match plan {
        Ok(_) => "planned",
        Err(NoPlan::Unknown) => "unknown",
        Err(NoPlan::Over(_)) => "over",
        Err(NoPlan::Unsolved(_)) => "unsolved",
    }
}

impl Planning {
    pub fn new(settings: &Settings) -> Option<Self> {
        let costs = settings.costs.as_ref()?;
        let (prices, links) = settings.cost_model(costs);
        let due_time = settings.classes.iter().map(|class| class.due_time).min_by(f64::total_cmp);
        let planner = Planner::new(costs.figures.clone(), prices, links, due_time);
        Some(Planning { planner, outcomes: BTreeMap::new(), last: None })
    }

    /// Makes a plan from a round's reports, for use in the same round. `None` if the round has no reports and no
    /// list of servers.
    pub fn plan(
        &mut self,
        round: &Round,
        book: &ServerList,
        zone_of: impl Fn(u16) -> u16,
        settings: &Settings,
    ) -> Option<Plan> {
        for stream in round.streams.iter().filter(|stream| !stream.up) {
            self.planner.remove_asker(stream.proxy);
        }
        if round.queries.is_empty() && round.tries.is_empty() && round.lists.is_empty() {
            return None;
        }
        let (now, rules) = (round.now, &settings.rules);
        let mut zones = vec![ZoneServers::default(); settings.zones.len()];
        for member in book.members().values().filter(|member| member.readiness == Readiness::Ready) {
            let is_cold = member.started > 0.0 && now - member.started < rules.warm_within;
            let warmed = if is_cold { (now - member.started).max(0.0) / rules.warm_within } else { 1.0 };
            let share = rules.cold_share + (1.0 - rules.cold_share) * warmed;
            if let Some(zone) = zones.get_mut(usize::from(member.zone)) {
                zone.weight += member.weight * share;
            }
        }
        let zone_of_server = |server: &_| book.get(server).map(|member| usize::from(member.zone));
        self.planner.observe(&round.queries, &round.tries, zone_of_server, &zones, now);
        let plan = self.planner.plan(|asker| usize::from(zone_of(asker)), &zones, now);
        let (name, previous) = (outcome(&plan), self.last.as_ref().map(|(_, last)| outcome(last)));
        if previous != Some(name) {
            match &plan {
                Ok(decision) => {
                    tracing::info!(cost = decision.plan.cost, bound = decision.plan.bound, "plan made")
                }
                Err(NoPlan::Over(over)) => {
                    let missing: f64 = over.faults.iter().map(|fault| fault.missing).sum();
                    tracing::warn!(missing, "no plan: demand exceeds capacity");
                }
                Err(without) => tracing::info!(?without, "no plan"),
            }
        }
        *self.outcomes.entry(name).or_default() += 1;
        let orders = plan.as_ref().map_or_else(|_| Plan::default(), |decision| decision.routing.clone());
        self.last = Some((now, plan));
        Some(orders)
    }

    /// The last plan as JSON, for `/status`.
    pub fn explain(&self, settings: &Settings, now: f64) -> Value {
        let Some((at, plan)) = &self.last else { return Value::Null };
        let mut value =
            json!({"outcome": outcome(plan), "ago": now - at, "carries": self.planner.capacity.estimate()});
        match plan {
            Ok(decision) => {
                let row = |parts: &Vec<f64>| -> serde_json::Map<String, Value> {
                    settings.zones.iter().cloned().zip(parts.iter().map(|part| json!(part))).collect()
                };
                let parts = settings.zones.iter().cloned().zip(decision.routing.shares.iter().map(row));
                value["parts"] = parts.map(|(zone, row)| (zone, Value::Object(row))).collect();
                let plan = &decision.plan;
                (value["cost"], value["bound"], value["gap"]) =
                    (json!(plan.cost), json!(plan.bound), json!(plan.gap()));
                (value["pool_prices"], value["model"]) = (json!(plan.pool_prices), json!(decision.model));
            }
            Err(NoPlan::Over(over)) => {
                (value["faults"], value["refused"]) = (json!(over.faults), json!(over.refused));
            }
            Err(NoPlan::Unsolved(what)) => value["why"] = json!(what),
            Err(NoPlan::Unknown) => {}
        }
        value
    }
}
