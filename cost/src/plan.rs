//! The cheapest plan for a model, how far from the best possible it is at most, and what stands in the way
//! where not everything fits.

use crate::model::{Model, Source};
use crate::program::{Answer, Program, Way};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Work a second from a source to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Flow {
    #[serde(flatten)]
    pub source: Source,
    pub pool: usize,
    pub work: f64,
}

/// Sources that together ask for more than all pools they may go to can carry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shortage {
    pub sources: Vec<Source>,
    /// The pools that they may go to: these are full.
    pub pools: Vec<usize>,
    /// Units of work a second that do not fit.
    pub missing: f64,
    /// Queries a second that are refused, by source.
    pub refused: Vec<(Source, f64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub flows: Vec<Flow>,
    /// Queries a second that are refused, by source.
    pub refused: Vec<(Source, f64)>,
    /// Cost a second.
    pub cost: f64,
    /// No plan that refuses no more benefit costs less.
    pub bound: f64,
    /// What one more unit of capacity would save a second, by pool.
    pub pool_prices: Vec<f64>,
    /// Work a second that goes elsewhere than in the plan before.
    pub moved: f64,
    /// Empty where everything fits.
    pub faults: Vec<Shortage>,
}

/// Part of the whole work under which an amount counts as nothing: well over the solver's rounding.
const NOTHING: f64 = 1e-6;
/// Part of the benefit refused that the cheapest plan may refuse beyond the least: what the solver needs to
/// move in, and little enough that what it lets through counts as nothing.
const LEEWAY: f64 = 1e-7;

/// Part of the dearest price that leaving a zone counts as more, so that of equal ways the one at home is taken.
const HOME: f64 = 1e-4;

/// What moving a unit of work to another pool costs, and where it goes now.
#[derive(Clone, Copy, Debug)]
pub struct PreviousPlan<'a> {
    pub flows: &'a [Flow],
    /// For a unit of work a second that is sent elsewhere: what the plan must save a second to be worth it.
    pub move_price: f64,
}

/// Ways and sources of a model, in the solver's order.
struct Network<'a> {
    model: &'a Model,
    sources: Vec<(Source, f64)>,
    ways: Vec<Way>,
    pools: Vec<f64>,
    whole: f64,
    dearest: f64,
    patience: f64,
}

impl<'a> Network<'a> {
    fn of(model: &'a Model, before: Option<PreviousPlan>, patience: f64) -> Self {
        let sources = model.sources();
        let held = before.map_or_else(BTreeMap::new, |before| by_way(before.flows));
        let more = before.map_or(0.0, |before| before.move_price);
        let prices = sources
            .iter()
            .flat_map(|(source, _)| (0..model.pools.len()).map(|p| model.unit_cost(*source, p)));
        let dearest = prices.flatten().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let mut ways = Vec::new();
        for (place, (source, _)) in sources.iter().enumerate() {
            for pool in 0..model.pools.len() {
                let Some(price) = model.unit_cost(*source, pool) else { continue };
                let away = source.zone != model.pools[pool].zone;
                let price = if away { price + HOME * dearest } else { price };
                let way = Way { source: place, pool, price, most: None };
                if let Some(work) = held.get(&(*source, pool)).filter(|work| **work > 0.0 && more > 0.0) {
                    ways.push(Way { most: Some(*work), ..way });
                }
                ways.push(Way { price: price + more, ..way });
            }
        }
        let pools = (0..model.pools.len()).map(|pool| model.usable_capacity(pool)).collect();
        let whole: f64 = sources.iter().map(|(_, work)| work).sum();
        Network { model, sources, ways, pools, whole, dearest: dearest + more, patience }
    }

    fn solve(
        &self,
        refusing: impl Fn(usize) -> f64,
        free: bool,
        most: Option<(&[f64], f64)>,
    ) -> Result<Answer, String> {
        let ways: Vec<Way> = match free {
            true => self.ways.iter().map(|way| Way { price: 0.0, ..*way }).collect(),
            false => self.ways.clone(),
        };
        let sources = self.sources.iter().enumerate().map(|(n, (_, work))| (*work, refusing(n)));
        let sources: Vec<(f64, f64)> = sources.collect();
        let (pools, patience) = (&self.pools, self.patience);
        Program { ways: &ways, sources: &sources, pools, refused_most: most, patience }.solve()
    }

