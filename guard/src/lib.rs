//! Checks every table before it is published, whatever its origin.
//!
//! No I/O, no clock, no randomness. [`State`] is what is known of servers and demand, [`Loads`] the load that all
//! tables in use may put on each server. [`Guard`] checks a proposal against both and, if it must not be published,
//! returns the table to publish instead. `docs/notes/0003-table-guard.md` discusses the design.

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

/// Weights by server, or shares that add up to 1.
pub type Weights = BTreeMap<Address, f64>;

/// Turns weights into shares of their sum. Entries whose weight is not positive or not finite are left out.
pub fn normalize(weights: &Weights) -> Weights {
    let valid = weights.iter().filter(|(_, weight)| weight.is_finite() && **weight > 0.0);
    // Dividing by the largest weight first keeps the sum of very large weights finite.
    let max = valid.clone().map(|(_, weight)| *weight).fold(0.0, f64::max);
    let scaled = valid.map(|(server, weight)| (*server, weight / max));
    let sum: f64 = scaled.clone().map(|(_, weight)| weight).sum();
    scaled.map(|(server, weight)| (server, weight / sum)).filter(|(_, share)| *share > 0.0).collect()
}

/// The share of a server; 0 if it isn't in the table.
pub(crate) fn share(shares: &Weights, server: &Address) -> f64 {
    shares.get(server).copied().unwrap_or(0.0)
}
