//! Routes a request: tries targets until the answer is final.
//!
//! A slow request that may be sent again (idempotent, or deduplicated by its owner) is hedged: it
//! is sent a second time. A request without a key goes to another target. One with a key goes to
//! its owner again, but over a new connection, since the old one may be broken without notice. The
//! first complete answer counts and the other request is cancelled. Retries and hedges withdraw
//! from one retry budget.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::budget::BudgetShare;
use super::picker::{self, Candidate};
use super::request::{RawRequest, ResolvedRequest};
use super::stats::{ServiceStats, Stats};
use super::wire;
use crate::core::call::{Answer, Attempt, Call};
use crate::core::codes::{Code, Outcome};
use crate::core::ids::{DomainName, Holder, Offset, ServiceName};
use crate::core::record::Member;
use crate::gate::handler::Gate;
use crate::log::replica::Replica;
use crate::net::pool::{Pool, Reuse};

/// Longest time that a request waits for its key to get an owner: a planned handover takes tens of
/// milliseconds. A takeover takes longer, and its callers are told to retry.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// Retry delay given to a caller whose key has no owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay given to a caller for whose request there is no target.
const TARGET_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay given to a caller whose request the node cannot judge.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for a newer assignment before the owner is tried again.
const UPDATE_WAIT_MAX: Duration = Duration::from_millis(5);
/// Factor on the hedge delay of the service for a request with a key.
const OWNER_HEDGE_FACTOR: u32 = 10;
/// Shortest time after which a request with a key is hedged.
const OWNER_HEDGE_DELAY_MIN: Duration = Duration::from_millis(100);

/// The entry of one node.
pub struct Entry {
    /// Name and incarnation of this node.
    pub me: Holder,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Replicated state, built from the log.
    pub replica: Arc<Replica>,
    /// This node's own gate, for requests whose target is the backend server beside it.
    pub gate: Arc<Gate>,
    /// Connections to other nodes.
    pub pool: Arc<Pool>,
    /// Measurements of targets and services.
    pub stats: Stats,
    /// Called on each retry and hedge.
    pub on_event: Box<dyn Fn(Event) + Send + Sync>,
}

/// Retries and hedges of an entry, reported for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request is retried after an answer with this code.
    Retry(Code),
    /// A slow request is hedged.
    Hedge,
    /// The hedge was answered before the first request.
    HedgeWon,
}

/// A target, with the offset of the state from which it was chosen.
struct Target {
    member: Member,
    offset: Offset,
    /// Whether the key is in handover, so that its owner and its former owner may both serve it.
    in_handover: bool,
}

impl Entry {
    /// Creates an entry without measurements.
    pub fn new(
        domain: DomainName,
        gate: Arc<Gate>,
        pool: Arc<Pool>,
        on_event: Box<dyn Fn(Event) + Send + Sync>,
    ) -> Entry {
        Entry {
            me: gate.me.clone(),
            domain,
            replica: gate.replica.clone(),
            gate,
            pool,
            stats: Stats::default(),
            on_event,
        }
    }

    /// Resolves a request by the configuration. One that the configuration does not allow is
    /// refused as invalid only if the configuration is known to be current as of its arrival.
    ///
    /// # Errors
    /// The answer to the caller.
    pub async fn resolve(&self, raw: &RawRequest) -> Result<ResolvedRequest, Answer> {
        let resolve = || raw.resolve(&self.replica.state());
        let resolved = match resolve() {
            Err(refusal) if refusal.by_config => {
                let confirmed = self.replica.confirm(raw.received).await;
                // The configuration may have changed meanwhile.
                resolve().map_err(|r| match r.by_config && !confirmed {
                    true => Code::StaleConfig,
                    false => r.code,
                })
            }
            resolved => resolved.map_err(|r| r.code),
        };
        resolved.map_err(|code| match code {
            Code::StaleConfig | Code::NoConfig => {
                Answer::refusal(code).with_retry_after(CONFIG_RETRY_DELAY)
            }
            _ => Answer::refusal(code),
        })
    }

    /// Routes a request and returns its final answer.
    pub async fn route(&self, mut request: ResolvedRequest) -> Answer {
        let mut unresolved = None;
        let last = self.try_targets(&mut request, &mut unresolved).await;
        // A later refusal does not settle an earlier attempt whose outcome is unknown.
        let answer = match unresolved {
            Some(earlier) if last.code.outcome() == Outcome::NotRun => earlier,
            _ => last,
        };
        Answer { load: None, ..answer }
    }

