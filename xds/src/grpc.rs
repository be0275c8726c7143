//! gRPC over HTTP/2: length-prefixed messages, and a status in the trailers.

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{HeaderMap, HeaderValue};
use prost::Message;
use std::fmt;

/// The status codes in use (grpc.io, "Status codes and their use in gRPC").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Ok = 0,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    Aborted = 10,
    Unimplemented = 12,
    Unavailable = 14,
    Unauthenticated = 16,
}

/// The status with which a stream ends.
#[derive(Clone, Debug)]
pub struct Status {
    pub code: Code,
    pub message: String,
}

impl Status {
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Status { code, message: message.into() }
    }

    pub fn trailers(&self) -> HeaderMap {
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(self.code as u16));
        // The specification percent-encodes the message. Characters that would need encoding are left out.
        let printable: String =
            self.message.chars().filter(|c| (' '..='~').contains(c) && *c != '%').collect();
        if let Ok(value) = HeaderValue::from_str(&printable) {
            trailers.insert("grpc-message", value);
        }
        trailers
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.code, self.message)
    }
}

/// Length of the prefix of a message: a compression flag and the length in four bytes.
const PREFIX_LEN: usize = 5;

/// Encodes a message with its length prefix.
pub fn framed(message: &impl Message) -> Bytes {
    let mut bytes = vec![0; PREFIX_LEN];
    // Encoding fails only if the buffer has no room left, and a vector grows.
    let _ = message.encode(&mut bytes);
    let length = (bytes.len() - PREFIX_LEN) as u32;
    bytes[1..PREFIX_LEN].copy_from_slice(&length.to_be_bytes());
    bytes.into()
}

/// Reads length-prefixed messages from a body, up to a maximum message size.
pub struct Reader<B> {
    body: B,
    buffer: Vec<u8>,
    max_message_bytes: usize,
}

impl<B: Body<Data = Bytes> + Unpin> Reader<B>
where
    B::Error: fmt::Display,
{
    pub fn new(body: B, max_message_bytes: usize) -> Self {
        Reader { body, buffer: Vec::new(), max_message_bytes }
    }

    /// Reads the next message, or `None` at the end of the body. Fails if the message is too large, compressed,
    /// truncated or malformed, or if the body fails.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, Status> {
        let invalid = |message: String| Status::new(Code::InvalidArgument, message);
        loop {
            if self.buffer.len() >= PREFIX_LEN {
                if self.buffer[0] != 0 {
                    return Err(Status::new(Code::Unimplemented, "compressed messages are not read"));
                }
                let prefix = [self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]];
                let length = u32::from_be_bytes(prefix) as usize;
                if length > self.max_message_bytes {
                    let message = format!("a message of {length} bytes, {} at most", self.max_message_bytes);
                    return Err(Status::new(Code::ResourceExhausted, message));
                }
                if self.buffer.len() >= PREFIX_LEN + length {
                    let message = M::decode(&self.buffer[PREFIX_LEN..PREFIX_LEN + length]);
                    self.buffer.drain(..PREFIX_LEN + length);
                    return message.map(Some).map_err(|e| invalid(e.to_string()));
                }
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.buffer.extend(frame.into_data().unwrap_or_default()),
                Some(Err(e)) => return Err(Status::new(Code::Unavailable, e.to_string())),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(invalid("cut off in the middle of a message".to_string())),
            }
        }
    }
}

/// The frame that ends a body with a status.
pub fn trailers_frame(status: &Status) -> Frame<Bytes> {
    Frame::trailers(status.trailers())
}
