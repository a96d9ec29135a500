//! Snapshots of the state, written into the log in pieces and put together again.
//!
//! The log keeps records for a limited time, so a state that began before that time must stand in
//! the log once more. A snapshot says from which offset on the records still have to be applied; the
//! state is copied at one offset, and only its writing takes time while other records go on coming
//! in between. Two writers at once do no harm: pieces of different snapshots never mix, and the
//! newest whole one counts. A torn snapshot is never whole, and one whose digest is wrong is passed
//! over.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::{Offset, RecordId};
use crate::core::record::{Body, Chunk, Record};
use crate::core::state::State;

/// Largest piece, in bytes of text.
pub const CHUNK_BYTES_MAX: usize = 128 << 10;

/// The records that hold a snapshot of `state`.
pub fn split(state: &State, author: &str) -> Vec<Record> {
    let text = serde_json::to_string(state).unwrap_or_default();
    let digest = xxh3_64(text.as_bytes());
    let snapshot = RecordId(fastrand::u128(..));
    let pieces = pieces(&text);
    let total = pieces.len() as u32;
    let chunk = |(index, data): (usize, &str)| Chunk {
        snapshot,
        next: state.next,
        index: index as u32,
        total,
        digest,
        data: data.to_owned(),
    };
    let chunks = pieces.into_iter().enumerate().map(chunk);
    chunks.map(|c| Record::new(author, Body::Snapshot(c))).collect()
}

fn pieces(text: &str) -> Vec<&str> {
    let mut found = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(CHUNK_BYTES_MAX);
        let (piece, left) = rest.split_at(end);
        found.push(piece);
        rest = left;
    }
    found
}

/// Finds the newest whole snapshot among records.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    parts: BTreeMap<RecordId, BTreeMap<u32, Chunk>>,
    newest: Option<State>,
}

impl SnapshotAssembler {
    /// Takes a record; those that hold no piece of a snapshot are passed over.
    pub fn add(&mut self, raw: &Bytes) {
        let Ok(Record { body: Body::Snapshot(chunk), .. }) = Record::try_from(raw.as_ref()) else {
            return;
        };
        let (id, total) = (chunk.snapshot, chunk.total);
        let parts = self.parts.entry(id).or_default();
        parts.insert(chunk.index, chunk);
        if parts.len() as u32 != total {
            return;
        }
        let Some(parts) = self.parts.remove(&id) else {
            return;
        };
        if let Some(state) = join(&parts) {
            let known = self.newest.as_ref().map_or(Offset(0), |s| s.next);
            if state.next >= known {
                self.newest = Some(state);
            }
        }
    }

    /// The newest whole snapshot.
    pub fn newest(self) -> Option<State> {
        self.newest
    }
}

fn join(parts: &BTreeMap<u32, Chunk>) -> Option<State> {
    let first = parts.get(&0)?;
    let whole = parts.keys().copied().eq(0..first.total);
    let text: String = parts.values().map(|c| c.data.as_str()).collect();
    if !whole || xxh3_64(text.as_bytes()) != first.digest {
        return None;
    }
    let state: State = serde_json::from_str(&text).ok()?;
    (state.next == first.next).then_some(state)
}
