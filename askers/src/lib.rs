//! Identifies askers by address, tracks whether they are up, limits their rate and verifies DNS cookies.
//!
//! Performs no I/O and reads no clock: addresses and times are passed in as arguments, times in seconds.

mod cookies;
mod limits;
mod prefixes;
mod presence;

pub use cookies::{CookieStatus, Cookies};
pub use limits::{RateDecision, RateLimiter};
pub use prefixes::PrefixTrie;
pub use presence::Presence;
