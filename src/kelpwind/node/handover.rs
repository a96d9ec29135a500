//! Handing slices over to other owners, as planned, without a moment in which the log is needed.
//!
//! 1. The owner writes the record that names the next owner, and goes on serving.
//! 2. The next owner reads it and asks the former one to let go. That stops admission, waits for
//!    requests in flight to end, and answers with what it remembers of requests that may not be
//!    repeated. From then on it never serves the slices under its old token again.
//! 3. With that answer the next owner serves. Entries know both and try the other when one refuses.
//!
//! The slices are without service from the stop to the answer only: one exchange between two nodes
//! and the requests in flight. Whatever becomes of the log in between, one of the two serves. If the
//! former owner is lost before it has let go, its witnesses revoke it, and with that record it is
//! no member and need not be asked.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Node, peers};
use crate::core::call::SliceRef;
use crate::core::codes::Code;
use crate::core::ids::{Holder, Offset, SliceId, Token};
use crate::core::record::{Body, Move};
use crate::core::state::{SliceState, State};
use crate::gate::dedup::SliceOutcomes;
use crate::place::planner::{self, Transfer};
use crate::util::error::{Error, Result};

/// Longest time to wait for the fate of a handover's record.
const RECORD_TIME: Duration = Duration::from_secs(3);
/// Longest time to wait until this node has read the record by which it should let go.
const READ_TIME: Duration = Duration::from_secs(2);
/// Most slices handed over with one record.
pub const BATCH_MAX: usize = 256;
/// Pause before a former owner is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(20);

/// A slice to let go, with the token that was granted to the asker.
pub type Wanted = (SliceRef, Token);

impl Node {
    /// Writes the record that hands over slices that this node owns under the tokens of the plan.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`] while the log does not answer; the slices stay, or are let go once
    /// the record shows.
    pub async fn hand_over(&self, transfers: Vec<Transfer>) -> Result<usize> {
        if !self.log_is_up() {
            let context = "failed to hand over: the log does not answer";
            return Err(Error::new(Code::LogUnavailable, context));
        }
        let moves = self.moves_of_mine(transfers);
        if moves.is_empty() {
            return Ok(0);
        }
        let count = moves.len();
        let from = self.me.clone();
        self.append(Body::Handover { from, moves }, RECORD_TIME).await?;
        Ok(count)
    }

    fn moves_of_mine(&self, transfers: Vec<Transfer>) -> Vec<Move> {
        let state = self.replica.state();
        let mine = |t: &Transfer| {
            let slot = state.slice(&t.slice.range, t.slice.slice);
            slot.is_some_and(|s| s.token == t.token && self.gate.serves(&t.slice, s))
        };
        transfers.into_iter().filter(mine).take(BATCH_MAX).map(to_move).collect()
    }

