//! Runs a day: starts the stand-ins and a real pilot process, generates load, injects faults and records the events.

use crate::askers::Asker;
use crate::record::{Entry, Event};
use crate::script::{Baseline, Fault, FaultKind, Front, Realm, Script, SERVICE_PORT};
use crate::servers::Server;
use crate::world::World;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use oatlever_fetch::{get, HttpUrl, Timeouts};
use oatlever_standins::platform::MIN_TERMINATION_GRACE;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub struct Options {
    pub realm: Realm,
    /// The pilot's program.
    pub program: PathBuf,
    /// Folder for the settings, the cached server list and the log of the pilot.
    pub folder: PathBuf,
    /// Replaces the pilot's answers.
    pub baseline: Option<Baseline>,
    /// Print a line per second.
    pub progress: bool,
}

/// Interval of checks whether the pilot still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks whether a pilot has exited after SIGTERM.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of tables that a manual override sets; more than small fleets have.
const TABLES: u8 = 12;

/// The pilot's process, killed when it is dropped.
struct Pilot {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// An error that ends the day although a new process may be running.
    error: Option<String>,
}

impl Pilot {
    fn start(&mut self, seed: u64) -> Result<(), String> {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&self.program)
            .arg("pilot")
            .arg(&self.settings)
            .args(["--log", "json", "--seed", &seed.to_string(), "--end-with-input"])
            // The pipe closes however this process ends, even by SIGKILL, and the pilot ends with it. A pilot that
            // is left running would hold the ports that the next one needs.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.map_err(|e| format!("{}: {e}", self.program.display()))?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sets every table by a manual override so that one server receives all queries, or releases the overrides.
    fn override_tables(&self, active: bool, host: Ipv4Addr) {
        let lines = self.settings.with_file_name("lines.json");
        let written = std::fs::write(&lines, format!("{{\"{host}:{SERVICE_PORT}\": 1}}"));
        let (program, socket) = (self.program.clone(), self.settings.with_file_name("list.json.control"));
        // On another thread, so that the load goes on meanwhile.
        std::thread::spawn(move || {
            for table in 0..TABLES {
                let mut command = Command::new(&program);
                command.args(["tables", "--socket"]).arg(&socket);
                command.args([if active { "lay" } else { "release" }, &table.to_string()]);
                if active {
                    command.arg(&lines);
                }
                let _ = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
            }
        });
        drop(written);
    }

    /// Returns the output of `guard at ... explain`: the guard's verdicts of the day.
    fn explain(&self) -> serde_json::Value {
        let socket = self.settings.with_file_name("list.json.control");
        let output = Command::new(&self.program)
            .args(["guard", "at", "--socket"])
            .arg(&socket)
            .arg("explain")
            .output();
        output.ok().and_then(|output| serde_json::from_slice(&output.stdout).ok()).unwrap_or_default()
    }

    /// Returns a pending error, or one with the last log line if the process has exited on its own.
    fn unexpected_exit(&mut self) -> Option<String> {
        if let Some(error) = self.error.take() {
            return Some(error);
        }
        let status = self.child.as_mut()?.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("nothing").to_string();
        Some(format!(
            "the pilot exited unexpectedly: {status}; last line of its log {}: {last}",
            self.log.display()
        ))
    }

