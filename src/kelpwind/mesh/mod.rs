//! A node on a platform: its sockets, tasks and timers. The rules that they follow are in
//! [`crate::lease`], [`crate::place`], [`crate::table`], [`crate::gate::queue`] and
//! [`crate::route::least_cost`], which do no I/O.
//!
//! Each host runs a backend server and one node beside it. Callers on the host, including the
//! server itself, send their requests to the node's [`entry`]. The entry chooses a target
//! ([`selection`]) and sends the request over a [`link`] to the [`gate`] beside that target. Only
//! the gate sends requests to the server.
//!
//! * [`platform_api`]: the interface to the platform, as plain structs of functions.
//! * [`node`]: the state of the node, which its tasks share.
//! * [`store_watch`] and [`orders_reader`] read the store, [`store_era`] checks the era of its
//!   answers, [`orders`] applies what operators publish, [`table_updates`] passes table changes
//!   between nodes to save reads, and [`commit`] writes to the table.
//! * [`restoration`]: how ownership passes into a new era of the store.
//! * [`reports`] and [`reattach`]: the backend server's reports and the node's own record.
//! * [`lease`], [`takeover`], [`grants`], [`plan`], [`balance`], [`moves`] and [`held_ranges`]:
//!   which node owns which keys, and until when.
//! * [`report_grants`] and [`report_exchanges`]: grants in the answers to the server's reports.
//! * [`holds`]: until when a backend server here may hold keys, whoever owns them.
//! * [`statements`] and [`server_state`]: what backend servers state of themselves in their answers.
//! * [`server_exits`]: which requests backend servers were at work on when their processes ended.
//! * [`quarantine`]: keeps requests away from servers that end when they run them.
//! * [`selection`]: the choice among the targets of a service.
//! * [`tenants`]: whose request it is, and whether the tenant's quota allows it.
//! * [`request_state`]: attempts and retries of one request at the entry.
//! * [`frame`], [`send_queue`], [`serve`], [`datagram`] and [`udp`]: connections and datagrams
//!   between nodes.
//! * [`send_order`] and [`kept_replies`]: what a connection sends next, and which replies are dropped
//!   when memory is short. They do no I/O.
//! * [`http`], [`connection`] and [`metrics`]: the node's HTTP servers and its metrics.
//! * [`request_body`] and [`eviction`]: memory for callers' bodies and answers, and who loses it.
//! * [`start`]: start, reload and graceful shutdown.

pub(crate) mod balance;
pub(crate) mod commit;
pub(crate) mod connection;
pub(crate) mod datagram;
pub(crate) mod entry;
pub(crate) mod eviction;
pub(crate) mod frame;
pub(crate) mod gate;
pub(crate) mod grants;
pub mod held_ranges;
pub mod holds;
pub(crate) mod http;
pub mod kept_replies;
pub(crate) mod lease;
pub(crate) mod link;
pub(crate) mod metrics;
pub(crate) mod moves;
pub(crate) mod node;
pub(crate) mod orders;
pub(crate) mod orders_reader;
pub(crate) mod plan;
pub mod platform_api;
pub(crate) mod quarantine;
pub(crate) mod reattach;
pub mod report_exchanges;
pub(crate) mod report_grants;
pub(crate) mod reports;
pub(crate) mod request_body;
pub(crate) mod request_state;
pub(crate) mod restoration;
pub(crate) mod selection;
pub mod send_order;
pub(crate) mod send_queue;
pub(crate) mod serve;
pub(crate) mod server_exits;
pub(crate) mod server_state;
pub(crate) mod start;
pub mod statements;
pub(crate) mod store_era;
pub(crate) mod store_watch;
pub(crate) mod table_updates;
pub(crate) mod takeover;
pub(crate) mod tenants;
pub(crate) mod udp;
