//! The list of the operators' platform: documents, who is listed under which name, and its watch.
//!
//! Servers have names there that stay the same for all pilots, and an address that is this pilot's alone.
//! The decisions know servers by short numbers in the form of an address, which [`ServerRegistry`] gives out.

use oatlever::round::{Address, Entry, List, ListKind, Readiness};
use oatlever_fetch::{self as fetch, SingleThreaded};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes; no name of a server is longer.
const LONGEST_NAME: usize = 256;
/// Servers remembered after they were removed: reports of them still come, and tables may name them. Past
/// this the longest gone are forgotten, as new ones come with new names for as long as a pilot lives.
const REMEMBERED: usize = 512;
/// Bytes; a document is no longer: a list of tens of thousands of servers fits.
const LONGEST_DOCUMENT: usize = 8 << 20;
/// Where the list is.
const PATH: &str = "/v1/endpoints";

/// One server of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub name: String,
    pub host: SocketAddr,
    pub zone: u16,
    pub kind: String,
    pub readiness: Readiness,
    pub weight: f64,
    /// Unix time, s, of its last start; 0 means long ago.
    pub started: f64,
}

/// The list, or what changed in it.
#[derive(Clone, Debug)]
pub struct PlatformDocument {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<ListedServer>,
    /// What could not be used, by its place.
    pub errors: Vec<String>,
    /// Servers that those entries name, where they do.
    pub unreadable: Vec<String>,
}

#[derive(Deserialize)]
struct Wire {
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
    if wire.id.is_empty() || wire.id.len() > LONGEST_NAME {
        return Err(format!("an id of {} bytes", wire.id.len()));
    }
    let (weight, started) = (wire.weight, wire.started_ms / 1000.0);
    if weight < 0.0 || started < 0.0 {
        return Err("a weight or a start below 0".to_string());
    }
    Ok(ListedServer { name: wire.id, host: wire.addr, zone, kind: wire.kind, readiness, weight, started })
}

impl PlatformDocument {
    /// A list of nothing that is older than any other.
    pub fn empty() -> Self {
        let (servers, errors, unreadable) = (Vec::new(), Vec::new(), Vec::new());
        PlatformDocument { version: 0, full: true, servers, errors, unreadable }
    }

    /// Reads a document. Errors: it is none. Servers that can't be used are left out and told.
    pub fn read(bytes: &[u8], zones: &[String]) -> Result<Self, String> {
        let wire: Wire = serde_json::from_slice(bytes).map_err(|e| format!("not a list: {e}"))?;
        Ok(Self::of(wire, zones))
    }

    /// The same from a value, as the configuration of a pilot holds it.
    pub fn from_value(value: &Value, zones: &[String]) -> Result<Self, String> {
        let wire = Wire::deserialize(value).map_err(|e| format!("not a list: {e}"))?;
        Ok(Self::of(wire, zones))
    }

    fn of(wire: Wire, zones: &[String]) -> Self {
        let (mut servers, mut errors, mut unreadable) = (Vec::new(), Vec::new(), Vec::new());
        for (n, value) in wire.servers.iter().enumerate() {
            match server(value, zones) {
                Ok(server) => servers.push(server),
                Err(what) => {
                    errors.push(format!("/servers/{n}: {what}"));
                    unreadable.extend(value["id"].as_str().map(str::to_string));
                }
            }
        }
        PlatformDocument { version: wire.version, full: wire.full, servers, errors, unreadable }
    }
}

#[derive(Clone, Debug)]
struct Known {
    name: Rc<str>,
    host: SocketAddr,
    /// What was last told of it.
    entry: Entry,
}

/// Where a document comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The list that a pilot starts with.
    Cached,
    Update,
    /// Told by a source whose versions have started anew, so that they compare with none that are held.
    VersionReset,
}

/// Which server is which: names of the platform, numbers of the decisions.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    numbers: HashMap<Rc<str>, Address>,
    known: BTreeMap<Address, Known>,
    listed: BTreeMap<Address, bool>,
    /// Those not listed any more, the longest gone first.
    removed: VecDeque<Address>,
    kinds: Vec<String>,
    next: u32,
    /// The version of the list that is held; none before the first.
    pub version: Option<u64>,
}

impl ServerRegistry {
    /// Takes in a document and tells what it means to the decisions. Errors: it is older than what is held,
    /// or nothing in it can be used; what is held stays.
    ///
    /// Guards against a source that lags behind, as one that a pilot is moved to: servers that drain or
    /// are removed would be taken for open ones.
    ///
    /// In a whole list, a server whose entry can't be used stays as it was told last, and one that is not
    /// there is gone. Guards against one odd entry that keeps all removed servers listed, or that drops the
    /// server it speaks of.
    pub fn apply(&mut self, document: &PlatformDocument, origin: Origin) -> Result<List, String> {
        if let Some(held) = self.version.filter(|_| self.is_older(document) && origin != Origin::VersionReset)
        {
            return Err(format!("version {} is older than {held}, which is held", document.version));
        }
        if let Some(first) = document.errors.first().filter(|_| document.servers.is_empty()) {
            return Err(format!("version {}: nothing in it can be used: {first}", document.version));
        }
        let whole = document.full;
        let mut servers = document.servers.clone();
        if origin == Origin::VersionReset {
            servers.iter_mut().for_each(|server| server.readiness = self.readiness_anew(server));
        }
        let mut entries = Vec::new();
        if whole {
            for (_, listed) in self.listed.iter_mut() {
                *listed = false;
            }
            for name in &document.unreadable {
                let Some(number) = self.address(name) else { continue };
                if let Some(listed) = self.listed.get_mut(&number) {
                    *listed = true;
                    entries.extend(self.known.get(&number).map(|known| known.entry.clone()));
                }
            }
        }
        entries.extend(servers.iter().map(|server| self.entry(server)));
        let gone: Vec<Address> = self.listed.extract_if(.., |_, listed| !*listed).map(|(a, _)| a).collect();
        self.removed.extend(gone);
        while self.removed.len() > REMEMBERED {
            let forgotten = self.removed.pop_front().and_then(|old| self.known.remove(&old));
            forgotten.map(|known| self.numbers.remove(&known.name));
        }
        self.version = Some(document.version);
        let kind = match (whole, origin) {
            (true, Origin::Cached) => ListKind::Cached,
            (true, _) => ListKind::Full,
            (false, _) => ListKind::Changes,
        };
        Ok(List { kind, entries })
    }

