//! A single-threaded reactor for sockets and timers, and an executor for one future.
//!
//! The reactor of `async-io` runs a second thread, which wakes up a hundred times per second while the main
//! thread is busy and competes with it at startup. A pilot that has only part of a core can't afford that
//! thread.
//!
//! Wakers work only on the thread that they were created on: waking a task from another thread does not
//! interrupt the reactor's wait.

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

/// Maximum number of events per call of `epoll_wait`; further ones are returned by the next call.
const MAX_EVENTS: usize = 256;

/// Readiness of one direction of a socket, and the task that waits for it.
#[derive(Default)]
struct Direction {
    /// An event has arrived since readiness was last reported.
    ready: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Direction {
    fn set_ready(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Ready once an event has arrived since this was last ready.
    fn poll(&self, context: &mut Context) -> Poll<()> {
        if self.ready.take() {
            return Poll::Ready(());
        }
        self.waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

#[derive(Default)]
struct Source {
    read: Direction,
    write: Direction,
}

struct Reactor {
    epoll: OwnedFd,
    next_id: Cell<u64>,
    sources: RefCell<BTreeMap<u64, Rc<Source>>>,
    /// The wakers of pending timers, by deadline and timer ID.
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
}

thread_local! {
    static REACTOR: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

impl Reactor {
    /// Returns the reactor of this thread, creating it on the first call.
    fn current() -> io::Result<Rc<Reactor>> {
        REACTOR.with_borrow_mut(|current| {
            if current.is_none() {
                *current = Some(Rc::new(Reactor {
                    epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
                    next_id: Cell::new(0),
                    sources: RefCell::default(),
                    timers: RefCell::default(),
                }));
            }
            Ok(current.clone().expect("the reactor exists"))
        })
    }

    fn allocate_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// The time until the next timer expires, or `None` if no timer is pending.
    fn time_to_next_timer(&self) -> Option<Duration> {
        let timers = self.timers.borrow();
        timers.first_key_value().map(|((at, _), _)| at.saturating_duration_since(Instant::now()))
    }

    /// Waits for events or the next timer, and wakes the tasks concerned. Does not block if `poll_only` is
    /// set.
    fn turn(&self, poll_only: bool) -> io::Result<()> {
        let timeout = if poll_only { Some(Duration::ZERO) } else { self.time_to_next_timer() };
        // Rounded up to whole milliseconds, so that the timer has expired when the wait returns.
        let timeout = timeout.map(|timeout| {
            let millis = timeout.as_nanos().div_ceil(1_000_000).min(i32::MAX as u128) as i64;
            Timespec { tv_sec: millis / 1000, tv_nsec: millis % 1000 * 1_000_000 }
        });
        let mut events = Vec::with_capacity(MAX_EVENTS);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in events {
            let (flags, id) = (event.flags, event.data.u64());
            // The source may have been dropped since.
            let Some(source) = self.sources.borrow().get(&id).cloned() else { continue };
            let closed = EventFlags::HUP | EventFlags::ERR;
            if flags.intersects(EventFlags::IN | EventFlags::RDHUP | closed) {
                source.read.set_ready();
            }
            if flags.intersects(EventFlags::OUT | closed) {
                source.write.set_ready();
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

/// The waker of the future that [`block_on`] runs: a flag that it has been woken.
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs a future to completion on this thread. Fails if `epoll` can't be created or fails.
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let reactor = Reactor::current()?;
    let woken = Arc::new(WakeFlag(AtomicBool::new(true)));
    let waker = Waker::from(woken.clone());
    let mut future = pin!(future);
    loop {
        if woken.0.swap(false, Ordering::Relaxed) {
            if let Poll::Ready(output) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
                return Ok(output);
            }
        }
        reactor.turn(woken.0.load(Ordering::Relaxed))?;
    }
}

/// Asynchronous I/O on a socket or another file descriptor that `epoll` supports.
pub struct Async<T: AsFd> {
    io: T,
    id: u64,
    source: Rc<Source>,
    reactor: Rc<Reactor>,
}

impl<T: AsFd> Async<T> {
    /// Sets a file descriptor to non-blocking mode and registers it with this thread's reactor.
    pub fn new(io: T) -> io::Result<Self> {
        rustix::io::ioctl_fionbio(&io, true)?;
        let reactor = Reactor::current()?;
        let (id, source) = (reactor.allocate_id(), Rc::new(Source::default()));
        // Events are edge-triggered: `Direction` keeps the readiness until a task takes it.
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&reactor.epoll, &io, EventData::new_u64(id), flags)?;
        reactor.sources.borrow_mut().insert(id, source.clone());
        Ok(Async { io, id, source, reactor })
    }

    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// Waits until the descriptor may be readable. Only one task at a time may wait.
    pub async fn readable(&self) {
        poll_fn(|context| self.source.read.poll(context)).await;
    }

    /// Waits until the descriptor may be writable. Only one task at a time may wait.
    pub async fn writable(&self) {
        poll_fn(|context| self.source.write.poll(context)).await;
    }

    /// Calls `operation` until it does not fail with `WouldBlock`, waiting for readability in between.
    pub async fn read_with<R>(&self, mut operation: impl FnMut(&T) -> io::Result<R>) -> io::Result<R> {
        loop {
            match operation(&self.io) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable().await,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        self.reactor.sources.borrow_mut().remove(&self.id);
        // A descriptor that is closed already is no longer registered, so a failure is harmless.
        let _ = epoll::delete(&self.reactor.epoll, &self.io);
    }
}

impl Async<TcpStream> {
    /// Connects, from the local address `from` if one is given.
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
        direction: &Direction,
        context: &mut Context,
        mut operation: impl FnMut() -> io::Result<R>,
    ) -> Poll<io::Result<R>> {
        loop {
            match operation() {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if direction.poll(context).is_pending() {
                        return Poll::Pending;
                    }
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for Async<TcpStream> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Self::poll_with(&self.source.read, cx, || (&self.io).read(buf))
    }
}

impl AsyncWrite for Async<TcpStream> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Self::poll_with(&self.source.write, cx, || (&self.io).write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.io.shutdown(std::net::Shutdown::Write))
    }
}
