//! Derives demand and capacity from reports and decides how fast flows move to a new plan, and when no plan is
//! issued.

use crate::capacity::{CapacityEstimator, ZoneObservation};
use crate::model::{Class, Link, Model, Pool, Source};
use crate::plan::{plan, Flow, Plan, PreviousPlan};
use oatlever::round;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Figures")]
pub struct PlannerConfig {
    /// Maximum queries per second for a unit of listed weight; estimated from reports if left out.
    #[schemars(range(min = 0.000001, max = 1e9))]
    pub carries: Option<f64>,
    /// Fraction of each zone's capacity that plans leave free.
    #[schemars(range(min = 0.0, max = 0.9))]
    pub headroom: f64,
    /// Price of moving one query per second to another zone: connections, cold caches.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub move_price: f64,
    /// s; queries move only if that saves the price of the move within this time.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub pays_within: f64,
    /// Maximum fraction of a zone's queries that a plan moves, unless the present flows exceed the capacity.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub step: f64,
    /// Assumed relative growth of demand per second since it was measured.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub growth: f64,
    /// s; no plan is issued from reports older than this.
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

/// The servers of a zone that a plan may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneServers {
    /// Sum of the weights of ready servers; a cold server counts with the share it has warmed up.
    pub weight: f64,
}

/// The reason why no plan is issued.
#[derive(Clone, Debug, PartialEq)]
pub enum NoPlan {
    /// Capacity or demand is unknown, or the reports are too old.
    Unknown,
    /// Demand exceeds capacity; with the plan that refuses the least benefit, for diagnosis.
    Over(Box<Plan>),
    /// The solver found no solution; with its status.
    Unsolved(String),
}

/// A plan, the model it was made for, and its routing.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub model: Model,
    pub plan: Plan,
    /// The plan as the decisions use it, limited to a step from the previous one.
    pub routing: round::Plan,
}

/// Maximum round trip to a server as a fraction of the shortest due time; the rest is left for the answer.
const ROUND_TRIP_SHARE: f64 = 0.5;
/// Time constant of the demand's exponential average, s, as in the decisions: a report of one second covers only a
/// few queries.
const DEMAND_SMOOTHING_TIME: f64 = 4.0;
/// Time limit of the solver, s: the round waits for the plan, and goes on without one. Planning ten zones takes a
/// fraction of a millisecond.
const SOLVER_TIME_LIMIT: f64 = 0.1;
/// Minimum demand of a zone in the model, queries per second, so that a zone without queries has a route for the
/// first ones.
const MIN_DEMAND: f64 = 1e-3;

/// Plans from the reports of each round.
#[derive(Clone, Debug)]
pub struct Planner {
    pub config: PlannerConfig,
    /// Price per answered query, by zone.
    prices: Vec<f64>,
    links: Vec<Vec<Link>>,
    /// Maximum one-way latency to a server, s.
    reach: Option<f64>,
    pub capacity: CapacityEstimator,
    /// Queries per second by asker, as an exponential average.
    rates: BTreeMap<u16, f64>,
    /// When queries were last reported, s.
    observed_at: Option<f64>,
    /// Share of each zone's queries by destination zone, as issued last.
    shares: Option<Vec<Vec<f64>>>,
}

impl Planner {
    /// `prices` are per answered query, by zone; `links` are by source and destination zone; `due_time` is the
    /// shortest of all classes, s, as classes share their tables.
    pub fn new(
        config: PlannerConfig,
        prices: Vec<f64>,
        links: Vec<Vec<Link>>,
        due_time: Option<f64>,
    ) -> Self {
        let reach = due_time.map(|due_time| due_time * ROUND_TRIP_SHARE / 2.0);
        let capacity = CapacityEstimator::new(config.carries, due_time);
        let (rates, observed_at, shares) = Default::default();
        Planner { config, prices, links, reach, capacity, rates, observed_at, shares }
    }

    /// Updates demand and capacity from a round's reports. `zone_of` gives the zone of a server, `zones` the present
    /// servers of each zone.
    pub fn observe(
        &mut self,
        queries: &[round::ProxyQueries],
        tries: &[round::Tries],
        zone_of: impl Fn(&round::Address) -> Option<usize>,
        zones: &[ZoneServers],
        now: f64,
    ) {
        let queries = queries.iter().filter(|report| report.span > 0.0);
        let mut rates: BTreeMap<u16, f64> = BTreeMap::new();
        for report in queries {
            *rates.entry(report.proxy).or_default() += report.received / report.span;
        }
        if !rates.is_empty() {
            let elapsed = self.observed_at.map_or(f64::INFINITY, |at| now - at);
            let weight = 1.0 - (-elapsed.max(0.0) / DEMAND_SMOOTHING_TIME).exp();
            for (asker, rate) in rates {
                let average = self.rates.entry(asker).or_insert(rate);
                *average += (rate - *average) * weight;
            }
            self.observed_at = Some(now);
        }
        if tries.is_empty() {
            return;
        }
        let with_weight = |(index, zone): (usize, &ZoneServers)| {
            (index, ZoneObservation { weight: zone.weight, ..ZoneObservation::default() })
        };
        let mut observations: BTreeMap<usize, ZoneObservation> =
            zones.iter().enumerate().map(with_weight).collect();
        for report in tries.iter().filter(|report| report.span > 0.0) {
            let Some(zone) = zone_of(&report.server).and_then(|zone| observations.get_mut(&zone)) else {
                continue;
            };
            let answered = (report.tries - report.failed).max(0.0) / report.span;
            zone.answered += answered;
            zone.failed += report.failed / report.span;
            zone.time += report.time * answered;
        }
        let answering = observations.values_mut().filter(|zone| zone.answered > 0.0);
        answering.for_each(|zone| zone.time /= zone.answered);
        self.capacity.observe(&observations, now);
    }

