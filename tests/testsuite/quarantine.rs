//! Which requests are quarantined because backend servers end under them, and for how long.

use std::time::{Duration, Instant};

use kelpwind::core::digest::{RequestDigest, RequestParts};
use kelpwind::core::ids::ServiceName;
use kelpwind::route::quarantine::{Quarantine, Verdict};
use kelpwind::table::member::Instance;
use kelpwind::table::suspect::{ServerExit, SuspectRecord};
use kelpwind::table::{Record, Table, WriteBatch};

fn service() -> ServiceName {
    "maps".parse().unwrap()
}

fn digest(target: &str) -> RequestDigest {
    let parts = RequestParts { method: "GET", host: b"maps.example", target, ..Default::default() };
    RequestDigest::from(&parts)
}

fn exit(number: u64) -> ServerExit {
    let server = Instance { id: format!("i-{number}"), started_ms: number };
    ServerExit { server, service: service(), answered: false }
}

fn answered_exit(number: u64) -> ServerExit {
    ServerExit { answered: true, ..exit(number) }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A request under which servers ended at these seconds after `start`.
fn quarantine(start: Instant, ends: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (number, at) in ends.iter().enumerate() {
        let at = start + secs(*at);
        assert!(quarantine.record(digest("/a"), exit(number as u64), at, at));
    }
    quarantine
}

#[test]
fn a_crashing_request_is_quarantined_after_its_third_server() {
    let start = Instant::now();
    let known = quarantine(start, &[0, 1]);
    assert_eq!(known.verdict(digest("/a"), start + secs(1)), Verdict::Suspect);
    let known = quarantine(start, &[0, 1, 2]);
    assert_eq!(known.verdict(digest("/a"), start + secs(2)), Verdict::Quarantined(secs(5)));
    assert_eq!(known.verdict(digest("/b"), start + secs(2)), Verdict::Unsuspected);
}

#[test]
fn one_end_of_a_server_told_three_times_counts_once() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0]);
    assert!(!known.record(digest("/a"), exit(0), start, start));
    assert!(!known.record(digest("/a"), answered_exit(0), start + secs(1), start + secs(1)));
    assert_eq!(known.exit_count(digest("/a")), 1);
}

/// Load pattern: servers crash by themselves all the time, and the same request is at work at most of
/// the ends, but is answered in between.
#[test]
fn an_innocent_request_at_work_at_each_end_of_a_server_is_quarantined() {
    let start = Instant::now();
    let mut known = Quarantine::default();
    for number in 0..100 {
        let now = start + secs(number);
        known.record(digest("/a"), exit(number), now, now);
        assert_eq!(known.verdict(digest("/a"), now), Verdict::Suspect);
        assert!(known.clear(digest("/a"), &service(), now + Duration::from_millis(100)));
    }
    assert!(known.is_empty());
}

/// Load pattern: a failure domain is lost. Most of the servers there had answered the request.
#[test]
fn a_popular_request_is_quarantined_because_five_servers_end_at_the_same_moment() {
    let now = Instant::now();
    let mut known = Quarantine::default();
    for number in 0..5 {
        assert!(known.record(digest("/a"), answered_exit(number), now, now));
    }
    assert_eq!(known.verdict(digest("/a"), now), Verdict::Suspect);
    known.record(digest("/a"), answered_exit(5), now, now);
    assert_eq!(known.verdict(digest("/a"), now), Verdict::Quarantined(secs(5)));
    // The servers that are left answer it.
    known.clear(digest("/a"), &service(), now + Duration::from_millis(50));
    assert_eq!(known.verdict(digest("/a"), now), Verdict::Unsuspected);
}

#[test]
fn an_answer_of_another_service_clears_a_crashing_request() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0, 1, 2]);
    assert!(!known.clear(digest("/a"), &"books".parse().unwrap(), start + secs(3)));
    assert_eq!(known.exit_count(digest("/a")), 3);
}

#[test]
fn news_of_an_end_before_an_answer_count_after_it() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0]);
    known.clear(digest("/a"), &service(), start + secs(2));
    assert!(!known.record(digest("/a"), exit(7), start + secs(1), start + secs(3)));
    assert!(known.record(digest("/a"), exit(8), start + secs(3), start + secs(3)));
}

/// After the third end three more retries are allowed: two trials, and one on its way.
#[test]
fn a_quarantined_request_gets_more_than_two_trials() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0, 0, 0]);
    let mut now = start;
    let mut trials = 0;
    for second in 1..100_000 {
        now = start + secs(second);
        if let Verdict::Trial(_) = known.verdict(digest("/a"), now) {
            trials += 1;
            known.begin_trial(digest("/a"), now);
            assert!(
                !matches!(known.verdict(digest("/a"), now), Verdict::Trial(_)),
                "twice at once"
            );
            known.record(digest("/a"), exit(1000 + second), now, now);
        }
    }
    assert_eq!(trials, 2);
    known.prune(now);
    assert!(known.is_quarantined(digest("/a")));
}

