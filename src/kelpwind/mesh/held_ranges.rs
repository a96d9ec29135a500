//! The key ranges that the backend server holds, and until when.
//!
//! Each range of the table is granted as a whole. While part of a range is being moved, the range
//! is tracked as several parts. This module reads the clock but does no I/O.
//!
//! Invariant: for every key, the latest moment at which the server may still hold it under any grant
//! that was sent is not forgotten before it has passed, whatever the table says and however ranges
//! are split, merged, shrunk, given other tokens or removed from the list. Only a confirmed release
//! of exactly these keys, with no grant in flight, shortens it, and not below the expiry of a grant
//! without an answer.

use super::platform_api::BackendSession;
use crate::core::ids::Token;
use crate::gate::grant_time;
use crate::lease::LEASE_DURATION;
use crate::lease::clock::{self, BootInstant};
use crate::table::keys::{Range, Span};

/// A range, or part of one, that the table assigns to this node and its server.
#[derive(Clone, Debug)]
pub struct HeldRange {
    /// The keys.
    pub span: Span,
    /// Fencing token under which this node owns them.
    pub token: Token,
    /// Session of the first grant under this token; `None` before that.
    pub session: Option<BackendSession>,
    /// Handover data of the former owner's server, kept until a grant has passed it on.
    pub handover: Option<String>,
    /// The server certainly holds the keys until then; `None` while no grant is confirmed.
    pub active_until: Option<BootInstant>,
    /// The latest moment at which the server may still hold the keys under any grant that was sent.
    pub held_until: BootInstant,
    /// Numbers of grants without an answer, each with the latest moment at which it may be in
    /// force.
    pub unanswered: Vec<(u64, BootInstant)>,
    /// Whether the server has confirmed that it released the keys.
    pub released: bool,
    /// When the next grant is due.
    pub due: BootInstant,
    /// Number of the grant in flight, if there is one.
    pub in_flight: Option<u64>,
    /// Whether the keys are being moved to another owner.
    pub leaving: bool,
}

/// The ranges that this node owns.
#[derive(Debug, Default)]
pub struct HeldRanges {
    /// The ranges, split where parts are being moved.
    pub ranges: Vec<HeldRange>,
    /// Whether a change of ownership or of tokens is in progress.
    pub changing: bool,
    /// Number of the last grant.
    pub last_grant: u64,
    /// The latest moment at which the server may still hold ranges that are no longer listed.
    pub unlisted_until: BootInstant,
}

impl HeldRanges {
    /// Whether the server certainly holds a key that is not being moved.
    pub fn is_active(&self, key: u16) -> bool {
        let now = clock::now();
        self.find(key)
            .is_some_and(|r| !r.leaving && r.active_until.is_some_and(|until| now < until))
    }

    /// Whether this node owns a key, including keys that are being moved.
    pub fn is_owned(&self, key: u16) -> bool {
        self.find(key).is_some()
    }

    /// Number of keys that the server certainly holds.
    pub fn active_keys(&self) -> u32 {
        let now = clock::now();
        let active = self.ranges.iter().filter(|r| r.active_until.is_some_and(|until| now < until));
        active.map(|r| r.span.width()).sum()
    }

    fn find(&self, key: u16) -> Option<&HeldRange> {
        self.ranges.iter().find(|r| r.span.contains(key))
    }

    /// The latest moment at which the server may still hold a key under any grant that was sent.
    pub fn held_until(&self, key: u16) -> BootInstant {
        let listed = self.find(key).map(HeldRange::latest_hold).unwrap_or_default();
        listed.max(self.unlisted_until)
    }

    /// Time from which the server cannot hold any key that is being moved.
    pub fn leaving_until(&self) -> BootInstant {
        let leaving = self.ranges.iter().filter(|r| r.leaving);
        leaving.map(HeldRange::latest_hold).fold(self.unlisted_until, BootInstant::max)
    }

