//! The pilot without its sockets: collects input into a round, runs the decisions on it, and applies their
//! actions to the tables. Times are seconds on the pilot's monotonic clock.

use crate::clock::Clock;
use crate::dns_answers::DnsAnswers;
use crate::guard_review::GuardReview;
use crate::planning::Planning;
use crate::timers::Timers;
use oatlever::balance::Balancer;
use oatlever::round::{Address, HealthCheckResult, List, ListKind, Round, Stream};
use oatlever_askers::{PrefixTrie, Presence};
use oatlever_discovery::{BootTime, Document, ServerList, Update};
use oatlever_dns::Backend;
use oatlever_leases::Answer;
use oatlever_reports::{Aggregator, AskerInfo, Counters, Exposition, Target};
use oatlever_settings::{checks, Settings};
use oatlever_tables::{AskerKind, DeliveryTracker, NoReview, Review, RoundInputs, Tables, View};
use oatlever_xds::LoadReport;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Instant;

/// Table changes kept for `/changes`.
const HISTORY: usize = 2000;

/// Counters since the start of the pilot.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub rounds: u64,
    /// Seconds spent in rounds, in total and in the longest one.
    pub decision_seconds: f64,
    pub longest_round: f64,
    /// Results of reading the list of servers, by kind.
    pub lists: BTreeMap<&'static str, u64>,
    pub scrapes: u64,
    pub failed_scrapes: u64,
    /// Scrapes that only set a baseline: the first of a target, or the first after its counters were reset.
    pub baseline_scrapes: u64,
    pub checks: u64,
}

/// State of the pilot: the decisions, the tables, and everything that feeds them.
pub struct Core {
    pub settings: Settings,
    clock: Clock,
    balancer: Balancer,
    pub tables: Tables,
    pub guard_review: Option<GuardReview>,
    pub planning: Option<Planning>,
    pub dns_answers: DnsAnswers,
    pub presence: Presence,
    pub book: ServerList,
    pub sums: Aggregator,
    counters: BTreeMap<Target, Counters>,
    owners: Vec<AskerInfo>,
    pub prefixes: Rc<PrefixTrie>,
    round: Round,
    timers: Timers,
    flush_at: f64,
    /// Servers whose health checks are to be started, and those whose checks are under way.
    pub to_check: Vec<Address>,
    checking: BTreeSet<Address>,
    /// Incremented when the set of scrape targets may have changed.
    pub targets_version: u64,
    pub list_received_at: Option<f64>,
    pub list_error: Option<String>,
    pub counts: Counts,
}

/// The askers' address prefixes from the settings.
fn prefixes(settings: &Settings) -> PrefixTrie {
    let mut prefixes = PrefixTrie::default();
    for (index, asker) in settings.askers.iter().enumerate() {
        for (host, bits) in asker.prefixes.iter().filter_map(|text| checks::parse_prefix(text).ok()) {
            prefixes.insert(host, bits, index as u16);
        }
    }
    prefixes
}

