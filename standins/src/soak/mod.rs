//! Soak test of pilot restarts on the platform's protocol. Runs are drawn from a seed; clients keep using their
//! connections until the process is killed, and the recorded events are checked afterwards.
//!
//! [`plan`] draws a run from its seed, [`play`] executes it with real processes, [`record`] holds the observed events
//! and [`check`] finds violations in them.

pub mod check;
pub mod plan;
pub mod play;
pub mod proxy;
pub mod record;
