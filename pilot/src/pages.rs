//! Pages over HTTP/1 for people, collectors and commands: so many connections at once, each for so long.

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

/// Connections at once on one listener; pages are for people and collectors, a few of each.
const CONNECTIONS: usize = 64;
/// s; a connection lives no longer.
const LIFE: f64 = 10.0;
/// Bytes of the largest request; more breaks the connection.
const MOST: usize = 1 << 20;
/// s; after an accept that failed, as when descriptors ran out.
const PAUSE: f64 = 0.01;

pub type Page = Response<Full<Bytes>>;

/// A page of a status, a media type and a text.
pub fn answer(status: StatusCode, kind: &'static str, text: String) -> Page {
    let mut page = Response::new(Full::new(Bytes::from(text)));
    *page.status_mut() = status;
    page.headers_mut().insert("content-type", HeaderValue::from_static(kind));
    page
}

/// Serves pages for ever on what `accept` brings.
pub async fn serve<T: AsyncRead + AsyncWrite + Unpin + 'static>(
    accept: impl AsyncFn() -> io::Result<T>,
    page: impl Fn(&Parts, &[u8]) -> Page + 'static,
    executor: Rc<LocalExecutor<'static>>,
) {
    let (open, page) = (Rc::new(Cell::new(0)), Rc::new(page));
    loop {
        let Ok(stream) = accept().await else {
            Timer::after(Duration::from_secs_f64(PAUSE)).await;
            continue;
        };
        if open.get() >= CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (page, open) = (page.clone(), open.clone());
        let talk = async move {
            let service = service_fn(|request: Request<Incoming>| async {
                let (head, body) = request.into_parts();
                let body = Limited::new(body, MOST).collect().await?.to_bytes();
                Ok::<_, Box<dyn Error + Send + Sync>>(page(&head, &body))
            });
            let served = async {
                let io = FuturesIo::new(stream);
                // However it ends, only this reader is concerned.
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            };
            let late = async {
                Timer::after(Duration::from_secs_f64(LIFE)).await;
            };
            future::or(served, late).await;
            open.set(open.get() - 1);
        };
        executor.spawn(talk).detach();
    }
}
