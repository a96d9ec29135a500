//! How many requests the backend server bears at once.
//!
//! Three bounds, the least of which counts: the slots it announced (or the service's, if fewer); the
//! warm-up ramp after a cold start; and an adaptive limit. The last falls by a fifth when the server
//! sheds a request, or when its answers take clearly longer than they take with room: so a server
//! that turned cold without saying so, or shares its machine with a busy neighbour, is given less
//! within some answers. It rises by one for each round of requests that went well. Pure: time comes
//! in as an argument.

use std::time::Duration;

use crate::core::ids::Count;
use crate::lease::clock::Moment;

/// Part of the limit that is left after the server shed a request.
const DECREASE: f64 = 0.8;
/// Shortest time between two decreases: one burst of refusals counts once.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// Times the usual latency from which on the server counts as overloaded.
const SLOW_FACTOR: f64 = 2.5;
/// Answers before which the usual latency is not known.
const USUAL_LEAST: u32 = 20;
/// Part by which a longer answer raises the usual latency.
const USUAL_RISE: f64 = 0.002;
/// Part of the difference by which a shorter answer lowers the usual latency.
const USUAL_FALL: f64 = 0.05;
/// Weight of the newest answer in the present latency.
const PRESENT_WEIGHT: f64 = 0.3;
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
    latency: Latency,
}

/// Latency of the server's answers, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    /// What answers take with room: follows shorter ones fast and longer ones slowly.
    usual: f64,
    /// What they take now.
    present: f64,
    answers: u32,
}

impl Latency {
    fn take(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            (self.usual, self.present) = (time, time);
        }
        self.present += PRESENT_WEIGHT * (time - self.present);
        self.usual += match time > self.usual {
            true => USUAL_RISE * self.usual,
            false => USUAL_FALL * (time - self.usual),
        };
    }

    fn is_slow(&self) -> bool {
        self.answers >= USUAL_LEAST && self.present > SLOW_FACTOR * self.usual
    }
}

impl Limiter {
    /// A limiter for a server with `slots` slots.
    pub fn new(slots: Count, warmup: Duration) -> Limiter {
        let slots = f64::from(slots.0.max(1));
        Limiter {
            slots,
            adaptive: slots,
            warmup,
            cold: None,
            decreased: None,
            latency: Latency::default(),
        }
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
    pub fn start_warmup(&mut self, now: Moment) {
        self.cold = Some(now);
    }

    /// The server shed a request.
    pub fn on_shed(&mut self, now: Moment) {
        self.decrease(now);
    }

    /// The server served a request in this time.
    pub fn on_served(&mut self, time: Duration, now: Moment) {
        self.latency.take(time);
        if self.latency.is_slow() {
            self.decrease(now);
        } else {
            self.adaptive = (self.adaptive + 1.0 / self.adaptive).min(self.slots);
        }
    }

    fn decrease(&mut self, now: Moment) {
        let recent = self.decreased.is_some_and(|at| now.since(at) < DECREASE_PAUSE);
        if !recent {
            self.adaptive = (self.adaptive.min(self.slots) * DECREASE).max(1.0);
            self.decreased = Some(now);
        }
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
