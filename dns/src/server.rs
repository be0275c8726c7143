//! DNS over UDP, and over TCP by RFC 7766.

use crate::front::Transport;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Packets answered before the task yields to others on the executor.
const PACKETS_PER_YIELD: usize = 32;

/// Answers DNS messages.
pub trait Handler {
    /// The response to a message; `None` if it gets none.
    fn answer(&self, packet: &[u8], source: SocketAddr, transport: Transport) -> Option<Vec<u8>>;
}

/// Limits on TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct TcpLimits {
    pub max_connections: usize,
    pub max_per_source: usize,
    /// Seconds after which a connection is closed that has not sent a complete query or has not taken an
    /// answer.
    pub idle_timeout: f64,
}

/// Serves UDP until the socket fails; errors of single packets are ignored.
pub async fn serve_udp(socket: UdpSocket, handler: Rc<impl Handler>) -> io::Result<()> {
    let socket = Async::<UdpSocket>::try_from(socket)?;
    let mut packet = vec![0; usize::from(u16::MAX)];
    let mut since_yield = 0;
    loop {
        let (length, source) = match socket.recv_from(&mut packet).await {
            Ok(received) => received,
            // An earlier response met a closed port (ICMP port unreachable): not an error of this socket.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => return Err(e),
        };
        if let Some(answer) = handler.answer(&packet[..length], source, Transport::Udp) {
            // A response that cannot be sent is lost like any UDP packet; the client retries.
            let _ = socket.send_to(&answer, source).await;
        }
        since_yield += 1;
        if since_yield == PACKETS_PER_YIELD {
            since_yield = 0;
            future::yield_now().await;
        }
    }
}

/// Limits TCP connections and counts answers being written, for a graceful shutdown.
pub struct TcpConnections {
    limits: TcpLimits,
    /// Open connections by source address.
    open: RefCell<HashMap<IpAddr, usize>>,
    pending_answers: Cell<usize>,
    closing: Cell<bool>,
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    connections: Rc<TcpConnections>,
    source: IpAddr,
}

impl TcpConnections {
    pub fn new(limits: TcpLimits) -> Rc<Self> {
        let (open, pending_answers, closing) = Default::default();
        Rc::new(TcpConnections { limits, open, pending_answers, closing })
    }

    /// Registers a connection; `None` if a limit is reached or the server is closing.
    fn admit(self: &Rc<Self>, source: IpAddr) -> Option<ConnectionGuard> {
        let mut open = self.open.borrow_mut();
        let total: usize = open.values().sum();
        let from_source = open.get(&source).copied().unwrap_or(0);
        let limits = &self.limits;
        if self.closing.get() || total >= limits.max_connections || from_source >= limits.max_per_source {
            return None;
        }
        open.insert(source, from_source + 1);
        Some(ConnectionGuard { connections: self.clone(), source })
    }

    /// Stops accepting connections and queries; answers being written are completed.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Number of answers being written.
    pub fn pending_answers(&self) -> usize {
        self.pending_answers.get()
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.borrow().values().sum()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut open = self.connections.open.borrow_mut();
        match open.get_mut(&self.source) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(open.remove(&self.source)),
        }
    }
}

/// Accepts connections without end; those beyond the limits are closed at once.
pub async fn serve_tcp<'e>(
    listener: TcpListener,
    handler: Rc<impl Handler + 'e>,
    connections: Rc<TcpConnections>,
    executor: Rc<LocalExecutor<'e>>,
) -> io::Result<()> {
    let listener = Async::<TcpListener>::try_from(listener)?;
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            // Out of file descriptors, or reset before it was accepted: wait briefly instead of spinning.
            Err(_) => {
                Timer::after(Duration::from_millis(10)).await;
                continue;
            }
        };
        let Some(guard) = connections.admit(source.ip()) else { continue };
        let handler = handler.clone();
        let connection = async move {
            // Errors end only this connection.
            let _ = serve_connection(stream, source, &*handler, &guard.connections).await;
        };
        executor.spawn(connection).detach();
    }
}

/// Runs `work` up to an absolute deadline, so that a peer sending single bytes cannot extend it.
async fn with_deadline<T>(
    deadline: Instant,
    work: impl std::future::Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::at(deadline).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}

async fn serve_connection(
    mut stream: Async<TcpStream>,
    source: SocketAddr,
    handler: &impl Handler,
    connections: &TcpConnections,
) -> io::Result<()> {
    let idle_timeout = Duration::from_secs_f64(connections.limits.idle_timeout);
    let mut packet = Vec::new();
    while !connections.closing.get() {
        let deadline = Instant::now() + idle_timeout;
        let mut length = [0; 2];
        with_deadline(deadline, stream.read_exact(&mut length)).await?;
        packet.resize(usize::from(u16::from_be_bytes(length)), 0);
        with_deadline(deadline, stream.read_exact(&mut packet)).await?;
        let Some(answer) = handler.answer(&packet, source, Transport::Tcp) else { return Ok(()) };
        let mut framed = Vec::with_capacity(answer.len() + 2);
        framed.extend((answer.len() as u16).to_be_bytes());
        framed.extend(answer);
        connections.pending_answers.set(connections.pending_answers.get() + 1);
        let result = with_deadline(Instant::now() + idle_timeout, stream.write_all(&framed)).await;
        connections.pending_answers.set(connections.pending_answers.get() - 1);
        result?;
        future::yield_now().await;
    }
    Ok(())
}
