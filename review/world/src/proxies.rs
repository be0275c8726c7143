//! Proxies: each follows its table, holds a stream to a pilot, and reports what it met.

use crate::channel::Channel;
use crate::json::Json;
use crate::record::{Random, Record};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct Table {
    lines: BTreeMap<String, f64>,
    /// By class: the level, as a share, and the way of trying again.
    levels: BTreeMap<String, (f64, u8)>,
    withdrawn: BTreeMap<String, bool>,
    /// By endpoint: its own tries there in a row that failed, and until when it keeps away.
    failed: BTreeMap<String, (u32, f64)>,
    /// Its own requests out at each endpoint.
    out: BTreeMap<String, u32>,
    /// By class: requests that it may let in, where levels are rates, as of a moment.
    tokens: BTreeMap<String, (f64, f64)>,
    /// The connection of the present stream.
    connection: Option<TcpStream>,
    fresh: bool,
}

/// How proxies of a deployment act by themselves.
#[derive(Clone, Copy)]
pub struct Habits {
    /// It draws two lines by weight and takes the one with fewer of its own requests out.
    pub two: bool,
    /// Levels are requests a second and not shares.
    pub rates: bool,
    /// Tries in a row that fail, after which it keeps away from an endpoint, and for how many seconds; 0 for never.
    pub ejects: u32,
    pub eject_for: f64,
    /// How often a client repeats a request that was refused or has failed, at once.
    pub client_repeats: u32,
}

pub struct Proxy {
    pub number: usize,
    pub habits: Habits,
    /// False while its process is dead.
    pub runs: AtomicBool,
    pub zone: String,
    pub rate: f64,
    /// The number of the present stream; 0 while there is none.
    stream: AtomicU64,
    table: Mutex<Table>,
    /// Tries since the last report: by endpoint, tries, failed and total ms of the answered ones.
    pub met: Mutex<BTreeMap<String, (u32, u32, f64)>>,
    /// Requests that came, by class, since the last report, and those that it could not serve.
    pub came: Mutex<BTreeMap<String, (u32, u32)>>,
    /// When the pilot wrote the messages to it.
    pub written: Mutex<Vec<f64>>,
    record: Record,
}

/// The addresses of endpoints by id.
pub type Endpoints = Mutex<BTreeMap<String, SocketAddr>>;

/// How a proxy looks for a pilot.
#[derive(Clone)]
pub struct Dialling {
    /// The pilots, its usual one first, with their channels and the lines that a message costs on top of its own.
    pub pilots: Vec<(SocketAddr, Channel, f64)>,
    /// Seconds from noticing a broken stream to the next dial.
    pub redial: (f64, f64),
}

impl Proxy {
    pub fn new(
        number: usize,
        zone: &str,
        rate: f64,
        habits: Habits,
        standing: &[String],
        record: &Record,
    ) -> Arc<Proxy> {
        let table = Table {
            lines: standing.iter().map(|id| (id.clone(), 1.0)).collect(),
            fresh: true,
            ..Table::default()
        };
        Arc::new(Proxy {
            number,
            habits,
            runs: AtomicBool::new(true),
            zone: zone.to_string(),
            rate,
            stream: AtomicU64::new(0),
            table: Mutex::new(table),
            met: Mutex::default(),
            came: Mutex::default(),
            written: Mutex::default(),
            record: record.clone(),
        })
    }

    pub fn is_on(&self, stream: u64) -> bool {
        self.stream.load(Ordering::Relaxed) == stream
    }

    /// Whether its table has a line for an endpoint.
    pub fn holds(&self, endpoint: &str) -> bool {
        self.table.lock().unwrap().lines.contains_key(endpoint)
    }

