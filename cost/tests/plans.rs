//! Tests of plans: against brute force on small fleets, against the lower bound on larger ones, and edge cases.

use oatlever_cost::{plan, Class, Link, Model, Plan, Pool, PreviousPlan};
use std::collections::BTreeMap;

/// Time limit of the solver, s.
const TIME_LIMIT: f64 = 60.0;

fn class(name: &str, work: f64, benefit: f64) -> Class {
    Class { name: name.into(), work, benefit, reach: None }
}

/// A random model in whole units of work, so that an optimal plan in whole units exists.
fn random_model(rng: &mut fastrand::Rng, servers: usize) -> Model {
    let zones = 1 + rng.usize(..3);
    let classes: Vec<Class> = (0..1 + rng.usize(..2))
        .map(|n| Class {
            reach: rng.bool().then(|| 0.01 * f64::from(rng.u8(..4))),
            ..class(&n.to_string(), 1.0, f64::from(rng.u8(1..4)))
        })
        .collect();
    let pool = |rng: &mut fastrand::Rng| Pool {
        zone: rng.usize(..zones),
        price: f64::from(rng.u8(..5)),
        capacity: f64::from(rng.u8(..if servers > 5 { 3 } else { 4 })),
        refuses: if rng.u8(..5) == 0 { vec![0] } else { vec![] },
    };
    let pools = (0..servers).map(|_| pool(rng)).collect();
    let link = |rng: &mut fastrand::Rng, is_local| Link {
        price: if is_local { 0.0 } else { f64::from(rng.u8(..4)) },
        time: if is_local { 0.0 } else { 0.01 * f64::from(rng.u8(..4)) },
        closed: !is_local && rng.u8(..10) == 0,
    };
    let links = (0..zones).map(|from| (0..zones).map(|to| link(rng, from == to)).collect()).collect();
    let demand = (0..zones).map(|_| classes.iter().map(|_| f64::from(rng.u8(..4))).collect()).collect();
    let names = (0..zones).map(|n| n.to_string()).collect();
    Model { zones: names, classes, pools, links, demand, headroom: 0.0 }
}

/// Tries every pool for each unit of work. Returns the least refused benefit and, for it, the least cost.
fn brute_force(model: &Model) -> (f64, f64) {
    let mut states = BTreeMap::from([(
        model.pools.iter().map(|pool| pool.capacity as u8).collect::<Vec<u8>>(),
        (0.0, 0.0),
    )]);
    for (source, work) in model.sources() {
        for _ in 0..work as usize {
            let mut next: BTreeMap<Vec<u8>, (f64, f64)> = BTreeMap::new();
            let mut add = |room: Vec<u8>, value: (f64, f64)| {
                let best = next.entry(room).or_insert(value);
                if value < *best {
                    *best = value;
                }
            };
            for (room, (refused, cost)) in &states {
                add(room.clone(), (refused + model.benefit_per_work(source.class), *cost));
                for pool in 0..room.len() {
                    let Some(price) = model.unit_cost(source, pool).filter(|_| room[pool] > 0) else {
                        continue;
                    };
                    let mut room = room.clone();
                    room[pool] -= 1;
                    add(room, (*refused, cost + price));
                }
            }
            states = next;
        }
    }
    states
        .into_values()
        .fold((f64::INFINITY, f64::INFINITY), |best, value| if value < best { value } else { best })
}

fn refused_benefit(model: &Model, plan: &Plan) -> f64 {
    plan.refused.iter().map(|(source, queries)| queries * model.classes[source.class].benefit).sum()
}

/// Checks capacity, complete service of demand, and that only allowed pools are used.
fn check_constraints(model: &Model, plan: &Plan) {
    for pool in 0..model.pools.len() {
        let (load, room) = (plan.load(pool), model.usable_capacity(pool));
        assert!(load <= room + 1e-5 * (1.0 + room), "pool {pool}: {load} of {room}\n{model:?}");
    }
    for (source, work) in model.sources() {
        let placed: f64 = plan.flows.iter().filter(|f| f.source == source).map(|f| f.work).sum();
        let refused: f64 = plan.refused.iter().filter(|r| r.0 == source).map(|r| r.1).sum();
        let all = placed + refused * model.classes[source.class].work;
        assert!((all - work).abs() <= 1e-6 * (1.0 + work), "{source:?}: {all} of {work}");
    }
    assert!(plan.flows.iter().all(|flow| model.unit_cost(flow.source, flow.pool).is_some()));
}

