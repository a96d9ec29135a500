//! Invalid input from callers, from the log service, from the backend server and on the sockets.
//! Callers get a result code and a correct outcome, and the nodes go on serving.

use kelpwind_test_support::cluster::Cluster;
use kelpwind_test_support::http::{Request, get, send};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{PROGRAM, THREE_TARGETS, start_cluster};

async fn assert_refused(cluster: &Cluster, request: &Request<'_>, status: u16, code: &str) {
    let answer = send(cluster.nodes[0].listen, request).await.unwrap();
    let got = (answer.status, answer.outcome.as_str(), answer.code.as_str());
    assert_eq!(got, (status, "not-run", code), "{request:?}");
}

#[tokio::test]
async fn invalid_requests_are_refused_with_a_result_code() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    let read = |path| Request { method: "GET", path, headers: &[], body: "" };
    assert_refused(&cluster, &read("/"), 404, "101").await;
    assert_refused(&cluster, &read("/histori/ketel-1"), 404, "101").await;
    assert_refused(&cluster, &read("/historie"), 400, "102").await;
    let long = format!("/historie/{}", "k".repeat(300));
    assert_refused(&cluster, &read(&long), 400, "100").await;
    let large = "x".repeat((1 << 20) + 1);
    let write = Request { method: "POST", path: "/historie/ketel-1", headers: &[], body: &large };
    assert_refused(&cluster, &write, 413, "103").await;
    for (header, value, status, code) in [
        ("kelpwind-deadline-ms", "0", 504, "104"),
        ("kelpwind-deadline-ms", "soon", 400, "100"),
        ("idempotency-key", "caf\u{e9}", 400, "100"),
        ("idempotency-key", "two words", 400, "100"),
    ] {
        let headers = [(header, value)];
        let request =
            Request { method: "POST", path: "/historie/ketel-1", headers: &headers, body: "" };
        assert_refused(&cluster, &request, status, code).await;
    }
    assert_eq!(cluster.executions(0).await.len(), 0);
}

#[tokio::test]
async fn a_body_that_stays_out_is_answered_as_late() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    let mut stream = TcpStream::connect(cluster.nodes[0].listen).await.unwrap();
    let head = "POST /historie/ketel-1 HTTP/1.1\r\nhost: n0\r\ncontent-length: 8\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1024];
    let size = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..size]);
    assert!(answer.starts_with("HTTP/1.1 504") && answer.contains("[104]"), "{answer}");
}

#[tokio::test]
async fn a_node_without_configuration_refuses_requests() {
    let cluster = Cluster::start(PROGRAM, &THREE_TARGETS).await;
    let answer = get(cluster.nodes[0].listen, "/historie/ketel-1").await.unwrap();
    assert_eq!((answer.status, answer.code.as_str()), (503, "200"));
    assert!(answer.retry_ms.is_some(), "{answer:?}");
}

#[tokio::test]
async fn garbage_on_any_listener_does_not_stop_the_node_from_serving() {
    let cluster = start_cluster(&THREE_TARGETS).await;
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
async fn malformed_responses_of_the_log_count_as_an_outage() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster.set_log_faults(json!({"nonsense": true})).await;
    cluster
        .wait_until("the node reports that the log is down", async || {
            cluster.dump(0).await["log"] == "down"
        })
        .await;
    let answer = get(cluster.nodes[0].listen, "/historie/ketel-1").await.unwrap();
    assert_eq!(answer.outcome, "done", "{answer:?}");
    cluster.set_log_faults(json!({})).await;
    cluster
        .wait_until("the node reports that the log is up", async || {
            cluster.dump(0).await["log"] == "up"
        })
        .await;
}

/// Guards against a truncated response of the backend server being passed on as a complete one.
#[tokio::test]
async fn a_truncated_response_has_an_unknown_outcome() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    for i in 0..3 {
        cluster.set_backend_faults(i, json!({"truncate": true})).await;
    }
    let headers = [("idempotency-key", "t-1")];
    let request =
        Request { method: "POST", path: "/historie/ketel-1", headers: &headers, body: "" };
    let answer = send(cluster.nodes[0].listen, &request).await.unwrap();
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{answer:?}");
}
