//! The clock on which leases are measured.
//!
//! Leases are measured on `CLOCK_BOOTTIME`, which never steps and keeps running while the machine
//! is suspended: a process that was frozen, or whose machine slept, finds its lease expired.
//! Timestamps of two machines are never compared, only durations; over one lease two clocks may
//! drift apart by at most [`super::EXPIRY_MARGIN`]. After any wait the clock must be read again
//! before the lease is relied on.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on this machine's `CLOCK_BOOTTIME`, in microseconds since the machine booted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The point in time `micros` microseconds after the machine booted.
    pub fn from_micros(micros: u64) -> Moment {
        Moment(micros)
    }

    /// Microseconds since the machine booted.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, time: Duration) -> Moment {
        Moment(self.0 + time.as_micros() as u64)
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;
    fn sub(self, time: Duration) -> Moment {
        Moment(self.0.saturating_sub(time.as_micros() as u64))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Reads `CLOCK_BOOTTIME`.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
