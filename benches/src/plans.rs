//! Duration of planning by the size of the fleet, and the largest gap between a plan and the optimum.

use oatlever_cost::{plan, Class, Link, Model, Pool, PreviousPlan};
use std::time::Instant;

/// Time limit of the planner, in seconds.
const TIME_LIMIT: f64 = 60.0;

/// Number of models for each size.
const MODELS: usize = 20;

/// Returns a model with random demand, `prices` pools per zone and twice the capacity needed.
fn model(rng: &mut fastrand::Rng, zones: usize, prices: usize, classes: usize) -> Model {
    let class =
        |n: usize| Class { name: n.to_string(), work: 0.2 + 0.1 * n as f64, benefit: 1.0, reach: None };
    let classes: Vec<Class> = (0..classes).map(class).collect();
    let mut demand = || classes.iter().map(|_| 50.0 + 100.0 * rng.f64()).collect::<Vec<f64>>();
    let demand: Vec<Vec<f64>> = (0..zones).map(|_| demand()).collect();
    let work: f64 = demand.iter().flat_map(|row| row.iter().zip(&classes)).map(|(d, c)| d * c.work).sum();
    let pool = |n: usize| Pool {
        zone: n / prices,
        price: 1.0 + (n % 7) as f64 / 3.0,
        capacity: 2.0 * work / (zones * prices) as f64,
        refuses: Vec::new(),
    };
    let link = |from, to| Link { price: if from == to { 0.0 } else { 0.1 }, ..Link::default() };
    Model {
        zones: (0..zones).map(|n| n.to_string()).collect(),
        pools: (0..zones * prices).map(pool).collect(),
        links: (0..zones).map(|from| (0..zones).map(|to| link(from, to)).collect()).collect(),
        classes,
        demand,
        headroom: 0.2,
    }
}

pub fn measure() {
    println!(
        "zones  prices  classes   flows   ms from scratch: median, longest   ms after a change   ms overloaded   max gap"
    );
    for (zones, prices, classes) in [(3, 1, 1), (3, 2, 3), (5, 2, 5), (10, 1, 20), (10, 3, 20), (20, 3, 20)] {
        let mut rng = fastrand::Rng::with_seed(1);
        let (mut scratch, mut changed, mut overloaded, mut gap) =
            (Vec::new(), Vec::new(), Vec::new(), 0.0_f64);
        for _ in 0..MODELS {
            let mut model = model(&mut rng, zones, prices, classes);
            let timed_plan = |model: &Model, steady: Option<PreviousPlan>, times: &mut Vec<f64>| {
                let start = Instant::now();
                let plan = plan(model, steady, TIME_LIMIT).expect("a plan");
                times.push(start.elapsed().as_secs_f64() * 1e3);
                plan
            };
            let first = timed_plan(&model, None, &mut scratch);
            gap = gap.max(first.gap());
            model.pools[0].price *= 1.5;
            timed_plan(&model, Some(PreviousPlan { flows: &first.flows, move_price: 0.01 }), &mut changed);
            model.demand.iter_mut().flatten().for_each(|demand| *demand *= 2.0);
            let overfull = timed_plan(&model, None, &mut overloaded);
            assert!(!overfull.faults.is_empty());
        }
        let median_and_longest = |times: &mut Vec<f64>| {
            times.sort_by(f64::total_cmp);
            (times[times.len() / 2], times[times.len() - 1])
        };
        let (median, longest) = median_and_longest(&mut scratch);
        let (changed, overloaded) =
            (median_and_longest(&mut changed).0, median_and_longest(&mut overloaded).0);
        let flows = zones * classes * zones * prices;
        println!(
            "{zones:5} {prices:7} {classes:8} {flows:7} {median:21.2} {longest:12.2} {changed:19.2} {overloaded:15.2} {gap:9.1e}"
        );
    }
}
