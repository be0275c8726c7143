//! Which identity may be which node. No I/O, no clock: the time comes in, in seconds.
//!
//! A grant names an identity, whole or by how it begins, and what it may be: one node, or any node of a zone.
//! Where any grant speaks of a node itself, only such grants make it that node: a grant of the whole zone
//! would otherwise let each proxy there pass for the one that was singled out.

use crate::certificate::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What an identity may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    Node(String),
    /// Any node of the zone of this name.
    Zone(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// A name in the certificate; one that ends in `*` stands for all that begin like it.
    pub identity: String,
    pub scope: Scope,
}

/// A node as the settings have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node<'a> {
    pub name: &'a str,
    pub zone: &'a str,
}

/// Why a peer is not let in as a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Denied {
    /// It showed no certificate, and grants are set.
    NoCertificate,
    /// It showed one that has run out, s ago.
    Expired(f64),
    /// None of its names may be this node.
    NotGranted { node: String, names: Vec<String> },
    /// It says that it sits in another zone than the node does.
    OtherZone { node: String, zone: String, claimed: String },
}

/// Names of a certificate that are told in a refusal.
const TOLD: usize = 4;

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Denied::NoCertificate => write!(f, "no client certificate was shown"),
            Denied::Expired(ago) => write!(f, "the client certificate ran out {ago:.0} s ago"),
            Denied::NotGranted { node, names } => {
                let told: Vec<_> = names.iter().take(TOLD).map(String::as_str).collect();
                write!(f, "the names {} may not be the node {node:?}", told.join(", "))
            }
            Denied::OtherZone { node, zone, claimed } => {
                write!(f, "the node {node:?} sits in zone {zone:?}, not in {claimed:?}")
            }
        }
    }
}

/// What identities of one form are granted.
#[derive(Clone, Debug, Default)]
struct Granted {
    nodes: BTreeSet<String>,
    zones: BTreeSet<String>,
}

impl Granted {
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

/// All grants, found by identity in time that grows with the length of the name, not with their number.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    whole: BTreeMap<String, Granted>,
    /// By how identities begin.
    beginnings: BTreeMap<String, Granted>,
    /// Lengths of the beginnings.
    lengths: BTreeSet<usize>,
    /// Nodes that some grant names.
    named: BTreeSet<String>,
    any: bool,
}

impl Grants {
    pub fn new(grants: &[Grant]) -> Self {
        let mut all = Grants { any: !grants.is_empty(), ..Grants::default() };
        for grant in grants {
            if let Scope::Node(node) = &grant.scope {
                all.named.insert(node.clone());
            }
            let granted = match grant.identity.strip_suffix('*') {
                Some(beginning) => {
                    all.lengths.insert(beginning.len());
                    all.beginnings.entry(beginning.to_string()).or_default()
                }
                None => all.whole.entry(grant.identity.clone()).or_default(),
            };
            granted.add(&grant.scope);
        }
        all
    }

    fn names(&self, identity: &str, node: Node) -> bool {
        let only_by_name = self.named.contains(node.name);
        let covers = |granted: &Granted| granted.covers(node, only_by_name);
        let begins = |length: &usize| {
            let beginning = identity.get(..*length)?;
            self.beginnings.get(beginning)
        };
        self.whole.get(identity).is_some_and(covers) || self.lengths.iter().filter_map(begins).any(covers)
    }

    /// Whether a peer may come as a node now, Unix time in s. `claimed` is the zone that it says it sits in,
    /// if it says any. Without grants every node is open to whoever can connect; its zone must still agree.
    pub fn authorize(
        &self,
        peer: Option<&Peer>,
        node: Node,
        claimed: Option<&str>,
        now: f64,
    ) -> Result<(), Denied> {
        let named = || node.name.to_string();
        if let Some(claimed) = claimed.filter(|claimed| *claimed != node.zone) {
            let (zone, claimed) = (node.zone.to_string(), claimed.to_string());
            return Err(Denied::OtherZone { node: named(), zone, claimed });
        }
        // One that has run out proves nothing, whether or not grants ask for it.
        if let Some(peer) = peer.filter(|peer| peer.expires_at <= now) {
            return Err(Denied::Expired(now - peer.expires_at));
        }
        if !self.any {
            return Ok(());
        }
        let peer = peer.ok_or(Denied::NoCertificate)?;
        if peer.names.iter().any(|identity| self.names(identity, node)) {
            return Ok(());
        }
        Err(Denied::NotGranted { node: named(), names: peer.names.clone() })
    }
}
