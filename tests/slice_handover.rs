//! Slices with an exclusive owner: a new one is named only when no write can be in progress at a former one.

mod support;

use oatlever::round::*;
use support::*;

const SLICE: u16 = 1;
const START: f64 = 50.0;
const LEASE: f64 = 2.5;
/// s; rounds are run at this interval.
const STEP: f64 = 0.05;
/// s; a new owner is named within this time after the moment when that is safe.
const DELAY: f64 = 0.5;

fn exclusive_site() -> Site {
    Site { slices: 4, exclusive_owner: true, write_lease: LEASE, ..site() }
}

fn assignment(assigned: bool, owner: Option<u16>) -> SliceAssignment {
    SliceAssignment {
        slice: SLICE,
        assigned,
        weights: owner.map(|n| (address(n), 1.0)).into_iter().collect(),
    }
}

/// A pilot with three warm servers, six proxies and the slice, whose owner in the store is given.
fn pilot(owner: Option<u16>) -> Harness {
    pilot_at(exclusive_site(), owner)
}

fn pilot_at(site: Site, owner: Option<u16>) -> Harness {
    let mut harness = Harness::new(site, rules(), channel(0));
    let streams = (0..6).map(|proxy| join(proxy, proxy % 3)).collect();
    let round = initial_round(START, ready_servers(3, 3), streams);
    harness.state.tables.entry(SLICE).or_default().extend(owner.map(|n| (address(n), 1.0)));
    harness.round(&Round { slice_assignments: vec![assignment(true, owner)], ..round });
    harness
}

/// Runs rounds after `now` and before `end`, and sets `now` to `end`.
fn run_until(harness: &mut Harness, now: &mut f64, end: f64) {
    while *now + STEP < end {
        *now += STEP;
        harness.round(&round_at(*now));
    }
    *now = end;
}

/// Runs rounds after `now` until the slice has an owner again, and returns that moment.
fn named_at(harness: &mut Harness, mut now: f64) -> f64 {
    while harness.state.table(SLICE).is_empty() {
        now += STEP;
        assert!(now < START + 60.0, "the slice never gets an owner");
        harness.round(&round_at(now));
    }
    now
}

fn assert_named_soon_after(named: f64, safe: f64) {
    assert!(named >= safe, "an owner is named at {named}, while writes may go on until {safe}");
    assert!(named <= safe + DELAY, "an owner is named only at {named}, and it is safe from {safe} on");
}

/// Guards against writes at two servers at a time after a pilot restarted, or another took over, just after an
/// owner was removed: a slice that the store assigns without an owner may have had one a moment ago.
#[test]
fn a_slice_assigned_without_an_owner_waits_for_writes_to_a_former_one() {
    let mut harness = pilot(None);
    let safe = START + LEASE + site().max_write_duration;
    assert_named_soon_after(named_at(&mut harness, START), safe);
}

/// Guards against the same where the slice comes back to a pilot that it was taken from.
#[test]
fn a_slice_that_comes_back_without_an_owner_waits_again() {
    let mut harness = pilot(Some(1));
    let (taken, back) = (START + 20.0, START + 21.0);
    harness.round(&Round { slice_assignments: vec![assignment(false, None)], ..round_at(taken) });
    harness.state.tables.clear();
    harness.round(&Round { slice_assignments: vec![assignment(true, None)], ..round_at(back) });
    let safe = back + LEASE + site().max_write_duration;
    assert_named_soon_after(named_at(&mut harness, back), safe);
}

/// Guards against writes to an owner that a pilot removes as it takes the slice over: proxies that have not read
/// the store go on for a lease.
#[test]
fn an_owner_that_drains_at_the_assignment_keeps_its_writes_for_a_lease() {
    let mut harness = Harness::new(exclusive_site(), rules(), channel(0));
    let mut servers = ready_servers(3, 3);
    servers[1].readiness = Readiness::Draining;
    let round = initial_round(START, servers, vec![join(0, 0)]);
    harness.state.tables.entry(SLICE).or_default().insert(address(1), 1.0);
    harness.round(&Round { slice_assignments: vec![assignment(true, Some(1))], ..round });
    assert!(harness.state.table(SLICE).is_empty());
    let safe = START + LEASE + site().max_write_duration;
    assert_named_soon_after(named_at(&mut harness, START), safe);
}

