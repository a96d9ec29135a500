//! The append-only log, the only durable storage, and this process's copy of the state built from
//! it.
//!
//! [`client`] is the interface to the log service and [`http`] implements its protocol. [`replica`]
//! holds the state, tells whether it is current, and reports to authors whether their records were
//! applied. [`follow`] keeps it up to date from the log, or from other nodes while the log is down.
//! [`snapshot`] encodes the state as records, so that it can be written to the log again before its
//! retention time ends.

pub(crate) mod client;
pub(crate) mod follow;
pub(crate) mod http;
pub mod replica;
pub mod snapshot;
