//! A small deployment: pilots, their discovery agents, proxies, endpoints, collectors and clients.

use crate::channel::{Channel, Pace};
use crate::discovery::{Discovery, Entry, Pieces};
use crate::endpoints::{Arrival, Endpoint, Machine};
use crate::pilot::{free_address, Pilot};
use crate::proxies::{Dialling, Endpoints, Habits, Proxy};
use crate::record::{Random, Record};
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The figures of a deployment.
#[derive(Clone)]
pub struct Figures {
    pub zones: Vec<&'static str>,
    pub pilots: usize,
    pub endpoints: usize,
    pub proxies: usize,
    /// Requests a second at a proxy by its number.
    pub rate: fn(usize) -> f64,
    pub pace: Pace,
    pub queue_cap: f64,
    pub most_way_ms: f64,
    /// Lines of a standing table.
    pub standing: usize,
    pub redial: (f64, f64),
    pub sockets: usize,
    /// Seconds; the grace of the rule on draining.
    pub grace: f64,
    /// Seconds; the limit of the first rule.
    pub unserved: f64,
    pub pieces: Option<Pieces>,
    pub habits: Habits,
    /// The due times of the classes and their abandon time, ms.
    pub due: (f64, f64),
    pub deadline: f64,
    /// Seconds by which reports of endpoints are late.
    pub report_lag: f64,
    /// Multiple and seconds of the rule on cold endpoints, their least share of capacity and the time until they are warm.
    pub fall: (f64, f64),
    pub cold: (f64, f64),
    /// The machine of an endpoint by its number, and the weight that it is listed with.
    pub machine: fn(usize) -> (Machine, f64),
}

pub const CLASSES: [&str; 2] = ["fault-search", "stock-price"];
/// Seconds by which the rules' limits are longer on sockets (PROTOCOL).
pub const SLACK: f64 = 0.3;

impl Figures {
    fn settings(&self, me: usize) -> String {
        let deadline = self.deadline;
        let lane = |name: &str, worth: f64, due: f64| {
            format!(
                r#"{{"deadline-ms":{deadline},"dedup-window-ms":5000.0,"effect":"pure","group":"all","late-worth":0.1,"name":"{name}","slo-ms":{due},"worth":{worth}}}"#
            )
        };
        let lanes = [lane(CLASSES[0], 2.0, self.due.0), lane(CLASSES[1], 1.0, self.due.1)].join(",");
        let zones = self.zones.iter().map(|z| format!("\"{z}\"")).collect::<Vec<_>>().join(",");
        format!(
            r#"{{"family":"control","family-info":{{"bootstrap":{},"buffer-for-ms":300.0,"by-zone":false,"choice":"{}","data-plane-size":{},"egress-per-s":{},"ejects":{},"head":{},"intake-per-s":600.0,"level-kind":"{}","mutating":[false,false],"one-owner":false,"partitions-n":0,"per-try":0.8,"period-ms":1000.0,"propagation-ms":{},"push-price":0.02,"queue-cap":{},"reassign-price":0.01,"reloads-max":0,"retry-default":1,"sockets-min":194.0,"transit-max-ms":{},"unserved-max-ms":{},"update-window-ms":10000.0,"warm-keys":false,"write-lease-ms":2500.0,"write-life-ms":4020.0,"zone-bound":[false,false]}},"fees":{{"connection":0.02,"cross-zone":0.04,"handshake":0.02,"late-fail":0.08,"moves":0.0,"peer":0.0,"probe":0.02,"registry-mode":0.0,"waste":0.08}},"lanes":[{lanes}],"limits":{{"connect-timeout-ms":300.0,"cpu-us-per-s":400000,"keepalive-ms":15000.0,"peer-messages":false,"probes":true,"streams-per-conn":32}},"locality":0,"me":{me},"registry-mode":"pushed","result-mix":{{"whole":0.7,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.2}},"rules":{{"ask-within-ms":10000.0,"fall-multiple":{},"overload-for-ms":{},"start-capacity":{},"stop-sending-within-ms":{},"warm-within-ms":{}}},"siblings":{},"skus":["std"],"stats":{{"fields":["rif"],"how":"inline"}},"tick-ms":2.0,"weight-kind":"rough","worth-by":"request","zones":[{zones}]}}"#,
            self.standing,
            if self.habits.two { "two" } else { "weighted" },
            self.proxies,
            self.pace.lines_per_second,
            self.habits.ejects,
            self.pace.header_lines,
            if self.habits.rates { "rate" } else { "share" },
            (self.pace.least_way + self.pace.most_way) * 500.0,
            self.queue_cap,
            self.most_way_ms,
            self.unserved * 1000.0,
            self.fall.0,
            self.fall.1 * 1000.0,
            self.cold.0,
            self.grace * 1000.0,
            self.cold.1 * 1000.0,
            self.pilots,
        )
    }
}

