//! All routing decisions of one pilot.
//!
//! `Balancer::new` takes the pilot's settings. `Balancer::round` is then called once a round with all inputs
//! that arrived and writes its orders to the given `Writer`. The types of both calls are in `round.rs`, which
//! is the whole interface. `state.rs` holds the state, `sums.rs` and `rng.rs` the numeric helpers and the
//! random generator. The steps of a cycle, in order: inputs, trust, demand, capacity, flows, levels, orders.

use crate::rng::Rng;
use crate::round::{
    Address, Beliefs, Channel, LevelKind, List, ListKind, Plan, QueryClass, Readiness, Round, Rules, Site,
    Tries, Writer, MARK_LINES, NO_LIMIT, NO_RETRY, RETRY_UNPROCESSED,
};
use crate::state::{
    Admission, Change, ColdBudget, Level, Proxy, Queue, Server, Table, TableChanges, TargetTable, Times,
};
use crate::sums::{argmin, effective_span, median, weighted_median};
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
/// s; a proxy's stated usual rate counts as a measurement of this length when its stream comes up.
const USUAL_RATE_SPAN: f64 = 4.0;
/// s; without reports for this long, the pilot distributes queries by server count (design).
const STALE_AFTER: f64 = 15.0;
/// Share; initial trust of a server that has just started (design).
const INITIAL_TRUST: f64 = 0.05;
/// Share; trust gained in a cycle that brought answers (design).
const TRUST_STEP: f64 = 0.2;
/// Share; minimum trust, so that a recovery is noticed. It costs a few queries.
const MIN_TRUST: f64 = 0.05;
/// Share; a new server trusted less than this gets one health check a cycle, where checks are allowed.
const HEALTH_CHECK_MAX_TRUST: f64 = 0.3;
/// Ratio; maximum trust of a server that is faster than its peers, as its short times may be chance.
const MAX_TRUST: f64 = 3.0;
/// Exponent of speed in trust where proxies choose the less loaded of two: proxies and trust each make half
/// of the correction.
const TWO_CHOICES_EXPONENT: f64 = 0.5;
/// Answers; weight of the peers' mean in a server's own mean, against the noise of small samples.
const PRIOR_ANSWERS: f64 = 4.0;
/// Share; a failure rate this far above the peers' removes all trust.
const EXCESS_FAILURE_LIMIT: f64 = 0.25;
/// s; a server that an unreliable list drops is kept while its last answer is younger than this.
const DELISTED_GRACE: f64 = 5.0;
/// s; a server gone for longer than this is forgotten and counts as new if it returns. Releases take far
/// less.
const GONE_RETENTION: f64 = 600.0;
/// Share of the trust implied by its throughput that a server keeps regardless of response times and
/// failures.
const THROUGHPUT_CREDIT: f64 = 0.7;
/// Ratio; a zone with more queries in flight per unit of weight than this multiple of the fleet's mean is
/// crowded (design).
const CROWDED_RATIO: f64 = 1.5;
/// Share; change of a crowded zone's capacity factor in one cycle. The effect of a spill shows two cycles
/// later.
const CROWDING_STEP: f64 = 0.35;
/// Share; a server trusted less than this is ignored when the crowding of its zone is computed.
const DISTRUST_THRESHOLD: f64 = 0.5;
/// Share; lower bound of a zone's capacity, relative to its servers (design).
const MIN_ZONE_CAPACITY: f64 = 0.05;
/// s; sending a whole table to each of its proxies should not occupy the channel for longer than this.
const MAX_TABLE_SEND_TIME: f64 = 0.25;
/// Servers of a zone; approximate minimum size of a group. In smaller groups the failure of one server weighs
/// too much.
const MIN_GROUP_SIZE: f64 = 8.0;
/// Proxies of a pilot; there is at most one table for this many, counted over all zones (design).
const MIN_PROXIES_PER_TABLE: f64 = 5.0;
/// Ratio to its size; a server moves to another group when the group sizes differ by more than this.
const REBALANCE_THRESHOLD: f64 = 1.5;
/// Share of a table's queries; a smaller entry is not worth a connection.
const MIN_TABLE_SHARE: f64 = 1e-4;
/// Share; smallest relative change of a weight that is sent (design).
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Share of the load at which a cold server fails that it may be sent. About a third, as reports lag behind.
const COLD_BUDGET_SHARE: f64 = 0.3;
/// Share of the longest list seen; a shorter list does not raise the capacity estimate of its servers beyond
/// that of a list of this length.
const SHORT_LIST_SHARE: f64 = 0.4;
/// Share of the cold budget that applies until reports have settled, as demand may double from one report to
/// the next.
const UNSETTLED_SHARE: f64 = 0.4;
/// Share of the channel's stated rate that ordinary weights may use in the long run, as every line has a
/// cost.
const ORDINARY_RATE_SHARE: f64 = 0.2;
/// Share of the channel's queue that ordinary weights may fill. The rest is reserved for urgent changes.
const ORDINARY_QUEUE_SHARE: f64 = 0.3;
/// Share of the remaining ordinary queue space that one table may use, so that the others get their turn.
const TABLE_QUEUE_SHARE: f64 = 0.5;
/// Share of the channel's queue that any message may fill.
const URGENT_QUEUE_SHARE: f64 = 0.9;
/// s; without an acknowledgement for this long, the proxies that had messages pending are considered gone.
const ACKNOWLEDGE_TIMEOUT: f64 = 5.0;
/// Share of a message cap that ordinary weights may use.
const ORDINARY_MESSAGE_SHARE: f64 = 0.6;
/// Ratio; pressure (the median server's response time, failures included, over the due time) above which the
/// admission limit falls.
const HIGH_PRESSURE: f64 = 0.4;
/// Ratio; pressure below which the admission limit rises.
const LOW_PRESSURE: f64 = 0.35;
/// s; delay between a change of the admission limit and its effect on measurements: decay time of the sums
/// plus the delay of reports.
const ADMISSION_LAG: f64 = 6.0;
/// Share of the answered rate that is admitted under high pressure, so that queues drain.
const ADMISSION_DECREASE: f64 = 0.95;
/// Ratio; increase of the admitted rate in one cycle under low pressure.
const ADMISSION_INCREASE: f64 = 1.1;
/// Share of the observed capacity that is admitted even under pressure.
const MIN_ADMISSION_SHARE: f64 = 0.5;
/// Share; levels are rounded to multiples of this.
const LEVEL_STEP: f64 = 0.05;
/// Queries a second assumed for a proxy that states no rate, until its usage is reported. Only ratios matter
/// until then.
const DEFAULT_PROXY_RATE: f64 = 1.0;

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
    /// The servers of each slice assigned to this pilot, and when a server was last removed from it.
    slices: BTreeMap<u16, (Vec<Address>, f64)>,
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

