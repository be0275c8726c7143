//! Admission control: the share of all queries that is let in, and the levels of each class that follow from
//! it.

use super::{Balancer, DEMAND_DECAY, MIN_RELATIVE_CHANGE, SERVER_DECAY, SETTLING_TIME, STALE_AFTER};
use crate::round::{LevelKind, NO_LIMIT, NO_RETRY, RETRY_UNPROCESSED};
use crate::state::{Level, Proxy};
use crate::sums::{effective_span, weighted_median};

/// Ratio; pressure (the median server's response time, failures included, over the due time) above which the
/// admission limit falls.
const HIGH_PRESSURE: f64 = 0.4;
/// Ratio; pressure below which the admission limit rises.
const LOW_PRESSURE: f64 = 0.35;
/// s; delay between a change of the admission limit and its effect on measurements: decay time of the sums
/// plus the delay of reports.
const ADMISSION_LAG: f64 = 6.0;
/// Share of the answered rate that is admitted under high pressure, so that queues drain.
const ADMISSION_DECREASE: f64 = 0.95;
/// Ratio; increase of the admitted rate in one cycle under low pressure.
const ADMISSION_INCREASE: f64 = 1.1;
/// Share of the observed capacity that is admitted even under pressure.
const MIN_ADMISSION_SHARE: f64 = 0.5;
/// Share; levels are rounded to multiples of this.
const LEVEL_STEP: f64 = 0.05;

/// Admission level of each class when the share `admitted` of all queries is let in, the most beneficial
/// classes first. Where demand by class is unknown, each class gets that share; otherwise everything would be
/// let in.
pub fn admission_levels(admitted: f64, benefit: &[f64], demand: &[f64]) -> Vec<f64> {
    if demand.iter().all(|class| *class <= 0.0) {
        return vec![admitted.clamp(0.0, 1.0); benefit.len()];
    }
    let mut by_benefit: Vec<usize> = (0..benefit.len()).collect();
    by_benefit.sort_by(|&a, &b| benefit[b].total_cmp(&benefit[a]));
    let mut remaining = admitted * demand.iter().sum::<f64>();
    let mut levels = vec![1.0; benefit.len()];
    for class in by_benefit {
        if admitted < 1.0 && demand[class] > 0.0 {
            levels[class] = (remaining / demand[class]).clamp(0.0, 1.0);
            remaining -= demand[class] * levels[class];
        }
    }
    levels
}

