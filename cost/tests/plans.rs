//! Plans against brute force on small fleets, against their certificates on all, and the hard cases.

use oatlever_cost::{plan, Class, Link, Model, Plan, Pool, PreviousPlan};
use std::collections::BTreeMap;

/// s
const PATIENCE: f64 = 60.0;

fn class(name: &str, work: f64, benefit: f64) -> Class {
    Class { name: name.into(), work, benefit, reach: None }
}

/// A fleet whose amounts are whole numbers of units of work: then the best plan is one of whole units too.
fn drawn(chance: &mut fastrand::Rng, servers: usize) -> Model {
    let zones = 1 + chance.usize(..3);
    let classes: Vec<Class> = (0..1 + chance.usize(..2))
        .map(|n| Class {
            reach: chance.bool().then(|| 0.01 * f64::from(chance.u8(..4))),
            ..class(&n.to_string(), 1.0, f64::from(chance.u8(1..4)))
        })
        .collect();
    let pool = |chance: &mut fastrand::Rng| Pool {
        zone: chance.usize(..zones),
        price: f64::from(chance.u8(..5)),
        capacity: f64::from(chance.u8(..if servers > 5 { 3 } else { 4 })),
        refuses: if chance.u8(..5) == 0 { vec![0] } else { vec![] },
    };
    let pools = (0..servers).map(|_| pool(chance)).collect();
    let link = |chance: &mut fastrand::Rng, own| Link {
        price: if own { 0.0 } else { f64::from(chance.u8(..4)) },
        time: if own { 0.0 } else { 0.01 * f64::from(chance.u8(..4)) },
        closed: !own && chance.u8(..10) == 0,
    };
    let links = (0..zones).map(|from| (0..zones).map(|to| link(chance, from == to)).collect()).collect();
    let demand = (0..zones).map(|_| classes.iter().map(|_| f64::from(chance.u8(..4))).collect()).collect();
    let names = (0..zones).map(|n| n.to_string()).collect();
    Model { zones: names, classes, pools, links, demand, headroom: 0.0 }
}

/// By trying every way for each unit of work: the least benefit refused, then the least cost.
fn brute_force(model: &Model) -> (f64, f64) {
    let mut states = BTreeMap::from([(
        model.pools.iter().map(|pool| pool.capacity as u8).collect::<Vec<u8>>(),
        (0.0, 0.0),
    )]);
    for (source, work) in model.sources() {
        for _ in 0..work as usize {
            let mut next: BTreeMap<Vec<u8>, (f64, f64)> = BTreeMap::new();
            let mut reach = |room: Vec<u8>, found: (f64, f64)| {
                let best = next.entry(room).or_insert(found);
                if found < *best {
                    *best = found;
                }
            };
            for (room, (lost, cost)) in &states {
                reach(room.clone(), (lost + model.benefit_per_work(source.class), *cost));
                for pool in 0..room.len() {
                    let Some(price) = model.unit_cost(source, pool).filter(|_| room[pool] > 0) else {
                        continue;
                    };
                    let mut room = room.clone();
                    room[pool] -= 1;
                    reach(room, (*lost, cost + price));
                }
            }
            states = next;
        }
    }
    states
        .into_values()
        .fold((f64::INFINITY, f64::INFINITY), |best, found| if found < best { found } else { best })
}

fn lost(model: &Model, plan: &Plan) -> f64 {
    plan.refused.iter().map(|(source, queries)| queries * model.classes[source.class].benefit).sum()
}

