//! A node on a platform: the sockets and tasks around the pure parts.
//!
//! Each host runs a backend server and one node beside it. Callers on the host, and the server
//! itself, send their requests to the node's [`entry`]; it chooses a target ([`selection`]) and passes
//! the request over a [`link`] to the [`gate`] beside that target, which alone reaches the server.
//!
//! * [`platform_api`]: what a node needs of its platform, as plain structs of functions.
//! * [`store_watch`]: the store; [`orders`] are in force, [`table_updates`] spare reads, [`commit`] writes to the table.
//! * [`reports`], [`reattach`]: the backend server's reports, and the node's own record.
//! * [`lease`], [`takeover`], [`grants`], [`plan`], [`balance`]: who owns which keys, and until when.
//! * [`start`]: starting, reloading and stopping.

pub(crate) mod balance;
pub(crate) mod commit;
pub(crate) mod datagram;
pub(crate) mod entry;
pub(crate) mod frame;
pub(crate) mod gate;
pub(crate) mod grants;
pub(crate) mod held_ranges;
pub(crate) mod http;
pub(crate) mod lease;
pub(crate) mod link;
pub(crate) mod metrics;
pub(crate) mod moves;
pub(crate) mod node;
pub(crate) mod orders;
pub(crate) mod plan;
pub mod platform_api;
pub(crate) mod reattach;
pub(crate) mod reports;
pub(crate) mod request_state;
pub(crate) mod selection;
pub(crate) mod send_queue;
pub(crate) mod serve;
pub(crate) mod start;
pub(crate) mod store_watch;
pub(crate) mod table_updates;
pub(crate) mod takeover;
pub(crate) mod udp;
