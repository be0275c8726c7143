//! The sockets: UDP, and TCP by RFC 7766.

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

/// Packets answered before others on the executor have their turn.
const TURN: usize = 32;

/// Who answers.
pub trait Handler {
    fn answer(&self, packet: &[u8], source: SocketAddr, transport: Transport) -> Option<Vec<u8>>;
}

#[derive(Clone, Copy, Debug)]
pub struct TcpLimits {
    pub max_connections: usize,
    pub max_per_source: usize,
    /// s; a connection that brings no whole question, or takes no answer, for so long is closed.
    pub idle_timeout: f64,
}

/// Answers for ever. Errors: the socket itself fails, not single packets.
pub async fn serve_udp(socket: UdpSocket, handler: Rc<impl Handler>) -> io::Result<()> {
    let socket = Async::<UdpSocket>::try_from(socket)?;
    let mut packet = vec![0; usize::from(u16::MAX)];
    let mut turn = 0;
    loop {
        let (length, source) = match socket.recv_from(&mut packet).await {
            Ok(got) => got,
            // An earlier answer found nobody there: no trouble of ours.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(e) => return Err(e),
        };
        if let Some(answer) = handler.answer(&packet[..length], source, Transport::Udp) {
            // What the network does not take is lost, as over UDP anything may be: the client asks again.
            let _ = socket.send_to(&answer, source).await;
        }
        turn += 1;
        if turn == TURN {
            turn = 0;
            future::yield_now().await;
        }
    }
}

/// Who is let in over TCP, and whether answers are still under way.
pub struct TcpConnections {
    limits: TcpLimits,
    open: RefCell<HashMap<IpAddr, usize>>,
    in_hand: Cell<usize>,
    closing: Cell<bool>,
}

/// A connection, while it lives.
struct Seat {
    gate: Rc<TcpConnections>,
    source: IpAddr,
}

impl TcpConnections {
    pub fn new(limits: TcpLimits) -> Rc<Self> {
        let (open, in_hand, closing) = Default::default();
        Rc::new(TcpConnections { limits, open, in_hand, closing })
    }

    fn enter(self: &Rc<Self>, source: IpAddr) -> Option<Seat> {
        let mut open = self.open.borrow_mut();
        let all: usize = open.values().sum();
        let own = open.get(&source).copied().unwrap_or(0);
        if self.closing.get() || all >= self.limits.max_connections || own >= self.limits.max_per_source {
            return None;
        }
        open.insert(source, own + 1);
        Some(Seat { gate: self.clone(), source })
    }

    /// No further questions are taken; those in hand are answered.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Questions taken and not yet answered.
    pub fn pending_answers(&self) -> usize {
        self.in_hand.get()
    }

    /// Connections open now.
    pub fn open_count(&self) -> usize {
        self.open.borrow().values().sum()
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut open = self.gate.open.borrow_mut();
        match open.get_mut(&self.source) {
            Some(own) if *own > 1 => *own -= 1,
            _ => drop(open.remove(&self.source)),
        }
    }
}

/// Accepts for ever; connections past the limits are closed at once.
pub async fn serve_tcp<'e>(
    listener: TcpListener,
    handler: Rc<impl Handler + 'e>,
    gate: Rc<TcpConnections>,
    executor: Rc<LocalExecutor<'e>>,
) -> io::Result<()> {
    let listener = Async::<TcpListener>::try_from(listener)?;
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(got) => got,
            // Out of descriptors, or gone before it was accepted: wait a little rather than spin.
            Err(_) => {
                Timer::after(Duration::from_millis(10)).await;
                continue;
            }
        };
        let Some(seat) = gate.enter(source.ip()) else { continue };
        let handler = handler.clone();
        let talk = async move {
            // However it ends, the connection is closed and nobody else is concerned.
            let _ = converse(stream, source, &*handler, &seat.gate).await;
        };
        executor.spawn(talk).detach();
    }
}

/// Work, or giving it up at a moment; a peer that trickles bytes wins no time by it.
async fn within<T>(until: Instant, work: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::at(until).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, late).await
}

async fn converse(
    mut stream: Async<TcpStream>,
    source: SocketAddr,
    handler: &impl Handler,
    gate: &TcpConnections,
) -> io::Result<()> {
    let idle = Duration::from_secs_f64(gate.limits.idle_timeout);
    let mut packet = Vec::new();
    while !gate.closing.get() {
        let until = Instant::now() + idle;
        let mut length = [0; 2];
        within(until, stream.read_exact(&mut length)).await?;
        packet.resize(usize::from(u16::from_be_bytes(length)), 0);
        within(until, stream.read_exact(&mut packet)).await?;
        let Some(answer) = handler.answer(&packet, source, Transport::Tcp) else { return Ok(()) };
        let mut framed = Vec::with_capacity(answer.len() + 2);
        framed.extend((answer.len() as u16).to_be_bytes());
        framed.extend(answer);
        gate.in_hand.set(gate.in_hand.get() + 1);
        let written = within(Instant::now() + idle, stream.write_all(&framed)).await;
        gate.in_hand.set(gate.in_hand.get() - 1);
        written?;
        future::yield_now().await;
    }
    Ok(())
}
