//! The state machine of one discovery stream: subscriptions, versions, nonces, ACK and NACK.
//!
//! No I/O and no clock. Both variants of the protocol go through it; they differ in what a response holds:
//! all that is subscribed to (state of the world), or what has changed (incremental).
//!
//! One response of a kind is under way at a time, and none while one of a kind before it is: clusters,
//! endpoints, listeners, routes (make before break). What changes meanwhile goes out in the next response,
//! as it is then, so that a slow proxy skips versions and costs no memory.

use std::collections::{BTreeMap, BTreeSet};

/// Kinds of resources, in the order they go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Cluster,
    Endpoints,
    Listener,
    Route,
}

pub const KINDS: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];

impl Kind {
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn of(type_url: &str) -> Option<Kind> {
        KINDS.into_iter().find(|kind| kind.type_url() == type_url)
    }

    /// Whether a subscription to nothing in particular means all (only these may be asked for so).
    fn has_wildcard(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }
}

/// What there is to push, as of one moment.
pub trait Source {
    /// The version of a resource; none where there is none of that name.
    fn version(&self, kind: Kind, name: &str) -> Option<u64>;
    /// Names of all resources of a kind.
    fn names(&self, kind: Kind) -> Vec<String>;
    /// Counts changes of all that is pushed.
    fn now(&self) -> u64;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    /// State of the world.
    State,
    /// Incremental.
    Delta,
}

/// A request, either variant's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Of the response it answers; empty in the first of a kind, and (incremental) where it only
    /// subscribes.
    pub nonce: String,
    /// State of the world: all names subscribed to. Incremental: those added.
    pub names: Vec<String>,
    /// Incremental: names given up.
    pub leave: Vec<String>,
    /// Incremental: what the proxy holds from an earlier stream.
    pub holds: BTreeMap<String, u64>,
    /// Why the response was refused.
    pub error: Option<String>,
}

/// What a request came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A response was taken.
    Acknowledged,
    /// A response was refused; it held what tables said at this moment.
    Refused { at: u64, why: String },
    /// It subscribes, and answers nothing.
    Subscribed,
    /// It answers an older response than the last: nothing changes.
    Stale,
    /// More names than a stream may have.
    TooMany,
}

/// A response to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Push {
    pub kind: Kind,
    pub nonce: String,
    /// Names and versions.
    pub resources: Vec<(String, u64)>,
    /// Incremental: names that there are no resources of.
    pub removed: Vec<String>,
    /// All names and versions of the kind that the proxy holds once it has taken this.
    pub holds: BTreeMap<String, u64>,
    /// What tables said when it was made.
    pub at: u64,
}

/// Names a stream may subscribe to, of each kind. More than any settings have classes, few enough to keep.
const MOST_NAMES: usize = 1024;

