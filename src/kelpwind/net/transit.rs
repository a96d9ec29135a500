//! Time that a message has been on its way for longer than usual.
//!
//! Load pattern: a link stalls, or a process is frozen or short of processor time, and requests are read
//! seconds after they were sent. The time that their callers have left was stated when they were sent.
//! Without a correction they run although their callers have left. The clocks of two hosts differ by
//! an unknown amount, so the shortest time seen counts as the usual one. This module does no I/O.

use std::time::Duration;

use crate::lease::clock::BootInstant;

/// Fraction by which one clock may run faster than the other.
const DRIFT: f64 = 0.02;

/// The messages of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitTime {
    /// Smallest difference between the receiver's and the sender's clock, in microseconds, and when it
    /// was last updated.
    least: Option<(i64, BootInstant)>,
}

impl TransitTime {
    /// Records a message that was sent at `sent` by the sender's clock. Returns by how much longer than
    /// usual it was on its way.
    pub fn record(&mut self, sent: BootInstant, now: BootInstant) -> Duration {
        let difference = now.as_micros() as i64 - sent.as_micros() as i64;
        let Some((least, at)) = self.least else {
            self.least = Some((difference, now));
            return Duration::ZERO;
        };
        let drifted = least + (now.since(at).as_micros() as f64 * DRIFT) as i64;
        let least = drifted.min(difference);
        self.least = Some((least, now));
        Duration::from_micros((difference - least) as u64)
    }
}
