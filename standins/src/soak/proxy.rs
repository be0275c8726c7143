//! Clients of a run: proxies, which apply their orders and send heartbeats continuously, collectors and unknown
//! clients.

use super::plan::{Plan, RATE};
use super::record::{Connection, Ending, Event, ProcessNumber, Recorder, Table};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval of heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(5);
/// How long to wait for the reset in answer to a write after the close of a connection; under 1 s.
const RESET_TIMEOUT: Duration = Duration::from_millis(50);
/// Response time of servers in collectors' reports, in ms.
const RESPONSE_TIME_MS: f64 = 20.0;

/// State that all clients of a run share.
pub struct Shared {
    pub plan: Plan,
    pub recorder: Recorder,
    /// The address of each pilot and the number of its current process.
    pub pilots: Vec<(SocketAddr, AtomicUsize)>,
    /// Set at the end of the run.
    pub finished: AtomicBool,
    connections: AtomicUsize,
    /// Attached proxies, by number: the pilot, the table and the admitted share of requests.
    attached: Mutex<BTreeMap<u16, (usize, Table, f64)>>,
}

impl Shared {
    pub fn new(plan: Plan, recorder: Recorder, hosts: Vec<SocketAddr>) -> Arc<Shared> {
        let pilots = hosts.into_iter().map(|host| (host, AtomicUsize::new(ProcessNumber::MAX))).collect();
        let (finished, connections) = (AtomicBool::new(false), AtomicUsize::new(0));
        Arc::new(Shared { plan, recorder, pilots, finished, connections, attached: Mutex::default() })
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    fn process_number(&self, pilot: usize) -> ProcessNumber {
        self.pilots[pilot].1.load(Ordering::SeqCst)
    }
}

/// A connection to a pilot that keeps incomplete lines between reads.
struct Stream {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of answered heartbeats.
    answers: usize,
    /// The last message was a heartbeat.
    last_is_heartbeat: bool,
    /// The last write has failed.
    write_failed: bool,
    number: Connection,
    process: ProcessNumber,
    shared: Arc<Shared>,
}

impl Stream {
    /// Connects to a pilot.
    fn dial(shared: &Arc<Shared>, pilot: usize) -> io::Result<Stream> {
        let process = shared.process_number(pilot);
        let stream = TcpStream::connect(shared.pilots[pilot].0)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let number = shared.connections.fetch_add(1, Ordering::SeqCst);
        Ok(Stream {
            stream,
            buffer: Vec::new(),
            answers: 0,
            last_is_heartbeat: false,
            write_failed: false,
            number,
            process,
            shared: shared.clone(),
        })
    }

    /// Waits until one of these events has occurred on the connection. Returns false on a timeout.
    fn wait_for(&self, events: PollFlags, timeout: Duration) -> bool {
        let mut sockets = [PollFd::new(&self.stream, events)];
        let timeout = Timespec { tv_sec: 0, tv_nsec: timeout.as_nanos() as i64 };
        // `ERR` and `HUP` are reported whether they were asked for or not.
        poll(&mut sockets, Some(&timeout)).is_ok() && sockets[0].revents().intersects(events)
    }

    /// Whether the pilot has closed its side of the connection.
    fn is_closed_by_pilot(&self) -> bool {
        self.wait_for(PollFlags::RDHUP, Duration::ZERO)
    }

    /// Sends a message, unless the pilot has closed the connection.
    fn send(&mut self, message: &Value) -> io::Result<()> {
        match self.is_closed_by_pilot() {
            true => Err(ErrorKind::BrokenPipe.into()),
            false => self.write(message, false),
        }
    }

    /// Sends a heartbeat, unless the pilot has closed the connection. It is recorded first, as the answer may arrive
    /// before this thread continues.
    fn send_heartbeat(&mut self) -> io::Result<()> {
        if self.is_closed_by_pilot() {
            return Err(ErrorKind::BrokenPipe.into());
        }
        self.shared.recorder.record(Event::Asked { connection: self.number, life: self.process });
        self.write(&json!({"msg": "hb"}), true)
    }