impl Core {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let now = checks::CLOCK_START;
        let owner = |(index, asker): (usize, &oatlever_settings::Asker)| AskerInfo {
            asker: index as u16,
            zone: settings.zone_index(&asker.zone).unwrap_or(0),
            has_counters: asker.metrics.is_some(),
        };
        let owners: Vec<AskerInfo> = settings.askers.iter().enumerate().map(owner).collect();
        let host = |text: &String| text.ends_with("/32");
        let kind = |asker: &oatlever_settings::Asker| match asker {
            a if a.node.is_some() => AskerKind::Stream,
            a if a.metrics.is_some() && a.prefixes.iter().all(host) => AskerKind::Host,
            _ => AskerKind::Group,
        };
        let kinds: Vec<AskerKind> = settings.askers.iter().map(kind).collect();
        // A group without counters of its own never counts as away: some member may still hold an answer.
        let always_up =
            owners.iter().zip(&kinds).map(|(o, kind)| !o.has_counters && *kind != AskerKind::Stream);
        let always_up: Vec<bool> = always_up.collect();
        let classes = settings.classes.len();
        let pull = DeliveryTracker::new(&kinds, classes, settings.max_cache_time(), now);
        let names = settings.classes.iter().map(|c| c.name.clone()).collect();
        let mut core = Core {
            clock: Clock::starting_at(now),
            balancer: Balancer::new(
                settings.site(),
                settings.query_classes(),
                settings.pull_channel(),
                settings.rule_parameters(),
                seed,
            ),
            tables: Tables::new(settings.askers.len(), classes, pull, HISTORY),
            guard_review: GuardReview::new(&settings),
            planning: Planning::new(&settings),
            dns_answers: DnsAnswers::new(&settings, seed, now),
            presence: Presence::new(&always_up, settings.status.away_after),
            book: ServerList::default(),
            sums: Aggregator::new(settings.reports.period, names),
            counters: BTreeMap::new(),
            owners,
            prefixes: Rc::new(prefixes(&settings)),
            round: Round::default(),
            timers: Timers::default(),
            flush_at: now + settings.reports.period,
            to_check: Vec::new(),
            checking: BTreeSet::new(),
            targets_version: 0,
            list_received_at: None,
            list_error: None,
            counts: Counts::default(),
            settings,
        };
        if let Some(control) = &core.settings.control {
            core.tables.set_max_versions(control.versions);
        }
        let up: Vec<u16> = core.presence.up().collect();
        for asker in up {
            core.push_stream(asker, true);
        }
        core
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn zone_of(&self, asker: u16) -> u16 {
        self.owners.get(usize::from(asker)).map_or(0, |owner| owner.zone)
    }

    /// Adds to the round that an asker came up or went away.
    fn push_stream(&mut self, asker: u16, up: bool) {
        let rate = self.settings.askers[usize::from(asker)].usual_rate;
        self.round.streams.push(Stream { proxy: asker, up, zone: self.zone_of(asker), rate });
    }

    /// Records that an asker is alive. True if the asker came up, so that a round has to bind it to a table.
    fn record_activity(&mut self, asker: u16, now: f64) -> bool {
        let came_up = self.presence.heartbeat(asker, now);
        if came_up {
            tracing::info!(asker = %self.settings.askers[usize::from(asker)].name, "asker is up");
            self.push_stream(asker, true);
        }
        came_up
    }

    /// Takes in that an asker's stream was opened or closed, and runs a round.
    pub fn set_stream(&mut self, asker: u16, up: bool) {
        if !self.presence.set_connected(asker, up) {
            return;
        }
        let name = &self.settings.askers[usize::from(asker)].name;
        tracing::info!(asker = %name, up, "stream changed");
        self.push_stream(asker, up);
        if !up {
            self.tables.disconnect(asker);
        }
        let now = self.now();
        self.step(now);
    }

    /// Takes in a load report from an asker's stream.
    pub fn record_loads(&mut self, asker: u16, loads: Vec<LoadReport>) {
        let owner = self.owners[usize::from(asker)];
        for load in loads {
            self.sums.add_reported_queries(owner, &load.cluster, load.queries, load.interval);
            for met in load.endpoints {
                if self.book.get(&met.server).is_some() {
                    let figures = (met.answered, met.failed, met.answer_seconds);
                    self.sums.add_reported_tries(owner, met.server, figures, load.interval);
                }
            }
        }
    }

    fn push_list(&mut self, kind: &'static str, list: List) {
        *self.counts.lists.entry(kind).or_default() += 1;
        self.targets_version += 1;
        self.round.lists.push(list);
    }

    /// Takes up the list of servers cached by the last run. Fails if it can't be parsed.
    pub fn restore(&mut self, text: &str, now: f64) -> Result<(), String> {
        let list = self.book.restore(text, self.settings.zones.len(), now, BootTime::now())?;
        self.push_list("cached", list);
        Ok(())
    }

