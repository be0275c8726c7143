//! What servers can carry, learnt from how they fare: queries a second for a unit of weight.
//!
//! A rate that was answered well is proven; how much more there is shows only by asking for more. So the figure
//! rises slowly while the fullest zones answer as quickly as ever, and falls quickly once they don't.

use std::collections::BTreeMap;

/// Part of the figure; a zone asked for so much tells whether it is right.
const BUSY: f64 = 0.7;
/// Times the usual time of a zone's answers; beyond it, queries wait. With a few cores a server, that is at four
/// fifths of what it can do.
const SLOW: f64 = 2.0;
/// Part of a busy zone's tries that may fail.
const FAILING: f64 = 0.05;
/// Parts a second: down by a third in four seconds, up by a tenth in ten.
const DOWN: f64 = 0.1;
const UP: f64 = 0.01;
/// s; rates and times fade over this, a few reports.
const SPAN: f64 = 4.0;
/// s; the usual time forgets half of its lead over what is seen in this: classes and software change.
const USUAL_HALF: f64 = 300.0;
/// Times the figure that was stated or first seen, either way, that it may go to.
const RANGE: f64 = 10.0;

/// What came of a zone's servers in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Met {
    /// Weight of its servers, cold ones by the part that they have warmed.
    pub weight: f64,
    /// Queries a second.
    pub answered: f64,
    pub failed: f64,
    /// s, mean of the answered ones; 0 where none was.
    pub time: f64,
}

#[derive(Clone, Copy, Debug)]
struct Zone {
    /// Queries a second for a unit of weight, faded.
    load: f64,
    failed: f64,
    time: f64,
    usual: f64,
    at: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Carry {
    stated: Option<f64>,
    /// What it began with.
    first: Option<f64>,
    figure: Option<f64>,
    zones: BTreeMap<usize, Zone>,
    at: f64,
}

impl Carry {
    /// `stated` is what the operators say of a unit of weight, queries a second.
    pub fn new(stated: Option<f64>) -> Self {
        Carry { stated, first: stated, figure: stated, ..Carry::default() }
    }

    /// Queries a second for a unit of weight; none before anything was seen or stated.
    pub fn figure(&self) -> Option<f64> {
        self.figure
    }

    /// Takes in a report, by zone.
    pub fn hear(&mut self, met: &BTreeMap<usize, Met>, now: f64) {
        let since = if self.at > 0.0 { (now - self.at).clamp(0.0, SPAN) } else { 0.0 };
        self.at = now;
        for (place, met) in met.iter().filter(|(_, met)| met.weight > 0.0) {
            let load = met.answered / met.weight;
            let failed = met.failed / (met.answered + met.failed).max(f64::MIN_POSITIVE);
            let time = if met.time > 0.0 { Some(met.time) } else { None };
            let Some(zone) = self.zones.get_mut(place) else {
                let time = time.unwrap_or(0.0);
                self.zones.insert(*place, Zone { load, failed, time, usual: time, at: now });
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
        let busy: Vec<&Zone> = self.zones.values().filter(|zone| zone.load >= BUSY * figure).collect();
        if busy.is_empty() {
            // What was stated is gone back to where nobody tells otherwise.
            self.figure = self.stated.map(|stated| figure + (stated - figure) * UP * since).or(self.figure);
            return;
        }
        let slow = |zone: &&&Zone| zone.time > SLOW * zone.usual || zone.failed > FAILING;
        let strained = busy.iter().filter(slow).count() * 2 >= busy.len();
        let next = match strained {
            true => figure * (1.0 - DOWN * since),
            false => busy.iter().map(|zone| zone.load).fold(figure, f64::max) * (1.0 + UP * since),
        };
        let first = self.first.unwrap_or(next);
        self.figure = Some(next.clamp(first / RANGE, first * RANGE));
    }
}
