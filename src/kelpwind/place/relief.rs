//! Moves keys from an overloaded owner to others.
//!
//! Load pattern: much of the traffic shifts to a few adjacent keys, and the owner of all of them is
//! overloaded within a second while other owners have spare capacity. Each owner therefore counts
//! requests per key. An overloaded owner asks some others for their load and transfers the narrowest
//! spans that carry enough requests to even out the load. This splits adjacent hot keys among several
//! owners and moves few keys.
//!
//! Another load pattern must not look like that one: few but long requests, of which some more than
//! usual arrive by chance. So requests are counted for longer where they are few, and an owner counts
//! as overloaded only if chance is no likely reason. This module does no I/O.
//!
//! A shift to one span that is far too large for chance shows within some tenths of a second, before
//! the longer count can tell. [`certain_excess`] finds it from the newest requests alone, and
//! [`plan_shedding`] cuts the hot span into adjacent pieces for several owners at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::table::keys::{Owner, Span};

/// Shortest period over which requests are counted: detects a hot spot within a second.
const WINDOW_MIN: Duration = Duration::from_millis(1500);
/// Longest period over which requests are counted.
const WINDOW_MAX: Duration = Duration::from_secs(6);
/// Number of requests for which the period is extended beyond the shortest one.
const WINDOW_REQUESTS: usize = 48;
/// Maximum number of requests that are remembered.
const REQUESTS_MAX: usize = 2048;
/// Utilization from which an owner counts as overloaded and moves keys to others.
pub const OVERLOAD_THRESHOLD: f64 = 0.9;
/// Error of a load that is computed from one request, as a fraction of that load; decreases with the
/// square root of their number.
const COUNT_ERROR: f64 = 2.0;
/// Highest utilization to which another owner may be loaded, so that it does not become overloaded
/// itself.
const TARGET_UTILIZATION_MAX: f64 = 0.8;
/// How far above the common utilization another owner may be loaded: load can only be divided at
/// key boundaries, so it never fits exactly.
const LEVEL_TOLERANCE: f64 = 0.1;
/// How much lower than this owner's the utilization of another must be for it to get keys; smaller
/// differences are noise.
const DIFFERENCE_MIN: f64 = 0.25;
/// Smallest load worth a move, as a fraction of the receiving owner's capacity.
const MOVE_MIN: f64 = 0.1;

/// Fraction of its capacity that an owner usually has to spare; determines how many owners are
/// asked.
const SPARE_CAPACITY: f64 = 0.2;
/// Fewest and most owners that are asked at once: some have no spare capacity, and the number of
/// messages must stay small.
const OWNERS_ASKED: std::ops::RangeInclusive<usize> = 12..=48;

/// Periods over which an excess that is certain is looked for, shortest first. Two servers' worth of
/// requests show in the shorter one, smaller excesses in the longer one.
const EXCESS_WINDOWS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(400)];
/// Utilization that a certain excess surpasses by more than the error of its count.
const EXCESS_UTILIZATION: f64 = 1.2;
/// Number of standard deviations above that utilization from which an excess is certain. Checks run
/// twenty times a second at every owner, so a smaller number would be exceeded by chance each day.
const EXCESS_SIGMAS: f64 = 5.0;
/// The first of this many equal parts of the requests may have arrived before an excess began; the
/// others tell its rate.
const EARLY_PART: usize = 8;
/// Shortest time over which the rate of an excess is computed.
const EXCESS_PERIOD_MIN: Duration = Duration::from_millis(40);
/// Smallest density of requests that counts as hot, as a fraction of the mean over the owner's keys.
/// Outside a span that causes a certain excess the density is lower.
const HOT_DENSITY: f64 = 0.5;
/// Maximum number of keys that are shed at once, a 64th of all. An excess over a wider span moves by the
/// longer count, since moved keys cost their servers what they have prepared for them.
const SHED_KEYS_MAX: u32 = 1024;
/// Bounds to which the ratio of two owners' service times is clamped: servers differ by less than
/// three times, the rest is chance.
const SPEED_BOUNDS: (f64, f64) = (0.4, 2.5);

/// Least capacity that loads are divided by.
const SLOTS_MIN: f64 = 0.01;

/// Maximum number of keys without requests that a span includes on either side.
const MARGIN_KEYS: u16 = 64;

/// The keys of recent requests: those of the shortest period that contains [`WINDOW_REQUESTS`], within
/// the bounds of the period.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    requests: VecDeque<(Instant, u16)>,
}

impl Demand {
    /// Records a request for `key`, whether or not it could be served.
    pub fn record(&mut self, key: u16, now: Instant) {
        self.expire(now);
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((now, key));
    }

