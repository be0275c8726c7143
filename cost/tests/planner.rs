//! The planner: what it takes for demand and capacity, how far it moves, and when there is no plan.

use oatlever::round::{Address, ProxyQueries, Tries};
use oatlever_cost::{CapacityEstimator, Link, NoPlan, Planner, PlannerConfig, ZoneObservation, ZoneServers};
use std::collections::BTreeMap;

fn address(zone: usize) -> Address {
    Address { host: [10, 0, zone as u8, 1], port: 7000 }
}

/// Zones with a price each, one asker a zone; queries and what becomes of them are told once a second. Tries
/// stay under what would tell that servers carry more than stated.
struct Fleet {
    planner: Planner,
    zones: Vec<ZoneServers>,
    now: f64,
}

impl Fleet {
    fn new(figures: PlannerConfig, prices: &[f64], links: Vec<Vec<Link>>, weight: f64) -> Self {
        let zones = vec![ZoneServers { weight }; prices.len()];
        Fleet { planner: Planner::new(figures, prices.to_vec(), links, Some(2.0)), zones, now: 100.0 }
    }

    fn hear(&mut self, demand: &[f64], loads: &[f64], time: f64) {
        self.now += 1.0;
        let asked = |(zone, came): (usize, &f64)| ProxyQueries {
            proxy: zone as u16,
            class: 0,
            received: *came,
            span: 1.0,
        };
        let queries: Vec<_> = demand.iter().enumerate().map(asked).collect();
        let met = |(zone, load): (usize, &f64)| Tries {
            server: address(zone),
            zone: 0,
            tries: *load,
            failed: 0.0,
            time,
            span: 1.0,
        };
        let tries: Vec<_> = loads.iter().enumerate().map(met).collect();
        let zone = |server: &Address| Some(usize::from(server.host[2]));
        self.planner.observe(&queries, &tries, zone, &self.zones, self.now);
    }

    fn plan(&mut self) -> Result<Vec<Vec<f64>>, NoPlan> {
        self.planner.plan(usize::from, &self.zones, self.now).map(|decided| decided.routing.parts)
    }

    /// Plans until nothing moves any more.
    fn settled(&mut self, demand: &[f64], loads: &[f64]) -> Vec<Vec<f64>> {
        for _ in 0..12 {
            self.hear(demand, loads, 0.1);
            self.plan().unwrap();
        }
        self.plan().unwrap()
    }
}

fn stated(carries: f64) -> PlannerConfig {
    PlannerConfig { carries: Some(carries), headroom: 0.1, ..PlannerConfig::default() }
}

/// What a zone gets, queries a second.
fn load(parts: &[Vec<f64>], demand: &[f64], zone: usize) -> f64 {
    parts.iter().zip(demand).map(|(parts, demand)| parts[zone] * demand).sum()
}

/// The cheap zone is filled up to its headroom, the rest stays where it is; then all its servers go at once.
#[test]
fn the_cheap_zone_is_filled_and_left_when_it_goes() {
    let mut fleet = Fleet::new(stated(10.0), &[1.0, 3.0, 3.0], vec![], 5.0);
    let demand = [20.0, 30.0, 30.0];
    let parts = fleet.settled(&demand, &[30.0, 25.0, 25.0]);
    assert!((load(&parts, &demand, 0) - 45.0).abs() < 0.5, "{parts:?}");
    fleet.zones[0].weight = 0.0;
    fleet.hear(&demand, &[0.0, 30.0, 30.0], 0.1);
    let parts = fleet.plan().unwrap();
    assert!(load(&parts, &demand, 0) < 1e-3, "no steps where what is left can't carry: {parts:?}");
    assert!((1..3).all(|zone| load(&parts, &demand, zone) <= 45.0 + 1e-3), "{parts:?}");
    // A zone lost while half of the servers of the next are warming: nothing fits, and it says so.
    (fleet.zones[1].weight, fleet.zones[2].weight) = (2.5, 5.0);
    fleet.hear(&demand, &[0.0, 15.0, 30.0], 0.1);
    let Err(NoPlan::Over(plan)) = fleet.plan() else { panic!("80 queries a second for 67.5") };
    assert!((plan.faults[0].missing - 12.5).abs() < 0.1 && plan.faults.len() == 1, "{plan:?}");
    // Warm again.
    fleet.zones[1].weight = 5.0;
    fleet.hear(&demand, &[0.0, 30.0, 30.0], 0.1);
    assert!(fleet.plan().is_ok());
}

/// A zone that is too far for the tightest due time gets nothing, however cheap.
#[test]
fn queries_go_no_farther_than_they_may() {
    let far = Link { time: 0.6, ..Link::default() };
    let links = vec![vec![Link::default(), far], vec![far, Link::default()]];
    let mut fleet = Fleet::new(stated(10.0), &[1.0, 9.0], links, 10.0);
    let parts = fleet.settled(&[20.0, 20.0], &[20.0, 20.0]);
    assert!(parts[1][0] < 1e-6 && parts[0][1] < 1e-6, "{parts:?}");
}

