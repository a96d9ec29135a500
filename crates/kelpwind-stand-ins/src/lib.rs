//! Stand-ins for what surrounds the router: the platform's log service, backend servers, and a
//! proxy that injects faults between processes.
//!
//! They run as tasks of any process (`kelpwind dev`, tests) or as processes of their own
//! (`kelpwind stand-in ...`). Each is told its faults over HTTP at `/control`. They hold everything
//! in memory and are no part of a deployment.

pub mod backend;
pub mod cold_start;
pub mod log;
pub mod proxy;
pub mod server;
