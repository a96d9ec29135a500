//! Integration tests, one file for each guarantee or feature. Those that use
//! `kelpwind_test_support::cluster` run real processes of the program.

mod adapter;
mod bad_input;
mod charts;
mod command_line;
mod config;
mod connection;
mod decisions;
mod deduplication;
mod drains;
mod durability;
mod endless_answers;
mod exclusive_servers;
mod fault_sequences;
mod freshness;
mod grant_sessions;
mod held_ranges;
mod lease_model;
mod malformed_input;
mod ownership;
mod placing;
mod pool;
mod quarantine;
mod queue;
mod rate_limit;
mod report_exchanges;
mod request_flow;
mod server_runs;
mod silent_connections;
mod stale_configuration;
mod state_machine;
mod statements;
mod store_client;
mod support;
mod table;
mod table_eras;
