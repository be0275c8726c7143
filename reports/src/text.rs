//! One OpenMetrics text.

/// A line of the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub name: String,
    /// In order of name.
    pub labels: Vec<(String, String)>,
    pub value: f64,
}

impl Sample {
    pub fn label(&self, name: &str) -> Option<&str> {
        self.labels.iter().find(|(label, _)| label == name).map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Exposition {
    pub samples: Vec<Sample>,
}

impl Exposition {
    /// Reads a text. Errors: it is none, or was cut off: a whole one ends in `# EOF`. A cut one is not
    /// used at all, as its last figure may be a part of the true one; the next whole one covers its time.
    pub fn parse(bytes: &[u8]) -> Result<Exposition, String> {
        let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8: {e}"))?;
        if text.trim_end().lines().last() != Some("# EOF") {
            return Err("cut off: the last line is not # EOF".to_string());
        }
        let lines = text.lines().filter(|line| *line != "# EOF").map(|line| Ok(line.to_string()));
        let read = prometheus_parse::Scrape::parse(lines).map_err(|e| format!("not OpenMetrics: {e}"))?;
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
        Ok(Exposition { samples: read.samples.into_iter().filter_map(sample).collect() })
    }
}
