//! The gate: the only way to the backend server beside this node.
//!
//! Because every request to the server passes here, the gate alone can keep the bounds that hold for
//! all callers together: its slots, what it bears while cold, that it serves a key only while it
//! holds it, and that it gets nothing new once it leaves. Entries are told of these things too, but
//! nothing depends on how soon they hear.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};

use super::frame::{GateRequest, LoadReport, Outcome, OwnerHint};
use super::node::Node;
use super::platform_api::SendOutcome;
use crate::core::codes::Code;
use crate::core::ids::{Offset, ServiceName};
use crate::gate::line::{Ask, Event, Ticket, Verdict};

/// Time after which a server that leaves, or whose failure domain is taken out, is closed for
/// requests of entries that have not heard. Entries hear within tens of milliseconds; the bounds for
/// leaving servers begin at 2 s.
const DRAIN_NOTICE: Duration = Duration::from_millis(1000);
/// Time after which a node that stops is closed for requests of entries that have not heard: it tells
/// each of them itself.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// Longest time that a request waits for a key that is on its way to this server.
const KEY_WAIT: Duration = Duration::from_millis(400);
/// Time before its limit at which a request that still waits is refused, so that its entry hears that
/// it has not run.
const REJECT_MARGIN: Duration = Duration::from_millis(40);
/// When a caller may come back whose key is on its way to another server.
const KEY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller may come back whose server is not there.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Who waits in the line, told to start or after what time to come back.
pub(crate) type Tickets = RefCell<HashMap<Ticket, oneshot::Sender<Result<(), Duration>>>>;

/// A place in the line that is given up when the request is cancelled.
struct QueuedRequest<'a> {
    node: &'a Node,
    ticket: Ticket,
    start: oneshot::Receiver<Result<(), Duration>>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        match self.start.try_recv() {
            // Told to start, but the request is cancelled: the slot goes to the next.
            Ok(Ok(())) => self.node.free_slot("", None),
            Ok(Err(_)) | Err(oneshot::error::TryRecvError::Closed) => {}
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.queue.borrow_mut().leave(self.ticket);
                self.node.tickets.borrow_mut().remove(&self.ticket);
            }
        }
    }
}

/// A slot that is freed when the request ends, however it ends.
struct Slot<'a> {
    node: &'a Node,
    sort: String,
    took: Cell<Option<Duration>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.node.free_slot(&self.sort, self.took.get());
    }
}

impl Node {
    /// Takes a request to its end; `sent` turns true when the server may have it.
    pub async fn run_request(
        self: &Rc<Self>,
        request: GateRequest,
        sent: &Cell<bool>,
    ) -> (Outcome, LoadReport) {
        let sort = request.class.clone();
        let id = request.request.id.clone();
        let outcome = self.try_run(request, sent).await.unwrap_or_else(|refused| refused);
        if let Outcome::NotRun { code, retry_after_ms, .. } = &outcome {
            self.metrics.count_refusal(*code);
            self.metrics.refusals.write(|left_out| {
                spdlog::info!("gate: not run", kv: {
                    request = id.as_str(), code = code.number(), why = code.text(), room_ms = *retry_after_ms,
                    running = self.queue.borrow().running(), waiting = self.queue.borrow().waiting(), left_out
                });
            });
        }
        (outcome, self.load_report(&sort))
    }

    /// What the gate says of itself.
    pub fn load_report(&self, sort: &str) -> LoadReport {
        let line = self.queue.borrow();
        LoadReport {
            busy: line.running() + line.waiting(),
            slots: line.slots(),
            service_ms: line.estimate(sort).map_or(0, |e| e.as_millis() as u32),
        }
    }

    async fn try_run(
        self: &Rc<Self>,
        request: GateRequest,
        sent: &Cell<bool>,
    ) -> Result<Outcome, Outcome> {
        let now = Instant::now();
        let limit = now + Duration::from_millis(request.remaining_ms.into());
        let aim = now + Duration::from_millis(request.objective_ms.into());
        self.check_server(&request.service)?;
        let key = request.request.key.filter(|_| self.is_keyed());
        if let Some(key) = key {
            if self.held.borrow().is_owned(key) {
                self.demand.borrow_mut().note(key, now);
            }
            self.wait_for_key(key, aim, request.table_offset).await?;
        }
        let ask = Ask { sort: request.class.clone(), rank: request.priority, aim, limit };
        let slot = self.acquire_slot(ask).await?;
        // The request may have waited; what was checked before may hold no longer.
        let server = self.check_server(&request.service)?;
        if let Some(key) = key
            && !self.held.borrow().is_active(key)
        {
            return Err(Outcome::not_run(Code::Moving, KEY_RETRY_AFTER));
        }
        sent.set(true);
        let began = Instant::now();
        let result = (self.platform.backend.send)(&request.request, &server, limit).await;
        Ok(self.to_outcome(result, &slot, began))
    }

    fn to_outcome(&self, result: SendOutcome, slot: &Slot<'_>, began: Instant) -> Outcome {
        let load = match &result {
            SendOutcome::Ran(_, load) | SendOutcome::NotRun(_, load, _) => Some(load),
            SendOutcome::Unknown(_) => None,
        };
        if let Some(pace) = load.and_then(|l| l.slowdown) {
            self.queue.borrow_mut().set_pace(pace);
        }
        match result {
            SendOutcome::Ran(answer, _) => {
                if answer.status < 500 {
                    slot.took.set(Some(began.elapsed()));
                }
                Outcome::Answer(answer)
            }
            SendOutcome::NotRun(code, _, arrived) => {
                let retry_after_ms = SERVER_RETRY_AFTER.as_millis() as u32 / 2;
                Outcome::NotRun { code, retry_after_ms, reached_server: arrived, owner: None }
            }
            SendOutcome::Unknown(code) => Outcome::Unknown(code),
        }
    }

