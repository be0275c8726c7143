//! Checks the ledger against an exact model, and that answers stay within the budgets of cold servers.

use oatlever::round::Address;
use oatlever_leases::{AddressSelector, Answer, Client, ExpiryWheel, HeavyHitters, Ledger, Lifetimes};
use oatlever_tables::{View, WeightedIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

fn server(n: u8) -> Address {
    Address { host: [10, 0, n % 2, n], port: 7000 }
}

fn host(n: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0b00_0000 + n)
}

fn zone(server: &Address) -> Option<u16> {
    Some(u16::from(server.host[2]))
}

/// A lease counts until it expires, and longer by at most a seventh of its duration or an eighth of a second.
#[test]
fn leases_expire_on_time() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let (mut wheel, mut reference, mut now) = (ExpiryWheel::default(), Vec::new(), 1000.0 * rng.f64());
        for _ in 0..300 {
            now += rng.f64();
            let duration = 0.01 * 60_000_f64.powf(rng.f64());
            let slot = wheel.add(1.0, now + duration, now);
            reference.push((now, now + duration, slot));
            if rng.u8(..4) == 0 {
                let (_, _, slot) = reference.swap_remove(rng.usize(..reference.len()));
                wheel.remove(1.0, slot, now);
            }
            let min = reference.iter().filter(|(_, until, _)| *until > now).count() as f64;
            let may_count =
                |(from, until, _): &&(f64, f64, _)| until + ((until - from) / 7.0).max(0.125) > now;
            let max = reference.iter().filter(may_count).count() as f64;
            let sum = wheel.sum(now);
            assert!(sum >= min - 1e-9 && sum <= max + 1e-9, "{min} {sum} {max}");
            let last = reference.iter().map(|(_, until, _)| *until).fold(0.0, f64::max);
            assert!(last <= now || wheel.last_expiry(now).is_some_and(|until| until >= last));
        }
    }
}

fn rate_bound(sketch: &HeavyHitters, client: u32, now: f64) -> f64 {
    sketch.estimate(host(client), 0, now).or(sketch.untracked_bound(now)).unwrap()
}

/// The sketch never underestimates a client, with or without a counter, and is nearly exact for heavy ones.
#[test]
fn sketch_is_accurate_for_heavy_clients_and_never_too_low() {
    let mut rng = fastrand::Rng::with_seed(2);
    let mut sketch = HeavyHitters::new(64);
    let mut exact: BTreeMap<u32, f64> = BTreeMap::new();
    let mut now = 0.0;
    // Long enough for counts to be rescaled.
    for step in 0..3000 {
        now += 1.0;
        exact.values_mut().for_each(|rate| *rate *= (-0.1_f64).exp());
        for n in 0..30 {
            let (client, queries) = match n {
                0 => (0, 200.0),
                1 => (1, 40.0),
                _ => (rng.u32(2..2000), f64::from(rng.u8(1..3))),
            };
            sketch.add(host(client), 0, queries, now);
            *exact.entry(client).or_default() += queries / 10.0;
        }
        if step % 50 == 0 {
            for (client, rate) in &exact {
                let bound = rate_bound(&sketch, *client, now);
                assert!(bound >= rate * (1.0 - 1e-6), "{client}: {bound} of {rate}");
            }
            assert!(sketch.tracked() <= 64);
            let total: f64 = exact.values().sum();
            let sum = sketch.mean_rate(now) * sketch.tracked() as f64;
            assert!((sum - total).abs() < 1e-6 * total, "{sum} {total}");
        }
    }
    for client in [0, 1] {
        let (bound, rate) = (rate_bound(&sketch, client, now), exact[&client]);
        assert!(bound <= 1.05 * rate, "{client}: {bound} of {rate}");
    }
    sketch.add(host(0), 0, f64::NAN, now);
    assert!(rate_bound(&sketch, 0, now).is_finite());
}

/// Every lease: client, server, expiry, rate.
type Exact = Vec<(u32, u8, f64, f64)>;

