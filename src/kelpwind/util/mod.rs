//! Small helpers without knowledge of the domain.

pub mod error;
pub mod logging;
pub(crate) mod registry;
pub(crate) mod serde_duration;
pub mod suggest;
pub mod text_table;
pub(crate) mod timer;
