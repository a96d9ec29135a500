//! Chooses among the equal targets of a service.
//!
//! Load pattern: targets differ in speed by two to three times, and neighbours on their hosts slow
//! some of them for tenths of a second. So the cost of a target is the time in which it should have
//! answered: its distance, the work in front of it and its own pace, all from what its gate said last
//! with each answer. What a gate said long ago fades towards the usual, so that a target which was
//! slow once is tried again. A target in the own failure domain is preferred while the difference is
//! small: bytes between failure domains cost, and the nearer one is less likely to be cut off. Pure.

use std::time::Duration;

/// Time after which what a gate said counts half.
const FADE: Duration = Duration::from_millis(400);
/// How much longer a far target may seem to take before the difference counts: bytes between
/// failure domains are paid for.
const FAR_COST: Duration = Duration::from_millis(15);

/// What is known of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests running and waiting there when its gate said so, without this node's own.
    pub others: u32,
    /// This node's own requests there now.
    pub own: u32,
    /// Requests that may run there at once.
    pub slots: u32,
    /// Time a request of this sort takes there.
    pub service_time: Duration,
    /// Time since its gate last said anything.
    pub report_age: Duration,
    /// Whether it stands in this node's failure domain.
    pub same_domain: bool,
    /// Whether it failed a moment ago, or does not answer.
    pub suspect: bool,
}

/// The time in which a request sent now should be answered, in seconds. `usual` is what requests of
/// its sort take at all targets, in seconds.
pub fn cost(view: &Candidate, usual: f64) -> f64 {
    let trust = 0.5_f64.powf(view.report_age.as_secs_f64() / FADE.as_secs_f64());
    let slots = f64::from(view.slots.max(1));
    let busy = f64::from(view.others) * trust + f64::from(view.own);
    let service = view.service_time.as_secs_f64() * trust + usual * (1.0 - trust);
    let over = (busy + 1.0 - slots).max(0.0) / slots;
    // Among targets with room the less busy one is a little cheaper: servers slow down when full.
    let fullness = 0.2 * (busy / slots).min(1.0);
    let far = if view.same_domain { 0.0 } else { FAR_COST.as_secs_f64() };
    service * (1.0 + over + fullness) + far
}

/// The index of the target with the least cost; suspect ones only if there is no other. `tie(i)`
/// draws the order among equals.
pub fn choose(views: &[Candidate], usual: f64, mut tie: impl FnMut(usize) -> u32) -> Option<usize> {
    let key = |i: &usize| {
        let micros = (cost(&views[*i], usual) * 1e6) as u64;
        (views[*i].suspect, micros)
    };
    let mut order: Vec<(u32, usize)> = (0..views.len()).map(|i| (tie(i), i)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, i)| i).min_by_key(key)
}
