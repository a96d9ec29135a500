//! The rules of time, in one place.
//!
//! Leases are counted on `CLOCK_BOOTTIME`: it never steps, and it goes on while the machine is
//! suspended, so a process that was frozen, or whose machine slept, finds its lease lapsed. Clocks
//! of two machines are never compared; only lengths of time are, and over one lease they may differ
//! by at most [`super::EXPIRY_MARGIN`]. After any wait the clock is read again before the lease is trusted.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on this machine's clock, in microseconds since it was started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The moment `micros` microseconds after the machine was started.
    pub fn from_micros(micros: u64) -> Moment {
        Moment(micros)
    }

    /// Microseconds since the machine was started.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if that is not earlier.
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

/// The present moment.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
