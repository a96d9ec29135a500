//! A key has at most one owner at any time, through kills, freezes, network partitions and outages
//! of the log service.
//!
//! Each test runs a workload over all keys while it injects a fault, then checks the executions of
//! the backend servers: no key ran on two servers at once, and no answer contradicts them.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::{contradictions, overlaps, token_regressions};
use kelpwind_test_support::workload::{RequestRecord, Workload, summary};
use rstest::rstest;
use serde_json::json;

use crate::support::{data_path, start_cluster, wait_until_served, workload_plan};

const FIVE: [Target<'static>; 5] = [
    Target { service: "historie", domain: "rdam-a", flags: &["--fenced", "--work-ms", "20"] },
    Target { service: "historie", domain: "dordt-b", flags: &["--fenced", "--work-ms", "20"] },
    Target { service: "historie", domain: "delft-c", flags: &["--fenced", "--work-ms", "20"] },
    Target { service: "historie", domain: "rdam-a", flags: &["--fenced", "--work-ms", "20"] },
    Target { service: "historie", domain: "dordt-b", flags: &["--fenced", "--work-ms", "20"] },
];

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Checks the executions against the answers of a run, and that more than half of the requests were
/// done.
async fn check(cluster: &Cluster, requests: &[RequestRecord]) {
    let executions = cluster.all_executions().await;
    println!("{:?}, {} executions", summary(requests), executions.len());
    assert_eq!(overlaps(&executions, 0), [], "a key ran on two servers at once");
    assert_eq!(token_regressions(&executions), [], "a key went back to an earlier grant");
    assert_eq!(contradictions(requests, &executions), [""; 0]);
    let done = requests.iter().filter(|a| a.outcome == "done").count();
    assert!(done * 2 > requests.len(), "only {done} of {} requests were done", requests.len());
}

#[tokio::test]
async fn a_killed_owner_is_replaced() {
    let mut cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], 11));
    pause(500).await;
    cluster.nodes[4].process.kill();
    wait_until_served(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
    assert!(cluster.owner(0, "historie", "ketel-1").await.is_some_and(|o| o != 4));
}

#[tokio::test]
async fn a_frozen_owner_serves_nothing_under_its_old_grant() {
    let cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], 12));
    pause(500).await;
    cluster.nodes[4].process.signal("STOP");
    pause(3000).await;
    cluster.nodes[4].process.signal("CONT");
    wait_until_served(&cluster, 0).await;
    cluster.wait_until_ready(0, 5).await;
    check(&cluster, &load.stop().await).await;
}

/// The owner is partitioned from all others. The case without fencing guards the gate: the backend
/// servers then check no fencing tokens, so only the gate prevents a stale owner from serving.
#[rstest]
#[case::fenced(13, &["--fenced", "--work-ms", "20"])]
#[case::not_fenced(21, &["--work-ms", "20"])]
#[tokio::test]
async fn a_partitioned_owner_stops_serving(
    #[case] seed: u64,
    #[case] backend: &'static [&'static str],
) {
    let targets = FIVE.map(|target| Target { flags: backend, ..target });
    let cluster = start_cluster(&targets).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3, 4], seed));
    pause(500).await;
    cluster.isolate(4, true).await;
    pause(3000).await;
    cluster.isolate(4, false).await;
    wait_until_served(&cluster, 4).await;
    check(&cluster, &load.stop().await).await;
}

/// A one-way partition: either the owner's renewals are lost, or the acknowledgements to it.
#[rstest]
#[case::renewals_lost(14)]
#[case::acknowledgements_lost(15)]
#[tokio::test]
async fn an_owner_behind_a_one_way_partition_stops_serving(#[case] seed: u64) {
    let cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], seed));
    pause(500).await;
    // 127.0.1.5 is the address of node 4, the partitioned owner.
    for cut in [true, false] {
        let to_owner = json!({"cut_forward": cut});
        let from_owner = json!({"cut_forward": cut, "only": ["127.0.1.5"]});
        if seed == 14 {
            for other in 0..4 {
                cluster.set_link_faults(&format!("peer-{other}"), from_owner.clone()).await;
            }
        } else {
            cluster.set_link_faults("peer-4", to_owner).await;
        }
        pause(2500).await;
    }
    wait_until_served(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

/// An outage of the log service must not stop any owner, because lease renewals do not use the log.
#[tokio::test]
async fn owners_keep_serving_while_the_log_is_down() {
    let cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3, 4], 16));
    pause(300).await;
    cluster.set_log_faults(json!({"down": true})).await;
    pause(4000).await;
    let requests = load.stop().await;
    let not_done: Vec<&RequestRecord> = requests.iter().filter(|a| a.outcome != "done").collect();
    assert!(
        not_done.is_empty(),
        "requests failed during an outage of the log service: {not_done:?}"
    );
    check(&cluster, &requests).await;
}

#[tokio::test]
async fn an_owner_lost_while_the_log_is_down_is_replaced_once_it_is_back() {
    let mut cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], 17));
    pause(300).await;
    cluster.set_log_faults(json!({"down": true})).await;
    pause(300).await;
    cluster.nodes[4].process.kill();
    pause(3000).await;
    cluster.set_log_faults(json!({})).await;
    wait_until_served(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

/// Two witnesses restart, then the owner is killed. A restarted witness must promise in the name of
/// its former incarnation, and must not acknowledge renewals in that name.
#[tokio::test]
async fn a_restarted_witness_does_not_keep_a_lost_owner_alive() {
    let mut cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1], 18));
    pause(300).await;
    for witness in [2, 3] {
        cluster.nodes[witness].process.kill();
        cluster.restart(witness).await;
    }
    cluster.nodes[4].process.kill();
    wait_until_served(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

#[tokio::test]
async fn all_nodes_restart_at_once() {
    let mut cluster = start_cluster(&FIVE).await;
    let revision = cluster.status(0).await["revision"].clone();
    for i in 0..5 {
        cluster.nodes[i].process.kill();
    }
    for i in 0..5 {
        cluster.restart(i).await;
    }
    wait_until_served(&cluster, 0).await;
    assert_eq!(cluster.status(0).await["revision"], revision);
}

#[tokio::test]
async fn a_planned_stop_interrupts_no_request() {
    let mut cluster = start_cluster(&FIVE).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], 19));
    pause(500).await;
    cluster.nodes[4].process.signal("TERM");
    assert!(cluster.nodes[4].process.wait().success());
    pause(500).await;
    let requests = load.stop().await;
    let not_done: Vec<&RequestRecord> = requests.iter().filter(|a| a.outcome != "done").collect();
    assert!(not_done.is_empty(), "a planned stop interrupted requests: {not_done:?}");
    check(&cluster, &requests).await;
}

/// The log service applies appends but loses half of its replies, while nodes join, a configuration
/// is published and an owner is killed. Resent records must take effect only once.
#[tokio::test]
async fn lost_replies_of_the_log_cause_no_duplicate_effects() {
    let mut cluster = Cluster::start(crate::support::PROGRAM, &FIVE).await;
    cluster.set_log_faults(json!({"lose_replies": 0.5})).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 5).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2, 3], 20));
    pause(300).await;
    cluster.nodes[4].process.kill();
    wait_until_served(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
    let (_, history, _) = cluster.command(0, &["config", "history"]);
    assert_eq!(history.matches("revision").count(), 1, "expected one revision: {history}");
}
