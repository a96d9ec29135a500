//! How recent a node's copy of a log is.
//!
//! A request that the configuration does not allow may be valid under a newer one that the node has
//! not read. So such a request is rejected as invalid only while the copy is current, that is, while
//! the log has lately confirmed that it holds nothing newer. The promise to operators is that a
//! configuration is in force [`MAX_AGE`] after it was accepted, so an older confirmation proves
//! nothing. This module does no I/O.

use std::time::{Duration, Instant};

use super::ids::Offset;

/// Age up to which a confirmation counts: an accepted configuration must be in force everywhere
/// within this time.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// What a node knows of the end of a log that it copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Offset of the next record to read.
    next: Offset,
    /// Offset that the log is known to have reached.
    end: Offset,
    /// Latest time at which the log ended at `next`.
    confirmed: Option<Instant>,
    /// Whether the last read failed.
    failing: bool,
}

impl Freshness {
    /// Records an answer of the log: the copy now reaches to `next`, and at the time `at` or later
    /// the log ended at `end`.
    pub fn record_read(&mut self, next: Offset, end: Offset, at: Instant) {
        self.failing = false;
        self.next = next;
        self.end = self.end.max(end);
        if next >= end {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Records a read that failed.
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Records that another node has read up to `end`.
    pub fn record_end(&mut self, end: Offset) {
        self.end = self.end.max(end);
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Highest offset that the log is known to have reached.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Time since the log last confirmed that it ended where the copy ends.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the copy holds everything that the log held [`MAX_AGE`] ago.
    pub fn is_current(&self, now: Instant) -> bool {
        self.next >= self.end && self.age(now).is_some_and(|age| age <= MAX_AGE)
    }

    /// Whether the last read failed, so that the log cannot confirm anything at the moment.
    pub fn is_failing(&self) -> bool {
        self.failing
    }
}