    /// Sends SIGTERM and waits for the exit.
    ///
    /// # Errors
    ///
    /// Returns an error if it had exited before or exits with a status other than 0.
    fn terminate(&mut self) -> Result<(), String> {
        if let Some(error) = self.unexpected_exit() {
            return Err(error);
        }
        let Some(mut child) = self.child.take() else { return Ok(()) };
        kill_process(Pid::from_child(&child), Signal::TERM).map_err(|e| e.to_string())?;
        let status = child.wait().map_err(|e| e.to_string())?;
        if status.success() {
            Ok(())
        } else {
            Err(format!("the pilot ended with {status}"))
        }
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a day and returns its events.
///
/// # Errors
///
/// Returns an error if files or the pilot can't be created, or if the pilot exits otherwise than it should.
pub fn play(script: Script, options: &Options) -> Result<Vec<Entry>, String> {
    let with_path = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    std::fs::create_dir_all(&options.folder).map_err(|e| with_path(&options.folder, e))?;
    let settings = options.folder.join("settings.json");
    let cache = options.folder.join("list.json");
    let text = options.realm.pilot_settings(&script, &cache.to_string_lossy()).to_string();
    std::fs::write(&settings, text).map_err(|e| with_path(&settings, e))?;
    let log = options.folder.join("pilot.log");
    let pilot = Pilot { program: options.program.clone(), settings, log, child: None, error: None };

    let executor = Rc::new(LocalExecutor::new());
    let world = World::new(script, options.realm, options.baseline, executor.clone());
    let pilot = Rc::new(RefCell::new(pilot));
    let day = run(world, pilot.clone(), options.progress);
    async_io::block_on(executor.run(future::or(day, watch_pilot(pilot))))
}

/// Waits until the pilot exits unexpectedly. Always returns an error, which ends the day.
async fn watch_pilot(pilot: Rc<RefCell<Pilot>>) -> Result<Vec<Entry>, String> {
    loop {
        Timer::after(POLL_INTERVAL).await;
        if let Some(error) = pilot.borrow_mut().unexpected_exit() {
            return Err(error);
        }
    }
}

async fn run(world: Rc<World>, pilot: Rc<RefCell<Pilot>>, progress: bool) -> Result<Vec<Entry>, String> {
    let script = &world.script;
    for zone in 0..script.zones {
        for n in 0..script.servers {
            let server = Server::new(world.realm.server(zone, n), zone, script.cores);
            world.servers.borrow_mut().push(Rc::new(server));
        }
        let classes = script.classes.len();
        for n in 0..script.relays {
            let asker =
                Asker::new(world.realm.relay(zone, n), zone, true, script.relays_by.for_relay(n), classes);
            world.askers.borrow_mut().push(Rc::new(asker));
        }
        for n in 0..script.terminals {
            let mut asker = Asker::new(world.realm.terminal(zone, n), zone, false, Front::Dns, classes);
            asker.resolver = n == 0;
            world.askers.borrow_mut().push(Rc::new(asker));
        }
    }
    world.servers.borrow().iter().for_each(|server| server.start(&world, false));
    let mut tasks = vec![world.executor.spawn(world.clone().serve_discovery())];
    pilot.borrow_mut().start(script.seed)?;
    world.recorder.record(Event::PilotStarted);
    wait_for_answers(&world).await?;
    world.askers.borrow().iter().for_each(|asker| asker.start(&world));
    // Relays look up servers when they start; the load starts once they have had time for an answer.
    Timer::after(Duration::from_secs_f64(0.3)).await;
    let start = world.now();
    for relays in [true, false] {
        tasks.push(world.executor.spawn(generate_load(world.clone(), relays)));
    }
    for fault in script.faults.clone() {
        let (world, pilot) = (world.clone(), pilot.clone());
        tasks.push(world.executor.clone().spawn(async move {
            Timer::after(Duration::from_secs_f64(fault.at)).await;
            inject(&world, &pilot, &fault).await;
        }));
    }
    tasks.push(world.executor.spawn(watch_channel(world.clone())));
    let mut second = 0;
    while world.now() - start < script.seconds {
        Timer::after(Duration::from_secs_f64((start + f64::from(second) + 1.0 - world.now()).max(0.0))).await;
        second += 1;
        if progress {
            let (answered, asked) = world.recorder.service_since(world.now() - 1.0);
            let up = world.servers.borrow().iter().filter(|server| server.running.get()).count();
            println!(
                "{second:4} s  service {:.3}  servers up {up}  queries {}",
                answered / asked.max(1e-9),
                world.queries.get()
            );
        }
    }
    if script.guard.is_some() {
        let place = HttpUrl { host: world.realm.status(), path: "/metrics".to_string() };
        let page = get::<oatlever_fetch::AsyncIo>(&place, None, Timeouts::from_total(2.0), 1 << 20)
            .await
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let lines = || text.lines().filter(|line| line.starts_with("oatlever_guard"));
        if progress {
            lines().for_each(|line| println!("{line}"));
        }
        let verdicts = lines().filter(|line| line.starts_with("oatlever_guard_verdicts"));
        let counts = verdicts.filter_map(|line| line.split(' ').nth(1)?.parse::<f64>().ok());
        world.recorder.record(Event::Verdicts(counts.sum()));
        record_findings(&world, pilot.borrow().explain());
    }
    drop(tasks);
    pilot.borrow_mut().terminate()?;
    Ok(world.recorder.take())
}

/// Records the guard's findings at the times of their verdicts.
fn record_findings(world: &World, explanation: serde_json::Value) {
    let list = |value: &serde_json::Value| value.as_array().cloned().unwrap_or_default();
    for verdict in list(&explanation["verdicts"]) {
        let at = world.now() - verdict["ago"].as_f64().unwrap_or(0.0);
        for finding in list(&verdict["findings"]) {
            let host = |text: &serde_json::Value| text.as_str()?.split(':').next()?.parse().ok();
            let servers = list(&finding["servers"]).iter().filter_map(host).collect();
            let check = finding["check"].as_str().unwrap_or_default().to_string();
            world.recorder.record_at(at, Event::Finding { check, servers });
        }
    }
}

/// Waits until the pilot's DNS answers have lines for all classes.
async fn wait_for_answers(world: &World) -> Result<(), String> {
    let probe = Asker::new(world.realm.terminal(0, 0), 0, true, Front::Dns, world.script.classes.len());
    for _ in 0..100 {
        if probe.has_answers(world).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    Err("the pilot gave no answer within 10 s of its start".to_string())
}

/// Sends the queries of all relays or of all terminals, as a Poisson process.
async fn generate_load(world: Rc<World>, relays: bool) {
    let script = &world.script;
    let rate = if relays { script.relay_rate } else { script.terminal_rate };
    let askers: Vec<Rc<Asker>> =
        world.askers.borrow().iter().filter(|a| a.relay == relays).cloned().collect();
    if askers.is_empty() || rate <= 0.0 {
        return;
    }
    let parts: f64 = script.classes.iter().map(|class| class.part).sum();
    let mut at = world.now();
    loop {
        let surge = world.faults.borrow().surge;
        at += -(1.0 - world.random()).ln() / (rate * if surge > 0.0 { surge } else { 1.0 });
        Timer::after(Duration::from_secs_f64((at - world.now()).max(0.0))).await;
        let mut target = world.random() * parts;
        let class = script.classes.iter().position(|class| {
            target -= class.part;
            target < 0.0
        });
        let weight = |asker: &&Rc<Asker>| if asker.resolver { script.resolver } else { 1.0 };
        let running: Vec<&Rc<Asker>> = askers.iter().filter(|asker| asker.running.get()).collect();
        let mut target = world.random() * running.iter().map(weight).sum::<f64>();
        let picked = running.iter().find(|asker| {
            target -= weight(asker);
            target < 0.0
        });
        if let Some(asker) = picked {
            let work = Rc::clone(asker).handle_query(world.clone(), class.unwrap_or(0));
            world.executor.spawn(work).detach();
        }
    }
}

/// Records the number of lines waiting in the pilot's channel, from its status page.
async fn watch_channel(world: Rc<World>) {
    let place = HttpUrl { host: world.realm.status(), path: "/status".to_string() };
    loop {
        Timer::after(Duration::from_millis(250)).await;
        let Ok(answer) =
            get::<oatlever_fetch::AsyncIo>(&place, None, Timeouts::from_total(0.5), 64 << 20).await
        else {
            continue;
        };
        let status: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(lines) = status["channel"]["waiting"].as_f64() {
            world.recorder.record(Event::Waiting(lines));
        }
    }
}

/// Sends SIGTERM to the pilot under load and kills it at the end of the grace period. A kill, or a status other than 0,
/// ends the day with an error.
async fn end_pilot(world: &World, pilot: &RefCell<Pilot>) {
    let Some(mut child) = pilot.borrow_mut().child.take() else { return };
    world.recorder.record(Event::PilotKilled);
    let _ = kill_process(Pid::from_child(&child), Signal::TERM);
    let terminated_at = Instant::now();
    let status = loop {
        match child.try_wait() {
            Ok(None) if terminated_at.elapsed() < MIN_TERMINATION_GRACE => {
                Timer::after(EXIT_POLL_INTERVAL).await
            }
            Ok(status) => break status,
            Err(_) => break None,
        };
    };
    let _ = child.kill();
    let _ = child.wait();
    if !status.is_some_and(|status| status.success()) {
        pilot.borrow_mut().error = Some(match status {
            Some(status) => format!("the pilot exited after SIGTERM with {status}"),
            None => "the pilot still ran at the end of the grace period after SIGTERM".to_string(),
        });
    }
}

/// Injects a fault, waits for its duration and reverts it.
async fn inject(world: &Rc<World>, pilot: &RefCell<Pilot>, fault: &Fault) {
    if fault.kind == FaultKind::PilotEnds {
        end_pilot(world, pilot).await;
    }
    let affected = |zone: u8| fault.zone.is_none_or(|affected| affected == zone);
    let servers: Vec<Rc<Server>> =
        world.servers.borrow().iter().filter(|s| affected(s.zone)).cloned().collect();
    let count = (servers.len() as f64 * fault.part).ceil() as usize;
    // The chosen servers are spread evenly over the affected zones.
    let step = (servers.len() as f64 / count.max(1) as f64).max(1.0);
    let chosen = (0..count).filter_map(|n| servers.get((n as f64 * step) as usize).cloned());
    let chosen: Vec<Rc<Server>> = chosen.collect();
    let relays: Vec<Rc<Asker>> =
        world.askers.borrow().iter().filter(|asker| asker.relay && affected(asker.zone)).cloned().collect();
    let relays = &relays[..(relays.len() as f64 * fault.part).ceil() as usize];
    let set_active = |active: bool| {
        let mut faults = world.faults.borrow_mut();
        match fault.kind {
            FaultKind::Crash if active => chosen.iter().for_each(|server| server.stop(world)),
            FaultKind::Crash => chosen.iter().for_each(|server| server.start(world, true)),
            FaultKind::Restart if active => chosen.iter().for_each(|server| {
                server.stop(world);
                server.start(world, true);
            }),
            FaultKind::Drain => chosen.iter().for_each(|server| server.draining.set(active)),
            FaultKind::Hang => chosen.iter().for_each(|server| server.hung.set(active)),
            FaultKind::Slow(times) => {
                chosen.iter().for_each(|s| s.slowdown.set(if active { times } else { 1.0 }))
            }
            FaultKind::QuickErrors => chosen.iter().for_each(|server| server.failing.set(active)),
            FaultKind::AnswersLost => chosen.iter().for_each(|server| server.losing_answers.set(active)),
            FaultKind::ListLies => {
                let hosts: Vec<Ipv4Addr> = chosen.iter().map(|server| server.host).collect();
                faults.unlisted = if active { hosts } else { Vec::new() };
            }
            FaultKind::ListEmpty => faults.list_empty = active,
            FaultKind::RosterDown => faults.discovery_down = active,
            FaultKind::ListCut => faults.list_cut = active,
            FaultKind::RelaysDie if active => relays.iter().for_each(|relay| relay.stop()),
            FaultKind::RelaysDie => relays.iter().for_each(|relay| relay.start(world)),
            FaultKind::PilotDies if active => {
                pilot.borrow_mut().kill();
                world.recorder.record(Event::PilotKilled);
            }
            FaultKind::PilotEnds if active => {}
            FaultKind::PilotDies | FaultKind::PilotEnds => {
                if pilot.borrow_mut().start(world.script.seed + 1).is_ok() {
                    world.recorder.record(Event::PilotStarted);
                }
            }
            FaultKind::DnsLost => faults.dns_lost = if active { fault.part } else { 0.0 },
            FaultKind::DnsLate(delay) => faults.dns_late = if active { delay } else { 0.0 },
            FaultKind::Surge(times) => faults.surge = if active { times } else { 0.0 },
            FaultKind::ScrapesHang => faults.scrapes_hang = active,
            FaultKind::ReportsReset => {
                faults.scrapes_hang = active;
                relays.iter().for_each(|relay| relay.reset());
            }
            FaultKind::HandLays => pilot.borrow().override_tables(active, world.realm.server(0, 0)),
            FaultKind::Restart => {}
        }
    };
    set_active(true);
    Timer::after(Duration::from_secs_f64(fault.lasts)).await;
    set_active(false);
}
