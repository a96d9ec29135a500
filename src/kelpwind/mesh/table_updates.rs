//! Notifications between nodes about new records in the store, so that each node needs to read the
//! store less often.

use std::net::SocketAddr;
use std::rc::Rc;
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
/// Most members that are told of every change of the table. With more of them a node that writes would
/// spend more on datagrams than the others on reading the store; then only those that a change
/// concerns are told.
const INFORMED_MEMBERS_MAX: usize = 300;
/// Time to wait for records that are missing between the end of the table and those that another node
/// has passed on, before the store is read. A node that is limited to a tenth of a core may be late by
/// most of a tenth of a second with its own datagrams.
const MISSING_RECORDS_WAIT: Duration = Duration::from_millis(80);
/// Maximum size of the records in a datagram, which leaves room for its other fields.
const RECORDS_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - 256;

impl Node {
    /// Sends other nodes records that concern them, unless all members are told of every change.
    pub async fn notify_concerned(
        &self,
        nodes: impl IntoIterator<Item = NodeId>,
        update: &TableUpdate,
    ) {
        if !self.informs_all_members() {
            self.send_table_update(nodes, update).await;
        }
    }

    /// Whether all members are told of every change of the table.
    pub fn informs_all_members(&self) -> bool {
        self.table.borrow().members.len() <= INFORMED_MEMBERS_MAX
    }

    /// Sends other nodes records of the table, in as many datagrams as they need.
    async fn send_table_update(
        &self,
        nodes: impl IntoIterator<Item = NodeId>,
        update: &TableUpdate,
    ) {
        let datagrams: Vec<Datagram> =
            split_update(update).into_iter().map(Datagram::TableUpdate).collect();
        for node in nodes {
            let addr = self.table.borrow().members.get(&node).map(|m| m.addr);
            let Some(addr) = addr else { continue };
            for datagram in &datagrams {
                self.send_datagram(addr, datagram).await;
            }
        }
    }

    /// Applies records of an update if they start where this node has read to, and keeps them for later
    /// if records before them are missing. Returns false if the update ends beyond what this node
    /// knows.
    pub fn apply_table_update(&self, update: &TableUpdate) -> bool {
        let TableUpdate { next, batch } = update;
        let (read_to, loaded) = self.followed_position();
        let start = Position { offset: batch.start_offset(next.offset), ..*next };
        if batch.records.is_empty() || !loaded {
            return read_to >= *next;
        }
        if start > read_to && start.era == read_to.era {
            self.pending_batches.borrow_mut().insert(*next, batch.clone());
        } else if start == read_to {
            self.apply_batch(*next, batch);
            self.apply_pending();
        }
        self.followed_position().0 >= *next
    }

    /// Applies the batches kept for which no records are missing any more.
    fn apply_pending(&self) {
        loop {
            let end = self.followed_position().0;
            let Some((next, batch)) = self.pending_batches.borrow_mut().take(end) else { return };
            self.apply_batch(next, &batch);
        }
    }

    /// Applies a batch that begins at the end of the table.
    fn apply_batch(&self, next: Position, batch: &WriteBatch) {
        self.apply_table_records(&batch.records_before(next.offset), false, next.offset);
    }

    /// Handles records that another node passes on. Reads the table if records before them stay missing.
    pub fn receive_table_update(self: &Rc<Self>, update: &TableUpdate) {
        if self.apply_table_update(update) {
            return;
        }
        if !self.informs_all_members() {
            self.request_table_read();
        } else if !self.awaiting_records.replace(true) {
            let (node, next) = (self.clone(), update.next);
            tokio::task::spawn_local(async move {
                sleep(MISSING_RECORDS_WAIT).await;
                node.awaiting_records.set(false);
                node.apply_pending();
                let behind = !node.pending_batches.borrow().is_empty();
                if behind || node.followed_position().0 < next {
                    node.request_table_read();
                }
            });
        }
    }

    /// Sends all other members records of the table.
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

/// Splits an update into parts that fit into a datagram each. A record that fits into none is left out,
/// and receivers read it from the store.
fn split_update(update: &TableUpdate) -> Vec<TableUpdate> {
    let mut parts = Vec::new();
    let mut records = Vec::new();
    let mut size = 0;
    let mut offset = update.batch.start_offset(update.next.offset);
    let end = |offset| Position { offset, ..update.next };
    let part = |records: &mut Vec<_>, offset| TableUpdate {
        next: end(offset),
        batch: WriteBatch { records: std::mem::take(records) },
    };
    for record in &update.batch.records {
        let added = encoded_size(record);
        if size + added > RECORDS_BYTES_MAX && !records.is_empty() {
            parts.push(part(&mut records, offset));
            size = 0;
        }
        offset = offset.next();
        if added > RECORDS_BYTES_MAX {
            parts.push(part(&mut records, offset));
            continue;
        }
        size += added;
        records.push(record.clone());
    }
    if !records.is_empty() {
        parts.push(part(&mut records, offset));
    }
    parts
}

/// Approximate size of a record in a datagram, in bytes.
fn encoded_size((key, value): &(String, Option<Bytes>)) -> usize {
    // Lengths and tags of the encoding.
    const FRAMING_BYTES: usize = 8;
    key.len() + value.as_ref().map_or(0, Bytes::len) + FRAMING_BYTES
}
