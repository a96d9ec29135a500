//! One request on its way: what has become of its tries, and whether another may follow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::frame::{GateRequest, Outcome, OwnerHint};
use super::platform_api::{Answer, Request};
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Offset, ServiceName};
use crate::core::routes::Route;
use crate::route::budget::Budget;
use crate::route::comeback;

/// Most gates that are asked for one request while none of them has run it.
const GATES_MAX: usize = 3;

/// A failure of the node's own, as the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Why.
    pub code: Code,
    /// When the caller may come back, if the request has not run.
    pub retry_after: Option<Duration>,
}

/// A request on its way.
pub(super) struct RequestState {
    pub route: Rc<Route>,
    pub service: ServiceName,
    pub request: Request,
    pub objective: Instant,
    pub deadline: Instant,
    pub budget: Rc<Budget>,
    pub tried_gates: Vec<NodeId>,
    /// Servers that the request has reached.
    pub servers_reached: u32,
    /// Whether a gate has it now.
    pub in_flight: bool,
    /// What the last gate that did not run it said.
    pub last_refusal: Option<Failure>,
    /// Who owns the key, as the last gate said.
    pub owner_hint: Option<OwnerHint>,
    /// What an earlier try left unknown, or failed with.
    pub uncertain: Option<Result<Answer, Failure>>,
}

impl RequestState {
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub fn gate_request(&self, table_offset: Offset) -> GateRequest {
        let now = Instant::now();
        GateRequest {
            number: 0,
            request: self.request.clone(),
            service: self.service.clone(),
            class: self.route.name.clone(),
            idempotent: self.route.is_idempotent(),
            priority: self.route.rank,
            objective_ms: self.objective.saturating_duration_since(now).as_millis() as u32,
            remaining_ms: self.deadline.saturating_duration_since(now).as_millis() as u32,
            table_offset,
        }
    }

    /// The gates that were tried, in order, for a log line.
    pub fn tried_names(&self) -> String {
        self.tried_gates.iter().map(NodeId::as_str).collect::<Vec<_>>().join(", ")
    }

    /// The key for a log line.
    pub fn key_text(&self) -> String {
        self.request.key.map_or_else(|| "none".to_owned(), |key| key.to_string())
    }

    /// Takes what became of a try: the final result, or `None` when another try may follow.
    pub fn handle_outcome(
        &mut self,
        outcome: Outcome,
        owner_until: Instant,
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
                // An older hint than the last one would send the request in circles.
                let newer = |h: &OwnerHint| {
                    self.owner_hint.as_ref().is_none_or(|last| h.table_offset > last.table_offset)
                };
                self.owner_hint = owner.filter(newer);
                let room = Duration::from_millis(retry_after_ms.into());
                let failure = not_run(code, room, Some(self.remaining()), fastrand::f64());
                self.last_refusal = Some(failure);
                if reached_server {
                    self.servers_reached += 1;
                    let may = self.servers_reached < self.route.attempts && self.budget.pay();
                    return if may { None } else { Some(self.fail(failure)) };
                }
                let moved = matches!(
                    code,
                    Code::NotOwner
                        | Code::Moving
                        | Code::StaleRoute
                        | Code::Draining
                        | Code::NoTarget
                );
                let again = match self.request.key {
                    Some(_) => moved && Instant::now() < owner_until,
                    None => self.tried_gates.len() < GATES_MAX,
                };
                if again { None } else { Some(self.fail(failure)) }
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

    /// Whether the request may be sent to another server though one may have run it. Pays for it.
    fn try_retry(&self) -> bool {
        self.route.is_idempotent()
            && self.servers_reached < self.route.attempts
            && self.budget.pay()
    }

    /// The final result when no further try is possible. A later refusal does not undo an earlier
    /// try that may have run.
    pub fn fail(&mut self, failure: Failure) -> Result<Answer, Failure> {
        self.uncertain.take().unwrap_or(Err(self.last_refusal.unwrap_or(failure)))
    }
}

/// A failure that promises that the request has not run.
pub(super) fn not_run(
    code: Code,
    retry_after: Duration,
    left: Option<Duration>,
    draw: f64,
) -> Failure {
    let delay = match left {
        Some(left) => comeback::after(retry_after, left, draw),
        None => retry_after,
    };
    Failure { code, retry_after: Some(delay) }
}
