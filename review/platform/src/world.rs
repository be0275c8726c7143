//! The world round the pilots: clients, proxies with their tables and streams, servers, collectors and the channel.
//!
//! One thread runs it in real time; a reader thread for each connection passes on what pilots write.

use crate::discovery::{Discovery, State};
use crate::json::Json;
use crate::pilot::Pilot;
use crate::rng::Rng;
use crate::rules::Rules;
use crate::setup::{Setup, Step};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seconds between looks at the rule on proxies without a server.
const LOOK: f64 = 0.05;
/// Seconds between a pilot's start and further tries to reach it.
const RETRY: f64 = 0.1;

/// A server's process.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub alive: bool,
    pub started: Option<f64>,
    address: SocketAddr,
    cores: Vec<f64>,
}

/// An order as the proxy applies it: one part of a message.
#[derive(Clone, Debug, Default)]
struct Part {
    routes: Option<Vec<usize>>,
    full: bool,
    lines: Vec<(String, f64)>,
    level: Option<(f64, u8)>,
    eject: Vec<String>,
    restore: Vec<String>,
    mark: Option<u64>,
    continued: bool,
}

impl Part {
    fn count(&self) -> f64 {
        let flags =
            usize::from(self.full) + usize::from(self.level.is_some()) + usize::from(self.mark.is_some());
        (self.lines.len() + self.eject.len() + self.restore.len() + flags) as f64
    }
}

#[derive(Default)]
struct Proxy {
    zone: usize,
    rate: f64,
    /// By class.
    tables: Vec<BTreeMap<String, f64>>,
    levels: Vec<Option<(f64, u8)>>,
    ejected: Vec<String>,
    fresh: bool,
    stream: Option<u64>,
    pilot: usize,
    joined_at: f64,
    /// When the last message that it has applied was written.
    written_at: f64,
    out: BTreeMap<String, usize>,
    /// By class, where levels are rates: tokens, and when they were counted.
    tokens: Vec<(f64, f64)>,
    without_since: Vec<Option<f64>>,
    /// By class: requests that came and that failed since the last report.
    came: Vec<u64>,
    failed: Vec<u64>,
}