    /// Removes the requests for keys that are being transferred, so that the rate reflects the
    /// remaining keys at once.
    pub fn remove_span(&mut self, span: Span) {
        self.requests.retain(|(_, key)| !span.contains(*key));
    }

    /// Keeps only the requests for keys for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(u16) -> bool) {
        self.requests.retain(|(_, key)| keep(*key));
    }

    /// Requests per second.
    pub fn rate(&mut self, now: Instant) -> f64 {
        self.expire(now);
        let oldest = self.requests.front().map(|(at, _)| now.saturating_duration_since(*at));
        let full = self.requests.len() >= WINDOW_REQUESTS;
        let window = oldest.filter(|_| full).unwrap_or(WINDOW_MAX).max(WINDOW_MIN);
        self.requests.len() as f64 / window.as_secs_f64()
    }

    /// Number of requests that the rate is computed from.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there were no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The requests of the last `window`, without the earlier ones.
    pub fn within(&self, window: Duration, now: Instant) -> Demand {
        let newer = |at: Instant| now.saturating_duration_since(at) < window;
        let first = self.requests.partition_point(|(at, _)| !newer(*at));
        Demand { requests: self.requests.range(first..).copied().collect() }
    }

    /// Number of requests in the last `window`.
    fn count_within(&self, window: Duration, now: Instant) -> usize {
        let first =
            self.requests.partition_point(|(at, _)| now.saturating_duration_since(*at) >= window);
        self.requests.len() - first
    }

    /// The requested keys in ascending order, one entry for each request.
    fn keys(&self) -> Vec<u16> {
        let mut keys: Vec<u16> = self.requests.iter().map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys
    }

    fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        while let Some((at, _)) = self.requests.front()
            && (age(*at) >= WINDOW_MAX
                || age(*at) >= WINDOW_MIN && self.requests.len() > WINDOW_REQUESTS)
        {
            self.requests.pop_front();
        }
    }
}

/// Load of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerLoad {
    /// The owner.
    pub owner: Owner,
    /// Requested work, as the number of slots it would keep busy.
    pub work: f64,
    /// Work that its backend server can do at once, in slots: fewer than it has if it limits its
    /// requests.
    pub slots: f64,
}

impl OwnerLoad {
    /// Requested work divided by capacity; above 1 when overloaded.
    pub fn utilization(&self) -> f64 {
        self.work / self.slots.max(SLOTS_MIN)
    }

    /// This load in the units of an owner whose requests take `own_time`, where here they take
    /// `time`: a server that is 1.6 times as fast has 1.6 times as many slots of that kind. Unknown
    /// times, which are zero, count as equal.
    pub fn in_units_of(self, own_time: Duration, time: Duration) -> OwnerLoad {
        if own_time.is_zero() || time.is_zero() {
            return self;
        }
        let speed =
            (own_time.as_secs_f64() / time.as_secs_f64()).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        OwnerLoad { work: self.work * speed, slots: self.slots * speed, ..self }
    }
}

/// An excess of requests that chance does not explain.
#[derive(Clone, Debug)]
pub struct Excess {
    /// Requested work over the period in which the excess showed, in slots.
    pub work: f64,
    /// The requests of that period.
    pub demand: Demand,
}

/// The excess of an owner with `slots` whose requests take `service_time`; `None` unless the requests
/// of the last few tenths of a second are certainly more than it can run. Requests arrive
/// independently, so the standard deviation of their number is its square root.
pub fn certain_excess(
    demand: &Demand,
    slots: f64,
    service_time: Duration,
    now: Instant,
) -> Option<Excess> {
    if service_time.is_zero() {
        return None;
    }
    EXCESS_WINDOWS.iter().find_map(|window| {
        let per_request = service_time.as_secs_f64() / window.as_secs_f64();
        let bearable = EXCESS_UTILIZATION * slots.max(SLOTS_MIN) / per_request;
        let count = demand.count_within(*window, now) as f64;
        if count <= bearable + EXCESS_SIGMAS * bearable.max(1.0).sqrt() {
            return None;
        }
        let demand = demand.within(*window, now);
        // Most of the period may lie before the excess began.
        let early = demand.requests.len() / EARLY_PART;
        let begun = demand.requests.get(early).map_or(*window, |(at, _)| {
            now.saturating_duration_since(*at).mul_f64(EARLY_PART as f64 / (EARLY_PART - 1) as f64)
        });
        let period = begun.min(*window).max(EXCESS_PERIOD_MIN).as_secs_f64();
        Some(Excess { work: count * service_time.as_secs_f64() / period, demand })
    })
}