    /// Takes in the result of reading the list of servers. True if the list is complete and has changed, so that
    /// it should be cached for the next start.
    pub fn take_list(&mut self, result: Result<(Document, Option<f64>), String>, now: f64) -> bool {
        match result {
            Err(what) => {
                if self.list_error.as_ref() != Some(&what) {
                    tracing::warn!(%what, "reading the list of servers failed");
                }
                self.list_error = Some(what);
                self.push_list("failed", List { kind: ListKind::Failed, entries: Vec::new() });
                false
            }
            Ok((document, clock)) => {
                let error = (!document.errors.is_empty()).then(|| document.errors.join("; "));
                if let Some(what) = error.as_ref().filter(|what| self.list_error.as_ref() != Some(*what)) {
                    tracing::warn!(%what, "invalid entries in the list of servers");
                }
                self.list_error = error;
                self.list_received_at = Some(now);
                let before = self.book.members().len();
                let Update { list, changed } = self.book.apply(&document, now, clock);
                if changed {
                    tracing::info!(servers = list.entries.len(), before, "list of servers changed");
                }
                let kind = match (list.kind, list.entries.is_empty()) {
                    (ListKind::Changes, _) => "in part",
                    (_, true) => "empty",
                    _ => "whole",
                };
                self.push_list(kind, list);
                changed && kind == "whole"
            }
        }
    }

    /// Takes in the result of a scrape that was started at `requested_at`.
    pub fn take_scrape(&mut self, target: Target, requested_at: Instant, text: Result<Exposition, String>) {
        let at = self.clock.at(requested_at);
        let text = match text {
            Ok(text) => text,
            Err(what) => {
                self.counts.failed_scrapes += 1;
                tracing::debug!(?target, %what, "scrape failed");
                return;
            }
        };
        self.counts.scrapes += 1;
        if let Target::Asker(asker) = target {
            self.record_activity(asker, at);
        }
        if let Target::Server(server) = target {
            let in_flight = text.samples.iter().find(|sample| sample.name == "server_in_flight");
            if let Some(sample) = in_flight {
                self.sums.in_flight.insert(server, sample.value);
            }
        }
        let Some(gain) = self.counters.entry(target).or_default().update(&text, at) else {
            self.counts.baseline_scrapes += 1;
            return;
        };
        match target {
            Target::Asker(asker) => {
                let book = &self.book;
                self.sums
                    .add_proxy_counters(self.owners[usize::from(asker)], &gain, |s| book.get(s).is_some());
            }
            Target::Server(server) => {
                let (owners, prefixes) = (&self.owners, &self.prefixes);
                let owner = |host| prefixes.longest_match(host).0.map(|asker| owners[usize::from(asker)]);
                self.sums.add_server_counters(server, &gain, owner);
            }
        }
    }

    /// Drops the counters of targets that are no longer scraped. Server addresses come and go while the pilot
    /// runs, so keeping them would leak memory.
    pub fn retain_targets(&mut self, targets: &BTreeMap<Target, oatlever_fetch::HttpUrl>) {
        self.counters.retain(|target, _| targets.contains_key(target));
        let book = &self.book;
        self.sums.in_flight.retain(|server, _| book.get(server).is_some());
    }

    /// Takes in the result of a health check.
    pub fn record_check(&mut self, server: Address, fine: bool) {
        self.checking.remove(&server);
        self.round.health.push(HealthCheckResult { server, healthy: fine });
    }

    /// Whether there is input that a round should process now.
    pub fn has_input(&self) -> bool {
        !(self.round.lists.is_empty() && self.round.streams.is_empty() && self.round.health.is_empty())
    }

    /// Runs a round if there is input or something is due. Returns whether it ran one.
    pub fn step(&mut self, now: f64) -> bool {
        for asker in self.presence.expire(now) {
            tracing::info!(asker = %self.settings.askers[usize::from(asker)].name, "asker is away");
            self.push_stream(asker, false);
            self.tables.disconnect(asker);
        }
        if now >= self.flush_at {
            let (tries, queries) = self.sums.flush();
            self.round.tries = tries;
            self.round.queries = queries;
            while self.flush_at <= now {
                self.flush_at += self.settings.reports.period;
            }
        }
        self.round.timers = self.timers.due(now);
        let first = self.counts.rounds == 0;
        let due = !self.round.timers.is_empty() || !self.round.tries.is_empty();
        if !first && !due && !self.has_input() {
            return false;
        }
        self.run_round(now);
        true
    }