/// Shares of each zone's queries by target zone. A zone keeps what its own share of the capacity carries and
/// spills the rest to the other zones, in proportion to their spare capacity.
pub fn flows_by_capacity(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let normalized = |x: &[f64]| -> Vec<f64> {
        let total = x.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        x.iter().map(|value| value / total).collect()
    };
    let (demand, capacity) = (normalized(demand), normalized(capacity));
    let spare: Vec<f64> = demand.iter().zip(&capacity).map(|(d, c)| (c - d).max(0.0)).collect();
    let total_spare: f64 = spare.iter().sum();
    let flow = |zone: usize| {
        let keep = match capacity[zone] {
            own if demand[zone] > 0.0 && total_spare > 0.0 => (own / demand[zone]).min(1.0),
            own => f64::from(u8::from(own > 0.0)),
        };
        let to = |other: usize| match () {
            () if other == zone => keep,
            () if total_spare > 0.0 => (1.0 - keep) * spare[other] / total_spare,
            () => (1.0 - keep) * capacity[other],
        };
        (0..capacity.len()).map(to).collect()
    };
    (0..demand.len()).map(flow).collect()
}

/// Shares of each zone's queries by target zone, following the plan as far as the trusted capacity allows.
/// The excess goes to zones with spare capacity.
///
/// This limits the damage of a plan that is older than a loss of servers. If the plan overestimates servers,
/// they are overloaded until their trust falls.
pub fn flows_by_plan(plan: &Plan, demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let zones = capacity.len();
    let load = |to: usize| -> f64 { demand.iter().zip(&plan.shares).map(|(d, shares)| d * shares[to]).sum() };
    let load: Vec<f64> = (0..zones).map(load).collect();
    let limit: Vec<f64> = capacity.iter().map(|c| c * plan.capacity_per_weight).collect();
    let admitted = |to: usize| if load[to] > limit[to] { limit[to] / load[to] } else { 1.0 };
    let spare: Vec<f64> = (0..zones).map(|to| (limit[to] - load[to]).max(0.0)).collect();
    let spare_or_limit = if spare.iter().sum::<f64>() > 0.0 { spare } else { limit.clone() };
    let total = spare_or_limit.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let flow = |shares: &Vec<f64>| {
        let excess: f64 = (0..zones).map(|to| shares[to] * (1.0 - admitted(to))).sum();
        (0..zones).map(|to| shares[to] * admitted(to) + excess * spare_or_limit[to] / total).collect()
    };
    plan.shares.iter().map(flow).collect()
}

