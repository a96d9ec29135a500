//! What a backend server bears while it is cold. Pure.

use std::time::Duration;

/// Part of its slots that a server bears the moment it has started.
const INITIAL_FRACTION: f64 = 0.1;

/// Requests that a server with `slots` slots bears, `since` it started cold, if it needs `warm` to
/// be at its full strength.
pub fn capacity(slots: u32, since: Duration, warm: Duration) -> u32 {
    if warm.is_zero() || since >= warm {
        return slots;
    }
    let part = INITIAL_FRACTION + since.as_secs_f64() / warm.as_secs_f64();
    ((f64::from(slots) * part.min(1.0)) as u32).max(1)
}
