//! The record that each node writes about itself and the backend server beside it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Count, DomainName, Holder, NodeId, ServiceName, Version};
use crate::core::record::Peer;

/// One run of a backend server's process. After a restart it is another instance, even under the
/// same name: it holds no keys and has no memory of earlier requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instance {
    /// Name that the server reports for itself.
    pub id: String,
    /// Start time, in milliseconds since the Unix epoch on the server's own clock; 0 if not
    /// reported.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// The backend server beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The instance that runs.
    #[serde(rename = "life")]
    pub instance: Instance,
    /// Number of requests it can run concurrently.
    pub slots: Count,
    /// Whether it has announced that it will stop.
    pub draining: bool,
}

/// The record of a node and its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node and its incarnation.
    pub holder: Holder,
    /// Address for requests (TCP) and datagrams (UDP) from other nodes.
    pub addr: SocketAddr,
    /// Failure domain that the node belongs to.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: String,
    /// Service of its backend server.
    pub service: ServiceName,
    /// The backend server; `None` until one has reported to the node.
    pub server: Option<Server>,
    /// Whether the node itself is about to stop.
    pub stopping: bool,
    /// Witness set of its lease.
    pub witnesses: Vec<Peer>,
    /// Version of the witness set; each change of the set adds one.
    pub version: Version,
    /// How much longer than its lease the node's grants to its server may last, in milliseconds. Does
    /// not change within an incarnation. Who takes over from the node waits for as much longer.
    #[serde(default)]
    pub excess_ms: u64,
}

/// A holder of keys and its witness set, as one of its witnesses sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedHolder {
    /// The holder.
    pub holder: Holder,
    /// Version of its witness set.
    pub version: Version,
    /// The witness set.
    pub set: Vec<Peer>,
    /// Index of the witness in the set.
    pub rank: u32,
}

/// Longest time for which a record may say that grants outlast a lease, in milliseconds.
const EXCESS_MS_MAX: u64 = 60_000;

impl Member {
    /// Whether its address and its times can be those of a node.
    pub(super) fn is_plausible(&self) -> bool {
        self.addr.port() != 0 && self.excess_ms <= EXCESS_MS_MAX
    }

    /// Whether its backend server may get new requests and keys according to this record.
    pub fn takes_work(&self) -> bool {
        !self.stopping && self.server.as_ref().is_some_and(|s| !s.draining)
    }

    /// Whether others can take over from it when it is lost.
    pub fn has_witnesses(&self) -> bool {
        !self.witnesses.is_empty()
    }

    /// How much longer than its lease the node's grants to its server may last.
    pub fn grant_excess(&self) -> Duration {
        Duration::from_millis(self.excess_ms)
    }

    /// The instance of its backend server.
    pub fn instance(&self) -> Option<&Instance> {
        self.server.as_ref().map(|s| &s.instance)
    }

    /// The member as its witness `node` sees it; `None` if `node` is not one of its witnesses.
    pub fn watched_by(&self, node: &NodeId) -> Option<WatchedHolder> {
        let rank = self.witnesses.iter().position(|p| p.holder.node == *node)?;
        Some(WatchedHolder {
            holder: self.holder.clone(),
            version: self.version,
            set: self.witnesses.clone(),
            rank: rank as u32,
        })
    }
}
