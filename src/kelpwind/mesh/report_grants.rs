//! Grants keys to the backend server in the answers to its reports.
//!
//! [`super::grants`] does the same by calls. Which keys are granted, under which tokens, and when
//! they are free for others follows from the same state ([`super::held_ranges`], [`super::holds`]);
//! what differs is how the server learns of it. An answer states everything that the server is to
//! hold. The server releases the rest and says in its reports what it still holds or works on.
//! [`super::report_exchanges`] has the rules for what a report proves.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::held_ranges::HeldRange;
use super::node::Node;
use super::platform_api::{BackendSession, KeyAssignment, ReportedKeys, ServerReport};
use super::report_exchanges::{self, ConnectionId};
use crate::core::ids::Token;
use crate::core::routes::GrantMode;
use crate::gate::grant_time;
use crate::lease::clock::{self, BootInstant};
use crate::table::keys::{Owner, Span};
use crate::table::member::Instance;

/// Time after which the server has taken an answer, so that requests for its keys may follow. The
/// server runs on the same host. It rejects one that comes too early without running it.
const ANSWER_TRANSIT: Duration = Duration::from_millis(3);
/// Time for which no request is sent to a server that did not hold a key it was assigned. An answer
/// that is late may arrive meanwhile.
const UNHELD_PAUSE: Duration = Duration::from_millis(100);

/// Counts a report as waiting for its answer until dropped.
struct OpenReport<'a>(&'a Node);

impl<'a> OpenReport<'a> {
    fn new(node: &'a Node) -> OpenReport<'a> {
        node.report_exchanges.borrow_mut().open();
        OpenReport(node)
    }
}

impl Drop for OpenReport<'_> {
    fn drop(&mut self) {
        self.0.report_exchanges.borrow_mut().close();
    }
}

impl Node {
    /// Whether the server beside this node is granted keys in the answers to its reports.
    pub fn grants_in_reports(&self) -> bool {
        let service = self.service();
        self.routes()
            .is_some_and(|r| r.is_keyed(&service) && r.grant_mode(&service) == GrantMode::Reports)
    }

    /// The session with the process that is granted keys.
    pub fn grant_session(&self) -> BackendSession {
        match self.grants_in_reports() {
            true => self.report_exchanges.borrow().session(),
            false => (self.platform.backend.session)(),
        }
    }

    /// Handles a report, and returns the keys that its answer assigns. `None` if the answer is to
    /// change nothing: the report is outdated, the server is granted keys by calls, or this node does
    /// not know at present which keys the server is to hold.
    pub async fn answer_report(
        self: &Rc<Self>,
        mut report: ServerReport,
        conn: ConnectionId,
    ) -> Option<KeyAssignment> {
        let arrival = clock::now();
        let (instance, number) = (report.instance.clone(), report.number);
        // The node keeps the report, but not its rows of keys, of which there may be thousands.
        let keys = report.keys.take();
        if !self.handle_report(report) || !self.grants_in_reports() {
            return None;
        }
        let keys = keys?;
        let _open = OpenReport::new(self);
        self.apply_reported_keys(&instance, &keys, conn);
        let prompt = self.report_exchanges.borrow().has_unconfirmed();
        self.sync_held_ranges();
        self.begin_planned_moves();
        self.start_due_moves();
        let is_latest = || {
            let server = self.server.borrow();
            server
                .as_ref()
                .is_some_and(|s| s.report.instance == instance && s.report.number == number)
        };
        loop {
            let changed = self.keys_checked.notified();
            let left = self.answer_time(arrival).since(clock::now());
            if prompt || left.is_zero() {
                break;
            }
            // A timeout is the usual case: the answer is due.
            let _ = timeout(left, changed).await;
            if !is_latest() {
                return None;
            }
        }
        self.assign_keys(arrival, conn)
    }

    /// Applies what a report says of the server's keys.
    fn apply_reported_keys(
        self: &Rc<Self>,
        instance: &Instance,
        keys: &ReportedKeys,
        conn: ConnectionId,
    ) {
        let session = self.grant_session();
        self.confirm_former_grants(instance, session);
        let now = clock::now();
        let (taken, refused) = {
            let mut held = self.held.borrow_mut();
            let mut exchanges = self.report_exchanges.borrow_mut();
            let taken = exchanges.confirm(conn);
            taken.iter().for_each(|number| held.holds.accept(*number));
            held.holds.prune(now);
            exchanges.retain_grants(|number| held.holds.is_in_force(number));
            exchanges.record_released(&keys.released);
            for span in keys.unheld() {
                let release = held.holds.release(span, Token(u64::MAX), session);
                held.holds.record_release(&release);
            }
            let refused = held.record_reported(keys, &taken, now);
            (taken.len(), refused)
        };
        self.metrics.count_reported_grants(taken.saturating_sub(refused.len()), refused.len());
        if !refused.is_empty() {
            let (first, ranges) = (refused[0].first, refused.len());
            spdlog::warn!("the backend server did not take keys that it was assigned: it has seen a higher token", kv: { first, ranges });
            if !self.is_changing_keys() {
                self.raise_tokens("a higher token", refused);
            }
        }
        self.notify_held_changed();
    }

