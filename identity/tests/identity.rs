//! Grants against a reference implementation, and invalid certificates and key files.

use oatlever_identity::{Denied, Grant, Grants, Node, Peer, Scope, TlsFiles, TlsKeys};

fn grant(identity: &str, scope: Scope) -> Grant {
    Grant { identity: identity.into(), scope }
}

fn peer(names: &[&str]) -> Peer {
    Peer { names: names.iter().map(|name| name.to_string()).collect(), expires_at: 100.0 }
}

const A1: Node = Node { name: "a1", zone: "a" };
const A2: Node = Node { name: "a2", zone: "a" };
const B1: Node = Node { name: "b1", zone: "b" };

#[test]
fn an_identity_acts_only_as_granted_nodes() {
    let grants = Grants::new(&[
        grant("spiffe://shops/a/*", Scope::Zone("a".into())),
        grant("spiffe://shops/special", Scope::Node("a2".into())),
        grant("relay-b.shops.test", Scope::Zone("b".into())),
    ]);
    let (a, special) = (peer(&["spiffe://shops/a/7"]), peer(&["spiffe://shops/special"]));
    assert_eq!(grants.authorize(Some(&a), A1, None, 1.0), Ok(()));
    assert!(matches!(grants.authorize(Some(&a), B1, None, 1.0), Err(Denied::NotGranted { .. })));
    // `a2` has a grant of its own, so the grant for its zone must not apply to it.
    assert!(matches!(grants.authorize(Some(&a), A2, None, 1.0), Err(Denied::NotGranted { .. })));
    assert_eq!(grants.authorize(Some(&special), A2, None, 1.0), Ok(()));
    assert!(matches!(grants.authorize(Some(&special), A1, None, 1.0), Err(Denied::NotGranted { .. })));
    let b = peer(&["other", "relay-b.shops.test"]);
    assert_eq!(grants.authorize(Some(&b), B1, Some("b"), 1.0), Ok(()));
    let claimed = grants.authorize(Some(&b), B1, Some("a"), 1.0);
    assert!(matches!(claimed, Err(Denied::OtherZone { .. })), "another zone was claimed: {claimed:?}");
    assert_eq!(grants.authorize(None, B1, None, 1.0), Err(Denied::NoCertificate));
    assert_eq!(grants.authorize(Some(&b), B1, None, 100.0), Err(Denied::Expired(0.0)));
    // Matching is case-sensitive, and the prefix must match in full.
    let similar = peer(&["spiffe://shops/a", "spiffe://shops/ab/7", "Spiffe://shops/a/7"]);
    assert!(grants.authorize(Some(&similar), A1, None, 1.0).is_err());
}

/// Compares the index with a linear search over many sets of grants. Some prefix lengths fall inside a
/// multi-byte character.
#[test]
fn grants_match_a_linear_search() {
    let names = ["", "x", "xy", "xyz", "é", "éa", "x/é"];
    let patterns = ["*", "x*", "xy*", "é*", "x/*", "xyz", "éa"];
    let scope = |n: usize| match n % 4 {
        0 => Scope::Node("a1".into()),
        1 => Scope::Node("b1".into()),
        2 => Scope::Zone("a".into()),
        _ => Scope::Zone("b".into()),
    };
    let mut authorized = 0;
    for choice in 0..7usize.pow(3) * 64 {
        let index = |n: u32| choice / 64 / 7usize.pow(n) % 7;
        let grants: Vec<Grant> =
            (0..3).map(|n| grant(patterns[index(n)], scope(choice % 64 / 4usize.pow(n)))).collect();
        let all = Grants::new(&grants);
        for identity in names {
            for node in [A1, A2, B1] {
                let own = grants.iter().any(|g| g.scope == Scope::Node(node.name.into()));
                let expected = grants.iter().any(|g| {
                    let matches = match g.identity.strip_suffix('*') {
                        Some(prefix) => identity.starts_with(prefix),
                        None => identity == g.identity,
                    };
                    let covers = match &g.scope {
                        Scope::Node(name) => name == node.name,
                        Scope::Zone(zone) => zone == node.zone && !own,
                    };
                    matches && covers
                });
                let actual = all.authorize(Some(&peer(&[identity])), node, None, 1.0).is_ok();
                assert_eq!(actual, expected, "{grants:?} {identity:?} {node:?}");
                authorized += usize::from(actual);
            }
        }
    }
    assert!(authorized > 10_000, "too few cases are authorized: {authorized}");
}

#[test]
fn invalid_files_are_rejected_and_valid_keys_stay() {
    let folder = std::env::temp_dir().join(format!("oatlever-identity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let generated = rcgen::generate_simple_self_signed(vec!["pilot.test".into()]).unwrap();
    let der = generated.cert.der();
    let peer = Peer::from_der(der).unwrap();
    assert_eq!(peer.names, ["pilot.test"]);
    (0..der.len()).for_each(|cut| assert!(Peer::from_der(&der[..cut]).is_err(), "cut at {cut}"));

    let files = TlsFiles { certificate: folder.join("c.pem"), key: folder.join("k.pem"), authorities: None };
    assert!(TlsKeys::load(files.clone()).err().unwrap().contains("c.pem"));
    std::fs::write(&files.certificate, generated.cert.pem()).unwrap();
    std::fs::write(&files.key, "no key").unwrap();
    assert!(TlsKeys::load(files.clone()).err().unwrap().contains("k.pem"));
    std::fs::write(&files.key, generated.signing_key.serialize_pem()).unwrap();
    let mut keys = TlsKeys::load(files.clone()).unwrap();
    assert_eq!(keys.reload(), Ok(false));
    // The certificate and the key don't match, as between the writes of the two files.
    let next = rcgen::generate_simple_self_signed(vec!["next.test".into()]).unwrap();
    std::fs::write(&files.certificate, next.cert.pem()).unwrap();
    assert!(keys.reload().is_err());
    assert_eq!(keys.reload(), Ok(false), "a repeated error is reported once");
    std::fs::write(&files.key, next.signing_key.serialize_pem()).unwrap();
    assert_eq!(keys.reload(), Ok(true));
    std::fs::remove_dir_all(&folder).unwrap();
}
