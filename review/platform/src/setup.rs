//! What a run is made of: the deployment's figures, and the steps of its disruption.

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    /// Mean work of a request, in seconds of a core of speed 1.
    pub work: f64,
    pub due_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub effect: &'static str,
    /// The class may go only to servers of the proxy's zone.
    pub zone_bound: bool,
}

/// A site with slices: how many, and the times of its store.
#[derive(Clone, Debug)]
pub struct Slices {
    pub count: usize,
    /// Seconds for which a proxy that has lost the instance in charge sends writes.
    pub lease: f64,
    /// The longest time that a write stays in hand, s.
    pub write_life: f64,
    /// Seconds until the store gives the slices of a lost instance to another.
    pub takeover: f64,
    /// Seconds within which a proxy reads the store when a slice is given, from and to.
    pub sync: (f64, f64),
    /// Seconds until a draining server ends.
    pub drain_time: f64,
    /// When servers drain, and which.
    pub drained: Vec<(f64, usize)>,
    /// Whether the first instance's process is killed soon after.
    pub kills: bool,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub pilots: usize,
    pub proxies: usize,
    /// Requests a second of all clients together.
    pub rate: f64,
    /// Servers at the start, by zone.
    pub servers: Vec<usize>,
    pub cores: usize,
    pub speed: f64,
    pub lines_per_second: f64,
    pub head: f64,
    pub queue_cap: f64,
    /// Mean time of a message on its way, s, and the longest.
    pub transit: f64,
    pub transit_max: f64,
    /// Messages to one proxy within the window, 0 for no limit, and the window in s.
    pub max_messages: usize,
    pub window: f64,
    pub standing: usize,
    pub two_choices: bool,
    pub level_kind: &'static str,
    pub retry_default: u8,
    pub unserved_max: f64,
    pub grace: f64,
    pub fall_multiple: f64,
    pub overload_for: f64,
    pub start_capacity: f64,
    pub warm_within: f64,
    pub registry_mode: &'static str,
    pub only_draining_binds: bool,
    pub probes: bool,
    /// Noise of the mean times in reports.
    pub noise: f64,
    pub report_delay: f64,
    /// Time until a proxy whose stream has ended dials again, from and to.
    pub redial: (f64, f64),
    /// `None` where proxies are bound to tables. With slices, each has one owner at a time.
    pub slices: Option<Slices>,
    pub seconds: f64,
    pub steps: Vec<(f64, Step)>,
    pub seed: u64,
}

/// A step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// A new, cold server with an id of its own, of a zone, is listed as up.
    Add(String, usize),
    Drain(Vec<String>),
    /// The list says that the servers are gone, though they run.
    Delist(Vec<String>),
    /// The list says up again.
    Restore(Vec<String>),
    /// The servers' processes end and the list says so.
    Remove(Vec<String>),
    /// The servers' processes end; the list does not know yet.
    Crash(Vec<String>),
    /// Crashed servers run again, cold, and are listed as up with their new start.
    Return(Vec<String>),
    Kill(usize),
    Terminate(usize),
    Start(usize),
    Signal(usize, &'static str),
    /// The streams of every n-th proxy of a pilot are reset.
    Reset(usize, usize),
    /// Seven in ten proxies of a pilot die at once, and come back with what they started with.
    LoseProxies(usize),
    /// The channels send this many times slower.
    Slow(f64),
}

impl Setup {
    /// The settings of an instance as JSON.
    pub fn settings(&self) -> String {
        let lanes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"deadline-ms":{:?},"dedup-window-ms":5000.0,"effect":"{}","group":"all","late-worth":0.1,"name":"{}","slo-ms":{:?},"worth":{:?}}}"#,
                    class.deadline_ms, class.effect, class.name, class.due_ms, class.worth
                )
            })
            .collect();
        let bound: Vec<String> = self.classes.iter().map(|class| class.zone_bound.to_string()).collect();
        let mutating: Vec<String> =
            self.classes.iter().map(|class| (class.effect == "side_effect").to_string()).collect();
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        format!(
            r#"{{"family":"control","family-info":{{"bootstrap":{},"buffer-for-ms":300.0,"by-zone":false,"choice":"{}","data-plane-size":{},"egress-per-s":{:?},"ejects":0,"head":{:?},"intake-per-s":600.0,"level-kind":"{}","mutating":[{}],"one-owner":{},"partitions-n":{},"per-try":1.0,"period-ms":1000.0,"propagation-ms":{:?},"push-price":0.02,"queue-cap":{:?},"reassign-price":0.01,"reloads-max":{},"retry-default":{},"sockets-min":170.0,"transit-max-ms":{:?},"unserved-max-ms":{:?},"update-window-ms":{:?},"warm-keys":false,"write-lease-ms":{:?},"write-life-ms":{:?},"zone-bound":[{}]}},
"fees":{{"connection":0.02,"cross-zone":0.06,"handshake":0.02,"late-fail":0.03,"moves":0.0,"peer":0.0,"probe":0.02,"registry-mode":0.0,"waste":0.05}},
"lanes":[{}],
"limits":{{"connect-timeout-ms":250.0,"cpu-us-per-s":250000,"keepalive-ms":15000.0,"peer-messages":false,"probes":{},"streams-per-conn":32}},
"locality":0,"me":0,"registry-mode":"{}",
"result-mix":{{"tail":0.0,"tail-miss":0.0,"whole":0.7,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.2}},
"rules":{{"ask-within-ms":10000.0,"fall-multiple":{:?},"only-draining-binds":{},"overload-for-ms":{:?},"start-capacity":{:?},"stop-sending-within-ms":{:?},"warm-within-ms":{:?}}},
"siblings":{},"skus":["std-4core"],"stats":{{"fields":["busy"],"how":"inline"}},"tick-ms":2.0,"weight-kind":"nominal","worth-by":"request","zones":[{}]}}"#,
            self.standing,
            if self.two_choices { "two" } else { "weighted" },
            self.proxies,
            self.lines_per_second,
            self.head,
            self.level_kind,
            mutating.join(","),
            self.slices.is_some(),
            self.slices.as_ref().map_or(0, |slices| slices.count),
            self.transit * 1e3,
            self.queue_cap,
            self.max_messages,
            self.retry_default,
            self.transit_max * 1e3,
            self.unserved_max * 1e3,
            self.window * 1e3,
            self.slices.as_ref().map_or(2500.0, |slices| slices.lease * 1e3),
            self.slices.as_ref().map_or(5000.0, |slices| slices.write_life * 1e3),
            bound.join(","),
            lanes.join(","),
            self.probes,
            self.registry_mode,
            self.fall_multiple,
            self.only_draining_binds,
            self.overload_for * 1e3,
            self.start_capacity,
            self.grace * 1e3,
            self.warm_within * 1e3,
            self.pilots,
            zones.join(",")
        )
    }
}