    fn run_round(&mut self, now: f64) {
        let started = Instant::now();
        let mut round = std::mem::take(&mut self.round);
        round.now = now;
        round.acknowledgements = self.tables.acknowledgements(now);
        self.counts.rounds += 1;
        if self.tables.any_frozen() {
            let warm_within = self.settings.rules.warm_within;
            let cold = self.book.members().iter().filter(|(_, m)| now - m.started < warm_within);
            self.tables.set_cold(cold.map(|(server, _)| *server).collect());
        }
        if let Some(planning) = &mut self.planning {
            let zone = |asker| self.owners.get(usize::from(asker)).map_or(0, |owner: &AskerInfo| owner.zone);
            round.plan = planning.plan(&round, &self.book, zone, &self.settings);
        }
        self.dns_answers.observe(&round, &mut self.sums, &self.settings);
        let (version, news) = (self.tables.version(), RoundInputs::from_round(&round));
        self.tables.begin_round(now, self.counts.rounds, news);
        self.balancer.round(&round, &mut self.tables);
        let actions = match &mut self.guard_review {
            None => self.tables.end_round(),
            Some(guard_review) => {
                guard_review.observe(&round, &self.book, &self.tables, &self.settings);
                self.tables.end_round_reviewed(&mut guard_review.review(&self.settings))
            }
        };
        self.dns_answers.update_budgets(&self.tables, &self.book, &self.settings, now);
        for (after, number) in actions.timers {
            self.timers.set(now + after, number);
        }
        for server in actions.checks {
            if self.checking.insert(server) {
                self.to_check.push(server);
            }
        }
        for note in actions.log_messages {
            tracing::info!(round = self.counts.rounds, note);
        }
        if self.tables.version() != version {
            let news: Vec<String> = news.nonzero().map(|(kind, count)| format!("{count} {kind}")).collect();
            tracing::debug!(
                round = self.counts.rounds,
                version = self.tables.version(),
                news = news.join(", "),
                "tables changed"
            );
        }
        let took = started.elapsed().as_secs_f64();
        self.counts.decision_seconds += took;
        self.counts.longest_round = self.counts.longest_round.max(took);
    }

    /// Applies an operator's change to the tables, subject to the guard's review.
    pub fn change_tables<R>(&mut self, change: impl FnOnce(&mut Tables, &mut dyn Review) -> R) -> R {
        let now = self.now();
        match &mut self.guard_review {
            None => change(&mut self.tables, &mut NoReview),
            Some(guard_review) => {
                guard_review.state.now = now;
                change(&mut self.tables, &mut guard_review.review(&self.settings))
            }
        }
    }

    /// When [`Core::step`] is next due without further input.
    pub fn next_at(&self) -> f64 {
        let deadlines = [self.timers.next_at(), self.presence.next_check()];
        deadlines.into_iter().flatten().fold(self.flush_at, f64::min)
    }
}

impl Backend for Core {
    fn lookup(&mut self, asker: u16, class: u16, now: f64) -> Option<View<'_>> {
        // An asker's first query runs a round, which binds the asker to a table before the answer is made.
        if self.record_activity(asker, now) {
            self.step(now);
        }
        self.tables.record_answer(asker, class, now);
        self.tables.view(asker, class)
    }

    fn lookup_addresses(
        &mut self,
        asker: u16,
        class: u16,
        host: Ipv4Addr,
        most: usize,
        now: f64,
    ) -> Option<Answer> {
        self.lookup(asker, class, now)?;
        let Core { dns_answers, tables, book, settings, .. } = self;
        dns_answers.answer(tables, book, (asker, class, host), most, settings, now)
    }

    fn is_listed(&self, host: Ipv4Addr) -> bool {
        let host = host.octets();
        let ports = Address { host, port: 0 }..=Address { host, port: u16::MAX };
        self.book.members().range(ports.clone()).next().is_some() || self.tables.references_any(ports)
    }

    fn tables_version(&self) -> u64 {
        self.tables.version()
    }
}
