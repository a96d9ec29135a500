//! Leases: whether the owner of keys may serve them right now.
//!
//! The log names the owner of each slice; a lease says whether that owner may serve *now*. Each
//! holder has a witness set, named in the log, of up to [`WITNESSES_MAX`] ordinary nodes in several
//! failure domains. The holder sends a renewal datagram every [`RENEW_INTERVAL`]. Its lease is
//! valid while a majority of the set has acknowledged a renewal that was *sent* less than
//! [`LEASE_DURATION`] − [`EXPIRY_MARGIN`] ago on the holder's clock. A renewal writes neither to a
//! disk nor to the log, so owners keep serving during an outage of the log. The design follows
//! PaxosLease (Trencseni, Gazso, Reinhardt, 2012).
//!
//! A takeover needs three steps: a majority of the set promises never to acknowledge that holder
//! again, [`LEASE_DURATION`] passes since the last acknowledgement of each of them, and a record
//! that names the set's version is accepted by the log. It is safe because any two majorities of
//! one set share a witness. That argument depends on these rules:
//!
//! * A witness answers only for the incarnation that the set lists. One that restarts loses its
//!   state, so it acknowledges for no set that lists its previous incarnation. It may promise on
//!   behalf of that incarnation, which has ended and cannot acknowledge any more ([`witness`]).
//! * Only the holder changes its set. From before it sends the record of a change until it knows
//!   whether the record was accepted, it needs a majority of both sets ([`holder`]).
//! * The record of a takeover names the version of the set that promised; it is ignored if the
//!   set has a newer version by then.
//! * A promise is final for the incarnation, whether or not the takeover succeeds ([`witness`]).
//! * The lease counts from the time at which the acknowledged renewal was sent ([`holder`]).
//! * A witness acknowledges only holders that are members according to its own copy of the state.
//!
//! This module does no I/O: time and messages are arguments. [`clock`] explains which clock is
//! used.

pub mod clock;
pub mod holder;
pub mod message;
pub mod set;
pub mod takeover;
pub mod witness;

use std::time::Duration;

/// Time for which an acknowledgement binds the witness that gave it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// How much earlier than its witnesses a holder treats its lease as expired. Covers the drift
/// between two clocks over one lease and the time to cancel requests in flight.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// Time between two renewals of a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a renewal after which a witness starts or supports a takeover.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Additional time that each witness waits, compared with the one before it in the set, before it
/// starts a takeover itself.
pub const TAKEOVER_STAGGER: Duration = Duration::from_millis(100);
/// Maximum size of a witness set.
pub const WITNESSES_MAX: usize = 5;

/// The smallest number that is more than half of `n`.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}
