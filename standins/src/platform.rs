//! A fake of the operators' platform for tests on loopback: the discovery service, and clients that connect to a
//! pilot. It uses blocking sockets and one thread per connection.

use crate::pieces::{read_request, response, Pieces};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Shortest time between SIGTERM and SIGKILL that the platform's documentation allows for a pilot.
pub const MIN_TERMINATION_GRACE: Duration = Duration::from_millis(700);

/// Returns the list entry of a server in zone `a`.
pub fn server_entry(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "127.0.0.1:9", "zone": "a", "kind": "m2", "cell": 3, "state": state,
           "weight": 1.0, "started_ms": 0})
}

#[derive(Default)]
struct State {
    version: u64,
    /// Entries by server id, with the version that last changed each.
    servers: BTreeMap<String, (u64, Value)>,
    requests: Vec<String>,
    connections: usize,
    /// Incremental requests are refused with status 410 until a full list has been requested.
    expired: bool,
    /// Faults of the next responses, in order.
    faults: VecDeque<ResponseFault>,
    /// How responses without a fault are sent; at once if `None`.
    pieces: Option<Pieces>,
}

/// A fault in a response of the discovery service.
#[derive(Clone, Copy, Debug)]
pub enum ResponseFault {
    /// The connection closes after half of the body.
    Truncated,
    /// `servers` is not a list.
    InvalidServers,
    /// An empty list of an old version.
    StaleVersion,
    /// No response; the connection stays open.
    NoResponse,
    /// Half of the headers, then nothing; the connection stays open.
    StalledHeaders,
    /// An incomplete body, then nothing; the connection stays open.
    StalledBody,
    /// Entries whose `state` is not one of the defined values.
    UnknownState,
    /// The full list, also for an incremental request.
    FullList,
    /// The connection closes without a response.
    Closed,
}

/// The discovery service: full lists are returned at once, incremental requests wait for a change.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Listens on a free port until the process ends.
    pub fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery { address: listener.local_addr()?, shared: Arc::default() };
        let shared = discovery.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                // An error only means that the pilot closed the connection.
                std::thread::spawn(move || drop(serve_connection(stream, &shared)));
            }
        });
        Ok(discovery)
    }

    /// Lists a server with the given state.
    pub fn set_state(&self, id: &str, state: &str) {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        shared.version += 1;
        let version = shared.version;
        shared.servers.insert(id.to_string(), (version, server_entry(id, state)));
        self.shared.1.notify_all();
    }

    /// Inserts a list entry as it is. `None` removes the entry without a new version, so that incremental requests
    /// don't see the removal.
    pub fn set_entry(&self, id: &str, entry: Option<Value>) {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        match entry {
            Some(entry) => {
                shared.version += 1;
                let version = shared.version;
                shared.servers.insert(id.to_string(), (version, entry));
            }
            None => drop(shared.servers.remove(id)),
        }
        self.shared.1.notify_all();
    }

    /// Refuses incremental requests with status 410 until a full list has been requested.
    pub fn expire_versions(&self) {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        shared.expired = true;
        self.shared.1.notify_all();
    }

    /// Restarts the version count at 1, with these servers and states.
    pub fn reset_versions(&self, servers: &[(&str, &str)]) {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        shared.version = 1;
        let entries = servers.iter().map(|(id, state)| (id.to_string(), (1, server_entry(id, state))));
        shared.servers = entries.collect();
        self.shared.1.notify_all();
    }

    /// Sends all further responses in pieces.
    pub fn send_in_pieces(&self, pieces: Pieces) {
        self.shared.0.lock().expect("no thread panics").pieces = Some(pieces);
    }

    /// Applies one fault to each of the next responses.
    pub fn queue_faults(&self, faults: &[ResponseFault]) {
        self.shared.0.lock().expect("no thread panics").faults.extend(faults);
    }

    /// Applies one fault to each of the next responses and waits until all are used. Returns false on a timeout.
    pub fn inject_faults(&self, faults: &[ResponseFault], timeout: Duration) -> bool {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        shared.faults.extend(faults);
        // A pending incremental request is answered at once, with the first fault.
        shared.version += 1;
        self.wait_for_faults(shared, timeout)
    }

    /// Lists a server with the given state and applies a fault to the first response that contains it.
    pub fn set_state_with_fault(
        &self,
        fault: ResponseFault,
        id: &str,
        state: &str,
        timeout: Duration,
    ) -> bool {
        let mut shared = self.shared.0.lock().expect("no thread panics");
        shared.version += 1;
        let version = shared.version;
        shared.servers.insert(id.to_string(), (version, server_entry(id, state)));
        shared.faults.push_back(fault);
        self.wait_for_faults(shared, timeout)
    }

    fn wait_for_faults(&self, shared: MutexGuard<State>, timeout: Duration) -> bool {
        self.shared.1.notify_all();
        let pending = |state: &mut State| !state.faults.is_empty();
        let (_shared, result) =
            self.shared.1.wait_timeout_while(shared, timeout, pending).expect("no thread panics");
        !result.timed_out()
    }

    /// Returns the number of requests so far, and of connections.
    pub fn request_counts(&self) -> (usize, usize) {
        let shared = self.shared.0.lock().expect("no thread panics");
        (shared.requests.len(), shared.connections)
    }

    /// Waits for a request whose first line contains `part`. Returns false on a timeout.
    pub fn wait_for_request(&self, part: &str, timeout: Duration) -> bool {
        let shared = self.shared.0.lock().expect("no thread panics");
        let none = |state: &mut State| !state.requests.iter().any(|request| request.contains(part));
        let (_shared, result) =
            self.shared.1.wait_timeout_while(shared, timeout, none).expect("no thread panics");
        !result.timed_out()
    }
}

