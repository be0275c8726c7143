//! Events of a day, written as one JSON value per line. Times are in seconds since the start of the record.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The pilot received the server list: address, state and number of starts of each server.
    Told(Vec<(Ipv4Addr, State, u32)>),
    /// An asker received an answer, whose lines it uses from now on.
    Answer {
        asker: Ipv4Addr,
        class: u8,
        lines: Vec<(Ipv4Addr, u16)>,
    },
    /// An asker had no server to pick for a query.
    Without {
        asker: Ipv4Addr,
        class: u8,
    },
    /// An asker sends a query to a server from the answer that it received at `answered`. A newer answer may arrive
    /// before the query reaches the server.
    Sent {
        query: u64,
        answered: f64,
    },
    /// A query reached a server; `work` is in core seconds.
    Arrival {
        asker: Ipv4Addr,
        server: Ipv4Addr,
        class: u8,
        query: u64,
        work: f64,
    },
    /// A server started to process a query.
    Ran {
        server: Ipv4Addr,
        class: u8,
        query: u64,
    },
    /// A server started, cold or warm; `start` is the number of its starts so far.
    Started {
        server: Ipv4Addr,
        cold: bool,
        start: u32,
    },
    /// A cold server failed under overload.
    Fell {
        server: Ipv4Addr,
    },
    Stopped {
        server: Ipv4Addr,
    },
    /// A client's query ended: the benefit of an answer in time, and the benefit achieved.
    Ended {
        query: u64,
        class: u8,
        asked: f64,
        answered: f64,
    },
    PilotStarted,
    PilotKilled,
    /// Number of lines waiting in the pilot's channel, from its status page.
    Waiting(f64),
    /// Number of verdicts of the pilot's guard on the day.
    Verdicts(f64),
    /// A finding of the guard, queried at the end of the day.
    Finding {
        check: String,
        servers: Vec<Ipv4Addr>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    #[serde(flatten)]
    pub event: Event,
}

pub struct Recorder {
    start: Instant,
    entries: RefCell<Vec<Entry>>,
}

impl Recorder {
    pub fn start() -> Self {
        Recorder { start: Instant::now(), entries: RefCell::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn record(&self, event: Event) {
        self.record_at(self.now(), event);
    }

    /// Records an event of an earlier time.
    pub fn record_at(&self, at: f64, event: Event) {
        self.entries.borrow_mut().push(Entry { at, event });
    }

    /// Removes and returns all entries recorded so far.
    pub fn take(&self) -> Vec<Entry> {
        self.entries.take()
    }

    /// Returns the benefit achieved by queries that ended after a time, and the benefit if all had been answered in
    /// time.
    pub fn service_since(&self, since: f64) -> (f64, f64) {
        let entries = self.entries.borrow();
        let recent = entries.iter().rev().take_while(|entry| entry.at > since);
        recent.fold((0.0, 0.0), |(achieved, possible), entry| match entry.event {
            Event::Ended { asked, answered, .. } => (achieved + answered, possible + asked),
            _ => (achieved, possible),
        })
    }
}
