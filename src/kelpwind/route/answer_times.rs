//! How long the answers of a route take, for a node that is about to stop.
//!
//! Load pattern: a node has seconds left and goes on taking requests, because callers learn late that it
//! stops. Those that cannot be answered in that time are lost when it ends, so they are rejected at once.
//! This module does no I/O.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latest answers that count. With fewer, a rare slow answer would go unseen; with more, a slow
/// phase would be held against a route for long after its end.
const ANSWERS: usize = 32;

/// Times of the latest answers of a route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes(VecDeque<Duration>);

impl AnswerTimes {
    /// Records how long a request took that was sent on.
    pub fn record(&mut self, took: Duration) {
        if self.0.len() == ANSWERS {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// The longest of them; `None` before the first.
    pub fn longest(&self) -> Option<Duration> {
        self.0.iter().max().copied()
    }
}

/// Whether a request may be taken by a node that has the time `left`. The request waits for its answer for
/// `timeout` at most, and `expected` is the time that it may take.
pub fn may_begin(left: Duration, timeout: Duration, expected: Duration) -> bool {
    timeout <= left || expected <= left
}