    fn write(&mut self, message: &Value, is_heartbeat: bool) -> io::Result<()> {
        let written = self.stream.write_all(format!("{message}\n").as_bytes());
        (self.last_is_heartbeat, self.write_failed) = (is_heartbeat, written.is_err());
        written
    }

    /// Records the end of a connection that the pilot has closed.
    ///
    /// What had arrived before was read, or the connection would have been reset instead. If the last write came after the
    /// close, it was answered with a reset; there can be one such write, between the look for the close and the write.
    fn record_close(&self) {
        let is_reset = || self.wait_for(PollFlags::ERR | PollFlags::HUP, RESET_TIMEOUT);
        if self.last_is_heartbeat && (self.write_failed || is_reset()) {
            self.shared.recorder.record(Event::NotRead { connection: self.number });
        }
        self.record_end(Ending::Closed);
    }

    /// Returns the messages received within the read timeout, without heartbeat answers; `None` at the end of the
    /// connection.
    fn receive(&mut self) -> Option<Vec<Value>> {
        let mut chunk = [0; 1 << 14];
        match self.stream.read(&mut chunk) {
            Ok(0) => {
                self.record_close();
                return None;
            }
            Ok(n) => self.buffer.extend(&chunk[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => {
                self.record_end(Ending::Reset);
                return None;
            }
        }
        let mut messages = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let message: Value = serde_json::from_slice(&line).unwrap_or_default();
            if message["msg"] == "hb_ok" {
                self.answers += 1;
                self.shared.recorder.record(Event::Answered { connection: self.number });
            } else {
                messages.push(message);
            }
        }
        Some(messages)
    }

    fn record_end(&self, ending: Ending) {
        self.shared.recorder.record(Event::Ended { connection: self.number, ending });
    }
}

/// A proxy's table and admission levels, as its orders leave them.
#[derive(Default)]
struct ProxyState {
    table: Table,
    /// Admission levels by class.
    levels: BTreeMap<String, f64>,
}

impl ProxyState {
    /// Applies an order; returns its mark, which the proxy acknowledges.
    fn apply(&mut self, order: &Value) -> Option<u64> {
        if order["full"] == true {
            self.table.clear();
            self.levels.clear();
        }
        for entry in order["endpoints"].as_array().into_iter().flatten() {
            if let (Some(id), Some(weight)) = (entry[0].as_str(), entry[1].as_f64()) {
                self.table.insert(id.to_string(), weight);
            }
        }
        self.table.retain(|_, weight| *weight > 0.0);
        if let Some(level) = order["admit"].as_f64() {
            let classes = order["routes"].as_array().cloned();
            let classes = classes.unwrap_or_else(|| vec![json!("lookup"), json!("order")]);
            for class in classes.iter().filter_map(Value::as_str) {
                self.levels.insert(class.to_string(), level);
            }
        }
        order["nonce_out"].as_u64()
    }

