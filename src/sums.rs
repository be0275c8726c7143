//! Exponentially decaying sums, brought up to date when they are read or added to, and medians.

/// An exponentially decaying sum.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    span: f64,
    sum: f64,
    at: f64,
}

impl DecayingSum {
    /// A sum that decays by a factor of e every `span` seconds.
    pub fn new(span: f64) -> Self {
        DecayingSum { span, sum: 0.0, at: 0.0 }
    }

    pub fn add(&mut self, now: f64, amount: f64) {
        self.sum = self.read(now) + amount;
        self.at = now;
    }

    /// The sum as decayed until `now`.
    pub fn read(&self, now: f64) -> f64 {
        if self.sum == 0.0 {
            return 0.0;
        }
        self.sum * (-(now - self.at).max(0.0) / self.span).exp()
    }
}

/// The length of time that a decaying sum covers, right after the last of the amounts that were added every
/// `period` for `age` seconds. The sum divided by it is the rate.
pub fn effective_span(span: f64, period: f64, age: f64) -> f64 {
    let decayed = |time: f64| 1.0 - (-time / span).exp();
    let period = period.max(1e-3);
    period * decayed(age.max(period)) / decayed(period)
}

/// The median; of an even number of values, the upper of the middle two.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The smallest value at which the values up to it have half of the total weight, from pairs of value and
/// weight.
pub fn weighted_median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut remaining = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let found = values.iter().find(|(_, weight)| {
        remaining -= weight;
        remaining <= 0.0
    });
    found.map(|(value, _)| *value)
}

/// The index of the smallest value. Ties are broken by `rng`.
pub fn argmin(values: &[f64], mut rng: impl FnMut() -> f64) -> usize {
    let keyed = values.iter().enumerate().map(|(index, value)| (*value, rng(), index));
    keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))).map_or(0, |found| found.2)
}
