//! Requests whose nested calls fail, replayed without a network.

use std::time::{Duration, Instant};

use kelpwind::gate::call_tree::CallTrees;

const MS: Duration = Duration::from_millis(1);

/// Requests of 100 ms, one per 10 ms, of which each makes one call. Calls beyond `capacity` of what all
/// requests would make are refused. All nodes decide alike, so fewer requests make fewer calls.
struct Replay {
    trees: CallTrees,
    random: fastrand::Rng,
    now: Instant,
    admitted: u32,
    lost: u32,
}

impl Replay {
    fn new() -> Replay {
        let random = fastrand::Rng::with_seed(7);
        let (trees, now) = (CallTrees::default(), Instant::now());
        Replay { trees, random, now, admitted: 0, lost: 0 }
    }

    fn run(&mut self, count: u32, capacity: f64) {
        (self.admitted, self.lost) = (0, 0);
        for _ in 0..count {
            self.now += 10 * MS;
            let share = 1.0 - self.trees.refused_share("read", self.now);
            if !self.trees.admits("read", self.random.f64(), self.now) {
                continue;
            }
            self.admitted += 1;
            let failed = self.random.f64() >= capacity / share;
            if failed {
                self.lost += 1;
                self.trees.record_failed_call(self.now);
            }
            let began = self.now - 100 * MS;
            self.trees.record_answer("read", began, failed, self.now + 5 * MS);
        }
    }
}

/// Guards against requests that use slots and end with an error, where fewer of them would succeed.
#[test]
fn fewer_requests_are_admitted_while_their_calls_fail() {
    let mut replay = Replay::new();
    replay.run(100, 2.0);
    assert_eq!((replay.admitted, replay.lost), (100, 0));
    replay.run(2000, 0.5);
    println!("admitted {} lost {} of 2000", replay.admitted, replay.lost);
    let lost = f64::from(replay.lost) / f64::from(replay.admitted);
    assert!(lost < 0.3, "half without it, {lost}");
    let served = replay.admitted - replay.lost;
    assert!(served >= 900, "calls that are served are used: {served} of 1000");
}

/// Guards against requests that are kept out after the fault has ended.
#[test]
fn all_are_admitted_again_two_seconds_after_calls_succeed() {
    let mut replay = Replay::new();
    replay.run(1000, 0.1);
    assert!(replay.trees.refused_share("read", replay.now) > 0.5);
    replay.run(200, 2.0);
    assert_eq!(replay.trees.refused_share("read", replay.now), 0.0);
    // Without any request, too.
    replay.run(1000, 0.1);
    let later = replay.now + 2000 * MS;
    assert_eq!(replay.trees.refused_share("read", later), 0.0);
}

/// Guards against refusals because of errors that the server makes by itself, or because of failures
/// of other callers on the host.
#[test]
fn errors_and_failures_of_others_alone_refuse_nothing() {
    let mut now = Instant::now();
    let mut trees = CallTrees::default();
    for _ in 0..200 {
        now += 10 * MS;
        trees.record_answer("broken", now - 100 * MS, true, now);
    }
    for _ in 0..200 {
        now += 10 * MS;
        trees.record_failed_call(now);
        trees.record_answer("sound", now - 100 * MS, false, now);
    }
    assert_eq!(trees.refused_share("broken", now), 0.0);
    assert_eq!(trees.refused_share("sound", now), 0.0);
}

/// Guards against a failed call that is held responsible for several errors, or for the error of a
/// request that began after it.
#[test]
fn a_failed_call_explains_one_error_of_a_request_that_ran() {
    let now = Instant::now();
    let mut trees = CallTrees::default();
    trees.record_failed_call(now);
    for _ in 0..20 {
        trees.record_answer("once", now - 100 * MS, true, now + 5 * MS);
        trees.record_answer("after", now + MS, true, now + 5 * MS);
    }
    assert_eq!(trees.refused_share("once", now + 5 * MS), 0.0);
    assert_eq!(trees.refused_share("after", now + 5 * MS), 0.0);
}
