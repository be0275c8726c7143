//! Plans the cheapest flows between zones that ask no server for more than it can carry.
//!
//! No I/O, no clock, no chance. [`Model`] is what a plan is made for, [`plan()`] makes it with a certificate of
//! how good it is, [`Planner`] decides what is taken for demand and capacity and when a plan goes out.
//! `docs/notes/0004-cost.md` weighs the options.

mod capacity;
mod model;
mod plan;
mod planner;
mod program;

pub use capacity::{CapacityEstimator, ZoneObservation};
pub use model::{Class, Link, Model, Pool, Source};
pub use plan::{moved_work, plan, Flow, Plan, PreviousPlan, Shortage};
pub use planner::{Decision, NoPlan, Planner, PlannerConfig, ZoneServers};
