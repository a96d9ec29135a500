//! The state of one request at the entry: its attempts, and whether another may follow.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::frame::{GateRequest, Outcome, OwnerHint};
use super::platform_api::{Answer, Request};
use super::quarantine::Suspicion;
use super::statements::PeerStatement;
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Position, ServiceName};
use crate::core::routes::Route;
use crate::core::tenants::Tenant;
use crate::lease::clock::BootInstant;
use crate::route::budget::Budget;
use crate::route::retry_after;

/// Maximum number of gates to which a request without a key is sent, one after another, until one
/// runs it.
const GATES_MAX: usize = 3;

/// Largest body of a request that a gate may return: a larger one takes too long on a slow link to be
/// sent to several gates.
const RETURNED_BYTES_MAX: usize = 64 << 10;

/// A failure that the node reports to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Result code.
    pub code: Code,
    /// Time after which the caller may retry; `None` when the request may have run or a retry
    /// cannot succeed.
    pub retry_after: Option<Duration>,
}

/// A request that the entry is routing.
pub(super) struct RequestState {
    pub route: Rc<Route>,
    pub service: ServiceName,
    pub request: Request,
    /// When the latency objective is missed.
    pub objective: Instant,
    /// When an answer is of no more use to the caller.
    pub deadline: Instant,
    /// Retry budget of the service.
    pub budget: Rc<Budget>,
    /// Gates of all attempts, in order.
    pub tried_gates: Vec<NodeId>,
    /// Gates that returned the request because another was likely to run it sooner, and that are tried
    /// again when no other does.
    pub returned_by: Vec<NodeId>,
    /// Whether the next gate may return it.
    pub may_return: bool,
    /// Number of attempts that reached a server.
    pub servers_reached: u32,
    /// Whether an attempt is in progress.
    pub in_flight: bool,
    /// The refusal of the last gate that did not run the request.
    pub last_refusal: Option<Failure>,
    /// The owner of the key according to the last gate.
    pub owner_hint: Option<OwnerHint>,
    /// The result of an earlier attempt that failed or whose outcome is unknown.
    pub uncertain: Option<Result<Answer, Failure>>,
    /// What is known of requests that ask for the same. If a backend server has ended under one before,
    /// another attempt might end one more.
    pub suspicion: Suspicion,
    /// Whether gates assign each refused caller a time to return.
    pub sharing: bool,
    /// Whether the attempt in progress may have reached a server.
    pub attempt_sent: Cell<bool>,
    /// Whose request it is, where the configuration has tenants.
    pub tenant: Option<Rc<Tenant>>,
}

impl RequestState {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether a server may be at work on the request. With sharing, an attempt that only waits in this
    /// node's own queue or for a connection to the gate does not count: nothing of it has been sent.
    pub fn may_be_running(&self) -> bool {
        self.in_flight && (!self.sharing || self.attempt_sent.get())
    }

    /// The request as it is sent to a gate; the link assigns its number. `stated` is what is known that
    /// the backend server there has stated of itself.
    pub fn gate_request(
        &self,
        table_position: Position,
        stated: Option<PeerStatement>,
    ) -> GateRequest {
        let now = Instant::now();
        GateRequest {
            number: 0,
            request: self.request.clone(),
            service: self.service.clone(),
            class: self.route.name.clone(),
            idempotent: self.route.is_idempotent(),
            bulk: self.route.bulk,
            priority: self.route.priority,
            may_return: self.may_return,
            objective_ms: self.objective.saturating_duration_since(now).as_millis() as u32,
            remaining_ms: self.deadline.saturating_duration_since(now).as_millis() as u32,
            sent_at: BootInstant::default(),
            table_position,
            stated,
        }
    }

    /// The gates of all attempts, formatted for a log line.
    pub fn tried_names(&self) -> String {
        self.tried_gates.iter().map(NodeId::as_str).collect::<Vec<_>>().join(", ")
    }

    /// The key, formatted for a log line.
    pub fn key_text(&self) -> String {
        self.request.key.map_or_else(|| "none".to_owned(), |key| key.to_string())
    }

