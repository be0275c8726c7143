//! A limit of answers per source prefix, in bounded memory.
//!
//! Each prefix has a bucket of answers that fills at a steady rate. Buckets stand in sets of a few; a new
//! prefix takes the place of the fullest in its set, as a full bucket says nothing. So a flood from ever
//! new prefixes forgets those that were calm, never those it has to hold back.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What becomes of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    Answer,
    /// Over the limit: a truncated answer, so that who is really there can come by TCP.
    Truncate,
    /// Over the limit: none at all.
    Drop,
}

/// Of the questions over the limit, one in so many is answered truncated: enough for a real host to find
/// its way, too few to be of use against a forged one.
const SLIP: u32 = 2;
/// Places of a set: few enough to look through, enough that busy prefixes seldom share one.
const WAYS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    prefix: u32,
    /// Answers left, at that time.
    left: f64,
    at: f64,
    /// Questions over the limit so far.
    over: u32,
}

#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    mask: u32,
    key: (u64, u64),
    sets: Vec<Vec<Bucket>>,
}

impl RateLimiter {
    /// `rate` answers a second and `burst` at once for each prefix of so many bits, `most` prefixes
    /// remembered. The key keeps outsiders from choosing whom they share a set with.
    pub fn new(rate: f64, burst: f64, bits: u8, most: usize, key: (u64, u64)) -> Self {
        let mask = u32::MAX.checked_shl(32 - u32::from(bits.min(32))).unwrap_or(0);
        RateLimiter { rate, burst, mask, key, sets: vec![Vec::new(); most.div_ceil(WAYS).max(1)] }
    }

    /// What becomes of one more question from this source; an answer is counted.
    pub fn check(&mut self, source: std::net::Ipv4Addr, now: f64) -> RateDecision {
        let prefix = u32::from(source) & self.mask;
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write_u32(prefix);
        let place = (hasher.finish() % self.sets.len() as u64) as usize;
        let (rate, burst) = (self.rate, self.burst);
        let left = |b: &Bucket| (b.left + (now - b.at).max(0.0) * rate).min(burst);
        let set = &mut self.sets[place];
        let found = set.iter().position(|b| b.prefix == prefix).unwrap_or_else(|| {
            let fresh = Bucket { prefix, left: burst, at: now, over: 0 };
            if set.len() < WAYS {
                set.push(fresh);
                return set.len() - 1;
            }
            let fullest = (0..set.len()).max_by(|a, b| left(&set[*a]).total_cmp(&left(&set[*b])));
            let fullest = fullest.unwrap_or(0);
            set[fullest] = fresh;
            fullest
        });
        let bucket = &mut set[found];
        let open = left(bucket);
        bucket.at = now;
        if open >= 1.0 {
            bucket.left = open - 1.0;
            return RateDecision::Answer;
        }
        bucket.left = open;
        bucket.over = bucket.over.wrapping_add(1);
        if bucket.over.is_multiple_of(SLIP) {
            RateDecision::Truncate
        } else {
            RateDecision::Drop
        }
    }

    /// Prefixes remembered now.
    pub fn prefix_count(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }
}
