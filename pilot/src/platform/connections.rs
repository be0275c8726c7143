//! Connections of proxies, collectors and strangers: who is accepted, heard, written to and sent away.

use super::controller::Reaction;
use super::Pilot;
use async_executor::LocalExecutor;
use event_listener::Event;
use futures_lite::future;
use oatlever_platform::frame::{MAX_JOIN_BYTES, MAX_MESSAGE_BYTES};
use oatlever_platform::message::REJECT;
use oatlever_platform::{Connection, LineBuffer};
use oatlever_reactor::{Async, Timer};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// s; whoever has not joined by then is sent away. The protocol lets it be from 1 s on, and strangers must
/// know within 3 s; bytes may come in pieces.
const JOIN_WITHIN: f64 = 1.5;
/// s; at the end, answers that are owed may take so long to be written. The kill follows SIGTERM no sooner than 0.7 s.
const LAST_ANSWERS: f64 = 0.3;
/// Bytes that wait for one connection at most; who leaves more unread is gone.
const MOST_HELD: usize = 1 << 20;
/// Bytes read at a time, into one buffer that all connections share.
const CHUNK: usize = 1 << 16;
/// s; after an accept that failed, as where descriptors have run out.
const PAUSE: f64 = 0.01;
/// Connections beyond the most, where all of those have joined: the new stream of a proxy whose old one has
/// not been seen to end. So few fit beside what the pilot opens itself.
pub const NEWCOMERS: usize = 8;

/// One connection, from its accept to its end: what was read of it, and what waits to be written.
struct Peer {
    number: Connection,
    stream: Async<TcpStream>,
    /// What it has sent of a message that has not ended.
    begun: RefCell<LineBuffer>,
    waiting: RefCell<VecDeque<Rc<[u8]>>>,
    /// Bytes of the first of those that are written.
    written: Cell<usize>,
    held: Cell<usize>,
    /// Nothing more is read of it.
    closed: Cell<bool>,
    /// Whoever dialled has joined at some time.
    joined: Cell<bool>,
    news: Event,
    /// Nothing waits to be written any more.
    drained: Event,
}

impl Peer {
    fn close(&self) {
        self.closed.set(true);
        self.news.notify(usize::MAX);
    }

    /// Has bytes written, after what waits; false where too much does.
    fn say(&self, bytes: Rc<[u8]>) -> bool {
        self.held.set(self.held.get() + bytes.len());
        if self.held.get() > MOST_HELD {
            return false;
        }
        self.waiting.borrow_mut().push_back(bytes);
        self.news.notify(usize::MAX);
        true
    }