    /// The least that any plan can cost which refuses no more than it may, counted as given: by weak duality whatever
    /// prices of pools and of refusing are put in, so that the solver need not be trusted.
    fn bound(&self, answer: &Answer, refusal: Option<(&[f64], f64)>) -> f64 {
        let (prices, refused_price) = (&answer.pool_prices, answer.refused_price);
        let mut least = vec![f64::INFINITY; self.sources.len()];
        for way in self.ways.iter() {
            // NoPlan what moving costs: the plan is held against the best possible.
            let price = self.model.unit_cost(self.sources[way.source].0, way.pool).unwrap_or(f64::INFINITY);
            least[way.source] = least[way.source].min(price + prices[way.pool]);
        }
        let refusing = |n: usize| refusal.map_or(f64::INFINITY, |(counted, _)| refused_price * counted[n]);
        let sources = self.sources.iter().zip(&least).enumerate();
        let from: f64 = sources.map(|(n, ((_, work), least))| least.min(refusing(n)) * work).sum();
        let pools: f64 = prices.iter().zip(&self.pools).map(|(price, capacity)| price * capacity).sum();
        (from - pools - refusal.map_or(0.0, |(_, most)| refused_price * most)).max(0.0)
    }

    /// Rounded to what counts, with each source's work whole.
    fn tidy(&self, answer: &Answer) -> (BTreeMap<(usize, usize), f64>, Vec<f64>) {
        let nothing = NOTHING * self.whole;
        let mut flows: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for (way, work) in self.ways.iter().zip(&answer.flows) {
            *flows.entry((way.source, way.pool)).or_default() += work;
        }
        flows.retain(|_, work| *work > nothing);
        let mut refused: Vec<f64> =
            answer.refused.iter().map(|work| if *work > nothing { *work } else { 0.0 }).collect();
        for (place, (_, work)) in self.sources.iter().enumerate() {
            let sum = refused[place] + flows.range((place, 0)..(place + 1, 0)).map(|(_, w)| w).sum::<f64>();
            let scale = work / sum.max(f64::MIN_POSITIVE);
            if sum > 0.0 {
                refused[place] *= scale;
                flows.range_mut((place, 0)..(place + 1, 0)).for_each(|(_, w)| *w *= scale);
            } else {
                refused[place] = *work;
            }
        }
        (flows, refused)
    }

    /// Sources that can't be served and all that they crowd out: from what is refused, to the pools it may go
    /// to, to the sources in them, and on. All those pools are full, or more would be let in.
    fn faults(&self, flows: &BTreeMap<(usize, usize), f64>, refused: &[f64]) -> Vec<Shortage> {
        let may: BTreeSet<(usize, usize)> = self.ways.iter().map(|way| (way.source, way.pool)).collect();
        let (mut seen, mut faults) = (BTreeSet::<usize>::new(), Vec::new());
        for start in (0..refused.len()).filter(|n| refused[*n] > 0.0) {
            if seen.contains(&start) {
                continue;
            }
            let (mut open, mut pools) = (vec![start], BTreeSet::new());
            let mut sources = BTreeSet::from([start]);
            while let Some(source) = open.pop() {
                for (_, pool) in may.range((source, 0)..(source + 1, 0)) {
                    if pools.insert(*pool) {
                        let here = flows.keys().filter(|(_, to)| to == pool).map(|(from, _)| *from);
                        open.extend(here.filter(|from| sources.insert(*from)));
                    }
                }
            }
            seen.extend(&sources);
            let asked: f64 = sources.iter().map(|n| self.sources[*n].1).sum();
            let room: f64 = pools.iter().map(|pool| self.pools[*pool]).sum();
            let queries = |n: &usize| {
                let (source, _) = self.sources[*n];
                (source, refused[*n] / self.model.classes[source.class].work)
            };
            faults.push(Shortage {
                sources: sources.iter().map(|n| self.sources[*n].0).collect(),
                pools: pools.into_iter().collect(),
                missing: (asked - room).max(0.0),
                refused: sources.iter().filter(|n| refused[**n] > 0.0).map(queries).collect(),
            });
        }
        faults
    }
}

