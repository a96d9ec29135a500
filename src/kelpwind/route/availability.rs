//! Whether a gate takes work at all, by what it answered last.
//!
//! Load pattern: a backend server ends, and its gate refuses at once whatever comes. Its line is empty
//! then, so by load alone it would look like the best target there is. Pure.

use std::time::{Duration, Instant};

use crate::core::codes::Code;

/// Time after such a refusal in which the gate gets nothing while there are others: about as long as a
/// server needs to be reported again, so that one which is back is soon found.
pub const UNAVAILABLE_TIME: Duration = Duration::from_millis(400);

/// What a gate's last answers say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    refused: Option<Instant>,
}

impl Availability {
    /// The gate has passed a request on to its server.
    pub fn on_accepted(&mut self) {
        self.refused = None;
    }

    /// The gate has refused a request for this reason.
    pub fn on_refused(&mut self, code: Code, now: Instant) {
        let none =
            matches!(code, Code::Unreachable | Code::NoTarget | Code::StaleRoute | Code::Draining);
        if none {
            self.refused = Some(now);
        }
    }

    /// Whether the gate has no server that takes work.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.refused.is_some_and(|at| now.saturating_duration_since(at) < UNAVAILABLE_TIME)
    }
}
