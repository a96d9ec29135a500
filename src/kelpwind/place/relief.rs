//! Which keys an overloaded owner gives to which others.
//!
//! Load pattern: much of the traffic turns to a few keys that lie close together, and the one owner
//! of all of them is overloaded within a second while others have room. So an owner watches which of
//! its keys are asked for, asks some others for room when it has too little itself, and gives away
//! the narrowest spans that carry the load which would make all of them equally busy: hot
//! neighbours are split among several owners, and few keys change hands. Pure.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::table::keys::{Owner, Span};

/// Time over which requests are counted: short enough to see a hot spot within a second, long enough
/// for some tens of requests.
const WINDOW: Duration = Duration::from_millis(1500);
/// Most requests that are remembered.
const REQUESTS_MAX: usize = 2048;
/// Busy part of its capacity from which on an owner looks for relief.
pub const OVERLOAD_THRESHOLD: f64 = 0.9;
/// How busy another may be made at most: it must not become the next that looks for relief.
const FULL: f64 = 0.8;
/// How much busier than all on average another may be made: load is cut at keys, so it never fits.
const UNEVEN: f64 = 0.1;
/// How much less busy than this owner another must be to be given keys: what is less is noise.
const DIFFERENCE_MIN: f64 = 0.25;
/// Least part of the capacity that is worth a move.
const SHED_MIN: f64 = 0.1;

/// Part of its capacity that an owner usually has room for: by it the number of those that are asked
/// follows from what there is to give away.
const ROOM_EACH: f64 = 0.2;
/// Fewest and most owners that are asked at once: some have no room, and messages must stay few.
const ASKED: std::ops::RangeInclusive<usize> = 12..=48;

/// Most keys without requests that a span takes along on either side.
const MARGIN: u16 = 64;

/// Keys that were asked for lately.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    requests: VecDeque<(Instant, u16)>,
}

impl Demand {
    /// A request for a key has come, whether or not it could be served.
    pub fn record(&mut self, key: u16, now: Instant) {
        self.forget(now);
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((now, key));
    }

    /// Keys are given away, and their requests with them: what is left counts at once, and need not be
    /// counted anew.
    pub fn remove_span(&mut self, span: Span) {
        self.requests.retain(|(_, key)| !span.contains(*key));
    }

    /// Requests a second.
    pub fn rate(&mut self, now: Instant) -> f64 {
        self.forget(now);
        self.requests.len() as f64 / WINDOW.as_secs_f64()
    }

    /// The keys asked for, in order, with repeats.
    fn keys(&self) -> Vec<u16> {
        let mut keys: Vec<u16> = self.requests.iter().map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= WINDOW;
        while self.requests.front().is_some_and(|(at, _)| old(*at)) {
            self.requests.pop_front();
        }
    }
}

/// How busy an owner is.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerLoad {
    /// The owner.
    pub owner: Owner,
    /// Work that is asked of it, in slots.
    pub work: f64,
    /// Its slots.
    pub slots: f64,
}

impl OwnerLoad {
    /// The busy part of its capacity.
    pub fn utilization(&self) -> f64 {
        self.work / self.slots.max(1.0)
    }
}

/// How many other owners are asked for room: enough to take all that is too much.
pub fn owners_to_ask(me: &OwnerLoad) -> usize {
    let count = ((me.utilization() - FULL) / ROOM_EACH).ceil().max(0.0) as usize;
    count.clamp(*ASKED.start(), *ASKED.end())
}

/// Spans that `me` should give away, and to whom. `spans` are its keys; `others` are those that
/// answered when they were asked.
pub fn plan_relief(
    me: &OwnerLoad,
    demand: &Demand,
    spans: &[Span],
    others: &[OwnerLoad],
) -> Vec<(Span, Owner)> {
    let lighter = others.iter().filter(|o| o.utilization() + DIFFERENCE_MIN < me.utilization());
    let mut lighter: Vec<&OwnerLoad> = lighter.collect();
    lighter.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let common = common_level(me, &lighter);
    let level = (common + UNEVEN).min(FULL);
    let mut rest = me.work - common * me.slots;
    let mut keys = demand.keys();
    let each = me.work / keys.len().max(1) as f64;
    let mut moves = Vec::new();
    let mut spans = spans.to_vec();
    for other in lighter {
        let room = ((level - other.utilization()) * other.slots).min(rest);
        if room < SHED_MIN * other.slots {
            break;
        }
        let count = (room / each.max(f64::MIN_POSITIVE)) as usize;
        let Some((span, range)) = densest(&keys, &spans, count) else { break };
        rest -= range.len() as f64 * each;
        keys.drain(range);
        spans = spans.into_iter().flat_map(|s| s.subtract(span)).collect();
        moves.push((span, other.owner.clone()));
    }
    moves
}

/// How busy all would be if the load were even among this owner and the lighter ones.
fn common_level(me: &OwnerLoad, lighter: &[&OwnerLoad]) -> f64 {
    let (mut work, mut slots) = (me.work, me.slots);
    for other in lighter {
        if other.utilization() >= work / slots {
            break;
        }
        work += other.work;
        slots += other.slots;
    }
    work / slots.max(1.0)
}

/// The span of some requests with the keys around it that nobody asks for: cut at the keys asked for,
/// ranges would be left so narrow that each needs a grant of its own for next to no load.
fn widened(keys: &[u16], span: Span, range: std::ops::Range<usize>) -> Span {
    let before = range.start.checked_sub(1).map(|i| keys[i]).filter(|k| *k >= span.first);
    let after = keys.get(range.end).copied().filter(|k| *k <= span.last);
    let (low, high) = (keys[range.start], keys[range.end - 1]);
    let first = before.map_or(span.first, |k| k + (low - k).div_ceil(2));
    let last = after.map_or(span.last, |k| high + (k - high - 1) / 2);
    Span {
        first: first.max(low.saturating_sub(MARGIN)),
        last: last.min(high.saturating_add(MARGIN)),
    }
}

/// The narrowest span within one of `spans` that has `count` of the requests, and their places in
/// `keys`; fewer where no single key's requests fit. `None` when not even one key fits.
fn densest(keys: &[u16], spans: &[Span], count: usize) -> Option<(Span, std::ops::Range<usize>)> {
    let mut best: Option<(Span, std::ops::Range<usize>)> = None;
    for span in spans {
        let first = keys.partition_point(|k| *k < span.first);
        let end = keys.partition_point(|k| *k <= span.last);
        for start in first..end {
            // A window begins with a key's first request.
            if start > first && keys[start] == keys[start - 1] {
                continue;
            }
            let mut stop = (start + count).min(end);
            // It ends with a key's last one.
            while stop > start && stop < end && keys[stop] == keys[stop - 1] {
                stop -= 1;
            }
            if stop == start {
                continue;
            }
            let found = widened(keys, *span, start..stop);
            let better = best.as_ref().is_none_or(|(span, range)| {
                let (old, new) = (range.len(), stop - start);
                new > old || new == old && found.width() < span.width()
            });
            if better {
                best = Some((found, start..stop));
            }
        }
    }
    best
}
