//! `oatlever-standins` runs a real pilot on loopback with stand-ins for its servers, relays, terminals and service
//! discovery.

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
use script::{Baseline, Costs, Realm, Script};
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
    /// Run a day with the embedded script; prints one line per second.
    Demo {
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Run a script with a real pilot and check the rules.
    Day {
        script: PathBuf,
        /// Write the record to this file, one JSON value per line.
        #[arg(long)]
        record: Option<PathBuf>,
        /// How relays get their tables; overrides the script.
        #[arg(long, value_enum)]
        relays_by: Option<script::Front>,
        /// The mode of the pilot's guard, `report` or `enforce`; overrides the script.
        #[arg(long)]
        guard: Option<String>,
        /// How askers choose servers instead of by the pilot's answers.
        #[arg(long, value_enum)]
        instead: Option<Baseline>,
        /// Don't configure the script's prices in the pilot.
        #[arg(long)]
        no_prices: bool,
        /// Exit when standard input ends, for use by a parent process.
        #[arg(long)]
        end_with_input: bool,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Run a script many times with random faults; checks the rules and counts findings of the guard that were wrong.
    Days {
        script: PathBuf,
        #[arg(long, default_value_t = 20)]
        count: u64,
        #[arg(long, default_value_t = 1)]
        first_seed: u64,
        #[arg(long, default_value = "report")]
        guard: String,
        /// Number of concurrent days; each uses the next realm.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=8))]
        at_once: u8,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Run seeded soak tests of pilot restarts on the platform's protocol and check the messages.
    Soak {
        /// Number of runs, with consecutive seeds.
        #[arg(long, default_value_t = 10)]
        runs: u64,
        #[arg(long, default_value_t = 1)]
        first_seed: u64,
        /// Duration of a run in seconds.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Number of concurrent runs.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=8))]
        at_once: u8,
        /// Run days of the demo's fleet on this front and check the rules, instead of the platform's protocol.
        #[arg(long, value_enum)]
        front: Option<script::Front>,
        /// The first realm of these days; concurrent ones use the next realms.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=17))]
        realm: u8,
        /// The pilot's program; by default `oatlever` in the folder of this program.
        #[arg(long)]
        pilot: Option<PathBuf>,
    },
    /// Check the rules on a recorded day.
    Judge { record: PathBuf },
    /// Write the cost of a recorded day with prices as an HTML page.
    Costs { record: PathBuf, page: PathBuf },
}

#[derive(clap::Args)]
struct RunOptions {
    /// Selects the loopback addresses; concurrent runs need different realms.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=24))]
    realm: u8,
    /// Address for the pilot's DNS front, instead of the realm's.
    #[arg(long)]
    dns: Option<SocketAddr>,
    /// Address for the pilot's status page, instead of the realm's.
    #[arg(long)]
    status: Option<SocketAddr>,
    /// The pilot's program; by default `oatlever` in the folder of this program.
    #[arg(long)]
    pilot: Option<PathBuf>,
}

/// Exit status of a day whose parent process ended first.
const PARENT_ENDED: u8 = 3;

const DEMO: &str = include_str!("../scripts/demo.json");

/// Returns the path of the pilot's program.
///
/// # Errors
///
/// Returns an error if it doesn't exist.
fn pilot_program(path: Option<&PathBuf>) -> Result<PathBuf, String> {
    let default = || std::env::current_exe().map(|own| own.with_file_name("oatlever"));
    let program = path.cloned().map_or_else(default, Ok).map_err(|e| e.to_string())?;
    match program.exists() {
        true => Ok(program),
        false => Err(format!("{}: no such program; build the workspace or use --pilot", program.display())),
    }
}

fn play(script: Script, options: &RunOptions, baseline: Option<Baseline>) -> Result<Vec<Entry>, String> {
    let program = pilot_program(options.pilot.as_ref())?;
    let folder = std::env::temp_dir().join(format!("oatlever-{}-{}", std::process::id(), options.realm));
    let realm = Realm { number: options.realm, dns: options.dns, status: options.status };
    println!("dns {}  status http://{}/status  settings {}", realm.dns(), realm.status(), folder.display());
    let result =
        day::play(script, &day::Options { realm, program, folder: folder.clone(), baseline, progress: true });
    if result.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    result
}

/// Prints the verdict and the cost of a day; returns whether all rules were kept.
fn print_report(script: &Script, entries: &[Entry]) -> bool {
    let verdict = judge::judge(script, entries);
    println!("service {:.3}   worst second {:.3}", verdict.service(), verdict.worst_second);
    let (load, failed) = (verdict.max_cold_load, verdict.failed_cold_servers);
    println!("cold servers: at most {load:.2} of their limit, {failed} failed under overload");
    println!("channel: at most {} lines waited", verdict.max_waiting);
    if let Some(cost) = cost::of_day(script, entries) {
        let (paid, best, excess) = (cost.paid, cost.best, cost.excess_percent());
        println!("cost {paid:.1}   best plan in hindsight {best:.1}   excess {excess:.2}%");
        let (zone, server) = (cost.max_zone_utilization, cost.max_server_utilization);
        println!("highest utilization: zone {zone:.2}, server {server:.2}");
    }
    for (rule, description) in &verdict.violations {
        println!("rule {rule} broken: {description}");
    }
    let results =
        verdict.counts.iter().map(|n| if *n == 0 { "kept".to_string() } else { format!("{n} times broken") });
    println!("rules 1 to 5: {}", results.collect::<Vec<_>>().join(", "));
    verdict.violations.is_empty()
}

/// Writes the script and the record of a day, one JSON value per line.
fn write_record(path: &Path, script: &Script, entries: &[Entry]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    writeln!(file, "{}", serde_json::to_string(script)?)?;
    for entry in entries {
        writeln!(file, "{}", serde_json::to_string(entry)?)?;
    }
    file.flush()
}

/// Reads a file written by `write_record`.
///
/// # Errors
///
/// Returns an error with the path and the line number.
fn read_record(path: &Path) -> Result<(Script, Vec<Entry>), String> {
    let at_line = |line: usize, e: String| format!("{}:{line}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(|e| at_line(0, e.to_string()))?;
    let mut lines = std::io::BufReader::new(file).lines().enumerate();
    let (_, first) = lines.next().ok_or_else(|| at_line(1, "an empty record".to_string()))?;
    let first = first.map_err(|e| at_line(1, e.to_string()))?;
    let script = Script::read(&first).map_err(|e| at_line(1, e))?;
    let entry = |(n, line): (usize, std::io::Result<String>)| {
        let line = line.map_err(|e| at_line(n + 1, e.to_string()))?;
        serde_json::from_str(&line).map_err(|e| at_line(n + 1, e.to_string()))
    };
    Ok((script, lines.map(entry).collect::<Result<_, String>>()?))
}

/// A day that runs in a child process, so that all its sockets and timers end with it.
struct Child {
    process: std::process::Child,
    record: PathBuf,
}

impl Child {
    fn start(script: &Script, realm: u8, pilot: Option<&PathBuf>) -> Result<Child, String> {
        let seed = script.seed;
        let path = |extension| {
            std::env::temp_dir().join(format!("oatlever-{}-{seed}.{extension}", std::process::id()))
        };
        let (script_path, record) = (path("script"), path("record"));
        let text = serde_json::to_string(script).map_err(|e| e.to_string())?;
        std::fs::write(&script_path, text).map_err(|e| format!("{}: {e}", script_path.display()))?;
        let mut command = std::process::Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
        command
            .arg("day")
            .arg(&script_path)
            .arg("--record")
            .arg(&record)
            .args(["--realm", &realm.to_string()]);
        command.arg("--end-with-input").stdin(std::process::Stdio::piped());
        if let Some(pilot) = pilot {
            command.arg("--pilot").arg(pilot);
        }
        let process = command.stdout(std::process::Stdio::null()).spawn().map_err(|e| e.to_string())?;
        Ok(Child { process, record })
    }

    /// Waits for the exit and returns the record.
    fn finish(mut self) -> Result<(Script, Vec<Entry>), String> {
        // Taken out, as `wait` closes the pipe before it waits, which would end the process.
        let input = self.process.stdin.take();
        let status = self.process.wait().map_err(|e| e.to_string())?;
        drop(input);
        let record = read_record(&self.record).map_err(|e| format!("a day ended with {status}: {e}"));
        for path in [self.record.with_extension("script"), self.record] {
            let _ = std::fs::remove_file(path);
        }
        record
    }
}

/// Runs days with pilot restarts on a front. Returns whether all rules were kept and every pilot exited with status 0.
fn soak_days(
    seeds: std::ops::Range<u64>,
    seconds: f64,
    (realm, at_once): (u8, u8),
    front: script::Front,
    program: &PathBuf,
) -> Result<bool, String> {
    let seeds: Vec<u64> = seeds.collect();
    let mut failed = 0;
    for batch in seeds.chunks(usize::from(at_once)) {
        let days = (realm..).zip(batch).map(|(realm, seed)| {
            let mut script = Script::read(DEMO)?;
            let faults = many::draw_restarts(&mut fastrand::Rng::with_seed(*seed), script.zones, seconds);
            script = Script { seed: *seed, seconds, relays_by: front, faults, ..script };
            Ok((*seed, Child::start(&script, realm, Some(program))?))
        });
        for (seed, day) in days.collect::<Result<Vec<(u64, Child)>, String>>()? {
            let outcome = day.finish().map(|(script, entries)| judge::judge(&script, &entries));
            let kept = outcome.as_ref().is_ok_and(|verdict| verdict.violations.is_empty());
            match outcome {
                Ok(verdict) => {
                    println!(
                        "seed {seed:4}  service {:.3}  broken {:?}",
                        verdict.service(),
                        verdict.violations
                    )
                }
                Err(error) => println!("seed {seed:4}  {error}"),
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

fn read_script(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo { seconds, options } => {
            let mut script = Script::read(DEMO)?;
            script.seconds = seconds;
            let entries = play(script.clone(), &options, None)?;
            Ok(print_report(&script, &entries))
        }
        Command::Day { script, record, relays_by, guard, instead, no_prices, end_with_input, options } => {
            if end_with_input {
                std::thread::spawn(exit_with_standard_input);
            }
            let mut script = read_script(&script)?;
            script.relays_by = relays_by.unwrap_or(script.relays_by);
            script.guard = guard.or(script.guard);
            script.costs = script.costs.map(|costs| Costs { told: costs.told && !no_prices, ..costs });
            let entries = play(script.clone(), &options, instead)?;
            if let Some(path) = record {
                write_record(&path, &script, &entries).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(print_report(&script, &entries))
        }
        Command::Days { script, count, first_seed, guard, at_once, options } => {
            let mut script = read_script(&script)?;
            script.guard = Some(guard);
            let seeds: Vec<u64> = (first_seed..first_seed + count).collect();
            let (mut tally, mut kept) = (Tally::default(), true);
            for seeds in seeds.chunks(usize::from(at_once.max(1))) {
                let realms = (options.realm..).zip(seeds);
                let days = realms.map(|(realm, seed)| {
                    let mut rng = fastrand::Rng::with_seed(*seed);
                    let faults = many::draw_faults(&mut rng, script.zones, script.seconds);
                    let script = Script { seed: *seed, faults, ..script.clone() };
                    Child::start(&script, realm, options.pilot.as_ref())
                });
                for day in days.collect::<Result<Vec<Child>, String>>()? {
                    let (script, entries) = day.finish()?;
                    let verdict = judge::judge(&script, &entries);
                    tally.add(&script, &entries);
                    let (seed, service, counts) = (script.seed, verdict.service(), verdict.counts);
                    println!("seed {seed:4}  service {service:.3}  broken {counts:?}");
                    kept &= verdict.violations.is_empty();
                }
            }
            println!("{} days, {} verdicts", tally.days, tally.verdicts);
            for (check, (found, wrong)) in &tally.findings {
                println!("{check:14} {found:5} found, {wrong:5} not confirmed");
            }
            Ok(kept)
        }
        Command::Soak { runs, first_seed, seconds, at_once, front, realm, pilot } => {
            let (program, seeds) = (pilot_program(pilot.as_ref())?, first_seed..first_seed + runs);
            match front {
                None => soaking::soak(seeds, seconds, usize::from(at_once), &program),
                Some(front) => soak_days(seeds, seconds, (realm, at_once), front, &program),
            }
        }
        Command::Costs { record, page } => {
            let (script, entries) = read_record(&record)?;
            let cost = cost::of_day(&script, &entries);
            let cost = cost.ok_or_else(|| format!("{}: the script has no prices", record.display()))?;
            std::fs::write(&page, page::render(&cost)?).map_err(|e| format!("{}: {e}", page.display()))?;
            Ok(true)
        }
        Command::Judge { record } => {
            let (script, entries) = read_record(&record)?;
            Ok(print_report(&script, &entries))
        }
    }
}

/// Exits when standard input ends; the pilot then exits as well.
fn exit_with_standard_input() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(i32::from(PARENT_ENDED));
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("oatlever-standins: {error}");
            ExitCode::from(2)
        }
    }
}
