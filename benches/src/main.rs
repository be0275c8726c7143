//! `oatlever-benches` measures parts of oatlever. Implementations that are compared are measured in the same run. The
//! results are in `docs/measurements.md`.

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
    benchmark: Benchmark,
}

#[derive(Subcommand)]
enum Benchmark {
    /// DNS answers per second and their latency, compared with a bare UDP echo.
    Dns {
        /// Duration of each measurement, in seconds.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// Duration of decision rounds with table updates, and memory, by the size of the fleet.
    Rounds,
    /// Time from a table change to the last ACK on xDS streams, and bytes per change, by variant and number of proxies.
    Streams,
    /// Duration of a guard verdict, by the size of the fleet and of the change; its load index compared with a recount.
    Verdicts,
    /// Time and memory of the ledger of handed-out addresses, compared with plain maps, by the number of askers.
    Ledgers,
    /// Duration of planning by size: from scratch, after a change, and with more demand than capacity.
    Plans,
    /// Data structures compared with simple implementations.
    Structures,
}

fn main() {
    match Arguments::parse().benchmark {
        Benchmark::Dns { seconds } => front::measure(seconds),
        Benchmark::Rounds => fleet::measure(),
        Benchmark::Streams => streams::measure(),
        Benchmark::Verdicts => verdicts::measure(),
        Benchmark::Ledgers => ledgers::measure(),
        Benchmark::Plans => plans::measure(),
        Benchmark::Structures => structures::measure(),
    }
}