/// Whether an owner is overloaded: its utilization, computed from `requests`, exceeds the threshold by
/// more than the usual error. Both the number of requests and their lengths vary, so the error is
/// greater than that of a count.
pub fn is_overloaded(me: &OwnerLoad, requests: usize) -> bool {
    let error = COUNT_ERROR / (requests.max(1) as f64).sqrt();
    me.utilization() * (1.0 - error) >= OVERLOAD_THRESHOLD
}

/// How many other owners to ask for their load: enough to take all excess load.
pub fn owners_to_ask(me: &OwnerLoad) -> usize {
    let count =
        ((me.utilization() - TARGET_UTILIZATION_MAX) / SPARE_CAPACITY).ceil().max(0.0) as usize;
    count.clamp(*OWNERS_ASKED.start(), *OWNERS_ASKED.end())
}

/// Plans which spans `me` transfers to which owners. `spans` are the keys of `me`; `others` are the
/// loads of the owners that have answered.
pub fn plan_relief(
    me: &OwnerLoad,
    demand: &Demand,
    spans: &[Span],
    others: &[OwnerLoad],
) -> Vec<(Span, Owner)> {
    let less_loaded = less_loaded(me, others);
    let common = common_utilization(me, &less_loaded);
    let level = (common + LEVEL_TOLERANCE).min(TARGET_UTILIZATION_MAX);
    let mut rest = me.work - common * me.slots;
    let mut keys = demand.keys();
    let per_request = me.work / keys.len().max(1) as f64;
    let mut moves = Vec::new();
    let mut spans = spans.to_vec();
    for other in less_loaded {
        let room = ((level - other.utilization()) * other.slots).min(rest);
        if room < MOVE_MIN * other.slots {
            break;
        }
        let count = (room / per_request.max(f64::MIN_POSITIVE)) as usize;
        let Some((span, range)) = densest_span(&keys, &spans, count) else { break };
        rest -= range.len() as f64 * per_request;
        keys.drain(range);
        spans = spans.into_iter().flat_map(|s| s.subtract(span)).collect();
        moves.push((span, other.owner.clone()));
    }
    moves
}

/// The owners that `me` may transfer load to, the least loaded first.
fn less_loaded<'a>(me: &OwnerLoad, others: &'a [OwnerLoad]) -> Vec<&'a OwnerLoad> {
    let less = others.iter().filter(|o| o.utilization() + DIFFERENCE_MIN < me.utilization());
    let mut less: Vec<&OwnerLoad> = less.collect();
    less.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    less
}

/// Plans how `me` sheds a certain excess at once: the hot spans are cut into adjacent pieces, one for
/// each owner with room. `demand` contains the requests that `me.work` was computed from.
///
/// Pieces are cut in the order of keys, not the densest first: among few requests the densest pieces
/// are so by chance, and their owners would get less than planned.
pub fn plan_shedding(
    me: &OwnerLoad,
    demand: &Demand,
    spans: &[Span],
    others: &[OwnerLoad],
) -> Vec<(Span, Owner)> {
    let less_loaded = less_loaded(me, others);
    let common = common_utilization(me, &less_loaded);
    let level = (common + LEVEL_TOLERANCE).min(TARGET_UTILIZATION_MAX);
    let keys = demand.keys();
    let per_request = me.work / keys.len().max(1) as f64;
    let mut rest = me.work - common * me.slots;
    let mut receivers = less_loaded.into_iter().filter_map(|other| {
        let room = (level - other.utilization()) * other.slots;
        (room >= MOVE_MIN * other.slots).then_some((other, room))
    });
    let (mut moves, mut width) = (Vec::new(), 0);
    for (span, range) in hot_spans(&keys, spans) {
        width += span.width();
        if width > SHED_KEYS_MAX {
            break;
        }
        let work = smoothed_counts(&keys[range], span);
        let mut index = 0;
        while index < work.len() && rest > 0.0 {
            let Some((other, room)) = receivers.next() else { return moves };
            let room = room.min(rest);
            // A single key with more requests than the receiver has room for stays.
            while index < work.len() && work[index] * per_request > room {
                index += 1;
            }
            let (start, mut taken) = (index, 0.0);
            while index < work.len() && taken + work[index] * per_request <= room {
                taken += work[index] * per_request;
                index += 1;
            }
            if index > start {
                let first = span.first + start as u16;
                let last = span.first + (index - 1) as u16;
                moves.push((Span { first, last }, other.owner.clone()));
                rest -= taken;
            }
        }
    }
    moves
}

