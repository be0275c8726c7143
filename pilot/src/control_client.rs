//! Sends a command to the control socket of a running pilot.

use crate::control::HttpRequest;
use serde_json::Value;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest time for a command and its response. The pilot closes a connection after as long.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response, in bytes. A table of hundreds of thousands of lines fits.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const READ_BUFFER_BYTES: usize = 1 << 16;

/// Sends a request to a pilot's control socket and prints the response. Fails if no pilot listens there, if the
/// response takes too long or is too large, or with the pilot's message if it refuses the command.
pub fn send(socket: &Path, request: HttpRequest) -> Result<(), String> {
    let with_path = |e: io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(with_path)?;
    write_request(&mut stream, request).map_err(with_path)?;
    let response = read_response(&mut stream).map_err(with_path)?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or("the response ends before its body")?;
    if head.split(' ').nth(1) != Some("200") {
        return Err(body.trim_end().to_string());
    }
    let value: Value = serde_json::from_str(body).map_err(|e| e.to_string())?;
    println!("{value:#}");
    Ok(())
}

fn write_request(stream: &mut UnixStream, (method, path, body): HttpRequest) -> io::Result<()> {
    stream.set_write_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let head = format!("host: pilot\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{method} {path} HTTP/1.1\r\n{head}\r\n\r\n{body}")
}

/// Reads until the end of the connection.
fn read_response(stream: &mut UnixStream) -> io::Result<String> {
    let deadline = Instant::now() + TIMEOUT;
    let (mut response, mut buffer) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(timed_out());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(bytes) => response.extend_from_slice(&buffer[..bytes]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(timed_out())
            }
            Err(e) => return Err(e),
        }
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(io::Error::other(format!("response exceeds {MAX_RESPONSE_BYTES} bytes")));
        }
    }
    String::from_utf8(response).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))
}

fn timed_out() -> io::Error {
    io::Error::new(ErrorKind::TimedOut, format!("no complete response within {} s", TIMEOUT.as_secs()))
}
