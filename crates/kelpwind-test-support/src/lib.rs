//! Test support: starts the program's processes, sends HTTP requests to them, and checks the
//! execution histories of the backend servers.

pub mod cluster;
pub mod history;
pub mod http;
pub mod process;
pub mod workload;
