//! The state machine of one discovery stream: subscriptions, versions, nonces, ACK and NACK.
//!
//! It does no I/O and reads no clock. Both variants of the protocol use it; they differ in what a response contains:
//! all subscribed resources (state of the world), or those that changed (incremental).
//!
//! At most one response of a type is unanswered at a time, and nothing is sent while a response of an earlier type in
//! [`PUSH_ORDER`] is (make before break). Changes in the meantime go out with the next response in their latest state,
//! so that a slow proxy skips versions and costs no memory.

use std::collections::{BTreeMap, BTreeSet};

/// Types of resources, in the order in which they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    Cluster,
    Endpoints,
    Listener,
    Route,
}

pub const PUSH_ORDER: [ResourceType; 4] =
    [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Route];

impl ResourceType {
    pub fn type_url(self) -> &'static str {
        match self {
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn from_type_url(type_url: &str) -> Option<ResourceType> {
        PUSH_ORDER.into_iter().find(|resource_type| resource_type.type_url() == type_url)
    }

    /// Whether a first request without names subscribes to all resources. The protocol has this for clusters and
    /// listeners only.
    fn has_wildcard(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}

/// The resources that there are to send at one moment.
pub trait Snapshot {
    /// The version of a resource, or `None` if it does not exist.
    fn version(&self, resource_type: ResourceType, name: &str) -> Option<u64>;
    /// The names of all resources of a type.
    fn names(&self, resource_type: ResourceType) -> Vec<String>;
    /// The version of the tables, which increases with every change of any resource.
    fn tables_version(&self) -> u64;
}

/// The variant of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    StateOfTheWorld,
    Incremental,
}

/// A discovery request of either variant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// The nonce of the response that it answers. Empty in the first request of a type and in an incremental request
    /// that only changes subscriptions.
    pub nonce: String,
    /// State of the world: all names subscribed to. Incremental: names to subscribe to.
    pub subscribe: Vec<String>,
    /// Incremental: names to unsubscribe from.
    pub unsubscribe: Vec<String>,
    /// Incremental: versions that the proxy holds from an earlier stream.
    pub initial_versions: BTreeMap<String, u64>,
    /// The reason for a NACK.
    pub error: Option<String>,
}

/// The effect of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// It acknowledged the last response (ACK).
    Acknowledged,
    /// It rejected the last response (NACK), which was made of the tables at this version.
    Rejected { tables_version: u64, reason: String },
    /// It only changed subscriptions.
    Subscribed,
    /// It answered a response other than the last one, and had no effect on versions.
    Stale,
    /// It exceeded the limit of names per stream.
    TooManyNames,
}

/// A discovery response to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Push {
    pub resource_type: ResourceType,
    pub nonce: String,
    /// Names and versions.
    pub resources: Vec<(String, u64)>,
    /// Incremental: subscribed names without a resource.
    pub removed: Vec<String>,
    /// Names and versions of all resources of the type that the proxy holds once it has applied this response.
    pub held_after: BTreeMap<String, u64>,
    /// The version of the tables that it was made of.
    pub tables_version: u64,
}

/// Maximum number of names of a type that a stream may subscribe to. More than there are classes in any settings, and
/// few enough to keep in memory for each stream.
const MAX_NAMES: usize = 1024;

/// The version of a resource, or `None` if it does not exist.
type Version = Option<u64>;

/// A response that the proxy has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    tables_version: u64,
    /// The bits of the time in seconds at which it was made; as bits, so that sessions can be compared and hashed.
    since: u64,
    versions: BTreeMap<String, Version>,
}

/// The state of one resource type on a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Subscription {
    /// Whether there was any request for this type.
    requested: bool,
    wildcard: bool,
    names: BTreeSet<String>,
    /// Versions that the proxy has acknowledged.
    acknowledged: BTreeMap<String, Version>,
    /// Versions that it last rejected.
    rejected: BTreeMap<String, Version>,
    /// The nonce of the last response, answered or not.
    last_nonce: String,
    pending: Option<Pending>,
    /// Whether a response is due even if nothing has changed.
    response_due: bool,
    /// The version of the tables of the last acknowledged response.
    tables_version: u64,
}