pub struct World {
    pub figures: Figures,
    pub record: Record,
    pub root: PathBuf,
    pub pilots: Vec<Pilot>,
    pub addresses: Vec<SocketAddr>,
    pub channels: Vec<Channel>,
    pub discoveries: Vec<Discovery>,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Arc<Proxy>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub known: Arc<Endpoints>,
    /// While it is set, what the collectors send does not get through.
    pub cut: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

impl World {
    /// The deployment, with its pilots started and ready, and no proxy yet.
    pub fn start(figures: Figures, folder: &Path, root: &Path) -> Result<World, String> {
        let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let zone_of = |n: usize| figures.zones[n % figures.zones.len()].to_string();
        let endpoints: Vec<Endpoint> = (0..figures.endpoints)
            .map(|n| {
                let machine = (figures.machine)(n).0;
                Endpoint::start(&format!("s-{n:02}"), machine, -1000.0, &arrivals, &record)
            })
            .collect();
        let entry = |n: usize| Entry {
            addr: endpoints[n].address,
            zone: zone_of(n),
            state: "up",
            started_ms: 0.0,
            weight: (figures.machine)(n).1,
        };
        let entries: BTreeMap<String, Entry> =
            (0..figures.endpoints).map(|n| (endpoints[n].id.clone(), entry(n))).collect();
        let mut random = Random(11);
        let proxies = (0..figures.proxies).map(|n| {
            // A standing table: listed endpoints of the proxy's zone, drawn by chance.
            let mut own: Vec<String> =
                entries.iter().filter(|(_, e)| e.zone == zone_of(n)).map(|(id, _)| id.clone()).collect();
            while own.len() > figures.standing {
                own.swap_remove((random.unit() * own.len() as f64) as usize);
            }
            Proxy::new(n, &zone_of(n), (figures.rate)(n), figures.habits, &own, &record)
        });
        let proxies = proxies.collect();
        let discoveries: Vec<Discovery> =
            (0..figures.pilots).map(|_| Discovery::start(entries.clone(), figures.pieces, &record)).collect();
        let channels =
            (0..figures.pilots).map(|n| Channel::start(figures.pace, n as u64 + 5, &record)).collect();
        let addresses = (0..figures.pilots).map(|_| free_address()).collect();
        let known = endpoints.iter().map(|e| (e.id.clone(), e.address)).collect();
        let known = Arc::new(Mutex::new(known));
        let mut world = World {
            figures,
            record,
            root: root.to_path_buf(),
            pilots: Vec::new(),
            addresses,
            channels,
            discoveries,
            endpoints,
            proxies,
            arrivals,
            known,
            cut: Arc::default(),
            over: Arc::default(),
        };
        for n in 0..world.figures.pilots {
            let pilot = world.start_pilot(n);
            world.pilots.push(pilot);
        }
        for address in world.addresses.clone() {
            world.wait_until_ready(address)?;
        }
        Ok(world)
    }

    pub fn start_pilot(&self, n: usize) -> Pilot {
        self.start_pilot_with(n, &self.discoveries[n].document())
    }

