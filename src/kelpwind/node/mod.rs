//! One running node that coordinates through the log service: the sockets and tasks around the
//! pure parts of the crate.
//!
//! [`run`](start::run) opens the listeners and starts the tasks: the follower of the log, the
//! [`leases`] loops (renewals, acknowledgements, takeovers), [`membership`] (join, witness set,
//! leave), the [`planning`] loop, [`handover`] and [`catch_up`], and the servers for callers, other
//! nodes ([`peers`]) and operators ([`admin`]).

pub(crate) mod admin;
pub(crate) mod catch_up;
pub(crate) mod directory;
pub(crate) mod handover;
pub(crate) mod leases;
pub(crate) mod membership;
pub(crate) mod metrics;
pub(crate) mod peers;
pub(crate) mod planning;
pub mod settings;
pub(crate) mod start;
pub(crate) mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::core::chart::{Chart, ChartError, Machine};
use crate::core::ids::Holder;
use crate::core::record::{Body, Record};
use crate::gate::handler::Gate;
use crate::lease::holder::Lease;
use crate::lease::takeover::Takeover;
use crate::lease::witness::Witness;
use crate::log::client::{LogClient, Result};
use crate::log::follow::Health;
use crate::log::replica::{AppendOutcome, Replica};
use crate::net::pool::Pool;
use crate::route::entry::Entry;
use directory::Directory;
use metrics::Metrics;
use settings::Settings;

/// State chart of a node's lifecycle.
const NODE_CHART: &str = include_str!("../../../charts/node.toml");

/// Addresses that a node is bound to, with the ports that the system assigned for port 0, and the
/// address that it advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct NodeAddrs {
    /// For requests of callers.
    pub listen: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peer: SocketAddr,
    /// For operators and the backend server.
    pub admin: SocketAddr,
    /// Peer address under which other nodes reach this one.
    pub advertise: SocketAddr,
}

/// Takeovers in progress, by the incarnation of the silent holder.
pub(crate) type Takeovers =
    std::collections::BTreeMap<crate::lease::message::IncarnationId, Takeover>;

/// One incarnation of a node: its state, shared by all of its tasks.
pub(crate) struct Node {
    pub settings: Settings,
    pub addrs: NodeAddrs,
    /// Name and incarnation of this node.
    pub holder: Holder,
    /// Client of the log service.
    pub log: Arc<LogClient>,
    /// Whether the log service answers.
    pub log_health: watch::Receiver<Health>,
    /// State built from the log.
    pub replica: Arc<Replica>,
    /// The lease of this incarnation; `None` while it is not a member.
    pub lease: Arc<Mutex<Option<Lease>>>,
    /// Acknowledgements and promises given as a witness of other holders.
    pub witness: Mutex<Witness>,
    /// Takeovers in progress.
    pub takeovers: Mutex<Takeovers>,
    /// Members by incarnation, replaced whole each time the state advances.
    pub directory: RwLock<Arc<Directory>>,
    /// The peer that has read furthest in the log.
    pub furthest_peer: catch_up::FurthestPeer,
    /// The only path to the backend server beside this node.
    pub gate: Arc<Gate>,
    /// Routes requests of callers to gates.
    pub entry: Arc<Entry>,
    /// Connections to other nodes, the log service and the backend server.
    pub pool: Arc<Pool>,
    /// Socket for lease datagrams.
    pub udp: Arc<UdpSocket>,
    pub metrics: Arc<Metrics>,
    /// Current state in the lifecycle chart.
    pub lifecycle: Mutex<Machine>,
    /// Set to true when a planned stop begins.
    pub stopping: watch::Sender<bool>,
}

/// A state machine in the initial state of the node's lifecycle chart.
///
/// # Errors
/// The parse error of the chart, which is compiled in from `charts/node.toml`.
pub fn lifecycle() -> std::result::Result<Machine, ChartError> {
    Chart::try_from(NODE_CHART).map(Machine::new)
}

impl Node {
    /// Follows the edge for `event` in the lifecycle chart and logs the transition; false if the
    /// current state has no such edge.
    pub fn fire(&self, event: &str) -> bool {
        let fired = self.lifecycle.lock().fire(event);
        if let Ok((left, reached)) = &fired {
            spdlog::info!("node {}: lifecycle state {left} -> {reached}", self.holder);
        }
        fired.is_ok()
    }

    /// Whether the lifecycle chart is in `state`.
    pub fn in_state(&self, state: &str) -> bool {
        self.lifecycle.lock().state() == state
    }

    /// Appends a record of this node and waits until the replica has applied or rejected it.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`](crate::core::codes::Code::LogUnavailable) when the outcome is not
    /// known within `limit`; the record may still be appended.
    pub async fn append(&self, body: Body, limit: Duration) -> Result<AppendOutcome> {
        self.append_record(&Record::new(&self.holder, body), limit).await
    }

    /// Like [`Node::append`], for a record that was built before.
    pub async fn append_record(&self, record: &Record, limit: Duration) -> Result<AppendOutcome> {
        self.metrics.appends.with_label_values(&[record_kind(&record.body)]).inc();
        self.replica.append(&self.log, record, limit).await
    }

    /// Whether the log service answers.
    pub fn is_log_up(&self) -> bool {
        *self.log_health.borrow() == Health::Up
    }
}

/// Value of the metric label `kind`.
fn record_kind(body: &Body) -> &'static str {
    match body {
        Body::Config { .. } => "config",
        Body::Join(_) => "join",
        Body::Update(_) => "update",
        Body::Leave { .. } => "leave",
        Body::Witnesses { .. } => "witnesses",
        Body::Revoke { .. } => "revoke",
        Body::Assign { .. } => "assign",
        Body::Handover { .. } => "handover",
        Body::Release { .. } => "release",
        Body::Snapshot(_) => "snapshot",
    }
}
