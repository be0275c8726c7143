//! Authoritative DNS server that answers with weights from the routing tables.
//!
//! `names` classifies query names, `front` builds a response to a query, `prepared` caches encoded responses
//! until their table changes, `server` runs the UDP and TCP sockets. No routing decisions are made here:
//! weights come from a [`Backend`], rate limits and cookies from the `askers` crate, parameters from the
//! settings.
//!
//! Implements RFC 1035, 2308 (negative answers), 2782 (SRV), 6891 (EDNS), 7766 (TCP), 7871 (client subnet),
//! 7873 and 9018 (cookies), 8482 (ANY).

mod front;
mod names;
mod prepared;
mod server;

pub use front::{Backend, Counters, Front, Transport};
pub use names::{NameKind, Names};
pub use server::{serve_tcp, serve_udp, Handler, TcpConnections, TcpLimits};
