//! Pacing of large messages on the link of a host.
//!
//! Load pattern: many large answers leave a host with a narrow link at once, each over a connection of
//! its own. Together they fill the queue of the link, and small answers on other connections wait behind
//! them for longer than their callers do. Parts of large messages are therefore sent no faster than
//! the link carries them, less what small messages have used, so that the queue of the link stays
//! short. All connections of a node share one pacer. This module does no I/O.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::core::ids::ByteRate;

/// Fraction of the link that is used. The rest covers headers of packets and what other parts of the
/// process send.
const LINK_SHARE: f64 = 0.9;

/// Assigns times at which parts of large messages may be sent.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Bytes per second; `None` while nothing is paced.
    rate: Cell<Option<f64>>,
    /// When all that was sent or reserved so far has left.
    free_at: Cell<Option<Instant>>,
}

impl Pacer {
    /// Sets the rate of the link; `None` if nothing is to be paced.
    pub fn set_rate(&self, rate: Option<ByteRate>) {
        self.rate.set(rate.map(|r| r.0 as f64 * LINK_SHARE).filter(|r| *r > 0.0));
    }

    /// Whether large messages are paced.
    pub fn is_active(&self) -> bool {
        self.rate.get().is_some()
    }

    /// Reserves the link for a part of a large message. Returns when it may be sent. Times are assigned
    /// in order of the calls.
    pub fn reserve(&self, bytes: usize, now: Instant) -> Instant {
        let start = self.free_at.get().map_or(now, |at| at.max(now));
        self.free_at.set(Some(start + self.transfer_time(bytes)));
        start
    }

    /// Counts small messages, which are sent at once.
    pub fn record_sent(&self, bytes: usize, now: Instant) {
        if self.is_active() {
            self.reserve(bytes, now);
        }
    }

    /// Time until a large message of `bytes` has left if it is sent now, with `queued` bytes of others
    /// before it for which nothing is reserved yet; zero while nothing is paced.
    pub fn time_to_send(&self, bytes: usize, queued: usize, now: Instant) -> Duration {
        let reserved =
            self.free_at.get().map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        match self.is_active() {
            true => reserved + self.transfer_time(queued + bytes),
            false => Duration::ZERO,
        }
    }

    fn transfer_time(&self, bytes: usize) -> Duration {
        self.rate.get().map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate))
    }
}
