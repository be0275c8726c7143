//! The rules as the pages word them, with the slack of the protocol page, and the record of the run.

use crate::discovery::{State, Told};
use crate::setup::Setup;
use crate::world::Server;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// Stands for all rules, where a run judges more than one.
pub const ANY: &str = "any";
/// The time limits on sockets are longer by this, in seconds.
const SLACK: f64 = 0.3;
/// They start no earlier than this after the pilot first answered.
const START: f64 = 1.0;

pub struct Rules {
    setup: Setup,
    record: std::fs::File,
    /// When each pilot first answered after its last start.
    ready: Vec<f64>,
    pub first_ready: Option<f64>,
    /// Work sent to cold servers: when, how much, and whether the pilot is answerable for it.
    cold_work: BTreeMap<String, Vec<(f64, f64, bool)>>,
    fallen: BTreeSet<String>,
    /// When messages reached a proxy on its present stream.
    messages: BTreeMap<usize, (u64, Vec<f64>)>,
    /// Violations by rule.
    pub broken: BTreeMap<&'static str, u64>,
    reported: BTreeSet<String>,
    /// The longest time by which a request came too late, by rule.
    pub worst: BTreeMap<&'static str, f64>,
}

impl Rules {
    pub fn new(setup: &Setup, record: std::fs::File) -> Self {
        Rules {
            setup: setup.clone(),
            record,
            ready: vec![f64::INFINITY; setup.pilots],
            first_ready: None,
            cold_work: BTreeMap::new(),
            fallen: BTreeSet::new(),
            messages: BTreeMap::new(),
            broken: BTreeMap::new(),
            reported: BTreeSet::new(),
            worst: BTreeMap::new(),
        }
    }

    pub fn note(&mut self, now: f64, text: &str) {
        let _ = writeln!(self.record, "{now:8.3} {text}");
    }

