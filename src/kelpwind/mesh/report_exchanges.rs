//! The exchanges in which a backend server reports and is told which keys to hold.
//!
//! Load and fault pattern: a server reports about every second, and a report or its answer may be
//! lost, late, or overtaken by the next one. Two rules follow.
//!
//! * That a report does not list keys proves that the server has released them only if it was sent
//!   after the server had taken, or given up, every answer that grants them. A connection carries one
//!   exchange after the other, so a later report over the same connection proves that. Answers over
//!   other connections may yet be taken; the grants in them end by time.
//! * A report is answered as late as the grants in force allow, up to [`ANSWER_DELAY_MAX`]. While it
//!   waits, the server can be granted or relieved of keys at once instead of at its next report. If
//!   the server may not have taken the former answer, the next one is not held back.
//!
//! This module does no I/O and reads no clock.

use std::time::Duration;

use super::holds::GrantNumber;
use super::platform_api::{BackendSession, ReportedKeys};
use crate::core::ids::Token;
use crate::gate::grant_time::REPORT_RENEW_MARGIN;
use crate::lease::clock::BootInstant;
use crate::table::keys::{KEY_MAX, Owner, Span};

/// Longest time for which the answer to a report is held back. Its sender waits one second, part of
/// which may pass before the report arrives and after the answer is sent.
pub const ANSWER_DELAY_MAX: Duration = Duration::from_millis(600);
/// Most released spans whose handover data is kept.
const RELEASED_MAX: usize = 256;

/// Number of a connection, unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// What is known of the exchanges with the present server.
#[derive(Debug, Default)]
pub struct ReportExchanges {
    session: u64,
    /// Grants in answers that may not have been taken yet, with the connection of the answer.
    unconfirmed: Vec<(ConnectionId, GrantNumber)>,
    /// Spans that the server has released, each with the state for the next holder.
    released: Vec<(Span, String)>,
    /// Reports that wait for their answer.
    open: u32,
    /// Moves that begin with the next report.
    planned: Vec<(Span, Owner)>,
}

impl ReportExchanges {
    /// The session with the process that reports.
    pub fn session(&self) -> BackendSession {
        BackendSession(self.session)
    }

    /// Begins a session with another process.
    pub fn begin_session(&mut self) {
        self.session += 1;
        self.unconfirmed.clear();
        self.released.clear();
    }

    /// Records that an answer over a connection makes a grant.
    pub fn record_grant(&mut self, conn: ConnectionId, number: GrantNumber) {
        self.unconfirmed.push((conn, number));
    }

    /// Records the arrival of a report. Returns the grants that the server has taken before it sent
    /// the report.
    pub fn confirm(&mut self, conn: ConnectionId) -> Vec<GrantNumber> {
        let all = std::mem::take(&mut self.unconfirmed).into_iter();
        let (taken, rest): (Vec<_>, Vec<_>) = all.partition(|(answered, _)| *answered == conn);
        self.unconfirmed = rest;
        taken.into_iter().map(|(_, number)| number).collect()
    }

    /// Whether the server may not have taken some answers. Then reports or answers are late or lost, and
    /// an answer that is held back may come too late as well.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Forgets grants that have ended.
    pub fn retain_grants(&mut self, in_force: impl Fn(GrantNumber) -> bool) {
        self.unconfirmed.retain(|(_, number)| in_force(*number));
    }

    /// Records the spans that a report lists as released.
    pub fn record_released(&mut self, released: &[(Span, String)]) {
        for entry in released.iter().filter(|e| !e.1.is_empty()) {
            self.released.retain(|(span, _)| span.intersection(entry.0).is_none());
            self.released.push(entry.clone());
        }
        let excess = self.released.len().saturating_sub(RELEASED_MAX);
        self.released.drain(..excess);
    }

    /// The state that the server handed over with most keys of a span.
    pub fn handover(&self, span: Span) -> Option<String> {
        let width = |s: Span| s.intersection(span).map_or(0, Span::width);
        let best = self.released.iter().max_by_key(|(s, _)| width(*s))?;
        (width(best.0) > 0).then(|| best.1.clone())
    }

    /// Forgets what was handed over with keys that the server is granted again.
    pub fn forget_released(&mut self, span: Span) {
        self.released.retain(|(s, _)| s.intersection(span).is_none());
    }

    /// Records that a report begins to wait for its answer.
    pub fn open(&mut self) {
        self.open += 1;
    }

    /// Records that a report does not wait any more.
    pub fn close(&mut self) {
        self.open -= 1;
    }

    /// Whether a report waits for its answer.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Plans moves that begin with the next report.
    pub fn plan(&mut self, moves: Vec<(Span, Owner)>) {
        self.planned = moves;
    }

    /// Takes the planned moves.
    pub fn take_planned(&mut self) -> Vec<(Span, Owner)> {
        std::mem::take(&mut self.planned)
    }
}

impl ReportedKeys {
    /// The spans that the server neither holds nor works on.
    pub fn unheld(&self) -> Vec<Span> {
        let mut free = Vec::new();
        let mut next = 0;
        for (span, _) in &self.held {
            if next < u32::from(span.first) {
                free.push(Span { first: next as u16, last: span.first - 1 });
            }
            next = next.max(u32::from(span.last) + 1);
        }
        if next <= u32::from(KEY_MAX) {
            free.push(Span { first: next as u16, last: KEY_MAX });
        }
        free
    }

    /// Whether the server holds all keys of a span under a token.
    pub fn covers(&self, span: Span, token: Token) -> bool {
        let held = self.held.iter().filter(|(_, t)| *t == token);
        let covered = held.filter_map(|(s, _)| s.intersection(span)).map(Span::width).sum::<u32>();
        covered == span.width()
    }
}

/// When a report that arrived at `arrival` is to be answered. `expiry` is when the first grant in
/// force expires; `None` if there is nothing to grant.
pub fn answer_time(arrival: BootInstant, expiry: Option<BootInstant>) -> BootInstant {
    let latest = arrival + ANSWER_DELAY_MAX;
    expiry.map_or(latest, |at| latest.min(at - REPORT_RENEW_MARGIN))
}
