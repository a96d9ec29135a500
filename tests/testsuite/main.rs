//! Integration tests, one file a promise or feature. Those that say so run the program's own
//! processes.

mod command_line;
mod config;
mod fold;
mod lasting;
mod lease_model;
mod ownership;
mod path;
mod support;
