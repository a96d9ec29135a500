//! A key runs on one backend server at a time, also when one of them ends its work late, or when
//! two stand beside one node.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::overlaps;
use kelpwind_test_support::http::get;
use kelpwind_test_support::workload::Workload;
use serde_json::json;
use tokio::time::timeout;

use crate::support::{PROGRAM, data_path, start_cluster, workload_plan};

const DOMAINS: [&str; 3] = ["rdam-a", "dordt-b", "delft-c"];
const PATH: &str = "/historie/ketel-1";
/// Longer than any request takes.
const FOREVER: Duration = Duration::from_secs(60);

/// Three targets whose backend servers take the given flags.
fn targets(flags: &'static [&'static str]) -> [Target<'static>; 3] {
    DOMAINS.map(|domain| Target { service: "historie", domain, flags })
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Sends requests for a path to the entry of a node, one after the other, until it is aborted. A
/// request is given up after `patience`.
fn spawn_reader(
    cluster: &Cluster,
    i: usize,
    path: &str,
    patience: Duration,
) -> tokio::task::JoinHandle<()> {
    let (entry, path) = (cluster.nodes[i].listen, path.to_owned());
    tokio::spawn(async move {
        loop {
            // Failures are expected; only the executions are checked.
            let _ = timeout(patience, get(entry, &path)).await;
            pause(10).await;
        }
    })
}

/// A node must not send a key to another server while the former one still works on it.
#[tokio::test]
async fn a_key_runs_on_two_servers_that_announce_themselves_to_one_node() {
    let flags = targets(&["--work-ms", "100"]);
    let cluster = start_cluster(&flags).await;
    let load = Workload::start(workload_plan(&cluster, &[0, 1, 2], 51));
    pause(500).await;
    let (_process, second) = cluster.start_server(0, &flags[0]);
    pause(3000).await;
    load.stop().await;
    let mut executions = cluster.all_executions().await;
    let others = Cluster::executions_at(second).await;
    println!("{} executions on the second server", others.len());
    executions.extend(others.into_iter().map(|e| (cluster.nodes.len(), e)));
    assert_eq!(overlaps(&executions, 0), [], "a key ran on two servers at once");
}

/// A node that stops must not give up its keys while its server still works on them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_leaves_while_its_server_works() {
    let mut cluster = Cluster::start(PROGRAM, &targets(&["--fenced", "--work-ms", "20"])).await;
    cluster.publish(0, &data_path("long-deadline.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    let path = format!("/historie/{}", cluster.key_owned_by(0, "historie", 2).await);
    cluster.set_backend_faults(2, json!({"frozen": true})).await;
    let worker = spawn_reader(&cluster, 0, &path, FOREVER);
    pause(300).await;
    cluster.nodes[2].process.signal("TERM");
    pause(300).await;
    let readers = [0, 1].map(|i| spawn_reader(&cluster, i, &path, Duration::from_millis(100)));
    cluster.nodes[2].process.wait();
    let served = async || cluster.all_executions().await.iter().any(|(i, _)| *i != 2);
    cluster.wait_until("the key is served by another node", served).await;
    readers.iter().chain([&worker]).for_each(|r| r.abort());
    let executions = cluster.all_executions().await;
    assert_eq!(overlaps(&executions, 0), [], "a key ran on two servers at once");
}

/// A closed connection does not mean that the server has ended its work.
#[tokio::test]
async fn a_key_is_handed_over_while_a_server_works_for_a_caller_that_is_gone() {
    let cluster = start_cluster(&targets(&["--work-ms", "800"])).await;
    for i in 0..3 {
        cluster.set_backend_faults(i, json!({"ignores_disconnects": true})).await;
    }
    let gone = spawn_reader(&cluster, 0, PATH, FOREVER);
    pause(100).await;
    gone.abort();
    let domain = DOMAINS[cluster.all_executions().await[0].0];
    let (code, _, errors) = cluster.command(0, &["drain", domain]);
    assert_eq!(code, 0, "{errors}");
    // A handover that waits for no request takes less time.
    pause(200).await;
    let readers = [0, 1].map(|i| spawn_reader(&cluster, i, PATH, FOREVER));
    pause(2000).await;
    readers.iter().for_each(|r| r.abort());
    let executions = cluster.all_executions().await;
    assert_eq!(overlaps(&executions, 0), [], "a key ran on two servers at once");
}
