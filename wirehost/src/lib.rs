//! Adapter between the simulator's binary protocol and oatlever's decision logic.
//!
//! `frame` decodes batches from a byte stream and encodes replies, and `host` runs the instances. The
//! settings of an instance are parsed by `oatlever-instance`.

pub mod frame;
pub mod host;

pub use oatlever_instance::Malformed;

pub(crate) fn malformed<T>(message: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(message.into()))
}
