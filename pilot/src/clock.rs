//! A monotonic clock that counts in seconds and never jumps.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    created_at: Instant,
    /// The clock's reading at `created_at`, in seconds.
    initial_reading: f64,
}

impl Clock {
    /// A clock that reads `start` seconds now.
    pub fn starting_at(start: f64) -> Self {
        Clock { created_at: Instant::now(), initial_reading: start }
    }

    /// A clock that reads the current Unix time, so that its readings compare with timestamps of other
    /// machines. Later adjustments of the system clock do not affect it.
    pub fn unix() -> Self {
        Clock::starting_at(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64()))
    }

    /// The clock's reading at an instant; at one before its creation, the initial reading.
    pub fn at(&self, instant: Instant) -> f64 {
        self.initial_reading + instant.saturating_duration_since(self.created_at).as_secs_f64()
    }

    /// Seconds since the clock was created.
    pub fn elapsed(&self) -> f64 {
        self.created_at.elapsed().as_secs_f64()
    }

    /// The clock's current reading, in seconds.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }
}
