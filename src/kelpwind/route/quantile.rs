//! A streaming estimate of one quantile, in constant space.
//!
//! Each value above the estimate moves it up, and each one below moves it down, by steps whose
//! ratio balances at the quantile. The estimate follows a change within some tens of values.

/// Largest step as a fraction of the estimate.
const STEP: f64 = 0.05;
/// Smallest estimate. Steps are proportional to the estimate, so it could not grow again from zero.
const ESTIMATE_MIN: f64 = 0.1;

/// Streaming estimate of one quantile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    q: f64,
    estimate: f64,
    samples: u32,
}

impl Quantile {
    /// Creates an estimate of the quantile `q`, between 0 and 1.
    pub fn new(q: f64) -> Quantile {
        Quantile { q, estimate: 0.0, samples: 0 }
    }

    /// Updates the estimate with a value.
    pub fn record(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.estimate = value;
        }
        let step = self.estimate * STEP;
        let up = value > self.estimate;
        let moved = if up { step * self.q } else { -step * (1.0 - self.q) };
        self.estimate = (self.estimate + moved).max(ESTIMATE_MIN);
    }

    /// Returns the estimate; `None` before `min_samples` values were recorded.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.estimate)
    }
}
