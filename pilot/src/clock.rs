//! A monotonic clock that counts in seconds and never jumps.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The clock's reading at `started`, s.
    start: f64,
}

impl Clock {
    /// A clock that reads `start` seconds now.
    pub fn starting_at(start: f64) -> Self {
        Clock { started: Instant::now(), start }
    }

    /// A clock that reads the current Unix time, so that its readings compare with timestamps of other
    /// machines. Later adjustments of the system clock do not affect it.
    pub fn unix() -> Self {
        Clock::starting_at(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64()))
    }

    /// The clock's reading at an instant.
    pub fn at(&self, instant: Instant) -> f64 {
        self.start + instant.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Seconds since the clock was created.
    pub fn elapsed(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }
}
