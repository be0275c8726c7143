//! Authorizes certificate identities to act as nodes. Does no I/O; the current time is an argument.
//!
//! A grant maps an identity, given in full or as a prefix, to one node or to all nodes of a zone. If any
//! grant names a node, only grants that name it apply to that node. Otherwise a grant for its zone would let
//! every proxy of the zone impersonate the node that has a grant of its own.

use crate::certificate::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The nodes that a grant covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    Node(String),
    /// Any node of the zone of this name.
    Zone(String),
}

/// Permission for an identity to act as the nodes of a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// A name in the certificate. A trailing `*` makes it a prefix pattern.
    pub identity: String,
    pub scope: Scope,
}

/// A node from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node<'a> {
    pub name: &'a str,
    pub zone: &'a str,
}

/// Why a peer may not act as a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Denied {
    /// Grants are configured and the peer presented no certificate.
    NoCertificate,
    /// The certificate expired this many seconds ago.
    Expired(f64),
    /// No grant maps any of the peer's names to this node.
    NotGranted { node: String, names: Vec<String> },
    /// The peer claims another zone than the node's.
    OtherZone { node: String, zone: String, claimed: String },
}

/// Maximum number of certificate names in an error message.
const MAX_NAMES_SHOWN: usize = 4;

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Denied::NoCertificate => write!(f, "no client certificate was presented"),
            Denied::Expired(ago) => write!(f, "the client certificate expired {ago:.0} s ago"),
            Denied::NotGranted { node, names } => {
                let shown: Vec<_> = names.iter().take(MAX_NAMES_SHOWN).map(String::as_str).collect();
                write!(f, "no grant allows the names {} to act as node {node:?}", shown.join(", "))
            }
            Denied::OtherZone { node, zone, claimed } => {
                write!(f, "node {node:?} is in zone {zone:?}, not in {claimed:?}")
            }
        }
    }
}

/// The scopes granted to one identity or identity prefix.
#[derive(Clone, Debug, Default)]
struct Scopes {
    nodes: BTreeSet<String>,
    zones: BTreeSet<String>,
}

impl Scopes {
    fn add(&mut self, scope: &Scope) {
        match scope {
            Scope::Node(node) => self.nodes.insert(node.clone()),
            Scope::Zone(zone) => self.zones.insert(zone.clone()),
        };
    }

    fn covers(&self, node: Node, only_by_name: bool) -> bool {
        self.nodes.contains(node.name) || !only_by_name && self.zones.contains(node.zone)
    }
}

/// All grants, indexed so that lookup time depends on the length of a name and not on the number of grants.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    exact: BTreeMap<String, Scopes>,
    by_prefix: BTreeMap<String, Scopes>,
    /// The distinct lengths of the keys of `by_prefix`.
    prefix_lengths: BTreeSet<usize>,
    /// Nodes that at least one grant names.
    named_nodes: BTreeSet<String>,
    enabled: bool,
}

impl Grants {
    pub fn new(grants: &[Grant]) -> Self {
        let mut all = Grants { enabled: !grants.is_empty(), ..Grants::default() };
        for grant in grants {
            if let Scope::Node(node) = &grant.scope {
                all.named_nodes.insert(node.clone());
            }
            let scopes = match grant.identity.strip_suffix('*') {
                Some(prefix) => {
                    all.prefix_lengths.insert(prefix.len());
                    all.by_prefix.entry(prefix.to_string()).or_default()
                }
                None => all.exact.entry(grant.identity.clone()).or_default(),
            };
            scopes.add(&grant.scope);
        }
        all
    }

    fn covers(&self, identity: &str, node: Node) -> bool {
        let only_by_name = self.named_nodes.contains(node.name);
        let covers = |scopes: &Scopes| scopes.covers(node, only_by_name);
        let with_prefix = |length: &usize| {
            let prefix = identity.get(..*length)?;
            self.by_prefix.get(prefix)
        };
        self.exact.get(identity).is_some_and(covers)
            || self.prefix_lengths.iter().filter_map(with_prefix).any(covers)
    }

    /// Checks whether a peer may act as `node` at `now` (Unix time in seconds).
    ///
    /// `claimed` is the zone that the peer states, if any. Without grants any peer may act as any node, but a
    /// claimed zone must still match.
    pub fn authorize(
        &self,
        peer: Option<&Peer>,
        node: Node,
        claimed: Option<&str>,
        now: f64,
    ) -> Result<(), Denied> {
        let name = || node.name.to_string();
        if let Some(claimed) = claimed.filter(|claimed| *claimed != node.zone) {
            let (zone, claimed) = (node.zone.to_string(), claimed.to_string());
            return Err(Denied::OtherZone { node: name(), zone, claimed });
        }
        // An expired certificate is rejected even if no grants are configured.
        if let Some(peer) = peer.filter(|peer| peer.expires_at <= now) {
            return Err(Denied::Expired(now - peer.expires_at));
        }
        if !self.enabled {
            return Ok(());
        }
        let peer = peer.ok_or(Denied::NoCertificate)?;
        if peer.names.iter().any(|identity| self.covers(identity, node)) {
            return Ok(());
        }
        Err(Denied::NotGranted { node: name(), names: peer.names.clone() })
    }
}
