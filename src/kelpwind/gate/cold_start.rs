//! How fast a cold backend server may be given work.
//!
//! Load pattern: a failure domain comes back, or a server starts, while callers press. A cold server
//! bears few requests a second and breaks down well above that. All requests pass the one gate
//! beside the server, so the bound is counted here and nowhere else. Pure.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Part above the stated rate that is used: the bound counts arrivals in any second, and two
/// requests may be held up differently on their way.
const OVERUSE: f64 = 1.2;

/// Requests a second that a cold server is given while the configuration is not known: less than any
/// server is said to bear.
const RATE_UNKNOWN: f64 = 5.0;

/// The bound of one server.
#[derive(Clone, Debug)]
pub struct ColdStart {
    until: Option<Instant>,
    rate: f64,
    starts: VecDeque<Instant>,
}

impl Default for ColdStart {
    fn default() -> ColdStart {
        ColdStart { until: None, rate: RATE_UNKNOWN, starts: VecDeque::new() }
    }
}

impl ColdStart {
    /// The server says that it is cold until then, or not at all.
    pub fn set_until(&mut self, until: Option<Instant>) {
        self.until = until;
    }

    /// The configuration says how many requests a second a cold server bears.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether one more request may start.
    pub fn may_start(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.recent(now) < self.most()
    }

    /// A request starts.
    pub fn record_start(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// When the next request may start, if the bound is what holds it.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        if self.may_start(now) {
            return None;
        }
        let oldest = self.starts.len().checked_sub(self.most())?;
        let free = *self.starts.get(oldest)? + WINDOW;
        Some(self.until.map_or(free, |until| until.min(free)))
    }

    /// Seconds that a request with `ahead` others before it waits for the bound.
    pub fn wait_secs(&self, now: Instant, ahead: usize) -> f64 {
        let Some(until) = self.until.filter(|until| now < *until) else { return 0.0 };
        let over = (self.recent(now) + ahead + 1).saturating_sub(self.most());
        let left = until.saturating_duration_since(now).as_secs_f64();
        (over as f64 / self.rate.max(0.1)).min(left)
    }

    fn most(&self) -> usize {
        (self.rate * OVERUSE).max(1.0) as usize
    }

    fn recent(&self, now: Instant) -> usize {
        self.starts
            .iter()
            .rev()
            .take_while(|at| now.saturating_duration_since(**at) < WINDOW)
            .count()
    }
}
