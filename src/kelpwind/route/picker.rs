//! Chooses among the equal targets of a service that is not divided by key.
//!
//! Power of two choices over what this entry itself has measured: requests in flight times the
//! moving average of latency. Its own failure domain is preferred until that looks clearly busier.
//! Reports of the backend servers are not used: they lag and mislead. Pure.

/// What is known of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this entry in flight to it.
    pub running: u32,
    /// Moving average of the latency of its answers, in milliseconds.
    pub latency: f64,
    /// Whether it stands in the entry's failure domain.
    pub near: bool,
    /// Whether it failed a moment ago.
    pub suspect: bool,
}

/// How much dearer a target in another failure domain counts.
const FAR_COST: f64 = 1.5;
/// Least latency that is reckoned with, in milliseconds.
const LATENCY_MIN: f64 = 0.5;

impl Candidate {
    fn cost(&self) -> f64 {
        let far = if self.near { 1.0 } else { FAR_COST };
        f64::from(self.running + 1) * self.latency.max(LATENCY_MIN) * far
    }
}

/// The index of the target chosen; `None` when there are none. `draw(n)` is a random number below n.
pub fn choose(all: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    let mut open: Vec<usize> = (0..all.len()).filter(|i| !all[*i].suspect).collect();
    if open.is_empty() {
        open = (0..all.len()).collect();
    }
    let first = match open.len() {
        0 => return None,
        1 => return Some(open[0]),
        n => open.swap_remove(draw(n)),
    };
    let second = open[draw(open.len())];
    let cheaper = all[first].cost() <= all[second].cost();
    Some(if cheaper { first } else { second })
}
