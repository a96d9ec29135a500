//! Tests of the procedures in docs/OPERATIONS.md that lead from a failed request to its cause. Each
//! test provokes the failure, and finds the cause in the nodes' logs with `kelpwind
//! explain-request`.

use std::time::Duration;

use kelpwind_stand_ins::proxy::Faults;

use crate::platform::fleet::{CallResult, Fleet};

/// Sample of the whole key range.
const KEYS: [u16; 12] =
    [0, 6_000, 12_000, 18_000, 24_000, 30_000, 36_000, 42_000, 48_000, 54_000, 60_000, 65_535];

/// Explanation of the first request whose failure is in the logs. Not every failure is, since log
/// lines of one kind are rate-limited.
fn explain_first(fleet: &Fleet, failed: &[&CallResult]) -> String {
    let explain =
        |r: &&CallResult| fleet.explain(&r.id).filter(|text| text.contains("entry: failed"));
    let found = failed.iter().find_map(explain);
    found.unwrap_or_else(|| panic!("no log contains any of {failed:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_under_load_shows_the_queue() {
    let fleet = Fleet::start(&[("books", 1)], Duration::from_millis(300)).await;
    let calls = (0..60).map(|i| fleet.call(0, "books", i, false));
    let results = futures_util::future::join_all(calls).await;
    let rejected: Vec<&CallResult> = results.iter().filter(|r| r.status == 503).collect();
    let text = explain_first(&fleet, &rejected);
    for part in ["entry: failed", "gate: not run", "code=205", "room_ms=", "running=6", "waiting="]
    {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_under_a_limit_shows_the_limit() {
    let fleet = Fleet::start(&[("books", 1)], Duration::from_millis(50)).await;
    fleet.hosts[0].server.as_ref().unwrap().stated.lock().set_limit(Some("2"));
    assert_eq!(fleet.call(0, "books", 0, false).await.status, 200);
    let calls = (0..20).map(|i| fleet.call(0, "books", i, false));
    let results = futures_util::future::join_all(calls).await;
    let rejected: Vec<&CallResult> = results.iter().filter(|r| r.status == 503).collect();
    let text = explain_first(&fleet, &rejected);
    for part in ["entry: failed", "gate: not run", "code=213", "limit=2", "source=answer"] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_shows_the_lost_node() {
    let mut fleet = Fleet::start(&[("books", 3)], Duration::from_millis(500)).await;
    let calls = KEYS.map(|key| fleet.spawn_call(1, "books", key, true));
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    let results: Vec<CallResult> =
        futures_util::future::join_all(calls).await.into_iter().map(Result::unwrap).collect();
    let unknown: Vec<&CallResult> = results.iter().filter(|r| r.status == 502).collect();
    let text = explain_first(&fleet, &unknown);
    for part in ["entry: failed", "code=300", "lost contact with a node"] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
    let lost = fleet.hosts[0].ip.to_string();
    let contact = text.lines().find(|l| l.contains("lost contact")).unwrap();
    assert!(contact.contains(&lost), "the lost node is missing in:\n{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejection_during_a_handover_shows_its_cause() {
    // A handover waits for the release of its keys, here longer than requests wait for a key.
    let fleet = Fleet::start(&[("books", 3)], Duration::from_millis(700)).await;
    let server = fleet.hosts[0].server.clone().unwrap();
    server.delay_release_answers(Duration::from_millis(1400));
    let keys_of_first = &KEYS[..4];
    let call = |host: usize, key: &u16| fleet.spawn_call(host, "books", *key, false);
    let running: Vec<_> = keys_of_first.iter().map(|key| call(0, key)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.hosts[0].server.as_ref().unwrap().drain();
    let mut calls = Vec::new();
    for host in [1, 2, 1, 2] {
        tokio::time::sleep(Duration::from_millis(100)).await;
        calls.extend(keys_of_first.iter().map(|key| call(host, key)));
    }
    let results = futures_util::future::join_all(calls).await;
    let results: Vec<CallResult> = results.into_iter().map(Result::unwrap).collect();
    futures_util::future::join_all(running).await;
    let is_handing_over = |r: &CallResult| String::from_utf8_lossy(&r.body).contains("[210]");
    let rejected: Vec<&CallResult> =
        results.iter().filter(|r| r.status == 503 && is_handing_over(r)).collect();
    let text = explain_first(&fleet, &rejected);
    for part in ["entry: failed", "code=210", "keys begin to move", "must=true"] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
    let state = text.lines().find(|l| l.contains("the backend server's state changed"));
    assert!(state.is_some_and(|l| l.contains("draining=true")), "the cause is missing in:\n{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_node_cannot_judge_shows_what_it_has_read() {
    let mut fleet = Fleet::start(&[("books", 2)], Duration::from_millis(20)).await;
    fleet.set_faults(1, Faults { cut_forward: true, cut_backward: true, ..Faults::default() });
    fleet.publish(&[("books", 2)], r#"["new","new.example","/get/","safe",2.5,1.0,2,2,"books"]"#);
    // Longer than a confirmation of the configuration counts.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let result = fleet.call(1, "new", 1, false).await;
    assert_eq!(result.status, 503, "{result:?}");
    let text = fleet.explain(&result.id).expect("the request is in no log");
    for part in [
        "entry: not routed",
        "code=212",
        "host=new.example",
        "orders=1",
        "orders_end=2",
        "config=1",
    ] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_when_the_nodes_output_is_not_read() {
    let mut fleet = Fleet::start(&[("books", 1)], Duration::from_millis(1)).await;
    fleet.start_node_unread(0);
    let mut served = 0;
    // At level debug each request logs some hundred bytes, so these fill the 64 KB of the pipe.
    for key in 0..1500 {
        served += u32::from(fleet.call(0, "books", key, false).await.status == 200);
    }
    assert!(served > 1000, "{served} of 1500 requests were served");
    assert_eq!(fleet.call(0, "books", 1, false).await.status, 200);
}
