//! Timers of the reactor.

use crate::Reactor;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A future that completes at a deadline.
pub struct Timer {
    /// `None` if the deadline is beyond the range of `Instant`; the timer then never completes.
    deadline: Option<Instant>,
    /// The ID under which the timer is registered with the reactor.
    id: Option<u64>,
}

impl Timer {
    pub fn after(duration: Duration) -> Self {
        Timer { deadline: Instant::now().checked_add(duration), id: None }
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        let Some(deadline) = self.deadline else { return Poll::Pending };
        if deadline <= Instant::now() {
            return Poll::Ready(());
        }
        // If the reactor can't be created, `block_on` fails as well, so no task waits for this timer.
        let Ok(reactor) = Reactor::current() else { return Poll::Pending };
        let id = *self.id.get_or_insert_with(|| reactor.allocate_id());
        reactor.timers.borrow_mut().insert((deadline, id), context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let (Some(deadline), Some(id), Ok(reactor)) = (self.deadline, self.id, Reactor::current()) {
            reactor.timers.borrow_mut().remove(&(deadline, id));
        }
    }
}