fn outstanding(exact: &Exact, n: u8, now: f64) -> f64 {
    let mut clients: BTreeMap<u32, f64> = BTreeMap::new();
    for (client, _, _, rate) in exact.iter().filter(|(_, server, until, _)| *server == n && *until > now) {
        let max = clients.entry(*client).or_default();
        *max = rate.max(*max);
    }
    clients.values().sum()
}

/// Hundreds of clients with overlapping answers: the sums are never too low, whichever clients are evicted;
/// with room for all of them they are too high only by rounding.
#[test]
fn the_ledger_is_never_too_low() {
    for (capacity, max_excess) in [(4096, 1.35), (64, f64::INFINITY)] {
        let mut rng = fastrand::Rng::with_seed(3);
        let mut ledger = Ledger::new(capacity, (1, 2));
        let (mut exact, mut now, mut ledger_sum, mut exact_sum) = (Exact::new(), 0.0, 0.0, 0.0);
        for _ in 0..4000 {
            now += 0.02;
            let (client, rate) = (rng.u32(..600), 0.1 + rng.f64());
            let overstay = if rng.u8(..10) == 0 { 15.0 } else { 1.5 };
            let servers: BTreeSet<u8> = (0..3).map(|_| rng.u8(..8)).collect();
            ledger.record_answer(
                (host(client), 0),
                rate,
                servers.iter().map(|n| server(*n)),
                (now, overstay),
                now,
            );
            exact.extend(servers.iter().map(|n| (client, *n, now + overstay, rate)));
            exact.retain(|(_, _, until, _)| *until > now);
            let n = rng.u8(..8);
            let (sum, min) = (ledger.outstanding(&server(n), now), outstanding(&exact, n, now));
            assert!(sum >= min * (1.0 - 1e-6), "{sum} of {min}");
            (ledger_sum, exact_sum) = (ledger_sum + sum, exact_sum + min);
        }
        assert!(ledger_sum <= max_excess * exact_sum, "{capacity}: {}", ledger_sum / exact_sum);
        assert!(ledger.entry_count() <= capacity.next_multiple_of(8));
        assert_eq!(ledger.evicted > 0, capacity == 64);
        ledger.expire(now + 100.0);
        assert_eq!(ledger.server_count(), 0);
    }
}

const LIFETIMES: Lifetimes = Lifetimes { normal: 4, near_cold: 1, overstay: 0.5 };

fn view(index: &WeightedIndex) -> View<'_> {
    View { table: 0, version: 1, index, level: 1.0, retry_mode: 0 }
}

fn ask(
    selector: &mut AddressSelector,
    index: &WeightedIndex,
    client: u32,
    now: f64,
    rng: &mut fastrand::Rng,
) -> Answer {
    let client = Client { host: host(client), class: 0, group_rate: 100.0 };
    selector.answer(&view(index), client, 3, zone, now, || rng.f64()).unwrap()
}

/// A resolver as heavy as 200 terminals, terminals, and a client that queries from a new address each time:
/// the outstanding rate of a cold server never exceeds its budget, every answer is complete, and cold
/// servers are used.
#[test]
fn cold_servers_stay_within_their_budgets() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut selector = AddressSelector::new(LIFETIMES, 4096, (3, 4), -10.0);
    let index = WeightedIndex::new((0..8).map(|n| (server(n), if n < 2 { 0.3 } else { 1.0 })));
    selector.set_cold_budgets([(server(0), 4.0), (server(1), 2.0)].into(), 0.0);
    let (mut now, mut given) = (0.0, [0; 8]);
    for step in 0..6000 {
        now += 0.01;
        if step % 100 == 0 {
            selector.rates.add(host(0), 0, 100.0, now);
            (1..200).for_each(|n| selector.rates.add(host(n), 0, 0.5, now));
        }
        let client = match rng.u8(..10) {
            0 => 0,
            1 => 1000 + step,
            _ => rng.u32(1..200),
        };
        let answer = ask(&mut selector, &index, client, now, &mut rng);
        assert_eq!(answer.servers.len(), 3);
        assert_eq!(answer.lifetime, 1);
        answer.servers.iter().for_each(|s| given[usize::from(s.host[3])] += 1);
        if step > 200 {
            let heavy = answer.servers.iter().any(|s| s.host[3] < 2) && client == 0;
            assert!(!heavy, "the resolver was given a cold server");
        }
        for (n, budget) in [(0, 4.0), (1, 2.0)] {
            let outstanding = selector.ledger.outstanding(&server(n), now);
            assert!(outstanding <= budget + 1e-6, "{outstanding} of {budget} at {now}");
        }
    }
    assert!(given[0] > 100 && given[1] > 50, "known terminals are given cold servers: {given:?}");
    assert!(selector.counters.cold_skipped > 0 && selector.counters.cold_only == 0);
}

