//! The ways of docs/OPERATIONS.md from a failed request to its cause: each test makes the failure, and
//! finds the cause in the logs of the nodes as the page says.

use std::time::Duration;

use crate::users::fleet::{Fleet, Told};

/// Keys all over the range.
const KEYS: [u16; 12] =
    [0, 6_000, 12_000, 18_000, 24_000, 30_000, 36_000, 42_000, 48_000, 54_000, 60_000, 65_535];

/// The explanation of the first of these requests whose failure is in the logs: lines of one kind are
/// limited to some a second.
fn explained(fleet: &Fleet, failed: &[&Told]) -> String {
    let told = |t: &&Told| fleet.explain(&t.id).filter(|text| text.contains("entry: failed"));
    let found = failed.iter().find_map(told);
    found.unwrap_or_else(|| panic!("no log names any of {failed:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_under_load_shows_the_line_it_met() {
    let fleet = Fleet::start(&[("books", 1)], Duration::from_millis(300)).await;
    let calls = (0..60).map(|i| fleet.call(0, "books", i, false));
    let told = futures_util::future::join_all(calls).await;
    let refused: Vec<&Told> = told.iter().filter(|t| t.status == 503).collect();
    let text = explained(&fleet, &refused);
    for part in ["entry: failed", "gate: not run", "code=205", "room_ms=", "running=6", "waiting="]
    {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_shows_the_node_that_was_lost() {
    let mut fleet = Fleet::start(&[("books", 3)], Duration::from_millis(500)).await;
    let calls = KEYS.map(|key| fleet.detached_call(1, "books", key, true));
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.machines[0].node = None;
    fleet.machines[0].server.take().unwrap().crash();
    let told: Vec<Told> =
        futures_util::future::join_all(calls).await.into_iter().map(Result::unwrap).collect();
    let unknown: Vec<&Told> = told.iter().filter(|t| t.status == 502).collect();
    let text = explained(&fleet, &unknown);
    for part in ["entry: failed", "code=300", "lost contact with a node"] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
    let lost = fleet.machines[0].ip.to_string();
    let contact = text.lines().find(|l| l.contains("lost contact")).unwrap();
    assert!(contact.contains(&lost), "the lost node is named in:\n{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_a_moving_key_shows_why_it_moves() {
    // Longer than requests wait for a key: a move waits for the work that runs on its keys.
    let fleet = Fleet::start(&[("books", 3)], Duration::from_millis(700)).await;
    let keys_of_first = &KEYS[..4];
    let call = |machine: usize, key: &u16| fleet.detached_call(machine, "books", *key, false);
    let running: Vec<_> = keys_of_first.iter().map(|key| call(0, key)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.machines[0].server.as_ref().unwrap().drain();
    let mut told = Vec::new();
    for machine in [1, 2, 1, 2] {
        tokio::time::sleep(Duration::from_millis(100)).await;
        told.extend(keys_of_first.iter().map(|key| call(machine, key)));
    }
    let told = futures_util::future::join_all(told).await;
    let told: Vec<Told> = told.into_iter().map(Result::unwrap).collect();
    futures_util::future::join_all(running).await;
    let code = |t: &Told| String::from_utf8_lossy(&t.body).contains("[210]");
    let moving: Vec<&Told> = told.iter().filter(|t| t.status == 503 && code(t)).collect();
    let text = explained(&fleet, &moving);
    for part in ["entry: failed", "code=210", "keys begin to move", "must=true"] {
        assert!(text.contains(part), "'{part}' is missing in:\n{text}");
    }
    let state = text.lines().find(|l| l.contains("the backend server's state changed"));
    assert!(state.is_some_and(|l| l.contains("draining=true")), "the cause is missing in:\n{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_nobody_reads_the_log() {
    let mut fleet = Fleet::start(&[("books", 1)], Duration::from_millis(1)).await;
    fleet.start_node_unread(0);
    let mut served = 0;
    // At the level debug each request writes some hundred bytes; a pipe holds 64 KB.
    for key in 0..1500 {
        served += u32::from(fleet.call(0, "books", key, false).await.status == 200);
    }
    assert!(served > 1000, "{served} of 1500 requests were served");
    assert_eq!(fleet.call(0, "books", 1, false).await.status, 200);
}
