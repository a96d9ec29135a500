//! Clusters, workloads and helpers that several test files share.

use std::path::PathBuf;
use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::get;
use kelpwind_test_support::workload::Plan;

/// The program under test.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_kelpwind");

/// Path of a file in `tests/data`.
pub(crate) fn data_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Three targets of the keyed service `historie` in three failure domains.
pub(crate) const THREE_TARGETS: [Target<'static>; 3] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
];

/// Starts a cluster, publishes `tests/data/keteltoezicht.toml`, and waits until all slices have an
/// owner.
pub(crate) async fn start_cluster(targets: &[Target<'_>]) -> Cluster {
    let cluster = Cluster::start(PROGRAM, targets).await;
    cluster.publish(0, &data_path("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, targets.len()).await;
    cluster
}

/// Number of keys in the workload of [`workload_plan`].
const KEYS: u64 = 24;

/// Reads and writes of [`KEYS`] keys of `historie`, 200 per second, sent to the entries of the
/// given nodes.
pub(crate) fn workload_plan(cluster: &Cluster, entries: &[usize], seed: u64) -> Plan {
    Plan {
        entries: entries.iter().map(|i| cluster.nodes[*i].listen).collect(),
        prefix: "/historie".to_owned(),
        keys: KEYS,
        interval: Duration::from_millis(5),
        write_ratio: 0.3,
        seed,
    }
}

/// Waits until node `i` answers requests for every key of the workload.
pub(crate) async fn wait_until_served(cluster: &Cluster, i: usize) {
    for key in 0..KEYS {
        let path = format!("/historie/ketel-{key}");
        let what = format!("{path} is served again");
        let done = async || {
            let answer = get(cluster.nodes[i].listen, &path).await;
            answer.is_ok_and(|a| a.outcome == "done")
        };
        cluster.wait_until(&what, done).await;
    }
}
