//! What nodes tell one another of the store, so that each need not read it as often.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::datagram::{Datagram, TableUpdate};
use super::node::Node;
use crate::core::ids::{NodeId, Offset};
use crate::net::datagram::DATAGRAM_BYTES_MAX;
use crate::table::WriteBatch;

/// Time after others were seen to have newer orders in which the own read may still bring them.
const ORDERS_LAG: Duration = Duration::from_millis(100);
/// Most bytes of records that are told in a datagram.
const NEWS_MAX: usize = DATAGRAM_BYTES_MAX - 256;

impl Node {
    /// Tells other nodes of records that concern them.
    pub async fn send_table_update(
        &self,
        nodes: impl IntoIterator<Item = NodeId>,
        news: &TableUpdate,
    ) {
        let size: usize = news.draft.records.iter().map(size).sum();
        let draft = if size <= NEWS_MAX { news.draft.clone() } else { WriteBatch::default() };
        let datagram = Datagram::TableUpdate(TableUpdate { next: news.next, draft });
        for node in nodes {
            let addr = self.table.borrow().members.get(&node).map(|m| m.addr);
            if let Some(addr) = addr {
                self.send_datagram(addr, &datagram).await;
            }
        }
    }

    /// Takes records that were appended just where this node has read to. Returns false when the table
    /// has more that this node does not know yet.
    pub fn apply_table_update(&self, news: &TableUpdate) -> bool {
        let follows = news.draft.start_offset(news.next) == self.table.borrow().next;
        if follows && !news.draft.records.is_empty() && self.table_offset.borrow().is_some() {
            self.apply_table_records(&news.draft.records_before(news.next), false, news.next);
        }
        self.table.borrow().next >= news.next
    }

    /// Tells all nodes that operators have published something.
    pub async fn notify_orders_published(&self, next: Offset) {
        let me = self.name();
        let others: Vec<SocketAddr> = {
            let table = self.table.borrow();
            let others = table.members.values().filter(|m| m.holder.node != me);
            others.map(|m| m.addr).collect()
        };
        for addr in others {
            self.send_datagram(addr, &Datagram::OrdersPublished { next }).await;
        }
    }

    /// Returns when others have had newer orders than those before `from` for a while.
    pub async fn wait_for_missed_orders(&self, from: Offset) {
        let mut told = self.orders_published.subscribe();
        // An error would mean that the sender is gone, which is part of this node.
        drop(told.wait_for(|told| *told > from).await);
        sleep(ORDERS_LAG).await;
    }
}

/// About as large as a record is in a datagram, in bytes.
fn size((key, value): &(String, Option<Bytes>)) -> usize {
    const FRAMING: usize = 8;
    key.len() + value.as_ref().map_or(0, Bytes::len) + FRAMING
}
