//! One request on its way: what has become of its tries, and whether another may follow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::frame::{Outcome, OwnerHint, Work};
use super::platform_api::{Answer, Request};
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Offset, ServiceName};
use crate::core::routes::Route;
use crate::route::budget::Budget;
use crate::route::retry_after;

/// Most gates that are asked for one request while none of them has run it.
const GATES_MAX: usize = 3;

/// A failure of the node's own, as the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Why.
    pub code: Code,
    /// When the caller may come back, if the request has not run.
    pub retry: Option<Duration>,
}

/// A request on its way.
pub(super) struct RequestState {
    pub route: Rc<Route>,
    pub service: ServiceName,
    pub request: Request,
    pub aim: Instant,
    pub limit: Instant,
    pub budget: Rc<Budget>,
    pub tried: Vec<NodeId>,
    /// Servers that the request has reached.
    pub reached: u32,
    /// Whether a gate has it now.
    pub sending: bool,
    /// What the last gate that did not run it said.
    pub refused: Option<Failure>,
    /// Who owns the key, as the last gate said.
    pub hint: Option<OwnerHint>,
    /// What an earlier try left unknown, or failed with.
    pub doubtful: Option<Result<Answer, Failure>>,
}

impl RequestState {
    pub fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    pub fn work(&self, read: Offset) -> Work {
        let now = Instant::now();
        Work {
            number: 0,
            request: self.request.clone(),
            service: self.service.clone(),
            sort: self.route.name.clone(),
            safe: self.route.is_idempotent(),
            rank: self.route.priority,
            aim_ms: self.aim.saturating_duration_since(now).as_millis() as u32,
            left_ms: self.limit.saturating_duration_since(now).as_millis() as u32,
            read,
        }
    }

    /// The gates that were tried, in order, for a log line.
    pub fn tried_names(&self) -> String {
        self.tried.iter().map(NodeId::as_str).collect::<Vec<_>>().join(", ")
    }

    /// The key for a log line.
    pub fn key_text(&self) -> String {
        self.request.key.map_or_else(|| "none".to_owned(), |key| key.to_string())
    }

    /// Takes what became of a try: the final result, or `None` when another try may follow.
    pub fn settle(
        &mut self,
        outcome: Outcome,
        owner_until: Instant,
    ) -> Option<Result<Answer, Failure>> {
        match outcome {
            Outcome::Answer(answer) => {
                self.reached += 1;
                if answer.status < 500 || !self.may_run_again() {
                    return Some(Ok(answer));
                }
                self.doubtful = Some(Ok(answer));
                None
            }
            Outcome::NotRun { code, room_ms, arrived, owner } => {
                // An older hint than the last one would send the request in circles.
                let newer =
                    |h: &OwnerHint| self.hint.as_ref().is_none_or(|last| h.read > last.read);
                self.hint = owner.filter(newer);
                let room = Duration::from_millis(room_ms.into());
                let failure = not_run(code, room, Some(self.left()), fastrand::f64());
                self.refused = Some(failure);
                if arrived {
                    self.reached += 1;
                    let may = self.reached < self.route.attempts && self.budget.try_withdraw();
                    return if may { None } else { Some(self.give_up(failure)) };
                }
                let moved = matches!(
                    code,
                    Code::NotOwner
                        | Code::HandingOver
                        | Code::StaleRoute
                        | Code::Draining
                        | Code::NoTarget
                );
                let again = match self.request.key {
                    Some(_) => moved && Instant::now() < owner_until,
                    None => self.tried.len() < GATES_MAX,
                };
                if again { None } else { Some(self.give_up(failure)) }
            }
            Outcome::Unknown(code) => {
                self.reached += 1;
                self.hint = None;
                let failure = Failure { code, retry: None };
                if !self.may_run_again() {
                    return Some(Err(failure));
                }
                self.doubtful = Some(Err(failure));
                None
            }
        }
    }

    /// Whether the request may be sent to another server though one may have run it. Pays for it.
    fn may_run_again(&self) -> bool {
        self.route.is_idempotent()
            && self.reached < self.route.attempts
            && self.budget.try_withdraw()
    }

    /// The final result when no further try is possible. A later refusal does not undo an earlier
    /// try that may have run.
    pub fn give_up(&mut self, failure: Failure) -> Result<Answer, Failure> {
        self.doubtful.take().unwrap_or(Err(self.refused.unwrap_or(failure)))
    }
}

/// A failure that promises that the request has not run.
pub(super) fn not_run(code: Code, room: Duration, left: Option<Duration>, draw: f64) -> Failure {
    let retry = match left {
        Some(left) => retry_after::delay(room, left, draw),
        None => room,
    };
    Failure { code, retry: Some(retry) }
}