/// Answers the requests of a connection one after another.
fn serve_connection(stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    shared.0.lock().expect("no thread panics").connections += 1;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let Some(mut request_line) = read_request(&mut reader)? else { return Ok(()) };
        let number = |key: &str| {
            let value = request_line.split(key).nth(1)?.split(['&', ' ']).next()?;
            value.parse::<u64>().ok()
        };
        let mut state = shared.0.lock().expect("no thread panics");
        state.requests.push(request_line.clone());
        shared.1.notify_all();
        let index = number("index=");
        if let (Some(index), Some(wait)) = (index, number("wait=")) {
            let timeout = Duration::from_millis(wait);
            let unchanged =
                |state: &mut State| state.version <= index && state.faults.is_empty() && !state.expired;
            state = shared.1.wait_timeout_while(state, timeout, unchanged).expect("no thread panics").0;
        }
        state.expired &= index.is_some();
        if state.expired {
            drop(state);
            (&stream).write_all(b"HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        let fault = state.faults.pop_front();
        shared.1.notify_all();
        let index = index.filter(|_| !matches!(fault, Some(ResponseFault::FullList)));
        let changed =
            state.servers.values().filter(|(version, _)| index.is_none_or(|index| *version > index));
        let mut servers: Vec<Value> = changed.map(|(_, server)| server.clone()).collect();
        if let Some(ResponseFault::UnknownState) = fault {
            servers.iter_mut().for_each(|server| server["state"] = json!(7));
        }
        let body = match fault {
            Some(ResponseFault::InvalidServers) => json!({"servers": "all"}),
            Some(ResponseFault::StaleVersion) => json!({"version": 0, "full": true, "servers": []}),
            _ => json!({"version": state.version, "full": index.is_none(), "servers": servers}),
        };
        let pieces = state.pieces.unwrap_or(Pieces::ONE);
        drop(state);
        let body = body.to_string();
        let response = response(&body);
        let headers = response.len() - body.len();
        match fault {
            Some(ResponseFault::Closed) => return Ok(()),
            Some(ResponseFault::NoResponse) => return reader.read_line(&mut request_line).map(drop),
            Some(ResponseFault::StalledHeaders | ResponseFault::StalledBody) => {
                let sent = match fault {
                    Some(ResponseFault::StalledHeaders) => headers / 2,
                    _ => response.len() - 2,
                };
                (&stream).write_all(&response.as_bytes()[..sent])?;
                return reader.read_line(&mut request_line).map(drop);
            }
            Some(ResponseFault::Truncated) => {
                return (&stream).write_all(&response.as_bytes()[..response.len() - body.len() / 2])
            }
            _ => pieces.send(&stream, response.as_bytes())?,
        }
    }
}

/// A client of a pilot: a proxy, a collector or an unknown client.
pub struct Peer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Weights by server id, as the received orders leave them.
    pub table: BTreeMap<String, f64>,
    /// The marks of the received orders.
    pub marks: Vec<u64>,
}

impl Peer {
    /// Connects to a pilot, with a read timeout.
    pub fn dial(pilot: SocketAddr, timeout: Duration) -> io::Result<Peer> {
        let stream = TcpStream::connect(pilot)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Peer { stream, reader, table: BTreeMap::new(), marks: Vec::new() })
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Closes the sending side of the connection.
    pub fn half_close(&mut self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    pub fn send_message(&mut self, message: Value) -> io::Result<()> {
        self.send(format!("{message}\n").as_bytes())
    }

    /// Reads the next message; `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error on a timeout and for a line that is not JSON.
    pub fn receive(&mut self) -> io::Result<Option<Value>> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Ok(None),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => Ok(None),
            Err(e) => Err(e),
            Ok(_) => Ok(Some(serde_json::from_str(&line)?)),
        }
    }

    /// Applies received orders until the table satisfies a condition. Returns false when the connection ends or the
    /// timeout passes before.
    pub fn wait_for_table(
        &mut self,
        timeout: Duration,
        mut condition: impl FnMut(&BTreeMap<String, f64>) -> bool,
    ) -> bool {
        let start = Instant::now();
        while !condition(&self.table) {
            match self.receive() {
                Ok(Some(order)) if start.elapsed() < timeout => self.apply(&order),
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
