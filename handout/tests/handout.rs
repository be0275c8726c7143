//! The ledger against an exact one, and what answers keep by it.

use oatlever::round::Address;
use oatlever_handout::{AddressSelector, Answer, Client, ExpiryWheel, HeavyHitters, Ledger, Lifetimes};
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

/// A hold counts as long as it lasts, and a seventh of that or an eighth of a second longer at most.
#[test]
fn holds_run_out_on_time() {
    let mut chance = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let (mut holds, mut plain, mut now) = (ExpiryWheel::default(), Vec::new(), 1000.0 * chance.f64());
        for _ in 0..300 {
            now += chance.f64();
            let lasts = 0.01 * 60_000_f64.powf(chance.f64());
            let slot = holds.add(1.0, now + lasts, now);
            plain.push((now, now + lasts, slot));
            if chance.u8(..4) == 0 {
                let (_, _, slot) = plain.swap_remove(chance.usize(..plain.len()));
                holds.remove(1.0, slot, now);
            }
            let least = plain.iter().filter(|(_, until, _)| *until > now).count() as f64;
            let longest = |(from, until, _): &&(f64, f64, _)| until + ((until - from) / 7.0).max(0.125) > now;
            let most = plain.iter().filter(longest).count() as f64;
            let found = holds.sum(now);
            assert!(found >= least - 1e-9 && found <= most + 1e-9, "{least} {found} {most}");
            let last = plain.iter().map(|(_, until, _)| *until).fold(0.0, f64::max);
            assert!(last <= now || holds.last_expiry(now).is_some_and(|until| until >= last));
        }
    }
}

fn weight(hosts: &HeavyHitters, who: u32, now: f64) -> f64 {
    hosts.estimate(host(who), 0, now).or(hosts.untracked_bound(now)).unwrap()
}

/// No address is worth more than the sketch says, whoever is forgotten; the heavy ones are told nearly exactly.
#[test]
fn the_heaviest_are_known_and_nobody_is_taken_for_light() {
    let mut chance = fastrand::Rng::with_seed(2);
    let mut hosts = HeavyHitters::new(64);
    let mut exact: BTreeMap<u32, f64> = BTreeMap::new();
    let mut now = 0.0;
    // Long enough that counts are written anew.
    for step in 0..3000 {
        now += 1.0;
        exact.values_mut().for_each(|rate| *rate *= (-0.1_f64).exp());
        for n in 0..30 {
            let (who, queries) = match n {
                0 => (0, 200.0),
                1 => (1, 40.0),
                _ => (chance.u32(2..2000), f64::from(chance.u8(1..3))),
            };
            hosts.add(host(who), 0, queries, now);
            *exact.entry(who).or_default() += queries / 10.0;
        }
        if step % 50 == 0 {
            for (who, rate) in &exact {
                let told = weight(&hosts, *who, now);
                assert!(told >= rate * (1.0 - 1e-6), "{who}: {told} of {rate}");
            }
            assert!(hosts.tracked() <= 64);
            let all: f64 = exact.values().sum();
            let mean = hosts.mean_rate(now) * hosts.tracked() as f64;
            assert!((mean - all).abs() < 1e-6 * all, "{mean} {all}");
        }
    }
    for who in [0, 1] {
        let (told, rate) = (weight(&hosts, who, now), exact[&who]);
        assert!(told <= 1.05 * rate, "{who}: {told} of {rate}");
    }
    hosts.add(host(0), 0, f64::NAN, now);
    assert!(weight(&hosts, 0, now).is_finite());
}

/// Every hold remembered plainly: who, which server, until when, how much.
type Exact = Vec<(u32, u8, f64, f64)>;

fn outstanding(exact: &Exact, n: u8, now: f64) -> f64 {
    let mut askers: BTreeMap<u32, f64> = BTreeMap::new();
    for (who, _, _, weight) in exact.iter().filter(|(_, at, until, _)| *at == n && *until > now) {
        let most = askers.entry(*who).or_default();
        *most = weight.max(*most);
    }
    askers.values().sum()
}

/// Askers by the thousand, with answers that outlive each other: never too low, whatever is forgotten; with memory
/// for all of them too high only by what rounding adds.
#[test]
fn the_ledger_is_never_too_low() {
    for (memory, most_over) in [(4096, 1.35), (64, f64::INFINITY)] {
        let mut chance = fastrand::Rng::with_seed(3);
        let mut ledger = Ledger::new(memory, (1, 2));
        let (mut exact, mut now, mut told, mut true_sum) = (Exact::new(), 0.0, 0.0, 0.0);
        for _ in 0..4000 {
            now += 0.02;
            let (who, weight) = (chance.u32(..600), 0.1 + chance.f64());
            let lasts = if chance.u8(..10) == 0 { 15.0 } else { 1.5 };
            let servers: BTreeSet<u8> = (0..3).map(|_| chance.u8(..8)).collect();
            ledger.record_answer(
                (host(who), 0),
                weight,
                servers.iter().map(|n| server(*n)),
                (now, lasts),
                now,
            );
            exact.extend(servers.iter().map(|n| (who, *n, now + lasts, weight)));
            exact.retain(|(_, _, until, _)| *until > now);
            let n = chance.u8(..8);
            let (found, least) = (ledger.outstanding(&server(n), now), outstanding(&exact, n, now));
            assert!(found >= least * (1.0 - 1e-6), "{found} of {least}");
            (told, true_sum) = (told + found, true_sum + least);
        }
        assert!(told <= most_over * true_sum, "{memory}: {}", told / true_sum);
        assert!(ledger.entry_count() <= memory.next_multiple_of(8));
        assert_eq!(ledger.evicted > 0, memory == 64);
        ledger.expire(now + 100.0);
        assert_eq!(ledger.server_count(), 0);
    }
}

