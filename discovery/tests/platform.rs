//! Documents of the platform's list, and the registry of its servers.

use oatlever::round::{ListKind, Readiness};
use oatlever_discovery::platform::{Origin, PlatformDocument, ServerRegistry};
use serde_json::{json, Value};

fn server(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "10.1.0.18:3000", "zone": "a", "kind": "m2", "cell": 3, "state": state,
           "weight": 1.0, "started_ms": 1500.0})
}

fn document(version: u64, full: bool, servers: Value) -> PlatformDocument {
    let text = json!({"version": version, "full": full, "servers": servers}).to_string();
    PlatformDocument::parse(text.as_bytes(), &["a".to_string()]).expect("a list")
}

#[test]
fn names_keep_their_ids() {
    let mut registry = ServerRegistry::default();
    let first = registry
        .apply(&document(41, true, json!([server("s-1", "up"), server("s-2", "up")])), Origin::Cached)
        .unwrap();
    assert_eq!(first.kind, ListKind::Cached);
    assert_eq!((first.entries[0].started, first.entries[0].readiness), (1.5, Readiness::Ready));
    let change =
        registry.apply(&document(43, false, json!([server("s-2", "draining")])), Origin::Update).unwrap();
    assert_eq!((change.kind, change.entries[0].readiness), (ListKind::Changes, Readiness::Draining));
    assert_eq!(change.entries[0].server, first.entries[1].server);
    assert_eq!(registry.version, Some(43));
    assert_eq!(registry.id("s-1"), Some(first.entries[0].server));
    assert_eq!(registry.name(first.entries[0].server).as_deref(), Some("s-1"));
}

/// An invalid entry must neither drop its own server nor keep servers listed that are missing from the list.
#[test]
fn a_partially_valid_list_drops_only_missing_servers() {
    let mut registry = ServerRegistry::default();
    let first = json!([server("s-1", "up"), server("s-2", "draining"), server("s-3", "up")]);
    registry.apply(&document(41, true, first), Origin::Update).unwrap();
    let partial = document(42, true, json!([server("s-1", "up"), server("s-2", "asleep"), {"id": 3}]));
    assert_eq!((partial.errors.len(), &partial.unreadable), (2, &vec!["s-2".to_string()]));
    assert!(partial.errors[0].starts_with("/servers/1: state is \"asleep\""), "{:?}", partial.errors);
    let list = registry.apply(&partial, Origin::Update).unwrap();
    let entries: Vec<_> =
        list.entries.iter().map(|e| (registry.name(e.server).unwrap(), e.readiness)).collect();
    assert_eq!(list.kind, ListKind::Full);
    assert_eq!(entries, [("s-2".into(), Readiness::Draining), ("s-1".into(), Readiness::Ready)]);
    assert_eq!((registry.version, registry.counts()), (Some(42), (2, 1)));
    // A list without any usable entry drops no server.
    let unusable = document(43, true, json!([server("s-1", "asleep")]));
    let error = registry.apply(&unusable, Origin::Update).unwrap_err();
    assert!(error.starts_with("version 43 contains no usable server: /servers/0"), "{error}");
    assert_eq!((registry.version, registry.counts()), (Some(42), (2, 1)));
}

/// After versions restart, the list may be older than the current one. A server that was draining or removed
/// must be ready again only if it has restarted since.
#[test]
fn a_version_reset_keeps_draining_and_removed_servers() {
    let mut registry = ServerRegistry::default();
    let first =
        json!([server("s-1", "up"), server("s-2", "draining"), server("s-3", "up"), server("s-4", "up")]);
    registry.apply(&document(43, true, first), Origin::Update).unwrap();
    registry.apply(&document(44, false, json!([server("s-3", "removed")])), Origin::Update).unwrap();
    let mut restarted = server("s-4", "up");
    restarted["started_ms"] = json!(2500.0);
    let reset = json!([
        server("s-1", "up"),
        server("s-2", "up"),
        server("s-3", "up"),
        restarted,
        server("s-5", "up")
    ]);
    let list = registry.apply(&document(2, true, reset), Origin::VersionReset).unwrap();
    let readiness: Vec<_> = list.entries.iter().map(|e| e.readiness).collect();
    let (ready, draining, gone) = (Readiness::Ready, Readiness::Draining, Readiness::Gone);
    assert_eq!(readiness, [ready, draining, gone, ready, ready]);
    assert_eq!((list.kind, registry.version), (ListKind::Full, Some(2)));
    // Later documents are applied as usual.
    let list = registry.apply(&document(3, false, json!([server("s-2", "up")])), Origin::Update).unwrap();
    assert_eq!(list.entries[0].readiness, ready);
}

/// Memory must not grow with the number of servers that were ever listed.
#[test]
fn the_servers_removed_first_are_dropped() {
    let mut registry = ServerRegistry::default();
    for version in 0..2000 {
        let name = format!("s-{version}");
        registry.apply(&document(version, true, json!([server(&name, "up")])), Origin::Update).unwrap();
    }
    let (listed, removed) = registry.counts();
    assert!(listed == 1 && removed < 1000, "{listed} listed, {removed} removed");
    assert_eq!(registry.id("s-0"), None);
    assert!(registry.id("s-1998").is_some());
}

/// A pilot may be moved to a discovery service that lags behind. A server that has been draining since must
/// not be considered ready.
#[test]
fn an_older_list_is_rejected() {
    let mut registry = ServerRegistry::default();
    registry.apply(&document(43, true, json!([server("s-1", "draining")])), Origin::Update).unwrap();
    for full in [true, false] {
        let error =
            registry.apply(&document(42, full, json!([server("s-2", "up")])), Origin::Update).unwrap_err();
        assert_eq!(error, "version 42 is older than the current version 43");
    }
    assert_eq!((registry.version, registry.id("s-2")), (Some(43), None));
    let same = registry.apply(&document(43, true, json!([server("s-1", "draining")])), Origin::Update);
    assert_eq!(same.unwrap().kind, ListKind::Full);
}
