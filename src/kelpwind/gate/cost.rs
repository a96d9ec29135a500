//! Predicts the cost of requests, and the work that is left at a backend server.
//!
//! Load pattern: requests that look alike cost very different amounts of work, servers differ in speed
//! and are slowed for some tenths of a second, and 1 to 3% of requests take three to seven times as
//! long. The number of requests in progress then tells little about when a slot will be free. The cost
//! of a request is learned from measured service times, by route, by size of the body and for a fixed
//! number of keys that are heavier than their route. What a running request has left is the conditional
//! expectation given how long it has run: one that has outlived its prediction is probably one of the
//! long ones.
//!
//! Memory is bounded: a fixed number of routes and of heavy keys. This module does no I/O.

use std::collections::{BTreeMap, HashMap};
use std::f64::consts::SQRT_2;
use std::time::{Duration, Instant};

/// Weight of the newest sample in a mean, once enough are known: about fifty answers count.
const MEAN_WEIGHT: f64 = 0.02;
/// Multiple of the prediction at which a sample is cut off, so that one long request does not pass for
/// a change. A lasting change still shows after some samples.
const SAMPLE_MAX: f64 = 4.0;
/// Maximum number of routes with estimates of their own.
const ROUTES_MAX: usize = 64;
/// Maximum number of keys with estimates of their own.
const HEAVY_MAX: usize = 64;
/// Multiple of its route's mean from which a key is a candidate for an estimate of its own.
const HEAVY_RATIO: f64 = 2.0;
/// Number of answers for which the mean over a wider group counts in an estimate.
const PRIOR_SAMPLES: f64 = 8.0;
/// Weight of the newest sample in the present slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Half-life of a measured slowdown: servers are slowed for periods of some hundred milliseconds.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);
/// Bounds of the slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.6, 3.5);
/// Upper bounds of the body sizes, in bytes, for which costs are told apart.
const SIZE_BOUNDS: [usize; 3] = [4 << 10, 64 << 10, 1 << 20];
/// Number of classes of the ratio between a service time and its prediction, two for each power of two
/// from an eighth on.
const RATIO_CLASSES: usize = 16;
/// Lowest of these ratios.
const RATIO_MIN: f64 = 0.125;
/// Decay of the counts of ratios with each answer: about a thousand answers count.
const RATIO_DECAY: f64 = 0.999;

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug)]
pub struct Features<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Hash of the key or of the path.
    pub digest: u64,
    /// Size of the body in bytes.
    pub body_bytes: usize,
}

/// A predicted cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Service time at this server's usual speed, in seconds.
    pub secs: f64,
    /// Between 0, when nothing was measured, and 1.
    pub confidence: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    secs: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, secs: f64) {
        self.samples = self.samples.saturating_add(1);
        let known = self.samples > 4;
        let secs = if known { secs.min(self.secs * SAMPLE_MAX) } else { secs };
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.secs += weight * (secs - self.secs);
    }

    /// This mean, drawn towards that of a wider group as long as few samples are known.
    fn drawn_to(&self, wider: f64) -> f64 {
        let samples = f64::from(self.samples);
        (samples * self.secs + PRIOR_SAMPLES * wider) / (samples + PRIOR_SAMPLES)
    }
}

#[derive(Clone, Debug, Default)]
struct RouteCost {
    all: Mean,
    sizes: [Mean; SIZE_BOUNDS.len() + 1],
}

/// Predicts service times from those measured.
#[derive(Clone, Debug)]
pub struct CostModel {
    all: Mean,
    routes: HashMap<String, RouteCost>,
    heavy: HashMap<u64, Mean>,
    ratios: [f64; RATIO_CLASSES],
    slowdown: f64,
    slowdown_at: Option<Instant>,
}

impl Default for CostModel {
    fn default() -> CostModel {
        CostModel {
            all: Mean::default(),
            routes: HashMap::new(),
            heavy: HashMap::new(),
            ratios: [0.0; RATIO_CLASSES],
            slowdown: 1.0,
            slowdown_at: None,
        }
    }
}

impl CostModel {
    /// Predicts the cost of a request; a second is assumed until anything was measured.
    pub fn predict(&self, request: &Features<'_>) -> Cost {
        if self.all.samples == 0 {
            return Cost { secs: 1.0, confidence: 0.0 };
        }
        let Some(route) = self.routes.get(request.route) else {
            return Cost { secs: self.all.secs, confidence: 0.1 };
        };
        let secs = route.all.drawn_to(self.all.secs);
        let secs = route.sizes[size_class(request.body_bytes)].drawn_to(secs);
        let heavy = self.heavy.get(&heavy_id(request));
        let secs = heavy.map_or(secs, |mean| mean.drawn_to(secs));
        let samples = f64::from(heavy.map_or(route.all.samples, |mean| mean.samples));
        Cost { secs, confidence: samples / (samples + PRIOR_SAMPLES) }
    }