    async fn try_targets(
        &self,
        request: &mut ResolvedRequest,
        unresolved: &mut Option<Answer>,
    ) -> Answer {
        let service = self.stats.service(&request.call.service);
        service.budget.deposit(BudgetShare::default());
        let mut attempts = Attempts::new();
        loop {
            if request.call.deadline <= Instant::now() {
                return Answer::refusal(Code::DeadlinePast);
            }
            let target = match self.target(&request.call, &attempts).await {
                Ok(target) => target,
                Err(answer) => return answer,
            };
            let answer = self.send_hedged(&target, request, &attempts.tried, &service).await;
            if !attempts.allow_retry(request, &target, &answer, &service) {
                return answer;
            }
            (self.on_event)(Event::Retry(answer.code));
            if answer.code.outcome() == Outcome::Unknown {
                *unresolved = Some(answer);
                request.call.dedup = request.call.dedup.map(|_| Attempt::Later);
            }
            let try_other = attempts.record_refusal(&target);
            if request.call.key.is_some() && !try_other {
                self.wait_for_update(target.offset).await;
            }
        }
    }

    /// Sends a request, and hedges it if it is slow and may be sent again.
    async fn send_hedged(
        &self,
        target: &Target,
        request: &ResolvedRequest,
        tried: &[Holder],
        service: &ServiceStats,
    ) -> Answer {
        let call = &request.call;
        let began = Instant::now();
        let mut first = pin!(self.send(&target.member, call, Reuse::Any));
        let delay = hedge_delay(request, service).unwrap_or(Duration::MAX);
        let answer = match timeout(delay, &mut first).await {
            Ok(answer) => answer,
            Err(_) => {
                let other = self.hedge_target(target, call, tried);
                match other.filter(|_| service.budget.try_withdraw()) {
                    None => first.await,
                    Some(other) => self.send_hedge(first, target, &other, call).await,
                }
            }
        };
        if answer.code == Code::Done {
            service.record_latency(began.elapsed());
        }
        answer
    }

    async fn send_hedge(
        &self,
        first: impl Future<Output = Answer> + Unpin,
        target: &Target,
        other: &Member,
        call: &Call,
    ) -> Answer {
        (self.on_event)(Event::Hedge);
        let again = Call { dedup: call.dedup.map(|_| Attempt::Later), ..call.clone() };
        let second = pin!(self.send(other, &again, Reuse::Never));
        let (answer, second_won) = first_done(first, second).await;
        if second_won {
            (self.on_event)(Event::HedgeWon);
            // The idle connections to the first target may be as broken as the one just used.
            self.pool.close_idle(target.member.peer);
        }
        answer
    }

    /// Target of a hedge: the same owner for a key, otherwise another target that has capacity.
    fn hedge_target(&self, first: &Target, call: &Call, tried: &[Holder]) -> Option<Member> {
        if call.key.is_some() {
            return Some(first.member.clone());
        }
        let mut tried = tried.to_vec();
        tried.push(first.member.holder.clone());
        let other = self.pick(&call.service, &tried)?.member;
        // A hedge to a target with a queue would only lengthen it.
        let free = self.stats.candidate(&other.holder, true).has_capacity();
        free.then_some(other)
    }

    /// Chooses the next target; waits for the owner of a key that has none.
    async fn target(&self, call: &Call, attempts: &Attempts) -> Result<Target, Answer> {
        if call.key.is_none() {
            let refusal = || Answer::refusal(Code::NoTarget).with_retry_after(TARGET_RETRY_DELAY);
            return self.pick(&call.service, &attempts.tried).ok_or_else(refusal);
        }
        let mut moves = self.replica.subscribe();
        loop {
            moves.borrow_and_update();
            if let Some(owner) = self.owner(call, attempts.refused.as_ref()) {
                return Ok(owner);
            }
            let until = attempts.owner_deadline.min(call.deadline);
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, moves.changed()).await.is_err() {
                return Err(Answer::refusal(Code::NoOwner).with_retry_after(OWNER_RETRY_DELAY));
            }
        }
    }

    /// Owner of the request's key. During a handover two nodes may serve the key; the one that
    /// refused last is skipped.
    fn owner(&self, call: &Call, refused: Option<&Holder>) -> Option<Target> {
        let (_, slice) = call.key.as_ref()?;
        let state = self.replica.state();
        let current = state.slice(&slice.range, slice.slice)?;
        let former = current.former.as_ref().map(|f| &f.holder);
        let both = current.holder.as_ref().into_iter().chain(former);
        let holder = both.clone().find(|h| Some(*h) != refused).or(both.clone().next())?;
        let member = state.members.get(holder)?.member.clone();
        Some(Target { member, offset: state.next, in_handover: former.is_some() })
    }

    fn pick(&self, service: &ServiceName, tried: &[Holder]) -> Option<Target> {
        let state = self.replica.state();
        let eligible = |m: &&Member| state.takes_work(m) && !tried.contains(&m.holder);
        let members: Vec<&Member> = state.targets(service).filter(eligible).collect();
        let candidate = |m: &&Member| self.stats.candidate(&m.holder, m.domain == self.domain);
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        let chosen = picker::choose(&candidates, |n| fastrand::usize(..n))?;
        Some(Target { member: members[chosen].clone(), offset: state.next, in_handover: false })
    }

    async fn send(&self, to: &Member, call: &Call, reuse: Reuse) -> Answer {
        let in_flight = self.stats.begin(&to.holder);
        let answer = match to.holder == self.me {
            true => self.gate.handle(call.clone()).await,
            false => wire::send(&self.pool, to.peer, call, reuse).await,
        };
        in_flight.finish(&answer);
        answer
    }

    /// Waits a short time for a newer assignment than the one that led to a refusal.
    async fn wait_for_update(&self, offset: Offset) {
        let mut moves = self.replica.subscribe();
        let update = async {
            while *moves.borrow_and_update() <= offset && moves.changed().await.is_ok() {}
        };
        let _ = timeout(UPDATE_WAIT_MAX, update).await;
    }

    /// Drops the measurements of targets that are no longer members and of services that are no
    /// longer configured.
    pub fn prune(&self) {
        let state = self.replica.state();
        let member = |holder: &Holder| state.members.contains_key(holder);
        self.stats.prune(member, |service| state.config.service.contains_key(service));
    }
}

