//! Waits for a span of time.

use crate::Reactor;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Ready once its time has come.
pub struct Timer {
    /// None where that is beyond what a clock can tell: never.
    at: Option<Instant>,
    /// Its place among those who wait.
    number: Option<u64>,
}

impl Timer {
    pub fn after(span: Duration) -> Self {
        Timer { at: Instant::now().checked_add(span), number: None }
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        let Some(at) = self.at else { return Poll::Pending };
        if at <= Instant::now() {
            return Poll::Ready(());
        }
        // Without a reactor nothing on this thread ever runs, so nobody is kept waiting by it.
        let Ok(reactor) = Reactor::here() else { return Poll::Pending };
        let number = *self.number.get_or_insert_with(|| reactor.number());
        reactor.timers.borrow_mut().insert((at, number), context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let (Some(at), Some(number), Ok(reactor)) = (self.at, self.number, Reactor::here()) {
            reactor.timers.borrow_mut().remove(&(at, number));
        }
    }
}
