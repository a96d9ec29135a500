//! The folded state of this process, and what became of the records it appended.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::{Mutex, RwLock, RwLockReadGuard};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::client::{LogClient, Result};
use crate::core::codes::Code;
use crate::core::ids::{Offset, RecordId};
use crate::core::record::Record;
use crate::core::state::{ApplyResult, State};
use crate::util::error::Error;

/// Records kept for nodes that cannot reach the log.
const TAIL_RECORDS_MAX: usize = 2048;
/// Time after which an append without a known fate is sent again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A record as nodes pass it on, with the digest of all records before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Digest of the records before it.
    #[serde(rename = "before")]
    pub prev_digest: u64,
    /// The record's bytes, as text.
    pub data: String,
}

/// What became of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOutcome {
    /// Where it stands in the log.
    pub offset: Offset,
    /// Whether the fold applied it.
    pub result: ApplyResult,
}

/// The folded state of this process.
pub struct Replica {
    state: RwLock<State>,
    tail: Mutex<VecDeque<ForwardedRecord>>,
    pending: Mutex<HashMap<RecordId, oneshot::Sender<AppendOutcome>>>,
    next_offset: watch::Sender<Offset>,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica {
            state: RwLock::default(),
            tail: Mutex::default(),
            pending: Mutex::default(),
            next_offset: watch::Sender::new(Offset(0)),
        }
    }
}

impl Replica {
    /// The state, locked for reading; not to be held over an `await`.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read()
    }

    /// Tells the offset of the next record each time it moves.
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.next_offset.subscribe()
    }

    /// Applies a record and tells its author.
    pub fn apply(&self, offset: Offset, raw: &Bytes) {
        let mut state = self.state.write();
        if offset < state.next {
            return;
        }
        let prev_digest = state.digest;
        let result = state.apply(offset, raw);
        let next = state.next;
        drop(state);
        self.push_tail(offset, prev_digest, raw);
        if let Ok(record) = Record::try_from(raw.as_ref())
            && let Some(author) = self.pending.lock().remove(&record.id)
        {
            let _ = author.send(AppendOutcome { offset, result });
        }
        self.next_offset.send_replace(next);
    }

    /// Takes a whole state, as from a snapshot; never one older than what is known.
    pub fn install(&self, fresh: State) {
        let mut state = self.state.write();
        if fresh.next <= state.next {
            return;
        }
        let next = fresh.next;
        *state = fresh;
        drop(state);
        self.tail.lock().clear();
        self.next_offset.send_replace(next);
    }

    fn push_tail(&self, offset: Offset, prev_digest: u64, raw: &Bytes) {
        let data = String::from_utf8_lossy(raw).into_owned();
        let mut tail = self.tail.lock();
        tail.push_back(ForwardedRecord { offset, prev_digest, data });
        if tail.len() > TAIL_RECORDS_MAX {
            tail.pop_front();
        }
    }

    /// The records from `from` on, if all of them are still kept.
    pub fn records_from(&self, from: Offset) -> Option<Vec<ForwardedRecord>> {
        let tail = self.tail.lock();
        let first = tail.front().map_or(self.state.read().next, |p| p.offset);
        if from < first {
            return None;
        }
        Some(tail.iter().filter(|p| p.offset >= from).cloned().collect())
    }

    /// Takes records that another node passed on. They are taken only if they follow on what is
    /// known here, by digest.
    pub fn apply_forwarded(&self, passed: &[ForwardedRecord]) -> usize {
        let mut taken = 0;
        for record in passed {
            let known = { self.state.read().next };
            if record.offset < known {
                continue;
            }
            if record.prev_digest != self.state.read().digest {
                break;
            }
            self.apply(record.offset, &Bytes::from(record.data.clone()));
            taken += 1;
        }
        taken
    }

    /// Appends a record and waits until the fold has met it, or `limit` is over.
    ///
    /// A lost reply is harmless: the record is looked for in the log, and sent again if it does not
    /// show; its precondition lets at most one copy hold.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`] when its fate is not known within the limit.
    pub async fn append(
        &self,
        log: &LogClient,
        record: &Record,
        limit: Duration,
    ) -> Result<AppendOutcome> {
        let (told, mut fate) = oneshot::channel();
        self.pending.lock().insert(record.id, told);
        let until = Instant::now() + limit;
        let raw = record.encode();
        let mut last = None;
        while Instant::now() < until {
            let sent = (log.append)(raw.clone());
            tokio::select! {
                biased;
                Ok(fate) = &mut fate => return Ok(fate),
                appended = sent => last = appended.err(),
            }
            if let Ok(Ok(fate)) = timeout(APPEND_RETRY_DELAY, &mut fate).await {
                return Ok(fate);
            }
        }
        self.pending.lock().remove(&record.id);
        let lost = Error::new(Code::LogUnavailable, "failed to learn what became of the record");
        Err(match last {
            Some(cause) => lost.caused_by(cause),
            None => lost,
        })
    }
}