    /// Starts a pilot with the list that it had last.
    pub fn start_pilot_with(&self, n: usize, known: &str) -> Pilot {
        let (address, discovery) = (self.addresses[n], &self.discoveries[n]);
        let configuration = format!(
            r#"{{"name":"n{n}","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be96{n}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{},"settings":{}}}"#,
            discovery.address,
            self.figures.sockets,
            known,
            self.figures.settings(n),
        );
        Pilot::start(&format!("n{n}"), address, &configuration, &self.root, &self.record)
    }

    /// Waits until a pilot answers a sign of life.
    fn wait_until_ready(&self, address: SocketAddr) -> Result<(), String> {
        let until = self.record.now() + 10.0;
        while self.record.now() < until {
            if ask_sign(address).is_ok_and(|fine| fine) {
                self.record.say(&format!("the pilot at {address} answers hb"));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the pilot at {address} isn't ready"))
    }

    /// Starts the streams of proxies, each to the pilot that `usual` names, then the clients and the collectors.
    pub fn open(&self, usual: impl Fn(usize) -> usize) {
        let pilots: Vec<_> = (self.addresses.iter().zip(&self.channels))
            .map(|(address, channel)| (*address, channel.clone(), self.figures.pace.header_lines))
            .collect();
        for proxy in &self.proxies {
            let mut own = pilots.clone();
            own.rotate_left(usual(proxy.number) % pilots.len());
            let dialling = Dialling { pilots: own, redial: self.figures.redial };
            let (proxy, over) = (proxy.clone(), self.over.clone());
            let thread = std::thread::Builder::new().stack_size(256 << 10);
            thread.spawn(move || proxy.keep_stream(dialling, over)).unwrap();
        }
        for worker in 0..4 {
            let own: Vec<Arc<Proxy>> =
                self.proxies.iter().filter(|p| p.number % 4 == worker).cloned().collect();
            let (addresses, over, record) = (self.known.clone(), self.over.clone(), self.record.clone());
            std::thread::spawn(move || clients(&own, &addresses, worker as u64, &over, &record));
        }
        for (zone_number, zone) in self.figures.zones.iter().enumerate() {
            let own: Vec<Arc<Proxy>> = self.proxies.iter().filter(|p| p.zone == *zone).cloned().collect();
            let (zone, pilots, over) = (zone.to_string(), self.addresses.clone(), self.over.clone());
            let (cut, record) = (self.cut.clone(), self.record.clone());
            let lag = Duration::from_secs_f64(self.figures.report_lag + 0.05 * zone_number as f64);
            std::thread::spawn(move || collect(&zone, &own, &pilots, lag, &cut, &over, &record));
        }
        let (proxies, over) = (self.proxies.clone(), self.over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_secs(1));
                proxies.iter().for_each(|proxy| proxy.report(1000.0));
            }
        });
    }

    /// The requests that an endpoint read after a moment.
    pub fn requests_after(&self, endpoint: &str, moment: impl Fn(usize) -> f64) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.endpoint == endpoint && a.at > moment(a.proxy)).cloned().collect()
    }

    /// Ends all processes and closes the record.
    pub fn finish(mut self) {
        self.over.store(true, Ordering::Relaxed);
        for pilot in &self.pilots {
            pilot.copy_log();
        }
        self.pilots.clear();
        self.record.flush();
    }
}

fn ask_sign(address: SocketAddr) -> std::io::Result<bool> {
    use std::io::Read;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"{\"msg\":\"hb\"}\n")?;
    let mut answer = [0; 64];
    let read = stream.read(&mut answer)?;
    Ok(answer[..read].starts_with(b"{\"msg\":\"hb_ok\"}"))
}

