//! Handles requests for the backend server: checks, admission, sending and deduplication.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use kelpwind_wire::Announcement;
use parking_lot::{Mutex, RwLock};
use tokio::time::{timeout, timeout_at};

use super::admission::Admission;
use super::backend::{Backend, Grant};
use super::dedup::{Decision, DedupCache};
use super::inflight::{InFlight, InFlightGuard};
use super::limiter::Limiter;
use crate::core::call::{Answer, Attempt, Call, SliceRef};
use crate::core::codes::Code;
use crate::core::ids::{Count, Holder, Token};
use crate::core::state::SliceState;
use crate::lease::clock::{self, BootInstant};
use crate::lease::holder::Lease;
use crate::log::replica::Replica;

/// Longest time that a request is queued for admission.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(100);
/// Retry delay given to a caller that was refused for lack of capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay given to a caller whose request reached a node that does not own the key, and for
/// all other refusals.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay given to a caller whose request reached a target that is draining or no longer
/// serves the key or service.
const DRAIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The backend server beside this node, as it announced itself.
pub struct AttachedBackend {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Client through which requests are sent to it.
    pub backend: Backend,
}

/// The gate of one node.
pub struct Gate {
    /// Name and incarnation of this node.
    pub me: Holder,
    /// Replicated state, built from the log.
    pub replica: Arc<Replica>,
    /// This node's lease; none before it has joined.
    pub lease: Arc<Mutex<Option<Lease>>>,
    /// The backend server; none before it has announced itself.
    pub attached: RwLock<Option<Arc<AttachedBackend>>>,
    /// When the backend server last announced itself.
    pub announced_at: Mutex<Option<Instant>>,
    /// Admission to the backend server.
    pub admission: Admission,
    /// Requests in flight by slice, and the slices in handover.
    pub inflight: InFlight,
    /// Outcomes of requests that must run at most once.
    pub dedup: DedupCache,
    /// Set when this node stops; all new requests are refused from then on.
    pub stopping: std::sync::atomic::AtomicBool,
}

/// Authority to send a request: the fencing token, and the end of the lease for a keyed request.
struct Authority {
    token: Token,
    lease_end: Option<BootInstant>,
}

/// Result of a check; the error is the code of the refusal.
type Result<T> = std::result::Result<T, Code>;

impl Gate {
    /// Creates a gate without a backend server.
    pub fn new(me: Holder, replica: Arc<Replica>, lease: Arc<Mutex<Option<Lease>>>) -> Gate {
        Gate {
            me,
            replica,
            lease,
            attached: RwLock::default(),
            announced_at: Mutex::default(),
            admission: Admission::new(Limiter::new(Count(1), Duration::from_secs(1))),
            inflight: InFlight::default(),
            dedup: DedupCache::default(),
            stopping: false.into(),
        }
    }

    /// Handles a request until its answer or refusal.
    pub async fn handle(&self, call: Call) -> Answer {
        let answer = match call.dedup {
            Some(attempt) => self.handle_once(call, attempt).await,
            None => self.admit_and_send(call).await.unwrap_or_else(refuse),
        };
        Answer { load: Some(self.admission.load()), ..answer }
    }

    /// Handles a request that must run at most once: a repeat waits for the answer to the first.
    async fn handle_once(&self, call: Call, attempt: Attempt) -> Answer {
        let Some((_, slice)) = call.key.clone() else { return refuse(Code::BadRequest) };
        loop {
            // Only the owner may answer from the cache: any other node may have missed later runs.
            if let Err(code) = self.check_owner(&call) {
                return refuse(code);
            }
            let Some(state) = self.dedup_state(&slice) else { return refuse(Code::NotOwner) };
            let first = attempt == Attempt::First;
            match self.dedup.begin(&slice, &state, &call.id, first) {
                Decision::Answer(answer) => return answer,
                Decision::Run(completion) => {
                    let answer = self.admit_and_send(call).await.unwrap_or_else(refuse);
                    completion.record(&answer);
                    return answer;
                }
                Decision::Wait(mut done) => {
                    let ended = timeout_at(call.deadline.into(), done.changed()).await;
                    if ended.is_err() {
                        return Answer::refusal(Code::Expired);
                    }
                }
            }
        }
    }

