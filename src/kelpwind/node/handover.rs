//! Handing slices over to other owners, as planned.
//!
//! The order is what keeps the promise: admission for the slices stops, requests in flight end, and
//! only then the record is written that names the new owner. Until the record's fate is known this
//! node does not serve the slices again, whatever the reply of the log was.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Node, peers};
use crate::core::call::SliceRef;
use crate::core::codes::Code;
use crate::core::ids::Holder;
use crate::core::record::{Body, Move};
use crate::core::state::Slot;
use crate::place::planner::{self, Transfer};
use crate::util::error::{Error, Result};

/// Longest time that a handover waits for requests in flight; then the slices stay.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Most slices handed over with one record.
pub const BATCH_MAX: usize = 256;

impl Node {
    /// Hands over the slices that this node owns under the token the plan names.
    ///
    /// # Errors
    /// [`Code::LogDown`] while the log does not answer: the slices stay.
    pub async fn hand_over(&self, transfers: Vec<Transfer>) -> Result<usize> {
        if !self.log_is_up() {
            let context = "failed to hand over: the log does not answer";
            return Err(Error::new(Code::LogDown, context));
        }
        let mine = self.transfers_of_mine(transfers);
        let stopped = self.gate.inflight.stop(mine.iter().map(|t| t.slice.clone()));
        let moving = |t: &&Transfer| stopped.contains(&t.slice);
        let moves: Vec<Move> = mine.iter().filter(moving).map(to_move).collect();
        if moves.is_empty() {
            return Ok(0);
        }
        let drained = tokio::time::timeout(DRAIN_TIME, self.gate.inflight.drained(&stopped)).await;
        if drained.is_err() {
            self.gate.inflight.settle(&stopped);
            return Ok(0);
        }
        self.send_memory(&moves).await;
        let count = moves.len();
        let from = self.me.clone();
        self.append_surely(Body::Handover { from, moves }).await;
        self.gate.inflight.settle(&stopped);
        self.metrics.handed.inc_by(count as u64);
        Ok(count)
    }

    /// Sends what is remembered of requests that may not be repeated to the next owners. If that
    /// fails, they know that their memory is not whole.
    async fn send_memory(&self, moves: &[Move]) {
        let mut by_owner: BTreeMap<&Holder, Vec<(SliceRef, Slot)>> = BTreeMap::new();
        for step in moves {
            let slice = SliceRef { range: step.range.clone(), slice: step.slice };
            let slot = self.ledger.state().slot(&slice.range, slice.slice).cloned();
            if let Some(slot) = slot {
                by_owner.entry(&step.to).or_default().push((slice, slot));
            }
        }
        let sent = by_owner.into_iter().map(|(owner, slices)| {
            let memory = self.gate.memory.hand_over(&slices);
            let addr = self.ledger.state().members.get(owner).map(|m| m.member.peer);
            async move {
                if let Some(addr) = addr {
                    peers::send_memory(addr, memory).await;
                }
            }
        });
        futures_util::future::join_all(sent).await;
    }

    fn transfers_of_mine(&self, transfers: Vec<Transfer>) -> Vec<Transfer> {
        let state = self.ledger.state();
        let mine = |t: &Transfer| {
            let slot = state.slot(&t.slice.range, t.slice.slice);
            slot.is_some_and(|s| s.holder.as_ref() == Some(&self.me) && s.token == t.token)
        };
        transfers.into_iter().filter(mine).take(BATCH_MAX).collect()
    }

    /// Hands over all slices, for a planned stop.
    pub async fn hand_over_all(&self) {
        loop {
            let moves = planner::replace(&self.ledger.state(), &self.me);
            let transfers: Vec<Transfer> =
                moves.into_iter().take(BATCH_MAX).map(|m| self.to_transfer(m)).collect();
            if transfers.is_empty() || self.hand_over(transfers).await.is_err() {
                return;
            }
        }
    }

    fn to_transfer(&self, step: Move) -> Transfer {
        let slice = SliceRef { range: step.range, slice: step.slice };
        Transfer { slice, token: step.prev, from: self.me.clone(), to: step.to }
    }

    /// Gives up the slices of key ranges that were dropped from the configuration.
    pub async fn release_retired(&self) {
        let retired: Vec<SliceRef> = {
            let state = self.ledger.state();
            let owned = state.owned_by(&self.me);
            let gone = owned.filter(|(r, _, _)| state.ranges.get(*r).is_some_and(|r| r.retired));
            gone.map(|(r, slice, _)| SliceRef { range: r.clone(), slice }).collect()
        };
        let stopped = self.gate.inflight.stop(retired);
        let Some(first) = stopped.first() else { return };
        self.gate.inflight.drained(&stopped).await;
        let (from, range) = (self.me.clone(), first.range.clone());
        let of_range = |s: &&SliceRef| s.range == range;
        let done: Vec<SliceRef> = stopped.iter().filter(of_range).cloned().collect();
        self.append_surely(Body::Release { from, range: range.clone() }).await;
        self.gate.inflight.settle(&done);
        let others: Vec<SliceRef> = stopped.into_iter().filter(|s| s.range != range).collect();
        self.gate.inflight.settle(&others);
    }
}

fn to_move(transfer: &Transfer) -> Move {
    Move {
        range: transfer.slice.range.clone(),
        slice: transfer.slice.slice,
        prev: transfer.token,
        to: transfer.to.clone(),
    }
}
