//! Applies what the backend server beside the node states of itself in its answers.

use std::time::Instant;

use super::node::Node;
use super::platform_api::{ServerState, StatedLimit};
use super::statements::{Change, Source};
use crate::table::member::Instance;

impl Node {
    /// Records what a server stated in the answer to a request that was sent at `asked`.
    pub fn record_server_state(&self, server: &Instance, state: &ServerState, asked: Instant) {
        if let StatedLimit::Malformed(raw) = &state.limit {
            self.metrics.malformed_statements.inc();
            self.metrics.statement_log.write(|left_out| {
                spdlog::warn!("the backend server states a malformed limit", kv: {
                    id = server.id.as_str(), limit = raw.as_str(), left_out
                });
            });
        }
        let change = self.statements.borrow_mut().record(server, state, asked, Instant::now());
        self.log_statement(server, change, Source::Answer);
        self.apply_statement(change);
    }

    /// Applies a changed statement of the attached server to its queue.
    pub fn apply_statement(&self, change: Change) {
        if change.limit {
            let server = self.server_instance();
            let limit = server.and_then(|instance| self.statements.borrow().limit(&instance));
            let now = Instant::now();
            let mut queue = self.queue.borrow_mut();
            queue.set_rate_limit(limit.map(|l| l.rate), now);
            let events = queue.dispatch(now);
            drop(queue);
            self.notify(events);
            self.queue_wake.notify_one();
        }
    }

    fn log_statement(&self, server: &Instance, change: Change, source: Source) {
        let (id, source) = (server.id.as_str(), source.name());
        let statements = self.statements.borrow();
        let statement = statements.of(server);
        if change.limit {
            let limit = statement.and_then(|s| s.limit).map(|l| l.rate.to_string());
            let limit = limit.as_deref().unwrap_or("none");
            spdlog::info!("the backend server states another limit", kv: { id, limit, source });
        }
        if change.leaving {
            spdlog::info!("the backend server states that it shuts down", kv: { id, source });
        }
    }
}
