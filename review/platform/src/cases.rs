//! The cases: their deployments and the steps of their disruptions.

use crate::setup::{Class, Setup, Step};

/// A case by its name, and the rule that it judges.
pub fn find(name: &str) -> Option<(Setup, &'static str)> {
    Some(match name {
        "replace" => (replace(), "drain"),
        "slices" => (many_slices(), "drain"),
        "owner" => (owner(), "owner"),
        _ => return crate::trials::find(name),
    })
}

/// The figures of the Savannah pages as of today: three zones, 30 servers, 36 proxies, one pilot, about 250 requests a
/// second, at most 12 messages to one proxy within 10 s.
pub fn savannah() -> Setup {
    let class = |name, share, work, due_ms, deadline_ms, worth| Class {
        name,
        share,
        work,
        due_ms,
        deadline_ms,
        worth,
        effect: "pure",
        zone_bound: false,
    };
    Setup {
        zones: vec!["pooler", "garden-city", "richmond-hill"],
        classes: vec![
            class("symptom-search", 0.63, 0.315, 1500.0, 5000.0, 2.0),
            class("part-price", 0.37, 0.125, 600.0, 2000.0, 1.0),
        ],
        pilots: 2,
        proxies: 36,
        rate: 250.0,
        servers: vec![8, 11, 11],
        cores: 4,
        speed: 0.97,
        lines_per_second: 1600.0,
        head: 6.0,
        queue_cap: 3600.0,
        transit: 0.2,
        transit_max: 0.5,
        max_messages: 12,
        window: 10.0,
        standing: 6,
        two_choices: true,
        level_kind: "off",
        retry_default: 0,
        unserved_max: 2.1,
        grace: 2.0,
        fall_multiple: 4.0,
        overload_for: 1.5,
        start_capacity: 0.19,
        warm_within: 17.0,
        registry_mode: "on_request",
        only_draining_binds: false,
        probes: false,
        noise: 0.15,
        report_delay: 0.5,
        redial: (0.3, 1.5),
        slices: None,
        seconds: 50.0,
        steps: Vec::new(),
        seed: 1,
    }
}

/// Six in ten servers are replaced within 7 s, one after the other: a new one is listed, then the old one drains, and
/// 2.6 s later it is gone.
fn replace() -> Setup {
    let mut setup = Setup { seconds: 25.0, ..savannah() };
    let replaced = 18;
    for number in 0..replaced {
        let (zone, place) = ((number + 2) % 3, number / 3);
        let name = setup.zones[zone];
        let at = 2.5 + 6.8 * number as f64 / (replaced - 1) as f64;
        let old = vec![format!("{name}-{place:02}")];
        setup.steps.push((at, Step::Add(format!("{name}-{:02}", 20 + place), zone)));
        setup.steps.push((at + 0.1, Step::Drain(old.clone())));
        setup.steps.push((at + 2.7, Step::Remove(old)));
    }
    setup
}

/// A site with slices that have one owner each: two instances in a process each, 12 slices, six servers, 12 proxies.
/// All requests are writes that must not run twice. Channel, way and times of the store are those of the pages.
fn owner() -> Setup {
    let savannah = savannah();
    Setup {
        zones: vec!["pooler", "garden-city"],
        classes: vec![Class {
            name: "part-reserve",
            share: 1.0,
            work: 0.13,
            due_ms: 1500.0,
            deadline_ms: 4000.0,
            worth: 3.0,
            effect: "side_effect",
            zone_bound: false,
        }],
        pilots: 2,
        proxies: 12,
        rate: 90.0,
        servers: vec![3, 3],
        transit: 0.4,
        transit_max: 1.0,
        max_messages: 0,
        registry_mode: "pushed",
        slices: Some(crate::setup::Slices {
            count: 12,
            lease: 2.5,
            write_life: 4.0,
            takeover: 1.2,
            sync: (0.1, 0.5),
            drain_time: 5.5,
            drained: vec![(8.0, 0)],
            kills: true,
        }),
        unserved_max: 9.0,
        seconds: 16.0,
        ..savannah
    }
}

/// The same site with one instance and 96 slices: the fleet shrinks to half of its size within 9 s.
fn many_slices() -> Setup {
    let owner = owner();
    let slices = owner.slices.clone().map(|slices| crate::setup::Slices {
        count: 96,
        drained: vec![(6.0, 1), (10.5, 3), (15.0, 5)],
        kills: false,
        ..slices
    });
    Setup { pilots: 1, rate: 60.0, slices, seconds: 30.0, ..owner }
}
