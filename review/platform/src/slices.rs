//! A site whose slices have one owner each: the store, the proxies, the servers and two processes that host an instance
//! each. It checks that writes of a slice are never at two servers at a time, nor at a former owner after a later one.

use crate::rng::Rng;
use crate::setup::{Setup, Slices};
use crate::wire::{Action, Batch, Endpoint, Host};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Seconds between batches.
const TICK: f64 = 0.005;
/// When the first process is killed, where that is the disruption.
const KILL_AT: f64 = 8.15;

/// The time limits are longer by this, s.
const SLACK: f64 = 0.3;

/// What a proxy holds of a slice.
#[derive(Clone, Debug, Default)]
struct Held {
    owner: Option<usize>,
    /// The count of namings that this owner comes from.
    naming: u64,
    /// When it has to stop sending writes, as it has lost the instance in charge.
    until: Option<f64>,
    /// When it reads the store.
    reads_at: Option<f64>,
}

/// A message on its way to a proxy.
struct Message {
    from: usize,
    at: f64,
    proxy: usize,
    orders: Vec<(usize, Option<usize>, u64)>,
}

struct Running {
    slice: usize,
    server: usize,
    until: f64,
}

pub struct Site {
    setup: Setup,
    slices: Slices,
    epoch: Instant,
    record: std::fs::File,
    hosts: Vec<Option<Host>>,
    batches: Vec<Batch>,
    timers: Vec<Vec<(f64, u64)>>,
    /// The instance in charge, the owner in the store and its naming, by slice.
    charge: Vec<Option<usize>>,
    store: Vec<(Option<usize>, u64)>,
    namings: u64,
    held: Vec<Vec<Held>>,
    free_at: Vec<f64>,
    messages: Vec<Message>,
    cores: Vec<Vec<f64>>,
    writes: Vec<Running>,
    /// The latest naming whose owner has accepted a write, by slice, and that owner.
    accepted: Vec<(u64, usize)>,
    met: BTreeMap<(usize, usize), (u32, f64)>,
    rng: Rng,
    /// When the instances were told that servers drain.
    told: BTreeMap<usize, f64>,
    /// Servers that have ended.
    gone: Vec<usize>,
    broken: BTreeMap<&'static str, u64>,
    /// The longest time by which a write came too late.
    worst: f64,
    /// The most lines that waited in a channel.
    waited: f64,
    counts: BTreeMap<&'static str, u64>,
}

impl Site {
    pub fn play(
        setup: Setup,
        root: PathBuf,
        run: &str,
        record: std::fs::File,
        trouble: bool,
    ) -> Result<(BTreeMap<&'static str, u64>, String), String> {
        let slices = setup.slices.clone().expect("slices");
        let servers: usize = setup.servers.iter().sum();
        let mut site = Site {
            epoch: Instant::now(),
            record,
            hosts: Vec::new(),
            batches: (0..setup.pilots).map(|_| Batch::default()).collect(),
            timers: vec![Vec::new(); setup.pilots],
            charge: (0..slices.count).map(|slice| Some(slice % setup.pilots)).collect(),
            store: (0..slices.count).map(|slice| (Some(slice % servers), 0)).collect(),
            namings: 0,
            held: vec![vec![Held::default(); slices.count]; setup.proxies],
            free_at: vec![0.0; setup.pilots],
            messages: Vec::new(),
            cores: vec![vec![0.0; setup.cores]; servers],
            writes: Vec::new(),
            accepted: vec![(0, usize::MAX); slices.count],
            met: BTreeMap::new(),
            rng: Rng(setup.seed),
            told: BTreeMap::new(),
            gone: Vec::new(),
            broken: BTreeMap::new(),
            worst: 0.0,
            waited: 0.0,
            counts: BTreeMap::new(),
            setup,
            slices,
        };
        site.begin(&root, run).map_err(|e| e.to_string())?;
        let result = site.turn(trouble);
        for host in site.hosts.drain(..).flatten() {
            host.kill();
        }
        result?;
        let counts: Vec<String> = site.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
        let broken: Vec<String> =
            site.broken.iter().map(|(rule, count)| format!("{rule}: {count} times")).collect();
        let seen = format!(
            "at most {:.0} of {} lines waited; {}",
            site.waited,
            site.setup.queue_cap,
            counts.join(", ")
        );
        let end = match broken.len() {
            0 => format!("rules kept ({seen})"),
            _ => format!(
                "broken: {} (longest past the drain limit {:.3} s; {seen})",
                broken.join(", "),
                site.worst
            ),
        };
        site.note(site.now(), &end);
        Ok((site.broken, end))
    }

    fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64()
    }

    fn note(&mut self, now: f64, text: &str) {
        let _ = writeln!(self.record, "{now:8.3} {text}");
    }

    fn endpoint(server: usize) -> Endpoint {
        ([127, 0, 0, 1], 41_000 + server as u16)
    }

    fn server(endpoint: Endpoint) -> usize {
        usize::from(endpoint.1 - 41_000)
    }

    fn zone(&self, server: usize) -> u16 {
        (server % self.setup.zones.len()) as u16
    }

    fn begin(&mut self, root: &std::path::Path, run: &str) -> std::io::Result<()> {
        let servers: Vec<_> = (0..self.cores.len()).map(|s| (Self::endpoint(s), self.zone(s), 1)).collect();
        for instance in 0..self.setup.pilots {
            self.hosts.push(Some(Host::start(root, run)?));
            let settings = self.setup.settings().replace("\"me\":0", &format!("\"me\":{instance}"));
            let batch = &mut self.batches[instance];
            batch.start(instance as u16, 7 + instance as u64, &settings);
            batch.list(instance as u16, 2, 1, &servers);
            let rate = self.setup.rate / self.setup.proxies as f64;
            for proxy in 0..self.setup.proxies {
                batch.attached(
                    instance as u16,
                    proxy as u16,
                    (proxy % self.setup.zones.len()) as u16,
                    rate as f32,
                );
            }
            for slice in 0..self.slices.count {
                if self.charge[slice] == Some(instance) {
                    batch.given(instance as u16, slice as u16, self.store[slice].0.map(Self::endpoint));
                }
            }
        }
        for proxy in &mut self.held {
            for (slice, held) in proxy.iter_mut().enumerate() {
                held.owner = self.store[slice].0;
            }
        }
        Ok(())
    }

    fn turn(&mut self, trouble: bool) -> Result<(), String> {
        let (mut next_request, mut next_report) = (0.5, 1.0);
        let (mut drained, mut killed, mut given) = (0, false, false);
        let kills = self.slices.kills;
        while self.now() < self.setup.seconds {
            let now = self.now();
            while let Some((_, server)) =
                self.slices.drained.get(drained).copied().filter(|(at, _)| *at <= now)
            {
                drained += 1;
                if !trouble && !kills {
                    continue;
                }
                self.note(now, &format!("server {server} drains; all instances are told"));
                let entry = (Self::endpoint(server), self.zone(server), 2);
                for instance in 0..self.setup.pilots {
                    self.batches[instance].list(
                        instance as u16,
                        0,
                        1 + drained as u64 + self.gone.len() as u64,
                        &[entry],
                    );
                }
                self.told.insert(server, now);
            }
            self.end_drained(now, drained as u64);
            if kills && trouble && !killed && now >= KILL_AT {
                killed = true;
                self.kill(now, 0);
            }
            if killed && !given && now >= KILL_AT + self.slices.takeover {
                given = true;
                self.take_over(now, 0, 1);
            }
            self.deliver(now);
            while next_request <= now {
                self.request(next_request);
                // Traffic falls with the fleet.
                let fleet = if kills { 1.0 } else { 1.0 - self.told.len() as f64 / self.cores.len() as f64 };
                next_request += self.rng.exponential(1.0 / (self.setup.rate * fleet));
            }
            if next_report <= now {
                self.report();
                next_report += 1.0;
            }
            self.rounds()?;
            let left = TICK - (self.now() - now);
            std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
        }
        Ok(())
    }

    /// Draining servers end after their time, and the list says that they are gone.
    fn end_drained(&mut self, now: f64, version: u64) {
        let due = |(server, told): (&usize, &f64)| {
            (now > told + self.slices.drain_time && !self.gone.contains(server)).then_some(*server)
        };
        let ended: Vec<usize> = self.told.iter().filter_map(due).collect();
        for server in ended {
            self.gone.push(server);
            self.note(now, &format!("server {server} has ended; all instances are told that it is gone"));
            let entry = (Self::endpoint(server), self.zone(server), 0);
            for instance in 0..self.setup.pilots {
                let version = 1 + version + self.gone.len() as u64;
                self.batches[instance].list(instance as u16, 0, version, &[entry]);
            }
        }
    }

    /// The process of an instance dies. What waits in its channel or is on its way is lost, and the proxies notice at
    /// once: they send writes for the lease, then none until they have read the store.
    fn kill(&mut self, now: f64, instance: usize) {
        if let Some(host) = self.hosts[instance].take() {
            host.kill();
        }
        let lost = self.messages.iter().filter(|message| message.from == instance).count();
        self.messages.retain(|message| message.from != instance);
        self.timers[instance].clear();
        self.batches[instance] = Batch::default();
        self.note(now, &format!("the process of instance {instance} is killed; {lost} messages are lost"));
        for proxy in &mut self.held {
            for (slice, held) in proxy.iter_mut().enumerate() {
                if self.charge[slice] == Some(instance) {
                    held.until = Some(now + self.slices.lease);
                }
            }
        }
    }

    /// The store gives the slices of a lost instance to another, and the proxies read it anew.
    fn take_over(&mut self, now: f64, from: usize, to: usize) {
        for slice in 0..self.slices.count {
            if self.charge[slice] != Some(from) {
                continue;
            }
            self.charge[slice] = Some(to);
            let owner = self.store[slice].0;
            self.batches[to].given(to as u16, slice as u16, owner.map(Self::endpoint));
            self.note(
                now,
                &format!("the store gives slice {slice} to instance {to}; its table names {owner:?}"),
            );
            for proxy in 0..self.held.len() {
                let (least, most) = self.slices.sync;
                self.held[proxy][slice].reads_at = Some(now + self.rng.between(least, most));
            }
        }
    }

    fn deliver(&mut self, now: f64) {
        self.messages.sort_by(|a, b| a.at.total_cmp(&b.at));
        while self.messages.first().is_some_and(|message| message.at <= now) {
            let message = self.messages.remove(0);
            for (slice, owner, naming) in message.orders {
                let held = &mut self.held[message.proxy][slice];
                (held.owner, held.naming) = (owner, naming);
            }
        }
        for proxy in 0..self.held.len() {
            for slice in 0..self.slices.count {
                let (owner, naming) = self.store[slice];
                let held = &mut self.held[proxy][slice];
                if held.reads_at.is_some_and(|at| at <= now) {
                    *held = Held { owner, naming, until: None, reads_at: None };
                }
            }
        }
    }

    /// A client's write arrives at a proxy, which sends it to the owner of its slice.
    fn request(&mut self, at: f64) {
        let proxy = (self.rng.unit() * self.setup.proxies as f64) as usize;
        // Slices are unequal: those of server 0 are twice as large as the others.
        let weight = |slice: usize| if slice % self.cores.len() == 0 { 2.0 } else { 1.0 };
        let weights: Vec<f64> = (0..self.slices.count).map(weight).collect();
        let slice = self.rng.weighted(&weights);
        let work = self.rng.lognormal(self.setup.classes[0].work, 0.6);
        *self.counts.entry("requests").or_default() += 1;
        let held = self.held[proxy][slice].clone();
        let Some(server) = held.owner.filter(|_| held.until.is_none_or(|until| at < until)) else {
            *self.counts.entry("refused without an owner").or_default() += 1;
            return;
        };
        if let Some(told) = self.told.get(&server) {
            let over = at - told - self.setup.grace - SLACK;
            if over > 0.0 && self.charge[slice].is_some_and(|instance| self.hosts[instance].is_some()) {
                *self.broken.entry("drain").or_default() += 1;
                self.worst = self.worst.max(over);
                let text = format!("BROKEN drain: proxy {proxy} sends a write of slice {slice} to server {server}, which drains since {told:.3}, {over:.3} s past the limit");
                self.note(at, &text);
            }
        }
        let ended = self.told.get(&server).is_some_and(|told| at > told + self.slices.drain_time);
        if ended {
            *self.counts.entry("lost at a server that has ended").or_default() += 1;
            self.note(
                at,
                &format!("proxy {proxy} sends a write of slice {slice} to server {server}, which has ended"),
            );
            return;
        }
        self.writes.retain(|write| write.until > at);
        let elsewhere = self.writes.iter().find(|write| write.slice == slice && write.server != server);
        if let Some(until) = elsewhere.map(|write| (write.server, write.until)) {
            *self.broken.entry("owner").or_default() += 1;
            let text = format!(
                "BROKEN one owner: proxy {proxy} sends a write of slice {slice} to server {server} while server {} has one in progress until {:.3}",
                until.0, until.1
            );
            self.note(at, &text);
        }
        let (naming, owner) = self.accepted[slice];
        if held.naming < naming && owner != server {
            *self.broken.entry("owner").or_default() += 1;
            let text = format!(
                "BROKEN one owner: proxy {proxy} sends a write of slice {slice} to its former owner, server {server}, after server {owner} has accepted one"
            );
            self.note(at, &text);
        }
        if held.naming > naming || owner == usize::MAX {
            self.accepted[slice] = (held.naming, server);
        }
        let cores = &mut self.cores[server];
        let core = (0..cores.len()).min_by(|a, b| cores[*a].total_cmp(&cores[*b])).expect("a core");
        let took = cores[core].max(at) - at + work / self.setup.speed;
        let until = at + took.min(self.slices.write_life);
        cores[core] = at + took;
        self.note(at, &format!("proxy {proxy} sends a write of slice {slice} to server {server}, which runs it until {until:.3}"));
        self.writes.push(Running { slice, server, until });
        if self.charge[slice].is_some() {
            let met = self.met.entry((server, proxy % self.setup.zones.len())).or_default();
            *met = (met.0 + 1, met.1 + took);
        }
        *self.counts.entry("served").or_default() += 1;
    }

    /// Reports of the last second: all instances hear of all servers.
    fn report(&mut self) {
        for ((server, zone), (tries, time)) in std::mem::take(&mut self.met) {
            for instance in 0..self.setup.pilots {
                let mean = time / f64::from(tries) * 1e3;
                self.batches[instance].met(
                    instance as u16,
                    Self::endpoint(server),
                    zone as u16,
                    tries,
                    0,
                    mean,
                );
            }
        }
        for slice in 0..self.slices.count {
            let count = (self.setup.rate / self.slices.count as f64) as u32;
            if let Some(instance) = self.charge[slice] {
                self.batches[instance].load(instance as u16, slice as u16, 0, count);
            }
        }
    }

    /// Sends the batches and carries out what the instances order.
    fn rounds(&mut self) -> Result<(), String> {
        for instance in 0..self.setup.pilots {
            let now = self.now();
            let due: Vec<u64> = self.timers[instance]
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, handle)| *handle)
                .collect();
            self.timers[instance].retain(|(at, _)| *at > now);
            let mut batch = std::mem::take(&mut self.batches[instance]);
            due.iter().for_each(|handle| batch.timer(instance as u16, *handle));
            let Some(host) = self.hosts[instance].as_mut().filter(|_| !batch.is_empty()) else { continue };
            let actions = host.play(now * 1e3, batch).map_err(|e| format!("instance {instance}: {e}"))?;
            let mut orders = Vec::new();
            for (_, action) in actions {
                match action {
                    Action::Timer { after_ms, handle } => {
                        self.timers[instance].push((now + after_ms / 1e3, handle))
                    }
                    Action::Weigh { slice, server, weight } => {
                        let slice = usize::from(slice);
                        // Orders for a slice outside the instance's charge are dropped.
                        if self.charge[slice] != Some(instance) {
                            continue;
                        }
                        let server = Self::server(server);
                        let owner = if weight > 0.0 {
                            self.namings += 1;
                            Some(server)
                        } else {
                            self.store[slice].0.filter(|owner| *owner != server)
                        };
                        self.store[slice] = (owner, self.namings);
                        orders.push((slice, owner, self.namings));
                        self.note(now, &format!("instance {instance} orders for slice {slice}: server {server} weight {weight}"));
                    }
                    Action::Clear { slice } => {
                        let slice = usize::from(slice);
                        if self.charge[slice] == Some(instance) {
                            self.store[slice] = (None, self.namings);
                            orders.push((slice, None, self.namings));
                        }
                    }
                    Action::Other(_) => {}
                }
            }
            if !orders.is_empty() {
                self.send(now, instance, &orders);
            }
        }
        Ok(())
    }

    /// One message for each proxy: they leave one after the other and take their time on the way.
    fn send(&mut self, now: f64, instance: usize, orders: &[(usize, Option<usize>, u64)]) {
        let lines = self.setup.head + orders.len() as f64;
        for proxy in 0..self.setup.proxies {
            let leaves = self.free_at[instance].max(now) + lines / self.setup.lines_per_second;
            self.free_at[instance] = leaves;
            let transit = (self.rng.between(0.5, 1.5) * self.setup.transit).min(self.setup.transit_max);
            let earlier =
                self.messages.iter().filter(|m| m.from == instance && m.proxy == proxy).map(|m| m.at);
            let at = earlier.fold(leaves + transit, f64::max);
            self.messages.push(Message { from: instance, at, proxy, orders: orders.to_vec() });
        }
        self.waited = self.waited.max((self.free_at[instance] - now) * self.setup.lines_per_second);
    }
}
