//! `oatlever-benches`: figures for `docs/measurements.md`, ratios side by side in one run.

mod fleet;
mod front;
mod ledgers;
mod plans;
mod streams;
mod structures;
mod verdicts;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "oatlever-benches", about = "Measurements of oatlever's parts")]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// DNS answers a second and their time, beside a bare UDP echo.
    Dns {
        /// s for each of the two, each time.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// A round of decisions and what tables, books and memory cost, by size.
    Rounds,
    /// From an order to the last ACK on xDS streams, and bytes a change, by variant and number.
    Streams,
    /// A verdict of the guard, by size and change; its index beside a recount.
    Verdicts,
    /// The ledger of handed-out addresses beside plain maps: time and memory by askers.
    Ledgers,
    /// A plan by size: anew, after a change, where not all fits.
    Plans,
    /// Our structures beside plain ones.
    Structures,
}

fn main() {
    match Arguments::parse().what {
        What::Dns { seconds } => front::measure(seconds),
        What::Rounds => fleet::measure(),
        What::Streams => streams::measure(),
        What::Verdicts => verdicts::measure(),
        What::Ledgers => ledgers::measure(),
        What::Plans => plans::measure(),
        What::Structures => structures::measure(),
    }
}
