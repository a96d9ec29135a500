//! The checks that a request passes before the backend server gets it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use kelpwind_wire::Announcement;
use parking_lot::{Mutex, RwLock};
use tokio::time::{timeout, timeout_at};

use super::admission::Admission;
use super::backend::{Backend, Grant};
use super::dedup::{DedupCache, Turn};
use super::inflight::{Entered, InFlight};
use super::limiter::Limiter;
use crate::core::call::{Answer, Attempt, Call, SliceRef};
use crate::core::codes::Code;
use crate::core::ids::{Count, Holder, Token};
use crate::core::state::SliceState;
use crate::lease::clock::{self, Moment};
use crate::lease::holder::Lease;
use crate::log::replica::Replica;

/// Longest time that a request waits for admission.
const QUEUE_WAIT: Duration = Duration::from_millis(100);
/// When a caller may come back that was refused for want of room.
const BUSY_RETRY: Duration = Duration::from_millis(100);
/// When a caller may come back that met no owner, or a wrong one.
const OWNER_RETRY: Duration = Duration::from_millis(250);
/// When a caller may come back that met a target being taken out.
const DRAIN_RETRY: Duration = Duration::from_millis(50);

/// The backend server beside this node, as it announced itself.
pub struct AttachedBackend {
    /// What it said.
    pub announcement: Announcement,
    /// The way to it.
    pub backend: Backend,
}

/// The gate of one node.
pub struct Gate {
    /// This node in this incarnation.
    pub me: Holder,
    /// The folded state.
    pub replica: Arc<Replica>,
    /// This node's lease; none before it has joined.
    pub lease: Arc<Mutex<Option<Lease>>>,
    /// The backend server; none before it has announced itself.
    pub attached: RwLock<Option<Arc<AttachedBackend>>>,
    /// When the backend server last announced itself.
    pub announced_at: Mutex<Option<Instant>>,
    /// Admission to the backend server.
    pub admission: Admission,
    /// Requests in flight by slice.
    pub inflight: InFlight,
    /// What became of requests that may not be repeated.
    pub dedup: DedupCache,
    /// Set once this node stops: it refuses all new work.
    pub stopping: std::sync::atomic::AtomicBool,
}

/// Leave to send a request: under which token and until when.
struct Leave {
    token: Token,
    ends: Option<Moment>,
}

/// Result of a check.
type Result<T> = std::result::Result<T, Code>;

impl Gate {
    /// A gate without a backend server.
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

    /// Takes a request to its end.
    pub async fn handle(&self, call: Call) -> Answer {
        let answer = match call.dedup {
            Some(attempt) => self.handle_once(call, attempt).await,
            None => self.admit_and_send(call).await.unwrap_or_else(refuse),
        };
        Answer { load: Some(self.admission.load()), ..answer }
    }

    /// Takes a request that may run once to its end: a repeat waits for the first one's answer.
    async fn handle_once(&self, call: Call, attempt: Attempt) -> Answer {
        let Some((_, slice)) = call.key.clone() else { return refuse(Code::BadRequest) };
        loop {
            // Only the owner may answer from its memory: nobody else knows of later runs.
            if let Err(code) = self.check_owner(&call) {
                return refuse(code);
            }
            let Some(slot) = self.memory_slot(&slice) else { return refuse(Code::NotOwner) };
            let first = attempt == Attempt::First;
            match self.dedup.begin(&slice, &slot, &call.id, first) {
                Turn::Answer(answer) => return answer,
                Turn::Run(ending) => {
                    let answer = self.admit_and_send(call).await.unwrap_or_else(refuse);
                    ending.note(&answer);
                    return answer;
                }
                Turn::Wait(mut end) => {
                    let ended = timeout_at(call.deadline.into(), end.changed()).await;
                    if ended.is_err() {
                        return Answer::refusal(Code::Expired);
                    }
                }
            }
        }
    }

    /// The slot under which the memory of a slice stands: for a former owner as it was before.
    fn memory_slot(&self, slice: &SliceRef) -> Option<SliceState> {
        let state = self.replica.state();
        let slot = state.slice(&slice.range, slice.slice)?;
        match &slot.former {
            Some(f) if f.holder == self.me && slot.holder.as_ref() != Some(&self.me) => {
                Some(f.slice_state())
            }
            _ => Some(slot.clone()),
        }
    }

    async fn admit_and_send(&self, call: Call) -> Result<Answer> {
        let attached = self.attached.read().clone().ok_or(Code::NoTarget)?;
        self.check_work(&call, &attached)?;
        self.check_owner(&call)?;
        let wait = call.deadline.min(Instant::now() + QUEUE_WAIT);
        let _permit = self.admission.enter(call.weight, wait).await?;
        let _entered = self.enter(&call)?;
        // The wait may have been long and the process frozen meanwhile: all is checked again, with
        // the clock read anew, right before the first byte goes out.
        self.check_work(&call, &attached)?;
        let leave = self.check_owner(&call)?;
        let now = Instant::now();
        if call.deadline <= now {
            return Err(Code::DeadlinePast);
        }
        let until = until(&call, &leave, attached.announcement.fenced, now);
        let grant = Grant { token: leave.token, ends: leave.ends, until };
        let sent = (attached.backend.send)(call, grant);
        let answer = match leave.ends {
            Some(_) => self.while_leased(sent).await,
            None => sent.await,
        };
        self.learn(&answer, now.elapsed());
        Ok(answer)
    }

