//! The simulator's wire around oatlever's decisions.
//!
//! `frame` cuts batches out of a byte stream and builds replies, `host` keeps the instances
//! apart. The settings an instance starts with are read by `oatlever-instance`.

pub mod frame;
pub mod host;

pub use oatlever_instance::Malformed;

pub(crate) fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}
