//! Grants against a plain reading of them, and certificates that are none.

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
fn an_identity_is_only_what_it_was_granted() {
    let grants = Grants::new(&[
        grant("spiffe://shops/a/*", Scope::Zone("a".into())),
        grant("spiffe://shops/special", Scope::Node("a2".into())),
        grant("relay-b.shops.test", Scope::Zone("b".into())),
    ]);
    let (a, special) = (peer(&["spiffe://shops/a/7"]), peer(&["spiffe://shops/special"]));
    assert_eq!(grants.authorize(Some(&a), A1, None, 1.0), Ok(()));
    assert!(matches!(grants.authorize(Some(&a), B1, None, 1.0), Err(Denied::NotGranted { .. })));
    // A grant of the zone would let every proxy there pass for the one that has its own.
    assert!(matches!(grants.authorize(Some(&a), A2, None, 1.0), Err(Denied::NotGranted { .. })));
    assert_eq!(grants.authorize(Some(&special), A2, None, 1.0), Ok(()));
    assert!(matches!(grants.authorize(Some(&special), A1, None, 1.0), Err(Denied::NotGranted { .. })));
    let b = peer(&["other", "relay-b.shops.test"]);
    assert_eq!(grants.authorize(Some(&b), B1, Some("b"), 1.0), Ok(()));
    let claimed = grants.authorize(Some(&b), B1, Some("a"), 1.0);
    assert!(matches!(claimed, Err(Denied::OtherZone { .. })), "a zone of another's: {claimed:?}");
    assert_eq!(grants.authorize(None, B1, None, 1.0), Err(Denied::NoCertificate));
    assert_eq!(grants.authorize(Some(&b), B1, None, 100.0), Err(Denied::Expired(0.0)));
    // The beginning is not the whole, and a star only counts at the end.
    let near = peer(&["spiffe://shops/a", "spiffe://shops/ab/7", "Spiffe://shops/a/7"]);
    assert!(grants.authorize(Some(&near), A1, None, 1.0).is_err());
}

/// Against a walk through the grants, over many sets of them, with names cut in the middle of a character.
#[test]
fn grants_are_found_as_a_plain_walk_finds_them() {
    let names = ["", "x", "xy", "xyz", "é", "éa", "x/é"];
    let beginnings = ["*", "x*", "xy*", "é*", "x/*", "xyz", "éa"];
    let scope = |n: usize| match n % 4 {
        0 => Scope::Node("a1".into()),
        1 => Scope::Node("b1".into()),
        2 => Scope::Zone("a".into()),
        _ => Scope::Zone("b".into()),
    };
    let mut let_in = 0;
    for choice in 0..7usize.pow(3) * 64 {
        let place = |n: u32| choice / 64 / 7usize.pow(n) % 7;
        let grants: Vec<Grant> =
            (0..3).map(|n| grant(beginnings[place(n)], scope(choice % 64 / 4usize.pow(n)))).collect();
        let all = Grants::new(&grants);
        for identity in names {
            for node in [A1, A2, B1] {
                let own = grants.iter().any(|g| g.scope == Scope::Node(node.name.into()));
                let plain = grants.iter().any(|g| {
                    let fits = match g.identity.strip_suffix('*') {
                        Some(beginning) => identity.starts_with(beginning),
                        None => identity == g.identity,
                    };
                    let of = match &g.scope {
                        Scope::Node(name) => name == node.name,
                        Scope::Zone(zone) => zone == node.zone && !own,
                    };
                    fits && of
                });
                let found = all.authorize(Some(&peer(&[identity])), node, None, 1.0).is_ok();
                assert_eq!(found, plain, "{grants:?} {identity:?} {node:?}");
                let_in += usize::from(found);
            }
        }
    }
    assert!(let_in > 10_000, "hardly any was let in: {let_in}");
}

#[test]
fn what_is_no_certificate_is_refused_and_good_keys_stay() {
    let folder = std::env::temp_dir().join(format!("oatlever-identity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let made = rcgen::generate_simple_self_signed(vec!["pilot.test".into()]).unwrap();
    let der = made.cert.der();
    let read = Peer::from_der(der).unwrap();
    assert_eq!(read.names, ["pilot.test"]);
    (0..der.len()).for_each(|cut| assert!(Peer::from_der(&der[..cut]).is_err(), "cut at {cut}"));

    let files = TlsFiles { certificate: folder.join("c.pem"), key: folder.join("k.pem"), authorities: None };
    assert!(TlsKeys::load(files.clone()).err().unwrap().contains("c.pem"));
    std::fs::write(&files.certificate, made.cert.pem()).unwrap();
    std::fs::write(&files.key, "no key").unwrap();
    assert!(TlsKeys::load(files.clone()).err().unwrap().contains("k.pem"));
    std::fs::write(&files.key, made.signing_key.serialize_pem()).unwrap();
    let mut keys = TlsKeys::load(files.clone()).unwrap();
    assert_eq!(keys.reload(), Ok(false));
    // A certificate and the key of another: as while somebody writes one file after the other.
    let next = rcgen::generate_simple_self_signed(vec!["next.test".into()]).unwrap();
    std::fs::write(&files.certificate, next.cert.pem()).unwrap();
    assert!(keys.reload().is_err());
    assert_eq!(keys.reload(), Ok(false), "told once");
    std::fs::write(&files.key, next.signing_key.serialize_pem()).unwrap();
    assert_eq!(keys.reload(), Ok(true));
    std::fs::remove_dir_all(&folder).unwrap();
}
