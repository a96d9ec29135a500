//! Planned handover of slices to other owners. After the first record it does not need the log.
//!
//! 1. The owner appends the record that names the next owner, and continues to serve.
//! 2. The next owner reads the record and requests the release from the former owner. The former
//!    owner stops admission, waits for its requests in flight, and answers with the outcomes of
//!    requests that may not be repeated. It never serves the slices under its old token again.
//! 3. The next owner serves once it has that answer. Entries know both owners, and try the other
//!    one when one refuses.
//!
//! The slices are unavailable only from the stop of admission to the answer: until the requests in
//! flight have ended, plus one exchange between the two nodes. If the log service fails in between,
//! one of the two owners serves. If the former owner is lost before it has released the slices, its
//! witnesses revoke it; after that record it is not a member, and its release is not needed.

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

/// Time limit for learning whether the record of a handover or a release was applied.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for this node to apply the record that grants the slices to the node that asks for
/// their release.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for the slices handed over by one record.
pub const SLICES_PER_RECORD_MAX: usize = 256;
/// Time between two attempts to complete a handover.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A slice to release, with the token that was granted to the requesting node.
pub type GrantedSlice = (SliceRef, Token);

impl Node {
    /// Appends the record that hands over those slices that this node still owns under the tokens
    /// of `transfers`. Returns their number.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`] if the log service does not answer. The slices stay with this node,
    /// or are released if the record appears in the log later.
    pub async fn hand_over(&self, transfers: Vec<Transfer>) -> Result<usize> {
        if !self.is_log_up() {
            let context = "failed to hand over slices: the log service does not answer";
            return Err(Error::new(Code::LogUnavailable, context));
        }
        let moves = self.owned_moves(transfers);
        if moves.is_empty() {
            return Ok(0);
        }
        let count = moves.len();
        let from = self.holder.clone();
        self.append(Body::Handover { from, moves }, RECORD_TIMEOUT).await?;
        Ok(count)
    }

    /// The transfers, at most [`SLICES_PER_RECORD_MAX`], of slices that this node serves under the
    /// given token.
    fn owned_moves(&self, transfers: Vec<Transfer>) -> Vec<Move> {
        let state = self.replica.state();
        let owned = |t: &Transfer| {
            let slice = state.slice(&t.slice.range, t.slice.slice);
            slice.is_some_and(|s| s.token == t.token && self.gate.serves(&t.slice, s))
        };
        transfers.into_iter().filter(owned).take(SLICES_PER_RECORD_MAX).map(to_move).collect()
    }

