//! The listed servers, and the start time of each on the pilot's clock.
//!
//! Documents state start times as wall-clock time, which may step. The pilot's own wall clock is not used: a
//! start time is converted once, by the server's age on the clock of the document's source, and kept for as
//! long as the `started` label does not change.

use crate::document::{Completeness, Document, ServerEntry};
use oatlever::round::{Address, Entry, List, ListKind, Readiness};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A server that is or was listed.
#[derive(Clone, Debug)]
pub struct Member {
    pub zone: u16,
    pub kind: u8,
    pub readiness: Readiness,
    pub weight: f64,
    /// The value of the `started` label.
    label: Option<f64>,
    /// Start time in seconds on the pilot's clock; 0 means long ago.
    pub started: f64,
    pub metrics: Option<SocketAddrV4>,
    pub orca: Option<SocketAddrV4>,
    /// When a list last contained it.
    last_listed: f64,
}

impl Member {
    /// The listed properties, for comparison.
    fn properties(&self) -> (u16, u8, Readiness, u64, u64, [Option<SocketAddrV4>; 2]) {
        let endpoints = [self.metrics, self.orca];
        (self.zone, self.kind, self.readiness, self.weight.to_bits(), self.started.to_bits(), endpoints)
    }
}

/// The result of applying a document.
#[derive(Clone, Debug)]
pub struct Update {
    pub list: List,
    /// The document changed the list.
    pub changed: bool,
}

/// A time that stays meaningful across restarts of the process: seconds since the machine's boot, and the ID
/// of that boot. Steps of the wall clock do not affect it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BootTime {
    pub boot: String,
    pub seconds: f64,
}

/// The list as stored for the next start.
#[derive(Serialize, Deserialize)]
struct SavedList {
    kept_at: Option<BootTime>,
    servers: Vec<SavedServer>,
}

/// A member as stored, with its age instead of its start time.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SavedServer {
    server: String,
    zone: u16,
    kind: u8,
    draining: bool,
    weight: f64,
    label: Option<f64>,
    /// Seconds since its start when the list was stored; `None` means long ago.
    age: Option<f64>,
    metrics: Option<SocketAddrV4>,
    #[serde(default)]
    orca: Option<SocketAddrV4>,
}

/// Maximum number of dropped servers that stay known. Beyond it, those that were listed longest ago are
/// removed.
const MAX_DROPPED: usize = 20_000;

/// The listed servers, and those that were dropped from the list.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    members: BTreeMap<Address, Member>,
    /// Servers that are not listed any more.
    ///
    /// The list may be wrong, and a dropped server may go on serving. If its reports were discarded as those
    /// of an unknown server, it would be considered silent. A server that is listed again keeps its start
    /// time.
    dropped: BTreeMap<Address, Member>,
    kinds: Vec<String>,
}

impl ServerList {
    /// Applies a document at `now`, the pilot's time. `clock` is the Unix time in seconds at which the source
    /// sent the document, by the source's clock. A document that is only partially readable drops no server.
    pub fn apply(&mut self, document: &Document, now: f64, clock: Option<f64>) -> Update {
        let (mut changed, before) = (false, self.members.len());
        for listed in &document.servers {
            let started = self.start_time(listed, now, clock);
            let kind = self.kind_number(&listed.kind);
            let member = Member {
                zone: listed.zone,
                kind,
                readiness: listed.readiness,
                weight: listed.weight,
                label: listed.started.or_else(|| self.get(&listed.server).and_then(|m| m.label)),
                started,
                metrics: listed.metrics,
                orca: listed.orca,
                last_listed: now,
            };
            let properties = member.properties();
            self.dropped.remove(&listed.server);
            let old = self.members.insert(listed.server, member);
            changed |= old.is_none_or(|old| old.properties() != properties);
        }
        let with_new = self.members.len();
        let named = |server: &Address| document.servers.binary_search_by(|l| l.server.cmp(server)).is_ok();
        let stays = |server: &Address| match &document.completeness {
            Completeness::Partial => true,
            Completeness::Full => named(server),
            Completeness::Except(invalid) => named(server) || invalid.contains(server),
        };
        self.dropped.extend(self.members.extract_if(.., |server, _| !stays(server)));
        while self.dropped.len() > MAX_DROPPED {
            let by_last_listed = |a: &(&Address, &Member), b: &(&Address, &Member)| {
                a.1.last_listed.total_cmp(&b.1.last_listed)
            };
            let oldest = self.dropped.iter().min_by(by_last_listed).map(|(server, _)| *server);
            oldest.map(|server| self.dropped.remove(&server));
        }
        let kind =
            if document.completeness == Completeness::Partial { ListKind::Changes } else { ListKind::Full };
        changed |= self.members.len() != with_new || with_new != before;
        Update { list: List { kind, entries: self.entries() }, changed }
    }

