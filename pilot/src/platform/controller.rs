//! A pilot on the platform without its sockets: collects input into a round, runs the decisions on it, and turns
//! their actions into messages. Times are seconds on the pilot's monotonic clock.

use crate::timers::Timers;
use oatlever::balance::Balancer;
use oatlever::round::{Address, Beliefs, HealthCheckResult, List, ListKind, Round, Stream, Tries};
use oatlever_discovery::platform::{Origin, PlatformDocument, ServerRegistry};
use oatlever_instance::InstanceSettings;
use oatlever_platform::message::{self, Join, Message, MessageError, HEARTBEAT_ANSWER};
use oatlever_platform::{silence_timeout, Connection, JoinOutcome, Names, Publisher, Role, Sessions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Counters since the start of the pilot. The log shows them by these names.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub rounds: u64,
    pub messages: u64,
    /// Reported queries at proxies, tries at servers, and failed tries among them.
    pub queries: f64,
    pub tries: f64,
    pub failed: f64,
    /// Reports that name a server of no list.
    pub strange: u64,
    /// Invalid messages that were ignored.
    pub spoilt: u64,
    /// Connections closed because they did not join in time or sent something invalid.
    pub refused: u64,
    /// Connections closed because the limit was reached and all others had joined.
    pub full: u64,
    pub joined: u64,
    pub left: u64,
    /// Connections closed because they did not answer for too long.
    pub silent: u64,
    pub lists: u64,
    pub lists_missed: u64,
    pub written: u64,
    /// Duration of the longest round, ms.
    pub longest_round: f64,
}

/// What to do with a connection after a line.
#[derive(Debug, PartialEq)]
pub enum Reaction {
    Nothing,
    /// Write an answer.
    Answer(&'static [u8]),
    /// The peer has joined. Close the connection that it replaces, if any.
    Joined(Option<Connection>),
    /// Close the connection, for this reason.
    Refuse(String),
}

/// A server process: its address and its start time.
pub type Process = (SocketAddr, f64);

/// The result of a round.
#[derive(Debug, Default)]
pub struct Effects {
    pub messages: Vec<(Connection, Rc<[u8]>)>,
    pub checks: Vec<(Address, Process)>,
    /// Discovery should be followed, or the whole list be requested.
    pub request_list: bool,
    /// Connections that have not answered for too long and must be closed.
    pub unresponsive: Vec<Connection>,
}

/// State of a pilot on the platform: the decisions, the sessions, and everything that feeds them.
pub struct Controller {
    balancer: Balancer,
    names: Names,
    sessions: Sessions,
    publisher: Publisher,
    pub register: ServerRegistry,
    round: Round,
    timers: Timers,
    /// Servers whose health check is under way, and the process that is checked.
    checking: BTreeMap<Address, Process>,
    /// Seconds that a connection may take to answer.
    silence_timeout: f64,
    pub counts: Counts,
    /// The estimates behind the last messages. Estimated demand decays between reports, so estimates taken at other
    /// times would be too low.
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
            silence_timeout: silence_timeout(start.site.report_period, start.channel.max_delivery_delay),
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

    /// Why no proxy holds a table although proxies try to connect; `None` otherwise. `rejected` is the value of
    /// [`Controller::rejected`] at the last call.
    pub fn idle_cause(&self, rejected: u64) -> Option<&'static str> {
        let joined = self.sessions.proxies().next().is_some();
        if self.publisher.has_bound_proxies() || !(joined || self.rejected() > rejected) {
            return None;
        }
        Some(match self.register.counts() {
            _ if !joined => "all connections are refused",
            _ if self.register.version.is_none() => "no list of servers was received",
            (0, _) => "the list of servers is empty",
            _ => "the joined proxies hold no table: no server is open, or the channel is full",
        })
    }

    /// Whether some proxy holds a table.
    pub fn serves(&self) -> bool {
        self.publisher.has_bound_proxies()
    }

    /// Connections refused so far.
    pub fn rejected(&self) -> u64 {
        self.counts.refused + self.counts.full
    }

    /// Records that bytes arrived on a connection, also if they don't complete a message.
    pub fn record_input(&mut self, connection: Connection, now: f64) {
        self.sessions.record_activity(connection, now);
    }

    /// Handles a line received on a connection.
    pub fn handle_line(&mut self, connection: Connection, line: &[u8], now: f64) -> Reaction {
        self.counts.messages += 1;
        let message = message::parse(line, &self.names);
        let role = self.sessions.role(connection);
        match (message, role) {
            (Ok(Message::Heartbeat), _) => Reaction::Answer(HEARTBEAT_ANSWER),
            (Ok(Message::Join(join)), None) => self.join(connection, &join, now),
            (Ok(_), None) => self.refuse("a report before joining".to_string()),
            (Err(what), None) => self.refuse(what.to_string()),
            // Nothing after an unreadable line can be interpreted.
            (Err(MessageError::Malformed(what)), Some(role)) => {
                tracing::debug!(?role, %what, line = ?String::from_utf8_lossy(&line[..line.len().min(160)]), "unreadable message");
                self.refuse(what)
            }
            (Err(MessageError::InvalidField(what)), Some(_)) => self.ignore(line, &what),
            (Ok(message), Some(role)) => self.report(message, connection, role, line),
        }
    }

    fn refuse(&mut self, why: String) -> Reaction {
        self.counts.refused += 1;
        Reaction::Refuse(why)
    }

    /// Ignores an invalid message.
    fn ignore(&mut self, line: &[u8], what: &str) -> Reaction {
        self.counts.spoilt += 1;
        let line = String::from_utf8_lossy(&line[..line.len().min(200)]);
        tracing::debug!(%what, %line, "invalid message ignored");
        Reaction::Nothing
    }

