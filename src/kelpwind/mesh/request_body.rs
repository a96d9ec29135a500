//! Reads the bodies of callers' requests into memory that is counted as they arrive.
//!
//! A body is copied out of the HTTP library's buffers into one block of memory, so that a chunk costs
//! its bytes only and the library can reuse its buffer. The block grows with what has arrived, never
//! with what the client states.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::connection::Activity;
use super::metrics::MemoryRefusal;
use super::node::Node;
use crate::net::memory::{Hold, Place};

/// Most bytes that the HTTP library and the channel to its reader buffer for a body that is arriving:
/// one read buffer each.
const LIBRARY_BYTES_MAX: usize = 128 << 10;
/// Memory for a body when its first bytes arrive.
const FIRST_BYTES: usize = 4 << 10;

/// A part of a body that has arrived.
pub(super) struct ArrivingBody {
    bytes: Vec<u8>,
    hold: Hold,
    /// When the last byte arrived.
    pub progress: Instant,
}

impl ArrivingBody {
    /// Number of bytes taken from the account.
    pub fn held(&self) -> usize {
        self.hold.bytes()
    }
}

/// Why a body was not read.
pub(super) enum BodyError {
    /// It is over the limit on one body.
    TooLarge,
    /// The node has no memory for it.
    NoRoom,
    /// The connection failed, or the body is malformed.
    Broken(hyper::Error),
}

/// Reads a body of up to `limit` bytes. The memory is held until the result is dropped; it is in
/// `activity` meanwhile, where it is taken away if the body makes no progress and others need room.
pub(super) async fn read(
    node: &Node,
    activity: &Activity,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, Option<Hold>), BodyError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let stated = body.size_hint().exact().and_then(|n| usize::try_from(n).ok());
    if stated.is_some_and(|size| size > limit) {
        return Err(BodyError::TooLarge);
    }
    let hold = node.memory.take(Place::RequestBody, 0);
    let empty = ArrivingBody { bytes: Vec::new(), hold, progress: Instant::now() };
    activity.body.replace(Some(empty));
    loop {
        let frame = tokio::select! {
            biased;
            () = activity.body_evicted.notified() => return Err(BodyError::NoRoom),
            frame = body.frame() => frame,
        };
        // The body is out of reach of an eviction while it grows.
        let Some(mut arrived) = activity.body.take() else { return Err(BodyError::NoRoom) };
        let Some(frame) = frame else {
            arrived.bytes.shrink_to_fit();
            arrived.hold.shrink_to(arrived.bytes.len());
            return Ok((Bytes::from(arrived.bytes), Some(arrived.hold)));
        };
        let data = frame.map_err(BodyError::Broken)?.into_data().unwrap_or_default();
        let size = arrived.bytes.len() + data.len();
        if size > limit {
            return Err(BodyError::TooLarge);
        }
        let needed = size + size.min(LIBRARY_BYTES_MAX);
        let added = needed.saturating_sub(arrived.hold.bytes());
        if !node.make_room(|| arrived.hold.try_grow(added)) {
            node.metrics.count_memory_refusal(MemoryRefusal::BodyNoRoom);
            return Err(BodyError::NoRoom);
        }
        reserve(&mut arrived.bytes, data.len(), stated.unwrap_or(limit));
        arrived.bytes.extend_from_slice(&data);
        if !data.is_empty() {
            arrived.progress = Instant::now();
        }
        activity.body.replace(Some(arrived));
    }
}

/// Makes room for `added` bytes in a block that never needs more than `max`.
fn reserve(bytes: &mut Vec<u8>, added: usize, max: usize) {
    let needed = bytes.len() + added;
    if needed > bytes.capacity() {
        let grown = (bytes.capacity() + bytes.capacity() / 2).max(FIRST_BYTES).min(max).max(needed);
        bytes.reserve_exact(grown - bytes.len());
    }
}
