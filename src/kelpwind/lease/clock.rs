//! The clock on which leases are measured.
//!
//! Leases are measured on `CLOCK_BOOTTIME`, which never steps and keeps running while the host is
//! suspended: a process that was frozen, or whose host was suspended, finds its lease expired.
//! Timestamps of two hosts are never compared, only durations; over one lease two clocks may drift
//! apart by at most [`super::EXPIRY_MARGIN`]. After any wait the clock must be read again before the
//! lease is relied on.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on this host's `CLOCK_BOOTTIME`, in microseconds since the host booted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootInstant(u64);

impl BootInstant {
    /// The point in time `micros` microseconds after the host booted.
    pub fn from_micros(micros: u64) -> BootInstant {
        BootInstant(micros)
    }

    /// Microseconds since the host booted.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: BootInstant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;
    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(micros(time)))
    }
}

impl Sub<Duration> for BootInstant {
    type Output = BootInstant;
    fn sub(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_sub(micros(time)))
    }
}

/// Microseconds of a duration; the largest number if it has more.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl fmt::Display for BootInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Reads `CLOCK_BOOTTIME`.
pub fn now() -> BootInstant {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    BootInstant(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
