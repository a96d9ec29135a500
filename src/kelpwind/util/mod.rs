//! General-purpose helpers that do not depend on the router's domain, except for its result codes.

pub mod error;
pub mod logging;
pub(crate) mod registry;
pub(crate) mod serde_duration;
pub mod suggest;
pub mod supervise;
pub mod text_table;
pub(crate) mod timer;
