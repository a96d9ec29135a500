//! Tries targets until a request has its final answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::time::timeout;

use super::budget::Budget;
use super::picker::{self, Candidate};
use super::request::Asked;
use super::wire;
use crate::core::call::{Answer, Attempt, Call};
use crate::core::codes::{Code, Outcome};
use crate::core::ids::{DomainName, Holder, Offset, ServiceName};
use crate::core::record::Member;
use crate::gate::pass::Gate;
use crate::log::ledger::Ledger;
use crate::net::pool::Pool;

/// Longest time that a request waits for its key to get an owner: a planned handover takes tens of
/// milliseconds. A takeover takes longer; its callers are told to come back.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// When a caller may come back whose key has no owner.
const OWNER_RETRY: Duration = Duration::from_millis(500);
/// When a caller may come back that met no fit target.
const TARGET_RETRY: Duration = Duration::from_millis(200);
/// How long a target that failed is passed over.
const SUSPECT_TIME: Duration = Duration::from_millis(1000);
/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Pause before the same owner is asked again.
const SAME_OWNER_PAUSE: Duration = Duration::from_millis(5);

/// What this entry has measured of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    running: u32,
    latency: f64,
    failed: Option<Instant>,
}

/// The entry of one node.
pub struct Entry {
    /// This node in this incarnation.
    pub me: Holder,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// The folded state.
    pub ledger: Arc<Ledger>,
    /// This node's own gate, for requests whose target is beside it.
    pub gate: Arc<Gate>,
    /// Connections to other nodes.
    pub pool: Arc<Pool>,
    /// Told when a request was tried again.
    pub retried: Box<dyn Fn(Code) + Send + Sync>,
    measured: Mutex<HashMap<Holder, Measured>>,
    budgets: Mutex<HashMap<ServiceName, Arc<Budget>>>,
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
        retried: Box<dyn Fn(Code) + Send + Sync>,
    ) -> Entry {
        Entry {
            me: gate.me.clone(),
            domain,
            ledger: gate.ledger.clone(),
            gate,
            pool,
            retried,
            measured: Mutex::default(),
            budgets: Mutex::default(),
        }
    }

    /// Takes a request to its final answer.
    pub async fn route(&self, mut asked: Asked) -> Answer {
        let mut doubtful = None;
        let last = self.try_targets(&mut asked, &mut doubtful).await;
        // A later refusal does not undo an earlier try whose outcome is unknown.
        match doubtful {
            Some(earlier) if last.code.outcome() == Outcome::NotRun => earlier,
            _ => last,
        }
    }

    async fn try_targets(&self, asked: &mut Asked, doubtful: &mut Option<Answer>) -> Answer {
        let budget = self.budget(&asked.call.service);
        budget.earn();
        let mut tried: Vec<Holder> = Vec::new();
        let mut refused = None;
        let owner_until = Instant::now() + OWNER_WAIT;
        loop {
            if asked.call.deadline <= Instant::now() {
                return Answer::refusal(Code::DeadlinePast);
            }
            let target = self.target(&asked.call, &tried, refused.as_ref(), owner_until).await;
            let target = match target {
                Ok(target) => target,
                Err(answer) => return answer,
            };
            let answer = self.send(&target.member, &asked.call).await;
            let used = tried.len() as u32;
            if !may_retry(asked, &answer, used) {
                return answer;
            }
            let free = is_moved(answer.code) && Instant::now() < owner_until;
            if !free {
                if !budget.pay() {
                    return answer;
                }
                tried.push(target.member.holder.clone());
            }
            (self.retried)(answer.code);
            if answer.code.outcome() == Outcome::Unknown {
                *doubtful = Some(answer);
                asked.call.once = asked.call.once.map(|_| Attempt::Later);
            }
            // Of two that may serve a key that is being handed over, the other is asked at once.
            let other = refused.is_none() && target.handed_over;
            refused = (refused.as_ref() != Some(&target.member.holder))
                .then(|| target.member.holder.clone());
            if asked.call.key.is_some() && !other {
                self.wait_for_news(target.seen).await;
            }
        }
    }

    fn budget(&self, service: &ServiceName) -> Arc<Budget> {
        self.budgets.lock().entry(service.clone()).or_default().clone()
    }

    async fn target(
        &self,
        call: &Call,
        tried: &[Holder],
        refused: Option<&Holder>,
        owner_until: Instant,
    ) -> Result<Target, Answer> {
        if call.key.is_none() {
            let refusal = || Answer::refusal(Code::NoTarget).retry_after(TARGET_RETRY);
            return self.pick(&call.service, tried).ok_or_else(refusal);
        }
        let mut moves = self.ledger.moves();
        loop {
            moves.borrow_and_update();
            if let Some(owner) = self.owner(call, refused) {
                return Ok(owner);
            }
            let until = owner_until.min(call.deadline);
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, moves.changed()).await.is_err() {
                return Err(Answer::refusal(Code::NoOwner).retry_after(OWNER_RETRY));
            }
        }
    }

    /// The owner of the request's key. While the key is being handed over there are two that may
    /// serve it; the one that refused last is passed over.
    fn owner(&self, call: &Call, refused: Option<&Holder>) -> Option<Target> {
        let (_, slice) = call.key.as_ref()?;
        let state = self.ledger.state();
        let slot = state.slot(&slice.range, slice.slice)?;
        let former = slot.from.as_ref().map(|f| &f.holder);
        let both = slot.holder.as_ref().into_iter().chain(former);
        let holder = both.clone().find(|h| Some(*h) != refused).or(both.clone().next())?;
        let member = state.members.get(holder)?.member.clone();
        Some(Target { member, seen: state.next, handed_over: former.is_some() })
    }

    fn pick(&self, service: &ServiceName, tried: &[Holder]) -> Option<Target> {
        let state = self.ledger.state();
        let fit = |m: &&Member| state.takes_work(m) && !tried.contains(&m.holder);
        let members: Vec<&Member> = state.targets(service).filter(fit).collect();
        let measured = self.measured.lock();
        let candidate = |m: &&Member| {
            let known = measured.get(&m.holder).copied().unwrap_or_default();
            let suspect = known.failed.is_some_and(|at| at.elapsed() < SUSPECT_TIME);
            let near = m.domain == self.domain;
            Candidate { running: known.running, latency: known.latency, near, suspect }
        };
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        let chosen = picker::choose(&candidates, |n| fastrand::usize(..n))?;
        Some(Target { member: members[chosen].clone(), seen: state.next, handed_over: false })
    }

    async fn send(&self, to: &Member, call: &Call) -> Answer {
        let began = Instant::now();
        let _running = Running::begin(self, &to.holder);
        let answer = match to.holder == self.me {
            true => self.gate.pass(call.clone()).await,
            false => wire::send(&self.pool, to.peer, call).await,
        };
        self.measure(&to.holder, &answer, began.elapsed());
        answer
    }

    fn measure(&self, target: &Holder, answer: &Answer, took: Duration) {
        let mut measured = self.measured.lock();
        let known = measured.entry(target.clone()).or_default();
        let took = took.as_secs_f64() * 1e3;
        known.latency += LATENCY_WEIGHT * (took - known.latency);
        if matches!(answer.code, Code::Unreachable | Code::Lost | Code::Draining) {
            known.failed = Some(Instant::now());
        }
    }

    /// Waits for newer assignments than those that led to a refusal, or a short time.
    async fn wait_for_news(&self, seen: Offset) {
        let mut moves = self.ledger.moves();
        let news =
            async { while *moves.borrow_and_update() <= seen && moves.changed().await.is_ok() {} };
        let _ = timeout(SAME_OWNER_PAUSE, news).await;
    }

    /// Forgets what was measured of targets that are members no more.
    pub fn prune(&self) {
        let state = self.ledger.state();
        self.measured.lock().retain(|h, m| m.running > 0 || state.members.contains_key(h));
        self.budgets.lock().retain(|s, _| state.config.service.contains_key(s));
    }
}

/// Whether the answer says that the key is owned elsewhere or about to be.
fn is_moved(code: Code) -> bool {
    matches!(code, Code::NotOwner | Code::Moving | Code::LeaseLapsed | Code::StaleRoute)
}

fn may_retry(asked: &Asked, answer: &Answer, used: u32) -> bool {
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
            let known = asked.idempotent || asked.call.once.is_some();
            known && !matches!(answer.code, Code::Expired | Code::Repeated)
        }
    }
}

/// Counts a request in flight to a target, also when it is cancelled.
struct Running<'a> {
    entry: &'a Entry,
    target: &'a Holder,
}

impl<'a> Running<'a> {
    fn begin(entry: &'a Entry, target: &'a Holder) -> Running<'a> {
        entry.measured.lock().entry(target.clone()).or_default().running += 1;
        Running { entry, target }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(known) = self.entry.measured.lock().get_mut(self.target) {
            known.running -= 1;
        }
    }
}
