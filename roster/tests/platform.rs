//! The platform's list: what its documents mean, and names that stay.

use oatlever::round::{ListKind, Readiness};
use oatlever_roster::platform::{Origin, PlatformDocument, ServerRegistry};
use serde_json::{json, Value};

fn server(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "10.1.0.18:3000", "zone": "a", "kind": "m2", "cell": 3, "state": state,
           "weight": 1.0, "started_ms": 1500.0})
}

fn document(version: u64, full: bool, servers: Value) -> PlatformDocument {
    let text = json!({"version": version, "full": full, "servers": servers}).to_string();
    PlatformDocument::read(text.as_bytes(), &["a".to_string()]).expect("a list")
}

#[test]
fn names_keep_their_numbers() {
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
    assert_eq!(registry.address("s-1"), Some(first.entries[0].server));
    assert_eq!(registry.name(first.entries[0].server).as_deref(), Some("s-1"));
}

/// Guards against a list with one odd entry that drops the server it speaks of, and against one that keeps
/// all that were removed.
#[test]
fn a_list_read_in_part_drops_what_is_gone_and_nobody_else() {
    let mut registry = ServerRegistry::default();
    let first = json!([server("s-1", "up"), server("s-2", "draining"), server("s-3", "up")]);
    registry.apply(&document(41, true, first), Origin::Update).unwrap();
    let odd = document(42, true, json!([server("s-1", "up"), server("s-2", "asleep"), {"id": 3}]));
    assert_eq!((odd.errors.len(), &odd.unreadable), (2, &vec!["s-2".to_string()]));
    assert!(odd.errors[0].starts_with("/servers/1: state is \"asleep\""), "{:?}", odd.errors);
    let list = registry.apply(&odd, Origin::Update).unwrap();
    let told: Vec<_> = list.entries.iter().map(|e| (registry.name(e.server).unwrap(), e.readiness)).collect();
    assert_eq!(list.kind, ListKind::Full);
    assert_eq!(told, [("s-2".into(), Readiness::Draining), ("s-1".into(), Readiness::Ready)]);
    assert_eq!((registry.version, registry.sizes()), (Some(42), (2, 1)));
    // Where nothing at all can be used, nothing is gone.
    let nothing = document(43, true, json!([server("s-1", "asleep")]));
    let told = registry.apply(&nothing, Origin::Update).unwrap_err();
    assert!(told.starts_with("version 43: nothing in it can be used: /servers/0"), "{told}");
    assert_eq!((registry.version, registry.sizes()), (Some(42), (2, 1)));
}

/// Guards against an older list taken for a new count of versions: what drained or went opens again only
/// where it has started since.
#[test]
fn versions_that_start_anew_open_nothing_that_drained_or_went() {
    let mut registry = ServerRegistry::default();
    let first =
        json!([server("s-1", "up"), server("s-2", "draining"), server("s-3", "up"), server("s-4", "up")]);
    registry.apply(&document(43, true, first), Origin::Update).unwrap();
    registry.apply(&document(44, false, json!([server("s-3", "removed")])), Origin::Update).unwrap();
    let mut again = server("s-4", "up");
    again["started_ms"] = json!(2500.0);
    let anew =
        json!([server("s-1", "up"), server("s-2", "up"), server("s-3", "up"), again, server("s-5", "up")]);
    let list = registry.apply(&document(2, true, anew), Origin::VersionReset).unwrap();
    let told: Vec<_> = list.entries.iter().map(|e| e.readiness).collect();
    let (ready, draining, gone) = (Readiness::Ready, Readiness::Draining, Readiness::Gone);
    assert_eq!(told, [ready, draining, gone, ready, ready]);
    assert_eq!((list.kind, registry.version), (ListKind::Full, Some(2)));
    // What it says after that is news.
    let list = registry.apply(&document(3, false, json!([server("s-2", "up")])), Origin::Update).unwrap();
    assert_eq!(list.entries[0].readiness, ready);
}

/// Guards against memory that grows with every server that was ever listed.
#[test]
fn the_longest_gone_are_forgotten() {
    let mut registry = ServerRegistry::default();
    for version in 0..2000 {
        let name = format!("s-{version}");
        registry.apply(&document(version, true, json!([server(&name, "up")])), Origin::Update).unwrap();
    }
    let (listed, remembered) = registry.sizes();
    assert!(listed == 1 && remembered < 1000, "{listed} and {remembered}");
    assert_eq!(registry.address("s-0"), None);
    assert!(registry.address("s-1998").is_some());
}

/// Guards against a source that lags behind, as one that a pilot is moved to: a server that has drained since
/// would be taken for open.
#[test]
fn an_older_list_leaves_what_is_held() {
    let mut registry = ServerRegistry::default();
    registry.apply(&document(43, true, json!([server("s-1", "draining")])), Origin::Update).unwrap();
    for whole in [true, false] {
        let told =
            registry.apply(&document(42, whole, json!([server("s-2", "up")])), Origin::Update).unwrap_err();
        assert_eq!(told, "version 42 is older than 43, which is held");
    }
    assert_eq!((registry.version, registry.address("s-2")), (Some(43), None));
    let same = registry.apply(&document(43, true, json!([server("s-1", "draining")])), Origin::Update);
    assert_eq!(same.unwrap().kind, ListKind::Full);
}
