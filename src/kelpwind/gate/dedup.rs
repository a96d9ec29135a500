//! Deduplication of requests that must run at most once, by idempotency key.
//!
//! A request with an idempotency key always goes to the owner of one slice: the slice of its key,
//! or for services that are not divided by key the slice that the idempotency key is hashed to. So
//! one gate at a time sees all repeats of a request and runs it once; a repeat gets the first
//! answer.
//!
//! The outcomes of a slice are complete if this node is its first owner, if the previous owner
//! transferred its complete outcomes with the slice, or once the retention period has passed. After
//! the loss of an owner they are incomplete: then only a request marked as the first attempt is
//! run, and any other is answered "unknown" rather than run a second time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::core::call::{Answer, RequestId, SliceRef};
use crate::core::codes::{Code, Outcome};
use crate::core::ids::Token;
use crate::core::state::SliceState;

/// Retention period of an idempotency key.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Largest answer body that is kept, in bytes; a repeat of a request with a larger one is answered
/// with [`Code::EarlierUnknown`].
pub const BODY_BYTES_MAX: usize = 64 << 10;
/// Size limit of the cache in bytes. At the limit, requests that would need a new entry are
/// refused.
pub const CACHE_BYTES_MAX: usize = 64 << 20;
/// Estimated size of an entry without its answer body, in bytes.
const ENTRY_BYTES: usize = 200;

/// Status of a request.
#[derive(Clone, Debug)]
enum Status {
    /// In progress; the channel is closed when it completes.
    Running(watch::Receiver<()>),
    /// Completed with this answer. `None`: it may have run, but its answer was not kept or is not
    /// known.
    Completed(Option<Answer>),
}

#[derive(Clone, Debug)]
struct Entry {
    status: Status,
    since: Instant,
    bytes: usize,
}

#[derive(Debug, Default)]
struct SliceCache {
    /// Token under which the entries were recorded or imported.
    token: Token,
    /// Time from which the entries count as complete.
    complete_from: Option<Instant>,
    entries: HashMap<RequestId, Entry>,
}

#[derive(Debug, Default)]
struct Inner {
    slices: BTreeMap<SliceRef, SliceCache>,
    /// Outcomes received from previous owners, for slices whose grant to this node is not yet seen.
    received: BTreeMap<SliceRef, SliceOutcomes>,
    bytes: usize,
}

/// Outcome of one request, as transferred to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Identifier of the request.
    pub id: RequestId,
    /// Time since the request completed.
    pub age: Duration,
    /// Code, status, content type and body of the answer; none if the answer is not known.
    pub answer: Option<(Code, u16, Option<String>, Bytes)>,
}

/// Outcomes of a slice, as transferred to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceOutcomes {
    /// Token of the sending owner.
    pub token: Token,
    /// Whether the outcomes of the sending owner were complete.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Outcomes of completed requests, in no particular order.
    #[serde(rename = "all")]
    pub outcomes: Vec<RequestOutcome>,
}

/// How to handle a request.
#[derive(Debug)]
pub enum Decision {
    /// Run it and record its answer.
    Run(Completion),
    /// The same request is running: wait until the channel is closed, then begin again.
    Wait(watch::Receiver<()>),
    /// Return this answer without running the request.
    Answer(Answer),
}

/// Records the outcome of a running request. If it is dropped without one, the outcome is unknown.
#[derive(Debug)]
pub struct Completion {
    cache: DedupCache,
    slice: SliceRef,
    id: RequestId,
    _completed: watch::Sender<()>,
}

/// Outcomes of the requests that one gate has run under an idempotency key.
#[derive(Clone, Debug, Default)]
pub struct DedupCache {
    inner: std::sync::Arc<Mutex<Inner>>,
}

impl DedupCache {
    /// Begins a request for `slice`, whose ownership is `state`. `first` means that the caller
    /// marked the request as its first attempt.
    pub fn begin(
        &self,
        slice: &SliceRef,
        state: &SliceState,
        id: &RequestId,
        first: bool,
    ) -> Decision {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let full = inner.bytes >= CACHE_BYTES_MAX;
        let cached = inner.slice_cache(slice, state, now);
        if let Some(entry) = cached.entries.get(id) {
            return match &entry.status {
                Status::Running(end) => Decision::Wait(end.clone()),
                Status::Completed(Some(answer)) => Decision::Answer(answer.clone()),
                Status::Completed(None) => Decision::Answer(Answer::refusal(Code::EarlierUnknown)),
            };
        }
        let complete = cached.complete_from.is_some_and(|at| at <= now);
        if !complete && !first {
            return Decision::Answer(Answer::refusal(Code::EarlierUnknown));
        }
        if full {
            return Decision::Answer(Answer::refusal(Code::Busy));
        }
        let (completed, end) = watch::channel(());
        let entry = Entry { status: Status::Running(end), since: now, bytes: ENTRY_BYTES };
        cached.entries.insert(id.clone(), entry);
        inner.bytes += ENTRY_BYTES;
        let (slice, id) = (slice.clone(), id.clone());
        Decision::Run(Completion { cache: self.clone(), slice, id, _completed: completed })
    }