    /// Writes what waits, as far as that can be done at once. Errors: it can't, or not yet.
    fn flush(&self) -> io::Result<()> {
        loop {
            let Some(bytes) = self.waiting.borrow().front().cloned() else {
                self.drained.notify(usize::MAX);
                return Ok(());
            };
            let begun = self.written.get();
            match self.stream.get_ref().write(&bytes[begun..]) {
                Ok(n) => {
                    self.held.set(self.held.get() - n);
                    self.written.set(begun + n);
                    if begun + n == bytes.len() {
                        self.written.set(0);
                        self.waiting.borrow_mut().pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// All that are open.
pub struct Connections {
    /// At most.
    most: usize,
    next: Cell<Connection>,
    open: RefCell<BTreeMap<Connection, Rc<Peer>>>,
    /// Those that have not joined, the oldest first.
    unjoined: RefCell<BTreeSet<Connection>>,
    buffer: RefCell<Vec<u8>>,
    /// Bytes of messages that have begun and not ended, on all connections; and how many there may be.
    unfinished: Cell<usize>,
    most_unfinished: usize,
}

impl Connections {
    pub fn new(most: usize, most_unfinished: usize) -> Self {
        Connections {
            most,
            unfinished: Cell::new(0),
            most_unfinished,
            next: Cell::new(0),
            open: RefCell::default(),
            unjoined: RefCell::default(),
            buffer: RefCell::new(vec![0; CHUNK]),
        }
    }

    /// Those open, and how many of them have not joined.
    pub fn sizes(&self) -> (usize, usize) {
        (self.open.borrow().len(), self.unjoined.borrow().len())
    }

    /// Has bytes written on a connection, after what waits there.
    pub fn say(&self, connection: Connection, bytes: Rc<[u8]>) {
        let open = self.open.borrow();
        let Some(peer) = open.get(&connection) else { return };
        if !peer.say(bytes) {
            tracing::info!(connection, "leaves too much unread");
            peer.close();
        }
    }

    pub fn close(&self, connection: Connection) {
        if let Some(peer) = self.open.borrow().get(&connection) {
            peer.close();
        }
    }

    fn enter(&self, stream: Async<TcpStream>) -> Rc<Peer> {
        let number = self.next.replace(self.next.get() + 1);
        let peer = Rc::new(Peer {
            number,
            stream,
            begun: RefCell::default(),
            waiting: RefCell::default(),
            written: Cell::new(0),
            held: Cell::new(0),
            closed: Cell::new(false),
            joined: Cell::new(false),
            news: Event::new(),
            drained: Event::new(),
        });
        self.open.borrow_mut().insert(number, peer.clone());
        self.unjoined.borrow_mut().insert(number);
        peer
    }

    fn has_joined(&self, peer: &Peer) {
        self.unjoined.borrow_mut().remove(&peer.number);
        peer.joined.set(true);
    }

    fn leave(&self, peer: &Peer) {
        self.open.borrow_mut().remove(&peer.number);
        self.unjoined.borrow_mut().remove(&peer.number);
        let begun = peer.begun.take();
        self.unfinished.set(self.unfinished.get() - begun.buffered());
        peer.held.set(0);
        peer.drained.notify(usize::MAX);
    }

    /// The oldest of those that have not joined.
    fn oldest_unjoined(&self) -> Option<Rc<Peer>> {
        let oldest = *self.unjoined.borrow().first()?;
        self.open.borrow().get(&oldest).cloned()
    }

    /// Bytes that a message of one who has joined may have, of which `kept` came before. Guards against a
    /// fleet that has joined and sends long messages at once: together they would fill the memory, as each
    /// may be longer by far than any that is sent in earnest.
    fn longest(&self, kept: usize) -> usize {
        let left = self.most_unfinished.saturating_sub(self.unfinished.get() - kept);
        MAX_MESSAGE_BYTES.min(left).max(MAX_JOIN_BYTES)
    }
}

/// Sends the oldest of those away that have not joined, where there are too many connections; false where all
/// have joined and no more fit.
///
/// Guards against strangers that hold descriptors which proxies need; a proxy dials and joins at once,
/// so the oldest is the least likely to be one.
fn make_room(pilot: &Pilot) -> bool {
    let all = &pilot.connections;
    let open = || all.open.borrow().len();
    while open() >= all.most && send_oldest_away(pilot) {}
    open() < all.most + NEWCOMERS
}

/// False where all have joined. Guards against sending a proxy away whose joining has come and has not been
/// read, as while a whole fleet dials: what each has sent is read before it is judged.
fn send_oldest_away(pilot: &Pilot) -> bool {
    while let Some(oldest) = pilot.connections.oldest_unjoined() {
        let ended = read_now(&oldest, pilot).is_some();
        if ended || !oldest.joined.get() {
            oldest.close();
            pilot.connections.open.borrow_mut().remove(&oldest.number);
            pilot.connections.unjoined.borrow_mut().remove(&oldest.number);
            return true;
        }
    }
    false
}

pub async fn accept(socket: Async<TcpListener>, pilot: Rc<Pilot>, executor: Rc<LocalExecutor<'static>>) {
    let mut trouble = None;
    loop {
        let accepted = socket.read_with(|socket| socket.accept()).await;
        match accepted.and_then(|(stream, _)| Async::new(stream)) {
            Ok(stream) => {
                trouble = None;
                // Orders are small and must not wait for one another's acknowledgements.
                drop(stream.get_ref().set_nodelay(true));
                if make_room(&pilot) {
                    let peer = pilot.connections.enter(stream);
                    executor.spawn(serve(peer, pilot.clone())).detach();
                } else {
                    pilot.controller.borrow_mut().counts.full += 1;
                    drop(stream.get_ref().write(REJECT));
                }
                // Guards against a fleet that dials at once: those accepted are read, and those sent away
                // give their descriptors back, before the next one is taken.
                future::yield_now().await;
            }
            // Whoever dialled is gone again, and that is nobody else's fault.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                future::yield_now().await;
            }
            // Guards against limits that are lower than the configuration says: strangers must not hold the
            // last descriptor. One line of the log for as long as it lasts.
            Err(e) => {
                if trouble.replace(e.kind()) != Some(e.kind()) {
                    tracing::warn!(%e, "not accepted");
                }
                let full = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
                if Errno::from_io_error(&e).is_some_and(|errno| full.contains(&errno)) {
                    send_oldest_away(&pilot);
                }
                Timer::after(Duration::from_secs_f64(PAUSE)).await;
            }
        }
    }
}

/// Answers what has come on all connections, and waits until it is written, for as long as that may take at the end.
///
/// Without it, requests that came before the end was asked for lie unread and are reset with their connections, as the
/// signal is taken up before the sockets are. One that does not read holds the end up for `LAST_ANSWERS`, and no longer.
pub async fn finish(pilot: &Pilot) {
    let open: Vec<Rc<Peer>> = pilot.connections.open.borrow().values().cloned().collect();
    for peer in open.iter().filter(|peer| !peer.closed.get()) {
        // What can't be read or written now is the connection's own task's.
        let _ = read_now(peer, pilot);
        let _ = peer.flush();
    }
    let drained = async {
        for peer in &open {
            loop {
                let listener = peer.drained.listen();
                if peer.held.get() == 0 {
                    break;
                }
                listener.await;
            }
        }
    };
    future::or(drained, Timer::after(Duration::from_secs_f64(LAST_ANSWERS))).await;
}

/// Why a connection ends.
enum End {
    /// By whoever dialled, or by the network.
    Theirs,
    /// Sent away.
    Refused,
    /// Closed from elsewhere.
    Ours,
}

async fn serve(peer: Rc<Peer>, pilot: Rc<Pilot>) {
    let deadline = async {
        Timer::after(Duration::from_secs_f64(JOIN_WITHIN)).await;
        // What came in time counts, also where it has not been read by now.
        if let Some(end) = read_now(&peer, &pilot) {
            return end;
        }
        if peer.joined.get() {
            return future::pending().await;
        }
        pilot.controller.borrow_mut().counts.refused += 1;
        End::Refused
    };
    let end = future::or(hear(&peer, &pilot), future::or(speak(&peer), deadline)).await;
    let joined = peer.joined.get();
    // What is owed goes out before the end, as far as whoever dialled takes it: one that does not read holds
    // nobody up. On a stream that gave way to another, or fell silent, nothing is owed.
    let owed = !(joined && matches!(end, End::Ours));
    let flushed = owed && peer.flush().is_ok();
    // Guards against a byte for a collector that is sent away or replaced, which has no use for any.
    if !joined && flushed && !matches!(end, End::Theirs) {
        // Where it can't be written at once, the end of the connection says the same.
        drop(peer.stream.get_ref().write(REJECT));
    }
    pilot.connections.leave(&peer);
    pilot.controller.borrow_mut().ended(peer.number);
    pilot.tell();
}

async fn hear(peer: &Peer, pilot: &Pilot) -> End {
    loop {
        // One that was sent away in this turn is not heard any more: it would join and be gone.
        if peer.closed.get() {
            return End::Ours;
        }
        match read(peer, pilot) {
            // One that never stops sending must leave turns to the others.
            Ok(None) => future::yield_now().await,
            Ok(Some(end)) => return end,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => peer.stream.readable().await,
            Err(_) => return End::Theirs,
        }
    }
}

/// Takes in what can be read at once, without waiting; tells where that was the end.
fn read_now(peer: &Peer, pilot: &Pilot) -> Option<End> {
    match read(peer, pilot) {
        Ok(end) => end,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
        Err(_) => Some(End::Theirs),
    }
}

/// Takes in a buffer of what can be read; tells where that was the end.
fn read(peer: &Peer, pilot: &Pilot) -> io::Result<Option<End>> {
    let mut buffer = pilot.connections.buffer.borrow_mut();
    Ok(match peer.stream.get_ref().read(&mut buffer)? {
        0 => Some(End::Theirs),
        n if take(peer, &buffer[..n], pilot) => None,
        _ => Some(End::Refused),
    })
}

/// Takes in bytes; false where the connection may not go on.
fn take(peer: &Peer, bytes: &[u8], pilot: &Pilot) -> bool {
    let (now, mut good) = (pilot.clock.now(), true);
    let mut begun = peer.begun.borrow_mut();
    let kept = begun.buffered();
    let most = pilot.connections.longest(kept);
    let longest = || if peer.joined.get() { most } else { MAX_JOIN_BYTES };
    let cut = begun.split(bytes, longest, |line| {
        let reaction = pilot.controller.borrow_mut().line(peer.number, line, now);
        match reaction {
            Reaction::Nothing => {}
            Reaction::Answer(bytes) => {
                good = peer.say(bytes.into());
                if !pilot.is_ready.replace(true) {
                    tracing::info!(after_s = pilot.clock.age(), "ready");
                }
            }
            Reaction::Joined(replaced) => {
                pilot.connections.has_joined(peer);
                if let Some(old) = replaced {
                    pilot.connections.close(old);
                }
            }
            Reaction::Refuse(why) => {
                tracing::debug!(peer.number, %why, "sent away");
                good = false;
            }
        }
        good
    });
    let unfinished = &pilot.connections.unfinished;
    unfinished.set(unfinished.get() - kept + begun.buffered());
    pilot.tell();
    good && cut.is_ok()
}

async fn speak(peer: &Peer) -> End {
    loop {
        let news = peer.news.listen();
        if peer.closed.get() {
            return End::Ours;
        }
        match peer.flush() {
            Ok(()) => news.await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                // Closing must not wait for one who does not read.
                future::or(peer.stream.writable(), news).await
            }
            Err(_) => return End::Theirs,
        }
    }
}
