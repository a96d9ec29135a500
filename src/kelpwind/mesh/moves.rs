//! Planned moves of keys to other owners.
//!
//! A move has four steps: requests for the keys are no longer admitted, the server finishes running
//! requests and releases the keys, grants without an answer expire, and only then is the next owner
//! written. So two servers never hold the same key, whichever messages are lost or late.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::held_ranges::{self, HeldRange};
use super::node::Node;
use super::platform_api::ReleaseOutcome;
use crate::core::ids::Token;
use crate::lease::clock::{self, BootInstant};
use crate::table::WriteBatch;
use crate::table::keys::{Owner, Span};

/// Time between two checks whether grants are still in flight.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a server may finish the work on released keys before it is asked again.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time to write the next owners of keys that must leave this node; after it the write is
/// left to the witnesses. The store answers within milliseconds.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of release requests; after that the move waits until the grants expire.
const RELEASE_ATTEMPTS: u32 = 4;

impl Node {
    /// Starts the moves that are due: all keys when this node or its server leaves, or its failure
    /// domain is drained; some keys when another target has none.
    pub fn start_due_moves(self: &Rc<Self>) {
        if self.is_changing_keys() || self.table_offset.borrow().is_none() {
            return;
        }
        let moves = self.due_moves();
        self.start_moves(moves);
    }

    /// Whether a change of the owner or tokens of this node's keys is in progress.
    pub fn is_changing_keys(&self) -> bool {
        self.held.borrow().changing
    }

    /// Starts to move keys. Returns false if there are none or another change is in progress.
    pub fn start_moves(self: &Rc<Self>, moves: Vec<(Span, Owner)>) -> bool {
        if moves.is_empty() || self.is_changing_keys() {
            return false;
        }
        self.spawn_key_change(async move |node| node.move_keys(moves).await);
        true
    }

    /// Spawns a change of the owner or tokens of this node's keys. Only one change may be in
    /// progress at a time, which callers check with [`Node::is_changing_keys`].
    pub fn spawn_key_change(self: &Rc<Self>, change: impl AsyncFnOnce(&Node) + 'static) {
        self.held.borrow_mut().changing = true;
        let node = self.clone();
        tokio::task::spawn_local(async move {
            change(&node).await;
            node.held.borrow_mut().changing = false;
            node.grants_wake.notify_one();
        });
    }

    /// Releases keys and writes their next owners.
    async fn move_keys(&self, moves: Vec<(Span, Owner)>) {
        let parts = self.leaving_parts(&moves);
        if parts.is_empty() {
            return;
        }
        let count: u32 = moves.iter().map(|(s, _)| s.width()).sum();
        let must_give_up = self.must_give_up_keys();
        spdlog::info!("keys begin to move", kv: { keys = count, ranges = moves.len(), must = must_give_up });
        self.notify_held_changed();
        // A grant in flight could arrive after the release and undo it.
        while self.held.borrow().is_granting() {
            sleep(GRANT_CHECK_INTERVAL).await;
        }
        let releases = parts.iter().map(|(span, token)| self.release(*span, *token));
        let handovers = futures_util::future::join_all(releases).await;
        self.wait_for_expiry().await;
        let me = self.recorded_owner();
        let written = self.commit("a planned move", |node, table| {
            let service = node.service();
            let mut keys = table.keys.get(&service)?.clone();
            let mut changed = false;
            for ((span, _), handover) in parts.iter().zip(&handovers) {
                // An owner that is no longer a member could not be taken over from.
                for (moved, to) in moves.iter().filter(|(_, to)| table.member(&to.holder).is_some())
                {
                    if let Some(part) = moved.intersection(*span) {
                        changed |=
                            keys.transfer(part, Some(&me), Some(to.clone()), handover.clone());
                    }
                }
            }
            changed.then(|| WriteBatch::put_keys(table, &service, &keys))
        });
        let written = if must_give_up {
            match timeout(LEAVE_TIMEOUT, written).await {
                Ok(written) => written,
                Err(_) => return self.abandon_lease(),
            }
        } else {
            written.await
        };
        if let Some(update) = &written {
            self.send_table_update(moves.iter().map(|(_, to)| to.holder.node.clone()), update)
                .await;
        }
        spdlog::info!("keys were moved", kv: { keys = count, ranges = moves.len(), written = written.is_some() });
        for range in &mut self.held.borrow_mut().ranges {
            range.leaving = false;
            range.due = BootInstant::default();
        }
        self.notify_held_changed();
    }

