use oatlever_askers::{CookieStatus, Cookies, PrefixTrie, Presence, RateDecision, RateLimiter};
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn masked(host: u32, bits: u8) -> u32 {
    host & u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0)
}

/// The plain way: look through all prefixes.
fn scan(prefixes: &BTreeMap<(u32, u8), u16>, host: u32) -> Option<u16> {
    let holding = prefixes.iter().filter(|((prefix, bits), _)| masked(host, *bits) == *prefix);
    holding.max_by_key(|((_, bits), _)| *bits).map(|(_, owner)| *owner)
}

quickcheck! {
    /// Addresses are drawn close to each other, so that prefixes nest and part.
    fn the_longest_prefix_is_found(given: Vec<(u16, u8, u16)>, asked: Vec<u16>, other: u16) -> bool {
        let (mut trie, mut plain) = (PrefixTrie::default(), BTreeMap::new());
        let near = |n: u16| 0x7f00_0000 | u32::from(n & 0x1ff) << 20 | u32::from(n >> 9);
        for (n, bits, owner) in given {
            let bits = bits % 33;
            let prefix = masked(near(n), bits);
            trie.insert(prefix.into(), bits, owner);
            plain.insert((prefix, bits), owner);
        }
        asked.iter().all(|n| {
            let host = near(*n);
            let (owner, scope) = trie.longest_match(host.into());
            // Whoever shares the bits that decided has the same owner.
            let neighbour = masked(host, scope) | (u32::from(other) << 8 & !masked(u32::MAX, scope));
            owner == scan(&plain, host) && scan(&plain, neighbour) == owner
        })
    }

    /// However sources ask, none gets more than its burst and rate, whoever else floods.
    fn no_source_gets_more_than_its_rate(asked: Vec<(u8, u8)>) -> bool {
        let (rate, burst) = (10.0, 4.0);
        let mut limits = RateLimiter::new(rate, burst, 32, 64, (1, 2));
        let (mut now, mut got) = (0.0, BTreeMap::new());
        for (source, step) in asked {
            now += f64::from(step % 4) * 0.01;
            let host = Ipv4Addr::new(10, 0, 0, source % 3);
            if limits.check(host, now) == RateDecision::Answer {
                *got.entry(host).or_insert(0.0) += 1.0;
            }
            // A flood from ever new sources must not make a limited one look new.
            limits.check(Ipv4Addr::new(192, source, step, 1), now);
        }
        got.values().all(|answers| *answers <= burst + rate * now + 1e-9)
    }
}

#[test]
fn a_flood_of_new_sources_keeps_memory_bounded_and_holds_back_the_old() {
    let mut limits = RateLimiter::new(1.0, 2.0, 32, 128, (3, 4));
    let busy = Ipv4Addr::new(10, 1, 1, 1);
    let mut answered = 0;
    for n in 0..100_000u32 {
        limits.check(Ipv4Addr::from(0xc000_0000 + n), 0.0);
        answered += u32::from(limits.check(busy, 0.0) == RateDecision::Answer);
    }
    assert!(limits.prefix_count() <= 128, "{} prefixes", limits.prefix_count());
    assert_eq!(answered, 2);
    // One in two of those held back is told to come by TCP.
    let next: Vec<_> = (0..4).map(|_| limits.check(busy, 0.0)).collect();
    assert_eq!(next.iter().filter(|a| **a == RateDecision::Truncate).count(), 2);
}

/// RFC 9018, appendix A.1: learning a new server cookie.
#[test]
fn cookies_are_those_of_the_published_example() {
    let bytes = |text: &str| -> Vec<u8> {
        (0..text.len() / 2).map(|n| u8::from_str_radix(&text[2 * n..2 * n + 2], 16).unwrap()).collect()
    };
    let key: [u8; 16] = bytes("e5e973e5a6b2a43f48e7dc849e37bfcf").try_into().unwrap();
    let (cookies, source) = (Cookies::new(key), IpAddr::from([198, 51, 100, 100]));
    let (client, now) = (bytes("2464c4abcf10c957"), 1_559_731_985.0);
    let whole = bytes("2464c4abcf10c957010000005cf79f111f8130c3eee29480");
    assert_eq!(cookies.verify(&client, source, now), CookieStatus::Unverified(whole.clone()));
    assert_eq!(cookies.verify(&whole, source, now), CookieStatus::Verified(whole.clone()));
    // Taken by somebody else, changed, or too old, it proves nothing.
    assert!(matches!(cookies.verify(&whole, [198, 51, 100, 101].into(), now), CookieStatus::Unverified(_)));
    for place in 0..whole.len() {
        let mut forged = whole.clone();
        forged[place] ^= 1;
        assert!(matches!(cookies.verify(&forged, source, now), CookieStatus::Unverified(_)), "byte {place}");
    }
    assert!(matches!(cookies.verify(&whole, source, now + 3601.0), CookieStatus::Unverified(_)));
    match cookies.verify(&whole, source, now + 1801.0) {
        CookieStatus::Verified(renewed) => assert_ne!(renewed, whole),
        other => panic!("{other:?}"),
    }
    for length in [0, 7, 9, 15, 41] {
        assert_eq!(cookies.verify(&vec![0; length], source, now), CookieStatus::Malformed, "{length} bytes");
    }
}

#[test]
fn silence_takes_an_asker_away_and_a_sign_brings_it_back() {
    let mut presence = Presence::new(&[false, true, false], 5.0);
    assert_eq!(presence.up().collect::<Vec<_>>(), [1]);
    assert!(presence.heartbeat(0, 1.0));
    assert!(!presence.heartbeat(0, 4.0));
    assert!(presence.heartbeat(2, 2.0));
    // The one that signed later stays.
    assert_eq!(presence.expire(8.0), [2]);
    assert_eq!(presence.expire(8.9), [] as [u16; 0]);
    assert_eq!(presence.expire(9.0), [0]);
    assert_eq!(presence.expire(1e9), [] as [u16; 0]);
    assert!(presence.is_up(1));
    assert!(presence.heartbeat(2, 20.0));
    assert_eq!(presence.expire(25.0), [2]);
}
