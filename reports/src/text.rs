//! Parser for the OpenMetrics text format.

/// One line of an exposition.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub name: String,
    /// Names and values, sorted by name.
    pub labels: Vec<(String, String)>,
    pub value: f64,
}

impl Sample {
    pub fn label(&self, name: &str) -> Option<&str> {
        self.labels.iter().find(|(label, _)| label == name).map(|(_, value)| value.as_str())
    }
}

/// The samples of one scrape with finite, non-negative values. Histogram buckets and summary
/// quantiles are left out.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    pub samples: Vec<Sample>,
}

impl Exposition {
    /// Parses an exposition. Fails if it is malformed or truncated, that is, does not end in `# EOF`. Nothing of a
    /// truncated exposition is used, as its last value may have lost digits; the next complete scrape covers its time.
    pub fn parse(bytes: &[u8]) -> Result<Exposition, String> {
        let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8: {e}"))?;
        if text.trim_end().lines().last() != Some("# EOF") {
            return Err("truncated exposition: the last line is not # EOF".to_string());
        }
        let lines = text.lines().filter(|line| *line != "# EOF").map(|line| Ok(line.to_string()));
        let scrape = prometheus_parse::Scrape::parse(lines).map_err(|e| format!("not OpenMetrics: {e}"))?;
        let sample = |s: prometheus_parse::Sample| {
            use prometheus_parse::Value;
            let (Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value)) = s.value else {
                return None;
            };
            let labels = s.labels.iter().map(|(name, value)| (name.clone(), value.clone()));
            let mut labels: Vec<(String, String)> = labels.collect();
            labels.sort();
            (value.is_finite() && value >= 0.0).then_some(Sample { name: s.metric, labels, value })
        };
        Ok(Exposition { samples: scrape.samples.into_iter().filter_map(sample).collect() })
    }
}
