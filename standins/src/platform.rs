//! A small side of the operators' platform, for tests on loopback: discovery, and whoever dials a pilot.
//! Plain blocking sockets and a thread each.

use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// From SIGTERM to the kill of a pilot: the page's earliest.
pub const EARLIEST_KILL: Duration = Duration::from_millis(700);

/// A server as the list names it, of zone `a`.
pub fn server(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "127.0.0.1:9", "zone": "a", "kind": "m2", "cell": 3, "state": state,
           "weight": 1.0, "started_ms": 0})
}

#[derive(Default)]
struct State {
    version: u64,
    /// By id: the version that brought it, and what it says.
    servers: BTreeMap<String, (u64, Value)>,
    calls: Vec<String>,
    connections: usize,
    /// Versions are not known: what is newer than one is not told until all of the list was asked for.
    forgot: bool,
    /// What is wrong with the next answers.
    spoilt: VecDeque<Spoilt>,
}

/// A way in which an answer of discovery is of no use.
#[derive(Clone, Copy, Debug)]
pub enum Spoilt {
    /// Half of it comes, then the end.
    Cut,
    NoList,
    /// An empty list of a version that is long past.
    Older,
    /// None comes, and the connection stays.
    Silent,
    /// Half of its head comes, and the connection stays.
    SilentInHead,
    /// Half of its body comes, and the connection stays.
    SilentInBody,
    /// Entries have a state that does not exist.
    Odd,
    /// All of the list comes, whatever was asked for.
    Whole,
    HungUp,
}

/// Discovery: answers whole lists at once and watches when there is news.
pub struct Discovery {
    pub host: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Listens on a free port until the process ends.
    pub fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery { host: listener.local_addr()?, shared: Arc::default() };
        let shared = discovery.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                // A pilot that hangs up ends its call.
                std::thread::spawn(move || drop(answer(stream, &shared)));
            }
        });
        Ok(discovery)
    }

    /// Has the list say so of a server from now on.
    pub fn say(&self, id: &str, state: &str) {
        let mut held = self.shared.0.lock().expect("no thread panics");
        held.version += 1;
        let version = held.version;
        held.servers.insert(id.to_string(), (version, server(id, state)));
        self.shared.1.notify_all();
    }

    /// Puts an entry into the list as it is given; none takes it out without a word to those who watch.
    pub fn put(&self, id: &str, entry: Option<Value>) {
        let mut held = self.shared.0.lock().expect("no thread panics");
        match entry {
            Some(entry) => {
                held.version += 1;
                let version = held.version;
                held.servers.insert(id.to_string(), (version, entry));
            }
            None => drop(held.servers.remove(id)),
        }
        self.shared.1.notify_all();
    }

    /// Forgets what was told under which version.
    pub fn forget_versions(&self) {
        let mut held = self.shared.0.lock().expect("no thread panics");
        held.forgot = true;
        self.shared.1.notify_all();
    }

    /// Has versions start anew, with these servers.
    pub fn count_anew(&self, servers: &[(&str, &str)]) {
        let mut held = self.shared.0.lock().expect("no thread panics");
        held.version = 1;
        let entries = servers.iter().map(|(id, state)| (id.to_string(), (1, server(id, state))));
        held.servers = entries.collect();
        self.shared.1.notify_all();
    }

    /// Spoils the next answers, each in its way, and waits until they were asked for; false where they are
    /// not `within` that.
    pub fn spoil(&self, ways: &[Spoilt], within: Duration) -> bool {
        let mut held = self.shared.0.lock().expect("no thread panics");
        held.spoilt.extend(ways);
        // Whoever waits for news gets the first of them.
        held.version += 1;
        self.is_spoilt(held, within)
    }

    /// Has the list say so of a server, and spoils the answer that tells it first.
    pub fn spoil_next(&self, way: Spoilt, id: &str, state: &str, within: Duration) -> bool {
        let mut held = self.shared.0.lock().expect("no thread panics");
        held.version += 1;
        let version = held.version;
        held.servers.insert(id.to_string(), (version, server(id, state)));
        held.spoilt.push_back(way);
        self.is_spoilt(held, within)
    }

    fn is_spoilt(&self, held: MutexGuard<State>, within: Duration) -> bool {
        self.shared.1.notify_all();
        let left = |state: &mut State| !state.spoilt.is_empty();
        let (_held, late) = self.shared.1.wait_timeout_while(held, within, left).expect("no thread panics");
        !late.timed_out()
    }

    /// Calls so far, and connections that they came on.
    pub fn calls(&self) -> (usize, usize) {
        let held = self.shared.0.lock().expect("no thread panics");
        (held.calls.len(), held.connections)
    }

    /// Waits for a call whose path has `part` in it; false where none comes `within` that.
    pub fn is_asked(&self, part: &str, within: Duration) -> bool {
        let held = self.shared.0.lock().expect("no thread panics");
        let none = |state: &mut State| !state.calls.iter().any(|call| call.contains(part));
        let (_held, late) = self.shared.1.wait_timeout_while(held, within, none).expect("no thread panics");
        !late.timed_out()
    }
}

