//! A bounded HTTP GET: one connection, one answer, a limit on time and on bytes.

use async_io::{Async, Timer};
use futures_lite::future;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use smol_hyper::rt::FuturesIo;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A place to read, `http://address:port/path`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub host: SocketAddr,
    pub path: String,
}

impl Place {
    /// None where the text is no such place.
    pub fn parse(text: &str) -> Option<Place> {
        let rest = text.strip_prefix("http://")?;
        let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
        Some(Place { host: host.parse().ok()?, path: format!("/{path}") })
    }
}

pub struct Answer {
    pub status: u16,
    /// The server's own clock, as it stated it (RFC 9110, section 6.6.1).
    pub date: Option<String>,
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection: nothing was asked.
    Connect(std::io::Error),
    /// The connection or the message broke.
    Broken(String),
    TooLate(f64),
    TooLarge(usize),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failure::Connect(e) => write!(f, "no connection: {e}"),
            Failure::Broken(what) => write!(f, "broken answer: {what}"),
            Failure::TooLate(patience) => write!(f, "no whole answer within {patience} s"),
            Failure::TooLarge(most) => write!(f, "more than {most} bytes"),
        }
    }
}

async fn ask(place: &Place, from: Option<SocketAddr>, most_bytes: usize) -> Result<Answer, Failure> {
    let stream = connect(place.host, from).await.map_err(Failure::Connect)?;
    let broken = |e: hyper::Error| Failure::Broken(e.to_string());
    let io = FuturesIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.map_err(broken)?;
    let request = hyper::Request::get(&place.path)
        .header("host", place.host.to_string())
        .header("connection", "close")
        .body(Empty::<Bytes>::new())
        .map_err(|e| Failure::Broken(e.to_string()))?;
    let answered = async {
        let response = sender.send_request(request).await.map_err(broken)?;
        let status = response.status().as_u16();
        let date = response.headers().get("date").and_then(|d| d.to_str().ok()).map(str::to_string);
        let body = Limited::new(response.into_body(), most_bytes).collect().await.map_err(|e| {
            match e.downcast_ref::<http_body_util::LengthLimitError>() {
                Some(_) => Failure::TooLarge(most_bytes),
                None => Failure::Broken(e.to_string()),
            }
        })?;
        Ok(Answer { status, date, body: body.to_bytes().to_vec() })
    };
    // The connection only carries the exchange; when it ends first, the exchange says why.
    let carry = async {
        let ended = connection.await;
        match ended {
            Err(e) => Err(broken(e)),
            Ok(()) => future::pending().await,
        }
    };
    future::or(answered, carry).await
}

/// Connects, from a given local address where one is named.
pub async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Async<TcpStream>> {
    match from {
        None => Async::<TcpStream>::connect(to).await,
        Some(from) => source::connect(to, from).await,
    }
}

mod source {
    use super::*;
    use rustix::net as sys;

    pub async fn connect(to: SocketAddr, from: SocketAddr) -> std::io::Result<Async<TcpStream>> {
        let kind = sys::SocketType::STREAM;
        let flags = sys::SocketFlags::CLOEXEC | sys::SocketFlags::NONBLOCK;
        let socket = sys::socket_with(sys::AddressFamily::INET, kind, flags, None)?;
        sys::bind(&socket, &from)?;
        match sys::connect(&socket, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let stream = Async::new_nonblocking(TcpStream::from(socket))?;
        stream.writable().await?;
        match stream.get_ref().take_error()? {
            Some(e) => Err(e),
            None => stream.get_ref().peer_addr().map(|_| stream),
        }
    }
}

/// Reads a place within `patience` seconds and `most_bytes` of body, from a local address if one is named.
pub async fn get(
    place: &Place,
    from: Option<SocketAddr>,
    patience: f64,
    most_bytes: usize,
) -> Result<Answer, Failure> {
    let late = async {
        Timer::after(Duration::from_secs_f64(patience)).await;
        Err(Failure::TooLate(patience))
    };
    future::or(ask(place, from, most_bytes), late).await
}
