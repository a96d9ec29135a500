//! This process's copy of the state, built from the log, and the outcomes of the records it
//! appended.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::{Mutex, RwLock, RwLockReadGuard};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{timeout, timeout_at};

use super::client::{LogClient, Result};
use crate::core::codes::Code;
use crate::core::freshness::Freshness;
use crate::core::ids::{Offset, RecordId};
use crate::core::record::Record;
use crate::core::state::{ApplyResult, State};
use crate::util::error::Error;

/// Maximum number of recent records kept for nodes that cannot reach the log.
const TAIL_RECORDS_MAX: usize = 2048;
/// Size of the records after which no more are forwarded in one answer, so that each answer arrives
/// in time over a slow link.
const FORWARDED_BYTES_MAX: usize = 64 << 10;
/// Time after which an append whose outcome is still unknown is sent again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time to wait until the state is known to be current.
const CONFIRM_WAIT: Duration = Duration::from_secs(1);

/// A record as nodes forward it to each other, with the digest by which the receiver checks that it
/// is the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Chained digest of all records before it.
    #[serde(rename = "before")]
    pub prev_digest: u64,
    /// The encoded record, which is JSON.
    pub data: String,
}

/// The outcome of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOutcome {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Whether the record was applied, or why not.
    pub result: ApplyResult,
}

/// This process's copy of the state.
pub struct Replica {
    state: RwLock<State>,
    /// The last records applied. Changed, like `next_offset`, only while `state` is locked for
    /// writing, since several tasks apply records.
    tail: Mutex<VecDeque<ForwardedRecord>>,
    pending: Mutex<HashMap<RecordId, oneshot::Sender<AppendOutcome>>>,
    next_offset: watch::Sender<Offset>,
    freshness: watch::Sender<Freshness>,
    /// Notified when a caller waits for the log to be read.
    unconfirmed: Notify,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica {
            state: RwLock::default(),
            tail: Mutex::default(),
            pending: Mutex::default(),
            next_offset: watch::Sender::new(Offset(0)),
            freshness: watch::Sender::default(),
            unconfirmed: Notify::new(),
        }
    }
}

impl Replica {
    /// Locks the state for reading. The guard must not be held across an `await`.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read()
    }

    /// Returns a receiver of the next record's offset, notified whenever the state changes.
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.next_offset.subscribe()
    }

    /// Applies a record, unless it was applied before, and reports the outcome to its author if an
    /// [`append`](Self::append) is waiting for it.
    pub fn apply(&self, offset: Offset, raw: &Bytes) {
        let mut state = self.state.write();
        if offset < state.next {
            return;
        }
        let prev_digest = state.digest;
        let result = state.apply(offset, raw);
        self.push_tail(offset, prev_digest, raw);
        self.next_offset.send_replace(state.next);
        drop(state);
        if let Ok(record) = Record::try_from(raw.as_ref())
            && let Some(author) = self.pending.lock().remove(&record.id)
        {
            let _ = author.send(AppendOutcome { offset, result });
        }
    }

    /// Replaces the state by a complete one, such as that of a snapshot, unless that is not newer.
    pub fn install(&self, newer: State) {
        let mut state = self.state.write();
        if newer.next <= state.next {
            return;
        }
        *state = newer;
        self.tail.lock().clear();
        self.next_offset.send_replace(state.next);
    }

    fn push_tail(&self, offset: Offset, prev_digest: u64, raw: &Bytes) {
        let data = String::from_utf8_lossy(raw).into_owned();
        let mut tail = self.tail.lock();
        tail.push_back(ForwardedRecord { offset, prev_digest, data });
        if tail.len() > TAIL_RECORDS_MAX {
            tail.pop_front();
        }
    }

    /// Returns the first records from `from` on, up to [`FORWARDED_BYTES_MAX`] and at least one, or
    /// `None` if some of them are no longer kept.
    pub fn records_from(&self, from: Offset) -> Option<Vec<ForwardedRecord>> {
        let state = self.state.read();
        let tail = self.tail.lock();
        let first = tail.front().map_or(state.next, |r| r.offset);
        if from < first {
            return None;
        }
        let mut bytes = 0;
        let fits = |record: &&ForwardedRecord| {
            let first = bytes == 0;
            bytes += record.data.len();
            first || bytes <= FORWARDED_BYTES_MAX
        };
        Some(tail.iter().filter(|r| r.offset >= from).take_while(fits).cloned().collect())
    }

    /// Applies records that another node forwarded, as long as their digests show that they follow
    /// those applied here. Returns the number of applied records.
    pub fn apply_forwarded(&self, records: &[ForwardedRecord]) -> usize {
        let mut applied = 0;
        for record in records {
            let known = { self.state.read().next };
            if record.offset < known {
                continue;
            }
            if record.prev_digest != self.state.read().digest {
                break;
            }
            self.apply(record.offset, &Bytes::from(record.data.clone()));
            applied += 1;
        }
        applied
    }

    /// Records that a read of the log that began at `began` found its end at `end`.
    pub fn observe_end(&self, began: Instant, end: Offset) {
        self.freshness.send_if_modified(|f| f.observe(began, end));
    }

    /// Highest offset that the log is known to have reached.
    pub fn known_end(&self) -> Offset {
        let next = { self.state().next };
        next.max(self.freshness.borrow().end())
    }

    /// Waits until the state is known to include all records appended before `since`. Returns
    /// false if that is not known after [`CONFIRM_WAIT`].
    pub async fn confirm(&self, since: Instant) -> bool {
        let deadline = Instant::now() + CONFIRM_WAIT;
        let mut freshness = self.freshness.subscribe();
        let mut next_offset = self.subscribe();
        loop {
            let known = *freshness.borrow_and_update();
            let next = *next_offset.borrow_and_update();
            if known.is_current(next, since) {
                return true;
            }
            self.unconfirmed.notify_one();
            let changed = async {
                tokio::select! {
                    changed = freshness.changed() => changed.is_ok(),
                    changed = next_offset.changed() => changed.is_ok(),
                }
            };
            if !timeout_at(deadline.into(), changed).await.is_ok_and(|changed| changed) {
                return false;
            }
        }
    }

    /// Waits until a caller waits in [`confirm`](Self::confirm).
    pub async fn confirmation_wanted(&self) {
        self.unconfirmed.notified().await;
    }

    /// Appends a record and waits up to `limit` until the state includes it.
    ///
    /// A lost reply is harmless: the outcome is taken from the log, and the record is sent again if
    /// it does not appear there. At most one copy takes effect, because of the record's
    /// precondition.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`] if the outcome is not known within `limit`.
    pub async fn append(
        &self,
        log: &LogClient,
        record: &Record,
        limit: Duration,
    ) -> Result<AppendOutcome> {
        let (sender, mut outcome) = oneshot::channel();
        self.pending.lock().insert(record.id, sender);
        let deadline = Instant::now() + limit;
        let raw = record.encode();
        let mut last_error = None;
        while Instant::now() < deadline {
            let sent = (log.append)(raw.clone());
            tokio::select! {
                biased;
                Ok(outcome) = &mut outcome => return Ok(outcome),
                appended = sent => last_error = appended.err(),
            }
            if let Ok(Ok(outcome)) = timeout(APPEND_RETRY_DELAY, &mut outcome).await {
                return Ok(outcome);
            }
        }
        self.pending.lock().remove(&record.id);
        let context = format!("no outcome of the append of record {} within {limit:?}", record.id);
        let error = Error::new(Code::LogUnavailable, context);
        Err(match last_error {
            Some(cause) => error.caused_by(cause),
            None => error,
        })
    }
}
