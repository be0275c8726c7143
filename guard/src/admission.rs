//! Which part of a table's queries may be let in where not all of them fit.
//!
//! What servers are proven to carry is a lower bound: after a quiet night little is proven, and demand past it
//! alone refuses nobody. Only where tries fail as well is less let in, at once; it comes back by degrees, as
//! what was refused is no longer seen to fail.

use oatlever::balance::admission_levels;

/// Part of all tries; where more fail, servers are past what they can do.
const STRAINED: f64 = 0.05;
/// Part a second by which more is let in again: half of a load is back in ten seconds, well within the time
/// in which reports tell that it fails anew.
const RETURN: f64 = 0.05;

/// The part of a table's queries that is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimit {
    pub share: f64,
    at: f64,
}

impl AdmissionLimit {
    pub fn unlimited(now: f64) -> Self {
        AdmissionLimit { share: 1.0, at: now }
    }

    /// There is room for `fits` of the queries, and `failing` of all tries failed lately.
    pub fn update(&mut self, fits: f64, failing: f64, now: f64) {
        let back = RETURN * (now - self.at).max(0.0);
        self.at = now;
        let strained = failing > STRAINED && fits < 1.0;
        self.share = if strained { self.share.min(fits) } else { (self.share + back).min(1.0) };
    }

    /// Levels by class: the classes of the least benefit are refused first (the design's line of benefit).
    pub fn levels(&self, benefit: &[f64], demand: &[f64]) -> Vec<f64> {
        admission_levels(self.share, benefit, demand)
    }
}
