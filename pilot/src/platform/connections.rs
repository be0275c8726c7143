//! TCP connections of proxies, collectors and unknown clients: accepts them, reads and writes their messages, and
//! closes those that do not join.

use super::controller::Reaction;
use super::peer::Peer;
use super::Pilot;
use async_executor::LocalExecutor;
use futures_lite::future;
use oatlever_platform::frame::{MAX_JOIN_BYTES, MAX_MESSAGE_BYTES};
use oatlever_platform::message::REJECT;
use oatlever_platform::Connection;
use oatlever_reactor::{Async, Timer};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Seconds without input after which a connection that has not joined is closed. The protocol allows this from 1 s on.
const JOIN_SILENCE: f64 = 1.5;
/// Seconds after which a connection that has not joined is closed even if its join message is still arriving. The
/// protocol requires this within 3 s.
const MAX_JOIN_TIME: f64 = 2.5;
/// Seconds that pending answers get to be written on shutdown. SIGKILL follows SIGTERM after no less than 0.7 s.
const SHUTDOWN_GRACE: f64 = 0.3;
/// Size of the read buffer that all connections share.
const READ_BUFFER_BYTES: usize = 1 << 16;
/// Seconds to wait after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: f64 = 0.01;
/// Connections accepted beyond the limit when all others have joined: new streams of proxies whose old stream has
/// not been seen to end. This few fit beside the descriptors that the pilot opens itself.
pub const EXTRA_CONNECTIONS: usize = 8;

/// All open connections.
pub struct Connections {
    /// Limit on open connections, which [`EXTRA_CONNECTIONS`] may exceed.
    max_open: usize,
    next_id: Cell<Connection>,
    open: RefCell<BTreeMap<Connection, Rc<Peer>>>,
    /// Connections that have not joined. Ids ascend, so the oldest comes first.
    unjoined: RefCell<BTreeSet<Connection>>,
    /// The read buffer.
    buffer: RefCell<Vec<u8>>,
    /// Bytes of incomplete messages on all connections, and their limit.
    incomplete_bytes: Cell<usize>,
    max_incomplete_bytes: usize,
}

impl Connections {
    pub fn new(max_open: usize, max_incomplete_bytes: usize) -> Self {
        Connections {
            max_open,
            incomplete_bytes: Cell::new(0),
            max_incomplete_bytes,
            next_id: Cell::new(0),
            open: RefCell::default(),
            unjoined: RefCell::default(),
            buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        }
    }

    /// The number of open connections, and of those among them that have not joined.
    pub fn sizes(&self) -> (usize, usize) {
        (self.open.borrow().len(), self.unjoined.borrow().len())
    }

    /// Queues bytes for writing on a connection, and closes it if its queue is full.
    pub fn send(&self, connection: Connection, bytes: Rc<[u8]>) {
        let open = self.open.borrow();
        let Some(peer) = open.get(&connection) else { return };
        if !peer.queue(bytes) {
            tracing::info!(connection, "connection closed: too much unread output");
            peer.close();
        }
    }

    pub fn close(&self, connection: Connection) {
        if let Some(peer) = self.open.borrow().get(&connection) {
            peer.close();
        }
    }

    fn add(&self, stream: Async<TcpStream>, now: f64) -> Rc<Peer> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let peer = Rc::new(Peer::new(id, stream, now));
        self.open.borrow_mut().insert(id, peer.clone());
        self.unjoined.borrow_mut().insert(id);
        peer
    }

    fn mark_joined(&self, peer: &Peer) {
        self.unjoined.borrow_mut().remove(&peer.id);
        peer.joined.set(true);
    }

    fn remove(&self, peer: &Peer) {
        self.open.borrow_mut().remove(&peer.id);
        self.unjoined.borrow_mut().remove(&peer.id);
        let input = peer.input.take();
        self.incomplete_bytes.set(self.incomplete_bytes.get() - input.buffered());
        peer.queued.set(0);
        peer.drained.notify(usize::MAX);
    }

    /// The oldest connection that has not joined.
    fn oldest_unjoined(&self) -> Option<Rc<Peer>> {
        let oldest = *self.unjoined.borrow().first()?;
        self.open.borrow().get(&oldest).cloned()
    }

    /// Largest message, in bytes, on a joined connection that has already sent `kept` bytes of it. The limit
    /// shrinks as the incomplete messages of all connections approach their share of the memory: a message may be
    /// far longer than any real one, so a joined fleet that sends long ones at once would exhaust the memory.
    fn max_message_bytes(&self, kept: usize) -> usize {
        let left = self.max_incomplete_bytes.saturating_sub(self.incomplete_bytes.get() - kept);
        MAX_MESSAGE_BYTES.min(left).max(MAX_JOIN_BYTES)
    }
}

