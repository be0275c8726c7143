//! Commands to a running pilot, sent as HTTP over a Unix socket that only the pilot's own user can open.

use crate::guard_review;
use crate::pages::{self, HttpResponse};
use crate::serve::Pilot;
use async_executor::LocalExecutor;
use async_io::Async;
use clap::Subcommand;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use oatlever::round::Address;
use oatlever_guard::{Check, Override, Pin};
use oatlever_tables::{FreezeError, Lines, TableVersion};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddrV4;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::rc::Rc;

#[derive(Debug, Subcommand)]
pub enum Command {
    /// List all tables: current version, version frozen at, and versions kept.
    List,
    /// Show the lines of one version.
    Show { table: u16, version: u64 },
    /// Show the lines that differ between two versions.
    Diff { table: u16, from: u64, to: u64 },
    /// Freeze a table at an old version; drains and the limits of cold servers still apply to it.
    Rollback { table: u16, version: u64 },
    /// Freeze a table at lines from a file: a JSON object of weights by `address:port`.
    Lay { table: u16, lines: PathBuf },
    /// Let a frozen table follow the decisions again.
    Release { table: u16 },
}

/// Method, path and body of an HTTP request.
pub type HttpRequest = (&'static str, String, String);

impl Command {
    /// The HTTP request for this command. Fails if the file with the lines can't be read.
    pub fn request(&self) -> Result<HttpRequest, String> {
        let mut body = String::new();
        let (method, path) = match self {
            Command::Lay { table, lines } => {
                body = std::fs::read_to_string(lines).map_err(|e| format!("{}: {e}", lines.display()))?;
                ("POST", format!("/tables/{table}/lay"))
            }
            Command::List => ("GET", "/tables".to_string()),
            Command::Show { table, version } => ("GET", format!("/tables/{table}/{version}")),
            Command::Diff { table, from, to } => ("GET", format!("/tables/{table}/{from}/{to}")),
            Command::Rollback { table, version } => ("POST", format!("/tables/{table}/rollback/{version}")),
            Command::Release { table } => ("POST", format!("/tables/{table}/release")),
        };
        Ok((method, path, body))
    }
}

/// Commands to the guard of a running pilot.
#[derive(Debug, Subcommand)]
pub enum GuardCommand {
    /// Show counts, overrides and pins in force, and the last verdicts other than "fine".
    Explain,
    /// Lift a check for a number of seconds, under the name of the person responsible.
    Override {
        #[arg(value_parser = check)]
        check: Check,
        by: String,
        seconds: f64,
    },
    /// Keep a server's share of every table that lists it between two fractions, for a number of seconds.
    Pin { server: SocketAddrV4, least: f64, most: f64, seconds: f64 },
}

/// Parses the name of a check.
fn check(name: &str) -> Result<Check, String> {
    serde_json::from_value(Value::from(name)).map_err(|e| e.to_string())
}

/// Longest duration of an override or a pin, in seconds. A longer one would outlive the operator's memory of it.
const MAX_GUARD_COMMAND_SECONDS: f64 = 86_400.0;
/// Overrides in force at the same time, and likewise pins.
const MAX_GUARD_COMMANDS: usize = 64;

impl GuardCommand {
    pub fn request(&self) -> HttpRequest {
        let (method, path) = match self {
            GuardCommand::Explain => ("GET", "/guard".to_string()),
            GuardCommand::Override { check, by, seconds } => {
                ("POST", format!("/guard/override/{}/{by}/{seconds}", check.name()))
            }
            GuardCommand::Pin { server, least, most, seconds } => {
                ("POST", format!("/guard/pin/{server}/{least}/{most}/{seconds}"))
            }
        };
        (method, path, String::new())
    }

    fn parse(method: &Method, parts: &[&str]) -> Option<GuardCommand> {
        let number = |text: &&str| text.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        Some(match (method, parts) {
            (&Method::GET, ["guard"]) => GuardCommand::Explain,
            (&Method::POST, ["guard", "override", name, by, seconds]) => GuardCommand::Override {
                check: check(name).ok()?,
                by: by.to_string(),
                seconds: number(seconds)?,
            },
            (&Method::POST, ["guard", "pin", server, least, most, seconds]) => GuardCommand::Pin {
                server: server.parse().ok()?,
                least: number(least)?,
                most: number(most)?,
                seconds: number(seconds)?,
            },
            _ => return None,
        })
    }
}

/// The request that sets the price of a zone's servers, from a `ZONE=PRICE` argument.
pub fn price_request(argument: &str) -> Result<HttpRequest, String> {
    let invalid = || format!("{argument:?}: expected ZONE=PRICE");
    let (zone, price) = argument.split_once('=').ok_or_else(invalid)?;
    let price: f64 = price.parse().map_err(|_| invalid())?;
    Ok(("POST", format!("/prices/{zone}/{price}"), String::new()))
}

fn set_zone_price(pilot: &Pilot, zone: &str, price: &str) -> Result<Value, String> {
    let mut core = pilot.core.borrow_mut();
    let price = price.parse::<f64>().ok().filter(|price| price.is_finite() && *price >= 0.0);
    let price = price.ok_or("a price must be a number of 0 or more")?;
    let index =
        core.settings.zone_index(zone).ok_or_else(|| format!("{zone:?} is not a zone of the settings"))?;
    let planning = core.planning.as_mut().ok_or("the settings have no /costs")?;
    planning.planner.set_price(usize::from(index), price);
    tracing::warn!(zone, price, "zone price changed by command");
    Ok(json!({"zone": zone, "price": price}))
}

fn execute_guard(pilot: &Pilot, command: &GuardCommand) -> Result<Value, String> {
    let mut core = pilot.core.borrow_mut();
    let now = core.now();
    let guard = &mut core.guard_review.as_mut().ok_or("the settings have no /guard")?.guard;
    guard.expire(now);
    let (in_force, seconds) = match command {
        GuardCommand::Explain => return Ok(guard_review::explain(guard, now)),
        GuardCommand::Override { seconds, .. } => (guard.overrides.len(), *seconds),
        GuardCommand::Pin { least, most, .. } if least > most || *most > 1.0 => {
            return Err("a pin takes two fractions from 0 to 1, the lower one first".to_string())
        }
        GuardCommand::Pin { seconds, .. } => (guard.pins.len(), *seconds),
    };
    if seconds > MAX_GUARD_COMMAND_SECONDS || in_force >= MAX_GUARD_COMMANDS {
        return Err(format!(
            "at most {MAX_GUARD_COMMANDS} may be in force, each for at most {MAX_GUARD_COMMAND_SECONDS} s"
        ));
    }
    let until = now + seconds;
    match command {
        GuardCommand::Override { check, by, .. } => {
            guard.overrides.push(Override { check: *check, author: by.clone(), expires_at: until });
        }
        GuardCommand::Pin { server, least, most, .. } => {
            let server = Address { host: server.ip().octets(), port: server.port() };
            guard.pins.retain(|pin| pin.server != server);
            guard.pins.push(Pin { server, min_share: *least, max_share: *most, expires_at: until });
        }
        GuardCommand::Explain => {}
    }
    tracing::warn!(word = ?command, "guard command executed");
    Ok(guard_review::explain(guard, now))
}

/// Listens on a Unix socket. Replaces a socket file without a listener, which a killed pilot leaves behind.
pub fn bind(path: &str) -> Result<UnixListener, String> {
    let with_path = |e: io::Error| format!("/control/socket: {path}: {e}");
    if UnixStream::connect(path).is_ok() {
        return Err(format!("/control/socket: {path}: another pilot listens there"));
    }
    match std::fs::symlink_metadata(path) {
        Ok(found) if std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) => {
            std::fs::remove_file(path).map_err(with_path)?;
        }
        Ok(_) => return Err(format!("/control/socket: {path}: exists and is not a socket")),
        Err(_) => {}
    }
    let listener = UnixListener::bind(path).map_err(with_path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(with_path)?;
    Ok(listener)
}

pub async fn serve(
    socket: UnixListener,
    pilot: Rc<Pilot>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let socket = Async::<UnixListener>::try_from(socket)?;
    let accept = async || socket.accept().await.map(|(stream, _)| stream);
    pages::serve(accept, move |request, body| handle(&pilot, request, body), executor).await;
    Ok(())
}

fn handle(pilot: &Pilot, request: &Parts, body: &[u8]) -> HttpResponse {
    let path = request.uri.path().trim_start_matches('/');
    let parts: Vec<&str> = path.split('/').collect();
    let method = &request.method;
    if let (&Method::GET, ["holders", server]) = (method, &parts[..]) {
        let mut core = pilot.core.borrow_mut();
        let now = core.now();
        let server = server.parse::<SocketAddrV4>().map_err(|e| format!("{server}: {e}"));
        let server = server.map(|server| Address { host: server.ip().octets(), port: server.port() });
        return response(server.and_then(|server| core.dns_answers.holders(&server, now)));
    }
    if let (&Method::POST, ["prices", zone, price]) = (method, &parts[..]) {
        return response(set_zone_price(pilot, zone, price));
    }
    response(match (parse_command(method, &parts), GuardCommand::parse(method, &parts)) {
        (Some(command), _) => execute(pilot, &command, body),
        (_, Some(command)) => execute_guard(pilot, &command),
        (None, None) => Err(format!("unknown command: {method} /{path}")),
    })
}

fn response(result: Result<Value, String>) -> HttpResponse {
    match result {
        Ok(value) => pages::response(StatusCode::OK, "application/json", value.to_string()),
        Err(error) => pages::response(StatusCode::BAD_REQUEST, "text/plain", error),
    }
}

fn parse_command(method: &Method, parts: &[&str]) -> Option<Command> {
    let number = |text: &&str| text.parse::<u64>().ok();
    let table = |text: &&str| text.parse::<u16>().ok();
    Some(match (method, parts) {
        (&Method::GET, ["tables"]) => Command::List,
        (&Method::GET, ["tables", t, version]) => {
            Command::Show { table: table(t)?, version: number(version)? }
        }
        (&Method::GET, ["tables", t, from, to]) => {
            Command::Diff { table: table(t)?, from: number(from)?, to: number(to)? }
        }
        (&Method::POST, ["tables", t, "rollback", version]) => {
            Command::Rollback { table: table(t)?, version: number(version)? }
        }
        // The request body holds the lines.
        (&Method::POST, ["tables", t, "lay"]) => Command::Lay { table: table(t)?, lines: PathBuf::new() },
        (&Method::POST, ["tables", t, "release"]) => Command::Release { table: table(t)? },
        _ => return None,
    })
}

/// Parses table lines: a JSON object of weights by `address:port`.
fn parse_lines(body: &[u8]) -> Result<Lines, String> {
    let weights: BTreeMap<SocketAddrV4, f64> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if let Some((server, weight)) = weights.iter().find(|(_, weight)| **weight < 0.0) {
        return Err(format!("{server}: the weight {weight} is negative"));
    }
    let address = |host: SocketAddrV4| Address { host: host.ip().octets(), port: host.port() };
    Ok(weights.into_iter().map(|(host, weight)| (address(host), weight)).collect())
}

fn execute(pilot: &Pilot, command: &Command, body: &[u8]) -> Result<Value, String> {
    let mut core = pilot.core.borrow_mut();
    let now = core.now();
    let find = |table: u16, version: u64| -> Result<TableVersion, String> {
        let versions = core.tables.versions(table).ok_or(FreezeError::NoTable.to_string())?;
        versions.find(version).cloned().ok_or(FreezeError::NoVersion.to_string())
    };
    let changed = match command {
        Command::List => {
            let tables = core.tables.summaries().map(|(table, version, index, users)| {
                let kept = core.tables.versions(table).into_iter().flat_map(|versions| versions.all());
                let kept =
                    kept.map(|k| json!({"version": k.version, "ago": now - k.at, "lines": k.lines.len()}));
                json!({"table": table, "version": version, "lines": index.lines().len(), "users": users,
                       "frozen_at": core.tables.frozen_version(table), "kept": kept.collect::<Vec<_>>()})
            });
            return Ok(tables.collect());
        }
        Command::Show { table, version } => {
            let kept = find(*table, *version)?;
            let lines = kept.lines.iter().map(|(server, weight)| (server.to_string(), json!(weight)));
            return Ok(json!({"table": table, "version": version, "ago": now - kept.at,
                             "lines": lines.collect::<serde_json::Map<_, _>>()}));
        }
        Command::Diff { table, from, to } => {
            let (from, to) = (find(*table, *from)?.lines, find(*table, *to)?.lines);
            let servers: BTreeSet<_> = from.keys().chain(to.keys()).collect();
            let differing = servers.into_iter().filter(|server| from.get(server) != to.get(server));
            let lines =
                differing.map(|server| (server.to_string(), json!([from.get(server), to.get(server)])));
            return Ok(Value::Object(lines.collect()));
        }
        Command::Rollback { table, version } => {
            core.change_tables(|tables, review| tables.roll_back(*table, *version, now, review))
        }
        Command::Lay { table, .. } => {
            let lines = parse_lines(body)?;
            core.change_tables(|tables, review| tables.freeze(*table, lines, now, review))
        }
        Command::Release { table } => {
            core.change_tables(|tables, review| tables.release(*table, now, review))
        }
    };
    let changed = changed.map_err(|refusal| refusal.to_string())?;
    drop(core);
    tracing::warn!(?command, version = changed, "tables changed by command");
    pilot.tables_changed.notify(usize::MAX);
    Ok(json!({"version": changed}))
}
