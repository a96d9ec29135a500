//! What the backend servers beside this node may hold, by the grants that were sent.
//!
//! The table says which keys this node owns, and changes at any time. What a server may hold changes
//! only by a grant, by its confirmed release, and by the passing of time, so it is tracked apart
//! from the table: for each key, the latest moment at which a server may hold it is known until that
//! moment has passed, however ranges are split, merged, given new tokens or lost. This module reads
//! no clock and does no I/O.

use super::platform_api::BackendSession;
use crate::core::ids::Token;
use crate::lease::clock::BootInstant;
use crate::table::keys::{KEY_MAX, Span};

/// Number of a grant, unique within a run of the node.
pub type GrantNumber = u64;

/// A grant that may be in force.
#[derive(Clone, Debug)]
struct Hold {
    /// Number of the grant; `None` for grants of a former run of the node.
    number: Option<GrantNumber>,
    span: Span,
    token: Token,
    /// Session in which it was granted; `None` if it is not known.
    session: Option<BackendSession>,
    /// Whether it has no answer, so that it may yet be applied.
    open: bool,
    /// Time from which the server cannot hold the keys under this grant.
    until: BootInstant,
}

/// The grants that may be in force.
#[derive(Debug, Default)]
pub struct Holds {
    holds: Vec<Hold>,
}

/// A release that was sent.
#[derive(Clone, Debug)]
pub struct Release {
    span: Span,
    /// The grants that it ends. Those without an answer may be applied after it.
    ended: Vec<GrantNumber>,
}

impl Holds {
    /// Records that a grant of a span is sent in a session.
    pub fn begin(
        &mut self,
        number: GrantNumber,
        (span, token): (Span, Token),
        session: BackendSession,
        until: BootInstant,
    ) {
        let (number, session) = (Some(number), Some(session));
        self.holds.push(Hold { number, span, token, session, open: true, until });
    }

    /// Drops the holds that have expired.
    pub fn prune(&mut self, now: BootInstant) {
        self.holds.retain(|h| h.until > now);
    }

    /// Records that a grant may be in force until `until`.
    pub fn extend(&mut self, number: GrantNumber, until: BootInstant) {
        for hold in self.holds.iter_mut().filter(|h| h.number == Some(number)) {
            hold.until = hold.until.max(until);
        }
    }

    /// Records that the server has accepted a grant.
    pub fn accept(&mut self, number: GrantNumber) {
        let Some(i) = self.holds.iter().position(|h| h.number == Some(number)) else { return };
        let mut accepted = self.holds.swap_remove(i);
        accepted.open = false;
        let key = |h: &Hold| (h.open, h.span, h.token, h.session);
        self.holds.retain(|h| key(h) != key(&accepted) || h.until > accepted.until);
        self.holds.push(accepted);
    }

    /// Records that a grant was not sent, or was rejected.
    pub fn reject(&mut self, number: GrantNumber) {
        self.holds.retain(|h| h.number != Some(number));
    }

    /// Whether a grant may be in force.
    pub fn is_in_force(&self, number: GrantNumber) -> bool {
        self.holds.iter().any(|h| h.number == Some(number))
    }

    /// The release of a span and a token, to be sent to the process of a session.
    pub fn release(&self, span: Span, token: Token, session: BackendSession) -> Release {
        let ends = |h: &&Hold| !h.open && h.token <= token && h.session == Some(session);
        let ended = self.holds.iter().filter(ends).filter_map(|h| h.number).collect();
        Release { span, ended }
    }

    /// Records that a release was confirmed by the process that it was sent to.
    pub fn record_release(&mut self, release: &Release) {
        let mut kept = Vec::with_capacity(self.holds.len());
        for hold in self.holds.drain(..) {
            if !hold.number.is_some_and(|number| release.ended.contains(&number)) {
                kept.push(hold);
                continue;
            }
            let rest = hold.span.subtract(release.span);
            kept.extend(rest.into_iter().map(|span| Hold { span, ..hold.clone() }));
        }
        self.holds = kept;
    }

    /// Assumes that a former run of this node has granted all keys until `until`.
    pub fn assume_former(&mut self, until: BootInstant) {
        let span = Span { first: 0, last: KEY_MAX };
        let (number, session, token) = (None, None, Token(0));
        self.holds.push(Hold { number, span, token, session, open: false, until });
    }

    /// Records that a former run has granted no keys for longer than until `until`.
    pub fn limit_former(&mut self, until: BootInstant) {
        for hold in self.holds.iter_mut().filter(|h| h.number.is_none()) {
            hold.until = hold.until.min(until);
        }
    }

    /// Records that a former run granted a span to no process but that of a session.
    pub fn confirm_former(&mut self, span: Span, session: BackendSession) {
        let mut holds = Vec::with_capacity(self.holds.len());
        for hold in self.holds.drain(..) {
            let Some(part) = hold.span.intersection(span).filter(|_| hold.session.is_none()) else {
                holds.push(hold);
                continue;
            };
            let rest = hold.span.subtract(part);
            holds.extend(rest.into_iter().map(|span| Hold { span, ..hold.clone() }));
            holds.push(Hold { span: part, session: Some(session), ..hold });
        }
        self.holds = holds;
    }

    /// Time from which no server can hold any key of a span.
    pub fn until(&self, span: Span) -> BootInstant {
        self.latest(|h| h.span.intersection(span).is_some())
    }

    /// Time from which no process but that of a session can hold any key of a span.
    pub fn until_elsewhere(&self, span: Span, session: BackendSession) -> BootInstant {
        self.latest(|h| h.session != Some(session) && h.span.intersection(span).is_some())
    }

    /// Time from which no server can hold any key.
    pub fn until_all(&self) -> BootInstant {
        self.latest(|_| true)
    }

    fn latest(&self, counts: impl Fn(&Hold) -> bool) -> BootInstant {
        let counted = self.holds.iter().filter(|h| counts(h)).map(|h| h.until);
        counted.fold(BootInstant::default(), BootInstant::max)
    }
}