    /// Cancels the work when the lease ends before it does.
    async fn while_leased(&self, mut sent: BoxFuture<'static, Answer>) -> Answer {
        loop {
            let ends = self.lease.lock().as_ref().and_then(Lease::expires_at);
            let left = ends.map_or(Duration::ZERO, |e| e.since(clock::now()));
            if left.is_zero() {
                return Answer::refusal(Code::Revoked);
            }
            if let Ok(answer) = timeout(left, &mut sent).await {
                return answer;
            }
        }
    }

    fn check_work(&self, call: &Call, attached: &AttachedBackend) -> Result<()> {
        if attached.announcement.service != call.service.as_str() {
            return Err(Code::StaleRoute);
        }
        if self.stopping.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(Code::Draining);
        }
        // The owner of a key goes on serving it until the key is handed over: nobody else may.
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

    fn check_owner(&self, call: &Call) -> Result<Leave> {
        let Some((_, slice)) = &call.key else {
            return Ok(Leave { token: Token(0), ends: None });
        };
        let token = self.owned(slice)?;
        let ends = self.lease.lock().as_ref().and_then(Lease::expires_at);
        match ends.filter(|end| clock::now() < *end) {
            Some(end) => Ok(Leave { token, ends: Some(end) }),
            None => Err(Code::LeaseLapsed),
        }
    }

    fn owned(&self, slice: &SliceRef) -> Result<Token> {
        let state = self.replica.state();
        let slot = state.slice(&slice.range, slice.slice).ok_or(Code::NoRange)?;
        let retired = state.ranges.get(&slice.range).is_none_or(|r| r.retired);
        if retired {
            return Err(Code::NotOwner);
        }
        self.token(slice, slot)
    }

    /// The token under which this node serves a slice: its own, once the former owner has let go,
    /// or that of the former owner, until the next one asks.
    fn token(&self, slice: &SliceRef, slot: &SliceState) -> Result<Token> {
        let former = slot.former.as_ref().filter(|f| f.holder == self.me);
        if slot.holder.as_ref() == Some(&self.me) {
            let free = slot.former.is_none() || former.is_some();
            let taken = free || self.inflight.is_acquired(slice, slot.token);
            return if taken { Ok(slot.token) } else { Err(Code::HandingOver) };
        }
        match former {
            Some(f) if !self.inflight.is_released(slice, f.token) => Ok(f.token),
            Some(_) => Err(Code::HandingOver),
            None => Err(Code::NotOwner),
        }
    }

    /// Whether this node may serve a slice, its lease aside.
    pub fn serves(&self, slice: &SliceRef, slot: &SliceState) -> bool {
        self.token(slice, slot).is_ok()
    }

    fn enter(&self, call: &Call) -> Result<Option<Entered>> {
        let Some((_, slice)) = &call.key else { return Ok(None) };
        let token = self.owned(slice)?;
        self.inflight.begin(slice, token).map(Some).ok_or(Code::HandingOver)
    }

    /// Tells a backend server that checks fences how long the lease now holds.
    pub async fn renew_grant(&self) {
        let attached = self.attached.read().clone();
        let Some(attached) = attached.filter(|a| a.announcement.fenced) else {
            return;
        };
        let ends = self.lease.lock().as_ref().and_then(Lease::expires_at);
        if let Some(ends) = ends {
            (attached.backend.renew_grant)(ends).await;
        }
    }

    /// Tells the limiter how it went.
    fn learn(&self, answer: &Answer, took: Duration) {
        self.admission.with_limiter(|l| match answer.code {
            Code::Done => l.on_served(took, clock::now()),
            Code::Shed => l.on_shed(clock::now()),
            _ => {}
        });
    }
}

/// The latest moment for an answer, as the backend server is told it.
///
/// A server that checks fences is told of each renewal and stops by itself when none comes, so its
/// work may outlast what is left of the lease now. One that does not is bounded by the lease as it
/// stands when the request is sent: should this process freeze, the deadline stops the work.
fn until(call: &Call, leave: &Leave, fenced: bool, now: Instant) -> Instant {
    match leave.ends {
        Some(ends) if !fenced => call.deadline.min(now + ends.since(clock::now())),
        _ => call.deadline,
    }
}

fn refuse(code: Code) -> Answer {
    let retry = match code {
        Code::Busy | Code::Cold => BUSY_RETRY,
        Code::Draining | Code::HandingOver | Code::StaleRoute => DRAIN_RETRY,
        _ => OWNER_RETRY,
    };
    Answer::refusal(code).with_retry_after(retry)
}
