//! Random number generator of a pilot: a permuted congruential generator (PCG-XSH-RR 64/32).

/// A seeded generator, so that runs can be repeated.
pub struct Rng {
    state: u64,
}

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng { state: seed.wrapping_add(1_442_695_040_888_963_407) };
        rng.next_u32();
        rng
    }

    fn next_u32(&mut self) -> u32 {
        let old = self.state;
        self.state = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// A number in the range [0, 1).
    pub fn f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}
