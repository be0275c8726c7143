//! The plan of a run, drawn from its seed.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::ops::Range;

/// Requests per second of each proxy.
pub const RATE: f64 = 10.0;
/// Share of its full capacity that a server has when it starts.
pub const START_CAPACITY: f64 = 0.15;
/// Seconds from the start of a server until it is warm.
pub const WARM_WITHIN: f64 = 16.0;
/// A cold server fails at a load of this multiple of its current capacity.
pub const FALL_MULTIPLE: f64 = 2.5;
/// Memory limit of a pilot in MB.
pub const MEMORY_MB: u64 = 64;
/// Descriptor limit of a pilot, in addition to one for each proxy.
const EXTRA_DESCRIPTORS: u64 = 400;
/// The same in runs with unknown clients, few enough that the limit is reached.
const EXTRA_DESCRIPTORS_WITH_CROWD: u64 = 64;
/// Seconds; in runs of at least this length one pilot is never restarted, so that its memory and descriptors can be
/// compared over time.
const LONG_RUN: f64 = 60.0;

/// Which servers are cold at the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cold {
    None,
    Half,
    All,
}

/// Which proxies report their usual request rate when they attach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rates {
    /// All proxies.
    Told,
    /// None; all report 0.
    Untold,
    /// One proxy; the others report 0.
    OneTold,
}

/// The server list in the configuration of a pilot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// The same list as discovery.
    Same,
    /// An empty list.
    Nothing,
    /// One of the servers.
    One,
}

/// A signal to a pilot: SIGHUP or SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Reload,
    Terminate,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends signals to a pilot, `gap` seconds apart. After a SIGTERM the pilot is killed if it still runs at the end
    /// of the grace period, and restarted. With `suspended`, the process is stopped before and while the signals are
    /// sent, so that it handles them together with all client requests that have arrived meanwhile.
    Signals { pilot: usize, signals: Vec<Signal>, gap: f64, suspended: bool },
    /// Kills a pilot without a preceding SIGTERM and restarts it.
    Kill { pilot: usize },
    /// Drains a server and lists it again, cold, after `back_after` seconds.
    Replace { server: usize, back_after: f64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Seconds since the start of the run.
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
    /// Number of unknown clients that connect again and again: some send nothing, some garbage, some half a message.
    pub crowd: usize,
    /// Descriptor limit of a pilot.
    pub sockets: u64,
    pub steps: Vec<Step>,
}

fn choose<T: Clone>(rng: &mut fastrand::Rng, options: &[T]) -> T {
    options[rng.usize(..options.len())].clone()
}

/// Draws the next action; one that concerns a pilot chooses it from `restartable`.
fn draw_action(rng: &mut fastrand::Rng, restartable: Range<usize>, servers: usize) -> Action {
    use Signal::{Reload, Terminate};
    let kind = if restartable.is_empty() { 0 } else { rng.u8(..8) };
    let pilot = if restartable.is_empty() { 0 } else { rng.usize(restartable) };
    match kind {
        2 => Action::Kill { pilot },
        0 | 1 => Action::Replace { server: rng.usize(..servers), back_after: 0.5 + rng.f64() },
        _ => {
            let sequences = [
                vec![Reload, Reload, Terminate],
                vec![Terminate, Terminate],
                vec![Reload, Terminate],
                vec![Terminate, Reload],
                vec![Reload, Reload, Reload],
            ];
            let (signals, gap) = (choose(rng, &sequences), choose(rng, &[0.0, 0.002, 0.05]));
            Action::Signals { pilot, signals, gap, suspended: rng.bool() }
        }
    }
}

impl Plan {
    /// Draws the run of a seed.
    pub fn draw(seed: u64, seconds: f64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (pilots, servers) = (rng.usize(1..=3), rng.usize(2..=12));
        let first_restartable = usize::from(seconds >= LONG_RUN);
        let crowd = if rng.u8(..3) == 0 { rng.usize(50..=150) } else { 0 };
        let proxies = rng.u16(3..=24);
        let mut steps = Vec::new();
        let mut at = 0.3 + rng.f64();
        // The last action leaves time for a restart and for proxies to attach and to receive a table.
        while at < seconds - 4.0 {
            steps.push(Step { at, action: draw_action(&mut rng, first_restartable..pilots, servers) });
            at += 0.3 + 0.9 * rng.f64();
        }
        Plan {
            seed,
            seconds,
            pilots,
            proxies,
            servers,
            cold: choose(&mut rng, &[Cold::None, Cold::Half, Cold::All]),
            rates: choose(&mut rng, &[Rates::Told, Rates::Told, Rates::Untold, Rates::OneTold]),
            known: choose(&mut rng, &[Known::Same, Known::Same, Known::Nothing, Known::One]),
            crowd,
            sockets: u64::from(proxies)
                + if crowd > 0 { EXTRA_DESCRIPTORS_WITH_CROWD } else { EXTRA_DESCRIPTORS },
            steps,
        }
    }

    pub fn server_id(&self, index: usize) -> String {
        format!("s-{index}")
    }

    pub fn starts_cold(&self, index: usize) -> bool {
        match self.cold {
            Cold::None => false,
            Cold::Half => index.is_multiple_of(2),
            Cold::All => true,
        }
    }

    /// The usual request rate that a proxy reports when it attaches.
    pub fn reported_rate(&self, proxy: u16) -> f64 {
        match self.rates {
            Rates::Told => RATE,
            Rates::OneTold if proxy == 0 => RATE,
            Rates::OneTold | Rates::Untold => 0.0,
        }
    }

    /// Capacity of a warm server in requests per second; all servers together have twice the capacity needed.
    pub fn server_capacity(&self) -> f64 {
        2.0 * RATE * f64::from(self.proxies) / self.servers as f64
    }

    /// Returns the configuration of a pilot; `known` are the entries of all servers.
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
