//! All decisions of one pilot.
//!
//! `Balancer::new` is given what the pilot is told at its start; `Balancer::round` is then called once a
//! round with all that came in and writes its orders straight into the `Writer` passed with the call. What
//! both are given is in `round.rs`, the whole interface; `state.rs` remembers, `sums.rs` and `chance.rs`
//! count and draw. The cycle, top to bottom: what came in, trust, demand, capacity, flows, levels, orders.

use crate::chance::Chance;
use crate::round::{
    Address, Beliefs, Channel, Levels, List, ListKind, Plan, QueryClass, Readiness, Round, Rules, Site,
    Tries, Writer, MARK_LINES, NO_LIMIT, NO_RETRY, RETRY_UNPROCESSED,
};
use crate::state::{
    Admission, Change, ColdBudget, Level, Proxy, Queue, Server, Table, TableChanges, Times, WantedTable,
};
use crate::sums::{least, median, seconds_held, weighted_median};
use std::collections::BTreeMap;

/// s; how often deferred orders are looked at again. Well under every grace.
const BEAT: f64 = 0.25;
/// s; reports of one period trickle in over this long; the cycle waits for the rest of them.
const GATHER: f64 = 0.1;
/// Cycles; the next one may come this early when reports are in, and comes this late without any.
const EARLY: f64 = 0.9;
const OVERDUE: f64 = 1.5;
/// s; reports must have come for so long before they are gone by: two or more periods of them.
const SETTLED: f64 = 4.0;
/// s; what servers did fades over this: ten answers or so each, and a return shows within two reports.
const SERVER_SPAN: f64 = 1.5;
/// s; demand fades over this: smooth against single reports, quick against a jump.
const DEMAND_SPAN: f64 = 4.0;
/// s; the usual rate of a proxy counts as so much measuring when its stream comes up.
const USUAL_SPAN: f64 = 4.0;
/// s; without reports for this long the pilot is blind and spreads by server count (design).
const STALE: f64 = 15.0;
/// Part; trust of a server that has just started (design).
const NEW_TRUST: f64 = 0.05;
/// Part; trust gained in a cycle that brought answers (design).
const TRUST_STEP: f64 = 0.2;
/// Part; a distrusted server keeps this much, so that its return shows; a few queries lost.
const TRICKLE: f64 = 0.05;
/// Part; a new server trusted less than this is checked once a cycle, where checks are allowed.
const CHECKED: f64 = 0.3;
/// Part; a server quicker than its peers is trusted with no more than this: its times may be luck.
const TOP_TRUST: f64 = 3.0;
/// Power of speed that trust follows where proxies correct for it as well: half of the way each.
const TWICE: f64 = 0.5;
/// Answers; the peers' mean counts as so many of a server's own, against the noise of few.
const PRIOR_ANSWERS: f64 = 4.0;
/// Part; a share of failures this far above the peers' takes all trust.
const FAILING: f64 = 0.25;
/// s; a server dropped from a list that may err is kept while its last answer is younger.
const SILENT_SPAN: f64 = 5.0;
/// s; a server gone for so long is forgotten, and new if it comes back; releases take far less.
const REMEMBERED: f64 = 600.0;
/// Part of the trust that its answers speak for which a server keeps whatever its times and failures.
const CREDIT: f64 = 0.7;
/// Times; a zone holding more than this multiple of the fleet's mean is crowded (design).
const CROWDED: f64 = 1.5;
/// Part; how far the count of a crowded zone moves in one cycle: what it spills shows two cycles later.
const CROWD_STEP: f64 = 0.35;
/// Part; a server trusted less than this says nothing about the crowding of its zone.
const DISTRUSTED: f64 = 0.5;
/// Part; no zone's capacity counts less than this part of its servers (design).
const FLOOR: f64 = 0.05;
/// s; the channel should not need longer than this for a whole table to each of its proxies.
const TABLE_TIME: f64 = 0.25;
/// Servers of a zone; a group has about as many at least, or trouble of one weighs too much in it.
const LEAST_GROUP: f64 = 8.0;
/// Proxies of a pilot; no more tables than one for so many, counted over all zones (design).
const TABLE_USERS: f64 = 5.0;
/// Times its size; a server moves to another group where that much is missing.
const UNEVEN: f64 = 1.5;
/// Part of a table's queries; a line for less is not worth a connection.
const LEAST_ENTRY: f64 = 1e-4;
/// Part; smallest move of a weight that is sent (design).
const MOVED: f64 = 0.1;
/// Part of the multiple at which a cold server falls over that it is given: a third, as reports are late.
const COLD_BUDGET: f64 = 0.3;
/// Part of the longest list; servers of a shorter one are not taken for stronger than those of this.
const SHORT_LIST: f64 = 0.4;
/// Part of the cold budget that holds before that, as demand may double from one report to the next.
const UNSURE: f64 = 0.4;
/// Part of the channel's stated pace that ordinary weights may use for long: each line has its price.
const ORDINARY_PACE: f64 = 0.2;
/// Part of the channel that ordinary weights may fill; the rest is kept for what can't wait.
const ORDINARY_FILL: f64 = 0.3;
/// Part of what is left of that which one table may use, so that others have their turn.
const TABLE_PART: f64 = 0.5;
/// Part of the channel that anything may fill.
const URGENT_FILL: f64 = 0.9;
/// s; a channel that has not brought an acknowledgement for so long holds nothing for anybody who is left.
const ACKNOWLEDGE_SPAN: f64 = 5.0;
/// Part of a message cap that ordinary weights may use.
const ORDINARY_MESSAGES: f64 = 0.6;
/// Part; the pressure (the usual server's time, failures counted, over the due time) where the admission limit falls.
const LATE: f64 = 0.4;
/// Part; the pressure below which it rises.
const EASY: f64 = 0.35;
/// s; how far what is measured trails the admission limit: the span of the sums and the way of the reports.
const ADMISSION_SPAN: f64 = 6.0;
/// Part of what the fleet answers that is let in while the pressure is high, so that queues drain.
const ADMISSION_FALL: f64 = 0.95;
/// Times; the rise of what is let in, in one cycle with little pressure.
const ADMISSION_RISE: f64 = 1.1;
/// Part of the observed capacity that is let in even under pressure.
const ADMISSION_LEAST: f64 = 0.5;
/// Part; levels are sent in steps of this size.
const LEVEL_STEP: f64 = 0.05;
/// Requests a second of a proxy that has told no rate, until its usage is reported; only ratios matter then.
const UNKNOWN_RATE: f64 = 1.0;

