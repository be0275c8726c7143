//! An index over a table's lines for weighted sampling: sorted lines with cumulative weights, so that a
//! sample costs a binary search and no copy.

use oatlever::round::Address;

/// A server of a table and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub server: Address,
    pub weight: f64,
}

/// The lines of a table with their cumulative weights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedIndex {
    lines: Vec<Line>,
    /// The sum of the weights up to and including each line.
    cumulative: Vec<f64>,
}

impl WeightedIndex {
    /// Builds an index of lines that are sorted by server; lines whose weight is not positive and finite are
    /// omitted.
    pub fn new(lines: impl IntoIterator<Item = (Address, f64)>) -> Self {
        let usable = lines.into_iter().filter(|(_, weight)| *weight > 0.0 && weight.is_finite());
        let lines: Vec<Line> = usable.map(|(server, weight)| Line { server, weight }).collect();
        let mut sum = 0.0;
        let cumulative = lines.iter().map(|line| {
            sum += line.weight;
            sum
        });
        WeightedIndex { cumulative: cumulative.collect(), lines }
    }

    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn total_weight(&self) -> f64 {
        self.cumulative.last().copied().unwrap_or(0.0)
    }

    /// The line at a fraction of the total weight, from 0 up to 1.
    pub fn at_fraction(&self, fraction: f64) -> Option<&Line> {
        let target = fraction * self.total_weight();
        let position = self.cumulative.partition_point(|sum| *sum <= target);
        self.lines.get(position.min(self.lines.len().saturating_sub(1)))
    }

    /// Samples up to `max` different lines. The first is the line at `fraction`, so that clients that use
    /// only the first spread by weight; each further one is sampled by weight from the remaining lines.
    pub fn sample(&self, max: usize, fraction: f64, mut random: impl FnMut() -> f64) -> Vec<Line> {
        let Some(first) = self.at_fraction(fraction) else { return Vec::new() };
        let mut selected = vec![*first];
        let mut remaining_weight = self.total_weight() - first.weight;
        while selected.len() < max.min(self.lines.len()) {
            // Rejection sampling from all lines, rejecting selected ones. If those have nearly all the
            // weight it would take many tries, so that after a few the remaining lines are scanned instead.
            let is_new = |line: &Line| !selected.iter().any(|other| other.server == line.server);
            let sampled = (0..SAMPLE_TRIES)
                .find_map(|_| self.at_fraction(random()).copied().filter(|line| is_new(line)));
            if let Some(line) = sampled {
                remaining_weight -= line.weight;
                selected.push(line);
                continue;
            }
            let mut target = random() * remaining_weight;
            let mut scanned = None;
            for line in self.lines.iter().filter(|line| is_new(line)) {
                scanned = Some(*line);
                target -= line.weight;
                if target < 0.0 {
                    break;
                }
            }
            let Some(line) = scanned else { break };
            remaining_weight -= line.weight;
            selected.push(line);
        }
        selected
    }
}

/// Random samples that may hit a selected line before the remaining lines are scanned.
const SAMPLE_TRIES: usize = 8;

/// A low-discrepancy sequence of fractions from 0 to 1 by the golden ratio: any number of consecutive ones
/// is evenly spread.
#[derive(Clone, Copy, Debug)]
pub struct GoldenSequence(f64);

/// The fractional part of the golden ratio, the irrational number worst approximated by fractions: no short
/// run of steps returns close to its start.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

impl GoldenSequence {
    pub fn new(start: f64) -> Self {
        GoldenSequence(start.rem_euclid(1.0))
    }

    pub fn next_fraction(&mut self) -> f64 {
        self.0 = (self.0 + GOLDEN).fract();
        self.0
    }
}
