//! What happens in a run, drawn from its seed.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::ops::Range;

/// Requests a second that a proxy brings.
pub const RATE: f64 = 10.0;
/// Part of its capacity that a server starts with, and s until it is warm.
pub const START_CAPACITY: f64 = 0.15;
pub const WARM_WITHIN: f64 = 16.0;
/// Times its capacity of the moment at which a cold server falls over.
pub const FALL_MULTIPLE: f64 = 2.5;
/// MB of memory that a pilot may hold.
pub const MEMORY_MB: u64 = 64;
/// Descriptors that a pilot may hold beside one for each proxy; fewer where a crowd is to find no room.
const ROOMY: u64 = 400;
const TIGHT: u64 = 64;
/// s; in runs of this length one pilot is never restarted, so that its memory and descriptors can be compared.
const LONG: f64 = 60.0;

/// Which servers have just started as a run begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cold {
    None,
    Half,
    All,
}

/// What proxies tell of the rate that they usually bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rates {
    Told,
    /// All tell 0.
    Untold,
    /// One tells it, the others 0.
    OneTold,
}

/// The list that a pilot is given at its start, beside discovery's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// As discovery has it.
    Same,
    /// Empty.
    Nothing,
    /// One server of all.
    One,
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Reload,
    End,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Signals to a pilot, `gap` seconds apart. Where one asks it to end, it is killed at the page's earliest after
    /// that, and started again. Where it is held, its process stands still before and while they are sent, so that
    /// they meet it in one turn with what all clients have asked meanwhile.
    Signals { pilot: usize, series: Vec<Signal>, gap: f64, held: bool },
    /// A kill without notice, and a start.
    Kill { pilot: usize },
    /// A server drains, and comes back cold later.
    Replace { server: usize, back_after: f64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub action: Action,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub seconds: f64,
    pub pilots: usize,
    pub proxies: u16,
    pub servers: usize,
    pub cold: Cold,
    pub rates: Rates,
    pub known: Known,
    /// Strangers who dial all the while: some say nothing, some garbage, some half a message.
    pub crowd: usize,
    /// Descriptors that a pilot may hold.
    pub sockets: u64,
    pub steps: Vec<Step>,
}

fn one_of<T: Clone>(chance: &mut fastrand::Rng, all: &[T]) -> T {
    all[chance.usize(..all.len())].clone()
}

/// What happens next, to one of the pilots in `restarted` where it is to one.
fn action(chance: &mut fastrand::Rng, restarted: Range<usize>, servers: usize) -> Action {
    use Signal::{End, Reload};
    let kind = if restarted.is_empty() { 0 } else { chance.u8(..8) };
    let pilot = if restarted.is_empty() { 0 } else { chance.usize(restarted) };
    match kind {
        2 => Action::Kill { pilot },
        0 | 1 => Action::Replace { server: chance.usize(..servers), back_after: 0.5 + chance.f64() },
        _ => {
            let series = [
                vec![Reload, Reload, End],
                vec![End, End],
                vec![Reload, End],
                vec![End, Reload],
                vec![Reload, Reload, Reload],
            ];
            let (series, gap) = (one_of(chance, &series), one_of(chance, &[0.0, 0.002, 0.05]));
            Action::Signals { pilot, series, gap, held: chance.bool() }
        }
    }
}

impl Plan {
    /// The run of a seed, of a length.
    pub fn draw(seed: u64, seconds: f64) -> Plan {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (pilots, servers) = (chance.usize(1..=3), chance.usize(2..=12));
        let spared = usize::from(seconds >= LONG);
        let crowd = if chance.u8(..3) == 0 { chance.usize(50..=150) } else { 0 };
        let proxies = chance.u16(3..=24);
        let mut steps = Vec::new();
        let mut at = 0.3 + chance.f64();
        // The last one is over by the end: a restart, and time to join and to be given a table.
        while at < seconds - 4.0 {
            steps.push(Step { at, action: action(&mut chance, spared..pilots, servers) });
            at += 0.3 + 0.9 * chance.f64();
        }
        Plan {
            seed,
            seconds,
            pilots,
            proxies,
            servers,
            cold: one_of(&mut chance, &[Cold::None, Cold::Half, Cold::All]),
            rates: one_of(&mut chance, &[Rates::Told, Rates::Told, Rates::Untold, Rates::OneTold]),
            known: one_of(&mut chance, &[Known::Same, Known::Same, Known::Nothing, Known::One]),
            crowd,
            sockets: u64::from(proxies) + if crowd > 0 { TIGHT } else { ROOMY },
            steps,
        }
    }

    pub fn server(&self, place: usize) -> String {
        format!("s-{place}")
    }

    pub fn starts_cold(&self, place: usize) -> bool {
        match self.cold {
            Cold::None => false,
            Cold::Half => place.is_multiple_of(2),
            Cold::All => true,
        }
    }

    /// What a proxy tells of its usual rate.
    pub fn told_rate(&self, proxy: u16) -> f64 {
        match self.rates {
            Rates::Told => RATE,
            Rates::OneTold if proxy == 0 => RATE,
            Rates::OneTold | Rates::Untold => 0.0,
        }
    }

    /// Requests a second that a warm server carries: all together carry twice what comes.
    pub fn carries(&self) -> f64 {
        2.0 * RATE * f64::from(self.proxies) / self.servers as f64
    }

    /// The configuration of a pilot.
    pub fn configuration(
        &self,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &[Value],
    ) -> Value {
        let class = |name: &str, worth: f64| json!({"name": name, "slo-ms": 1000.0, "worth": worth});
        let known = match self.known {
            Known::Same => known,
            Known::Nothing => &[],
            Known::One => &known[..known.len().min(1)],
        };
        json!({
            "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.sockets},
            "known": {"version": 1, "full": true, "servers": known},
            "settings": {
                "family-info": {"egress-per-s": 8600.0, "head": 4.0, "level-kind": "share", "partitions-n": 0,
                    "data-plane-size": self.proxies, "choice": "weighted", "period-ms": 1000.0,
                    "queue-cap": 8600.0, "reloads-max": 0, "transit-max-ms": 545.0,
                    "update-window-ms": 10000.0, "write-life-ms": 4020.0},
                "lanes": [class("lookup", 1.0), class("order", 3.0)],
                "limits": {"probes": false, "connect-timeout-ms": 300.0},
                "registry-mode": "pushed", "siblings": self.pilots, "tick-ms": 2.0, "zones": ["a", "b"],
                "rules": {"ask-within-ms": 10000.0, "fall-multiple": FALL_MULTIPLE,
                    "start-capacity": START_CAPACITY, "warm-within-ms": WARM_WITHIN * 1e3}
            }
        })
    }
}
