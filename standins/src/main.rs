//! `oatlever-standins`: a small world on loopback round a real pilot.

mod askers;
mod cost;
mod day;
mod judge;
mod many;
mod page;
mod record;
mod script;
mod servers;
mod soaking;
mod streams;
mod web;
mod world;

use clap::{Parser, Subcommand};
use many::Tally;
use record::Entry;
use script::{Costs, Instead, Realm, Script};
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "oatlever-standins", version, about = "Stand-ins on loopback for all that a pilot meets")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run everything with embedded settings, one line a second.
    Demo {
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        #[command(flatten)]
        place: Place,
    },
    /// Play a script against a real pilot and check the rules.
    Day {
        script: PathBuf,
        /// Keep the record, one JSON line each.
        #[arg(long)]
        record: Option<PathBuf>,
        /// How relays come by their tables, whatever the script says.
        #[arg(long, value_enum)]
        relays_by: Option<script::Front>,
        /// The mode of the pilot's guard, `report` or `enforce`, whatever the script says.
        #[arg(long)]
        guard: Option<String>,
        /// What askers go by instead of the pilot's answers.
        #[arg(long, value_enum)]
        instead: Option<Instead>,
        /// Keep the script's prices from the pilot.
        #[arg(long)]
        no_prices: bool,
        /// End when standard input ends, for a program that plays days.
        #[arg(long)]
        end_with_input: bool,
        #[command(flatten)]
        place: Place,
    },
    /// Play a script many times, each with faults drawn by chance and a seed of its own: are the rules kept,
    /// and how often is the guard wrong?
    Days {
        script: PathBuf,
        #[arg(long, default_value_t = 20)]
        count: u64,
        #[arg(long, default_value_t = 1)]
        first_seed: u64,
        #[arg(long, default_value = "report")]
        guard: String,
        /// Days played at once, each in the next realm.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=8))]
        at_once: u8,
        #[command(flatten)]
        place: Place,
    },
    /// Play seeded runs of restarts on the platform's protocol and check what crossed the sockets.
    Soak {
        /// Runs, each of the next seed.
        #[arg(long, default_value_t = 10)]
        runs: u64,
        #[arg(long, default_value_t = 1)]
        first_seed: u64,
        /// s; length of a run.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Runs played at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=8))]
        at_once: u8,
        /// The protocol: the platform's where it is left out; on the others, days of the demo's fleet are judged.
        #[arg(long, value_enum)]
        front: Option<script::Front>,
        /// The first realm of such days; each that is played at once has the next.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=17))]
        realm: u8,
        /// The pilot's program; left out, the one beside this program.
        #[arg(long)]
        pilot: Option<PathBuf>,
    },
    /// Check the rules on a record.
    Judge { record: PathBuf },
    /// Write a page of what a recorded day with prices cost, as HTML.
    Costs { record: PathBuf, page: PathBuf },
}

#[derive(clap::Args)]
struct Place {
    /// Which loopback addresses are used; runs at the same time need different ones.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=24))]
    realm: u8,
    /// Where the pilot answers DNS, if elsewhere.
    #[arg(long)]
    dns: Option<SocketAddr>,
    /// Where the pilot shows its status, if elsewhere.
    #[arg(long)]
    status: Option<SocketAddr>,
    /// The pilot's program; left out, the one beside this program.
    #[arg(long)]
    pilot: Option<PathBuf>,
}

/// Exit status where a program that plays days has ended before the day.
const ENDED: u8 = 3;

const DEMO: &str = include_str!("../scripts/demo.json");

/// The pilot's program: the one named, or that beside this program. Errors: there is none.
fn program(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let beside = || std::env::current_exe().map(|own| own.with_file_name("oatlever"));
    let program = named.cloned().map_or_else(beside, Ok).map_err(|e| e.to_string())?;
    match program.exists() {
        true => Ok(program),
        false => {
            Err(format!("{}: no pilot here; build the workspace or name it by --pilot", program.display()))
        }
    }
}

fn play(script: Script, place: &Place, instead: Option<Instead>) -> Result<Vec<Entry>, String> {
    let program = program(place.pilot.as_ref())?;
    let folder = std::env::temp_dir().join(format!("oatlever-{}-{}", std::process::id(), place.realm));
    let realm = Realm { number: place.realm, dns: place.dns, status: place.status };
    println!("dns {}  status http://{}/status  settings {}", realm.dns(), realm.status(), folder.display());
    let played =
        day::play(script, &day::Options { realm, program, folder: folder.clone(), instead, progress: true });
    if played.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    played
}

