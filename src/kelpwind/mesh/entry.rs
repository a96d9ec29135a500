//! The entry: routes a caller's request to a gate, retries it where that is safe, and answers.
//!
//! A request that certainly did not reach a server may go to another gate at once, which costs no
//! server any work. A request that reached one counts against the attempts of its route and against
//! the service's retry budget, and if it may have run, only an idempotent request is sent again.
//! The status that the caller gets is reliable: 429 and 503 promise that the request has not run,
//! 502 and 504 say that this is unknown.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::frame::Outcome;
use super::gate;
use super::http::wait_until_true;
use super::node::Node;
use super::orders::Confirmation;
use super::platform_api::{Answer, CallerRequest};
use super::quarantine::Suspicion;
use super::request_state::{Failure, RequestState, not_run};
use super::selection::GateAddr;
use crate::core::codes::Code;
use crate::core::ids::ServiceName;
use crate::core::routes::{Route, Routes};
use crate::core::tenants::Tenant;
use crate::route::answer_times::may_begin;
use crate::route::budget::{Budget, BudgetShare};

/// Longest time that a request waits for a key without an owner. The takeover of a lost owner takes
/// longer, so callers are told to retry.
const OWNER_WAIT: Duration = Duration::from_millis(400);
/// Fraction of the time left until the latency objective for which a request may wait for an owner.
/// The rest is left for running the request.
const OWNER_WAIT_RATIO: f64 = 0.6;
/// Retry-after of a key without an owner: a lost owner is replaced within 2 s.
const OWNER_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry-after of a service without a usable target, and of a node without a current configuration.
const TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time before the caller's deadline at which it is answered, so that the answer arrives in time.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// The route of a request, one of its services, and whose request it is.
struct Found {
    routes: Rc<Routes>,
    /// The route, restricted to what the tenant is allowed.
    route: Rc<Route>,
    service: ServiceName,
    tenant: Option<Rc<Tenant>>,
}

impl Node {
    /// Routes a request and returns its final result. `call` already has its body.
    pub async fn route(self: &Rc<Self>, call: CallerRequest) -> Result<Answer, Failure> {
        let arrived = Instant::now();
        let Found { routes, route, service, tenant } = match self.find_route(&call, arrived).await {
            Ok(found) => found,
            Err(failure) => {
                self.record_unrouted(&call, failure);
                return Err(failure);
            }
        };
        let suspicion = match self.check_suspect(&call, &service) {
            Ok(suspicion) => suspicion,
            Err(failure) => {
                self.metrics.count_request(&service, &Err(failure), arrived.elapsed());
                return Err(failure);
            }
        };
        let mut state = self.start_request(&routes, route, service, call, arrived);
        if routes.tenants.is_some() {
            let name = tenant.as_ref().map(|tenant| &tenant.name);
            (self.platform.set_tenant)(&mut state.request, name);
        }
        state.tenant = tenant;
        state.suspicion = suspicion;
        let admitted = match self.reject_before_end(&state) {
            Some(failure) => Err(failure),
            None => self.take_quota(&state).await,
        };
        if let Err(failure) = admitted {
            self.metrics.count_request(&state.service, &Err(failure), arrived.elapsed());
            return Err(failure);
        }
        let id = state.request.id.clone();
        let left = state.deadline.saturating_duration_since(arrived).saturating_sub(ANSWER_MARGIN);
        let mut work_ended = self.work_ended.subscribe();
        let ended = tokio::select! {
            ended = timeout(left, self.try_gates(&mut state)) => {
                ended.map_err(|_| (Code::Expired, Code::DeadlinePast))
            }
            () = wait_until_true(&mut work_ended) => Err((Code::NodeStopped, Code::Draining)),
        };
        let result = match ended {
            Ok(result) => result,
            Err((code, _)) if state.may_be_running() => Err(Failure { code, retry_after: None }),
            Err((_, code)) => state.fail(Failure { code, retry_after: Some(Duration::ZERO) }),
        };
        if !state.tried_gates.is_empty() {
            self.record_answer_time(&state.route, arrived.elapsed());
        }
        self.metrics.count_request(&state.service, &result, arrived.elapsed());
        let failed = result.as_ref().map_or(true, |answer| answer.status >= 500);
        if failed && state.sharing && self.queue.borrow().running() > 0 {
            // It may be a call of a request that runs at the backend server beside this node.
            self.call_trees.borrow_mut().record_failed_call(Instant::now());
        }
        if let Err(failure) = &result {
            self.give_back_quota(&state, *failure);
            self.metrics.failure_log.write(|left_out| {
                spdlog::info!("entry: failed", kv: {
                    request = id.as_str(), code = failure.code.number(), why = failure.code.text(),
                    route = state.route.name.as_str(), key = state.key_text(),
                    tried = state.tried_names(), reached = state.servers_reached, sending = state.in_flight,
                    took_ms = arrived.elapsed().as_millis() as u64,
                    config = routes.version.0, table = self.table.borrow().next.0, left_out
                });
            });
        }
        result
    }

