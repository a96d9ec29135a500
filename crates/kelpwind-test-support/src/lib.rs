//! Test support: runs the program's processes, speaks HTTP to them, and checks histories.

pub mod cluster;
pub mod history;
pub mod http;
pub mod process;
pub mod workload;
