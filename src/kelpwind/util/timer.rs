//! Interval timers for periodic tasks.

use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior, interval};

/// Creates a timer that ticks immediately and then every `period`. Missed ticks are not made up
/// for, so that a process that was suspended does not send a burst of messages.
pub(crate) fn every(period: Duration) -> Interval {
    let mut timer = interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}
