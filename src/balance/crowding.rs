//! Capacity factors of crowded zones.

use super::{Balancer, DISTRUST_THRESHOLD};
use crate::state::Server;

/// Ratio; a zone with more queries in flight per unit of weight than this multiple of the fleet's mean is
/// crowded (design).
const CROWDED_RATIO: f64 = 1.5;
/// Share; change of a crowded zone's capacity factor in one cycle. The effect of a spill shows two cycles
/// later.
const CROWDING_STEP: f64 = 0.35;

impl Balancer {
    /// Updates the capacity factor of each zone. For a crowded zone it moves towards the ratio of the fleet's
    /// mean number of queries in flight to the zone's own, by a fraction each cycle, as the effect of a spill
    /// shows late.
    pub(super) fn update_crowding(&mut self, now: f64) {
        let is_counted = |s: &Server| s.answers.read(now) > 0.0 && s.trust > DISTRUST_THRESHOLD;
        let in_flight = self.sum_by_zone(|s| if is_counted(s) { s.total_time.read(now) } else { 0.0 });
        let weight = self.sum_by_zone(|s| if is_counted(s) { s.weight } else { 0.0 });
        let mean = in_flight.iter().sum::<f64>() / weight.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        for zone in 0..in_flight.len() {
            let own = in_flight[zone] / weight[zone].max(f64::MIN_POSITIVE);
            let factor = if own > CROWDED_RATIO * mean && mean > 0.0 { mean / own } else { 1.0 };
            self.crowding[zone] += (factor - self.crowding[zone]) * CROWDING_STEP;
        }
    }
}
