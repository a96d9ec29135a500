//! The socket for datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::datagram::Datagram;
use super::node::Node;
use crate::net::datagram::{self, DATAGRAM_MAX};

/// Pause after a failure to receive, so that a broken socket does not spin.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buffer = [0; DATAGRAM_MAX];
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
    fn handle_datagram(&self, datagram: Datagram) -> Option<Datagram> {
        match datagram {
            Datagram::Lease(message) => self.answer(message).map(Datagram::Lease),
            Datagram::News(news) => {
                if !self.take_news(&news) {
                    self.hurry();
                }
                None
            }
            Datagram::Orders { next } => {
                self.orders_published.send_modify(|told| *told = next.max(*told));
                None
            }
            Datagram::HowBusy { question, work } => self.tell_busy(question, work),
            Datagram::Busy { question, server, work, slots } => {
                self.told_busy(question, &server, work, slots);
                None
            }
        }
    }
}
