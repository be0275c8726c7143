//! One connection of a proxy, a collector or an unknown client, with its buffers.

use event_listener::Event;
use oatlever_platform::{Connection, LineBuffer};
use oatlever_reactor::Async;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// Most bytes queued for writing on one connection; a peer that leaves more unread is disconnected.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// A connection with its input and output buffers.
pub struct Peer {
    pub id: Connection,
    pub stream: Async<TcpStream>,
    /// Received bytes of an incomplete message.
    pub input: RefCell<LineBuffer>,
    output: RefCell<VecDeque<Rc<[u8]>>>,
    /// Bytes of the front of `output` that are already written.
    written: Cell<usize>,
    /// Bytes in `output` that are not yet written.
    pub queued: Cell<usize>,
    /// When the connection was accepted, and when something last arrived on it.
    pub accepted_at: f64,
    pub last_input: Cell<f64>,
    /// Nothing more is read from the connection.
    pub closed: Cell<bool>,
    /// The peer has joined at some time.
    pub joined: Cell<bool>,
    /// Notified when there is output, or the connection was closed.
    pub wake: Event,
    /// Notified when `output` is empty.
    pub drained: Event,
}

impl Peer {
    pub fn new(id: Connection, stream: Async<TcpStream>, now: f64) -> Self {
        Peer {
            id,
            stream,
            input: RefCell::default(),
            output: RefCell::default(),
            written: Cell::new(0),
            queued: Cell::new(0),
            accepted_at: now,
            last_input: Cell::new(now),
            closed: Cell::new(false),
            joined: Cell::new(false),
            wake: Event::new(),
            drained: Event::new(),
        }
    }

    /// Ends the connection; its task notices it at the next turn.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify(usize::MAX);
    }

    /// Queues bytes for writing. False if the queue is full.
    pub fn queue(&self, bytes: Rc<[u8]>) -> bool {
        self.queued.set(self.queued.get() + bytes.len());
        if self.queued.get() > MAX_QUEUED_BYTES {
            return false;
        }
        self.output.borrow_mut().push_back(bytes);
        self.wake.notify(usize::MAX);
        true
    }

    /// Writes as much of the queued output as possible without blocking. Fails if some is left, with `WouldBlock`
    /// if the socket buffer is full.
    pub fn flush(&self) -> io::Result<()> {
        loop {
            let Some(bytes) = self.output.borrow().front().cloned() else {
                self.drained.notify(usize::MAX);
                return Ok(());
            };
            let start = self.written.get();
            match self.stream.get_ref().write(&bytes[start..]) {
                Ok(n) => {
                    self.queued.set(self.queued.get() - n);
                    self.written.set(start + n);
                    if start + n == bytes.len() {
                        self.written.set(0);
                        self.output.borrow_mut().pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}