fn report(script: &Script, entries: &[Entry]) -> bool {
    let verdict = judge::judge(script, entries);
    println!("service {:.3}   worst second {:.3}", verdict.service(), verdict.worst_second);
    println!("cold servers: at most {:.2} of their limit, {} fell over", verdict.coldest, verdict.fell);
    println!("channel: at most {} lines waited", verdict.most_waiting);
    if let Some(cost) = cost::of(script, entries) {
        let (paid, best, over) = (cost.paid, cost.best, cost.over());
        println!("cost {paid:.1}   best after the fact {best:.1}   over it {over:.2}%");
        let fullest = (cost.fullest, cost.fullest_server);
        println!("fullest zone: {:.2} of what it can do, fullest server: {:.2}", fullest.0, fullest.1);
    }
    for (rule, what) in &verdict.broken {
        println!("rule {rule} broken: {what}");
    }
    let kept =
        verdict
            .breaches
            .iter()
            .map(|n| if *n == 0 { "kept".to_string() } else { format!("{n} times broken") });
    println!("rules 1 to 5: {}", kept.collect::<Vec<_>>().join(", "));
    verdict.broken.is_empty()
}

fn written(path: &Path, script: &Script, entries: &[Entry]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    writeln!(file, "{}", serde_json::to_string(script)?)?;
    for entry in entries {
        writeln!(file, "{}", serde_json::to_string(entry)?)?;
    }
    file.flush()
}

