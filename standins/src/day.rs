//! A day: the stand-ins, a real pilot process, load, faults, and the record of it all.

use crate::askers::Asker;
use crate::record::{Entry, Event};
use crate::script::{Fault, Front, Instead, Kind, Realm, Script, SERVICE_PORT};
use crate::servers::Server;
use crate::world::World;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use oatlever_fetch::{get, Place};
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
    /// Where settings and the kept list go.
    pub folder: PathBuf,
    pub instead: Option<Instead>,
    /// A line a second on standard output.
    pub progress: bool,
}

/// Between looks whether the pilot still runs.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Between looks whether a pilot that is asked to end still runs.
const LOOK_AGAIN_SOON: Duration = Duration::from_millis(5);
/// Tables that a hand reaches for; more than small fleets have.
const TABLES: u8 = 12;

/// The pilot's process, killed when it is dropped.
struct Pilot {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Why the day is not to go on, beside the end of the present process.
    trouble: Option<String>,
}

impl Pilot {
    fn start(&mut self, seed: u64) -> Result<(), String> {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&self.program)
            .arg("pilot")
            .arg(&self.settings)
            .args(["--log", "json", "--seed", &seed.to_string(), "--end-with-input"])
            // The pipe closes however this process ends, by a kill as well, and the pilot ends with it: one that
            // is left holds the ports that the next one needs.
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

    /// Lays every table by hand so that one server gets everything, or lets all follow the decisions again.
    fn by_hand(&self, lay: bool, host: Ipv4Addr) {
        let lines = self.settings.with_file_name("lines.json");
        let told = std::fs::write(&lines, format!("{{\"{host}:{SERVICE_PORT}\": 1}}"));
        let (program, socket) = (self.program.clone(), self.settings.with_file_name("list.json.control"));
        // Beside the load, which must not stop meanwhile.
        std::thread::spawn(move || {
            for table in 0..TABLES {
                let mut command = Command::new(&program);
                command.args(["tables", "--socket"]).arg(&socket);
                command.args([if lay { "lay" } else { "release" }, &table.to_string()]);
                if lay {
                    command.arg(&lines);
                }
                let _ = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
            }
        });
        drop(told);
    }

    /// What its guard says of the day.
    fn explain(&self) -> serde_json::Value {
        let socket = self.settings.with_file_name("list.json.control");
        let told = Command::new(&self.program)
            .args(["guard", "at", "--socket"])
            .arg(&socket)
            .arg("explain")
            .output();
        told.ok().and_then(|told| serde_json::from_slice(&told.stdout).ok()).unwrap_or_default()
    }

    /// What it said last, where it has ended unbidden, or has not ended as it should.
    fn ended(&mut self) -> Option<String> {
        if let Some(trouble) = self.trouble.take() {
            return Some(trouble);
        }
        let status = self.child.as_mut()?.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("nothing").to_string();
        Some(format!(
            "the pilot ended by itself: {status}; its last words, in {}: {last}",
            self.log.display()
        ))
    }