/// A server restarts while answers name it: live leases still count against its budget, and it is not
/// selected until they have expired.
#[test]
fn leases_outlast_a_restart_of_the_server() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut selector = AddressSelector::new(LIFETIMES, 4096, (3, 4), -10.0);
    let index = WeightedIndex::new((0..6).map(|n| (server(n), 1.0)));
    for client in 0..120 {
        selector.rates.add(host(client), 0, 5.0, 1.0);
        let answer = ask(&mut selector, &index, client, 1.0, &mut rng);
        assert_eq!(answer.lifetime, 4);
    }
    assert!(selector.ledger.outstanding(&server(0), 1.0) > 20.0);
    selector.set_cold_budgets([(server(0), 3.0)].into(), 1.1);
    for client in 0..2000 {
        let now = 1.1 + f64::from(client) * 0.002;
        let answer = ask(&mut selector, &index, 5000 + client, now, &mut rng);
        assert!(!answer.servers.contains(&server(0)), "{now}: selected over its budget");
    }
    let until = selector.ledger.last_expiry(&server(0), 5.0).unwrap();
    assert!((5.5..6.2).contains(&until), "{until}");
    assert_eq!(selector.ledger.outstanding(&server(0), until), 0.0);
    let later = (0..400).map(|client| ask(&mut selector, &index, client, until + 0.01, &mut rng));
    assert!(later.filter(|answer| answer.servers.contains(&server(0))).count() > 0);
}

/// With cold servers only, every client still gets an address: the server with the most budget left.
#[test]
fn answers_always_have_an_address() {
    let mut rng = fastrand::Rng::with_seed(6);
    let mut selector = AddressSelector::new(LIFETIMES, 64, (3, 4), -10.0);
    let index = WeightedIndex::new((0..3).map(|n| (server(n), 1.0)));
    selector.set_cold_budgets((0..3).map(|n| (server(n), 0.5)).collect(), 0.0);
    selector.rates.add(host(0), 0, 100.0, 0.0);
    let mut given = BTreeSet::new();
    for client in 0..30 {
        let answer = ask(&mut selector, &index, client, 0.1, &mut rng);
        assert!(!answer.servers.is_empty());
        given.extend(answer.servers);
    }
    assert!(given.len() == 3 && selector.counters.cold_only > 10, "spread over all: {given:?}");
    assert_eq!(
        selector.answer(
            &view(&WeightedIndex::default()),
            Client { host: host(0), class: 0, group_rate: 100.0 },
            3,
            zone,
            0.2,
            || 0.5
        ),
        None
    );
}

