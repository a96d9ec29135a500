//! Duration of a key grant to the backend server, and the latest time at which it can expire.
//!
//! The lease bounds how long this node may serve its keys ([`crate::lease`]). The server is granted
//! them for less, so that it stops before the lease ends even if its clock runs slow. An unanswered
//! grant may still be in transit, and its duration counts from its arrival: until it must have
//! expired, keys that the server has released can become active there again, so no other server may
//! be granted them. Pure: the time is an argument.

use std::time::Duration;

use crate::lease::clock::BootInstant;

/// Factor by which a server may exceed a grant: its clock may run 2% slow.
const CLOCK_DRIFT: f64 = 1.02;
/// Allowance for the transit of a grant to the server.
const TRANSIT_MAX: Duration = Duration::from_millis(60);
/// Shortest grant that is sent.
const GRANT_MIN: Duration = Duration::from_millis(150);

/// Duration of the longest grant that expires before the lease ends at `lease_end`; `None` if it
/// would be too short. `max` is the longest grant that servers accept.
pub fn grant_duration(lease_end: BootInstant, now: BootInstant, max: Duration) -> Option<Duration> {
    let left = lease_end.since(now).saturating_sub(TRANSIT_MAX);
    let duration = left.div_f64(CLOCK_DRIFT).min(max);
    (duration >= GRANT_MIN).then_some(duration)
}

/// Time from which a server cannot hold the keys of a grant that was sent at `sent` for `duration`.
pub fn latest_expiry(sent: BootInstant, duration: Duration) -> BootInstant {
    sent + duration.mul_f64(CLOCK_DRIFT) + TRANSIT_MAX
}
