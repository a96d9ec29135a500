//! Whether a gate accepts work at all, by its latest answers.
//!
//! Load pattern: a backend server terminates, and its gate refuses every request at once. Its queue
//! is then empty, so by load alone it would look like the best target. Pure.

use std::time::{Duration, Instant};

use crate::core::codes::Code;

/// Time after a refusal for lack of a server during which the gate is used only if there is no
/// other target. It is about as long as a restarted server takes to be reported, so that the gate
/// is soon used again.
pub const UNAVAILABLE_TIME: Duration = Duration::from_millis(400);

/// Availability of a gate, by its latest answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    refused_at: Option<Instant>,
}

impl Availability {
    /// Records that the gate has passed a request on to its server.
    pub fn on_accepted(&mut self) {
        self.refused_at = None;
    }

    /// Records that the gate has refused a request with this code.
    pub fn on_refused(&mut self, code: Code, now: Instant) {
        let no_server =
            matches!(code, Code::Unreachable | Code::NoTarget | Code::StaleRoute | Code::Draining);
        if no_server {
            self.refused_at = Some(now);
        }
    }

    /// Whether the gate recently refused a request because it has no server that accepts work.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.refused_at.is_some_and(|at| now.saturating_duration_since(at) < UNAVAILABLE_TIME)
    }
}