    /// Converts the `started` label to the pilot's clock.
    ///
    /// A label that is new is converted by its age. One that changed lies between the last list with the old
    /// value and now. Without a clock of the source, a new server counts as started now, which makes it as
    /// cold as possible.
    fn start_time(&self, listed: &ServerEntry, now: f64, clock: Option<f64>) -> f64 {
        let known = self.get(&listed.server);
        let Some(label) = listed.started else { return known.map_or(0.0, |m| m.started) };
        if let Some(same) = known.filter(|m| m.label == Some(label)) {
            return same.started;
        }
        let age = clock.map_or(0.0, |clock| (clock - label).max(0.0));
        let earliest = known.map_or(0.0, |m| m.last_listed);
        (now - age).max(earliest)
    }

    /// The number of a kind, which is allocated if the kind is new.
    fn kind_number(&mut self, kind: &str) -> u8 {
        let index = self.kinds.iter().position(|known| known == kind);
        let index = index.unwrap_or_else(|| {
            if self.kinds.len() < usize::from(u8::MAX) {
                self.kinds.push(kind.to_string());
            }
            self.kinds.len() - 1
        });
        index as u8
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

    /// A server that is listed, or that was dropped and is still known.
    pub fn get(&self, server: &Address) -> Option<&Member> {
        self.members.get(server).or_else(|| self.dropped.get(server))
    }

    pub fn members(&self) -> &BTreeMap<Address, Member> {
        &self.members
    }

    /// Serializes the list for the next start. `kept_at` is the current time, if known.
    pub fn save(&self, now: f64, kept_at: Option<BootTime>) -> String {
        let saved = |(server, m): (&Address, &Member)| SavedServer {
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
        let present = self.members.iter().filter(|(_, m)| m.readiness != Readiness::Gone);
        let list = SavedList { kept_at, servers: present.map(saved).collect() };
        serde_json::to_string(&list).unwrap_or_default()
    }

    /// Replaces the list by a stored one. The ages of the servers grow by the time since the list was stored;
    /// if that time is not known, as after a reboot, they stay the same.
    pub fn restore(
        &mut self,
        text: &str,
        zones: usize,
        now: f64,
        boot_time: Option<BootTime>,
    ) -> Result<List, String> {
        let saved: SavedList = serde_json::from_str(text).map_err(|e| format!("not a saved list: {e}"))?;
        let same_boot = saved.kept_at.zip(boot_time).filter(|(kept, now)| kept.boot == now.boot);
        let elapsed = same_boot.map_or(0.0, |(kept, now)| (now.seconds - kept.seconds).max(0.0));
        let mut members = BTreeMap::new();
        for s in saved.servers {
            let host: SocketAddrV4 =
                s.server.parse().map_err(|_| format!("{:?} is not an IPv4 address:port", s.server))?;
            if usize::from(s.zone) >= zones {
                return Err(format!("{} is in zone {}, but there are {zones} zones", s.server, s.zone));
            }
            let member = Member {
                zone: s.zone,
                kind: s.kind,
                readiness: if s.draining { Readiness::Draining } else { Readiness::Ready },
                weight: if s.weight > 0.0 && s.weight.is_finite() { s.weight } else { 1.0 },
                label: s.label,
                started: s.age.map_or(0.0, |age| (now - elapsed - age.max(0.0)).max(0.0)),
                metrics: s.metrics,
                orca: s.orca,
                last_listed: now,
            };
            members.insert(Address { host: host.ip().octets(), port: host.port() }, member);
        }
        self.members = members;
        Ok(List { kind: ListKind::Cached, entries: self.entries() })
    }
}
