//! Learns from other nodes' renewals that they have read further in the log, and asks them for the
//! records when the log itself does not bring them.
//!
//! Each renewal and acknowledgement carries its sender's offset. Holders and witnesses are drawn at
//! random, so what one node has read spreads to all within a few renewals, whether the log is down,
//! has gone silent for some, or is slow.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{Node, peers};
use crate::core::ids::Offset;
use crate::lease::message::IncarnationId;

/// Time that the log is given to bring a record that another node has read.
const LOG_TIME: Duration = Duration::from_millis(150);

/// The node that has read furthest, as its datagrams say.
#[derive(Debug)]
pub struct Ahead {
    furthest: watch::Sender<(Offset, Option<IncarnationId>)>,
}

impl Default for Ahead {
    fn default() -> Ahead {
        Ahead { furthest: watch::Sender::new((Offset(0), None)) }
    }
}

impl Ahead {
    /// Notes how far another node has read.
    pub fn note(&self, node: IncarnationId, next: Offset) {
        self.furthest.send_if_modified(|known| {
            let further = next > known.0;
            if further {
                *known = (next, Some(node));
            }
            further
        });
    }
}

/// Asks nodes that have read further, for as long as the process runs.
pub async fn catch_up(node: Arc<Node>) {
    let mut furthest = node.ahead.furthest.subscribe();
    loop {
        let (offset, tag) = *furthest.borrow_and_update();
        let next = { node.replica.state().next };
        // A node that has read nothing yet loads the whole state by itself.
        if offset <= next || next == Offset(0) {
            if furthest.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::time::sleep(LOG_TIME).await;
        let addr = tag.and_then(|t| node.directory.read().addrs.get(&t).copied());
        let next = { node.replica.state().next };
        if offset <= next {
            continue;
        }
        if let Some(addr) = addr {
            peers::ask_for_records(addr, next).await.apply_to(&node.replica);
        }
    }
}
