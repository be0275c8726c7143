//! The pilot's own clock: seconds that nothing steps.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    start: f64,
}

impl Clock {
    /// Begins now, at a given time, s.
    pub fn starting_at(start: f64) -> Self {
        Clock { began: Instant::now(), start }
    }

    /// Begins at the present Unix time, for where other machines tell theirs. Later steps of the wall's
    /// clock do not move it.
    pub fn unix() -> Self {
        Clock::starting_at(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64()))
    }

    pub fn at(&self, moment: Instant) -> f64 {
        self.start + moment.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Seconds since it began.
    pub fn age(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }
}
