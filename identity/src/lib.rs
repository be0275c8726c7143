//! TLS identities of peers, and the nodes that they may act as.
//!
//! `grants` decides, without I/O, which identity may act as which node. `certificate` extracts the names and
//! the expiry time of a verified certificate. `keys` loads the server's keys and reloads them when they
//! change.

mod certificate;
mod grants;
mod keys;

pub use certificate::Peer;
pub use grants::{Denied, Grant, Grants, Node, Scope};
pub use keys::{TlsFiles, TlsKeys};
