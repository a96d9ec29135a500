//! Durability of the state: snapshots, retention, outages of the log service, and accepted
//! configurations that are never rolled back.

use std::time::Duration;

use kelpwind_test_support::cluster::Cluster;
use kelpwind_test_support::http::get;
use serde_json::json;

use crate::support::{PROGRAM, THREE_TARGETS, data_path, start_cluster};

async fn digests(cluster: &Cluster) -> Vec<(u64, String)> {
    let mut all = Vec::new();
    for i in 0..cluster.nodes.len() {
        let dump = cluster.dump(i).await;
        all.push((dump["offset"].as_u64().unwrap(), dump["digest"].to_string()));
    }
    all
}

#[tokio::test]
async fn a_new_node_loads_a_snapshot_when_the_first_records_have_expired() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    // The log keeps only the newest records; the nodes write a snapshot every 20 records.
    cluster.set_log_faults(json!({"keep": 60})).await;
    for i in 0..90u64 {
        let revision = cluster.status(0).await["revision"].as_u64().unwrap();
        let command = if i.is_multiple_of(2) { "drain" } else { "undrain" };
        let (code, _, errors) = cluster.command(0, &[command, "delft-c"]);
        assert_eq!(code, 0, "{errors}");
        assert!(cluster.status(0).await["revision"].as_u64().unwrap() > revision);
    }
    cluster.nodes[2].process.kill();
    cluster.restart(2).await;
    cluster
        .wait_until("the new node has the same state as the others", async || {
            let all = digests(&cluster).await;
            all[0] == all[2] && cluster.dump(2).await["life"] == "serving"
        })
        .await;
}

#[tokio::test]
async fn a_published_configuration_reaches_nodes_that_cannot_read_the_log() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    // Node 2 cannot reach the log service and fetches the change from the other nodes.
    cluster.set_link_faults("log-2", json!({"cut_forward": true, "cut_backward": true})).await;
    let (code, out, errors) = cluster.command(0, &["drain", "delft-c", "--wait", "10"]);
    assert_eq!(code, 0, "{out}{errors}");
    assert_eq!(cluster.status(2).await["domains"]["delft-c"], false);
}

/// The log service fails right after it accepted a change that only one node has read.
#[tokio::test]
async fn a_change_read_by_one_node_reaches_all_when_the_log_fails() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    let cut = json!({"cut_forward": true, "cut_backward": true});
    cluster.set_link_faults("log-1", cut.clone()).await;
    cluster.set_link_faults("log-2", cut).await;
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    cluster.set_log_faults(json!({"down": true})).await;
    for i in [1, 2] {
        let what = format!("node {i} has the change");
        cluster
            .wait_until(&what, async || cluster.status(i).await["domains"]["delft-c"] == false)
            .await;
    }
}

/// A node that starts while the log service is down loads the state from the nodes given by
/// `--seeds` and serves as an entry. It joins when the log service is back.
#[tokio::test]
async fn a_node_started_during_an_outage_serves_from_its_seeds() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    let revision = cluster.status(0).await["revision"].clone();
    cluster.set_log_faults(json!({"down": true})).await;
    cluster.nodes[2].process.kill();
    cluster.restart_with(2, &["--seeds", &cluster.advertised_addr(0)]).await;
    cluster
        .wait_until("the new node has the configuration", async || {
            cluster.status(2).await["revision"] == revision
        })
        .await;
    let key = cluster.key_owned_by(0, "historie", 0).await;
    let answer = get(cluster.nodes[2].listen, &format!("/historie/{key}")).await.unwrap();
    assert_eq!(answer.outcome, "done");
    assert_eq!(cluster.dump(2).await["life"], "starting");
    cluster.set_log_faults(json!({})).await;
    cluster.wait_until("it joins", async || cluster.dump(2).await["life"] == "serving").await;
}

#[tokio::test]
async fn one_of_two_concurrent_publishers_is_rejected_with_the_author_of_the_other() {
    let cluster = Cluster::start(PROGRAM, &THREE_TARGETS).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    let base = cluster.status(0).await["revision"].to_string();
    let path = data_path("two-services.toml");
    let path = path.to_str().unwrap();
    let publish = |i: usize, author: &'static str| {
        let args = ["config", "publish", path, "--base", &base, "--author", author];
        cluster.command(i, &args)
    };
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| publish(0, "anna"));
        let second = s.spawn(|| publish(1, "bert"));
        (first.join().unwrap(), second.join().unwrap())
    });
    let (winner, loser, author) =
        if first.0 == 0 { (&first, &second, "anna") } else { (&second, &first, "bert") };
    assert_eq!((winner.0, loser.0), (0, 1), "{first:?} {second:?}");
    assert!(loser.2.contains("[500]") && loser.2.contains(&format!("by {author}")), "{}", loser.2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (_, history, _) = cluster.command(2, &["config", "history"]);
    assert_eq!(history.matches("revision").count(), 2, "{history}");
}

#[tokio::test]
async fn nodes_that_applied_the_same_records_have_the_same_state() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster
        .wait_until("all digests agree", async || {
            let all = digests(&cluster).await;
            all.iter().all(|d| *d == all[0])
        })
        .await;
}
