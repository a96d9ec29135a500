//! Sends and receives the datagrams between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::datagram::Datagram;
use super::node::Node;
use crate::net::datagram::{self, DATAGRAM_BYTES_MAX};

/// Pause after a failed receive, which prevents a busy loop on a broken socket.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let (size, from) = match node.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                spdlog::warn!("failed to receive a datagram: {e}");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match datagram::decode(&buffer[..size]) {
            Ok(datagram) => {
                if let Some(answer) = node.handle_datagram(datagram) {
                    node.send_datagram(from, &answer).await;
                }
            }
            Err(e) => spdlog::warn!("failed to decode a datagram from {from}: {e}"),
        }
    }
}

impl Node {
    /// Sends a datagram without a guarantee of delivery. The next round of its protocol makes up
    /// for a lost one.
    pub async fn send_datagram(&self, addr: SocketAddr, datagram: &Datagram) {
        if let Err(e) = self.udp.send_to(&datagram::encode(datagram), addr).await {
            spdlog::debug!("failed to send a datagram to {addr}: {e}");
        }
    }

    /// Handles a datagram and returns the reply to its sender, if any.
    fn handle_datagram(&self, datagram: Datagram) -> Option<Datagram> {
        match datagram {
            Datagram::Lease(message) => self.handle_lease_message(message).map(Datagram::Lease),
            Datagram::TableUpdate(update) => {
                if !self.apply_table_update(&update) {
                    self.request_table_read();
                }
                None
            }
            Datagram::OrdersPublished { next } => {
                self.record_announced_orders(next);
                None
            }
            Datagram::StoreRestored(era) => {
                self.record_announced_era(era);
                None
            }
            Datagram::Suspects(notices) => {
                self.learn_suspects(notices);
                None
            }
            Datagram::Cleared(cleared) => {
                self.learn_cleared(cleared);
                None
            }
            Datagram::QuotaAsk(ask) => self.answer_quota_ask(&ask).map(Datagram::QuotaReply),
            Datagram::QuotaReply(reply) => {
                self.learn_quota_reply(reply);
                None
            }
            Datagram::LoadQuery { query, work } => self.answer_load_query(query, work),
            Datagram::LoadReply { query, server, work, slots, service_us } => {
                let service_time = Duration::from_micros(service_us.into());
                self.record_load_reply(query, &server, (work, slots), service_time);
                None
            }
        }
    }
}
