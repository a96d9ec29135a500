//! How current a node's copy of a log is known to be.
//!
//! A request that the configuration does not allow may be valid under a newer one that the node has
//! not read. So a request is rejected as invalid only by a copy that is current. Each read of the
//! log tells where the log ends, and a copy that has all records before that end includes
//! everything that was accepted before the read began. Other nodes that have read further show that
//! the copy is outdated, but nothing that they say shows that it is current. This module does no
//! I/O.

use std::time::Instant;

use super::ids::Offset;

/// What a node knows of the end of a log that it copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When the latest read began, and the end of the log that it found.
    latest: Option<(Instant, Offset)>,
    /// Highest end that other nodes have found since the latest read began.
    announced: Offset,
    /// When another node last told.
    announced_at: Option<Instant>,
}

impl Freshness {
    /// Records that a read that began at `began` found the end of the log at `end`. Of two reads,
    /// the one that began later counts. Returns whether this one does.
    pub fn observe(&mut self, began: Instant, end: Offset) -> bool {
        let later = self.latest.is_none_or(|(latest, _)| began > latest);
        if later {
            self.latest = Some((began, end));
            if self.announced_at.is_some_and(|at| at < began) {
                self.announced = Offset::default();
            }
        }
        later
    }

    /// Records that another node has told at the time `at` that it has found the end of the log at
    /// `end`. A read that begins later knows better.
    pub fn announce(&mut self, end: Offset, at: Instant) {
        self.announced = self.announced.max(end);
        self.announced_at = Some(at);
    }

    /// Highest offset that the log is known to have reached.
    pub fn end(&self) -> Offset {
        self.latest.map_or(self.announced, |(_, end)| end.max(self.announced))
    }

    /// When the latest read began.
    pub fn observed_at(&self) -> Option<Instant> {
        self.latest.map(|(began, _)| began)
    }

    /// Whether a copy whose next record is `next` includes every record that was appended before
    /// `since`, and all that other nodes are known to have read.
    pub fn is_current(&self, next: Offset, since: Instant) -> bool {
        self.observed_at().is_some_and(|began| began >= since) && next >= self.end()
    }
}
