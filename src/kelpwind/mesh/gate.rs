//! The gate: runs requests on the backend server beside this node.
//!
//! Every request to the server passes through its gate, so the gate alone enforces the limits that
//! hold for all callers together: the server's slots, its request rate during a cold start, the rate
//! that the server states, that it serves a key only while it holds it, and that it gets no new work
//! once it shuts down. Entries know of these states too, but correctness does not depend on how soon
//! they learn of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use super::frame::{GateRequest, LoadReport, Outcome, OwnerHint};
use super::metrics::AdmissionRefusal;
use super::node::Node;
use super::platform_api::{Request, SendOutcome};
use super::server_exits::ServerRun;
use crate::core::codes::Code;
use crate::core::ids::{Position, ServiceName};
use crate::gate::bulk;
use crate::gate::cost::{CostModel, Features, JobId, WorkLeft};
use crate::gate::queue::{AdmitDecision, QueueEvent, SlotRequest, Ticket};
use crate::table::member::Instance;

/// Time for which a server that shuts down, or whose failure domain is drained, still takes
/// requests, since entries learn of it only within tens of milliseconds. The limits for servers
/// that shut down begin at 2 s.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(1000);
/// Time for which a node that stops still takes requests of entries that have not learned of it. It
/// is shorter than [`DRAIN_GRACE`] because the node notifies each entry itself.
const STOP_GRACE: Duration = Duration::from_millis(300);
/// Longest time that a request waits for the end of a move of its key. A move lasts for as long as the
/// work that runs on its keys, so it ends sooner with most servers.
const MOVE_WAIT_MAX: Duration = Duration::from_secs(1);
/// Fraction of the time left until its deadline for which a request waits for a move. The rest is
/// left for running it. A late answer, and much more so one to a call that another request waits
/// for, is worth more than a refusal.
const MOVE_WAIT_RATIO: f64 = 0.5;
/// Time before its deadline at which a request that still waits is rejected, so that its entry
/// learns in time that it has not run.
const REJECT_MARGIN: Duration = Duration::from_millis(40);
/// The same where kinds share the server, as a fraction of the time with which the request arrived, and at
/// most: answers then share slow links with large ones. A request with less time left would not be
/// answered in time anyway.
const REJECT_MARGIN_RATIO: f64 = 0.05;
const REJECT_MARGIN_MAX: Duration = Duration::from_millis(150);
/// Retry-after of a key that is being moved or has another owner.
const KEY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after while there is no backend server, and of requests whose time in the queue ran out.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Mean retry-after of a request that is refused while calls of such requests fail: about the time in
/// which the estimate is forgotten.
const CALLS_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry-after of a request that the server rejected or could not be sent.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-after while the node has no memory for another request. Bodies and answers that make no
/// progress lose theirs within seconds.
pub(super) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Expected wait from which a request is returned to an entry that may send it to another gate. A
/// shorter one is not worth another round trip.
const RETURN_WAIT: Duration = Duration::from_millis(20);

/// Expected time until a large answer has left the host, from which its request is returned: that of four
/// answers of 90 KB on a link of 10 Mbit/s.
const BULK_RETURN_WAIT: Duration = Duration::from_millis(300);

/// Predicted costs of requests, and the work that is left at the backend server.
#[derive(Debug, Default)]
pub(crate) struct GateWork {
    model: CostModel,
    left: WorkLeft,
}

/// The part of the remaining work that one request makes up. Dropping it removes that part.
struct CountedWork<'a> {
    node: &'a Node,
    id: Option<JobId>,
}

impl Drop for CountedWork<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.node.work.borrow_mut().left.remove(id);
        }
    }
}

/// What the cost of a request is predicted from.
fn features<'a>(class: &'a str, call: &Request) -> Features<'a> {
    let path = || call.target.split('?').next().unwrap_or_default();
    let digest = call.key.map_or_else(|| xxh3_64(path().as_bytes()), u64::from);
    Features { route: class, digest, body_bytes: call.body.len() }
}

/// Channels of the queued requests: each gets `Ok` to start, or the retry-after with which it is
/// rejected.
pub(crate) type Tickets = RefCell<HashMap<Ticket, oneshot::Sender<Result<(), Duration>>>>;

