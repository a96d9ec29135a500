//! Snapshots of the state, written to the log as records of one chunk each and assembled again by
//! readers.
//!
//! The log retains records for a limited time, so the state they built must be written to the log
//! again before they expire. A snapshot is the state at one offset, and names the offset of the
//! first record that still has to be applied to it; other records may be appended between its
//! chunks. Concurrent writers do not conflict: chunks of different snapshots are never mixed, and
//! the newest complete snapshot is used. Incomplete snapshots and those with a wrong digest are
//! ignored.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::{Offset, RecordId};
use crate::core::record::{Body, Chunk, Record};
use crate::core::state::State;

/// Maximum size of a chunk's text, in bytes.
pub const CHUNK_BYTES_MAX: usize = 128 << 10;

/// Splits a snapshot of `state` into records to append.
pub fn split(state: &State, author: &str) -> Vec<Record> {
    let text = serde_json::to_string(state).unwrap_or_default();
    let digest = xxh3_64(text.as_bytes());
    let snapshot = RecordId(fastrand::u128(..));
    let chunks = chunks(&text);
    let total = chunks.len() as u32;
    let to_chunk = |(index, data): (usize, &str)| Chunk {
        snapshot,
        next: state.next,
        index: index as u32,
        total,
        digest,
        data: data.to_owned(),
    };
    let chunks = chunks.into_iter().enumerate().map(to_chunk);
    chunks.map(|c| Record::new(author, Body::Snapshot(c))).collect()
}

fn chunks(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(CHUNK_BYTES_MAX);
        let (chunk, remaining) = rest.split_at(end);
        chunks.push(chunk);
        rest = remaining;
    }
    chunks
}

/// Assembles the newest complete snapshot among records.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    chunks: BTreeMap<RecordId, BTreeMap<u32, Chunk>>,
    newest: Option<State>,
}

impl SnapshotAssembler {
    /// Adds a record; one that is not a chunk of a snapshot is ignored.
    pub fn add(&mut self, raw: &Bytes) {
        let Ok(Record { body: Body::Snapshot(chunk), .. }) = Record::try_from(raw.as_ref()) else {
            return;
        };
        let (id, total) = (chunk.snapshot, chunk.total);
        let chunks = self.chunks.entry(id).or_default();
        chunks.insert(chunk.index, chunk);
        if chunks.len() as u32 != total {
            return;
        }
        let Some(chunks) = self.chunks.remove(&id) else {
            return;
        };
        if let Some(state) = assemble(&chunks) {
            let known = self.newest.as_ref().map_or(Offset(0), |s| s.next);
            if state.next >= known {
                self.newest = Some(state);
            }
        }
    }

    /// Returns the newest complete snapshot.
    pub fn newest(self) -> Option<State> {
        self.newest
    }
}

/// Returns the state of a snapshot, or `None` if a chunk is missing or the digest does not match.
fn assemble(chunks: &BTreeMap<u32, Chunk>) -> Option<State> {
    let first = chunks.get(&0)?;
    let complete = chunks.keys().copied().eq(0..first.total);
    let text: String = chunks.values().map(|c| c.data.as_str()).collect();
    if !complete || xxh3_64(text.as_bytes()) != first.digest {
        return None;
    }
    let state: State = serde_json::from_str(&text).ok()?;
    (state.next == first.next).then_some(state)
}