pub struct Balancer {
    site: Site,
    classes: Vec<QueryClass>,
    channel: Channel,
    rules: Rules,
    chance: Chance,
    servers: BTreeMap<Address, Server>,
    proxies: BTreeMap<u16, Proxy>,
    tables: Vec<Table>,
    /// The servers of each slice assigned to this pilot, and when one was last shut out.
    slices: BTreeMap<u16, (Vec<Address>, f64)>,
    /// How much each zone's crowding lets its servers count.
    crowding: Vec<f64>,
    /// Groups that each server is in.
    seats: usize,
    queue: Queue,
    admission: Admission,
    /// When it came, and the plan.
    plan: Option<(f64, Plan)>,
    times: Times,
}

pub fn kept_and_spilled(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let shares = |x: &[f64]| -> Vec<f64> {
        let all = x.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        x.iter().map(|part| part / all).collect()
    };
    let (demand, capacity) = (shares(demand), shares(capacity));
    let spare: Vec<f64> = demand.iter().zip(&capacity).map(|(d, c)| (c - d).max(0.0)).collect();
    let all_spare: f64 = spare.iter().sum();
    let flow = |zone: usize| {
        let keep = match capacity[zone] {
            own if demand[zone] > 0.0 && all_spare > 0.0 => (own / demand[zone]).min(1.0),
            own => f64::from(u8::from(own > 0.0)),
        };
        let to = |other: usize| match () {
            () if other == zone => keep,
            () if all_spare > 0.0 => (1.0 - keep) * spare[other] / all_spare,
            () => (1.0 - keep) * capacity[other],
        };
        (0..capacity.len()).map(to).collect()
    };
    (0..demand.len()).map(flow).collect()
}

/// Flows of a plan, as far as each zone's trusted capacity carries them; what it can't carry goes to zones
/// with spare, as ever. Guards against a plan that is older than what happened to its servers since; could
/// harm where it takes servers for stronger than they are, until their trust shows it.
pub fn planned(plan: &Plan, demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let zones = capacity.len();
    let asked = |to: usize| -> f64 { demand.iter().zip(&plan.parts).map(|(d, parts)| d * parts[to]).sum() };
    let asked: Vec<f64> = (0..zones).map(asked).collect();
    let most: Vec<f64> = capacity.iter().map(|c| c * plan.carries).collect();
    let fits = |to: usize| if asked[to] > most[to] { most[to] / asked[to] } else { 1.0 };
    let spare: Vec<f64> = (0..zones).map(|to| (most[to] - asked[to]).max(0.0)).collect();
    let rest = if spare.iter().sum::<f64>() > 0.0 { spare } else { most.clone() };
    let all = rest.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let flow = |parts: &Vec<f64>| {
        let over: f64 = (0..zones).map(|to| parts[to] * (1.0 - fits(to))).sum();
        (0..zones).map(|to| parts[to] * fits(to) + over * rest[to] / all).collect()
    };
    plan.parts.iter().map(flow).collect()
}