/// Time after which a request is hedged; `None` if it may not be sent again.
fn hedge_delay(request: &ResolvedRequest, service: &ServiceStats) -> Option<Duration> {
    if !request.idempotent && request.call.dedup.is_none() {
        return None;
    }
    let delay = service.hedge_delay()?;
    if request.call.key.is_none() {
        return Some(delay);
    }
    Some((delay * OWNER_HEDGE_FACTOR).max(OWNER_HEDGE_DELAY_MIN))
}

/// Returns the first answer from the backend server, and whether the second request brought it. If
/// neither request is answered, an unknown outcome is returned rather than a refusal, since the
/// request may have run.
async fn first_done(
    mut first: impl Future<Output = Answer> + Unpin,
    mut second: impl Future<Output = Answer> + Unpin,
) -> (Answer, bool) {
    let (answer, was_second) = tokio::select! {
        answer = &mut first => (answer, false),
        answer = &mut second => (answer, true),
    };
    if answer.code == Code::Done {
        return (answer, was_second);
    }
    let other = if was_second { first.await } else { second.await };
    let other_counts = other.code.outcome() != Outcome::NotRun;
    if other_counts { (other, !was_second) } else { (answer, was_second) }
}

/// Attempts of one request so far.
struct Attempts {
    /// Targets of the attempts that count against the policy's limit.
    tried: Vec<Holder>,
    /// The owner that refused last.
    refused: Option<Holder>,
    /// End of the wait for an owner of the key.
    owner_deadline: Instant,
}

impl Attempts {
    fn new() -> Attempts {
        Attempts { tried: Vec::new(), refused: None, owner_deadline: Instant::now() + OWNER_WAIT }
    }

    /// Whether the request is retried after an answer. A retry because the key has just moved is
    /// free; any other counts as an attempt and withdraws from the budget.
    fn allow_retry(
        &mut self,
        request: &ResolvedRequest,
        target: &Target,
        answer: &Answer,
        service: &ServiceStats,
    ) -> bool {
        if !may_retry(request, answer, self.tried.len() as u32) {
            return false;
        }
        if is_key_moved(answer.code) && Instant::now() < self.owner_deadline {
            return true;
        }
        self.tried.push(target.member.holder.clone());
        service.budget.try_withdraw()
    }

    /// Records the owner that refused. Returns true if the key is in handover and the other owner
    /// has not refused, so that it is tried without a pause.
    fn record_refusal(&mut self, target: &Target) -> bool {
        let holder = &target.member.holder;
        let again = self.refused.as_ref() == Some(holder);
        let first = self.refused.is_none();
        self.refused = (!again).then(|| holder.clone());
        first && target.in_handover
    }
}

/// Whether the code means that another node owns the key, or is about to.
fn is_key_moved(code: Code) -> bool {
    matches!(code, Code::NotOwner | Code::HandingOver | Code::LeaseLapsed | Code::StaleRoute)
}

/// Whether the policy allows a retry after an answer, with `used` retries so far.
fn may_retry(request: &ResolvedRequest, answer: &Answer, used: u32) -> bool {
    if used >= request.policy.retries
        || answer.status < 500 && answer.code.outcome() != Outcome::NotRun
    {
        return false;
    }
    match answer.code.outcome() {
        Outcome::Done => false,
        Outcome::NotRun => answer.status >= 500,
        // The owner deduplicates a request with an idempotency key.
        Outcome::Unknown => {
            let repeatable = request.idempotent || request.call.dedup.is_some();
            repeatable && !matches!(answer.code, Code::Expired | Code::EarlierUnknown)
        }
    }
}
