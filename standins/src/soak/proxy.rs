//! Clients of a run: proxies that follow their orders and ask all the while, collectors, and a crowd of strangers.

use super::plan::{Plan, RATE};
use super::record::{Connection, Ending, Event, Life, Recorder, Table};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Between two requests on a connection.
const ASK_EVERY: Duration = Duration::from_millis(40);
/// Between two reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Before another try to dial.
const DIAL_AGAIN: Duration = Duration::from_millis(5);
/// Longest wait for bytes in one turn.
const TURN: Duration = Duration::from_millis(5);
/// ms that an attempt takes.
const ANSWERED_AFTER: f64 = 20.0;

/// What all clients of a run share.
pub struct Shared {
    pub plan: Plan,
    pub recorder: Recorder,
    /// Where each pilot listens, and its present process.
    pub pilots: Vec<(SocketAddr, AtomicUsize)>,
    pub over: AtomicBool,
    connections: AtomicUsize,
    /// What proxies bring, by the pilot that they have joined: table and admitted part.
    joined: Mutex<BTreeMap<u16, (usize, Table, f64)>>,
}

impl Shared {
    pub fn new(plan: Plan, recorder: Recorder, hosts: Vec<SocketAddr>) -> Arc<Shared> {
        let pilots = hosts.into_iter().map(|host| (host, AtomicUsize::new(Life::MAX))).collect();
        let (over, connections) = (AtomicBool::new(false), AtomicUsize::new(0));
        Arc::new(Shared { plan, recorder, pilots, over, connections, joined: Mutex::default() })
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn life(&self, pilot: usize) -> Life {
        self.pilots[pilot].1.load(Ordering::SeqCst)
    }
}

/// A connection, read without losing what has come of a line.
struct Stream {
    stream: TcpStream,
    begun: Vec<u8>,
    /// Requests that were answered.
    answers: usize,
    number: Connection,
    life: Life,
    shared: Arc<Shared>,
}

impl Stream {
    /// Dials a pilot. Errors: nobody listens there.
    fn dial(shared: &Arc<Shared>, pilot: usize) -> io::Result<Stream> {
        let life = shared.life(pilot);
        let stream = TcpStream::connect(shared.pilots[pilot].0)?;
        stream.set_read_timeout(Some(TURN))?;
        stream.set_nodelay(true)?;
        let number = shared.connections.fetch_add(1, Ordering::SeqCst);
        Ok(Stream { stream, begun: Vec::new(), answers: 0, number, life, shared: shared.clone() })
    }

    fn say(&mut self, message: &Value) -> io::Result<()> {
        self.stream.write_all(format!("{message}\n").as_bytes())
    }

    /// Asks for a sign of life. It is noted before it is sent, as the answer may be quicker than the note.
    fn ask(&mut self) -> io::Result<()> {
        self.shared.recorder.note(Event::Asked { connection: self.number, life: self.life });
        self.say(&json!({"msg": "hb"}))
    }

    /// Messages that have come within a turn; none at the end of the connection.
    fn hear(&mut self) -> Option<Vec<Value>> {
        let mut buffer = [0; 1 << 14];
        match self.stream.read(&mut buffer) {
            Ok(0) => {
                // What arrived after the other side had closed was not read: then the system tells of a reset.
                let unread = matches!(self.stream.take_error(), Ok(Some(_)) | Err(_));
                self.ended(if unread { Ending::Reset } else { Ending::Closed });
                return None;
            }
            Ok(n) => self.begun.extend(&buffer[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => {
                self.ended(Ending::Reset);
                return None;
            }
        }
        let mut messages = Vec::new();
        while let Some(end) = self.begun.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.begun.drain(..=end).collect();
            let message: Value = serde_json::from_slice(&line).unwrap_or_default();
            if message["msg"] == "hb_ok" {
                self.answers += 1;
                self.shared.recorder.note(Event::Answered { connection: self.number });
            } else {
                messages.push(message);
            }
        }
        Some(messages)
    }

    fn ended(&self, ending: Ending) {
        self.shared.recorder.note(Event::Ended { connection: self.number, ending });
    }
}

/// A proxy's table and levels, as its orders leave them.
#[derive(Default)]
struct Held {
    table: Table,
    /// By class.
    levels: BTreeMap<String, f64>,
}

impl Held {
    /// Takes in an order; returns the mark that it is to answer.
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
            let named = order["routes"].as_array().cloned();
            let named = named.unwrap_or_else(|| vec![json!("lookup"), json!("order")]);
            for class in named.iter().filter_map(Value::as_str) {
                self.levels.insert(class.to_string(), level);
            }
        }
        order["nonce_out"].as_u64()
    }

    /// Part of its requests that it lets in: all are of the first class.
    fn admitted(&self) -> f64 {
        self.levels.get("lookup").copied().unwrap_or(1.0)
    }
}

