//! A soak of restarts: seeded runs of pilots on the platform's protocol, whose clients use their connections until
//! the kill, and a check of what crossed the sockets.
//!
//! [`plan`] draws a run from its seed, [`play`] plays it with real processes, [`record`] is what was seen and
//! [`check`] what is wrong with it.

pub mod check;
pub mod plan;
pub mod play;
pub mod proxy;
pub mod record;