    fn join(&mut self, connection: Connection, join: &Join, now: f64) -> Reaction {
        let replaced = match self.sessions.join(connection, join, now) {
            JoinOutcome::Joined(replaced) => replaced,
            JoinOutcome::AlreadyJoined => return Reaction::Nothing,
            JoinOutcome::Superseded => {
                return self.refuse("a newer connection has joined as this proxy or collector".to_string())
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
            // Any collector may report a proxy's queries, as may the proxy itself.
            (Message::Queries(queries), role) if may_report_for(role, queries.proxy) => {
                self.counts.queries += queries.received;
                self.round.queries.push(queries)
            }
            (Message::Acknowledgement(acknowledgement), Role::Proxy(proxy))
                if acknowledgement.proxy == proxy =>
            {
                if !self.sessions.acknowledge(connection, acknowledgement.number) {
                    return self.ignore(line, "the mark was not written on this stream");
                }
                self.round.acknowledgements.push(acknowledgement)
            }
            _ => return self.ignore(line, "the sender's role may not send this message"),
        }
        Reaction::Nothing
    }

    /// Takes in that a connection has ended.
    pub fn disconnected(&mut self, connection: Connection) {
        if let Some(proxy) = self.sessions.leave(connection) {
            self.counts.left += 1;
            self.publisher.unbind(proxy);
            self.round.streams.push(Stream { proxy, up: false, zone: 0, rate: 0.0 });
        }
    }

    /// Takes in a list of servers or changes to it. Fails if it is older than the current list, or if nothing in it
    /// is usable.
    pub fn take_list(&mut self, document: &PlatformDocument, origin: Origin) -> Result<(), String> {
        let list = self.register.apply(document, origin)?;
        if !document.errors.is_empty() {
            tracing::warn!(mistakes = document.errors.join("; "), "invalid entries in the list of servers");
        }
        self.counts.lists += 1;
        // A watch that ended without changes needs no round.
        if list.kind != ListKind::Changes || !list.entries.is_empty() {
            self.round.lists.push(list);
        }
        Ok(())
    }

    /// Takes in that a request for the list has failed; `report` passes the failure to the decisions.
    pub fn record_list_failure(&mut self, report: bool) {
        self.counts.lists_missed += 1;
        if report {
            self.round.lists.push(List { kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    /// Takes in the result of a health check.
    ///
    /// During the check the server may have been removed, or replaced by another process under the same name, which
    /// gets a check of its own. The result is ignored then.
    pub fn record_check(&mut self, server: Address, process: Process, fine: bool) {
        if self.checking.get(&server) == Some(&process) {
            self.checking.remove(&server);
            if self.register.process(server) == Some(process) {
                self.round.health.push(HealthCheckResult { server, healthy: fine });
            }
        }
    }

    fn has_input(&self) -> bool {
        let r = &self.round;
        let empty = r.lists.is_empty() && r.streams.is_empty() && r.queries.is_empty();
        !(empty
            && r.tries.is_empty()
            && r.health.is_empty()
            && r.acknowledgements.is_empty()
            && r.timers.is_empty())
    }

    /// Runs a round if there is input or a timer is due.
    pub fn step(&mut self, now: f64) -> Effects {
        self.round.timers = self.timers.due(now);
        if self.counts.rounds > 0 && !self.has_input() {
            return Effects::default();
        }
        let started = std::time::Instant::now();
        let mut round = std::mem::take(&mut self.round);
        round.now = now;
        self.counts.rounds += 1;
        self.balancer.round(&round, &mut self.publisher);
        let (marked, name) = (self.publisher.mark_number(), |server| self.register.name(server));
        let (messages, actions) = self.publisher.finish_round(self.sessions.proxies(), &name);
        for (after, number) in actions.timers {
            self.timers.set(now + after, number);
        }
        for note in actions.log_messages {
            tracing::info!(note);
        }
        // Taken when messages are written, as estimated demand decays between reports. With no proxy served there is
        // no demand to decay, and the log still shows the listed servers.
        if !messages.is_empty() || !self.publisher.has_bound_proxies() {
            self.beliefs = self.balancer.beliefs(now);
        }
        let due = |server| Some((server, self.register.process(server)?));
        let checks: Vec<_> = actions.checks.into_iter().filter_map(due).collect();
        let is_new = |(server, process): &(Address, Process)| {
            self.checking.insert(*server, *process).is_none_or(|previous| previous != *process)
        };
        let checks = checks.into_iter().filter(is_new).collect();
        let to = |(proxy, bytes)| Some((self.sessions.connection(proxy)?, bytes));
        let messages: Vec<_> = messages.into_iter().filter_map(to).collect();
        for (connection, mark) in messages.iter().filter_map(|(to, _)| Some((to, marked?))) {
            self.sessions.record_mark(*connection, mark, now);
        }
        self.counts.written += messages.len() as u64;
        let unresponsive = self.sessions.silent(now, self.silence_timeout);
        self.counts.silent += unresponsive.len() as u64;
        self.counts.longest_round = self.counts.longest_round.max(started.elapsed().as_secs_f64() * 1e3);
        Effects { messages, checks, request_list: actions.follow_list || actions.fetch_list, unresponsive }
    }

    /// When [`Controller::step`] is next due without further input.
    pub fn next_at(&self) -> Option<f64> {
        self.timers.next_at()
    }
}

/// Whether a role may report the queries of a proxy.
fn may_report_for(role: Role, proxy: u16) -> bool {
    match role {
        Role::Collector(_) => true,
        Role::Proxy(own) => own == proxy,
    }
}
