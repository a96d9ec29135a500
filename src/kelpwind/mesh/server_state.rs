//! Applies what the backend server beside the node states of itself in its answers.

use std::time::Instant;

use super::node::Node;
use super::platform_api::{ServerState, StatedLimit};
use super::statements::{Change, PeerStatement, Source};
use crate::core::ids::NodeId;
use crate::table::member::{Instance, Member};

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

    /// Applies a changed statement to the backend server beside this node, if it is about that one.
    pub fn apply_statement(&self, change: Change) {
        if change.limit {
            self.apply_limit();
        }
        if change.leaving {
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
    }

    fn apply_limit(&self) {
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

    /// Records that an instance of the backend server said at `since` that it is about to shut down.
    pub fn record_leaving(&self, server: &Instance, since: Instant, source: Source) {
        let now = Instant::now();
        let change = self.statements.borrow_mut().record_leaving(server, since, now);
        self.log_statement(server, change, source);
        self.apply_statement(change);
    }

    /// What the backend server beside this node has stated of itself, for other nodes.
    pub fn server_statement(&self) -> Option<PeerStatement> {
        let server = self.server.borrow();
        let id = &server.as_ref()?.report.instance.id;
        self.statements.borrow().for_peers(id, Instant::now())
    }

    /// What is known that the backend server beside another node has stated of itself, if that binds.
    pub fn statement_for(&self, node: &NodeId) -> Option<PeerStatement> {
        let table = self.table.borrow();
        let id = &table.members.get(node)?.instance()?.id;
        let stated = self.statements.borrow().for_peers(id, Instant::now());
        stated.filter(PeerStatement::is_binding)
    }

    /// Whether the backend server beside a member has said that it is about to shut down.
    pub fn is_server_leaving(&self, member: &Member) -> bool {
        let statements = self.statements.borrow();
        member.instance().is_some_and(|server| statements.leaving_since(server).is_some())
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
