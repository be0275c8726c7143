//! Trials: disruptions that were played without a script of their own. They judge all rules.

use crate::cases::savannah;
use crate::setup::{Class, Setup, Step};

/// The figures of the Oconee pages at the size of the days on real sockets: two pilots, 150 proxies, 30 servers.
fn oconee_days() -> Setup {
    let class = |name, share, work, due_ms, deadline_ms, worth, effect| Class {
        name,
        share,
        work,
        due_ms,
        deadline_ms,
        worth,
        effect,
        zone_bound: false,
    };
    Setup {
        zones: vec!["atlanta", "athens", "macon"],
        classes: vec![
            class("fault-search", 0.65, 0.365, 2000.0, 6000.0, 1.0, "pure"),
            class("stock-price", 0.19, 0.245, 1200.0, 4000.0, 2.0, "pure"),
            class("part-reserve", 0.16, 0.245, 1200.0, 4000.0, 3.0, "side_effect"),
        ],
        pilots: 2,
        proxies: 150,
        rate: 190.0,
        servers: vec![10, 10, 10],
        cores: 3,
        speed: 1.3,
        lines_per_second: 6400.0,
        head: 4.0,
        queue_cap: 11700.0,
        transit: 0.3,
        transit_max: 0.75,
        max_messages: 0,
        window: 10.0,
        standing: 12,
        two_choices: false,
        level_kind: "share",
        retry_default: 1,
        unserved_max: 2.1,
        grace: 2.0,
        fall_multiple: 2.5,
        overload_for: 2.0,
        start_capacity: 0.15,
        warm_within: 16.0,
        registry_mode: "pushed",
        only_draining_binds: false,
        probes: false,
        noise: 0.2,
        report_delay: 0.7,
        redial: (0.32, 2.1),
        slices: None,
        seconds: 50.0,
        steps: Vec::new(),
        seed: 1,
    }
}

/// The figures of the Bilbao site file, with 60 proxies for each of its two pilots.
fn bilbao_days() -> Setup {
    let class = |name, share, work, due_ms, deadline_ms, worth, effect| Class {
        name,
        share,
        work,
        due_ms,
        deadline_ms,
        worth,
        effect,
        zone_bound: false,
    };
    Setup {
        zones: vec!["bilbao", "oviedo"],
        classes: vec![
            class("payslip-preview", 0.55, 0.28, 1200.0, 3000.0, 2.0, "pure"),
            class("run-approve", 0.45, 0.185, 1000.0, 3000.0, 6.0, "side_effect"),
        ],
        proxies: 120,
        rate: 140.0,
        servers: vec![7, 7],
        cores: 4,
        speed: 0.95,
        lines_per_second: 1100.0,
        queue_cap: 5300.0,
        transit: 0.3,
        transit_max: 0.75,
        standing: 5,
        two_choices: true,
        level_kind: "rate",
        fall_multiple: 4.0,
        overload_for: 1.5,
        start_capacity: 0.16,
        warm_within: 18.0,
        ..oconee_days()
    }
}

/// The servers of all zones with these numbers.
fn ids(setup: &Setup, per_zone: std::ops::Range<usize>) -> Vec<String> {
    setup.zones.iter().flat_map(|zone| per_zone.clone().map(move |n| format!("{zone}-{n:02}"))).collect()
}

/// Servers are replaced one after the other.
fn steps_replace(setup: &mut Setup, from: f64, over: f64, count: usize) {
    let zones = setup.zones.len();
    for number in 0..count {
        let (zone, place) = (number % zones, number / zones);
        let name = setup.zones[zone];
        let at = from + over * number as f64 / count as f64;
        let old = vec![format!("{name}-{place:02}")];
        setup.steps.push((at, Step::Add(format!("{name}-{:02}", 20 + place), zone)));
        setup.steps.push((at + 0.1, Step::Drain(old.clone())));
        setup.steps.push((at + 4.1, Step::Remove(old)));
    }
}

