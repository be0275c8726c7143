//! Plays one case of the review: pilots as processes among stand-ins, and the rule checked on what crossed the sockets.
//!
//! Usage: review-platform CASE ROOT RUN-COMMAND RECORD. With `TROUBLE=0` the steps of the disruption are left out.
//! Exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod discovery;
mod json;
mod pilot;
mod rng;
mod rules;
mod setup;
mod slices;
mod trials;
mod wire;
mod world;

use std::path::PathBuf;
use std::time::Duration;

/// Seconds after which a run that hangs is ended.
const LONGEST: u64 = 115;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, run, record] = arguments.as_slice() else {
        eprintln!("usage: review-platform CASE ROOT RUN-COMMAND RECORD");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(LONGEST));
        pilot::kill_all();
        eprintln!("the run took too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = std::panic::catch_unwind(|| play(case, root, run, record, trouble));
    pilot::kill_all();
    let code = match played {
        Ok(Ok(code)) => code,
        Ok(Err(what)) => {
            eprintln!("could not run: {what}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}

fn play(case: &str, root: &str, run: &str, record: &str, trouble: bool) -> Result<i32, String> {
    let (setup, rule) = cases::find(case).ok_or("no such case")?;
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let file = std::fs::File::create(record).map_err(|e| e.to_string())?;
    if setup.slices.is_some() {
        let _ = std::fs::remove_dir_all(&folder);
        let (broken, end) = slices::Site::play(setup, PathBuf::from(root), run, file, trouble)?;
        println!("{end}");
        return Ok(i32::from(broken.contains_key(rule)));
    }
    let world = world::World::new(setup, &folder, PathBuf::from(root), run.to_string(), file, trouble);
    let mut world = world.map_err(|e| e.to_string())?;
    let result = world.run();
    let end = world.rules.summary();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    println!("{end}");
    result?;
    Ok(i32::from(world.rules.is_broken(rule)))
}