/// Levels by class: this part of all queries is let in, the most beneficial classes first. Where no
/// usage by class is known, the part is let in of each: without it, everything would be let in.
pub fn levels(line: f64, benefit: &[f64], demand: &[f64]) -> Vec<f64> {
    if demand.iter().all(|class| *class <= 0.0) {
        return vec![line.clamp(0.0, 1.0); benefit.len()];
    }
    let mut order: Vec<usize> = (0..benefit.len()).collect();
    order.sort_by(|&a, &b| benefit[b].total_cmp(&benefit[a]));
    let mut left = line * demand.iter().sum::<f64>();
    let mut out = vec![1.0; benefit.len()];
    for class in order {
        if line < 1.0 && demand[class] > 0.0 {
            out[class] = (left / demand[class]).clamp(0.0, 1.0);
            left -= demand[class] * out[class];
        }
    }
    out
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
            chance: Chance::new(seed),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            tables,
            slices: BTreeMap::new(),
            crowding,
            seats: 1,
            queue: Queue::default(),
            admission: Admission::default(),
            plan: None,
            times: Times::default(),
        }
    }

    pub fn round(&mut self, round: &Round, out: &mut dyn Writer) {
        let now = round.now;
        self.times.heard_at.get_or_insert(now);
        for list in &round.lists {
            self.read_list(list, now);
        }
        for stream in &round.streams {
            let zone = usize::from(stream.zone).min(self.site.zones - 1);
            let proxy = self.proxies.entry(stream.proxy).or_default();
            let (group, rate) = (proxy.group, stream.rate);
            *proxy = Proxy { zone, group, rate, joined: stream.up, ..Proxy::default() };
        }
        self.plan = round.plan.clone().map(|plan| (now, plan)).or(self.plan.take());
        let urgent = !round.lists.is_empty() || !round.streams.is_empty();
        if urgent {
            self.deal();
        }
        for query in &round.queries {
            if let Some(proxy) = self.proxies.get_mut(&query.proxy) {
                proxy.count(query, self.classes.len(), DEMAND_SPAN, now);
            }
        }
        self.read_tries(&round.tries, now);
        for answer in round.health.iter().filter(|answer| answer.healthy) {
            if let Some(server) = self.servers.get_mut(&answer.server) {
                server.answered_at = now;
            }
        }
        if self.site.list_on_request {
            self.follow_list(&round.lists, now, out);
        }
        // A cycle follows the reports it is to act on; without any it comes late rather than never.
        if !round.tries.is_empty() {
            let next = (now + GATHER).max(self.times.last_cycle + self.cycle() * EARLY);
            if next < self.times.next_cycle {
                self.times.next_cycle = next;
                out.set_timer((next - now).max(GATHER), 1);
            }
        }
        let cycle = now >= self.times.next_cycle;
        if cycle || !round.lists.is_empty() {
            self.check_health(now, out);
        }
        if cycle {
            // Guards against taking silence for rest: where no reports come, as while collectors are cut off,
            // sums fade and say nothing of queries, answers or speed. What was known holds meanwhile.
            if self.times.heard_at.is_none_or(|at| at > self.times.last_cycle) {
                self.move_trust(now);
                self.move_crowding(now);
                self.move_admission(now);
            }
            self.times.last_cycle = now;
            self.times.next_cycle = now + self.cycle() * OVERDUE;
        }
        // Guards against counting on a pace that the channel does not keep: it may be many times slower
        // unannounced, so a message counts as waiting until an acknowledgement shows that it, or a later one,
        // has left. Should guard against any stall on the way; late acknowledgements mean that less is
        // written.
        let pace = self.channel.lines_per_second * ORDINARY_PACE;
        self.queue.settle(&round.acknowledgements, now, ACKNOWLEDGE_SPAN, pace);
        if self.site.slices > 0 {
            self.keep_slices(round, now, out);
        } else if cycle || urgent || now >= self.times.next_beat {
            self.send_tables(cycle, now, out);
            if let Some(number) = self.queue.mark(now) {
                out.mark(number, false);
            }
        }
        if now >= self.times.next_beat {
            self.times.next_beat = now + BEAT;
            out.set_timer(BEAT, 0);
        }
    }

    /// What the orders of this moment go by.
    pub fn beliefs(&self, now: f64) -> Beliefs {
        let count = |what: &dyn Fn(&Server) -> bool| {
            self.servers.values().filter(|s| s.is_ready() && what(s)).count()
        };
        Beliefs {
            demand: self.demand(false, now).iter().sum(),
            let_in: self.admission.admitted,
            pressure: self.admission.pressure,
            ready: count(&|_| true),
            cold: count(&|s| self.is_cold(s, now)),
            distrusted: count(&|s| s.trust < DISTRUSTED),
        }
    }

    /// One cycle a report period, longer where messages to a proxy are few.
    fn cycle(&self) -> f64 {
        let most = self.channel.most_messages as f64;
        let paced = if most > 0.0 { self.channel.window / (most * ORDINARY_MESSAGES) } else { 0.0 };
        self.site.report_period.max(paced).max(BEAT)
    }

    /// Takes in a list. A server that comes back without having restarted is what it was before.
    fn read_list(&mut self, list: &List, now: f64) {
        let fresh = self.servers.is_empty();
        // Guards against a book that grows with each server that was ever listed, where they are replaced by
        // new ones every day. Those that a table still names stay until it does not.
        let tables = &self.tables;
        self.servers.retain(|address, server| {
            let lately = server.gone_at.is_none_or(|at| now - at < REMEMBERED);
            lately || tables.iter().any(|table| table.lines.contains_key(address))
        });
        // Where lists are known to err, a server that answers is not given up for being dropped.
        let err = self.rules.gone_does_not_bind;
        let doubted = |s: &Server| err && now - s.answered_at < SILENT_SPAN;
        if matches!(list.kind, ListKind::Full | ListKind::Cached) {
            for (address, server) in &mut self.servers {
                if !doubted(server) && !list.entries.iter().any(|e| e.server == *address) {
                    server.readiness = Readiness::Gone;
                }
            }
        }
        for entry in list.entries.iter().filter(|e| usize::from(e.zone) < self.site.zones) {
            let known = self.servers.get(&entry.server);
            if entry.readiness == Readiness::Gone && known.is_some_and(|s| s.is_ready() && doubted(s)) {
                continue;
            }
            if known.is_none_or(|s| s.started != entry.started) {
                let mut server = Server::new(entry, SERVER_SPAN, 1.0);
                server.groups = known.map_or(Vec::new(), |s| s.groups.clone());
                if !fresh || server.warmed(now, self.rules.warm_within) < 1.0 {
                    server.trust = NEW_TRUST;
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
        let listed: f64 = self.by_zone(|s| s.size).iter().sum();
        self.admission.most_listed = self.admission.most_listed.max(listed);
    }

    /// Deals servers and proxies to groups; each group has a table for each zone, of its own servers.
    ///
    /// Guards against tables too long for the channel: a full one for each proxy of a large fleet takes
    /// seconds, and so does each change. Should help as well where servers accept few connections; could
    /// harm where a group's few are unlike the others', so there are as few as the channel allows.
    fn deal(&mut self) {
        let zones = self.site.zones;
        if self.tables.iter().all(|t| t.lines.is_empty()) && !self.proxies.values().any(|p| p.bound) {
            let each = (self.site.proxies / self.site.pilots as f64).max(1.0);
            let lines = self.channel.lines_per_second * TABLE_TIME / each - self.channel.header_lines;
            let most = self.by_zone(|_| 1.0).into_iter().fold(0.0, f64::max);
            let shared = (each / (TABLE_USERS * zones as f64)).floor();
            let groups = (most / lines.max(LEAST_GROUP)).ceil().min(shared).max(1.0);
            // Several pilots deal by chance and even out through servers that they share; one has nobody.
            let alone = self.site.pilots == 1 && groups > 1.0 && groups * 2.0 <= shared;
            self.seats = if alone { 2 } else { 1 };
            self.tables = vec![Table::default(); zones * groups as usize * self.seats];
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
        // What left or came back makes groups uneven: fuller ones give to the emptiest.
        for server in self.servers.values_mut().filter(|s| s.is_ready()) {
            let sizes = &mut sizes[server.zone];
            server.groups.resize(self.seats, usize::MAX);
            for seat in 0..self.seats {
                let mut open = sizes.clone();
                let held = server.groups.iter().filter(|group| **group < groups);
                held.for_each(|group| open[*group] = f64::INFINITY);
                let (from, to) = (server.groups[seat], least(&open, || self.chance.part()));
                if from >= groups || sizes[from] - sizes[to] > server.size * UNEVEN {
                    sizes[to] += server.size;
                    if let Some(left) = sizes.get_mut(from) {
                        *left -= server.size;
                    }
                    server.groups[seat] = to;
                }
            }
        }
        for proxy in self.proxies.values_mut().filter(|p| p.joined && p.group >= groups) {
            proxy.group = least(&rates[proxy.zone], || self.chance.part());
            rates[proxy.zone][proxy.group] += proxy.rate;
        }
    }

    /// The place of a proxy's table.
    fn place(&self, proxy: &Proxy) -> usize {
        proxy.group.min(self.tables.len() / self.site.zones - 1) * self.site.zones + proxy.zone
    }

    /// Where the list must be asked for: subscribe, ask again after a failure, and never let the stated
    /// time pass without an answer.
    fn follow_list(&mut self, lists: &[List], now: f64, out: &mut dyn Writer) {
        for list in lists {
            match list.kind {
                ListKind::Failed => {
                    self.times.asked_at = None;
                    self.times.ask_at = now + BEAT * (1.0 + self.chance.part());
                }
                ListKind::Cached => {}
                _ => self.times.ask_at = f64::INFINITY,
            }
        }
        let overdue = self.times.asked_at.is_some_and(|at| now - at > self.rules.ask_within / 2.0);
        if now >= self.times.ask_at && (self.times.asked_at.is_none() || overdue) {
            self.times.asked_at = Some(now);
            out.follow_list();
        }
    }

    fn read_tries(&mut self, all: &[Tries], now: f64) {
        if all.is_empty() {
            return;
        }
        self.times.first_heard.get_or_insert(now);
        self.times.heard_at = Some(now);
        for tries in all {
            if let Some(server) = self.servers.get_mut(&tries.server) {
                server.count(tries, now);
            }
        }
    }

    /// Queries a second by table; for what must not be exceeded, no proxy counts less than usual.
    fn demand(&self, at_least_usual: bool, now: f64) -> Vec<f64> {
        let mut demand = vec![0.0; self.tables.len()];
        for proxy in self.proxies.values().filter(|p| p.joined) {
            let measured = self.measured_rate(proxy, now);
            demand[self.place(proxy)] += if at_least_usual { measured.max(proxy.rate) } else { measured };
        }
        demand
    }

    /// Requests a second of a proxy by its reports; one that has just come counts as it usually does until
    /// they say more.
    fn measured_rate(&self, proxy: &Proxy, now: f64) -> f64 {
        let Some(since) = proxy.since else {
            return if proxy.rate > 0.0 { proxy.rate } else { UNKNOWN_RATE };
        };
        let age = (now - since).max(0.0);
        let came: f64 = proxy.came.iter().map(|c| c.read(now)).sum();
        let held = seconds_held(DEMAND_SPAN, self.site.report_period, age);
        let usual_span = if proxy.rate > 0.0 { USUAL_SPAN * (-age / DEMAND_SPAN).exp() } else { 0.0 };
        (came + proxy.rate * usual_span) / (held + usual_span)
    }

    /// Requests a second that the joined proxies usually bring, as they told; those that told nothing count
    /// as measured.
    fn usual_demand(&self, now: f64) -> f64 {
        let usual = |p: &Proxy| if p.rate > 0.0 { p.rate } else { self.measured_rate(p, now) };
        self.proxies.values().filter(|p| p.joined).map(usual).sum()
    }

    /// Requests a second that a unit of size carries: what was measured, or what the fleet must carry of the
    /// usual demand. Without the latter, cold servers have no budget until attempts are reported, and where all
    /// are cold there are none. It is not remembered: of a short list, each would count as strong as the fleet.
    fn carried_by_size(&self, now: f64) -> f64 {
        let listed: f64 = self.by_zone(|s| s.size).iter().sum();
        let listed = listed.max(self.admission.most_listed * SHORT_LIST).max(f64::MIN_POSITIVE);
        self.admission.observed_capacity.max(self.usual_demand(now) / listed)
    }

    /// Trust falls at once to what a server deserves and comes back step by step, in cycles that brought
    /// answers.
    fn move_trust(&mut self, now: f64) {
        let heard = |s: &Server| s.is_ready() && s.answers.read(now) >= 1.0;
        let times = self.servers.values().filter(|s| heard(s)).map(|s| s.mean_time(now, 0.0, 0.0)).collect();
        let usual = median(times).unwrap_or(0.0);
        let failed = self.servers.values().filter(|s| s.is_ready());
        let usual_failed = median(failed.map(|s| s.part_failed(now, PRIOR_ANSWERS)).collect()).unwrap_or(0.0);
        let last = self.times.last_cycle;
        // Guards against trust that lags behind warming: where a server is warm within a few cycles, the
        // rest of the fleet carries its part meanwhile. Its budget holds it while it is cold.
        let new_step = TRUST_STEP.max(self.cycle() / self.rules.warm_within.max(f64::MIN_POSITIVE));
        let (mut answers, mut trusted) = (0.0, 0.0);
        for server in self.servers.values().filter(|s| s.is_ready()) {
            answers += server.answers.read(now);
            trusted += server.weight * server.trust;
        }
        let per_trust = answers / trusted.max(f64::MIN_POSITIVE);
        for server in self.servers.values_mut() {
            let speed = match server.mean_time(now, usual, PRIOR_ANSWERS) {
                time if time > 0.0 && usual > 0.0 => usual / time,
                _ => 1.0,
            };
            let failing = (server.part_failed(now, PRIOR_ANSWERS) - usual_failed).max(0.0);
            // Guards against correcting twice: proxies that pick the less loaded of two leave slow servers
            // by themselves. Should help in any jam there; a server that fails slowly keeps more.
            let power = if self.site.picks_of_two { TWICE } else { 1.0 };
            let due = speed.min(TOP_TRUST).powf(power) * (1.0 - failing / FAILING).max(0.0);
            // Guards against a jam taken for a fault: what still answers at a good rate is full, not
            // broken, and taking all its part away pours it onto the next. Should help in any overload of a
            // zone or server; a server whose answers all come late keeps too much for a cycle or two.
            let credit = server.answers.read(now) / (server.weight * per_trust).max(f64::MIN_POSITIVE);
            let due = due.max(CREDIT * credit).max(TRICKLE);
            if due < server.trust {
                server.trust = due;
                server.judged = true;
            } else if server.answered_at > last {
                let step = if server.judged { TRUST_STEP } else { new_step };
                server.trust = (server.trust + step).min(due);
            }
        }
    }

    /// Guards against a return that shows too late: a server that has just started gets few queries, so a
    /// check that it answers counts for a cycle with answers. Should help wherever much has to come back at
    /// once, and where many proxies bring few queries each: the little that a new server is given may bring
    /// it none for many cycles, warm as it is by then. A check says only that the process runs, so it is no
    /// word for a warm server that its queries have spoken against, lifts trust no higher than what they
    /// tell, and costs some work.
    fn check_health(&self, now: f64, out: &mut dyn Writer) {
        let new = |s: &Server| (self.is_cold(s, now) || !s.judged) && s.trust < CHECKED;
        let checked = self.servers.iter().filter(|(_, s)| s.is_ready() && new(s));
        for (address, _) in checked.filter(|_| self.site.probes) {
            out.check_health(*address);
        }
    }

    /// The admission limit falls while answers come late or not at all, and rises again after. A failed try
    /// counts as one that took the whole due time: a jammed fleet refuses quickly.
    fn move_admission(&mut self, now: f64) {
        let usual: f64 = self.proxies.values().filter(|p| p.joined).map(|p| p.rate).sum();
        // Guards against refusing the queries of proxies that come over from another pilot: they bring their
        // part of the load with them, and what was answered so far is of those before them. The same part
        // is let in until their reports tell more; harms where they bring an overload of their own.
        let grown = if self.admission.usual.min(usual) > 0.0 { usual / self.admission.usual } else { 1.0 };
        self.admission.usual = usual;
        self.admission.limit *= grown;
        if grown > 1.0 + MOVED {
            self.admission.grown_at = Some(now);
        }
        let sure = self.admission.grown_at.is_none_or(|at| now - at > SETTLED);
        let answers: f64 = self.servers.values().map(|s| s.answers.read(now)).sum();
        let failed: f64 = self.servers.values().map(|s| s.failed.read(now)).sum();
        let weight: f64 = self.by_zone(|s| s.size * self.warm_part(s, now)).iter().sum();
        let due = self.classes.iter().map(|c| c.due_time).sum::<f64>() / self.classes.len() as f64;
        // The usual server tells an overload from the trouble of some: trust answers the latter, so each
        // counts by its trust. Guards against a lost zone taken for an overload, as dead servers among the
        // rest move the middle to the slowest that live; where it does overload the rest, it shows later.
        let heard = self.servers.values().filter(|s| s.is_ready() && s.tries.read(now) >= 1.0);
        let each = heard.map(|s| {
            let (answers, failed) = (s.answers.read(now), s.failed.read(now));
            let part = (s.time.read(now) / due + failed) / (answers + failed).max(f64::MIN_POSITIVE);
            (part, s.trust.min(1.0))
        });
        self.admission.pressure = weighted_median(each.collect()).unwrap_or(0.0);
        let Some(since) = self.times.first_heard else { return };
        let period = self.site.report_period;
        let span = seconds_held(SERVER_SPAN, period, now - since + period);
        let (answered, offered) = (answers / span, self.demand(false, now).iter().sum::<f64>());
        if weight > 0.0 {
            self.admission.observed_capacity = self.admission.observed_capacity.max(answered / weight);
        }
        self.admission.met = (answers + failed) / span;
        if self.admission.pressure > LATE && sure {
            let least = ADMISSION_LEAST * self.carried_by_size(now) * weight;
            self.admission.limit =
                self.admission.limit.min(offered).min((answered * ADMISSION_FALL).max(least));
        } else if self.admission.pressure < EASY {
            // What grows while nothing is refused and nothing is late is no overload.
            self.admission.limit *=
                if self.admission.admitted < 1.0 { ADMISSION_RISE } else { f64::INFINITY };
        }
        // Refused clients come again and are refused again: what is offered grows with refusing, and what
        // was let in, over the admitted part of that time, tells how many there are to begin with.
        self.admission.held +=
            (self.admission.admitted - self.admission.held) * (self.cycle() / ADMISSION_SPAN).min(1.0);
        let first = (self.admission.met / self.admission.held).min(offered);
        let clients = (first + (offered - first) * self.admission.held).max(1.0);
        self.admission.limit = self.admission.limit.clamp(1.0, clients * ADMISSION_RISE);
        self.admission.admitted = (self.admission.limit / clients).min(1.0);
    }

    /// How much of its capacity a crowded zone counts: it moves towards the fleet's mean of queries in
    /// flight over its own, a part of the way each cycle, as what it spills shows only later.
    fn move_crowding(&mut self, now: f64) {
        let counts = |s: &Server| s.answers.read(now) > 0.0 && s.trust > DISTRUSTED;
        let held = self.by_zone(|s| if counts(s) { s.time.read(now) } else { 0.0 });
        let weight = self.by_zone(|s| if counts(s) { s.weight } else { 0.0 });
        let mean = held.iter().sum::<f64>() / weight.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        for zone in 0..held.len() {
            let own = held[zone] / weight[zone].max(f64::MIN_POSITIVE);
            let counted = if own > CROWDED * mean && mean > 0.0 { mean / own } else { 1.0 };
            self.crowding[zone] += (counted - self.crowding[zone]) * CROWD_STEP;
        }
    }

    /// Something about ready servers, summed by zone.
    fn by_zone(&self, part: impl Fn(&Server) -> f64) -> Vec<f64> {
        let mut sums = vec![0.0; self.site.zones];
        for server in self.servers.values().filter(|s| s.is_ready()) {
            sums[server.zone] += part(server);
        }
        sums
    }

    /// The ready servers of a group; all of them where it has none that is warm.
    fn members(&self, group: usize, now: f64) -> Vec<(Address, &Server)> {
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready()).map(|(address, s)| (*address, s));
        let own: Vec<_> = ready.clone().filter(|(_, s)| s.groups.contains(&group)).collect();
        if own.iter().any(|(_, s)| !self.is_cold(s, now)) {
            return own;
        }
        ready.collect()
    }

    /// The part of its capacity that a server surely has by now.
    fn warm_part(&self, server: &Server, now: f64) -> f64 {
        let cold = self.rules.cold_share;
        cold + (1.0 - cold) * server.warmed(now, self.rules.warm_within)
    }

    fn is_cold(&self, server: &Server, now: f64) -> bool {
        self.warm_part(server, now) < 1.0
    }

    /// The lines of each table, and the part of its queries that may be let in on them.
    fn wanted_tables(&self, demand: &[f64], now: f64) -> Vec<WantedTable> {
        let zones = self.site.zones;
        let blind = self.times.heard_at.is_none_or(|at| now - at > STALE);
        let plan = self.plan.as_ref().filter(|(at, plan)| now - at <= STALE && plan.parts.len() == zones);
        let plan = plan.map(|(_, plan)| plan);
        let mut wanted = vec![BTreeMap::new(); self.tables.len()];
        for (group, demand) in demand.chunks(zones).enumerate() {
            // Capacity: servers times trust; a crowded zone counts less, none under the floor.
            let (mut parts, mut count, mut capacity) = (vec![0.0; zones], vec![0.0; zones], vec![0.0; zones]);
            let mut trusted = vec![0.0; zones];
            let members = self.members(group, now);
            for (_, server) in &members {
                count[server.zone] += if blind { server.trust } else { server.weight };
                parts[server.zone] += server.weight * server.trust;
            }
            for zone in 0..zones {
                trusted[zone] = parts[zone].max(FLOOR * count[zone]);
                capacity[zone] = (parts[zone] * self.crowding[zone]).max(FLOOR * count[zone]);
            }
            let all = count.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let flows = match plan {
                _ if blind => vec![count.iter().map(|c| c / all).collect(); zones],
                // What a plan crowds it crowds on purpose, and knows what servers carry.
                Some(plan) => planned(plan, demand, &trusted),
                None => kept_and_spilled(demand, &capacity),
            };
            for (address, server) in members {
                let part = server.weight * server.trust / parts[server.zone];
                for (zone, flow) in flows.iter().enumerate() {
                    if flow[server.zone] * part > LEAST_ENTRY {
                        wanted[group * zones + zone].insert(address, flow[server.zone] * part);
                    }
                }
            }
        }
        let placed = self.spare_the_cold(&mut wanted, now);
        let table = |(weights, placed)| WantedTable { weights, placed };
        wanted.into_iter().zip(placed).map(table).collect()
    }

    /// Whether reports have come for long enough to go by them.
    fn is_settled(&self, now: f64) -> bool {
        self.times.first_heard.is_some_and(|since| now - since > SETTLED)
    }

    /// What the limits of cold servers go by now.
    fn cold_budget(&self, now: f64) -> ColdBudget {
        let usual_size = median(self.servers.values().map(|s| s.size).collect()).unwrap_or(0.0);
        ColdBudget { carried_by_size: self.carried_by_size(now), usual_size }
    }

    /// Requests a second that a cold server may be sent at most, by all zones together. None counts as
    /// larger than most: some lists lower the weight of busy servers, and a cold one is idle.
    fn cold_limit(&self, server: &Server, budget: &ColdBudget, now: f64) -> f64 {
        let part = self.warm_part(server, now) * self.rules.fall_multiple * COLD_BUDGET;
        // A pilot that has just started may be amid a jam, where demand doubles between reports.
        let sure = if self.is_settled(now) { 1.0 } else { UNSURE };
        budget.carried_by_size * server.size.min(budget.usual_size) * part * sure
    }

    /// Guards cold servers against being pushed over: whatever trust and flows say, none gets more than its
    /// budget, and what is taken from it goes to the group's warm servers of any zone. Where there are
    /// none, less is let in. Should help whenever warm servers lose trust together or a zone's demand is
    /// not known yet; could harm where the observed capacity is far under what servers can do, then a return
    /// takes longer. Returns the part that tables still place.
    fn spare_the_cold(&self, wanted: &mut [BTreeMap<Address, f64>], now: f64) -> Vec<f64> {
        let demand = self.demand(true, now);
        let all: f64 = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let scale = all.max(self.admission.met) / all;
        let budget = self.cold_budget(now);
        for (address, server) in self.servers.iter().filter(|(_, s)| s.is_ready() && self.is_cold(s, now)) {
            let sent =
                wanted.iter().zip(&demand).map(|(lines, d)| lines.get(address).unwrap_or(&0.0) * d * scale);
            let limit = self.cold_limit(server, &budget, now);
            let kept = limit / sent.sum::<f64>().max(limit).max(f64::MIN_POSITIVE);
            for lines in wanted.iter_mut().filter(|_| kept < 1.0) {
                if let Some(weight) = lines.get_mut(address) {
                    *weight *= kept;
                }
            }
        }
        let placed: Vec<f64> = wanted.iter().map(|lines| lines.values().sum()).collect();
        let mut certain = Vec::new();
        for (place, (lines, placed)) in wanted.iter_mut().zip(placed).enumerate() {
            let own = self.members(place / self.site.zones, now);
            let own = own.iter().filter(|(_, s)| !self.is_cold(s, now));
            let warm: Vec<_> = own.map(|(address, s)| (*address, s.weight * s.trust)).collect();
            let all: f64 = warm.iter().map(|(_, part)| part).sum();
            certain.push(if warm.is_empty() { placed } else { 1.0 });
            for (address, part) in warm.into_iter().filter(|w| (1.0 - placed) * w.1 / all > LEAST_ENTRY) {
                *lines.entry(address).or_insert(0.0) += (1.0 - placed) * part / all;
            }
        }
        certain
    }

    /// Level and retry mode of each class, for the proxies of a table.
    fn wanted_levels(&self, place: usize, placed: f64, now: f64) -> Vec<Level> {
        let came = |place: Option<usize>, class: usize| -> f64 {
            let here = |p: &&Proxy| p.joined && place.is_none_or(|at| self.place(p) == at);
            self.proxies.values().filter(here).filter_map(|p| p.came.get(class)).map(|c| c.read(now)).sum()
        };
        let demand: Vec<f64> = (0..self.classes.len()).map(|class| came(None, class)).collect();
        let benefit: Vec<f64> = self.classes.iter().map(|c| c.benefit).collect();
        // A second try helps against a few bad servers and feeds a jam; the first reports, of what was
        // answered soonest, do not tell the two apart.
        let retry =
            if self.is_settled(now) && self.admission.pressure < LATE { RETRY_UNPROCESSED } else { NO_RETRY };
        // Little that may be let in is not rounded to nothing: below one step, it goes by halves of it.
        let step = |level: f64| match level / LEVEL_STEP {
            steps if steps > 0.0 && steps < 1.0 => LEVEL_STEP * steps.log2().floor().exp2(),
            steps => steps.round() * LEVEL_STEP,
        };
        let here = self.proxies.values().filter(|p| p.joined && self.place(p) == place).count().max(1) as f64;
        let held = seconds_held(DEMAND_SPAN, self.site.report_period, STALE);
        let offered = |class: usize| match demand.iter().any(|class| *class > 0.0) {
            true => came(Some(place), class) / held,
            // Before usage is reported a proxy may bring its rate in any class.
            false => self.demand(true, now)[place] / demand.len() as f64,
        };
        let levels = levels(self.admission.admitted.min(placed), &benefit, &demand).into_iter().enumerate();
        let levels = levels.map(|(class, level)| match self.site.levels {
            Levels::Share => step(level),
            Levels::Rate if level < 1.0 => (level * offered(class) / here).ceil(),
            Levels::Rate => NO_LIMIT,
            Levels::Ignored => 1.0,
        });
        levels.map(|admitted| Level { admitted, retry }).collect()
    }

    /// Whether a message may be written to the proxy now.
    fn room(&self, proxy: &Proxy, urgent: bool, now: f64) -> bool {
        let most = self.channel.most_messages as f64 * if urgent { 1.0 } else { ORDINARY_MESSAGES };
        most == 0.0 || (proxy.sent_since(now - self.channel.window) as f64) < most
    }

    /// A message of so many lines to each of some proxies.
    fn write(&mut self, lines: f64, proxies: &[u16], now: f64) {
        let each = self.channel.header_lines + MARK_LINES + lines;
        self.queue.write(each, proxies.len());
        for id in proxies {
            self.proxies.entry(*id).or_default().note_sent(now, self.channel.window);
        }
    }

    /// Slices get the least that is legal: one whose server drains, is gone or was never named gets the
    /// ready server with the fewest. A sole owner is shut out first, and its writes are let end.
    fn keep_slices(&mut self, round: &Round, now: f64, out: &mut dyn Writer) {
        for assignment in &round.slice_assignments {
            self.slices.remove(&assignment.slice);
            if assignment.assigned {
                let lines = assignment.weights.iter().map(|line| line.0).collect();
                self.slices.insert(assignment.slice, (lines, f64::NEG_INFINITY));
            }
        }
        let named: Vec<Address> = self.slices.values().flat_map(|(lines, _)| lines).copied().collect();
        // A slice can't be given by degrees: a cold server has as many as it surely carries.
        let each = self.demand(true, now).iter().sum::<f64>() / self.site.slices as f64;
        let budget = self.cold_budget(now);
        let most = |s: &Server| match self.is_cold(s, now) {
            true => (self.cold_limit(s, &budget, now) / each.max(f64::MIN_POSITIVE)) as usize,
            false => usize::MAX,
        };
        let ready = self.servers.iter().filter(|(_, s)| s.is_ready());
        let held = ready.map(|(a, s)| (*a, (named.iter().filter(|n| *n == a).count(), most(s))));
        let mut load: BTreeMap<Address, (usize, usize)> = held.filter(|(_, (n, most))| n <= most).collect();
        let joined = self.proxies.values().filter(|p| p.joined).count() as f64;
        let settle = if self.site.one_owner { self.channel.longest_way + self.site.write_life } else { 0.0 };
        for (slice, (lines, left_at)) in &mut self.slices {
            let full = self.queue.spent > URGENT_FILL * self.channel.most_waiting / 2.0;
            if full || !lines.is_empty() && lines.iter().all(|a| load.contains_key(a)) {
                continue;
            }
            for old in lines.extract_if(.., |a| !load.contains_key(a)) {
                out.weigh(*slice, old, 0.0);
                *left_at = now;
                self.queue.spent += (self.channel.header_lines + 1.0) * joined;
            }
            let open = load.iter_mut().filter(|(_, (n, most))| n < most);
            let next =
                open.min_by_key(|(_, (n, most))| (*most < usize::MAX, *n)).filter(|_| lines.is_empty());
            if let Some((next, (n, _))) = next.filter(|_| now - *left_at >= settle) {
                out.weigh(*slice, *next, 1.0);
                lines.push(*next);
                *n += 1;
                self.queue.spent += (self.channel.header_lines + 1.0) * joined;
            }
        }
    }

    /// What a table should say otherwise: first what can't wait, then the largest moves.
    fn changes(&self, place: usize, wanted: &BTreeMap<Address, f64>, now: f64) -> Vec<Change> {
        let lines = &self.tables[place].lines;
        let mut all = wanted.clone();
        all.extend(lines.keys().filter(|address| !wanted.contains_key(address)).map(|a| (*a, 0.0)));
        let mut changes = Vec::new();
        for (address, weight) in all {
            let (sent, server) = (lines.get(&address).copied().unwrap_or(0.0), &self.servers[&address]);
            let moved = (weight - sent).abs();
            let must = !server.is_ready() || weight < sent / 2.0 && self.is_cold(server, now);
            if moved > MOVED * sent {
                changes.push(Change { server: address, weight, moved, must });
            }
        }
        changes.sort_by(|a, b| b.must.cmp(&a.must).then(b.moved.total_cmp(&a.moved)));
        // Leaving all servers at once must not leave the proxies without any.
        let left = lines.len() - changes.iter().filter(|c| c.must && c.weight == 0.0).count();
        if left == 0 {
            changes.iter_mut().filter(|c| !c.must).for_each(|c| c.must = true);
        }
        changes
    }

    /// Sends what fits of a table's changes to the proxies that use it. Guards against a channel too small
    /// for the fleet: all changes of a table together may never fit, then none would ever go out. The
    /// largest go first and the rest in later cycles; what can't wait has room of its own. Should help too
    /// while a channel is slow; meanwhile tables differ from what is wanted.
    fn send_changes(
        &mut self,
        place: usize,
        changes: Vec<Change>,
        levels: Vec<Level>,
        now: f64,
        out: &mut dyn Writer,
    ) {
        let table = place as u16;
        let users = self.proxies.iter().filter(|(_, p)| p.bound && self.place(p) == place);
        let users: Vec<u16> = users.map(|(id, _)| *id).collect();
        let must = changes.iter().filter(|c| c.must).count();
        let held = &self.tables[place].levels;
        let turns = (0..levels.len()).filter(|class| held.get(*class) != Some(&Some(levels[*class])));
        let mut turns: Vec<usize> = turns.collect();
        // A level that falls can't wait behind weights.
        let admitted = if self.site.levels == Levels::Rate { NO_LIMIT } else { 1.0 };
        let open = Level { admitted, retry: NO_RETRY };
        let before = |class: usize| held.get(class).copied().flatten().unwrap_or(open);
        let falls = |class: &usize| levels[*class].falls_from(before(*class));
        let urgent_lines = must + turns.iter().filter(|class| falls(class)).count();
        turns.sort_by_key(|class| !falls(class));
        let (most, waiting) = (self.channel.most_waiting, self.queue.waiting());
        let room = |fill: f64, used: f64| (fill * most - used) / users.len() as f64;
        let head = self.channel.header_lines + MARK_LINES;
        let urgent = room(URGENT_FILL, waiting).min(head + urgent_lines as f64);
        let ordinary = room(ORDINARY_FILL, self.queue.spent.max(waiting));
        // Where one table has most proxies, half may be less than a head: no weight would ever go out.
        let ordinary = ordinary.min((ordinary * TABLE_PART).max(head + 1.0));
        let room = ordinary.max(urgent) - head;
        let fit = (room.max(0.0) as usize).min(changes.len() + turns.len());
        if fit == 0 || !users.iter().all(|id| self.room(&self.proxies[id], urgent_lines > 0, now)) {
            return;
        }
        self.write(fit as f64, &users, now);
        let ordinary_lines = fit.saturating_sub(urgent_lines) as f64;
        let ordinary_head = if urgent_lines == 0 { head } else { 0.0 };
        self.queue.spend((ordinary_lines + ordinary_head) * users.len() as f64);
        let kept = fit.saturating_sub(turns.len()).max(must.min(fit));
        let held = &mut self.tables[place];
        for change in changes.into_iter().take(kept) {
            out.weigh(table, change.server, change.weight);
            held.lines.insert(change.server, change.weight);
        }
        held.lines.retain(|_, weight| *weight > 0.0);
        held.levels.resize(levels.len(), None);
        for class in turns.into_iter().take(fit.saturating_sub(kept)) {
            held.levels[class] = Some(levels[class]);
            out.admit(table, 1 << class, levels[class].admitted, levels[class].retry);
        }
    }

    /// Changes of tables, in a cycle or where they can't wait, those that move most queries first; then the
    /// proxies that hold none yet.
    fn send_tables(&mut self, cycle: bool, now: f64, out: &mut dyn Writer) {
        let demand = self.demand(false, now);
        let wanted = self.wanted_tables(&demand, now);
        let mut tables = Vec::new();
        for (place, WantedTable { weights, .. }) in wanted.iter().enumerate() {
            let changes = self.changes(place, weights, now);
            let moved = changes.iter().map(|c| c.moved).sum::<f64>() * demand[place];
            tables.push(TableChanges { place, must: changes.iter().any(|c| c.must), moved, changes });
        }
        tables.sort_by(|a, b| b.must.cmp(&a.must).then(b.moved.total_cmp(&a.moved)));
        for TableChanges { place, changes, .. } in tables.into_iter().filter(|t| cycle || t.must) {
            let levels = self.wanted_levels(place, wanted[place].placed, now);
            self.send_changes(place, changes, levels, now, out);
        }
        let unbound = self.proxies.iter().filter(|(_, p)| p.joined && !p.bound).map(|(id, _)| *id);
        for id in unbound.collect::<Vec<u16>>() {
            let proxy = &self.proxies[&id];
            let place = self.place(proxy);
            let table = &self.tables[place];
            let lines = (1 + table.lines.len() + table.levels.len()) as f64;
            let cost = self.channel.header_lines + MARK_LINES + lines;
            let full = self.queue.waiting() + cost > URGENT_FILL * self.channel.most_waiting;
            if table.lines.is_empty() || full || !self.room(proxy, true, now) {
                continue;
            }
            out.bind(id, place as u16);
            self.proxies.entry(id).or_default().bound = true;
            self.write(lines, &[id], now);
        }
    }
}
