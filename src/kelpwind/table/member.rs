//! What a node says of itself and of the backend server beside it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Count, DomainName, Holder, NodeId, ServiceName, Version};
use crate::core::record::Peer;

/// One life of a backend server. A server that starts again is another life, even under the same
/// name: it holds no keys and knows nothing of before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instance {
    /// Name the server gives itself.
    pub id: String,
    /// When it started, in milliseconds since the epoch on its own clock.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// The backend server beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its life.
    #[serde(rename = "life")]
    pub instance: Instance,
    /// Requests it runs at once.
    pub slots: Count,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// A node and its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node in its incarnation.
    pub holder: Holder,
    /// Address for other nodes, TCP and UDP.
    pub addr: SocketAddr,
    /// Failure domain it stands in.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: String,
    /// Service of its backend server.
    pub service: ServiceName,
    /// The backend server; `None` while none has announced itself.
    pub server: Option<Server>,
    /// Whether the node itself is about to stop.
    pub stopping: bool,
    /// Nodes that witness its lease.
    pub witnesses: Vec<Peer>,
    /// Version of the witness set; rises by one with each change of the set.
    pub version: Version,
}

/// A holder of keys and its witness set, as one of its witnesses sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedHolder {
    /// The holder.
    pub holder: Holder,
    /// Version of its witness set.
    pub version: Version,
    /// The set.
    pub set: Vec<Peer>,
    /// Place of this node in the set.
    pub rank: u32,
}

impl Member {
    /// Whether its backend server may get new work, as far as the node itself says.
    pub fn takes_work(&self) -> bool {
        !self.stopping && self.server.as_ref().is_some_and(|s| !s.draining)
    }

    /// The life of its backend server.
    pub fn instance(&self) -> Option<&Instance> {
        self.server.as_ref().map(|s| &s.instance)
    }

    /// The member as one of its witnesses sees it; `None` when `node` is no witness.
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
