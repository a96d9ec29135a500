//! Integration tests, one file a promise or feature. Those that say so run the program's own
//! processes.

mod adapter;
mod bad_input;
mod charts;
mod command_line;
mod config;
mod connection;
mod decisions;
mod drains;
mod durability;
mod fault_sequences;
mod fold;
mod lease_model;
mod nonsense;
mod once;
mod ownership;
mod path;
mod placing;
mod queue;
mod silent_connections;
mod support;
mod table;
