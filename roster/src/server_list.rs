//! Who is listed, and since when each server runs, on the pilot's own clock.
//!
//! Documents state starts in wall time, which may step. Nothing here goes by the pilot's wall clock: a
//! start is placed once, by its age on the clock of whoever wrote the document, and kept as long as its
//! label stays the same.

use crate::document::{Completeness, Document, ServerEntry};
use oatlever::round::{Address, Entry, List, ListKind, Readiness};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A server that some list named.
#[derive(Clone, Debug)]
pub struct Member {
    pub zone: u16,
    pub kind: u8,
    pub readiness: Readiness,
    pub weight: f64,
    /// Its label, as written.
    label: Option<f64>,
    /// s, on the pilot's clock; 0 means long ago.
    pub started: f64,
    pub metrics: Option<SocketAddrV4>,
    pub orca: Option<SocketAddrV4>,
    /// When a list last named it.
    seen: f64,
}

impl Member {
    /// All that a list says of it.
    fn facts(&self) -> (u16, u8, Readiness, u64, u64, [Option<SocketAddrV4>; 2]) {
        let places = [self.metrics, self.orca];
        (self.zone, self.kind, self.readiness, self.weight.to_bits(), self.started.to_bits(), places)
    }
}

/// What a document means.
#[derive(Clone, Debug)]
pub struct Update {
    pub list: List,
    /// It says something else than was known.
    pub changed: bool,
}

/// A moment that outlives the process: seconds since this machine's boot, and which boot it was. No step
/// of the wall's clock moves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BootTime {
    pub boot: String,
    pub seconds: f64,
}

/// The list as it is kept for the next start.
#[derive(Serialize, Deserialize)]
struct SavedList {
    kept_at: Option<BootTime>,
    servers: Vec<SavedServer>,
}

/// A member as it is kept: its age instead of a time.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SavedServer {
    server: String,
    zone: u16,
    kind: u8,
    draining: bool,
    weight: f64,
    label: Option<f64>,
    /// s since its start when it was written; none means long ago.
    age: Option<f64>,
    metrics: Option<SocketAddrV4>,
    #[serde(default)]
    orca: Option<SocketAddrV4>,
}

/// Servers remembered after the list dropped them; past this the longest gone are forgotten.
const DROPPED: usize = 20_000;

#[derive(Clone, Debug, Default)]
pub struct ServerList {
    members: BTreeMap<Address, Member>,
    /// Those that the list does not name any more.
    ///
    /// Guards against a list that errs: what is dropped may serve on, and reports of it must find it
    /// known, or it would be taken for silent. One that comes back is the same server, not a new one.
    dropped: BTreeMap<Address, Member>,
    kinds: Vec<String>,
}

impl ServerList {
    /// Takes in a document and tells what it means. `clock` is the writer's Unix time, s, as it sent the
    /// document; `now` the pilot's. A document that could not be read whole drops nobody.
    pub fn apply(&mut self, document: &Document, now: f64, clock: Option<f64>) -> Update {
        let (mut changed, before) = (false, self.members.len());
        for listed in &document.servers {
            let started = self.start_of(listed, now, clock);
            let kind = self.kind_of(&listed.kind);
            let member = Member {
                zone: listed.zone,
                kind,
                readiness: listed.readiness,
                weight: listed.weight,
                label: listed.started.or_else(|| self.get(&listed.server).and_then(|m| m.label)),
                started,
                metrics: listed.metrics,
                orca: listed.orca,
                seen: now,
            };
            let fresh = member.facts();
            self.dropped.remove(&listed.server);
            changed |= self.members.insert(listed.server, member).is_none_or(|old| old.facts() != fresh);
        }
        let with_new = self.members.len();
        let named = |server: &Address| document.servers.binary_search_by(|l| l.server.cmp(server)).is_ok();
        let stays = |server: &Address| match &document.completeness {
            Completeness::Partial => true,
            Completeness::Full => named(server),
            Completeness::Except(odd) => named(server) || odd.contains(server),
        };
        self.dropped.extend(self.members.extract_if(.., |server, _| !stays(server)));
        while self.dropped.len() > DROPPED {
            let oldest = self.dropped.iter().min_by(|a, b| a.1.seen.total_cmp(&b.1.seen)).map(|(s, _)| *s);
            oldest.map(|server| self.dropped.remove(&server));
        }
        let kind =
            if document.completeness == Completeness::Partial { ListKind::Changes } else { ListKind::Full };
        changed |= self.members.len() != with_new || with_new != before;
        Update { list: List { kind, entries: self.entries() }, changed }
    }