    fn record_answer_time(&self, route: &Route, took: Duration) {
        let mut times = self.answer_times.borrow_mut();
        match times.get_mut(&route.name) {
            Some(times) => times.record(took),
            None => times.entry(route.name.clone()).or_default().record(took),
        }
    }

    /// The failure of a request that a node which stops could not answer before its end.
    fn reject_before_end(&self, state: &RequestState) -> Option<Failure> {
        let now = Instant::now();
        let left = self.work_ends.get()?.saturating_duration_since(now);
        let longest = self.answer_times.borrow().get(&state.route.name).and_then(|t| t.longest());
        let expected = longest.unwrap_or(state.route.objective);
        let timeout = state.deadline.saturating_duration_since(now);
        (!may_begin(left, timeout, expected))
            .then_some(Failure { code: Code::Draining, retry_after: Some(Duration::ZERO) })
    }

    /// Finds the route of a request and picks one of its services. Rejects the request as invalid
    /// only if no newer configuration can allow it.
    async fn find_route(&self, call: &CallerRequest, arrived: Instant) -> Result<Found, Failure> {
        loop {
            let Some(routes) = self.routes() else {
                let draw = fastrand::f64();
                return Err(not_run(Code::NoConfig, TARGET_RETRY_AFTER, call.remaining, draw));
            };
            let invalid = match self.look_up(&routes, call) {
                Ok(found) => return Ok(found),
                // Regions that rule each other out are no fault of the request.
                Err(Code::NoTarget) => {
                    return Err(Failure { code: Code::NoTarget, retry_after: None });
                }
                Err(code) => code,
            };
            match self.confirm_config(routes.version, arrived, call).await {
                Confirmation::Newest => return Err(Failure { code: invalid, retry_after: None }),
                Confirmation::Replaced => {}
                Confirmation::Unknown => return Err(self.stale_config(call)),
            }
        }
    }

    /// Looks up the route of a request and picks one of its services.
    fn look_up(&self, routes: &Rc<Routes>, call: &CallerRequest) -> Result<Found, Code> {
        let route = routes.find(&call.host, &call.path).ok_or(Code::UnknownService)?;
        let (route, tenant) = match &routes.tenants {
            Some(tenants) => self.admit_tenant(tenants, route, call)?,
            None => (route.clone(), None),
        };
        let service = self.pick_service(&route);
        if routes.is_keyed(&service) && call.request.key.is_none() {
            return Err(Code::KeyMissing);
        }
        Ok(Found { routes: routes.clone(), route, service, tenant })
    }

    /// The failure of a request that may be valid under a newer configuration.
    pub fn stale_config(&self, call: &CallerRequest) -> Failure {
        not_run(Code::StaleConfig, TARGET_RETRY_AFTER, call.remaining, fastrand::f64())
    }

