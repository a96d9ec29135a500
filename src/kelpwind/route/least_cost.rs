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

/// Half-life of the weight of the work that a gate reports. A queue is worked off within about one
/// service time.
const WORK_HALF_LIFE: Duration = Duration::from_millis(400);
/// Half-life of the weight of a measured speed: servers differ in speed for as long as they run.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(60);
/// Number of targets that are drawn and compared by the work left.
pub const WORK_CHOICES: usize = 3;
/// Bounds of the speed of a server relative to the mean of its service.
const SPEED_BOUNDS: (f64, f64) = (0.3, 3.0);

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

/// What a node knows about the work that is left at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkCandidate {
    /// What is known besides.
    pub known: Candidate,
    /// Time until a slot is free for one more request, as its gate last reported.
    pub work: Duration,
    /// Speed of its server relative to the mean of its service, as its gate last reported.
    pub speed: f64,
    /// Requests that this node has sent there since that report and that have not been answered.
    pub sent_since: u32,
}

/// Expected response time of a request sent now, in seconds, by the work that is left at a target.
///
/// A node sends few requests to each target, so most reports are seconds old. What they say of queues
/// and of a passing slowdown is soon worthless and decays to `typical_work`, the mean over the
/// targets, and to the service time that follows from `typical` and the speed; what they say of the
/// speed holds for long.
///
/// `spare` is the fraction of the slots of all targets that is free: only so far is a faster server
/// cheaper for being fast. When slots are scarce, all servers should be equally busy, which follows from
/// drawing them by their speed.
pub fn work_cost(target: &WorkCandidate, typical: f64, typical_work: f64, spare: f64) -> f64 {
    let known = &target.known;
    let age = known.report_age.as_secs_f64();
    let decayed = |half_life: Duration| 0.5_f64.powf(age / half_life.as_secs_f64());
    let speed = target.speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    let speed = 1.0 + (speed - 1.0) * decayed(SPEED_HALF_LIFE);
    let recent = decayed(WORK_HALF_LIFE);
    let slots = f64::from(known.slots.max(1));
    let usual = typical * (spare / speed + 1.0 - spare);
    let service_time = known.service_time.as_secs_f64() * recent + usual * (1.0 - recent);
    let work = target.work.as_secs_f64() * recent + typical_work * (1.0 - recent);
    let busy = f64::from(known.others) * recent + f64::from(known.own);
    let sent = f64::from(target.sent_since) * service_time / slots;
    let fullness = 0.2 * (busy / slots).min(1.0);
    let distance = if known.same_domain { 0.0 } else { REMOTE_COST.as_secs_f64() };
    let limited = known.interval.as_secs_f64() * recent * (busy + 0.5);
    service_time * (1.0 + fullness) + work + sent + limited + distance
}

/// Returns the index of the target for one request by the work left; `None` if there are none. A suspect
/// one is returned only if all are suspect.
///
/// All nodes learn of an idle target at about the same time, and all would send to it until they learn
/// that it is full. So each chooses the cheapest of `choices` targets that it draws at random,
/// faster ones more often. `draw` returns a random number of at least 0 and below 1.
pub fn choose_by_work(
    targets: &[WorkCandidate],
    typical: f64,
    choices: usize,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let healthy = targets.iter().any(|t| !t.known.suspect);
    let mut left: Vec<usize> =
        (0..targets.len()).filter(|i| !healthy || !targets[*i].known.suspect).collect();
    let count = targets.len().max(1) as f64;
    let typical_work = targets.iter().map(|t| t.work.as_secs_f64()).sum::<f64>() / count;
    let busy = |t: &WorkCandidate| {
        f64::from(t.known.others + t.known.own) / f64::from(t.known.slots.max(1))
    };
    let spare = (1.0 - targets.iter().map(busy).sum::<f64>() / count).clamp(0.0, 1.0);
    let weight = |i: usize| targets[i].speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    let mut best: Option<(f64, usize)> = None;
    for _ in 0..choices {
        let total: f64 = left.iter().map(|i| weight(*i)).sum();
        let mut point = draw() * total;
        let chosen = left.iter().position(|i| {
            point -= weight(*i);
            point < 0.0
        });
        let Some(position) = chosen.or(left.len().checked_sub(1)) else { break };
        let index = left.swap_remove(position);
        let cost = work_cost(&targets[index], typical, typical_work, spare);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}
