//! The socket for datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::datagram::Datagram;
use super::node::Node;
use crate::net::datagram::{self, DATAGRAM_BYTES_MAX};

/// Pause after a failure to receive, so that a broken socket does not spin.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let (size, from) = match node.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                spdlog::warn!("failed to receive a datagram: {e}");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match datagram::decode(&buffer[..size]) {
            Ok(datagram) => {
                if let Some(answer) = node.take_datagram(datagram) {
                    node.send_datagram(from, &answer).await;
                }
            }
            Err(e) => spdlog::warn!("a datagram could not be read: {e}"),
        }
    }
}

impl Node {
    /// Sends a datagram; one that is lost is made up for by the next round.
    pub async fn send_datagram(&self, addr: SocketAddr, datagram: &Datagram) {
        if let Err(e) = self.udp.send_to(&datagram::encode(datagram), addr).await {
            spdlog::debug!("a datagram was not sent: {e}");
        }
    }

    /// Takes a datagram, and returns the answer to whoever sent it.
    fn take_datagram(&self, datagram: Datagram) -> Option<Datagram> {
        match datagram {
            Datagram::Lease(message) => self.handle_lease_message(message).map(Datagram::Lease),
            Datagram::TableUpdate(news) => {
                if !self.apply_table_update(&news) {
                    self.request_table_read();
                }
                None
            }
            Datagram::OrdersPublished { next } => {
                self.orders_published.send_modify(|told| *told = next.max(*told));
                None
            }
            Datagram::LoadQuery { query, work } => self.answer_load_query(query, work),
            Datagram::LoadReply { query, server, work, slots } => {
                self.record_load_reply(query, &server, work, slots);
                None
            }
        }
    }
}
