//! Cost-optimal planning of query flows between zones under capacity limits.
//!
//! No I/O, no clock, no randomness. [`plan()`] solves a [`Model`] and returns the cheapest plan with a lower bound
//! on its cost; [`Planner`] derives demand and capacity from reports and decides when a plan is issued.
//! `docs/notes/0004-cost.md` discusses the design.

mod capacity;
mod model;
mod plan;
mod planner;
mod program;

pub use capacity::{CapacityEstimator, ZoneObservation};
pub use model::{Class, Link, Model, Pool, Source};
pub use plan::{moved_work, plan, Flow, Plan, PreviousPlan, Shortage};
pub use planner::{Decision, NoPlan, Planner, PlannerConfig, ZoneServers};
