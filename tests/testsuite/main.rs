//! Integration tests, one file a promise or feature. Those that say so run the program's own
//! processes.

mod bad_input;
mod charts;
mod command_line;
mod config;
mod decisions;
mod drains;
mod fold;
mod lasting;
mod lease_model;
mod nonsense;
mod once;
mod ownership;
mod path;
mod silent;
mod support;
mod together;
