//! The request path end to end, as separate processes: one log service, a proxy, three nodes and
//! three backend servers.

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::{get, post};

use crate::support::{PROGRAM, data_path};

const TARGETS: [Target<'static>; 3] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("certificaat", "delft-c"),
];

#[tokio::test]
async fn keyed_and_unkeyed_requests_are_served_at_any_node() {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("two-services.toml"), 0).await;
    cluster.wait_until_ready(0, 3).await;
    for node in &cluster.nodes {
        let read = get(node.listen, "/historie/ketel-7/laatste?n=1").await.unwrap();
        assert_eq!((read.status, read.outcome.as_str()), (200, "done"));
        assert_eq!(read.json()["key"], "ketel-7");
        let written = post(node.listen, "/certificaat/afgeven", "c-1", "ketel 7").await.unwrap();
        assert_eq!((written.status, written.code.as_str()), (200, "0"));
        assert_eq!(written.json()["body"], "ketel 7");
    }
    // The path of a service that is not divided by key names no key, however long its parts are.
    let long = format!("/certificaat/{}", "a".repeat(300));
    let read = get(cluster.nodes[0].listen, &long).await.unwrap();
    assert_eq!((read.status, read.code.as_str()), (200, "0"), "{read:?}");
    let mut owners = Vec::new();
    for i in 0..3 {
        let ran = cluster.executions(i).await;
        if ran.iter().any(|e| e.key == "ketel-7") {
            owners.push(i);
        }
    }
    assert_eq!(owners.len(), 1, "one owner served the key");
    assert_eq!(cluster.owner(0, "historie", "ketel-7").await, Some(owners[0]));
}
