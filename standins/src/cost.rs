//! What a day cost, beside what it could have cost at best.
//!
//! Every query that a server began is paid for, at the price of its zone and of the way to it. The best is planned
//! window by window after the fact: the same queries, from where they came, over the servers that ran, by what
//! these can really do.

use crate::record::{Entry, Event};
use crate::script::Script;
use oatlever_cost::{plan, Class, Link, Model, Pool};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// s; queries of so long are planned for together.
/// s
const PATIENCE: f64 = 60.0;

const WINDOW: f64 = 5.0;

#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub paid: f64,
    pub best: f64,
    /// The most work that came to a zone's servers in a window, over what they could do.
    pub fullest: f64,
    /// The same of one server.
    pub fullest_server: f64,
    pub rows: Vec<Row>,
}

/// A window.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// s, its start.
    pub at: f64,
    pub paid: f64,
    pub best: f64,
    /// Queries a second from each zone (first) begun in each zone.
    pub flows: Vec<Vec<f64>>,
    /// Work that came to each zone's servers, over what they could do.
    pub full: Vec<f64>,
    /// Benefit answered in time, over what was asked for.
    pub service: f64,
}

impl Cost {
    /// Percent that was paid over the best.
    pub fn over(&self) -> f64 {
        100.0 * (self.paid / self.best.max(f64::MIN_POSITIVE) - 1.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Queries begun, by the zone that they came from and the zone that they ran in.
    ran: BTreeMap<(usize, usize), f64>,
    /// Seconds of work that came, by zone.
    work: BTreeMap<Ipv4Addr, f64>,
    answered: f64,
    asked: f64,
}

/// The zone of an address: `Realm` gives each zone the next second byte.
fn zone(host: Ipv4Addr) -> usize {
    usize::from((host.octets()[1] + 9) % 10)
}

/// None where the script has no prices. The first and the last window are left out: learning, and cut off.
pub fn of(script: &Script, entries: &[Entry]) -> Option<Cost> {
    let prices = script.costs.as_ref()?;
    let mut asked: BTreeMap<u64, Ipv4Addr> = BTreeMap::new();
    let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
    // By server: since when it runs, and whether it started cold; and what it could do in each window.
    let mut running: BTreeMap<Ipv4Addr, (f64, bool)> = BTreeMap::new();
    let mut could: BTreeMap<u64, BTreeMap<Ipv4Addr, f64>> = BTreeMap::new();
    let mut next = 0;
    for Entry { at, event } in entries {
        while *at >= (next as f64 + 0.5) * WINDOW {
            let middle = (next as f64 + 0.5) * WINDOW;
            for (server, (since, cold)) in &running {
                let share = script.cold_share;
                let warmed = ((middle - since) / script.warm_within).clamp(0.0, 1.0);
                let part = if *cold { share + (1.0 - share) * warmed } else { 1.0 };
                could.entry(next).or_default().insert(*server, part * script.cores as f64);
            }
            next += 1;
        }
        let window = windows.entry((at / WINDOW) as u64).or_default();
        match event {
            Event::Started { server, cold, .. } => drop(running.insert(*server, (*at, *cold))),
            Event::Stopped { server } | Event::Fell { server } => drop(running.remove(server)),
            Event::Arrival { asker, server, query, work, .. } => {
                asked.insert(*query, *asker);
                *window.work.entry(*server).or_default() += work;
            }
            Event::Ended { asked, answered, .. } => {
                window.asked += asked;
                window.answered += answered;
            }
            Event::Ran { server, query, .. } => {
                let from = asked.get(query).map_or(zone(*server), |asker| zone(*asker));
                *window.ran.entry((from, zone(*server))).or_default() += 1.0;
            }
            _ => {}
        }
    }
    let last = windows.keys().next_back().copied().unwrap_or(0);
    let way = |from: usize, to: usize| if from == to { 0.0 } else { prices.crossing };
    let parts: f64 = script.classes.iter().map(|class| class.part).sum();
    let work = script.classes.iter().map(|class| class.part * class.work).sum::<f64>() / parts;
    let mut cost = Cost::default();
    for (place, window) in windows.into_iter().filter(|(place, _)| *place > 0 && *place < last) {
        let servers = could.remove(&place).unwrap_or_default();
        let sums = |of: &BTreeMap<Ipv4Addr, f64>| {
            let mut sums: BTreeMap<usize, f64> = BTreeMap::new();
            of.iter().for_each(|(server, amount)| *sums.entry(zone(*server)).or_default() += amount);
            sums
        };
        let (could, work_of) = (sums(&servers), sums(&window.work));
        for (server, most) in &servers {
            let came = window.work.get(server).copied().unwrap_or(0.0);
            cost.fullest_server = cost.fullest_server.max(came / (most * WINDOW));
        }
        let zones = prices.zones.len();
        let demand = |from| window.ran.iter().filter(|((f, _), _)| *f == from).map(|(_, n)| n / WINDOW).sum();
        let model = Model {
            zones: vec![String::new(); zones],
            classes: vec![Class { name: String::new(), work, benefit: 1.0, reach: None }],
            pools: (0..zones)
                .map(|zone| Pool {
                    zone,
                    price: prices.zones[zone] / work,
                    capacity: could.get(&zone).copied().unwrap_or(0.0),
                    refuses: Vec::new(),
                })
                .collect(),
            links: (0..zones)
                .map(|from| (0..zones).map(|to| Link { price: way(from, to), ..Link::default() }).collect())
                .collect(),
            demand: (0..zones).map(|from| vec![demand(from)]).collect(),
            headroom: prices.headroom,
        };
        // Where it did not fit with the headroom, what was paid is the best that is known.
        let paid: f64 =
            window.ran.iter().map(|((from, to), count)| count * (prices.zones[*to] + way(*from, *to))).sum();
        let best = plan(&model, None, PATIENCE).ok().filter(|plan| plan.faults.is_empty());
        let best = best.map_or(paid, |plan| plan.cost * WINDOW);
        let full = (0..zones).map(|zone| {
            let most = could.get(&zone).copied().unwrap_or(0.0) * WINDOW;
            let work = work_of.get(&zone).copied().unwrap_or(0.0);
            if most > 0.0 {
                work / most
            } else {
                0.0
            }
        });
        let full: Vec<f64> = full.collect();
        let flow = |from, to| window.ran.get(&(from, to)).copied().unwrap_or(0.0) / WINDOW;
        cost.paid += paid;
        cost.best += best;
        cost.fullest = full.iter().copied().fold(cost.fullest, f64::max);
        cost.rows.push(Row {
            at: place as f64 * WINDOW,
            paid: paid / WINDOW,
            best: best / WINDOW,
            flows: (0..zones).map(|from| (0..zones).map(|to| flow(from, to)).collect()).collect(),
            full,
            service: window.answered / window.asked.max(f64::MIN_POSITIVE),
        });
    }
    Some(cost)
}
