//! Duration of decision rounds and memory by the size of the fleet.

use oatlever::balance::Balancer;
use oatlever::round::{
    Address, Channel, Entry, LevelKind, List, ListKind, ProxyQueries, QueryClass, Readiness, Round, Rules,
    Site, Stream, Tries,
};
use oatlever_tables::{AskerKind, DeliveryTracker, RoundInputs, Tables};
use std::time::Instant;

pub const ZONES: u16 = 3;
const CLASSES: usize = 3;
/// Seconds for which an asker may use a table after it was handed out.
const HOLD_TIME: f64 = 1.5;

pub fn server(n: u16) -> Address {
    let [high, low] = n.to_be_bytes();
    Address { host: [10, 0, high, low], port: 7000 }
}

/// A balancer with its tables, and synthetic input for it.
pub struct Fleet {
    balancer: Balancer,
    pub tables: Tables,
    servers: u16,
    proxies: u16,
    now: f64,
    rounds: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    pub fn new(servers: u16, proxies: u16) -> Self {
        let site = Site {
            zones: usize::from(ZONES),
            pilots: 1,
            proxies: f64::from(proxies),
            slices: 0,
            exclusive_owner: false,
            list_on_request: false,
            probes: false,
            level_kind: LevelKind::Ignored,
            power_of_two_choices: false,
            report_period: 1.0,
            max_write_duration: 0.0,
            write_lease: 0.0,
        };
        let most = f64::from(proxies) * 400.0;
        let channel = Channel {
            lines_per_second: most,
            max_waiting_lines: most,
            header_lines: 0.0,
            max_messages: 0,
            window: 10.0,
            max_delivery_delay: HOLD_TIME,
        };
        let rules = Rules {
            list_deadline: 10.0,
            cold_share: 0.15,
            warm_within: 16.0,
            fall_multiple: 2.5,
            gone_does_not_bind: true,
        };
        let class = QueryClass { benefit: 1.0, due_time: 1.0 };
        let pull =
            DeliveryTracker::new(&vec![AskerKind::Host; usize::from(proxies)], CLASSES, HOLD_TIME, 1000.0);
        let mut fleet = Fleet {
            balancer: Balancer::new(site, vec![class; CLASSES], channel, rules, 7),
            tables: Tables::new(usize::from(proxies), CLASSES, pull, 2000),
            servers,
            proxies,
            now: 1000.0,
            rounds: 0,
            rng: fastrand::Rng::with_seed(7),
        };
        let streams = (0..proxies).map(|proxy| Stream { proxy, up: true, zone: proxy % ZONES, rate: 5.0 });
        let round = Round { lists: vec![fleet.list()], streams: streams.collect(), ..Round::default() };
        fleet.round(round);
        fleet
    }

    pub fn list(&self) -> List {
        let entry = |n: u16| Entry {
            server: server(n),
            zone: n % ZONES,
            kind: 0,
            readiness: Readiness::Ready,
            weight: 1.0,
            started: 0.0,
        };
        List { kind: ListKind::Full, entries: (0..self.servers).map(entry).collect() }
    }

    /// Returns the input of one second: reports of all proxies and servers, and the full server list.
    pub fn reports(&mut self) -> Round {
        let mut round = Round { lists: vec![self.list()], ..Round::default() };
        for n in 0..self.servers {
            let time = 0.1 * (0.5 + self.rng.f64() * if n % 10 == 0 { 4.0 } else { 1.0 });
            for zone in 0..ZONES {
                round.tries.push(Tries { server: server(n), zone, tries: 5.0, failed: 0.0, time, span: 1.0 });
            }
        }
        for proxy in 0..self.proxies {
            let received = 2.0 * self.rng.f64();
            let queries = |class| ProxyQueries { proxy, class, received, span: 1.0 };
            round.queries.extend((0..CLASSES as u8).map(queries));
        }
        round
    }

    /// Runs a round, including the update of tables and bookkeeping; returns its duration in seconds.
    pub fn round(&mut self, mut round: Round) -> f64 {
        self.rounds += 1;
        let start = Instant::now();
        round.now = self.now;
        round.acknowledgements = self.tables.acknowledgements(self.now);
        self.tables.begin_round(self.now, self.rounds, RoundInputs::from_round(&round));
        self.balancer.round(&round, &mut self.tables);
        self.tables.end_round();
        start.elapsed().as_secs_f64()
    }

    /// Simulates one second: every asker queries, a round with all reports, and three timer rounds. Returns the
    /// duration of each round.
    pub fn second(&mut self) -> Vec<f64> {
        for asker in 0..self.proxies {
            for class in 0..CLASSES as u16 {
                self.tables.record_answer(asker, class, self.now);
            }
        }
        let reports = self.reports();
        let mut durations = vec![self.round(reports)];
        for _ in 0..3 {
            self.now += 0.25;
            durations.push(self.round(Round { timers: vec![0], ..Round::default() }));
        }
        self.now += 0.25;
        durations
    }
}

/// Returns the resident memory of this process in KiB.
pub fn memory() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

pub fn measure() {
    println!(
        "servers  proxies  full round ms: median  99th  longest  timer round ms: median  longest   MiB more"
    );
    for (servers, proxies) in [(24, 12), (90, 120), (175, 240), (350, 480), (700, 960)] {
        let before = memory();
        let mut fleet = Fleet::new(servers, proxies);
        let (mut full, mut timer) = (Vec::new(), Vec::new());
        for _ in 0..120 {
            let durations = fleet.second();
            full.push(durations[0] * 1e3);
            timer.extend(durations[1..].iter().map(|t| t * 1e3));
        }
        full.sort_by(f64::total_cmp);
        timer.sort_by(f64::total_cmp);
        let quantile_of =
            |times: &[f64], quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize];
        println!(
            "{servers:7} {proxies:8} {:22.3} {:6.3} {:8.3} {:23.3} {:8.3} {:10.1}",
            quantile_of(&full, 0.5),
            quantile_of(&full, 0.99),
            quantile_of(&full, 1.0),
            quantile_of(&timer, 0.5),
            quantile_of(&timer, 1.0),
            (memory() - before) / 1024.0
        );
    }
}
