//! Spreads keys that lose their owner over others.
//!
//! Load pattern: a target leaves or is lost, and its share must not fall on one other target, which
//! would then be the one that is overloaded. Each heir gets what brings all of them nearest to the
//! same load for their capacity; keys that lie together stay together as far as possible, since each
//! range is a grant of its own to renew. Pure.

use crate::table::keys::{Owner, Span};

/// How much a portion may be exceeded before a span is cut: sums of parts are not exact.
const ROUNDING: f64 = 1.001;

/// Who can get keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Recipient {
    /// The owner to be.
    pub owner: Owner,
    /// The load it has already.
    pub load: f64,
    /// What it bears, relative to the others.
    pub capacity: f64,
}

/// The load of a span when nothing was measured: its number of keys.
pub fn key_count(span: Span) -> f64 {
    f64::from(span.width())
}

/// Divides the spans among the heirs; `load` tells the load of a span. Empty when there is no heir.
pub fn distribute(
    spans: &[Span],
    heirs: &[Recipient],
    load: impl Fn(Span) -> f64,
) -> Vec<(Span, Owner)> {
    let total: f64 = spans.iter().map(|s| load(*s)).sum();
    let mut portions = portions(total, heirs);
    let mut given = Vec::new();
    let mut spans: Vec<Span> = spans.to_vec();
    spans.reverse();
    while let (Some(span), Some((heir, room))) = (spans.last().copied(), portions.last().copied()) {
        let whole = load(span);
        let owner = &heirs[heir].owner;
        spans.pop();
        if whole <= room * ROUNDING || portions.len() == 1 {
            given.push((span, owner.clone()));
            portions.pop();
            portions.push((heir, room - whole));
            continue;
        }
        portions.pop();
        match cut(span, room, &load) {
            Some((part, rest)) => {
                given.push((part, owner.clone()));
                spans.push(rest);
            }
            None => spans.push(span),
        }
    }
    given
}

/// How much of `total` each heir gets, as its index and load; those that get nothing are left out.
fn portions(total: f64, heirs: &[Recipient]) -> Vec<(usize, f64)> {
    let mut order: Vec<usize> = (0..heirs.len()).collect();
    let level = |i: &usize| heirs[*i].load / heirs[*i].capacity.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    // The common level that is reached when the lightest heirs are filled up with `total`.
    let (mut loads, mut capacities, mut filled) = (0.0, 0.0, 0);
    for (count, i) in order.iter().enumerate() {
        let joined = (loads + total) / f64::max(capacities, f64::MIN_POSITIVE);
        if count > 0 && level(i) >= joined {
            break;
        }
        loads += heirs[*i].load;
        capacities += heirs[*i].capacity;
        filled = count + 1;
    }
    let common = (loads + total) / f64::max(capacities, f64::MIN_POSITIVE);
    let portion = |i: &usize| (*i, common * heirs[*i].capacity - heirs[*i].load);
    order[..filled].iter().map(portion).filter(|(_, portion)| *portion > 0.0).collect()
}

/// Cuts a span where its first part has about `room` of load; `None` when not even one key fits.
fn cut(span: Span, room: f64, load: impl Fn(Span) -> f64) -> Option<(Span, Span)> {
    let (mut low, mut high) = (u32::from(span.first), u32::from(span.last));
    // The first part ends before `low` and fits; the search narrows [low, high).
    while low < high {
        let middle = (low + high) / 2;
        let part = Span { first: span.first, last: middle as u16 };
        if load(part) <= room { low = middle + 1 } else { high = middle }
    }
    if low == u32::from(span.first) {
        return None;
    }
    let part = Span { first: span.first, last: (low - 1) as u16 };
    Some((part, Span { first: low as u16, last: span.last }))
}