impl Balancer {
    /// Updates the admission limit. It falls while answers are late or missing and rises again afterwards. A
    /// failed try counts as one that took the whole due time, as an overloaded fleet may refuse quickly.
    pub(super) fn update_admission(&mut self, now: f64) {
        let usual_rate: f64 = self.proxies.values().filter(|p| p.joined).map(|p| p.rate).sum();
        // Proxies that move over from another pilot bring their share of the load with them, while the
        // answered rate so far covers only the earlier proxies. The limit is scaled so that the same share is
        // admitted until reports say more. If the new proxies bring an overload of their own, this admits too
        // much.
        let growth = if self.admission.usual_rate.min(usual_rate) > 0.0 {
            usual_rate / self.admission.usual_rate
        } else {
            1.0
        };
        self.admission.usual_rate = usual_rate;
        self.admission.limit *= growth;
        if growth > 1.0 + MIN_RELATIVE_CHANGE {
            self.admission.usual_grew_at = Some(now);
        }
        let usual_settled = self.admission.usual_grew_at.is_none_or(|at| now - at > SETTLING_TIME);
        let answers: f64 = self.servers.values().map(|s| s.answers.read(now)).sum();
        let failed: f64 = self.servers.values().map(|s| s.failed.read(now)).sum();
        let warm_size: f64 = self.sum_by_zone(|s| s.size * self.warm_share(s, now)).iter().sum();
        let due_time = self.classes.iter().map(|c| c.due_time).sum::<f64>() / self.classes.len() as f64;
        // The median server tells an overload from the failure of a few servers. Trust handles the latter, so
        // each server is weighted by its trust. Unweighted, the dead servers of a lost zone would move the
        // median to the slowest that live and look like an overload. An overload of the remaining servers is
        // detected later for it.
        let measured = self.servers.values().filter(|s| s.is_ready() && s.tries.read(now) >= 1.0);
        let pressures = measured.map(|s| {
            let (answers, failed) = (s.answers.read(now), s.failed.read(now));
            let pressure =
                (s.total_time.read(now) / due_time + failed) / (answers + failed).max(f64::MIN_POSITIVE);
            (pressure, s.trust.min(1.0))
        });
        self.admission.pressure = weighted_median(pressures.collect()).unwrap_or(0.0);
        let Some(since) = self.times.first_report_at else { return };
        let period = self.site.report_period;
        let span = effective_span(SERVER_DECAY, period, now - since + period);
        let (answered, offered) = (answers / span, self.demand(false, now).iter().sum::<f64>());
        if warm_size > 0.0 {
            self.admission.observed_capacity = self.admission.observed_capacity.max(answered / warm_size);
        }
        self.admission.completed_tries = (answers + failed) / span;
        if self.admission.pressure > HIGH_PRESSURE && usual_settled {
            let minimum = MIN_ADMISSION_SHARE * self.capacity_per_size(now) * warm_size;
            self.admission.limit =
                self.admission.limit.min(offered).min((answered * ADMISSION_DECREASE).max(minimum));
        } else if self.admission.pressure < LOW_PRESSURE {
            // Growth while nothing is refused or late is no overload.
            self.admission.limit *=
                if self.admission.admitted < 1.0 { ADMISSION_INCREASE } else { f64::INFINITY };
        }
        // Refused clients retry and are refused again, so the offered rate grows with refusals. The rate of
        // completed tries over the share admitted at that time estimates the number of original queries.
        self.admission.lagged_admitted += (self.admission.admitted - self.admission.lagged_admitted)
            * (self.cycle_length() / ADMISSION_LAG).min(1.0);
        let first_tries = (self.admission.completed_tries / self.admission.lagged_admitted).min(offered);
        let clients = (first_tries + (offered - first_tries) * self.admission.lagged_admitted).max(1.0);
        self.admission.limit = self.admission.limit.clamp(1.0, clients * ADMISSION_INCREASE);
        self.admission.admitted = (self.admission.limit / clients).min(1.0);
    }

    /// Level and retry mode of each class for the proxies of a table.
    pub(super) fn target_levels(&self, table: usize, admissible: f64, now: f64) -> Vec<Level> {
        let received = |only_table: Option<usize>, class: usize| -> f64 {
            let selected =
                |p: &&Proxy| p.joined && only_table.is_none_or(|table| self.table_index(p) == table);
            self.proxies
                .values()
                .filter(selected)
                .filter_map(|p| p.received.get(class))
                .map(|c| c.read(now))
                .sum()
        };
        let demand: Vec<f64> = (0..self.classes.len()).map(|class| received(None, class)).collect();
        let benefit: Vec<f64> = self.classes.iter().map(|c| c.benefit).collect();
        // A retry helps when a few servers are bad and feeds an overload. The first reports cover only the
        // fastest answers and can't tell the two apart.
        let retry = if self.is_settled(now) && self.admission.pressure < HIGH_PRESSURE {
            RETRY_UNPROCESSED
        } else {
            NO_RETRY
        };
        // A small level is not rounded to zero: below one step it is rounded down to a half, a quarter and so on.
        let rounded = |level: f64| match level / LEVEL_STEP {
            steps if steps > 0.0 && steps < 1.0 => LEVEL_STEP * steps.log2().floor().exp2(),
            steps => steps.round() * LEVEL_STEP,
        };
        let proxies =
            self.proxies.values().filter(|p| p.joined && self.table_index(p) == table).count().max(1) as f64;
        let span = effective_span(DEMAND_DECAY, self.site.report_period, STALE_AFTER);
        let offered = |class: usize| match demand.iter().any(|class| *class > 0.0) {
            true => received(Some(table), class) / span,
            // Before usage is reported, a proxy's whole rate may fall into any class.
            false => self.demand(true, now)[table] / demand.len() as f64,
        };
        let levels = admission_levels(self.admission.admitted.min(admissible), &benefit, &demand)
            .into_iter()
            .enumerate();
        let levels = levels.map(|(class, level)| match self.site.level_kind {
            LevelKind::Share => rounded(level),
            LevelKind::Rate if level < 1.0 => (level * offered(class) / proxies).ceil(),
            LevelKind::Rate => NO_LIMIT,
            LevelKind::Ignored => 1.0,
        });
        levels.map(|admitted| Level { admitted, retry }).collect()
    }
}