/// When the slice gets a new owner after its owner was removed, where a proxy's stream is reported lost `lost_after`
/// seconds after the removal. Both times are relative to the removal.
fn named_after_removal(site: Site, lost_after: Option<f64>) -> f64 {
    let mut harness = pilot_at(site, Some(1));
    let removed = START + 20.0;
    let mut rounds = vec![list_change(removed, vec![entry(1, 1, Readiness::Draining, 0.0)])];
    rounds.extend(lost_after.map(|after| Round {
        streams: vec![Stream { up: false, ..join(3, 0) }],
        ..round_at(removed + after)
    }));
    rounds.sort_by(|a, b| a.now.total_cmp(&b.now));
    let mut now = rounds[0].now;
    for round in rounds {
        run_until(&mut harness, &mut now, round.now);
        harness.round(&round);
    }
    assert!(harness.state.table(SLICE).is_empty(), "named before the rounds of the test have ended");
    named_at(&mut harness, now) - removed
}

/// Guards against writes at two servers where a proxy does not receive the removal of an owner, as its stream broke
/// a moment before: it goes on sending writes for a lease.
#[test]
fn a_removal_waits_for_the_lease_of_proxies_whose_stream_broke() {
    let write = site().max_write_duration;
    let delivery = channel(0).max_delivery_delay;
    assert_named_soon_after(named_after_removal(exclusive_site(), None), delivery + write);
    for lost in [-1.0, 0.2] {
        assert_named_soon_after(named_after_removal(exclusive_site(), Some(lost)), lost + LEASE + write);
    }
    // A loss that is reported after the removal has arrived may have come before.
    assert_named_soon_after(named_after_removal(exclusive_site(), Some(3.0)), delivery + LEASE + write);
    let short_writes = Site { max_write_duration: 0.5, ..exclusive_site() };
    assert_named_soon_after(named_after_removal(short_writes, Some(2.9)), delivery + LEASE + 0.5);
}

/// A pilot that has just removed the owner of two slices, which fills a channel with 150 proxies, and the moment when
/// the last of them receives that at the stated rate: one message with both orders goes to each.
fn removal_that_fills_the_channel(removed: f64) -> (Harness, f64) {
    let (proxies, slices) = (150, 2);
    let mut harness = Harness::new(Site { slices, ..exclusive_site() }, rules(), channel(0));
    let streams = (0..proxies).map(|proxy| join(proxy, proxy % 3)).collect();
    let assigned = |slice| SliceAssignment { slice, ..assignment(true, Some(1)) };
    let round = initial_round(START, ready_servers(3, 3), streams);
    harness.round(&Round { slice_assignments: vec![assigned(0), assigned(SLICE)], ..round });
    harness.round(&list_change(removed, vec![entry(1, 1, Readiness::Draining, 0.0)]));
    assert!(harness.state.table(SLICE).is_empty());
    let lines = f64::from(proxies) * (channel(0).header_lines + slices as f64);
    (harness, removed + lines / channel(0).lines_per_second + channel(0).max_delivery_delay)
}

/// Guards against writes at two servers where a removal waits in the channel behind other lines before it is sent.
#[test]
fn a_removal_that_waits_in_the_channel_has_not_been_received() {
    let removed = START + 20.0;
    let (mut harness, received) = removal_that_fills_the_channel(removed);
    assert_named_soon_after(named_at(&mut harness, removed), received + site().max_write_duration);
}

/// Guards against the same where an acknowledgement is missing while the channel is too full for other orders.
#[test]
fn a_full_channel_does_not_hide_a_missing_acknowledgement() {
    let removed = START + 20.0;
    let (mut harness, received) = removal_that_fills_the_channel(removed);
    let number = harness.state.mark.expect("a mark");
    let mut now = removed;
    for (after, proxies) in [(0.4, 0..149), (1.4, 149..150)] {
        run_until(&mut harness, &mut now, removed + after);
        let acknowledgements = proxies.map(|proxy| Acknowledgement { proxy, number }).collect();
        harness.round(&Round { acknowledgements, ..round_at(now) });
    }
    assert!(now > received);
    assert_named_soon_after(named_at(&mut harness, now), now + site().max_write_duration);
}

