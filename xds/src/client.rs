//! Client side of a streaming gRPC call, with one connection per call.

use crate::server::HyperExecutor;
use async_executor::{LocalExecutor, Task};
use futures_lite::{AsyncRead, AsyncWrite, Stream, StreamExt};
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame, Incoming};
use hyper::Response;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Calls a method of `host` over a connected socket. `messages` are already framed; the request ends when they do.
/// Returns the response and the task that drives the connection, which closes when the task is dropped. Fails if the
/// HTTP/2 connection or the request does.
pub async fn call(
    socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
    (host, path): (SocketAddr, &str),
    messages: impl Stream<Item = Bytes> + 'static,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Response<Incoming>, Task<()>)> {
    let hyper_executor = HyperExecutor(executor.clone());
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(hyper_executor, FuturesIo::new(socket))
            .await
            .map_err(io::Error::other)?;
    // Connection errors reach the caller through the response and its body.
    let connection = executor.spawn(async move { drop(connection.await) });
    let body = StreamBody::new(messages.map(|bytes| Ok::<_, Infallible>(Frame::data(bytes))).boxed_local());
    let request = hyper::Request::post(format!("http://{host}{path}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(body)
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    Ok((response, connection))
}