    /// Counts a violation, and records the first of each kind.
    fn break_rule(&mut self, now: f64, rule: &'static str, what: String, text: String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.reported.insert(format!("{rule} {what}")) {
            self.note(now, &format!("BROKEN {rule}: {text}"));
        }
    }

    pub fn ready(&mut self, now: f64, pilot: usize) {
        self.ready[pilot] = now;
        self.first_ready.get_or_insert(now);
        self.note(now, &format!("n{} answers", pilot + 1));
    }

    pub fn pilot_ended(&mut self, now: f64, name: &str, how: &str, was_ready: bool) {
        let text = format!("{name} ended by itself ({how}), ready before: {was_ready}");
        self.break_rule(now, "crash", name.to_string(), text);
    }

    pub fn joined(&mut self, now: f64, proxy: usize, pilot: usize) {
        self.note(now, &format!("proxy {proxy} joins n{}", pilot + 1));
    }

    pub fn left(&mut self, now: f64, proxy: usize) {
        self.note(now, &format!("proxy {proxy} has lost its stream"));
    }

    #[allow(clippy::too_many_arguments)]
    pub fn message(
        &mut self,
        now: f64,
        pilot: usize,
        proxy: usize,
        stream: u64,
        lines: f64,
        waiting: f64,
        apply_at: f64,
        text: &str,
    ) {
        let shown: String = text.chars().take(400).collect();
        self.note(now, &format!("n{} to proxy {proxy}: {lines} lines, {waiting:.0} waiting, applied at {apply_at:.3}: {shown}", pilot + 1));
        if waiting > self.setup.queue_cap {
            self.break_rule(
                now,
                "queue",
                format!("{pilot}"),
                format!("{waiting} lines wait in the channel of n{}", pilot + 1),
            );
        }
        let entry = self.messages.entry(proxy).or_default();
        if entry.0 != stream {
            *entry = (stream, Vec::new());
        }
        entry.1.push(now);
        let window = self.setup.window;
        entry.1.retain(|at| now - at < window);
        let count = entry.1.len();
        if self.setup.max_messages > 0 && count > self.setup.max_messages {
            self.break_rule(
                now,
                "messages",
                format!("{proxy}"),
                format!("{count} messages to proxy {proxy} within {window} s"),
            );
        }
    }

    pub fn restarted(&mut self, id: &str) {
        self.cold_work.remove(id);
        self.fallen.remove(id);
    }

    pub fn is_fallen(&self, id: &str) -> bool {
        self.fallen.contains(id)
    }

    /// A proxy sends a request. `joined` is its pilot, when it joined it, when its last message was written and what
    /// the pilot was told; `class` its name and whether the server is closed to it.
    pub fn sent(
        &mut self,
        now: f64,
        proxy: usize,
        id: &str,
        server: &Server,
        joined: Option<(usize, f64, f64, &BTreeMap<String, Told>)>,
        work: f64,
        class: (&str, bool),
    ) {
        let told = joined.and_then(|(_, _, _, told)| told.get(id).copied());
        if let (Some((pilot, joined_at, _, _)), Some(told)) = (joined, told) {
            let binds = match told.state {
                State::Up => false,
                State::Draining => true,
                State::Removed => !self.setup.only_draining_binds,
            };
            let since = told.at.max(joined_at).max(self.ready[pilot] + START);
            let over = now - since - self.setup.grace - SLACK;
            if binds && over > 0.0 {
                let worst = self.worst.entry("drain").or_default();
                *worst = worst.max(over);
                let alive = if server.alive { "still runs" } else { "has ended: the connection is refused" };
                let text = format!(
                    "proxy {proxy} sends to {id}, of which n{} knows since {:.3} that it is {:?} ({:.3} s, {:.3} s past the limit); it {alive}",
                    pilot + 1, told.at, told.state, now - since, over
                );
                self.break_rule(now, "drain", format!("{proxy} {id}"), text);
            }
            if class.1 && now > joined_at.max(self.ready[pilot] + START) + self.setup.grace + SLACK {
                let text = format!("proxy {proxy} sends a request of {} to {id} in another zone", class.0);
                self.break_rule(now, "zone", format!("{proxy}"), text);
            }
        }
        self.cold(now, id, server, joined, told, work);
    }

    fn cold(
        &mut self,
        now: f64,
        id: &str,
        server: &Server,
        joined: Option<(usize, f64, f64, &BTreeMap<String, Told>)>,
        told: Option<Told>,
        work: f64,
    ) {
        let Some(started) = server.started.filter(|at| server.alive && now - at < self.setup.warm_within)
        else {
            return;
        };
        let answerable = match (joined, told) {
            (Some((_, _, written_at, _)), Some(told)) if told.started == server.started => {
                written_at >= told.start_at || now - told.start_at > self.setup.grace + SLACK
            }
            _ => false,
        };
        let window = self.setup.overload_for + SLACK;
        let sent = self.cold_work.entry(id.to_string()).or_default();
        sent.push((now, work, answerable));
        sent.retain(|(at, _, _)| now - at < window);
        let total: f64 = sent.iter().map(|(_, work, _)| work).sum();
        let of_pilots: f64 =
            sent.iter().filter(|(_, _, answerable)| *answerable).map(|(_, work, _)| work).sum();
        let warm = self.setup.start_capacity
            + (1.0 - self.setup.start_capacity) * ((now - started) / self.setup.warm_within).clamp(0.0, 1.0);
        let capacity = self.setup.cores as f64 * self.setup.speed * warm;
        let share = total / (self.setup.fall_multiple * capacity * window);
        if of_pilots >= total * 2.0 / 3.0 {
            let worst = self.worst.entry("cold").or_default();
            *worst = worst.max(share);
        }
        if share > 1.0 && self.fallen.insert(id.to_string()) {
            let text = format!("{id}, cold since {started:.3}, falls over: {total:.2} s of work within {window} s, capacity {capacity:.3}, pilots answerable for {of_pilots:.2}");
            if of_pilots >= total * 2.0 / 3.0 {
                self.break_rule(now, "cold", id.to_string(), text);
            } else {
                self.note(now, &text);
            }
        }
    }

    pub fn without_server(&mut self, now: f64, proxy: usize, pilot: usize, since: f64, class: &str) {
        let since = since.max(self.ready[pilot] + START);
        if now - since > self.setup.unserved_max + SLACK {
            let text = format!("proxy {proxy} has no server for {class} since {since:.3}");
            self.break_rule(now, "unserved", format!("{proxy} {class}"), text);
        }
    }
}

impl Rules {
    pub fn is_broken(&self, rule: &str) -> bool {
        self.broken.keys().any(|broken| rule == ANY || *broken == rule)
    }

    /// What was broken, in a few lines; also written to the record.
    pub fn summary(&mut self) -> String {
        let broken: Vec<String> =
            self.broken.iter().map(|(rule, count)| format!("{rule}: {count} times")).collect();
        let worst: Vec<String> =
            self.worst.iter().map(|(rule, worst)| format!("{rule} {worst:.3}")).collect();
        let text = if broken.is_empty() {
            format!("rules kept (worst: {})", worst.join(", "))
        } else {
            format!("broken: {} (worst: {})", broken.join(", "), worst.join(", "))
        };
        let _ = writeln!(self.record, "{text}");
        text
    }
}
