//! Freshness of a node's copy of a log.

use std::time::{Duration, Instant};

use kelpwind::core::freshness::{Freshness, MAX_AGE};
use kelpwind::core::ids::Offset;

fn read_up_to(offset: u64, at: Instant) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.record_read(Offset(offset), Offset(offset), at);
    freshness
}

#[test]
fn a_copy_that_was_never_confirmed_is_not_current() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(Instant::now()));
    freshness.record_failure();
    assert!(freshness.is_failing());
}

#[test]
fn a_confirmation_expires() {
    let now = Instant::now();
    let freshness = read_up_to(5, now);
    assert!(freshness.is_current(now + MAX_AGE));
    assert!(!freshness.is_current(now + MAX_AGE + Duration::from_millis(1)));
}

#[test]
fn a_copy_is_outdated_as_soon_as_another_node_has_read_further() {
    let now = Instant::now();
    let mut freshness = read_up_to(5, now);
    freshness.record_end(Offset(5));
    assert!(freshness.is_current(now));
    freshness.record_end(Offset(6));
    assert!(!freshness.is_current(now));
    freshness.record_read(Offset(6), Offset(6), now);
    assert!(freshness.is_current(now));
}

#[test]
fn an_answer_that_does_not_reach_the_end_confirms_nothing() {
    let now = Instant::now();
    let mut freshness = read_up_to(5, now);
    freshness.record_read(Offset(6), Offset(8), now + MAX_AGE);
    assert!(!freshness.is_current(now + MAX_AGE));
}

#[test]
fn an_answer_that_arrives_late_does_not_shorten_a_newer_confirmation() {
    let now = Instant::now();
    let mut freshness = read_up_to(5, now + MAX_AGE);
    freshness.record_read(Offset(5), Offset(5), now);
    assert!(freshness.is_current(now + MAX_AGE * 2));
}

#[test]
fn a_failed_read_leaves_a_confirmation_valid_for_its_time() {
    let now = Instant::now();
    let mut freshness = read_up_to(5, now);
    freshness.record_failure();
    assert!(freshness.is_failing() && freshness.is_current(now + MAX_AGE));
    freshness.record_read(Offset(5), Offset(5), now);
    assert!(!freshness.is_failing());
}
