//! Stand-ins that tests of other packages use as well. The other ones are part of the program.

pub mod pieces;
pub mod platform;
pub mod soak;
