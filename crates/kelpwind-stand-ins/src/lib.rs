//! Stand-ins for the services around the router: the platform's log service, backend servers, and
//! a proxy that injects faults between processes.
//!
//! They run as tasks of any process (`kelpwind dev`, tests) or as separate processes
//! (`kelpwind stand-in ...`). Faults are set over HTTP at `/control`. All state is in memory; the
//! stand-ins are not part of a deployment.

pub mod backend;
pub mod cold_start;
pub mod log;
pub mod proxy;
pub mod server;
