//! The gate: the only way to the backend server beside this node.
//!
//! Every request to the backend server passes through here, so the gate knows the server's actual
//! load, however late or wrong the server's own reports are.
//!
//! [`handler`] checks a request in this order: whether the server serves the service and accepts
//! work; whether this node owns the key and holds its lease; whether the server has capacity
//! ([`admission`], [`limiter`]); then the first two again, since the request may have waited. Then
//! [`backend`] sends it, bounded by its deadline and the end of the lease. [`dedup`] keeps the
//! outcomes of requests that must run at most once.
//!
//! On a platform ([`crate::mesh`]), admission is decided by [`queue`], [`cold_start`] and
//! [`rate_limit`], that of requests with large answers also by [`bulk`], where kinds of requests of unequal
//! cost share the server also by [`share`] and [`call_tree`], and the duration of key grants by
//! [`grant_time`]. [`server_runs`] tells which
//! requests the server was at work on when its process ended.

pub(crate) mod admission;
pub(crate) mod backend;
pub mod bulk;
pub mod call_tree;
pub mod cold_start;
pub mod cost;
pub(crate) mod dedup;
pub mod grant_time;
pub(crate) mod handler;
pub(crate) mod inflight;
pub mod limiter;
pub mod queue;
pub mod rate_limit;
pub mod server_runs;
pub mod share;
