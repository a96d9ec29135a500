//! Bytes that no node sends, at the address for other nodes: they end no process and delay no request.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use super::platform::fleet::Fleet;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Port for other nodes.
const PEER_PORT: u16 = 7620;

/// Some bytes: drawn, all alike, or counting up, so that lengths in them are small, huge or plausible.
fn draw(random: &mut Rng) -> Vec<u8> {
    let size = [0, 1, 4, 30, 300, 1400][random.usize(..6)];
    match random.u32(..4) {
        0 => vec![0; size],
        1 => vec![u8::MAX; size],
        2 => (0..size).map(|i| i as u8).collect(),
        _ => (0..size).map(|_| random.u8(..)).collect(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_of_other_nodes_end_no_process() {
    let mut fleet = Fleet::start(&[("books", 3)], SERVICE_TIME).await;
    let mut random = Rng::with_seed(5);
    let addrs: Vec<_> =
        fleet.hosts.iter().map(|h| SocketAddr::new(h.ip.into(), PEER_PORT)).collect();
    let socket = UdpSocket::bind(SocketAddr::new(fleet.hosts[0].ip.into(), 0)).await.unwrap();
    for round in 0..300_usize {
        let addr = addrs[round % addrs.len()];
        socket.send_to(&draw(&mut random), addr).await.unwrap();
        if let Ok(mut stream) = TcpStream::connect(addr).await {
            // The node may close the connection at once.
            let _ = stream.write_all(&draw(&mut random)).await;
        }
        if round % 10 == 0 {
            let result = fleet.call(round % 3, "books", random.u16(..), false).await;
            assert_eq!(result.status, 200, "round {round}: {result:?}");
        }
    }
    until_all_served(&fleet, 0).await;
    for host in &mut fleet.hosts {
        assert!(host.node.as_mut().unwrap().is_running(), "a node has ended");
    }
    assert_no_violations(&fleet);
}
