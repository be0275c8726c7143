//! Connections of proxies, collectors and strangers: who is accepted, heard, written to and sent away.

use super::desk::Reaction;
use super::Pilot;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use oatlever_platform::frame::{LONGEST, LONGEST_FIRST};
use oatlever_platform::message::REFUSED;
use oatlever_platform::{Connection, Lines};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// s; whoever has not joined by then is sent away. The protocol lets it be from 1 s on, and strangers must
/// know within 3 s; bytes may come in pieces.
const JOIN_WITHIN: f64 = 1.5;
/// Bytes that wait for one connection at most; who leaves more unread is gone.
const MOST_HELD: usize = 1 << 20;
/// Bytes read at a time, into one buffer that all connections share.
const CHUNK: usize = 1 << 16;
/// s; after an accept that failed, as where descriptors have run out.
const PAUSE: f64 = 0.01;

/// What waits to be written on a connection.
#[derive(Default)]
struct Outbox {
    waiting: RefCell<VecDeque<Rc<[u8]>>>,
    held: Cell<usize>,
    closed: Cell<bool>,
    /// Whoever dialled has joined at some time.
    joined: Cell<bool>,
    news: Event,
}

impl Outbox {
    fn close(&self) {
        self.closed.set(true);
        self.news.notify(usize::MAX);
    }
}

/// All that are open.
pub struct Connections {
    /// At most.
    most: usize,
    next: Cell<Connection>,
    open: RefCell<BTreeMap<Connection, Rc<Outbox>>>,
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
        let Some(outbox) = open.get(&connection) else { return };
        outbox.held.set(outbox.held.get() + bytes.len());
        if outbox.held.get() > MOST_HELD {
            tracing::info!(connection, "leaves too much unread");
            return outbox.close();
        }
        outbox.waiting.borrow_mut().push_back(bytes);
        outbox.news.notify(usize::MAX);
    }

    pub fn close(&self, connection: Connection) {
        if let Some(outbox) = self.open.borrow().get(&connection) {
            outbox.close();
        }
    }

    fn enter(&self) -> (Connection, Rc<Outbox>) {
        let number = self.next.replace(self.next.get() + 1);
        let outbox = Rc::new(Outbox::default());
        self.open.borrow_mut().insert(number, outbox.clone());
        self.unjoined.borrow_mut().insert(number);
        (number, outbox)
    }

    fn has_joined(&self, connection: Connection) {
        self.unjoined.borrow_mut().remove(&connection);
        if let Some(outbox) = self.open.borrow().get(&connection) {
            outbox.joined.set(true);
        }
    }

    fn leave(&self, connection: Connection) {
        self.open.borrow_mut().remove(&connection);
        self.unjoined.borrow_mut().remove(&connection);
    }

    /// Sends the oldest of those away that have not joined, where there are too many connections.
    ///
    /// Guards against strangers that hold descriptors which proxies need; a proxy dials and joins at once,
    /// so the oldest is the least likely to be one.
    fn make_room(&self) {
        while self.open.borrow().len() >= self.most && self.send_oldest_away() {}
    }

    /// False where all have joined.
    fn send_oldest_away(&self) -> bool {
        let Some(oldest) = self.unjoined.borrow_mut().pop_first() else { return false };
        self.close(oldest);
        self.open.borrow_mut().remove(&oldest);
        true
    }
}

pub async fn accept(socket: Async<TcpListener>, pilot: Rc<Pilot>, executor: Rc<LocalExecutor<'static>>) {
    let mut trouble = None;
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                trouble = None;
                pilot.connections.make_room();
                // Orders are small and must not wait for one another's receipts.
                drop(stream.get_ref().set_nodelay(true));
                let (number, outbox) = pilot.connections.enter();
                executor.spawn(serve(stream, number, outbox, pilot.clone())).detach();
            }
            // Guards against limits that are lower than the configuration says: strangers must not hold the
            // last descriptor. One line of the log for as long as it lasts.
            Err(e) => {
                if trouble.replace(e.kind()) != Some(e.kind()) {
                    tracing::warn!(%e, "not accepted");
                }
                pilot.connections.send_oldest_away();
                Timer::after(Duration::from_secs_f64(PAUSE)).await;
            }
        }
    }
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

