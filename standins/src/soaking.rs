//! The `soak` command: executes runs, prints their results, and for failed runs the command to repeat them.

use oatlever_standins::soak::check::{check, times_to_ready, Violation, MOSTLY_READY_WITHIN};
use oatlever_standins::soak::plan::Plan;
use oatlever_standins::soak::play::{play, Options};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Tenths of all processes that must be ready within `MOSTLY_READY_WITHIN`.
const MOSTLY_TENTHS: usize = 9;

/// The result of a run.
struct Outcome {
    plan: Plan,
    /// Seconds from the start of each process to its first answer.
    times_to_ready: Vec<f64>,
    violations: Vec<Violation>,
    folder: PathBuf,
}

fn run(seed: u64, seconds: f64, slot: u8, program: &Path) -> Result<Outcome, String> {
    let plan = Plan::draw(seed, seconds);
    let folder = std::env::temp_dir().join(format!("oatlever-soak-{}-{seed}", std::process::id()));
    let options = Options { program: program.to_path_buf(), folder: folder.clone(), slot };
    let record = play(&plan, &options).map_err(|e| format!("seed {seed}: {e}"))?;
    let (times_to_ready, violations) = (times_to_ready(&record), check(&plan, &record));
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let lines: Vec<String> =
            record.iter().map(|entry| format!("{:.4} {:?}\n", entry.at, entry.event)).collect();
        std::fs::write(folder.join("record.txt"), lines.concat()).map_err(|e| e.to_string())?;
    }
    Ok(Outcome { plan, times_to_ready, violations, folder })
}

fn print(outcome: &Outcome) {
    let plan = &outcome.plan;
    let slowest = outcome.times_to_ready.iter().copied().fold(0.0, f64::max);
    println!(
        "seed {:4}  pilots {}  proxies {:2}  servers {:2} {:?}  rates {:?}  known {:?}  crowd {:3}  steps {:2}  starts {:2}  ready within {slowest:.2} s  {}",
        plan.seed, plan.pilots, plan.proxies, plan.servers, plan.cold, plan.rates, plan.known, plan.crowd,
        plan.steps.len(), outcome.times_to_ready.len(),
        if outcome.violations.is_empty() { "kept".to_string() } else { format!("{} BROKEN", outcome.violations.len()) },
    );
    for violation in &outcome.violations {
        println!("    {violation}");
    }
    if !outcome.violations.is_empty() {
        println!(
            "    again: oatlever-standins soak --first-seed {} --runs 1 --seconds {}; logs and record in {}",
            plan.seed,
            plan.seconds,
            outcome.folder.display()
        );
    }
}

/// Executes the runs of some seeds; returns whether there were no violations.
pub fn soak(seeds: Range<u64>, seconds: f64, at_once: usize, program: &Path) -> Result<bool, String> {
    let seeds: Vec<u64> = seeds.collect();
    let (mut failed, mut times_to_ready) = (0, Vec::new());
    for batch in seeds.chunks(at_once) {
        let outcomes = std::thread::scope(|scope| {
            let play = |(slot, seed): (usize, &u64)| {
                let seed = *seed;
                scope.spawn(move || run(seed, seconds, slot as u8, program))
            };
            let runs: Vec<_> = batch.iter().enumerate().map(play).collect();
            runs.into_iter().map(|run| run.join().expect("no run panics")).collect::<Result<Vec<_>, _>>()
        })?;
        for outcome in outcomes {
            print(&outcome);
            failed += usize::from(!outcome.violations.is_empty());
            times_to_ready.extend(outcome.times_to_ready);
        }
    }
    times_to_ready.sort_by(f64::total_cmp);
    let mostly_index = (times_to_ready.len() * MOSTLY_TENTHS).div_ceil(10).saturating_sub(1);
    let mostly = times_to_ready.get(mostly_index).copied().unwrap_or(0.0);
    println!(
        "{} runs, {failed} failed; {} starts, nine in ten ready within {mostly:.2} s, all within {:.2} s",
        seeds.len(),
        times_to_ready.len(),
        times_to_ready.last().copied().unwrap_or(0.0)
    );
    Ok(failed == 0 && mostly <= MOSTLY_READY_WITHIN)
}
