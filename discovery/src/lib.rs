//! The list of servers, from documents of the Prometheus service discovery format.
//!
//! `document` parses a document, `server_list` tracks the listed servers and turns documents into updates of
//! the list, and `reader` polls the source and stores the last valid list in a file. `platform` implements
//! the other kind of list, that of the operators' platform, and `watch` follows its changes.

mod document;
pub mod platform;
mod reader;
mod server_list;
pub mod watch;

pub use document::{Completeness, Document, ServerEntry};
pub use reader::{poll, Cache, Source};
pub use server_list::{BootTime, Member, ServerList, Update};
