use oatlever_askers::{CookieStatus, Cookies, PrefixTrie, Presence, RateDecision, RateLimiter};
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn masked(host: u32, bits: u8) -> u32 {
    host & u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0)
}

/// Reference implementation: a linear scan of all prefixes.
fn linear_match(prefixes: &BTreeMap<(u32, u8), u16>, host: u32) -> Option<u16> {
    let matching = prefixes.iter().filter(|((prefix, bits), _)| masked(host, *bits) == *prefix);
    matching.max_by_key(|((_, bits), _)| *bits).map(|(_, owner)| *owner)
}

quickcheck! {
    /// Addresses are generated close to each other, so that prefixes nest and branch.
    fn longest_match_agrees_with_a_linear_scan(given: Vec<(u16, u8, u16)>, looked_up: Vec<u16>, other: u16) -> bool {
        let (mut trie, mut reference) = (PrefixTrie::default(), BTreeMap::new());
        let near = |n: u16| 0x7f00_0000 | u32::from(n & 0x1ff) << 20 | u32::from(n >> 9);
        for (n, bits, owner) in given {
            let bits = bits % 33;
            let prefix = masked(near(n), bits);
            trie.insert(prefix.into(), bits, owner);
            reference.insert((prefix, bits), owner);
        }
        looked_up.iter().all(|n| {
            let host = near(*n);
            let (owner, scope) = trie.longest_match(host.into());
            // Addresses that share the deciding bits have the same owner.
            let neighbour = masked(host, scope) | (u32::from(other) << 8 & !masked(u32::MAX, scope));
            owner == linear_match(&reference, host) && linear_match(&reference, neighbour) == owner
        })
    }

    /// No source gets more answers than its rate and burst allow, even while other sources flood.
    fn no_source_exceeds_its_rate(queries: Vec<(u8, u8)>) -> bool {
        let (rate, burst) = (10.0, 4.0);
        let mut limits = RateLimiter::new(rate, burst, 32, 64, (1, 2));
        let (mut now, mut answered) = (0.0, BTreeMap::new());
        for (source, step) in queries {
            now += f64::from(step % 4) * 0.01;
            let host = Ipv4Addr::new(10, 0, 0, source % 3);
            if limits.check(host, now) == RateDecision::Answer {
                *answered.entry(host).or_insert(0.0) += 1.0;
            }
            // A flood from new sources must not evict a bucket that is being limited.
            limits.check(Ipv4Addr::new(192, source, step, 1), now);
        }
        answered.values().all(|answers| *answers <= burst + rate * now + 1e-9)
    }
}

#[test]
fn a_flood_of_new_sources_keeps_memory_bounded_and_limited_sources_limited() {
    let mut limits = RateLimiter::new(1.0, 2.0, 32, 128, (3, 4));
    let busy = Ipv4Addr::new(10, 1, 1, 1);
    let mut answered = 0;
    for n in 0..100_000u32 {
        limits.check(Ipv4Addr::from(0xc000_0000 + n), 0.0);
        answered += u32::from(limits.check(busy, 0.0) == RateDecision::Answer);
    }
    assert!(limits.prefix_count() <= 128, "{} prefixes", limits.prefix_count());
    assert_eq!(answered, 2);
    // Every second query over the limit is answered truncated, so that the client retries over TCP.
    let decisions: Vec<_> = (0..4).map(|_| limits.check(busy, 0.0)).collect();
    assert_eq!(decisions.iter().filter(|a| **a == RateDecision::Truncate).count(), 2);
}

/// RFC 9018, appendix A.1: learning a new server cookie.
#[test]
fn cookies_match_the_example_of_rfc_9018() {
    let bytes = |text: &str| -> Vec<u8> {
        (0..text.len() / 2).map(|n| u8::from_str_radix(&text[2 * n..2 * n + 2], 16).unwrap()).collect()
    };
    let key: [u8; 16] = bytes("e5e973e5a6b2a43f48e7dc849e37bfcf").try_into().unwrap();
    let (cookies, source) = (Cookies::new(key), IpAddr::from([198, 51, 100, 100]));
    let (client, now) = (bytes("2464c4abcf10c957"), 1_559_731_985.0);
    let cookie = bytes("2464c4abcf10c957010000005cf79f111f8130c3eee29480");
    assert_eq!(cookies.verify(&client, source, now), CookieStatus::Unverified(cookie.clone()));
    assert_eq!(cookies.verify(&cookie, source, now), CookieStatus::Verified(cookie.clone()));
    // Not verified from another address, when altered, or when expired.
    assert!(matches!(cookies.verify(&cookie, [198, 51, 100, 101].into(), now), CookieStatus::Unverified(_)));
    for offset in 0..cookie.len() {
        let mut forged = cookie.clone();
        forged[offset] ^= 1;
        assert!(matches!(cookies.verify(&forged, source, now), CookieStatus::Unverified(_)), "byte {offset}");
    }
    assert!(matches!(cookies.verify(&cookie, source, now + 3601.0), CookieStatus::Unverified(_)));
    match cookies.verify(&cookie, source, now + 1801.0) {
        CookieStatus::Verified(renewed) => assert_ne!(renewed, cookie),
        other => panic!("{other:?}"),
    }
    for length in [0, 7, 9, 15, 41] {
        assert_eq!(cookies.verify(&vec![0; length], source, now), CookieStatus::Malformed, "{length} bytes");
    }
}

#[test]
fn askers_go_down_after_the_timeout_and_up_at_a_heartbeat() {
    let mut presence = Presence::new(&[false, true, false], 5.0);
    assert_eq!(presence.up().collect::<Vec<_>>(), [1]);
    assert!(presence.heartbeat(0, 1.0));
    assert!(!presence.heartbeat(0, 4.0));
    assert!(presence.heartbeat(2, 2.0));
    // Asker 0, with the later heartbeat, stays up.
    assert_eq!(presence.expire(8.0), [2]);
    assert_eq!(presence.expire(8.9), [] as [u16; 0]);
    assert_eq!(presence.expire(9.0), [0]);
    assert_eq!(presence.expire(1e9), [] as [u16; 0]);
    assert!(presence.is_up(1));
    assert!(presence.heartbeat(2, 20.0));
    assert_eq!(presence.expire(25.0), [2]);
}
