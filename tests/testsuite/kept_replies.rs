//! What a gate does with requests that come again, and which replies it keeps for them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kelpwind::core::ids::ByteCount;
use kelpwind::mesh::kept_replies::{Decision, KeptReply, SessionRequests, choose_evictions};
use kelpwind::net::memory::{Hold, MemoryAccount, Place};

const RETENTION: Duration = Duration::from_millis(2500);
const MB: usize = 1 << 20;

/// Whether a running request may be stopped.
type Task = bool;
type Requests = SessionRequests<Task, &'static str>;

fn ended(number: u64) -> Requests {
    let mut requests = Requests::new(0);
    requests.start(number, false);
    assert!(requests.finish(number));
    requests.keep(number, "reply", Instant::now());
    requests
}

/// Guards against requests that run twice because a connection broke.
#[test]
fn a_request_that_comes_again_runs_once() {
    let mut requests = Requests::new(0);
    for idempotent in [true, false] {
        assert_eq!(requests.decide(7, idempotent), Decision::Run);
    }
    requests.start(7, false);
    for idempotent in [true, false] {
        assert_eq!(requests.decide(7, idempotent), Decision::Ignore);
        assert_eq!(ended(7).decide(7, idempotent), Decision::Resend("reply"));
    }
}

/// Guards against a lower number, which large messages have when they arrive late, being taken for
/// that of a request that has run.
#[test]
fn a_request_that_arrives_after_one_with_a_higher_number_runs() {
    assert_eq!(ended(7).decide(6, false), Decision::Run);
}

/// Guards against a second run of a request whose reply was dropped.
#[test]
fn a_repeat_after_its_reply_was_dropped_is_unknown() {
    let mut evicted = ended(7);
    evicted.drop_reply(7);
    let mut expired = ended(7);
    expired.prune(Instant::now() + RETENTION, RETENTION);
    for requests in [evicted, expired] {
        assert_eq!(requests.decide(7, false), Decision::Unknown);
        assert_eq!(requests.decide(7, true), Decision::Run);
        assert_eq!(requests.replies().count(), 0);
    }
}

/// Guards against a second run of a request of a session that was forgotten.
#[test]
fn a_repeat_after_its_session_was_forgotten_is_unknown() {
    let requests = Requests::new(7);
    assert_eq!(requests.decide(7, false), Decision::Unknown);
    assert_eq!(requests.decide(7, true), Decision::Run);
    assert_eq!(requests.decide(8, false), Decision::Run);
}

#[test]
fn replies_are_kept_for_as_long_as_an_entry_may_ask_for_them() {
    let mut requests = ended(7);
    requests.prune(Instant::now() + RETENTION / 2, RETENTION);
    assert_eq!(requests.decide(7, false), Decision::Resend("reply"));
}

/// Guards against replies that stay in memory although their entry has them.
#[test]
fn acknowledged_replies_are_dropped_and_late_copies_of_their_requests_do_not_run() {
    let mut requests = ended(7);
    requests.remove(7, |_| false);
    assert_eq!(requests.replies().count(), 0);
    assert_eq!(requests.below(8), [0; 0]);
    assert_eq!(requests.decide(7, false), Decision::Unknown);
    assert_eq!(requests.decide(8, false), Decision::Run);
}

/// Guards against replies that stay because the message that would have dropped them was lost.
#[test]
fn the_requests_below_the_oldest_unanswered_one_are_found() {
    let mut requests = Requests::new(0);
    for number in [1, 2, 3] {
        requests.start(number, number == 2);
    }
    requests.keep(1, "reply", Instant::now());
    assert_eq!(requests.below(3), [1, 2]);
}

/// Guards against replies to cancelled requests that stay in memory.
#[test]
fn the_reply_to_a_cancelled_request_that_goes_on_is_not_wanted() {
    let mut requests = Requests::new(0);
    requests.start(1, false);
    requests.start(2, true);
    for number in [1, 2] {
        requests.remove(number, |may_stop| *may_stop);
    }
    assert_eq!(requests.decide(1, false), Decision::Ignore, "it still runs");
    assert!(!requests.finish(1));
    assert_eq!(requests.below(9), [0; 0]);
}

/// Guards against requests that were stopped while their entry was away being lost.
#[test]
fn requests_that_were_stopped_run_when_they_come_again() {
    let mut requests = Requests::new(0);
    requests.start(1, false);
    requests.start(2, true);
    requests.stop_all(|may_stop| *may_stop);
    assert_eq!(requests.decide(1, false), Decision::Ignore);
    assert_eq!(requests.decide(2, false), Decision::Run);
}

#[test]
fn large_replies_go_first_and_the_oldest_of_them_before_others() {
    let now = Instant::now();
    let kept = |id, bytes, secs| KeptReply { id, bytes, at: now + Duration::from_secs(secs) };
    let all = vec![
        kept("small old", 1000, 0),
        kept("large new", 2 * MB, 3),
        kept("large old", MB, 1),
        kept("small new", 1000, 2),
    ];
    assert_eq!(choose_evictions(all.clone(), 0), [""; 0]);
    assert_eq!(choose_evictions(all.clone(), 1), ["large old"]);
    assert_eq!(choose_evictions(all.clone(), 3 * MB), ["large old", "large new"]);
    let everything = ["large old", "large new", "small old", "small new"];
    assert_eq!(choose_evictions(all, 9 * MB), everything);
}

/// Guards against replies for idle nodes that fill the memory of a gate, as in `review/4`.
#[test]
fn replies_kept_for_idle_nodes_stay_under_the_memory_bound() {
    const LIMIT: usize = 80 * MB;
    let account = MemoryAccount::new(ByteCount(LIMIT));
    let began = Instant::now();
    let mut sessions: Vec<SessionRequests<Task, Rc<Hold>>> = Vec::new();
    for node in 0..40 {
        let mut session = SessionRequests::new(0);
        let reply = Rc::new(account.take(Place::Reply, 16 * MB));
        session.keep(1, reply, began + Duration::from_secs(node));
        sessions.push(session);
        let kept = |(id, session): (usize, &SessionRequests<Task, Rc<Hold>>)| {
            let replies = session.replies();
            let kept = replies.map(|(_, r, at)| KeptReply { id, bytes: r.bytes(), at });
            kept.collect::<Vec<_>>()
        };
        let kept = sessions.iter().enumerate().flat_map(kept).collect();
        for id in choose_evictions(kept, (4 * MB).saturating_sub(account.free())) {
            sessions[id].drop_reply(1);
        }
        assert!(account.held(Place::Reply) <= LIMIT);
    }
    assert!(account.held(Place::Reply) > 0, "the newest are kept");
}