/// Admission level of each class when the share `admitted` of all queries is let in, the most beneficial
/// classes first. Where demand by class is unknown, each class gets that share; otherwise everything would be
/// let in.
pub fn admission_levels(admitted: f64, benefit: &[f64], demand: &[f64]) -> Vec<f64> {
    if demand.iter().all(|class| *class <= 0.0) {
        return vec![admitted.clamp(0.0, 1.0); benefit.len()];
    }
    let mut by_benefit: Vec<usize> = (0..benefit.len()).collect();
    by_benefit.sort_by(|&a, &b| benefit[b].total_cmp(&benefit[a]));
    let mut remaining = admitted * demand.iter().sum::<f64>();
    let mut levels = vec![1.0; benefit.len()];
    for class in by_benefit {
        if admitted < 1.0 && demand[class] > 0.0 {
            levels[class] = (remaining / demand[class]).clamp(0.0, 1.0);
            remaining -= demand[class] * levels[class];
        }
    }
    levels
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
        self.times.last_report_at.get_or_insert(now);
        for list in &round.lists {
            self.apply_list(list, now);
        }
        for stream in &round.streams {
            let zone = usize::from(stream.zone).min(self.site.zones - 1);
            let proxy = self.proxies.entry(stream.proxy).or_default();
            let (group, rate) = (proxy.group, stream.rate);
            *proxy = Proxy { zone, group, rate, joined: stream.up, ..Proxy::default() };
        }
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
        self.queue.acknowledge(&round.acknowledgements, now, ACKNOWLEDGE_TIMEOUT, rate);
        if self.site.slices > 0 {
            self.update_slices(round, now, out);
        } else if cycle || topology_changed || now >= self.times.next_recheck {
            self.send_tables(cycle, now, out);
            if let Some(number) = self.queue.mark(now) {
                out.mark(number, false);
            }
        }
        if now >= self.times.next_recheck {
            self.times.next_recheck = now + RECHECK_INTERVAL;
            out.set_timer(RECHECK_INTERVAL, 0);
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

    /// Applies a list. A server that returns without having restarted keeps its state.
    fn apply_list(&mut self, list: &List, now: f64) {
        let first_list = self.servers.is_empty();
        // Servers that are replaced daily would otherwise accumulate forever. A server that a table still
        // names is kept until it no longer does.
        let tables = &self.tables;
        self.servers.retain(|address, server| {
            let recent = server.gone_at.is_none_or(|at| now - at < GONE_RETENTION);
            recent || tables.iter().any(|table| table.weights.contains_key(address))
        });
        // Where lists are unreliable, a server that still answers is kept although the list dropped it.
        let unreliable = self.rules.gone_does_not_bind;
        let still_answers = |s: &Server| unreliable && now - s.answered_at < DELISTED_GRACE;
        if matches!(list.kind, ListKind::Full | ListKind::Cached) {
            for (address, server) in &mut self.servers {
                if !still_answers(server) && !list.entries.iter().any(|e| e.server == *address) {
                    server.readiness = Readiness::Gone;
                }
            }
        }
        for entry in list.entries.iter().filter(|e| usize::from(e.zone) < self.site.zones) {
            let known = self.servers.get(&entry.server);
            if entry.readiness == Readiness::Gone && known.is_some_and(|s| s.is_ready() && still_answers(s)) {
                continue;
            }
            if known.is_none_or(|s| s.started != entry.started) {
                let mut server = Server::new(entry, SERVER_DECAY, 1.0);
                server.groups = known.map_or(Vec::new(), |s| s.groups.clone());
                if !first_list || server.warm_progress(now, self.rules.warm_within) < 1.0 {
                    server.trust = INITIAL_TRUST;
                }
                self.servers.insert(entry.server, server);
            } else if let Some(server) = self.servers.get_mut(&entry.server) {
                server.readiness = entry.readiness;
                server.weight = if entry.weight > 0.0 { entry.weight } else { server.weight };
                server.size = server.size.max(server.weight);
            }
        }
        for server in self.servers.values_mut() {
            let gone = server.readiness == Readiness::Gone;
            server.gone_at = server.gone_at.or(Some(now)).filter(|_| gone);
        }
        let total_size: f64 = self.sum_by_zone(|s| s.size).iter().sum();
        self.admission.max_listed_size = self.admission.max_listed_size.max(total_size);
    }

    /// Assigns servers and proxies to groups. Each group has one table per zone, made of its own servers.
    ///
    /// Without groups, tables of a large fleet are too long for the channel: sending a full one to each proxy
    /// takes seconds, and so does each change. Groups also help where servers accept few connections. Servers
    /// of a small group may not be representative, so there are as few groups as the channel allows.
    fn assign_groups(&mut self) {
        let zones = self.site.zones;
        if self.tables.iter().all(|t| t.weights.is_empty()) && !self.proxies.values().any(|p| p.bound) {
            let proxies_per_pilot = (self.site.proxies / self.site.pilots as f64).max(1.0);
            let max_table_lines = self.channel.lines_per_second * MAX_TABLE_SEND_TIME / proxies_per_pilot
                - self.channel.header_lines;
            let largest_zone = self.sum_by_zone(|_| 1.0).into_iter().fold(0.0, f64::max);
            let max_groups = (proxies_per_pilot / (MIN_PROXIES_PER_TABLE * zones as f64)).floor();
            let groups = (largest_zone / max_table_lines.max(MIN_GROUP_SIZE)).ceil().min(max_groups).max(1.0);
            // Several pilots assign groups at random and balance out through the servers they share. A single
            // pilot has no such effect, so each of its servers is in two groups.
            let double_membership = self.site.pilots == 1 && groups > 1.0 && groups * 2.0 <= max_groups;
            self.groups_per_server = if double_membership { 2 } else { 1 };
            self.tables = vec![Table::default(); zones * groups as usize * self.groups_per_server];
        }
        let groups = self.tables.len() / zones;
        let (mut sizes, mut rates) = (vec![vec![0.0; groups]; zones], vec![vec![0.0; groups]; zones]);
        for server in self.servers.values().filter(|s| s.is_ready()) {
            for group in server.groups.iter().filter(|group| **group < groups) {
                sizes[server.zone][*group] += server.size;
            }
        }
        for proxy in self.proxies.values().filter(|p| p.joined && p.group < groups) {
            rates[proxy.zone][proxy.group] += proxy.rate;
        }
        // Servers that left or returned make the groups uneven; larger groups give servers to the smallest.
        for server in self.servers.values_mut().filter(|s| s.is_ready()) {
            let sizes = &mut sizes[server.zone];
            server.groups.resize(self.groups_per_server, usize::MAX);
            for slot in 0..self.groups_per_server {
                let mut candidate_sizes = sizes.clone();
                let current = server.groups.iter().filter(|group| **group < groups);
                current.for_each(|group| candidate_sizes[*group] = f64::INFINITY);
                let (from, to) = (server.groups[slot], argmin(&candidate_sizes, || self.rng.f64()));
                if from >= groups || sizes[from] - sizes[to] > server.size * REBALANCE_THRESHOLD {
                    sizes[to] += server.size;
                    if let Some(old_size) = sizes.get_mut(from) {
                        *old_size -= server.size;
                    }
                    server.groups[slot] = to;
                }
            }
        }
        for proxy in self.proxies.values_mut().filter(|p| p.joined && p.group >= groups) {
            proxy.group = argmin(&rates[proxy.zone], || self.rng.f64());
            rates[proxy.zone][proxy.group] += proxy.rate;
        }
    }

    /// The index of a proxy's table.
    fn table_index(&self, proxy: &Proxy) -> usize {
        proxy.group.min(self.tables.len() / self.site.zones - 1) * self.site.zones + proxy.zone
    }

    /// Requests the list where it is not pushed: subscribes, retries after a failure, and repeats an
    /// unanswered request well before the deadline.
    fn request_list(&mut self, lists: &[List], now: f64, out: &mut dyn Writer) {
        for list in lists {
            match list.kind {
                ListKind::Failed => {
                    self.times.requested_at = None;
                    self.times.request_at = now + RECHECK_INTERVAL * (1.0 + self.rng.f64());
                }
                ListKind::Cached => {}
                _ => self.times.request_at = f64::INFINITY,
            }
        }
        let overdue = self.times.requested_at.is_some_and(|at| now - at > self.rules.list_deadline / 2.0);
        if now >= self.times.request_at && (self.times.requested_at.is_none() || overdue) {
            self.times.requested_at = Some(now);
            out.follow_list();
        }
    }

    /// Adds the reported tries to the sums of their servers.
    fn apply_tries(&mut self, reports: &[Tries], now: f64) {
        if reports.is_empty() {
            return;
        }
        self.times.first_report_at.get_or_insert(now);
        self.times.last_report_at = Some(now);
        for tries in reports {
            if let Some(server) = self.servers.get_mut(&tries.server) {
                server.record_tries(tries, now);
            }
        }
    }

    /// Queries a second by table. With `at_least_usual`, for limits that must not be exceeded, no proxy
    /// counts less than its stated usual rate.
    fn demand(&self, at_least_usual: bool, now: f64) -> Vec<f64> {
        let mut demand = vec![0.0; self.tables.len()];
        for proxy in self.proxies.values().filter(|p| p.joined) {
            let measured = self.measured_rate(proxy, now);
            demand[self.table_index(proxy)] +=
                if at_least_usual { measured.max(proxy.rate) } else { measured };
        }
        demand
    }

    /// Queries a second of a proxy by its reports. A proxy that has just joined is estimated by its usual
    /// rate until reports outweigh it.
    fn measured_rate(&self, proxy: &Proxy, now: f64) -> f64 {
        let Some(since) = proxy.measured_since else {
            return if proxy.rate > 0.0 { proxy.rate } else { DEFAULT_PROXY_RATE };
        };
        let age = (now - since).max(0.0);
        let received: f64 = proxy.received.iter().map(|c| c.read(now)).sum();
        let span = effective_span(DEMAND_DECAY, self.site.report_period, age);
        let usual_span = if proxy.rate > 0.0 { USUAL_RATE_SPAN * (-age / DEMAND_DECAY).exp() } else { 0.0 };
        (received + proxy.rate * usual_span) / (span + usual_span)
    }

    /// Queries a second that the joined proxies usually bring, as stated. Proxies that state no rate count as
    /// measured.
    fn usual_demand(&self, now: f64) -> f64 {
        let usual = |p: &Proxy| if p.rate > 0.0 { p.rate } else { self.measured_rate(p, now) };
        self.proxies.values().filter(|p| p.joined).map(usual).sum()
    }

    /// Queries a second that a unit of server size can carry: the measured maximum, or what the fleet needs
    /// to carry for the usual demand.
    ///
    /// Without the latter, cold servers have no budget until tries are reported, and where all servers are
    /// cold no tries happen. It is computed anew each time: remembered from a short list, it would credit
    /// each server with the capacity of the fleet.
    fn capacity_per_size(&self, now: f64) -> f64 {
        let total_size: f64 = self.sum_by_zone(|s| s.size).iter().sum();
        let total_size =
            total_size.max(self.admission.max_listed_size * SHORT_LIST_SHARE).max(f64::MIN_POSITIVE);
        self.admission.observed_capacity.max(self.usual_demand(now) / total_size)
    }

    /// Updates trust. It falls at once to the target value and recovers step by step, in cycles that brought
    /// answers.
    fn update_trust(&mut self, now: f64) {
        let measured = |s: &Server| s.is_ready() && s.answers.read(now) >= 1.0;
        let times =
            self.servers.values().filter(|s| measured(s)).map(|s| s.mean_time(now, 0.0, 0.0)).collect();
        let median_time = median(times).unwrap_or(0.0);
        let ready = self.servers.values().filter(|s| s.is_ready());
        let median_failure_share =
            median(ready.map(|s| s.failure_share(now, PRIOR_ANSWERS)).collect()).unwrap_or(0.0);
        let last_cycle = self.times.last_cycle;
        // Trust must not lag behind warming: where a server is warm within a few cycles, the rest of the
        // fleet would carry its share meanwhile. While it is cold, its budget limits it.
        let new_step = TRUST_STEP.max(self.cycle_length() / self.rules.warm_within.max(f64::MIN_POSITIVE));
        let (mut answers, mut trusted_weight) = (0.0, 0.0);
        for server in self.servers.values().filter(|s| s.is_ready()) {
            answers += server.answers.read(now);
            trusted_weight += server.weight * server.trust;
        }
        let answers_per_trusted_weight = answers / trusted_weight.max(f64::MIN_POSITIVE);
        for server in self.servers.values_mut() {
            let speed = match server.mean_time(now, median_time, PRIOR_ANSWERS) {
                time if time > 0.0 && median_time > 0.0 => median_time / time,
                _ => 1.0,
            };
            let excess_failures = (server.failure_share(now, PRIOR_ANSWERS) - median_failure_share).max(0.0);
            // Proxies that choose the less loaded of two already avoid slow servers; without the exponent the
            // correction would be applied twice. A server that slows down gradually keeps more queries for
            // it.
            let exponent = if self.site.power_of_two_choices { TWO_CHOICES_EXPONENT } else { 1.0 };
            let target =
                speed.min(MAX_TRUST).powf(exponent) * (1.0 - excess_failures / EXCESS_FAILURE_LIMIT).max(0.0);
            // A server that still answers at a good rate is overloaded rather than broken, and removing all
            // its queries would overload the next one. A server whose answers are all late keeps too much for
            // a cycle or two.
            let credit = server.answers.read(now)
                / (server.weight * answers_per_trusted_weight).max(f64::MIN_POSITIVE);
            let target = target.max(THROUGHPUT_CREDIT * credit).max(MIN_TRUST);
            if target < server.trust {
                server.trust = target;
                server.lost_trust = true;
            } else if server.answered_at > last_cycle {
                let step = if server.lost_trust { TRUST_STEP } else { new_step };
                server.trust = (server.trust + step).min(target);
            }
        }
    }

    /// Requests health checks of new servers with little trust. A successful check counts like a cycle with
    /// answers.
    ///
    /// A new server gets few queries. Where each proxy brings few, it may get none for many cycles although
    /// it is warm, which matters when many servers return at once. A check shows only that the process runs:
    /// it doesn't count for a warm server that failed queries, never raises trust above what queries support,
    /// and costs some work.
    fn check_health(&self, now: f64, out: &mut dyn Writer) {
        let needs_check =
            |s: &Server| (self.is_cold(s, now) || !s.lost_trust) && s.trust < HEALTH_CHECK_MAX_TRUST;
        let candidates = self.servers.iter().filter(|(_, s)| s.is_ready() && needs_check(s));
        for (address, _) in candidates.filter(|_| self.site.probes) {
            out.check_health(*address);
        }
    }

    /// Updates the admission limit. It falls while answers are late or missing and rises again afterwards. A
    /// failed try counts as one that took the whole due time, as an overloaded fleet may refuse quickly.
    fn update_admission(&mut self, now: f64) {
        let usual_rate: f64 = self.proxies.values().filter(|p| p.joined).map(|p| p.rate).sum();
        // Proxies that move over from another pilot bring their share of the load with them, while the
        // answered rate so far covers only the earlier proxies. The limit is scaled so that the same share is
        // admitted until reports say more. If the new proxies bring an overload of their own, this admits too
        // much.
        let growth = if self.admission.usual_rate.min(usual_rate) > 0.0 {
            usual_rate / self.admission.usual_rate
        } else {
            1.0
        };
        self.admission.usual_rate = usual_rate;
        self.admission.limit *= growth;
        if growth > 1.0 + MIN_RELATIVE_CHANGE {
            self.admission.usual_grew_at = Some(now);
        }
        let usual_settled = self.admission.usual_grew_at.is_none_or(|at| now - at > SETTLING_TIME);
        let answers: f64 = self.servers.values().map(|s| s.answers.read(now)).sum();
        let failed: f64 = self.servers.values().map(|s| s.failed.read(now)).sum();
        let warm_size: f64 = self.sum_by_zone(|s| s.size * self.warm_share(s, now)).iter().sum();
        let due_time = self.classes.iter().map(|c| c.due_time).sum::<f64>() / self.classes.len() as f64;
        // The median server tells an overload from the failure of a few servers. Trust handles the latter, so
        // each server is weighted by its trust. Unweighted, the dead servers of a lost zone would move the
        // median to the slowest that live and look like an overload. An overload of the remaining servers is
        // detected later for it.
        let measured = self.servers.values().filter(|s| s.is_ready() && s.tries.read(now) >= 1.0);
        let pressures = measured.map(|s| {
            let (answers, failed) = (s.answers.read(now), s.failed.read(now));
            let pressure =
                (s.total_time.read(now) / due_time + failed) / (answers + failed).max(f64::MIN_POSITIVE);
            (pressure, s.trust.min(1.0))
        });
        self.admission.pressure = weighted_median(pressures.collect()).unwrap_or(0.0);
        let Some(since) = self.times.first_report_at else { return };
        let period = self.site.report_period;
        let span = effective_span(SERVER_DECAY, period, now - since + period);
        let (answered, offered) = (answers / span, self.demand(false, now).iter().sum::<f64>());
        if warm_size > 0.0 {
            self.admission.observed_capacity = self.admission.observed_capacity.max(answered / warm_size);
        }
        self.admission.completed_tries = (answers + failed) / span;
        if self.admission.pressure > HIGH_PRESSURE && usual_settled {
            let minimum = MIN_ADMISSION_SHARE * self.capacity_per_size(now) * warm_size;
            self.admission.limit =
                self.admission.limit.min(offered).min((answered * ADMISSION_DECREASE).max(minimum));
        } else if self.admission.pressure < LOW_PRESSURE {
            // Growth while nothing is refused or late is no overload.
            self.admission.limit *=
                if self.admission.admitted < 1.0 { ADMISSION_INCREASE } else { f64::INFINITY };
        }
        // Refused clients retry and are refused again, so the offered rate grows with refusals. The rate of
        // completed tries over the share admitted at that time estimates the number of original queries.
        self.admission.lagged_admitted += (self.admission.admitted - self.admission.lagged_admitted)
            * (self.cycle_length() / ADMISSION_LAG).min(1.0);
        let first_tries = (self.admission.completed_tries / self.admission.lagged_admitted).min(offered);
        let clients = (first_tries + (offered - first_tries) * self.admission.lagged_admitted).max(1.0);
        self.admission.limit = self.admission.limit.clamp(1.0, clients * ADMISSION_INCREASE);
        self.admission.admitted = (self.admission.limit / clients).min(1.0);
    }

    /// Updates the capacity factor of each zone. For a crowded zone it moves towards the ratio of the fleet's
    /// mean number of queries in flight to the zone's own, by a fraction each cycle, as the effect of a spill
    /// shows late.
    fn update_crowding(&mut self, now: f64) {
        let is_counted = |s: &Server| s.answers.read(now) > 0.0 && s.trust > DISTRUST_THRESHOLD;
        let in_flight = self.sum_by_zone(|s| if is_counted(s) { s.total_time.read(now) } else { 0.0 });
        let weight = self.sum_by_zone(|s| if is_counted(s) { s.weight } else { 0.0 });
        let mean = in_flight.iter().sum::<f64>() / weight.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        for zone in 0..in_flight.len() {
            let own = in_flight[zone] / weight[zone].max(f64::MIN_POSITIVE);
            let factor = if own > CROWDED_RATIO * mean && mean > 0.0 { mean / own } else { 1.0 };
            self.crowding[zone] += (factor - self.crowding[zone]) * CROWDING_STEP;
        }
    }

    /// The sum of a property of ready servers, by zone.
    fn sum_by_zone(&self, property: impl Fn(&Server) -> f64) -> Vec<f64> {
        let mut sums = vec![0.0; self.site.zones];
        for server in self.servers.values().filter(|s| s.is_ready()) {
            sums[server.zone] += property(server);
        }
        sums
    }

    /// The ready servers of a group; all ready servers where the group has no warm one.
    fn group_members(&self, group: usize, now: f64) -> Vec<(Address, &Server)> {
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready()).map(|(address, s)| (*address, s));
        let own: Vec<_> = ready.clone().filter(|(_, s)| s.groups.contains(&group)).collect();
        if own.iter().any(|(_, s)| !self.is_cold(s, now)) {
            return own;
        }
        ready.collect()
    }

    /// The share of its full capacity that a server is sure to have by now.
    fn warm_share(&self, server: &Server, now: f64) -> f64 {
        let cold = self.rules.cold_share;
        cold + (1.0 - cold) * server.warm_progress(now, self.rules.warm_within)
    }

    fn is_cold(&self, server: &Server, now: f64) -> bool {
        self.warm_share(server, now) < 1.0
    }

    /// The weights of each table, and the share of its queries that they can carry.
    fn target_tables(&self, demand: &[f64], now: f64) -> Vec<TargetTable> {
        let zones = self.site.zones;
        let without_reports = self.times.last_report_at.is_none_or(|at| now - at > STALE_AFTER);
        let plan =
            self.plan.as_ref().filter(|(at, plan)| now - at <= STALE_AFTER && plan.shares.len() == zones);
        let plan = plan.map(|(_, plan)| plan);
        let mut targets = vec![BTreeMap::new(); self.tables.len()];
        for (group, demand) in demand.chunks(zones).enumerate() {
            // Capacity is weight times trust, scaled down by crowding, and has a lower bound.
            let (mut trusted_weight, mut count, mut capacity) =
                (vec![0.0; zones], vec![0.0; zones], vec![0.0; zones]);
            let mut plan_capacity = vec![0.0; zones];
            let members = self.group_members(group, now);
            for (_, server) in &members {
                count[server.zone] += if without_reports { server.trust } else { server.weight };
                trusted_weight[server.zone] += server.weight * server.trust;
            }
            for zone in 0..zones {
                plan_capacity[zone] = trusted_weight[zone].max(MIN_ZONE_CAPACITY * count[zone]);
                capacity[zone] =
                    (trusted_weight[zone] * self.crowding[zone]).max(MIN_ZONE_CAPACITY * count[zone]);
            }
            let total_count = count.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let flows = match plan {
                _ if without_reports => vec![count.iter().map(|c| c / total_count).collect(); zones],
                // Crowding is not applied: a plan loads zones on purpose and accounts for their capacity.
                Some(plan) => flows_by_plan(plan, demand, &plan_capacity),
                None => flows_by_capacity(demand, &capacity),
            };
            for (address, server) in members {
                let share = server.weight * server.trust / trusted_weight[server.zone];
                for (zone, flow) in flows.iter().enumerate() {
                    if flow[server.zone] * share > MIN_TABLE_SHARE {
                        targets[group * zones + zone].insert(address, flow[server.zone] * share);
                    }
                }
            }
        }
        let admissible = self.limit_cold_servers(&mut targets, now);
        let table = |(weights, admissible)| TargetTable { weights, admissible };
        targets.into_iter().zip(admissible).map(table).collect()
    }

    /// Whether reports have arrived for long enough to rely on them.
    fn is_settled(&self, now: f64) -> bool {
        self.times.first_report_at.is_some_and(|since| now - since > SETTLING_TIME)
    }

    /// The inputs of the cold servers' limits at this moment.
    fn cold_budget(&self, now: f64) -> ColdBudget {
        let usual_size = median(self.servers.values().map(|s| s.size).collect()).unwrap_or(0.0);
        ColdBudget { capacity_per_size: self.capacity_per_size(now), usual_size }
    }

    /// The rate that a cold server may be sent at most, by all zones together. No server counts as larger
    /// than the median: some lists lower the weight of busy servers, and a cold one is idle.
    fn cold_limit(&self, server: &Server, budget: &ColdBudget, now: f64) -> f64 {
        let load_factor = self.warm_share(server, now) * self.rules.fall_multiple * COLD_BUDGET_SHARE;
        // A pilot that has just started may face an overload in which demand doubles between reports.
        let certainty = if self.is_settled(now) { 1.0 } else { UNSETTLED_SHARE };
        budget.capacity_per_size * server.size.min(budget.usual_size) * load_factor * certainty
    }

    /// Scales down the weights of cold servers to their budget, whatever trust and flows say. The excess goes
    /// to the group's warm servers in any zone; where there are none, less is admitted. Returns the share of
    /// each table's queries that is still placed.
    ///
    /// This protects cold servers when warm ones lose trust together or a zone's demand is not known yet.
    /// Where the observed capacity is far below the real one, servers take longer to return.
    fn limit_cold_servers(&self, targets: &mut [BTreeMap<Address, f64>], now: f64) -> Vec<f64> {
        let demand = self.demand(true, now);
        let total: f64 = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let scale = total.max(self.admission.completed_tries) / total;
        let budget = self.cold_budget(now);
        for (address, server) in self.servers.iter().filter(|(_, s)| s.is_ready() && self.is_cold(s, now)) {
            let sent = targets
                .iter()
                .zip(&demand)
                .map(|(weights, d)| weights.get(address).unwrap_or(&0.0) * d * scale);
            let limit = self.cold_limit(server, &budget, now);
            let factor = limit / sent.sum::<f64>().max(limit).max(f64::MIN_POSITIVE);
            for weights in targets.iter_mut().filter(|_| factor < 1.0) {
                if let Some(weight) = weights.get_mut(address) {
                    *weight *= factor;
                }
            }
        }
        let placed: Vec<f64> = targets.iter().map(|weights| weights.values().sum()).collect();
        let mut admissible = Vec::new();
        for (table, (weights, placed)) in targets.iter_mut().zip(placed).enumerate() {
            let own = self.group_members(table / self.site.zones, now);
            let own = own.iter().filter(|(_, s)| !self.is_cold(s, now));
            let warm: Vec<_> = own.map(|(address, s)| (*address, s.weight * s.trust)).collect();
            let total: f64 = warm.iter().map(|(_, weight)| weight).sum();
            admissible.push(if warm.is_empty() { placed } else { 1.0 });
            for (address, weight) in
                warm.into_iter().filter(|w| (1.0 - placed) * w.1 / total > MIN_TABLE_SHARE)
            {
                *weights.entry(address).or_insert(0.0) += (1.0 - placed) * weight / total;
            }
        }
        admissible
    }

    /// Level and retry mode of each class for the proxies of a table.
    fn target_levels(&self, table: usize, admissible: f64, now: f64) -> Vec<Level> {
        let received = |only_table: Option<usize>, class: usize| -> f64 {
            let selected =
                |p: &&Proxy| p.joined && only_table.is_none_or(|table| self.table_index(p) == table);
            self.proxies
                .values()
                .filter(selected)
                .filter_map(|p| p.received.get(class))
                .map(|c| c.read(now))
                .sum()
        };
        let demand: Vec<f64> = (0..self.classes.len()).map(|class| received(None, class)).collect();
        let benefit: Vec<f64> = self.classes.iter().map(|c| c.benefit).collect();
        // A retry helps when a few servers are bad and feeds an overload. The first reports cover only the
        // fastest answers and can't tell the two apart.
        let retry = if self.is_settled(now) && self.admission.pressure < HIGH_PRESSURE {
            RETRY_UNPROCESSED
        } else {
            NO_RETRY
        };
        // A small level is not rounded to zero: below one step it is rounded down to a half, a quarter and so on.
        let rounded = |level: f64| match level / LEVEL_STEP {
            steps if steps > 0.0 && steps < 1.0 => LEVEL_STEP * steps.log2().floor().exp2(),
            steps => steps.round() * LEVEL_STEP,
        };
        let proxies =
            self.proxies.values().filter(|p| p.joined && self.table_index(p) == table).count().max(1) as f64;
        let span = effective_span(DEMAND_DECAY, self.site.report_period, STALE_AFTER);
        let offered = |class: usize| match demand.iter().any(|class| *class > 0.0) {
            true => received(Some(table), class) / span,
            // Before usage is reported, a proxy's whole rate may fall into any class.
            false => self.demand(true, now)[table] / demand.len() as f64,
        };
        let levels = admission_levels(self.admission.admitted.min(admissible), &benefit, &demand)
            .into_iter()
            .enumerate();
        let levels = levels.map(|(class, level)| match self.site.level_kind {
            LevelKind::Share => rounded(level),
            LevelKind::Rate if level < 1.0 => (level * offered(class) / proxies).ceil(),
            LevelKind::Rate => NO_LIMIT,
            LevelKind::Ignored => 1.0,
        });
        levels.map(|admitted| Level { admitted, retry }).collect()
    }

    /// Whether a message may be written to the proxy now.
    fn may_write(&self, proxy: &Proxy, urgent: bool, now: f64) -> bool {
        let max_messages =
            self.channel.max_messages as f64 * if urgent { 1.0 } else { ORDINARY_MESSAGE_SHARE };
        max_messages == 0.0 || (proxy.sent_since(now - self.channel.window) as f64) < max_messages
    }

    /// Accounts for a message of `lines` lines to each of the given proxies.
    fn record_write(&mut self, lines: f64, proxies: &[u16], now: f64) {
        let message_lines = self.channel.header_lines + MARK_LINES + lines;
        self.queue.write(message_lines, proxies.len());
        for id in proxies {
            self.proxies.entry(*id).or_default().record_sent(now, self.channel.window);
        }
    }

    /// Assigns slices with the fewest changes allowed: a slice whose server drains, is gone or was never
    /// named gets the ready server with the fewest slices. Where a slice has an exclusive owner, the old one
    /// is removed first and its writes get time to finish.
    fn update_slices(&mut self, round: &Round, now: f64, out: &mut dyn Writer) {
        for assignment in &round.slice_assignments {
            self.slices.remove(&assignment.slice);
            if assignment.assigned {
                let servers = assignment.weights.iter().map(|weight| weight.0).collect();
                self.slices.insert(assignment.slice, (servers, f64::NEG_INFINITY));
            }
        }
        let assigned: Vec<Address> = self.slices.values().flat_map(|(servers, _)| servers).copied().collect();
        // A slice can't be assigned partially: a cold server gets only as many as it is sure to carry.
        let slice_demand = self.demand(true, now).iter().sum::<f64>() / self.site.slices as f64;
        let budget = self.cold_budget(now);
        let max_slices = |s: &Server| match self.is_cold(s, now) {
            true => (self.cold_limit(s, &budget, now) / slice_demand.max(f64::MIN_POSITIVE)) as usize,
            false => usize::MAX,
        };
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready());
        let loads = ready.map(|(a, s)| (*a, (assigned.iter().filter(|b| *b == a).count(), max_slices(s))));
        let mut load: BTreeMap<Address, (usize, usize)> =
            loads.filter(|(_, (count, max))| count <= max).collect();
        let joined = self.proxies.values().filter(|p| p.joined).count() as f64;
        let handover_time = if self.site.exclusive_owner {
            self.channel.max_delivery_delay + self.site.max_write_duration
        } else {
            0.0
        };
        for (slice, (servers, removed_at)) in &mut self.slices {
            let full = self.queue.ordinary_lines > URGENT_QUEUE_SHARE * self.channel.max_waiting_lines / 2.0;
            if full || !servers.is_empty() && servers.iter().all(|a| load.contains_key(a)) {
                continue;
            }
            for old in servers.extract_if(.., |a| !load.contains_key(a)) {
                out.set_weight(*slice, old, 0.0);
                *removed_at = now;
                self.queue.ordinary_lines += (self.channel.header_lines + 1.0) * joined;
            }
            let available = load.iter_mut().filter(|(_, (count, max))| count < max);
            let target = available
                .min_by_key(|(_, (count, max))| (*max < usize::MAX, *count))
                .filter(|_| servers.is_empty());
            if let Some((target, (count, _))) = target.filter(|_| now - *removed_at >= handover_time) {
                out.set_weight(*slice, *target, 1.0);
                servers.push(*target);
                *count += 1;
                self.queue.ordinary_lines += (self.channel.header_lines + 1.0) * joined;
            }
        }
    }

    /// The differences between a table and its target: urgent ones first, then the largest.
    fn table_changes(&self, table: usize, target: &BTreeMap<Address, f64>, now: f64) -> Vec<Change> {
        let sent_weights = &self.tables[table].weights;
        let mut weights = target.clone();
        weights
            .extend(sent_weights.keys().filter(|address| !target.contains_key(address)).map(|a| (*a, 0.0)));
        let mut changes = Vec::new();
        for (address, weight) in weights {
            let (sent, server) =
                (sent_weights.get(&address).copied().unwrap_or(0.0), &self.servers[&address]);
            let difference = (weight - sent).abs();
            let urgent = !server.is_ready() || weight < sent / 2.0 && self.is_cold(server, now);
            if difference > MIN_RELATIVE_CHANGE * sent {
                changes.push(Change { server: address, weight, difference, urgent });
            }
        }
        changes.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.difference.total_cmp(&a.difference)));
        // Removing all servers at once must not leave the proxies without any.
        let remaining = sent_weights.len() - changes.iter().filter(|c| c.urgent && c.weight == 0.0).count();
        if remaining == 0 {
            changes.iter_mut().filter(|c| !c.urgent).for_each(|c| c.urgent = true);
        }
        changes
    }

    /// Sends as many of a table's changes as fit to the proxies that use it.
    ///
    /// On a channel too small for the fleet, all changes of a table may never fit at once and none would be
    /// sent. So the largest go first and the rest in later cycles, and urgent ones have queue space of their
    /// own. Meanwhile tables differ from their targets.
    fn send_changes(
        &mut self,
        table: usize,
        changes: Vec<Change>,
        levels: Vec<Level>,
        now: f64,
        out: &mut dyn Writer,
    ) {
        let users = self.proxies.iter().filter(|(_, p)| p.bound && self.table_index(p) == table);
        let users: Vec<u16> = users.map(|(id, _)| *id).collect();
        let urgent_changes = changes.iter().filter(|c| c.urgent).count();
        let sent = &self.tables[table].levels;
        let changed_levels =
            (0..levels.len()).filter(|class| sent.get(*class) != Some(&Some(levels[*class])));
        let mut changed_levels: Vec<usize> = changed_levels.collect();
        // A decrease of a level can't wait behind weights.
        let admitted = if self.site.level_kind == LevelKind::Rate { NO_LIMIT } else { 1.0 };
        let unlimited = Level { admitted, retry: NO_RETRY };
        let before = |class: usize| sent.get(class).copied().flatten().unwrap_or(unlimited);
        let decreases = |class: &usize| levels[*class].is_lower_than(before(*class));
        let urgent_lines = urgent_changes + changed_levels.iter().filter(|class| decreases(class)).count();
        changed_levels.sort_by_key(|class| !decreases(class));
        let (max_lines, waiting) = (self.channel.max_waiting_lines, self.queue.waiting_lines());
        let space = |share: f64, used: f64| (share * max_lines - used) / users.len() as f64;
        let header = self.channel.header_lines + MARK_LINES;
        let urgent = space(URGENT_QUEUE_SHARE, waiting).min(header + urgent_lines as f64);
        let ordinary = space(ORDINARY_QUEUE_SHARE, self.queue.ordinary_lines.max(waiting));
        // Where one table has most proxies, half of the space may be less than a message header, and no
        // weight would ever be sent.
        let ordinary = ordinary.min((ordinary * TABLE_QUEUE_SHARE).max(header + 1.0));
        let space = ordinary.max(urgent) - header;
        let sendable = (space.max(0.0) as usize).min(changes.len() + changed_levels.len());
        if sendable == 0 || !users.iter().all(|id| self.may_write(&self.proxies[id], urgent_lines > 0, now)) {
            return;
        }
        self.record_write(sendable as f64, &users, now);
        let ordinary_lines = sendable.saturating_sub(urgent_lines) as f64;
        let ordinary_head = if urgent_lines == 0 { header } else { 0.0 };
        self.queue.charge_ordinary((ordinary_lines + ordinary_head) * users.len() as f64);
        let sent_changes = sendable.saturating_sub(changed_levels.len()).max(urgent_changes.min(sendable));
        let sent = &mut self.tables[table];
        for change in changes.into_iter().take(sent_changes) {
            out.set_weight(table as u16, change.server, change.weight);
            sent.weights.insert(change.server, change.weight);
        }
        sent.weights.retain(|_, weight| *weight > 0.0);
        sent.levels.resize(levels.len(), None);
        for class in changed_levels.into_iter().take(sendable.saturating_sub(sent_changes)) {
            sent.levels[class] = Some(levels[class]);
            out.set_level(table as u16, 1 << class, levels[class].admitted, levels[class].retry);
        }
    }

    /// Sends changes of tables, in a cycle or when they are urgent, those that move most queries first; then
    /// whole tables to proxies that have none yet.
    fn send_tables(&mut self, cycle: bool, now: f64, out: &mut dyn Writer) {
        let demand = self.demand(false, now);
        let targets = self.target_tables(&demand, now);
        let mut tables = Vec::new();
        for (table, TargetTable { weights, .. }) in targets.iter().enumerate() {
            let changes = self.table_changes(table, weights, now);
            let moved = changes.iter().map(|c| c.difference).sum::<f64>() * demand[table];
            tables.push(TableChanges { table, urgent: changes.iter().any(|c| c.urgent), moved, changes });
        }
        tables.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.moved.total_cmp(&a.moved)));
        for TableChanges { table, changes, .. } in tables.into_iter().filter(|t| cycle || t.urgent) {
            let levels = self.target_levels(table, targets[table].admissible, now);
            self.send_changes(table, changes, levels, now, out);
        }
        let unbound = self.proxies.iter().filter(|(_, p)| p.joined && !p.bound).map(|(id, _)| *id);
        for id in unbound.collect::<Vec<u16>>() {
            let proxy = &self.proxies[&id];
            let index = self.table_index(proxy);
            let table = &self.tables[index];
            let lines = (1 + table.weights.len() + table.levels.len()) as f64;
            let cost = self.channel.header_lines + MARK_LINES + lines;
            let queue_full =
                self.queue.waiting_lines() + cost > URGENT_QUEUE_SHARE * self.channel.max_waiting_lines;
            if table.weights.is_empty() || queue_full || !self.may_write(proxy, true, now) {
                continue;
            }
            out.bind(id, index as u16);
            self.proxies.entry(id).or_default().bound = true;
            self.record_write(lines, &[id], now);
        }
    }
}
