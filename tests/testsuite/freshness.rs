//! Freshness of a node's copy of a log.

use std::time::{Duration, Instant};

use kelpwind::core::freshness::Freshness;
use kelpwind::core::ids::Offset;

#[test]
fn a_copy_is_current_if_it_includes_what_a_later_read_found() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut freshness = Freshness::default();
    assert!(!freshness.is_current(Offset(9), at(0)), "nothing was read yet");
    freshness.observe(at(10), Offset(5));
    assert!(freshness.is_current(Offset(5), at(10)));
    assert!(freshness.is_current(Offset(6), at(9)));
    assert!(!freshness.is_current(Offset(4), at(9)), "a record is missing");
    assert!(!freshness.is_current(Offset(5), at(11)), "the read began before");
    // A long read that began earlier returns later.
    freshness.observe(at(8), Offset(6));
    assert!(freshness.is_current(Offset(5), at(10)));
}

#[test]
fn a_copy_is_outdated_as_soon_as_another_node_has_read_further() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(now, Offset(5));
    freshness.announce(Offset(5), now);
    assert!(freshness.is_current(Offset(5), now));
    freshness.announce(Offset(6), now);
    assert_eq!(freshness.end(), Offset(6));
    assert!(!freshness.is_current(Offset(5), now));
    assert!(freshness.is_current(Offset(6), now));
}

#[test]
fn what_other_nodes_have_read_does_not_make_a_copy_current() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.announce(Offset(5), now);
    assert!(!freshness.is_current(Offset(5), now));
    freshness.observe(now, Offset(5));
    freshness.announce(Offset(5), now);
    assert!(!freshness.is_current(Offset(5), now + Duration::from_millis(1)));
}

#[test]
fn an_announcement_that_a_later_read_refutes_is_forgotten() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut freshness = Freshness::default();
    freshness.announce(Offset(9), at(10));
    freshness.observe(at(10), Offset(5));
    assert!(!freshness.is_current(Offset(5), at(0)), "the read may be older");
    freshness.observe(at(11), Offset(5));
    assert!(freshness.is_current(Offset(5), at(11)));
}