/// Clients of some proxies: requests at an even pace, each proxy's from a moment of its own on.
fn clients(
    proxies: &[Arc<Proxy>],
    addresses: &Arc<Endpoints>,
    seed: u64,
    over: &AtomicBool,
    record: &Record,
) {
    let mut random = Random(seed + 31);
    let start = record.now();
    let mut next: Vec<f64> = proxies.iter().map(|p| start + random.unit() / p.rate).collect();
    while !over.load(Ordering::Relaxed) && !proxies.is_empty() {
        let first = (0..next.len()).min_by(|a, b| next[*a].total_cmp(&next[*b])).expect("a proxy");
        record.sleep_until(next[first]);
        next[first] += random.between(0.5, 1.5) / proxies[first].rate;
        if !proxies[first].runs.load(Ordering::Relaxed) {
            continue;
        }
        let class = CLASSES[usize::from(random.unit() < 0.37)];
        let (proxy, addresses, seed) = (proxies[first].clone(), addresses.clone(), random.unit().to_bits());
        let thread = std::thread::Builder::new().stack_size(128 << 10);
        let _ = thread.spawn(move || proxy.request(class, &addresses, &mut Random(seed)));
    }
}

/// The collector of a zone: a connection to each pilot; each second the sums of what its proxies met, late. While it is
/// cut off it goes on summing up; what it has then, it passes on once it is back, with the span that it covers.
fn collect(
    zone: &str,
    proxies: &[Arc<Proxy>],
    pilots: &[SocketAddr],
    lag: Duration,
    cut: &AtomicBool,
    over: &AtomicBool,
    record: &Record,
) {
    let mut connections: Vec<Option<TcpStream>> = pilots.iter().map(|_| None).collect();
    let (mut since, mut cut_off) = (record.now(), false);
    let mut next = record.now();
    // Reports on their way, with the time when they arrive.
    let mut late: VecDeque<(f64, String)> = VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
        if !cut.load(Ordering::Relaxed) && late.front().is_some_and(|report| report.0 <= record.now()) {
            let (_, text) = late.pop_front().expect("a report");
            for connection in connections.iter_mut() {
                if connection.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_err()) {
                    *connection = None;
                }
            }
        }
        if record.now() < next {
            continue;
        }
        next += 1.0;
        if cut.load(Ordering::Relaxed) {
            connections.iter_mut().for_each(|connection| *connection = None);
            cut_off = true;
            continue;
        }
        // What a pilot is told begins when the collector has joined it.
        for (connection, pilot) in connections.iter_mut().zip(pilots) {
            if connection.as_ref().is_some_and(ended) {
                *connection = None;
            }
            if connection.is_none() {
                *connection = TcpStream::connect_timeout(pilot, Duration::from_millis(300)).ok();
                if let Some(stream) = connection {
                    let hello = format!("{{\"msg\":\"telemetry\",\"zone\":\"{zone}\"}}\n");
                    let _ = stream.write_all(hello.as_bytes());
                    if !cut_off {
                        late.clear();
                        since = record.now();
                        proxies.iter().for_each(|proxy| proxy.met.lock().unwrap().clear());
                    }
                    cut_off = false;
                }
            }
        }
        let span = (record.now() - since) * 1000.0;
        since = record.now();
        let mut sums: BTreeMap<String, (u32, u32, f64)> = BTreeMap::new();
        for proxy in proxies {
            for (id, (tries, failed, total)) in std::mem::take(&mut *proxy.met.lock().unwrap()) {
                let sum = sums.entry(id).or_default();
                *sum = (sum.0 + tries, sum.1 + failed, sum.2 + total);
            }
        }
        let mut text = String::new();
        for (id, (tries, failed, total)) in sums {
            let answered = tries - failed;
            let mean = if answered > 0 { total / f64::from(answered) } else { 0.0 };
            text += &format!(
                "{{\"msg\":\"upstream_stats\",\"zone\":\"{zone}\",\"server\":\"{id}\",\"tries\":{tries},\"failed\":{failed},\"mean_ms\":{mean:.1},\"span_ms\":{span:.1},\"load\":{{\"inflight\":2}}}}\n"
            );
        }
        text.lines().for_each(|line| record.line(&format!("collector of {zone}: {line}")));
        late.push_back((record.now() + lag.as_secs_f64(), text));
    }
}

/// Whether the other side has closed a connection.
fn ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = match stream.peek(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    ended
}
