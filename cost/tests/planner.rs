//! Tests of the planner: demand and capacity estimation, limits on moves, and the cases without a plan.

use oatlever::round::{Address, ProxyQueries, Tries};
use oatlever_cost::{CapacityEstimator, Link, NoPlan, Planner, PlannerConfig, ZoneObservation, ZoneServers};
use std::collections::BTreeMap;

fn address(zone: usize) -> Address {
    Address { host: [10, 0, zone as u8, 1], port: 7000 }
}

/// Simulated zones with one price and one asker each; queries and tries are reported once per second.
struct Fleet {
    planner: Planner,
    zones: Vec<ZoneServers>,
    now: f64,
}

impl Fleet {
    fn new(config: PlannerConfig, prices: &[f64], links: Vec<Vec<Link>>, weight: f64) -> Self {
        let zones = vec![ZoneServers { weight }; prices.len()];
        Fleet { planner: Planner::new(config, prices.to_vec(), links, Some(2.0)), zones, now: 100.0 }
    }

    fn observe(&mut self, demand: &[f64], loads: &[f64], time: f64) {
        self.now += 1.0;
        let queries = |(zone, rate): (usize, &f64)| ProxyQueries {
            proxy: zone as u16,
            class: 0,
            received: *rate,
            span: 1.0,
        };
        let queries: Vec<_> = demand.iter().enumerate().map(queries).collect();
        let tries = |(zone, load): (usize, &f64)| Tries {
            server: address(zone),
            zone: 0,
            tries: *load,
            failed: 0.0,
            time,
            span: 1.0,
        };
        let tries: Vec<_> = loads.iter().enumerate().map(tries).collect();
        let zone_of = |server: &Address| Some(usize::from(server.host[2]));
        self.planner.observe(&queries, &tries, zone_of, &self.zones, self.now);
    }

    fn plan(&mut self) -> Result<Vec<Vec<f64>>, NoPlan> {
        self.planner.plan(usize::from, &self.zones, self.now).map(|decision| decision.routing.shares)
    }

    /// Plans until the flows have converged.
    fn converge(&mut self, demand: &[f64], loads: &[f64]) -> Vec<Vec<f64>> {
        for _ in 0..12 {
            self.observe(demand, loads, 0.1);
            self.plan().unwrap();
        }
        self.plan().unwrap()
    }
}

fn config(capacity: f64) -> PlannerConfig {
    PlannerConfig { carries: Some(capacity), headroom: 0.1, ..PlannerConfig::default() }
}

/// Queries per second that a zone receives.
fn load(shares: &[Vec<f64>], demand: &[f64], zone: usize) -> f64 {
    shares.iter().zip(demand).map(|(shares, demand)| shares[zone] * demand).sum()
}

/// The cheapest zone is filled up to its headroom. When it loses all servers, its queries move away at once instead
/// of in steps, and if they don't fit elsewhere, the shortage is reported.
#[test]
fn cheapest_zone_is_filled_and_abandoned_when_lost() {
    let mut fleet = Fleet::new(config(10.0), &[1.0, 3.0, 3.0], vec![], 5.0);
    let demand = [20.0, 30.0, 30.0];
    let shares = fleet.converge(&demand, &[30.0, 25.0, 25.0]);
    assert!((load(&shares, &demand, 0) - 45.0).abs() < 0.5, "{shares:?}");
    fleet.zones[0].weight = 0.0;
    fleet.observe(&demand, &[0.0, 30.0, 30.0], 0.1);
    let shares = fleet.plan().unwrap();
    assert!(load(&shares, &demand, 0) < 1e-3, "moved in steps although the zone has no capacity: {shares:?}");
    assert!((1..3).all(|zone| load(&shares, &demand, zone) <= 45.0 + 1e-3), "{shares:?}");
    // Another zone has half of its capacity while its servers warm up: demand no longer fits.
    (fleet.zones[1].weight, fleet.zones[2].weight) = (2.5, 5.0);
    fleet.observe(&demand, &[0.0, 15.0, 30.0], 0.1);
    let Err(NoPlan::Over(plan)) = fleet.plan() else {
        panic!("80 queries per second fit into a capacity of 67.5")
    };
    assert!((plan.faults[0].missing - 12.5).abs() < 0.1 && plan.faults.len() == 1, "{plan:?}");
    // All servers are warm again.
    fleet.zones[1].weight = 5.0;
    fleet.observe(&demand, &[0.0, 30.0, 30.0], 0.1);
    assert!(fleet.plan().is_ok());
}

/// A zone too far away for the shortest due time receives nothing, however cheap it is.
#[test]
fn due_time_limits_distance() {
    let far = Link { time: 0.6, ..Link::default() };
    let links = vec![vec![Link::default(), far], vec![far, Link::default()]];
    let mut fleet = Fleet::new(config(10.0), &[1.0, 9.0], links, 10.0);
    let shares = fleet.converge(&[20.0, 20.0], &[20.0, 20.0]);
    assert!(shares[1][0] < 1e-6 && shares[0][1] < 1e-6, "{shares:?}");
}

