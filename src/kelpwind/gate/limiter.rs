//! How many requests the backend server bears at once.
//!
//! Three bounds, the least of which counts: the slots it announced (or the service's, if fewer);
//! the warm-up ramp after a cold start; and an adaptive limit that falls by a fifth when the server
//! sheds a request and rises by one for each round of requests that it served. Pure: time comes in
//! as an argument.

use std::time::Duration;

use crate::core::ids::Count;
use crate::lease::clock::Moment;

/// Part of the limit that is left after the server shed a request.
const DECREASE: f64 = 0.8;
/// Shortest time between two decreases: one burst of refusals counts once.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// Part of the slots that a cold server gets at first.
const COLD_START: f64 = 0.1;

/// The limit of concurrent requests.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: f64,
    adaptive: f64,
    warmup: Duration,
    cold: Option<Moment>,
    decreased: Option<Moment>,
}

impl Limiter {
    /// A limiter for a server with `slots` slots.
    pub fn new(slots: Count, warmup: Duration) -> Limiter {
        let slots = f64::from(slots.0.max(1));
        Limiter { slots, adaptive: slots, warmup, cold: None, decreased: None }
    }

    /// Takes changed slots or warm-up time.
    pub fn configure(&mut self, slots: Count, warmup: Duration) {
        let slots = f64::from(slots.0.max(1));
        if slots != self.slots {
            self.adaptive = slots;
        }
        self.slots = slots;
        self.warmup = warmup;
    }

    /// The server has just started: the ramp begins.
    pub fn turned_cold(&mut self, now: Moment) {
        self.cold = Some(now);
    }

    /// The server shed a request.
    pub fn shed(&mut self, now: Moment) {
        let recent = self.decreased.is_some_and(|at| now.since(at) < DECREASE_PAUSE);
        if !recent {
            self.adaptive = (self.adaptive.min(self.slots) * DECREASE).max(1.0);
            self.decreased = Some(now);
        }
    }

    /// The server served a request.
    pub fn served(&mut self) {
        self.adaptive = (self.adaptive + 1.0 / self.adaptive).min(self.slots);
    }

    /// Requests that may run at once now; at least one.
    pub fn limit(&self, now: Moment) -> Count {
        let limit = self.adaptive.min(self.ramp(now));
        Count((limit as u32).max(1))
    }

    /// Whether the ramp is what bounds the requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.ramp(now) < self.slots
    }

    fn ramp(&self, now: Moment) -> f64 {
        let Some(cold) = self.cold else {
            return self.slots;
        };
        let part = now.since(cold).as_secs_f64() / self.warmup.as_secs_f64().max(0.001);
        self.slots * (COLD_START + part).min(1.0)
    }
}
