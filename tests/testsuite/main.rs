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
mod lasting;
mod lease_model;
mod malformed_input;
mod once;
mod ownership;
mod path;
mod placing;
mod queue;
mod silent;
mod state_machine;
mod support;
mod table;
mod together;
