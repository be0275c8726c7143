//! Who a peer is by its certificate, and as whom it may come.
//!
//! `grants` decides, without I/O, which identity may be which node; `certificate` reads names and times out
//! of a certificate that the handshake has found good; `keys` holds the files' keys and takes up new ones.

mod certificate;
mod grants;
mod keys;

pub use certificate::Peer;
pub use grants::{Denied, Grant, Grants, Node, Scope};
pub use keys::{TlsFiles, TlsKeys};
