//! Computes the cheapest plan of a model, a lower bound on its cost, and the capacity shortages if not all demand
//! fits.

use crate::model::{Model, Source};
use crate::program::{Edge, Program, Solution};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Work per second from a source to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Flow {
    #[serde(flatten)]
    pub source: Source,
    pub pool: usize,
    pub work: f64,
}

/// A set of sources whose demand exceeds the capacity of all pools that may serve them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shortage {
    pub sources: Vec<Source>,
    /// The pools that may serve the sources; all of them are full.
    pub pools: Vec<usize>,
    /// Units of work per second that don't fit.
    pub missing: f64,
    /// Refused queries per second, by source.
    pub refused: Vec<(Source, f64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub flows: Vec<Flow>,
    /// Refused queries per second, by source.
    pub refused: Vec<(Source, f64)>,
    /// Cost per second.
    pub cost: f64,
    /// Lower bound on the cost of any plan that refuses no more benefit.
    pub bound: f64,
    /// What one more unit of capacity would save per second, by pool.
    pub pool_prices: Vec<f64>,
    /// Work per second that goes to another pool than in the previous plan.
    pub moved: f64,
    /// Empty if all demand fits.
    pub faults: Vec<Shortage>,
}

/// Amounts below this fraction of the total work count as zero; well above the solver's rounding errors.
const NEGLIGIBLE: f64 = 1e-6;
/// Relative slack of the refused benefit over its minimum when the cost is minimized. The solver needs some
/// interior, and what this much lets through is negligible.
const REFUSAL_SLACK: f64 = 1e-7;

/// Surcharge for leaving a zone, as a fraction of the highest price, so that ties are resolved in favour of the
/// local zone.
const REMOTE_SURCHARGE: f64 = 1e-4;

/// The previous plan's flows, and the price of changing them.
#[derive(Clone, Copy, Debug)]
pub struct PreviousPlan<'a> {
    pub flows: &'a [Flow],
    /// Price per unit of work per second sent to another pool: a move must save at least this much per second.
    pub move_price: f64,
}

/// Arcs, sources and pools of a model in the order of the linear program.
struct Network<'a> {
    model: &'a Model,
    /// Sources with their work per second.
    sources: Vec<(Source, f64)>,
    edges: Vec<Edge>,
    /// Usable capacity of each pool.
    pools: Vec<f64>,
    total_work: f64,
    max_price: f64,
    time_limit: f64,
}

impl<'a> Network<'a> {
    fn new(model: &'a Model, previous: Option<PreviousPlan>, time_limit: f64) -> Self {
        let sources = model.sources();
        let previous_flows = previous.map_or_else(BTreeMap::new, |previous| work_by_edge(previous.flows));
        let move_price = previous.map_or(0.0, |previous| previous.move_price);
        let prices = sources
            .iter()
            .flat_map(|(source, _)| (0..model.pools.len()).map(|pool| model.unit_cost(*source, pool)));
        let max_price = prices.flatten().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let mut edges = Vec::new();
        for (index, (source, _)) in sources.iter().enumerate() {
            for pool in 0..model.pools.len() {
                let Some(price) = model.unit_cost(*source, pool) else { continue };
                let is_remote = source.zone != model.pools[pool].zone;
                let price = if is_remote { price + REMOTE_SURCHARGE * max_price } else { price };
                let edge = Edge { source: index, pool, price, capacity: None };
                // The work already there stays free of the move price; everything above it pays.
                let stays = previous_flows.get(&(*source, pool));
                if let Some(work) = stays.filter(|work| **work > 0.0 && move_price > 0.0) {
                    edges.push(Edge { capacity: Some(*work), ..edge });
                }
                edges.push(Edge { price: price + move_price, ..edge });
            }
        }
        let pools = (0..model.pools.len()).map(|pool| model.usable_capacity(pool)).collect();
        let total_work: f64 = sources.iter().map(|(_, work)| work).sum();
        let max_price = max_price + move_price;
        Network { model, sources, edges, pools, total_work, max_price, time_limit }
    }

    /// Solves the linear program with these prices of refusing each source's work. `ignore_prices` sets the prices
    /// of all edges to 0.
    fn solve(
        &self,
        refusal_price: impl Fn(usize) -> f64,
        ignore_prices: bool,
        refusal_limit: Option<(&[f64], f64)>,
    ) -> Result<Solution, String> {
        let edges: Vec<Edge> = match ignore_prices {
            true => self.edges.iter().map(|edge| Edge { price: 0.0, ..*edge }).collect(),
            false => self.edges.clone(),
        };
        let sources = self.sources.iter().enumerate().map(|(n, (_, work))| (*work, refusal_price(n)));
        let sources: Vec<(f64, f64)> = sources.collect();
        let (pools, time_limit) = (&self.pools, self.time_limit);
        Program { edges: &edges, sources: &sources, pools, refusal_limit, time_limit }.solve()
    }