impl Subscription {
    /// Applies the names of a request. Returns false if there are too many.
    fn update(&mut self, variant: Variant, resource_type: ResourceType, request: &Request) -> bool {
        let first = !std::mem::replace(&mut self.requested, true);
        let (had_wildcard, previous) = (self.wildcard, self.names.clone());
        if first && resource_type.has_wildcard() && request.subscribe.is_empty() {
            self.wildcard = true;
        }
        let keeps_wildcard = request.subscribe.is_empty() && self.wildcard && self.names.is_empty();
        if variant == Variant::StateOfTheWorld && !keeps_wildcard {
            self.wildcard = false;
            self.names.clear();
        }
        for name in &request.subscribe {
            match name.as_str() {
                "*" => self.wildcard = true,
                // By subscribing again to a name, the proxy asks for the resource to be sent again.
                name if variant == Variant::Incremental && self.names.contains(name) => {
                    self.acknowledged.remove(name);
                }
                name => drop(self.names.insert(name.to_string())),
            }
        }
        for name in &request.unsubscribe {
            match name.as_str() {
                "*" => self.wildcard = false,
                name => drop(self.names.remove(name)),
            }
        }
        if self.names.len() > MAX_NAMES || request.initial_versions.len() > MAX_NAMES {
            return false;
        }
        if first {
            let initial = request.initial_versions.iter();
            self.acknowledged.extend(initial.map(|(name, version)| (name.clone(), Some(*version))));
        }
        let (wildcard, names) = (self.wildcard, &self.names);
        self.acknowledged.retain(|name, _| wildcard || names.contains(name));
        self.rejected.retain(|name, _| wildcard || names.contains(name));
        let extended = first || wildcard && !had_wildcard || !names.is_subset(&previous);
        self.response_due |= variant == Variant::StateOfTheWorld && extended;
        true
    }

    /// The names in scope: subscribed to, existing (with a wildcard), or held although they no longer exist.
    fn names(&self, resource_type: ResourceType, snapshot: &dyn Snapshot) -> BTreeSet<String> {
        let mut names = self.names.clone();
        if self.wildcard {
            names.extend(snapshot.names(resource_type));
            names.extend(self.acknowledged.keys().cloned());
        }
        names
    }

    /// The versions that differ from what the proxy holds, without those that it rejected.
    fn changes(
        &self,
        variant: Variant,
        resource_type: ResourceType,
        snapshot: &dyn Snapshot,
    ) -> BTreeMap<String, Version> {
        let current = self.names(resource_type, snapshot).into_iter().map(|name| {
            let version = snapshot.version(resource_type, &name);
            (name, version)
        });
        let differs = |(name, version): &(String, Version)| {
            let held = self.acknowledged.get(name).copied();
            // Only incremental responses can say that a resource does not exist.
            let same = match variant {
                Variant::StateOfTheWorld => held.flatten() == *version,
                Variant::Incremental => held == Some(*version),
            };
            !same && self.rejected.get(name) != Some(version)
        };
        current.filter(differs).collect()
    }

    /// Whether the proxy is known to hold the current version of all resources. A pending response may contain names
    /// that a later request unsubscribed from and that one still to arrive subscribes to again, so nothing is certain
    /// until it is answered.
    fn is_current(&self, resource_type: ResourceType, snapshot: &dyn Snapshot) -> bool {
        let is_held = |name: &String| {
            self.acknowledged.get(name).copied().flatten() == snapshot.version(resource_type, name)
        };
        self.pending.is_none() && self.names(resource_type, snapshot).iter().all(is_held)
    }
}

/// The state of one discovery stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    variant: Variant,
    last_nonce: u64,
    /// By resource type.
    subscriptions: [Subscription; PUSH_ORDER.len()],
}

impl Session {
    pub fn new(variant: Variant) -> Self {
        Session { variant, last_nonce: 0, subscriptions: Default::default() }
    }