    /// Breaks the present stream, as a network does that resets it.
    pub fn reset(&self) {
        if let Some(connection) = self.table.lock().unwrap().connection.take() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn send(&self, message: &str) {
        if let Some(connection) = &self.table.lock().unwrap().connection {
            let mut connection = connection;
            let _ = connection.write_all(message.as_bytes());
        }
    }

    /// Applies a message, and answers its mark.
    pub fn apply(&self, stream: u64, parts: &[Json]) {
        if !self.is_on(stream) {
            return;
        }
        let mut table = self.table.lock().unwrap();
        let mut marks = Vec::new();
        for part in parts {
            if part.get("full").is_true() {
                table.lines.clear();
                table.levels.clear();
            }
            for line in part.get("endpoints").items() {
                let (Some(id), Some(weight)) = (line.items()[0].text(), line.items()[1].number()) else {
                    continue;
                };
                if weight > 0.0 {
                    table.lines.insert(id.to_string(), weight);
                } else {
                    table.lines.remove(id);
                }
            }
            if let Some(level) = part.get("admit").number() {
                let level = (level, part.get("policy").number().unwrap_or(1.0) as u8);
                match part.get("routes").items() {
                    [] => {
                        table.levels.clear();
                        table.levels.insert(String::new(), level);
                    }
                    routes => routes.iter().filter_map(Json::text).for_each(|class| {
                        table.levels.insert(class.to_string(), level);
                    }),
                }
            }
            for (key, out) in [("eject", true), ("restore", false)] {
                for id in part.get(key).items().iter().filter_map(Json::text) {
                    table.withdrawn.insert(id.to_string(), out);
                }
            }
            marks.extend(part.get("nonce_out").number());
        }
        table.fresh = false;
        let (lines, levels) = (&table.lines, &table.levels);
        self.record.line(&format!(
            "proxy {}: a message is applied, the table is now {lines:.4?}, levels {levels:?}",
            self.number
        ));
        drop(table);
        for mark in marks {
            self.send(&format!(
                "{{\"msg\":\"done\",\"proxy\":{},\"mark\":{mark},\"took_ms\":200.0}}\n",
                self.number
            ));
        }
    }

    /// Picks a line by weight, other than `but` and those that it keeps away from; `None` where there is none.
    fn pick(&self, but: Option<&str>, random: &mut Random) -> Option<String> {
        let (mut table, now) = (self.table.lock().unwrap(), self.record.now());
        let shut = |id: &str| {
            table.withdrawn.get(id) == Some(&true) || table.failed.get(id).is_some_and(|f| f.1 > now)
        };
        let open = table.lines.iter().filter(|(id, _)| Some(id.as_str()) != but && !shut(id));
        let open: Vec<(&String, f64)> = open.map(|(id, weight)| (id, *weight)).collect();
        let mut draw = || {
            let mut left = random.unit() * open.iter().map(|line| line.1).sum::<f64>();
            let found = open.iter().find(|line| {
                left -= line.1;
                left <= 0.0
            });
            found.or(open.last()).map(|line| line.0.clone())
        };
        let mut picked = draw()?;
        if self.habits.two {
            let (other, out) = (draw()?, |id: &String| table.out.get(id).copied().unwrap_or(0));
            if out(&other) < out(&picked) {
                picked = other;
            }
        }
        *table.out.entry(picked.clone()).or_default() += 1;
        Some(picked)
    }

    /// Notes how a try ended.
    fn tried(&self, id: &str, answered: bool, took_ms: f64) {
        let mut met = self.met.lock().unwrap();
        let entry = met.entry(id.to_string()).or_default();
        *entry =
            (entry.0 + 1, entry.1 + u32::from(!answered), entry.2 + if answered { took_ms } else { 0.0 });
        drop(met);
        let (mut table, now) = (self.table.lock().unwrap(), self.record.now());
        if let Some(out) = table.out.get_mut(id) {
            *out = out.saturating_sub(1);
        }
        let failed = table.failed.entry(id.to_string()).or_default();
        failed.0 = if answered { 0 } else { failed.0 + 1 };
        if self.habits.ejects > 0 && failed.0 >= self.habits.ejects && failed.1 < now {
            *failed = (0, now + self.habits.eject_for);
            self.record.line(&format!(
                "proxy {}: keeps away from {id} for {} s, after {} failures in a row",
                self.number, self.habits.eject_for, self.habits.ejects
            ));
        }
    }

    /// Whether the level lets a request of a class in, and the way of trying again.
    fn lets_in(&self, class: &str, random: &mut Random) -> (bool, u8) {
        let (mut table, now) = (self.table.lock().unwrap(), self.record.now());
        let Some((level, retry)) = table.levels.get(class).or(table.levels.get("")).copied() else {
            return (true, 1);
        };
        if !self.habits.rates {
            return (random.unit() < level, retry);
        }
        let tokens = table.tokens.entry(class.to_string()).or_insert((level, now));
        *tokens = ((tokens.0 + (now - tokens.1) * level).min(level.max(1.0)), now);
        let fits = tokens.0 >= 1.0;
        tokens.0 -= f64::from(u8::from(fits));
        (fits, retry)
    }

    /// Handles a request of a client, which repeats it at once if it was refused or has failed.
    pub fn request(&self, class: &str, endpoints: &Endpoints, random: &mut Random) {
        let (mut refused_before, came) = (false, self.record.now());
        for _ in 0..=self.habits.client_repeats {
            if !self.runs.load(Ordering::Relaxed) || self.record.now() - came > 2.9 {
                return;
            }
            let (lets_in, retry) = self.lets_in(class, random);
            // A client that comes again is refused again.
            refused_before |= !lets_in;
            let answered = !refused_before && self.forward(retry, endpoints, random);
            let mut came = self.came.lock().unwrap();
            let entry = came.entry(class.to_string()).or_default();
            *entry = (entry.0 + 1, entry.1 + u32::from(!answered && lets_in));
            drop(came);
            if answered {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Forwards a request. One that the first endpoint has refused unread is tried at another where the pilot says so.
    fn forward(&self, retry: u8, endpoints: &Endpoints, random: &mut Random) -> bool {
        let mut before: Option<String> = None;
        for _ in 0..if retry > 0 { 2 } else { 1 } {
            let Some(id) = self.pick(before.as_deref(), random) else { return false };
            let began = self.record.now();
            let address = endpoints.lock().unwrap()[&id];
            let outcome = Self::call(address, self.number);
            let answered = matches!(outcome, Ok(true));
            self.tried(&id, answered, (self.record.now() - began) * 1000.0);
            if answered {
                return true;
            }
            let refused = matches!(outcome, Ok(false))
                || matches!(&outcome, Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
            let how = if refused { "refused, unread" } else { "lost" };
            self.record.line(&format!("proxy {}: a request to {id} is {how}", self.number));
            if !refused {
                return false;
            }
            before = Some(id);
        }
        false
    }

    /// Its process dies: its stream is reset, and it forgets all that it holds.
    pub fn die(&self) {
        self.runs.store(false, Ordering::Relaxed);
        self.reset();
        self.record.line(&format!("proxy {}: dies", self.number));
    }

    /// Its process starts anew, with a standing table of listed endpoints.
    pub fn start_anew(&self, standing: &[String]) {
        let mut table = self.table.lock().unwrap();
        *table = Table {
            lines: standing.iter().map(|id| (id.clone(), 1.0)).collect(),
            fresh: true,
            ..Table::default()
        };
        drop(table);
        self.record.line(&format!("proxy {}: starts anew with {standing:?}", self.number));
        self.runs.store(true, Ordering::Relaxed);
    }

    /// True if answered, false if refused.
    fn call(address: SocketAddr, number: usize) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(1600)))?;
        stream.set_nodelay(true)?;
        stream.write_all(format!("GET /?proxy={number} HTTP/1.1\r\nhost: x\r\n\r\n").as_bytes())?;
        let mut answer = [0; 64];
        match stream.read(&mut answer)? {
            0 => Err(std::io::ErrorKind::ConnectionReset.into()),
            _ => Ok(answer.starts_with(b"HTTP/1.1 200")),
        }
    }

    /// Keeps a stream to a pilot for as long as the run goes on.
    pub fn keep_stream(self: Arc<Self>, dialling: Dialling, over: Arc<AtomicBool>) {
        let mut random = Random(self.number as u64 + 77);
        let (mut number, mut choice) = (0, 0);
        while !over.load(Ordering::Relaxed) {
            if !self.runs.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let (pilot, channel, header_lines) = &dialling.pilots[choice % dialling.pilots.len()];
            let joined = TcpStream::connect_timeout(pilot, Duration::from_millis(300)).and_then(|stream| {
                stream.set_nodelay(true)?;
                Ok((stream.try_clone()?, stream))
            });
            match joined {
                Ok((reading, stream)) => {
                    number += 1;
                    let fresh = {
                        let mut table = self.table.lock().unwrap();
                        table.connection = Some(stream);
                        table.fresh
                    };
                    self.stream.store(number, Ordering::Relaxed);
                    let (own, zone, rate) = (self.number, &self.zone, self.rate);
                    self.send(&format!(
                        "{{\"msg\":\"attach\",\"proxy\":{own},\"zone\":\"{zone}\",\"weight\":{rate},\"fresh\":{fresh}}}\n"
                    ));
                    self.record.line(&format!("proxy {own}: joins {pilot}"));
                    // A pilot is told what its joined proxies meet.
                    self.met.lock().unwrap().clear();
                    self.came.lock().unwrap().clear();
                    let refused = self.read(reading, number, channel, *header_lines);
                    self.stream.store(0, Ordering::Relaxed);
                    let mut table = self.table.lock().unwrap();
                    table.connection = None;
                    let how = if refused { "is told reject and ends" } else { "ends" };
                    self.record.line(&format!("proxy {own}: its stream {how}"));
                    choice += usize::from(refused);
                }
                Err(_) => choice += 1,
            }
            std::thread::sleep(Duration::from_secs_f64(random.between(dialling.redial.0, dialling.redial.1)));
        }
    }

    /// Reads orders until the stream ends. True if the pilot refused it.
    fn read(self: &Arc<Self>, stream: TcpStream, number: u64, channel: &Channel, header_lines: f64) -> bool {
        let mut reader = BufReader::new(stream);
        let (mut parts, mut line) = (Vec::new(), String::new());
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
                return false;
            }
            let message = Json::parse(line.trim()).unwrap_or(Json::Null);
            match message.get("msg").text() {
                Some("reject") => return true,
                Some("assign") => {
                    let continued = message.get("continued").is_true();
                    parts.push(message);
                    if !continued {
                        self.written.lock().unwrap().push(self.record.now());
                        channel.enter(self, number, std::mem::take(&mut parts), header_lines);
                    }
                }
                _ => {}
            }
        }
    }

    /// Writes what came to it, if it has a stream.
    pub fn report(&self, span_ms: f64) {
        for (class, (tries, failed)) in std::mem::take(&mut *self.came.lock().unwrap()) {
            self.send(&format!(
                "{{\"msg\":\"client_stats\",\"proxy\":{},\"class\":\"{class}\",\"tries\":{tries},\"failed\":{failed},\"span_ms\":{span_ms}}}\n",
                self.number
            ));
        }
    }
}
