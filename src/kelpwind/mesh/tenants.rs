//! Tenants: whose request it is, and whether the tenant's quota allows it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout_at;

use super::datagram::Datagram;
use super::node::Node;
use super::orders::Confirmation;
use super::platform_api::CallerRequest;
use super::request_state::{Failure, RequestState};
use super::selection::GateAddr;
use crate::core::codes::{Code, Outcome};
use crate::core::ids::NodeId;
use crate::core::routes::Route;
use crate::core::tenants::{Quota, Tenant, TenantName, Tenants};
use crate::lease::clock;
use crate::route::allotment::{Allotments, Ask, Decision, Keeper, Reply, contact_interval};

/// Longest time that a request waits for the keeper of its tenant's quota. It usually answers in
/// milliseconds, and is asked again after 80 ms.
const KEEPER_WAIT: Duration = Duration::from_millis(250);
/// Retry delay when no keeper has answered.
const KEEPER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Interval at which asks that are due are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The quotas of tenants at one node.
pub(crate) struct Quotas {
    /// Tokens that this node may spend.
    allotments: RefCell<Allotments>,
    /// Buckets that this node keeps.
    keeper: RefCell<Keeper>,
    /// Wakes the task that asks for tokens.
    pub wake: Notify,
    /// Counts the answers of keepers.
    answers: watch::Sender<u64>,
}

impl Quotas {
    /// State without tokens of a process with a random id.
    pub fn new(node: NodeId, run: u64) -> Quotas {
        Quotas {
            allotments: RefCell::new(Allotments::new(node, run)),
            keeper: RefCell::default(),
            wake: Notify::new(),
            answers: watch::Sender::new(0),
        }
    }
}

/// Asks keepers for tokens and keeps up contact with them, for as long as the process runs. Waits
/// while the configuration has no tenants.
pub(crate) async fn maintain_quotas(node: Rc<Node>) {
    let mut updated: Option<Instant> = None;
    loop {
        if !node.has_tenants() {
            node.quotas.wake.notified().await;
            continue;
        }
        let now = Instant::now();
        let interval = contact_interval(node.table.borrow().members.len());
        if updated.is_none_or(|at| now.saturating_duration_since(at) >= interval / 2) {
            updated = Some(now);
            node.update_keepers(now);
        }
        node.send_quota_asks(now).await;
        // A timeout is no error: asks may be due.
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.quotas.wake.notified()).await;
    }
}

/// Counts a request as waiting for tokens until dropped.
struct Waiting<'a>(&'a Node, &'a TenantName);

impl<'a> Waiting<'a> {
    fn start(node: &'a Node, tenant: &'a TenantName) -> Waiting<'a> {
        node.quotas.allotments.borrow_mut().set_waiting(tenant, true, Instant::now());
        Waiting(node, tenant)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.quotas.allotments.borrow_mut().set_waiting(self.1, false, Instant::now());
    }
}

impl Node {
    /// Whether the configuration has tenants.
    pub fn has_tenants(&self) -> bool {
        self.routes.borrow().as_ref().is_some_and(|r| r.tenants.is_some())
    }

    /// Refuses a request without a valid key before its body is read. A route that does not exist is left
    /// to [`Node::route`].
    pub(super) async fn check_key(
        &self,
        call: &CallerRequest,
        arrived: Instant,
    ) -> Result<(), Failure> {
        while let Some(routes) = self.routes() {
            let Some(tenants) = &routes.tenants else { return Ok(()) };
            let Some(route) = routes.find(&call.host, &call.path) else { return Ok(()) };
            let key = (self.platform.api_key)(&call.request);
            let Err(code) = tenants.admit(key, route.public) else { return Ok(()) };
            match self.confirm_config(routes.version, arrived, call).await {
                Confirmation::Newest => return Err(Failure { code, retry_after: None }),
                Confirmation::Replaced => {}
                Confirmation::Unknown => return Err(self.stale_config(call)),
            }
        }
        Ok(())
    }

    /// Finds out whose request it is, and restricts its route to what the tenant is allowed.
    pub fn admit_tenant(
        &self,
        tenants: &Tenants,
        route: &Rc<Route>,
        call: &CallerRequest,
    ) -> Result<(Rc<Route>, Option<Rc<Tenant>>), Code> {
        let key = (self.platform.api_key)(&call.request);
        match tenants.admit(key, route.public)? {
            Some(tenant) => Ok((tenant.restrict(route)?, Some(tenant.clone()))),
            None => Ok((route.clone(), None)),
        }
    }

    /// Takes a token of the request's tenant, or refuses the request if it exceeds the quota.
    pub(super) async fn take_quota(&self, state: &RequestState) -> Result<(), Failure> {
        let Some(tenant) = &state.tenant else { return Ok(()) };
        let result = match &tenant.quota {
            Some(quota) => self.wait_for_token(&tenant.name, quota, state.deadline).await,
            None => Ok(()),
        };
        self.metrics.tenants.count(&tenant.name, result.is_ok());
        result.map_err(|retry_after| {
            let failure = Failure { code: Code::QuotaExceeded, retry_after: Some(retry_after) };
            self.metrics.failure_log.write(|left_out| {
                spdlog::info!("entry: over the quota", kv: {
                    request = state.request.id.as_str(), code = failure.code.number(),
                    tenant = tenant.name.as_str(), route = state.route.name.as_str(),
                    retry_ms = retry_after.as_millis() as u64, left_out
                });
            });
            failure
        })
    }