/// 200 clients that use only the first address are spread by weight within two percentage points, and every
/// answer covers two zones.
#[test]
fn shares_follow_the_weights_and_answers_cover_two_zones() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut selector = AddressSelector::new(LIFETIMES, 4096, (3, 4), -10.0);
    // Three servers of one zone have nearly all the weight.
    let weights = [40.0, 1.0, 30.0, 1.0, 28.0];
    let index = WeightedIndex::new(weights.iter().enumerate().map(|(n, weight)| (server(n as u8), *weight)));
    let mut first = [0.0; 5];
    for client in 0..200 {
        let answer = ask(&mut selector, &index, client, 1.0, &mut rng);
        first[usize::from(answer.servers[0].host[3])] += 1.0 / 200.0;
        let zones: BTreeSet<_> = answer.servers.iter().map(zone).collect();
        assert_eq!(zones.len(), 2, "{answer:?}");
        assert_eq!(answer.servers.iter().collect::<BTreeSet<_>>().len(), 3);
    }
    for (share, weight) in first.iter().zip(weights) {
        assert!((share - weight / 100.0).abs() < 0.02, "{first:?}");
    }
}

/// A new instance knows of no leases and no clients: cold servers are not selected until the answers of a
/// previous instance must have expired, and then not for an unknown client that may be its whole asker.
#[test]
fn unknown_leases_and_clients_are_assumed_to_be_heavy() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut selector = AddressSelector::new(LIFETIMES, 64, (3, 4), 100.0);
    let index = WeightedIndex::new((0..4).map(|n| (server(n), 1.0)));
    selector.set_cold_budgets([(server(0), 20.0)].into(), 100.0);
    let mut cold_selected = |selector: &mut AddressSelector, from: u32, now: f64| {
        (from..from + 50)
            .any(|client| ask(selector, &index, client, now, &mut rng).servers.contains(&server(0)))
    };
    (0..200).for_each(|client| selector.rates.add(host(client), 0, 1.0, 100.0));
    assert!(!cold_selected(&mut selector, 0, 104.4));
    assert!(cold_selected(&mut selector, 0, 104.6));
    let mut new_instance = AddressSelector::new(LIFETIMES, 64, (3, 4), 0.0);
    new_instance.set_cold_budgets([(server(0), 20.0)].into(), 100.0);
    assert!(!cold_selected(&mut new_instance, 0, 100.0));
}

/// A resolver uses answers for ten times their lifetime: the servers' counters show it, and its leases are
/// extended accordingly; a client that respects lifetimes is not affected.
#[test]
fn overstaying_clients_are_detected() {
    let mut ledger = Ledger::new(64, (1, 2));
    let (overstaying, compliant) = ((host(1), 0), (host(2), 0));
    for client in [overstaying, compliant] {
        ledger.record_answer(client, 5.0, [server(0)].into_iter(), (101.0, 1.0), 100.0);
    }
    let mut now = 100.0;
    for _ in 0..12 {
        now += 1.0;
        ledger.record_use(overstaying, &server(0), 5.0, now - 1.0, now);
        if now <= 103.0 {
            ledger.record_use(compliant, &server(0), 5.0, now - 1.0, now);
        }
    }
    // Last seen ten seconds after its lease was due.
    assert_eq!(
        (ledger.overstay(compliant.0, 0), ledger.overstay(overstaying.0, 0), ledger.max_overstay),
        (0.0, 10.0, 10.0)
    );
    assert!(ledger.outstanding(&server(0), now) >= 5.0, "the extended lease still counts");
    ledger.record_answer(overstaying, 5.0, [server(1)].into_iter(), (now + 1.0, 1.0), now);
    assert!((ledger.last_expiry(&server(1), now).unwrap() - now - 11.0).abs() < 1.5);
    // Once it stops, its lease expires after another overstay.
    let until = ledger.last_expiry(&server(0), now).unwrap();
    assert!(until - now < 1.2 * ledger.max_overstay, "{until} {now}");
    assert_eq!(ledger.outstanding(&server(0), until), 0.0);
    // An unknown client, or a server that was never in its answers, is not an overstay.
    ledger.record_use((host(9), 0), &server(0), 5.0, now - 1.0, now);
    ledger.record_use(compliant, &server(3), 5.0, now - 1.0, now);
    assert_eq!(ledger.overstay(compliant.0, 0), 0.0);
}
