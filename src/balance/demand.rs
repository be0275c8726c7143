//! Estimates of the demand by table, and of the capacity of a unit of server size.

use super::{Balancer, DEMAND_DECAY};
use crate::state::Proxy;
use crate::sums::effective_span;

/// s; a proxy's stated usual rate counts as a measurement of this length when its stream comes up.
const USUAL_RATE_SPAN: f64 = 4.0;
/// Share of the longest list seen; a shorter list does not raise the capacity estimate of its servers beyond
/// that of a list of this length.
const SHORT_LIST_SHARE: f64 = 0.4;
/// Queries a second assumed for a proxy that states no rate, until its usage is reported. Only ratios matter
/// until then.
const DEFAULT_PROXY_RATE: f64 = 1.0;

impl Balancer {
    /// Queries a second by table. With `at_least_usual`, for limits that must not be exceeded, no proxy
    /// counts less than its stated usual rate.
    pub(super) fn demand(&self, at_least_usual: bool, now: f64) -> Vec<f64> {
        let mut demand = vec![0.0; self.tables.len()];
        for proxy in self.proxies.values().filter(|p| p.joined) {
            let measured = self.measured_rate(proxy, now);
            demand[self.table_index(proxy)] +=
                if at_least_usual { measured.max(proxy.rate) } else { measured };
        }
        demand
    }

    /// Queries a second of a proxy by its reports. A proxy that has just joined is estimated by its usual
    /// rate until reports outweigh it.
    fn measured_rate(&self, proxy: &Proxy, now: f64) -> f64 {
        let Some(since) = proxy.measured_since else {
            return if proxy.rate > 0.0 { proxy.rate } else { DEFAULT_PROXY_RATE };
        };
        let age = (now - since).max(0.0);
        let received: f64 = proxy.received.iter().map(|c| c.read(now)).sum();
        let span = effective_span(DEMAND_DECAY, self.site.report_period, age);
        let usual_span = if proxy.rate > 0.0 { USUAL_RATE_SPAN * (-age / DEMAND_DECAY).exp() } else { 0.0 };
        (received + proxy.rate * usual_span) / (span + usual_span)
    }

    /// Queries a second that the joined proxies usually bring, as stated. Proxies that state no rate count as
    /// measured.
    fn usual_demand(&self, now: f64) -> f64 {
        let usual = |p: &Proxy| if p.rate > 0.0 { p.rate } else { self.measured_rate(p, now) };
        self.proxies.values().filter(|p| p.joined).map(usual).sum()
    }

    /// Queries a second that a unit of server size can carry: the measured maximum, or what the fleet needs
    /// to carry for the usual demand.
    ///
    /// Without the latter, cold servers have no budget until tries are reported, and where all servers are
    /// cold no tries happen. It is computed anew each time: remembered from a short list, it would credit
    /// each server with the capacity of the fleet.
    pub(super) fn capacity_per_size(&self, now: f64) -> f64 {
        let total_size: f64 = self.sum_by_zone(|s| s.size).iter().sum();
        let total_size =
            total_size.max(self.admission.max_listed_size * SHORT_LIST_SHARE).max(f64::MIN_POSITIVE);
        self.admission.observed_capacity.max(self.usual_demand(now) / total_size)
    }
}
