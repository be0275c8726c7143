//! The server list of the operators' platform: its documents, and a registry of the listed servers.
//!
//! The platform gives each server a name, which is the same for all pilots, and an address, which may differ
//! between pilots. The decision logic identifies servers by short IDs in the form of an [`Address`], which
//! [`ServerRegistry`] allocates.

use oatlever::round::{Address, Entry, List, ListKind, Readiness};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum length of a server's name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of removed servers that stay known, as reports may still arrive for them and tables may
/// still contain them. Beyond it, those removed first are dropped: new servers come with new names, so
/// without a limit the registry would grow for as long as the pilot runs.
const MAX_REMOVED: usize = 512;

/// One server of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub name: String,
    pub host: SocketAddr,
    pub zone: u16,
    pub kind: String,
    pub readiness: Readiness,
    pub weight: f64,
    /// Unix time of its last start, in seconds; 0 means long ago.
    pub started: f64,
}

/// The whole list, or the changes since an earlier version.
#[derive(Clone, Debug)]
pub struct PlatformDocument {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<ListedServer>,
    /// The errors of entries that can't be used, with their positions.
    pub errors: Vec<String>,
    /// The names of servers whose entries can't be used, as far as the entries have a name.
    pub unreadable: Vec<String>,
}

#[derive(Deserialize)]
struct WireDocument {
    version: u64,
    full: bool,
    servers: Vec<Value>,
}

#[derive(Deserialize)]
struct WireServer {
    id: String,
    addr: SocketAddr,
    zone: String,
    #[serde(default)]
    kind: String,
    state: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
}

fn server(value: &Value, zones: &[String]) -> Result<ListedServer, String> {
    let wire = WireServer::deserialize(value).map_err(|e| e.to_string())?;
    let readiness = match wire.state.as_str() {
        "up" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "removed" => Readiness::Gone,
        state => return Err(format!("state is {state:?}, not up, draining or removed")),
    };
    let zone = zones.iter().position(|zone| *zone == wire.zone);
    let zone = zone.ok_or_else(|| format!("zone {:?} is not in the settings", wire.zone))? as u16;
    if wire.id.is_empty() || wire.id.len() > MAX_NAME_BYTES {
        return Err(format!("id has {} bytes, not 1 to {MAX_NAME_BYTES}", wire.id.len()));
    }
    let (weight, started) = (wire.weight, wire.started_ms / 1000.0);
    if weight < 0.0 || started < 0.0 {
        return Err("weight or started_ms is below 0".to_string());
    }
    Ok(ListedServer { name: wire.id, host: wire.addr, zone, kind: wire.kind, readiness, weight, started })
}

impl PlatformDocument {
    /// An empty list that is older than any other.
    pub fn empty() -> Self {
        let (servers, errors, unreadable) = (Vec::new(), Vec::new(), Vec::new());
        PlatformDocument { version: 0, full: true, servers, errors, unreadable }
    }

    /// Parses a document. Entries that can't be used are skipped and recorded in `errors`.
    pub fn parse(bytes: &[u8], zones: &[String]) -> Result<Self, String> {
        let wire: WireDocument = serde_json::from_slice(bytes).map_err(|e| format!("not a list: {e}"))?;
        Ok(Self::from_wire(wire, zones))
    }

    /// Like [`PlatformDocument::parse`], for a list that is embedded in the configuration of a pilot.
    pub fn from_value(value: &Value, zones: &[String]) -> Result<Self, String> {
        let wire = WireDocument::deserialize(value).map_err(|e| format!("not a list: {e}"))?;
        Ok(Self::from_wire(wire, zones))
    }

    fn from_wire(wire: WireDocument, zones: &[String]) -> Self {
        let (mut servers, mut errors, mut unreadable) = (Vec::new(), Vec::new(), Vec::new());
        for (n, value) in wire.servers.iter().enumerate() {
            match server(value, zones) {
                Ok(server) => servers.push(server),
                Err(error) => {
                    errors.push(format!("/servers/{n}: {error}"));
                    unreadable.extend(value["id"].as_str().map(str::to_string));
                }
            }
        }
        PlatformDocument { version: wire.version, full: wire.full, servers, errors, unreadable }
    }
}

#[derive(Clone, Debug)]
struct KnownServer {
    name: Rc<str>,
    host: SocketAddr,
    /// The entry of the last list that named the server.
    entry: Entry,
}

/// Where a document comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The list that a pilot starts with.
    Cached,
    /// The discovery service.
    Update,
    /// A discovery service whose versions have restarted, so that they can't be compared with the current
    /// version.
    VersionReset,
}

/// Maps the platform's server names to the IDs that the decision logic uses.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    ids: HashMap<Rc<str>, Address>,
    known: BTreeMap<Address, KnownServer>,
    /// Listed servers; false only while a document is applied that does not list the server any more.
    listed: BTreeMap<Address, bool>,
    /// Servers that are not listed any more, in the order of their removal.
    removed: VecDeque<Address>,
    kinds: Vec<String>,
    next_id: u32,
    /// The version of the current list; `None` before the first list.
    pub version: Option<u64>,
}

