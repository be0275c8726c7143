//! Who asks, whether it is still there, how often it may ask, and whether its address is proven.
//!
//! No sockets and no clocks: addresses and times come in as arguments, times in seconds.

mod cookies;
mod limits;
mod prefixes;
mod presence;

pub use cookies::{CookieStatus, Cookies};
pub use limits::{RateDecision, RateLimiter};
pub use prefixes::PrefixTrie;
pub use presence::Presence;
