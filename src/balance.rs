//! All routing decisions of one pilot.
//!
//! `Balancer::new` takes the pilot's settings. `Balancer::round` is then called once a round with all inputs
//! that arrived and writes its orders to the given `Writer`. The types of both calls are in `round.rs`, which
//! is the whole interface. `state.rs` holds the state, `sums.rs` and `rng.rs` the numeric helpers and the
//! random generator. The steps of a cycle, in order: inputs, trust, demand, capacity, flows, levels, orders.

mod admission;
mod cold_start;
mod crowding;
mod demand;
mod flows;
mod groups;
mod server_list;
mod slices;
mod table_changes;
mod trust;

pub use admission::admission_levels;
pub use flows::{flows_by_capacity, flows_by_plan};

use crate::rng::Rng;
use crate::round::{Address, Beliefs, Channel, Plan, QueryClass, Round, Rules, Site, Stream, Writer};
use crate::state::{Admission, Proxy, Queue, Server, Slice, Table, Times};
use std::collections::BTreeMap;

/// s; interval at which deferred orders are reconsidered. Well below every grace period.
const RECHECK_INTERVAL: f64 = 0.25;
/// s; the reports of one period arrive within this time of each other. A cycle waits for the rest of them.
const REPORT_GATHER_TIME: f64 = 0.1;
/// Cycles; the earliest start of the next cycle when reports are in, and the latest when there are none.
const MIN_CYCLE_FACTOR: f64 = 0.9;
const MAX_CYCLE_FACTOR: f64 = 1.5;
/// s; reports must have arrived for this long, two or more periods, before decisions rely on them.
const SETTLING_TIME: f64 = 4.0;
/// s; decay time of a server's sums. Long enough for about ten answers, short enough that a recovery shows
/// within two reports.
const SERVER_DECAY: f64 = 1.5;
/// s; decay time of the demand sums. Smooths single reports and still follows a jump quickly.
const DEMAND_DECAY: f64 = 4.0;
/// s; without reports for this long, the pilot distributes queries by server count (design).
const STALE_AFTER: f64 = 15.0;
/// Share; a server trusted less than this is ignored when the crowding of its zone is computed.
const DISTRUST_THRESHOLD: f64 = 0.5;
/// Share of a table's queries; a smaller entry is not worth a connection.
const MIN_TABLE_SHARE: f64 = 1e-4;
/// Share; smallest relative change of a weight that is sent (design).
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Share of the channel's stated rate that ordinary weights may use in the long run, as every line has a
/// cost.
const ORDINARY_RATE_SHARE: f64 = 0.2;
/// Share of the channel's queue that any message may fill.
const URGENT_QUEUE_SHARE: f64 = 0.9;
/// s; without an acknowledgement for this long, the proxies that had messages pending are considered gone.
const ACKNOWLEDGE_TIMEOUT: f64 = 5.0;
/// Share of a message cap that ordinary weights may use.
const ORDINARY_MESSAGE_SHARE: f64 = 0.6;

/// The decision logic of one pilot, with everything it remembers between rounds.
pub struct Balancer {
    site: Site,
    classes: Vec<QueryClass>,
    channel: Channel,
    rules: Rules,
    rng: Rng,
    servers: BTreeMap<Address, Server>,
    proxies: BTreeMap<u16, Proxy>,
    tables: Vec<Table>,
    /// The slices assigned to this pilot.
    slices: BTreeMap<u16, Slice>,
    /// By zone: factor by which crowding scales its capacity.
    crowding: Vec<f64>,
    /// Number of groups that each server belongs to.
    groups_per_server: usize,
    queue: Queue,
    admission: Admission,
    /// The latest plan and when it arrived.
    plan: Option<(f64, Plan)>,
    times: Times,
}

impl Balancer {
    pub fn new(site: Site, classes: Vec<QueryClass>, channel: Channel, rules: Rules, seed: u64) -> Self {
        let tables = vec![Table::default(); site.zones];
        let crowding = vec![1.0; site.zones];
        Balancer {
            site,
            classes,
            channel,
            rules,
            rng: Rng::new(seed),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            tables,
            slices: BTreeMap::new(),
            crowding,
            groups_per_server: 1,
            queue: Queue::default(),
            admission: Admission::default(),
            plan: None,
            times: Times::default(),
        }
    }

