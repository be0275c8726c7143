//! What a verdict of the guard costs, by the size of the fleet and by the change, beside a recount.

use crate::fleet::server;
use oatlever_guard::{normalize, Guard, GuardConfig, ListStatus, Loads, Mode, Server, State, Weights};
use std::hint::black_box;
use std::time::Instant;

const VERDICTS: usize = 400;
/// s
const WAY: f64 = 5.0;

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

/// us of a verdict, median and 99th, where so many lines change.
fn verdicts(servers: u16, tables: u16, change: u16) -> (f64, f64) {
    let mut state = state(servers, tables);
    let mut guard = Guard::new(GuardConfig::default(), Mode::Enforce, WAY);
    let mut chance = fastrand::Rng::with_seed(1);
    let mut all: Vec<Weights> =
        (0..tables).map(|_| (0..servers).map(|n| (server(n), 1.0 + chance.f64())).collect()).collect();
    for (table, lines) in all.iter().enumerate() {
        guard.evaluate(&state, table as u16, lines);
    }
    let mut times = Vec::new();
    for n in 0..VERDICTS {
        state.now += 0.05;
        let table = n % usize::from(tables);
        for _ in 0..change {
            all[table].insert(server(chance.u16(..servers)), 1.0 + chance.f64());
        }
        let begun = Instant::now();
        black_box(guard.evaluate(&state, table as u16, &all[table]));
        times.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// us to ask for the load on ten servers: by the index, and by a walk through all versions in use.
fn loads(servers: u16, tables: u16) -> (f64, f64) {
    let (mut index, mut plain) = (Loads::default(), Vec::new());
    let mut chance = fastrand::Rng::with_seed(2);
    for version in 0..3 {
        for table in 0..tables {
            let lines: Weights = (0..servers).map(|n| (server(n), 1.0 + chance.f64())).collect();
            let laid = normalize(&lines);
            index.publish(table, &laid, 100.0 + f64::from(version), WAY);
            plain.push((table, laid));
        }
    }
    let time = |work: &dyn Fn(u16) -> f64| {
        let begun = Instant::now();
        for n in 0..10 {
            black_box(work(n));
        }
        begun.elapsed().as_secs_f64() * 1e6
    };
    (0..tables).for_each(|table| index.set_demand(table, 1.0));
    let ours = time(&|n| index.load_from_others(0, &server(n)));
    let recount = time(&|n| {
        let mut most = vec![0.0_f64; usize::from(tables)];
        for (table, lines) in &plain {
            let part = lines.get(&server(n)).copied().unwrap_or(0.0);
            most[usize::from(*table)] = most[usize::from(*table)].max(part);
        }
        most[1..].iter().sum()
    });
    (ours, recount)
}

pub fn measure() {
    println!("servers  tables  lines changed   us a verdict: median    99th");
    for (servers, tables, change) in
        [(24, 6, 10), (350, 20, 10), (350, 200, 1), (350, 200, 10), (350, 200, 100), (700, 200, 10)]
    {
        let (median, late) = verdicts(servers, tables, change);
        println!("{servers:7} {tables:7} {change:14} {median:22.1} {late:7.1}");
    }
    println!("\nus for the load on ten servers   tables      index    recount    ratio");
    for tables in [6, 20, 200] {
        let (ours, plain) = loads(350, tables);
        println!("{tables:39} {ours:10.1} {plain:10.1} {:8.1}", plain / ours);
    }
}