/// The cheapest plan that asks no pool for more than it may carry; where not all fits, the cheapest of those that
/// refuse the least benefit. Moves count at their price, where there was a plan before. Each of up to three solves
/// may take `patience` s. Errors: what is wrong with the model, or the solver's word.
pub fn plan(model: &Model, before: Option<PreviousPlan>, patience: f64) -> Result<Plan, String> {
    model.validate()?;
    let network = Network::of(model, before, patience);
    if network.sources.is_empty() {
        let pool_prices = vec![0.0; model.pools.len()];
        let (flows, refused, faults) = Default::default();
        return Ok(Plan { flows, refused, cost: 0.0, bound: 0.0, pool_prices, moved: 0.0, faults });
    }
    // Serving one more unit may push others from pool to pool, once each at most: refusing at more than all those
    // ways cost together is done only where there is no room.
    let chain = network.sources.len().min(network.pools.len()) as f64 + 1.0;
    let mut answer = network.solve(|_| 2.0 * chain * network.dearest, false, None)?;
    let worths: Vec<f64> =
        network.sources.iter().map(|(source, _)| model.benefit_per_work(source.class)).collect();
    // What is worth nothing still is not refused for nothing.
    let least = worths.iter().copied().fold(0.0, f64::max).max(1.0) * NOTHING;
    let counted: Vec<f64> = worths.iter().map(|worth| worth.max(least)).collect();
    let mut refusal = None;
    if network.tidy(&answer).1.iter().any(|work| *work > 0.0) {
        let refused = network.tidy(&network.solve(|n| counted[n], true, None)?).1;
        let worth: f64 = refused.iter().zip(&counted).map(|(work, worth)| work * worth).sum();
        refusal = Some((&counted[..], worth * (1.0 + LEEWAY)));
        answer = network.solve(|_| 0.0, false, refusal)?;
    }
    let (tidy, refused) = network.tidy(&answer);
    let flow = |((place, pool), work): (&(usize, usize), &f64)| Flow {
        source: network.sources[*place].0,
        pool: *pool,
        work: *work,
    };
    let flows: Vec<Flow> = tidy.iter().map(flow).collect();
    let price = |flow: &Flow| model.unit_cost(flow.source, flow.pool).unwrap_or(0.0) * flow.work;
    let queries = |(place, work): (usize, &f64)| {
        let (source, _) = network.sources[place];
        (*work > 0.0).then(|| (source, work / model.classes[source.class].work))
    };
    Ok(Plan {
        cost: flows.iter().map(price).sum(),
        bound: network.bound(&answer, refusal),
        moved: before.map_or(0.0, |before| moved_work(before.flows, &flows)),
        faults: network.faults(&tidy, &refused),
        refused: refused.iter().enumerate().filter_map(queries).collect(),
        pool_prices: answer.pool_prices,
        flows,
    })
}

fn by_way(flows: &[Flow]) -> BTreeMap<(Source, usize), f64> {
    let mut held = BTreeMap::new();
    flows.iter().for_each(|flow| *held.entry((flow.source, flow.pool)).or_default() += flow.work);
    held
}

/// Work a second that some flows bring where others did not.
pub fn moved_work(before: &[Flow], after: &[Flow]) -> f64 {
    let held = by_way(before);
    let more = |flow: &Flow| flow.work - held.get(&(flow.source, flow.pool)).copied().unwrap_or(0.0);
    after.iter().map(|flow| more(flow).max(0.0)).sum()
}

impl Plan {
    /// Part of the best possible cost that the plan may be above it, at most.
    pub fn gap(&self) -> f64 {
        ((self.cost - self.bound) / self.bound.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Work a second that a pool is asked for.
    pub fn load(&self, pool: usize) -> f64 {
        // The sum of nothing is -0.
        self.flows.iter().filter(|flow| flow.pool == pool).map(|flow| flow.work).sum::<f64>() + 0.0
    }
}
