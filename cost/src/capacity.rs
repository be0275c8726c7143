//! What servers can carry, learnt from how they fare: queries a second for a unit of weight.
//!
//! A rate that is answered is proven; how much more there is shows only by asking for more. So the figure follows
//! how long the fullest zones take: up while that is well under what is allowed, down while it is over, each in
//! proportion, as a step that is too large swings from one zone to the next. It never falls under what is
//! answered: servers that are past what they can do answer just that.

use std::collections::BTreeMap;

/// Part of the figure; a zone asked for so much tells whether it is right.
const BUSY: f64 = 0.7;
/// Times the usual time of a zone's answers that plans aim at: queries wait, and not for long. With a few cores a
/// server, that is at about five sixths of what it can do.
const SLOW: f64 = 2.5;
/// Part of the tightest due time that they aim at, at most.
const LATE: f64 = 0.5;
/// Part of a busy zone's tries that fail and count for as much as being slow twice over.
const FAILING: f64 = 0.05;
/// Parts a second that the figure falls by where answers take twice as long as allowed or longer, and rises by
/// where they take half of that. What is ordered shows some six seconds later, and nearly full servers take ten
/// more to show it: by then it must not have risen by more than a tenth.
const DOWN: f64 = 0.03;
const UP: f64 = 0.006;
/// The same before any zone was ever near what is allowed: what was seen first may be a quiet night.
const SEARCH: f64 = 0.03;
/// Part of the allowed time; nearer, the search is over.
const NEAR: f64 = 0.7;
/// Part of what is answered that the figure does not fall under.
const ANSWERED: f64 = 0.9;
/// s; rates and times fade over this, a few reports.
const SPAN: f64 = 4.0;
/// s; the usual time forgets half of its lead over what is seen in this: classes and software change.
const USUAL_HALF: f64 = 300.0;
/// Times the figure that was stated or first seen, either way, that it may go to.
const RANGE: f64 = 10.0;

/// What came of a zone's servers in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Weight of its servers, cold ones by the part that they have warmed.
    pub weight: f64,
    /// Queries a second.
    pub answered: f64,
    pub failed: f64,
    /// s, mean of the answered ones; 0 where none was.
    pub time: f64,
}

#[derive(Clone, Copy, Debug)]
struct ZoneServers {
    /// Queries a second for a unit of weight, faded.
    load: f64,
    failed: f64,
    time: f64,
    usual: f64,
    at: f64,
}

#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    stated: Option<f64>,
    /// s; answers should take no longer.
    most_time: f64,
    /// What it began with.
    first: Option<f64>,
    figure: Option<f64>,
    zones: BTreeMap<usize, ZoneServers>,
    at: f64,
    /// Some zone was near what is allowed before.
    found: bool,
}

impl CapacityEstimator {
    /// `stated` is what the operators say that a unit of weight carries at most, queries a second; `due_time` the
    /// tightest of all classes, s.
    pub fn new(stated: Option<f64>, due_time: Option<f64>) -> Self {
        let most_time = due_time.map_or(f64::INFINITY, |due_time| due_time * LATE);
        CapacityEstimator { stated, most_time, first: stated, figure: stated, ..CapacityEstimator::default() }
    }

    /// Queries a second for a unit of weight; none before anything was seen or stated.
    pub fn estimate(&self) -> Option<f64> {
        self.figure
    }

    /// Takes in a report, by zone.
    pub fn observe(&mut self, met: &BTreeMap<usize, ZoneObservation>, now: f64) {
        let since = if self.at > 0.0 { (now - self.at).clamp(0.0, SPAN) } else { 0.0 };
        self.at = now;
        for (place, met) in met.iter().filter(|(_, met)| met.weight > 0.0) {
            let load = met.answered / met.weight;
            let failed = met.failed / (met.answered + met.failed).max(f64::MIN_POSITIVE);
            let time = if met.time > 0.0 { Some(met.time) } else { None };
            let Some(zone) = self.zones.get_mut(place) else {
                let time = time.unwrap_or(0.0);
                self.zones.insert(*place, ZoneServers { load, failed, time, usual: time, at: now });
                continue;
            };
            let new = 1.0 - (-(now - zone.at).max(0.0) / SPAN).exp();
            zone.load += (load - zone.load) * new;
            zone.failed += (failed - zone.failed) * new;
            if let Some(time) = time {
                zone.time += (time - zone.time) * new;
                let back = 1.0 - 0.5_f64.powf((now - zone.at) / USUAL_HALF);
                let usual = if zone.usual > 0.0 { zone.usual } else { zone.time };
                zone.usual = (usual + (zone.time - usual) * back).min(zone.time);
            }
            zone.at = now;
        }
        self.zones.retain(|place, _| met.contains_key(place));
        let most = self.zones.values().map(|zone| zone.load).fold(0.0, f64::max);
        let Some(figure) = self.figure else {
            if most > 0.0 {
                (self.first, self.figure) = (Some(most), Some(most));
            }
            return;
        };
        let busy: Vec<&ZoneServers> = self.zones.values().filter(|zone| zone.load >= BUSY * figure).collect();
        if busy.is_empty() {
            // What was stated is gone back to where nobody tells otherwise.
            self.figure = self.stated.map(|stated| figure + (stated - figure) * DOWN * since).or(self.figure);
            return;
        }
        let way = |zone: &&ZoneServers| {
            let allowed = (SLOW * zone.usual).min(self.most_time).max(f64::MIN_POSITIVE);
            (1.0 - zone.time / allowed - zone.failed / FAILING).clamp(-1.0, 0.5)
        };
        let way = busy.iter().map(way).sum::<f64>() / busy.len() as f64;
        let found = self.found || way < 1.0 - NEAR;
        let answered = ANSWERED * busy.iter().map(|zone| zone.load).fold(0.0, f64::max);
        let first = self.first.unwrap_or(figure);
        let pace = match way {
            way if way <= 0.0 => DOWN,
            _ if found => 2.0 * UP,
            _ => 2.0 * SEARCH,
        };
        let next = (figure * (pace * way * since).exp()).max(answered);
        // The operators may have reasons that times don't show.
        let most = self.stated.unwrap_or(first * RANGE);
        self.figure = Some(next.clamp(first / RANGE, most));
        self.found = found;
    }
}
