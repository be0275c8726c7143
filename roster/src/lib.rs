//! The list of servers, from documents of the Prometheus service discovery format.
//!
//! `document` reads one document, `book` knows who is listed and turns documents into list news,
//! `reader` fetches them and keeps the last good list in a file. `platform` is the other list: that of the
//! operators' platform, which is watched.

mod book;
mod document;
pub mod platform;
mod reader;

pub use book::{Book, Member, Moment, Taken};
pub use document::{Document, Listed, Readable};
pub use reader::{run, Cache, Source};
