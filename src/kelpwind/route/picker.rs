//! Chooses among the equivalent targets of a service that is not divided by key.
//!
//! Power of d choices, by load times latency. The load comes from the target's gate, which counts
//! every request and reports with each answer, plus what this entry has sent since. The latency is
//! measured by this entry. Targets in the entry's failure domain are preferred until they are
//! clearly busier. Load reports of the backend servers are not used: they are late and can be
//! wrong. This module does no I/O.

/// What an entry knows about a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that run or are queued there.
    pub busy: u32,
    /// Number of requests that may run there concurrently.
    pub limit: u32,
    /// Moving average of the latency of its answers, in milliseconds.
    pub latency: f64,
    /// Whether it is in the entry's failure domain.
    pub same_domain: bool,
    /// Whether it failed or refused a request recently.
    pub suspect: bool,
}

/// Relative extra cost of an idle target in another failure domain. It falls to zero as the target
/// fills up, so that requests spill over to other failure domains before they queue.
const REMOTE_COST: f64 = 0.5;
/// Relative extra cost of a target whose slots are nearly all in use, compared to an idle one.
const FULLNESS_COST: f64 = 0.5;
/// Number of targets that are drawn at random and compared.
const CHOICE_COUNT: usize = 3;
/// Lower bound on the latency in the cost of a target.
const LATENCY_MS_MIN: f64 = 0.5;

impl Candidate {
    /// Cost of a request there: the latency, scaled by the load ahead of it and by distance. Among
    /// targets with free slots the less busy one is cheaper.
    fn cost(&self) -> f64 {
        let busy = f64::from(self.busy + 1) / f64::from(self.limit.max(1));
        let load = busy.max(1.0) + FULLNESS_COST * busy.min(1.0);
        let distance = if self.same_domain { 0.0 } else { REMOTE_COST * (1.0 - busy).max(0.0) };
        self.latency.max(LATENCY_MS_MIN) * load * (1.0 + distance)
    }

    /// Whether a request would start there without queueing.
    pub fn has_capacity(&self) -> bool {
        !self.suspect && self.busy < self.limit
    }
}

/// Returns the index of the chosen target; `None` if there are none. Suspect targets are drawn only
/// if all are suspect. `draw(n)` returns a random number below `n`.
pub fn choose(candidates: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    let mut eligible: Vec<usize> =
        (0..candidates.len()).filter(|i| !candidates[*i].suspect).collect();
    if eligible.is_empty() {
        eligible = (0..candidates.len()).collect();
    }
    let mut best: Option<usize> = None;
    for _ in 0..CHOICE_COUNT {
        if eligible.is_empty() {
            break;
        }
        let drawn = eligible.swap_remove(draw(eligible.len()));
        if best.is_none_or(|b| candidates[drawn].cost() < candidates[b].cost()) {
            best = Some(drawn);
        }
    }
    best
}
