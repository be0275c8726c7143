//! The read-only HTTP server with `/metrics`, `/status` and `/changes`.

use crate::metrics;
use crate::pages::{self, HttpResponse};
use crate::serve::Pilot;
use async_executor::LocalExecutor;
use async_io::Async;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use oatlever_tables::Change;
use serde_json::{json, Value};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// Changes returned by `/changes` without `most=`.
const DEFAULT_CHANGES: usize = 100;

pub async fn serve(
    socket: TcpListener,
    pilot: Rc<Pilot>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let socket = Async::<TcpListener>::try_from(socket)?;
    let accept = async || socket.accept().await.map(|(stream, _)| stream);
    pages::serve(accept, move |request, _| handle(&pilot, request), executor).await;
    Ok(())
}

fn handle(pilot: &Pilot, request: &Parts) -> HttpResponse {
    let (status, content_type, body) = match (&request.method, request.uri.path()) {
        (&Method::GET, "/metrics") => match metrics::text(pilot) {
            Ok(text) => (StatusCode::OK, "application/openmetrics-text; version=1.0.0; charset=utf-8", text),
            Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
        },
        (&Method::GET, "/status") => (StatusCode::OK, "application/json", status(pilot).to_string()),
        (&Method::GET, "/changes") => match changes(pilot, request.uri.query().unwrap_or("")) {
            Ok(value) => (StatusCode::OK, "application/json", value.to_string()),
            Err(error) => (StatusCode::BAD_REQUEST, "text/plain", error),
        },
        (&Method::GET, _) => (StatusCode::NOT_FOUND, "text/plain", "/metrics, /status, /changes\n".into()),
        _ => (StatusCode::METHOD_NOT_ALLOWED, "text/plain", "GET only\n".into()),
    };
    pages::response(status, content_type, body)
}

fn status(pilot: &Pilot) -> Value {
    let core = pilot.core.borrow();
    let now = core.now();
    let tables = core.tables.all().map(|(table, version, index, users)| {
        let lines = index.lines().iter().map(|line| (line.server.to_string(), json!(line.weight)));
        json!({"table": table, "version": version, "users": users,
               "lines": lines.collect::<serde_json::Map<_, _>>()})
    });
    let askers = core.settings.askers.iter().enumerate().map(|(index, asker)| {
        let index = index as u16;
        let held = core.tables.held(index, 0);
        json!({"name": asker.name, "zone": asker.zone, "up": core.presence.is_up(index),
               "table": held.map(|view| view.table)})
    });
    let servers = core.book.members().iter().map(|(server, member)| {
        let age = (member.started > 0.0).then_some(now - member.started);
        json!({"server": server.to_string(), "zone": core.settings.zones[usize::from(member.zone)],
               "readiness": format!("{:?}", member.readiness).to_lowercase(), "weight": member.weight,
               "age": age, "in_flight": core.sums.in_flight.get(server)})
    });
    json!({
        "now": now,
        "rounds": core.counts.rounds,
        "version": core.tables.version(),
        "list": {"age": core.list_received_at.map(|at| now - at), "trouble": core.list_error},
        "channel": {"waiting": core.tables.pull.waiting(), "most": core.tables.pull.most},
        "plan": core.planning.as_ref().map(|planning| planning.explain(&core.settings, now)),
        "tables": tables.collect::<Vec<_>>(),
        "askers": askers.collect::<Vec<_>>(),
        "servers": servers.collect::<Vec<_>>(),
    })
}

/// The latest table changes, newest first. The query parameters `server=` and `table=` filter them, `most=` limits
/// their number.
fn changes(pilot: &Pilot, query: &str) -> Result<Value, String> {
    let (mut server, mut table, mut most) = (None, None, DEFAULT_CHANGES);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let invalid = |expected: &str| format!("{pair:?}: expected {expected}\n");
        match pair.split_once('=') {
            Some(("server", value)) => server = Some(value.to_string()),
            Some(("table", value)) => {
                table = Some(value.parse::<u16>().map_err(|_| invalid("a table's number"))?)
            }
            Some(("most", value)) => most = value.parse().map_err(|_| invalid("a number"))?,
            _ => return Err(invalid("server=, table= or most=")),
        }
    }
    let core = pilot.core.borrow();
    let now = core.now();
    let matches = |change: &&Change| {
        let has = |name: &String| change.lines.iter().any(|(line, _, _)| line.to_string() == *name);
        table.is_none_or(|table| change.table == table) && server.as_ref().is_none_or(has)
    };
    let changes = core.tables.history.newest().filter(matches).take(most).map(|change| {
        let lines = change.lines.iter().map(|(line, from, to)| (line.to_string(), json!([from, to])));
        let levels = change.levels.iter().map(|(class, (level, tries))| {
            json!({"class": core.settings.classes[usize::from(*class)].name, "level": level, "tries": tries})
        });
        let news = change.news.kinds().map(|(kind, count)| (kind.to_string(), json!(count)));
        json!({"version": change.version, "ago": now - change.at, "round": change.round,
               "news": news.collect::<serde_json::Map<_, _>>(), "table": change.table,
               "lines": lines.collect::<serde_json::Map<_, _>>(), "levels": levels.collect::<Vec<_>>()})
    });
    Ok(json!(changes.collect::<Vec<_>>()))
}
