//! Bounded HTTP GETs: one on a connection of its own with a limit on time, or many on a kept one.

use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::time::Duration;

/// Whose sockets and timers a call waits by.
pub trait Runtime {
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Dials, from a local address if one is named.
    fn connect(
        to: SocketAddr,
        from: Option<SocketAddr>,
    ) -> impl Future<Output = std::io::Result<Self::Stream>>;

    fn sleep(span: Duration) -> impl Future<Output = ()>;
}

/// The reactor of `async-io`, which all threads share.
pub struct AsyncIo;

impl Runtime for AsyncIo {
    type Stream = Async<TcpStream>;

    async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Self::Stream> {
        connect(to, from).await
    }

    async fn sleep(span: Duration) {
        Timer::after(span).await;
    }
}

/// The reactor of a program with a single thread.
pub struct SingleThreaded;

impl Runtime for SingleThreaded {
    type Stream = oatlever_reactor::Async<TcpStream>;

    async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Self::Stream> {
        Self::Stream::connect(to, from).await
    }

    async fn sleep(span: Duration) {
        oatlever_reactor::Timer::after(span).await;
    }
}

/// A url to read, `http://address:port/path`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpUrl {
    pub host: SocketAddr,
    pub path: String,
}

impl HttpUrl {
    /// None where the text is no such url.
    pub fn parse(text: &str) -> Option<HttpUrl> {
        let rest = text.strip_prefix("http://")?;
        let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
        Some(HttpUrl { host: host.parse().ok()?, path: format!("/{path}") })
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
pub enum Error {
    /// No connection: nothing was asked.
    Connect(std::io::Error),
    /// The connection or the message broke.
    Broken(String),
    Timeout(f64),
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Connect(e) => write!(f, "no connection: {e}"),
            Error::Broken(what) => write!(f, "broken answer: {what}"),
            Error::Timeout(patience) => write!(f, "no whole answer within {patience} s"),
            Error::TooLarge(most) => write!(f, "more than {most} bytes"),
        }
    }
}

/// A connection that may carry one call after the other.
pub struct Connection {
    host: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    /// Carries the bytes while a call is under way; none once it has ended.
    carrier: Option<Pin<Box<dyn Future<Output = hyper::Result<()>>>>>,
}

impl Connection {
    /// Dials, from a local address if one is named. Has no limit on time. Errors: no connection.
    pub async fn connect<N: Runtime>(host: SocketAddr, from: Option<SocketAddr>) -> Result<Self, Error> {
        let stream = N::connect(host, from).await.map_err(Error::Connect)?;
        let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
        let (sender, carrier) = handshake.map_err(broken)?;
        Ok(Connection { host, sender, carrier: Some(Box::pin(carrier)) })
    }

    pub fn host(&self) -> SocketAddr {
        self.host
    }

    /// Asks for a path; `last` tells the other side that no call follows. Has no limit on time; one that is
    /// given up on under way must not be followed by another. Errors: the connection broke, or more than
    /// `most_bytes` came.
    pub async fn get(&mut self, path: &str, last: bool, most_bytes: usize) -> Result<Answer, Error> {
        let mut request = hyper::Request::get(path).header("host", self.host.to_string());
        if last {
            request = request.header("connection", "close");
        }
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| Error::Broken(e.to_string()))?;
        let (sender, carrier) = (&mut self.sender, &mut self.carrier);
        let answered = async {
            // A new connection takes a call once it is being carried.
            sender.ready().await.map_err(broken)?;
            let response = sender.send_request(request).await.map_err(broken)?;
            let status = response.status().as_u16();
            let date = response.headers().get("date").and_then(|d| d.to_str().ok()).map(str::to_string);
            let body = Limited::new(response.into_body(), most_bytes).collect().await.map_err(|e| {
                match e.downcast_ref::<http_body_util::LengthLimitError>() {
                    Some(_) => Error::TooLarge(most_bytes),
                    None => Error::Broken(e.to_string()),
                }
            })?;
            Ok(Answer { status, date, body: body.to_bytes().to_vec() })
        };
        // It only carries the exchange; when it ends first, the exchange says why.
        let carry = async {
            if let Some(carrying) = carrier {
                let ended = carrying.await;
                *carrier = None;
                ended.map_err(broken)?;
            }
            future::pending().await
        };
        future::or(answered, carry).await
    }
}

fn broken(e: hyper::Error) -> Error {
    Error::Broken(e.to_string())
}

/// What `work` comes to, within `patience` seconds.
pub async fn with_timeout<N: Runtime, T>(
    patience: f64,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = async {
        N::sleep(Duration::from_secs_f64(patience)).await;
        Err(Error::Timeout(patience))
    };
    future::or(work, late).await
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

/// Reads a url within `patience` seconds and `most_bytes` of body, from a local address if one is named.
pub async fn get<N: Runtime>(
    url: &HttpUrl,
    from: Option<SocketAddr>,
    patience: f64,
    most_bytes: usize,
) -> Result<Answer, Error> {
    let asked =
        async { Connection::connect::<N>(url.host, from).await?.get(&url.path, true, most_bytes).await };
    with_timeout::<N, _>(patience, asked).await
}
