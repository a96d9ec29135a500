//! When a refused caller should come back.
//!
//! Load pattern: a burst is refused, and all who were refused come back at the same moment as the
//! next burst. So returns are spread over the time in which there should be room, and never later
//! than the part of the caller's remaining time that callers still honour. Pure.

use std::time::Duration;

/// Part of the remaining time that callers are willing to wait.
const HONOURED_PART: f64 = 1.0 / 3.0;
/// Part by which the return may come earlier or later.
const SPREAD: f64 = 0.3;

/// The time after which to come back: `room` is when there should be room, `left` what the caller
/// has left, `draw` a random number from 0 to 1.
pub fn delay(room: Duration, left: Duration, draw: f64) -> Duration {
    let most = left.as_secs_f64() * HONOURED_PART;
    let spread = 1.0 - SPREAD + 2.0 * SPREAD * draw;
    Duration::from_secs_f64((room.as_secs_f64() * spread).min(most).max(0.0))
}
