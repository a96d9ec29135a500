//! Domain types: names and numbers, result codes, configuration objects, log records, the folded
//! state and state charts. Everything here is pure; nothing opens a socket or reads a clock.

pub mod call;
pub mod chart;
pub mod codes;
pub mod config;
pub mod ids;
mod packed_slices;
pub mod record;
pub mod routes;
pub mod state;