/// Equal prices and small changes of demand or price move nothing; a gain above the move price moves in steps.
#[test]
fn queries_move_only_if_the_gain_pays() {
    let config = PlannerConfig { move_price: 30.0, pays_within: 60.0, ..config(10.0) };
    let mut fleet = Fleet::new(config, &[2.0, 2.0], vec![], 10.0);
    let demand = [40.0, 40.0];
    let first = fleet.converge(&demand, &[40.0, 40.0]);
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..60 {
        let demand = [36.0 + 8.0 * rng.f64(), 36.0 + 8.0 * rng.f64()];
        fleet.observe(&demand, &demand, 0.1);
        let shares = fleet.plan().unwrap();
        let change = shares.iter().flatten().zip(first.iter().flatten()).map(|(a, b)| (a - b).abs());
        assert!(change.fold(0.0, f64::max) < 0.02, "{shares:?} {first:?}");
    }
    // A move costs 0.5 per second: a gain of 0.4 doesn't pay, 0.6 does.
    for (price, moves) in [(1.6, false), (1.4, true)] {
        fleet.planner.set_price(1, price);
        fleet.observe(&demand, &demand, 0.1);
        let shares = fleet.plan().unwrap();
        let increase: Vec<f64> = (0..2).map(|zone| shares[zone][1] - first[zone][1]).collect();
        assert_eq!(increase.iter().any(|share| *share > 0.05), moves, "{price}: {shares:?} {first:?}");
        assert!(increase.iter().all(|share| *share <= 0.25 + 1e-6), "{increase:?}");
    }
}

/// Without new reports the assumed demand grows, and after a while no plan is issued.
#[test]
fn stale_reports_raise_demand_and_then_prevent_plans() {
    let mut fleet = Fleet::new(config(10.0), &[1.0, 2.0], vec![], 10.0);
    assert_eq!(fleet.plan(), Err(NoPlan::Unknown));
    let demand = [50.0, 30.0];
    let shares = fleet.converge(&demand, &[60.0, 0.0]);
    assert!((load(&shares, &demand, 0) - 80.0).abs() < 0.5, "{shares:?}");
    // Reports 5 s old: the assumed demand is 100, and the cheap zone's usable capacity is 90.
    fleet.now += 5.0;
    let shares = fleet.plan().unwrap();
    assert!((load(&shares, &demand, 0) - 72.0).abs() < 0.5, "{shares:?}");
    fleet.now += 10.1;
    assert_eq!(fleet.plan(), Err(NoPlan::Unknown));
}

/// A zone that behaves like a queue with a few cores; `capacity` is per unit of weight.
fn respond(load: f64, weight: f64, capacity: f64) -> ZoneObservation {
    let utilization = load / weight / capacity;
    let time = if utilization < 1.0 { 0.1 * (1.0 + utilization.powi(8) / (1.0 - utilization)) } else { 3.0 };
    let failed = (load - weight * capacity).max(0.0);
    ZoneObservation { weight, answered: load - failed, failed, time }
}

/// A configured capacity that is wrong by 30% either way is corrected from the latency of a zone filled by it, and
/// never exceeded. Without a configured value, the estimate grows from the first observation.
#[test]
fn wrong_capacity_is_corrected() {
    for capacity in [7.0, 10.0, 13.0] {
        let mut estimator = CapacityEstimator::new(Some(10.0), None);
        let mut overloaded = 0;
        for second in 0..200 {
            let estimate = estimator.estimate().unwrap();
            let filled = respond(0.9 * estimate * 10.0, 10.0, capacity);
            overloaded += usize::from(second > 10 && filled.failed > 0.0);
            let observations = BTreeMap::from([(0, filled), (1, respond(20.0, 10.0, capacity))]);
            estimator.observe(&observations, f64::from(second) + 1.0);
        }
        let estimate = estimator.estimate().unwrap();
        // The configured value is never exceeded.
        assert!(
            estimate > 0.75 * capacity.min(10.0) && estimate < 1.2 * capacity,
            "{estimate} for {capacity}"
        );
        assert!(estimate <= 10.0);
        assert!(overloaded <= 6, "{capacity}: overloaded for {overloaded} s of 190");
    }
    // Without a configured value, the estimate grows while the latency stays at its baseline.
    let mut estimator = CapacityEstimator::new(None, None);
    for second in 0..120 {
        let load = estimator.estimate().map_or(30.0, |estimate| estimate * 9.0);
        estimator.observe(&BTreeMap::from([(0, respond(load, 10.0, 10.0))]), f64::from(second) + 1.0);
    }
    assert!((6.0..11.0).contains(&estimator.estimate().unwrap()), "{:?}", estimator.estimate());
}
