//! Judges tables before they go out, whoever wrote them.
//!
//! No I/O, no clock, no chance. [`State`] is what is known of servers and demand, [`Loads`] what all tables
//! that may be in use ask of each server, [`Guard`] judges a proposal against both and says what is to be laid
//! instead where it must not go out. `docs/notes/0003-table-guard.md` weighs the options.

mod admission;
mod checks;
mod evidence;
mod guard;
mod holders;
mod loads;
mod nearest;
mod state;

pub use admission::AdmissionLimit;
pub use checks::{Check, Finding, Pin};
pub use evidence::{Evidence, ListedServer};
pub use guard::{Guard, Mode, Outcome, Override, Verdict};
pub use holders::Holders;
pub use loads::Loads;
pub use nearest::{nearest, NearestTable};
pub use state::{GuardConfig, ListStatus, Server, State};

use oatlever::round::Address;
use std::collections::BTreeMap;

/// Weights, or parts of a whole, by server.
pub type Weights = BTreeMap<Address, f64>;

/// Parts of the whole; lines that weigh nothing, or no finite number, are left out.
pub fn normalize(lines: &Weights) -> Weights {
    let open = lines.iter().filter(|(_, weight)| weight.is_finite() && **weight > 0.0);
    // The greatest first, as a sum of very large weights may be no number.
    let most = open.clone().map(|(_, weight)| *weight).fold(0.0, f64::max);
    let scaled = open.map(|(server, weight)| (*server, weight / most));
    let all: f64 = scaled.clone().map(|(_, weight)| weight).sum();
    scaled.map(|(server, weight)| (server, weight / all)).filter(|(_, part)| *part > 0.0).collect()
}

pub(crate) fn part(lines: &Weights, server: &Address) -> f64 {
    lines.get(server).copied().unwrap_or(0.0)
}
