//! How current a node's copy of the state is known to be.
//!
//! Each read of the log tells where the log ends. A state that has applied all records before that
//! end includes everything that was accepted before the read began. Whether a request is refused
//! because of the configuration can be decided only by a state that is current in this sense as of
//! the request's arrival: an older one may miss the change that allows the request, however
//! recently the log answered before. Points in time are only compared, so neither a suspended
//! process nor a time limit matters. This module does no I/O.

use std::time::Instant;

use crate::core::ids::Offset;

/// The end of the log as found by the latest read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When the read began, and the offset of the next record to be appended.
    latest: Option<(Instant, Offset)>,
}

impl Freshness {
    /// Records that a read that began at `began` found the end of the log at `end`. Of two
    /// reads, the one that began later counts. Returns whether this one does.
    pub fn observe(&mut self, began: Instant, end: Offset) -> bool {
        let later = self.latest.is_none_or(|(latest, _)| began > latest);
        if later {
            self.latest = Some((began, end));
        }
        later
    }

    /// Whether a state whose next record is `next` includes every record that was appended before
    /// `since`.
    pub fn is_current(&self, next: Offset, since: Instant) -> bool {
        self.latest.is_some_and(|(began, end)| began >= since && next >= end)
    }
}
