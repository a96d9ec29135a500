//! Distributes keys that lose their owner among other owners.
//!
//! Load pattern: a target leaves or is lost, and its load must not go to a single other target,
//! which would then be overloaded. Each recipient gets the share that brings all recipients closest
//! to the same load relative to their capacity. Adjacent keys stay together where possible, since
//! each range needs its own grant, which must be renewed. This module does no I/O.

use crate::table::keys::{Owner, Span};

/// Factor by which a span may exceed the remaining portion without being cut; covers rounding
/// errors in sums of loads.
const ROUNDING_TOLERANCE: f64 = 1.001;

/// An owner that can get keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Recipient {
    /// The node and the instance of its backend server.
    pub owner: Owner,
    /// The load that it already has.
    pub load: f64,
    /// Its capacity, relative to the other recipients.
    pub capacity: f64,
}

/// Number of keys of a span, as its load when no load has been measured.
pub fn key_count(span: Span) -> f64 {
    f64::from(span.width())
}

/// Divides `spans` among `recipients`; `load` returns the load of a span. The result is empty if
/// there are no recipients.
pub fn distribute(
    spans: &[Span],
    recipients: &[Recipient],
    load: impl Fn(Span) -> f64,
) -> Vec<(Span, Owner)> {
    let total: f64 = spans.iter().map(|s| load(*s)).sum();
    let mut portions = portions(total, recipients);
    let mut assigned = Vec::new();
    let mut spans: Vec<Span> = spans.to_vec();
    spans.reverse();
    while let (Some(span), Some((recipient, room))) =
        (spans.last().copied(), portions.last().copied())
    {
        let span_load = load(span);
        let owner = &recipients[recipient].owner;
        spans.pop();
        if span_load <= room * ROUNDING_TOLERANCE || portions.len() == 1 {
            assigned.push((span, owner.clone()));
            portions.pop();
            portions.push((recipient, room - span_load));
            continue;
        }
        portions.pop();
        match cut(span, room, &load) {
            Some((part, rest)) => {
                assigned.push((part, owner.clone()));
                spans.push(rest);
            }
            None => spans.push(span),
        }
    }
    assigned
}

/// The portion of `total` for each recipient, as its index and load; recipients that get nothing
/// are left out.
fn portions(total: f64, recipients: &[Recipient]) -> Vec<(usize, f64)> {
    let mut order: Vec<usize> = (0..recipients.len()).collect();
    let level = |i: &usize| recipients[*i].load / recipients[*i].capacity.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    // The common level reached by distributing `total` to the least loaded recipients.
    let (mut loads, mut capacities, mut filled) = (0.0, 0.0, 0);
    for (count, i) in order.iter().enumerate() {
        let reached = (loads + total) / f64::max(capacities, f64::MIN_POSITIVE);
        if count > 0 && level(i) >= reached {
            break;
        }
        loads += recipients[*i].load;
        capacities += recipients[*i].capacity;
        filled = count + 1;
    }
    let common = (loads + total) / f64::max(capacities, f64::MIN_POSITIVE);
    let portion = |i: &usize| (*i, common * recipients[*i].capacity - recipients[*i].load);
    order[..filled].iter().map(portion).filter(|(_, portion)| *portion > 0.0).collect()
}

/// Cuts a span so that its first part has a load of at most `room`; `None` if not even one key
/// fits.
fn cut(span: Span, room: f64, load: impl Fn(Span) -> f64) -> Option<(Span, Span)> {
    let (mut low, mut high) = (u32::from(span.first), u32::from(span.last));
    // Binary search over [low, high); the keys before `low` fit into `room`.
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
