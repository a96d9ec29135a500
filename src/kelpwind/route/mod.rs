//! The entry: accepts a caller's request at any node, routes it to a target and returns the answer.
//!
//! [`request`] reads and resolves the request, [`entry`] tries targets until the answer is final,
//! [`picker`] chooses among equivalent targets from the measurements in [`stats`], and [`wire`]
//! carries the request to another node's gate. Only the entry retries: a request that certainly did
//! not run may go to another target. One whose outcome is unknown is sent again only if it is
//! idempotent by its policy, or if its owner deduplicates it by idempotency key.
//!
//! On a platform ([`crate::mesh`]), [`least_cost`] chooses the target, [`round_robin`] the service
//! of a weighted route, [`allotment`] divides quotas of tenants among nodes, [`availability`] and [`retry_after`] handle refusals, [`answer_times`] decides what a node that stops still takes, and [`quarantine`] keeps
//! requests away from servers that end when they run them.

pub mod allotment;
pub mod answer_times;
pub mod availability;
pub mod budget;
pub(crate) mod entry;
pub mod least_cost;
pub mod picker;
pub mod quantile;
pub mod quarantine;
pub(crate) mod request;
pub mod retry_after;
pub mod round_robin;
pub(crate) mod stats;
pub(crate) mod wire;