    /// Changes the price of a zone.
    pub fn set_price(&mut self, zone: usize, price: f64) {
        if let Some(current) = self.prices.get_mut(zone) {
            *current = price;
        }
    }

    /// Removes the demand of an asker that is away.
    pub fn remove_asker(&mut self, asker: u16) {
        self.rates.remove(&asker);
    }

    fn model(&self, demand: &[f64], zones: &[ZoneServers], capacity: f64) -> Model {
        let class = Class { name: String::new(), work: 1.0, benefit: 1.0, reach: self.reach };
        let pool = |(zone, price): (usize, &f64)| Pool {
            zone,
            price: *price,
            capacity: zones[zone].weight * capacity,
            refuses: Vec::new(),
        };
        Model {
            zones: vec![String::new(); zones.len()],
            classes: vec![class],
            pools: self.prices.iter().enumerate().map(pool).collect(),
            links: self.links.clone(),
            demand: demand.iter().map(|demand| vec![demand.max(MIN_DEMAND)]).collect(),
            headroom: self.config.headroom,
        }
    }

    /// Makes the plan of this round. Without one, the decisions follow their own rules.
    pub fn plan(
        &mut self,
        zone_of: impl Fn(u16) -> usize,
        zones: &[ZoneServers],
        now: f64,
    ) -> Result<Decision, NoPlan> {
        let decision = self.decide(zone_of, zones, now);
        self.shares = decision.as_ref().ok().map(|decision| decision.routing.shares.clone());
        decision
    }

    fn decide(
        &self,
        zone_of: impl Fn(u16) -> usize,
        zones: &[ZoneServers],
        now: f64,
    ) -> Result<Decision, NoPlan> {
        let (Some(capacity), Some(observed_at)) = (self.capacity.estimate(), self.observed_at) else {
            return Err(NoPlan::Unknown);
        };
        let age = (now - observed_at).max(0.0);
        if age > self.config.stale || zones.iter().all(|zone| zone.weight <= 0.0) {
            return Err(NoPlan::Unknown);
        }
        let mut demand = vec![0.0; zones.len()];
        for (asker, rate) in &self.rates {
            if let Some(zone) = demand.get_mut(zone_of(*asker)) {
                *zone += rate * (1.0 + self.config.growth * age);
            }
        }
        let model = self.model(&demand, zones, capacity);
        let flows = self.shares.as_ref().map(|shares| self.flows(&model, shares));
        let move_price = self.config.move_price / self.config.pays_within;
        let previous = flows.as_ref().map(|flows| PreviousPlan { flows, move_price });
        let plan = plan(&model, previous, SOLVER_TIME_LIMIT).map_err(NoPlan::Unsolved)?;
        if !plan.faults.is_empty() {
            return Err(NoPlan::Over(Box::new(plan)));
        }
        let target = self.shares(&model, &plan);
        let shares = match &self.shares {
            Some(shares) if self.fits(&model, shares) => self.step_towards(shares, &target),
            _ => target,
        };
        let routing = round::Plan { shares, capacity_per_weight: capacity * (1.0 - self.config.headroom) };
        Ok(Decision { model, plan, routing })
    }

    /// The flows that result from these shares at the model's demand.
    fn flows(&self, model: &Model, shares: &[Vec<f64>]) -> Vec<Flow> {
        let mut flows = Vec::new();
        for (source, work) in model.sources() {
            let used = shares[source.zone].iter().enumerate().filter(|(_, share)| **share > 0.0);
            flows.extend(used.map(|(pool, share)| Flow { source, pool, work: work * share }));
        }
        flows
    }

    /// A plan's flows as shares of each zone's queries.
    fn shares(&self, model: &Model, plan: &Plan) -> Vec<Vec<f64>> {
        let mut shares = vec![vec![0.0; model.pools.len()]; model.zones.len()];
        for flow in &plan.flows {
            let Source { zone, class } = flow.source;
            shares[zone][flow.pool] += flow.work / (model.demand[zone][class] * model.classes[class].work);
        }
        shares
    }

    /// Whether these shares keep every pool within its usable capacity.
    fn fits(&self, model: &Model, shares: &[Vec<f64>]) -> bool {
        let flows = self.flows(model, shares);
        let load = |pool| flows.iter().filter(|flow| flow.pool == pool).map(|flow| flow.work).sum::<f64>();
        (0..model.pools.len()).all(|pool| load(pool) <= model.usable_capacity(pool))
    }

    /// Moves each zone's shares towards a target by at most the configured step.
    fn step_towards(&self, from: &[Vec<f64>], to: &[Vec<f64>]) -> Vec<Vec<f64>> {
        let step_zone = |(from, to): (&Vec<f64>, &Vec<f64>)| -> Vec<f64> {
            let moved: f64 = from.iter().zip(to).map(|(from, to)| (to - from).max(0.0)).sum();
            let progress = (self.config.step / moved.max(f64::MIN_POSITIVE)).min(1.0);
            from.iter().zip(to).map(|(from, to)| from + (to - from) * progress).collect()
        };
        from.iter().zip(to).map(step_zone).collect()
    }
}