/// Plays a proxy until the run is over: joins one pilot after the other, whenever a stream ends.
pub fn proxy(shared: Arc<Shared>, number: u16) {
    let mut chance = fastrand::Rng::with_seed(shared.plan.seed ^ u64::from(number) << 32);
    let mut held = Held::default();
    let mut pilot = usize::from(number) % shared.pilots.len();
    let mut fresh = true;
    while !shared.is_over() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let attach = json!({"msg": "attach", "proxy": number, "zone": "a",
                                "weight": shared.plan.told_rate(number), "fresh": fresh});
            fresh = false;
            shared.recorder.note(Event::Joined { proxy: number, life: stream.life });
            if stream.say(&attach).is_ok() {
                serve(&shared, &mut stream, number, pilot, &mut held);
            }
            shared.joined.lock().expect("no thread panics").remove(&number);
            shared.recorder.note(Event::Left { proxy: number });
        }
        pilot = chance.usize(..shared.pilots.len());
        std::thread::sleep(DIAL_AGAIN);
    }
}

/// Follows the orders of a stream, and asks and reports on it, until it ends or the run is over.
fn serve(shared: &Arc<Shared>, stream: &mut Stream, number: u16, pilot: usize, held: &mut Held) {
    let (mut asked_at, mut reported_at) = (Instant::now(), Instant::now());
    while !shared.is_over() {
        let Some(orders) = stream.hear() else { return };
        for order in &orders {
            let mark = held.apply(order);
            let (table, admitted) = (held.table.clone(), held.admitted());
            shared.joined.lock().expect("no thread panics").insert(number, (pilot, table.clone(), admitted));
            shared.recorder.note(Event::Holding { proxy: number, table, admitted });
            if let Some(mark) = mark {
                // One that can't be written shows when it is heard next.
                let _ = stream.say(&json!({"msg": "done", "proxy": number, "mark": mark, "took_ms": 1.0}));
            }
        }
        if asked_at.elapsed() >= ASK_EVERY {
            asked_at = Instant::now();
            let _ = stream.ask();
        }
        if reported_at.elapsed() >= REPORT_EVERY {
            reported_at = Instant::now();
            let _ = stream.say(&json!({"msg": "client_stats", "proxy": number, "class": "lookup",
                                       "tries": RATE, "failed": 0, "span_ms": 1000.0}));
        }
    }
    stream.ended(Ending::Ours);
}

/// Tells a pilot once a second what its proxies met at servers, which answer all that they are sent.
pub fn collector(shared: Arc<Shared>, pilot: usize) {
    while !shared.is_over() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let _ = stream.say(&json!({"msg": "telemetry", "zone": "a"}));
            let mut reported_at = Instant::now();
            while !shared.is_over() && stream.hear().is_some() {
                if reported_at.elapsed() < REPORT_EVERY {
                    continue;
                }
                reported_at = Instant::now();
                for (server, tries) in attempts(&shared, pilot) {
                    let _ = stream
                        .say(&json!({"msg": "upstream_stats", "zone": "a", "server": server, "tries": tries,
                                               "failed": 0, "mean_ms": ANSWERED_AFTER, "span_ms": 1000.0}));
                }
            }
        }
        std::thread::sleep(DIAL_AGAIN);
    }
}

/// Requests a second that a pilot's proxies send to each server.
fn attempts(shared: &Shared, pilot: usize) -> BTreeMap<String, f64> {
    let mut attempts = BTreeMap::new();
    for (own, table, admitted) in shared.joined.lock().expect("no thread panics").values() {
        let all: f64 = table.values().sum();
        for (server, weight) in table.iter().filter(|_| *own == pilot && all > 0.0) {
            *attempts.entry(server.clone()).or_insert(0.0) += RATE * admitted * weight / all;
        }
    }
    attempts
}

/// Plays a stranger, who dials again as soon as it is sent away.
pub fn stranger(shared: Arc<Shared>, number: usize) {
    let pilot = number % shared.pilots.len();
    while !shared.is_over() {
        if let Ok(mut stream) = Stream::dial(&shared, pilot) {
            let _ = match number % 4 {
                0 => Ok(()),
                1 => stream.say(&json!("garbage")),
                2 => stream.stream.write_all(b"{\"msg\":\"attach\",\"pro"),
                _ => stream.ask(),
            };
            while stream.hear().is_some() && !shared.is_over() {}
        }
        std::thread::sleep(DIAL_AGAIN);
    }
}

/// Dials a process until it answers a heartbeat, and notes when it did.
pub fn wait_until_ready(shared: &Arc<Shared>, pilot: usize, life: Life) {
    let waits = || !shared.is_over() && shared.life(pilot) == life;
    while waits() {
        if let Ok(mut stream) = Stream::dial(shared, pilot) {
            let _ = stream.ask();
            while waits() && stream.hear().is_some() {
                if stream.answers > 0 {
                    shared.recorder.note(Event::Ready { life });
                    stream.ended(Ending::Ours);
                    return;
                }
            }
        }
        std::thread::sleep(DIAL_AGAIN);
    }
}
