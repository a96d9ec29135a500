//! Takes over the keys of a silent holder and assigns them to other owners.
//!
//! [`crate::lease::takeover`] has the rules; this module sends the promise requests to the
//! witnesses and writes the records of a takeover.

use std::rc::Rc;
use std::time::Duration;

use super::node::Node;
use crate::core::ids::Holder;
use crate::gate::grant_time::EXCESS_MAX;
use crate::lease::clock::{self, BootInstant};
use crate::lease::message::IncarnationId;
use crate::lease::takeover::Takeover;
use crate::lease::{SILENCE_TIMEOUT, TAKEOVER_STAGGER};
use crate::place::spread;
use crate::table::member::{Member, WatchedHolder};
use crate::table::{Table, WriteBatch};
use crate::util::timer::every;

/// Time between two checks of the holders that this node witnesses.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Detects silent holders and takes over from them, for as long as the process runs.
pub(crate) async fn watch_holders(node: Rc<Node>) {
    let mut timer = every(WATCH_INTERVAL);
    loop {
        timer.tick().await;
        if node.witness.borrow().watched().next().is_none() {
            continue;
        }
        node.detect_silent_holders();
        node.request_promises().await;
        finish_takeovers(&node);
    }
}

impl Node {
    /// Starts takeovers from holders that have become silent, and drops those from holders that
    /// were heard again or changed their witness set. Each witness of a set waits longer by its
    /// rank.
    fn detect_silent_holders(&self) {
        let now = clock::now();
        let me = self.holder();
        let witness = self.witness.borrow();
        let mut takeovers = self.takeovers.borrow_mut();
        let is_silent = |incarnation| {
            witness.silent_for(incarnation, now).is_some_and(|s| s >= SILENCE_TIMEOUT)
        };
        // Usually no holder is silent, and the search of the table below is not needed.
        if takeovers.is_empty() && !witness.watched().any(is_silent) {
            return;
        }
        let watched = self.table.borrow().watched_by(&me.node);
        takeovers.retain(|incarnation, t| {
            let same = watched.get(incarnation).is_some_and(|w| w.version == t.version);
            same && is_silent(*incarnation)
        });
        for (incarnation, watched) in &watched {
            if watched.holder == me || takeovers.contains_key(incarnation) {
                continue;
            }
            let timeout = SILENCE_TIMEOUT + TAKEOVER_STAGGER * watched.rank;
            if witness.silent_for(*incarnation, now).is_some_and(|s| s >= timeout) {
                let holder = watched.holder.to_string();
                spdlog::warn!("a holder of keys is silent", kv: { holder = holder.as_str(), version = watched.version.0 });
                self.metrics.takeovers.inc();
                takeovers.insert(*incarnation, new_takeover(watched));
            }
        }
    }

    /// Sends the promise requests that are due.
    async fn request_promises(&self) {
        let now = clock::now();
        let own = IncarnationId::from(self.holder.borrow().inc);
        let mut requests = Vec::new();
        for takeover in self.takeovers.borrow_mut().values_mut() {
            requests.extend(takeover.promise_requests(own, now));
        }
        for (peer, message) in requests {
            self.send_lease_message(&peer, message).await;
        }
    }

    /// Writes the records of a takeover, in which the lost holder's keys are spread over other
    /// owners by their load and capacity and its member record is deleted.
    async fn write_takeover(&self, takeover: Takeover) {
        let lost = takeover.holder.clone();
        let name = lost.to_string();
        let written = self.commit("takeover", |node, table| {
            let member = table.member(&lost)?;
            if member.version != takeover.version
                || !have_grants_expired(table, &takeover, clock::now())
            {
                return None;
            }
            node.records_without(table, &lost)
        });
        if let Some(update) = written.await {
            self.notify_owners(&update).await;
            spdlog::warn!("a lost holder's keys were taken over", kv: { holder = name.as_str() });
        }
    }

    /// The records that remove a lost holder: its keys go to other owners, or have no owner while
    /// there is nobody to receive them. `None` if it owns no keys.
    fn records_without(&self, table: &Table, lost: &Holder) -> Option<WriteBatch> {
        let (service, keys) = table.keys.iter().find(|(_, k)| k.owned_by(lost).next().is_some())?;
        let mut keys = keys.clone();
        let spans: Vec<_> = keys.owned_by(lost).map(|r| r.span).collect();
        let recipients = self.recipients(table, service, Some(lost));
        for (span, to) in spread::distribute(&spans, &recipients, spread::key_count) {
            keys.transfer(span, Some(lost), Some(to), None);
        }
        let unassigned: Vec<_> = keys.owned_by(lost).map(|r| r.span).collect();
        for span in unassigned {
            keys.transfer(span, Some(lost), None, None);
        }
        Some(
            WriteBatch::put_keys(table, service, &keys)
                .merge(WriteBatch::delete_member(&lost.node)),
        )
    }
}

fn new_takeover(watched: &WatchedHolder) -> Takeover {
    Takeover::new(watched.holder.clone(), watched.version, watched.set.clone())
}

/// Whether the silent holder's lease, and all grants that it made under it, have expired.
fn have_grants_expired(table: &Table, takeover: &Takeover, now: BootInstant) -> bool {
    let excess = table.member(&takeover.holder).map_or(EXCESS_MAX, Member::grant_excess);
    takeover.is_ready(now - excess)
}

/// Spawns the writes of takeovers for which a majority of witnesses has promised, their earlier
/// acknowledgements have expired, and so have the grants that may outlast these.
fn finish_takeovers(node: &Rc<Node>) {
    let now = clock::now();
    let table = node.table.borrow();
    let mut ready = Vec::new();
    for takeover in node.takeovers.borrow_mut().values_mut() {
        if have_grants_expired(&table, takeover, now) && takeover.try_begin_write(now) {
            ready.push(takeover.clone());
        }
    }
    drop(table);
    for takeover in ready {
        let node = node.clone();
        tokio::task::spawn_local(async move { node.write_takeover(takeover).await });
    }
}
