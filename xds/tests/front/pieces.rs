//! Clients and servers whose bytes arrive in pieces, with pauses.

use crate::harness::{request, run, type_url, Call, RESPONSE_TIMEOUT};
use async_io::{Async, Timer};
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oatlever_xds::methods;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

/// A socket that writes a few bytes at a time, with a pause after each write.
pub struct SlowWriter {
    socket: Async<TcpStream>,
    piece_bytes: usize,
    gap: Duration,
    pause: Option<Timer>,
}

impl SlowWriter {
    pub fn new(socket: Async<TcpStream>, piece_bytes: usize, gap: Duration) -> Self {
        socket.get_ref().set_nodelay(true).unwrap();
        SlowWriter { socket, piece_bytes, gap, pause: None }
    }
}

impl AsyncRead for SlowWriter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for SlowWriter {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(pause) = &mut self.pause {
            ready!(Pin::new(pause).poll(context));
        }
        self.pause = Some(Timer::after(self.gap));
        let piece = &bytes[..bytes.len().min(self.piece_bytes)];
        Pin::new(&mut self.socket).poll_write(context, piece)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(context)
    }
}

/// A proxy whose first request took longer to arrive than the response timeout was disconnected, each time it connected.
#[test]
fn a_first_request_in_pieces_opens_a_stream() {
    run(|fixture| async move {
        let socket = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        let slow = SlowWriter::new(socket, 24, Duration::from_millis(150));
        let first = request("relay-3", &type_url("listener.v3.Listener"), &[], "");
        let started = Instant::now();
        let call = Call::over(slow, &fixture, methods::STREAM_AGGREGATED_RESOURCES, first).await;
        let mut call = call.expect("the request is accepted");
        assert!(started.elapsed().as_secs_f64() > RESPONSE_TIMEOUT, "{:?}", started.elapsed());
        assert_eq!(call.status, None, "the stream is open");
        assert_eq!(call.next().await.type_url, type_url("listener.v3.Listener"));
    });
}

/// A connection without a request is closed once it is silent, at whatever byte, and after a limited time if it keeps
/// sending.
#[test]
fn connections_without_a_request_are_closed() {
    run(|fixture| async move {
        let whole = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
        for cut in [0, 10, whole.len()] {
            let mut socket = Async::<TcpStream>::connect(fixture.host).await.unwrap();
            socket.write_all(&whole[..cut]).await.unwrap();
            let started = Instant::now();
            while socket.read(&mut [0; 64]).await.is_ok_and(|bytes| bytes > 0) {}
            assert!(started.elapsed().as_secs_f64() < 3.0 * RESPONSE_TIMEOUT, "{:?}", started.elapsed());
        }
        let mut socket = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        socket.write_all(whole).await.unwrap();
        let started = Instant::now();
        // An HTTP/2 PING frame.
        let ping = [[0, 0, 8, 6, 0, 0, 0, 0, 0].as_slice(), &[0; 8]].concat();
        let mut pings = pin!(async {
            while socket.get_ref().peer_addr().is_ok() && (&socket).write_all(&ping).await.is_ok() {
                Timer::after(Duration::from_millis(100)).await;
            }
        });
        let closed = async { while (&socket).read(&mut [0; 64]).await.is_ok_and(|bytes| bytes > 0) {} };
        future::or(&mut pings, closed).await;
        assert!(started.elapsed().as_secs_f64() < 12.0 * RESPONSE_TIMEOUT, "{:?}", started.elapsed());
    });
}
