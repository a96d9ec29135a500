//! Admission of requests with large answers by what the link of the host can carry.
//!
//! Load pattern: a burst of downloads needs more of a narrow link than there is. Each of them runs at
//! once, since the server has free slots, and its answer then waits for the link until its caller has
//! given up. So a download is admitted only if its answer is expected to have left in time. This
//! module does no I/O.

use std::time::Duration;

/// Weight of the newest answer in the mean size: about twenty answers count.
const SIZE_WEIGHT: f64 = 0.05;
/// Fraction of the time until the deadline within which an answer is to have left. Sizes vary by a
/// factor of six, so the mean says little of a single answer.
const TIME_SHARE: f64 = 0.7;

/// What a gate knows of its large answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct BulkAnswers {
    /// Requests that wait or run and whose answers are yet to come.
    running: u32,
    /// Mean size of an answer in bytes; 0 before the first.
    mean_bytes: f64,
}

impl BulkAnswers {
    /// Counts a request that was admitted.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request, with the size of its answer if it has one.
    pub fn end(&mut self, answer_bytes: Option<usize>) {
        self.running = self.running.saturating_sub(1);
        let Some(bytes) = answer_bytes else { return };
        let weight = if self.mean_bytes > 0.0 { SIZE_WEIGHT } else { 1.0 };
        self.mean_bytes += weight * (bytes as f64 - self.mean_bytes);
    }

    /// Expected bytes of all answers to come.
    pub fn expected_bytes(&self) -> usize {
        (f64::from(self.running) * self.mean_bytes) as usize
    }

    /// Expected bytes of one answer.
    pub fn mean_bytes(&self) -> usize {
        self.mean_bytes as usize
    }
}

/// Time after which a request with a large answer should come back; `None` if it may run now.
/// `sent_in` is the time until its answer would have left the host, of which `left` remains until the
/// caller's deadline.
pub fn retry_after(sent_in: Duration, left: Duration) -> Option<Duration> {
    sent_in.checked_sub(left.mul_f64(TIME_SHARE)).filter(|over| !over.is_zero())
}
