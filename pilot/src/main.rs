//! The `oatlever` command: runs a pilot, sends commands to a running one, and plans or checks tables offline.

mod clock;
mod control;
mod control_client;
mod core;
mod dns_answers;
mod guard_check;
mod guard_review;
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
        /// The settings file, as JSON.
        settings: PathBuf,
        /// The format of the logs, which go to standard error.
        #[arg(long, value_enum, default_value_t = logs::Form::Text)]
        log: logs::Form,
        /// Which logs are written, such as `info` or `oatlever=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// Seed of the random number generators; random by default.
        #[arg(long)]
        seed: Option<u64>,
        /// Shut down as on SIGTERM when standard input ends. For a parent process that starts a pilot: the pipe
        /// closes however the parent exits.
        #[arg(long)]
        end_with_input: bool,
    },
    /// Run a pilot on the operators' platform until SIGTERM or SIGINT.
    Platform {
        /// The configuration file, as JSON; defaults to the path in `BALANCER_CONFIG`.
        configuration: Option<PathBuf>,
        /// The format of the logs, which go to standard error.
        #[arg(long, value_enum, default_value_t = logs::Form::Text)]
        log: logs::Form,
        /// Which logs are written, such as `info` or `oatlever=debug`.
        #[arg(long, default_value = "info")]
        log_filter: String,
        /// Shut down as on SIGTERM when standard input ends, for a parent process that starts a pilot.
        #[arg(long)]
        end_with_input: bool,
    },
    /// Validate a settings file and report every mistake in it.
    Check { settings: PathBuf },
    /// Print the JSON Schema of the settings.
    Schema,
    /// List, show and compare versions of a running pilot's tables; roll back to one, or release a frozen table.
    Tables {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        #[command(subcommand)]
        what: control::Command,
    },
    /// Show how much load unexpired DNS answers may still bring a server, and until when.
    Holders {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        server: std::net::SocketAddrV4,
    },
    /// Set the price of a zone's servers on a running pilot, until it restarts.
    Price {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        /// ZONE=PRICE
        price: String,
    },
    /// Plan the cheapest flows offline: flows between zones, their cost, and what more capacity would save.
    Plan {
        /// A model as JSON: `plan.model` of a pilot's `/status`, or one written to the schema that `--schema` prints.
        #[arg(required_unless_present = "schema")]
        model: Option<PathBuf>,
        /// Print the JSON Schema of models instead.
        #[arg(long)]
        schema: bool,
        #[command(flatten)]
        options: plan::Options,
    },
    /// The guard, which checks tables before they are published.
    Guard {
        #[command(subcommand)]
        what: Guard,
    },
}

#[derive(Subcommand)]
enum Guard {
    /// Check a table offline. Exits with 0 if it may be published and with 1 if not. The operators' documentation
    /// describes the format of both files.
    Check { table: PathBuf, state: PathBuf },
    /// Inspect or command a running pilot's guard.
    At {
        /// The pilot's `/control/socket`.
        #[arg(long)]
        socket: PathBuf,
        #[command(subcommand)]
        what: control::GuardCommand,
    },
}

/// Exit status for invalid settings or arguments.
const INVALID_INPUT: u8 = 2;
/// Exit status for a command that failed.
const FAILED: u8 = 1;

fn read_settings(path: &Path) -> Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        eprintln!("oatlever: {}: {e}", path.display());
        ExitCode::from(INVALID_INPUT)
    })?;
    oatlever_settings::parse(&text).map_err(|mistakes| {
        for mistake in mistakes {
            eprintln!("oatlever: {}: {mistake}", path.display());
        }
        ExitCode::from(INVALID_INPUT)
    })
}

/// Prints an error and turns it into an exit status.
fn exit_with(code: u8) -> impl Fn(String) -> ExitCode {
    move |e: String| {
        eprintln!("oatlever: {e}");
        ExitCode::from(code)
    }
}

/// The exit status of an offline check: failure for a negative result, [`INVALID_INPUT`] for an error.
fn check_status(passed: Result<bool, String>) -> Result<(), ExitCode> {
    match passed.map_err(exit_with(INVALID_INPUT))? {
        true => Ok(()),
        false => Err(ExitCode::FAILURE),
    }
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Schema => {
            println!("{:#}", oatlever_settings::schema());
            Ok(())
        }
        Command::Tables { socket, what } => what
            .request()
            .and_then(|request| control_client::send(&socket, request))
            .map_err(exit_with(FAILED)),
        Command::Holders { socket, server } => {
            let request = ("GET", format!("/holders/{server}"), String::new());
            control_client::send(&socket, request).map_err(exit_with(FAILED))
        }
        Command::Price { socket, price } => control::price_request(&price)
            .and_then(|request| control_client::send(&socket, request))
            .map_err(exit_with(FAILED)),
        Command::Plan { model, schema, options } => {
            check_status(plan::run(model.as_deref(), schema, &options))
        }
        Command::Guard { what: Guard::At { socket, what } } => {
            control_client::send(&socket, what.request()).map_err(exit_with(FAILED))
        }
        Command::Guard { what: Guard::Check { table, state } } => {
            check_status(guard_check::check(&table, &state))
        }
        Command::Check { settings } => read_settings(&settings).map(|s| {
            println!(
                "settings are valid: {} zones, {} classes, {} askers",
                s.zones.len(),
                s.classes.len(),
                s.askers.len()
            );
        }),
        Command::Platform { configuration, log, log_filter, end_with_input } => {
            let path = configuration.or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
            let path = path.ok_or_else(|| "no configuration: pass a path or set BALANCER_CONFIG".to_string());
            platform::Startup::new().map_err(exit_with(FAILED)).and_then(|startup| {
                path.and_then(|path| Ok((platform::Configuration::load(&path)?, path)))
                    .and_then(|loaded| logs::start(log, &log_filter).map(|()| loaded))
                    .map_err(exit_with(INVALID_INPUT))
                    .and_then(|(configuration, path)| {
                        platform::run(configuration, path, startup, end_with_input).map_err(exit_with(FAILED))
                    })
            })
        }
        Command::Pilot { settings, log, log_filter, seed, end_with_input } => read_settings(&settings)
            .and_then(|settings| {
                logs::start(log, &log_filter).map_err(exit_with(INVALID_INPUT))?;
                let seed = seed.unwrap_or_else(|| fastrand::u64(..));
                serve::run(settings, seed, end_with_input).map_err(exit_with(FAILED))
            }),
    };
    result.map_or_else(|code| code, |()| ExitCode::SUCCESS)
}
