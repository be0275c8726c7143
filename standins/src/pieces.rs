//! HTTP responses whose bytes are sent in pieces, with pauses.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How a message is sent: in how many pieces, and the pause after each.
#[derive(Clone, Copy, Debug)]
pub struct Pieces {
    pub count: usize,
    pub gap: Duration,
}

impl Pieces {
    /// All at once.
    pub const ONE: Pieces = Pieces { count: 1, gap: Duration::ZERO };

    /// Sends a message. The socket must not delay small writes.
    pub fn send(&self, mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        for (number, piece) in bytes.chunks(bytes.len().div_ceil(self.count).max(1)).enumerate() {
            if number > 0 {
                std::thread::sleep(self.gap);
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }
}

/// Reads a request without a body and returns its first line; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let mut header = String::new();
    while reader.read_line(&mut header)? > 2 {
        header.clear();
    }
    Ok(Some(request_line))
}

/// Returns the text of a response with status 200.
pub fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Answers each request on a free port with the same bytes until the process ends, and keeps the connection open if
/// the bytes are no complete response.
pub fn serve(bytes: String, pieces: Pieces) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let bytes = bytes.clone();
            std::thread::spawn(move || serve_connection(&stream, bytes.as_bytes(), pieces));
        }
    });
    Ok(address)
}

fn serve_connection(stream: &TcpStream, bytes: &[u8], pieces: Pieces) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while read_request(&mut reader)?.is_some() {
        pieces.send(stream, bytes)?;
    }
    Ok(())
}
