//! A pilot on the platform without its sockets: what came in is gathered into a round, the decisions are
//! called, and what they order becomes messages. Times are seconds on the pilot's own clock.

use crate::timers::Timers;
use oatlever::balance::Balancer;
use oatlever::round::{Address, Beliefs, HealthCheckResult, List, ListKind, Round, Stream, Tries};
use oatlever_instance::InstanceSettings;
use oatlever_platform::message::{self, Join, Message, MessageError, HEARTBEAT_ANSWER};
use oatlever_platform::{silence_timeout, Connection, JoinOutcome, Names, Publisher, Role, Sessions};
use oatlever_roster::platform::{Origin, PlatformDocument, ServerRegistry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What the pilot met since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub rounds: u64,
    pub messages: u64,
    /// Queries that came to proxies, tries at servers and those of them that failed, as reported.
    pub queries: f64,
    pub tries: f64,
    pub failed: f64,
    /// Those that named a server which no list has named.
    pub strange: u64,
    pub spoilt: u64,
    pub refused: u64,
    /// Connections sent away as all places were held by those who have joined.
    pub full: u64,
    pub joined: u64,
    pub left: u64,
    /// Those of them that were taken for gone as they owed a word for too long.
    pub silent: u64,
    pub lists: u64,
    pub lists_missed: u64,
    pub written: u64,
    /// ms that the longest round took.
    pub longest_round: f64,
}

/// What is to become of a connection after a line.
#[derive(Debug, PartialEq)]
pub enum Reaction {
    Nothing,
    /// Write this.
    Answer(&'static [u8]),
    /// It has joined; the connection that it replaces is to be closed.
    Joined(Option<Connection>),
    /// It may not go on, for this reason.
    Refuse(String),
}

/// One run of a server: where it listens, and when it started.
pub type Process = (SocketAddr, f64);

/// What a round comes to.
#[derive(Debug, Default)]
pub struct Effects {
    pub messages: Vec<(Connection, Rc<[u8]>)>,
    pub checks: Vec<(Address, Process)>,
    /// The list is to be followed, or read whole.
    pub ask_list: bool,
    /// Connections that have fallen silent, to be closed.
    pub silent: Vec<Connection>,
}

pub struct Controller {
    balancer: Balancer,
    names: Names,
    sessions: Sessions,
    publisher: Publisher,
    pub register: ServerRegistry,
    round: Round,
    timers: Timers,
    /// Servers whose health is being checked, and the process that is asked.
    checking: BTreeMap<Address, Process>,
    /// s; how long a proxy may owe a word.
    patience: f64,
    pub counts: Counts,
    /// What the last orders went by. Between reports demand fades, so at other moments it says less.
    pub beliefs: Beliefs,
}

impl Controller {
    pub fn new(start: InstanceSettings, names: &oatlever_instance::PlatformSettings, seed: u64) -> Self {
        let names = Names {
            zones: names.zones.clone(),
            classes: names.classes.clone(),
            proxies: start.site.proxies as usize,
        };
        Controller {
            patience: silence_timeout(start.site.report_period, start.channel.longest_way),
            publisher: Publisher::new(names.classes.clone()),
            balancer: Balancer::new(start.site, start.classes, start.channel, start.rules, seed),
            names,
            sessions: Sessions::default(),
            register: ServerRegistry::default(),
            round: Round::default(),
            timers: Timers::default(),
            checking: BTreeMap::new(),
            counts: Counts::default(),
            beliefs: Beliefs::default(),
        }
    }

    /// Why nobody is served, where that is so although proxies look for a pilot; `turned_away` as counted
    /// when this was asked last.
    pub fn idles(&self, turned_away: u64) -> Option<&'static str> {
        let joined = self.sessions.proxies().next().is_some();
        if self.publisher.has_bound_proxies() || !(joined || self.turned_away() > turned_away) {
            return None;
        }
        Some(match self.register.counts() {
            _ if !joined => "all who dial are sent away",
            _ if self.register.version.is_none() => "no list of servers was told",
            (0, _) => "the list of servers is empty",
            _ => "proxies have joined and hold no table: no server is open, or the channel is full",
        })
    }

