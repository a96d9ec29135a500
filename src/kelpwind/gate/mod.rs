//! The gate: the only way to the backend server beside this node.
//!
//! Because every request to the backend server passes here, the gate knows its true load, however
//! late or misleading the server's own report is. A request is checked in this order: may this node
//! serve it (service, owner, lease), does the server take work (drains), does it bear more
//! ([`admission`], [`limiter`]); then ownership and lease once more, since it may have waited; then
//! it is sent, bounded by its deadline and by the lease's end ([`backend`]).

pub(crate) mod admission;
pub(crate) mod backend;
pub mod cold_start;
pub(crate) mod dedup;
pub mod grant_time;
pub(crate) mod handler;
pub(crate) mod inflight;
pub mod limiter;
pub mod queue;
