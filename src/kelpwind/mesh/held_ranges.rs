//! What is known of the keys that the backend server holds: pure, but for the clock.
//!
//! A range of the table is one grant; while part of it is being moved it is kept in parts.

use super::platform_api::BackendSession;
use crate::core::ids::Token;
use crate::gate::grant_time;
use crate::lease::LEASE_DURATION;
use crate::lease::clock::{self, Moment};
use crate::table::keys::{Range, Span};

/// A range that the table gives to this node and its server.
#[derive(Clone, Debug)]
pub(super) struct HeldRange {
    /// The keys.
    pub span: Span,
    /// The token under which this node has them.
    pub token: Token,
    /// The session in which the server was granted them under this token.
    pub session: Option<BackendSession>,
    /// What the last owner's server left, until the server has taken it.
    pub handover: Option<String>,
    /// Until when the server surely holds it.
    pub active: Option<Moment>,
    /// Until when the server may hold it, by any grant that was sent.
    pub held_until: Moment,
    /// Grants without an answer: their numbers, and until when each may be in force.
    pub open: Vec<(u64, Moment)>,
    /// Whether the server has confirmed that it released it.
    pub released: bool,
    /// When the next grant is due.
    pub due: Moment,
    /// Whether a grant is on its way.
    pub busy: bool,
    /// Whether it is being moved.
    pub leaving: bool,
}

/// The ranges of this node.
#[derive(Debug, Default)]
pub(crate) struct HeldRanges {
    /// The ranges, cut where parts are being moved.
    pub(super) ranges: Vec<HeldRange>,
    /// Whether keys are being moved or reclaimed.
    pub(super) moving: bool,
    /// Number of the last grant.
    pub(super) grants: u64,
    /// Until when the server may hold ranges that are no longer listed.
    pub(super) gone_until: Moment,
}

impl HeldRanges {
    /// Whether the server surely holds a key, and it is not being moved.
    pub fn is_active(&self, key: u16) -> bool {
        let now = clock::now();
        self.find(key).is_some_and(|r| !r.leaving && r.active.is_some_and(|until| now < until))
    }

    /// Whether this node owns a key, also one that is being moved.
    pub fn is_owned(&self, key: u16) -> bool {
        self.find(key).is_some()
    }

    /// The number of keys that the server surely holds.
    pub fn active_keys(&self) -> u32 {
        let now = clock::now();
        let active = self.ranges.iter().filter(|r| r.active.is_some_and(|until| now < until));
        active.map(|r| r.span.width()).sum()
    }

    fn find(&self, key: u16) -> Option<&HeldRange> {
        self.ranges.iter().find(|r| r.span.contains(key))
    }

    /// Takes the ranges that the table gives to this node. What is known of a range, or of parts of
    /// it that are being moved, goes on.
    pub(super) fn follow<'a>(&mut self, owned: impl Iterator<Item = &'a Range>) {
        let known = std::mem::take(&mut self.ranges);
        for range in owned {
            let mut parts: Vec<HeldRange> = Vec::new();
            for k in known.iter().filter(|k| k.token <= range.token) {
                if let Some(span) = k.span.intersection(range.span) {
                    let same = k.token == range.token;
                    let due = if same { k.due } else { Moment::default() };
                    let session = k.session.filter(|_| same);
                    parts.push(HeldRange { span, token: range.token, session, due, ..k.clone() });
                }
            }
            fill_gaps(&mut parts, range);
            if parts.iter().all(|p| !p.leaving && !p.busy) {
                parts = vec![joined(range.span, parts)];
            }
            self.ranges.append(&mut parts);
        }
        let kept =
            |k: &HeldRange| self.ranges.iter().any(|r| r.span.intersection(k.span).is_some());
        let gone = known.iter().filter(|k| !k.released && !kept(k)).map(|k| k.held_until);
        self.gone_until = gone.fold(self.gone_until, Moment::max);
    }

    /// A former run of this process may have granted keys a moment ago.
    pub fn assume_former_grants(&mut self, now: Moment) {
        self.gone_until = grant_time::latest_expiry(now, LEASE_DURATION);
    }

    /// What a grant of a span covers; it may have been cut up since the grant was sent.
    pub(super) fn parts_of(
        &mut self,
        span: Span,
        token: Token,
    ) -> impl Iterator<Item = &mut HeldRange> {
        self.ranges
            .iter_mut()
            .filter(move |r| r.token == token && r.span.intersection(span).is_some())
    }

    /// Whether a grant is on its way for a range that is being moved.
    pub(super) fn is_granting(&self) -> bool {
        self.ranges.iter().any(|r| r.leaving && r.busy)
    }
}

impl HeldRange {
    /// A range as the table has it, of which nothing is known yet.
    fn granted(range: &Range) -> HeldRange {
        HeldRange {
            span: range.span,
            token: range.token,
            session: None,
            handover: range.handover.clone(),
            active: None,
            held_until: Moment::default(),
            open: Vec::new(),
            released: false,
            due: Moment::default(),
            busy: false,
            leaving: false,
        }
    }
}

/// Adds what is not known of a range, so that the parts cover it.
fn fill_gaps(parts: &mut Vec<HeldRange>, range: &Range) {
    parts.sort_by_key(|p| p.span);
    let mut gaps = Vec::new();
    let mut next = u32::from(range.span.first);
    for part in parts.iter() {
        if next < u32::from(part.span.first) {
            gaps.push(Span { first: next as u16, last: part.span.first - 1 });
        }
        next = u32::from(part.span.last) + 1;
    }
    if next <= u32::from(range.span.last) {
        gaps.push(Span { first: next as u16, last: range.span.last });
    }
    parts.extend(gaps.into_iter().map(|span| HeldRange { span, ..HeldRange::granted(range) }));
}

/// Parts of one range as a whole again: it is held as long as each part surely is, and may be held
/// as long as any part may be.
fn joined(span: Span, parts: Vec<HeldRange>) -> HeldRange {
    let active = parts.iter().map(|p| p.active).min().flatten();
    let due = parts.iter().map(|p| p.due).min().unwrap_or_default();
    let session = parts.iter().filter_map(|p| p.session).min();
    let held_until = parts.iter().map(|p| p.held_until).max().unwrap_or_default();
    let mut open: Vec<(u64, Moment)> = parts.iter().flat_map(|p| p.open.clone()).collect();
    open.sort_unstable();
    open.dedup();
    HeldRange { span, session, active, due, held_until, open, ..parts[0].clone() }
}

/// The parts of a range in, before and after `part`; the one in it leaves.
pub(super) fn split(range: HeldRange, part: Span) -> Vec<HeldRange> {
    let Some(inner) = range.span.intersection(part) else { return vec![range] };
    let rest = range.span.subtract(inner);
    let mut parts: Vec<HeldRange> =
        rest.into_iter().map(|span| HeldRange { span, ..range.clone() }).collect();
    parts.push(HeldRange { span: inner, leaving: true, ..range });
    parts
}