    /// Counts and logs a request that failed before a route was chosen.
    pub fn record_unrouted(&self, call: &CallerRequest, failure: Failure) {
        self.metrics.count_unrouted(failure.code);
        let orders = *self.orders.borrow();
        let confirmed = orders.freshness.observed_at();
        self.metrics.failure_log.write(|left_out| {
            spdlog::info!("entry: not routed", kv: {
                request = call.request.id.as_str(), code = failure.code.number(), why = failure.code.text(),
                host = call.host.as_str(), path = call.path.as_str(),
                config = self.routes().map_or(0, |r| r.version.0),
                orders = orders.next.0, orders_end = orders.freshness.end().0,
                confirmed_ms = confirmed.map_or(-1, |at| at.elapsed().as_millis() as i64), left_out
            });
        });
    }

    fn start_request(
        &self,
        routes: &Routes,
        route: Rc<Route>,
        service: ServiceName,
        call: CallerRequest,
        arrived: Instant,
    ) -> RequestState {
        let left = call.remaining.unwrap_or(route.timeout);
        let waited = self.time_waited(&route, call.remaining);
        let mut request = call.request;
        request.origin = self.settings.borrow().service.to_string();
        if !routes.is_keyed(&service) {
            request.key = None;
        }
        let share = self.retry_share();
        let budget = self.retry_budget(&service, share);
        budget.deposit(share);
        RequestState {
            objective: arrived + route.objective.saturating_sub(waited),
            deadline: arrived + left.min(route.timeout),
            route,
            service,
            request,
            budget,
            tried_gates: Vec::new(),
            returned_by: Vec::new(),
            may_return: false,
            servers_reached: 0,
            in_flight: false,
            last_refusal: None,
            owner_hint: None,
            uncertain: None,
            suspicion: Suspicion::default(),
            sharing: self.queue.borrow().is_sharing(),
            attempt_sent: Cell::new(false),
            tenant: None,
        }
    }

    /// Estimates how long the caller has waited before this attempt. Callers of one route start
    /// with the same timeout, so one that states less is retrying.
    fn time_waited(&self, route: &Route, left: Option<Duration>) -> Duration {
        let Some(left) = left else { return Duration::ZERO };
        let mut timeouts = self.caller_timeouts.borrow_mut();
        let longest = match timeouts.get_mut(&route.name) {
            Some(longest) => longest,
            None => timeouts.entry(route.name.clone()).or_insert(left),
        };
        *longest = (*longest).max(left);
        longest.saturating_sub(left)
    }

    /// Picks one of the route's services by weight.
    fn pick_service(&self, route: &Route) -> ServiceName {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let weights: Vec<f64> = route.services.iter().map(|s| s.weight).collect();
        let mut splits = self.route_splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        let index = split.next(&weights, fastrand::f64()).unwrap_or(0);
        route.services[index].service.clone()
    }

    /// This node's share of the retry budget that all nodes have in common.
    fn retry_share(&self) -> BudgetShare {
        let bounds = &self.settings.borrow().bounds;
        BudgetShare::of(bounds.retry_ratio, bounds.retry_slack, self.table.borrow().members.len())
    }

    fn retry_budget(&self, service: &ServiceName, share: BudgetShare) -> Rc<Budget> {
        if let Some(budget) = self.retry_budgets.borrow().get(service) {
            return budget.clone();
        }
        let first_start = self.settings.borrow().bootstrap;
        let budget = if first_start { Budget::new(share) } else { Budget::after_restart() };
        let budget = Rc::new(budget);
        self.retry_budgets.borrow_mut().insert(service.clone(), budget.clone());
        budget
    }

    /// Sends the request to one gate after another until there is a final result.
    async fn try_gates(self: &Rc<Self>, state: &mut RequestState) -> Result<Answer, Failure> {
        let began = Instant::now();
        let owner_wait = state.objective.saturating_duration_since(began).mul_f64(OWNER_WAIT_RATIO);
        let owner_until = began + owner_wait.min(OWNER_WAIT);
        let move_until = began + gate::move_wait(state.remaining());
        loop {
            state.may_return = self.may_return(state);
            let chosen = match self.choose_target(state, owner_until).await {
                Ok(chosen) => chosen,
                Err(failure) => match self.next_returned_by(state) {
                    Some(chosen) => chosen,
                    None => return state.fail(failure),
                },
            };
            state.tried_gates.push(chosen.node.clone());
            state.in_flight = true;
            let outcome = self.send_to_gate(&chosen, state).await;
            state.in_flight = false;
            spdlog::debug!("entry: tried", kv: {
                request = state.request.id.as_str(), gate = chosen.node.as_str(),
                key = state.key_text(), outcome = outcome.summary(),
                left_ms = state.remaining().as_millis() as u64, table = self.table.borrow().next.0
            });
            state.suspicion.suspected |= self.is_repeat_suspect(&state.request);
            if let Some(result) = state.handle_outcome(outcome, move_until) {
                return result;
            }
            if state.request.key.is_some() && state.owner_hint.is_none() {
                self.request_table_read_throttled();
                self.wait_for_table_change().await;
            }
        }
    }