/// A queued request. Dropping it removes it from the queue.
struct QueuedRequest<'a> {
    node: &'a Node,
    ticket: Ticket,
    start: oneshot::Receiver<Result<(), Duration>>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        match self.start.try_recv() {
            // Started, but cancelled before it ran: the slot goes to the next request.
            Ok(Ok(())) => self.node.free_slot("", None),
            Ok(Err(_)) | Err(oneshot::error::TryRecvError::Closed) => {}
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.queue.borrow_mut().cancel(self.ticket);
                self.node.tickets.borrow_mut().remove(&self.ticket);
            }
        }
    }
}

/// A slot of the server. Dropping it frees the slot, however the request ends.
struct Slot<'a> {
    node: &'a Node,
    class: String,
    /// `None` when the result does not reflect the server's speed.
    service_time: Cell<Option<Duration>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.node.free_slot(&self.class, self.service_time.get());
    }
}

/// A request with a large answer. Dropping it records its end.
struct BulkRequest<'a> {
    node: &'a Node,
    answer_bytes: Cell<Option<usize>>,
}

impl Drop for BulkRequest<'_> {
    fn drop(&mut self) {
        self.node.bulk_answers.borrow_mut().end(self.answer_bytes.get());
    }
}

/// Longest time that a request waits for the end of a move of its key, by the time left until its
/// deadline.
pub(crate) fn move_wait(left: Duration) -> Duration {
    left.mul_f64(MOVE_WAIT_RATIO).min(MOVE_WAIT_MAX)
}

impl Node {
    /// Runs a request and returns its outcome. Sets `sent` before the request goes to the server.
    pub async fn run_request(
        self: &Rc<Self>,
        mut request: GateRequest,
        sent: &Cell<bool>,
    ) -> (Outcome, LoadReport) {
        // An entry that has not read the first configuration with tenants yet leaves the key there.
        if self.has_tenants() {
            (self.platform.remove_key)(&mut request.request);
        }
        let class = request.class.clone();
        let id = request.request.id.clone();
        if let Some(stated) = &request.stated {
            self.adopt_statement(stated);
        }
        let outcome = self.try_run(request, sent).await.unwrap_or_else(|refused| refused);
        if let Outcome::NotRun { code, retry_after_ms, .. } = &outcome {
            self.metrics.count_refusal(*code, &class);
            self.metrics.refusal_log.write(|left_out| {
                spdlog::info!("gate: not run", kv: {
                    request = id.as_str(), code = code.number(), why = code.text(), room_ms = *retry_after_ms,
                    running = self.queue.borrow().running(), waiting = self.queue.borrow().waiting(), left_out
                });
            });
        }
        (outcome, self.load_report(&class))
    }

    /// The gate's load, with the service time of a request class.
    pub fn load_report(&self, class: &str) -> LoadReport {
        let queue = self.queue.borrow();
        let (work_ms, speed) = match self.weighs_work() {
            true => (self.expected_wait().as_millis() as u32, self.relative_speed(class)),
            false => (0, 0),
        };
        LoadReport {
            busy: queue.running() + queue.waiting(),
            slots: queue.slots(),
            service_ms: queue.estimate(class).map_or(0, |e| e.as_millis() as u32),
            work_ms,
            speed,
        }
    }

    /// Expected time until a slot is free for one more request.
    fn expected_wait(&self) -> Duration {
        let work = self.work.borrow();
        work.left.time_until_free(&work.model, self.queue.borrow().slots(), Instant::now())
    }

    /// Measured speed relative to the mean of the service, in thousandths; 0 while unknown. The mean is
    /// that of the answers to this node's own entry.
    fn relative_speed(&self, class: &str) -> u32 {
        let mean = self.service_times.borrow().mean(class);
        let own = self.work.borrow().model.route_secs(class);
        match (mean, own) {
            (Some(mean), Some(own)) if own > 0.0 => (mean / own * 1000.0) as u32,
            _ => 0,
        }
    }