impl Proxy {
    /// Whether a level in requests a second lets one more in. A proxy may let in what half a second brings at once.
    fn takes_token(&mut self, class: usize, rate: f64, now: f64) -> bool {
        if !rate.is_finite() {
            return true;
        }
        self.tokens.resize(self.tables.len(), (0.0, 0.0));
        let (tokens, at) = &mut self.tokens[class];
        *tokens = (*tokens + rate * (now - *at)).min((rate / 2.0).max(1.0));
        *at = now;
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}

struct Stream {
    proxy: usize,
    pilot: usize,
    socket: TcpStream,
    parts: Vec<Part>,
    last_apply: f64,
}

#[derive(Default)]
struct Channel {
    free_at: f64,
    /// Messages that have not left: when they leave, their lines and their streams.
    waiting: Vec<(f64, f64, u64)>,
}

/// Sums of what the proxies of a zone met at a server.
#[derive(Default, Clone)]
struct Met {
    tries: u64,
    failed: u64,
    time: f64,
}

enum Event {
    Arrival,
    Finished { proxy: usize, pilot: Option<usize>, server: String, took: f64, served: bool, request: u64 },
    Apply { stream: u64, parts: Vec<Part>, read_at: f64 },
    Dial(usize),
    Ready(usize),
    Period,
    Deliver { pilot: usize, lines: Vec<(usize, String)> },
    Step(usize),
    Look,
}

struct Timed(f64, u64, Event);
impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

enum Input {
    Line(u64, Vec<u8>, f64),
    Closed(u64),
}

pub struct World {
    setup: Setup,
    epoch: Instant,
    discovery: Arc<Discovery>,
    agents: Vec<SocketAddr>,
    pilots: Vec<Pilot>,
    /// When each pilot first answered after its last start; `None` while it does not serve.
    ready: Vec<Option<f64>>,
    root: PathBuf,
    run: String,
    servers: BTreeMap<String, Server>,
    proxies: Vec<Proxy>,
    streams: BTreeMap<u64, Stream>,
    channels: Vec<Channel>,
    collectors: Vec<BTreeMap<usize, TcpStream>>,
    met: Vec<BTreeMap<(usize, String), Met>>,
    events: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    input: (Sender<Input>, Receiver<Input>),
    next_stream: u64,
    /// Requests sent to servers so far.
    sent: u64,
    slowness: f64,
    rng: Rng,
    pub rules: Rules,
    pub totals: BTreeMap<&'static str, u64>,
    trouble: bool,
}

impl World {
    pub fn new(
        setup: Setup,
        folder: &std::path::Path,
        root: PathBuf,
        run: String,
        record: std::fs::File,
        trouble: bool,
    ) -> std::io::Result<World> {
        let epoch = Instant::now();
        let discovery = Discovery::new(epoch, setup.pilots);
        let mut agents = Vec::new();
        let mut pilots = Vec::new();
        for number in 0..setup.pilots {
            agents.push(discovery.serve(number)?);
            pilots.push(Pilot::new(&format!("n{}", number + 1), folder)?);
        }
        let mut rng = Rng(setup.seed);
        let classes = setup.classes.len();
        let proxies = (0..setup.proxies)
            .map(|number| Proxy {
                zone: number % setup.zones.len(),
                rate: setup.rate / setup.proxies as f64 * rng.between(0.8, 1.2),
                tables: vec![BTreeMap::new(); classes],
                levels: vec![None; classes],
                fresh: true,
                pilot: number % setup.pilots,
                without_since: vec![None; classes],
                came: vec![0; classes],
                failed: vec![0; classes],
                ..Proxy::default()
            })
            .collect();
        let count = setup.pilots;
        let rules = Rules::new(&setup, record);
        let mut world = World {
            setup,
            epoch,
            discovery,
            agents,
            pilots,
            ready: vec![None; count],
            root,
            run,
            servers: BTreeMap::new(),
            proxies,
            streams: BTreeMap::new(),
            channels: (0..count).map(|_| Channel::default()).collect(),
            collectors: (0..count).map(|_| BTreeMap::new()).collect(),
            met: vec![BTreeMap::new(); count],
            events: BinaryHeap::new(),
            sequence: 0,
            input: channel(),
            next_stream: 0,
            sent: 0,
            slowness: 1.0,
            rng,
            rules,
            totals: BTreeMap::new(),
            trouble,
        };
        for zone in 0..world.setup.zones.len() {
            for number in 0..world.setup.servers[zone] {
                world.add_server(&format!("{}-{number:02}", world.setup.zones[zone]), zone, None);
            }
        }
        world.stock_proxies();
        Ok(world)
    }

    fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64()
    }

