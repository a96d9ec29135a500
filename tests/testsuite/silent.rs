//! Open connections that go silent for good while new ones work.

use std::time::Duration;

use kelpwind_test_support::history::contradictions;
use kelpwind_test_support::http::get;
use kelpwind_test_support::workload::{Workload, summary};
use serde_json::json;

use crate::support::{THREE, plan, settled};

#[tokio::test]
async fn requests_go_on_when_old_connections_go_silent() {
    let cluster = settled(&THREE).await;
    // Only entries on other nodes use connections between nodes; the workload goes to all.
    let load = Workload::start(plan(&cluster, &[0, 1, 2], 41));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for round in 1..4 {
        for i in 0..3 {
            cluster.set_link_faults(&format!("peer-{i}"), json!({"silence": round})).await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    let asked = load.stop().await;
    println!("{:?}", summary(&asked));
    let lost: Vec<_> = asked.iter().filter(|a| a.outcome != "done").collect();
    assert!(lost.is_empty(), "requests were lost on silent connections: {lost:?}");
    assert_eq!(contradictions(&asked, &cluster.all_executions().await), [""; 0]);
    let metrics = get(cluster.nodes[0].admin, "/metrics").await.unwrap();
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("kelpwind_takeovers_total 0"), "no peer was condemned");
}
