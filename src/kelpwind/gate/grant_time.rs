//! How long keys may be granted to a backend server, and until when it may still hold them.
//!
//! The lease says until when this node may serve its keys ([`crate::lease`]); the server is granted
//! them for a shorter time, so that it has stopped when the lease ends even if its clock runs slow. A
//! grant without an answer may be carried out later, its time counting from its arrival: until that
//! time is over, keys that the server has released may come alive there again, and no other server
//! may get them. Pure: moments come in as arguments.

use std::time::Duration;

use crate::lease::clock::Moment;

/// How much longer than granted a server may hold keys: its clock may run 2% slow.
const CLOCK_DRIFT: f64 = 1.02;
/// Time that a grant may take to arrive.
const ARRIVAL: Duration = Duration::from_millis(60);
/// Shortest grant that is worth sending.
const HOLD_MIN: Duration = Duration::from_millis(150);

/// The longest grant that ends before the lease does; `None` when too little is left. `most` is the
/// longest grant that servers take.
pub fn grant_duration(ends: Moment, now: Moment, most: Duration) -> Option<Duration> {
    let left = ends.since(now).saturating_sub(ARRIVAL);
    let hold = left.div_f64(CLOCK_DRIFT).min(most);
    (hold >= HOLD_MIN).then_some(hold)
}

/// When a server that was sent a grant of `hold` at `sent` holds the keys no longer.
pub fn latest_expiry(sent: Moment, hold: Duration) -> Moment {
    sent + hold.mul_f64(CLOCK_DRIFT) + ARRIVAL
}