const LIVES: Lifetimes = Lifetimes { normal: 4, near_cold: 1, overstay: 0.5 };

fn view(index: &WeightedIndex) -> View<'_> {
    View { table: 0, version: 1, index, level: 1.0, retry_mode: 0 }
}

fn ask(
    handout: &mut AddressSelector,
    index: &WeightedIndex,
    who: u32,
    now: f64,
    chance: &mut fastrand::Rng,
) -> Answer {
    let who = Client { host: host(who), class: 0, group_rate: 100.0 };
    handout.answer(&view(index), who, 3, zone, now, || chance.f64()).unwrap()
}

/// A resolver worth 200 terminals, terminals, and one that changes its address with each question: no cold server
/// ever has more out than its budget, each answer has an address, and warm servers are never passed over.
#[test]
fn no_cold_server_has_more_out_than_it_may() {
    let mut chance = fastrand::Rng::with_seed(4);
    let mut handout = AddressSelector::new(LIVES, 4096, (3, 4), -10.0);
    let index = WeightedIndex::new((0..8).map(|n| (server(n), if n < 2 { 0.3 } else { 1.0 })));
    handout.set_cold_budgets([(server(0), 4.0), (server(1), 2.0)].into(), 0.0);
    let (mut now, mut given) = (0.0, [0; 8]);
    for step in 0..6000 {
        now += 0.01;
        if step % 100 == 0 {
            handout.rates.add(host(0), 0, 100.0, now);
            (1..200).for_each(|n| handout.rates.add(host(n), 0, 0.5, now));
        }
        let who = match chance.u8(..10) {
            0 => 0,
            1 => 1000 + step,
            _ => chance.u32(1..200),
        };
        let answer = ask(&mut handout, &index, who, now, &mut chance);
        assert_eq!(answer.servers.len(), 3);
        assert_eq!(answer.lifetime, 1);
        answer.servers.iter().for_each(|s| given[usize::from(s.host[3])] += 1);
        if step > 200 {
            let heavy = answer.servers.iter().any(|s| s.host[3] < 2) && who == 0;
            assert!(!heavy, "a resolver got a cold server");
        }
        for (n, budget) in [(0, 4.0), (1, 2.0)] {
            let out = handout.ledger.outstanding(&server(n), now);
            assert!(out <= budget + 1e-6, "{out} of {budget} at {now}");
        }
    }
    assert!(given[0] > 100 && given[1] > 50, "known terminals do warm cold servers: {given:?}");
    assert!(handout.counters.cold_skipped > 0 && handout.counters.cold_only == 0);
}

/// A zone restarts while answers name it: what is out counts, and it gets nothing new until that has run out.
#[test]
fn a_server_that_restarts_keeps_its_holders() {
    let mut chance = fastrand::Rng::with_seed(5);
    let mut handout = AddressSelector::new(LIVES, 4096, (3, 4), -10.0);
    let index = WeightedIndex::new((0..6).map(|n| (server(n), 1.0)));
    for who in 0..120 {
        handout.rates.add(host(who), 0, 5.0, 1.0);
        let answer = ask(&mut handout, &index, who, 1.0, &mut chance);
        assert_eq!(answer.lifetime, 4);
    }
    assert!(handout.ledger.outstanding(&server(0), 1.0) > 20.0);
    handout.set_cold_budgets([(server(0), 3.0)].into(), 1.1);
    for who in 0..2000 {
        let now = 1.1 + f64::from(who) * 0.002;
        let answer = ask(&mut handout, &index, 5000 + who, now, &mut chance);
        assert!(!answer.servers.contains(&server(0)), "{now}: handed out over what is held already");
    }
    let until = handout.ledger.last_expiry(&server(0), 5.0).unwrap();
    assert!((5.5..6.2).contains(&until), "{until}");
    assert_eq!(handout.ledger.outstanding(&server(0), until), 0.0);
    let later = (0..400).map(|who| ask(&mut handout, &index, who, until + 0.01, &mut chance));
    assert!(later.filter(|answer| answer.servers.contains(&server(0))).count() > 0);
}

