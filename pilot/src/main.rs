//! `oatlever`: one pilot on sockets.

mod clock;
mod control;
mod core;
mod drill;
mod guarding;
mod handing;
mod logs;
mod metrics;
mod pages;
mod plan;
mod planning;
mod platform;
mod probes;
mod serve;
mod status;
mod timers;

use clap::{Parser, Subcommand};
use oatlever_settings::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "oatlever", version, about = "Central planner behind a layer of plain proxies")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a pilot until SIGTERM or SIGINT.
    Pilot {
        /// Settings, as JSON.
        settings: PathBuf,
        /// How logs are written, to standard error.
        #[arg(long, value_enum, default_value_t = logs::Form::Text)]
        log: logs::Form,
        /// What is logged, as `info` or `oatlever=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// Start of all chance: the same seed draws alike.
        #[arg(long)]
        seed: Option<u64>,
        /// End as on SIGTERM when standard input ends, for a program that runs a pilot of its own: however that
        /// program ends, its pipe closes.
        #[arg(long)]
        end_with_input: bool,
    },
    /// Run a pilot on the operators' platform until SIGTERM or SIGINT.
    Platform {
        /// The configuration, as JSON; what `BALANCER_CONFIG` names where it is left out.
        configuration: Option<PathBuf>,
        /// How logs are written, to standard error.
        #[arg(long, value_enum, default_value_t = logs::Form::Text)]
        log: logs::Form,
        /// What is logged, as `info` or `oatlever=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// End as on SIGTERM when standard input ends, for a program that runs a pilot of its own.
        #[arg(long)]
        end_with_input: bool,
    },
    /// Check settings and say what is wrong with them.
    Check { settings: PathBuf },
    /// Print the JSON Schema of the settings.
    Schema,
    /// Look at the versions of a running pilot's tables, go back to one, let it go on.
    Tables {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        #[command(subcommand)]
        what: control::Command,
    },
    /// What answers of the DNS front may still bring a server, and until when.
    Holders {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        server: std::net::SocketAddrV4,
    },
    /// Give a zone's servers another price on a running pilot, until it restarts.
    Price {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        /// ZONE=PRICE
        price: String,
    },
    /// Plan the cheapest flows offline: what goes where, what it costs, what one more server would save.
    Plan {
        /// A model as JSON: `plan.model` on a pilot's `/status`, or by hand; `--schema` prints what it keeps.
        #[arg(required_unless_present = "schema")]
        model: Option<PathBuf>,
        /// Print the JSON Schema of models instead.
        #[arg(long)]
        schema: bool,
        #[command(flatten)]
        what: plan::What,
    },
    /// The guard that looks at tables before they go out.
    Guard {
        #[command(subcommand)]
        what: Guard,
    },
}

#[derive(Subcommand)]
enum Guard {
    /// Judge a table offline: exit 0 where it may go out, 1 where not. The page for operators has the form.
    Check { table: PathBuf, state: PathBuf },
    /// Ask or tell a running pilot's guard.
    At {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        #[command(subcommand)]
        what: control::Word,
    },
}

/// Exit status where the settings or the command line are wrong.
const WRONG: u8 = 2;
/// Exit status where the program could not do what it was asked.
const FAILED: u8 = 1;

fn read(path: &Path) -> Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        eprintln!("oatlever: {}: {e}", path.display());
        ExitCode::from(WRONG)
    })?;
    oatlever_settings::read(&text).map_err(|mistakes| {
        for mistake in mistakes {
            eprintln!("oatlever: {}: {mistake}", path.display());
        }
        ExitCode::from(WRONG)
    })
}

fn told(code: u8) -> impl Fn(String) -> ExitCode {
    move |e: String| {
        eprintln!("oatlever: {e}");
        ExitCode::from(code)
    }
}

/// Whether something asked for holds; errors are of what was given.
fn verdict(holds: Result<bool, String>) -> Result<(), ExitCode> {
    match holds.map_err(told(WRONG))? {
        true => Ok(()),
        false => Err(ExitCode::FAILURE),
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Schema => {
            println!("{:#}", oatlever_settings::schema());
            Ok(())
        }
        Command::Tables { socket, what } => {
            what.request().and_then(|request| control::tell(&socket, request)).map_err(told(FAILED))
        }
        Command::Holders { socket, server } => {
            let request = ("GET", format!("/holders/{server}"), String::new());
            control::tell(&socket, request).map_err(told(FAILED))
        }
        Command::Price { socket, price } => {
            control::price(&price).and_then(|request| control::tell(&socket, request)).map_err(told(FAILED))
        }
        Command::Plan { model, schema, what } => verdict(plan::run(model.as_deref(), schema, &what)),
        Command::Guard { what: Guard::At { socket, what } } => {
            control::tell(&socket, what.request()).map_err(told(FAILED))
        }
        Command::Guard { what: Guard::Check { table, state } } => verdict(drill::check(&table, &state)),
        Command::Check { settings } => read(&settings).map(|s| {
            println!(
                "{} zones, {} classes, {} askers: settings are right",
                s.zones.len(),
                s.classes.len(),
                s.askers.len()
            );
        }),
        Command::Platform { configuration, log, log_filter, end_with_input } => {
            let path = configuration.or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
            let path = path.ok_or_else(|| "no configuration: name one, or set BALANCER_CONFIG".to_string());
            platform::begin().map_err(told(FAILED)).and_then(|begun| {
                path.and_then(|path| Ok((platform::Configuration::load(&path)?, path)))
                    .and_then(|read| logs::start(log, &log_filter).map(|()| read))
                    .map_err(told(WRONG))
                    .and_then(|(read, path)| {
                        platform::run(read, path, begun, end_with_input).map_err(told(FAILED))
                    })
            })
        }
        Command::Pilot { settings, log, log_filter, seed, end_with_input } => {
            read(&settings).and_then(|settings| {
                logs::start(log, &log_filter).map_err(told(WRONG))?;
                let seed = seed.unwrap_or_else(|| fastrand::u64(..));
                serve::run(settings, seed, end_with_input).map_err(told(FAILED))
            })
        }
    };
    done.map_or_else(|code| code, |()| ExitCode::SUCCESS)
}
