//! A running estimate of one quantile, in constant space.
//!
//! Each value moves the estimate up by a part of itself when it is above, and down when it is below,
//! in the proportion that balances at the quantile. It follows a change within some tens of values.

/// Part of the estimate by which one value moves it at most.
const STEP: f64 = 0.05;
/// Least estimate, so that it can grow again.
const LEAST: f64 = 0.1;

/// The estimate of one quantile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    part: f64,
    estimate: f64,
    seen: u32,
}

impl Quantile {
    /// An estimate of the quantile `part`, between 0 and 1.
    pub fn new(part: f64) -> Quantile {
        Quantile { part, estimate: 0.0, seen: 0 }
    }

    /// Takes a value.
    pub fn record(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            self.estimate = value;
        }
        let step = self.estimate * STEP;
        let up = value > self.estimate;
        let moved = if up { step * self.part } else { -step * (1.0 - self.part) };
        self.estimate = (self.estimate + moved).max(LEAST);
    }

    /// The estimate, once at least `least` values were taken.
    pub fn get(&self, least: u32) -> Option<f64> {
        (self.seen >= least).then_some(self.estimate)
    }
}
