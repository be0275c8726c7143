//! The list of servers, from documents of the Prometheus service discovery format.
//!
//! `document` reads one document, `book` knows who is listed and turns documents into list news,
//! `reader` fetches them and keeps the last good list in a file. `platform` is the other list: that of the
//! operators' platform, which is watched.

mod document;
pub mod platform;
mod reader;
mod server_list;

pub use document::{Completeness, Document, ServerEntry};
pub use reader::{poll, Cache, Source};
pub use server_list::{BootTime, Member, ServerList, Update};
