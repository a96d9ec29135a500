//! Tries targets until a request has its final answer.
//!
//! A request that may come again (idempotent, or remembered by its owner) and is slow is hedged: the
//! same request goes out once more, for an undivided service to another target, for a key to its
//! owner over a fresh connection, since an old one may have gone silent. The first whole answer
//! counts and the other request is cancelled. Retries and hedges are paid for by one budget.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::budget::BudgetShare;
use super::picker::{self, Candidate};
use super::request::ResolvedRequest;
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
/// milliseconds. A takeover takes longer; its callers are told to come back.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// When a caller may come back whose key has no owner.
const OWNER_RETRY: Duration = Duration::from_millis(500);
/// When a caller may come back that met no fit target.
const TARGET_RETRY: Duration = Duration::from_millis(200);
/// Pause before the same owner is asked again.
const SAME_OWNER_PAUSE: Duration = Duration::from_millis(5);
/// Times the usual hedge delay after which the owner of a key is asked once more.
const OWNER_HEDGE_FACTOR: u32 = 10;
/// Shortest time after which the owner of a key is asked once more.
const OWNER_HEDGE_MIN: Duration = Duration::from_millis(100);

/// The entry of one node.
pub struct Entry {
    /// This node in this incarnation.
    pub me: Holder,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// The folded state.
    pub replica: Arc<Replica>,
    /// This node's own gate, for requests whose target is beside it.
    pub gate: Arc<Gate>,
    /// Connections to other nodes.
    pub pool: Arc<Pool>,
    /// What this entry has measured.
    pub stats: Stats,
    /// Told what happens besides the usual.
    pub on_event: Box<dyn Fn(Event) + Send + Sync>,
}

/// What an entry does besides sending a request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It tries again after an answer with this code.
    Retry(Code),
    /// It sends a slow request once more.
    Hedge,
    /// The second of two requests was answered first.
    HedgeWon,
}

/// A target and the offset of the state that named it.
struct Target {
    member: Member,
    seen: Offset,
    handed_over: bool,
}

impl Entry {
    /// An entry that has measured nothing yet.
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

    /// Takes a request to its final answer.
    pub async fn route(&self, mut asked: ResolvedRequest) -> Answer {
        let mut doubtful = None;
        let last = self.try_targets(&mut asked, &mut doubtful).await;
        // A later refusal does not undo an earlier try whose outcome is unknown.
        let answer = match doubtful {
            Some(earlier) if last.code.outcome() == Outcome::NotRun => earlier,
            _ => last,
        };
        Answer { load: None, ..answer }
    }

    async fn try_targets(
        &self,
        asked: &mut ResolvedRequest,
        doubtful: &mut Option<Answer>,
    ) -> Answer {
        let service = self.stats.service(&asked.call.service);
        service.budget.deposit(BudgetShare::default());
        let mut tries = Tries::begin();
        loop {
            if asked.call.deadline <= Instant::now() {
                return Answer::refusal(Code::DeadlinePast);
            }
            let target = match self.target(&asked.call, &tries).await {
                Ok(target) => target,
                Err(answer) => return answer,
            };
            let answer = self.send_hedged(&target, asked, &tries.tried, &service).await;
            if !tries.may_go_on(asked, &target, &answer, &service) {
                return answer;
            }
            (self.on_event)(Event::Retry(answer.code));
            if answer.code.outcome() == Outcome::Unknown {
                *doubtful = Some(answer);
                asked.call.dedup = asked.call.dedup.map(|_| Attempt::Later);
            }
            let ask_other = tries.refused_by(&target);
            if asked.call.key.is_some() && !ask_other {
                self.wait_for_news(target.seen).await;
            }
        }
    }

    /// Sends a request, and once more if it is slow and may come again.
    async fn send_hedged(
        &self,
        target: &Target,
        asked: &ResolvedRequest,
        tried: &[Holder],
        service: &ServiceStats,
    ) -> Answer {
        let call = &asked.call;
        let began = Instant::now();
        let mut first = pin!(self.send(&target.member, call, Reuse::Any));
        let delay = hedge_delay(asked, service).unwrap_or(Duration::MAX);
        let answer = match timeout(delay, &mut first).await {
            Ok(answer) => answer,
            Err(_) => {
                match self.second(target, call, tried).filter(|_| service.budget.try_withdraw()) {
                    None => first.await,
                    Some(other) => self.send_second(first, target, &other, call).await,
                }
            }
        };
        if answer.code == Code::Done {
            service.took(began.elapsed());
        }
        answer
    }