#[test]
fn plans_match_brute_force() {
    let mut rng = fastrand::Rng::with_seed(4);
    let (mut fitting, mut overloaded) = (0, 0);
    for case in 0..1600 {
        let model = random_model(&mut rng, [1, 2, 3, 4, 5, 3, 4, 8][case % 8]);
        let found = plan(&model, None, TIME_LIMIT).unwrap_or_else(|e| panic!("{e}: {model:?}"));
        check_constraints(&model, &found);
        let (least_refused, least_cost) = brute_force(&model);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-4 * (1.0 + b.abs());
        assert!(close(refused_benefit(&model, &found), least_refused), "{found:?} {least_refused} {model:?}");
        assert!(close(found.cost, least_cost), "{} {least_cost} {found:?} {model:?}", found.cost);
        assert!(found.bound <= least_cost + 1e-4 * (1.0 + least_cost), "{found:?} {least_cost}");
        assert!(found.cost - found.bound <= 1e-3 * (1.0 + found.cost), "{found:?} {model:?}");
        assert_eq!(found.faults.is_empty(), least_refused < 1e-9, "{found:?}");
        for fault in &found.faults {
            // The sources' demand exceeds the capacity of all pools that may serve them by the refused amount.
            let demand: f64 = fault.sources.iter().map(|s| model.demand[s.zone][s.class]).sum();
            let allowed = |pool: &usize| fault.sources.iter().any(|s| model.unit_cost(*s, *pool).is_some());
            let pools: Vec<usize> = (0..model.pools.len()).filter(allowed).collect();
            let room: f64 = pools.iter().map(|pool| model.usable_capacity(*pool)).sum();
            let refused: f64 = fault.refused.iter().map(|(_, queries)| queries).sum();
            assert_eq!(pools, fault.pools);
            assert!(
                close(demand - room, fault.missing) && close(refused, fault.missing),
                "{fault:?} {model:?}"
            );
        }
        if least_refused > 0.0 {
            overloaded += 1;
        } else {
            fitting += 1;
        }
    }
    assert!(fitting > 300 && overloaded > 300, "{fitting} {overloaded}");
}

/// A random model with `pools_per_zone` pools in each zone and about twice the capacity that demand needs.
fn fleet(rng: &mut fastrand::Rng, zones: usize, pools_per_zone: usize, classes: usize) -> Model {
    let classes: Vec<Class> =
        (0..classes).map(|n| class(&n.to_string(), 0.1 + rng.f64(), 1.0 + rng.f64())).collect();
    let demand: Vec<Vec<f64>> =
        (0..zones).map(|_| classes.iter().map(|_| 100.0 * rng.f64()).collect()).collect();
    let work: f64 = demand.iter().flat_map(|row| row.iter().zip(&classes)).map(|(d, c)| d * c.work).sum();
    let capacity = 2.0 * work / (zones * pools_per_zone) as f64;
    let mut pool = |n: usize| Pool {
        zone: n / pools_per_zone,
        price: 1.0 + 3.0 * rng.f64(),
        capacity: capacity * (0.5 + rng.f64()),
        refuses: vec![],
    };
    let pools = (0..zones * pools_per_zone).map(&mut pool).collect();
    let mut link = |is_local| Link { price: if is_local { 0.0 } else { 0.3 * rng.f64() }, ..Link::default() };
    let links = (0..zones).map(|from| (0..zones).map(|to| link(from == to)).collect()).collect();
    let zones = (0..zones).map(|n| n.to_string()).collect();
    Model { zones, classes, pools, links, demand, headroom: 0.1 }
}

/// On models too large for brute force, the cost is close to the lower bound, and the bound equals the dual objective
/// at the reported pool prices.
#[test]
fn larger_plans_are_close_to_the_lower_bound() {
    let mut rng = fastrand::Rng::with_seed(6);
    for (zones, pools_per_zone, classes) in [(3, 2, 3), (5, 4, 5), (10, 3, 20)] {
        let model = fleet(&mut rng, zones, pools_per_zone, classes);
        let found = plan(&model, None, TIME_LIMIT).unwrap();
        check_constraints(&model, &found);
        assert!(found.faults.is_empty() && found.gap() < 1e-4, "{}", found.gap());
        let pools = 0..model.pools.len();
        let min_price = |source| {
            let prices =
                pools.clone().filter_map(|p| Some(model.unit_cost(source, p)? + found.pool_prices[p]));
            prices.fold(f64::INFINITY, f64::min)
        };
        let demand_value: f64 = model.sources().iter().map(|(source, work)| work * min_price(*source)).sum();
        let pool_value: f64 = pools.clone().map(|p| found.pool_prices[p] * model.usable_capacity(p)).sum();
        assert!(
            (demand_value - pool_value - found.bound).abs() < 1e-6 * found.bound,
            "{demand_value} {pool_value} {}",
            found.bound
        );
        // A small capacity increase saves what the pool's price predicts.
        let pool = pools.max_by(|a, b| found.pool_prices[*a].total_cmp(&found.pool_prices[*b])).unwrap();
        let mut enlarged = model.clone();
        enlarged.pools[pool].capacity *= 1.001;
        let saved = found.cost - plan(&enlarged, None, TIME_LIMIT).unwrap().cost;
        let predicted =
            found.pool_prices[pool] * (enlarged.usable_capacity(pool) - model.usable_capacity(pool));
        assert!((saved - predicted).abs() <= 0.05 * predicted + 1e-6 * found.cost, "{saved} {predicted}");
    }
}

