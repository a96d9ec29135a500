//! What became of requests that may not be repeated, by idempotency key.
//!
//! A request that names an idempotency key always goes to the owner of one slice: its key's, or for
//! services that are not divided by key that of a slice the idempotency key itself is hashed to. So
//! one gate at a time knows all repeats of a request and runs it once; a repeat gets the first
//! one's answer. The memory of a slice is whole when this node has owned the slice from the first,
//! when the owner before handed its memory over with the slice, or when the time for which keys are
//! remembered has passed. After the loss of an owner it is not: then only a request that says it is
//! the first try is run, and any other is answered "unknown", never run a second time.

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

/// Time for which an idempotency key is remembered.
pub const KEPT: Duration = Duration::from_secs(600);
/// Largest body of an answer that is kept, in bytes; the repeat of a request with a larger one is
/// told that it ran.
pub const BODY_MAX: usize = 64 << 10;
/// Most bytes kept. When they are used up, requests that would have to be remembered are refused.
pub const BYTES_MAX: usize = 64 << 20;
/// What an entry costs besides its body, in bytes.
const ENTRY_COST: usize = 200;

/// What is known of a request.
#[derive(Clone, Debug)]
enum Known {
    /// It runs; the channel is closed when it has ended.
    Running(watch::Receiver<()>),
    /// It ended so. No answer: it ran, but its answer was not kept or is not known.
    Ended(Option<Answer>),
}

#[derive(Clone, Debug)]
struct Entry {
    known: Known,
    since: Instant,
    cost: usize,
}

#[derive(Debug, Default)]
struct Slice {
    /// Token under which the memory below was gathered or taken over.
    token: Token,
    /// From when on the memory counts as whole.
    whole: Option<Instant>,
    entries: HashMap<RequestId, Entry>,
}

#[derive(Debug, Default)]
struct Inner {
    slices: BTreeMap<SliceRef, Slice>,
    /// Memory that owners before sent along, by the token they held; not ours yet.
    sent: BTreeMap<SliceRef, SliceOutcomes>,
    bytes: usize,
}

/// One outcome as it is handed to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// The request.
    pub id: RequestId,
    /// How long ago it ended.
    pub age: Duration,
    /// Its answer's code, status, content type and body; none when it ran but is not known so well.
    pub answer: Option<(Code, u16, Option<String>, Bytes)>,
}

/// The memory of a slice on its way to the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceOutcomes {
    /// Token of the owner that sends it.
    pub token: Token,
    /// Whether its own memory was whole.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The outcomes.
    #[serde(rename = "all")]
    pub outcomes: Vec<RequestOutcome>,
}

/// What to do with a request.
#[derive(Debug)]
pub enum Turn {
    /// Run it, and say how it ended.
    Run(Ending),
    /// The same request runs already: wait for its end and ask again.
    Wait(watch::Receiver<()>),
    /// Answer so; it is not run.
    Answer(Answer),
}

/// Notes the end of a request that runs. Dropped without an answer, the outcome is unknown.
#[derive(Debug)]
pub struct Ending {
    memory: DedupCache,
    slice: SliceRef,
    id: RequestId,
    _ended: watch::Sender<()>,
}

/// The memory of one gate.
#[derive(Clone, Debug, Default)]
pub struct DedupCache {
    inner: std::sync::Arc<Mutex<Inner>>,
}

impl DedupCache {
    /// Begins a request for a slice that is owned as `slot` says. `first`: its sender says that it
    /// has never been sent before.
    pub fn begin(&self, slice: &SliceRef, slot: &SliceState, id: &RequestId, first: bool) -> Turn {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let full = inner.bytes >= BYTES_MAX;
        let known = inner.slice(slice, slot, now);
        if let Some(entry) = known.entries.get(id) {
            return match &entry.known {
                Known::Running(end) => Turn::Wait(end.clone()),
                Known::Ended(Some(answer)) => Turn::Answer(answer.clone()),
                Known::Ended(None) => Turn::Answer(Answer::refusal(Code::EarlierUnknown)),
            };
        }
        let whole = known.whole.is_some_and(|at| at <= now);
        if !whole && !first {
            return Turn::Answer(Answer::refusal(Code::EarlierUnknown));
        }
        if full {
            return Turn::Answer(Answer::refusal(Code::Busy));
        }
        let (ended, end) = watch::channel(());
        let entry = Entry { known: Known::Running(end), since: now, cost: ENTRY_COST };
        known.entries.insert(id.clone(), entry);
        inner.bytes += ENTRY_COST;
        let (slice, id) = (slice.clone(), id.clone());
        Turn::Run(Ending { memory: self.clone(), slice, id, _ended: ended })
    }

