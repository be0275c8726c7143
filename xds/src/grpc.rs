//! gRPC over HTTP/2: messages with a five-byte prefix, a status in the trailers.

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{HeaderMap, HeaderValue};
use prost::Message;
use std::fmt;

/// Status codes that are used here (grpc.io, "Status codes and their use in gRPC").
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

/// Why a stream ends.
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
        // Percent-encoded by the specification; what is not plain text is left out.
        let plain: String = self.message.chars().filter(|c| (' '..='~').contains(c) && *c != '%').collect();
        if let Ok(value) = HeaderValue::from_str(&plain) {
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

const PREFIX: usize = 5;

/// A message as a frame of the body.
pub fn framed(message: &impl Message) -> Bytes {
    let mut bytes = vec![0; PREFIX];
    // Writing into a vector has no end of room.
    let _ = message.encode(&mut bytes);
    let length = (bytes.len() - PREFIX) as u32;
    bytes[1..PREFIX].copy_from_slice(&length.to_be_bytes());
    bytes.into()
}

/// Reads messages off a body, none larger than a limit.
pub struct Reader<B> {
    body: B,
    held: Vec<u8>,
    max_message_bytes: usize,
}

impl<B: Body<Data = Bytes> + Unpin> Reader<B>
where
    B::Error: fmt::Display,
{
    pub fn new(body: B, max_message_bytes: usize) -> Self {
        Reader { body, held: Vec::new(), max_message_bytes }
    }

    /// The next message; none at the end. Errors: too large, compressed, cut off, or no such message.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, Status> {
        let invalid = |what: String| Status::new(Code::InvalidArgument, what);
        loop {
            if self.held.len() >= PREFIX {
                if self.held[0] != 0 {
                    return Err(Status::new(Code::Unimplemented, "compressed messages are not read"));
                }
                let prefix = [self.held[1], self.held[2], self.held[3], self.held[4]];
                let length = u32::from_be_bytes(prefix) as usize;
                if length > self.max_message_bytes {
                    let what = format!("a message of {length} bytes, {} at most", self.max_message_bytes);
                    return Err(Status::new(Code::ResourceExhausted, what));
                }
                if self.held.len() >= PREFIX + length {
                    let message = M::decode(&self.held[PREFIX..PREFIX + length]);
                    self.held.drain(..PREFIX + length);
                    return message.map(Some).map_err(|e| invalid(e.to_string()));
                }
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.held.extend(frame.into_data().unwrap_or_default()),
                Some(Err(e)) => return Err(Status::new(Code::Unavailable, e.to_string())),
                None if self.held.is_empty() => return Ok(None),
                None => return Err(invalid("cut off in the middle of a message".to_string())),
            }
        }
    }
}

/// A frame that ends a body.
pub fn end(status: &Status) -> Frame<Bytes> {
    Frame::trailers(status.trailers())
}
