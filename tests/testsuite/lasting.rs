//! Lasting state: snapshots, retention, outages of the log, and accepted configurations that never
//! go back.

use std::time::Duration;

use kelpwind_test_support::cluster::Cluster;
use kelpwind_test_support::http::get;
use serde_json::json;

use crate::support::{PROGRAM, THREE, data, settled};

async fn digests(cluster: &Cluster) -> Vec<(u64, String)> {
    let mut all = Vec::new();
    for i in 0..cluster.nodes.len() {
        let dump = cluster.dump(i).await;
        all.push((dump["offset"].as_u64().unwrap(), dump["digest"].to_string()));
    }
    all
}

#[tokio::test]
async fn a_new_node_starts_from_a_snapshot_when_the_log_has_forgotten_its_start() {
    let mut cluster = settled(&THREE).await;
    // The retention eats all but the newest records; snapshots are due every 20.
    cluster.set_log_faults(json!({"keep": 60})).await;
    for i in 0..90u64 {
        let revision = cluster.status(0).await["revision"].as_u64().unwrap();
        let out = if i.is_multiple_of(2) { "drain" } else { "undrain" };
        let (code, _, errors) = cluster.command(0, &[out, "delft-c"]);
        assert_eq!(code, 0, "{errors}");
        assert!(cluster.status(0).await["revision"].as_u64().unwrap() > revision);
    }
    cluster.nodes[2].process.kill();
    cluster.restart(2).await;
    cluster
        .wait_until("the new node has the others' state", async || {
            let all = digests(&cluster).await;
            all[0] == all[2] && cluster.dump(2).await["life"] == "serving"
        })
        .await;
}

#[tokio::test]
async fn a_published_configuration_reaches_nodes_that_cannot_read_the_log() {
    let cluster = settled(&THREE).await;
    // Node 2 cannot reach the log; it learns of the change from the others.
    cluster.set_link_faults("log-2", json!({"cut_forward": true, "cut_backward": true})).await;
    let (code, out, errors) = cluster.command(0, &["drain", "delft-c", "--wait", "10"]);
    assert_eq!(code, 0, "{out}{errors}");
    assert_eq!(cluster.status(2).await["domains"]["delft-c"], false);
}

/// The log dies right after it accepted a change that only one node has read.
#[tokio::test]
async fn a_change_that_one_node_saw_accepted_reaches_all_though_the_log_dies() {
    let cluster = settled(&THREE).await;
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

/// A node that starts while the log is down takes the state from the nodes named by `--seeds`, and
/// serves as an entry; it cannot join before the log is back.
#[tokio::test]
async fn a_node_started_during_an_outage_serves_from_its_seeds() {
    let mut cluster = settled(&THREE).await;
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
async fn of_two_racing_operators_one_wins_and_the_other_learns_by_whom() {
    let cluster = Cluster::start(PROGRAM, &THREE).await;
    cluster.publish(0, &data("keteltoezicht.toml"), 0).await;
    let base = cluster.status(0).await["revision"].to_string();
    let path = data("two-services.toml");
    let path = path.to_str().unwrap();
    let publish = |i: usize, who: &'static str| {
        let args = ["config", "publish", path, "--base", &base, "--author", who];
        cluster.command(i, &args)
    };
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| publish(0, "anna"));
        let second = s.spawn(|| publish(1, "bert"));
        (first.join().unwrap(), second.join().unwrap())
    });
    let (winner, loser, by) =
        if first.0 == 0 { (&first, &second, "anna") } else { (&second, &first, "bert") };
    assert_eq!((winner.0, loser.0), (0, 1), "{first:?} {second:?}");
    assert!(loser.2.contains("[500]") && loser.2.contains(&format!("by {by}")), "{}", loser.2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (_, history, _) = cluster.command(2, &["config", "history"]);
    assert_eq!(history.matches("revision").count(), 2, "{history}");
}

#[tokio::test]
async fn nodes_that_read_the_same_records_have_the_same_state() {
    let cluster = settled(&THREE).await;
    cluster
        .wait_until("all digests agree", async || {
            let all = digests(&cluster).await;
            all.iter().all(|d| *d == all[0])
        })
        .await;
}
