//! Duration of a key grant to the backend server, and the latest time at which it can expire.
//!
//! The lease bounds how long this node may serve its keys ([`crate::lease`]). The server is granted
//! them for less, so that it stops before the lease ends even if its clock runs slow. An unanswered
//! grant may still be in transit, and its duration counts from its arrival: until it must have
//! expired, keys that the server has released can become active there again, so no other server may
//! be granted them. Pure: the time is an argument.
//!
//! Some grants must outlast the lease ([`lease_excess`]), and whoever takes over keys waits for that
//! time too. Servers end work with an error if it goes on for longer than the grant that was in force
//! when it began, so a grant must last for as long as the work of its service. And a server that is
//! granted keys in the answers to its reports learns of a renewal only with its next report. It counts
//! the time from when it sent the report, so such a grant needs no allowance for its way: however late
//! it takes effect, it ends as early.

use std::time::Duration;

use crate::lease::clock::BootInstant;
use crate::lease::{EXPIRY_MARGIN, LEASE_DURATION, RENEW_INTERVAL};

/// Factor by which a server may exceed a grant: its clock may run 2% slow.
const CLOCK_DRIFT: f64 = 1.02;
/// Fraction of a grant's time for which the server certainly holds the keys: its clock may run 2%
/// fast.
const CERTAIN_FRACTION: f64 = 0.98;
/// Least allowance for the time until a grant takes effect at the server.
const TRANSIT_MIN: Duration = Duration::from_millis(60);
/// Time after which the transit times of former grants no longer count. Covers several renewals.
const TRANSIT_WINDOW: Duration = Duration::from_secs(2);
/// Fraction by which the interval between two reports may exceed the usual one.
const REPORT_JITTER: f64 = 0.1;
/// Time before the end of grants at which a report that has arrived is answered with their renewal.
pub const REPORT_RENEW_MARGIN: Duration = Duration::from_millis(150);
/// Most by which grants outlast the lease for the sake of long work.
const WORK_EXCESS_MAX: Duration = Duration::from_secs(1);
/// Most by which grants outlast the lease. A lost owner's keys are without one for as much longer.
pub const EXCESS_MAX: Duration = Duration::from_secs(2);
/// What is left of a lease right before its next renewal.
const LEASE_LEFT_MIN: Duration =
    LEASE_DURATION.saturating_sub(EXPIRY_MARGIN).saturating_sub(RENEW_INTERVAL);
/// Shortest grant that is sent.
const GRANT_MIN: Duration = Duration::from_millis(150);

/// How long recent grants took until they were answered. A host with too much to do delays the next
/// ones as well, so that much is allowed for.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitTimes {
    window_start: BootInstant,
    current: Duration,
    former: Duration,
}

impl TransitTimes {
    /// Records the time from the sending of a grant to its answer, or until no answer was awaited
    /// any more.
    pub fn record(&mut self, took: Duration, now: BootInstant) {
        self.advance(now);
        self.current = self.current.max(took);
    }

    /// The time to allow for until a grant takes effect.
    pub fn allowance(&mut self, now: BootInstant) -> Duration {
        self.advance(now);
        TRANSIT_MIN.max(self.current).max(self.former)
    }

    fn advance(&mut self, now: BootInstant) {
        let age = now.since(self.window_start);
        if age >= TRANSIT_WINDOW {
            let recent = age < TRANSIT_WINDOW * 2;
            self.former = if recent { self.current } else { Duration::ZERO };
            (self.window_start, self.current) = (now, Duration::ZERO);
        }
    }
}

/// Duration of the longest grant that expires before the lease ends at `lease_end`, if it takes
/// effect within `transit`; `None` if it would be too short. `max` is the longest grant that servers
/// accept.
pub fn grant_duration(
    lease_end: BootInstant,
    now: BootInstant,
    max: Duration,
    transit: Duration,
) -> Option<Duration> {
    let left = lease_end.since(now).saturating_sub(transit);
    let duration = left.div_f64(CLOCK_DRIFT).min(max);
    (duration >= GRANT_MIN).then_some(duration)
}

/// How much longer than the lease grants may last, for a service whose answers are due within
/// `objective`. Work is expected to take half of that; together with the lease, grants then cover
/// nearly all of it, and a lost owner's keys are served again within 2 s unless answers may take longer
/// than 1.4 s. `reports` is the usual interval between two reports if grants are made in the answers
/// to these: one that is made on the arrival of a report, right before the lease is renewed, must last
/// until the next report is answered.
pub fn lease_excess(objective: Duration, reports: Option<Duration>) -> Duration {
    let next = |interval: Duration| {
        let needed = interval.mul_f64(1.0 + REPORT_JITTER) + REPORT_RENEW_MARGIN;
        needed.mul_f64(CLOCK_DRIFT).saturating_sub(LEASE_LEFT_MIN)
    };
    let work = (objective / 2).min(WORK_EXCESS_MAX);
    work.max(reports.map_or(Duration::ZERO, next)).min(EXCESS_MAX)
}

/// Time until which a server certainly holds the keys of a grant that was made at `made` for
/// `duration`.
pub fn certain_until(made: BootInstant, duration: Duration) -> BootInstant {
    made + duration.mul_f64(CERTAIN_FRACTION)
}

/// Time from which a server cannot hold the keys of a grant that was sent at `sent` for `duration`
/// and takes effect within `transit`.
pub fn latest_expiry(sent: BootInstant, duration: Duration, transit: Duration) -> BootInstant {
    sent + duration.mul_f64(CLOCK_DRIFT) + transit
}

/// The same for any grant that a former run of this node sent before `now` under a lease of
/// `duration`.
pub fn former_expiry(now: BootInstant, duration: Duration) -> BootInstant {
    latest_expiry(now, duration, TRANSIT_MIN)
}