/// A version, or that there is no such resource.
type Sent = Option<u64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flight {
    at: u64,
    /// When it was made: the bits of a time in s, so that states compare.
    since: u64,
    held: BTreeMap<String, Sent>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Watch {
    /// Somebody has asked for this kind at all.
    open: bool,
    all: bool,
    names: BTreeSet<String>,
    /// What the proxy holds for sure.
    taken: BTreeMap<String, Sent>,
    /// What it has refused last.
    refused: BTreeMap<String, Sent>,
    /// The nonce of the last response, answered or not.
    last: String,
    flight: Option<Flight>,
    /// A request that is to be answered even if there is nothing new.
    owed: bool,
    /// What tables said when it last took a response.
    at: u64,
}

impl Watch {
    /// Follows the names of a request; false where there are too many.
    fn subscribe(&mut self, variant: Variant, kind: Kind, request: &Request) -> bool {
        let first = !std::mem::replace(&mut self.open, true);
        let before = (self.all, self.names.clone());
        if first && kind.has_wildcard() && request.names.is_empty() {
            self.all = true;
        }
        if variant == Variant::State && !(request.names.is_empty() && self.all && self.names.is_empty()) {
            self.all = false;
            self.names.clear();
        }
        for name in &request.names {
            match name.as_str() {
                "*" => self.all = true,
                // Asked for again on purpose: it is told again.
                name if variant == Variant::Delta && self.names.contains(name) => {
                    self.taken.remove(name);
                }
                name => drop(self.names.insert(name.to_string())),
            }
        }
        for name in &request.leave {
            match name.as_str() {
                "*" => self.all = false,
                name => drop(self.names.remove(name)),
            }
        }
        if self.names.len() > MOST_NAMES || request.holds.len() > MOST_NAMES {
            return false;
        }
        if first {
            self.taken.extend(request.holds.iter().map(|(name, version)| (name.clone(), Some(*version))));
        }
        let (all, names) = (self.all, std::mem::take(&mut self.names));
        self.taken.retain(|name, _| all || names.contains(name));
        self.refused.retain(|name, _| all || names.contains(name));
        self.owed |= variant == Variant::State && (first || all && !before.0 || !names.is_subset(&before.1));
        self.names = names;
        true
    }

    /// Names that matter now: subscribed to, there, or held though they are there no more.
    fn names(&self, kind: Kind, source: &dyn Source) -> BTreeSet<String> {
        let mut names = self.names.clone();
        if self.all {
            names.extend(source.names(kind));
            names.extend(self.taken.keys().cloned());
        }
        names
    }

    /// What differs from what the proxy holds and has not been refused as it is.
    fn news(&self, variant: Variant, kind: Kind, source: &dyn Source) -> BTreeMap<String, Sent> {
        let with_versions = self.names(kind, source).into_iter().map(|name| {
            let version = source.version(kind, &name);
            (name, version)
        });
        let differs = |(name, now): &(String, Sent)| {
            let held = self.taken.get(name).copied();
            // State of the world has no way to say that there is none.
            let same = match variant {
                Variant::State => held.flatten() == *now,
                Variant::Delta => held == Some(*now),
            };
            !same && self.refused.get(name) != Some(now)
        };
        with_versions.filter(differs).collect()
    }

    /// Whether the proxy holds what there is, all of it. What is under way may hold names given up since
    /// and taken up again by a request still to come, so nothing is sure before it is answered.
    fn is_current(&self, kind: Kind, source: &dyn Source) -> bool {
        let held = |name: &String| self.taken.get(name).copied().flatten() == source.version(kind, name);
        self.flight.is_none() && self.names(kind, source).iter().all(held)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    variant: Variant,
    nonces: u64,
    watches: [Watch; KINDS.len()],
}

impl Session {
    pub fn new(variant: Variant) -> Self {
        Session { variant, nonces: 0, watches: Default::default() }
    }

    pub fn hear(&mut self, kind: Kind, request: Request) -> Heard {
        let watch = &mut self.watches[kind as usize];
        let answers = !request.nonce.is_empty();
        let last = request.nonce == watch.last;
        // State of the world: what does not answer the last response is out of date as a whole, names
        // included. Incremental: what it subscribes to counts, whatever it answers.
        if self.variant == Variant::State && answers && !last {
            return Heard::Stale;
        }
        if !watch.subscribe(self.variant, kind, &request) {
            return Heard::TooMany;
        }
        if !answers {
            return Heard::Subscribed;
        }
        let Some(flight) = watch.flight.take_if(|_| last) else {
            return if last { Heard::Subscribed } else { Heard::Stale };
        };
        let (all, names) = (watch.all, &watch.names);
        let held = flight.held.into_iter().filter(|(name, _)| all || names.contains(name));
        match request.error {
            Some(why) => {
                watch.refused.extend(held);
                Heard::Refused { at: flight.at, why }
            }
            None => {
                for (name, sent) in held {
                    watch.refused.remove(&name);
                    watch.taken.insert(name, sent);
                }
                watch.at = flight.at;
                Heard::Acknowledged
            }
        }
    }

    /// The next response, if there is one to send now, s.
    pub fn next(&mut self, source: &dyn Source, now: f64) -> Option<Push> {
        for kind in KINDS {
            let watch = &self.watches[kind as usize];
            if watch.flight.is_some() {
                return None;
            }
            let news = watch.news(self.variant, kind, source);
            if !watch.open || news.is_empty() && !watch.owed {
                continue;
            }
            // State of the world: all that is subscribed to; incremental: the news.
            let told: BTreeMap<String, Sent> = match self.variant {
                Variant::Delta => news,
                Variant::State => {
                    let names = watch.names(kind, source).into_iter();
                    names.map(|name| (name.clone(), source.version(kind, &name))).collect()
                }
            };
            self.nonces += 1;
            let nonce = self.nonces.to_string();
            let there = told.iter().filter_map(|(name, sent)| sent.map(|version| (name.clone(), version)));
            let gone = told.iter().filter(|(_, sent)| sent.is_none()).map(|(name, _)| name.clone());
            let mut holds =
                if self.variant == Variant::Delta { watch.taken.clone() } else { BTreeMap::new() };
            holds.extend(told.clone());
            let push = Push {
                kind,
                holds: holds.into_iter().filter_map(|(name, sent)| Some((name, sent?))).collect(),
                nonce: nonce.clone(),
                resources: there.collect(),
                removed: if self.variant == Variant::Delta { gone.collect() } else { Vec::new() },
                at: source.now(),
            };
            let watch = &mut self.watches[kind as usize];
            watch.owed = false;
            watch.last = nonce;
            watch.flight = Some(Flight { at: source.now(), since: now.to_bits(), held: told });
            return Some(push);
        }
        None
    }

    /// The version of tables that the proxy surely holds no older lines than; 0 before it took any.
    pub fn held(&self, source: &dyn Source) -> u64 {
        let lines = &self.watches[Kind::Endpoints as usize];
        if lines.taken.is_empty() {
            return 0;
        }
        let levels = &self.watches[Kind::Route as usize];
        let each = [(Kind::Endpoints, lines), (Kind::Route, levels)].into_iter().filter(|(_, w)| w.open);
        let held = each.map(|(kind, w)| if w.is_current(kind, source) { source.now() } else { w.at });
        held.min().unwrap_or(0)
    }

    /// Whether the proxy has taken or refused lines, or came with ones that still hold.
    pub fn has_answered(&self) -> bool {
        let lines = &self.watches[Kind::Endpoints as usize];
        !lines.taken.is_empty() || !lines.last.is_empty() && lines.flight.is_none()
    }

    /// When the oldest response still unanswered was made, s.
    pub fn unanswered_since(&self) -> Option<f64> {
        let since = self.watches.iter().filter_map(|watch| watch.flight.as_ref());
        since.map(|flight| f64::from_bits(flight.since)).min_by(f64::total_cmp)
    }
}