    /// The memory of slices that are about to be handed over, with the tokens they are held under.
    /// No request for them is in flight any more; one that has begun but was not sent yet will be
    /// refused and may run at the next owner, so it is left out.
    pub fn export(&self, slices: &[(SliceRef, SliceState)]) -> Vec<(SliceRef, SliceOutcomes)> {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let mut all = Vec::new();
        for (slice, slot) in slices {
            let known = inner.slice(slice, slot, now);
            let remembered = |(id, entry): (&RequestId, &Entry)| RequestOutcome {
                id: id.clone(),
                age: now.duration_since(entry.since),
                answer: entry.answer(),
            };
            let sent = SliceOutcomes {
                token: slot.token,
                complete: known.whole.is_some_and(|at| at <= now),
                outcomes: known
                    .entries
                    .iter()
                    .filter(|(_, e)| !e.is_running())
                    .map(remembered)
                    .collect(),
            };
            all.push((slice.clone(), sent));
        }
        all
    }

    /// Takes what the owner before sent along; it counts once the log names this node as the next.
    pub fn import(&self, slice: SliceRef, sent: SliceOutcomes) {
        self.inner.lock().sent.insert(slice, sent);
    }

    /// Forgets what is old, and slices that this node does not own.
    pub fn prune(&self, owned: impl Fn(&SliceRef) -> bool) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.slices.retain(|slice, _| owned(slice));
        inner.sent.retain(|slice, _| owned(slice));
        let mut bytes = 0;
        for slice in inner.slices.values_mut() {
            slice.entries.retain(|_, e| e.is_running() || now.duration_since(e.since) < KEPT);
            bytes += slice.entries.values().map(|e| e.cost).sum::<usize>();
        }
        inner.bytes = bytes;
    }

    /// Bytes used.
    pub fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }
}

impl Inner {
    /// The memory of a slice under its present token; begun anew when the token has changed.
    fn slice(&mut self, slice: &SliceRef, slot: &SliceState, now: Instant) -> &mut Slice {
        let known = self.slices.entry(slice.clone()).or_default();
        if known.token == slot.token {
            return known;
        }
        let sent = self.sent.remove(slice).filter(|s| s.token == slot.prev);
        let inherited = sent.as_ref().is_some_and(|s| s.complete);
        let whole = if slot.prev == Token(0) || inherited { now } else { now + KEPT };
        let entries = sent.map_or_else(HashMap::new, |s| s.entries(now));
        self.bytes += entries.values().map(|e| e.cost).sum::<usize>();
        *known = Slice { token: slot.token, whole: Some(whole), entries };
        known
    }
}

impl SliceOutcomes {
    fn entries(self, now: Instant) -> HashMap<RequestId, Entry> {
        let entry = |r: RequestOutcome| {
            let since = now.checked_sub(r.age).unwrap_or(now);
            let answer = r.answer.map(|(code, status, kind, body)| Answer {
                code,
                status,
                content_type: kind.and_then(|k| k.parse().ok()),
                body,
                retry_after: None,
                load: None,
            });
            let cost = cost(&answer);
            (r.id, Entry { known: Known::Ended(answer), since, cost })
        };
        self.outcomes.into_iter().map(entry).collect()
    }
}

impl Entry {
    fn is_running(&self) -> bool {
        matches!(self.known, Known::Running(_))
    }

    fn answer(&self) -> Option<(Code, u16, Option<String>, Bytes)> {
        let Known::Ended(Some(answer)) = &self.known else { return None };
        let kind = answer.content_type.as_ref().and_then(|k| k.to_str().ok()).map(str::to_owned);
        Some((answer.code, answer.status, kind, answer.body.clone()))
    }
}

fn cost(answer: &Option<Answer>) -> usize {
    ENTRY_COST + answer.as_ref().map_or(0, |a| a.body.len())
}

impl Ending {
    /// Notes how the request ended. One that did not run may come again.
    pub fn note(self, answer: &Answer) {
        let mut inner = self.memory.inner.lock();
        let Some(known) = inner.slices.get_mut(&self.slice) else { return };
        if answer.code.outcome() == Outcome::NotRun {
            if known.entries.remove(&self.id).is_some() {
                inner.bytes = inner.bytes.saturating_sub(ENTRY_COST);
            }
            return;
        }
        let done = answer.code == Code::Done && answer.body.len() <= BODY_MAX;
        let kept = done.then(|| answer.clone());
        let cost = cost(&kept);
        if let Some(entry) = known.entries.get_mut(&self.id) {
            *entry = Entry { known: Known::Ended(kept), since: Instant::now(), cost };
            inner.bytes += cost - ENTRY_COST;
        }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let mut inner = self.memory.inner.lock();
        let Some(known) = inner.slices.get_mut(&self.slice) else { return };
        if let Some(entry) = known.entries.get_mut(&self.id)
            && entry.is_running()
        {
            entry.known = Known::Ended(None);
        }
    }
}
