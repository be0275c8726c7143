//! Sums of query rates by expiry time.
//!
//! A hierarchical timing wheel, the slots of each level twice as wide as those of the level below. A lease
//! goes to the finest level that reaches its expiry, which is rounded up to the end of its slot; nothing
//! cascades between levels. A lease is therefore counted too long by at most a seventh of its duration, or
//! an eighth of a second, and never too short.

use std::collections::VecDeque;

/// Slot width of the finest level, in seconds.
const FINEST_WIDTH: f64 = 0.125;
/// Slots per level. A lease that the next finer level cannot reach lasts at least half as long as this
/// level spans.
const SLOTS: u64 = 16;
/// Levels: the last one reaches over two hours, longer than the longest lifetime and overstay in the
/// settings.
const LEVELS: usize = 14;

/// The position of a lease in the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    level: u8,
    /// 32 bits last for seventeen years of the finest slots.
    number: u32,
}

#[derive(Clone, Debug, Default)]
struct Level {
    /// The number of the first slot in `sums`.
    first: u32,
    sums: VecDeque<f64>,
}

/// Sums the query rates of leases and drops them as they expire.
#[derive(Clone, Debug, Default)]
pub struct ExpiryWheel {
    levels: Vec<Level>,
    /// Seconds; nothing expires before.
    next_expiry: f64,
}

fn slot_width(level: usize) -> f64 {
    FINEST_WIDTH * (1_u64 << level) as f64
}

impl Slot {
    /// The slot of a lease that expires at `expires_at`.
    fn of(expires_at: f64, now: f64) -> Slot {
        let reaches = |level: &usize| (expires_at - now) / slot_width(*level) <= (SLOTS - 1) as f64;
        let level = (0..LEVELS).find(reaches).unwrap_or(LEVELS - 1);
        Slot { level: level as u8, number: (expires_at / slot_width(level)).ceil() as u32 }
    }

    /// The time in seconds at which the slot has expired.
    pub fn end(&self) -> f64 {
        f64::from(self.number) * slot_width(usize::from(self.level))
    }
}

impl ExpiryWheel {
    /// Adds a lease of `rate` queries per second that expires at `expires_at`.
    pub fn add(&mut self, rate: f64, expires_at: f64, now: f64) -> Slot {
        let slot = Slot::of(expires_at, now);
        *self.sum_mut(slot, now) += rate;
        slot
    }

    /// Removes a lease that was added before; does nothing if it has expired.
    pub fn remove(&mut self, rate: f64, slot: Slot, now: f64) {
        if slot.end() > now {
            let sum = self.sum_mut(slot, now);
            *sum = (*sum - rate).max(0.0);
        }
    }

    fn sum_mut(&mut self, slot: Slot, now: f64) -> &mut f64 {
        self.expire(now);
        let index = usize::from(slot.level);
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        let level = &mut self.levels[index];
        if level.sums.is_empty() {
            level.first = slot.number;
        }
        while slot.number < level.first {
            level.sums.push_front(0.0);
            level.first -= 1;
        }
        let offset = (slot.number - level.first) as usize;
        if level.sums.len() <= offset {
            level.sums.resize(offset + 1, 0.0);
        }
        &mut level.sums[offset]
    }

    fn expire(&mut self, now: f64) {
        if now < self.next_expiry {
            return;
        }
        for (index, level) in self.levels.iter_mut().enumerate() {
            while !level.sums.is_empty() && f64::from(level.first) * slot_width(index) <= now {
                level.sums.pop_front();
                level.first += 1;
            }
        }
        // All slots end at multiples of the finest width.
        self.next_expiry = ((now / FINEST_WIDTH).floor() + 1.0) * FINEST_WIDTH;
    }

    /// Queries per second of all leases that have not expired.
    pub fn sum(&mut self, now: f64) -> f64 {
        self.expire(now);
        self.levels.iter().flat_map(|level| &level.sums).fold(0.0, |sum, rate| sum + rate)
    }

    /// The time in seconds at which the last lease expires; `None` if there is none.
    pub fn last_expiry(&mut self, now: f64) -> Option<f64> {
        self.expire(now);
        let last = |(index, level): (usize, &Level)| {
            let last = level.sums.iter().rposition(|rate| *rate > 0.0)?;
            Some(f64::from(level.first + last as u32) * slot_width(index))
        };
        self.levels.iter().enumerate().filter_map(last).max_by(f64::total_cmp)
    }
}
