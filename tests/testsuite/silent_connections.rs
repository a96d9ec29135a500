//! Established connections between nodes that stop delivering data without being closed, while new
//! connections work.

use std::time::Duration;

use kelpwind_test_support::history::contradictions;
use kelpwind_test_support::http::get;
use kelpwind_test_support::workload::{Workload, summary};
use serde_json::json;

use crate::support::{THREE_TARGETS, start_cluster, workload_plan};

#[tokio::test]
async fn requests_succeed_when_established_connections_go_silent() {
    let cluster = start_cluster(&THREE_TARGETS).await;
    // A request uses a connection between nodes only if its entry is not the owner of the key, so
    // the workload is sent to all entries.
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2], 41));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for round in 1..4 {
        for i in 0..3 {
            cluster.set_link_faults(&format!("peer-{i}"), json!({"silence": round})).await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    let requests = load.stop().await;
    println!("{:?}", summary(&requests));
    let lost: Vec<_> = requests.iter().filter(|a| a.outcome != "done").collect();
    assert!(lost.is_empty(), "requests were lost on silent connections: {lost:?}");
    assert_eq!(contradictions(&requests, &cluster.all_executions().await), [""; 0]);
    let metrics = get(cluster.nodes[0].admin, "/metrics").await.unwrap();
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(
        metrics.contains("kelpwind_takeovers_total 0"),
        "a takeover was started from a live node"
    );
}
