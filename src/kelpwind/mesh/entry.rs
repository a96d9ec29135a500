//! The entry: takes a caller's request to its final answer.
//!
//! A request that certainly did not run may go to another gate at once; that costs nothing, since no
//! server has seen it. One that a server has seen goes out again only if its route says that it may
//! run twice, its attempts are not used up, and the service's retry budget pays for it. What the
//! caller is told is the truth: 429 and 503 promise that the request has not run; where nobody knows,
//! the answer is 502 or 504.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::frame::Outcome;
use super::node::Node;
use super::platform_api::{Answer, CallerRequest};
use super::request_state::{Failure, RequestState, not_run};
use super::selection::GateAddr;
use crate::core::codes::Code;
use crate::core::ids::ServiceName;
use crate::core::routes::{Route, Routes};
use crate::route::budget::{Budget, BudgetShare};

/// Longest time that a request waits for its key to get another owner. A planned move takes tens of
/// milliseconds; after a loss it takes longer, and callers are told to come back.
const OWNER_WAIT: Duration = Duration::from_millis(400);
/// The same as a part of what is left of the latency objective: what is left after it must do for the
/// request itself.
const OWNER_WAIT_PART: f64 = 0.6;
/// When a caller may come back whose key has no owner: a lost owner is replaced within 2 s.
const OWNER_RETURN: Duration = Duration::from_millis(700);
/// When a caller may come back that met no target, or a node without configuration.
const TARGET_RETURN: Duration = Duration::from_millis(500);
/// Time before the caller's limit at which it is answered, so that the answer reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

impl Node {
    /// Takes a request to its end. `body` is read before.
    pub async fn route(self: &Rc<Self>, asked: CallerRequest) -> Result<Answer, Failure> {
        let arrived = Instant::now();
        let Some(routes) = self.routes() else {
            return Err(not_run(Code::NoConfig, TARGET_RETURN, asked.remaining, fastrand::f64()));
        };
        let Some(route) = routes.find(&asked.host, &asked.path).cloned() else {
            return Err(Failure { code: Code::UnknownService, retry: None });
        };
        let service = self.part(&route);
        if routes.is_keyed(&service) && asked.request.key.is_none() {
            return Err(Failure { code: Code::KeyMissing, retry: None });
        }
        let mut way = self.way(&routes, route, service, asked, arrived);
        let id = way.request.id.clone();
        let left = way.limit.saturating_duration_since(arrived).saturating_sub(ANSWER_MARGIN);
        let ended = timeout(left, self.try_gates(&mut way)).await;
        let result = match ended {
            Ok(result) => result,
            Err(_) if way.sending => Err(Failure { code: Code::Expired, retry: None }),
            Err(_) => {
                way.give_up(Failure { code: Code::DeadlinePast, retry: Some(Duration::ZERO) })
            }
        };
        self.metrics.request(&way.service, &result, arrived.elapsed());
        if let Err(failure) = &result {
            self.metrics.failures.say(|left_out| {
                spdlog::info!("entry: failed", kv: {
                    request = id.as_str(), code = failure.code.number(), why = failure.code.text(),
                    route = way.route.name.as_str(), key = way.key_text(),
                    tried = way.tried_names(), reached = way.reached, sending = way.sending,
                    took_ms = arrived.elapsed().as_millis() as u64,
                    config = routes.version.0, table = self.table.borrow().next.0, left_out
                });
            });
        }
        result
    }

    fn way(
        &self,
        routes: &Routes,
        route: Rc<Route>,
        service: ServiceName,
        asked: CallerRequest,
        arrived: Instant,
    ) -> RequestState {
        let left = asked.remaining.unwrap_or(route.timeout);
        let waited = self.waited(&route, asked.remaining);
        let mut request = asked.request;
        request.origin = self.settings.borrow().service.to_string();
        if !routes.is_keyed(&service) {
            request.key = None;
        }
        let share = self.retry_share();
        let budget = self.budget(&service, share);
        budget.deposit(share);
        RequestState {
            aim: arrived + route.objective.saturating_sub(waited),
            limit: arrived + left.min(route.timeout),
            route,
            service,
            request,
            budget,
            tried: Vec::new(),
            reached: 0,
            sending: false,
            refused: None,
            hint: None,
            doubtful: None,
        }
    }

    /// How long the caller has waited before this attempt: callers of one route grant the same time
    /// at first, so one that grants less has come back.
    fn waited(&self, route: &Route, left: Option<Duration>) -> Duration {
        let Some(left) = left else { return Duration::ZERO };
        let mut patience = self.caller_timeouts.borrow_mut();
        let most = match patience.get_mut(&route.name) {
            Some(most) => most,
            None => patience.entry(route.name.clone()).or_insert(left),
        };
        *most = (*most).max(left);
        most.saturating_sub(left)
    }

