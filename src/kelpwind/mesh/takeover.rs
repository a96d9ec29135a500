//! Takeovers: the keys of a holder that has fallen silent go to others.
//!
//! The rules stand in [`crate::lease::takeover`]; this file carries their questions and writes their
//! records.

use std::rc::Rc;
use std::time::Duration;

use super::node::Node;
use crate::core::ids::Holder;
use crate::lease::clock;
use crate::lease::message::IncarnationId;
use crate::lease::takeover::Takeover;
use crate::lease::{SILENCE_TIMEOUT, TAKEOVER_STAGGER};
use crate::place::spread;
use crate::table::member::WatchedHolder;
use crate::table::{Table, WriteBatch};
use crate::util::timer::every;

/// Time between two looks at the holders that this node witnesses.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Looks for silent holders for as long as the process runs.
pub(crate) async fn watch_holders(node: Rc<Node>) {
    let mut timer = every(WATCH_INTERVAL);
    loop {
        timer.tick().await;
        if node.witness.borrow().watched().next().is_none() {
            continue;
        }
        node.look_for_silence();
        node.ask_for_promises().await;
        finish_takeovers(&node);
    }
}

impl Node {
    fn look_for_silence(&self) {
        let now = clock::now();
        let me = self.holder();
        let witness = self.witness.borrow();
        let mut takeovers = self.takeovers.borrow_mut();
        let is_silent = |tag| witness.silent_for(tag, now).is_some_and(|s| s >= SILENCE_TIMEOUT);
        // The usual case, which is to cost little.
        if takeovers.is_empty() && !witness.watched().any(is_silent) {
            return;
        }
        let watched = self.table.borrow().watched_by(&me.node);
        takeovers.retain(|tag, t| {
            let same = watched.get(tag).is_some_and(|w| w.version == t.version);
            same && is_silent(*tag)
        });
        for (tag, watched) in &watched {
            if watched.holder == me || takeovers.contains_key(tag) {
                continue;
            }
            let patience = SILENCE_TIMEOUT + TAKEOVER_STAGGER * watched.rank;
            if witness.silent_for(*tag, now).is_some_and(|s| s >= patience) {
                let holder = watched.holder.to_string();
                spdlog::warn!("a holder of keys is silent", kv: { holder = holder.as_str(), version = watched.version.0 });
                self.metrics.takeovers.inc();
                takeovers.insert(*tag, start(watched));
            }
        }
    }

    async fn ask_for_promises(&self) {
        let now = clock::now();
        let mine = IncarnationId::from(self.holder.borrow().inc);
        let mut questions = Vec::new();
        for takeover in self.takeovers.borrow_mut().values_mut() {
            questions.extend(takeover.promise_requests(mine, now));
        }
        for (peer, message) in questions {
            self.send_lease_message(&peer, message).await;
        }
    }

    /// Writes the records of a takeover: the lost holder's keys go to those that bear most, and its own
    /// record goes.
    async fn revoke(&self, takeover: Takeover) {
        let lost = takeover.holder.clone();
        let name = lost.to_string();
        let written = self.commit("takeover", |node, table| {
            let member = table.member(&lost)?;
            if member.version != takeover.version {
                return None;
            }
            node.inherited(table, &lost)
        });
        if let Some(news) = written.await {
            self.notify_owners(&news).await;
            spdlog::warn!("a lost holder's keys were taken over", kv: { holder = name.as_str() });
        }
    }

    /// The records without a lost holder.
    fn inherited(&self, table: &Table, lost: &Holder) -> Option<WriteBatch> {
        let (service, keys) = table.keys.iter().find(|(_, k)| k.owned_by(lost).next().is_some())?;
        let mut keys = keys.clone();
        let spans: Vec<_> = keys.owned_by(lost).map(|r| r.span).collect();
        let heirs = self.recipients(table, service, Some(lost));
        for (span, to) in spread::distribute(&spans, &heirs, spread::key_count) {
            keys.transfer(span, Some(lost), Some(to), None);
        }
        let left: Vec<_> = keys.owned_by(lost).map(|r| r.span).collect();
        for span in left {
            keys.transfer(span, Some(lost), None, None);
        }
        Some(
            WriteBatch::put_keys(table, service, &keys)
                .merge(WriteBatch::delete_member(&lost.node)),
        )
    }
}

fn start(watched: &WatchedHolder) -> Takeover {
    Takeover::new(watched.holder.clone(), watched.version, watched.set.clone())
}

fn finish_takeovers(node: &Rc<Node>) {
    let now = clock::now();
    let mut ready = Vec::new();
    for takeover in node.takeovers.borrow_mut().values_mut() {
        if takeover.is_ready(now) && takeover.try_begin_write(now) {
            ready.push(takeover.clone());
        }
    }
    for takeover in ready {
        let node = node.clone();
        tokio::task::spawn_local(async move { node.revoke(takeover).await });
    }
}
