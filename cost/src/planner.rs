//! From what was heard to a plan for the decisions: what counts as demand and capacity, when flows move, and when
//! there is no plan.

use crate::capacity::{CapacityEstimator, ZoneObservation};
use crate::model::{Class, Link, Model, Pool, Source};
use crate::plan::{plan, Flow, Plan, PreviousPlan};
use oatlever::round;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The planner's figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Figures")]
pub struct PlannerConfig {
    /// Queries a second that a unit of listed weight can carry at most; learnt from what is seen where left out.
    #[schemars(range(min = 0.000001, max = 1e9))]
    pub carries: Option<f64>,
    /// Part of each zone's capacity that plans leave free.
    #[schemars(range(min = 0.0, max = 0.9))]
    pub headroom: f64,
    /// Price of sending one query a second elsewhere than before: connections, cold caches.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub move_price: f64,
    /// s; a move is worth it if it saves its price within this.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub pays_within: f64,
    /// Part of a zone's queries that move in a plan at most, unless what they leave can't carry them.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub step: f64,
    /// Part a second by which demand may have grown since it was measured.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub growth: f64,
    /// s; with reports older than this there is no plan.
    #[schemars(range(min = 0.1, max = 3600.0))]
    pub stale: f64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        PlannerConfig {
            carries: None,
            headroom: 0.2,
            move_price: 1.0,
            pays_within: 60.0,
            step: 0.25,
            growth: 0.05,
            stale: 15.0,
        }
    }
}

/// What the servers of a zone are worth to a plan now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneServers {
    /// Weight of those that may be sent to, cold ones by the part that they have warmed.
    pub weight: f64,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum NoPlan {
    /// Nothing is known of what servers carry, or of the demand, or it is too old.
    Unknown,
    /// Demand does not fit: the plan that refuses the least, for people to see.
    Over(Box<Plan>),
    /// The solver's word.
    Unsolved(String),
}

/// A plan for the decisions, and how it was come by.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What it was made for.
    pub model: Model,
    pub plan: Plan,
    pub routing: round::Plan,
}

/// Part of the tightest due time that the way to a server, there and back, may take: the rest is the answer's.
const WAY: f64 = 0.5;
/// s; demand fades over this, as in the decisions: a report of a second is a handful of queries.
const DEMAND_SPAN: f64 = 4.0;
/// s; the round waits for the plan, and goes on without one. It is a fraction of a millisecond for ten zones.
const PATIENCE: f64 = 0.1;
/// Queries a second; a zone without any is planned for as if it had so many, so that its first find a way.
const IDLE: f64 = 1e-3;

#[derive(Clone, Debug)]
pub struct Planner {
    pub config: PlannerConfig,
    prices: Vec<f64>,
    links: Vec<Vec<Link>>,
    /// s one way; queries go no farther.
    reach: Option<f64>,
    pub capacity: CapacityEstimator,
    /// Queries a second by asker, faded.
    rates: BTreeMap<u16, f64>,
    heard_at: Option<f64>,
    /// Parts by zone and zone, as decided last.
    parts: Option<Vec<Vec<f64>>>,
}

impl Planner {
    /// `prices` are for a query answered, by zone; `links` from zone to zone; `due_time` is the tightest of all
    /// classes, s, as they share their tables.
    pub fn new(
        config: PlannerConfig,
        prices: Vec<f64>,
        links: Vec<Vec<Link>>,
        due_time: Option<f64>,
    ) -> Self {
        let reach = due_time.map(|due_time| due_time * WAY / 2.0);
        let capacity = CapacityEstimator::new(config.carries, due_time);
        let (rates, heard_at, parts) = Default::default();
        Planner { config, prices, links, reach, capacity, rates, heard_at, parts }
    }

    /// Takes in what a round brought of queries and tries, with the zones that servers are in and what they
    /// weigh.
    pub fn observe(
        &mut self,
        queries: &[round::ProxyQueries],
        tries: &[round::Tries],
        zone_of: impl Fn(&round::Address) -> Option<usize>,
        zones: &[ZoneServers],
        now: f64,
    ) {
        let queries = queries.iter().filter(|one| one.span > 0.0);
        let mut rates: BTreeMap<u16, f64> = BTreeMap::new();
        for one in queries {
            *rates.entry(one.proxy).or_default() += one.received / one.span;
        }
        if !rates.is_empty() {
            let since = self.heard_at.map_or(f64::INFINITY, |at| now - at);
            let new = 1.0 - (-since.max(0.0) / DEMAND_SPAN).exp();
            for (asker, rate) in rates {
                let held = self.rates.entry(asker).or_insert(rate);
                *held += (rate - *held) * new;
            }
            self.heard_at = Some(now);
        }
        if tries.is_empty() {
            return;
        }
        let place = |(place, zone): (usize, &ZoneServers)| {
            (place, ZoneObservation { weight: zone.weight, ..ZoneObservation::default() })
        };
        let mut met: BTreeMap<usize, ZoneObservation> = zones.iter().enumerate().map(place).collect();
        for one in tries.iter().filter(|one| one.span > 0.0) {
            let Some(zone) = zone_of(&one.server).and_then(|zone| met.get_mut(&zone)) else { continue };
            let answered = (one.tries - one.failed).max(0.0) / one.span;
            zone.answered += answered;
            zone.failed += one.failed / one.span;
            zone.time += one.time * answered;
        }
        met.values_mut().filter(|zone| zone.answered > 0.0).for_each(|zone| zone.time /= zone.answered);
        self.capacity.observe(&met, now);
    }

