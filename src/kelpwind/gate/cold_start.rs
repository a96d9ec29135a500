//! Rate limit on request starts while a backend server is cold.
//!
//! Load pattern: a failure domain returns, or a server starts, under full load. A cold server
//! sustains few requests per second and collapses well above that. All requests pass through the
//! gate beside the server, so the limit is enforced only here. Pure.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sliding window over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Factor by which starts may exceed the configured rate. The server's bound is on its arrivals in
/// any second, and transit times differ between requests.
const RATE_FACTOR: f64 = 1.2;

/// Rate used until the configuration is known, in requests per second: lower than the configured
/// cold rate of any server.
const DEFAULT_RATE: f64 = 5.0;

/// Cold start limit of one backend server.
#[derive(Clone, Debug)]
pub struct ColdStart {
    cold_until: Option<Instant>,
    rate: f64,
    starts: VecDeque<Instant>,
}

impl Default for ColdStart {
    fn default() -> ColdStart {
        ColdStart { cold_until: None, rate: DEFAULT_RATE, starts: VecDeque::new() }
    }
}

impl ColdStart {
    /// Sets when the server is expected to be warm; `None` if it is warm already.
    pub fn set_until(&mut self, until: Option<Instant>) {
        self.cold_until = until;
    }

    /// Sets the configured rate of a cold server, in requests per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Whether the limit applies.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether one more request may start.
    pub fn may_start(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.recent_starts(now) < self.max_starts()
    }

    /// Counts a request that starts at `now`.
    pub fn record_start(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// When the next request may start; `None` if it may start now.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        if self.may_start(now) {
            return None;
        }
        let oldest = self.starts.len().checked_sub(self.max_starts())?;
        let free = *self.starts.get(oldest)? + WINDOW;
        Some(self.cold_until.map_or(free, |until| until.min(free)))
    }

    /// Expected wait for the limit, in seconds, of a request with `ahead` others queued before it.
    pub fn wait_secs(&self, now: Instant, ahead: usize) -> f64 {
        let Some(until) = self.cold_until.filter(|until| now < *until) else { return 0.0 };
        let over = (self.recent_starts(now) + ahead + 1).saturating_sub(self.max_starts());
        let left = until.saturating_duration_since(now).as_secs_f64();
        (over as f64 / self.rate.max(0.1)).min(left)
    }

    /// Most starts within one window.
    fn max_starts(&self) -> usize {
        (self.rate * RATE_FACTOR).max(1.0) as usize
    }

    /// Starts within the window that ends now.
    fn recent_starts(&self, now: Instant) -> usize {
        self.starts
            .iter()
            .rev()
            .take_while(|at| now.saturating_duration_since(**at) < WINDOW)
            .count()
    }
}
