//! Retry delay given to a refused caller.
//!
//! Load pattern: a burst is refused, and all refused callers retry at the same moment and form
//! the next burst. So retries are jittered around the time at which capacity should be available,
//! and limited to the fraction of the caller's remaining time for which callers accept a delay.
//! Pure.

use std::time::Duration;

/// Largest delay that callers accept, as a fraction of their remaining time.
const DELAY_MAX_FRACTION: f64 = 1.0 / 3.0;
/// Fraction by which the delay varies in both directions.
const JITTER: f64 = 0.3;

/// Time after which the caller should retry. Capacity should be available after `room`, the caller
/// has `left` until its deadline, and `draw` is a random number from 0 to 1.
pub fn delay(room: Duration, left: Duration, draw: f64) -> Duration {
    let max = left.as_secs_f64() * DELAY_MAX_FRACTION;
    let jitter = 1.0 - JITTER + 2.0 * JITTER * draw;
    Duration::from_secs_f64((room.as_secs_f64() * jitter).min(max).max(0.0))
}