    fn at(&mut self, time: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Timed(time, self.sequence, event)));
    }

    fn count(&mut self, what: &'static str) {
        *self.totals.entry(what).or_default() += 1;
    }

    fn add_server(&mut self, id: &str, zone: usize, started: Option<f64>) {
        // Nobody connects to a server here: requests are passed on inside this process, and probes are off.
        let number = self.servers.len() as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], 40_000 + number));
        let cores = vec![0.0; self.setup.cores];
        self.servers.insert(id.to_string(), Server { zone, alive: true, started, address, cores });
        let entry = Discovery::entry(self.setup.zones[zone], "std-4core", 1.0, started, address);
        self.discovery.put(id, entry);
    }

    /// Gives each proxy its standing table: some servers of its zone, drawn by chance.
    fn stock_proxies(&mut self) {
        for number in 0..self.proxies.len() {
            let zone = self.proxies[number].zone;
            let mut own: Vec<String> = self
                .servers
                .iter()
                .filter(|(_, server)| server.zone == zone)
                .map(|(id, _)| id.clone())
                .collect();
            let mut table = BTreeMap::new();
            while table.len() < self.setup.standing && !own.is_empty() {
                let place = (self.rng.unit() * own.len() as f64) as usize;
                table.insert(own.swap_remove(place), 1.0);
            }
            for class in &mut self.proxies[number].tables {
                class.clone_from(&table);
            }
        }
    }

    fn start_pilot(&mut self, number: usize) {
        let known = self.discovery.start_pilot(number, true);
        let limits = r#"{"cores":1.0,"memory_mb":128,"sockets":512}"#;
        let pilot = &mut self.pilots[number];
        pilot
            .configure(self.agents[number], &known, limits, &self.setup.settings())
            .expect("a configuration file");
        pilot.start(&self.root, &self.run).expect("a pilot");
        let now = self.now();
        self.rules.note(now, &format!("{} started", self.pilots[number].name));
        self.at(now + RETRY, Event::Ready(number));
    }

    /// Runs until the end. `Err` says why the case could not run.
    pub fn run(&mut self) -> Result<(), String> {
        for number in 0..self.pilots.len() {
            self.start_pilot(number);
        }
        self.at(0.0, Event::Arrival);
        self.at(1.0, Event::Period);
        self.at(LOOK, Event::Look);
        for number in 0..self.proxies.len() {
            let time = 0.3 + self.rng.between(0.0, 0.5);
            self.at(time, Event::Dial(number));
        }
        if self.trouble {
            for step in 0..self.setup.steps.len() {
                self.at(self.setup.steps[step].0, Event::Step(step));
            }
        }
        loop {
            let now = self.now();
            if now >= self.setup.seconds {
                break;
            }
            let due = self.events.peek().map_or(now + LOOK, |Reverse(timed)| timed.0);
            if due <= now {
                let Reverse(Timed(time, _, event)) = self.events.pop().expect("an event");
                self.handle(time, event);
                continue;
            }
            match self.input.1.recv_timeout(Duration::from_secs_f64((due - now).min(LOOK))) {
                Ok(input) => {
                    self.take(input);
                    while let Ok(input) = self.input.1.try_recv() {
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(e) => return Err(e.to_string()),
            }
            for number in 0..self.pilots.len() {
                if let Some(how) = self.pilots[number].ended() {
                    let now = self.now();
                    let name = self.pilots[number].name.clone();
                    self.rules.pilot_ended(now, &name, &how, self.ready[number].is_some());
                    self.ready[number] = None;
                }
            }
        }
        let now = self.now();
        if self.ready.iter().all(Option::is_none) && self.rules.first_ready.is_none() {
            return Err("no pilot became ready".to_string());
        }
        let mut totals: Vec<String> =
            self.totals.iter().map(|(what, count)| format!("{what} {count}")).collect();
        totals.sort();
        self.rules.note(now, &format!("totals: {}", totals.join(", ")));
        self.pilots.clear();
        Ok(())
    }

    fn handle(&mut self, time: f64, event: Event) {
        match event {
            Event::Arrival => self.arrival(time),
            Event::Finished { proxy, pilot, server, took, served, request } => {
                let how = if served { "answered" } else { "failed" };
                self.rules.note(time, &format!("request {request} {how} by {server} after {took:.3} s"));
                let count = self.proxies[proxy].out.entry(server.clone()).or_default();
                *count = count.saturating_sub(1);
                let zone = self.proxies[proxy].zone;
                if let Some(pilot) = pilot {
                    let met = self.met[pilot].entry((zone, server)).or_default();
                    met.tries += 1;
                    if served {
                        met.time += took;
                    } else {
                        met.failed += 1;
                    }
                }
            }
            Event::Apply { stream, parts, read_at } => self.apply(time, stream, parts, read_at),
            Event::Dial(proxy) => self.dial(proxy),
            Event::Ready(pilot) => self.look_for_pilot(pilot),
            Event::Period => self.period(time),
            Event::Deliver { pilot, lines } => self.deliver(pilot, lines),
            Event::Step(step) => self.step(step),
            Event::Look => {
                self.look();
                self.at(time + LOOK, Event::Look);
            }
        }
    }

    /// A client's request arrives at a proxy.
    fn arrival(&mut self, time: f64) {
        let next = time + self.rng.exponential(1.0 / self.setup.rate);
        self.at(next, Event::Arrival);
        let rates: Vec<f64> = self.proxies.iter().map(|proxy| proxy.rate).collect();
        let number = self.rng.weighted(&rates);
        let shares: Vec<f64> = self.setup.classes.iter().map(|class| class.share).collect();
        let class = self.rng.weighted(&shares);
        self.count("requests");
        self.proxies[number].came[class] += 1;
        let level = self.proxies[number].levels[class].unwrap_or((f64::INFINITY, self.setup.retry_default));
        if self.setup.level_kind == "share" && self.rng.unit() >= level.0 {
            self.count("refused by level");
            return;
        }
        if self.setup.level_kind == "rate" && !self.proxies[number].takes_token(class, level.0, time) {
            self.count("refused by level");
            return;
        }
        let work = self.rng.lognormal(self.setup.classes[class].work, 0.6);
        let mut excluded: Option<String> = None;
        for try_number in 0..2 {
            let Some(server) = self.choose(number, class, excluded.as_deref()) else {
                self.count("refused without a server");
                return;
            };
            if self.send(number, class, &server, work) {
                return;
            }
            // The connection was refused, which proves that the request never ran.
            if try_number == 1 || level.1 == 0 {
                self.proxies[number].failed[class] += 1;
                self.count("failed: connection refused");
                return;
            }
            excluded = Some(server);
        }
    }

    fn lines(&self, number: usize, class: usize) -> Vec<(&String, f64)> {
        let proxy = &self.proxies[number];
        let open = |id: &&String| !proxy.ejected.contains(id);
        proxy.tables[class].iter().filter(|(id, _)| open(id)).map(|(id, weight)| (id, *weight)).collect()
    }

    fn choose(&mut self, number: usize, class: usize, excluded: Option<&str>) -> Option<String> {
        let lines: Vec<(String, f64)> = self
            .lines(number, class)
            .into_iter()
            .filter(|(id, _)| Some(id.as_str()) != excluded)
            .map(|(id, weight)| (id.clone(), weight))
            .collect();
        if lines.is_empty() {
            return None;
        }
        let weights: Vec<f64> = lines.iter().map(|(_, weight)| *weight).collect();
        let first = self.rng.weighted(&weights);
        if !self.setup.two_choices {
            return Some(lines[first].0.clone());
        }
        let second = self.rng.weighted(&weights);
        let out = |place: usize| self.proxies[number].out.get(&lines[place].0).copied().unwrap_or(0);
        Some(lines[if out(second) < out(first) { second } else { first }].0.clone())
    }

    /// Sends a request to a server. False if nothing listens there.
    fn send(&mut self, number: usize, class: usize, id: &str, work: f64) -> bool {
        let now = self.now();
        let proxy = &self.proxies[number];
        let pilot = proxy.stream.and_then(|stream| self.streams.get(&stream)).map(|stream| stream.pilot);
        let told = pilot.map(|pilot| self.discovery.told(pilot));
        let server = &self.servers[id];
        let joined =
            pilot.map(|pilot| (pilot, proxy.joined_at, proxy.written_at, told.as_ref().expect("a list")));
        let other_zone = server.zone != proxy.zone;
        let class_name = self.setup.classes[class].name;
        let bound = self.setup.classes[class].zone_bound;
        self.rules.sent(now, number, id, server, joined, work, (class_name, bound && other_zone));
        self.sent += 1;
        let request = self.sent;
        self.rules.note(now, &format!("request {request} of {class_name}: proxy {number} sends it to {id}"));
        *self.proxies[number].out.entry(id.to_string()).or_default() += 1;
        let server = self.servers.get_mut(id).expect("a server");
        let (speed, start_capacity, warm_within) =
            (self.setup.speed, self.setup.start_capacity, self.setup.warm_within);
        let warm = server.started.map_or(1.0, |at| {
            start_capacity + (1.0 - start_capacity) * ((now - at) / warm_within).clamp(0.0, 1.0)
        });
        let (finish, served) = if server.alive && !self.rules.is_fallen(id) {
            let core = (0..server.cores.len())
                .min_by(|a, b| server.cores[*a].total_cmp(&server.cores[*b]))
                .expect("a core");
            let finish = server.cores[core].max(now) + work / speed / warm;
            server.cores[core] = finish;
            let deadline = now + self.setup.classes[class].deadline_ms / 1e3;
            (finish.min(deadline), finish <= deadline)
        } else {
            (now + 0.002, false)
        };
        let alive = server.alive;
        if served {
            self.count("served");
        } else if alive {
            self.count("failed: no answer in time");
            self.proxies[number].failed[class] += 1;
        }
        self.at(
            finish,
            Event::Finished {
                proxy: number,
                pilot,
                server: id.to_string(),
                took: finish - now,
                served,
                request,
            },
        );
        alive
    }

    fn look_for_pilot(&mut self, number: usize) {
        if !self.pilots[number].is_running() || self.ready[number].is_some() {
            return;
        }
        let now = self.now();
        let answered = TcpStream::connect_timeout(&self.pilots[number].address, Duration::from_millis(100))
            .and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_millis(200)))?;
                stream.write_all(b"{\"msg\":\"hb\"}\n")?;
                let mut line = String::new();
                BufReader::new(stream).read_line(&mut line)?;
                Ok(line.contains("hb_ok"))
            });
        if !answered.unwrap_or(false) {
            self.at(now + RETRY, Event::Ready(number));
            return;
        }
        let now = self.now();
        self.ready[number] = Some(now);
        self.rules.ready(now, number);
        for zone in 0..self.setup.zones.len() {
            if let Ok(mut stream) = TcpStream::connect(self.pilots[number].address) {
                let line = format!("{{\"msg\":\"telemetry\",\"zone\":\"{}\"}}\n", self.setup.zones[zone]);
                if stream.write_all(line.as_bytes()).is_ok() {
                    self.collectors[number].insert(zone, stream);
                }
            }
        }
    }

    fn dial(&mut self, number: usize) {
        if self.proxies[number].stream.is_some() {
            return;
        }
        let now = self.now();
        let home = self.proxies[number].pilot;
        let count = self.pilots.len();
        let target = (0..count).map(|step| (home + step) % count).find(|pilot| self.ready[*pilot].is_some());
        let connected = target.and_then(|pilot| {
            let address = self.pilots[pilot].address;
            TcpStream::connect_timeout(&address, Duration::from_millis(250))
                .ok()
                .map(|stream| (pilot, stream))
        });
        let Some((pilot, mut socket)) = connected else {
            self.at(now + 0.2, Event::Dial(number));
            return;
        };
        let _ = socket.set_nodelay(true);
        let proxy = &mut self.proxies[number];
        let line = format!(
            "{{\"msg\":\"attach\",\"proxy\":{number},\"zone\":\"{}\",\"weight\":{:.2},\"fresh\":{}}}\n",
            self.setup.zones[proxy.zone], proxy.rate, proxy.fresh
        );
        if socket.write_all(line.as_bytes()).is_err() {
            self.at(now + 0.2, Event::Dial(number));
            return;
        }
        self.next_stream += 1;
        let id = self.next_stream;
        (proxy.stream, proxy.joined_at, proxy.fresh) = (Some(id), self.epoch.elapsed().as_secs_f64(), false);
        let reader = socket.try_clone().expect("a socket");
        let (sender, epoch) = (self.input.0.clone(), self.epoch);
        std::thread::Builder::new()
            .stack_size(64 << 10)
            .spawn(move || {
                let mut reader = BufReader::new(reader);
                let mut line = Vec::new();
                while reader.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                    let now = epoch.elapsed().as_secs_f64();
                    if sender.send(Input::Line(id, std::mem::take(&mut line), now)).is_err() {
                        return;
                    }
                }
                let _ = sender.send(Input::Closed(id));
            })
            .expect("a thread");
        self.streams.insert(id, Stream { proxy: number, pilot, socket, parts: Vec::new(), last_apply: 0.0 });
        self.rules.joined(now, number, pilot);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Closed(id) => self.leave(id),
            Input::Line(id, line, read_at) => {
                let Some(part) = self.parse(&line) else {
                    let text = String::from_utf8_lossy(&line).to_string();
                    if self.streams.contains_key(&id) {
                        self.rules.note(
                            read_at,
                            &format!("a stream brings what its proxy can't use: {}", text.trim()),
                        );
                        self.leave(id);
                    }
                    return;
                };
                let Some(stream) = self.streams.get_mut(&id) else { return };
                let continued = part.continued;
                stream.parts.push(part);
                if continued {
                    return;
                }
                let parts = std::mem::take(&mut stream.parts);
                let (pilot, proxy) = (stream.pilot, stream.proxy);
                let lines = self.setup.head + parts.iter().map(Part::count).sum::<f64>();
                let channel = &mut self.channels[pilot];
                channel.waiting.retain(|(leaves, _, _)| *leaves > read_at);
                let rate = self.setup.lines_per_second / self.slowness;
                let leaves = channel.free_at.max(read_at) + lines / rate;
                channel.free_at = leaves;
                channel.waiting.push((leaves, lines, id));
                let waiting: f64 = channel.waiting.iter().map(|(_, lines, _)| lines).sum();
                let transit = self.rng.between(0.5, 1.5) * self.setup.transit;
                let stream = self.streams.get_mut(&id).expect("a stream");
                stream.last_apply = stream.last_apply.max(leaves + transit.min(self.setup.transit_max));
                let apply_at = stream.last_apply;
                self.rules.message(
                    read_at,
                    pilot,
                    proxy,
                    id,
                    lines,
                    waiting,
                    apply_at,
                    String::from_utf8_lossy(&line).trim(),
                );
                self.at(apply_at, Event::Apply { stream: id, parts, read_at });
            }
        }
    }

    /// `None` if the proxy can't use it.
    fn parse(&self, line: &[u8]) -> Option<Part> {
        let json = Json::parse(line)?;
        if json.get("msg")?.text()? != "assign" {
            return None;
        }
        let mut part = Part { full: json.get("full").is_some(), ..Part::default() };
        if let Some(routes) = json.get("routes") {
            let class =
                |name: &Json| self.setup.classes.iter().position(|class| Some(class.name) == name.text());
            part.routes = Some(routes.items().iter().map(class).collect::<Option<Vec<usize>>>()?);
        }
        let known = |id: &Json| id.text().filter(|id| self.servers.contains_key(*id)).map(str::to_string);
        for pair in json.get("endpoints").map_or(&[][..], Json::items) {
            let [id, weight] = pair.items() else { return None };
            part.lines.push((known(id)?, weight.number().filter(|weight| *weight >= 0.0)?));
        }
        for id in json.get("eject").map_or(&[][..], Json::items) {
            part.eject.push(known(id)?);
        }
        for id in json.get("restore").map_or(&[][..], Json::items) {
            part.restore.push(known(id)?);
        }
        if let Some(level) = json.get("admit") {
            let policy = json.get("policy")?.number().filter(|policy| (0.0..=3.0).contains(policy))?;
            part.level = Some((level.number().filter(|level| *level >= 0.0)?, policy as u8));
        }
        part.mark = json.get("nonce_out").and_then(Json::number).map(|mark| mark as u64);
        part.continued = json.get("continued").is_some();
        Some(part)
    }

    fn apply(&mut self, time: f64, id: u64, parts: Vec<Part>, read_at: f64) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let number = stream.proxy;
        let proxy = &mut self.proxies[number];
        proxy.written_at = read_at;
        for part in parts {
            let all: Vec<usize> = (0..self.setup.classes.len()).collect();
            for class in part.routes.as_ref().unwrap_or(&all) {
                if part.full {
                    proxy.tables[*class].clear();
                    proxy.levels[*class] = None;
                }
                for (server, weight) in &part.lines {
                    if *weight > 0.0 {
                        proxy.tables[*class].insert(server.clone(), *weight);
                    } else {
                        proxy.tables[*class].remove(server);
                    }
                }
                if let Some(level) = part.level {
                    proxy.levels[*class] = Some(level);
                }
            }
            proxy.ejected.retain(|server| !part.restore.contains(server));
            proxy.ejected.extend(part.eject);
            if let Some(mark) = part.mark {
                let took = (time - read_at) * 1e3;
                let line = format!(
                    "{{\"msg\":\"done\",\"proxy\":{number},\"mark\":{mark},\"took_ms\":{took:.1}}}\n"
                );
                let _ = stream.socket.write_all(line.as_bytes());
            }
        }
    }

    /// A stream has ended: the proxy keeps what it holds and dials again.
    fn leave(&mut self, id: u64) {
        let Some(stream) = self.streams.remove(&id) else { return };
        let _ = stream.socket.shutdown(Shutdown::Both);
        let now = self.now();
        let channel = &mut self.channels[stream.pilot];
        // What waits for this proxy is lost, and the messages behind it move up.
        let lost: f64 = channel
            .waiting
            .iter()
            .filter(|(leaves, _, of)| *of == id && *leaves > now)
            .map(|(_, lines, _)| lines)
            .sum();
        channel.waiting.retain(|(_, _, of)| *of != id);
        channel.free_at = (channel.free_at - lost / (self.setup.lines_per_second / self.slowness)).max(now);
        self.proxies[stream.proxy].stream = None;
        self.rules.left(now, stream.proxy);
        let (from, to) = self.setup.redial;
        let again = now + self.rng.between(from, to);
        self.at(again, Event::Dial(stream.proxy));
    }

    /// The end of a report period.
    fn period(&mut self, time: f64) {
        self.at(time + 1.0, Event::Period);
        for pilot in 0..self.pilots.len() {
            let mut lines = Vec::new();
            for ((zone, server), met) in std::mem::take(&mut self.met[pilot]) {
                let answered = (met.tries - met.failed).max(1) as f64;
                let mean = met.time / answered
                    * 1e3
                    * self.rng.between(1.0 - self.setup.noise, 1.0 + self.setup.noise);
                let text = format!(
                    "{{\"msg\":\"upstream_stats\",\"zone\":\"{}\",\"server\":\"{server}\",\"tries\":{},\"failed\":{},\"mean_ms\":{mean:.2},\"span_ms\":1000.0}}\n",
                    self.setup.zones[zone], met.tries, met.failed
                );
                lines.push((zone, text));
            }
            for number in 0..self.proxies.len() {
                let proxy = &mut self.proxies[number];
                let joined =
                    proxy.stream.and_then(|stream| self.streams.get(&stream)).map(|stream| stream.pilot);
                if joined != Some(pilot) {
                    continue;
                }
                for (class, known) in self.setup.classes.iter().enumerate() {
                    let text = format!(
                        "{{\"msg\":\"client_stats\",\"proxy\":{number},\"class\":\"{}\",\"tries\":{},\"failed\":{},\"span_ms\":1000.0}}\n",
                        known.name, std::mem::take(&mut proxy.came[class]), std::mem::take(&mut proxy.failed[class])
                    );
                    lines.push((usize::MAX - number, text));
                }
            }
            let late = time + self.setup.report_delay;
            self.at(late, Event::Deliver { pilot, lines });
        }
    }

    fn deliver(&mut self, pilot: usize, lines: Vec<(usize, String)>) {
        for (place, text) in lines {
            if place < self.setup.zones.len() {
                let gone = self.collectors[pilot]
                    .get_mut(&place)
                    .is_some_and(|stream| stream.write_all(text.as_bytes()).is_err());
                if gone {
                    self.collectors[pilot].remove(&place);
                }
                continue;
            }
            let number = usize::MAX - place;
            let stream = self.proxies[number].stream.and_then(|id| self.streams.get_mut(&id));
            if let Some(stream) = stream.filter(|stream| stream.pilot == pilot) {
                let _ = stream.socket.write_all(text.as_bytes());
            }
        }
    }

    fn step(&mut self, step: usize) {
        let now = self.now();
        let step = self.setup.steps[step].1.clone();
        self.rules.note(now, &format!("step: {step:?}"));
        let states = |ids: &[String], state| ids.iter().map(|id| (id.clone(), state)).collect::<Vec<_>>();
        match step {
            Step::Add(id, zone) => self.add_server(&id, zone, Some(now)),
            Step::Drain(ids) => self.discovery.set_states(&states(&ids, State::Draining)),
            Step::Delist(ids) => self.discovery.set_states(&states(&ids, State::Removed)),
            Step::Restore(ids) => self.discovery.set_states(&states(&ids, State::Up)),
            Step::Remove(ids) => {
                for id in &ids {
                    self.servers.get_mut(id).expect("a server").alive = false;
                }
                self.discovery.set_states(&states(&ids, State::Removed));
            }
            Step::Crash(ids) => {
                for id in &ids {
                    self.servers.get_mut(id).expect("a server").alive = false;
                }
            }
            Step::Return(ids) => {
                let mut entries = Vec::new();
                for id in ids {
                    let server = self.servers.get_mut(&id).expect("a server");
                    (server.alive, server.started) = (true, Some(now));
                    server.cores.fill(now);
                    let entry = Discovery::entry(
                        self.setup.zones[server.zone],
                        "std-4core",
                        1.0,
                        Some(now),
                        server.address,
                    );
                    self.rules.restarted(&id);
                    entries.push((id, entry));
                }
                self.discovery.put_all(entries);
            }
            Step::Kill(number) => {
                self.pilots[number].kill();
                self.pilot_gone(number);
            }
            Step::Terminate(number) => {
                self.pilots[number].signal("TERM");
                let start = Instant::now();
                while self.pilots[number].ended().is_none() && start.elapsed() < Duration::from_millis(700) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                self.pilots[number].kill();
                self.pilot_gone(number);
            }
            Step::Start(number) => self.start_pilot(number),
            Step::Signal(number, name) => self.pilots[number].signal(name),
            Step::Reset(pilot, every) => {
                let ids: Vec<u64> = self
                    .streams
                    .iter()
                    .filter(|(_, s)| s.pilot == pilot && s.proxy % every == 0)
                    .map(|(id, _)| *id)
                    .collect();
                for id in ids {
                    self.leave(id);
                }
            }
            Step::LoseProxies(pilot) => {
                let dies = |stream: &Stream| stream.pilot == pilot && stream.proxy % 10 < 7;
                let ids: Vec<u64> = self.streams.iter().filter(|(_, s)| dies(s)).map(|(id, _)| *id).collect();
                for id in ids {
                    self.leave(id);
                }
            }
            Step::Slow(factor) => self.slowness = factor,
        }
    }

    fn pilot_gone(&mut self, number: usize) {
        self.ready[number] = None;
        self.collectors[number].clear();
        let ids: Vec<u64> =
            self.streams.iter().filter(|(_, s)| s.pilot == number).map(|(id, _)| *id).collect();
        for id in ids {
            self.leave(id);
        }
    }

    fn look(&mut self) {
        let now = self.now();
        for number in 0..self.proxies.len() {
            let pilot =
                self.proxies[number].stream.and_then(|id| self.streams.get(&id)).map(|stream| stream.pilot);
            for class in 0..self.setup.classes.len() {
                let bare = pilot.filter(|_| self.lines(number, class).is_empty()).is_some_and(|pilot| {
                    let told = self.discovery.told(pilot);
                    let warm = self.setup.warm_within;
                    let zone = self.proxies[number].zone;
                    let bound = self.setup.classes[class].zone_bound;
                    told.iter().any(|(id, told)| {
                        told.state == State::Up
                            && told.started.is_none_or(|at| now - at > warm)
                            && (!bound || self.servers[id].zone == zone)
                    })
                });
                let since = &mut self.proxies[number].without_since[class];
                *since = if bare { since.or(Some(now)) } else { None };
                if let (Some(since), Some(pilot)) = (*since, pilot) {
                    self.rules.without_server(now, number, pilot, since, self.setup.classes[class].name);
                }
            }
        }
    }
}