/// When the slice gets a new owner after a removal that proxies 0 to 4 acknowledge within 0.3 s and proxy 5 after
/// `last_after` seconds, if at all; `lost_after` is as in `named_after_removal`.
fn named_after_acknowledgements(last_after: Option<f64>, lost_after: Option<f64>) -> f64 {
    let mut harness = pilot(Some(1));
    let removed = START + 20.0;
    harness.round(&list_change(removed, vec![entry(1, 1, Readiness::Draining, 0.0)]));
    let mark = harness.state.mark;
    let acknowledge = |proxy| mark.map(|number| Acknowledgement { proxy, number });
    let mut rounds =
        vec![Round { acknowledgements: (0..5).filter_map(acknowledge).collect(), ..round_at(removed + 0.3) }];
    rounds.extend(last_after.map(|after| Round {
        acknowledgements: acknowledge(5).into_iter().collect(),
        ..round_at(removed + after)
    }));
    rounds.extend(lost_after.map(|after| Round {
        streams: vec![Stream { up: false, ..join(5, 2) }],
        ..round_at(removed + after)
    }));
    let mut now = removed;
    for round in rounds {
        run_until(&mut harness, &mut now, round.now);
        harness.round(&round);
    }
    named_at(&mut harness, now) - removed
}

/// Guards against writes at two servers where the channel is slower than stated or a proxy stands still: a proxy that
/// has not acknowledged a removal may not have received it.
#[test]
fn a_removal_that_a_proxy_has_not_acknowledged_has_not_been_received() {
    let write = site().max_write_duration;
    assert_named_soon_after(
        named_after_acknowledgements(Some(0.3), None),
        channel(0).max_delivery_delay + write,
    );
    assert_named_soon_after(named_after_acknowledgements(Some(4.5), None), 4.5 + write);
    assert_named_soon_after(named_after_acknowledgements(None, Some(2.0)), 2.0 + LEASE + write);
}

/// A proxy that never acknowledges must not keep a slice without an owner for good.
#[test]
fn a_proxy_that_never_acknowledges_is_considered_gone() {
    let named = named_after_acknowledgements(None, None);
    let acknowledge_timeout = 5.0;
    assert!(named <= 0.3 + acknowledge_timeout + site().max_write_duration + DELAY, "{named}");
}

/// A proxy that stays behind for good must not hold up the slices that move while others acknowledge.
#[test]
fn slices_move_while_a_proxy_never_acknowledges() {
    let mut harness = pilot(Some(1));
    let mut owner = 1;
    let mut now = START + 20.0;
    for _ in 0..4 {
        let next = if owner == 1 { 2 } else { 1 };
        let entries = vec![entry(owner, 1, Readiness::Draining, 0.0), entry(next, 1, Readiness::Ready, 0.0)];
        let removed = now;
        harness.round(&list_change(removed, entries));
        while harness.state.table(SLICE).is_empty() {
            let mark = harness.state.mark.into_iter();
            let acknowledgements = mark.flat_map(|number| (0..5).map(move |proxy| (proxy, number)));
            let acknowledgements =
                acknowledgements.map(|(proxy, number)| Acknowledgement { proxy, number }).collect();
            now += STEP;
            harness.round(&Round { acknowledgements, ..round_at(now) });
            assert!(now < removed + 5.0 + site().max_write_duration + DELAY, "no owner since {removed}");
        }
        owner = (0..3).find(|n| harness.state.table(SLICE).contains_key(&address(*n))).expect("an owner");
        now += 1.0;
    }
}

/// Guards against a wait that is cut short where no proxy acknowledged anything for a while before a removal: that
/// quiet time must not count as silence after it.
#[test]
fn a_quiet_time_before_a_removal_does_not_count_as_silence() {
    let mut harness = pilot(Some(1));
    let earlier = START + 20.0;
    let moved = Round {
        slice_assignments: vec![SliceAssignment { slice: 2, ..assignment(true, Some(2)) }],
        ..round_at(earlier)
    };
    harness.round(&moved);
    harness.round(&list_change(earlier + 0.1, vec![entry(2, 2, Readiness::Draining, 0.0)]));
    let acknowledge = |harness: &Harness, proxies: std::ops::Range<u16>| {
        let number = harness.state.mark.expect("a mark");
        proxies.map(|proxy| Acknowledgement { proxy, number }).collect::<Vec<_>>()
    };
    let all = acknowledge(&harness, 0..6);
    let mut now = earlier + 0.4;
    harness.round(&Round { acknowledgements: all, ..round_at(now) });
    let removed = earlier + 4.9;
    run_until(&mut harness, &mut now, removed);
    harness.round(&list_change(removed, vec![entry(1, 1, Readiness::Draining, 0.0)]));
    let all = acknowledge(&harness, 0..6);
    for (after, proxies) in [(1.0, 0..5), (3.0, 5..6)] {
        run_until(&mut harness, &mut now, removed + after);
        let acknowledgements = all[proxies].to_vec();
        harness.round(&Round { acknowledgements, ..round_at(now) });
    }
    assert_named_soon_after(named_at(&mut harness, now), removed + 3.0 + site().max_write_duration);
}
