//! The platform's list: what its documents mean, and names that stay.

use oatlever::round::{ListNews, Readiness};
use oatlever_roster::platform::{PlatformDocument, Register};
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
    let mut register = Register::default();
    let first =
        register.take(&document(41, true, json!([server("s-1", "up"), server("s-2", "up")])), true).unwrap();
    assert_eq!(first.news, ListNews::Cached);
    assert_eq!((first.entries[0].started, first.entries[0].readiness), (1.5, Readiness::Ready));
    let change = register.take(&document(43, false, json!([server("s-2", "draining")])), false).unwrap();
    assert_eq!((change.news, change.entries[0].readiness), (ListNews::Changes, Readiness::Draining));
    assert_eq!(change.entries[0].server, first.entries[1].server);
    assert_eq!(register.version, Some(43));
    assert_eq!(register.number("s-1"), Some(first.entries[0].server));
    assert_eq!(register.name(first.entries[0].server).as_deref(), Some("s-1"));
}

/// Guards against a list with one odd entry that drops the server it speaks of.
#[test]
fn a_list_read_in_part_drops_nobody() {
    let mut register = Register::default();
    let odd = json!([server("s-1", "up"), server("s-2", "asleep"), {"id": 3}]);
    let document = document(41, true, odd);
    assert_eq!(document.mistakes.len(), 2);
    assert!(document.mistakes[0].starts_with("/servers/1: state is \"asleep\""), "{:?}", document.mistakes);
    assert_eq!(register.take(&document, false).unwrap().news, ListNews::Changes);
}

/// Guards against memory that grows with every server that was ever listed.
#[test]
fn the_longest_gone_are_forgotten() {
    let mut register = Register::default();
    for version in 0..2000 {
        let name = format!("s-{version}");
        register.take(&document(version, true, json!([server(&name, "up")])), false).unwrap();
    }
    let (listed, remembered) = register.sizes();
    assert!(listed == 1 && remembered < 1000, "{listed} and {remembered}");
    assert_eq!(register.number("s-0"), None);
    assert!(register.number("s-1998").is_some());
}

/// Guards against a source that lags behind, as one that a pilot is moved to: a server that has drained since
/// would be taken for open.
#[test]
fn an_older_list_leaves_what_is_held() {
    let mut register = Register::default();
    register.take(&document(43, true, json!([server("s-1", "draining")])), false).unwrap();
    for whole in [true, false] {
        let told = register.take(&document(42, whole, json!([server("s-2", "up")])), false).unwrap_err();
        assert_eq!(told, "version 42 is older than 43, which is held");
    }
    assert_eq!((register.version, register.number("s-2")), (Some(43), None));
    let same = register.take(&document(43, true, json!([server("s-1", "draining")])), false);
    assert_eq!(same.unwrap().news, ListNews::Full);
}
