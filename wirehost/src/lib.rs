//! The simulator's wire around oatlever's decisions.
//!
//! `frame` cuts batches out of a byte stream and builds replies, `host` keeps the instances
//! apart. The settings an instance starts with are read by `oatlever-instance`.

pub mod frame;
pub mod host;

use std::fmt;

/// What is wrong with the input, and where.
#[derive(Debug)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub(crate) fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}