impl ServerRegistry {
    /// Applies a document and returns the list to pass to the decision logic.
    ///
    /// Fails without a change if the document is older than the current list or contains no usable entry. A
    /// pilot may be moved to a discovery service that lags behind; without this check, servers that are
    /// draining or removed would be considered ready.
    ///
    /// In a full list, a server whose entry can't be used keeps its last state, and a server without an entry
    /// is gone. So an invalid entry neither keeps removed servers listed nor drops its own server.
    pub fn apply(&mut self, document: &PlatformDocument, origin: Origin) -> Result<List, String> {
        if let Some(held) = self.version.filter(|_| self.is_older(document) && origin != Origin::VersionReset)
        {
            return Err(format!("version {} is older than the current version {held}", document.version));
        }
        if let Some(first) = document.errors.first().filter(|_| document.servers.is_empty()) {
            return Err(format!("version {} contains no usable server: {first}", document.version));
        }
        let full = document.full;
        let mut servers = document.servers.clone();
        if origin == Origin::VersionReset {
            servers.iter_mut().for_each(|server| server.readiness = self.readiness_after_reset(server));
        }
        let mut entries = Vec::new();
        if full {
            for (_, listed) in self.listed.iter_mut() {
                *listed = false;
            }
            for name in &document.unreadable {
                let Some(id) = self.id(name) else { continue };
                if let Some(listed) = self.listed.get_mut(&id) {
                    *listed = true;
                    entries.extend(self.known.get(&id).map(|known| known.entry.clone()));
                }
            }
        }
        entries.extend(servers.iter().map(|server| self.entry(server)));
        let gone: Vec<Address> = self.listed.extract_if(.., |_, listed| !*listed).map(|(a, _)| a).collect();
        self.removed.extend(gone);
        while self.removed.len() > MAX_REMOVED {
            let dropped = self.removed.pop_front().and_then(|oldest| self.known.remove(&oldest));
            dropped.map(|known| self.ids.remove(&known.name));
        }
        self.version = Some(document.version);
        let kind = match (full, origin) {
            (true, Origin::Cached) => ListKind::Cached,
            (true, _) => ListKind::Full,
            (false, _) => ListKind::Changes,
        };
        Ok(List { kind, entries })
    }

    /// Whether a document is older than the current list.
    pub fn is_older(&self, document: &PlatformDocument) -> bool {
        self.version.is_some_and(|held| document.version < held)
    }

    /// The readiness of a server in a list whose versions have restarted. The list may be older than the
    /// current one, so a server that was draining or removed is ready again only if it has restarted since.
    fn readiness_after_reset(&self, server: &ListedServer) -> Readiness {
        let id = self.id(&server.name);
        let current = id.and_then(|id| Some((id, &self.known.get(&id)?.entry)));
        match current {
            Some((id, entry)) if entry.started == server.started && server.readiness == Readiness::Ready => {
                if self.listed.contains_key(&id) {
                    entry.readiness
                } else {
                    Readiness::Gone
                }
            }
            _ => server.readiness,
        }
    }

    /// Records a listed server, allocating an ID if it is new, and returns its entry.
    fn entry(&mut self, server: &ListedServer) -> Entry {
        let name: Rc<str> = server.name.as_str().into();
        let next_id = &mut self.next_id;
        let id = *self.ids.entry(name.clone()).or_insert_with(|| {
            *next_id = next_id.wrapping_add(1);
            Address { host: next_id.to_be_bytes(), port: 0 }
        });
        let listed = server.readiness != Readiness::Gone;
        if listed && self.listed.insert(id, true).is_none() {
            self.removed.retain(|removed| *removed != id);
        } else if !listed {
            self.listed.entry(id).and_modify(|listed| *listed = false);
        }
        let kind = self.kinds.iter().position(|kind| *kind == server.kind).unwrap_or_else(|| {
            if self.kinds.len() < usize::from(u8::MAX) {
                self.kinds.push(server.kind.clone());
            }
            self.kinds.len() - 1
        });
        let entry = Entry {
            server: id,
            zone: server.zone,
            kind: kind as u8,
            readiness: server.readiness,
            weight: server.weight,
            started: server.started,
        };
        self.known.insert(id, KnownServer { name, host: server.host, entry: entry.clone() });
        entry
    }

    /// The ID of a listed or recently removed server.
    pub fn id(&self, name: &str) -> Option<Address> {
        self.ids.get(name).copied()
    }

    pub fn name(&self, server: Address) -> Option<Rc<str>> {
        self.known.get(&server).map(|known| known.name.clone())
    }

    /// The address and start time of a listed server.
    pub fn process(&self, server: Address) -> Option<(SocketAddr, f64)> {
        let known = self.known.get(&server).filter(|_| self.listed.contains_key(&server))?;
        Some((known.host, known.entry.started))
    }

    /// The numbers of listed servers and of removed ones that are still known.
    pub fn counts(&self) -> (usize, usize) {
        (self.listed.len(), self.removed.len())
    }
}
