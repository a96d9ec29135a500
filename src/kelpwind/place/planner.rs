//! The planner of one key range.

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
    /// Its token, by which an outdated plan is known.
    pub token: Token,
    /// Its owner.
    pub from: Holder,
    /// The owner it should get.
    pub to: Holder,
}

/// A target's load as the heap of [`Loads`] orders it: slices for each slot of capacity, counting
/// the one that it would get next. Compared as a fraction, so that equals are equal.
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

/// The targets of one range, the lightest on top of a heap.
struct Loads<'a> {
    targets: Vec<&'a Member>,
    by_holder: HashMap<&'a Holder, usize>,
    counts: Vec<u64>,
    heap: BinaryHeap<Reverse<Load>>,
}

impl<'a> Loads<'a> {
    fn of(state: &'a State, range: &RangeName) -> Option<Loads<'a>> {
        let known = state.ranges.get(range)?;
        let fit = state.targets(&known.range.service).filter(|m| state.takes_work(m));
        let targets: Vec<&Member> = fit.collect();
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

    /// The lightest target other than `except`; it is off the heap until [`Loads::put`].
    fn pop(&mut self, except: Option<&Holder>) -> Option<usize> {
        let mut aside = None;
        let found = loop {
            let Some(Reverse(load)) = self.heap.pop() else { break None };
            // The target's count has changed since this entry was made; a true one is in the heap.
            if load != self.load(load.target) {
                continue;
            }
            if Some(&self.targets[load.target].holder) == except {
                aside = Some(Reverse(load));
                continue;
            }
            break Some(load.target);
        };
        self.heap.extend(aside);
        found
    }

    fn put(&mut self, target: usize) {
        let load = self.load(target);
        self.heap.push(Reverse(load));
    }

    /// Gives one slice to the lightest target other than `except`.
    fn give_one(&mut self, except: Option<&Holder>) -> Option<&'a Holder> {
        let target = self.pop(except)?;
        self.counts[target] += 1;
        self.put(target);
        Some(&self.targets[target].holder)
    }

    /// Whether a slice moved from one target to another makes the heavier of them lighter.
    fn is_relief(&self, from: usize, to: usize) -> bool {
        let slots = |t: usize| u64::from(self.targets[t].slots.0.max(1));
        self.counts[from] * slots(to) > (self.counts[to] + 1) * slots(from)
    }
}

/// Owners for all free slices of a range.
pub fn assign(state: &State, range: &RangeName) -> Vec<Move> {
    let freed = |holder: &Option<Holder>| holder.is_none();
    place(state, range, freed, None)
}

/// New owners for the slices of a holder that is lost.
pub fn reassign(state: &State, lost: &Holder) -> Vec<Move> {
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
    for (i, slot) in known.slices.iter().enumerate() {
        if !wanted(&slot.holder) {
            continue;
        }
        let Some(to) = loads.give_one(except) else { break };
        let slice = SliceId(i as u32);
        moves.push(Move { range: range.clone(), slice, prev: slot.token, to: to.clone() });
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
    for (i, slot) in known.slices.iter().enumerate() {
        if transfers.len() >= budget {
            break;
        }
        let Some(holder) = &slot.holder else { continue };
        // An owner that is no target takes no work any more: its slices move.
        let owner = loads.by_holder.get(holder).copied();
        let Some(lightest) = loads.pop(Some(holder)) else { break };
        if owner.is_some_and(|owner| !loads.is_relief(owner, lightest)) {
            loads.put(lightest);
            continue;
        }
        loads.counts[lightest] += 1;
        loads.put(lightest);
        if let Some(owner) = owner {
            loads.counts[owner] -= 1;
            loads.put(owner);
        }
        let to = loads.targets[lightest];
        transfers.push(Transfer {
            slice: SliceRef { range: range.clone(), slice: SliceId(i as u32) },
            token: slot.token,
            from: holder.clone(),
            to: to.holder.clone(),
        });
    }
    transfers
}
