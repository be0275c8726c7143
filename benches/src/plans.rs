//! What a plan costs, by the size of the fleet, and how far from the best possible it is at most.

use oatlever_cost::{plan, Class, Link, Model, Pool, PreviousPlan};
use std::time::Instant;

/// s
const PATIENCE: f64 = 60.0;

const PLANS: usize = 20;

/// Zones with some prices each, twice the room that is asked for.
fn model(chance: &mut fastrand::Rng, zones: usize, prices: usize, classes: usize) -> Model {
    let class =
        |n: usize| Class { name: n.to_string(), work: 0.2 + 0.1 * n as f64, benefit: 1.0, reach: None };
    let classes: Vec<Class> = (0..classes).map(class).collect();
    let mut demand = || classes.iter().map(|_| 50.0 + 100.0 * chance.f64()).collect::<Vec<f64>>();
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
    println!("zones  prices  classes    ways   ms anew: median, longest   ms after a change   ms over   gap at most");
    for (zones, prices, classes) in [(3, 1, 1), (3, 2, 3), (5, 2, 5), (10, 1, 20), (10, 3, 20), (20, 3, 20)] {
        let mut chance = fastrand::Rng::with_seed(1);
        let (mut anew, mut after, mut over, mut gap) = (Vec::new(), Vec::new(), Vec::new(), 0.0_f64);
        for _ in 0..PLANS {
            let mut model = model(&mut chance, zones, prices, classes);
            let timed = |model: &Model, previous: Option<PreviousPlan>, times: &mut Vec<f64>| {
                let begun = Instant::now();
                let found = plan(model, previous, PATIENCE).expect("a plan");
                times.push(begun.elapsed().as_secs_f64() * 1e3);
                found
            };
            let first = timed(&model, None, &mut anew);
            gap = gap.max(first.gap());
            model.pools[0].price *= 1.5;
            timed(&model, Some(PreviousPlan { flows: &first.flows, move_price: 0.01 }), &mut after);
            model.demand.iter_mut().flatten().for_each(|demand| *demand *= 2.0);
            let full = timed(&model, None, &mut over);
            assert!(!full.faults.is_empty());
        }
        let median = |times: &mut Vec<f64>| {
            times.sort_by(f64::total_cmp);
            (times[times.len() / 2], times[times.len() - 1])
        };
        let ((usual, longest), after, over) = (median(&mut anew), median(&mut after).0, median(&mut over).0);
        let ways = zones * classes * zones * prices;
        println!(
            "{zones:5} {prices:7} {classes:8} {ways:7} {usual:13.2} {longest:12.2} {after:19.2} {over:9.2} {gap:13.1e}"
        );
    }
}
