//! A table's lines made ready for reading: sorted, with running sums of the weights, so that a draw by
//! weight costs a search and a copy nothing.

use oatlever::round::Address;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub server: Address,
    pub weight: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedIndex {
    lines: Vec<Line>,
    /// The sum of the weights up to and with each line.
    upto: Vec<f64>,
}

impl WeightedIndex {
    /// Lines in order of server; those that weigh nothing, or no finite number, are left out.
    pub fn new(lines: impl IntoIterator<Item = (Address, f64)>) -> Self {
        let kept = lines.into_iter().filter(|(_, weight)| *weight > 0.0 && weight.is_finite());
        let lines: Vec<Line> = kept.map(|(server, weight)| Line { server, weight }).collect();
        let mut sum = 0.0;
        let upto = lines.iter().map(|line| {
            sum += line.weight;
            sum
        });
        WeightedIndex { upto: upto.collect(), lines }
    }

    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Sum of all weights.
    pub fn total_weight(&self) -> f64 {
        self.upto.last().copied().unwrap_or(0.0)
    }

    /// The line at a part of the whole, from 0 up to 1.
    pub fn at_fraction(&self, part: f64) -> Option<&Line> {
        let target = part * self.total_weight();
        let place = self.upto.partition_point(|sum| *sum <= target);
        self.lines.get(place.min(self.lines.len().saturating_sub(1)))
    }

    /// Up to `most` different lines. The first lies at `part`, so that those who keep one spread by weight;
    /// each further one is drawn by weight from what is left, with `chance`.
    pub fn sample(&self, most: usize, part: f64, mut chance: impl FnMut() -> f64) -> Vec<Line> {
        let Some(first) = self.at_fraction(part) else { return Vec::new() };
        let mut drawn = vec![*first];
        let mut left = self.total_weight() - first.weight;
        while drawn.len() < most.min(self.lines.len()) {
            // A draw from all that is thrown away where it hits one drawn before is a draw from what is left; where
            // the drawn ones weigh nearly everything it would be thrown away for long.
            let fresh = |line: &&Line| !drawn.iter().any(|d| d.server == line.server);
            let found =
                (0..TRIES).find_map(|_| self.at_fraction(chance()).copied().filter(|line| fresh(&line)));
            if let Some(line) = found {
                left -= line.weight;
                drawn.push(line);
                continue;
            }
            let mut target = chance() * left;
            let open = self.lines.iter().filter(|line| !drawn.iter().any(|d| d.server == line.server));
            let mut found = None;
            for line in open {
                found = Some(*line);
                target -= line.weight;
                if target < 0.0 {
                    break;
                }
            }
            let Some(line) = found else { break };
            left -= line.weight;
            drawn.push(line);
        }
        drawn
    }
}

/// Draws that may hit one drawn before, until what is left is walked through.
const TRIES: usize = 8;

/// Parts from 0 to 1 that spread evenly however many are taken: steps by the golden section.
#[derive(Clone, Copy, Debug)]
pub struct GoldenSequence(f64);

/// Part; the fraction of the golden section, which no short run of steps comes back to.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

impl GoldenSequence {
    pub fn new(part: f64) -> Self {
        GoldenSequence(part.rem_euclid(1.0))
    }

    pub fn next_fraction(&mut self) -> f64 {
        self.0 = (self.0 + GOLDEN).fract();
        self.0
    }
}
