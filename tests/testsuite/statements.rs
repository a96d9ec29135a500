//! What is known of the statements of backend servers when answers overtake one another, and when
//! nodes pass statements on.

use std::time::{Duration, Instant};

use kelpwind::mesh::platform_api::{ServerState, StatedLimit};
use kelpwind::mesh::statements::{PeerStatement, ServerStatements};
use kelpwind::table::member::Instance;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn instance(started_ms: u64) -> Instance {
    Instance { id: "i-1".to_owned(), started_ms }
}

fn limit(rate: Option<f64>) -> ServerState {
    let limit = rate.map_or(StatedLimit::None, |r| StatedLimit::Rate(r.try_into().unwrap()));
    ServerState { limit, ..ServerState::default() }
}

fn leaving() -> ServerState {
    ServerState { leaving: true, ..ServerState::default() }
}

fn rate_of(statements: &ServerStatements, server: &Instance) -> Option<f64> {
    statements.limit(server).map(|l| l.rate.per_second())
}

/// An answer that was on its way when the limit was stated does not loosen it; one to a later
/// request does.
#[rstest]
#[case::lower(Some(4.0), Some(4.0), Some(4.0))]
#[case::higher(Some(16.0), Some(8.0), Some(16.0))]
#[case::none(None, Some(8.0), None)]
fn an_older_answer_lifts_the_limit(
    #[case] stated: Option<f64>,
    #[case] asked_before: Option<f64>,
    #[case] asked_after: Option<f64>,
) {
    let (server, now) = (instance(1), Instant::now());
    let mut statements = ServerStatements::default();
    statements.record(&server, &limit(Some(8.0)), now, now + 10 * MS);
    let mut late = statements.clone();
    late.record(&server, &limit(stated), now + 5 * MS, now + 20 * MS);
    assert_eq!(rate_of(&late, &server), asked_before);
    statements.record(&server, &limit(stated), now + 11 * MS, now + 20 * MS);
    assert_eq!(rate_of(&statements, &server), asked_after);
}

#[rstest]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("ten")]
#[case("")]
fn a_malformed_rate_is_parsed(#[case] raw: &str) {
    assert!(raw.parse::<kelpwind::core::ids::RequestRate>().is_err());
}

#[test]
fn a_malformed_limit_changes_the_one_in_force() {
    let (server, now) = (instance(1), Instant::now());
    let mut statements = ServerStatements::default();
    statements.record(&server, &limit(Some(8.0)), now, now);
    let malformed =
        ServerState { limit: StatedLimit::Malformed("-1".to_owned()), ..ServerState::default() };
    let change = statements.record(&server, &malformed, now + MS, now + 2 * MS);
    assert!(!change.is_any());
    assert_eq!(rate_of(&statements, &server), Some(8.0));
}

/// A server that starts again under its id has stated nothing; late answers of its former life are
/// ignored.
#[test]
fn a_later_instance_inherits_what_the_former_one_stated() {
    let (former, next, now) = (instance(1), instance(2), Instant::now());
    let mut statements = ServerStatements::default();
    statements.record(&former, &leaving(), now, now);
    assert!(statements.leaving_since(&former).is_some());
    assert!(statements.leaving_since(&next).is_none());
    statements.record(&next, &limit(Some(8.0)), now + MS, now + MS);
    statements.record(&former, &leaving(), now + MS, now + 2 * MS);
    assert!(statements.leaving_since(&next).is_none());
    assert_eq!(rate_of(&statements, &next), Some(8.0));
}

/// A server does not come back by an answer that does not say that it leaves, or by one of a gate
/// that does not know.
#[test]
fn a_server_that_leaves_comes_back() {
    let (server, now) = (instance(1), Instant::now());
    let mut statements = ServerStatements::default();
    statements.record(&server, &leaving(), now, now + MS);
    statements.record(&server, &limit(None), now + 2 * MS, now + 3 * MS);
    let unknowing = PeerStatement { instance: server.clone(), limit: None, leaving_ms: None };
    statements.learn(&unknowing, now + 4 * MS, now + 5 * MS);
    assert_eq!(statements.leaving_since(&server), Some(now + MS));
}

/// What another node passes on counts from when the server said it, and only as far as the gate has
/// not heard the server itself.
#[test]
fn a_gate_prefers_what_others_pass_on() {
    let (server, now) = (instance(1), Instant::now() + Duration::from_secs(60));
    let rate = Some(8.0.try_into().unwrap());
    let passed = PeerStatement { instance: server.clone(), limit: rate, leaving_ms: Some(5000) };
    let mut unknowing = ServerStatements::default();
    let change = unknowing.adopt(&passed, now);
    assert!(change.limit && change.leaving);
    assert_eq!(rate_of(&unknowing, &server), Some(8.0));
    assert_eq!(unknowing.leaving_since(&server), Some(now - Duration::from_secs(5)));
    let mut unaware = ServerStatements::default();
    unaware.record(&server, &leaving(), now, now);
    assert!(unaware.adopt(&passed, now).leaving, "it began to leave earlier than the gate knew");
    assert_eq!(unaware.leaving_since(&server), Some(now - Duration::from_secs(5)));
    let mut knowing = ServerStatements::default();
    knowing.record(&server, &limit(Some(2.0)), now, now);
    knowing.record(&server, &limit(None), now + MS, now + 2 * MS);
    knowing.adopt(&passed, now + 3 * MS);
    assert_eq!(rate_of(&knowing, &server), None);
}

/// The end of a limit reaches entries, too.
#[test]
fn an_entry_does_not_learn_that_a_limit_has_ended() {
    let (server, now) = (instance(1), Instant::now());
    let (mut gate, mut entry) = (ServerStatements::default(), ServerStatements::default());
    gate.record(&server, &limit(Some(8.0)), now, now);
    entry.learn(&gate.for_peers("i-1", now).unwrap(), now, now + MS);
    assert_eq!(rate_of(&entry, &server), Some(8.0));
    gate.record(&server, &limit(None), now + 2 * MS, now + 3 * MS);
    entry.learn(&gate.for_peers("i-1", now).unwrap(), now + 2 * MS, now + 4 * MS);
    assert_eq!(rate_of(&entry, &server), None);
}
