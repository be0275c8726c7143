//! An HTTP/1 server for status pages, metrics and commands, with limits on the number and lifetime of connections.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{future, AsyncRead, AsyncWrite};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Concurrent connections per listener. Only operators and a few metric collectors connect.
const MAX_CONNECTIONS: usize = 64;
/// Seconds after which a connection is closed.
const CONNECTION_LIFETIME: f64 = 10.0;
/// Largest request body, in bytes; a longer one breaks the connection.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Seconds to wait after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: f64 = 0.01;

pub type HttpResponse = Response<Full<Bytes>>;

pub fn response(status: StatusCode, content_type: &'static str, body: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", HeaderValue::from_static(content_type));
    response
}

/// Serves requests on every connection from `accept`, without end.
pub async fn serve<T: AsyncRead + AsyncWrite + Unpin + 'static>(
    accept: impl AsyncFn() -> io::Result<T>,
    handle: impl Fn(&Parts, &[u8]) -> HttpResponse + 'static,
    executor: Rc<LocalExecutor<'static>>,
) {
    let (open, handle) = (Rc::new(Cell::new(0)), Rc::new(handle));
    loop {
        let Ok(stream) = accept().await else {
            Timer::after(Duration::from_secs_f64(ACCEPT_RETRY_DELAY)).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (handle, open) = (handle.clone(), open.clone());
        let connection = async move {
            let service = service_fn(|request: Request<Incoming>| async {
                let (head, body) = request.into_parts();
                let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await?.to_bytes();
                Ok::<_, Box<dyn Error + Send + Sync>>(handle(&head, &body))
            });
            let served = async {
                let io = FuturesIo::new(stream);
                // An error concerns this client only.
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            };
            let deadline = async {
                Timer::after(Duration::from_secs_f64(CONNECTION_LIFETIME)).await;
            };
            future::or(served, deadline).await;
            open.set(open.get() - 1);
        };
        executor.spawn(connection).detach();
    }
}
