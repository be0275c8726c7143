//! Executes a run with real pilot processes.

use super::plan::{Action, Plan, Signal};
use super::proxy::{self, Shared};
use super::record::{Entry, Event, Exit, ProcessNumber, Recorder};
use crate::platform::{server_entry, Discovery, MIN_TERMINATION_GRACE};
use rustix::process::{kill_process, Pid, Signal as SystemSignal};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a process is suspended before signals are sent: long enough for a request of every client.
const SUSPEND_TIME: Duration = Duration::from_millis(60);
/// Interval of checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval of memory and descriptor samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Port of all pilots; each has its own address.
const PORT: u16 = 7400;
/// Start time of warm servers, in seconds before the start of the run.
const WARM_SERVER_AGE: f64 = 1e6;

/// Where a run is executed.
pub struct Options {
    /// The pilot's program.
    pub program: PathBuf,
    /// Folder for configurations and logs.
    pub folder: PathBuf,
    /// Distinguishes the addresses of concurrent runs; under 40.
    pub slot: u8,
}

/// A pilot of a run: its current process and how to start it.
struct Pilot {
    number: usize,
    program: PathBuf,
    configuration: PathBuf,
    log: PathBuf,
    child: Option<(ProcessNumber, Child)>,
}

struct Run {
    shared: Arc<Shared>,
    discovery: Discovery,
    pilots: Vec<Mutex<Pilot>>,
    next_process: AtomicUsize,
}

