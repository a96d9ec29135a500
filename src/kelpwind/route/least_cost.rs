//! Chooses the equivalent target of a service with the lowest expected response time.
//!
//! Load pattern: targets differ in speed by a factor of two to three, and neighbours on their hosts
//! slow some of them for tenths of a second. The cost of a target is its expected response time:
//! its distance, the requests ahead and its service time, as its gate last reported with an answer.
//! Old reports decay towards the typical service time, so that a target that was slow once is tried
//! again. Requests ahead at a target whose backend server limits its requests cost as long as the limit
//! lets them wait, so others get the rest before anything is refused. A target in the same failure domain is preferred while the difference is small: traffic
//! between failure domains is billed, and a link within one is less likely to be cut. This
//! module does no I/O.

use std::time::Duration;

/// Half-life of the weight of a gate's report.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Cost added to a target in another failure domain, since traffic between failure domains is
/// billed.
const REMOTE_COST: Duration = Duration::from_millis(15);

/// What a node knows about a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests of other nodes that ran or were queued there at the last report.
    pub others: u32,
    /// Requests of this node that run or are queued there now.
    pub own: u32,
    /// Number of requests that may run there concurrently.
    pub slots: u32,
    /// Service time of the request's class there.
    pub service_time: Duration,
    /// Time between two requests at the rate that its backend server limits them to; zero without a
    /// limit.
    pub interval: Duration,
    /// Time since the last report of its gate.
    pub report_age: Duration,
    /// Whether it is in this node's failure domain.
    pub same_domain: bool,
    /// Whether its gate is unresponsive, unreachable or without a backend server.
    pub suspect: bool,
}

/// Expected response time of a request sent now, in seconds, plus the cost of distance. `typical`
/// is the service time of the request's class over all targets, in seconds.
pub fn cost(candidate: &Candidate, typical: f64) -> f64 {
    let weight = 0.5_f64.powf(candidate.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
    let slots = f64::from(candidate.slots.max(1));
    let busy = f64::from(candidate.others) * weight + f64::from(candidate.own);
    let service_time = candidate.service_time.as_secs_f64() * weight + typical * (1.0 - weight);
    let queued = (busy + 1.0 - slots).max(0.0) / slots;
    // Among targets with free slots the less busy one is slightly cheaper: servers slow down when
    // full.
    let fullness = 0.2 * (busy / slots).min(1.0);
    let distance = if candidate.same_domain { 0.0 } else { REMOTE_COST.as_secs_f64() };
    // On average, half an interval is left until the next request may start. An old limit may have
    // ended, which only a request can tell.
    let limited = candidate.interval.as_secs_f64() * weight * (busy + 0.5);
    service_time * (1.0 + queued + fullness) + limited + distance
}

/// Returns the index of the candidate with the lowest cost; `None` if there are none. A suspect one
/// is returned only if all are suspect. `tie(i)` draws a random rank that decides between equal
/// costs.
pub fn choose(
    candidates: &[Candidate],
    typical: f64,
    mut tie: impl FnMut(usize) -> u32,
) -> Option<usize> {
    let key = |i: &usize| {
        let micros = (cost(&candidates[*i], typical) * 1e6) as u64;
        (candidates[*i].suspect, micros)
    };
    let mut order: Vec<(u32, usize)> = (0..candidates.len()).map(|i| (tie(i), i)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, i)| i).min_by_key(key)
}
