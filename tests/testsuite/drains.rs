//! Failure domains taken out and brought back, and keys handed over, under load.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::{contradictions, overlaps};
use kelpwind_test_support::workload::{Plan, RequestRecord, Workload, summary};
use rstest::rstest;
use serde_json::json;

use crate::support::{PROGRAM, data};

const SIX: [Target<'static>; 6] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("certificaat", "rdam-a"),
    Target::new("certificaat", "dordt-b"),
    Target::new("certificaat", "delft-c"),
];
/// Time after which a failure domain that was taken out gets no new work.
const OUT_TIME: Duration = Duration::from_secs(2);

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
    cluster.publish(0, &data("two-services.toml"), 0).await;
    cluster.wait_until_ready(0, 6).await;
    cluster
}

async fn check(cluster: &Cluster, asked: &[RequestRecord]) {
    println!("{:?}", summary(asked));
    let cut: Vec<&RequestRecord> = asked.iter().filter(|a| a.outcome != "done").collect();
    assert!(cut.is_empty(), "requests were cut: {cut:?}");
    let ran = cluster.all_executions().await;
    assert_eq!(overlaps(&ran, 0), []);
    assert_eq!(contradictions(asked, &ran), [""; 0]);
}

async fn ran_in_delft(cluster: &Cluster) -> usize {
    cluster.executions(2).await.len() + cluster.executions(5).await.len()
}

/// With the log up; with the log down right after the order was accepted; and with entries that
/// cannot read the log.
#[rstest]
#[case::log_up(31, None)]
#[case::log_down_after_the_order(32, Some("log"))]
#[case::entries_that_lag(33, Some("entries"))]
#[tokio::test]
async fn a_failure_domain_taken_out_gets_no_new_work(
    #[case] seed: u64,
    #[case] fault: Option<&str>,
) {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    let any = load(&cluster, "certificaat", seed + 100);
    tokio::time::sleep(Duration::from_millis(500)).await;
    if fault == Some("entries") {
        for i in [1, 4] {
            cluster.set_link_faults(&format!("log-{i}"), json!({"cut_forward": true})).await;
        }
    }
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    tokio::time::sleep(OUT_TIME).await;
    if fault == Some("log") {
        cluster.set_log_faults(json!({"down": true})).await;
    }
    let then = ran_in_delft(&cluster).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(ran_in_delft(&cluster).await, then, "new work in a domain that is out");
    cluster.set_log_faults(json!({})).await;
    let (code, _, errors) = cluster.command(0, &["undrain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    cluster
        .wait_until("the domain gets work again", async || ran_in_delft(&cluster).await > then)
        .await;
    check(&cluster, &keyed.stop().await).await;
    check(&cluster, &any.stop().await).await;
}

/// The log goes down in the middle of a handover: one of the two owners serves all the same.
#[rstest]
#[case::at_once(34, 0)]
#[case::while_records_are_written(35, 15)]
#[case::after_some(36, 60)]
#[tokio::test]
async fn keys_being_handed_over_are_served_though_the_log_dies(
    #[case] seed: u64,
    #[case] after: u64,
) {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (code, _, errors) = cluster.command(0, &["drain", "delft-c"]);
    assert_eq!(code, 0, "{errors}");
    tokio::time::sleep(Duration::from_millis(after)).await;
    cluster.set_log_faults(json!({"down": true})).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.set_log_faults(json!({})).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    check(&cluster, &keyed.stop().await).await;
}

#[tokio::test]
async fn a_backend_server_that_drains_gets_no_new_work() {
    let cluster = start().await;
    let keyed = load(&cluster, "historie", 37);
    let any = load(&cluster, "certificaat", 38);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.set_backend_faults(2, json!({"draining": true})).await;
    cluster.set_backend_faults(5, json!({"draining": true})).await;
    tokio::time::sleep(OUT_TIME).await;
    let then = ran_in_delft(&cluster).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(ran_in_delft(&cluster).await, then, "new work on a server that drains");
    check(&cluster, &keyed.stop().await).await;
    check(&cluster, &any.stop().await).await;
}

/// The next owner dies while slices are on their way to it.
#[rstest]
#[case::before_the_exchange(39, 10)]
#[case::after_it(40, 30)]
#[tokio::test]
async fn the_next_owner_may_die_during_a_handover(#[case] seed: u64, #[case] after: u64) {
    let mut cluster = start().await;
    let keyed = load(&cluster, "historie", seed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.command(0, &["drain", "delft-c"]);
    tokio::time::sleep(Duration::from_millis(after)).await;
    cluster.nodes[1].process.kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let asked = keyed.stop().await;
    println!("{:?}", summary(&asked));
    let late = asked.iter().rev().take(50);
    let served = late.filter(|a| a.outcome == "done").count();
    assert!(served > 30, "{served} of the last 50 were done");
    let ran = cluster.all_executions().await;
    assert_eq!(overlaps(&ran, 0), []);
    assert_eq!(contradictions(&asked, &ran), [""; 0]);
}
