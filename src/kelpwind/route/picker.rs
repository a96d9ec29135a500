//! Chooses among the equal targets of a service that is not divided by key.
//!
//! Power of d choices by how busy a target is times how slow it is. How busy comes from its gate,
//! which counts every request and says so with each answer, plus what this entry has sent since; how
//! slow is measured by this entry itself. Its own failure domain is preferred until that looks
//! clearly busier. Reports of the backend servers are not used: they lag and mislead. Pure.

/// What is known of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests running and waiting there.
    pub busy: u32,
    /// Requests that may run there at once.
    pub limit: u32,
    /// Moving average of the latency of its answers, in milliseconds.
    pub latency: f64,
    /// Whether it stands in the entry's failure domain.
    pub same_domain: bool,
    /// Whether it failed a moment ago.
    pub suspect: bool,
}

/// How much dearer an idle target in another failure domain counts; a busy one counts as a near one,
/// so that work spills over before it waits.
const FAR_COST: f64 = 0.5;
/// How much dearer a target whose slots are all but taken counts than an idle one.
const ROOM_COST: f64 = 0.5;
/// Targets that are drawn and compared.
const CHOICES: usize = 3;
/// Least latency that is reckoned with, in milliseconds.
const LATENCY_MIN: f64 = 0.5;

impl Candidate {
    /// The time that a request may be expected to take there: what others took, longer by what has
    /// to wait before it. Among targets with room the less busy one is cheaper.
    fn cost(&self) -> f64 {
        let busy = f64::from(self.busy + 1) / f64::from(self.limit.max(1));
        let wait = busy.max(1.0) + ROOM_COST * busy.min(1.0);
        let far = if self.same_domain { 0.0 } else { FAR_COST * (1.0 - busy).max(0.0) };
        self.latency.max(LATENCY_MIN) * wait * (1.0 + far)
    }

    /// Whether a request would run there at once.
    pub fn has_room(&self) -> bool {
        !self.suspect && self.busy < self.limit
    }
}

/// The index of the target chosen; `None` when there are none. `draw(n)` is a random number below n.
pub fn choose(all: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    let mut open: Vec<usize> = (0..all.len()).filter(|i| !all[*i].suspect).collect();
    if open.is_empty() {
        open = (0..all.len()).collect();
    }
    let mut best: Option<usize> = None;
    for _ in 0..CHOICES {
        if open.is_empty() {
            break;
        }
        let drawn = open.swap_remove(draw(open.len()));
        if best.is_none_or(|b| all[drawn].cost() < all[b].cost()) {
            best = Some(drawn);
        }
    }
    best
}