/// Closes the oldest connections that have not joined while there are too many connections. False if no further
/// connection fits because all have joined.
///
/// Without this, unknown clients could hold descriptors that proxies need. A proxy joins as soon as it connects, so
/// the oldest connection that has not joined is the least likely to be a proxy.
fn make_room(pilot: &Pilot) -> bool {
    let connections = &pilot.connections;
    let open = || connections.open.borrow().len();
    while open() >= connections.max_open && close_oldest_unjoined(pilot) {}
    open() < connections.max_open + EXTRA_CONNECTIONS
}

/// Closes the oldest connection that has not joined; false if all have. Reads its pending input first, since the
/// join message of a proxy may still be unread while a whole fleet connects.
fn close_oldest_unjoined(pilot: &Pilot) -> bool {
    while let Some(oldest) = pilot.connections.oldest_unjoined() {
        let ended = read_now(&oldest, pilot).is_some();
        if ended || !oldest.joined.get() {
            oldest.close();
            pilot.connections.open.borrow_mut().remove(&oldest.id);
            pilot.connections.unjoined.borrow_mut().remove(&oldest.id);
            return true;
        }
    }
    false
}

/// Accepts connections and starts a task for each, without end.
pub async fn accept(socket: Async<TcpListener>, pilot: Rc<Pilot>, executor: Rc<LocalExecutor<'static>>) {
    let mut last_error = None;
    loop {
        let accepted = socket.read_with(|socket| socket.accept()).await;
        match accepted.and_then(|(stream, _)| Async::new(stream)) {
            Ok(stream) => {
                last_error = None;
                // Table updates are small and must not be delayed by Nagle's algorithm.
                drop(stream.get_ref().set_nodelay(true));
                if make_room(&pilot) {
                    let peer = pilot.connections.add(stream, pilot.clock.now());
                    executor.spawn(serve(peer, pilot.clone())).detach();
                } else {
                    pilot.controller.borrow_mut().counts.full += 1;
                    drop(stream.get_ref().write(REJECT));
                }
                // Lets the tasks of accepted connections read and those of closed ones release their descriptors
                // before the next accept, which matters when a whole fleet connects at once.
                future::yield_now().await;
            }
            // The client has disconnected before the accept; other connections are not affected.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                future::yield_now().await;
            }
            // The system's limit may be lower than the configured one. If descriptors run out, unknown clients must
            // not hold the last ones. The same error is logged once until an accept succeeds.
            Err(e) => {
                if last_error.replace(e.kind()) != Some(e.kind()) {
                    tracing::warn!(%e, "accept failed");
                }
                let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
                if Errno::from_io_error(&e).is_some_and(|errno| exhausted.contains(&errno)) {
                    close_oldest_unjoined(&pilot);
                }
                Timer::after(Duration::from_secs_f64(ACCEPT_RETRY_DELAY)).await;
            }
        }
    }
}

/// Answers what has arrived on all connections and waits up to [`SHUTDOWN_GRACE`] until the answers are written.
///
/// The signal to shut down is handled before the sockets. Without this, requests sent before the signal would stay
/// unread, and their connections would be reset.
pub async fn finish(pilot: &Pilot) {
    let open: Vec<Rc<Peer>> = pilot.connections.open.borrow().values().cloned().collect();
    for peer in open.iter().filter(|peer| !peer.closed.get()) {
        // The connection's own task handles errors and output that can't be written yet.
        let _ = read_now(peer, pilot);
        let _ = peer.flush();
    }
    let drained = async {
        for peer in &open {
            loop {
                let listener = peer.drained.listen();
                if peer.queued.get() == 0 {
                    break;
                }
                listener.await;
            }
        }
    };
    future::or(drained, Timer::after(Duration::from_secs_f64(SHUTDOWN_GRACE))).await;
}

/// Why a connection ends.
enum End {
    /// The peer or the network has closed it.
    ByPeer,
    /// It did not join in time, or sent something invalid.
    Refused,
    /// Another task of the pilot has closed it with [`Peer::close`].
    Closed,
}

