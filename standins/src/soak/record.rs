//! The observed events of a run, in order of time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Number of a pilot process; each start of a pilot gets a new one.
pub type ProcessNumber = usize;
/// Number of a connection within a run.
pub type Connection = usize;

/// The table that a proxy holds: weights by server id.
pub type Table = BTreeMap<String, f64>;

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The pilot closed it after it had read everything that the client sent.
    Closed,
    /// The pilot closed it with unread data from the client, which resets the connection.
    Reset,
    /// The client closed it.
    Ours,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It exited with this status; `None` if a signal terminated it.
    Status(Option<i32>),
    /// Killed because it still ran at the end of the grace period after SIGTERM.
    KilledLate,
    /// Killed without a preceding SIGTERM.
    KilledUnasked,
    /// It exited although no signal had been sent.
    Unbidden,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Started {
        life: ProcessNumber,
    },
    /// The process answered its first heartbeat.
    Ready {
        life: ProcessNumber,
    },
    /// SIGTERM was sent.
    AskedToEnd {
        life: ProcessNumber,
    },
    Exited {
        life: ProcessNumber,
        exit: Exit,
    },
    /// The log of the process contains a panic message.
    Panicked {
        life: ProcessNumber,
        line: String,
    },
    /// Memory in KiB and open descriptors of a process.
    Holds {
        life: ProcessNumber,
        memory: u64,
        descriptors: u64,
    },
    /// A heartbeat request was sent.
    Asked {
        connection: Connection,
        life: ProcessNumber,
    },
    Answered {
        connection: Connection,
    },
    /// The last heartbeat request was sent after the pilot had closed the connection.
    NotRead {
        connection: Connection,
    },
    Ended {
        connection: Connection,
        ending: Ending,
    },
    /// A proxy attached to a pilot on a new connection.
    Joined {
        proxy: u16,
        life: ProcessNumber,
    },
    Left {
        proxy: u16,
    },
    /// The table of a proxy after an order, and the share of requests that it admits.
    Holding {
        proxy: u16,
        table: Table,
        admitted: f64,
    },
    /// Discovery lists a server as `up`. `started` is in seconds since the start of the run, negative for an earlier
    /// start.
    Listed {
        server: String,
        started: f64,
    },
    /// Discovery lists a server as `draining`.
    Closed {
        server: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Seconds since the start of the run.
    pub at: f64,
    pub event: Event,
}

/// Collects the events of all threads of a run.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Recorder {
    pub fn start() -> Recorder {
        Recorder { start: Instant::now(), entries: Arc::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().expect("no thread panics");
        // The time is taken under the lock, so that entries are in order of time.
        entries.push(Entry { at: self.now(), event });
    }

    /// Removes and returns all entries recorded so far.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.entries.lock().expect("no thread panics"))
    }
}
