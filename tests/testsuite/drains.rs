//! Draining and undraining of failure domains and backend servers, and handover of keys, under
//! load.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::{contradictions, overlaps};
use kelpwind_test_support::workload::{Plan, RequestRecord, Workload, summary};
use rstest::rstest;
use serde_json::json;

use crate::support::{PROGRAM, data_path};

const SIX: [Target<'static>; 6] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("certificaat", "rdam-a"),
    Target::new("certificaat", "dordt-b"),
    Target::new("certificaat", "delft-c"),
];
/// Time after which a drained failure domain or backend server must get no new work.
const DRAIN_TIME_LIMIT: Duration = Duration::from_secs(2);

fn load(cluster: &Cluster, service: &str, seed: u64) -> Workload {
    Workload::start(Plan {
        entries: cluster.nodes.iter().map(|n| n.listen).collect(),
        prefix: format!("/{service}"),
        keys: 40,
        interval: Duration::from_millis(5),
        write_ratio: 0.3,
        seed,
    })
}

async fn start() -> Cluster {
    let cluster = Cluster::start(PROGRAM, &SIX).await;
    cluster.publish(0, &data_path("two-services.toml"), 0).await;
    cluster.wait_until_ready(0, 6).await;
    cluster
}

async fn check(cluster: &Cluster, requests: &[RequestRecord]) {
    println!("{:?}", summary(requests));
    let failed: Vec<&RequestRecord> = requests.iter().filter(|a| a.outcome != "done").collect();
    assert!(failed.is_empty(), "requests failed: {failed:?}");
    let executions = cluster.all_executions().await;
    assert_eq!(overlaps(&executions, 0), []);
    assert_eq!(contradictions(requests, &executions), [""; 0]);
}

async fn executions_in_delft(cluster: &Cluster) -> usize {
    cluster.executions(2).await.len() + cluster.executions(5).await.len()
}

/// Drains a failure domain while the log service is up, while it fails after the change was
/// accepted, and while the entries of two nodes cannot read the log.
#[rstest]
#[case::log_up(31, None)]
#[case::log_down_after_the_change(32, Some("log"))]
#[case::lagging_entries(33, Some("entries"))]
#[tokio::test]
async fn a_drained_failure_domain_gets_no_new_work(#[case] seed: u64, #[case] fault: Option<&str>) {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    let unkeyed = load(&cluster, "certificaat", seed + 100);
    tokio::time::sleep(Duration::from_millis(500)).await;
    if fault == Some("entries") {
        for i in [1, 4] {
            cluster.set_link_faults(&format!("log-{i}"), json!({"cut_forward": true})).await;
        }
    }
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    tokio::time::sleep(DRAIN_TIME_LIMIT).await;
    if fault == Some("log") {
        cluster.set_log_faults(json!({"down": true})).await;
    }
    let before = executions_in_delft(&cluster).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(executions_in_delft(&cluster).await, before, "new work in a drained failure domain");
    cluster.set_log_faults(json!({})).await;
    let (code, _, errors) = cluster.command(0, &["undrain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    cluster
        .wait_until("the failure domain gets work again", async || {
            executions_in_delft(&cluster).await > before
        })
        .await;
    check(&cluster, &keyed.stop().await).await;
    check(&cluster, &unkeyed.stop().await).await;
}

/// The log service fails during a handover. One of the two owners must serve each key all the time.
#[rstest]
#[case::immediately(34, 0)]
#[case::while_records_are_written(35, 15)]
#[case::after_some_records(36, 60)]
#[tokio::test]
async fn keys_stay_available_when_the_log_fails_during_a_handover(
    #[case] seed: u64,
    #[case] after_ms: u64,
) {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    cluster.set_log_faults(json!({"down": true})).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.set_log_faults(json!({})).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    check(&cluster, &keyed.stop().await).await;
}

#[tokio::test]
async fn a_draining_backend_server_gets_no_new_work() {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", 37);
    let unkeyed = load(&cluster, "certificaat", 38);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.set_backend_faults(2, json!({"draining": true})).await;
    cluster.set_backend_faults(5, json!({"draining": true})).await;
    tokio::time::sleep(DRAIN_TIME_LIMIT).await;
    let before = executions_in_delft(&cluster).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        executions_in_delft(&cluster).await,
        before,
        "new work on a draining backend server"
    );
    check(&cluster, &keyed.stop().await).await;
    check(&cluster, &unkeyed.stop().await).await;
}

/// The next owner is killed during a handover, before and after the former owner released the keys.
#[rstest]
#[case::before_the_release(39, 10)]
#[case::after_the_release(40, 30)]
#[tokio::test]
async fn keys_are_served_after_the_next_owner_fails_during_a_handover(
    #[case] seed: u64,
    #[case] after_ms: u64,
) {
    let mut cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.command(0, &["drain", "delft-c"]);
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    cluster.nodes[1].process.kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let requests = keyed.stop().await;
    println!("{:?}", summary(&requests));
    let last = requests.iter().rev().take(50);
    let served = last.filter(|a| a.outcome == "done").count();
    assert!(served > 30, "{served} of the last 50 were done");
    let executions = cluster.all_executions().await;
    assert_eq!(overlaps(&executions, 0), []);
    assert_eq!(contradictions(&requests, &executions), [""; 0]);
}
