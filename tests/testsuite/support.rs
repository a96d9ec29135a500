//! What several files need.

use std::path::PathBuf;
use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::get;
use kelpwind_test_support::workload::Plan;

/// The program under test.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_kelpwind");

/// A file of `tests/data`.
pub(crate) fn data(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Three targets of the keyed service `historie` in three failure domains.
pub(crate) const THREE: [Target<'static>; 3] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
];

/// A settled deployment with `tests/data/keteltoezicht.toml` published.
pub(crate) async fn settled(targets: &[Target<'_>]) -> Cluster {
    let cluster = Cluster::start(PROGRAM, targets).await;
    cluster.publish(0, &data("keteltoezicht.toml"), 0).await;
    cluster.wait_until_ready(0, targets.len()).await;
    cluster
}

/// Keys of the usual workload.
const KEYS: u64 = 24;

/// Reads and writes of 24 keys of `historie`, 200 a second, at the entries of these nodes.
pub(crate) fn plan(cluster: &Cluster, entries: &[usize], seed: u64) -> Plan {
    Plan {
        entries: entries.iter().map(|i| cluster.nodes[*i].listen).collect(),
        prefix: "/historie".to_owned(),
        keys: KEYS,
        interval: Duration::from_millis(5),
        write_ratio: 0.3,
        seed,
    }
}

/// All keys are served again, as seen from node `i`.
pub(crate) async fn served_again(cluster: &Cluster, i: usize) {
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
