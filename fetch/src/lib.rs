//! HTTP/1.1 GET requests with limits on time and response size.
//!
//! [`get`] opens a connection for one request. [`Connection`] sends several requests on one connection.
//! [`Timeouts`] tells a response that is still arriving from one that has fallen silent.

mod progress;

pub use progress::{within, Counted, Progress, Timeouts};

use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::Response;
use smol_hyper::rt::FuturesIo;
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The reactor that provides a call's sockets and timers.
pub trait Runtime: 'static {
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects, from the local address `from` if one is given.
    fn connect(
        to: SocketAddr,
        from: Option<SocketAddr>,
    ) -> impl Future<Output = std::io::Result<Self::Stream>>;

    fn sleep(duration: Duration) -> impl Future<Output = ()>;
}

/// The process-wide reactor of `async-io`.
pub struct AsyncIo;

impl Runtime for AsyncIo {
    type Stream = Async<TcpStream>;

    async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Self::Stream> {
        connect(to, from).await
    }

    async fn sleep(duration: Duration) {
        Timer::after(duration).await;
    }
}

/// The reactor of `oatlever-reactor`, for single-threaded programs.
pub struct SingleThreaded;

impl Runtime for SingleThreaded {
    type Stream = oatlever_reactor::Async<TcpStream>;

    async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Self::Stream> {
        Self::Stream::connect(to, from).await
    }

    async fn sleep(duration: Duration) {
        oatlever_reactor::Timer::after(duration).await;
    }
}

/// A URL of the form `http://address:port/path`. Host names are not resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpUrl {
    pub host: SocketAddr,
    pub path: String,
}

impl HttpUrl {
    /// Returns `None` if `text` does not have this form.
    pub fn parse(text: &str) -> Option<HttpUrl> {
        let rest = text.strip_prefix("http://")?;
        let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
        Some(HttpUrl { host: host.parse().ok()?, path: format!("/{path}") })
    }
}

/// An HTTP response.
pub struct Answer {
    pub status: u16,
    /// The `Date` header, by the server's clock (RFC 9110, section 6.6.1).
    pub date: Option<String>,
    pub body: Vec<u8>,
}

/// Why a request got no complete response.
#[derive(Debug)]
pub enum Error {
    /// The connection was not established, so no request was sent.
    Connect(std::io::Error),
    /// The connection failed, or the response is not valid HTTP.
    Broken(String),
    /// Nothing arrived for longer than `limit` seconds, after `received` bytes of the response.
    Silent { limit: f64, received: usize },
    /// The response was still arriving after `limit` seconds, with `received` bytes of it.
    TooSlow { limit: f64, received: usize },
    /// The body exceeds the limit, in bytes.
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Connect(e) => write!(f, "connection failed: {e}"),
            Error::Broken(cause) => write!(f, "request failed: {cause}"),
            Error::Silent { limit, received: 0 } => write!(f, "no response within {limit} s"),
            Error::Silent { limit, received } => {
                write!(f, "response silent for {limit} s after {received} bytes")
            }
            Error::TooSlow { limit, received } => {
                write!(f, "response incomplete after {limit} s, with {received} bytes")
            }
            Error::TooLarge(max_bytes) => write!(f, "response body exceeds {max_bytes} bytes"),
        }
    }
}

/// An HTTP/1.1 connection that carries requests one after another.
pub struct Connection {
    host: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    /// Drives the connection while a request is in flight; `None` once the connection has ended.
    driver: Option<Pin<Box<dyn Future<Output = hyper::Result<()>>>>>,
    progress: Rc<Progress>,
}

impl Connection {
    /// Connects, from the local address `from` if one is given. There is no timeout. `progress` records what
    /// arrives on the connection.
    pub async fn connect<R: Runtime>(
        host: SocketAddr,
        from: Option<SocketAddr>,
        progress: Rc<Progress>,
    ) -> Result<Self, Error> {
        progress.set_connecting(true);
        let stream = R::connect(host, from).await.map_err(Error::Connect)?;
        progress.set_connecting(false);
        let stream = Counted::new(stream, progress.clone());
        let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(broken)?;
        Ok(Connection { host, sender, driver: Some(Box::pin(driver)), progress })
    }