    /// Lower bound on the cost of any plan within the refusal limit. By weak duality it holds for any prices of
    /// pools and refusals, so it doesn't depend on the solver being right.
    fn lower_bound(&self, solution: &Solution, refusal_limit: Option<(&[f64], f64)>) -> f64 {
        let (pool_prices, refusal_price) = (&solution.pool_prices, solution.refusal_price);
        let mut min_price = vec![f64::INFINITY; self.sources.len()];
        for edge in self.edges.iter() {
            // Without the move price: the plan is compared with the optimum regardless of the previous plan.
            let price = self.model.unit_cost(self.sources[edge.source].0, edge.pool).unwrap_or(f64::INFINITY);
            min_price[edge.source] = min_price[edge.source].min(price + pool_prices[edge.pool]);
        }
        let refusal_cost =
            |n: usize| refusal_limit.map_or(f64::INFINITY, |(weights, _)| refusal_price * weights[n]);
        let sources = self.sources.iter().zip(&min_price).enumerate();
        let demand_value: f64 =
            sources.map(|(n, ((_, work), min_price))| min_price.min(refusal_cost(n)) * work).sum();
        let pool_value: f64 =
            pool_prices.iter().zip(&self.pools).map(|(price, capacity)| price * capacity).sum();
        let refusal_value = refusal_limit.map_or(0.0, |(_, limit)| refusal_price * limit);
        (demand_value - pool_value - refusal_value).max(0.0)
    }

    /// Flows by source and pool, and refused work by source, without negligible amounts. Each source's amounts are
    /// scaled so that they add up to its work.
    fn round(&self, solution: &Solution) -> (BTreeMap<(usize, usize), f64>, Vec<f64>) {
        let negligible = NEGLIGIBLE * self.total_work;
        let mut flows: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for (edge, work) in self.edges.iter().zip(&solution.flows) {
            *flows.entry((edge.source, edge.pool)).or_default() += work;
        }
        flows.retain(|_, work| *work > negligible);
        let mut refused: Vec<f64> =
            solution.refused.iter().map(|work| if *work > negligible { *work } else { 0.0 }).collect();
        for (index, (_, work)) in self.sources.iter().enumerate() {
            let sum = refused[index] + flows.range((index, 0)..(index + 1, 0)).map(|(_, w)| w).sum::<f64>();
            let scale = work / sum.max(f64::MIN_POSITIVE);
            if sum > 0.0 {
                refused[index] *= scale;
                flows.range_mut((index, 0)..(index + 1, 0)).for_each(|(_, w)| *w *= scale);
            } else {
                refused[index] = *work;
            }
        }
        (flows, refused)
    }

    /// The shortages behind refused work. Each is found by a search that alternates from sources to the pools that
    /// may serve them and from pools to the sources they serve. All pools it reaches are full; otherwise less would
    /// be refused.
    fn shortages(&self, flows: &BTreeMap<(usize, usize), f64>, refused: &[f64]) -> Vec<Shortage> {
        let allowed: BTreeSet<(usize, usize)> =
            self.edges.iter().map(|edge| (edge.source, edge.pool)).collect();
        let (mut visited, mut shortages) = (BTreeSet::<usize>::new(), Vec::new());
        for start in (0..refused.len()).filter(|n| refused[*n] > 0.0) {
            if visited.contains(&start) {
                continue;
            }
            let (mut pending, mut pools) = (vec![start], BTreeSet::new());
            let mut sources = BTreeSet::from([start]);
            while let Some(source) = pending.pop() {
                for (_, pool) in allowed.range((source, 0)..(source + 1, 0)) {
                    if pools.insert(*pool) {
                        let served = flows.keys().filter(|(_, to)| to == pool).map(|(from, _)| *from);
                        pending.extend(served.filter(|from| sources.insert(*from)));
                    }
                }
            }
            visited.extend(&sources);
            let demand: f64 = sources.iter().map(|n| self.sources[*n].1).sum();
            let capacity: f64 = pools.iter().map(|pool| self.pools[*pool]).sum();
            let refused_queries = |n: &usize| {
                let (source, _) = self.sources[*n];
                (source, refused[*n] / self.model.classes[source.class].work)
            };
            shortages.push(Shortage {
                sources: sources.iter().map(|n| self.sources[*n].0).collect(),
                pools: pools.into_iter().collect(),
                missing: (demand - capacity).max(0.0),
                refused: sources.iter().filter(|n| refused[**n] > 0.0).map(refused_queries).collect(),
            });
        }
        shortages
    }
}

