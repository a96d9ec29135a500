//! What several files need.

use std::path::PathBuf;

use kelpwind_test_support::cluster::{Cluster, Target};

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
    cluster.settled(0, targets.len()).await;
    cluster
}