    /// The part of the route that gets this request.
    fn part(&self, route: &Route) -> ServiceName {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let weights: Vec<f64> = route.services.iter().map(|p| p.weight).collect();
        let mut shares = self.route_splits.borrow_mut();
        let shares = shares.entry(route.name.clone()).or_default();
        let part = shares.next(&weights, fastrand::f64()).unwrap_or(0);
        route.services[part].service.clone()
    }

    /// What this node may spend of the budget that all nodes have together.
    fn retry_share(&self) -> BudgetShare {
        let bounds = &self.settings.borrow().bounds;
        BudgetShare::of(bounds.retry_ratio, bounds.retry_slack, self.table.borrow().members.len())
    }

    fn budget(&self, service: &ServiceName, share: BudgetShare) -> Rc<Budget> {
        if let Some(budget) = self.retry_budgets.borrow().get(service) {
            return budget.clone();
        }
        let budget = Rc::new(Budget::new(share));
        self.retry_budgets.borrow_mut().insert(service.clone(), budget.clone());
        budget
    }

    async fn try_gates(self: &Rc<Self>, way: &mut RequestState) -> Result<Answer, Failure> {
        let patience = way.aim.saturating_duration_since(Instant::now()).mul_f64(OWNER_WAIT_PART);
        let owner_until = Instant::now() + patience.min(OWNER_WAIT);
        loop {
            let chosen = match self.target(way, owner_until).await {
                Ok(chosen) => chosen,
                Err(failure) => return way.give_up(failure),
            };
            way.tried.push(chosen.node.clone());
            way.sending = true;
            let outcome = self.send(&chosen, way).await;
            way.sending = false;
            spdlog::debug!("entry: tried", kv: {
                request = way.request.id.as_str(), gate = chosen.node.as_str(),
                key = way.key_text(), outcome = outcome.name(),
                left_ms = way.left().as_millis() as u64, table = self.table.borrow().next.0
            });
            if let Some(result) = way.settle(outcome, owner_until) {
                return result;
            }
            if way.request.key.is_some() && way.hint.is_none() {
                self.request_table_read_throttled();
                self.wait_for_news().await;
            }
        }
    }

    async fn target(&self, way: &RequestState, owner_until: Instant) -> Result<GateAddr, Failure> {
        let left = way.left();
        let Some(key) = way.request.key else {
            let none = || not_run(Code::NoTarget, TARGET_RETURN, Some(left), fastrand::f64());
            return self.choose_gate(&way.route, &way.service, &way.tried).ok_or_else(none);
        };
        if let Some(hinted) = way.hint.as_ref().and_then(|h| self.hinted_gate(h)) {
            return Ok(hinted);
        }
        let mut read = self.table_offset.subscribe();
        loop {
            if let Some(owner) = self.owner_gate(&way.service, key) {
                return Ok(owner);
            }
            self.request_table_read_throttled();
            let wait = owner_until.saturating_duration_since(Instant::now());
            if timeout(wait, read.changed()).await.is_err() {
                return Err(not_run(Code::NoOwner, OWNER_RETURN, Some(left), fastrand::f64()));
            }
        }
    }

    async fn send(self: &Rc<Self>, chosen: &GateAddr, way: &RequestState) -> Outcome {
        let work = way.work(self.table.borrow().next);
        let gate = &chosen.node;
        let (outcome, service_ms) = if *gate == self.holder.borrow().node {
            let _own = Busy::on(self);
            let sent = std::cell::Cell::new(false);
            let (outcome, report) = self.run(work, &sent).await;
            (outcome, report.service_ms)
        } else {
            let link = self.link(&chosen.node, chosen.addr);
            let outcome = link.send(work).await;
            (outcome, link.last_report.get().0.service_ms)
        };
        if matches!(outcome, Outcome::Answer(_)) {
            self.record_service_time(&way.route.name, gate, service_ms);
        }
        outcome
    }

    /// Waits a moment for a change of the table, after an answer that an older one led to.
    async fn wait_for_news(&self) {
        const PAUSE: Duration = Duration::from_millis(40);
        let mut read = self.table_offset.subscribe();
        // A timeout only means that nothing has changed.
        let _ = timeout(PAUSE, read.changed()).await;
    }
}

/// Counts a request at this node's own gate.
struct Busy<'a>(&'a Node);

impl<'a> Busy<'a> {
    fn on(node: &'a Node) -> Busy<'a> {
        node.local_requests.set(node.local_requests.get() + 1);
        Busy(node)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.local_requests.set(self.0.local_requests.get() - 1);
    }
}
