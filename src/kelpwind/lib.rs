//! The library behind the `kelpwind` program: a router for servers that own keys exclusively.
//!
//! # Map
//!
//! * [`core`]: domain types, configuration, log records, the fold and state charts. Pure.
//! * [`lease`]: who may serve: holders, witnesses and takeovers. Pure.
//! * [`place`]: which slices go to which owner. Pure.
//! * [`log`]: the append-only log: client, follower, snapshots.
//! * [`route`]: the entry: reads a caller's request, chooses a target, retries, answers.
//! * [`gate`]: the only way to the backend server beside this node.
//! * [`net`]: connection pools, datagrams, HTTP and calls between processes.
//! * [`node`]: one running node: the parts above with their sockets and tasks.
//! * [`ops`]: one file for each thing an operator does.
//! * [`util`]: small helpers.
//!
//! Files depend downwards in the order `ops`, `node`, `route`, `gate`, `log`, `net`, `place`,
//! `lease`, `core`, `util`.
//!
//! # What is public
//!
//! `ops` for programs; the domain types in `core`; and the pure parts that tests and measurements
//! drive by themselves: `lease`, `place`, `log::snapshot`, `net::{datagram, pool}`,
//! `route::{budget, picker, quantile}`, `gate::limiter` and `node::{lifecycle, settings}`. All else
//! is the crate's own.

pub mod core;
pub mod gate;
pub mod lease;
pub mod log;
pub mod mesh;
pub mod net;
pub mod node;
pub mod ops;
pub mod place;
#[path = "../../platform/mod.rs"]
pub mod platform;
pub mod route;
pub mod table;
pub mod util;
