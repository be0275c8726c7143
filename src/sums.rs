//! Sums that fade with time; brought up to date when they are read or added to.

#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    span: f64,
    sum: f64,
    at: f64,
}

impl DecayingSum {
    /// What is added fades by a factor of e each `span` seconds.
    pub fn new(span: f64) -> Self {
        DecayingSum { span, sum: 0.0, at: 0.0 }
    }

    pub fn add(&mut self, now: f64, amount: f64) {
        self.sum = self.read(now) + amount;
        self.at = now;
    }

    pub fn read(&self, now: f64) -> f64 {
        if self.sum == 0.0 {
            return 0.0;
        }
        self.sum * (-(now - self.at).max(0.0) / self.span).exp()
    }
}

/// The seconds that such a sum stands for, right after one of the amounts that have come each
/// `period` for `age` seconds: sum over seconds is the rate.
pub fn effective_span(span: f64, period: f64, age: f64) -> f64 {
    let faded = |time: f64| 1.0 - (-time / span).exp();
    let period = period.max(1e-3);
    period * faded(age.max(period)) / faded(period)
}

pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The value of which half of all weight lies no higher: pairs of value and weight.
pub fn weighted_median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let found = values.iter().find(|(_, weight)| {
        left -= weight;
        left <= 0.0
    });
    found.map(|(value, _)| *value)
}

/// The place of the least; `rng` decides between equals.
pub fn argmin(values: &[f64], mut rng: impl FnMut() -> f64) -> usize {
    let places = values.iter().enumerate().map(|(place, value)| (*value, rng(), place));
    places.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))).map_or(0, |found| found.2)
}
