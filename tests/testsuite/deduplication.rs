//! A request with an idempotency key runs at most once, and its repeats get the first answer.

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::history::duplicate_executions;
use kelpwind_test_support::http::{Request, Response, send};
use rstest::rstest;

use crate::support::{PROGRAM, data_path};

const TARGETS: [Target<'static>; 5] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target { service: "certificaat", domain: "rdam-a", flags: &["--work-ms", "100"] },
    Target { service: "certificaat", domain: "dordt-b", flags: &["--work-ms", "100"] },
    Target { service: "certificaat", domain: "delft-c", flags: &["--work-ms", "100"] },
];

async fn start() -> Cluster {
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    cluster.publish(0, &data_path("two-services.toml"), 0).await;
    cluster.wait_until_ready(0, 5).await;
    cluster
}

async fn issue(cluster: &Cluster, entry: usize, id: &str, attempt: Option<&str>) -> Response {
    let mut headers = vec![("idempotency-key", id)];
    headers.extend(attempt.map(|a| ("kelpwind-attempt", a)));
    let ask =
        Request { method: "POST", path: "/certificaat/ketel-7", headers: &headers, body: "x" };
    send(cluster.nodes[entry].listen, &ask).await.unwrap()
}

async fn runs(cluster: &Cluster, id: &str) -> Vec<usize> {
    let all = cluster.all_executions().await;
    all.iter().filter(|(_, e)| e.request == id).map(|(server, _)| *server).collect()
}

#[tokio::test]
async fn repeats_at_any_node_get_the_first_answer() {
    let cluster = start().await;
    let (first, second, third) = tokio::join!(
        issue(&cluster, 0, "c-1", None),
        issue(&cluster, 1, "c-1", None),
        issue(&cluster, 2, "c-1", None),
    );
    let late = issue(&cluster, 3, "c-1", None).await;
    for answer in [&first, &second, &third, &late] {
        assert_eq!((answer.outcome.as_str(), &answer.body), ("done", &first.body));
    }
    assert_eq!(runs(&cluster, "c-1").await.len(), 1);
}

#[tokio::test]
async fn a_planned_stop_transfers_the_outcomes_to_the_next_owners() {
    let mut cluster = start().await;
    let ids: Vec<String> = (0..30).map(|i| format!("c-{i}")).collect();
    let mut bodies = Vec::new();
    for id in &ids {
        bodies.push(issue(&cluster, 0, id, None).await.body);
    }
    let owner = runs(&cluster, "c-3").await[0];
    cluster.nodes[owner].process.signal("TERM");
    cluster.nodes[owner].process.wait();
    for (id, body) in ids.iter().zip(&bodies) {
        let answer = issue(&cluster, 1, id, None).await;
        assert_eq!((answer.outcome.as_str(), &answer.body), ("done", body), "{id}");
    }
    assert_eq!(duplicate_executions(&cluster.all_executions().await), []);
}

/// The outcomes of earlier requests are lost with their owner. So a request that may be a repeat is
/// answered "unknown", and one marked as the first attempt is run.
#[rstest]
#[case::unmarked(None, 502, "304")]
#[case::marked_as_repeat(Some("2"), 502, "304")]
#[case::marked_as_first(Some("1"), 200, "0")]
#[tokio::test]
async fn after_the_loss_of_an_owner_only_first_attempts_run(
    #[case] attempt: Option<&str>,
    #[case] status: u16,
    #[case] code: &str,
) {
    let mut cluster = start().await;
    issue(&cluster, 0, "c-9", None).await;
    let owner = runs(&cluster, "c-9").await[0];
    cluster.nodes[owner].process.kill();
    let answer = async || issue(&cluster, 0, "c-9b", Some("1")).await;
    cluster.wait_until("the keys are served", async || answer().await.outcome == "done").await;
    cluster
        .wait_until("the owner is replaced", async || {
            issue(&cluster, 0, "c-9", Some("2")).await.code == "304"
        })
        .await;
    let ran = runs(&cluster, "c-9").await.len();
    assert_eq!(ran, 1, "the repeat was not run");
    let fresh = match attempt {
        Some("1") => "c-9c",
        _ => "c-9",
    };
    let answer = issue(&cluster, 1, fresh, attempt).await;
    assert_eq!((answer.status, answer.code.as_str()), (status, code), "{answer:?}");
}
