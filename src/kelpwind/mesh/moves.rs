//! Planned moves of keys to other owners.
//!
//! A move has four steps: requests for the keys are no longer admitted, the server finishes running
//! requests and releases the keys, grants without an answer expire, and only then is the next owner
//! written. So two servers never hold the same key, whichever messages are lost or late.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::platform_api::ReleaseOutcome;
use crate::core::ids::{NodeId, Token};
use crate::lease::clock;
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
/// Time for which spans that are released one after another are gathered into one record.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// The store did not answer in time.
struct StoreTimeout;

type Result<T> = std::result::Result<T, StoreTimeout>;

impl Node {
    /// Starts the moves that are due: all keys when this node or its server leaves, or its failure
    /// domain is drained; some keys when another target has none.
    pub fn start_due_moves(self: &Rc<Self>) {
        if self.is_changing_keys() || self.table_position.borrow().is_none() {
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
        if self.must_await_report() {
            self.plan_moves(moves);
            return true;
        }
        let parts = self.begin_move(&moves);
        self.spawn_key_change(async move |node| node.move_keys(moves, parts).await);
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

    /// Stops the admission of requests for keys to move. Returns the spans to release with their
    /// tokens.
    fn begin_move(&self, moves: &[(Span, Owner)]) -> Vec<(Span, Token)> {
        let mut parts =
            self.held.borrow_mut().begin_move(moves.iter().map(|(span, _)| *span).collect());
        if self.server.borrow().is_none() {
            parts.clear();
        }
        // There is no server to ask for a release of the other keys. Token 0 marks that.
        for (span, _) in moves {
            let mut unlisted = vec![*span];
            for (part, _) in &parts {
                unlisted = unlisted.into_iter().flat_map(|s| s.subtract(*part)).collect();
            }
            parts.extend(unlisted.into_iter().map(|span| (span, Token(0))));
        }
        let count = key_count(moves);
        let must_give_up = self.must_give_up_keys();
        spdlog::info!("keys begin to move", kv: { keys = count, ranges = moves.len(), must = must_give_up });
        self.notify_held_changed();
        parts
    }

    /// Releases keys and writes their next owners.
    async fn move_keys(&self, moves: Vec<(Span, Owner)>, parts: Vec<(Span, Token)>) {
        let (count, must_give_up) = (key_count(&moves), self.must_give_up_keys());
        // A grant in flight could arrive after the release and undo it.
        while self.held.borrow().is_granting() {
            sleep(GRANT_CHECK_INTERVAL).await;
        }
        // Work on some keys may go on for long; the others do not wait for it.
        let mut releases: FuturesUnordered<_> =
            parts.iter().map(|(span, token)| self.release_and_wait(*span, *token)).collect();
        let mut written = true;
        while let Some(first) = releases.next().await {
            let mut free = vec![first];
            let mut gathered = pin!(sleep(GATHER_TIME));
            while !releases.is_empty() {
                tokio::select! {
                    Some(next) = releases.next() => free.push(next),
                    () = &mut gathered => break,
                }
            }
            match self.write_moved(&moves, &free, must_give_up).await {
                Ok(done) => written &= done,
                Err(StoreTimeout) => return self.abandon_lease(),
            }
        }
        spdlog::info!("keys were moved", kv: { keys = count, ranges = moves.len(), written });
        self.held.borrow_mut().end_move();
        self.notify_held_changed();
    }

    /// Writes the next owners of spans that the server has released, each with what it handed over.
    /// Returns whether there was anything to write and it was written.
    async fn write_moved(
        &self,
        moves: &[(Span, Owner)],
        free: &[(Span, Option<String>)],
        must_give_up: bool,
    ) -> Result<bool> {
        let me = self.recorded_owner();
        let written = self.commit("a planned move", |node, table| {
            let service = node.service();
            let mut keys = table.keys.get(&service)?.clone();
            let mut changed = false;
            for (span, handover) in free {
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
        let written = match must_give_up {
            true => timeout(LEAVE_TIMEOUT, written).await.map_err(|_| StoreTimeout)?,
            false => written.await,
        };
        let Some(update) = &written else { return Ok(false) };
        let receivers: BTreeSet<NodeId> = moves
            .iter()
            .filter(|(moved, _)| free.iter().any(|(span, _)| span.intersection(*moved).is_some()))
            .map(|(_, to)| to.holder.node.clone())
            .collect();
        self.send_table_update(receivers, update).await;
        Ok(true)
    }

    /// Lets the lease expire when all keys must leave but their next owners cannot be written. The
    /// server has released the keys, so the witnesses can take over from this silent holder and
    /// assign the keys to others. If the record is written after all, it moves the same keys.
    fn abandon_lease(&self) {
        self.start_incarnation("its keys must move while the store does not answer");
        self.held.borrow_mut().clear();
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

    /// Asks the server to release a span, and returns its handover data. Keys whose release is not
    /// confirmed stay with the server until its grants expire.
    async fn release(&self, span: Span, token: Token) -> Option<String> {
        for _ in 0..RELEASE_ATTEMPTS {
            let server = self.server_ref().filter(|_| token != Token(0))?;
            let session = (self.platform.backend.session)();
            let release = self.held.borrow().holds.release(span, token, session);
            match (self.platform.backend.release)(server, span, token, RELEASE_TIMEOUT).await {
                ReleaseOutcome::Released(handover) => {
                    if (self.platform.backend.session)() == session {
                        self.held.borrow_mut().record_release(span, &release);
                    }
                    return handover;
                }
                ReleaseOutcome::Unconfirmed(handover) => {
                    spdlog::warn!("another process may have released keys", kv: { first = span.first, token = token.0 });
                    return handover;
                }
                ReleaseOutcome::Unknown => {
                    spdlog::warn!("the backend server did not answer a release", kv: { first = span.first, token = token.0 });
                }
            }
        }
        None
    }

    /// Releases a span, and waits until no server beside this node can hold any of its keys. Those
    /// that were released may become active again by a grant without an answer. Returns the span and
    /// what the server handed over.
    async fn release_and_wait(&self, span: Span, token: Token) -> (Span, Option<String>) {
        if token != Token(0) && self.grants_in_reports() {
            self.wait_until_free(span).await;
            return (span, self.report_exchanges.borrow().handover(span));
        }
        let handover = self.release(span, token).await;
        let left = self.held.borrow().holds.until(span).since(clock::now());
        if !left.is_zero() {
            let held_ms = left.as_millis() as u64;
            spdlog::info!("keys to move wait for the end of their grants", kv: { first = span.first, last = span.last, held_ms });
        }
        self.wait_until_free(span).await;
        (span, handover)
    }

    /// Waits until no server beside this node can hold any key of a span, by what the server confirms
    /// or by time.
    async fn wait_until_free(&self, span: Span) {
        let mut changes = self.held_changed.subscribe();
        loop {
            let left = self.held.borrow().holds.until(span).since(clock::now());
            if left.is_zero() {
                return;
            }
            // A timeout means that the grants have expired.
            let _ = timeout(left, changes.changed()).await;
        }
    }
}

/// Number of keys that moves concern.
fn key_count(moves: &[(Span, Owner)]) -> u32 {
    moves.iter().map(|(span, _)| span.width()).sum()
}
