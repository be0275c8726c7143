//! oatlever: a central planner behind a layer of plain proxies.
//!
//! `balance` makes the decisions, `round` is their interface, `state` holds what they remember between
//! rounds, and `sums` and `rng` are numeric helpers.

pub mod balance;
pub mod rng;
pub mod round;
mod state;
pub mod sums;
