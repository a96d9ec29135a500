//! Notifications between nodes about new records in the store, so that each node needs to read the
//! store less often.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::time::sleep;

use super::datagram::{Datagram, TableUpdate};
use super::node::Node;
use super::orders::OrdersProgress;
use crate::core::ids::{NodeId, Offset, Position};
use crate::net::datagram::DATAGRAM_BYTES_MAX;
use crate::table::WriteBatch;

/// Time to wait, after another node announced newer orders, for the answer to this node's own read
/// to begin.
const ORDERS_READ_WAIT: Duration = Duration::from_millis(300);
/// Maximum size of the records in a datagram, which leaves room for its other fields.
const RECORDS_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - 256;

impl Node {
    /// Sends other nodes records that concern them. Records too large for a datagram are left out;
    /// the receivers then read them from the store.
    pub async fn send_table_update(
        &self,
        nodes: impl IntoIterator<Item = NodeId>,
        update: &TableUpdate,
    ) {
        let size: usize = update.batch.records.iter().map(encoded_size).sum();
        let batch =
            if size <= RECORDS_BYTES_MAX { update.batch.clone() } else { WriteBatch::default() };
        let datagram = Datagram::TableUpdate(TableUpdate { next: update.next, batch });
        for node in nodes {
            let addr = self.table.borrow().members.get(&node).map(|m| m.addr);
            if let Some(addr) = addr {
                self.send_datagram(addr, &datagram).await;
            }
        }
    }

    /// Applies records of an update if they start where this node has read to. Returns false if the
    /// update ends beyond what this node knows, so that it must read the table.
    pub fn apply_table_update(&self, update: &TableUpdate) -> bool {
        let TableUpdate { next, batch } = update;
        let (read_to, loaded) = self.followed_position();
        let start = Position { offset: batch.start_offset(next.offset), ..*next };
        if start == read_to && !batch.records.is_empty() && loaded {
            self.apply_table_records(&batch.records_before(next.offset), false, next.offset);
        }
        self.followed_position().0 >= *next
    }

    /// Sends all other members a record of this node.
    pub async fn notify_members(&self, update: &TableUpdate) {
        let me = self.name();
        let others: Vec<NodeId> =
            self.table.borrow().members.keys().filter(|name| **name != me).cloned().collect();
        self.send_table_update(others, update).await;
    }

    /// Notifies all other nodes that operators have published orders up to `next`.
    pub async fn notify_orders_published(&self, next: Offset) {
        let next = Position { era: self.store_era.known(), offset: next };
        self.send_to_members(&Datagram::OrdersPublished { next }).await;
    }

    /// Sends all other members a datagram.
    pub async fn send_to_members(&self, datagram: &Datagram) {
        let me = self.name();
        let others: Vec<SocketAddr> = {
            let table = self.table.borrow();
            let others = table.members.values().filter(|m| m.holder.node != me);
            others.map(|m| m.addr).collect()
        };
        for addr in others {
            self.send_datagram(addr, datagram).await;
        }
    }

    /// Records that another node has read orders up to `next`.
    pub fn record_announced_orders(&self, next: Position) {
        if next.era == self.store_era.known() {
            let announce =
                |o: &mut OrdersProgress| o.freshness.announce(next.offset, Instant::now());
            self.orders.send_modify(announce);
        } else if let Some(era) = next.era {
            self.record_announced_era(era);
        }
    }

    /// Returns [`ORDERS_READ_WAIT`] after another node announced orders from offset `from` on.
    pub async fn wait_for_missed_orders(&self, from: Offset) {
        let mut orders = self.orders.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        drop(orders.wait_for(|o| o.freshness.end() > from).await);
        sleep(ORDERS_READ_WAIT).await;
    }
}

/// Approximate size of a record in a datagram, in bytes.
fn encoded_size((key, value): &(String, Option<Bytes>)) -> usize {
    // Lengths and tags of the encoding.
    const FRAMING_BYTES: usize = 8;
    key.len() + value.as_ref().map_or(0, Bytes::len) + FRAMING_BYTES
}