    /// Share of its requests that it admits; all are of the first class.
    fn admitted(&self) -> f64 {
        self.levels.get("lookup").copied().unwrap_or(1.0)
    }
}

/// Runs a proxy until the run is finished. Whenever its connection ends, it attaches to a randomly chosen pilot.
pub fn run_proxy(shared: Arc<Shared>, number: u16) {
    let mut rng = fastrand::Rng::with_seed(shared.plan.seed ^ u64::from(number) << 32);
    let mut state = ProxyState::default();
    let mut pilot = usize::from(number) % shared.pilots.len();
    let mut fresh = true;
    while !shared.is_finished() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let attach = json!({"msg": "attach", "proxy": number, "zone": "a",
                                "weight": shared.plan.reported_rate(number), "fresh": fresh});
            fresh = false;
            shared.recorder.record(Event::Joined { proxy: number, life: stream.process });
            if stream.send(&attach).is_ok() {
                follow_orders(&shared, &mut stream, number, pilot, &mut state);
            }
            shared.attached.lock().expect("no thread panics").remove(&number);
            shared.recorder.record(Event::Left { proxy: number });
        }
        pilot = rng.usize(..shared.pilots.len());
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// Applies orders and sends heartbeats and reports until the connection ends or the run is finished.
fn follow_orders(
    shared: &Arc<Shared>,
    stream: &mut Stream,
    number: u16,
    pilot: usize,
    state: &mut ProxyState,
) {
    let (mut heartbeat_at, mut reported_at) = (Instant::now(), Instant::now());
    while !shared.is_finished() {
        let Some(orders) = stream.receive() else { return };
        for order in &orders {
            let mark = state.apply(order);
            let (table, admitted) = (state.table.clone(), state.admitted());
            shared
                .attached
                .lock()
                .expect("no thread panics")
                .insert(number, (pilot, table.clone(), admitted));
            shared.recorder.record(Event::Holding { proxy: number, table, admitted });
            if let Some(mark) = mark {
                // A write error is noticed by the next read.
                let _ = stream.send(&json!({"msg": "done", "proxy": number, "mark": mark, "took_ms": 1.0}));
            }
        }
        if heartbeat_at.elapsed() >= HEARTBEAT_INTERVAL {
            heartbeat_at = Instant::now();
            let _ = stream.send_heartbeat();
        }
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            let _ = stream.send(&json!({"msg": "client_stats", "proxy": number, "class": "lookup",
                                       "tries": RATE, "failed": 0, "span_ms": 1000.0}));
        }
    }
    stream.record_end(Ending::Ours);
}

/// Reports the requests of a pilot's proxies to it once a second, by server; no request fails.
pub fn run_collector(shared: Arc<Shared>, pilot: usize) {
    while !shared.is_finished() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let _ = stream.send(&json!({"msg": "telemetry", "zone": "a"}));
            let mut reported_at = Instant::now();
            while !shared.is_finished() && stream.receive().is_some() {
                if reported_at.elapsed() < REPORT_INTERVAL {
                    continue;
                }
                reported_at = Instant::now();
                for (server, tries) in request_rates(&shared, pilot) {
                    let report = json!({"msg": "upstream_stats", "zone": "a", "server": server, "tries": tries,
                                        "failed": 0, "mean_ms": RESPONSE_TIME_MS, "span_ms": 1000.0});
                    let _ = stream.send(&report);
                }
            }
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// Requests per second from a pilot's proxies to each server.
fn request_rates(shared: &Shared, pilot: usize) -> BTreeMap<String, f64> {
    let mut rates = BTreeMap::new();
    for (attached_to, table, admitted) in shared.attached.lock().expect("no thread panics").values() {
        let total: f64 = table.values().sum();
        for (server, weight) in table.iter().filter(|_| *attached_to == pilot && total > 0.0) {
            *rates.entry(server.clone()).or_insert(0.0) += RATE * admitted * weight / total;
        }
    }
    rates
}

/// Runs an unknown client, which connects again as soon as its connection ends. `number` selects what it sends.
pub fn run_unknown_client(shared: Arc<Shared>, number: usize) {
    let pilot = number % shared.pilots.len();
    while !shared.is_finished() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let _ = match number % 4 {
                0 => Ok(()),
                1 => stream.send(&json!("garbage")),
                2 => stream.stream.write_all(b"{\"msg\":\"attach\",\"pro"),
                _ => stream.send_heartbeat(),
            };
            while stream.receive().is_some() && !shared.is_finished() {}
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// Connects to a process until it answers a heartbeat, and records that it is ready.
pub fn wait_until_ready(shared: &Arc<Shared>, pilot: usize, process: ProcessNumber) {
    let waiting = || !shared.is_finished() && shared.process_number(pilot) == process;
    while waiting() {
        if let Ok(mut stream) = Stream::dial(shared, pilot) {
            let _ = stream.send_heartbeat();
            while waiting() && stream.receive().is_some() {
                if stream.answers > 0 {
                    shared.recorder.record(Event::Ready { life: process });
                    stream.record_end(Ending::Ours);
                    return;
                }
            }
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}