    /// Asks it to end. Errors: it did not end well.
    fn end(&mut self) -> Result<(), String> {
        if let Some(words) = self.ended() {
            return Err(words);
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

/// Plays a day. Errors: what kept it from being played.
pub fn play(script: Script, options: &Options) -> Result<Vec<Entry>, String> {
    let told = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    std::fs::create_dir_all(&options.folder).map_err(|e| told(&options.folder, e))?;
    let settings = options.folder.join("settings.json");
    let cache = options.folder.join("list.json");
    let text = options.realm.settings(&script, &cache.to_string_lossy()).to_string();
    std::fs::write(&settings, text).map_err(|e| told(&settings, e))?;
    let log = options.folder.join("pilot.log");
    let pilot = Pilot { program: options.program.clone(), settings, log, child: None, trouble: None };

    let executor = Rc::new(LocalExecutor::new());
    let world = World::new(script, options.realm, options.instead, executor.clone());
    let pilot = Rc::new(RefCell::new(pilot));
    let played = run(world, pilot.clone(), options.progress);
    async_io::block_on(executor.run(future::or(played, ended_unbidden(pilot))))
}

/// Waits until the pilot has ended though nobody ended it, which ends the day. Errors: always, with its last words.
async fn ended_unbidden(pilot: Rc<RefCell<Pilot>>) -> Result<Vec<Entry>, String> {
    loop {
        Timer::after(LOOK_AGAIN).await;
        if let Some(words) = pilot.borrow_mut().ended() {
            return Err(words);
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
            let asker = Asker::new(world.realm.relay(zone, n), zone, true, script.relays_by.of(n), classes);
            world.askers.borrow_mut().push(Rc::new(asker));
        }
        for n in 0..script.terminals {
            let mut asker = Asker::new(world.realm.terminal(zone, n), zone, false, Front::Dns, classes);
            asker.resolver = n == 0;
            world.askers.borrow_mut().push(Rc::new(asker));
        }
    }
    world.servers.borrow().iter().for_each(|server| server.start(&world, false));
    let mut tasks = vec![world.executor.spawn(world.clone().roster())];
    pilot.borrow_mut().start(script.seed)?;
    world.record.note(Event::PilotStarted);
    wait_for_answers(&world).await?;
    world.askers.borrow().iter().for_each(|asker| asker.start(&world));
    // Relays ask at their start; load comes when they have had time for an answer.
    Timer::after(Duration::from_secs_f64(0.3)).await;
    let start = world.now();
    for relays in [true, false] {
        tasks.push(world.executor.spawn(load(world.clone(), relays)));
    }
    for fault in script.faults.clone() {
        let (world, pilot) = (world.clone(), pilot.clone());
        tasks.push(world.executor.clone().spawn(async move {
            Timer::after(Duration::from_secs_f64(fault.at)).await;
            strike(&world, &pilot, &fault).await;
        }));
    }
    tasks.push(world.executor.spawn(watch(world.clone())));
    let mut second = 0;
    while world.now() - start < script.seconds {
        Timer::after(Duration::from_secs_f64((start + f64::from(second) + 1.0 - world.now()).max(0.0))).await;
        second += 1;
        if progress {
            let (got, all) = world.record.service_since(world.now() - 1.0);
            let up = world.servers.borrow().iter().filter(|server| server.running.get()).count();
            println!(
                "{second:4} s  service {:.3}  servers up {up}  queries {}",
                got / all.max(1e-9),
                world.queries.get()
            );
        }
    }
    if script.guard.is_some() {
        let place = Place { host: world.realm.status(), path: "/metrics".to_string() };
        let page =
            get::<oatlever_fetch::Shared>(&place, None, 2.0, 1 << 20).await.map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let lines = || text.lines().filter(|line| line.starts_with("oatlever_guard"));
        if progress {
            lines().for_each(|line| println!("{line}"));
        }
        let verdicts = lines().filter(|line| line.starts_with("oatlever_guard_verdicts"));
        let counts = verdicts.filter_map(|line| line.split(' ').nth(1)?.parse::<f64>().ok());
        world.record.note(Event::Verdicts(counts.sum()));
        findings(&world, pilot.borrow().explain());
    }
    drop(tasks);
    pilot.borrow_mut().end()?;
    Ok(world.record.take())
}

/// Notes what the guard found, at the time when it did.
fn findings(world: &World, told: serde_json::Value) {
    let list = |value: &serde_json::Value| value.as_array().cloned().unwrap_or_default();
    for verdict in list(&told["verdicts"]) {
        let at = world.now() - verdict["ago"].as_f64().unwrap_or(0.0);
        for finding in list(&verdict["findings"]) {
            let host = |text: &serde_json::Value| text.as_str()?.split(':').next()?.parse().ok();
            let servers = list(&finding["servers"]).iter().filter_map(host).collect();
            let check = finding["check"].as_str().unwrap_or_default().to_string();
            world.record.note_at(at, Event::Finding { check, servers });
        }
    }
}

/// Until the pilot answers with lines.
async fn wait_for_answers(world: &World) -> Result<(), String> {
    let probe = Asker::new(world.realm.terminal(0, 0), 0, true, Front::Dns, world.script.classes.len());
    for _ in 0..100 {
        if probe.answered(world).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    Err("the pilot gave no answer within 10 s of its start".to_string())
}

/// Queries as they come: independent of each other.
async fn load(world: Rc<World>, relays: bool) {
    let script = &world.script;
    let rate = if relays { script.relay_rate } else { script.terminal_rate };
    let askers: Vec<Rc<Asker>> =
        world.askers.borrow().iter().filter(|a| a.relay == relays).cloned().collect();
    if askers.is_empty() || rate <= 0.0 {
        return;
    }
    let all: f64 = script.classes.iter().map(|class| class.part).sum();
    let mut at = world.now();
    loop {
        let surge = world.faults.borrow().surge;
        at += -(1.0 - world.chance()).ln() / (rate * if surge > 0.0 { surge } else { 1.0 });
        Timer::after(Duration::from_secs_f64((at - world.now()).max(0.0))).await;
        let mut target = world.chance() * all;
        let class = script.classes.iter().position(|class| {
            target -= class.part;
            target < 0.0
        });
        let weight = |asker: &&Rc<Asker>| if asker.resolver { script.resolver } else { 1.0 };
        let running: Vec<&Rc<Asker>> = askers.iter().filter(|asker| asker.running.get()).collect();
        let mut target = world.chance() * running.iter().map(weight).sum::<f64>();
        let found = running.iter().find(|asker| {
            target -= weight(asker);
            target < 0.0
        });
        if let Some(asker) = found {
            let work = Rc::clone(asker).query(world.clone(), class.unwrap_or(0));
            world.executor.spawn(work).detach();
        }
    }
}

/// Reads what the pilot states of its channel.
async fn watch(world: Rc<World>) {
    let place = Place { host: world.realm.status(), path: "/status".to_string() };
    loop {
        Timer::after(Duration::from_millis(250)).await;
        let Ok(answer) = get::<oatlever_fetch::Shared>(&place, None, 0.5, 64 << 20).await else { continue };
        let status: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(lines) = status["channel"]["waiting"].as_f64() {
            world.record.note(Event::Waiting(lines));
        }
    }
}

/// Asks the pilot to end while everybody goes on, and kills it where it runs at the earliest kill; that, or another
/// status than 0, ends the day.
async fn end_pilot(world: &World, pilot: &RefCell<Pilot>) {
    let Some(mut child) = pilot.borrow_mut().child.take() else { return };
    world.record.note(Event::PilotKilled);
    let _ = kill_process(Pid::from_child(&child), Signal::TERM);
    let asked = Instant::now();
    let status = loop {
        match child.try_wait() {
            Ok(None) if asked.elapsed() < MIN_TERMINATION_GRACE => Timer::after(LOOK_AGAIN_SOON).await,
            Ok(status) => break status,
            Err(_) => break None,
        };
    };
    let _ = child.kill();
    let _ = child.wait();
    if !status.is_some_and(|status| status.success()) {
        let how = status.map_or("still ran at the earliest kill".to_string(), |status| status.to_string());
        pilot.borrow_mut().trouble = Some(format!("the pilot was asked to end: {how}"));
    }
}

async fn strike(world: &Rc<World>, pilot: &RefCell<Pilot>, fault: &Fault) {
    if fault.kind == Kind::PilotEnds {
        end_pilot(world, pilot).await;
    }
    let hit = |zone: u8| fault.zone.is_none_or(|hit| hit == zone);
    let servers: Vec<Rc<Server>> = world.servers.borrow().iter().filter(|s| hit(s.zone)).cloned().collect();
    let count = (servers.len() as f64 * fault.part).ceil() as usize;
    // Spread over the zones that are hit.
    let step = (servers.len() as f64 / count.max(1) as f64).max(1.0);
    let chosen = (0..count).filter_map(|n| servers.get((n as f64 * step) as usize).cloned());
    let chosen: Vec<Rc<Server>> = chosen.collect();
    let relays: Vec<Rc<Asker>> =
        world.askers.borrow().iter().filter(|asker| asker.relay && hit(asker.zone)).cloned().collect();
    let relays = &relays[..(relays.len() as f64 * fault.part).ceil() as usize];
    let on = |on: bool| {
        let mut faults = world.faults.borrow_mut();
        match fault.kind {
            Kind::Crash if on => chosen.iter().for_each(|server| server.stop(world)),
            Kind::Crash => chosen.iter().for_each(|server| server.start(world, true)),
            Kind::Restart if on => chosen.iter().for_each(|server| {
                server.stop(world);
                server.start(world, true);
            }),
            Kind::Drain => chosen.iter().for_each(|server| server.draining.set(on)),
            Kind::Hang => chosen.iter().for_each(|server| server.hung.set(on)),
            Kind::Slow(times) => chosen.iter().for_each(|s| s.slow.set(if on { times } else { 1.0 })),
            Kind::QuickErrors => chosen.iter().for_each(|server| server.failing.set(on)),
            Kind::AnswersLost => chosen.iter().for_each(|server| server.losing.set(on)),
            Kind::ListLies => {
                let hosts: Vec<Ipv4Addr> = chosen.iter().map(|server| server.host).collect();
                faults.unlisted = if on { hosts } else { Vec::new() };
            }
            Kind::ListEmpty => faults.list_empty = on,
            Kind::RosterDown => faults.roster_down = on,
            Kind::ListCut => faults.list_cut = on,
            Kind::RelaysDie if on => relays.iter().for_each(|relay| relay.stop()),
            Kind::RelaysDie => relays.iter().for_each(|relay| relay.start(world)),
            Kind::PilotDies if on => {
                pilot.borrow_mut().kill();
                world.record.note(Event::PilotKilled);
            }
            Kind::PilotEnds if on => {}
            Kind::PilotDies | Kind::PilotEnds => {
                if pilot.borrow_mut().start(world.script.seed + 1).is_ok() {
                    world.record.note(Event::PilotStarted);
                }
            }
            Kind::DnsLost => faults.dns_lost = if on { fault.part } else { 0.0 },
            Kind::DnsLate(late) => faults.dns_late = if on { late } else { 0.0 },
            Kind::Surge(times) => faults.surge = if on { times } else { 0.0 },
            Kind::ScrapesHang => faults.scrapes_hang = on,
            Kind::ReportsReset => {
                faults.scrapes_hang = on;
                relays.iter().for_each(|relay| relay.reset());
            }
            Kind::HandLays => pilot.borrow().by_hand(on, world.realm.server(0, 0)),
            Kind::Restart => {}
        }
    };
    on(true);
    Timer::after(Duration::from_secs_f64(fault.lasts)).await;
    on(false);
}