/// A trial by its name: a site and a disruption, as `oco-roll`.
pub fn find(name: &str) -> Option<(Setup, &'static str)> {
    let (site, kind) = name.split_once('-')?;
    let mut setup = match site {
        "oco" => oconee_days(),
        "bil" => bilbao_days(),
        "sav" => savannah(),
        _ => return None,
    };
    let half = setup.servers.iter().sum::<usize>() / 2;
    let zone: Vec<String> = {
        let name = setup.zones[0];
        (0..setup.servers[0]).map(|n| format!("{name}-{n:02}")).collect()
    };
    match kind {
        "roll" => {
            steps_replace(&mut setup, 12.0, 10.0, half);
            for pilot in 0..setup.pilots {
                let at = 13.0 + 4.0 * pilot as f64;
                setup.steps.push((at, Step::Terminate(pilot)));
                setup.steps.push((at + 1.0, Step::Start(pilot)));
            }
        }
        "herd" | "herdslow" | "herdslow5" | "herdroll" | "herdlose" => {
            match kind {
                "herdslow" => setup.steps.push((10.0, Step::Slow(2.4))),
                "herdroll" => {
                    for n in 0..8 {
                        setup.steps.push((15.9 + 0.3 * n as f64, Step::Reset(4, 2)));
                    }
                }
                "herdlose" => {
                    setup.redial = (0.02, 0.6);
                    setup.steps.push((16.16, Step::LoseProxies(4)));
                }
                "herdslow5" => setup.steps.push((10.0, Step::Slow(4.9))),
                _ => {}
            }
            setup.pilots = 5;
            setup.proxies = 240;
            setup.rate = 850.0;
            setup.speed = 0.95;
            setup.servers = vec![30, 30, 140];
            setup.lines_per_second = 6400.0;
            setup.queue_cap = 8200.0;
            let name = |zone: usize, n: usize| format!("{}-{n:02}", ["atlanta", "athens", "macon"][zone]);
            for n in 0..33 {
                for zone in 0..3 {
                    let at = [12.6, 13.0, 14.4, 16.6][n / 9];
                    setup.steps.push((at, Step::Add(name(zone, 120 + n), zone)));
                }
            }
            let some = |from: usize, to: usize| {
                (from..to).flat_map(|n| (0..3).map(move |zone| name(zone, n))).collect::<Vec<_>>()
            };
            setup.steps.push((13.9, Step::Drain(some(0, 10))));
            setup.steps.push((15.27, Step::Drain(some(10, 20))));
            setup.steps.push((17.5, Step::Drain(some(20, 30))));
            for pilot in 0..4 {
                setup.steps.push((15.18, Step::Kill(pilot)));
                setup.steps.push((18.0, Step::Start(pilot)));
            }
        }
        "join" => steps_replace(&mut setup, 12.0, 7.0, half * 6 / 5),
        "kill" => {
            steps_replace(&mut setup, 12.0, 7.0, half);
            setup.steps.push((13.0, Step::Kill(0)));
            setup.steps.push((17.0, Step::Start(0)));
            setup.steps.push((19.0, Step::Kill(1 % setup.pilots)));
            setup.steps.push((22.0, Step::Start(1 % setup.pilots)));
        }
        "zone" => {
            setup.steps.push((12.0, Step::Crash(zone.clone())));
            setup.steps.push((13.5, Step::Remove(zone.clone())));
            setup.steps.push((18.0, Step::Return(zone)));
        }
        "zonekill" => {
            setup.steps.push((12.0, Step::Crash(zone.clone())));
            setup.steps.push((13.5, Step::Remove(zone.clone())));
            setup.steps.push((18.0, Step::Return(zone)));
            setup.steps.push((18.5, Step::Kill(0)));
            setup.steps.push((21.0, Step::Start(0)));
        }
        "fastreturn" => {
            // The list does not notice the end before the return.
            let some = ids(&setup, 0..setup.servers[0] / 4 + 1);
            setup.steps.push((12.0, Step::Crash(some.clone())));
            setup.steps.push((12.5, Step::Return(some)));
        }
        "wrong" => {
            let count = setup.servers.iter().copied().min().unwrap();
            let gone: Vec<String> = ids(&setup, 1..count);
            setup.steps.push((8.0, Step::Crash(zone[..1].to_vec())));
            setup.steps.push((10.0, Step::Return(zone[..1].to_vec())));
            setup.steps.push((12.0, Step::Drain(gone.clone())));
            setup.steps.push((25.0, Step::Restore(gone)));
        }
        "delist" | "delistkill" | "delistcold" => {
            setup.only_draining_binds = true;
            let count = setup.servers.iter().copied().min().unwrap();
            let mut gone: Vec<String> = ids(&setup, 1..count);
            if kind == "delistcold" {
                setup.steps.push((8.0, Step::Crash(zone[..1].to_vec())));
                setup.steps.push((10.0, Step::Return(zone[..1].to_vec())));
            }
            if kind == "delistkill" {
                setup.steps.push((16.0, Step::Kill(0)));
                setup.steps.push((18.0, Step::Start(0)));
                setup.steps.push((24.0, Step::Kill(1)));
                setup.steps.push((26.0, Step::Start(1)));
            }
            setup.steps.push((12.0, Step::Delist(gone.clone())));
            setup.steps.push((25.0, Step::Restore(std::mem::take(&mut gone))));
        }
        "relnew" | "relnew7" | "relnewfast" => {
            let six: Vec<String> = ids(&setup, 0..setup.servers[0] * 6 / 10);
            for zone in 0..setup.zones.len() {
                for n in 0..six.len() / setup.zones.len() {
                    let at = match kind {
                        "relnew7" => 12.0 + 1.0 * n as f64,
                        _ => 12.0,
                    };
                    setup.steps.push((at, Step::Add(format!("{}-{:02}", setup.zones[zone], 20 + n), zone)));
                }
            }
            let at = match kind {
                "relnew" => 15.0,
                "relnew7" => 19.0,
                _ => 13.0,
            };
            setup.steps.push((at, Step::Drain(six.clone())));
            setup.steps.push((at + 4.0, Step::Remove(six)));
        }
        "killslow" => {
            setup.pilots = 2;
            setup.steps.push((10.0, Step::Slow(4.9)));
            steps_replace(&mut setup, 14.0, 10.0, half);
            setup.steps.push((15.0, Step::Kill(1)));
            setup.steps.push((25.0, Step::Slow(1.0)));
        }
        "stall" => {
            steps_replace(&mut setup, 12.0, 10.0, half);
            for n in 0..6 {
                let at = 11.0 + 3.0 * n as f64;
                for pilot in 0..setup.pilots {
                    setup.steps.push((at + 0.3 * pilot as f64, Step::Signal(pilot, "STOP")));
                    setup.steps.push((at + 0.3 * pilot as f64 + 1.9, Step::Signal(pilot, "CONT")));
                }
            }
        }
        "slow" => {
            setup.steps.push((10.0, Step::Slow(4.9)));
            steps_replace(&mut setup, 12.0, 10.0, half);
            setup.steps.push((25.0, Step::Slow(1.0)));
        }
        "reset" => {
            steps_replace(&mut setup, 12.0, 10.0, half);
            for n in 0..10 {
                for pilot in 0..setup.pilots {
                    setup.steps.push((12.0 + 1.1 * n as f64, Step::Reset(pilot, 2)));
                }
            }
        }
        _ => return None,
    }
    Some((setup, crate::rules::ANY))
}