    /// Hands over all slices, for a planned stop, and waits until they are let go.
    pub async fn hand_over_all(&self) {
        loop {
            let moves = planner::reassign(&self.replica.state(), &self.me);
            let transfers: Vec<Transfer> =
                moves.into_iter().take(BATCH_MAX).map(|m| self.to_transfer(m)).collect();
            let more = !transfers.is_empty();
            // Slices for which there is nobody else stay until this node leaves.
            if !more && self.on_their_way().is_empty() {
                return;
            }
            if more && self.hand_over(transfers).await.is_err() {
                return;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Slices that were handed over but not let go yet.
    fn on_their_way(&self) -> Vec<SliceRef> {
        let state = self.replica.state();
        let owned = |slot: &SliceState| slot.holder.as_ref() == Some(&self.me);
        let former = slices_where(&state, |slot| slot.is_held_by(&self.me) && !owned(slot));
        former.filter(|(s, slot)| self.gate.serves(s, slot)).map(|(s, _)| s).collect()
    }

    fn to_transfer(&self, step: Move) -> Transfer {
        let slice = SliceRef { range: step.range, slice: step.slice };
        Transfer { slice, token: step.prev, from: self.me.clone(), to: step.to }
    }

    /// Lets slices go that were granted to another owner, and says what is remembered for them.
    /// Those that the log, as read here, does not grant to another are not let go.
    pub async fn let_go(&self, wanted: Vec<Wanted>) -> Vec<(SliceRef, SliceOutcomes)> {
        let newest = wanted.iter().map(|(_, token)| token.0).max().unwrap_or(0);
        self.read_past(Offset(newest)).await;
        let mut slices = Vec::new();
        {
            let state = self.replica.state();
            for (slice, token) in wanted {
                let Some(slot) = state.slice(&slice.range, slice.slice) else { continue };
                let Some(former) = &slot.former else { continue };
                if slot.token == token && former.holder == self.me {
                    slices.push((slice, former.slice_state()));
                }
            }
        }
        for (slice, slot) in &slices {
            self.gate.inflight.release(slice, slot.token);
        }
        let names: Vec<SliceRef> = slices.iter().map(|(s, _)| s.clone()).collect();
        self.gate.inflight.wait_drained(&names).await;
        self.metrics.handed.inc_by(names.len() as u64);
        self.gate.dedup.export(&slices)
    }

    async fn read_past(&self, offset: Offset) {
        let mut moves = self.replica.subscribe();
        let read = moves.wait_for(|next| *next > offset);
        let _ = tokio::time::timeout(READ_TIME, read).await;
    }

    /// Slices granted to this node that a former owner has not let go yet, by that owner.
    fn to_take(&self) -> BTreeMap<Holder, Vec<Wanted>> {
        let state = self.replica.state();
        let mut by_owner: BTreeMap<Holder, Vec<Wanted>> = BTreeMap::new();
        let granted =
            |slot: &SliceState| slot.former.is_some() && slot.holder.as_ref() == Some(&self.me);
        for (slice, slot) in slices_where(&state, granted) {
            let Some(former) = &slot.former else { continue };
            let open = !self.gate.inflight.is_acquired(&slice, slot.token);
            if former.holder != self.me && open {
                by_owner.entry(former.holder.clone()).or_default().push((slice, slot.token));
            }
        }
        by_owner
    }

    async fn take_from(&self, owner: Holder, wanted: Vec<Wanted>) {
        let addr = self.replica.state().members.get(&owner).map(|m| m.member.peer);
        let Some(addr) = addr else { return };
        let Some(given) = peers::ask_let_go(addr, &wanted).await else { return };
        for (slice, sent) in given {
            let Some((_, token)) = wanted.iter().find(|(s, _)| *s == slice) else { continue };
            self.gate.dedup.import(slice.clone(), sent);
            self.gate.inflight.acquire(slice, *token);
        }
    }

    /// Gives up the slices of key ranges that were dropped from the configuration.
    pub async fn release_retired(&self) {
        let mut by_range: BTreeMap<_, Vec<(SliceRef, Token)>> = BTreeMap::new();
        {
            let state = self.replica.state();
            let retired = |s: &SliceRef| state.ranges.get(&s.range).is_some_and(|r| r.retired);
            let mine = slices_where(&state, |slot| slot.is_held_by(&self.me));
            for (slice, slot) in mine.filter(|(s, _)| retired(s)) {
                by_range.entry(slice.range.clone()).or_default().push((slice, slot.token));
            }
        }
        for (range, slices) in by_range {
            for (slice, token) in &slices {
                self.gate.inflight.release(slice, *token);
            }
            let names: Vec<SliceRef> = slices.into_iter().map(|(s, _)| s).collect();
            self.gate.inflight.wait_drained(&names).await;
            let _ = self.append(Body::Release { from: self.me.clone(), range }, RECORD_TIME).await;
        }
    }
}

/// Takes slices over from their former owners, for as long as the process runs.
pub async fn take_over(node: Arc<Node>) {
    let mut moves = node.replica.subscribe();
    loop {
        moves.borrow_and_update();
        let wanted = node.to_take();
        if wanted.is_empty() {
            if moves.changed().await.is_err() {
                return;
            }
            continue;
        }
        let asked = wanted.into_iter().map(|(owner, slices)| node.take_from(owner, slices));
        futures_util::future::join_all(asked).await;
        if !node.to_take().is_empty() {
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }
}

/// The slices of `state` whose slots `wanted` names. A state has far more slices than any node has
/// to do with, so names are made for the wanted ones only.
fn slices_where<'a>(
    state: &'a State,
    wanted: impl Fn(&SliceState) -> bool + Copy + 'a,
) -> impl Iterator<Item = (SliceRef, &'a SliceState)> {
    state.ranges.iter().flat_map(move |(range, known)| {
        let slots = known.slices.iter().enumerate().filter(move |(_, slot)| wanted(slot));
        slots.map(move |(i, slot)| {
            (SliceRef { range: range.clone(), slice: SliceId(i as u32) }, slot)
        })
    })
}

fn to_move(transfer: Transfer) -> Move {
    let SliceRef { range, slice } = transfer.slice;
    Move { range, slice, prev: transfer.token, to: transfer.to }
}
