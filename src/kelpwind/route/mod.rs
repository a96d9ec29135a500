//! The entry: takes a caller's request at any node, finds its target, and answers truly.
//!
//! [`request`] reads what the caller sent, [`entry`] tries targets until there is a final answer,
//! [`picker`] chooses among equal targets, and [`wire`] carries a request to another node's gate.
//! Only the entry retries: a request that certainly did not run may go to another target, one whose
//! outcome is unknown only if its policy says that it is idempotent.

pub mod availability;
pub mod budget;
pub(crate) mod entry;
pub mod least_cost;
pub mod picker;
pub mod quantile;
pub(crate) mod request;
pub mod retry_after;
pub mod round_robin;
pub(crate) mod stats;
pub(crate) mod wire;