async fn serve(peer: Rc<Peer>, pilot: Rc<Pilot>) {
    let deadline = join_deadline(&peer, &pilot);
    let end = future::or(receive(&peer, &pilot), future::or(transmit(&peer), deadline)).await;
    let joined = peer.joined.get();
    // Queued answers are written before the end, as far as possible without blocking. A stream that was replaced or
    // timed out gets none.
    let flush = !(joined && matches!(end, End::Closed));
    let flushed = flush && peer.flush().is_ok();
    // Collectors expect no bytes, so a joined connection gets no refusal.
    if !joined && flushed && !matches!(end, End::ByPeer) {
        // A failed write is harmless: the end of the connection tells the peer the same.
        drop(peer.stream.get_ref().write(REJECT));
    }
    pilot.connections.remove(&peer);
    pilot.controller.borrow_mut().disconnected(peer.id);
    pilot.wake();
}

/// Completes when a connection that has not joined must be closed.
async fn join_deadline(peer: &Peer, pilot: &Pilot) -> End {
    loop {
        let silent_at = peer.last_input.get() + JOIN_SILENCE;
        let deadline = silent_at.min(peer.accepted_at + MAX_JOIN_TIME);
        let left = deadline - pilot.clock.now();
        if left <= 0.0 {
            break;
        }
        Timer::after(Duration::from_secs_f64(left)).await;
        // A join message that arrived in time counts even if it has not been read yet.
        if let Some(end) = read_now(peer, pilot) {
            return end;
        }
        if peer.joined.get() {
            return future::pending().await;
        }
    }
    pilot.controller.borrow_mut().counts.refused += 1;
    End::Refused
}

async fn receive(peer: &Peer, pilot: &Pilot) -> End {
    loop {
        // A connection closed in this turn is not read any more, as it could join now and be gone at once.
        if peer.closed.get() {
            return End::Closed;
        }
        match read(peer, pilot) {
            // A peer that never stops sending must not starve the others.
            Ok(None) => future::yield_now().await,
            Ok(Some(end)) => return end,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => peer.stream.readable().await,
            Err(_) => return End::ByPeer,
        }
    }
}

/// Reads and handles one buffer of input without blocking. Returns the reason if the connection ends there.
fn read_now(peer: &Peer, pilot: &Pilot) -> Option<End> {
    match read(peer, pilot) {
        Ok(end) => end,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
        Err(_) => Some(End::ByPeer),
    }
}

/// Reads and handles one buffer of input. Returns the reason if the connection ends there.
fn read(peer: &Peer, pilot: &Pilot) -> io::Result<Option<End>> {
    let mut buffer = pilot.connections.buffer.borrow_mut();
    Ok(match peer.stream.get_ref().read(&mut buffer)? {
        0 => Some(End::ByPeer),
        n if handle_input(peer, &buffer[..n], pilot) => None,
        _ => Some(End::Refused),
    })
}

/// Splits bytes into messages and handles them. False if the connection must be closed.
fn handle_input(peer: &Peer, bytes: &[u8], pilot: &Pilot) -> bool {
    let (now, mut valid) = (pilot.clock.now(), true);
    peer.last_input.set(now);
    pilot.controller.borrow_mut().record_input(peer.id, now);
    let mut input = peer.input.borrow_mut();
    let kept = input.buffered();
    let max_joined = pilot.connections.max_message_bytes(kept);
    let max_bytes = || if peer.joined.get() { max_joined } else { MAX_JOIN_BYTES };
    let cut = input.split(bytes, max_bytes, |line| {
        let reaction = pilot.controller.borrow_mut().handle_line(peer.id, line, now);
        match reaction {
            Reaction::Nothing => {}
            Reaction::Answer(bytes) => {
                valid = peer.queue(bytes.into());
                if !pilot.is_ready.replace(true) {
                    tracing::info!(after_s = pilot.clock.elapsed(), "ready");
                }
            }
            Reaction::Joined(replaced) => {
                pilot.connections.mark_joined(peer);
                if let Some(old) = replaced {
                    pilot.connections.close(old);
                }
            }
            Reaction::Refuse(why) => {
                tracing::debug!(connection = peer.id, %why, "connection refused");
                valid = false;
            }
        }
        valid
    });
    let incomplete_bytes = &pilot.connections.incomplete_bytes;
    incomplete_bytes.set(incomplete_bytes.get() - kept + input.buffered());
    pilot.wake();
    valid && cut.is_ok()
}

async fn transmit(peer: &Peer) -> End {
    loop {
        let wake = peer.wake.listen();
        if peer.closed.get() {
            return End::Closed;
        }
        match peer.flush() {
            Ok(()) => wake.await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                // A peer that does not read must not delay the close.
                future::or(peer.stream.writable(), wake).await
            }
            Err(_) => return End::ByPeer,
        }
    }
}
