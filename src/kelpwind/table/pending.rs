//! Records that other nodes pass on and that cannot be applied yet, since earlier ones are missing.
//!
//! Load pattern: many owners move keys at once, as when hosts restart one after another. Each tells all
//! other nodes what it has written, and datagrams of different senders overtake one another by
//! milliseconds. A node that read the store for each such gap would read it as often as all nodes
//! together write, and every read costs the store a call. Records are therefore kept until the missing
//! ones arrive. This module does no I/O.

use std::collections::BTreeMap;

use super::WriteBatch;
use crate::core::ids::Position;

/// Most batches that are kept. More than that are missing for another reason than their order.
const BATCHES_MAX: usize = 64;

/// Batches that begin after the end of the table, by the position of their first record.
#[derive(Debug, Default)]
pub struct PendingBatches {
    batches: BTreeMap<Position, (Position, WriteBatch)>,
}

impl PendingBatches {
    /// Keeps a batch that ends just before `next` in the log.
    pub fn insert(&mut self, next: Position, batch: WriteBatch) {
        let start = Position { offset: batch.start_offset(next.offset), ..next };
        self.batches.insert(start, (next, batch));
        while self.batches.len() > BATCHES_MAX {
            // The latest records are the last that could be applied.
            self.batches.pop_last();
        }
    }

    /// Removes and returns the batch that begins at `end`, the end of the table, and the position of
    /// its own end. Drops all that begin before.
    pub fn take(&mut self, end: Position) -> Option<(Position, WriteBatch)> {
        self.batches = self.batches.split_off(&end);
        self.batches.remove(&end)
    }

    /// Number of batches kept.
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Whether no batch is kept.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }
}
