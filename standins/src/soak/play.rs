//! Plays a run with real pilots.

use super::plan::{Action, Plan, Signal};
use super::proxy::{self, Shared};
use super::record::{Entry, Event, Exit, Life, Recorder};
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

/// A process that is held stands still for so long, in which every client asks.
const HELD_FOR: Duration = Duration::from_millis(60);
/// Between looks whether a process has ended.
const LOOK_AGAIN: Duration = Duration::from_millis(1);
/// Between samples of memory and descriptors.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);
/// Port of all pilots; each has an address of its own.
const PORT: u16 = 7400;
/// Seconds before the run's start at which servers started that are long warm.
const LONG_AGO: f64 = 1e6;

/// Where a run is played.
pub struct Place {
    /// The pilot's program.
    pub program: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// Runs that are played at the same time have different ones, under 40.
    pub slot: u8,
}

/// One pilot of a run: its present process and how it is started.
struct Pilot {
    number: usize,
    program: PathBuf,
    configuration: PathBuf,
    log: PathBuf,
    child: Option<(Life, Child)>,
}

struct Run {
    shared: Arc<Shared>,
    discovery: Discovery,
    pilots: Vec<Mutex<Pilot>>,
    lives: AtomicUsize,
}

impl Pilot {
    /// Ends a process that still runs, and notes how it ended.
    fn exited(&mut self, recorder: &Recorder, exit: Exit) {
        let Some((life, mut child)) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        recorder.note(Event::Exited { life, exit });
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains("panicked at")) {
            recorder.note(Event::Panicked { life, line: line.to_string() });
        }
    }

    /// Notes where the process has ended by itself.
    fn look(&mut self, recorder: &Recorder) {
        let ended = |(_, child): &mut (Life, Child)| matches!(child.try_wait(), Ok(Some(_)));
        if self.child.as_mut().is_some_and(ended) {
            self.exited(recorder, Exit::Unbidden);
        }
    }

    fn signal(&self, signal: SystemSignal) {
        if let Some((_, child)) = &self.child {
            // One that has ended meanwhile is noticed by whoever waits for it.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits until the process has ended, and kills it where it has not by some moment.
    fn wait(&mut self, recorder: &Recorder, until: Instant) {
        loop {
            let Some((_, child)) = &mut self.child else { return };
            if let Ok(Some(status)) = child.try_wait() {
                return self.exited(recorder, Exit::Status(status.code()));
            }
            if Instant::now() >= until {
                return self.exited(recorder, Exit::KilledLate);
            }
            std::thread::sleep(LOOK_AGAIN);
        }
    }
}

impl Run {
    /// Starts a process for a pilot that has none.
    fn start(self: &Arc<Self>, pilot: &mut Pilot) -> io::Result<()> {
        let life = self.lives.fetch_add(1, Ordering::SeqCst);
        self.shared.pilots[pilot.number].1.store(life, Ordering::SeqCst);
        pilot.log = pilot.configuration.with_extension(format!("{life}.log"));
        let log = std::fs::File::create(&pilot.log)?;
        self.shared.recorder.note(Event::Started { life });
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

    fn act(self: &Arc<Self>, action: &Action) -> io::Result<()> {
        let recorder = &self.shared.recorder;
        match action {
            Action::Kill { pilot } => {
                let mut pilot = self.pilots[*pilot].lock().expect("no thread panics");
                pilot.look(recorder);
                pilot.exited(recorder, Exit::KilledUnasked);
                self.start(&mut pilot)
            }
            Action::Signals { pilot, series, gap, held } => {
                let mut pilot = self.pilots[*pilot].lock().expect("no thread panics");
                pilot.look(recorder);
                if *held {
                    pilot.signal(SystemSignal::STOP);
                    std::thread::sleep(HELD_FOR);
                }
                let asked = self.signal(&pilot, series, Duration::from_secs_f64(*gap));
                pilot.signal(SystemSignal::CONT);
                if let Some(asked) = asked {
                    pilot.wait(recorder, asked + MIN_TERMINATION_GRACE);
                    self.start(&mut pilot)?;
                }
                Ok(())
            }
            Action::Replace { server, back_after } => {
                let id = self.shared.plan.server(*server);
                self.discovery.set_entry(&id, Some(entry(&id, "draining", 0.0)));
                recorder.note(Event::Closed { server: id.clone() });
                std::thread::sleep(Duration::from_secs_f64(*back_after));
                // Noted first, as a pilot may be told before this thread goes on.
                recorder.note(Event::Listed { server: id.clone(), started: recorder.now() });
                self.discovery.set_entry(&id, Some(entry(&id, "up", unix_ms())));
                Ok(())
            }
        }
    }

    /// Sends a series of signals; returns when the end was first asked for.
    fn signal(&self, pilot: &Pilot, series: &[Signal], gap: Duration) -> Option<Instant> {
        let mut asked = None;
        for signal in series {
            match signal {
                Signal::Reload => pilot.signal(SystemSignal::HUP),
                Signal::End => {
                    if let Some((life, _)) = pilot.child.as_ref().filter(|_| asked.is_none()) {
                        self.shared.recorder.note(Event::AskedToEnd { life: *life });
                        asked = Some(Instant::now());
                    }
                    pilot.signal(SystemSignal::TERM);
                }
            }
            std::thread::sleep(gap);
        }
        asked
    }

    fn sample(&self) {
        for pilot in &self.pilots {
            // One that is being restarted has nothing to tell.
            let Ok(pilot) = pilot.try_lock() else { continue };
            let Some((life, child)) = &pilot.child else { continue };
            // Until it has become the pilot, a process is a copy of this one, with all that this one holds.
            if !is_program(child.id(), &pilot.program) {
                continue;
            }
            if let Some((memory, descriptors)) = holds(child.id()) {
                self.shared.recorder.note(Event::Holds { life: *life, memory, descriptors });
            }
        }
    }
}

fn is_program(process: u32, program: &Path) -> bool {
    let runs = std::fs::read_link(format!("/proc/{process}/exe"));
    runs.is_ok_and(|runs| program.canonicalize().is_ok_and(|program| runs == program))
}

/// Memory in KiB and open descriptors of a process; none where the system does not tell.
fn holds(process: u32) -> Option<(u64, u64)> {
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

/// Lists the servers of a run; returns their entries.
fn list(plan: &Plan, discovery: &Discovery, recorder: &Recorder) -> Vec<Value> {
    let listed = (0..plan.servers).map(|place| {
        let (id, cold) = (plan.server(place), plan.starts_cold(place));
        let entry = entry(&id, "up", if cold { unix_ms() } else { 0.0 });
        recorder.note(Event::Listed { server: id.clone(), started: if cold { 0.0 } else { -LONG_AGO } });
        discovery.set_entry(&id, Some(entry.clone()));
        entry
    });
    listed.collect()
}

/// Plays a run and returns what was seen. Errors: it can't be played here.
pub fn play(plan: &Plan, place: &Place) -> io::Result<Vec<Entry>> {
    std::fs::create_dir_all(&place.folder)?;
    let recorder = Recorder::start();
    let discovery = Discovery::start()?;
    let entries = list(plan, &discovery, &recorder);
    let process = std::process::id();
    let host = |number: usize| {
        let (low, high) = ((process & 255) as u8, ((process >> 8) & 63) as u8);
        SocketAddr::from(([127, 64 + high, low, place.slot * 4 + number as u8 + 1], PORT))
    };
    let hosts: Vec<SocketAddr> = (0..plan.pilots).map(host).collect();
    let mut pilots = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let name = format!("n{number}");
        let configuration = place.folder.join(format!("{name}.json"));
        let text = plan.configuration(&name, *host, discovery.address, &entries).to_string();
        std::fs::write(&configuration, text)?;
        let program = place.program.clone();
        pilots.push(Mutex::new(Pilot {
            number,
            program,
            log: configuration.clone(),
            configuration,
            child: None,
        }));
    }
    let shared = Shared::new(plan.clone(), recorder.clone(), hosts);
    let run = Arc::new(Run { shared: shared.clone(), discovery, pilots, lives: AtomicUsize::new(0) });
    for pilot in &run.pilots {
        run.start(&mut pilot.lock().expect("no thread panics"))?;
    }
    let clients = clients(&shared);
    let begun = Instant::now();
    let mut actions = Vec::new();
    let mut steps = plan.steps.iter().peekable();
    while begun.elapsed().as_secs_f64() < plan.seconds {
        while let Some(step) = steps.next_if(|step| step.at <= begun.elapsed().as_secs_f64()) {
            let (run, action) = (run.clone(), step.action.clone());
            actions.push(std::thread::spawn(move || run.act(&action)));
        }
        run.sample();
        let next = steps.peek().map_or(plan.seconds, |step| step.at) - begun.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs_f64(next.max(0.0)).min(SAMPLE_EVERY));
    }
    for action in actions {
        action.join().expect("no thread panics")?;
    }
    // The last end comes while all clients go on.
    for number in 0..plan.pilots {
        end(&run, number);
    }
    shared.over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("no thread panics"));
    Ok(recorder.take())
}

/// Asks a pilot to end for good.
fn end(run: &Run, number: usize) {
    let mut pilot = run.pilots[number].lock().expect("no thread panics");
    let recorder = &run.shared.recorder;
    pilot.look(recorder);
    if let Some(asked) = run.signal(&pilot, &[Signal::End], Duration::ZERO) {
        pilot.wait(recorder, asked + MIN_TERMINATION_GRACE);
    }
}

/// Starts all clients of a run, each on a thread of its own.
fn clients(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for number in 0..shared.plan.proxies {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::proxy(shared, number)));
    }
    for pilot in 0..shared.plan.pilots {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::collector(shared, pilot)));
    }
    for number in 0..shared.plan.crowd {
        let shared = shared.clone();
        clients.push(std::thread::spawn(move || proxy::stranger(shared, number)));
    }
    clients
}
