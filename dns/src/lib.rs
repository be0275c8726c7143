//! The DNS front: answers with weights, read from the tables that orders add up to.
//!
//! `names` says what a name stands for, `front` turns one question into one answer, `prepared` keeps
//! answers encoded between changes, `server` holds the sockets. Nothing here decides on routing: weights
//! come from a [`Desk`], limits and proofs from the askers' package, figures from the settings.
//!
//! Published forms: RFC 1035, 2308 (negative answers), 2782 (SRV), 6891 (EDNS), 7766 (TCP), 7871 (client
//! subnet), 7873 and 9018 (cookies), 8482 (ANY).

mod front;
mod names;
mod prepared;
mod server;

pub use front::{Backend, Counters, Front, Transport};
pub use names::{NameKind, Names};
pub use server::{serve_tcp, serve_udp, Handler, TcpConnections, TcpLimits};