    /// Whether a document has an older version than what is held.
    pub fn is_older(&self, document: &PlatformDocument) -> bool {
        self.version.is_some_and(|held| document.version < held)
    }

    /// What a list of another count of versions says of a server, which may be older than what is held: one
    /// that drained or went opens again only where it has restarted since.
    fn readiness_anew(&self, server: &ListedServer) -> Readiness {
        let number = self.address(&server.name);
        let held = number.and_then(|number| Some((number, &self.known.get(&number)?.entry)));
        match held {
            Some((number, entry))
                if entry.started == server.started && server.readiness == Readiness::Ready =>
            {
                if self.listed.contains_key(&number) {
                    entry.readiness
                } else {
                    Readiness::Gone
                }
            }
            _ => server.readiness,
        }
    }

    fn entry(&mut self, server: &ListedServer) -> Entry {
        let name: Rc<str> = server.name.as_str().into();
        let next = &mut self.next;
        let number = *self.numbers.entry(name.clone()).or_insert_with(|| {
            *next = next.wrapping_add(1);
            Address { host: next.to_be_bytes(), port: 0 }
        });
        let listed = server.readiness != Readiness::Gone;
        if listed && self.listed.insert(number, true).is_none() {
            self.removed.retain(|old| *old != number);
        } else if !listed {
            self.listed.entry(number).and_modify(|listed| *listed = false);
        }
        let kind = self.kinds.iter().position(|kind| *kind == server.kind).unwrap_or_else(|| {
            if self.kinds.len() < usize::from(u8::MAX) {
                self.kinds.push(server.kind.clone());
            }
            self.kinds.len() - 1
        });
        let entry = Entry {
            server: number,
            zone: server.zone,
            kind: kind as u8,
            readiness: server.readiness,
            weight: server.weight,
            started: server.started,
        };
        self.known.insert(number, Known { name, host: server.host, entry: entry.clone() });
        entry
    }

    /// The number of a server by its name; none where no list has named it lately.
    pub fn address(&self, name: &str) -> Option<Address> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, server: Address) -> Option<Rc<str>> {
        self.known.get(&server).map(|known| known.name.clone())
    }

    /// Where a server that is listed listens, as far as this pilot is told, and when it started.
    pub fn process(&self, server: Address) -> Option<(SocketAddr, f64)> {
        let known = self.known.get(&server).filter(|_| self.listed.contains_key(&server))?;
        Some((known.host, known.entry.started))
    }

    /// Servers listed now, and those remembered besides.
    pub fn sizes(&self) -> (usize, usize) {
        (self.listed.len(), self.removed.len())
    }
}

/// Why an answer is of no use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchError {
    pub message: String,
    /// The source has answered, but not what was asked for.
    pub answered: bool,
}

/// Asks for the list, one call after the other on one connection for as long as that lasts.
#[derive(Default)]
pub struct Watch {
    kept: Option<fetch::Connection>,
}

impl Watch {
    /// Asks for all of the list, or, after a version, for what is newer, waiting up to `wait` seconds for
    /// something to tell. May be given up on under way. Errors: no answer within `patience` seconds more, or
    /// one that is no list.
    pub async fn poll(
        &mut self,
        host: SocketAddr,
        after: Option<u64>,
        zones: &[String],
        (wait, patience): (f64, f64),
    ) -> Result<PlatformDocument, WatchError> {
        let (path, wait) = match after {
            None => (PATH.to_string(), 0.0),
            Some(version) => (format!("{PATH}?index={version}&wait={}", (wait * 1000.0) as u64), wait),
        };
        // Taken out, so that a call which is given up on under way leaves nothing behind.
        let kept = self.kept.take().filter(|kept| kept.host() == host);
        let asked = async {
            if let Some(mut kept) = kept {
                // Whoever listens there may have ended it meanwhile; then it is dialled anew, once.
                match kept.get(&path, false, LONGEST_DOCUMENT).await {
                    Err(fetch::Error::Broken(_)) => {}
                    other => return other.map(|answer| (kept, answer)),
                }
            }
            // Guards against a silent machine that takes the whole wait before a word is said.
            let mut fresh = fetch::with_timeout::<SingleThreaded, _>(
                patience,
                fetch::Connection::connect::<SingleThreaded>(host, None),
            )
            .await?;
            let answer = fresh.get(&path, false, LONGEST_DOCUMENT).await?;
            Ok((fresh, answer))
        };
        let got = fetch::with_timeout::<SingleThreaded, _>(wait + patience, asked).await;
        let missed =
            |answered: bool, what: String| WatchError { message: format!("{host}: {what}"), answered };
        let (kept, answer) = got.map_err(|e| missed(false, e.to_string()))?;
        if answer.status != 200 {
            return Err(missed(true, format!("status {}", answer.status)));
        }
        let document = PlatformDocument::read(&answer.body, zones).map_err(|e| missed(true, e))?;
        if after.is_none() && !document.full {
            return Err(missed(true, "changes where the whole list was asked for".to_string()));
        }
        self.kept = Some(kept);
        Ok(document)
    }
}