    /// Begins the moves that were planned for the next report, unless all keys must leave.
    pub fn begin_planned_moves(self: &Rc<Self>) {
        let planned = self.report_exchanges.borrow_mut().take_planned();
        if planned.is_empty() {
            return;
        }
        self.held.borrow_mut().changing = false;
        if !self.must_give_up_keys() {
            self.start_moves(planned);
        }
    }

    /// Whether moves have to wait for the server's next report, which is the earliest time at which
    /// it can be told. Until then it serves the keys.
    pub fn must_await_report(&self) -> bool {
        let reports = self.grants_in_reports() && self.server.borrow().is_some();
        reports && !self.report_exchanges.borrow().is_open()
    }

    /// Plans moves that begin with the next report.
    pub fn plan_moves(&self, moves: Vec<(Span, Owner)>) {
        self.held.borrow_mut().changing = true;
        self.report_exchanges.borrow_mut().plan(moves);
    }

    /// When a report that arrived at `arrival` is to be answered: at once if the server is to hold
    /// other keys than it does.
    fn answer_time(self: &Rc<Self>, arrival: BootInstant) -> BootInstant {
        let leaves = self.server.borrow().is_none() || self.server_leaving_since().is_some();
        if leaves || self.held.borrow().is_moving() {
            return arrival;
        }
        let ranges = self.assignable_ranges();
        let held = self.held.borrow();
        let now = clock::now();
        let active_until = |range: &HeldRange| range.active_until.filter(|_| range.is_active(now));
        let expiry =
            ranges.iter().map(|i| active_until(&held.ranges[*i]).unwrap_or_default()).min();
        // Without a lease there is nothing to grant.
        let can_grant = self.grants_end(now).is_some() && !self.has_former_keys();
        report_exchanges::answer_time(arrival, expiry.filter(|_| can_grant))
    }

    /// Indices of the ranges that the server is to hold. Those of former sessions get higher tokens
    /// first.
    fn assignable_ranges(self: &Rc<Self>) -> Vec<usize> {
        let session = self.grant_session();
        let (ranges, former) = self.held.borrow_mut().select(session, clock::now(), true);
        self.renew_former_tokens(session, former);
        ranges
    }

    /// The keys that the answer to a report assigns. Requests for them are admitted right after it.
    fn assign_keys(
        self: &Rc<Self>,
        arrival: BootInstant,
        conn: ConnectionId,
    ) -> Option<KeyAssignment> {
        let ends = self.grants_end(clock::now())?;
        if self.has_former_keys() || self.table_position.borrow().is_none() {
            return None;
        }
        let longest = self.settings.borrow().bounds.max_grant;
        // The time counts from the sending of the report, so the grants need no allowance for transit.
        let transit = Duration::ZERO;
        let duration = grant_time::grant_duration(ends, arrival, longest, transit)?;
        let until = grant_time::latest_expiry(arrival, duration, transit);
        let session = self.grant_session();
        let mut spans = Vec::new();
        let mut numbers = Vec::new();
        for i in self.assignable_ranges() {
            let mut held = self.held.borrow_mut();
            let number = held.assign(i, session, until);
            let range = &held.ranges[i];
            spans.push((range.span, range.token, range.handover.clone()));
            numbers.push(number);
            let mut exchanges = self.report_exchanges.borrow_mut();
            exchanges.record_grant(conn, number);
            exchanges.forget_released(range.span);
        }
        let certain = grant_time::certain_until(arrival, duration);
        let node = self.clone();
        tokio::task::spawn_local(async move {
            sleep(ANSWER_TRANSIT).await;
            node.activate(&numbers, certain, arrival);
        });
        Some(KeyAssignment { spans, duration })
    }

    /// Admits requests for keys that an answer has assigned.
    fn activate(&self, numbers: &[u64], until: BootInstant, arrival: BootInstant) {
        let activated = self.held.borrow_mut().activate(numbers, until);
        if activated.is_empty() {
            return;
        }
        let instance = self.server_instance();
        let id = instance.as_ref().map_or("", |i| i.id.as_str());
        let age_ms = clock::now().since(arrival).as_millis() as u64;
        for (span, token) in activated {
            spdlog::info!("the backend server holds keys", kv: {
                id, way = "report", age_ms, first = span.first, last = span.last, token = token.0
            });
        }
        self.notify_held_changed();
    }

    /// Records that the server has rejected a request because it does not hold the key: it has not
    /// taken the answer that assigned it, at least not yet.
    pub fn record_unheld_key(self: &Rc<Self>, key: u16) {
        if !self.grants_in_reports() {
            return;
        }
        self.held.borrow_mut().pause(key, clock::now() + UNHELD_PAUSE);
        self.grants_wake.notify_one();
        let node = self.clone();
        tokio::task::spawn_local(async move {
            sleep(UNHELD_PAUSE).await;
            node.notify_held_changed();
        });
    }
}
