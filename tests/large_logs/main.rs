//! Logs with large records, and slow links to them.
//!
//! This is a separate test binary because cargo runs test binaries one after the other. Decoding
//! large logs takes much processor time, which would delay other tests of whole deployments.

#[allow(dead_code, reason = "not every test binary uses all of it")]
#[path = "../testsuite/support.rs"]
mod support;

use kelpwind_test_support::cluster::Cluster;
use kelpwind_test_support::http::{Request, send};
use serde_json::json;

use support::{THREE_TARGETS, start_cluster};

/// Appends records of `size` bytes that the nodes ignore.
async fn fill_log(cluster: &Cluster, count: usize, size: usize) {
    let body = "x".repeat(size);
    let request = Request { method: "POST", path: "/append", headers: &[], body: &body };
    for _ in 0..count {
        assert_eq!(send(cluster.log_addr, &request).await.unwrap().status, 200);
    }
}

async fn wait_until_serving(cluster: &Cluster, i: usize) {
    let what = format!("node {i} is serving");
    cluster.wait_until(&what, async || cluster.dump(i).await["life"] == "serving").await;
}

/// The link carries some 400 KB/s, so reading the log takes several seconds.
#[tokio::test]
async fn a_node_started_on_a_slow_link_reads_the_whole_log() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    fill_log(&cluster, 3, 400_000).await;
    cluster.set_log_faults(json!({"down": true})).await;
    cluster.nodes[2].process.kill();
    cluster.restart(2).await;
    cluster.set_link_faults("log-2", json!({"delay_ms": 40})).await;
    cluster.set_log_faults(json!({})).await;
    wait_until_serving(&cluster, 2).await;
}

/// One answer of the log service does not hold all of them.
#[tokio::test]
async fn a_node_starts_from_a_log_whose_records_are_large() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    fill_log(&cluster, 12, 1_000_000).await;
    cluster.nodes[2].process.kill();
    cluster.restart(2).await;
    wait_until_serving(&cluster, 2).await;
}

/// The links between the nodes carry some 400 KB/s.
#[tokio::test]
async fn a_node_that_cannot_read_the_log_gets_large_records_over_slow_links() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster.set_link_faults("log-2", json!({"cut_forward": true, "cut_backward": true})).await;
    for i in 0..2 {
        cluster.set_link_faults(&format!("peer-{i}"), json!({"delay_ms": 40})).await;
    }
    fill_log(&cluster, 3, 400_000).await;
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    cluster
        .wait_until("node 2 has the change", async || {
            cluster.status(2).await["domains"]["delft-c"] == false
        })
        .await;
}

/// A new node needs the state, not the records that led to it.
#[tokio::test]
async fn a_node_started_during_an_outage_loads_the_state_after_large_records() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    let revision = cluster.status(0).await["revision"].clone();
    let before = cluster.dump(0).await["offset"].as_u64().unwrap();
    fill_log(&cluster, 12, 1_000_000).await;
    cluster
        .wait_until("node 0 has read the log", async || {
            cluster.dump(0).await["offset"].as_u64() >= Some(before + 12)
        })
        .await;
    cluster.set_log_faults(json!({"down": true})).await;
    cluster.nodes[2].process.kill();
    cluster.restart_with(2, &["--seeds", &cluster.advertised_addr(0)]).await;
    cluster
        .wait_until("the new node has the configuration", async || {
            cluster.status(2).await["revision"] == revision
        })
        .await;
}

/// Together the records are larger than an answer between nodes may be.
#[tokio::test]
async fn a_node_that_cannot_read_the_log_gets_the_state_when_the_records_are_too_large() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster.set_link_faults("log-2", json!({"cut_forward": true, "cut_backward": true})).await;
    fill_log(&cluster, 12, 1_000_000).await;
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    cluster
        .wait_until("node 2 has the change", async || {
            cluster.status(2).await["domains"]["delft-c"] == false
        })
        .await;
}

#[tokio::test]
async fn a_node_behind_a_slow_link_loads_a_log_that_takes_seconds_to_read() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    fill_log(&cluster, 32, 64 << 10).await;
    cluster.nodes[2].process.kill();
    // The proxy forwards 16 KiB each 30 ms.
    cluster.restart_behind(2, &[], json!({"delay_ms": 30})).await;
    cluster
        .wait_until("the node has joined", async || cluster.dump(2).await["life"] == "serving")
        .await;
}

#[tokio::test]
async fn records_that_take_seconds_to_forward_reach_nodes_that_cannot_read_the_log() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    cluster.set_link_faults("log-2", json!({"cut_forward": true, "cut_backward": true})).await;
    for i in [0, 1] {
        cluster.set_link_faults(&format!("peer-{i}"), json!({"delay_ms": 30})).await;
    }
    fill_log(&cluster, 32, 64 << 10).await;
    let (code, out, errors) = cluster.command(0, &["drain", "delft-c", "--wait", "15"]);
    assert_eq!(code, 0, "{out}{errors}");
}

#[tokio::test]
async fn a_new_node_loads_a_log_of_the_largest_records() {
    let mut cluster = start_cluster(&THREE_TARGETS).await;
    fill_log(&cluster, 10, 1 << 20).await;
    cluster.nodes[2].process.kill();
    cluster.restart(2).await;
    cluster
        .wait_until("the node has joined", async || cluster.dump(2).await["life"] == "serving")
        .await;
}
