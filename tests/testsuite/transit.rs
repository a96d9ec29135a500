//! Messages that are on their way for longer than usual.

use std::time::Duration;

use kelpwind::lease::clock::BootInstant;
use kelpwind::net::transit::TransitTime;

const MS: u64 = 1000;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_micros(ms * MS)
}

/// A request that is read after a stall must not run with the time that its caller had when it was sent.
#[test]
fn a_request_keeps_its_time_while_its_link_stalls() {
    let mut transit = TransitTime::default();
    // The sender's host was started 700 s after the receiver's.
    assert_eq!(transit.record(at(1000), at(701_003)), Duration::ZERO);
    assert_eq!(transit.record(at(1100), at(701_101)), Duration::ZERO);
    let delay = transit.record(at(1200), at(703_201));
    assert!((1950..=2000).contains(&delay.as_millis()), "{delay:?}");
    assert!(transit.record(at(3300), at(703_302)) < Duration::from_millis(5));
}

/// Clocks that drift apart must not make all requests look late.
#[test]
fn a_clock_that_runs_faster_makes_no_request_late() {
    let mut transit = TransitTime::default();
    for second in 0..3600 {
        let sent = at(second * 1000);
        let received = at(second * 1000 + second * 15);
        assert!(transit.record(sent, received) < Duration::from_millis(1), "after {second} s");
    }
}
