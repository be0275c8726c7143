//! Tests of settings: validation errors and their places, the schema, and conversion.

use oatlever_settings::{parse, schema, SettingsError};
use serde_json::{json, Value};

fn valid_settings() -> Value {
    json!({
        "zones": ["north", "south"],
        "classes": [{"name": "search", "benefit": 1, "due_time": 2}],
        "rules": {"drain_grace": 3, "without_server": 3, "cold_share": 0.2, "warm_within": 10,
                  "fall_multiple": 2.5},
        "channel": {"lines_per_second": 1000, "most_waiting": 1000},
        "roster": {"source": "http://127.0.0.1:7100/targets", "period": 1, "patience": 0.5},
        "reports": {"period": 1, "patience": 0.5},
        "askers": [
            {"name": "relay", "zone": "north", "prefixes": ["127.0.1.1/32"], "usual_rate": 5,
             "metrics": "http://127.0.1.1:9100/metrics"},
            {"name": "others", "zone": "south", "usual_rate": 5}
        ],
        "dns": {"listen": ["127.0.0.1:5300"], "origin": "shops.test", "address": "127.0.0.1",
                "lifetime": 1, "overstay": 0.5},
        "status": {"listen": "127.0.0.1:7300", "away_after": 5}
    })
}

/// The errors of settings with the values at these pointers replaced, or removed if null.
fn errors_with(changes: &[(&str, Value)]) -> Vec<SettingsError> {
    let mut settings = valid_settings();
    for (pointer, value) in changes {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let parent = settings.pointer_mut(parent).unwrap();
        match (parent, value) {
            (Value::Object(map), Value::Null) => drop(map.remove(key)),
            (Value::Object(map), value) => drop(map.insert(key.to_string(), value.clone())),
            (Value::Array(items), value) => items[key.parse::<usize>().unwrap()] = value.clone(),
            _ => panic!("{pointer}"),
        }
    }
    parse(&settings.to_string()).err().unwrap_or_default()
}

#[test]
fn valid_settings_are_parsed() {
    let settings = parse(&valid_settings().to_string()).unwrap();
    assert_eq!(settings.max_cache_time(), 1.5);
    assert_eq!((settings.site().zones, settings.query_classes().len()), (2, 1));
    let text = serde_json::to_string(&settings).unwrap();
    assert_eq!(serde_json::to_string(&parse(&text).unwrap()).unwrap(), text);
}

#[test]
fn each_error_is_reported_at_its_place() {
    let cases: &[(&str, Value, &str)] = &[
        ("/costs", json!({"prices": {"north": 1}}), "a price for every zone"),
        ("/costs", json!({"prices": {"north": 1, "south": -2}}), "a price of 0 or more"),
        ("/costs", json!({"prices": {"north": 1, "south": 2, "west": 3}}), "one of /zones"),
        ("/costs", json!({"prices": {"north": 1, "south": 2}, "links": [{"between": ["north"]}]}), "2"),
        (
            "/costs",
            json!({"prices": {"north": 1, "south": 2}, "links": [{"between": ["north", "north"]}]}),
            "two zones",
        ),
        (
            "/costs",
            json!({"prices": {"north": 1, "south": 2},
                   "links": [{"between": ["north", "south"]}, {"between": ["south", "north"]}]}),
            "link 0 has the same",
        ),
        ("/costs", json!({"prices": {"north": 1, "south": 2}, "figures": {"headroom": 1.5}}), "0.9"),
        ("/rules/cold_share", json!(0), "0.001"),
        ("/rules/cold_share", json!("low"), "number"),
        ("/rules/warm_withn", json!(3), "warm_withn"),
        ("/dns/origin", Value::Null, "origin"),
        ("/dns/listen", json!(["here"]), ""),
        ("/dns/listen", json!([]), ""),
        ("/classes/0/name", json!("part reserve"), "letters, digits and hyphens"),
        ("/zones/1", json!("North"), "0 has the same"),
        ("/askers/0/zone", json!("west"), "north, south"),
        ("/askers/0/prefixes", json!(["127.0.1.1/24"]), "10.1.0.0/16"),
        ("/askers/0/prefixes", json!(["::1/128"]), "IPv4"),
        ("/askers/0/metrics", json!("https://127.0.1.1/"), "http://"),
        ("/askers/1/name", json!("relay"), "asker 0"),
        ("/askers/0", json!({"name": "x", "zone": "south", "usual_rate": 1}), "one asker without"),
        ("/roster/source", json!("127.0.0.1:7100"), "file:///"),
        ("/roster/patience", json!(2), "1 s"),
        ("/status/away_after", json!(1.5), "two report periods"),
        ("/dns/trusted_resolvers", json!(["10.0.0.0"]), "10.1.0.0/16"),
    ];
    for (pointer, value, expected) in cases {
        let found = errors_with(&[(pointer, value.clone())]);
        let is_reported = found.iter().any(|error| {
            (error.pointer.starts_with(pointer)
                || pointer.starts_with(&error.pointer)
                || error.pointer == "/askers/1/prefixes")
                && error.to_string().contains(expected)
        });
        assert!(is_reported, "{pointer} = {value}: {found:?}");
    }
}

