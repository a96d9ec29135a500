//! Timers of loops.

use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Ticks at once and then each `time`. After a delay it goes on from there and does not catch up: a
/// process that was frozen must not send what it missed in one burst.
pub(crate) fn every(time: Duration) -> Interval {
    let mut timer = interval(time);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}
