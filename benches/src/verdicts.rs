//! Duration of a guard verdict by the size of the fleet and of the change, and of a load query compared with a recount.

use crate::fleet::server;
use oatlever_guard::{normalize, Guard, GuardConfig, ListStatus, Loads, Mode, Server, State, Weights};
use std::hint::black_box;
use std::time::Instant;

const VERDICTS: usize = 400;
/// Seconds for which a replaced table may still be in use.
const HOLD_TIME: f64 = 5.0;

fn state(servers: u16, tables: u16) -> State {
    let ready = |n: u16| Server {
        zone: n % 3,
        list_status: ListStatus::Ready,
        status_changed_at: 0.0,
        weight: 1.0,
        started: 0.0,
        answered_at: Some(1000.0),
        failed_at: None,
        last_check: None,
        proven_rate: 10.0,
    };
    State {
        now: 1000.0,
        servers: (0..servers).map(|n| (server(n), ready(n))).collect(),
        demand: (0..tables).map(|table| (table, 10.0 * f64::from(servers) / f64::from(tables))).collect(),
        measured_at: 1000.0,
        failure_rate: 0.0,
        cold_share: 0.2,
        warm_within: 100.0,
        fall_multiple: 2.5,
        drain_gone: false,
    }
}

/// Returns the median and the 99th percentile of the duration of a verdict in us; `changed` lines change before each.
fn verdicts(servers: u16, tables: u16, changed: u16) -> (f64, f64) {
    let mut state = state(servers, tables);
    let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, HOLD_TIME);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut lines: Vec<Weights> =
        (0..tables).map(|_| (0..servers).map(|n| (server(n), 1.0 + rng.f64())).collect()).collect();
    for (table, lines) in lines.iter().enumerate() {
        guard.evaluate(&state, table as u16, lines);
    }
    let mut times = Vec::new();
    for n in 0..VERDICTS {
        state.now += 0.05;
        let table = n % usize::from(tables);
        for _ in 0..changed {
            lines[table].insert(server(rng.u16(..servers)), 1.0 + rng.f64());
        }
        let start = Instant::now();
        black_box(guard.evaluate(&state, table as u16, &lines[table]));
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Returns the duration in us of querying the load on ten servers: by the index, and by a scan of all versions in use.
fn loads(servers: u16, tables: u16) -> (f64, f64) {
    let (mut index, mut versions) = (Loads::default(), Vec::new());
    let mut rng = fastrand::Rng::with_seed(2);
    for version in 0..3 {
        for table in 0..tables {
            let lines: Weights = (0..servers).map(|n| (server(n), 1.0 + rng.f64())).collect();
            let shares = normalize(&lines);
            index.publish(table, &shares, 100.0 + f64::from(version), HOLD_TIME);
            versions.push((table, shares));
        }
    }
    let time = |query: &dyn Fn(u16) -> f64| {
        let start = Instant::now();
        for n in 0..10 {
            black_box(query(n));
        }
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..tables).for_each(|table| index.set_demand(table, 1.0));
    let indexed = time(&|n| index.load_from_others(0, &server(n)));
    let recount = time(&|n| {
        let mut highest = vec![0.0_f64; usize::from(tables)];
        for (table, lines) in &versions {
            let share = lines.get(&server(n)).copied().unwrap_or(0.0);
            highest[usize::from(*table)] = highest[usize::from(*table)].max(share);
        }
        highest[1..].iter().sum()
    });
    (indexed, recount)
}

pub fn measure() {
    println!("servers  tables  lines changed   us per verdict: median    99th");
    for (servers, tables, changed) in
        [(24, 6, 10), (350, 20, 10), (350, 200, 1), (350, 200, 10), (350, 200, 100), (700, 200, 10)]
    {
        let (median, p99) = verdicts(servers, tables, changed);
        println!("{servers:7} {tables:7} {changed:14} {median:24.1} {p99:7.1}");
    }
    println!("\nus per query of ten servers   tables      index    recount    ratio");
    for tables in [6, 20, 200] {
        let (indexed, recount) = loads(350, tables);
        println!("{tables:36} {indexed:10.1} {recount:10.1} {:8.1}", recount / indexed);
    }
}