    /// Processes the inputs of one round and writes the resulting orders to `out`.
    pub fn round(&mut self, round: &Round, out: &mut dyn Writer) {
        let now = round.now;
        let received_before = self.queue.received_before(&self.proxies, now, ACKNOWLEDGE_TIMEOUT);
        self.times.last_report_at.get_or_insert(now);
        for list in &round.lists {
            self.apply_list(list, now);
        }
        self.apply_streams(&round.streams, now);
        self.plan = round.plan.clone().map(|plan| (now, plan)).or(self.plan.take());
        let topology_changed = !round.lists.is_empty() || !round.streams.is_empty();
        if topology_changed {
            self.assign_groups();
        }
        for query in &round.queries {
            if let Some(proxy) = self.proxies.get_mut(&query.proxy) {
                proxy.record_queries(query, self.classes.len(), DEMAND_DECAY, now);
            }
        }
        self.apply_tries(&round.tries, now);
        for result in round.health.iter().filter(|result| result.healthy) {
            if let Some(server) = self.servers.get_mut(&result.server) {
                server.answered_at = now;
            }
        }
        if self.site.list_on_request {
            self.request_list(&round.lists, now, out);
        }
        // A cycle starts soon after the reports it acts on. Without reports it starts late rather than never.
        if !round.tries.is_empty() {
            let next = (now + REPORT_GATHER_TIME)
                .max(self.times.last_cycle + self.cycle_length() * MIN_CYCLE_FACTOR);
            if next < self.times.next_cycle {
                self.times.next_cycle = next;
                out.set_timer((next - now).max(REPORT_GATHER_TIME), 1);
            }
        }
        let cycle = now >= self.times.next_cycle;
        if cycle || !round.lists.is_empty() {
            self.check_health(now, out);
        }
        if cycle {
            // Without reports, as when collectors are cut off, the sums decay and say nothing about queries,
            // answers or speed. The previous estimates are kept meanwhile, so that silence is not taken for
            // low load.
            if self.times.last_report_at.is_none_or(|at| at > self.times.last_cycle) {
                self.update_trust(now);
                self.update_crowding(now);
                self.update_admission(now);
            }
            self.times.last_cycle = now;
            self.times.next_cycle = now + self.cycle_length() * MAX_CYCLE_FACTOR;
        }
        // The channel may be many times slower than stated, without notice. A message therefore counts as
        // waiting until its own or a later acknowledgement shows that it has left. This covers any stall on
        // the way; late acknowledgements mean that less is written.
        let rate = self.channel.lines_per_second * ORDINARY_RATE_SHARE;
        if self.site.slices > 0 {
            self.queue.record_received(&round.acknowledgements, &mut self.proxies);
        }
        self.queue.acknowledge(&round.acknowledgements, now, ACKNOWLEDGE_TIMEOUT, rate);
        if self.site.slices > 0 {
            self.update_slices(&round.slice_assignments, received_before, now, out);
        } else if cycle || topology_changed || now >= self.times.next_recheck {
            self.send_tables(cycle, now, out);
        }
        if let Some(number) = self.queue.mark(now) {
            out.mark(number, false);
        }
        if now >= self.times.next_recheck {
            self.times.next_recheck = now + RECHECK_INTERVAL;
            out.set_timer(RECHECK_INTERVAL, 0);
        }
    }

    /// Applies streams that came up or broke. A proxy keeps only its group from one stream to the next.
    fn apply_streams(&mut self, streams: &[Stream], now: f64) {
        for stream in streams {
            let zone = usize::from(stream.zone).min(self.site.zones - 1);
            let proxy = self.proxies.entry(stream.proxy).or_default();
            if proxy.joined {
                self.times.stream_lost_at = now;
            }
            let (group, rate) = (proxy.group, stream.rate);
            *proxy = Proxy { zone, group, rate, joined: stream.up, ..Proxy::default() };
        }
    }

    /// The estimates that orders at this moment are based on.
    pub fn beliefs(&self, now: f64) -> Beliefs {
        let count = |condition: &dyn Fn(&Server) -> bool| {
            self.servers.values().filter(|s| s.is_ready() && condition(s)).count()
        };
        Beliefs {
            demand: self.demand(false, now).iter().sum(),
            let_in: self.admission.admitted,
            pressure: self.admission.pressure,
            ready: count(&|_| true),
            cold: count(&|s| self.is_cold(s, now)),
            distrusted: count(&|s| s.trust < DISTRUST_THRESHOLD),
        }
    }

    /// Length of a cycle: one report period, longer where messages to a proxy are limited.
    fn cycle_length(&self) -> f64 {
        let max_messages = self.channel.max_messages as f64;
        let min_interval = if max_messages > 0.0 {
            self.channel.window / (max_messages * ORDINARY_MESSAGE_SHARE)
        } else {
            0.0
        };
        self.site.report_period.max(min_interval).max(RECHECK_INTERVAL)
    }

    /// The sum of a property of ready servers, by zone.
    fn sum_by_zone(&self, property: impl Fn(&Server) -> f64) -> Vec<f64> {
        let mut sums = vec![0.0; self.site.zones];
        for server in self.servers.values().filter(|s| s.is_ready()) {
            sums[server.zone] += property(server);
        }
        sums
    }

    /// Whether reports have arrived for long enough to rely on them.
    fn is_settled(&self, now: f64) -> bool {
        self.times.first_report_at.is_some_and(|since| now - since > SETTLING_TIME)
    }
}