    /// Replaces the list by the ranges that the table assigns to this node. The state of a range,
    /// or of its parts that are being moved, is kept.
    pub fn sync<'a>(&mut self, owned: impl Iterator<Item = &'a Range>) {
        let known = std::mem::take(&mut self.ranges);
        for range in owned {
            let mut parts: Vec<HeldRange> = Vec::new();
            for k in &known {
                if let Some(span) = k.span.intersection(range.span) {
                    if k.token > range.token {
                        // The table lags. A release under its token does not end older grants.
                        self.unlisted_until = self.unlisted_until.max(k.latest_hold());
                    }
                    let same = k.token == range.token;
                    let due = if same { k.due } else { BootInstant::default() };
                    let session = k.session.filter(|_| same);
                    parts.push(HeldRange { span, token: range.token, session, due, ..k.clone() });
                }
            }
            fill_gaps(&mut parts, range);
            if parts.iter().all(|p| !p.leaving && p.in_flight.is_none()) {
                parts = vec![merge(range.span, parts)];
            }
            self.ranges.append(&mut parts);
        }
        let is_listed = |k: &HeldRange| {
            let common = self.ranges.iter().filter_map(|r| r.span.intersection(k.span));
            common.map(Span::width).sum::<u32>() == k.span.width()
        };
        let unlisted = known.iter().filter(|k| !is_listed(k)).map(HeldRange::latest_hold);
        self.unlisted_until = unlisted.fold(self.unlisted_until, BootInstant::max);
    }

    /// Removes all ranges from the list.
    pub fn clear(&mut self) {
        self.sync(std::iter::empty());
    }

    /// Assumes that a former run of this process granted keys just before `now`.
    pub fn assume_former_grants(&mut self, now: BootInstant) {
        let until = grant_time::latest_expiry(now, LEASE_DURATION);
        self.unlisted_until = self.unlisted_until.max(until);
    }

    /// Ends a grant that was sent under `token`. Without an answer it may still be applied. Returns
    /// the ranges that still have this token: since the grant was sent, a range may have been split
    /// or got another token.
    pub fn end_grant(&mut self, number: u64, token: Token, answered: bool) -> Vec<&mut HeldRange> {
        let covered = self.ranges.iter_mut().filter(|r| r.in_flight == Some(number));
        let mut covered: Vec<_> = covered.collect();
        for range in &mut covered {
            range.in_flight = None;
            if answered {
                range.unanswered.retain(|(open, _)| *open != number);
            }
        }
        covered.retain(|r| r.token == token);
        covered
    }

    /// Records that the server has confirmed the release of a span that is being moved. Counts only
    /// for ranges within the span that have no grant in flight, which the server may apply later.
    pub fn record_release(&mut self, span: Span, token: Token) {
        let covered = |r: &&mut HeldRange| r.span.intersection(span) == Some(r.span);
        for range in self.ranges.iter_mut().filter(covered) {
            if range.leaving && range.token == token && range.in_flight.is_none() {
                range.released = true;
                range.active_until = None;
            }
        }
    }

    /// Whether a grant is in flight for a range that is being moved.
    pub fn is_granting(&self) -> bool {
        self.ranges.iter().any(|r| r.leaving && r.in_flight.is_some())
    }
}

impl HeldRange {
    /// A range of the table that the server was not granted yet.
    fn new(range: &Range) -> HeldRange {
        HeldRange {
            span: range.span,
            token: range.token,
            session: None,
            handover: range.handover.clone(),
            active_until: None,
            held_until: BootInstant::default(),
            unanswered: Vec::new(),
            released: false,
            due: BootInstant::default(),
            in_flight: None,
            leaving: false,
        }
    }

    /// Records that a grant is sent, which is in force until `expiry` at the latest.
    pub fn begin_grant(&mut self, number: u64, expiry: BootInstant, now: BootInstant) {
        self.in_flight = Some(number);
        self.released = false;
        self.held_until = self.held_until.max(expiry);
        self.unanswered.retain(|(_, until)| *until > now);
        self.unanswered.push((number, expiry));
    }

    /// The latest moment at which the server may still hold the keys. Keys that were released may
    /// become active again by a grant without an answer; others are held until all grants expire.
    fn latest_hold(&self) -> BootInstant {
        let unanswered = self.unanswered.iter().map(|(_, until)| *until).max();
        if self.released { unanswered.unwrap_or_default() } else { self.held_until }
    }
}

/// Adds new parts where the known ones leave gaps, so that the parts cover the whole range.
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
    parts.extend(gaps.into_iter().map(|span| HeldRange { span, ..HeldRange::new(range) }));
}

/// Merges the parts of a range. The whole is certainly held for as long as every part certainly is,
/// and may be held for as long as any part may be.
fn merge(span: Span, parts: Vec<HeldRange>) -> HeldRange {
    let active_until = parts.iter().map(|p| p.active_until).min().flatten();
    let due = parts.iter().map(|p| p.due).min().unwrap_or_default();
    let session = parts.iter().filter_map(|p| p.session).min();
    let held_until = parts.iter().map(|p| p.held_until).max().unwrap_or_default();
    let mut unanswered: Vec<(u64, BootInstant)> =
        parts.iter().flat_map(|p| p.unanswered.clone()).collect();
    unanswered.sort_unstable();
    unanswered.dedup();
    let released = parts.iter().all(|p| p.released);
    let handover = parts.iter().find_map(|p| p.handover.clone());
    HeldRange {
        span,
        session,
        active_until,
        due,
        held_until,
        unanswered,
        released,
        handover,
        ..parts[0].clone()
    }
}

/// Splits a range into its parts inside, before and after `part`, and marks the inner one as
/// leaving.
pub fn split(range: HeldRange, part: Span) -> Vec<HeldRange> {
    let Some(inner) = range.span.intersection(part) else { return vec![range] };
    let rest = range.span.subtract(inner);
    let mut parts: Vec<HeldRange> =
        rest.into_iter().map(|span| HeldRange { span, ..range.clone() }).collect();
    parts.push(HeldRange { span: inner, leaving: true, ..range });
    parts
}
