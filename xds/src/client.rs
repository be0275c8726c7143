//! The calling side of a gRPC method, on a connection of its own.

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

/// Calls a method of `host` over a socket; `messages` are framed ones, and their end is the call's. Returns the
/// response and the connection, which ends when it is dropped. Errors: the other end does not go on with it.
pub async fn call(
    socket: impl AsyncRead + AsyncWrite + Unpin + 'static,
    (host, path): (SocketAddr, &str),
    messages: impl Stream<Item = Bytes> + 'static,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Response<Incoming>, Task<()>)> {
    let local = HyperExecutor(executor.clone());
    let (mut requests, connection) = hyper::client::conn::http2::handshake(local, FuturesIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    // However it ends, the call hears of it by itself.
    let open = executor.spawn(async move { drop(connection.await) });
    let body = StreamBody::new(messages.map(|bytes| Ok::<_, Infallible>(Frame::data(bytes))).boxed_local());
    let request = hyper::Request::post(format!("http://{host}{path}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(body)
        .map_err(io::Error::other)?;
    let response = requests.send_request(request).await.map_err(io::Error::other)?;
    Ok((response, open))
}
