//! The front on loopback: streams that behave and streams that do not, and who may come as whom.

mod harness;
mod identities;
mod streams;
