//! The append-only log: the one place where anything lasts.
//!
//! [`client`] is the interface to the platform's service, [`http`] speaks its protocol, [`replica`]
//! holds the folded state of this process and tells authors what became of their records, and
//! [`follow`] keeps it up to date from the log, or from other nodes while the log is down.
//! [`snapshot`] writes the state back into the log before its retention runs out.

pub(crate) mod client;
pub(crate) mod follow;
pub(crate) mod http;
pub(crate) mod replica;
pub mod snapshot;