/// Computes the cheapest plan within the pools' capacity; if not all demand fits, the cheapest of those that refuse
/// the least benefit. Changes to a previous plan count at their price. Up to three linear programs are solved, each
/// within `time_limit` s. Fails if the model is invalid or the solver finds no solution.
pub fn plan(model: &Model, previous: Option<PreviousPlan>, time_limit: f64) -> Result<Plan, String> {
    model.validate()?;
    let network = Network::new(model, previous, time_limit);
    if network.sources.is_empty() {
        let pool_prices = vec![0.0; model.pools.len()];
        let (flows, refused, faults) = Default::default();
        return Ok(Plan { flows, refused, cost: 0.0, bound: 0.0, pool_prices, moved: 0.0, faults });
    }
    // Serving one more unit may displace others along a chain that visits each source or pool at most once. At a
    // price above the cost of the longest chain, work is refused only if there is no capacity for it.
    let chain = network.sources.len().min(network.pools.len()) as f64 + 1.0;
    let mut solution = network.solve(|_| 2.0 * chain * network.max_price, false, None)?;
    let benefits: Vec<f64> =
        network.sources.iter().map(|(source, _)| model.benefit_per_work(source.class)).collect();
    // Classes without any benefit still get a small weight, so that they aren't refused without need.
    let min_weight = benefits.iter().copied().fold(0.0, f64::max).max(1.0) * NEGLIGIBLE;
    let weights: Vec<f64> = benefits.iter().map(|benefit| benefit.max(min_weight)).collect();
    let mut refusal_limit = None;
    if network.round(&solution).1.iter().any(|work| *work > 0.0) {
        let refused = network.round(&network.solve(|n| weights[n], true, None)?).1;
        let least: f64 = refused.iter().zip(&weights).map(|(work, weight)| work * weight).sum();
        refusal_limit = Some((&weights[..], least * (1.0 + REFUSAL_SLACK)));
        solution = network.solve(|_| 0.0, false, refusal_limit)?;
    }
    let (rounded, refused) = network.round(&solution);
    let flow = |((index, pool), work): (&(usize, usize), &f64)| Flow {
        source: network.sources[*index].0,
        pool: *pool,
        work: *work,
    };
    let flows: Vec<Flow> = rounded.iter().map(flow).collect();
    let flow_cost = |flow: &Flow| model.unit_cost(flow.source, flow.pool).unwrap_or(0.0) * flow.work;
    let refused_queries = |(index, work): (usize, &f64)| {
        let (source, _) = network.sources[index];
        (*work > 0.0).then(|| (source, work / model.classes[source.class].work))
    };
    Ok(Plan {
        cost: flows.iter().map(flow_cost).sum(),
        bound: network.lower_bound(&solution, refusal_limit),
        moved: previous.map_or(0.0, |previous| moved_work(previous.flows, &flows)),
        faults: network.shortages(&rounded, &refused),
        refused: refused.iter().enumerate().filter_map(refused_queries).collect(),
        pool_prices: solution.pool_prices,
        flows,
    })
}

fn work_by_edge(flows: &[Flow]) -> BTreeMap<(Source, usize), f64> {
    let mut work = BTreeMap::new();
    flows.iter().for_each(|flow| *work.entry((flow.source, flow.pool)).or_default() += flow.work);
    work
}

/// Work per second by which flows exceed those before, summed over all sources and pools.
pub fn moved_work(before: &[Flow], after: &[Flow]) -> f64 {
    let work_before = work_by_edge(before);
    let increase =
        |flow: &Flow| flow.work - work_before.get(&(flow.source, flow.pool)).copied().unwrap_or(0.0);
    after.iter().map(|flow| increase(flow).max(0.0)).sum()
}

impl Plan {
    /// Relative optimality gap: upper bound on how far the cost is above the optimum.
    pub fn gap(&self) -> f64 {
        ((self.cost - self.bound) / self.bound.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Work per second that the plan sends to a pool.
    pub fn load(&self, pool: usize) -> f64 {
        // Adding 0.0 turns the empty sum, -0.0, into 0.0.
        self.flows.iter().filter(|flow| flow.pool == pool).map(|flow| flow.work).sum::<f64>() + 0.0
    }
}
