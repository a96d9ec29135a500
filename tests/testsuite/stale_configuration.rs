//! Requests that only a newer configuration allows, at nodes that have not read it yet.

use std::time::{Duration, Instant};

use kelpwind_test_support::cluster::{Cluster, Target, WAIT_TIMEOUT};
use kelpwind_test_support::http::{Response, get, post};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::{PROGRAM, THREE_TARGETS, data_path, start_cluster};

const TARGETS: [Target<'static>; 3] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("certificaat", "delft-c"),
];

/// Longest time without changes after which an unknown service must still be refused as such; two
/// long reads of the log.
const CALM: Duration = Duration::from_secs(11);

fn assert_unconfirmed(answer: &Response) {
    let got = (answer.status, answer.outcome.as_str(), answer.code.as_str());
    assert_eq!(got, (503, "not-run", "212"), "{answer:?}");
    assert!(answer.retry_ms.is_some(), "{answer:?}");
}

/// Publishes the service `certificaat` at node 0 and does not wait until other nodes have it.
async fn publish_two_services(cluster: &Cluster) {
    let base = cluster.status(0).await["revision"].to_string();
    let path = data_path("two-services.toml");
    let args = ["config", "publish", path.to_str().unwrap(), "--base", &base];
    let (code, _, errors) = cluster.command(0, &args);
    assert_eq!(code, 0, "{errors}");
}

#[tokio::test]
async fn a_node_cut_off_does_not_refuse_a_service_published_meanwhile() {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    cluster.isolate(1, true).await;
    publish_two_services(&cluster).await;
    for _ in 0..3 {
        let answer = get(cluster.nodes[1].listen, "/certificaat/afgeven").await.unwrap();
        assert_unconfirmed(&answer);
    }
    cluster.isolate(1, false).await;
    cluster
        .wait_until("the new service is served at the node that was cut off", async || {
            let answer = get(cluster.nodes[1].listen, "/certificaat/afgeven").await;
            let Ok(answer) = answer else { return false };
            assert!(answer.status == 200 || answer.status == 503, "{answer:?}");
            answer.outcome == "done"
        })
        .await;
}

#[tokio::test]
async fn a_node_paused_meanwhile_does_not_refuse_a_new_service() {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    let node = &cluster.nodes[1];
    node.process.signal("STOP");
    publish_two_services(&cluster).await;
    let sent: JoinSet<_> = (0..50).map(|_| get(node.listen, "/certificaat/afgeven")).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    node.process.signal("CONT");
    for answer in sent.join_all().await {
        let answer = answer.unwrap();
        assert!(answer.status == 200 || answer.status >= 500, "{answer:?}");
    }
}

#[tokio::test]
async fn a_node_cut_off_does_not_refuse_an_operator_who_knows_a_newer_configuration() {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    cluster.isolate(1, true).await;
    publish_two_services(&cluster).await;
    let base = cluster.status(0).await["revision"].to_string();
    let path = data_path("keteltoezicht.toml");
    let publish = ["config", "publish", path.to_str().unwrap(), "--base", &base];
    let explain = ["explain", "certificaat", "afgeven"];
    for args in [&publish[..], &explain[..]] {
        let (code, _, errors) = cluster.command(1, args);
        assert!(code == 1 && errors.contains("[212]"), "{args:?}: {errors}");
    }
    // An older revision stays outdated whatever was published since.
    let outdated = ["config", "publish", path.to_str().unwrap(), "--base", "0"];
    let (_, _, errors) = cluster.command(1, &outdated);
    assert!(errors.contains("[500]"), "{errors}");
}

#[tokio::test]
async fn an_owner_that_lags_behind_the_entry_does_not_refuse_a_new_key_range() {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    cluster.set_link_faults("log-2", json!({"delay_ms": 400})).await;
    publish_two_services(&cluster).await;
    let mut served = 0;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while served < 20 {
        let id = format!("c-{served}");
        let answer = post(cluster.nodes[0].listen, "/certificaat/afgeven", &id, "").await.unwrap();
        assert!(answer.status == 200 || answer.status >= 500, "{answer:?}");
        served += usize::from(answer.outcome == "done");
        assert!(Instant::now() < deadline, "{served} requests served: {answer:?}");
    }
}

#[rstest]
#[case::down(json!({"down": true}))]
#[case::malformed(json!({"nonsense": true}))]
#[case::slow(json!({"slow_ms": 1500}))]
#[tokio::test]
async fn nothing_is_refused_by_the_configuration_while_the_log_does_not_answer(
    #[case] faults: Value,
) {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster.set_log_faults(faults).await;
    for path in ["/histori/ketel-1", "/historie"] {
        assert_unconfirmed(&get(cluster.nodes[0].listen, path).await.unwrap());
    }
    let answer = get(cluster.nodes[0].listen, "/historie/ketel-1").await.unwrap();
    assert_eq!(answer.outcome, "done", "{answer:?}");
    cluster.set_log_faults(json!({})).await;
    cluster
        .wait_until("the unknown service is refused as such", async || {
            let answer = get(cluster.nodes[0].listen, "/histori/ketel-1").await.unwrap();
            (answer.status, answer.code.as_str()) == (404, "101")
        })
        .await;
}

#[tokio::test]
async fn an_unknown_service_is_refused_as_such_after_a_long_calm_time() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    let node = cluster.nodes[0].listen;
    for calm in [Duration::ZERO, CALM] {
        tokio::time::sleep(calm).await;
        for (path, status, code) in [("/histori/ketel-1", 404, "101"), ("/historie", 400, "102")] {
            let answer = get(node, path).await.unwrap();
            assert_eq!((answer.status, answer.code.as_str()), (status, code), "{answer:?}");
        }
    }
}

#[tokio::test]
async fn an_unknown_service_is_refused_as_such_when_the_body_arrives_late() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    // Without new records, no read of the log ends while the body is out.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut stream = TcpStream::connect(cluster.nodes[0].listen).await.unwrap();
    let head = "POST /histori/ketel-1 HTTP/1.1\r\nhost: n0\r\ncontent-length: 8\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    stream.write_all(b"rest").await.unwrap();
    let mut answer = vec![0; 1024];
    let size = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..size]);
    assert!(answer.starts_with("HTTP/1.1 404") && answer.contains("[101]"), "{answer}");
}
