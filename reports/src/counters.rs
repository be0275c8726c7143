//! What a target's counters gained from one reading to the next.
//!
//! A reading that was missed is made up by the next. Where any counter has fallen the target has started
//! anew: what it met in between is not known, so nothing is reported of that time rather than a zero that
//! nobody measured, and the reading is where counting starts again.

use crate::text::{Exposition, Sample};
use std::collections::HashMap;

type Series = (String, Vec<(String, String)>);

#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// When the last reading was asked for, and what it said.
    last: Option<(f64, HashMap<Series, f64>)>,
}

/// What came between two readings.
#[derive(Clone, Debug, PartialEq)]
pub struct Increase {
    /// s between the readings.
    pub seconds: f64,
    /// As in the text, with what was gained as value.
    pub samples: Vec<Sample>,
}

/// Whether a sample's value only grows while its process lives.
fn is_counter(name: &str) -> bool {
    ["_total", "_sum", "_count"].iter().any(|ending| name.ends_with(ending))
}

impl Counters {
    /// Takes in a reading asked for at `at`, s. Series of one process are bounded by the text's size.
    pub fn update(&mut self, text: &Exposition, at: f64) -> Option<Increase> {
        let counters = text.samples.iter().filter(|sample| is_counter(&sample.name));
        let fresh: HashMap<Series, f64> =
            counters.clone().map(|s| ((s.name.clone(), s.labels.clone()), s.value)).collect();
        let last = self.last.replace((at, fresh));
        let (before, old) = last?;
        let (_, fresh) = self.last.as_ref()?;
        // A series that went missing says as much as one that fell.
        let fell = old.iter().any(|(series, value)| fresh.get(series).is_none_or(|now| now < value));
        if fell || at <= before {
            return None;
        }
        let gained = counters.map(|sample| {
            let series = (sample.name.clone(), sample.labels.clone());
            Sample { value: sample.value - old.get(&series).unwrap_or(&0.0), ..sample.clone() }
        });
        Some(Increase { seconds: at - before, samples: gained.collect() })
    }
}
