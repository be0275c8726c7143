//! The front on loopback: streams that behave and streams that do not, and who may come as whom; and load
//! that servers report.

mod harness;
mod identities;
mod orca;
mod streams;