    /// Exports the outcomes of slices in handover, given with the states under which they are held.
    /// No request for these slices is in flight any more. One that has begun but was not sent to
    /// the backend server will be refused and may run at the next owner, so it is left out.
    pub fn export(&self, slices: &[(SliceRef, SliceState)]) -> Vec<(SliceRef, SliceOutcomes)> {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let mut all = Vec::new();
        for (slice, state) in slices {
            let cached = inner.slice_cache(slice, state, now);
            let outcome = |(id, entry): (&RequestId, &Entry)| RequestOutcome {
                id: id.clone(),
                age: now.duration_since(entry.since),
                answer: entry.answer(),
            };
            let sent = SliceOutcomes {
                token: state.token,
                complete: cached.complete_from.is_some_and(|at| at <= now),
                outcomes: cached
                    .entries
                    .iter()
                    .filter(|(_, e)| !e.is_running())
                    .map(outcome)
                    .collect(),
            };
            all.push((slice.clone(), sent));
        }
        all
    }

    /// Stores the outcomes that the previous owner transferred; they are used once the log grants
    /// the slice to this node.
    pub fn import(&self, slice: SliceRef, sent: SliceOutcomes) {
        self.inner.lock().received.insert(slice, sent);
    }

    /// Drops entries past the retention period, and slices for which `owned` is false.
    pub fn prune(&self, owned: impl Fn(&SliceRef) -> bool) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.slices.retain(|slice, _| owned(slice));
        inner.received.retain(|slice, _| owned(slice));
        let mut bytes = 0;
        for slice in inner.slices.values_mut() {
            slice.entries.retain(|_, e| e.is_running() || now.duration_since(e.since) < RETENTION);
            bytes += slice.entries.values().map(|e| e.bytes).sum::<usize>();
        }
        inner.bytes = bytes;
    }

    /// Estimated size of the cache in bytes.
    pub fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }
}

impl Inner {
    /// Entries of a slice under its current token. If the token has changed, they are replaced by
    /// those that the previous owner transferred.
    fn slice_cache(
        &mut self,
        slice: &SliceRef,
        state: &SliceState,
        now: Instant,
    ) -> &mut SliceCache {
        let cached = self.slices.entry(slice.clone()).or_default();
        if cached.token == state.token {
            return cached;
        }
        let received = self.received.remove(slice).filter(|s| s.token == state.prev);
        let transferred_complete = received.as_ref().is_some_and(|s| s.complete);
        let complete_from =
            if state.prev == Token(0) || transferred_complete { now } else { now + RETENTION };
        let entries = received.map_or_else(HashMap::new, |s| s.entries(now));
        self.bytes += entries.values().map(|e| e.bytes).sum::<usize>();
        *cached = SliceCache { token: state.token, complete_from: Some(complete_from), entries };
        cached
    }
}

impl SliceOutcomes {
    fn entries(self, now: Instant) -> HashMap<RequestId, Entry> {
        let entry = |r: RequestOutcome| {
            let since = now.checked_sub(r.age).unwrap_or(now);
            let answer = r.answer.map(|(code, status, content_type, body)| Answer {
                code,
                status,
                content_type: content_type.and_then(|t| t.parse().ok()),
                body,
                retry_after: None,
                load: None,
            });
            let bytes = entry_bytes(&answer);
            (r.id, Entry { status: Status::Completed(answer), since, bytes })
        };
        self.outcomes.into_iter().map(entry).collect()
    }
}

impl Entry {
    fn is_running(&self) -> bool {
        matches!(self.status, Status::Running(_))
    }

    fn answer(&self) -> Option<(Code, u16, Option<String>, Bytes)> {
        let Status::Completed(Some(answer)) = &self.status else { return None };
        let content_type = answer.content_type.as_ref().and_then(|t| t.to_str().ok());
        let content_type = content_type.map(str::to_owned);
        Some((answer.code, answer.status, content_type, answer.body.clone()))
    }
}

fn entry_bytes(answer: &Option<Answer>) -> usize {
    ENTRY_BYTES + answer.as_ref().map_or(0, |a| a.body.len())
}

impl Completion {
    /// Records the answer of the request. A request that did not run is dropped, so that it can be
    /// sent again.
    pub fn record(self, answer: &Answer) {
        let mut inner = self.cache.inner.lock();
        let Some(cached) = inner.slices.get_mut(&self.slice) else { return };
        if answer.code.outcome() == Outcome::NotRun {
            if cached.entries.remove(&self.id).is_some() {
                inner.bytes = inner.bytes.saturating_sub(ENTRY_BYTES);
            }
            return;
        }
        let done = answer.code == Code::Done && answer.body.len() <= BODY_BYTES_MAX;
        let kept = done.then(|| answer.clone());
        let bytes = entry_bytes(&kept);
        if let Some(entry) = cached.entries.get_mut(&self.id) {
            *entry = Entry { status: Status::Completed(kept), since: Instant::now(), bytes };
            inner.bytes += bytes - ENTRY_BYTES;
        }
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        let mut inner = self.cache.inner.lock();
        let Some(cached) = inner.slices.get_mut(&self.slice) else { return };
        if let Some(entry) = cached.entries.get_mut(&self.id)
            && entry.is_running()
        {
            entry.status = Status::Completed(None);
        }
    }
}