/// Expected number of requests of each key of a span, of which `keys` were requested. Few requests are
/// spread unevenly by chance; as far as chance explains their spread, each key counts as the mean.
fn smoothed_counts(keys: &[u16], span: Span) -> Vec<f64> {
    let mut counts = vec![0.0; span.width() as usize];
    for key in keys.iter().filter(|key| span.contains(**key)) {
        counts[usize::from(*key - span.first)] += 1.0;
    }
    let width = counts.len().max(1) as f64;
    let mean = counts.iter().sum::<f64>() / width;
    let variance = counts.iter().map(|n| (n - mean).powi(2)).sum::<f64>() / width;
    // Independent requests to equal keys have a variance equal to the mean.
    let real = (1.0 - mean / variance.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    counts.into_iter().map(|n| real * n + (1.0 - real) * mean).collect()
}

/// In each of `spans`, the part that stands out by its number of requests against its number of keys,
/// with the indices of its requests in `keys`; the densest first.
fn hot_spans(keys: &[u16], spans: &[Span]) -> Vec<(Span, std::ops::Range<usize>)> {
    let width: u32 = spans.iter().map(|s| s.width()).sum();
    // Each request counts 1 and each key costs this much, so sparse keys are not worth their width.
    let key_cost = HOT_DENSITY * keys.len() as f64 / f64::from(width.max(1));
    let mut found = Vec::new();
    for span in spans {
        let from = keys.partition_point(|k| *k < span.first);
        let to = keys.partition_point(|k| *k <= span.last);
        let (mut best, mut best_range) = (0.0, from..from);
        let (mut sum, mut start) = (0.0, from);
        for i in from..to {
            let gap = if i > from { f64::from(keys[i] - keys[i - 1]) } else { 1.0 };
            sum -= gap * key_cost;
            if sum < 0.0 && (i == from || keys[i] != keys[i - 1]) {
                (sum, start) = (-key_cost, i);
            }
            sum += 1.0;
            if sum > best {
                (best, best_range) = (sum, start..i + 1);
            }
        }
        if best_range.is_empty() {
            continue;
        }
        best_range.end = best_range.start
            + keys[best_range.start..to].partition_point(|k| *k <= keys[best_range.end - 1]);
        found.push((widen(keys, *span, best_range.clone()), best_range));
    }
    let density = |(span, range): &(Span, std::ops::Range<usize>)| {
        range.len() as f64 / f64::from(span.width().max(1))
    };
    found.sort_by(|a, b| density(b).total_cmp(&density(a)));
    found
}

/// Utilization of all owners if the load of `me` and of the less loaded owners were evenly divided.
fn common_utilization(me: &OwnerLoad, less_loaded: &[&OwnerLoad]) -> f64 {
    let (mut work, mut slots) = (me.work, me.slots);
    for other in less_loaded {
        if other.utilization() >= work / slots {
            break;
        }
        work += other.work;
        slots += other.slots;
    }
    work / slots.max(SLOTS_MIN)
}

/// The span of the requests in `range`, extended by adjacent keys without requests. Cutting exactly
/// at the requested keys would leave narrow ranges that carry almost no load but need a grant each.
fn widen(keys: &[u16], span: Span, range: std::ops::Range<usize>) -> Span {
    let before = range.start.checked_sub(1).map(|i| keys[i]).filter(|k| *k >= span.first);
    let after = keys.get(range.end).copied().filter(|k| *k <= span.last);
    let (low, high) = (keys[range.start], keys[range.end - 1]);
    let first = before.map_or(span.first, |k| k + (low - k).div_ceil(2));
    let last = after.map_or(span.last, |k| high + (k - high - 1) / 2);
    Span {
        first: first.max(low.saturating_sub(MARGIN_KEYS)),
        last: last.min(high.saturating_add(MARGIN_KEYS)),
    }
}

/// The narrowest span within one of `spans` that contains `count` requests, and their indices in
/// `keys`. It contains fewer if the requests of its last key do not all fit; `None` if not even the
/// requests of a single key fit.
fn densest_span(
    keys: &[u16],
    spans: &[Span],
    count: usize,
) -> Option<(Span, std::ops::Range<usize>)> {
    let mut best: Option<(Span, std::ops::Range<usize>)> = None;
    for span in spans {
        let first = keys.partition_point(|k| *k < span.first);
        let end = keys.partition_point(|k| *k <= span.last);
        for start in first..end {
            // A window starts at the first request of a key.
            if start > first && keys[start] == keys[start - 1] {
                continue;
            }
            let mut stop = (start + count).min(end);
            // It ends at the last request of a key.
            while stop > start && stop < end && keys[stop] == keys[stop - 1] {
                stop -= 1;
            }
            if stop == start {
                continue;
            }
            let found = widen(keys, *span, start..stop);
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
