//! Commands to a running pilot: HTTP over a Unix socket that only its own user may use.

use crate::guarding;
use crate::pages::{self, Page};
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
use std::io::{self, Read, Write};
use std::net::SocketAddrV4;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Every table: its version, the version it is frozen at, and those that are kept.
    List,
    /// The lines of a version.
    Show { table: u16, version: u64 },
    /// What differs between two versions.
    Diff { table: u16, from: u64, to: u64 },
    /// Freeze a table at an old version; drains and cold limits go on above it.
    Rollback { table: u16, version: u64 },
    /// Freeze a table at lines written by hand: a JSON object of weights by `address:port`.
    Lay { table: u16, lines: PathBuf },
    /// Let a frozen table follow the decisions again.
    Release { table: u16 },
}

/// Method, path and body of a request.
pub type Message = (&'static str, String, String);

impl Command {
    /// Method, path and body. Errors: a file that can't be read.
    pub fn request(&self) -> Result<Message, String> {
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

/// What the guard is asked or told.
#[derive(Debug, Subcommand)]
pub enum Word {
    /// Counts, what holds for a while, and the last verdicts that were not fine.
    Explain,
    /// Lift a check for so many seconds, in somebody's name.
    Override {
        #[arg(value_parser = check)]
        check: Check,
        by: String,
        seconds: f64,
    },
    /// Hold a server's part of every table that names it between two figures, for so many seconds.
    Pin { server: SocketAddrV4, least: f64, most: f64, seconds: f64 },
}

/// A check by its name.
fn check(text: &str) -> Result<Check, String> {
    serde_json::from_value(Value::from(text)).map_err(|e| e.to_string())
}

/// s; a word holds no longer, as nobody remembers it then.
const LONGEST_WORD: f64 = 86_400.0;
/// Words that hold at once, of each kind.
const WORDS: usize = 64;

impl Word {
    pub fn request(&self) -> Message {
        let (method, path) = match self {
            Word::Explain => ("GET", "/guard".to_string()),
            Word::Override { check, by, seconds } => {
                ("POST", format!("/guard/override/{}/{by}/{seconds}", check.name()))
            }
            Word::Pin { server, least, most, seconds } => {
                ("POST", format!("/guard/pin/{server}/{least}/{most}/{seconds}"))
            }
        };
        (method, path, String::new())
    }

    fn read(method: &Method, parts: &[&str]) -> Option<Word> {
        let number = |text: &&str| text.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        Some(match (method, parts) {
            (&Method::GET, ["guard"]) => Word::Explain,
            (&Method::POST, ["guard", "override", name, by, seconds]) => {
                Word::Override { check: check(name).ok()?, by: by.to_string(), seconds: number(seconds)? }
            }
            (&Method::POST, ["guard", "pin", server, least, most, seconds]) => Word::Pin {
                server: server.parse().ok()?,
                least: number(least)?,
                most: number(most)?,
                seconds: number(seconds)?,
            },
            _ => return None,
        })
    }
}

/// The request that gives a zone's servers another price.
pub fn price(text: &str) -> Result<Message, String> {
    let told = || format!("{text:?}: expected ZONE=PRICE");
    let (zone, price) = text.split_once('=').ok_or_else(told)?;
    let price: f64 = price.parse().map_err(|_| told())?;
    Ok(("POST", format!("/prices/{zone}/{price}"), String::new()))
}

fn reprice(pilot: &Pilot, zone: &str, price: &str) -> Result<Value, String> {
    let mut core = pilot.core.borrow_mut();
    let price = price.parse::<f64>().ok().filter(|price| price.is_finite() && *price >= 0.0);
    let price = price.ok_or("a price is a number of 0 or more")?;
    let place = core.settings.zone(zone).ok_or_else(|| format!("{zone:?} is no zone of the settings"))?;
    let planning = core.planning.as_mut().ok_or("the settings have no /costs")?;
    planning.planner.reprice(usize::from(place), price);
    tracing::warn!(zone, price, "a price was changed by hand");
    Ok(json!({"zone": zone, "price": price}))
}

fn say(pilot: &Pilot, word: &Word) -> Result<Value, String> {
    let mut core = pilot.core.borrow_mut();
    let now = core.now();
    let guard = &mut core.guarding.as_mut().ok_or("the settings have no /guard")?.guard;
    guard.expire(now);
    let (held, seconds) = match word {
        Word::Explain => return Ok(guarding::explain(guard, now)),
        Word::Override { seconds, .. } => (guard.overrides.len(), *seconds),
        Word::Pin { least, most, .. } if least > most || *most > 1.0 => {
            return Err("a pin is two parts of 1, the lower one first".to_string())
        }
        Word::Pin { seconds, .. } => (guard.pins.len(), *seconds),
    };
    if seconds > LONGEST_WORD || held >= WORDS {
        return Err(format!("{WORDS} at once at most, each for {LONGEST_WORD} s at most"));
    }
    let until = now + seconds;
    match word {
        Word::Override { check, by, .. } => {
            guard.overrides.push(Override { check: *check, by: by.clone(), until });
        }
        Word::Pin { server, least, most, .. } => {
            let server = Address { host: server.ip().octets(), port: server.port() };
            guard.pins.retain(|pin| pin.server != server);
            guard.pins.push(Pin { server, least: *least, most: *most, until });
        }
        Word::Explain => {}
    }
    tracing::warn!(?word, "the guard was told");
    Ok(guarding::explain(guard, now))
}

/// Sends a request and prints the answer. Errors: nobody is there, or the pilot refuses, with its reason.
pub fn tell(socket: &Path, (method, path, body): Message) -> Result<(), String> {
    let told = |e: io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(told)?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(told)?;
    let length = body.len();
    let head = format!("host: pilot\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{method} {path} HTTP/1.1\r\n{head}\r\n\r\n{body}").map_err(told)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(told)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("the answer was cut off")?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(body.trim_end().to_string());
    }
    let value: Value = serde_json::from_str(body).map_err(|e| e.to_string())?;
    println!("{value:#}");
    Ok(())
}

/// Takes the socket's place. A file that nobody listens at is left from a pilot that was killed.
pub fn bind(path: &str) -> Result<UnixListener, String> {
    let told = |e: io::Error| format!("/control/socket: {path}: {e}");
    if UnixStream::connect(path).is_ok() {
        return Err(format!("/control/socket: {path}: another pilot listens there"));
    }
    match std::fs::symlink_metadata(path) {
        Ok(found) if std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) => {
            std::fs::remove_file(path).map_err(told)?;
        }
        Ok(_) => return Err(format!("/control/socket: {path}: something else is there")),
        Err(_) => {}
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    Ok(listener)
}

pub async fn serve(
    socket: UnixListener,
    pilot: Rc<Pilot>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let socket = Async::<UnixListener>::try_from(socket)?;
    let accept = async || socket.accept().await.map(|(stream, _)| stream);
    pages::serve(accept, move |request, body| page(&pilot, request, body), executor).await;
    Ok(())
}

fn page(pilot: &Pilot, request: &Parts, body: &[u8]) -> Page {
    let path = request.uri.path().trim_start_matches('/');
    let parts: Vec<&str> = path.split('/').collect();
    let method = &request.method;
    if let (&Method::GET, ["holders", server]) = (method, &parts[..]) {
        let mut core = pilot.core.borrow_mut();
        let now = core.now();
        let server = server.parse::<SocketAddrV4>().map_err(|e| format!("{server}: {e}"));
        let server = server.map(|server| Address { host: server.ip().octets(), port: server.port() });
        return told(server.and_then(|server| core.handing.holders(&server, now)));
    }
    if let (&Method::POST, ["prices", zone, price]) = (method, &parts[..]) {
        return told(reprice(pilot, zone, price));
    }
    let answer = match (command(method, &parts), Word::read(method, &parts)) {
        (Some(command), _) => act(pilot, &command, body),
        (_, Some(word)) => say(pilot, &word),
        (None, None) => Err("no such command".to_string()),
    };
    told(answer)
}

fn told(answer: Result<Value, String>) -> Page {
    match answer {
        Ok(value) => pages::answer(StatusCode::OK, "application/json", value.to_string()),
        Err(what) => pages::answer(StatusCode::BAD_REQUEST, "text/plain", what),
    }
}

fn command(method: &Method, parts: &[&str]) -> Option<Command> {
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
        // The lines are in the body.
        (&Method::POST, ["tables", t, "lay"]) => Command::Lay { table: table(t)?, lines: PathBuf::new() },
        (&Method::POST, ["tables", t, "release"]) => Command::Release { table: table(t)? },
        _ => return None,
    })
}

/// Lines written by hand. Errors: they are none.
fn written(body: &[u8]) -> Result<Lines, String> {
    let written: BTreeMap<SocketAddrV4, f64> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if let Some((server, weight)) = written.iter().find(|(_, weight)| **weight < 0.0) {
        return Err(format!("{server}: a weight of {weight}"));
    }
    let address = |host: SocketAddrV4| Address { host: host.ip().octets(), port: host.port() };
    Ok(written.into_iter().map(|(host, weight)| (address(host), weight)).collect())
}

fn act(pilot: &Pilot, command: &Command, body: &[u8]) -> Result<Value, String> {
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
            core.by_hand(|tables, review| tables.roll_back(*table, *version, now, review))
        }
        Command::Lay { table, .. } => {
            let lines = written(body)?;
            core.by_hand(|tables, review| tables.freeze(*table, lines, now, review))
        }
        Command::Release { table } => core.by_hand(|tables, review| tables.release(*table, now, review)),
    };
    let changed = changed.map_err(|refusal| refusal.to_string())?;
    drop(core);
    tracing::warn!(?command, version = changed, "tables changed by hand");
    pilot.changed.notify(usize::MAX);
    Ok(json!({"version": changed}))
}