fn recorded(path: &Path) -> Result<(Script, Vec<Entry>), String> {
    let named = |line: usize, e: String| format!("{}:{line}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(|e| named(0, e.to_string()))?;
    let mut lines = std::io::BufReader::new(file).lines().enumerate();
    let (_, first) = lines.next().ok_or_else(|| named(1, "an empty record".to_string()))?;
    let first = first.map_err(|e| named(1, e.to_string()))?;
    let script = Script::read(&first).map_err(|e| named(1, e))?;
    let entry = |(n, line): (usize, std::io::Result<String>)| {
        let line = line.map_err(|e| named(n + 1, e.to_string()))?;
        serde_json::from_str(&line).map_err(|e| named(n + 1, e.to_string()))
    };
    Ok((script, lines.map(entry).collect::<Result<_, String>>()?))
}

/// A day played by a process of its own: sockets and timers end with it.
struct Child {
    process: std::process::Child,
    record: PathBuf,
}

impl Child {
    fn start(script: &Script, realm: u8, pilot: Option<&PathBuf>) -> Result<Child, String> {
        let seed = script.seed;
        let named =
            |what| std::env::temp_dir().join(format!("oatlever-{}-{seed}.{what}", std::process::id()));
        let (written, record) = (named("script"), named("record"));
        let text = serde_json::to_string(script).map_err(|e| e.to_string())?;
        std::fs::write(&written, text).map_err(|e| format!("{}: {e}", written.display()))?;
        let mut command = std::process::Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
        command.arg("day").arg(&written).arg("--record").arg(&record).args(["--realm", &realm.to_string()]);
        command.arg("--end-with-input").stdin(std::process::Stdio::piped());
        if let Some(pilot) = pilot {
            command.arg("--pilot").arg(pilot);
        }
        let process = command.stdout(std::process::Stdio::null()).spawn().map_err(|e| e.to_string())?;
        Ok(Child { process, record })
    }

    fn end(mut self) -> Result<(Script, Vec<Entry>), String> {
        // Its pipe stays open until it has ended: `wait` would close it before.
        let input = self.process.stdin.take();
        let status = self.process.wait().map_err(|e| e.to_string())?;
        drop(input);
        let read = recorded(&self.record).map_err(|e| format!("a day ended with {status}: {e}"));
        for path in [self.record.with_extension("script"), self.record] {
            let _ = std::fs::remove_file(path);
        }
        read
    }
}

/// Plays days of restarts on a front; returns whether all rules were kept and every pilot ended as it should.
fn soak_days(
    seeds: std::ops::Range<u64>,
    seconds: f64,
    (realm, at_once): (u8, u8),
    front: script::Front,
    program: &PathBuf,
) -> Result<bool, String> {
    let seeds: Vec<u64> = seeds.collect();
    let mut failed = 0;
    for some in seeds.chunks(usize::from(at_once)) {
        let days = (realm..).zip(some).map(|(realm, seed)| {
            let mut script = Script::read(DEMO)?;
            let faults = many::restarts(&mut fastrand::Rng::with_seed(*seed), script.zones, seconds);
            script = Script { seed: *seed, seconds, relays_by: front, faults, ..script };
            Ok((*seed, Child::start(&script, realm, Some(program))?))
        });
        for (seed, day) in days.collect::<Result<Vec<(u64, Child)>, String>>()? {
            let outcome = day.end().map(|(script, entries)| judge::judge(&script, &entries));
            let kept = outcome.as_ref().is_ok_and(|verdict| verdict.broken.is_empty());
            match outcome {
                Ok(verdict) => {
                    println!("seed {seed:4}  service {:.3}  broken {:?}", verdict.service(), verdict.broken)
                }
                Err(what) => println!("seed {seed:4}  {what}"),
            }
            if !kept {
                let front = format!("{front:?}").to_lowercase();
                println!("    again: oatlever-standins soak --front {front} --first-seed {seed} --runs 1 --seconds {seconds}");
                failed += 1;
            }
        }
    }
    println!("{} days, {failed} failed", seeds.len());
    Ok(failed == 0)
}

fn read(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo { seconds, place } => {
            let mut script = Script::read(DEMO)?;
            script.seconds = seconds;
            let entries = play(script.clone(), &place, None)?;
            Ok(report(&script, &entries))
        }
        Command::Day { script, record, relays_by, guard, instead, no_prices, end_with_input, place } => {
            if end_with_input {
                std::thread::spawn(end_with_standard_input);
            }
            let mut script = read(&script)?;
            script.relays_by = relays_by.unwrap_or(script.relays_by);
            script.guard = guard.or(script.guard);
            script.costs = script.costs.map(|costs| Costs { told: costs.told && !no_prices, ..costs });
            let entries = play(script.clone(), &place, instead)?;
            if let Some(path) = record {
                written(&path, &script, &entries).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(report(&script, &entries))
        }
        Command::Days { script, count, first_seed, guard, at_once, place } => {
            let mut script = read(&script)?;
            script.guard = Some(guard);
            let seeds: Vec<u64> = (first_seed..first_seed + count).collect();
            let (mut tally, mut kept) = (Tally::default(), true);
            for seeds in seeds.chunks(usize::from(at_once.max(1))) {
                let realms = (place.realm..).zip(seeds);
                let days = realms.map(|(realm, seed)| {
                    let mut chance = fastrand::Rng::with_seed(*seed);
                    let faults = many::faults(&mut chance, script.zones, script.seconds);
                    let script = Script { seed: *seed, faults, ..script.clone() };
                    Child::start(&script, realm, place.pilot.as_ref())
                });
                for day in days.collect::<Result<Vec<Child>, String>>()? {
                    let (script, entries) = day.end()?;
                    let verdict = judge::judge(&script, &entries);
                    tally.take(&script, &entries);
                    let told = (script.seed, verdict.service(), verdict.breaches);
                    println!("seed {:4}  service {:.3}  broken {:?}", told.0, told.1, told.2);
                    kept &= verdict.broken.is_empty();
                }
            }
            println!("{} days, {} verdicts", tally.days, tally.verdicts);
            for (check, (found, wrong)) in &tally.findings {
                println!("{check:14} {found:5} found, {wrong:5} not borne out");
            }
            Ok(kept)
        }
        Command::Soak { runs, first_seed, seconds, at_once, front, realm, pilot } => {
            let (program, seeds) = (program(pilot.as_ref())?, first_seed..first_seed + runs);
            match front {
                None => soaking::soak(seeds, seconds, usize::from(at_once), &program),
                Some(front) => soak_days(seeds, seconds, (realm, at_once), front, &program),
            }
        }
        Command::Costs { record, page } => {
            let (script, entries) = recorded(&record)?;
            let cost = cost::of(&script, &entries);
            let cost = cost.ok_or_else(|| format!("{}: the script has no prices", record.display()))?;
            std::fs::write(&page, page::of(&cost)?).map_err(|e| format!("{}: {e}", page.display()))?;
            Ok(true)
        }
        Command::Judge { record } => {
            let (script, entries) = recorded(&record)?;
            Ok(report(&script, &entries))
        }
    }
}

/// Ends the process when standard input ends; its pilot ends with it.
fn end_with_standard_input() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(i32::from(ENDED));
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("oatlever-standins: {what}");
            ExitCode::from(2)
        }
    }
}
