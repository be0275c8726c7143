//! oatlever: a central planner behind a layer of plain proxies.
//!
//! `balance` holds every decision, `round` the interface it is called through,
//! `state` what it remembers, `sums` and `rng` the helpers it counts and draws with.

pub mod balance;
pub mod rng;
pub mod round;
mod state;
pub mod sums;
