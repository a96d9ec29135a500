//! A key has at most one owner at any time, through kills, freezes, cuts and outages of the log.
//!
//! Each test runs a workload over all keys while it does harm, then checks what the backend servers
//! ran: no key ran on two servers at once, and no answer was untrue.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::{contradictions, overlaps, token_regressions};
use kelpwind_test_support::workload::{RequestRecord, Workload, summary};
use rstest::rstest;
use serde_json::json;

use crate::support::{data, plan, served_again, settled};

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

/// Checks the histories of a run; the last answers must be `done` again.
async fn check(cluster: &Cluster, asked: &[RequestRecord]) {
    let ran = cluster.all_executions().await;
    println!("{:?}, {} executions", summary(asked), ran.len());
    assert_eq!(overlaps(&ran, 0), [], "a key ran on two servers at once");
    assert_eq!(token_regressions(&ran), [], "a key went back to an earlier grant");
    assert_eq!(contradictions(asked, &ran), [""; 0]);
    let done = asked.iter().filter(|a| a.outcome == "done").count();
    assert!(done * 2 > asked.len(), "more than half of the requests were done");
}

#[tokio::test]
async fn a_killed_owner_is_replaced() {
    let mut cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], 11));
    pause(500).await;
    cluster.nodes[4].process.kill();
    served_again(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
    assert!(cluster.owner(0, "historie", "ketel-1").await.is_some_and(|o| o != 4));
}

#[tokio::test]
async fn a_frozen_owner_returns_to_nothing() {
    let cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], 12));
    pause(500).await;
    cluster.nodes[4].process.signal("STOP");
    pause(3000).await;
    cluster.nodes[4].process.signal("CONT");
    served_again(&cluster, 0).await;
    cluster.wait_until_ready(0, 5).await;
    check(&cluster, &load.stop().await).await;
}

/// With backend servers that check fences, and with some that do not: then the gate alone stops.
#[rstest]
#[case::fenced(13, &["--fenced", "--work-ms", "20"])]
#[case::not_fenced(21, &["--work-ms", "20"])]
#[tokio::test]
async fn an_owner_that_is_cut_off_stops_serving(
    #[case] seed: u64,
    #[case] backend: &'static [&'static str],
) {
    let targets = FIVE.map(|target| Target { flags: backend, ..target });
    let cluster = settled(&targets).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3, 4], seed));
    pause(500).await;
    cluster.isolate(4, true).await;
    pause(3000).await;
    cluster.isolate(4, false).await;
    served_again(&cluster, 4).await;
    check(&cluster, &load.stop().await).await;
}

/// A cut in one direction only: the owner's renewals are lost, or the acknowledgements.
#[rstest]
#[case::renewals_lost(14)]
#[case::acknowledgements_lost(15)]
#[tokio::test]
async fn an_owner_that_is_cut_one_way_stops_serving(#[case] seed: u64) {
    let cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], seed));
    pause(500).await;
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
    served_again(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

/// The owner is frozen while the log is down: nobody can take over, and it goes on afterwards.
#[tokio::test]
async fn owners_go_on_while_the_log_is_down() {
    let cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3, 4], 16));
    pause(300).await;
    cluster.set_log_faults(json!({"down": true})).await;
    pause(4000).await;
    let asked = load.stop().await;
    let not_done: Vec<&RequestRecord> = asked.iter().filter(|a| a.outcome != "done").collect();
    assert!(not_done.is_empty(), "an outage of the log stopped an owner: {not_done:?}");
    check(&cluster, &asked).await;
}

#[tokio::test]
async fn an_owner_lost_while_the_log_is_down_is_replaced_once_it_is_back() {
    let mut cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], 17));
    pause(300).await;
    cluster.set_log_faults(json!({"down": true})).await;
    pause(300).await;
    cluster.nodes[4].process.kill();
    pause(3000).await;
    cluster.set_log_faults(json!({})).await;
    served_again(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

/// A witness restarts, then the owner dies: the restarted witness keeps the promise of the one it
/// followed, and does not acknowledge in its name.
#[tokio::test]
async fn a_restarted_witness_does_not_keep_a_lost_owner_alive() {
    let mut cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1], 18));
    pause(300).await;
    for witness in [2, 3] {
        cluster.nodes[witness].process.kill();
        cluster.restart(witness).await;
    }
    cluster.nodes[4].process.kill();
    served_again(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
}

#[tokio::test]
async fn all_nodes_restart_at_once() {
    let mut cluster = settled(&FIVE).await;
    let revision = cluster.status(0).await["revision"].clone();
    for i in 0..5 {
        cluster.nodes[i].process.kill();
    }
    for i in 0..5 {
        cluster.restart(i).await;
    }
    served_again(&cluster, 0).await;
    assert_eq!(cluster.status(0).await["revision"], revision);
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request() {
    let mut cluster = settled(&FIVE).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], 19));
    pause(500).await;
    cluster.nodes[4].process.signal("TERM");
    assert!(cluster.nodes[4].process.wait().success());
    pause(500).await;
    let asked = load.stop().await;
    let not_done: Vec<&RequestRecord> = asked.iter().filter(|a| a.outcome != "done").collect();
    assert!(not_done.is_empty(), "a planned stop cut requests: {not_done:?}");
    check(&cluster, &asked).await;
}

/// Replies of the log are lost after the write took effect, while nodes join, a configuration is
/// published and an owner dies.
#[tokio::test]
async fn lost_replies_of_the_log_do_no_harm() {
    let mut cluster = Cluster::start(crate::support::PROGRAM, &FIVE).await;
    cluster.set_log_faults(json!({"lose_replies": 0.5})).await;
    cluster.publish(0, &data("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, 5).await;
    let load = Workload::start(plan(&cluster, &[0, 1, 2, 3], 20));
    pause(300).await;
    cluster.nodes[4].process.kill();
    served_again(&cluster, 0).await;
    check(&cluster, &load.stop().await).await;
    let (_, history, _) = cluster.command(0, &["config", "history"]);
    assert_eq!(history.matches("revision").count(), 1, "published once: {history}");
}
