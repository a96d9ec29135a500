//! The backend server that this node's former run knew.
//!
//! A node may be stopped and started again while the server beside it runs on. Its next report comes
//! about a second later; until then nobody could use it, and nobody its keys. The record of the former
//! run has the server's name, so the node asks whoever listens there for its own: the same name serves on
//! at once. It may yet be another life under that name, so its keys get higher tokens like those of any
//! new run ([`crate::table::keys::KeyMap::replace_owner`]).

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::node::Node;
use super::platform_api::ServerReport;
use crate::table::member::Server;

/// Longest time for the configuration to be known, and for the server's answer: a report is due about as
/// soon after that.
const RECALL_TIME: Duration = Duration::from_millis(400);

/// Takes the former run's server if it still answers under its name.
pub(crate) async fn reattach(node: &Rc<Node>) {
    let mut read = node.table_offset.subscribe();
    // An error would mean that the sender is gone, which is part of this node.
    drop(read.wait_for(|read| read.is_some()).await);
    let former = {
        let table = node.table.borrow();
        table.members.get(&node.name()).and_then(|m| m.server.clone())
    };
    if let Some(former) = former.filter(|s| !s.draining)
        && timeout(RECALL_TIME, node.ask_for(former)).await.is_err()
    {
        spdlog::info!("the former run's backend server did not answer in time");
    }
}

impl Node {
    async fn ask_for(&self, former: Server) {
        let mut known = self.configured.subscribe();
        // An error would mean that the sender is gone, which is part of this node.
        drop(known.wait_for(|known| *known).await);
        let place = self.settings.borrow().clone();
        let Some(spec) = self.routes().and_then(|r| r.services.get(&place.service).cloned()) else {
            return;
        };
        let health = (self.platform.backend.health)(&spec.health_path, RECALL_TIME).await;
        let id = former.instance.id.as_str();
        let same = |id: &Option<String>| id.as_ref() == Some(&former.instance.id);
        let Some(health) = health.filter(|h| h.healthy && same(&h.id)) else {
            spdlog::info!("another backend server, or none, answers for the former run's", kv: { id });
            return;
        };
        if self.server.borrow().is_some() {
            return;
        }
        spdlog::info!("the former run's backend server is there", kv: { id });
        let cold = health.cold_left.unwrap_or_default();
        let report = ServerReport {
            instance: former.instance,
            number: 0,
            service: place.service,
            domain: place.domain,
            slots: former.slots,
            draining: false,
            cold_left: cold,
        };
        self.apply_report(report, false, None);
        self.grants_wake.notify_one();
    }
}
