//! Estimates server capacity from observed latency and failures, in queries per second and unit of weight.
//!
//! A rate that is answered is a lower bound of the capacity; more can only be found by sending more. The estimate
//! is therefore controlled by the latency of the busiest zones: it rises while their latency is well below the
//! target and falls while it is above, in proportion to the distance, because steps that are too large oscillate
//! between zones. It never falls below the answered rate: overloaded servers answer exactly what they can do.

use std::collections::BTreeMap;

/// Fraction of the estimate from which a zone is busy enough to be evidence for or against it.
const BUSY_LOAD: f64 = 0.7;
/// Target latency as a multiple of a zone's baseline, so that queries queue only briefly. With a few cores per
/// server this corresponds to about five sixths of the capacity.
const TARGET_LATENCY_FACTOR: f64 = 2.5;
/// Maximum target latency as a fraction of the shortest due time.
const TARGET_DUE_TIME_SHARE: f64 = 0.5;
/// Fraction of failed tries in a busy zone that weighs as much as a latency of twice the target.
const FAILURE_SCALE: f64 = 0.05;
/// Relative decrease per second at twice the target latency or more, and half the relative increase per second at
/// half the target latency. A plan takes effect some six seconds after it is issued, and nearly full servers take
/// ten more to show it: by then the estimate must not have risen by more than a tenth.
const DECREASE_RATE: f64 = 0.03;
const INCREASE_RATE: f64 = 0.006;
/// Replaces `INCREASE_RATE` until some zone was close to its target: the first observation may come from a quiet
/// night and be far too low.
const SEARCH_RATE: f64 = 0.03;
/// Fraction of the target latency from which the search is over.
const SEARCH_END: f64 = 0.7;
/// Lower limit of the estimate as a fraction of the answered rate.
const ANSWERED_FLOOR: f64 = 0.9;
/// Time constant of the exponential averages, s: a few reports.
const SMOOTHING_TIME: f64 = 4.0;
/// Time in which the baseline latency approaches a higher average by half, s: classes and software change.
const BASELINE_HALF_LIFE: f64 = 300.0;
/// Limits the estimate to this factor above and below the stated or first observed value.
const MAX_FACTOR: f64 = 10.0;

/// Load and results of a zone's servers in one report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Sum of the servers' weights; a cold server counts with the share it has warmed up.
    pub weight: f64,
    /// Queries per second.
    pub answered: f64,
    /// Failed tries per second.
    pub failed: f64,
    /// Mean latency of the answered queries, s; 0 if none were answered.
    pub time: f64,
}

/// Moving averages of a zone.
#[derive(Clone, Copy, Debug)]
struct ZoneState {
    /// Queries per second and unit of weight.
    load: f64,
    failure_rate: f64,
    latency: f64,
    baseline_latency: f64,
    updated_at: f64,
}

/// Estimates the capacity of a unit of server weight.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    stated: Option<f64>,
    /// Upper limit of the target latency, s.
    max_latency: f64,
    /// The stated or first observed value.
    initial: Option<f64>,
    estimate: Option<f64>,
    zones: BTreeMap<usize, ZoneState>,
    updated_at: f64,
    /// Some zone was close to its target latency before.
    search_done: bool,
}

impl CapacityEstimator {
    /// `stated` is the configured maximum in queries per second and unit of weight, `due_time` the shortest due
    /// time of all classes, s.
    pub fn new(stated: Option<f64>, due_time: Option<f64>) -> Self {
        let max_latency = due_time.map_or(f64::INFINITY, |due_time| due_time * TARGET_DUE_TIME_SHARE);
        CapacityEstimator {
            stated,
            max_latency,
            initial: stated,
            estimate: stated,
            ..CapacityEstimator::default()
        }
    }

    /// Queries per second and unit of weight; `None` before the first observation if nothing is configured.
    pub fn estimate(&self) -> Option<f64> {
        self.estimate
    }

    /// Updates the estimate from a report by zone.
    pub fn observe(&mut self, observations: &BTreeMap<usize, ZoneObservation>, now: f64) {
        let elapsed =
            if self.updated_at > 0.0 { (now - self.updated_at).clamp(0.0, SMOOTHING_TIME) } else { 0.0 };
        self.updated_at = now;
        for (index, observation) in observations.iter().filter(|(_, observation)| observation.weight > 0.0) {
            let load = observation.answered / observation.weight;
            let failure_rate =
                observation.failed / (observation.answered + observation.failed).max(f64::MIN_POSITIVE);
            let latency = if observation.time > 0.0 { Some(observation.time) } else { None };
            let Some(zone) = self.zones.get_mut(index) else {
                let latency = latency.unwrap_or(0.0);
                let zone =
                    ZoneState { load, failure_rate, latency, baseline_latency: latency, updated_at: now };
                self.zones.insert(*index, zone);
                continue;
            };
            let weight = 1.0 - (-(now - zone.updated_at).max(0.0) / SMOOTHING_TIME).exp();
            zone.load += (load - zone.load) * weight;
            zone.failure_rate += (failure_rate - zone.failure_rate) * weight;
            if let Some(latency) = latency {
                zone.latency += (latency - zone.latency) * weight;
                let drift = 1.0 - 0.5_f64.powf((now - zone.updated_at) / BASELINE_HALF_LIFE);
                let baseline = if zone.baseline_latency > 0.0 { zone.baseline_latency } else { zone.latency };
                zone.baseline_latency = (baseline + (zone.latency - baseline) * drift).min(zone.latency);
            }
            zone.updated_at = now;
        }
        self.zones.retain(|index, _| observations.contains_key(index));
        let max_load = self.zones.values().map(|zone| zone.load).fold(0.0, f64::max);
        let Some(estimate) = self.estimate else {
            if max_load > 0.0 {
                (self.initial, self.estimate) = (Some(max_load), Some(max_load));
            }
            return;
        };
        let busy: Vec<&ZoneState> =
            self.zones.values().filter(|zone| zone.load >= BUSY_LOAD * estimate).collect();
        if busy.is_empty() {
            // Without evidence, returns to the stated value.
            self.estimate = self
                .stated
                .map(|stated| estimate + (stated - estimate) * DECREASE_RATE * elapsed)
                .or(self.estimate);
            return;
        }
        let slack = |zone: &&ZoneState| {
            let target =
                (TARGET_LATENCY_FACTOR * zone.baseline_latency).min(self.max_latency).max(f64::MIN_POSITIVE);
            (1.0 - zone.latency / target - zone.failure_rate / FAILURE_SCALE).clamp(-1.0, 0.5)
        };
        let slack = busy.iter().map(slack).sum::<f64>() / busy.len() as f64;
        let search_done = self.search_done || slack < 1.0 - SEARCH_END;
        let min_estimate = ANSWERED_FLOOR * busy.iter().map(|zone| zone.load).fold(0.0, f64::max);
        let initial = self.initial.unwrap_or(estimate);
        let rate = match slack {
            slack if slack <= 0.0 => DECREASE_RATE,
            _ if search_done => 2.0 * INCREASE_RATE,
            _ => 2.0 * SEARCH_RATE,
        };
        let next = (estimate * (rate * slack * elapsed).exp()).max(min_estimate);
        // A stated value is never exceeded: it may have reasons that latency doesn't show.
        let max_estimate = self.stated.unwrap_or(initial * MAX_FACTOR);
        self.estimate = Some(next.clamp(initial / MAX_FACTOR, max_estimate));
        self.search_done = search_done;
    }
}
