//! Bad input of callers and of the platform: each gets a numbered answer with outcome "not run", and
//! nothing falls over.

use kelpwind_test_support::cluster::Cluster;
use kelpwind_test_support::http::{Request, get, send};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{PROGRAM, THREE, settled};

async fn refused(cluster: &Cluster, ask: &Request<'_>, status: u16, code: &str) {
    let answer = send(cluster.nodes[0].listen, ask).await.unwrap();
    let got = (answer.status, answer.outcome.as_str(), answer.code.as_str());
    assert_eq!(got, (status, "not-run", code), "{ask:?}");
}

#[tokio::test]
async fn callers_get_numbered_refusals() {
    let cluster = settled(&THREE).await;
    let read = |path| Request { method: "GET", path, headers: &[], body: "" };
    refused(&cluster, &read("/"), 404, "101").await;
    refused(&cluster, &read("/histori/ketel-1"), 404, "101").await;
    refused(&cluster, &read("/historie"), 400, "102").await;
    let long = format!("/historie/{}", "k".repeat(300));
    refused(&cluster, &read(&long), 400, "100").await;
    let large = "x".repeat((1 << 20) + 1);
    let write = Request { method: "POST", path: "/historie/ketel-1", headers: &[], body: &large };
    refused(&cluster, &write, 413, "103").await;
    for (header, value, status, code) in [
        ("kelpwind-deadline-ms", "0", 504, "104"),
        ("kelpwind-deadline-ms", "soon", 400, "100"),
        ("idempotency-key", "caf\u{e9}", 400, "100"),
        ("idempotency-key", "two words", 400, "100"),
    ] {
        let headers = [(header, value)];
        let ask =
            Request { method: "POST", path: "/historie/ketel-1", headers: &headers, body: "" };
        refused(&cluster, &ask, status, code).await;
    }
    assert_eq!(cluster.executions(0).await.len(), 0);
}

#[tokio::test]
async fn a_node_without_configuration_says_so() {
    let cluster = Cluster::start(PROGRAM, &THREE).await;
    let answer = get(cluster.nodes[0].listen, "/historie/ketel-1").await.unwrap();
    assert_eq!((answer.status, answer.code.as_str()), (503, "200"));
}

#[tokio::test]
async fn garbage_on_every_listener_costs_a_connection_and_no_more() {
    let cluster = settled(&THREE).await;
    let node = &cluster.nodes[0];
    let peer: std::net::SocketAddr = cluster.advertised_addr(0).parse().unwrap();
    for addr in [node.listen, node.admin, peer] {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let _ = stream.write_all(&[0xff; 4096]).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }
    let udp = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for size in [0, 1, 2, 40, 512, 2000] {
        udp.send_to(&vec![1; size], peer).await.unwrap();
    }
    let announced = json!({"service": "Not a name"});
    let answer = kelpwind_test_support::http::post_json(node.admin, "/announce", &announced).await;
    assert_eq!(answer.unwrap().status, 400);
    let answer = get(node.listen, "/historie/ketel-1").await.unwrap();
    assert_eq!(answer.outcome, "done");
}

#[tokio::test]
async fn a_log_that_answers_nonsense_is_as_good_as_down() {
    let cluster = settled(&THREE).await;
    cluster.set_log_faults(json!({"nonsense": true})).await;
    cluster
        .wait_until("the node says that the log is down", async || {
            cluster.dump(0).await["log"] == "down"
        })
        .await;
    let answer = get(cluster.nodes[0].listen, "/historie/ketel-1").await.unwrap();
    assert_eq!(answer.outcome, "done", "{answer:?}");
    cluster.set_log_faults(json!({})).await;
    cluster.wait_until("the log is up again", async || cluster.dump(0).await["log"] == "up").await;
}

/// Answers of the backend server that end too early are never passed on as whole.
#[tokio::test]
async fn a_truncated_answer_is_unknown() {
    let cluster = settled(&THREE).await;
    for i in 0..3 {
        cluster.set_backend_faults(i, json!({"truncate": true})).await;
    }
    let headers = [("idempotency-key", "t-1")];
    let ask = Request { method: "POST", path: "/historie/ketel-1", headers: &headers, body: "" };
    let answer = send(cluster.nodes[0].listen, &ask).await.unwrap();
    assert_eq!((answer.status, answer.outcome.as_str()), (409, "unknown"), "{answer:?}");
}
