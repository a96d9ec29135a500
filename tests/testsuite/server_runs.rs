//! Which requests are suspects when a backend server's process has ended.

use std::time::{Duration, Instant};

use kelpwind::gate::server_runs::{RunEnd, ServerRuns};
use kelpwind::table::member::Instance;

fn instance(number: u64) -> Instance {
    Instance { id: format!("i-{number}"), started_ms: number }
}

fn suspects(
    runs: &mut ServerRuns<&'static str>,
    number: u64,
    now: Instant,
) -> Vec<(&'static str, bool)> {
    let taken = runs.take_suspects(&instance(number), now).into_iter();
    taken.map(|s| (s.request, s.answered)).collect()
}

#[test]
fn requests_at_work_and_lost_ones_are_suspects() {
    let start = Instant::now();
    let mut runs = ServerRuns::default();
    let a = runs.begin(&instance(1), 10, "a");
    let b = runs.begin(&instance(1), 11, "b");
    let c = runs.begin(&instance(1), 12, "c");
    runs.begin(&instance(1), 13, "d");
    runs.finish(a, RunEnd::Lost, start);
    runs.finish(b, RunEnd::Answered, start);
    runs.finish(c, RunEnd::Other, start);
    assert!(runs.has_losses(start));
    assert_eq!(suspects(&mut runs, 1, start), [("a", false), ("d", false)]);
    assert!(!runs.has_losses(start));
    assert_eq!(suspects(&mut runs, 1, start), []);
}

/// The caller of a request that ends a server may have left before.
#[test]
fn a_crashing_request_whose_caller_left_is_no_suspect() {
    let start = Instant::now();
    let mut runs = ServerRuns::default();
    let a = runs.begin(&instance(1), 10, "a");
    let b = runs.begin(&instance(1), 11, "b");
    let c = runs.begin(&instance(1), 12, "c");
    runs.finish(a, RunEnd::GivenUp, start);
    runs.finish(b, RunEnd::GivenUp, start + Duration::from_secs(2));
    runs.finish(c, RunEnd::Lost, start + Duration::from_millis(2500));
    let now = start + Duration::from_millis(2600);
    assert_eq!(suspects(&mut runs, 1, now), [("b", false), ("c", false)]);
}

/// Connections that were reset long before are not a sign that the process ended then.
#[test]
fn requests_whose_connections_were_reset_before_are_suspects() {
    let start = Instant::now();
    let mut runs = ServerRuns::default();
    let a = runs.begin(&instance(1), 10, "a");
    let b = runs.begin(&instance(1), 11, "b");
    runs.finish(a, RunEnd::Lost, start);
    runs.finish(b, RunEnd::Lost, start + Duration::from_secs(5));
    assert_eq!(suspects(&mut runs, 1, start + Duration::from_secs(7)), [("b", false)]);
    let c = runs.begin(&instance(2), 10, "c");
    runs.finish(c, RunEnd::Lost, start);
    assert_eq!(suspects(&mut runs, 2, start + Duration::from_secs(60)), []);
}

#[test]
fn a_process_that_had_answered_a_request_is_not_told_apart() {
    let start = Instant::now();
    let mut runs = ServerRuns::default();
    let a = runs.begin(&instance(1), 10, "a");
    runs.finish(a, RunEnd::Answered, start);
    runs.begin(&instance(1), 10, "a");
    runs.begin(&instance(1), 11, "b");
    assert_eq!(suspects(&mut runs, 1, start), [("a", true), ("b", false)]);
    // The next process has answered nothing.
    runs.begin(&instance(2), 10, "a");
    assert_eq!(suspects(&mut runs, 1, start), []);
    assert_eq!(suspects(&mut runs, 2, start), [("a", false)]);
}

#[test]
fn lost_requests_take_up_memory_without_bound() {
    let start = Instant::now();
    let mut runs = ServerRuns::default();
    for number in 0..10_000 {
        let run = runs.begin(&instance(1), number, "a");
        runs.finish(run, RunEnd::Lost, start);
    }
    assert!(suspects(&mut runs, 1, start).len() <= 128);
}