/// What any plan must keep, by a plain recount.
fn kept(model: &Model, plan: &Plan) {
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
fn plans_are_as_cheap_as_brute_force() {
    let mut chance = fastrand::Rng::with_seed(4);
    let (mut fitting, mut over) = (0, 0);
    for case in 0..1600 {
        let model = drawn(&mut chance, [1, 2, 3, 4, 5, 3, 4, 8][case % 8]);
        let found = plan(&model, None, PATIENCE).unwrap_or_else(|e| panic!("{e}: {model:?}"));
        kept(&model, &found);
        let (least_lost, least_cost) = brute_force(&model);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-4 * (1.0 + b.abs());
        assert!(close(lost(&model, &found), least_lost), "{found:?} {least_lost} {model:?}");
        assert!(close(found.cost, least_cost), "{} {least_cost} {found:?} {model:?}", found.cost);
        assert!(found.bound <= least_cost + 1e-4 * (1.0 + least_cost), "{found:?} {least_cost}");
        assert!(found.cost - found.bound <= 1e-3 * (1.0 + found.cost), "{found:?} {model:?}");
        assert_eq!(found.faults.is_empty(), least_lost < 1e-9, "{found:?}");
        for fault in &found.faults {
            // Those sources ask for more than all pools that they may go to can carry, by what is refused.
            let asked: f64 = fault.sources.iter().map(|s| model.demand[s.zone][s.class]).sum();
            let may = |pool: &usize| fault.sources.iter().any(|s| model.unit_cost(*s, *pool).is_some());
            let pools: Vec<usize> = (0..model.pools.len()).filter(may).collect();
            let room: f64 = pools.iter().map(|pool| model.usable_capacity(*pool)).sum();
            let refused: f64 = fault.refused.iter().map(|(_, queries)| queries).sum();
            assert_eq!(pools, fault.pools);
            assert!(
                close(asked - room, fault.missing) && close(refused, fault.missing),
                "{fault:?} {model:?}"
            );
        }
        if least_lost > 0.0 {
            over += 1;
        } else {
            fitting += 1;
        }
    }
    assert!(fitting > 300 && over > 300, "{fitting} {over}");
}

/// So many pools in each of so many zones, with room for about twice the demand.
fn fleet(chance: &mut fastrand::Rng, zones: usize, each: usize, classes: usize) -> Model {
    let classes: Vec<Class> =
        (0..classes).map(|n| class(&n.to_string(), 0.1 + chance.f64(), 1.0 + chance.f64())).collect();
    let demand: Vec<Vec<f64>> =
        (0..zones).map(|_| classes.iter().map(|_| 100.0 * chance.f64()).collect()).collect();
    let work: f64 = demand.iter().flat_map(|row| row.iter().zip(&classes)).map(|(d, c)| d * c.work).sum();
    let room = 2.0 * work / (zones * each) as f64;
    let mut pool = |n: usize| Pool {
        zone: n / each,
        price: 1.0 + 3.0 * chance.f64(),
        capacity: room * (0.5 + chance.f64()),
        refuses: vec![],
    };
    let pools = (0..zones * each).map(&mut pool).collect();
    let mut link = |own| Link { price: if own { 0.0 } else { 0.3 * chance.f64() }, ..Link::default() };
    let links = (0..zones).map(|from| (0..zones).map(|to| link(from == to)).collect()).collect();
    let zones = (0..zones).map(|n| n.to_string()).collect();
    Model { zones, classes, pools, links, demand, headroom: 0.1 }
}

/// Too large for brute force: the certificate says how far from the best a plan is, and holds by a recount of
/// weak duality with the prices told.
#[test]
fn larger_plans_are_near_the_best_by_their_certificates() {
    let mut chance = fastrand::Rng::with_seed(6);
    for (zones, each, classes) in [(3, 2, 3), (5, 4, 5), (10, 3, 20)] {
        let model = fleet(&mut chance, zones, each, classes);
        let found = plan(&model, None, PATIENCE).unwrap();
        kept(&model, &found);
        assert!(found.faults.is_empty() && found.gap() < 1e-4, "{}", found.gap());
        let pools = 0..model.pools.len();
        let least = |source| {
            let ways = pools.clone().filter_map(|p| Some(model.unit_cost(source, p)? + found.pool_prices[p]));
            ways.fold(f64::INFINITY, f64::min)
        };
        let from: f64 = model.sources().iter().map(|(source, work)| work * least(*source)).sum();
        let to: f64 = pools.clone().map(|p| found.pool_prices[p] * model.usable_capacity(p)).sum();
        assert!((from - to - found.bound).abs() < 1e-6 * found.bound, "{from} {to} {}", found.bound);
        // A unit more of a pool saves what its price says, as far as a small step goes.
        let pool = pools.max_by(|a, b| found.pool_prices[*a].total_cmp(&found.pool_prices[*b])).unwrap();
        let mut more = model.clone();
        more.pools[pool].capacity *= 1.001;
        let saved = found.cost - plan(&more, None, PATIENCE).unwrap().cost;
        let told = found.pool_prices[pool] * (more.usable_capacity(pool) - model.usable_capacity(pool));
        assert!((saved - told).abs() <= 0.05 * told + 1e-6 * found.cost, "{saved} {told}");
    }
}

#[test]
fn odd_prices_and_fleets_have_plans() {
    let one = |price: f64, capacity: f64, refuses: Vec<usize>| Model {
        zones: vec!["a".into()],
        classes: vec![class("x", 1.0, 1.0), class("y", 2.0, 5.0)],
        pools: vec![Pool { zone: 0, price, capacity, refuses }],
        links: vec![],
        demand: vec![vec![10.0, 5.0]],
        headroom: 0.0,
    };
    for price in [0.0, 1e-6, 1.0, 1e9] {
        let found = plan(&one(price, 25.0, vec![]), None, PATIENCE).unwrap();
        kept(&one(price, 25.0, vec![]), &found);
        assert!(
            (found.cost - 20.0 * price).abs() <= 1e-4 * found.cost && found.faults.is_empty(),
            "{found:?}"
        );
    }
    // A class that no server takes, and one that is worth less for its work where both don't fit.
    let found = plan(&one(1.0, 25.0, vec![1]), None, PATIENCE).unwrap();
    assert_eq!((found.faults.len(), found.faults[0].pools.len()), (1, 0));
    assert_eq!(found.refused, [(oatlever_cost::Source { zone: 0, class: 1 }, 5.0)]);
    let tight = plan(&one(1.0, 12.0, vec![]), None, PATIENCE).unwrap();
    assert_eq!(tight.refused.len(), 1);
    assert!((tight.refused[0].1 - 8.0).abs() < 1e-3 && tight.refused[0].0.class == 0, "{tight:?}");
    assert!((tight.faults[0].missing - 8.0).abs() < 1e-3 && tight.faults[0].sources.len() == 2, "{tight:?}");
    // No server at all, nobody who asks, and amounts that are none.
    let none = plan(&one(1.0, 0.0, vec![]), None, PATIENCE).unwrap();
    assert!(none.flows.is_empty() && none.refused.len() == 2, "{none:?}");
    let mut idle = one(1.0, 5.0, vec![]);
    idle.demand = vec![vec![0.0, 0.0]];
    assert_eq!(plan(&idle, None, PATIENCE).unwrap().cost, 0.0);
    idle.demand = vec![vec![f64::NAN, 0.0]];
    assert_eq!(plan(&idle, None, PATIENCE), Err("/demand/0/0: NaN is no amount of 0 or more".to_string()));
}

/// Among ways that cost the same nothing swings; what was in place stays unless leaving it pays.
#[test]
fn a_plan_before_is_left_only_for_what_pays() {
    let mut chance = fastrand::Rng::with_seed(8);
    let mut model = fleet(&mut chance, 3, 2, 2);
    let first = plan(&model, None, PATIENCE).unwrap();
    let again = plan(&model, Some(PreviousPlan { flows: &first.flows, move_price: 0.01 }), PATIENCE).unwrap();
    let whole: f64 = first.flows.iter().map(|flow| flow.work).sum();
    assert!(again.moved < 1e-4 * whole, "{} of {whole}", again.moved);
    for (dearer, moves) in [(0.05, false), (4.0, true)] {
        let used = (0..6).max_by(|a, b| first.load(*a).total_cmp(&first.load(*b))).unwrap();
        let mut changed = model.clone();
        changed.pools[used].price += dearer;
        let next =
            plan(&changed, Some(PreviousPlan { flows: &first.flows, move_price: 0.5 }), PATIENCE).unwrap();
        assert_eq!(next.moved > 0.01 * whole, moves, "{dearer}: {}", next.moved);
        assert!(next.cost + 0.5 * next.moved <= plan_cost(&changed, &first) + 1e-4 * next.cost);
    }
    // All prices the same: the same plan, whatever the order of pools.
    model.pools.iter_mut().for_each(|pool| pool.price = 1.0);
    model.links.clear();
    let one = plan(&model, None, PATIENCE).unwrap();
    model.pools.reverse();
    let other = plan(&model, None, PATIENCE).unwrap();
    for pool in 0..6 {
        assert!((one.load(pool) - other.load(5 - pool)).abs() < 1e-2 * whole, "{pool}");
    }
}

fn plan_cost(model: &Model, plan: &Plan) -> f64 {
    plan.flows.iter().map(|flow| model.unit_cost(flow.source, flow.pool).unwrap() * flow.work).sum()
}