    pub fn serves(&self) -> bool {
        self.publisher.has_bound_proxies()
    }

    /// Connections sent away so far.
    pub fn turned_away(&self) -> u64 {
        self.counts.refused + self.counts.full
    }

    /// Takes in a line that came on a connection.
    pub fn line(&mut self, connection: Connection, line: &[u8], now: f64) -> Reaction {
        self.counts.messages += 1;
        self.sessions.record_activity(connection, now);
        let message = message::parse(line, &self.names);
        let role = self.sessions.role(connection);
        match (message, role) {
            (Ok(Message::Heartbeat), _) => Reaction::Answer(HEARTBEAT_ANSWER),
            (Ok(Message::Join(join)), None) => self.join(connection, &join, now),
            (Ok(_), None) => self.refuse("a report before joining".to_string()),
            (Err(what), None) => self.refuse(what.to_string()),
            // What follows on it means nothing, so whoever it was has left.
            (Err(MessageError::Malformed(what)), Some(role)) => {
                tracing::debug!(?role, %what, line = ?String::from_utf8_lossy(&line[..line.len().min(160)]), "unreadable");
                self.refuse(what)
            }
            (Err(MessageError::InvalidField(what)), Some(_)) => self.spoilt(line, &what),
            (Ok(message), Some(role)) => self.report(message, connection, role, line),
        }
    }

    fn refuse(&mut self, why: String) -> Reaction {
        self.counts.refused += 1;
        Reaction::Refuse(why)
    }

    fn spoilt(&mut self, line: &[u8], what: &str) -> Reaction {
        self.counts.spoilt += 1;
        let line = String::from_utf8_lossy(&line[..line.len().min(200)]);
        tracing::debug!(%what, %line, "message left aside");
        Reaction::Nothing
    }

    fn join(&mut self, connection: Connection, join: &Join, now: f64) -> Reaction {
        let replaced = match self.sessions.join(connection, join, now) {
            JoinOutcome::Joined(replaced) => replaced,
            JoinOutcome::AlreadyJoined => return Reaction::Nothing,
            JoinOutcome::Superseded => {
                return self.refuse("a later connection has joined in its place".to_string())
            }
        };
        self.counts.joined += 1;
        if let Join::Proxy { proxy, zone, rate } = *join {
            self.publisher.unbind(proxy);
            self.round.streams.push(Stream { proxy, up: true, zone, rate });
        }
        Reaction::Joined(replaced)
    }

    fn report(&mut self, message: Message, connection: Connection, role: Role, line: &[u8]) -> Reaction {
        match (message, role) {
            (Message::ServerReport(met), Role::Collector(_)) => match self.register.id(&met.server) {
                None => self.counts.strange += 1,
                Some(server) => {
                    self.counts.tries += met.tries;
                    self.counts.failed += met.failed;
                    self.round.tries.push(Tries {
                        server,
                        zone: met.zone,
                        tries: met.tries,
                        failed: met.failed,
                        time: met.time,
                        span: met.span,
                    });
                }
            },
            // Usage comes by any collector, or on the proxy's own stream.
            (Message::Queries(queries), role) if role_speaks_for(role, queries.proxy) => {
                self.counts.queries += queries.received;
                self.round.queries.push(queries)
            }
            (Message::Acknowledgement(acknowledgement), Role::Proxy(proxy))
                if acknowledgement.proxy == proxy =>
            {
                if !self.sessions.acknowledge(connection, acknowledgement.number) {
                    return self.spoilt(line, "no mark that was written on this stream");
                }
                self.round.acknowledgements.push(acknowledgement)
            }
            _ => return self.spoilt(line, "not for whoever joined here to say"),
        }
        Reaction::Nothing
    }

    /// A connection ended.
    pub fn ended(&mut self, connection: Connection) {
        if let Some(proxy) = self.sessions.leave(connection) {
            self.counts.left += 1;
            self.publisher.unbind(proxy);
            self.round.streams.push(Stream { proxy, up: false, zone: 0, rate: 0.0 });
        }
    }