    /// Hands over all slices for a planned stop, and waits until they are released. Stops early if
    /// a record cannot be appended.
    pub async fn hand_over_all(&self) {
        loop {
            let moves = planner::reassign(&self.replica.state(), &self.holder);
            let transfers: Vec<Transfer> = moves
                .into_iter()
                .take(SLICES_PER_RECORD_MAX)
                .map(|m| self.to_transfer(m))
                .collect();
            let more = !transfers.is_empty();
            // Slices that no other node can take stay until this node leaves.
            if !more && self.unreleased_slices().is_empty() {
                return;
            }
            if more && self.hand_over(transfers).await.is_err() {
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Slices that were granted to another node but are not released by this one yet.
    fn unreleased_slices(&self) -> Vec<SliceRef> {
        let state = self.replica.state();
        let owned = |s: &SliceState| s.holder.as_ref() == Some(&self.holder);
        let former = slices_where(&state, |s| s.is_held_by(&self.holder) && !owned(s));
        former.filter(|(name, s)| self.gate.serves(name, s)).map(|(name, _)| name).collect()
    }

    fn to_transfer(&self, planned: Move) -> Transfer {
        let slice = SliceRef { range: planned.range, slice: planned.slice };
        Transfer { slice, token: planned.prev, from: self.holder.clone(), to: planned.to }
    }

    /// Releases slices that were granted to another owner, and returns the outcomes remembered for
    /// them. A slice is skipped if the log, as far as this node has read it, does not grant it
    /// under the given token.
    pub async fn release_slices(
        &self,
        granted: Vec<GrantedSlice>,
    ) -> Vec<(SliceRef, SliceOutcomes)> {
        // A token is the offset of the record that granted it.
        let newest = granted.iter().map(|(_, token)| token.0).max().unwrap_or(0);
        self.wait_until_applied(Offset(newest)).await;
        let mut slices = Vec::new();
        {
            let state = self.replica.state();
            for (slice, token) in granted {
                let Some(known) = state.slice(&slice.range, slice.slice) else { continue };
                let Some(former) = &known.former else { continue };
                if known.token == token && former.holder == self.holder {
                    slices.push((slice, former.slice_state()));
                }
            }
        }
        for (slice, held) in &slices {
            self.gate.inflight.release(slice, held.token);
        }
        let names: Vec<SliceRef> = slices.iter().map(|(s, _)| s.clone()).collect();
        self.gate.inflight.wait_drained(&names).await;
        self.metrics.slices_handed_over.inc_by(names.len() as u64);
        self.gate.dedup.export(&slices)
    }

    /// Waits until this node has applied the record at `offset`, for at most [`APPLY_TIMEOUT`].
    async fn wait_until_applied(&self, offset: Offset) {
        let mut next_offset = self.replica.subscribe();
        let applied = next_offset.wait_for(|next| *next > offset);
        let _ = tokio::time::timeout(APPLY_TIMEOUT, applied).await;
    }

    /// Slices granted to this node that a former owner has not released yet, by that owner.
    fn slices_to_acquire(&self) -> BTreeMap<Holder, Vec<GrantedSlice>> {
        let state = self.replica.state();
        let mut by_owner: BTreeMap<Holder, Vec<GrantedSlice>> = BTreeMap::new();
        let granted =
            |s: &SliceState| s.former.is_some() && s.holder.as_ref() == Some(&self.holder);
        for (slice, known) in slices_where(&state, granted) {
            let Some(former) = &known.former else { continue };
            let pending = !self.gate.inflight.is_acquired(&slice, known.token);
            if former.holder != self.holder && pending {
                by_owner.entry(former.holder.clone()).or_default().push((slice, known.token));
            }
        }
        by_owner
    }

    /// Requests slices from their former owner; this node serves those that it releases.
    async fn acquire_from(&self, owner: Holder, granted: Vec<GrantedSlice>) {
        let addr = self.replica.state().members.get(&owner).map(|m| m.member.peer);
        let Some(addr) = addr else { return };
        let Some(released) = peers::request_release(addr, &granted).await else { return };
        for (slice, outcomes) in released {
            let Some((_, token)) = granted.iter().find(|(s, _)| *s == slice) else { continue };
            self.gate.dedup.import(slice.clone(), outcomes);
            self.gate.inflight.acquire(slice, *token);
        }
    }

    /// Stops serving the slices of key ranges that were dropped from the configuration, then
    /// appends the record that releases them.
    pub async fn release_retired(&self) {
        let mut by_range: BTreeMap<_, Vec<(SliceRef, Token)>> = BTreeMap::new();
        {
            let state = self.replica.state();
            let retired = |s: &SliceRef| state.ranges.get(&s.range).is_some_and(|r| r.retired);
            let held = slices_where(&state, |s| s.is_held_by(&self.holder));
            for (slice, known) in held.filter(|(s, _)| retired(s)) {
                by_range.entry(slice.range.clone()).or_default().push((slice, known.token));
            }
        }
        for (range, slices) in by_range {
            for (slice, token) in &slices {
                self.gate.inflight.release(slice, *token);
            }
            let names: Vec<SliceRef> = slices.into_iter().map(|(s, _)| s).collect();
            self.gate.inflight.wait_drained(&names).await;
            let _ = self
                .append(Body::Release { from: self.holder.clone(), range }, RECORD_TIMEOUT)
                .await;
        }
    }
}

/// Acquires slices granted to this node from their former owners. Runs until the node stops.
pub async fn acquire_slices(node: Arc<Node>) {
    let mut next_offset = node.replica.subscribe();
    loop {
        next_offset.borrow_and_update();
        let granted = node.slices_to_acquire();
        if granted.is_empty() {
            if next_offset.changed().await.is_err() {
                return;
            }
            continue;
        }
        let requests = granted.into_iter().map(|(owner, slices)| node.acquire_from(owner, slices));
        futures_util::future::join_all(requests).await;
        if !node.slices_to_acquire().is_empty() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// The slices of `state` that `wanted` selects. A node is concerned with few of all slices, so
/// names are allocated for the selected ones only.
fn slices_where<'a>(
    state: &'a State,
    wanted: impl Fn(&SliceState) -> bool + Copy + 'a,
) -> impl Iterator<Item = (SliceRef, &'a SliceState)> {
    state.ranges.iter().flat_map(move |(range, known)| {
        let selected = known.slices.iter().enumerate().filter(move |(_, s)| wanted(s));
        selected.map(move |(i, s)| (SliceRef { range: range.clone(), slice: SliceId(i as u32) }, s))
    })
}

fn to_move(transfer: Transfer) -> Move {
    let SliceRef { range, slice } = transfer.slice;
    Move { range, slice, prev: transfer.token, to: transfer.to }
}
