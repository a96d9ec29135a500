//! Leases without a disk and without the log: who may serve the slices that the log grants.
//!
//! The log says who owns a slice; a lease says whether that owner may serve *now*. Each holder has
//! a witness set, named in the log, of up to [`MAX_WITNESSES`] ordinary nodes over several failure
//! domains. The holder renews by datagram every [`RENEW_INTERVAL`]; its lease holds while a majority of the
//! set acknowledged a renewal *sent* less than [`LEASE_DURATION`] − [`EXPIRY_MARGIN`] ago, on its own clock. Nothing
//! is written for a renewal, so an outage of the log stops no owner (the PaxosLease family:
//! Trencseni, Gazso, Reinhardt, 2012).
//!
//! A takeover needs a majority of the set to promise that it will never acknowledge that holder
//! again, then [`LEASE_DURATION`] to pass since the last acknowledgement each of them gave, then a record in
//! the log that names the set's version. Any two majorities of one set share a witness, which is
//! the whole argument. The rules that keep it true:
//!
//! * A witness answers for the incarnation listed in the set. A restarted one remembers nothing, so
//!   it acknowledges for no set that lists its former incarnation; it may promise in the name of
//!   that incarnation, which is dead and so keeps the promise ([`witness`]).
//! * Only the holder changes its set. From before it sends that record until it knows the record's
//!   fate it needs a majority of both sets ([`holder`]).
//! * The record of a takeover names the version of the set that promised; the fold ignores it when
//!   the version has moved.
//! * A promise is final for the incarnation, however the takeover ends ([`witness`]).
//! * The lease counts from the sending of the renewal that was acknowledged ([`holder`]).
//! * A witness acknowledges members only, as its own fold of the log has them.
//!
//! All of it is pure: time and messages come in as arguments. [`clock`] has the rules of time.

pub mod clock;
pub mod holder;
pub mod message;
pub mod set;
pub mod takeover;
pub mod witness;

use std::time::Duration;

/// Time for which a witness's acknowledgement binds it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// How much earlier than its witnesses a holder counts its lease as ended: covers the drift between
/// two clocks over one lease and the time to cancel work in flight.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which a witness starts or supports a takeover.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// How much longer each next witness of a set waits before it starts a takeover itself.
pub const TAKEOVER_STAGGER: Duration = Duration::from_millis(100);
/// Most witnesses of a set.
pub const MAX_WITNESSES: usize = 5;

/// The smallest number that is more than half of `n`.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}
