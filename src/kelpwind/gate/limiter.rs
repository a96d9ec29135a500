//! Concurrency limit of the backend server.
//!
//! The limit is the lowest of three: the slots that the server announced (or the service's, if
//! fewer), the warm-up ramp after a cold start, and an adaptive limit. The adaptive limit drops by
//! a fifth when the server sheds a request, or when its latency is well above its unloaded
//! baseline. So a server that turned cold unannounced, or shares its host with a busy neighbour,
//! gets fewer requests within a few answers. Each successful request raises the adaptive limit by
//! the reciprocal of the limit. Pure: the time is an argument.

use std::time::Duration;

use crate::core::ids::Count;
use crate::lease::clock::BootInstant;

/// Factor on the adaptive limit at each decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Shortest time between two decreases, so that one burst of refusals counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of the baseline latency above which the server counts as overloaded.
const OVERLOAD_FACTOR: f64 = 2.5;
/// Answers needed before the baseline latency is used.
const BASELINE_SAMPLES_MIN: u32 = 20;
/// Fraction of itself by which the baseline rises with an answer slower than it.
const BASELINE_RISE: f64 = 0.002;
/// Fraction of the difference by which the baseline falls with an answer faster than it.
const BASELINE_FALL: f64 = 0.05;
/// Weight of the newest answer in the current latency.
const CURRENT_WEIGHT: f64 = 0.3;
/// Fraction of the slots that a cold server gets when the ramp begins.
const RAMP_START: f64 = 0.1;

/// Limits the concurrent requests of one backend server.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: f64,
    adaptive: f64,
    warmup: Duration,
    cold_since: Option<BootInstant>,
    last_decrease: Option<BootInstant>,
    latency: Latency,
}

/// Latency of the server's answers, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    /// Latency without load: follows faster answers quickly and slower ones slowly.
    baseline: f64,
    /// Moving average of the newest answers.
    current: f64,
    samples: u32,
}

impl Latency {
    fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            (self.baseline, self.current) = (time, time);
        }
        self.current += CURRENT_WEIGHT * (time - self.current);
        self.baseline += match time > self.baseline {
            true => BASELINE_RISE * self.baseline,
            false => BASELINE_FALL * (time - self.baseline),
        };
    }

    fn is_slow(&self) -> bool {
        self.samples >= BASELINE_SAMPLES_MIN && self.current > OVERLOAD_FACTOR * self.baseline
    }
}

impl Limiter {
    /// Creates a limiter for a warm server with `slots` slots, at least one.
    pub fn new(slots: Count, warmup: Duration) -> Limiter {
        let slots = f64::from(slots.0.max(1));
        Limiter {
            slots,
            adaptive: slots,
            warmup,
            cold_since: None,
            last_decrease: None,
            latency: Latency::default(),
        }
    }

    /// Changes the slots and the warm-up time; changed slots reset the adaptive limit.
    pub fn configure(&mut self, slots: Count, warmup: Duration) {
        let slots = f64::from(slots.0.max(1));
        if slots != self.slots {
            self.adaptive = slots;
        }
        self.slots = slots;
        self.warmup = warmup;
    }

    /// Begins the warm-up ramp of a server that has just started.
    pub fn start_warmup(&mut self, now: BootInstant) {
        self.cold_since = Some(now);
    }

    /// Lowers the limit after the server shed a request.
    pub fn on_shed(&mut self, now: BootInstant) {
        self.decrease(now);
    }

    /// Adapts the limit to a request that the server answered in `time`.
    pub fn on_served(&mut self, time: Duration, now: BootInstant) {
        self.latency.record(time);
        if self.latency.is_slow() {
            self.decrease(now);
        } else {
            self.adaptive = (self.adaptive + 1.0 / self.adaptive).min(self.slots);
        }
    }

    fn decrease(&mut self, now: BootInstant) {
        let recent = self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if !recent {
            self.adaptive = (self.adaptive.min(self.slots) * DECREASE_FACTOR).max(1.0);
            self.last_decrease = Some(now);
        }
    }

    /// Number of requests that may run concurrently now; at least one.
    pub fn limit(&self, now: BootInstant) -> Count {
        let limit = self.adaptive.min(self.ramp(now));
        Count((limit as u32).max(1))
    }

    /// Whether the warm-up ramp is still below the slots.
    pub fn is_cold(&self, now: BootInstant) -> bool {
        self.ramp(now) < self.slots
    }

    fn ramp(&self, now: BootInstant) -> f64 {
        let Some(since) = self.cold_since else {
            return self.slots;
        };
        let progress = now.since(since).as_secs_f64() / self.warmup.as_secs_f64().max(0.001);
        self.slots * (RAMP_START + progress).min(1.0)
    }
}
