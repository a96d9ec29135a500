//! Retry delay given to a refused caller.
//!
//! Load pattern: a burst is refused, and all refused callers retry at the same moment and form
//! the next burst. So retries are jittered around the time at which capacity should be available.
//! The delay is at most the fraction of their remaining time that callers accept. This module does
//! no I/O.
//!
//! Load pattern of [`assigned`]: an overload that lasts longer than callers wait. A caller that is told
//! to return earlier than it can be admitted is refused again. Gates then assign each refused caller a
//! time of its own, and it is told that time even if it has less left.

use std::time::Duration;

/// Largest delay that callers accept, as a fraction of their remaining time.
const DELAY_FRACTION_MAX: f64 = 1.0 / 3.0;
/// Fraction by which the delay varies in both directions.
const JITTER: f64 = 0.3;

/// Fraction by which an assigned delay grows at most. Several gates may assign the same time.
const ASSIGNED_JITTER: f64 = 0.1;

/// Time after which the caller should retry to which a gate has assigned `delay`. `draw` is a random
/// number from 0 to 1.
pub fn assigned(delay: Duration, draw: f64) -> Duration {
    delay.mul_f64(1.0 + ASSIGNED_JITTER * draw.clamp(0.0, 1.0))
}

/// Time after which the caller should retry. Capacity should be available after `free_after`, the
/// caller has `remaining` until its deadline, and `draw` is a random number from 0 to 1.
pub fn delay(free_after: Duration, remaining: Duration, draw: f64) -> Duration {
    let max = remaining.as_secs_f64() * DELAY_FRACTION_MAX;
    let jitter = 1.0 - JITTER + 2.0 * JITTER * draw;
    Duration::from_secs_f64((free_after.as_secs_f64() * jitter).min(max).max(0.0))
}