    async fn send_second(
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
            // The idle connections to the first may be as silent as the one just used.
            self.pool.close_idle(target.member.peer);
        }
        answer
    }

    /// Where the second of two requests goes.
    fn second(&self, first: &Target, call: &Call, tried: &[Holder]) -> Option<Member> {
        if call.key.is_some() {
            return Some(first.member.clone());
        }
        let mut tried = tried.to_vec();
        tried.push(first.member.holder.clone());
        let other = self.pick(&call.service, &tried)?.member;
        // A second request where others wait would only make more of them wait.
        let room = self.stats.candidate(&other.holder, true).has_room();
        room.then_some(other)
    }

    async fn target(&self, call: &Call, tries: &Tries) -> Result<Target, Answer> {
        if call.key.is_none() {
            let refusal = || Answer::refusal(Code::NoTarget).with_retry_after(TARGET_RETRY);
            return self.pick(&call.service, &tries.tried).ok_or_else(refusal);
        }
        let mut moves = self.replica.subscribe();
        loop {
            moves.borrow_and_update();
            if let Some(owner) = self.owner(call, tries.refused.as_ref()) {
                return Ok(owner);
            }
            let until = tries.owner_until.min(call.deadline);
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, moves.changed()).await.is_err() {
                return Err(Answer::refusal(Code::NoOwner).with_retry_after(OWNER_RETRY));
            }
        }
    }

    /// The owner of the request's key. While the key is being handed over there are two that may
    /// serve it; the one that refused last is passed over.
    fn owner(&self, call: &Call, refused: Option<&Holder>) -> Option<Target> {
        let (_, slice) = call.key.as_ref()?;
        let state = self.replica.state();
        let slot = state.slice(&slice.range, slice.slice)?;
        let former = slot.former.as_ref().map(|f| &f.holder);
        let both = slot.holder.as_ref().into_iter().chain(former);
        let holder = both.clone().find(|h| Some(*h) != refused).or(both.clone().next())?;
        let member = state.members.get(holder)?.member.clone();
        Some(Target { member, seen: state.next, handed_over: former.is_some() })
    }

    fn pick(&self, service: &ServiceName, tried: &[Holder]) -> Option<Target> {
        let state = self.replica.state();
        let fit = |m: &&Member| state.takes_work(m) && !tried.contains(&m.holder);
        let members: Vec<&Member> = state.targets(service).filter(fit).collect();
        let candidate = |m: &&Member| self.stats.candidate(&m.holder, m.domain == self.domain);
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        let chosen = picker::choose(&candidates, |n| fastrand::usize(..n))?;
        Some(Target { member: members[chosen].clone(), seen: state.next, handed_over: false })
    }

    async fn send(&self, to: &Member, call: &Call, reuse: Reuse) -> Answer {
        let running = self.stats.begin(&to.holder);
        let answer = match to.holder == self.me {
            true => self.gate.handle(call.clone()).await,
            false => wire::send(&self.pool, to.peer, call, reuse).await,
        };
        running.ended(&answer);
        answer
    }

    /// Waits for newer assignments than those that led to a refusal, or a short time.
    async fn wait_for_news(&self, seen: Offset) {
        let mut moves = self.replica.subscribe();
        let news =
            async { while *moves.borrow_and_update() <= seen && moves.changed().await.is_ok() {} };
        let _ = timeout(SAME_OWNER_PAUSE, news).await;
    }

    /// Forgets what was measured of targets that are members no more.
    pub fn prune(&self) {
        let state = self.replica.state();
        let member = |holder: &Holder| state.members.contains_key(holder);
        self.stats.prune(member, |service| state.config.service.contains_key(service));
    }
}

/// Time after which a request is sent once more; `None` when it may not come again.
fn hedge_delay(asked: &ResolvedRequest, service: &ServiceStats) -> Option<Duration> {
    if !asked.idempotent && asked.call.dedup.is_none() {
        return None;
    }
    let usual = service.hedge_delay()?;
    if asked.call.key.is_none() {
        return Some(usual);
    }
    Some((usual * OWNER_HEDGE_FACTOR).max(OWNER_HEDGE_MIN))
}

/// The first of two answers that is done, and whether it is the second one's. If neither is, the one
/// of which the caller may be told least for certain.
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

/// The tries of one request so far.
struct Tries {
    /// Targets whose try was paid for.
    tried: Vec<Holder>,
    /// The one that refused last.
    refused: Option<Holder>,
    /// Until when a key without an owner is waited for.
    owner_until: Instant,
}

impl Tries {
    fn begin() -> Tries {
        Tries { tried: Vec::new(), refused: None, owner_until: Instant::now() + OWNER_WAIT }
    }

    /// Whether another try may follow an answer. A key that has just moved costs nothing; all else
    /// is paid for.
    fn may_go_on(
        &mut self,
        asked: &ResolvedRequest,
        target: &Target,
        answer: &Answer,
        service: &ServiceStats,
    ) -> bool {
        if !may_retry(asked, answer, self.tried.len() as u32) {
            return false;
        }
        if is_moved(answer.code) && Instant::now() < self.owner_until {
            return true;
        }
        self.tried.push(target.member.holder.clone());
        service.budget.try_withdraw()
    }

    /// Notes who refused. Of two that may serve a key that is being handed over, the other is asked
    /// at once: then this is true.
    fn refused_by(&mut self, target: &Target) -> bool {
        let holder = &target.member.holder;
        let again = self.refused.as_ref() == Some(holder);
        let first = self.refused.is_none();
        self.refused = (!again).then(|| holder.clone());
        first && target.handed_over
    }
}

/// Whether the answer says that the key is owned elsewhere or about to be.
fn is_moved(code: Code) -> bool {
    matches!(code, Code::NotOwner | Code::HandingOver | Code::LeaseLapsed | Code::StaleRoute)
}

fn may_retry(asked: &ResolvedRequest, answer: &Answer, used: u32) -> bool {
    if used >= asked.policy.retries
        || answer.status < 500 && answer.code.outcome() != Outcome::NotRun
    {
        return false;
    }
    match answer.code.outcome() {
        Outcome::Done => false,
        Outcome::NotRun => answer.status >= 500,
        // The owner remembers a request that names itself, and runs it once however often it comes.
        Outcome::Unknown => {
            let known = asked.idempotent || asked.call.dedup.is_some();
            known && !matches!(answer.code, Code::Expired | Code::EarlierUnknown)
        }
    }
}