    /// Counts the work of a request until the result is dropped.
    fn count_work(&self, class: &str, call: &Request) -> CountedWork<'_> {
        let id = self.weighs_work().then(|| {
            let mut work = self.work.borrow_mut();
            let cost = work.model.predict(&features(class, call));
            work.left.add(cost)
        });
        CountedWork { node: self, id }
    }

    async fn try_run(
        self: &Rc<Self>,
        mut request: GateRequest,
        sent: &Cell<bool>,
    ) -> Result<Outcome, Outcome> {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(request.remaining_ms.into());
        let objective = now + Duration::from_millis(request.objective_ms.into());
        self.check_quarantine(&request.request)?;
        self.check_server(&request.service)?;
        let call = Rc::new(std::mem::take(&mut request.request));
        let key = call.key.filter(|_| self.is_keyed());
        if let Some(key) = key {
            // Requests for keys that are leaving would make the remaining ones look hot.
            let counted = match self.weighs_work() {
                true => self.held.borrow().is_staying(key),
                false => self.held.borrow().is_owned(key),
            };
            if counted {
                self.demand.borrow_mut().record(key, now);
            }
            let until = now + move_wait(deadline.saturating_duration_since(now));
            self.wait_for_key(key, until, request.table_position).await?;
        }
        let is_full = || self.expected_wait() > RETURN_WAIT || request.bulk && self.is_link_full();
        if request.may_return && self.weighs_work() && is_full() {
            self.metrics.count_returned();
            return Err(Outcome::Returned);
        }
        let counted = self.count_work(&request.class, &call);
        let slot_request = SlotRequest {
            class: request.class.clone(),
            priority: request.priority,
            objective,
            deadline,
        };
        let bulk = request.bulk.then(|| self.admit_bulk(deadline)).transpose()?;
        let slot = self.acquire_slot(slot_request).await?;
        // The request may have waited, so the earlier checks may no longer hold.
        let server = self.check_server(&request.service)?;
        if let Some(key) = key
            && !self.held.borrow().is_active(key)
        {
            return Err(Outcome::not_run(Code::HandingOver, KEY_RETRY_AFTER));
        }
        if !self.has_room_to_run() {
            return Err(Outcome::not_run(Code::MemoryFull, MEMORY_RETRY_AFTER));
        }
        self.begin_trial_if_due(&call)?;
        sent.set(true);
        let began = Instant::now();
        if let Some(id) = counted.id {
            self.work.borrow_mut().left.start(id, began);
        }
        self.metrics.count_sent();
        let granted = key.and_then(|key| self.held.borrow().session(key));
        let granted = granted.filter(|_| !self.grants_in_reports());
        let run = ServerRun::begin(self, &server, &call);
        let result = (self.platform.backend.send)(&call, &server.id, granted, deadline).await;
        run.finish(&result);
        if let SendOutcome::Ran(answer, _) = &result {
            if let Some(bulk) = &bulk {
                bulk.answer_bytes.set(Some(answer.body.len()));
            }
            self.clear_if_answered(&call, answer.status);
            if counted.id.is_some() && answer.status < 500 {
                let (features, now) = (features(&slot.class, &call), Instant::now());
                self.work.borrow_mut().model.record(&features, now - began, now);
            }
        }
        Ok(self.to_outcome(result, &server, key, &slot, began))
    }

    /// Converts the server's result, and records what the server states of itself and the service time
    /// that come with it.
    fn to_outcome(
        self: &Rc<Self>,
        result: SendOutcome,
        server: &Instance,
        key: Option<u16>,
        slot: &Slot<'_>,
        began: Instant,
    ) -> Outcome {
        let state = match &result {
            SendOutcome::Ran(_, state) | SendOutcome::Rejected(_, state) => Some(state),
            SendOutcome::Unknown(_, state) => state.as_ref(),
            SendOutcome::NotSent(_) => None,
        };
        if let Some(state) = state {
            if let Some(slowdown) = state.slowdown {
                self.queue.borrow_mut().set_slowdown(slowdown);
            }
            self.record_server_state(server, state, began);
        }
        match result {
            SendOutcome::Ran(answer, _) => {
                self.call_trees.borrow_mut().record_answer(
                    &slot.class,
                    began,
                    answer.status >= 500,
                    Instant::now(),
                );
                if answer.status < 500 {
                    slot.service_time.set(Some(began.elapsed()));
                }
                Outcome::Answer(answer)
            }
            SendOutcome::Rejected(code, _) => {
                if let (Code::NotOwner, Some(key)) = (code, key) {
                    self.record_unheld_key(key);
                }
                let retry_after_ms = REJECTED_RETRY_AFTER.as_millis() as u32;
                Outcome::NotRun { code, retry_after_ms, reached_server: true, owner: None }
            }
            SendOutcome::NotSent(code) => {
                self.check_listener();
                Outcome::not_run(code, REJECTED_RETRY_AFTER)
            }
            SendOutcome::Unknown(code, _) => Outcome::Unknown(code),
        }
    }

    /// Returns the server if it belongs to the requested service and takes work.
    fn check_server(&self, service: &ServiceName) -> Result<Instance, Outcome> {
        let settings = self.settings.borrow();
        if settings.service != *service {
            return Err(Outcome::not_run(Code::StaleRoute, KEY_RETRY_AFTER));
        }
        let server = self.server.borrow();
        let Some(server) = server.as_ref() else {
            return Err(Outcome::not_run(Code::NoTarget, SERVER_RETRY_AFTER));
        };
        let drained = self.drained_domains.borrow().get(&settings.domain).copied();
        let closed = [self.server_leaving_since(), drained].into_iter().flatten();
        let stopping = self.stopping_for();
        // Keys stay with this node until they are handed over, which may have to wait for the
        // store.
        let grace = if self.is_keyed() { settings.bounds.grace / 2 } else { STOP_GRACE };
        if closed.into_iter().any(|since| since.elapsed() >= DRAIN_GRACE) || stopping >= grace {
            return Err(Outcome::not_run(Code::Draining, KEY_RETRY_AFTER));
        }
        Ok(server.report.instance.clone())
    }

    /// Waits until the server holds a key that this node owns, `until` at the latest. Also waits for
    /// the end of a move, after which the next owner is known. `entry_position` is how far the entry
    /// has read the table.
    async fn wait_for_key(
        &self,
        key: u16,
        until: Instant,
        entry_position: Position,
    ) -> Result<(), Outcome> {
        let mut changes = self.held_changed.subscribe();
        loop {
            let (active, owned) = {
                let held = self.held.borrow();
                (held.is_active(key), held.is_owned(key))
            };
            if active {
                return Ok(());
            }
            let left = until.saturating_duration_since(Instant::now());
            if !owned || timeout(left, changes.changed()).await.is_err() {
                if owned {
                    return Err(Outcome::not_run(Code::HandingOver, KEY_RETRY_AFTER));
                }
                let retry_after_ms = KEY_RETRY_AFTER.as_millis() as u32;
                // The entry may have read more of the table than this node, or less.
                if entry_position > self.table.borrow().position() {
                    self.request_table_read_throttled();
                }
                let owner = self.other_owner(key);
                return Err(Outcome::NotRun {
                    code: Code::NotOwner,
                    retry_after_ms,
                    reached_server: false,
                    owner,
                });
            }
        }
    }

    /// A hint at the owner of a key, if that is another node.
    fn other_owner(&self, key: u16) -> Option<OwnerHint> {
        let service = self.service();
        let chosen = self.owner_gate(&service, key)?;
        let node = chosen.node;
        let table_position = self.table.borrow().position();
        (node != self.name()).then_some(OwnerHint { node, table_position })
    }

    /// Expected time until a large answer to a request that arrives now has left the host.
    fn time_to_send_bulk(&self) -> Duration {
        let answers = *self.bulk_answers.borrow();
        let queued = answers.expected_bytes() + self.queued_bytes();
        self.pacer.time_to_send(answers.mean_bytes(), queued, Instant::now())
    }

    /// Whether a large answer would wait so long for the host's link that another gate is likely to send it
    /// sooner.
    fn is_link_full(&self) -> bool {
        self.time_to_send_bulk() > BULK_RETURN_WAIT
    }

    /// Admits a request with a large answer if the host's link can carry it in time.
    fn admit_bulk(&self, deadline: Instant) -> Result<BulkRequest<'_>, Outcome> {
        let left = deadline.saturating_duration_since(Instant::now());
        if let Some(delay) = bulk::retry_after(self.time_to_send_bulk(), left) {
            return Err(Outcome::not_run(Code::LinkBusy, delay));
        }
        self.bulk_answers.borrow_mut().begin();
        Ok(BulkRequest { node: self, answer_bytes: Cell::new(None) })
    }

    /// Waits in the queue for a slot of the server.
    async fn acquire_slot(&self, slot_request: SlotRequest) -> Result<Slot<'_>, Outcome> {
        let (class, deadline) = (slot_request.class.clone(), slot_request.deadline);
        if self.queue.borrow().is_sharing() {
            let draw = fastrand::f64();
            if !self.call_trees.borrow().admits(&class, draw, Instant::now()) {
                self.count_admission(&class, AdmissionRefusal::Calls);
                let delay = CALLS_RETRY_AFTER.mul_f64(0.5 + fastrand::f64());
                return Err(Outcome::not_run(Code::Busy, delay));
            }
        }
        let verdict = self.queue.borrow_mut().admit(slot_request, Instant::now());
        match verdict {
            AdmitDecision::Run => {}
            AdmitDecision::Refuse(delay) => {
                // Others may have been evicted for it.
                self.queue_wake.notify_one();
                self.count_admission(&class, AdmissionRefusal::Arrival);
                return Err(Outcome::not_run(self.busy_code(), delay));
            }
            AdmitDecision::Wait(ticket) => {
                let (sender, start) = oneshot::channel();
                self.tickets.borrow_mut().insert(ticket, sender);
                self.queue_wake.notify_one();
                let mut queued = QueuedRequest { node: self, ticket, start };
                let margin = self.reject_margin(deadline);
                let until = deadline.checked_sub(margin).unwrap_or(deadline);
                let Ok(started) = timeout_at(until.into(), &mut queued.start).await else {
                    self.count_admission(&class, AdmissionRefusal::Queued);
                    return Err(Outcome::not_run(self.busy_code(), SERVER_RETRY_AFTER));
                };
                match started {
                    Ok(Ok(())) => {}
                    Ok(Err(delay)) => {
                        self.count_admission(&class, AdmissionRefusal::Queued);
                        return Err(Outcome::not_run(self.busy_code(), delay));
                    }
                    Err(_) => return Err(Outcome::not_run(Code::Draining, KEY_RETRY_AFTER)),
                }
            }
        }
        Ok(Slot { node: self, class, service_time: Cell::new(None) })
    }

    /// Time before its deadline at which a request that arrives now is rejected if it still waits.
    fn reject_margin(&self, deadline: Instant) -> Duration {
        if !self.queue.borrow().is_sharing() {
            return REJECT_MARGIN;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        left.mul_f64(REJECT_MARGIN_RATIO).clamp(REJECT_MARGIN, REJECT_MARGIN_MAX)
    }

    /// Counts a request that is refused for lack of capacity while kinds share the server. Classes
    /// that the configuration does not name are counted as one.
    fn count_admission(&self, class: &str, reason: AdmissionRefusal) {
        if !self.queue.borrow().is_sharing() {
            return;
        }
        let known = self.routes().is_some_and(|routes| routes.all().any(|r| r.name == class));
        self.metrics.count_admission(if known { class } else { "other" }, reason);
    }

    /// The code of requests for which the server has no capacity.
    fn busy_code(&self) -> Code {
        let (queue, now) = (self.queue.borrow(), Instant::now());
        if queue.cold_start.is_cold(now) {
            Code::Cold
        } else if queue.is_rate_limited(now) {
            Code::Limited
        } else {
            Code::Busy
        }
    }

    fn free_slot(&self, class: &str, service_time: Option<Duration>) {
        let events = self.queue.borrow_mut().finish(class, service_time, Instant::now());
        self.notify(events);
    }

    /// Tells queued requests to start, or that they are rejected.
    pub fn notify(&self, events: Vec<QueueEvent>) {
        for event in events {
            let (ticket, result) = match event {
                QueueEvent::Start(ticket) => (ticket, Ok(())),
                QueueEvent::Refuse(ticket, delay) => (ticket, Err(delay)),
            };
            let sender = self.tickets.borrow_mut().remove(&ticket);
            let delivered = sender.is_some_and(|s| s.send(result).is_ok());
            if !delivered && result.is_ok() {
                spdlog::error!("the queue started a request that no longer waits");
                self.free_slot("", None);
            }
        }
    }
}

/// Starts queued requests during a cold start or under a rate limit, when capacity grows with time
/// rather than with the end of other requests.
pub(crate) async fn dispatch_queued(node: Rc<Node>) {
    loop {
        let next = node.queue.borrow().next_dispatch(Instant::now());
        match next {
            None => node.queue_wake.notified().await,
            Some(at) => {
                // The limits may change meanwhile.
                if timeout_at(at.into(), node.queue_wake.notified()).await.is_err() {
                    let events = node.queue.borrow_mut().dispatch(Instant::now());
                    node.notify(events);
                }
            }
        }
    }
}
