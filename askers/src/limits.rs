//! Response rate limiting per source prefix, in bounded memory.
//!
//! Each prefix has a token bucket. Buckets are kept in a set-associative table; when a set is full, a new
//! prefix replaces the fullest bucket, since a full bucket holds no state that matters. A flood from many
//! new prefixes therefore evicts idle prefixes, never those that are being limited.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What to do with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    Answer,
    /// Over the limit: send a truncated answer, so that a genuine client retries over TCP.
    Truncate,
    /// Over the limit: send nothing.
    Drop,
}

/// One in this many queries over the limit gets a truncated answer: often enough for a genuine client to fall
/// back to TCP, too seldom to be useful for reflection with forged sources.
const SLIP: u32 = 2;
/// Buckets per set: few enough to search linearly, enough that busy prefixes seldom share a set.
const WAYS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    prefix: u32,
    /// Tokens at the time `updated_at`.
    tokens: f64,
    updated_at: f64,
    /// Number of queries over the limit so far.
    over_limit: u32,
}

/// A token-bucket rate limiter keyed by source prefix.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    mask: u32,
    key: (u64, u64),
    sets: Vec<Vec<Bucket>>,
}

impl RateLimiter {
    /// Allows each prefix of `bits` bits `rate` answers per second and bursts of `burst`, tracking at most
    /// `max_prefixes` prefixes. The hash key keeps clients from choosing whose set they share.
    pub fn new(rate: f64, burst: f64, bits: u8, max_prefixes: usize, key: (u64, u64)) -> Self {
        let mask = u32::MAX.checked_shl(32 - u32::from(bits.min(32))).unwrap_or(0);
        RateLimiter { rate, burst, mask, key, sets: vec![Vec::new(); max_prefixes.div_ceil(WAYS).max(1)] }
    }

    /// Decides on one query from `source` and takes a token if it may be answered.
    pub fn check(&mut self, source: std::net::Ipv4Addr, now: f64) -> RateDecision {
        let prefix = u32::from(source) & self.mask;
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write_u32(prefix);
        let set_index = (hasher.finish() % self.sets.len() as u64) as usize;
        let (rate, burst) = (self.rate, self.burst);
        let tokens = |b: &Bucket| (b.tokens + (now - b.updated_at).max(0.0) * rate).min(burst);
        let set = &mut self.sets[set_index];
        let slot = set.iter().position(|b| b.prefix == prefix).unwrap_or_else(|| {
            let new_bucket = Bucket { prefix, tokens: burst, updated_at: now, over_limit: 0 };
            if set.len() < WAYS {
                set.push(new_bucket);
                return set.len() - 1;
            }
            let fullest = (0..set.len()).max_by(|a, b| tokens(&set[*a]).total_cmp(&tokens(&set[*b])));
            let fullest = fullest.unwrap_or(0);
            set[fullest] = new_bucket;
            fullest
        });
        let bucket = &mut set[slot];
        let available = tokens(bucket);
        bucket.updated_at = now;
        if available >= 1.0 {
            bucket.tokens = available - 1.0;
            return RateDecision::Answer;
        }
        bucket.tokens = available;
        bucket.over_limit = bucket.over_limit.wrapping_add(1);
        if bucket.over_limit.is_multiple_of(SLIP) {
            RateDecision::Truncate
        } else {
            RateDecision::Drop
        }
    }

    /// Number of prefixes currently tracked.
    pub fn prefix_count(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }
}
