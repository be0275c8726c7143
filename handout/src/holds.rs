//! Queries a second that holders bring a server, by when their holds run out.
//!
//! A wheel of levels whose slots are twice as wide on each: a hold goes to the finest level that reaches as far as
//! it lasts, at the end of its slot. Nothing is moved from level to level. A hold counts longer than it lasts by
//! a seventh of that at most, or an eighth of a second, and never shorter.

use std::collections::VecDeque;

/// s; slots of the finest level.
const FINEST: f64 = 0.125;
/// Slots that a level reaches over. A hold that is past the next finer level's reach is at least half of this away.
const SLOTS: u64 = 16;
/// Levels: the last reaches over two hours, past the longest lifetime and overstay that settings allow.
const LEVELS: usize = 14;

/// Where a hold stands in the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    level: u8,
    /// Seventeen years of the finest slots.
    number: u32,
}

#[derive(Clone, Debug, Default)]
struct Level {
    /// The number of the first slot, and the sums of it and those after it.
    first: u32,
    sums: VecDeque<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct ExpiryWheel {
    levels: Vec<Level>,
    /// s; nothing runs out before.
    next: f64,
}

fn width(level: usize) -> f64 {
    FINEST * (1_u64 << level) as f64
}

impl Slot {
    /// The slot of a hold until a time.
    fn of(until: f64, now: f64) -> Slot {
        let fits = |level: &usize| (until - now) / width(*level) <= (SLOTS - 1) as f64;
        let level = (0..LEVELS).find(fits).unwrap_or(LEVELS - 1);
        Slot { level: level as u8, number: (until / width(level)).ceil() as u32 }
    }

    /// When it has run out, s.
    pub fn end(&self) -> f64 {
        f64::from(self.number) * width(usize::from(self.level))
    }
}

impl ExpiryWheel {
    /// Holds of so many queries a second until a time.
    pub fn add(&mut self, weight: f64, until: f64, now: f64) -> Slot {
        let slot = Slot::of(until, now);
        *self.at(slot, now) += weight;
        slot
    }

    /// Takes holds back that were added; nothing where they have run out.
    pub fn remove(&mut self, weight: f64, slot: Slot, now: f64) {
        if slot.end() > now {
            let sum = self.at(slot, now);
            *sum = (*sum - weight).max(0.0);
        }
    }

    fn at(&mut self, slot: Slot, now: f64) -> &mut f64 {
        self.expire(now);
        let place = usize::from(slot.level);
        if self.levels.len() <= place {
            self.levels.resize(place + 1, Level::default());
        }
        let level = &mut self.levels[place];
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
        if now < self.next {
            return;
        }
        for (place, level) in self.levels.iter_mut().enumerate() {
            while !level.sums.is_empty() && f64::from(level.first) * width(place) <= now {
                level.sums.pop_front();
                level.first += 1;
            }
        }
        // Ends are whole numbers of the finest slot.
        self.next = ((now / FINEST).floor() + 1.0) * FINEST;
    }

    /// Queries a second that are held now.
    pub fn sum(&mut self, now: f64) -> f64 {
        self.expire(now);
        self.levels.iter().flat_map(|level| &level.sums).fold(0.0, |sum, held| sum + held)
    }

    /// When the last holder has let go, s; none where nothing is held.
    pub fn last_expiry(&mut self, now: f64) -> Option<f64> {
        self.expire(now);
        let last = |(place, level): (usize, &Level)| {
            let last = level.sums.iter().rposition(|held| *held > 0.0)?;
            Some(f64::from(level.first + last as u32) * width(place))
        };
        self.levels.iter().enumerate().filter_map(last).max_by(f64::total_cmp)
    }
}
