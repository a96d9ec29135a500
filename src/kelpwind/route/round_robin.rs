//! Divides a route's requests among its services by weight.
//!
//! Smooth weighted round robin: each part earns its weight with each request and the richest part
//! gets it, so that the shares hold over any short run of requests, not only over many. Pure.

/// What each part has earned.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    earned: Vec<f64>,
}

impl WeightedRoundRobin {
    /// The index of the part that gets the next request; `None` when there are no parts. `start`
    /// shifts where this node begins, a number from 0 to 1: nodes that all began with the heaviest
    /// part would together favour it.
    pub fn next(&mut self, weights: &[f64], start: f64) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        if self.earned.len() != weights.len() {
            self.earned = weights.iter().map(|w| (start - 0.5) * w).collect();
        }
        for (earned, weight) in self.earned.iter_mut().zip(weights) {
            *earned += weight;
        }
        let best = (0..weights.len()).max_by(|a, b| self.earned[*a].total_cmp(&self.earned[*b]))?;
        self.earned[best] -= total;
        Some(best)
    }
}
