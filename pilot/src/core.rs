//! The pilot without its sockets: what came in is gathered into a round, the decisions are called, and
//! what they order goes to the tables. Times are seconds on the pilot's own clock, which nothing steps.

use crate::clock::Clock;
use crate::guarding::Guarding;
use crate::handing::Handing;
use crate::planning::Planning;
use crate::timers::Timers;
use oatlever::balance::Balancer;
use oatlever::round::{Address, HealthCheckResult, List, ListKind, Round, Stream};
use oatlever_askers::{Prefixes, Presence};
use oatlever_dns::Desk;
use oatlever_handout::Answer;
use oatlever_reports::{Counters, Owner, Sums, Target, Text};
use oatlever_roster::{BootTime, Document, ServerList, Update};
use oatlever_settings::{checks, Settings};
use oatlever_tables::{Kind, News, Pull, Review, Tables, Unreviewed, View};
use oatlever_xds::Load;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Instant;

/// Changes of tables kept for people to ask about.
const HISTORY: usize = 2000;

/// What the pilot met since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub rounds: u64,
    /// s spent deciding, in all and in the longest round.
    pub deciding: f64,
    pub longest_round: f64,
    pub lists: BTreeMap<&'static str, u64>,
    pub readings: u64,
    pub readings_missed: u64,
    /// Readings that measured nothing: the first of a target, or its counters had been reset.
    pub readings_anew: u64,
    pub checks: u64,
}

pub struct Core {
    pub settings: Settings,
    clock: Clock,
    balancer: Balancer,
    pub tables: Tables,
    pub guarding: Option<Guarding>,
    pub planning: Option<Planning>,
    pub handing: Handing,
    pub presence: Presence,
    pub book: ServerList,
    pub sums: Sums,
    counters: BTreeMap<Target, Counters>,
    owners: Vec<Owner>,
    pub prefixes: Rc<Prefixes>,
    round: Round,
    timers: Timers,
    flush_at: f64,
    /// Servers to check, and those being checked.
    pub to_check: Vec<Address>,
    checking: BTreeSet<Address>,
    /// Counts changes of who is to be read.
    pub targets_version: u64,
    pub list_heard: Option<f64>,
    pub list_trouble: Option<String>,
    pub counts: Counts,
}

fn prefixes(settings: &Settings) -> Prefixes {
    let mut prefixes = Prefixes::default();
    for (place, asker) in settings.askers.iter().enumerate() {
        for (host, bits) in asker.prefixes.iter().filter_map(|text| checks::prefix(text).ok()) {
            prefixes.insert(host, bits, place as u16);
        }
    }
    prefixes
}

