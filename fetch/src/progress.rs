//! How a response progresses, and time limits that depend on it.

use crate::{Error, Runtime};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time limits of a request, in seconds.
///
/// A limit on the whole exchange alone can't be short enough to notice a dead peer and long enough for a
/// response that arrives in pieces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// For connecting.
    pub connect: f64,
    /// From the start of the request to the first byte of the response, connecting included.
    pub first_byte: f64,
    /// From one byte of the response to the next.
    pub silence: f64,
    /// The whole exchange.
    pub total: f64,
}

impl Timeouts {
    /// A response may take this many times the limit on silence as long as it keeps arriving.
    const TOTAL_PER_SILENCE: f64 = 6.0;

    /// Limits for a peer that starts to respond at once: `silence` seconds without a byte.
    pub fn from_silence(silence: f64) -> Self {
        let total = silence * Self::TOTAL_PER_SILENCE;
        Timeouts { connect: silence, first_byte: silence, silence, total }
    }

    /// A limit on the whole exchange, however the response arrives.
    pub fn from_total(total: f64) -> Self {
        Timeouts { connect: total, first_byte: total, silence: total, total }
    }
}

type Sleep = Pin<Box<dyn Future<Output = ()>>>;

/// Records what arrives on a connection.
#[derive(Debug, Default)]
pub struct Progress {
    /// Since when a connection is being made; `None` once it is.
    connecting_since: Cell<Option<Instant>>,
    last_byte: Cell<Option<Instant>>,
    received: Cell<usize>,
}

impl Progress {
    /// Starts to record a new request.
    pub fn restart(&self) {
        self.connecting_since.set(None);
        self.last_byte.set(None);
        self.received.set(0);
    }

    /// The number of bytes received since the start of the request.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    pub(crate) fn set_connecting(&self, connecting: bool) {
        self.connecting_since.set(connecting.then(Instant::now));
    }

    fn record(&self, bytes: usize) {
        self.last_byte.set(Some(Instant::now()));
        self.received.set(self.received.get() + bytes);
    }

    /// When an exchange that began at `started` exceeds a limit if nothing more arrives, and how it fails then.
    fn deadline(&self, started: Instant, timeouts: &Timeouts) -> (Instant, Error) {
        let after = |from: Instant, seconds: f64| from + Duration::from_secs_f64(seconds);
        let received = self.received();
        let (mut silent_at, mut limit) = match self.last_byte.get().filter(|last| *last >= started) {
            None => (after(started, timeouts.first_byte), timeouts.first_byte),
            Some(last) => (after(last, timeouts.silence), timeouts.silence),
        };
        if let Some(since) = self.connecting_since.get() {
            (silent_at, limit) = (silent_at.min(after(since, timeouts.connect)), timeouts.connect);
        }
        let ends_at = after(started, timeouts.total);
        if silent_at <= ends_at {
            (silent_at, Error::Silent { limit, received })
        } else {
            (ends_at, Error::TooSlow { limit: timeouts.total, received })
        }
    }

    /// Completes when an exchange that begins now exceeds a limit.
    ///
    /// Unless `first_byte` is at most `silence`, this must be polled by the task that reads the connection, after
    /// each read: the first byte may bring the deadline forward, and nothing else wakes this future then.
    pub async fn exceeded<R: Runtime>(&self, timeouts: &Timeouts) -> Error {
        let started = Instant::now();
        let mut timer: Option<(Instant, Sleep)> = None;
        poll_fn(|context| loop {
            let (deadline, error) = self.deadline(started, timeouts);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Poll::Ready(error);
            }
            // A timer that is due earlier than necessary sets the next one when it fires.
            let armed = timer.take().filter(|(due, _)| *due <= deadline);
            let (_, sleep) = timer.insert(armed.unwrap_or_else(|| (deadline, Box::pin(R::sleep(left)))));
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            timer = None;
        })
        .await
    }
}

/// Runs `work`, whose connection records to `progress`, until it exceeds a limit.
pub async fn within<R: Runtime, T>(
    timeouts: Timeouts,
    progress: &Progress,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    future::or(work, async { Err(progress.exceeded::<R>(&timeouts).await) }).await
}

/// A stream that records what is read from it.
pub struct Counted<S> {
    stream: S,
    progress: Rc<Progress>,
}

impl<S> Counted<S> {
    pub fn new(stream: S, progress: Rc<Progress>) -> Self {
        Counted { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes @ 1..)) = result {
            self.progress.record(bytes);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