#[test]
fn edge_cases_have_plans() {
    let one = |price: f64, capacity: f64, refuses: Vec<usize>| Model {
        zones: vec!["a".into()],
        classes: vec![class("x", 1.0, 1.0), class("y", 2.0, 5.0)],
        pools: vec![Pool { zone: 0, price, capacity, refuses }],
        links: vec![],
        demand: vec![vec![10.0, 5.0]],
        headroom: 0.0,
    };
    for price in [0.0, 1e-6, 1.0, 1e9] {
        let found = plan(&one(price, 25.0, vec![]), None, TIME_LIMIT).unwrap();
        check_constraints(&one(price, 25.0, vec![]), &found);
        assert!(
            (found.cost - 20.0 * price).abs() <= 1e-4 * found.cost && found.faults.is_empty(),
            "{found:?}"
        );
    }
    // A class that no pool serves; and without room for both, the class with the lower benefit per work is refused.
    let found = plan(&one(1.0, 25.0, vec![1]), None, TIME_LIMIT).unwrap();
    assert_eq!((found.faults.len(), found.faults[0].pools.len()), (1, 0));
    assert_eq!(found.refused, [(oatlever_cost::Source { zone: 0, class: 1 }, 5.0)]);
    let tight = plan(&one(1.0, 12.0, vec![]), None, TIME_LIMIT).unwrap();
    assert_eq!(tight.refused.len(), 1);
    assert!((tight.refused[0].1 - 8.0).abs() < 1e-3 && tight.refused[0].0.class == 0, "{tight:?}");
    assert!((tight.faults[0].missing - 8.0).abs() < 1e-3 && tight.faults[0].sources.len() == 2, "{tight:?}");
    // No capacity, no demand, and invalid demand.
    let none = plan(&one(1.0, 0.0, vec![]), None, TIME_LIMIT).unwrap();
    assert!(none.flows.is_empty() && none.refused.len() == 2, "{none:?}");
    let mut idle = one(1.0, 5.0, vec![]);
    idle.demand = vec![vec![0.0, 0.0]];
    assert_eq!(plan(&idle, None, TIME_LIMIT).unwrap().cost, 0.0);
    idle.demand = vec![vec![f64::NAN, 0.0]];
    assert_eq!(
        plan(&idle, None, TIME_LIMIT),
        Err("/demand/0/0: NaN is not a finite number of 0 or more".to_string())
    );
}

/// Ties don't oscillate: flows of the previous plan stay unless moving them saves more than the move price.
#[test]
fn previous_plan_changes_only_if_it_pays() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut model = fleet(&mut rng, 3, 2, 2);
    let first = plan(&model, None, TIME_LIMIT).unwrap();
    let again =
        plan(&model, Some(PreviousPlan { flows: &first.flows, move_price: 0.01 }), TIME_LIMIT).unwrap();
    let total: f64 = first.flows.iter().map(|flow| flow.work).sum();
    assert!(again.moved < 1e-4 * total, "{} of {total}", again.moved);
    for (dearer, moves) in [(0.05, false), (4.0, true)] {
        let used = (0..6).max_by(|a, b| first.load(*a).total_cmp(&first.load(*b))).unwrap();
        let mut changed = model.clone();
        changed.pools[used].price += dearer;
        let next =
            plan(&changed, Some(PreviousPlan { flows: &first.flows, move_price: 0.5 }), TIME_LIMIT).unwrap();
        assert_eq!(next.moved > 0.01 * total, moves, "{dearer}: {}", next.moved);
        assert!(next.cost + 0.5 * next.moved <= plan_cost(&changed, &first) + 1e-4 * next.cost);
    }
    // With equal prices, the plan doesn't depend on the order of the pools.
    model.pools.iter_mut().for_each(|pool| pool.price = 1.0);
    model.links.clear();
    let one = plan(&model, None, TIME_LIMIT).unwrap();
    model.pools.reverse();
    let other = plan(&model, None, TIME_LIMIT).unwrap();
    for pool in 0..6 {
        assert!((one.load(pool) - other.load(5 - pool)).abs() < 1e-2 * total, "{pool}");
    }
}

fn plan_cost(model: &Model, plan: &Plan) -> f64 {
    plan.flows.iter().map(|flow| model.unit_cost(flow.source, flow.pool).unwrap() * flow.work).sum()
}