    /// Chooses the gate for the next attempt. Waits until `owner_until` for a key without an owner.
    async fn choose_target(
        &self,
        state: &RequestState,
        owner_until: Instant,
    ) -> Result<GateAddr, Failure> {
        let left = state.remaining();
        let Some(key) = state.request.key else {
            // A gate that returned the request comes before more untried ones.
            if !state.may_try_more() && !state.returned_by.is_empty() {
                return Err(not_run(Code::Busy, TARGET_RETRY_AFTER, Some(left), fastrand::f64()));
            }
            let no_target =
                || not_run(Code::NoTarget, TARGET_RETRY_AFTER, Some(left), fastrand::f64());
            return self
                .choose_gate(&state.route, &state.service, &state.tried_gates, &state.suspicion)
                .ok_or_else(no_target);
        };
        if let Some(hinted) = state.owner_hint.as_ref().and_then(|h| self.hinted_gate(h)) {
            self.check_region(state, &hinted)?;
            return Ok(hinted);
        }
        let mut offset = self.table_position.subscribe();
        loop {
            if let Some(owner) = self.owner_gate(&state.service, key) {
                self.check_region(state, &owner)?;
                return Ok(owner);
            }
            self.request_table_read_throttled();
            let wait = owner_until.saturating_duration_since(Instant::now());
            if timeout(wait, offset.changed()).await.is_err() {
                return Err(not_run(Code::NoOwner, OWNER_RETRY_AFTER, Some(left), fastrand::f64()));
            }
        }
    }

    async fn send_to_gate(self: &Rc<Self>, chosen: &GateAddr, state: &RequestState) -> Outcome {
        let gate = &chosen.node;
        let stated = self.statement_for(gate);
        let request = state.gate_request(self.table.borrow().position(), stated);
        let (outcome, service_ms) = if *gate == self.holder.borrow().node {
            let _counted = LocalRequest::start(self);
            state.attempt_sent.set(false);
            let (outcome, report) = self.run_request(request, &state.attempt_sent).await;
            (outcome, report.service_ms)
        } else {
            state.attempt_sent.set(true);
            let link = self.link(&chosen.node, chosen.addr);
            let asked = Instant::now();
            let reply = link.send(request, &state.attempt_sent).await;
            if let Some(stated) = &reply.stated {
                self.learn_statement(stated, asked);
            }
            (reply.outcome, link.last_report.get().0.service_ms)
        };
        if matches!(outcome, Outcome::Answer(_)) {
            self.record_service_time(&state.route.name, gate, service_ms);
        }
        outcome
    }

    /// Waits briefly for a change of the table after a gate has refused a key: the table of this
    /// node may be outdated.
    async fn wait_for_table_change(&self) {
        const PAUSE: Duration = Duration::from_millis(40);
        let mut offset = self.table_position.subscribe();
        // A timeout is no error: the table has not changed.
        let _ = timeout(PAUSE, offset.changed()).await;
    }
}

/// Counts a request as running at this node's own gate until dropped.
struct LocalRequest<'a>(&'a Node);

impl<'a> LocalRequest<'a> {
    fn start(node: &'a Node) -> LocalRequest<'a> {
        node.local_requests.set(node.local_requests.get() + 1);
        LocalRequest(node)
    }
}

impl Drop for LocalRequest<'_> {
    fn drop(&mut self) {
        self.0.local_requests.set(self.0.local_requests.get() - 1);
    }
}
