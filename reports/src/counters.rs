//! Increases of a target's counters between two scrapes.
//!
//! A failed scrape loses nothing: the next one covers its time as well. A counter that decreased or disappeared
//! means that the target restarted. How much it counted in between is unknown, so no increase is reported for that
//! time (a zero would be a measurement that nobody made), and the scrape becomes the new baseline.

use crate::text::{Exposition, Sample};
use std::collections::HashMap;

/// Metric name and labels.
type Series = (String, Vec<(String, String)>);

/// The counters of one target as of its last scrape.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// When the last scrape was started, in seconds, and the values that it returned.
    last: Option<(f64, HashMap<Series, f64>)>,
}

/// Increase of a target's counters between two scrapes.
#[derive(Clone, Debug, PartialEq)]
pub struct Increase {
    /// Time between the scrapes.
    pub seconds: f64,
    /// The samples of the later scrape, each with the increase as its value.
    pub samples: Vec<Sample>,
}

/// Whether the metric is monotonic during the life of a process.
fn is_counter(name: &str) -> bool {
    ["_total", "_sum", "_count"].iter().any(|suffix| name.ends_with(suffix))
}

impl Counters {
    /// Takes in a scrape started at `at` (seconds) and returns the increase since the previous one. The number of
    /// series kept is bounded by the size limit of an exposition.
    pub fn update(&mut self, exposition: &Exposition, at: f64) -> Option<Increase> {
        let counters = exposition.samples.iter().filter(|sample| is_counter(&sample.name));
        let current: HashMap<Series, f64> =
            counters.clone().map(|s| ((s.name.clone(), s.labels.clone()), s.value)).collect();
        let last = self.last.replace((at, current));
        let (last_at, previous) = last?;
        let (_, current) = self.last.as_ref()?;
        // A series that disappeared shows a restart just as one that decreased.
        let reset = previous.iter().any(|(series, value)| current.get(series).is_none_or(|now| now < value));
        if reset || at <= last_at {
            return None;
        }
        let increases = counters.map(|sample| {
            let series = (sample.name.clone(), sample.labels.clone());
            Sample { value: sample.value - previous.get(&series).unwrap_or(&0.0), ..sample.clone() }
        });
        Some(Increase { seconds: at - last_at, samples: increases.collect() })
    }
}
