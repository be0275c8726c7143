//! Sockets, timers and one future on a single thread, without any other thread beside it.
//!
//! Guards against a second thread that a pilot with part of a core has no use for: the reactor of `async-io`
//! keeps one that wakes by itself a hundred times a second while the first one works, and takes turns with it
//! at the start. Only what lives on one thread may wait here: whoever is woken from another thread is not
//! heard.

mod timer;

pub use timer::Timer;

use futures_lite::io::{AsyncRead, AsyncWrite};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::io::Errno;
use rustix::net as sys;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Events taken at once; more wait for the next turn.
const EVENTS: usize = 256;

/// One direction of a socket: whether something came since it was last tried, and who waits for that.
#[derive(Default)]
struct Side {
    came: Cell<bool>,
    waits: RefCell<Option<Waker>>,
}

impl Side {
    fn comes(&self) {
        self.came.set(true);
        if let Some(waker) = self.waits.take() {
            waker.wake();
        }
    }

    /// Ready once something has come since it was ready last.
    fn poll(&self, context: &mut Context) -> Poll<()> {
        if self.came.take() {
            return Poll::Ready(());
        }
        self.waits.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

#[derive(Default)]
struct Sides {
    read: Side,
    write: Side,
}

struct Reactor {
    epoll: OwnedFd,
    next: Cell<u64>,
    sources: RefCell<BTreeMap<u64, Rc<Sides>>>,
    /// Who is to be woken, by the time and a number of their own.
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
}

thread_local! {
    static REACTOR: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

impl Reactor {
    /// That of this thread.
    fn here() -> io::Result<Rc<Reactor>> {
        REACTOR.with_borrow_mut(|here| {
            if here.is_none() {
                *here = Some(Rc::new(Reactor {
                    epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
                    next: Cell::new(0),
                    sources: RefCell::default(),
                    timers: RefCell::default(),
                }));
            }
            Ok(here.clone().expect("it was put there"))
        })
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// How long nothing is due; none where nothing is ever.
    fn idle_for(&self) -> Option<Duration> {
        let timers = self.timers.borrow();
        timers.first_key_value().map(|((at, _), _)| at.saturating_duration_since(Instant::now()))
    }

    /// Waits until something comes or is due, and wakes those who wait for it.
    fn turn(&self, at_once: bool) -> io::Result<()> {
        let wait = if at_once { Some(Duration::ZERO) } else { self.idle_for() };
        // Whole milliseconds, and no less than is asked for: what is due is so when it is waited for no more.
        let wait = wait.map(|wait| {
            let millis = wait.as_nanos().div_ceil(1_000_000).min(i32::MAX as u128) as i64;
            Timespec { tv_sec: millis / 1000, tv_nsec: millis % 1000 * 1_000_000 }
        });
        let mut events = Vec::with_capacity(EVENTS);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), wait.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in events {
            let (flags, source) = (event.flags, event.data.u64());
            // One that was let go since has nobody who waits.
            let Some(sides) = self.sources.borrow().get(&source).cloned() else { continue };
            let ends = EventFlags::HUP | EventFlags::ERR;
            if flags.intersects(EventFlags::IN | EventFlags::RDHUP | ends) {
                sides.read.comes();
            }
            if flags.intersects(EventFlags::OUT | ends) {
                sides.write.comes();
            }
        }
        loop {
            let mut timers = self.timers.borrow_mut();
            let Some(first) = timers.first_entry().filter(|first| first.key().0 <= Instant::now()) else {
                return Ok(());
            };
            let waker = first.remove();
            drop(timers);
            waker.wake();
        }
    }
}

/// Wakes the one future of [`block_on`].
struct Woken(AtomicBool);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs a future to its end on this thread. Errors: the system has no reactor to give, or takes it back.
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let reactor = Reactor::here()?;
    let woken = Arc::new(Woken(AtomicBool::new(true)));
    let waker = Waker::from(woken.clone());
    let mut future = pin!(future);
    loop {
        if woken.0.swap(false, Ordering::Relaxed) {
            if let Poll::Ready(done) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
                return Ok(done);
            }
        }
        reactor.turn(woken.0.load(Ordering::Relaxed))?;
    }
}

/// A socket, or what is waited for like one.
pub struct Async<T: AsFd> {
    io: T,
    number: u64,
    sides: Rc<Sides>,
    reactor: Rc<Reactor>,
}

impl<T: AsFd> Async<T> {
    /// Takes it in; from then on it never blocks. Errors: the system has no room for it.
    pub fn new(io: T) -> io::Result<Self> {
        rustix::io::ioctl_fionbio(&io, true)?;
        let reactor = Reactor::here()?;
        let (number, sides) = (reactor.number(), Rc::new(Sides::default()));
        // Told once for each time that something comes: a side remembers it until it is tried.
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&reactor.epoll, &io, EventData::new_u64(number), flags)?;
        reactor.sources.borrow_mut().insert(number, sides.clone());
        Ok(Async { io, number, sides, reactor })
    }

    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// Waits until there may be something to read. One task at a time may wait for it.
    pub async fn readable(&self) {
        poll_fn(|context| self.sides.read.poll(context)).await;
    }

    /// Waits until there may be room to write. One task at a time may wait for it.
    pub async fn writable(&self) {
        poll_fn(|context| self.sides.write.poll(context)).await;
    }

    /// Tries until it need not wait any more.
    pub async fn read_with<R>(&self, mut tried: impl FnMut(&T) -> io::Result<R>) -> io::Result<R> {
        loop {
            match tried(&self.io) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable().await,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                done => return done,
            }
        }
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        self.reactor.sources.borrow_mut().remove(&self.number);
        // It may be closed by now, and is not waited for then either.
        let _ = epoll::delete(&self.reactor.epoll, &self.io);
    }
}

impl Async<TcpStream> {
    /// Dials, from a local address if one is named. Errors: no connection comes up.
    pub async fn connect(to: SocketAddr, from: Option<SocketAddr>) -> io::Result<Self> {
        let family = if to.is_ipv4() { sys::AddressFamily::INET } else { sys::AddressFamily::INET6 };
        let flags = sys::SocketFlags::CLOEXEC | sys::SocketFlags::NONBLOCK;
        let socket = sys::socket_with(family, sys::SocketType::STREAM, flags, None)?;
        if let Some(from) = from {
            sys::bind(&socket, &from)?;
        }
        match sys::connect(&socket, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let stream = Async::new(TcpStream::from(socket))?;
        loop {
            stream.writable().await;
            match stream.get_ref().take_error()? {
                Some(e) => return Err(e),
                None => match stream.get_ref().peer_addr() {
                    Ok(_) => return Ok(stream),
                    Err(e) if e.kind() == ErrorKind::NotConnected => {}
                    Err(e) => return Err(e),
                },
            }
        }
    }

    fn poll_with<R>(
        side: &Side,
        context: &mut Context,
        mut tried: impl FnMut() -> io::Result<R>,
    ) -> Poll<io::Result<R>> {
        loop {
            match tried() {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if side.poll(context).is_pending() {
                        return Poll::Pending;
                    }
                }
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncRead for Async<TcpStream> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Self::poll_with(&self.sides.read, cx, || (&self.io).read(buf))
    }
}

impl AsyncWrite for Async<TcpStream> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Self::poll_with(&self.sides.write, cx, || (&self.io).write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.io.shutdown(std::net::Shutdown::Write))
    }
}