    /// Lets the lease expire when all keys must leave but their next owners cannot be written. The
    /// server has released the keys, so the witnesses can take over from this silent holder and
    /// assign the keys to others. If the record is written after all, it moves the same keys.
    fn abandon_lease(&self) {
        self.start_incarnation("its keys must move while the store does not answer");
        self.held.borrow_mut().ranges.clear();
        self.notify_held_changed();
    }

    /// The holder under which the table lists this node's keys: the present one, or a former run
    /// whose keys were not reclaimed because the server is gone.
    fn recorded_owner(&self) -> crate::core::ids::Holder {
        let me = self.holder();
        let service = self.service();
        let table = self.table.borrow();
        let mut owners = table.keys.get(&service).into_iter().flat_map(|k| k.owners());
        owners.find(|h| me.continues(h)).cloned().unwrap_or(me)
    }

    /// Marks the keys to move as leaving, and returns them split along the server's grants.
    fn leaving_parts(&self, moves: &[(Span, Owner)]) -> Vec<(Span, Token)> {
        let mut held = self.held.borrow_mut();
        let mut parts = Vec::new();
        let mut ranges = Vec::new();
        for range in held.ranges.drain(..) {
            let mut rest = vec![range.clone()];
            for (moved, _) in moves {
                let Some(part) = range.span.intersection(*moved) else { continue };
                parts.push((part, range.token));
                rest = rest.into_iter().flat_map(|r| held_ranges::split(r, part)).collect();
            }
            ranges.append(&mut rest);
        }
        if self.server.borrow().is_none() {
            // No server holds the keys, so there is nothing to release. Token 0 marks that.
            parts = moves.iter().map(|(span, _)| (*span, Token(0))).collect();
        }
        held.ranges = ranges;
        parts
    }

    /// Asks the server to release a span, and returns its handover data. `None` also when it does
    /// not confirm the release: the keys then stay with it until its grants expire.
    async fn release(&self, span: Span, token: Token) -> Option<String> {
        for _ in 0..RELEASE_ATTEMPTS {
            if self.server.borrow().is_none() || token == Token(0) {
                return None;
            }
            match (self.platform.backend.release)(span, token, RELEASE_TIMEOUT).await {
                ReleaseOutcome::Released(handover) => {
                    for range in &mut self.held.borrow_mut().ranges {
                        range.released |= range.leaving
                            && range.token == token
                            && range.span.intersection(span).is_some();
                    }
                    return handover;
                }
                ReleaseOutcome::ServerDown => return None,
                ReleaseOutcome::Unknown => {
                    spdlog::warn!("the backend server did not answer a release", kv: { first = span.first, token = token.0 });
                }
            }
        }
        None
    }

    /// Waits until the server can no longer hold any leaving range. A released range may become
    /// active again by a grant without an answer; any other is held until all its grants expire.
    async fn wait_for_expiry(&self) {
        let until = {
            let held = self.held.borrow();
            let leaving = held.ranges.iter().filter(|r| r.leaving);
            let unanswered = |r: &HeldRange| r.unanswered.iter().map(|(_, until)| *until).max();
            let last = |r: &HeldRange| {
                if r.released { unanswered(r).unwrap_or_default() } else { r.held_until }
            };
            leaving.map(last).fold(held.unlisted_until, BootInstant::max)
        };
        loop {
            let left = until.since(clock::now());
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}