/// Nothing but cold servers: everybody still gets an address, the one with the most room.
#[test]
fn nobody_is_without_an_address() {
    let mut chance = fastrand::Rng::with_seed(6);
    let mut handout = AddressSelector::new(LIVES, 64, (3, 4), -10.0);
    let index = WeightedIndex::new((0..3).map(|n| (server(n), 1.0)));
    handout.set_cold_budgets((0..3).map(|n| (server(n), 0.5)).collect(), 0.0);
    handout.rates.add(host(0), 0, 100.0, 0.0);
    let mut given = BTreeSet::new();
    for who in 0..30 {
        let answer = ask(&mut handout, &index, who, 0.1, &mut chance);
        assert!(!answer.servers.is_empty());
        given.extend(answer.servers);
    }
    assert!(given.len() == 3 && handout.counters.cold_only > 10, "spread over all: {given:?}");
    assert_eq!(
        handout.answer(
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

/// 200 askers that keep one address each: shares within two points of the weights; two zones in each answer.
#[test]
fn shares_follow_the_weights_and_answers_reach_two_zones() {
    let mut chance = fastrand::Rng::with_seed(7);
    let mut handout = AddressSelector::new(LIVES, 4096, (3, 4), -10.0);
    // Three servers of one zone weigh nearly everything.
    let weights = [40.0, 1.0, 30.0, 1.0, 28.0];
    let index = WeightedIndex::new(weights.iter().enumerate().map(|(n, weight)| (server(n as u8), *weight)));
    let mut first = [0.0; 5];
    for who in 0..200 {
        let answer = ask(&mut handout, &index, who, 1.0, &mut chance);
        first[usize::from(answer.servers[0].host[3])] += 1.0 / 200.0;
        let zones: BTreeSet<_> = answer.servers.iter().map(zone).collect();
        assert_eq!(zones.len(), 2, "{answer:?}");
        assert_eq!(answer.servers.iter().collect::<BTreeSet<_>>().len(), 3);
    }
    for (found, weight) in first.iter().zip(weights) {
        assert!((found - weight / 100.0).abs() < 0.02, "{first:?}");
    }
}

/// A pilot that has just started knows of no holder and of no asker: cold servers get nothing until all that another
/// may have handed out has run out, and then nobody unknown who may be all of his group.
#[test]
fn what_is_unknown_counts_high() {
    let mut chance = fastrand::Rng::with_seed(8);
    let mut handout = AddressSelector::new(LIVES, 64, (3, 4), 100.0);
    let index = WeightedIndex::new((0..4).map(|n| (server(n), 1.0)));
    handout.set_cold_budgets([(server(0), 20.0)].into(), 100.0);
    let mut got = |handout: &mut AddressSelector, from: u32, now: f64| {
        (from..from + 50).any(|who| ask(handout, &index, who, now, &mut chance).servers.contains(&server(0)))
    };
    (0..200).for_each(|who| handout.rates.add(host(who), 0, 1.0, 100.0));
    assert!(!got(&mut handout, 0, 104.4));
    assert!(got(&mut handout, 0, 104.6));
    let mut fresh = AddressSelector::new(LIVES, 64, (3, 4), 0.0);
    fresh.set_cold_budgets([(server(0), 20.0)].into(), 100.0);
    assert!(!got(&mut fresh, 0, 100.0));
}

/// A resolver keeps answers ten times their lifetime: servers' counters show it, and from then on its holds count for
/// as long; one that keeps to its answers is not taken for late.
#[test]
fn who_overstays_is_found_out() {
    let mut ledger = Ledger::new(64, (1, 2));
    let (late, fair) = ((host(1), 0), (host(2), 0));
    for who in [late, fair] {
        ledger.record_answer(who, 5.0, [server(0)].into_iter(), (101.0, 1.0), 100.0);
    }
    let mut now = 100.0;
    for _ in 0..12 {
        now += 1.0;
        ledger.record_use(late, &server(0), 5.0, now - 1.0, now);
        if now <= 103.0 {
            ledger.record_use(fair, &server(0), 5.0, now - 1.0, now);
        }
    }
    // Seen last ten seconds after its answer ran out, and reckoned from there.
    assert_eq!(
        (ledger.overstay(fair.0, 0), ledger.overstay(late.0, 0), ledger.max_overstay),
        (0.0, 10.0, 10.0)
    );
    assert!(ledger.outstanding(&server(0), now) >= 5.0, "what it goes on with still counts");
    ledger.record_answer(late, 5.0, [server(1)].into_iter(), (now + 1.0, 1.0), now);
    assert!((ledger.last_expiry(&server(1), now).unwrap() - now - 11.0).abs() < 1.5);
    // It stops: within as long again as it was late, nothing is held any more.
    let until = ledger.last_expiry(&server(0), now).unwrap();
    assert!(until - now < 1.2 * ledger.max_overstay, "{until} {now}");
    assert_eq!(ledger.outstanding(&server(0), until), 0.0);
    // A stranger, or a server that it was never handed: nothing to tell by.
    ledger.record_use((host(9), 0), &server(0), 5.0, now - 1.0, now);
    ledger.record_use(fair, &server(3), 5.0, now - 1.0, now);
    assert_eq!(ledger.overstay(fair.0, 0), 0.0);
}
