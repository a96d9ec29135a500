//! Assignment and rebalancing of the slices of one key range.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

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
    /// Token of the slice when the plan was made; a different token means the plan is outdated.
    pub token: Token,
    /// The current owner.
    pub from: Holder,
    /// The new owner.
    pub to: Holder,
}

/// Load of a target, by which the heap of [`Loads`] is ordered: slices per slot of capacity,
/// including the slice that it would get next. Fractions are compared by cross-multiplication, so
/// that equal loads compare as equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Load {
    next: u64,
    slots: u64,
    target: usize,
}

impl Ord for Load {
    fn cmp(&self, other: &Load) -> Ordering {
        let (mine, theirs) = (self.next * other.slots, other.next * self.slots);
        mine.cmp(&theirs).then(self.target.cmp(&other.target))
    }
}

impl PartialOrd for Load {
    fn partial_cmp(&self, other: &Load) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The targets of one range, with the least loaded one on top of a heap.
struct Loads<'a> {
    targets: Vec<&'a Member>,
    by_holder: HashMap<&'a Holder, usize>,
    counts: Vec<u64>,
    heap: BinaryHeap<Reverse<Load>>,
}

impl<'a> Loads<'a> {
    fn of(state: &'a State, range: &RangeName) -> Option<Loads<'a>> {
        let known = state.ranges.get(range)?;
        let eligible = state.targets(&known.range.service).filter(|m| state.takes_work(m));
        let targets: Vec<&Member> = eligible.collect();
        let by_holder: HashMap<&Holder, usize> =
            targets.iter().enumerate().map(|(i, m)| (&m.holder, i)).collect();
        let mut counts = vec![0; targets.len()];
        for holder in known.slices.iter().filter_map(|s| s.holder.as_ref()) {
            if let Some(i) = by_holder.get(holder) {
                counts[*i] += 1;
            }
        }
        let mut loads = Loads { targets, by_holder, counts, heap: BinaryHeap::new() };
        loads.heap = (0..loads.targets.len()).map(|i| Reverse(loads.load(i))).collect();
        Some(loads)
    }

    fn load(&self, target: usize) -> Load {
        let slots = u64::from(self.targets[target].slots.0.max(1));
        Load { next: self.counts[target] + 1, slots, target }
    }

    /// Removes the least loaded target other than `except` from the heap; [`Loads::put`] adds it
    /// back.
    fn pop(&mut self, except: Option<&Holder>) -> Option<usize> {
        let mut skipped = None;
        let found = loop {
            let Some(Reverse(load)) = self.heap.pop() else { break None };
            // The target's count has changed since this entry was pushed; a newer entry exists.
            if load != self.load(load.target) {
                continue;
            }
            if Some(&self.targets[load.target].holder) == except {
                skipped = Some(Reverse(load));
                continue;
            }
            break Some(load.target);
        };
        self.heap.extend(skipped);
        found
    }

    fn put(&mut self, target: usize) {
        let load = self.load(target);
        self.heap.push(Reverse(load));
    }

    /// Assigns one slice to the least loaded target other than `except`.
    fn assign_next(&mut self, except: Option<&Holder>) -> Option<&'a Holder> {
        let target = self.pop(except)?;
        self.counts[target] += 1;
        self.put(target);
        Some(&self.targets[target].holder)
    }

    /// Whether moving a slice from `from` to `to` lowers the higher of their two loads.
    fn improves_balance(&self, from: usize, to: usize) -> bool {
        let slots = |t: usize| u64::from(self.targets[t].slots.0.max(1));
        self.counts[from] * slots(to) > (self.counts[to] + 1) * slots(from)
    }
}

/// Assigns owners to all free slices of a range.
pub fn assign(state: &State, range: &RangeName) -> Vec<Move> {
    let is_free = |holder: &Option<Holder>| holder.is_none();
    assign_selected(state, range, is_free, None)
}

/// Assigns new owners to the slices of a lost holder.
pub fn reassign(state: &State, lost: &Holder) -> Vec<Move> {
    let is_lost = |holder: &Option<Holder>| holder.as_ref() == Some(lost);
    let ranges = state.ranges.keys();
    ranges.flat_map(|range| assign_selected(state, range, is_lost, Some(lost))).collect()
}

fn assign_selected(
    state: &State,
    range: &RangeName,
    is_selected: impl Fn(&Option<Holder>) -> bool,
    except: Option<&Holder>,
) -> Vec<Move> {
    let Some(known) = state.ranges.get(range).filter(|r| !r.retired) else {
        return Vec::new();
    };
    let Some(mut loads) = Loads::of(state, range) else {
        return Vec::new();
    };
    let mut moves = Vec::new();
    for (i, slot) in known.slices.iter().enumerate() {
        if !is_selected(&slot.holder) {
            continue;
        }
        let Some(to) = loads.assign_next(except) else { break };
        let slice = SliceId(i as u32);
        moves.push(Move { range: range.clone(), slice, prev: slot.token, to: to.clone() });
    }
    moves
}

/// Chooses at most `budget` slices to hand over, in the order of slice numbers: slices of owners
/// that no longer take work, and slices whose move to the least loaded target evens out the load.
pub fn rebalance(state: &State, range: &RangeName, budget: usize) -> Vec<Transfer> {
    let Some(known) = state.ranges.get(range).filter(|r| !r.retired) else {
        return Vec::new();
    };
    let Some(mut loads) = Loads::of(state, range) else {
        return Vec::new();
    };
    let mut transfers: Vec<Transfer> = Vec::new();
    for (i, slot) in known.slices.iter().enumerate() {
        if transfers.len() >= budget {
            break;
        }
        let Some(holder) = &slot.holder else { continue };
        // An owner that is not among the targets no longer takes work, so its slices move.
        let owner = loads.by_holder.get(holder).copied();
        let Some(least_loaded) = loads.pop(Some(holder)) else { break };
        if owner.is_some_and(|owner| !loads.improves_balance(owner, least_loaded)) {
            loads.put(least_loaded);
            continue;
        }
        loads.counts[least_loaded] += 1;
        loads.put(least_loaded);
        if let Some(owner) = owner {
            loads.counts[owner] -= 1;
            loads.put(owner);
        }
        let to = loads.targets[least_loaded];
        transfers.push(Transfer {
            slice: SliceRef { range: range.clone(), slice: SliceId(i as u32) },
            token: slot.token,
            from: holder.clone(),
            to: to.holder.clone(),
        });
    }
    transfers
}
