//! The library behind the `kelpwind` program, a router for backend servers that own keys
//! exclusively.
//!
//! A node runs beside each backend server. It accepts requests from callers, finds the target that
//! owns a request's key, and is the only process that passes requests on to the server beside it.
//! There are two kinds of node: [`node`] keeps the shared state in an append-only log, [`mesh`] in
//! the keyed records of a platform's store.
//!
//! # Modules
//!
//! Modules marked "pure" do no I/O.
//!
//! * [`core`]: domain types, configuration, log records, the state built from them, and state
//!   charts. Pure.
//! * [`lease`]: which node may serve its keys: holders, witnesses and takeovers. Pure.
//! * [`table`]: members and owners of keys, from the records of a platform's store. Pure.
//! * [`place`]: which slices and keys go to which owner. Pure.
//! * [`log`]: the append-only log: client, follower, snapshots, and the copy of the state.
//! * [`route`]: the entry: reads a caller's request, chooses a target, retries and responds.
//! * [`gate`]: the only way to the backend server beside a node: admission, queue and
//!   deduplication.
//! * [`net`]: HTTP connections, HTTP listeners and datagrams.
//! * [`node`]: a node that uses the log: the modules above with their sockets and tasks.
//! * [`mesh`]: a node on a platform, with its sockets and tasks, and the interface to the platform.
//! * [`platform`]: the adapter that translates a platform's protocols and settings.
//! * [`ops`]: the operations behind the program's commands.
//! * [`util`]: general-purpose helpers.
//!
//! Modules depend only on later ones in the order `ops`, `node`, `platform`, `mesh`, `route`,
//! `gate`, `log`, `net`, `place`, `table`, `lease`, `core`, `util`; the one exception is that
//! errors in `util` hold the result codes of `core`.
//!
//! # What is public
//!
//! `ops`, `platform` and `util` serve the program. The other public items are the domain types in
//! `core` and the parts that tests and benchmarks call directly: `lease`, `table`, `place`,
//! `log::{replica, snapshot}`, `net::{datagram, http1, memory, pacing, pool, transit}`,
//! `route::{allotment, availability, budget, least_cost, picker, quantile, quarantine, retry_after, round_robin}`,
//! `gate::{bulk, call_tree, cold_start, cost, grant_time, limiter, queue, rate_limit, server_runs, share}`,
//! `mesh::{held_ranges, holds, kept_replies, platform_api, report_exchanges, send_order, statements}` and `node::{lifecycle, settings}`. Everything else is internal to the crate.

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