    /// Takes a token; fails with the time until the next one is expected.
    async fn wait_for_token(
        &self,
        tenant: &TenantName,
        quota: &Quota,
        deadline: Instant,
    ) -> Result<(), Duration> {
        let mut answers = self.quotas.answers.subscribe();
        let mut waiting = None;
        let until = deadline.min(Instant::now() + KEEPER_WAIT);
        loop {
            let decision = self.quotas.allotments.borrow_mut().take(
                tenant,
                quota,
                fastrand::f64(),
                waiting.is_none(),
                Instant::now(),
            );
            match decision {
                Decision::Run => return Ok(()),
                Decision::Refuse(after) => return Err(after),
                Decision::Wait => {}
            }
            waiting.get_or_insert_with(|| Waiting::start(self, tenant));
            self.quotas.wake.notify_one();
            if timeout_at(until.into(), answers.changed()).await.is_err() {
                return Err(KEEPER_RETRY_AFTER);
            }
        }
    }

    /// Gives back the token of a request that certainly has not run.
    pub(super) fn give_back_quota(&self, state: &RequestState, failure: Failure) {
        let Some(tenant) = state.tenant.as_ref().filter(|t| t.quota.is_some()) else { return };
        if failure.code.outcome() == Outcome::NotRun {
            self.quotas.allotments.borrow_mut().give_back(&tenant.name);
        }
    }

    /// The quota of a tenant in the configuration in force.
    fn quota(&self, tenant: &TenantName) -> Option<Quota> {
        self.routes()?.tenants.as_ref()?.named(tenant)?.quota
    }

    /// Takes over the members and the tenants.
    fn update_keepers(&self, now: Instant) {
        let Some(routes) = self.routes() else { return };
        let Some(tenants) = &routes.tenants else { return };
        let table = self.table.borrow();
        let count = table.members.len();
        let able = table.members.values().filter(|m| !m.stopping);
        let able: Vec<NodeId> = able.map(|m| m.holder.node.clone()).collect();
        self.quotas.allotments.borrow_mut().set_members(&able, count, self.counts_as_member(), now);
        let limited = tenants.all().iter().filter_map(|t| Some((&t.name, t.quota?)));
        let is_member = |node: &NodeId| table.members.contains_key(node);
        self.quotas.keeper.borrow_mut().update(count, is_member, limited, now);
    }

    /// Sends the asks that are due. Those to this node itself are answered at once.
    async fn send_quota_asks(&self, now: Instant) {
        let asks = self.quotas.allotments.borrow_mut().due_asks(now);
        if asks.is_empty() {
            return;
        }
        let addrs: HashMap<NodeId, SocketAddr> = {
            let table = self.table.borrow();
            let addr = |to: &NodeId| table.members.get(to).map(|m| (to.clone(), m.addr));
            asks.iter().filter_map(|(to, _)| addr(to)).collect()
        };
        let me = self.name();
        for (to, ask) in asks {
            if to == me {
                if let Some(reply) = self.answer_quota_ask(&ask) {
                    self.learn_quota_reply(reply);
                }
            } else if let Some(addr) = addrs.get(&to) {
                self.send_datagram(*addr, &Datagram::QuotaAsk(ask)).await;
            }
        }
    }

    /// Whether other nodes still count this one as a member. Only a holder of keys is removed while it
    /// may be running, after its lease has expired.
    fn counts_as_member(&self) -> bool {
        let lease = self.lease.borrow();
        lease.as_ref().is_none_or(|l| l.set().is_empty() || l.is_valid(clock::now()))
    }

    /// Answers a node that asks this one for tokens.
    pub fn answer_quota_ask(&self, ask: &Ask) -> Option<Reply> {
        self.routes()?.tenants.as_ref()?;
        let members = {
            let table = self.table.borrow();
            let known = table.members.contains_key(&ask.from) && self.counts_as_member();
            known.then_some(table.members.len())?
        };
        let quota = |tenant: &TenantName| self.quota(tenant);
        let mut keeper = self.quotas.keeper.borrow_mut();
        keeper.answer(&self.name(), ask, members, quota, Instant::now())
    }

    /// Takes in the answer of a keeper.
    pub fn learn_quota_reply(&self, reply: Reply) {
        self.quotas.allotments.borrow_mut().receive(reply, Instant::now());
        self.quotas.answers.send_modify(|count| *count += 1);
        self.quotas.wake.notify_one();
    }

    /// Refuses a tenant's request whose key is owned in a region where it may not be handled.
    pub(super) fn check_region(
        &self,
        state: &RequestState,
        gate: &GateAddr,
    ) -> Result<(), Failure> {
        let regions = &state.route.regions;
        if state.tenant.is_none() || regions.is_empty() {
            return Ok(());
        }
        let table = self.table.borrow();
        match table.members.get(&gate.node).is_some_and(|m| regions.contains(&m.region)) {
            true => Ok(()),
            false => Err(Failure { code: Code::NoTarget, retry_after: None }),
        }
    }
}
