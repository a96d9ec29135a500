//! The key ranges that the backend server holds, and until when.
//!
//! Each range of the table is granted as a whole. While part of a range is being moved, the range
//! is tracked as several parts. What a server may hold beyond that is tracked by [`super::holds`].
//! This module reads the clock but does no I/O.

use std::time::Duration;

use super::holds::{GrantNumber, Holds, Release};
use super::platform_api::{BackendSession, GrantOutcome, ReportedKeys};
use crate::core::ids::Token;
use crate::gate::grant_time;
use crate::lease::clock::{self, BootInstant};
use crate::lease::{LEASE_DURATION, RENEW_INTERVAL};
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
    /// When the next grant is due.
    pub due: BootInstant,
    /// Number of the grant in flight.
    pub in_flight: Option<GrantNumber>,
    /// Until then the server probably does not hold the keys although it was assigned them: it has
    /// rejected a request, so the answer has not arrived yet.
    pub paused_until: Option<BootInstant>,
    /// Number of the last grant in the answer to a report.
    pub assigned: Option<GrantNumber>,
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
    pub last_grant: GrantNumber,
    /// Spans that are being moved to other owners, whether or not they are listed.
    moving: Vec<Span>,
    /// What servers may hold, whether or not it is listed.
    pub holds: Holds,
}

impl HeldRanges {
    /// Whether the server certainly holds a key that is not being moved.
    pub fn is_active(&self, key: u16) -> bool {
        let now = clock::now();
        self.find(key).is_some_and(|r| !r.leaving && r.is_active(now))
    }

    /// Whether this node owns a key, including keys that are being moved.
    pub fn is_owned(&self, key: u16) -> bool {
        self.find(key).is_some()
    }

    /// Whether this node owns a key that is not being moved.
    pub fn is_staying(&self, key: u16) -> bool {
        self.find(key).is_some_and(|r| !r.leaving)
    }

    /// The session in which the server was granted a key; `None` if it was not.
    pub fn session(&self, key: u16) -> Option<BackendSession> {
        self.find(key)?.session
    }

    /// Number of keys that the server certainly holds.
    pub fn active_keys(&self) -> u32 {
        let now = clock::now();
        let active = self.ranges.iter().filter(|r| r.is_active(now));
        active.map(|r| r.span.width()).sum()
    }

    /// A range that this node owns and keeps, and that the server does not certainly hold.
    pub fn ungranted(&self, now: BootInstant) -> Option<&HeldRange> {
        self.ranges.iter().find(|r| !r.leaving && !r.is_active(now))
    }

    /// How long the server may still hold any keys that it was granted.
    pub fn remaining_hold(&self, now: BootInstant) -> Duration {
        self.holds.until_all().since(now)
    }

    /// Time from which no server can hold a key.
    pub fn held_until(&self, key: u16) -> BootInstant {
        self.holds.until(Span { first: key, last: key })
    }

    /// Time from which no server can hold any listed key that is being moved.
    pub fn leaving_until(&self) -> BootInstant {
        let leaving = self.ranges.iter().filter(|r| r.leaving).map(|r| self.holds.until(r.span));
        leaving.max().unwrap_or_default()
    }

    /// Removes all ranges from the list, and ends a move.
    pub fn clear(&mut self) {
        self.ranges.clear();
        self.moving.clear();
    }

    /// Begins to move spans: until the move ends, their keys are not granted. Returns them split
    /// along the listed ranges, with their tokens.
    pub fn begin_move(&mut self, spans: Vec<Span>) -> Vec<(Span, Token)> {
        let listed = |moved: &Span| {
            let parts = self.ranges.iter().map(|r| (r.span.intersection(*moved), r.token));
            parts.filter_map(|(part, token)| Some((part?, token))).collect::<Vec<_>>()
        };
        let parts = spans.iter().flat_map(listed).collect();
        self.moving = spans;
        let ranges = std::mem::take(&mut self.ranges);
        self.ranges = split_moving(ranges, &self.moving);
        parts
    }

    /// Ends a move: keys that are still listed are granted again.
    pub fn end_move(&mut self) {
        self.moving.clear();
        for range in &mut self.ranges {
            range.leaving = false;
            range.due = BootInstant::default();
        }
    }

    fn find(&self, key: u16) -> Option<&HeldRange> {
        self.ranges.iter().find(|r| r.span.contains(key))
    }

