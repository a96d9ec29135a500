//! Planned moves of keys to other owners.
//!
//! Keys leave in this order: no new work on them, the server releases them and ends what runs, grants
//! that were never answered run out, and only then is the next owner written. So two servers never
//! hold one key, whatever is lost or late on the way.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::held_ranges::{self, HeldRange};
use super::node::Node;
use super::platform_api::ReleaseOutcome;
use crate::core::ids::Token;
use crate::lease::clock::{self, Moment};
use crate::table::WriteBatch;
use crate::table::keys::{Owner, Span};

/// Time between two looks at whether a grant has ended.
const GRANT_LOOK: Duration = Duration::from_millis(5);
/// Time in which a server may end the work on released keys before it is asked again.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time to write that keys were given away which must leave; after it the witnesses are left
/// to do so. The store answers in milliseconds.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Most times that a release is sent; after that the grants run out by themselves.
const RELEASE_TRIES: u32 = 4;

impl Node {
    /// Starts the moves that are due: all keys when this node or its server leaves, or its failure
    /// domain is taken out; some when another target has none.
    pub fn start_due_moves(self: &Rc<Self>) {
        if self.is_moving() || self.table_offset.borrow().is_none() {
            return;
        }
        let moves = self.due_moves();
        self.start_moves(moves);
    }

    /// Whether keys are being moved.
    pub fn is_moving(&self) -> bool {
        self.held.borrow().moving
    }

    /// Begins to move keys, unless others are being moved.
    pub fn start_moves(self: &Rc<Self>, moves: Vec<(Span, Owner)>) -> bool {
        if moves.is_empty() || self.is_moving() {
            return false;
        }
        self.spawn_key_change(async move |node| node.move_keys(moves).await);
        true
    }

    /// Runs what changes who owns this node's keys, or their tokens. One such change is made at a time:
    /// callers see to it that no other is.
    pub fn spawn_key_change(self: &Rc<Self>, change: impl AsyncFnOnce(&Node) + 'static) {
        self.held.borrow_mut().moving = true;
        let node = self.clone();
        tokio::task::spawn_local(async move {
            change(&node).await;
            node.held.borrow_mut().moving = false;
            node.grants_wake.notify_one();
        });
    }

    /// Moves keys to their next owners.
    async fn move_keys(&self, moves: Vec<(Span, Owner)>) {
        let parts = self.leaving_parts(&moves);
        if parts.is_empty() {
            return;
        }
        let count: u32 = moves.iter().map(|(s, _)| s.width()).sum();
        let must = self.must_give_up_keys();
        spdlog::info!("keys begin to move", kv: { keys = count, ranges = moves.len(), must });
        self.notify_held_changed();
        // A grant that is on its way would give back what the release takes.
        while self.held.borrow().is_granting() {
            sleep(GRANT_LOOK).await;
        }
        let releases = parts.iter().map(|(span, token)| self.release(*span, *token));
        let handovers = futures_util::future::join_all(releases).await;
        self.wait_for_expiry().await;
        let me = self.owner_of_record();
        let written = self.commit("a planned move", |node, table| {
            let service = node.service();
            let mut keys = table.keys.get(&service)?.clone();
            let mut changed = false;
            for ((span, _), handover) in parts.iter().zip(&handovers) {
                // A target that is no member any more could never be replaced as an owner.
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
        let written = if must {
            match timeout(LEAVE_TIMEOUT, written).await {
                Ok(written) => written,
                Err(_) => return self.abdicate(),
            }
        } else {
            written.await
        };
        if let Some(news) = &written {
            self.send_table_update(moves.iter().map(|(_, to)| to.holder.node.clone()), news).await;
        }
        spdlog::info!("keys were moved", kv: { keys = count, ranges = moves.len(), written = written.is_some() });
        for range in &mut self.held.borrow_mut().ranges {
            range.leaving = false;
            range.due = Moment::default();
        }
        self.notify_held_changed();
    }

    /// This node must give its keys away but cannot write so. They are released, so it lets its lease
    /// run out: its witnesses will see it silent and give the keys to others. If the record is
    /// written after all, that gives away the same keys.
    fn abdicate(&self) {
        self.start_incarnation("it must give its keys away while the store does not answer");
        self.held.borrow_mut().ranges.clear();
        self.notify_held_changed();
    }

    /// The holder under which the table has this node's keys: this one, or the former run whose
    /// keys nobody has reclaimed because the server is gone.
    fn owner_of_record(&self) -> crate::core::ids::Holder {
        let me = self.holder();
        let service = self.service();
        let table = self.table.borrow();
        let mut owners = table.keys.get(&service).into_iter().flat_map(|k| k.owners());
        owners.find(|h| h.node == me.node).cloned().unwrap_or(me)
    }

    /// Marks what moves as leaving, and returns it cut along the grants that the server has.
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
            // Nothing is held, and nothing to release.
            parts = moves.iter().map(|(span, _)| (*span, Token(0))).collect();
        }
        held.ranges = ranges;
        parts
    }

    async fn release(&self, span: Span, token: Token) -> Option<String> {
        for _ in 0..RELEASE_TRIES {
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
                    spdlog::warn!("a release was not answered", kv: { first = span.first, token = token.0 });
                }
            }
        }
        None
    }

    /// Waits until the server holds none of the leaving ranges: those it has released may come alive
    /// by a grant that was never answered, the others until all grants have run out.
    async fn wait_for_expiry(&self) {
        let until = {
            let held = self.held.borrow();
            let leaving = held.ranges.iter().filter(|r| r.leaving);
            let open = |r: &HeldRange| r.open.iter().map(|(_, until)| *until).max();
            let last = |r: &HeldRange| {
                if r.released { open(r).unwrap_or_default() } else { r.held_until }
            };
            leaving.map(last).fold(held.gone_until, Moment::max)
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
