//! What crossed the sockets, one JSON line each. Times are seconds since the day's start.

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
    /// The list went out to the pilot: address, state, and how often each has started.
    Told(Vec<(Ipv4Addr, State, u32)>),
    /// An asker got an answer: the lines that it may pick from now.
    Answer {
        asker: Ipv4Addr,
        class: u8,
        lines: Vec<(Ipv4Addr, u16)>,
    },
    /// An asker had nothing to pick from.
    Without {
        asker: Ipv4Addr,
        class: u8,
    },
    /// An asker sends a query by what it was answered at `answered`; an answer that comes while the query is
    /// on its way is not what it went by.
    Sent {
        query: u64,
        answered: f64,
    },
    /// A query reached a server: its work in seconds of a core.
    Arrival {
        asker: Ipv4Addr,
        server: Ipv4Addr,
        class: u8,
        query: u64,
        work: f64,
    },
    /// A server began to do it.
    Ran {
        server: Ipv4Addr,
        class: u8,
        query: u64,
    },
    /// A server started, for the so-manieth time; warm from then on, or cold.
    Started {
        server: Ipv4Addr,
        cold: bool,
        start: u32,
    },
    /// A cold server fell over.
    Fell {
        server: Ipv4Addr,
    },
    Stopped {
        server: Ipv4Addr,
    },
    /// A query of a client ended: the benefit asked for, and what was answered in time.
    Ended {
        query: u64,
        class: u8,
        asked: f64,
        answered: f64,
    },
    PilotStarted,
    PilotKilled,
    /// Lines that wait in the pilot's channel, as it states.
    Waiting(f64),
    /// Verdicts of the pilot's guard on that day.
    Verdicts(f64),
    /// One that was not fine, as the guard told it at the day's end.
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

    pub fn note(&self, event: Event) {
        self.note_at(self.now(), event);
    }

    /// Something that happened before.
    pub fn note_at(&self, at: f64, event: Event) {
        self.entries.borrow_mut().push(Entry { at, event });
    }

    pub fn take(&self) -> Vec<Entry> {
        self.entries.take()
    }

    /// Benefit answered in time and asked for, of queries that ended since a moment.
    pub fn service_since(&self, since: f64) -> (f64, f64) {
        let entries = self.entries.borrow();
        let late = entries.iter().rev().take_while(|entry| entry.at > since);
        late.fold((0.0, 0.0), |(got, all), entry| match entry.event {
            Event::Ended { asked, answered, .. } => (got + answered, all + asked),
            _ => (got, all),
        })
    }
}