impl Core {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let now = checks::CLOCK_START;
        let owner = |(place, asker): (usize, &oatlever_settings::Asker)| Owner {
            asker: place as u16,
            zone: settings.zone(&asker.zone).unwrap_or(0),
            counted: asker.metrics.is_some(),
        };
        let owners: Vec<Owner> = settings.askers.iter().enumerate().map(owner).collect();
        let host = |text: &String| text.ends_with("/32");
        let kind = |asker: &oatlever_settings::Asker| match asker {
            a if a.node.is_some() => Kind::Stream,
            a if a.metrics.is_some() && a.prefixes.iter().all(host) => Kind::Host,
            _ => Kind::Group,
        };
        let kinds: Vec<Kind> = settings.askers.iter().map(kind).collect();
        // Of groups without counters of their own, some may always hold an answer.
        let lasting = owners.iter().zip(&kinds).map(|(o, kind)| !o.counted && *kind != Kind::Stream);
        let groups: Vec<bool> = lasting.collect();
        let classes = settings.classes.len();
        let pull = Pull::new(&kinds, classes, settings.longest_hold(), now);
        let names = settings.classes.iter().map(|c| c.name.clone()).collect();
        let mut core = Core {
            clock: Clock::starting_at(now),
            balancer: Balancer::new(
                settings.site(),
                settings.query_classes(),
                settings.pull_channel(),
                settings.rule_figures(),
                seed,
            ),
            tables: Tables::new(settings.askers.len(), classes, pull, HISTORY),
            guarding: Guarding::new(&settings),
            planning: Planning::new(&settings),
            handing: Handing::new(&settings, seed, now),
            presence: Presence::new(&groups, settings.status.away_after),
            book: ServerList::default(),
            sums: Sums::new(settings.reports.period, names),
            counters: BTreeMap::new(),
            owners,
            prefixes: Rc::new(prefixes(&settings)),
            round: Round::default(),
            timers: Timers::default(),
            flush_at: now + settings.reports.period,
            to_check: Vec::new(),
            checking: BTreeSet::new(),
            targets_version: 0,
            list_heard: None,
            list_trouble: None,
            counts: Counts::default(),
            settings,
        };
        if let Some(control) = &core.settings.control {
            core.tables.keep_versions(control.versions);
        }
        let up: Vec<u16> = core.presence.up().collect();
        for asker in up {
            core.stream(asker, true);
        }
        core
    }

    /// Seconds on the pilot's clock.
    pub fn clock(&self, at: Instant) -> f64 {
        self.clock.at(at)
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn zone_of(&self, asker: u16) -> u16 {
        self.owners.get(usize::from(asker)).map_or(0, |owner| owner.zone)
    }

    fn stream(&mut self, asker: u16, up: bool) {
        let rate = self.settings.askers[usize::from(asker)].usual_rate;
        self.round.streams.push(Stream { proxy: asker, up, zone: self.zone_of(asker), rate });
    }

    /// A heartbeat. True where a round is due at once, as the asker holds no table yet.
    fn sign(&mut self, asker: u16, now: f64) -> bool {
        let came = self.presence.sign(asker, now);
        if came {
            tracing::info!(asker = %self.settings.askers[usize::from(asker)].name, "asker is there");
            self.stream(asker, true);
        }
        came
    }

    /// A stream came up, or broke.
    pub fn hold_stream(&mut self, asker: u16, up: bool) {
        if !self.presence.set(asker, up) {
            return;
        }
        let name = &self.settings.askers[usize::from(asker)].name;
        tracing::info!(asker = %name, up, "stream");
        self.stream(asker, up);
        if !up {
            self.tables.leave(asker);
        }
        let now = self.now();
        self.step(now);
    }

    /// A load report of an asker on a stream.
    pub fn load(&mut self, asker: u16, loads: Vec<Load>) {
        let owner = self.owners[usize::from(asker)];
        for load in loads {
            self.sums.stated(owner, &load.cluster, load.came, load.span);
            for met in load.servers {
                if self.book.get(&met.server).is_some() {
                    let figures = (met.answered, met.failed, met.seconds);
                    self.sums.stated_at(owner, met.server, figures, load.span);
                }
            }
        }
    }

    fn list(&mut self, kind: &'static str, list: List) {
        *self.counts.lists.entry(kind).or_default() += 1;
        self.targets_version += 1;
        self.round.lists.push(list);
    }

    /// The list kept from the last run. Errors: it is none; the pilot starts without.
    pub fn restore(&mut self, text: &str, now: f64) -> Result<(), String> {
        let list = self.book.restore(text, self.settings.zones.len(), now, BootTime::now())?;
        self.list("cached", list);
        Ok(())
    }

    /// A reading of the roster. True where there is a list worth keeping for the next start.
    pub fn roster(&mut self, read: Result<(Document, Option<f64>), String>, now: f64) -> bool {
        match read {
            Err(what) => {
                if self.list_trouble.as_ref() != Some(&what) {
                    tracing::warn!(%what, "no list of servers");
                }
                self.list_trouble = Some(what);
                self.list("failed", List { kind: ListKind::Failed, entries: Vec::new() });
                false
            }
            Ok((document, clock)) => {
                let trouble = (!document.errors.is_empty()).then(|| document.errors.join("; "));
                if let Some(what) = trouble.as_ref().filter(|what| self.list_trouble.as_ref() != Some(*what))
                {
                    tracing::warn!(%what, "list of servers read in part");
                }
                self.list_trouble = trouble;
                self.list_heard = Some(now);
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
                let worth = changed && kind == "whole";
                self.list(kind, list);
                worth
            }
        }
    }

    /// A reading of a target's counters, asked for at a moment.
    pub fn reading(&mut self, target: Target, asked: Instant, text: Result<Text, String>) {
        let at = self.clock(asked);
        let text = match text {
            Ok(text) => text,
            Err(what) => {
                self.counts.readings_missed += 1;
                tracing::debug!(?target, %what, "reading missed");
                return;
            }
        };
        self.counts.readings += 1;
        if let Target::Asker(asker) = target {
            self.sign(asker, at);
        }
        if let Target::Server(server) = target {
            let in_flight = text.samples.iter().find(|sample| sample.name == "server_in_flight");
            if let Some(sample) = in_flight {
                self.sums.in_flight.insert(server, sample.value);
            }
        }
        let Some(gain) = self.counters.entry(target).or_default().take(&text, at) else {
            self.counts.readings_anew += 1;
            return;
        };
        match target {
            Target::Asker(asker) => {
                let book = &self.book;
                self.sums.proxy(self.owners[usize::from(asker)], &gain, |s| book.get(s).is_some());
            }
            Target::Server(server) => {
                let (owners, prefixes) = (&self.owners, &self.prefixes);
                let owner = |host| prefixes.find(host).0.map(|asker| owners[usize::from(asker)]);
                self.sums.server(server, &gain, owner);
            }
        }
    }

    /// Forgets what targets gave that are read no more: server addresses come and go for as long as a pilot
    /// lives, and each would leave its counters behind.
    pub fn read_only(&mut self, targets: &BTreeMap<Target, oatlever_fetch::HttpUrl>) {
        self.counters.retain(|target, _| targets.contains_key(target));
        let book = &self.book;
        self.sums.in_flight.retain(|server, _| book.get(server).is_some());
    }

    pub fn checked(&mut self, server: Address, fine: bool) {
        self.checking.remove(&server);
        self.round.health.push(HealthCheckResult { server, healthy: fine });
    }

    /// Whether something came in that a round should take up now.
    pub fn has_news(&self) -> bool {
        !(self.round.lists.is_empty() && self.round.streams.is_empty() && self.round.health.is_empty())
    }

    /// Takes up what is due by now and calls the decisions. Returns whether there was anything to do.
    pub fn step(&mut self, now: f64) -> bool {
        for asker in self.presence.sweep(now) {
            tracing::info!(asker = %self.settings.askers[usize::from(asker)].name, "asker is away");
            self.stream(asker, false);
            self.tables.leave(asker);
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
        if !first && !due && !self.has_news() {
            return false;
        }
        self.decide(now);
        true
    }

    fn decide(&mut self, now: f64) {
        let begun = Instant::now();
        let mut round = std::mem::take(&mut self.round);
        round.now = now;
        round.acknowledgements = self.tables.acknowledgements(now);
        self.counts.rounds += 1;
        if self.tables.any_frozen() {
            let warm_within = self.settings.rules.warm_within;
            let young = self.book.members().iter().filter(|(_, m)| now - m.started < warm_within);
            self.tables.spare(young.map(|(server, _)| *server).collect());
        }
        if let Some(planning) = &mut self.planning {
            let zone = |asker| self.owners.get(usize::from(asker)).map_or(0, |owner: &Owner| owner.zone);
            round.plan = planning.plan(&round, &self.book, zone, &self.settings);
        }
        self.handing.hear(&round, &mut self.sums, &self.settings);
        let (version, news) = (self.tables.version(), News::of(&round));
        self.tables.open(now, self.counts.rounds, news);
        self.balancer.round(&round, &mut self.tables);
        let actions = match &mut self.guarding {
            None => self.tables.close(),
            Some(guarding) => {
                guarding.hear(&round, &self.book, &self.tables, &self.settings);
                self.tables.close_reviewed(&mut guarding.review(&self.settings))
            }
        };
        self.handing.spare(&self.tables, &self.book, &self.settings, now);
        for (after, number) in actions.timers {
            self.timers.set(now + after, number);
        }
        for server in actions.checks {
            if self.checking.insert(server) {
                self.to_check.push(server);
            }
        }
        for note in actions.notes {
            tracing::info!(round = self.counts.rounds, note);
        }
        if self.tables.version() != version {
            let news: Vec<String> = news.kinds().map(|(kind, count)| format!("{count} {kind}")).collect();
            tracing::debug!(
                round = self.counts.rounds,
                version = self.tables.version(),
                news = news.join(", "),
                "tables changed"
            );
        }
        let took = begun.elapsed().as_secs_f64();
        self.counts.deciding += took;
        self.counts.longest_round = self.counts.longest_round.max(took);
    }

    /// Does something to tables by hand; the guard looks at what comes of it too.
    pub fn by_hand<R>(&mut self, act: impl FnOnce(&mut Tables, &mut dyn Review) -> R) -> R {
        let now = self.now();
        match &mut self.guarding {
            None => act(&mut self.tables, &mut Unreviewed),
            Some(guarding) => {
                guarding.state.now = now;
                act(&mut self.tables, &mut guarding.review(&self.settings))
            }
        }
    }

    /// When [`Core::step`] has something to do next, if nothing comes in before.
    pub fn next_at(&self) -> f64 {
        let others = [self.timers.next_at(), self.presence.next_at()];
        others.into_iter().flatten().fold(self.flush_at, f64::min)
    }
}

impl Desk for Core {
    fn asks(&mut self, asker: u16, class: u16, now: f64) -> Option<View<'_>> {
        // Who asks for the first time is bound before it is answered.
        if self.sign(asker, now) {
            self.step(now);
        }
        self.tables.hand_out(asker, class, now);
        self.tables.held(asker, class)
    }

    fn addresses(&mut self, asker: u16, class: u16, host: Ipv4Addr, most: usize, now: f64) -> Option<Answer> {
        self.asks(asker, class, now)?;
        let Core { handing, tables, book, settings, .. } = self;
        handing.answer(tables, book, (asker, class, host), most, settings, now)
    }

    fn knows(&self, host: Ipv4Addr) -> bool {
        let host = host.octets();
        let ports = Address { host, port: 0 }..=Address { host, port: u16::MAX };
        self.book.members().range(ports.clone()).next().is_some() || self.tables.names(ports)
    }

    fn version(&self) -> u64 {
        self.tables.version()
    }
}
