//! The cost of a day, compared with that of the best plan in hindsight.
//!
//! Every query that a server started costs the price of the server's zone and of the link to it. The best plan is
//! computed afterwards for each window from the same queries by zone of origin, the servers that ran, and their actual
//! capacity. It leaves the headroom free and assumes the mean work per query, so a day can cost slightly less.

use crate::record::{Entry, Event};
use crate::script::Script;
use oatlever_cost::{plan, Class, Link, Model, Pool};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Time limit of the planner, in seconds.
const TIME_LIMIT: f64 = 60.0;

/// Seconds; queries of a window are planned together.
const WINDOW: f64 = 5.0;

#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub paid: f64,
    /// Cost of the best plan in hindsight.
    pub best: f64,
    /// The highest utilization of a zone in any window: work received over capacity.
    pub max_zone_utilization: f64,
    /// The highest utilization of a server in any window.
    pub max_server_utilization: f64,
    pub windows: Vec<WindowCost>,
}

/// The cost of a window, per second.
#[derive(Clone, Debug, Default)]
pub struct WindowCost {
    /// Start of the window in seconds.
    pub at: f64,
    pub paid: f64,
    pub best: f64,
    /// Queries per second by the zone of the asker (outer) and of the server.
    pub flows: Vec<Vec<f64>>,
    /// Work received over capacity, by zone.
    pub utilization: Vec<f64>,
    /// Benefit of queries answered in time, over the benefit of all queries.
    pub service: f64,
}

impl Cost {
    /// Percentage by which the cost exceeds that of the best plan.
    pub fn excess_percent(&self) -> f64 {
        100.0 * (self.paid / self.best.max(f64::MIN_POSITIVE) - 1.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Queries started, by the zone of the asker and of the server.
    started: BTreeMap<(usize, usize), f64>,
    /// Core seconds of work received, by server.
    work: BTreeMap<Ipv4Addr, f64>,
    /// Benefit of queries answered in time.
    answered: f64,
    /// Benefit of all queries.
    asked: f64,
}

/// Returns the zone of an address, which `Realm` encodes in the second byte.
fn zone(host: Ipv4Addr) -> usize {
    usize::from((host.octets()[1] + 9) % 10)
}

/// Computes the cost of a day; `None` if the script has no prices. The first window, in which the pilot learns, and the
/// last one, which is incomplete, are left out.
pub fn of_day(script: &Script, entries: &[Entry]) -> Option<Cost> {
    let prices = script.costs.as_ref()?;
    let mut origins: BTreeMap<u64, Ipv4Addr> = BTreeMap::new();
    let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
    // Start time of each running server, and whether it started cold.
    let mut running: BTreeMap<Ipv4Addr, (f64, bool)> = BTreeMap::new();
    // Capacity of each server by window.
    let mut capacities: BTreeMap<u64, BTreeMap<Ipv4Addr, f64>> = BTreeMap::new();
    let mut next = 0;
    for Entry { at, event } in entries {
        while *at >= (next as f64 + 0.5) * WINDOW {
            let middle = (next as f64 + 0.5) * WINDOW;
            for (server, (since, cold)) in &running {
                let share = script.cold_share;
                let warmed = ((middle - since) / script.warm_within).clamp(0.0, 1.0);
                let part = if *cold { share + (1.0 - share) * warmed } else { 1.0 };
                capacities.entry(next).or_default().insert(*server, part * script.cores as f64);
            }
            next += 1;
        }
        let window = windows.entry((at / WINDOW) as u64).or_default();
        match event {
            Event::Started { server, cold, .. } => drop(running.insert(*server, (*at, *cold))),
            Event::Stopped { server } | Event::Fell { server } => drop(running.remove(server)),
            Event::Arrival { asker, server, query, work, .. } => {
                origins.insert(*query, *asker);
                *window.work.entry(*server).or_default() += work;
            }
            Event::Ended { asked, answered, .. } => {
                window.asked += asked;
                window.answered += answered;
            }
            Event::Ran { server, query, .. } => {
                let from = origins.get(query).map_or(zone(*server), |asker| zone(*asker));
                *window.started.entry((from, zone(*server))).or_default() += 1.0;
            }
            _ => {}
        }
    }
    let last = windows.keys().next_back().copied().unwrap_or(0);
    let link_price = |from: usize, to: usize| if from == to { 0.0 } else { prices.crossing };
    let parts: f64 = script.classes.iter().map(|class| class.part).sum();
    let mean_work = script.classes.iter().map(|class| class.part * class.work).sum::<f64>() / parts;
    let mut cost = Cost::default();
    for (number, window) in windows.into_iter().filter(|(number, _)| *number > 0 && *number < last) {
        let servers = capacities.remove(&number).unwrap_or_default();
        let by_zone = |by_server: &BTreeMap<Ipv4Addr, f64>| {
            let mut sums: BTreeMap<usize, f64> = BTreeMap::new();
            by_server.iter().for_each(|(server, amount)| *sums.entry(zone(*server)).or_default() += amount);
            sums
        };
        let (zone_capacity, zone_work) = (by_zone(&servers), by_zone(&window.work));
        for (server, capacity) in &servers {
            let received = window.work.get(server).copied().unwrap_or(0.0);
            cost.max_server_utilization = cost.max_server_utilization.max(received / (capacity * WINDOW));
        }
        let zones = prices.zones.len();
        let demand =
            |from| window.started.iter().filter(|((f, _), _)| *f == from).map(|(_, n)| n / WINDOW).sum();
        let model = Model {
            zones: vec![String::new(); zones],
            classes: vec![Class { name: String::new(), work: mean_work, benefit: 1.0, reach: None }],
            pools: (0..zones)
                .map(|zone| Pool {
                    zone,
                    price: prices.zones[zone] / mean_work,
                    capacity: zone_capacity.get(&zone).copied().unwrap_or(0.0),
                    refuses: Vec::new(),
                })
                .collect(),
            links: (0..zones)
                .map(|from| {
                    (0..zones).map(|to| Link { price: link_price(from, to), ..Link::default() }).collect()
                })
                .collect(),
            demand: (0..zones).map(|from| vec![demand(from)]).collect(),
            headroom: prices.headroom,
        };
        let price = |from: usize, to: usize| prices.zones[to] + link_price(from, to);
        let paid: f64 = window.started.iter().map(|((from, to), count)| count * price(*from, *to)).sum();
        // If the demand doesn't fit within the headroom, there is no better known cost than the one paid.
        let best = plan(&model, None, TIME_LIMIT).ok().filter(|plan| plan.faults.is_empty());
        let best = best.map_or(paid, |plan| plan.cost * WINDOW);
        let utilization = (0..zones).map(|zone| {
            let capacity = zone_capacity.get(&zone).copied().unwrap_or(0.0) * WINDOW;
            let work = zone_work.get(&zone).copied().unwrap_or(0.0);
            if capacity > 0.0 {
                work / capacity
            } else {
                0.0
            }
        });
        let utilization: Vec<f64> = utilization.collect();
        let flow = |from, to| window.started.get(&(from, to)).copied().unwrap_or(0.0) / WINDOW;
        cost.paid += paid;
        cost.best += best;
        cost.max_zone_utilization = utilization.iter().copied().fold(cost.max_zone_utilization, f64::max);
        cost.windows.push(WindowCost {
            at: number as f64 * WINDOW,
            paid: paid / WINDOW,
            best: best / WINDOW,
            flows: (0..zones).map(|from| (0..zones).map(|to| flow(from, to)).collect()).collect(),
            utilization,
            service: window.answered / window.asked.max(f64::MIN_POSITIVE),
        });
    }
    Some(cost)
}