async fn serve(stream: Async<TcpStream>, number: Connection, outbox: Rc<Outbox>, pilot: Rc<Pilot>) {
    let deadline = async {
        Timer::after(Duration::from_secs_f64(JOIN_WITHIN)).await;
        if outbox.joined.get() {
            future::pending().await
        } else {
            pilot.desk.borrow_mut().counts.refused += 1;
            End::Refused
        }
    };
    let end = future::or(hear(&stream, number, &pilot), future::or(speak(&stream, &outbox), deadline)).await;
    // Guards against a byte for a collector that is sent away or replaced, which has no use for any.
    if !matches!(end, End::Theirs) && !outbox.joined.get() {
        // Where it can't be written at once, the end of the connection says the same.
        drop(stream.get_ref().write(REFUSED));
    }
    pilot.connections.leave(number);
    pilot.desk.borrow_mut().ended(number);
    pilot.tell();
}

/// What one connection has sent of a message that has not ended, counted with that of all others.
struct Unfinished<'a> {
    lines: Lines,
    counted: usize,
    connections: &'a Connections,
}

impl Unfinished<'_> {
    /// Bytes that a message of one who has joined may have. Guards against a fleet that has joined and sends long messages at once:
    /// together they would fill the memory, as each may be longer by far than any that is sent in earnest.
    fn longest(&self) -> usize {
        let others = self.connections.unfinished.get() - self.counted;
        let left = self.connections.most_unfinished.saturating_sub(others);
        LONGEST.min(left).max(LONGEST_FIRST)
    }

    fn count(&mut self) {
        let all = &self.connections.unfinished;
        all.set(all.get() - self.counted + self.lines.kept());
        self.counted = self.lines.kept();
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        self.lines = Lines::default();
        self.count();
    }
}

async fn hear(stream: &Async<TcpStream>, number: Connection, pilot: &Pilot) -> End {
    let mut begun = Unfinished { lines: Lines::default(), counted: 0, connections: &pilot.connections };
    loop {
        match read(stream, &mut begun, number, pilot) {
            // One that never stops sending must leave turns to the others.
            Ok(None) => future::yield_now().await,
            Ok(Some(end)) => return end,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if stream.readable().await.is_err() {
                    return End::Theirs;
                }
            }
            Err(_) => return End::Theirs,
        }
    }
}

/// Takes in what can be read at once; tells where that was the end.
fn read(
    stream: &Async<TcpStream>,
    begun: &mut Unfinished,
    number: Connection,
    pilot: &Pilot,
) -> io::Result<Option<End>> {
    let mut buffer = pilot.connections.buffer.borrow_mut();
    Ok(match stream.get_ref().read(&mut buffer)? {
        0 => Some(End::Theirs),
        n if take(begun, &buffer[..n], number, pilot) => None,
        _ => Some(End::Refused),
    })
}

/// Takes in bytes; false where the connection may not go on.
fn take(begun: &mut Unfinished, bytes: &[u8], number: Connection, pilot: &Pilot) -> bool {
    let (now, mut good) = (pilot.clock.now(), true);
    let most = begun.longest();
    let longest = || if pilot.desk.borrow().has_joined(number) { most } else { LONGEST_FIRST };
    let cut = begun.lines.cut(bytes, longest, |line| {
        let reaction = pilot.desk.borrow_mut().line(number, line, now);
        match reaction {
            Reaction::Nothing => {}
            Reaction::Answer(bytes) => pilot.connections.say(number, bytes.into()),
            Reaction::Joined(replaced) => {
                pilot.connections.has_joined(number);
                if let Some(old) = replaced {
                    pilot.connections.close(old);
                }
            }
            Reaction::Refuse(why) => {
                tracing::debug!(number, %why, "sent away");
                good = false;
            }
        }
        good
    });
    begun.count();
    pilot.tell();
    good && cut.is_ok()
}

async fn speak(stream: &Async<TcpStream>, outbox: &Outbox) -> End {
    let mut begun = 0;
    loop {
        let news = outbox.news.listen();
        if outbox.closed.get() {
            return End::Ours;
        }
        let Some(bytes) = outbox.waiting.borrow().front().cloned() else {
            news.await;
            continue;
        };
        match stream.get_ref().write(&bytes[begun..]) {
            Ok(n) => {
                begun += n;
                outbox.held.set(outbox.held.get() - n);
                if begun == bytes.len() {
                    begun = 0;
                    outbox.waiting.borrow_mut().pop_front();
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                // Closing must not wait for one who does not read.
                let writable = async {
                    match stream.writable().await {
                        Ok(()) => None,
                        Err(_) => Some(End::Theirs),
                    }
                };
                let closed = async {
                    news.await;
                    None
                };
                if let Some(end) = future::or(writable, closed).await {
                    return end;
                }
            }
            Err(_) => return End::Theirs,
        }
    }
}