    /// What has arrived on the connection since the last [`Progress::restart`].
    pub fn progress(&self) -> &Rc<Progress> {
        &self.progress
    }

    pub fn host(&self) -> SocketAddr {
        self.host
    }

    /// Requests `path`. `last` asks the server to close the connection afterwards. There is no timeout.
    ///
    /// After dropping this future before it completes, the connection must not be used again. Fails if the
    /// connection breaks or the body exceeds `max_bytes`.
    pub async fn get(&mut self, path: &str, last: bool, max_bytes: usize) -> Result<Answer, Error> {
        let read = async |response: Response<Incoming>| {
            let status = response.status().as_u16();
            let date = response.headers().get("date").and_then(|d| d.to_str().ok()).map(str::to_string);
            let body = Limited::new(response.into_body(), max_bytes).collect().await.map_err(|e| {
                match e.downcast_ref::<http_body_util::LengthLimitError>() {
                    Some(_) => Error::TooLarge(max_bytes),
                    None => Error::Broken(e.to_string()),
                }
            })?;
            Ok(Answer { status, date, body: body.to_bytes().to_vec() })
        };
        self.exchange(path, last, read).await
    }

    /// Sends a request and lets `read` take what it needs of the response.
    async fn exchange<T>(
        &mut self,
        path: &str,
        last: bool,
        read: impl AsyncFnOnce(Response<Incoming>) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let mut request = hyper::Request::get(path).header("host", self.host.to_string());
        if last {
            request = request.header("connection", "close");
        }
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| Error::Broken(e.to_string()))?;
        let (sender, driver) = (&mut self.sender, &mut self.driver);
        let answer = async {
            // A new connection accepts a request only once its driver has been polled.
            sender.ready().await.map_err(broken)?;
            read(sender.send_request(request).await.map_err(broken)?).await
        };
        // If the driver ends first without an error, the outcome comes from the request itself.
        let drive = async {
            if let Some(running) = driver {
                let ended = running.await;
                *driver = None;
                ended.map_err(broken)?;
            }
            future::pending().await
        };
        future::or(answer, drive).await
    }
}

fn broken(e: hyper::Error) -> Error {
    Error::Broken(e.to_string())
}

/// Connects on the reactor of `async-io`, from the local address `from` if one is given.
pub async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> std::io::Result<Async<TcpStream>> {
    match from {
        None => Async::<TcpStream>::connect(to).await,
        Some(from) => bound::connect(to, from).await,
    }
}

mod bound {
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

/// Sends one GET request on a new connection, from the local address `from` if one is given.
///
/// Fails if the exchange exceeds `timeouts` or the body exceeds `max_bytes`.
pub async fn get<R: Runtime>(
    url: &HttpUrl,
    from: Option<SocketAddr>,
    timeouts: Timeouts,
    max_bytes: usize,
) -> Result<Answer, Error> {
    let progress = Rc::new(Progress::default());
    let answer = async {
        let mut connection = Connection::connect::<R>(url.host, from, progress.clone()).await?;
        connection.get(&url.path, true, max_bytes).await
    };
    within::<R, _>(timeouts, &progress, answer).await
}

/// Like [`get`], but returns the status as soon as the head of the response has arrived, and drops the body.
pub async fn status<R: Runtime>(
    url: &HttpUrl,
    from: Option<SocketAddr>,
    timeouts: Timeouts,
) -> Result<u16, Error> {
    let progress = Rc::new(Progress::default());
    let answer = async {
        let mut connection = Connection::connect::<R>(url.host, from, progress.clone()).await?;
        connection.exchange(&url.path, true, async |response| Ok(response.status().as_u16())).await
    };
    within::<R, _>(timeouts, &progress, answer).await
}