/// Prices that are equal or change by little under way move nothing; a gain that pays moves in steps.
#[test]
fn queries_move_only_for_what_pays() {
    let figures = PlannerConfig { move_price: 30.0, pays_within: 60.0, ..stated(10.0) };
    let mut fleet = Fleet::new(figures, &[2.0, 2.0], vec![], 10.0);
    let demand = [40.0, 40.0];
    let first = fleet.settled(&demand, &[40.0, 40.0]);
    let mut chance = fastrand::Rng::with_seed(2);
    for _ in 0..60 {
        let demand = [36.0 + 8.0 * chance.f64(), 36.0 + 8.0 * chance.f64()];
        fleet.hear(&demand, &demand, 0.1);
        let parts = fleet.plan().unwrap();
        let away = parts.iter().flatten().zip(first.iter().flatten()).map(|(a, b)| (a - b).abs());
        assert!(away.fold(0.0, f64::max) < 0.02, "{parts:?} {first:?}");
    }
    // 0.5 is what a move costs a second: 0.4 less does not pay, 0.6 does.
    for (price, moves) in [(1.6, false), (1.4, true)] {
        fleet.planner.set_price(1, price);
        fleet.hear(&demand, &demand, 0.1);
        let parts = fleet.plan().unwrap();
        let change: Vec<f64> = (0..2).map(|zone| parts[zone][1] - first[zone][1]).collect();
        assert_eq!(change.iter().any(|more| *more > 0.05), moves, "{price}: {parts:?} {first:?}");
        assert!(change.iter().all(|more| *more <= 0.25 + 1e-6), "{change:?}");
    }
}

/// Reports that stop widen what is expected, and after a while there is no plan.
#[test]
fn late_reports_widen_the_margins_and_then_there_is_no_plan() {
    let mut fleet = Fleet::new(stated(10.0), &[1.0, 2.0], vec![], 10.0);
    assert_eq!(fleet.plan(), Err(NoPlan::Unknown));
    let demand = [50.0, 30.0];
    let parts = fleet.settled(&demand, &[60.0, 0.0]);
    assert!((load(&parts, &demand, 0) - 80.0).abs() < 0.5, "{parts:?}");
    // Five seconds old: 100 may come, and the cheap zone may have 90.
    fleet.now += 5.0;
    let parts = fleet.plan().unwrap();
    assert!((load(&parts, &demand, 0) - 72.0).abs() < 0.5, "{parts:?}");
    fleet.now += 10.1;
    assert_eq!(fleet.plan(), Err(NoPlan::Unknown));
}

/// Zones that answer as a queue of a few cores does: at `true_carry` they are full.
fn answers(load: f64, weight: f64, true_carry: f64) -> ZoneObservation {
    let full = load / weight / true_carry;
    let time = if full < 1.0 { 0.1 * (1.0 + full.powi(8) / (1.0 - full)) } else { 3.0 };
    let failed = (load - weight * true_carry).max(0.0);
    ZoneObservation { weight, answered: load - failed, failed, time }
}

/// What servers carry is stated wrong by 30% either way: a zone that is filled by the figure shows it.
#[test]
fn a_wrong_capacity_is_found_out() {
    for true_carry in [7.0, 10.0, 13.0] {
        let mut carry = CapacityEstimator::new(Some(10.0), None);
        let mut most_over = 0;
        for second in 0..200 {
            let figure = carry.estimate().unwrap();
            let filled = answers(0.9 * figure * 10.0, 10.0, true_carry);
            most_over += usize::from(second > 10 && filled.failed > 0.0);
            let met = BTreeMap::from([(0, filled), (1, answers(20.0, 10.0, true_carry))]);
            carry.observe(&met, f64::from(second) + 1.0);
        }
        let figure = carry.estimate().unwrap();
        // What is stated is not gone beyond.
        assert!(
            figure > 0.75 * true_carry.min(10.0) && figure < 1.2 * true_carry,
            "{figure} of {true_carry}"
        );
        assert!(figure <= 10.0);
        assert!(most_over <= 6, "{true_carry}: over for {most_over} s of 190");
    }
    // Nothing stated: what was seen is proven, and grows while it is answered as quickly as ever.
    let mut carry = CapacityEstimator::new(None, None);
    for second in 0..120 {
        let load = carry.estimate().map_or(30.0, |figure| figure * 9.0);
        carry.observe(&BTreeMap::from([(0, answers(load, 10.0, 10.0))]), f64::from(second) + 1.0);
    }
    assert!((6.0..11.0).contains(&carry.estimate().unwrap()), "{:?}", carry.estimate());
}
