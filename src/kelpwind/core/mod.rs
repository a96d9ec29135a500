//! Domain types that the other modules build on: identifiers, result codes, configuration objects,
//! routes, tenants, log records, the replicated state and its freshness, and state charts. This module does
//! no I/O and reads no clock.

pub mod call;
pub mod chart;
pub mod codes;
pub mod config;
pub mod digest;
pub mod freshness;
pub mod ids;
mod packed_slices;
pub mod record;
pub mod routes;
pub mod state;
pub mod tenants;
