//! Fetches log records from a peer that has read further, when the log service does not deliver
//! them in time.
//!
//! Each renewal and acknowledgement carries the offset up to which its sender has read the log.
//! Holders and witnesses are paired at random, so a record that one node has read reaches all
//! within a few renewal intervals, even if the log service is down, slow, or unreachable for some
//! nodes.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{Node, peers};
use crate::core::ids::Offset;
use crate::lease::message::IncarnationId;

/// Time for the log service to deliver a record that a peer has read, before that peer is asked.
const LOG_GRACE_PERIOD: Duration = Duration::from_millis(150);

/// The peer that has read furthest in the log, according to its lease datagrams.
#[derive(Debug)]
pub struct FurthestPeer {
    furthest: watch::Sender<(Offset, Option<IncarnationId>)>,
}

impl Default for FurthestPeer {
    fn default() -> FurthestPeer {
        FurthestPeer { furthest: watch::Sender::new((Offset(0), None)) }
    }
}

impl FurthestPeer {
    /// Records that a peer has read the log up to `next`.
    pub fn record(&self, node: IncarnationId, next: Offset) {
        self.furthest.send_if_modified(|known| {
            let advanced = next > known.0;
            if advanced {
                *known = (next, Some(node));
            }
            advanced
        });
    }
}

/// Fetches missing records from the peer that has read furthest. Runs until the node stops.
pub async fn catch_up(node: Arc<Node>) {
    let mut furthest = node.furthest_peer.furthest.subscribe();
    let mut pause = LOG_GRACE_PERIOD;
    loop {
        let (offset, peer) = *furthest.borrow_and_update();
        let next = { node.replica.state().next };
        // A node that has read nothing yet is loaded by the log follower, from a snapshot.
        if offset <= next || next == Offset(0) {
            pause = LOG_GRACE_PERIOD;
            if furthest.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::time::sleep(pause).await;
        let addr = peer.and_then(|p| node.directory.read().addrs.get(&p).copied());
        let next = { node.replica.state().next };
        if offset <= next {
            continue;
        }
        if let Some(addr) = addr {
            peers::fetch_records(&node.pool, addr, next).await.apply_to(&node.replica);
        }
        // A peer forwards a long sequence of records in several answers.
        let advanced = node.replica.state().next > next;
        pause = if advanced { Duration::ZERO } else { LOG_GRACE_PERIOD };
    }
}