    /// State under which the outcomes of a slice are cached. For a former owner it is the state
    /// before the handover.
    fn dedup_state(&self, slice: &SliceRef) -> Option<SliceState> {
        let state = self.replica.state();
        let current = state.slice(&slice.range, slice.slice)?;
        match &current.former {
            Some(f) if f.holder == self.me && current.holder.as_ref() != Some(&self.me) => {
                Some(f.slice_state())
            }
            _ => Some(current.clone()),
        }
    }

    async fn admit_and_send(&self, call: Call) -> Result<Answer> {
        let attached = self.attached.read().clone().ok_or(Code::NoTarget)?;
        self.check_accepting(&call, &attached)?;
        self.check_owner(&call)?;
        let wait = call.deadline.min(Instant::now() + QUEUE_WAIT_MAX);
        let _permit = self.admission.acquire(call.weight, wait).await?;
        let mut in_flight = self.begin(&call, &attached)?;
        // The request may have waited, and the process may have been frozen meanwhile: all is
        // checked again, against a new reading of the clock, right before the first byte is sent.
        self.check_accepting(&call, &attached)?;
        let authority = self.check_owner(&call)?;
        let now = Instant::now();
        if call.deadline <= now {
            return Err(Code::DeadlinePast);
        }
        let deadline = backend_deadline(&call, &authority, attached.announcement.fenced, now);
        let grant = Grant { token: authority.token, lease_end: authority.lease_end, deadline };
        if let Some(guard) = &mut in_flight {
            guard.record_sent(deadline);
        }
        let sent = (attached.backend.send)(call, grant);
        let answer = match authority.lease_end {
            Some(_) => self.run_while_leased(sent).await,
            None => sent.await,
        };
        if let Some(guard) = in_flight.as_mut().filter(|_| has_ended(answer.code)) {
            guard.record_end();
        }
        self.update_limiter(&answer, now.elapsed());
        Ok(answer)
    }

    /// Waits for an answer and cancels the work if the lease ends first.
    async fn run_while_leased(&self, mut sent: BoxFuture<'static, Answer>) -> Answer {
        loop {
            let lease_end = self.lease.lock().as_ref().and_then(Lease::expires_at);
            let left = lease_end.map_or(Duration::ZERO, |e| e.since(clock::now()));
            if left.is_zero() {
                return Answer::refusal(Code::Revoked);
            }
            if let Ok(answer) = timeout(left, &mut sent).await {
                return answer;
            }
        }
    }