    /// Replaces the list by the ranges that the table assigns to this node. The state of a range,
    /// or of its parts that are being moved, is kept.
    pub fn sync<'a>(&mut self, owned: impl Iterator<Item = &'a Range>) {
        let known = std::mem::take(&mut self.ranges);
        for range in owned {
            let mut parts: Vec<HeldRange> = Vec::new();
            for k in &known {
                if let Some(span) = k.span.intersection(range.span) {
                    let same = k.token == range.token;
                    let due = if same { k.due } else { BootInstant::default() };
                    let session = k.session.filter(|_| same);
                    let in_flight = k.in_flight.filter(|_| same);
                    let assigned = k.assigned.filter(|_| same);
                    let token = range.token;
                    let known = k.clone();
                    let part =
                        HeldRange { span, token, session, due, in_flight, assigned, ..known };
                    parts.push(part);
                }
            }
            fill_gaps(&mut parts, range);
            let mut parts = split_moving(parts, &self.moving);
            if parts.iter().all(|p| !p.leaving && p.in_flight.is_none()) {
                parts = vec![merge(range.span, parts)];
            }
            self.ranges.append(&mut parts);
        }
    }

    /// Assumes that a former run of this process granted keys just before `now`, for at most `excess`
    /// longer than its lease.
    pub fn assume_former_grants(&mut self, now: BootInstant, excess: Duration) {
        self.holds.assume_former(grant_time::former_expiry(now, LEASE_DURATION + excess));
    }

    /// Records that a former run, which has ended before `now`, granted keys for at most `excess`
    /// longer than its lease.
    pub fn limit_former_grants(&mut self, now: BootInstant, excess: Duration) {
        self.holds.limit_former(grant_time::former_expiry(now, LEASE_DURATION + excess));
    }

    /// Selects the ranges to grant now in a session: with `all`, also those whose renewal is not due.
    /// Returns their indices, and the spans that were granted in an earlier session: these get higher
    /// tokens first, since the server may have restarted without them. Keys that another process may
    /// hold are granted once it cannot hold them any more.
    pub fn select(
        &mut self,
        session: BackendSession,
        now: BootInstant,
        all: bool,
    ) -> (Vec<usize>, Vec<Span>) {
        let (mut selected, mut former) = (Vec::new(), Vec::new());
        self.holds.prune(now);
        for (i, range) in self.ranges.iter_mut().enumerate() {
            if range.in_flight.is_some() || range.leaving || !all && range.due > now {
                continue;
            }
            if *range.session.get_or_insert(session) != session {
                former.push(range.span);
                continue;
            }
            let held_elsewhere = self.holds.until_elsewhere(range.span, session);
            if held_elsewhere > now {
                range.due = held_elsewhere;
                continue;
            }
            selected.push(i);
        }
        (selected, former)
    }

    /// Records that a listed range is granted in the answer to a report, which is in force until
    /// `expiry` at the latest. Returns the number of the grant.
    pub fn assign(
        &mut self,
        index: usize,
        session: BackendSession,
        expiry: BootInstant,
    ) -> GrantNumber {
        let number = self.begin_hold(index, session, expiry);
        self.ranges[index].assigned = Some(number);
        number
    }

    /// Records that the server has been sent grants in an answer and holds the keys until `until`.
    /// Returns the ranges that it did not hold before.
    pub fn activate(&mut self, numbers: &[GrantNumber], until: BootInstant) -> Vec<(Span, Token)> {
        let now = clock::now();
        let mut newly_active = Vec::new();
        let assigned = |r: &&mut HeldRange| r.assigned.is_some_and(|n| numbers.contains(&n));
        for range in self.ranges.iter_mut().filter(assigned) {
            if range.active_until.is_none_or(|until| until <= now) {
                newly_active.push((range.span, range.token));
            }
            range.active_until = range.active_until.max(Some(until));
            range.paused_until = None;
        }
        newly_active
    }

    /// Records that the server does not hold a key that it was assigned. Until `until` no request for
    /// the range is sent to it.
    pub fn pause(&mut self, key: u16, until: BootInstant) {
        for range in self.ranges.iter_mut().filter(|r| r.span.contains(key)) {
            range.paused_until = Some(until);
        }
    }

    /// Applies a report that was sent after the server had taken the grants `taken`. Returns the
    /// ranges among these that it did not accept.
    pub fn record_reported(
        &mut self,
        keys: &ReportedKeys,
        taken: &[GrantNumber],
        now: BootInstant,
    ) -> Vec<Span> {
        let mut refused = Vec::new();
        for range in self.ranges.iter_mut().filter(|r| !r.leaving) {
            if keys.covers(range.span, range.token) {
                range.handover = None;
                continue;
            }
            let latest_taken = range.assigned.is_some_and(|number| taken.contains(&number));
            if !latest_taken {
                continue;
            }
            if range.active_until.is_some_and(|until| now < until) {
                refused.push(range.span);
            }
            range.active_until = None;
        }
        refused
    }

    /// Spans that are being moved.
    pub fn moving(&self) -> &[Span] {
        &self.moving
    }

    /// Whether keys are being moved.
    pub fn is_moving(&self) -> bool {
        !self.moving.is_empty()
    }

    /// When the next grant of a range that is not being moved is due.
    pub fn next_due(&self) -> Option<BootInstant> {
        let granted = self.ranges.iter().filter(|r| r.in_flight.is_none() && !r.leaving);
        granted.map(|r| r.due).min()
    }

    /// Records that a grant of a listed range is sent in a session, which is in force until
    /// `expiry` at the latest. Returns its number.
    pub fn begin_grant(
        &mut self,
        index: usize,
        session: BackendSession,
        expiry: BootInstant,
    ) -> GrantNumber {
        let number = self.begin_hold(index, session, expiry);
        self.ranges[index].in_flight = Some(number);
        number
    }

    /// Records that the server may hold a listed range by a grant. Returns the number of the grant.
    fn begin_hold(
        &mut self,
        index: usize,
        session: BackendSession,
        expiry: BootInstant,
    ) -> GrantNumber {
        self.last_grant += 1;
        let range = &self.ranges[index];
        self.holds.begin(self.last_grant, (range.span, range.token), session, expiry);
        self.last_grant
    }

    /// Records the outcome of a grant that was sent at `sent`, and by which the server, if it has
    /// accepted it, holds the keys at least until `active_until`. Returns whether it did not
    /// certainly hold them before.
    pub fn end_grant(
        &mut self,
        number: GrantNumber,
        outcome: GrantOutcome,
        sent: BootInstant,
        active_until: BootInstant,
    ) -> bool {
        match outcome {
            GrantOutcome::Accepted => self.holds.accept(number),
            GrantOutcome::Unknown => {}
            GrantOutcome::StaleToken | GrantOutcome::NotSent | GrantOutcome::Unreachable => {
                self.holds.reject(number);
            }
        }
        let now = clock::now();
        let mut newly_active = false;
        // The range may have been split since the grant was sent.
        for range in self.ranges.iter_mut().filter(|r| r.in_flight == Some(number)) {
            range.in_flight = None;
            range.due = match outcome {
                GrantOutcome::Accepted => sent + RENEW_INTERVAL,
                GrantOutcome::Unknown | GrantOutcome::NotSent => now,
                GrantOutcome::StaleToken | GrantOutcome::Unreachable => now + RENEW_INTERVAL,
            };
            if outcome == GrantOutcome::Accepted {
                newly_active = range.active_until.is_none_or(|until| until <= now);
                range.active_until = range.active_until.max(Some(active_until));
                range.handover = None;
            }
        }
        newly_active
    }

    /// Records that a release was confirmed by the process that it was sent to.
    pub fn record_release(&mut self, span: Span, release: &Release) {
        self.holds.record_release(release);
        let released = |r: &&mut HeldRange| r.leaving && r.span.intersection(span).is_some();
        for range in self.ranges.iter_mut().filter(released) {
            range.active_until = None;
        }
    }

    /// Whether a grant is in flight for a range that is being moved.
    pub fn is_granting(&self) -> bool {
        self.ranges.iter().any(|r| r.leaving && r.in_flight.is_some())
    }
}

