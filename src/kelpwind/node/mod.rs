//! One running node: the sockets and tasks around the pure parts.
//!
//! [`run`](start::run) opens the listeners and starts the tasks: the follower of the log, the
//! [`leases`] loop (renewals, acknowledgements, takeovers), [`membership`] (join, witness set,
//! leave), the [`planning`] loop, and the listeners for callers, other nodes ([`peers`]) and
//! operators ([`admin`]).

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

/// The chart of a node's life.
const NODE_CHART: &str = include_str!("../../../charts/node.toml");

/// Addresses that the node really listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Addrs {
    /// For callers.
    pub listen: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// For operators and the backend server.
    pub admin: SocketAddr,
    /// What other nodes are told.
    pub advertise: SocketAddr,
}

/// Takeovers under way, by the incarnation of the silent holder.
pub(crate) type Takeovers =
    std::collections::BTreeMap<crate::lease::message::IncarnationId, Takeover>;

/// One node.
pub(crate) struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its addresses.
    pub addrs: Addrs,
    /// Its name and incarnation.
    pub me: Holder,
    /// The log service.
    pub log: Arc<LogClient>,
    /// Whether the log answers.
    pub health: watch::Receiver<Health>,
    /// The folded state.
    pub replica: Arc<Replica>,
    /// Its lease.
    pub lease: Arc<Mutex<Option<Lease>>>,
    /// What it remembers as a witness.
    pub witness: Mutex<Witness>,
    /// Takeovers it has under way.
    pub takeovers: Mutex<Takeovers>,
    /// Members by incarnation.
    pub directory: RwLock<Arc<Directory>>,
    /// How far other nodes have read the log.
    pub ahead: catch_up::Ahead,
    /// Its gate.
    pub gate: Arc<Gate>,
    /// Its entry.
    pub entry: Arc<Entry>,
    /// Connections to other nodes.
    pub pool: Arc<Pool>,
    /// Socket for datagrams.
    pub udp: Arc<UdpSocket>,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// Where it is in its life.
    pub life: Mutex<Machine>,
    /// Turns true when the node begins a planned stop.
    pub stop: watch::Sender<bool>,
}

/// A machine in the first state of the node's chart.
pub fn life() -> std::result::Result<Machine, ChartError> {
    Chart::try_from(NODE_CHART).map(Machine::new)
}

impl Node {
    /// Takes an edge of the life's chart, if there is one, and logs the change.
    pub fn fire(&self, event: &str) -> bool {
        let fired = self.life.lock().fire(event);
        if let Ok((left, reached)) = &fired {
            spdlog::info!("node {}: {left} -> {reached}", self.me);
        }
        fired.is_ok()
    }

    /// The state of the life's chart.
    pub fn is(&self, state: &str) -> bool {
        self.life.lock().state() == state
    }

    /// Appends a record and waits until the fold has met it, or `limit` is over.
    pub async fn append(&self, body: Body, limit: Duration) -> Result<AppendOutcome> {
        self.append_record(&Record::new(&self.me, body), limit).await
    }

    /// Appends a record that was formed before.
    pub async fn append_record(&self, record: &Record, limit: Duration) -> Result<AppendOutcome> {
        self.metrics.appends.with_label_values(&[kind(&record.body)]).inc();
        self.replica.append(&self.log, record, limit).await
    }

    /// Whether the log answers.
    pub fn log_is_up(&self) -> bool {
        *self.health.borrow() == Health::Up
    }
}

fn kind(body: &Body) -> &'static str {
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