    /// Checks that the backend server accepts work for the service of the request.
    fn check_accepting(&self, call: &Call, attached: &AttachedBackend) -> Result<()> {
        if attached.announcement.service != call.service.as_str() {
            return Err(Code::StaleRoute);
        }
        if self.stopping.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(Code::Draining);
        }
        // The owner of a key serves it until the handover, as no other node may.
        if call.key.is_some() {
            return Ok(());
        }
        let state = self.replica.state();
        let me = state.members.get(&self.me).ok_or(Code::NoTarget)?;
        if attached.announcement.draining || !state.takes_work(&me.member) {
            return Err(Code::Draining);
        }
        Ok(())
    }

    /// Checks that this node owns the key of the request and holds its lease.
    fn check_owner(&self, call: &Call) -> Result<Authority> {
        let Some((_, slice)) = &call.key else {
            return Ok(Authority { token: Token(0), lease_end: None });
        };
        let token = self.owned_token(slice)?;
        let lease_end = self.lease.lock().as_ref().and_then(Lease::expires_at);
        match lease_end.filter(|end| clock::now() < *end) {
            Some(end) => Ok(Authority { token, lease_end: Some(end) }),
            None => Err(Code::LeaseLapsed),
        }
    }

    /// Token under which this node serves a slice of a configured key range. A range that this node
    /// does not know may be one that it has not read yet.
    fn owned_token(&self, slice: &SliceRef) -> Result<Token> {
        let state = self.replica.state();
        let current = state.slice(&slice.range, slice.slice).ok_or(Code::NotOwner)?;
        let retired = state.ranges.get(&slice.range).is_none_or(|r| r.retired);
        if retired {
            return Err(Code::NotOwner);
        }
        self.serving_token(slice, current)
    }

    /// Token under which this node serves a slice: as the owner its own, once the former owner has
    /// released the slice; as the former owner its old one, until the next owner asks for the
    /// slice.
    fn serving_token(&self, slice: &SliceRef, state: &SliceState) -> Result<Token> {
        let former = state.former.as_ref().filter(|f| f.holder == self.me);
        if state.holder.as_ref() == Some(&self.me) {
            let free = state.former.is_none() || former.is_some();
            let acquired = free || self.inflight.is_acquired(slice, state.token);
            return if acquired { Ok(state.token) } else { Err(Code::HandingOver) };
        }
        match former {
            Some(f) if !self.inflight.is_released(slice, f.token) => Ok(f.token),
            Some(_) => Err(Code::HandingOver),
            None => Err(Code::NotOwner),
        }
    }

    /// Whether this node may serve a slice; its lease is not checked.
    pub fn serves(&self, slice: &SliceRef, state: &SliceState) -> bool {
        self.serving_token(slice, state).is_ok()
    }

    fn begin(&self, call: &Call, attached: &AttachedBackend) -> Result<Option<InFlightGuard>> {
        let Some((_, slice)) = &call.key else { return Ok(None) };
        let token = self.owned_token(slice)?;
        let server = attached.announcement.addr.as_str();
        self.inflight.begin(slice, token, server).map(Some).ok_or(Code::HandingOver)
    }

    /// Sends the current end of the lease to a backend server that checks fencing tokens.
    pub async fn renew_grant(&self) {
        let attached = self.attached.read().clone();
        let Some(attached) = attached.filter(|a| a.announcement.fenced) else {
            return;
        };
        let lease_end = self.lease.lock().as_ref().and_then(Lease::expires_at);
        if let Some(lease_end) = lease_end {
            (attached.backend.renew_grant)(lease_end).await;
        }
    }

    /// Adapts the limiter to the outcome of a request.
    fn update_limiter(&self, answer: &Answer, took: Duration) {
        self.admission.with_limiter(|l| match answer.code {
            Code::Done => l.on_served(took, clock::now()),
            Code::Shed => l.on_shed(clock::now()),
            _ => {}
        });
    }
}

/// Deadline that is sent to the backend server.
///
/// A server that checks fencing tokens receives each renewal and stops by itself without one, so
/// its work may outlast the current end of the lease. For any other server the deadline is bounded
/// by the current end of the lease: if this process freezes, the deadline stops the work.
fn backend_deadline(call: &Call, authority: &Authority, fenced: bool, now: Instant) -> Instant {
    match authority.lease_end {
        Some(lease_end) if !fenced => call.deadline.min(now + lease_end.since(clock::now())),
        _ => call.deadline,
    }
}

/// Whether a request with this result has certainly ended at the server, or never reached it.
/// Without an answer it may run until its deadline, also after its connection is closed.
fn has_ended(code: Code) -> bool {
    matches!(code, Code::Done | Code::Shed | Code::Unreachable | Code::BadRequest)
}

fn refuse(code: Code) -> Answer {
    let retry = match code {
        Code::Busy | Code::Cold => BUSY_RETRY_DELAY,
        Code::Draining | Code::HandingOver | Code::StaleRoute => DRAIN_RETRY_DELAY,
        _ => OWNER_RETRY_DELAY,
    };
    Answer::refusal(code).with_retry_after(retry)
}