    /// Records the outcome of an attempt. Returns the final result, or `None` when another attempt
    /// may follow. A request whose key moves is sent to its next owner until `move_until`.
    pub fn handle_outcome(
        &mut self,
        outcome: Outcome,
        move_until: Instant,
    ) -> Option<Result<Answer, Failure>> {
        match outcome {
            Outcome::Answer(answer) => {
                self.servers_reached += 1;
                if answer.status < 500 || !self.try_retry() {
                    return Some(Ok(answer));
                }
                self.uncertain = Some(Ok(answer));
                None
            }
            Outcome::NotRun { code, retry_after_ms, reached_server, owner } => {
                // Following a hint that is older than the last one could form a loop between gates.
                let newer = |h: &OwnerHint| {
                    self.owner_hint
                        .as_ref()
                        .is_none_or(|last| h.table_position > last.table_position)
                };
                self.owner_hint = owner.filter(newer);
                let retry_after = Duration::from_millis(retry_after_ms.into());
                let mut failure =
                    not_run(code, retry_after, Some(self.remaining()), fastrand::f64());
                if self.sharing && code == Code::Busy && !reached_server {
                    let delay = retry_after::assigned(retry_after, fastrand::f64());
                    failure.retry_after = Some(delay);
                }
                self.last_refusal = Some(failure);
                if reached_server {
                    self.servers_reached += 1;
                    let retry =
                        self.servers_reached < self.route.attempts && self.budget.try_withdraw();
                    return if retry { None } else { Some(self.fail(failure)) };
                }
                let moved = matches!(
                    code,
                    Code::NotOwner
                        | Code::HandingOver
                        | Code::StaleRoute
                        | Code::Draining
                        | Code::NoTarget
                );
                let retry = match self.request.key {
                    Some(_) => moved && Instant::now() < move_until,
                    None => self.may_try_more() || !self.returned_by.is_empty(),
                };
                if retry { None } else { Some(self.fail(failure)) }
            }
            Outcome::Returned => {
                self.returned_by.extend(self.tried_gates.last().cloned());
                None
            }
            Outcome::Unknown(code) => {
                self.servers_reached += 1;
                self.owner_hint = None;
                let failure = Failure { code, retry_after: None };
                if !self.try_retry() {
                    return Some(Err(failure));
                }
                self.uncertain = Some(Err(failure));
                None
            }
        }
    }

    /// Whether a gate that has not been tried may get the request.
    pub fn may_try_more(&self) -> bool {
        self.tried_gates.len() < GATES_MAX
    }

    /// Whether the next gate may return the request: it has no key, it is small, and one more gate may
    /// be tried after it.
    pub fn is_returnable(&self) -> bool {
        self.request.key.is_none()
            && self.request.body.len() <= RETURNED_BYTES_MAX
            && self.tried_gates.len() + 1 < GATES_MAX
            && self.suspicion.only.is_none()
    }

    /// Whether the request may be sent again although a server may have run it. Withdraws the retry
    /// from the budget.
    fn try_retry(&self) -> bool {
        self.route.is_idempotent()
            && !self.suspicion.suspected
            && self.servers_reached < self.route.attempts
            && self.budget.try_withdraw()
    }

    /// The final result when no further attempt is possible. A refusal does not replace the result
    /// of an earlier attempt that may have run.
    pub fn fail(&mut self, failure: Failure) -> Result<Answer, Failure> {
        self.uncertain.take().unwrap_or(Err(self.last_refusal.unwrap_or(failure)))
    }
}

/// A failure that promises that the request has not run. `draw`, from 0 to 1, spreads the retries
/// of callers that state how much time they have left.
pub(super) fn not_run(
    code: Code,
    retry_after: Duration,
    left: Option<Duration>,
    draw: f64,
) -> Failure {
    let delay = match left {
        Some(left) => retry_after::delay(retry_after, left, draw),
        None => retry_after,
    };
    Failure { code, retry_after: Some(delay) }
}
