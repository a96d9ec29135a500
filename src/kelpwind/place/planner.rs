//! The planner of one key range.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::call::SliceRef;
use crate::core::ids::{Holder, RangeName, SliceId, Token};
use crate::core::record::{Member, Move};
use crate::core::state::State;

/// A slice that its owner should hand over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The slice.
    pub slice: SliceRef,
    /// Its token, by which an outdated plan is known.
    pub token: Token,
    /// Its owner.
    pub from: Holder,
    /// The owner it should get.
    pub to: Holder,
}

/// Loads of the targets of one range, in slices for each slot of capacity.
struct Loads<'a> {
    targets: Vec<&'a Member>,
    counts: BTreeMap<&'a Holder, u32>,
}

impl<'a> Loads<'a> {
    fn of(state: &'a State, range: &RangeName) -> Option<Loads<'a>> {
        let known = state.ranges.get(range)?;
        let fit = state.targets(&known.range.service).filter(|m| state.takes_work(m));
        let targets: Vec<&Member> = fit.collect();
        let mut counts = BTreeMap::new();
        for holder in known.slots.iter().filter_map(|s| s.holder.as_ref()) {
            *counts.entry(holder).or_default() += 1;
        }
        Some(Loads { targets, counts })
    }

    fn count(&self, member: &Member) -> u32 {
        self.counts.get(&member.holder).copied().unwrap_or(0)
    }

    fn load(&self, member: &Member, more: u32) -> f64 {
        f64::from(self.count(member) + more) / f64::from(member.slots.0.max(1))
    }

    fn lightest(&self, except: Option<&Holder>) -> Option<&'a Member> {
        let open = self.targets.iter().filter(|m| Some(&m.holder) != except);
        let lightest = open.min_by(|a, b| self.load(a, 1).total_cmp(&self.load(b, 1)));
        lightest.copied()
    }

    fn take(&mut self, to: &'a Holder) {
        *self.counts.entry(to).or_default() += 1;
    }

    fn give(&mut self, from: &'a Holder) {
        if let Some(n) = self.counts.get_mut(from) {
            *n -= 1;
        }
    }
}

/// Owners for all free slices of a range.
pub fn assign(state: &State, range: &RangeName) -> Vec<Move> {
    let freed = |holder: &Option<Holder>| holder.is_none();
    place(state, range, freed, None)
}

/// New owners for the slices of a holder that is lost.
pub fn replace(state: &State, lost: &Holder) -> Vec<Move> {
    let owned = |holder: &Option<Holder>| holder.as_ref() == Some(lost);
    let ranges = state.ranges.keys();
    ranges.flat_map(|range| place(state, range, owned, Some(lost))).collect()
}

fn place(
    state: &State,
    range: &RangeName,
    wanted: impl Fn(&Option<Holder>) -> bool,
    except: Option<&Holder>,
) -> Vec<Move> {
    let Some(known) = state.ranges.get(range).filter(|r| !r.retired) else {
        return Vec::new();
    };
    let Some(mut loads) = Loads::of(state, range) else {
        return Vec::new();
    };
    let mut moves = Vec::new();
    for (i, slot) in known.slots.iter().enumerate() {
        if !wanted(&slot.holder) {
            continue;
        }
        let Some(target) = loads.lightest(except) else {
            break;
        };
        loads.take(&target.holder);
        let slice = SliceId(i as u32);
        moves.push(Move {
            range: range.clone(),
            slice,
            prev: slot.token,
            to: target.holder.clone(),
        });
    }
    moves
}

/// Slices to hand over, at most `budget`: first from owners that are being taken out, then from the
/// most to the least loaded while that makes them more even.
pub fn rebalance(state: &State, range: &RangeName, budget: usize) -> Vec<Transfer> {
    let Some(known) = state.ranges.get(range).filter(|r| !r.retired) else {
        return Vec::new();
    };
    let Some(mut loads) = Loads::of(state, range) else {
        return Vec::new();
    };
    let mut transfers: Vec<Transfer> = Vec::new();
    for (i, slot) in known.slots.iter().enumerate() {
        if transfers.len() >= budget {
            break;
        }
        let Some(holder) = &slot.holder else { continue };
        let Some(owner) = state.members.get(holder) else {
            continue;
        };
        let leaves = !state.takes_work(&owner.member);
        let Some(to) = loads.lightest(Some(holder)) else {
            break;
        };
        let relief = loads.load(&owner.member, 0) - loads.load(to, 1);
        if !leaves && relief <= 0.0 {
            continue;
        }
        loads.take(&to.holder);
        loads.give(holder);
        transfers.push(Transfer {
            slice: SliceRef { range: range.clone(), slice: SliceId(i as u32) },
            token: slot.token,
            from: holder.clone(),
            to: to.holder.clone(),
        });
    }
    transfers
}