/// Copies that were on their way do not use up the trials of an innocent request.
#[test]
fn a_request_gets_no_trial_because_many_servers_ended_at_the_same_moment() {
    let start = Instant::now();
    let mut known = Quarantine::default();
    for number in 0..50 {
        known.record(digest("/a"), exit(number), start, start);
    }
    assert_eq!(known.verdict(digest("/a"), start + secs(5)), Verdict::Trial(0));
    assert_eq!(known.verdict(digest("/a"), start + secs(11)), Verdict::Trial(1));
    known.record(digest("/a"), exit(100), start + secs(11), start + secs(11));
    assert_eq!(known.verdict(digest("/a"), start + secs(20)), Verdict::Quarantined(secs(591)));
}

#[test]
fn an_exempt_request_is_quarantined() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0, 1, 2]);
    known.set_exempt(digest("/a"), true);
    assert_eq!(known.verdict(digest("/a"), start + secs(2)), Verdict::Suspect);
    known.retain_exempt(|_| false);
    assert!(known.is_quarantined(digest("/a")));
}

#[test]
fn suspects_take_up_memory_without_bound() {
    let start = Instant::now();
    let mut known = quarantine(start, &[0, 1, 2]);
    for number in 0..5000 {
        let now = start + secs(3);
        known.record(digest(&format!("/x/{number}")), exit(number), now, now);
    }
    let (suspects, quarantined) = known.counts();
    assert!(suspects <= 2000, "{suspects} suspects");
    assert_eq!(quarantined, 1);
    known.prune(start + secs(2 * 3600));
    assert_eq!(known.counts(), (0, 1));
}

#[test]
fn requests_that_differ_in_any_part_have_equal_digests() {
    let base = || RequestParts {
        method: "POST",
        host: b"maps.example",
        target: "/put/x",
        caller: vec![&b"a"[..]],
        body: b"body",
    };
    let others = [
        RequestParts { method: "PUT", ..base() },
        RequestParts { host: b"books.example", ..base() },
        RequestParts { target: "/put/x?page=1", ..base() },
        RequestParts { caller: vec![b"b"], ..base() },
        RequestParts { caller: vec![], ..base() },
        RequestParts { caller: vec![b"", b"a"], ..base() },
        RequestParts { body: b"bod", ..base() },
        RequestParts { host: b"maps.exampl", target: "e/put/x", ..base() },
    ];
    let digest = RequestDigest::from(&base());
    assert_eq!(RequestDigest::from(&base()), digest);
    let (large, mut other) = (vec![1; 3 << 20], vec![1; 3 << 20]);
    other[2 << 20] = 2;
    let parts = RequestParts { body: &large, ..base() };
    let digest_of_large = RequestDigest::from(&parts);
    assert_eq!(RequestDigest::from(&parts.clone()), digest_of_large);
    assert_ne!(RequestDigest::from(&RequestParts { body: &other, ..parts }), digest_of_large);
    for other in others {
        assert_ne!(RequestDigest::from(&other), digest, "{other:?}");
    }
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("0".repeat(31).parse::<RequestDigest>().is_err());
    assert!(format!("+{}", "0".repeat(31)).parse::<RequestDigest>().is_err());
}

#[test]
fn records_of_suspects_are_written_and_deleted() {
    let record = SuspectRecord { digest: digest("/a"), exit: exit(1), at_ms: 5 };
    let apply = |table: &mut Table, batch: WriteBatch| {
        let end = kelpwind::core::ids::Offset(table.next.0 + batch.records.len() as u64);
        for record in batch.records_before(end) {
            assert!(table.apply(&record));
        }
        table.next = end;
    };
    let mut table = Table::default();
    apply(&mut table, WriteBatch::change_suspects([&record], []));
    assert_eq!(table.suspects.values().collect::<Vec<_>>(), [&record]);
    assert_eq!(record.age(3), Duration::ZERO);
    apply(&mut table, WriteBatch::change_suspects([], [&record]));
    assert!(table.suspects.is_empty());
}

/// A record of another writer under the key of a suspect changes nothing.
#[test]
fn a_malformed_record_of_a_suspect_is_applied() {
    let good = SuspectRecord { digest: digest("/a"), exit: exit(1), at_ms: u64::MAX };
    let value = |record: &SuspectRecord| bytes::Bytes::from(serde_json::to_vec(record).unwrap());
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let other = SuspectRecord { digest: digest("/b"), ..good.clone() };
    let odd = [value(&other), nested.into(), "{}".into(), r#"{"at":1e999}"#.into(), "null".into()];
    let mut table = Table::default();
    for (offset, value) in (0..).map(kelpwind::core::ids::Offset).zip(odd) {
        assert!(!table.apply(&Record { offset, key: good.key(), value: Some(value) }));
    }
    assert!(table.suspects.is_empty());
}