    /// A start that was told for the first time is placed by its age; one that changed lies between the
    /// last list that told the old one and now. Without a clock to go by, what is new is as cold as can be.
    fn start_of(&self, listed: &ServerEntry, now: f64, clock: Option<f64>) -> f64 {
        let known = self.get(&listed.server);
        let Some(label) = listed.started else { return known.map_or(0.0, |m| m.started) };
        if let Some(same) = known.filter(|m| m.label == Some(label)) {
            return same.started;
        }
        let age = clock.map_or(0.0, |clock| (clock - label).max(0.0));
        let least = known.map_or(0.0, |m| m.seen);
        (now - age).max(least)
    }

    fn kind_of(&mut self, kind: &str) -> u8 {
        let place = self.kinds.iter().position(|known| known == kind);
        let place = place.unwrap_or_else(|| {
            if self.kinds.len() < usize::from(u8::MAX) {
                self.kinds.push(kind.to_string());
            }
            self.kinds.len() - 1
        });
        place as u8
    }

    pub fn entries(&self) -> Vec<Entry> {
        let entry = |(server, m): (&Address, &Member)| Entry {
            server: *server,
            zone: m.zone,
            kind: m.kind,
            readiness: m.readiness,
            weight: m.weight,
            started: m.started,
        };
        self.members.iter().map(entry).collect()
    }

    /// A server that some list has named, whether or not the last one did.
    pub fn get(&self, server: &Address) -> Option<&Member> {
        self.members.get(server).or_else(|| self.dropped.get(server))
    }

    pub fn members(&self) -> &BTreeMap<Address, Member> {
        &self.members
    }

    /// The list as text for the next start, and when it was kept, where that can be told.
    pub fn save(&self, now: f64, kept_at: Option<BootTime>) -> String {
        let kept = |(server, m): (&Address, &Member)| SavedServer {
            server: server.to_string(),
            zone: m.zone,
            kind: m.kind,
            draining: m.readiness == Readiness::Draining,
            weight: m.weight,
            label: m.label,
            age: (m.started > 0.0).then_some(now - m.started),
            metrics: m.metrics,
            orca: m.orca,
        };
        let open = self.members.iter().filter(|(_, m)| m.readiness != Readiness::Gone);
        let saved = SavedList { kept_at, servers: open.map(kept).collect() };
        serde_json::to_string(&saved).unwrap_or_default()
    }

    /// Starts from a kept list. Servers have aged by the time since; where that is not known, as after a
    /// boot, each is as young as it was when the list was kept. Errors: it is no such list.
    pub fn restore(
        &mut self,
        text: &str,
        zones: usize,
        now: f64,
        moment: Option<BootTime>,
    ) -> Result<List, String> {
        let saved: SavedList = serde_json::from_str(text).map_err(|e| format!("not a kept list: {e}"))?;
        let since = saved.kept_at.zip(moment).filter(|(kept, now)| kept.boot == now.boot);
        let away = since.map_or(0.0, |(kept, now)| (now.seconds - kept.seconds).max(0.0));
        let mut members = BTreeMap::new();
        for k in saved.servers {
            let host: SocketAddrV4 = k.server.parse().map_err(|_| format!("{:?} is no server", k.server))?;
            if usize::from(k.zone) >= zones {
                return Err(format!("{} is in zone {}, of {zones}", k.server, k.zone));
            }
            let member = Member {
                zone: k.zone,
                kind: k.kind,
                readiness: if k.draining { Readiness::Draining } else { Readiness::Ready },
                weight: if k.weight > 0.0 && k.weight.is_finite() { k.weight } else { 1.0 },
                label: k.label,
                started: k.age.map_or(0.0, |age| (now - away - age.max(0.0)).max(0.0)),
                metrics: k.metrics,
                orca: k.orca,
                seen: now,
            };
            members.insert(Address { host: host.ip().octets(), port: host.port() }, member);
        }
        self.members = members;
        Ok(List { kind: ListKind::Cached, entries: self.entries() })
    }
}