impl Pilot {
    /// Kills the process if it still runs, and records `exit` and any panics in its log.
    fn record_exit(&mut self, recorder: &Recorder, exit: Exit) {
        let Some((life, mut child)) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        recorder.record(Event::Exited { life, exit });
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains("panicked at")) {
            recorder.record(Event::Panicked { life, line: line.to_string() });
        }
    }

    /// Records an exit that no signal had asked for.
    fn check_unexpected_exit(&mut self, recorder: &Recorder) {
        let ended = |(_, child): &mut (ProcessNumber, Child)| matches!(child.try_wait(), Ok(Some(_)));
        if self.child.as_mut().is_some_and(ended) {
            self.record_exit(recorder, Exit::Unbidden);
        }
    }

    fn signal(&self, signal: SystemSignal) {
        if let Some((_, child)) = &self.child {
            // An error means that the process has exited, which `wait` reports.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits for the process to exit and kills it at the deadline.
    fn wait(&mut self, recorder: &Recorder, deadline: Instant) {
        loop {
            let Some((_, child)) = &mut self.child else { return };
            if let Ok(Some(status)) = child.try_wait() {
                return self.record_exit(recorder, Exit::Status(status.code()));
            }
            if Instant::now() >= deadline {
                return self.record_exit(recorder, Exit::KilledLate);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Run {
    /// Starts a new process of a pilot.
    fn start(self: &Arc<Self>, pilot: &mut Pilot) -> io::Result<()> {
        let life = self.next_process.fetch_add(1, Ordering::SeqCst);
        self.shared.pilots[pilot.number].1.store(life, Ordering::SeqCst);
        pilot.log = pilot.configuration.with_extension(format!("{life}.log"));
        let log = std::fs::File::create(&pilot.log)?;
        self.shared.recorder.record(Event::Started { life });
        let child = Command::new(&pilot.program)
            .arg("platform")
            .arg(&pilot.configuration)
            .args(["--log", "json", "--end-with-input"])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        pilot.child = Some((life, child));
        let (shared, number) = (self.shared.clone(), pilot.number);
        std::thread::spawn(move || proxy::wait_until_ready(&shared, number, life));
        Ok(())
    }

    fn execute(self: &Arc<Self>, action: &Action) -> io::Result<()> {
        let recorder = &self.shared.recorder;
        match action {
            Action::Kill { pilot } => {
                let mut pilot = self.pilots[*pilot].lock().expect("no thread panics");
                pilot.check_unexpected_exit(recorder);
                pilot.record_exit(recorder, Exit::KilledUnasked);
                self.start(&mut pilot)
            }
            Action::Signals { pilot, signals, gap, suspended } => {
                let mut pilot = self.pilots[*pilot].lock().expect("no thread panics");
                pilot.check_unexpected_exit(recorder);
                if *suspended {
                    pilot.signal(SystemSignal::STOP);
                    std::thread::sleep(SUSPEND_TIME);
                }
                let terminated_at = self.send_signals(&pilot, signals, Duration::from_secs_f64(*gap));
                pilot.signal(SystemSignal::CONT);
                if let Some(terminated_at) = terminated_at {
                    pilot.wait(recorder, terminated_at + MIN_TERMINATION_GRACE);
                    self.start(&mut pilot)?;
                }
                Ok(())
            }
            Action::Replace { server, back_after } => {
                let id = self.shared.plan.server_id(*server);
                self.discovery.set_entry(&id, Some(entry(&id, "draining", 0.0)));
                recorder.record(Event::Closed { server: id.clone() });
                std::thread::sleep(Duration::from_secs_f64(*back_after));
                // Recorded first: a pilot may receive the entry before this thread continues.
                recorder.record(Event::Listed { server: id.clone(), started: recorder.now() });
                self.discovery.set_entry(&id, Some(entry(&id, "up", unix_ms())));
                Ok(())
            }
        }
    }

    /// Sends signals, `gap` apart; returns the time of the first SIGTERM.
    fn send_signals(&self, pilot: &Pilot, signals: &[Signal], gap: Duration) -> Option<Instant> {
        let mut terminated_at = None;
        for signal in signals {
            match signal {
                Signal::Reload => pilot.signal(SystemSignal::HUP),
                Signal::Terminate => {
                    if let Some((life, _)) = pilot.child.as_ref().filter(|_| terminated_at.is_none()) {
                        self.shared.recorder.record(Event::AskedToEnd { life: *life });
                        terminated_at = Some(Instant::now());
                    }
                    pilot.signal(SystemSignal::TERM);
                }
            }
            std::thread::sleep(gap);
        }
        terminated_at
    }

    /// Records memory and descriptors of all pilots.
    fn sample(&self) {
        for pilot in &self.pilots {
            // A locked pilot is being restarted.
            let Ok(pilot) = pilot.try_lock() else { continue };
            let Some((life, child)) = &pilot.child else { continue };
            // Between `fork` and `exec` the process still has the memory and descriptors of this one.
            if !is_program(child.id(), &pilot.program) {
                continue;
            }
            if let Some((memory, descriptors)) = resource_usage(child.id()) {
                self.shared.recorder.record(Event::Holds { life: *life, memory, descriptors });
            }
        }
    }
}

fn is_program(process: u32, program: &Path) -> bool {
    let runs = std::fs::read_link(format!("/proc/{process}/exe"));
    runs.is_ok_and(|runs| program.canonicalize().is_ok_and(|program| runs == program))
}

/// Returns memory in KiB and open descriptors of a process, if `/proc` provides them.
fn resource_usage(process: u32) -> Option<(u64, u64)> {
    let folder = Path::new("/proc").join(process.to_string());
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let memory = line.split_whitespace().nth(1)?.parse().ok()?;
    Some((memory, std::fs::read_dir(folder.join("fd")).ok()?.count() as u64))
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

fn entry(id: &str, state: &str, started_ms: f64) -> Value {
    let mut entry = server_entry(id, state);
    entry["started_ms"] = json!(started_ms);
    entry
}

/// Lists the servers of a run in discovery; returns their entries.
fn list_servers(plan: &Plan, discovery: &Discovery, recorder: &Recorder) -> Vec<Value> {
    let listed = (0..plan.servers).map(|index| {
        let (id, cold) = (plan.server_id(index), plan.starts_cold(index));
        let entry = entry(&id, "up", if cold { unix_ms() } else { 0.0 });
        recorder
            .record(Event::Listed { server: id.clone(), started: if cold { 0.0 } else { -WARM_SERVER_AGE } });
        discovery.set_entry(&id, Some(entry.clone()));
        entry
    });
    listed.collect()
}

/// Executes a run and returns its events.
///
/// # Errors
///
/// Returns an error if files or processes can't be created.
pub fn play(plan: &Plan, options: &Options) -> io::Result<Vec<Entry>> {
    std::fs::create_dir_all(&options.folder)?;
    let recorder = Recorder::start();
    let discovery = Discovery::start()?;
    let entries = list_servers(plan, &discovery, &recorder);
    let process = std::process::id();
    let host = |number: usize| {
        let (low, high) = ((process & 255) as u8, ((process >> 8) & 63) as u8);
        SocketAddr::from(([127, 64 + high, low, options.slot * 4 + number as u8 + 1], PORT))
    };
    let hosts: Vec<SocketAddr> = (0..plan.pilots).map(host).collect();
    let mut pilots = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let name = format!("n{number}");
        let configuration = options.folder.join(format!("{name}.json"));
        let text = plan.configuration(&name, *host, discovery.address, &entries).to_string();
        std::fs::write(&configuration, text)?;
        let program = options.program.clone();
        pilots.push(Mutex::new(Pilot {
            number,
            program,
            log: configuration.clone(),
            configuration,
            child: None,
        }));
    }
    let shared = Shared::new(plan.clone(), recorder.clone(), hosts);
    let run = Arc::new(Run { shared: shared.clone(), discovery, pilots, next_process: AtomicUsize::new(0) });
    for pilot in &run.pilots {
        run.start(&mut pilot.lock().expect("no thread panics"))?;
    }
    let clients = start_clients(&shared);
    let start = Instant::now();
    let mut actions = Vec::new();
    let mut steps = plan.steps.iter().peekable();
    while start.elapsed().as_secs_f64() < plan.seconds {
        while let Some(step) = steps.next_if(|step| step.at <= start.elapsed().as_secs_f64()) {
            let (run, action) = (run.clone(), step.action.clone());
            actions.push(std::thread::spawn(move || run.execute(&action)));
        }
        run.sample();
        let next = steps.peek().map_or(plan.seconds, |step| step.at) - start.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs_f64(next.max(0.0)).min(SAMPLE_INTERVAL));
    }
    for action in actions {
        action.join().expect("no thread panics")?;
    }
    // Pilots are terminated while all clients are still active.
    for number in 0..plan.pilots {
        terminate(&run, number);
    }
    shared.finished.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("no thread panics"));
    Ok(recorder.take())
}

/// Terminates a pilot without a restart.
fn terminate(run: &Run, number: usize) {
    let mut pilot = run.pilots[number].lock().expect("no thread panics");
    let recorder = &run.shared.recorder;
    pilot.check_unexpected_exit(recorder);
    if let Some(terminated_at) = run.send_signals(&pilot, &[Signal::Terminate], Duration::ZERO) {
        pilot.wait(recorder, terminated_at + MIN_TERMINATION_GRACE);
    }
}

/// Starts all clients of a run, each on its own thread.
fn start_clients(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for number in 0..shared.plan.proxies {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::run_proxy(shared, number)));
    }
    for pilot in 0..shared.plan.pilots {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::run_collector(shared, pilot)));
    }
    for number in 0..shared.plan.crowd {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::run_unknown_client(shared, number)));
    }
    clients
}
