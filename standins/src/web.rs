//! HTTP/1.1 server of the stand-ins.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use prometheus_client::registry::Registry;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Serves until it is dropped, which also closes all connections. Binding is retried, as the previous listener on the
/// address may not be closed yet.
pub async fn serve<F, R>(host: SocketAddr, executor: Rc<LocalExecutor<'static>>, handler: F)
where
    F: Fn(String, SocketAddr) -> R + Clone + 'static,
    R: Future<Output = (u16, String)> + 'static,
{
    let listener = loop {
        match TcpListener::bind(host).and_then(Async::try_from) {
            Ok(listener) => break listener,
            Err(_) => Timer::after(Duration::from_millis(20)).await,
        };
    };
    let tasks = RefCell::new(Vec::new());
    loop {
        let Ok((stream, source)) = listener.accept().await else { continue };
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let result = handler(request.uri().path().to_string(), source);
            async move {
                let (status, text) = result.await;
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
                let date = httpdate::fmt_http_date(SystemTime::now());
                if let Ok(date) = date.parse() {
                    response.headers_mut().insert("date", date);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = async move {
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(FuturesIo::new(stream), service)
                .await;
        };
        let mut tasks = tasks.borrow_mut();
        tasks.retain(|task: &async_executor::Task<()>| !task.is_finished());
        tasks.push(executor.spawn(connection));
    }
}

/// Encodes metrics as OpenMetrics text.
pub fn metrics(registry: &Registry) -> String {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, registry).unwrap_or_default();
    text
}
