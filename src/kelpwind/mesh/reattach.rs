//! Reattaches the backend server of this node's former run.
//!
//! A node may restart while the server beside it keeps running. The server's next report comes
//! about a second later; until then neither the server nor its keys could be used. The former run's
//! record names the server, so the node asks the server at its address for its name: if that is the
//! same, it is used at once. It may still be another instance under that name, so its keys get
//! higher tokens like those of any new run ([`crate::table::keys::KeyMap::replace_owner`]).

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::gate::DRAIN_GRACE;
use super::node::Node;
use super::platform_api::{BackendSession, ServerReport};
use super::statements::Source;
use crate::table::keys::Owner;
use crate::table::member::{Instance, Member, Server};

/// Longest time for the configuration to arrive and for the server to answer. Waiting longer gains
/// little, since the server's next report is due soon after.
const REATTACH_TIMEOUT: Duration = Duration::from_millis(400);

/// Attaches the former run's server if it still answers under its name.
pub(crate) async fn reattach(node: &Rc<Node>) {
    let mut table_offset = node.table_position.subscribe();
    // `wait_for` fails only if the sender is dropped, and `node` owns the sender.
    drop(table_offset.wait_for(|offset| offset.is_some()).await);
    let former = {
        let table = node.table.borrow();
        let former = table.members.get(&node.name());
        // A former run whose record is gone has left, or was taken over after its grants had expired.
        let excess = former.map_or_else(|| node.wanted_excess(), Member::grant_excess);
        node.held.borrow_mut().limit_former_grants(node.started_boot, excess);
        former.and_then(|m| m.server.clone())
    };
    if let Some(server) = former.as_ref().filter(|s| s.draining) {
        // When it said so is not known, so it takes no more requests. A report that it sent before may
        // yet arrive.
        let now = Instant::now();
        let since = now.checked_sub(DRAIN_GRACE).unwrap_or(now);
        node.record_leaving(&server.instance, since, Source::Peer);
    }
    if let Some(former) = former.filter(|s| !s.draining)
        && timeout(REATTACH_TIMEOUT, node.reattach_if_same(former)).await.is_err()
    {
        spdlog::info!("the former run's backend server did not answer in time");
    }
}

impl Node {
    /// Asks the server for its health, and attaches it if it is healthy and has the same name.
    async fn reattach_if_same(self: &Rc<Self>, former: Server) {
        let mut known = self.configured.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        drop(known.wait_for(|known| *known).await);
        let settings = self.settings.borrow().clone();
        let Some(spec) = self.routes().and_then(|r| r.services.get(&settings.service).cloned())
        else {
            return;
        };
        let backend = &self.platform.backend;
        let asked = Instant::now();
        let (health, session) = if self.is_keyed() && !self.grants_in_reports() {
            let answer = (backend.identify)(&spec.health_path, REATTACH_TIMEOUT).await;
            answer.map_or((None, None), |(health, session)| (Some(health), Some(session)))
        } else {
            ((backend.health)(&spec.health_path, REATTACH_TIMEOUT).await, None)
        };
        let id = former.instance.id.as_str();
        let same = |id: &Option<String>| id.as_ref() == Some(&former.instance.id);
        if let Some(health) = health.as_ref().filter(|h| same(&h.id)) {
            self.record_server_state(&former.instance, &health.state, asked);
        }
        let Some(health) = health.filter(|h| h.healthy && same(&h.id)) else {
            spdlog::info!("the former run's backend server is not healthy or was replaced", kv: { id });
            return;
        };
        if let Some(session) = session {
            self.confirm_former_grants(&former.instance, session);
        }
        if self.server.borrow().is_some() {
            return;
        }
        spdlog::info!("reattached the former run's backend server", kv: { id });
        let cold = health.cold_left.unwrap_or_default();
        let report = ServerReport {
            instance: former.instance,
            number: 0,
            service: settings.service,
            domain: settings.domain,
            slots: former.slots,
            draining: false,
            cold_left: cold,
            keys: None,
        };
        self.apply_report(report, false);
        self.grants_wake.notify_one();
    }

    /// Records that the process of a session is the instance that the former run granted its keys.
    /// That does not follow from the former run's record, which names an instance as soon as it is
    /// attached, but from the owner of the keys.
    pub fn confirm_former_grants(&self, instance: &Instance, session: BackendSession) {
        let (name, service) = (self.name(), self.service());
        let table = self.table.borrow();
        let mut held = self.held.borrow_mut();
        for range in table.keys.get(&service).into_iter().flat_map(|k| &k.ranges) {
            let own = |o: &Owner| o.holder.node == name && o.instance == *instance;
            if range.owner.as_ref().is_some_and(own) {
                held.holds.confirm_former(range.span, session);
            }
        }
    }
}
