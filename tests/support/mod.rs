//! Test deployment, and a writer that keeps the state that proxies would hold.

// No test file uses all of it.
#![allow(dead_code)]

use oatlever::balance::Balancer;
use oatlever::round::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub fn address(n: u16) -> Address {
    let [high, low] = n.to_be_bytes();
    Address { host: [10, 0, high, low], port: 7000 }
}

pub fn entry(n: u16, zone: u16, readiness: Readiness, started: f64) -> Entry {
    Entry { server: address(n), zone, kind: (n % 2) as u8, readiness, weight: 2.0, started }
}

pub fn list(kind: ListKind, entries: Vec<Entry>) -> List {
    List { kind, entries }
}

pub fn site() -> Site {
    Site {
        zones: 3,
        pilots: 1,
        proxies: 6.0,
        slices: 0,
        exclusive_owner: false,
        list_on_request: false,
        probes: false,
        level_kind: LevelKind::Share,
        power_of_two_choices: false,
        report_period: 1.0,
        max_write_duration: 4.0,
        write_lease: 1.0,
    }
}

pub fn classes() -> Vec<QueryClass> {
    vec![QueryClass { benefit: 1.0, due_time: 1.0 }, QueryClass { benefit: 3.0, due_time: 1.0 }]
}

pub fn channel(max_messages: usize) -> Channel {
    Channel {
        lines_per_second: 2000.0,
        max_waiting_lines: 2000.0,
        header_lines: 4.0,
        max_messages,
        window: 10.0,
        max_delivery_delay: 0.5,
    }
}

pub fn rules() -> Rules {
    Rules {
        list_deadline: 10.0,
        cold_share: 0.15,
        warm_within: 16.0,
        fall_multiple: 2.5,
        gone_does_not_bind: false,
    }
}

/// A balancer, its channel, and the state that its orders produce at the proxies.
pub struct Harness {
    balancer: Balancer,
    /// The real channel, which may be worse than the stated one.
    pub channel: Channel,
    pub state: ProxyState,
}

impl Harness {
    pub fn new(site: Site, rules: Rules, channel: Channel) -> Self {
        Harness::with_classes(site, classes(), rules, channel)
    }

    /// A harness with classes other than the default ones.
    pub fn with_classes(site: Site, classes: Vec<QueryClass>, rules: Rules, channel: Channel) -> Self {
        let balancer = Balancer::new(site, classes, channel.clone(), rules, 7);
        Harness { balancer, channel, state: ProxyState::default() }
    }

    pub fn round(&mut self, round: &Round) {
        self.state.run_round(&mut self.balancer, round, &self.channel);
    }
}

pub fn round_at(now: f64) -> Round {
    Round { now, ..Round::default() }
}

/// Ready servers with numbers from 0, distributed evenly over the zones.
pub fn ready_servers(servers: u16, zones: u16) -> Vec<Entry> {
    (0..servers).map(|n| entry(n, n % zones, Readiness::Ready, 0.0)).collect()
}

/// The first round: the whole list and the proxies that join.
pub fn initial_round(now: f64, entries: Vec<Entry>, streams: Vec<Stream>) -> Round {
    Round { lists: vec![list(ListKind::Full, entries)], streams, ..round_at(now) }
}

pub fn list_change(now: f64, entries: Vec<Entry>) -> Round {
    Round { lists: vec![list(ListKind::Changes, entries)], ..round_at(now) }
}

pub fn join(proxy: u16, zone: u16) -> Stream {
    Stream { proxy, up: true, zone, rate: 10.0 }
}

pub fn tries(n: u16, zone: u16, tries: f64, failed: f64, time: f64) -> Tries {
    Tries { server: address(n), zone, tries, failed, time, span: 1.0 }
}

/// The state that proxies hold, and the channel usage of the orders.
#[derive(Default)]
pub struct ProxyState {
    pub tables: BTreeMap<u16, BTreeMap<Address, f64>>,
    pub levels: BTreeMap<(u16, u16), (f64, u8)>,
    pub bound: BTreeMap<u16, u16>,
    pub messages: BTreeMap<u16, Vec<f64>>,
    /// Messages waiting in the channel: proxy, remaining lines, mark.
    pub queue: VecDeque<(u16, f64, Option<u64>)>,
    pub waiting: f64,
    pub mark: Option<u64>,
    pub list_requests: usize,
    pub requested_checks: Vec<Address>,
    /// Whether levels are queries a second instead of shares.
    pub levels_are_rates: bool,
    pub now: f64,
    pub lines: BTreeMap<u16, f64>,
}