    /// A zone's price changed under way.
    pub fn set_price(&mut self, zone: usize, price: f64) {
        if let Some(held) = self.prices.get_mut(zone) {
            *held = price;
        }
    }

    /// Forgets an asker that is away.
    pub fn remove_asker(&mut self, asker: u16) {
        self.rates.remove(&asker);
    }

    fn model(&self, demand: &[f64], zones: &[ZoneServers], carry: f64) -> Model {
        let one = Class { name: String::new(), work: 1.0, benefit: 1.0, reach: self.reach };
        let pool = |(zone, price): (usize, &f64)| Pool {
            zone,
            price: *price,
            capacity: zones[zone].weight * carry,
            refuses: Vec::new(),
        };
        Model {
            zones: vec![String::new(); zones.len()],
            classes: vec![one],
            pools: self.prices.iter().enumerate().map(pool).collect(),
            links: self.links.clone(),
            demand: demand.iter().map(|demand| vec![demand.max(IDLE)]).collect(),
            headroom: self.config.headroom,
        }
    }

    /// A plan for now. Errors: why there is none; the decisions go by their own rule then.
    pub fn plan(
        &mut self,
        zone_of: impl Fn(u16) -> usize,
        zones: &[ZoneServers],
        now: f64,
    ) -> Result<Decision, NoPlan> {
        let decided = self.decide(zone_of, zones, now);
        self.parts = decided.as_ref().ok().map(|decided| decided.routing.parts.clone());
        decided
    }

    fn decide(
        &self,
        zone_of: impl Fn(u16) -> usize,
        zones: &[ZoneServers],
        now: f64,
    ) -> Result<Decision, NoPlan> {
        let (Some(carry), Some(heard)) = (self.capacity.estimate(), self.heard_at) else {
            return Err(NoPlan::Unknown);
        };
        let age = (now - heard).max(0.0);
        if age > self.config.stale || zones.iter().all(|zone| zone.weight <= 0.0) {
            return Err(NoPlan::Unknown);
        }
        let mut demand = vec![0.0; zones.len()];
        for (asker, rate) in &self.rates {
            if let Some(zone) = demand.get_mut(zone_of(*asker)) {
                *zone += rate * (1.0 + self.config.growth * age);
            }
        }
        let model = self.model(&demand, zones, carry);
        let held = self.parts.as_ref().map(|parts| self.flows(&model, parts));
        let move_price = self.config.move_price / self.config.pays_within;
        let steady = held.as_ref().map(|flows| PreviousPlan { flows, move_price });
        let plan = plan(&model, steady, PATIENCE).map_err(NoPlan::Unsolved)?;
        if !plan.faults.is_empty() {
            return Err(NoPlan::Over(Box::new(plan)));
        }
        let target = self.parts_of(&model, &plan);
        let parts = match &self.parts {
            Some(parts) if self.carries(&model, parts) => self.steps(parts, &target),
            _ => target,
        };
        let routing = round::Plan { parts, carries: carry * (1.0 - self.config.headroom) };
        Ok(Decision { model, plan, routing })
    }

    /// Flows that parts stand for, at a model's demand.
    fn flows(&self, model: &Model, parts: &[Vec<f64>]) -> Vec<Flow> {
        let mut flows = Vec::new();
        for (source, work) in model.sources() {
            let parts = parts[source.zone].iter().enumerate().filter(|(_, part)| **part > 0.0);
            flows.extend(parts.map(|(pool, part)| Flow { source, pool, work: work * part }));
        }
        flows
    }

    fn parts_of(&self, model: &Model, plan: &Plan) -> Vec<Vec<f64>> {
        let mut parts = vec![vec![0.0; model.pools.len()]; model.zones.len()];
        for flow in &plan.flows {
            let Source { zone, class } = flow.source;
            parts[zone][flow.pool] += flow.work / (model.demand[zone][class] * model.classes[class].work);
        }
        parts
    }

    /// Whether what is in place asks nobody for more than he may have.
    fn carries(&self, model: &Model, parts: &[Vec<f64>]) -> bool {
        let flows = self.flows(model, parts);
        let load = |pool| flows.iter().filter(|flow| flow.pool == pool).map(|flow| flow.work).sum::<f64>();
        (0..model.pools.len()).all(|pool| load(pool) <= model.usable_capacity(pool))
    }

    /// A step of the way, for zones whose queries would move by more at once.
    fn steps(&self, from: &[Vec<f64>], to: &[Vec<f64>]) -> Vec<Vec<f64>> {
        let zone = |(from, to): (&Vec<f64>, &Vec<f64>)| -> Vec<f64> {
            let moved: f64 = from.iter().zip(to).map(|(from, to)| (to - from).max(0.0)).sum();
            let way = (self.config.step / moved.max(f64::MIN_POSITIVE)).min(1.0);
            from.iter().zip(to).map(|(from, to)| from + (to - from) * way).collect()
        };
        from.iter().zip(to).map(zone).collect()
    }
}
