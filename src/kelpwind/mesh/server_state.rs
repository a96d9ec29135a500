//! Applies what the backend server beside the node states of itself in its answers.

use std::time::Instant;

use super::node::Node;
use super::platform_api::{ServerState, StatedLimit};
use super::statements::{Change, PeerStatement, Source};
use crate::core::ids::NodeId;
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

    /// What the backend server beside this node has stated of itself, for other nodes.
    pub fn server_statement(&self) -> Option<PeerStatement> {
        let server = self.server.borrow();
        self.statements.borrow().for_peers(&server.as_ref()?.report.instance.id)
    }

    /// What is known that the backend server beside another node has stated of itself, if that binds.
    pub fn statement_for(&self, node: &NodeId) -> Option<PeerStatement> {
        let table = self.table.borrow();
        let id = &table.members.get(node)?.instance()?.id;
        self.statements.borrow().for_peers(id).filter(PeerStatement::is_binding)
    }

    /// Adopts a statement that another node has passed on with a request.
    pub fn adopt_statement(&self, stated: &PeerStatement) {
        let change = self.statements.borrow_mut().adopt(stated, Instant::now());
        self.log_statement(&stated.instance, change, Source::Peer);
        self.apply_statement(change);
    }

    /// Learns a statement that a gate has passed on with the reply to a request that was sent at
    /// `asked`.
    pub fn learn_statement(&self, stated: &PeerStatement, asked: Instant) {
        let change = self.statements.borrow_mut().learn(stated, asked, Instant::now());
        self.log_statement(&stated.instance, change, Source::Peer);
    }

    /// Logs a change of a statement. Servers may state another limit with each answer.
    fn log_statement(&self, server: &Instance, change: Change, source: Source) {
        if !change.is_any() {
            return;
        }
        let statements = self.statements.borrow();
        let limit = statements.limit(server).map(|l| l.rate.to_string());
        let (limit, id) = (limit.as_deref().unwrap_or("none"), server.id.as_str());
        let (leaving, source) = (change.leaving, source.name());
        self.metrics.statement_log.write(|left_out| {
            spdlog::info!("the backend server states something else", kv: { id, limit, leaving, source, left_out });
        });
    }
}