/// Answers cached by resolvers must expire within the grace period of a drain and within the time that an asker may be
/// without a server. Errors show the total cache time.
#[test]
fn dns_lifetime_must_fit_the_rules() {
    let found = errors_with(&[("/dns/lifetime", json!(3)), ("/rules/drain_grace", json!(3.2))]);
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found.iter().all(|error| error.found == "lifetime 3 + overstay 0.5 = 3.5 s"), "{found:?}");
    assert!(found.iter().any(|error| error.expected.contains("/rules/drain_grace, 3.2 s")), "{found:?}");
    assert!(found.iter().any(|error| error.expected.contains("/rules/without_server, 3 s")), "{found:?}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let found = errors_with(&[
        ("/rules/drain_grace", json!(-1)),
        ("/classes/0/benefit", json!("much")),
        ("/status/listen", Value::Null),
    ]);
    let pointers: Vec<&str> = found.iter().map(|error| error.pointer.as_str()).collect();
    assert_eq!(pointers, ["/classes/0/benefit", "/rules/drain_grace", "/status"], "{found:?}");
}

#[test]
fn truncated_text_is_refused_with_its_place() {
    let text = valid_settings().to_string();
    for cut in 0..text.len() {
        let found = parse(&text[..cut]).unwrap_err();
        assert!(found[0].found.contains("line 1 column"), "{}", found[0]);
    }
}

#[test]
fn schema_accepts_valid_settings() {
    let schema = schema();
    assert!(schema["$schema"].as_str().unwrap().contains("json-schema.org"));
    assert!(jsonschema::validator_for(&schema).unwrap().is_valid(&valid_settings()));
}

/// Grants must refer to an existing node or zone, and every node must be covered by a grant.
#[test]
fn grants_refer_to_known_nodes_and_cover_every_node() {
    let pointers = |grants: Value, tls: Value| {
        let asker = json!({"name": "relay", "zone": "north", "node": "r1", "usual_rate": 5});
        let xds = json!({"listen": ["127.0.0.1:7400"], "patience": 1, "grants": grants, "tls": tls});
        let errors = errors_with(&[("/askers/0", asker), ("/xds", xds)]);
        errors.into_iter().map(|error| error.pointer).collect::<Vec<_>>()
    };
    let mutual = json!({"certificate": "c", "key": "k", "authorities": "a"});
    let zone = json!({"identity": "spiffe://shops/*", "zone": "north"});
    assert_eq!(pointers(json!([zone]), mutual.clone()), Vec::<String>::new());
    assert_eq!(pointers(json!([{"identity": "x", "node": "r1"}]), mutual.clone()), Vec::<String>::new());
    assert_eq!(pointers(json!([zone]), json!({"certificate": "c", "key": "k"})), ["/xds/grants"]);
    let both = json!({"identity": "x", "zone": "north", "node": "r1"});
    assert_eq!(pointers(json!([both]), mutual.clone()), ["/xds/grants/0"]);
    assert_eq!(pointers(json!([zone, {"identity": "x"}]), mutual.clone()), ["/xds/grants/1"]);
    assert_eq!(
        pointers(json!([zone, {"identity": "x", "node": "r2"}]), mutual.clone()),
        ["/xds/grants/1/node"]
    );
    let south = json!([{"identity": "x", "zone": "south"}]);
    assert_eq!(pointers(south, mutual.clone()), ["/askers/0/node"]);
    let west = pointers(json!([zone, {"identity": "x", "zone": "west"}]), mutual);
    assert_eq!(west, ["/xds/grants/1/zone"]);
}
