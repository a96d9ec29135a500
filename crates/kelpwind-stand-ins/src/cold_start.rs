//! Capacity of a backend server while it warms up after a start.

use std::time::Duration;

/// Fraction of its slots that a server can use right after its start.
const INITIAL_FRACTION: f64 = 0.1;

/// Number of requests that a server with `slots` slots can run at time `since` after its cold
/// start, if it reaches full capacity after `warmup`; at least 1.
pub fn capacity(slots: u32, since: Duration, warmup: Duration) -> u32 {
    if warmup.is_zero() || since >= warmup {
        return slots;
    }
    let fraction = INITIAL_FRACTION + since.as_secs_f64() / warmup.as_secs_f64();
    ((f64::from(slots) * fraction.min(1.0)) as u32).max(1)
}
