//! Limit on the rate of request starts that a backend server states of itself.
//!
//! Load pattern: a server in need takes fewer requests a second than callers send, for seconds or
//! minutes, and its answers name the rate. All nodes together must keep to it. All requests pass
//! the gate beside the server, so a token bucket there is enough. The bucket is empty when a limit is
//! first stated, and shallow, so that neither a new limit nor a pause is followed by a burst just
//! when the server is weakest.
//!
//! Refused callers return at the rate at which capacity comes back: the more of them there were
//! within the last second, the later each one returns.
//!
//! This module does no I/O.

use std::time::{Duration, Instant};

use crate::core::ids::RequestRate;

/// Time whose tokens the bucket holds at most; at least one token.
const DEPTH: Duration = Duration::from_millis(250);
/// Lowest rate of starts, in requests per second, whatever the limit: only the answer to a request
/// tells that a limit has ended.
const RATE_MIN: f64 = 0.25;
/// Tolerance for rounding errors of the number of tokens.
const TOKEN_ERROR: f64 = 1e-6;
/// Time constant of the moving count of refused requests.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);
/// Longest retry delay. By then the keys of an overloaded server have moved to others.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// Rate limit of one backend server.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    bucket: Option<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: RequestRate,
    tokens: f64,
    /// When `tokens` was computed.
    updated: Instant,
    /// Refused requests, of which older ones count less.
    refused: f64,
    /// When `refused` was computed.
    refused_at: Instant,
}

impl Bucket {
    fn per_second(&self) -> f64 {
        self.rate.per_second().max(RATE_MIN)
    }

    fn depth(&self) -> f64 {
        (self.per_second() * DEPTH.as_secs_f64()).max(1.0)
    }

    fn tokens(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + passed * self.per_second()).min(self.depth())
    }

    fn update(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.updated = now.max(self.updated);
    }
}

impl RateLimit {
    /// Sets the limit; `None` if there is none.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        match (rate, &mut self.bucket) {
            (None, _) => self.bucket = None,
            (Some(rate), Some(bucket)) => {
                bucket.update(now);
                bucket.rate = rate;
                bucket.tokens = bucket.tokens.min(bucket.depth());
            }
            (Some(rate), None) => {
                let (tokens, refused) = (0.0, 0.0);
                let bucket = Bucket { rate, tokens, updated: now, refused, refused_at: now };
                self.bucket = Some(bucket);
            }
        }
    }

    /// The limit, which is never below a minimum; `None` if there is none.
    pub fn per_second(&self) -> Option<f64> {
        self.bucket.as_ref().map(Bucket::per_second)
    }

    /// Whether one more request may start.
    pub fn may_start(&self, now: Instant) -> bool {
        self.bucket.as_ref().is_none_or(|b| b.tokens(now) + TOKEN_ERROR >= 1.0)
    }

    /// Counts a request that starts at `now`.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.update(now);
            bucket.tokens -= 1.0;
        }
    }

    /// When the next request may start; `None` if it may start now.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let wait = self.wait(now, 0);
        (!self.may_start(now)).then_some(now + wait)
    }

    /// Wait for the limit of a request with `ahead` others before it.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(bucket) = &self.bucket else { return Duration::ZERO };
        let lacking = (ahead + 1) as f64 - bucket.tokens(now);
        Duration::from_secs_f64((lacking / bucket.per_second()).max(0.0))
    }

    /// Records that a request is refused, and returns the time in which the limit admits as many
    /// requests as were refused lately; zero without a limit.
    pub fn record_refusal(&mut self, now: Instant) -> Duration {
        let Some(bucket) = &mut self.bucket else { return Duration::ZERO };
        let passed = now.saturating_duration_since(bucket.refused_at);
        let decay = (-passed.as_secs_f64() / REFUSAL_PERIOD.as_secs_f64()).exp();
        bucket.refused = bucket.refused * decay + 1.0;
        bucket.refused_at = now;
        let secs = bucket.refused / bucket.per_second();
        Duration::from_secs_f64(secs.min(RETRY_DELAY_MAX.as_secs_f64()))
    }
}
