//! A deployment to test against and a writer that keeps what proxies would hold.

// Each test file uses a part of it.
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
        one_owner: false,
        list_on_request: false,
        probes: false,
        levels: Levels::Share,
        picks_of_two: false,
        report_period: 1.0,
        write_life: 4.0,
    }
}

pub fn classes() -> Vec<QueryClass> {
    vec![QueryClass { benefit: 1.0, due_time: 1.0 }, QueryClass { benefit: 3.0, due_time: 1.0 }]
}

pub fn channel(most_messages: usize) -> Channel {
    Channel {
        lines_per_second: 2000.0,
        most_waiting: 2000.0,
        header_lines: 4.0,
        most_messages,
        window: 10.0,
        longest_way: 0.5,
    }
}

pub fn rules() -> Rules {
    Rules {
        ask_within: 10.0,
        cold_share: 0.15,
        warm_within: 16.0,
        fall_multiple: 2.5,
        gone_does_not_bind: false,
    }
}

/// A balancer, its channel, and the book of what it orders.
pub struct Play {
    balancer: Balancer,
    /// As it is, which may not be as stated.
    pub channel: Channel,
    pub book: Book,
}

impl Play {
    pub fn new(site: Site, rules: Rules, channel: Channel) -> Self {
        Play::of(site, classes(), rules, channel)
    }

    /// The same for any customer's settings.
    pub fn of(site: Site, classes: Vec<QueryClass>, rules: Rules, channel: Channel) -> Self {
        let balancer = Balancer::new(site, classes, channel.clone(), rules, 7);
        Play { balancer, channel, book: Book::default() }
    }

    pub fn round(&mut self, round: &Round) {
        self.book.play(&mut self.balancer, round, &self.channel);
    }
}

pub fn at(now: f64) -> Round {
    Round { now, ..Round::default() }
}

/// So many ready servers, dealt to so many zones.
pub fn ready(servers: u16, zones: u16) -> Vec<Entry> {
    (0..servers).map(|n| entry(n, n % zones, Readiness::Ready, 0.0)).collect()
}

/// The first round: the whole list, and the proxies that join.
pub fn open(now: f64, entries: Vec<Entry>, streams: Vec<Stream>) -> Round {
    Round { lists: vec![list(ListKind::Full, entries)], streams, ..at(now) }
}

pub fn change(now: f64, entries: Vec<Entry>) -> Round {
    Round { lists: vec![list(ListKind::Changes, entries)], ..at(now) }
}

pub fn join(proxy: u16, zone: u16) -> Stream {
    Stream { proxy, up: true, zone, rate: 10.0 }
}

pub fn tries(n: u16, zone: u16, tries: f64, failed: f64, time: f64) -> Tries {
    Tries { server: address(n), zone, tries, failed, time, span: 1.0 }
}

/// What the proxies hold, and what the orders of each round cost.
#[derive(Default)]
pub struct Book {
    pub tables: BTreeMap<u16, BTreeMap<Address, f64>>,
    pub levels: BTreeMap<(u16, u16), (f64, u8)>,
    pub bound: BTreeMap<u16, u16>,
    pub messages: BTreeMap<u16, Vec<f64>>,
    /// What waits in the channel, message by message: the proxy, the lines left, the mark.
    pub queue: VecDeque<(u16, f64, Option<u64>)>,
    pub waiting: f64,
    pub marked: Option<u64>,
    pub asked: usize,
    pub checked: Vec<Address>,
    /// Levels are queries a second, not parts.
    pub rates: bool,
    pub now: f64,
    pub lines: BTreeMap<u16, f64>,
}

impl Book {
    /// A server's part of all queries, where each proxy gets as many.
    pub fn part_of_all(&self, n: u16) -> f64 {
        let parts = self.bound.values().map(|table| self.part(*table, n));
        parts.filter(|part| part.is_finite()).sum::<f64>() / self.bound.len().max(1) as f64
    }

    /// Plays a round and accounts its orders.
    pub fn play(&mut self, balancer: &mut Balancer, round: &Round, channel: &Channel) {
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
        self.marked = None;
        balancer.round(&round, self);
        for (proxy, lines) in std::mem::take(&mut self.lines) {
            let mark = f64::from(u8::from(self.marked.is_some()));
            self.queue.push_back((proxy, lines + channel.header_lines + mark, self.marked));
            self.messages.entry(proxy).or_default().push(round.now);
        }
        self.waiting = self.queue.iter().map(|(_, lines, _)| lines).sum();
    }

    pub fn table(&self, table: u16) -> BTreeMap<Address, f64> {
        self.tables.get(&table).cloned().unwrap_or_default()
    }

    /// The part of a table that goes to a server.
    pub fn part(&self, table: u16, n: u16) -> f64 {
        let lines = self.table(table);
        lines.get(&address(n)).copied().unwrap_or(0.0) / lines.values().sum::<f64>()
    }

    fn charge(&mut self, table: u16) {
        let users: BTreeSet<u16> = self.bound.iter().filter(|(_, t)| **t == table).map(|(p, _)| *p).collect();
        for proxy in users {
            *self.lines.entry(proxy).or_default() += 1.0;
        }
    }
}

impl Writer for Book {
    fn weigh(&mut self, table: u16, server: Address, weight: f64) {
        assert!(weight.is_finite() && weight >= 0.0, "weight {weight}");
        self.charge(table);
        let lines = self.tables.entry(table).or_default();
        if weight > 0.0 {
            lines.insert(server, weight);
        } else {
            lines.remove(&server);
        }
    }
    fn clear(&mut self, table: u16) {
        self.charge(table);
        self.tables.remove(&table);
    }
    fn bind(&mut self, proxy: u16, table: u16) {
        self.bound.insert(proxy, table);
        let held = self.table(table).len() + self.levels.keys().filter(|k| k.0 == table).count();
        *self.lines.entry(proxy).or_default() += 1.0 + held as f64;
    }
    fn withdraw(&mut self, _: Address, _: bool) {}
    fn admit(&mut self, table: u16, classes: u16, level: f64, tries: u8) {
        assert!(level >= 0.0 && (self.rates || level <= 1.0), "level {level}");
        self.charge(table);
        self.levels.insert((table, classes), (level, tries));
    }
    fn check_health(&mut self, server: Address) {
        self.checked.push(server);
    }
    fn mark(&mut self, number: u64, _: bool) {
        assert!(number < 65536);
        self.marked = Some(number);
    }
    fn follow_list(&mut self) {
        self.asked += 1;
    }
    fn fetch_list(&mut self) {}
    fn set_timer(&mut self, after: f64, _: u64) {
        assert!(after.is_finite() && after > 0.0);
    }
    fn note(&mut self, _: &str) {}
}
