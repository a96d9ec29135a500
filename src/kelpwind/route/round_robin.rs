//! Smooth weighted round robin: divides a route's requests among its services by weight.
//!
//! Each request credits every service with its weight and goes to the one with the most credit,
//! which is debited the total. So the proportions hold over short runs of requests as well as long
//! ones. Pure.

/// Credit of each service of a route.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service for the next request; `None` if there are no services.
    /// `start`, a number from 0 to 1, shifts the initial credits: nodes that all began with the
    /// service of the highest weight would together favour it.
    pub fn next(&mut self, weights: &[f64], start: f64) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        if self.credits.len() != weights.len() {
            self.credits = weights.iter().map(|w| (start - 0.5) * w).collect();
        }
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight;
        }
        let best =
            (0..weights.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(best)
    }
}