    /// The name of the server, if it belongs to the service that is meant and takes work.
    fn check_server(&self, meant: &ServiceName) -> Result<String, Outcome> {
        let settings = self.settings.borrow();
        if settings.service != *meant {
            return Err(Outcome::not_run(Code::StaleRoute, KEY_RETRY_AFTER));
        }
        let server = self.server.borrow();
        let Some(server) = server.as_ref() else {
            return Err(Outcome::not_run(Code::NoTarget, SERVER_RETRY_AFTER));
        };
        let out = self.drained_domains.borrow().get(&settings.domain).copied();
        let closed = [server.leaving_since, out].into_iter().flatten();
        let stopping = self.stopping_for();
        // Keys stay with this node until they are handed over, which may need a store that is down.
        let notice = if self.is_keyed() { settings.bounds.grace / 2 } else { STOP_NOTICE };
        if closed.into_iter().any(|since| since.elapsed() >= DRAIN_NOTICE) || stopping >= notice {
            return Err(Outcome::not_run(Code::Draining, KEY_RETRY_AFTER));
        }
        Ok(server.report.instance.id.clone())
    }

    /// Waits for a key that this node owns but whose grant is under way. One that is being moved is
    /// waited for too: then this node knows its next owner.
    async fn wait_for_key(&self, key: u16, aim: Instant, read: Offset) -> Result<(), Outcome> {
        let mut moves = self.held_changed.subscribe();
        let until = aim.min(Instant::now() + KEY_WAIT);
        loop {
            let (active, owned) = {
                let held = self.held.borrow();
                (held.is_active(key), held.is_owned(key))
            };
            if active {
                return Ok(());
            }
            let left = until.saturating_duration_since(Instant::now());
            if !owned || timeout(left, moves.changed()).await.is_err() {
                if owned {
                    return Err(Outcome::not_run(Code::Moving, KEY_RETRY_AFTER));
                }
                let retry_after_ms = KEY_RETRY_AFTER.as_millis() as u32;
                // Whoever sent it here knows more than this node, or less.
                if read > self.table.borrow().next {
                    self.hurry_once();
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

    /// The owner of a key, if it is another node.
    fn other_owner(&self, key: u16) -> Option<OwnerHint> {
        let service = self.service();
        let chosen = self.owner(&service, key)?;
        let node = chosen.node;
        let table_offset = self.table.borrow().next;
        (node != self.name()).then_some(OwnerHint { node, table_offset })
    }

    async fn acquire_slot(&self, ask: Ask) -> Result<Slot<'_>, Outcome> {
        let (sort, limit) = (ask.sort.clone(), ask.limit);
        let verdict = self.queue.borrow_mut().offer(ask, Instant::now());
        match verdict {
            Verdict::Run => {}
            Verdict::Refuse(room) => return Err(Outcome::not_run(self.busy_code(), room)),
            Verdict::Wait(ticket) => {
                let (told, start) = oneshot::channel();
                self.tickets.borrow_mut().insert(ticket, told);
                self.queue_wake.notify_one();
                let mut queued = QueuedRequest { node: self, ticket, start };
                let until = limit.checked_sub(REJECT_MARGIN).unwrap_or(limit);
                let Ok(started) = timeout_at(until.into(), &mut queued.start).await else {
                    return Err(Outcome::not_run(self.busy_code(), SERVER_RETRY_AFTER));
                };
                match started {
                    Ok(Ok(())) => {}
                    Ok(Err(room)) => return Err(Outcome::not_run(self.busy_code(), room)),
                    Err(_) => return Err(Outcome::not_run(Code::Draining, KEY_RETRY_AFTER)),
                }
            }
        }
        Ok(Slot { node: self, sort, took: Cell::new(None) })
    }

    fn busy_code(&self) -> Code {
        let cold = self.queue.borrow().cold.is_cold(Instant::now());
        if cold { Code::Cold } else { Code::Busy }
    }

    fn free_slot(&self, sort: &str, took: Option<Duration>) {
        let events = self.queue.borrow_mut().ended(sort, took, Instant::now());
        self.notify(events);
    }

    fn notify(&self, events: Vec<Event>) {
        for event in events {
            let (ticket, word) = match event {
                Event::Start(ticket) => (ticket, Ok(())),
                Event::Refuse(ticket, room) => (ticket, Err(room)),
            };
            let told = self.tickets.borrow_mut().remove(&ticket);
            let heard = told.is_some_and(|t| t.send(word).is_ok());
            if !heard && word.is_ok() {
                spdlog::error!("a request was started that nobody waited for");
                self.free_slot("", None);
            }
        }
    }
}

/// Starts waiting requests while the server is cold: then it is time that makes room.
pub(crate) async fn pump(node: Rc<Node>) {
    loop {
        let next = node.queue.borrow().next_pump(Instant::now());
        match next {
            None => node.queue_wake.notified().await,
            Some(at) => {
                tokio::time::sleep_until(at.into()).await;
                let events = node.queue.borrow_mut().pump(Instant::now());
                node.notify(events);
            }
        }
    }
}
