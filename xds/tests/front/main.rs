//! The server on loopback: well-behaved and misbehaving clients, identities, and the load reports of servers (ORCA).

mod harness;
mod held;
mod identities;
mod orca;
mod pieces;
mod streams;