    /// Records a measured service time.
    pub fn record(&mut self, request: &Features<'_>, took: Duration, now: Instant) {
        let predicted = self.predict(request);
        let took = took.as_secs_f64();
        let ratio = took / predicted.secs.max(f64::MIN_POSITIVE);
        if predicted.confidence > 0.5 {
            self.ratios.iter_mut().for_each(|count| *count *= RATIO_DECAY);
            self.ratios[ratio_class(ratio)] += 1.0;
            let slowdown = self.slowdown(now);
            self.slowdown = slowdown + SLOWDOWN_WEIGHT * (ratio.min(SLOWDOWN_BOUNDS.1) - slowdown);
            self.slowdown_at = Some(now);
        }
        self.all.record(took);
        if !self.routes.contains_key(request.route) && self.routes.len() < ROUTES_MAX {
            self.routes.insert(request.route.to_owned(), RouteCost::default());
        }
        let Some(route) = self.routes.get_mut(request.route) else { return };
        route.all.record(took);
        route.sizes[size_class(request.body_bytes)].record(took);
        self.record_heavy(request, took);
    }

    /// Keeps an estimate for a key that is heavier than its route. The one with the fewest answers
    /// gives way to a new one.
    fn record_heavy(&mut self, request: &Features<'_>, took: f64) {
        let id = heavy_id(request);
        if let Some(mean) = self.heavy.get_mut(&id) {
            mean.record(took);
            return;
        }
        let mean = self.routes.get(request.route).map_or(took, |r| r.all.secs);
        if took < HEAVY_RATIO * mean {
            return;
        }
        if self.heavy.len() >= HEAVY_MAX
            && let Some(least) = self.heavy.iter().min_by_key(|(_, m)| m.samples).map(|(id, _)| *id)
        {
            self.heavy.remove(&least);
        }
        self.heavy.insert(id, Mean { secs: took, samples: 1 });
    }

    /// How much longer than usual requests take now; decays to 1.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let age = self.slowdown_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 0.5_f64.powf(age.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64());
        let slowdown = 1.0 + (self.slowdown - 1.0) * weight;
        slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1)
    }

    /// Mean service time over all requests, in seconds; zero while unknown.
    pub fn mean_secs(&self) -> f64 {
        self.all.secs
    }

    /// Mean service time of a route in seconds; `None` while unknown.
    pub fn route_secs(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|r| r.all.secs)
    }

    /// Expected remaining seconds of a request with this prediction that has run for `ran` seconds.
    fn remaining_secs(&self, predicted: f64, ran: f64) -> f64 {
        let reached = ran / predicted.max(f64::MIN_POSITIVE);
        let (mut count, mut rest) = (0.0, 0.0);
        // The middle of the lowest class, in logarithms.
        let mut ratio = RATIO_MIN * SQRT_2.sqrt();
        for weight in &self.ratios {
            if ratio > reached {
                count += weight;
                rest += weight * (ratio - reached);
            }
            ratio *= SQRT_2;
        }
        if count >= 1.0 {
            return predicted * rest / count;
        }
        // Longer than any that was seen: as much again as a part of what has passed.
        (predicted - ran).max(ran / 2.0)
    }
}

/// Identifies a running or queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(u64);

#[derive(Clone, Copy, Debug)]
struct Job {
    secs: f64,
    began: Option<Instant>,
}

/// The requests that run or are queued at one server, with their predicted costs.
#[derive(Clone, Debug, Default)]
pub struct WorkLeft {
    jobs: BTreeMap<JobId, Job>,
    next: u64,
}

impl WorkLeft {
    /// Adds a queued request.
    pub fn add(&mut self, cost: Cost) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        self.jobs.insert(id, Job { secs: cost.secs, began: None });
        id
    }

    /// Records that a request has started.
    pub fn start(&mut self, id: JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.began = Some(now);
        }
    }

    /// Removes a request that has ended or left the queue.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Number of running and queued requests.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Expected time until a slot is free for one more request behind all that are here.
    pub fn time_until_free(&self, model: &CostModel, slots: u32, now: Instant) -> Duration {
        let slots = slots.max(1) as usize;
        if self.jobs.len() < slots {
            return Duration::ZERO;
        }
        let slowdown = model.slowdown(now);
        let mut free: Vec<f64> = Vec::with_capacity(slots);
        let running = self.jobs.values().filter_map(|j| Some((j.secs, j.began?)));
        for (secs, began) in running {
            let ran = now.saturating_duration_since(began).as_secs_f64() / slowdown;
            free.push(model.remaining_secs(secs, ran) * slowdown);
        }
        // Remainders vary about as widely as their mean, so the first of several slots is free after
        // their mean divided by their number.
        let queued: f64 = self.jobs.values().filter(|j| j.began.is_none()).map(|j| j.secs).sum();
        let rest: f64 = free.iter().sum();
        let first = rest / (free.len().max(1) as f64 * slots as f64);
        Duration::from_secs_f64(first + queued * slowdown / slots as f64)
    }
}

fn size_class(bytes: usize) -> usize {
    SIZE_BOUNDS.iter().position(|bound| bytes <= *bound).unwrap_or(SIZE_BOUNDS.len())
}

fn ratio_class(ratio: f64) -> usize {
    let class = ((ratio / RATIO_MIN).max(1.0).log2() * 2.0) as usize;
    class.min(RATIO_CLASSES - 1)
}

fn heavy_id(request: &Features<'_>) -> u64 {
    let route = xxhash_rust::xxh3::xxh3_64(request.route.as_bytes());
    request.digest ^ route.rotate_left(17)
}