impl HeldRange {
    /// Whether the server holds the keys at `now`, as far as is known.
    pub fn is_active(&self, now: BootInstant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !paused && self.active_until.is_some_and(|until| now < until)
    }

    /// A range of the table that the server was not granted yet.
    fn new(range: &Range) -> HeldRange {
        HeldRange {
            span: range.span,
            token: range.token,
            session: None,
            handover: range.handover.clone(),
            active_until: None,
            due: BootInstant::default(),
            in_flight: None,
            paused_until: None,
            assigned: None,
            leaving: false,
        }
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

/// Merges the parts of a range. The whole is certainly held for as long as every part certainly is.
fn merge(span: Span, parts: Vec<HeldRange>) -> HeldRange {
    let active_until = parts.iter().map(|p| p.active_until).min().flatten();
    let due = parts.iter().map(|p| p.due).min().unwrap_or_default();
    // Each part may have been assigned by another answer, and the whole by none.
    let assigned =
        parts[0].assigned.filter(|_| parts.iter().all(|p| p.assigned == parts[0].assigned));
    let session = parts.iter().filter_map(|p| p.session).min();
    let handover = parts.iter().find_map(|p| p.handover.clone());
    HeldRange { span, session, active_until, due, handover, assigned, ..parts[0].clone() }
}

/// Splits ranges at the ends of spans that are being moved, and marks what lies within them as
/// leaving.
fn split_moving(ranges: Vec<HeldRange>, moving: &[Span]) -> Vec<HeldRange> {
    moving
        .iter()
        .fold(ranges, |ranges, moved| ranges.into_iter().flat_map(|r| split(r, *moved)).collect())
}

/// Splits a range into its parts inside, before and after `part`, and marks the inner one as
/// leaving.
fn split(range: HeldRange, part: Span) -> Vec<HeldRange> {
    let Some(inner) = range.span.intersection(part) else { return vec![range] };
    let rest = range.span.subtract(inner);
    let mut parts: Vec<HeldRange> =
        rest.into_iter().map(|span| HeldRange { span, ..range.clone() }).collect();
    parts.push(HeldRange { span: inner, leaving: true, ..range });
    parts
}