/// Answers one call after the other on a connection.
fn answer(stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    shared.0.lock().expect("no thread panics").connections += 1;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut header = String::new();
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        let number = |key: &str| {
            let value = first.split(key).nth(1)?.split(['&', ' ']).next()?;
            value.parse::<u64>().ok()
        };
        let mut held = shared.0.lock().expect("no thread panics");
        held.calls.push(first.clone());
        shared.1.notify_all();
        let index = number("index=");
        if let (Some(index), Some(wait)) = (index, number("wait=")) {
            let until = Duration::from_millis(wait);
            let old = |state: &mut State| state.version <= index && state.spoilt.is_empty() && !state.forgot;
            held = shared.1.wait_timeout_while(held, until, old).expect("no thread panics").0;
        }
        held.forgot &= index.is_some();
        if held.forgot {
            drop(held);
            (&stream).write_all(b"HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        let spoilt = held.spoilt.pop_front();
        shared.1.notify_all();
        let index = index.filter(|_| !matches!(spoilt, Some(Spoilt::Whole)));
        let news = held.servers.values().filter(|(version, _)| index.is_none_or(|index| *version > index));
        let mut servers: Vec<Value> = news.map(|(_, server)| server.clone()).collect();
        if let Some(Spoilt::Odd) = spoilt {
            servers.iter_mut().for_each(|server| server["state"] = json!(7));
        }
        let body = match spoilt {
            Some(Spoilt::NoList) => json!({"servers": "all"}),
            Some(Spoilt::Older) => json!({"version": 0, "full": true, "servers": []}),
            _ => json!({"version": held.version, "full": index.is_none(), "servers": servers}),
        };
        drop(held);
        let body = body.to_string();
        let told = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        match spoilt {
            Some(Spoilt::HungUp) => return Ok(()),
            Some(Spoilt::Silent) => return reader.read_line(&mut first).map(drop),
            Some(Spoilt::SilentInHead | Spoilt::SilentInBody) => {
                let head = told.len() - body.len();
                let some =
                    if matches!(spoilt, Some(Spoilt::SilentInHead)) { head / 2 } else { told.len() - 2 };
                (&stream).write_all(&told.as_bytes()[..some])?;
                return reader.read_line(&mut first).map(drop);
            }
            Some(Spoilt::Cut) => return (&stream).write_all(&told.as_bytes()[..told.len() - body.len() / 2]),
            _ => (&stream).write_all(told.as_bytes())?,
        }
    }
}

/// Whoever dials a pilot: a proxy, a collector or a stranger.
pub struct Peer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// What a proxy holds: its lines, by the server's id.
    pub table: BTreeMap<String, f64>,
    /// Marks that came.
    pub marks: Vec<u64>,
}

impl Peer {
    /// Dials; no read waits longer than `patience`.
    pub fn dial(pilot: SocketAddr, patience: Duration) -> io::Result<Peer> {
        let stream = TcpStream::connect(pilot)?;
        stream.set_read_timeout(Some(patience))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Peer { stream, reader, table: BTreeMap::new(), marks: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Says that nothing more will be sent.
    pub fn half_close(&mut self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    pub fn say(&mut self, message: Value) -> io::Result<()> {
        self.send(format!("{message}\n").as_bytes())
    }

    /// The next message; none at the end of the connection. Errors: none came in time, or it is no JSON.
    pub fn hear(&mut self) -> io::Result<Option<Value>> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Ok(None),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(e),
            Ok(_) => Ok(Some(serde_json::from_str(&line)?)),
        }
    }

    /// Hears orders, and applies them, until the table is as wanted; false where the connection ends or
    /// `within` is over before.
    pub fn holds(
        &mut self,
        within: Duration,
        mut wanted: impl FnMut(&BTreeMap<String, f64>) -> bool,
    ) -> bool {
        let begun = Instant::now();
        while !wanted(&self.table) {
            match self.hear() {
                Ok(Some(order)) if begun.elapsed() < within => self.apply(&order),
                _ => return false,
            }
        }
        true
    }

    fn apply(&mut self, order: &Value) {
        if order["full"] == true {
            self.table.clear();
        }
        for line in order["endpoints"].as_array().into_iter().flatten() {
            let (Some(id), Some(weight)) = (line[0].as_str(), line[1].as_f64()) else { continue };
            self.table.insert(id.to_string(), weight);
        }
        self.table.retain(|_, weight| *weight > 0.0);
        self.marks.extend(order["nonce_out"].as_u64());
    }
}
