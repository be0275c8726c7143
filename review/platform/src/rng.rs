//! A small seeded random generator (splitmix64).

pub struct Rng(pub u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// An exponentially distributed number.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A lognormal number with a mean and a coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let normal =
            (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (2.0 * std::f64::consts::PI * self.unit()).cos();
        mean * (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// The index of an item drawn by weight.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }
}