    /// A list of servers, or news of it. Errors: it is older than what is held, or nothing in it can be used.
    pub fn list(&mut self, document: &PlatformDocument, origin: Origin) -> Result<(), String> {
        let list = self.register.apply(document, origin)?;
        if !document.errors.is_empty() {
            tracing::warn!(mistakes = document.errors.join("; "), "list of servers read in part");
        }
        self.counts.lists += 1;
        // A watch that ended without news says nothing that a round should take up.
        if list.kind != ListKind::Changes || !list.entries.is_empty() {
            self.round.lists.push(list);
        }
        Ok(())
    }

    pub fn list_missed(&mut self, is_news: bool) {
        self.counts.lists_missed += 1;
        if is_news {
            self.round.lists.push(List { kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    /// A process that was checked has answered, or has not.
    ///
    /// Guards against an answer that counts for another: while it was under way the server may have been
    /// removed, or replaced under the same name, which is then checked by itself.
    pub fn checked(&mut self, server: Address, process: Process, fine: bool) {
        if self.checking.get(&server) == Some(&process) {
            self.checking.remove(&server);
            if self.register.process(server) == Some(process) {
                self.round.health.push(HealthCheckResult { server, healthy: fine });
            }
        }
    }

    fn has_news(&self) -> bool {
        let r = &self.round;
        let quiet = r.lists.is_empty() && r.streams.is_empty() && r.queries.is_empty();
        !(quiet
            && r.tries.is_empty()
            && r.health.is_empty()
            && r.acknowledgements.is_empty()
            && r.timers.is_empty())
    }

    /// Takes up what came in and what is due by now, and calls the decisions where there is any.
    pub fn step(&mut self, now: f64) -> Effects {
        self.round.timers = self.timers.due(now);
        if self.counts.rounds > 0 && !self.has_news() {
            return Effects::default();
        }
        let begun = std::time::Instant::now();
        let mut round = std::mem::take(&mut self.round);
        round.now = now;
        self.counts.rounds += 1;
        self.balancer.round(&round, &mut self.publisher);
        let (marked, name) = (self.publisher.mark_number(), |server| self.register.name(server));
        let (messages, actions) = self.publisher.finish_round(self.sessions.proxies(), &name);
        for (after, number) in actions.timers {
            self.timers.set(now + after, number);
        }
        for note in actions.notes {
            tracing::info!(note);
        }
        // Between reports demand fades and says less; without anybody to write to there is none to fade.
        if !messages.is_empty() || !self.publisher.has_bound_proxies() {
            self.beliefs = self.balancer.beliefs(now);
        }
        let due = |server| Some((server, self.register.process(server)?));
        let checks: Vec<_> = actions.checks.into_iter().filter_map(due).collect();
        let is_new = |(server, process): &(Address, Process)| {
            self.checking.insert(*server, *process).is_none_or(|under_way| under_way != *process)
        };
        let checks = checks.into_iter().filter(is_new).collect();
        let to = |(proxy, bytes)| Some((self.sessions.connection(proxy)?, bytes));
        let messages: Vec<_> = messages.into_iter().filter_map(to).collect();
        for (connection, mark) in messages.iter().filter_map(|(to, _)| Some((to, marked?))) {
            self.sessions.record_mark(*connection, mark, now);
        }
        self.counts.written += messages.len() as u64;
        let silent = self.sessions.silent(now, self.patience);
        self.counts.silent += silent.len() as u64;
        self.counts.longest_round = self.counts.longest_round.max(begun.elapsed().as_secs_f64() * 1e3);
        Effects { messages, checks, ask_list: actions.follow || actions.fetch, silent }
    }

    /// When [`Controller::step`] has something to do next, if nothing comes in before.
    pub fn next_at(&self) -> Option<f64> {
        self.timers.next_at()
    }
}

fn role_speaks_for(role: Role, proxy: u16) -> bool {
    match role {
        Role::Collector(_) => true,
        Role::Proxy(own) => own == proxy,
    }
}