    /// Applies a request of the proxy.
    pub fn handle_request(&mut self, resource_type: ResourceType, request: Request) -> RequestOutcome {
        let subscription = &mut self.subscriptions[resource_type as usize];
        let is_answer = !request.nonce.is_empty();
        let answers_last = request.nonce == subscription.last_nonce;
        // In the state-of-the-world variant, a request that answers an older response is outdated as a whole, including
        // its names. In the incremental one its subscriptions apply regardless.
        if self.variant == Variant::StateOfTheWorld && is_answer && !answers_last {
            return RequestOutcome::Stale;
        }
        if !subscription.update(self.variant, resource_type, &request) {
            return RequestOutcome::TooManyNames;
        }
        if !is_answer {
            return RequestOutcome::Subscribed;
        }
        let Some(pending) = subscription.pending.take_if(|_| answers_last) else {
            return if answers_last { RequestOutcome::Subscribed } else { RequestOutcome::Stale };
        };
        let (wildcard, names) = (subscription.wildcard, &subscription.names);
        let versions = pending.versions.into_iter().filter(|(name, _)| wildcard || names.contains(name));
        match request.error {
            Some(reason) => {
                subscription.rejected.extend(versions);
                RequestOutcome::Rejected { tables_version: pending.tables_version, reason }
            }
            None => {
                for (name, version) in versions {
                    subscription.rejected.remove(&name);
                    subscription.acknowledged.insert(name, version);
                }
                subscription.tables_version = pending.tables_version;
                RequestOutcome::Acknowledged
            }
        }
    }

    /// The next response, if one is to be sent now. `now` is in seconds.
    pub fn next_push(&mut self, snapshot: &dyn Snapshot, now: f64) -> Option<Push> {
        for resource_type in PUSH_ORDER {
            let subscription = &self.subscriptions[resource_type as usize];
            if subscription.pending.is_some() {
                return None;
            }
            let changes = subscription.changes(self.variant, resource_type, snapshot);
            if !subscription.requested || changes.is_empty() && !subscription.response_due {
                continue;
            }
            let versions: BTreeMap<String, Version> = match self.variant {
                Variant::Incremental => changes,
                Variant::StateOfTheWorld => {
                    let names = subscription.names(resource_type, snapshot).into_iter();
                    names.map(|name| (name.clone(), snapshot.version(resource_type, &name))).collect()
                }
            };
            self.last_nonce += 1;
            let nonce = self.last_nonce.to_string();
            let existing = versions.iter().filter_map(|(name, version)| Some((name.clone(), (*version)?)));
            let missing = versions.iter().filter(|(_, version)| version.is_none());
            let incremental = self.variant == Variant::Incremental;
            let mut held = if incremental { subscription.acknowledged.clone() } else { BTreeMap::new() };
            held.extend(versions.clone());
            let push = Push {
                resource_type,
                nonce: nonce.clone(),
                resources: existing.collect(),
                removed: if incremental {
                    missing.map(|(name, _)| name.clone()).collect()
                } else {
                    Vec::new()
                },
                held_after: held.into_iter().filter_map(|(name, version)| Some((name, version?))).collect(),
                tables_version: snapshot.tables_version(),
            };
            let subscription = &mut self.subscriptions[resource_type as usize];
            subscription.response_due = false;
            subscription.last_nonce = nonce;
            subscription.pending =
                Some(Pending { tables_version: snapshot.tables_version(), since: now.to_bits(), versions });
            return Some(push);
        }
        None
    }

    /// A version of the tables such that the proxy is known to hold no older endpoints and routes; 0 before it has
    /// acknowledged any endpoints.
    pub fn acknowledged_version(&self, snapshot: &dyn Snapshot) -> u64 {
        let endpoints = &self.subscriptions[ResourceType::Endpoints as usize];
        if endpoints.acknowledged.is_empty() {
            return 0;
        }
        let routes = &self.subscriptions[ResourceType::Route as usize];
        let requested = [(ResourceType::Endpoints, endpoints), (ResourceType::Route, routes)]
            .into_iter()
            .filter(|(_, subscription)| subscription.requested);
        let versions = requested.map(|(resource_type, subscription)| {
            if subscription.is_current(resource_type, snapshot) {
                snapshot.tables_version()
            } else {
                subscription.tables_version
            }
        });
        versions.min().unwrap_or(0)
    }

    /// Whether the proxy has acknowledged or rejected endpoints, or brought ones that are still valid.
    pub fn has_answered(&self) -> bool {
        let endpoints = &self.subscriptions[ResourceType::Endpoints as usize];
        !endpoints.acknowledged.is_empty() || !endpoints.last_nonce.is_empty() && endpoints.pending.is_none()
    }

    /// The time in seconds at which the oldest unanswered response was made.
    pub fn unanswered_since(&self) -> Option<f64> {
        let pending = self.subscriptions.iter().filter_map(|subscription| subscription.pending.as_ref());
        pending.map(|pending| f64::from_bits(pending.since)).min_by(f64::total_cmp)
    }
}
