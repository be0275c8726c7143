//! What was seen of a run, in the order of time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One process of a pilot, from its start to its end.
pub type Life = usize;
/// One connection of a run.
pub type Connection = usize;

/// The table that a proxy holds: weights by server.
pub type Table = BTreeMap<String, f64>;

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Closed, with all that the client sent read.
    Closed,
    /// Reset: some of what the client sent was not read.
    Reset,
    /// The client closed it.
    Ours,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// By itself, with this status; none where a signal ended it.
    Status(Option<i32>),
    /// Killed, as it still ran at the earliest kill after SIGTERM.
    KilledLate,
    /// Killed without notice.
    KilledUnasked,
    /// By itself, though nobody had asked it to.
    Unbidden,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started, and answered its first heartbeat.
    Started {
        life: Life,
    },
    Ready {
        life: Life,
    },
    /// SIGTERM was sent.
    AskedToEnd {
        life: Life,
    },
    Exited {
        life: Life,
        exit: Exit,
    },
    /// A line of the log tells of a panic.
    Panicked {
        life: Life,
        line: String,
    },
    /// Memory in KiB and open descriptors of a process.
    Holds {
        life: Life,
        memory: u64,
        descriptors: u64,
    },
    /// Requests and answers on a connection.
    Asked {
        connection: Connection,
        life: Life,
    },
    Answered {
        connection: Connection,
    },
    Ended {
        connection: Connection,
        ending: Ending,
    },
    /// A proxy joined on a connection that is new, and what it holds from then on.
    Joined {
        proxy: u16,
        life: Life,
    },
    Left {
        proxy: u16,
    },
    Holding {
        proxy: u16,
        table: Table,
        admitted: f64,
    },
    /// Discovery lists a server as open, started that many seconds before the run's start or after it; or no more.
    Listed {
        server: String,
        started: f64,
    },
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

/// Takes entries from all threads of a run.
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

    pub fn note(&self, event: Event) {
        let mut entries = self.entries.lock().expect("no thread panics");
        // Under the lock, so that entries are in the order of their times.
        entries.push(Entry { at: self.now(), event });
    }

    /// All that was noted so far.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.entries.lock().expect("no thread panics"))
    }
}