impl ProxyState {
    /// A server's share of all queries where every proxy receives the same number.
    pub fn share_of_all(&self, n: u16) -> f64 {
        let shares = self.bound.values().map(|table| self.share(*table, n));
        shares.filter(|share| share.is_finite()).sum::<f64>() / self.bound.len().max(1) as f64
    }

    /// Delivers what the channel sent since the last round, runs a round and accounts for its orders.
    pub fn run_round(&mut self, balancer: &mut Balancer, round: &Round, channel: &Channel) {
        let mut sent = (round.now - self.now) * channel.lines_per_second;
        self.now = round.now;
        let mut round = round.clone();
        while let Some((proxy, lines, mark)) = self.queue.front_mut() {
            if *lines > sent {
                *lines -= sent;
                break;
            }
            sent -= *lines;
            round.acknowledgements.extend(mark.map(|number| Acknowledgement { proxy: *proxy, number }));
            self.queue.pop_front();
        }
        for stream in &round.streams {
            self.bound.remove(&stream.proxy);
            self.queue.retain(|(proxy, ..)| *proxy != stream.proxy);
            if stream.up {
                self.messages.remove(&stream.proxy);
            }
        }
        self.mark = None;
        balancer.round(&round, self);
        for (proxy, lines) in std::mem::take(&mut self.lines) {
            let mark = f64::from(u8::from(self.mark.is_some()));
            self.queue.push_back((proxy, lines + channel.header_lines + mark, self.mark));
            self.messages.entry(proxy).or_default().push(round.now);
        }
        self.waiting = self.queue.iter().map(|(_, lines, _)| lines).sum();
    }

    pub fn table(&self, table: u16) -> BTreeMap<Address, f64> {
        self.tables.get(&table).cloned().unwrap_or_default()
    }

    /// The share of a table's queries that goes to a server.
    pub fn share(&self, table: u16, n: u16) -> f64 {
        let lines = self.table(table);
        lines.get(&address(n)).copied().unwrap_or(0.0) / lines.values().sum::<f64>()
    }

    fn count_line(&mut self, table: u16) {
        let users: BTreeSet<u16> = self.bound.iter().filter(|(_, t)| **t == table).map(|(p, _)| *p).collect();
        for proxy in users {
            *self.lines.entry(proxy).or_default() += 1.0;
        }
    }
}

impl Writer for ProxyState {
    fn set_weight(&mut self, table: u16, server: Address, weight: f64) {
        assert!(weight.is_finite() && weight >= 0.0, "weight {weight}");
        self.count_line(table);
        let lines = self.tables.entry(table).or_default();
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }
    fn clear_table(&mut self, table: u16) {
        self.count_line(table);
        self.tables.remove(&table);
    }
    fn bind(&mut self, proxy: u16, table: u16) {
        self.bound.insert(proxy, table);
        let table_lines = self.table(table).len() + self.levels.keys().filter(|k| k.0 == table).count();
        *self.lines.entry(proxy).or_default() += 1.0 + table_lines as f64;
    }
    fn withdraw(&mut self, _: Address, _: bool) {}
    fn set_level(&mut self, table: u16, classes: u16, level: f64, retry: u8) {
        assert!(level >= 0.0 && (self.levels_are_rates || level <= 1.0), "level {level}");
        self.count_line(table);
        self.levels.insert((table, classes), (level, retry));
    }
    fn check_health(&mut self, server: Address) {
        self.requested_checks.push(server);
    }
    fn mark(&mut self, number: u64, _: bool) {
        assert!(number < 65536);
        self.mark = Some(number);
    }
    fn follow_list(&mut self) {
        self.list_requests += 1;
    }
    fn fetch_list(&mut self) {}
    fn set_timer(&mut self, after: f64, _: u64) {
        assert!(after.is_finite() && after > 0.0);
    }
    fn log(&mut self, _: &str) {}
}
