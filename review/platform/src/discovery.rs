//! Discovery as the protocol page has it: the whole list, and watches for changes. Each pilot has an agent with an
//! address of its own, which notes what it has told that pilot and when.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    Removed,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Draining => "draining",
            State::Removed => "removed",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Listed {
    pub zone: String,
    pub kind: String,
    pub weight: f64,
    pub state: State,
    /// Seconds on the run's clock; `None` if its last start was long ago.
    pub started: Option<f64>,
    pub address: SocketAddr,
    version: u64,
}

/// What one pilot has been told about a server.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub state: State,
    /// Since when the pilot knows this state.
    pub at: f64,
    pub started: Option<f64>,
    /// Since when the pilot knows of this start.
    pub start_at: f64,
}

#[derive(Default)]
struct Inner {
    version: u64,
    list: BTreeMap<String, Listed>,
    told: Vec<BTreeMap<String, Told>>,
    /// Starts of each pilot. What is written to an earlier process is not told to the present one.
    starts: Vec<u64>,
}

pub struct Discovery {
    inner: Mutex<Inner>,
    changed: Condvar,
    epoch: Instant,
    /// Unix time of `epoch`, in ms.
    epoch_unix_ms: f64,
}

impl Discovery {
    pub fn new(epoch: Instant, pilots: usize) -> Arc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_secs_f64();
        Arc::new(Discovery {
            inner: Mutex::new(Inner {
                version: 1,
                told: vec![BTreeMap::new(); pilots],
                starts: vec![0; pilots],
                ..Inner::default()
            }),
            changed: Condvar::new(),
            epoch,
            epoch_unix_ms: (unix - epoch.elapsed().as_secs_f64()) * 1e3,
        })
    }

    fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64()
    }

    /// Puts a server into the list, or changes its entry, in a new version.
    pub fn put(&self, id: &str, entry: Listed) {
        self.put_all(vec![(id.to_string(), entry)]);
    }

    /// Puts several servers into the list in one version.
    pub fn put_all(&self, entries: Vec<(String, Listed)>) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        let version = inner.version;
        for (id, entry) in entries {
            inner.list.insert(id, Listed { version, ..entry });
        }
        self.changed.notify_all();
    }

    pub fn entry(zone: &str, kind: &str, weight: f64, started: Option<f64>, address: SocketAddr) -> Listed {
        let (zone, kind) = (zone.to_string(), kind.to_string());
        Listed { zone, kind, weight, state: State::Up, started, address, version: 0 }
    }

    /// Changes the state of servers in one version.
    pub fn set_states(&self, states: &[(String, State)]) {
        let entries = {
            let inner = self.inner.lock().unwrap();
            states
                .iter()
                .map(|(id, state)| (id.clone(), Listed { state: *state, ..inner.list[id].clone() }))
                .collect()
        };
        self.put_all(entries);
    }

    /// What a pilot has been told so far.
    pub fn told(&self, pilot: usize) -> BTreeMap<String, Told> {
        self.inner.lock().unwrap().told[pilot].clone()
    }

    /// Forgets what a pilot was told, as it starts anew, and returns its cached list as JSON.
    pub fn start_pilot(&self, pilot: usize, cached: bool) -> String {
        let mut inner = self.inner.lock().unwrap();
        inner.told[pilot].clear();
        inner.starts[pilot] += 1;
        if !cached {
            return r#"{"version":0,"full":true,"servers":[]}"#.to_string();
        }
        self.document(&inner, None)
    }

    fn document(&self, inner: &Inner, after: Option<u64>) -> String {
        let included = |entry: &&(&String, &Listed)| match after {
            None => entry.1.state != State::Removed,
            Some(after) => entry.1.version > after,
        };
        let servers: Vec<String> = inner.list.iter().collect::<Vec<_>>().iter().filter(included)
            .map(|(id, listed)| {
                let started = listed.started.map_or(0.0, |at| (self.epoch_unix_ms + at * 1e3).round());
                format!(
                    r#"{{"id":"{id}","addr":"{}","zone":"{}","kind":"{}","cell":0,"state":"{}","weight":{:?},"started_ms":{started}}}"#,
                    listed.address, listed.zone, listed.kind, listed.state.name(), listed.weight
                )
            })
            .collect();
        let full = after.is_none();
        format!(r#"{{"version":{},"full":{full},"servers":[{}]}}"#, inner.version, servers.join(","))
    }

    /// Serves the agent of a pilot at an address.
    pub fn serve(self: &Arc<Self>, pilot: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.answer_all(stream, pilot));
            }
        });
        Ok(address)
    }

    fn answer_all(&self, mut stream: TcpStream, pilot: usize) {
        let start = self.inner.lock().unwrap().starts[pilot];
        let mut input = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&input[..end]).to_string();
                input.drain(..end + 4);
                if self.answer(&mut stream, (pilot, start), &head).is_none() {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, (pilot, start): (usize, u64), head: &str) -> Option<()> {
        let path = head.split_whitespace().nth(1)?;
        let parameter = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let after = parameter("index");
        let until = Instant::now() + Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000));
        let mut inner = self.inner.lock().unwrap();
        while after.is_some_and(|after| inner.version <= after) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
        let body = self.document(&inner, after);
        let snapshot: Vec<(String, Listed)> =
            inner.list.iter().map(|(id, listed)| (id.clone(), listed.clone())).collect();
        drop(inner);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        if inner.starts[pilot] != start {
            return None;
        }
        let told = &mut inner.told[pilot];
        for (id, listed) in snapshot {
            let new = Told { state: listed.state, at: now, started: listed.started, start_at: now };
            told.entry(id)
                .and_modify(|old| {
                    // A server that is removed after it drained has bound the pilot since it drained.
                    if (old.state == State::Up) != (new.state == State::Up) {
                        old.at = now;
                    }
                    old.state = new.state;
                    if old.started != new.started {
                        (old.started, old.start_at) = (new.started, now);
                    }
                })
                .or_insert(new);
        }
        Some(())
    }
}
