//! What tests of other packages share of the stand-ins; the program has the rest.

pub mod platform;
pub mod soak;
