//! The discovery agent of one pilot: the list of endpoints over HTTP, whole or as a watch.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub addr: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub started_ms: f64,
    pub weight: f64,
}

/// How an answer's bytes arrive: in this many pieces, so many seconds from one to the next.
#[derive(Clone, Copy)]
pub struct Pieces {
    pub count: usize,
    pub gap: f64,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Entries by id, with the version that last changed each.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Removed ids, with the version of their removal.
    removed: BTreeMap<String, (u64, Entry)>,
    /// By version: when it was there, and when it counts as told to the pilot, if so.
    since: BTreeMap<u64, f64>,
    told: BTreeMap<u64, f64>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pieces: Option<Pieces>,
}

fn entry_json(id: &str, entry: &Entry, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{}","zone":"{}","kind":"std","cell":0,"state":"{state}","weight":{},"started_ms":{}}}"#,
        entry.addr, entry.zone, entry.weight, entry.started_ms
    )
}

/// Seconds after which what discovery has to tell counts as told, whether it arrived or not (PROTOCOL, Figures).
const TOLD_AT_LATEST: f64 = 6.0;

impl Discovery {
    pub fn start(entries: BTreeMap<String, Entry>, pieces: Option<Pieces>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries = entries.into_iter().map(|(id, entry)| (id, (41, entry))).collect();
        let since = BTreeMap::from([(41, 0.0)]);
        let state = State { version: 41, entries, since, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let discovery = Discovery { address, state, record: record.clone(), pieces };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = accepting.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        discovery
    }

    /// The whole list as it is now.
    pub fn document(&self) -> String {
        let state = self.state.0.lock().unwrap();
        Self::render(&state, None)
    }

    fn render(state: &State, after: Option<u64>) -> String {
        let newer = |version: u64| after.is_none_or(|after| version > after);
        let listed = state.entries.iter().filter(|(_, (version, _))| newer(*version));
        let mut entries: Vec<String> = listed.map(|(id, (_, e))| entry_json(id, e, e.state)).collect();
        if after.is_some() {
            let removed = state.removed.iter().filter(|(_, (version, _))| newer(*version));
            entries.extend(removed.map(|(id, (_, e))| entry_json(id, e, "removed")));
        }
        let (version, full) = (state.version, after.is_none());
        format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
    }

    /// Changes the states of endpoints in one new version, and returns that version. `removed` takes one off the list.
    pub fn change(&self, changes: &[(String, &'static str)]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let (version, now) = (state.version, self.record.now());
        state.since.insert(version, now);
        for (id, to) in changes {
            self.record.say(&format!("list version {version}: {id} is {to}"));
            let (_, mut entry) = state.entries.remove(id).expect("a listed endpoint");
            state.removed.remove(id);
            if *to == "removed" {
                state.removed.insert(id.clone(), (version, entry));
            } else {
                entry.state = to;
                state.entries.insert(id.clone(), (version, entry));
            }
        }
        self.state.1.notify_all();
        version
    }

    /// Lists new endpoints.
    pub fn add(&self, entries: &[(String, Entry)]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let (version, now) = (state.version, self.record.now());
        state.since.insert(version, now);
        for (id, entry) in entries {
            self.record.say(&format!("list version {version}: {id} is up, started {}", entry.started_ms));
            state.removed.remove(id);
            state.entries.insert(id.clone(), (version, entry.clone()));
        }
        self.state.1.notify_all();
        version
    }

    /// When a version counts as told to the pilot.
    pub fn told(&self, version: u64) -> Option<f64> {
        self.state.0.lock().unwrap().told.range(version..).map(|(_, at)| *at).reduce(f64::min)
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut request = String::new();
            if !matches!(reader.read_line(&mut request), Ok(n) if n > 0) {
                return;
            }
            let mut header = String::new();
            while matches!(reader.read_line(&mut header), Ok(n) if n > 2) {
                header.clear();
            }
            let number = |key: &str| {
                let value = request.split(key).nth(1)?.split(['&', ' ']).next()?;
                value.parse::<u64>().ok()
            };
            let (index, wait) = (number("index="), number("wait=").unwrap_or(0) as f64 / 1000.0);
            let called = self.record.now();
            self.record.line(&format!("discovery: call {}", request.trim()));
            let mut state = self.state.0.lock().unwrap();
            // At the latest so long after the call and after discovery has it.
            for (version, since) in state.since.clone() {
                let latest = match index {
                    None => called.max(since) + TOLD_AT_LATEST,
                    Some(_) => called.max(since) + TOLD_AT_LATEST.max(wait + 2.0),
                };
                let told = state.told.entry(version).or_insert(latest);
                *told = told.min(latest);
            }
            if let Some(index) = index {
                let left = Duration::from_secs_f64(wait);
                state = self.state.1.wait_timeout_while(state, left, |s| s.version <= index).unwrap().0;
            }
            let (version, body) = (state.version, Self::render(&state, index));
            drop(state);
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let answer = head + &body;
            if self.write(&stream, answer.as_bytes()).is_err() {
                self.record.line(&format!(
                    "discovery: answer with version {version} broke off, the pilot has closed"
                ));
                return;
            }
            let now = self.record.now();
            let mut state = self.state.0.lock().unwrap();
            let told = state.told.entry(version).or_insert(now);
            *told = told.min(now);
            drop(state);
            self.record
                .line(&format!("discovery: answer with version {version} written, {} bytes", answer.len()));
        }
    }

    fn write(&self, mut stream: &TcpStream, answer: &[u8]) -> std::io::Result<()> {
        let Some(pieces) = self.pieces else { return stream.write_all(answer) };
        let size = answer.len().div_ceil(pieces.count);
        for (n, piece) in answer.chunks(size).enumerate() {
            if n > 0 {
                std::thread::sleep(Duration::from_secs_f64(pieces.gap));
                // Whether the pilot has closed meanwhile: a read would return 0 bytes at once.
                stream.set_nonblocking(true)?;
                let closed = matches!(stream.peek(&mut [0; 1]), Ok(0));
                stream.set_nonblocking(false)?;
                if closed {
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }
}
