//! Grants in the answers to a server's reports: what a report proves, when it is answered, and that no
//! hold is forgotten too early.

use std::time::Duration;

use kelpwind::core::ids::Token;
use kelpwind::gate::grant_time::{
    EXCESS_MAX, REPORT_RENEW_MARGIN, grant_duration, latest_expiry, lease_excess,
};
use kelpwind::lease::clock::BootInstant;
use kelpwind::lease::{EXPIRY_MARGIN, LEASE_DURATION, RENEW_INTERVAL};
use kelpwind::mesh::held_ranges::HeldRanges;
use kelpwind::mesh::platform_api::ReportedKeys;
use kelpwind::mesh::report_exchanges::{
    ANSWER_DELAY_MAX, ConnectionId, ReportExchanges, answer_time,
};
use kelpwind::table::keys::{KEY_MAX, Range, Span};
use proptest::prelude::*;

fn at(millis: u64) -> BootInstant {
    BootInstant::from_micros(millis * 1000)
}

fn span(first: u16, last: u16) -> Span {
    Span { first, last }
}

fn reported(rows: &[(u16, u16, u64)]) -> ReportedKeys {
    let held = rows.iter().map(|(first, last, token)| (span(*first, *last), Token(*token)));
    ReportedKeys { held: held.collect(), released: Vec::new() }
}

fn range(first: u16, last: u16, token: u64) -> Range {
    Range { span: span(first, last), owner: None, token: Token(token), handover: None }
}

#[test]
fn only_answers_over_the_connection_of_a_report_were_taken_before_it() {
    let mut exchanges = ReportExchanges::default();
    let (old, new) = (ConnectionId(1), ConnectionId(2));
    exchanges.record_grant(old, 1);
    exchanges.record_grant(new, 2);
    assert_eq!(exchanges.confirm(new), vec![2]);
    assert_eq!(exchanges.confirm(new), Vec::<u64>::new());
    assert_eq!(exchanges.confirm(old), vec![1]);
}

#[test]
fn another_process_confirms_nothing_of_the_former_one() {
    let mut exchanges = ReportExchanges::default();
    exchanges.record_grant(ConnectionId(1), 1);
    exchanges.record_released(&[(span(0, 9), "left".to_owned())]);
    let former = exchanges.session();
    exchanges.begin_session();
    assert_ne!(exchanges.session(), former);
    assert_eq!(exchanges.confirm(ConnectionId(1)), Vec::<u64>::new());
    assert_eq!(exchanges.handover(span(0, 9)), None);
}

#[test]
fn keys_that_no_row_lists_are_not_held() {
    let all = span(0, KEY_MAX);
    assert_eq!(reported(&[]).unheld(), vec![all]);
    assert_eq!(reported(&[(0, KEY_MAX, 1)]).unheld(), Vec::<Span>::new());
    // The server still works on some keys under the lower token.
    let overlapping = reported(&[(10, 99, 2), (20, 29, 1), (200, 299, 2)]);
    assert_eq!(overlapping.unheld(), vec![span(0, 9), span(100, 199), span(300, KEY_MAX)]);
}

#[test]
fn a_span_is_covered_by_rows_of_its_token_only() {
    let keys = reported(&[(0, 9, 2), (10, 19, 2), (20, 29, 1)]);
    assert!(keys.covers(span(5, 15), Token(2)));
    assert!(!keys.covers(span(5, 25), Token(2)));
    assert!(!keys.covers(span(20, 25), Token(2)));
}

#[test]
fn keys_are_handed_over_with_the_state_that_fits_most_of_them() {
    let mut exchanges = ReportExchanges::default();
    let rows = [(span(0, 9), "a"), (span(10, 99), "b"), (span(200, 299), "")];
    exchanges.record_released(&rows.map(|(span, state)| (span, state.to_owned())));
    assert_eq!(exchanges.handover(span(5, 50)).as_deref(), Some("b"));
    assert_eq!(exchanges.handover(span(0, 12)).as_deref(), Some("a"));
    assert_eq!(exchanges.handover(span(200, 299)), None);
    exchanges.forget_released(span(0, 5));
    assert_eq!(exchanges.handover(span(0, 9)), None);
}

#[test]
fn an_answer_waits_for_as_long_as_the_grants_in_force_allow() {
    let arrival = at(10_000);
    assert_eq!(answer_time(arrival, None), arrival + ANSWER_DELAY_MAX);
    let late = arrival + Duration::from_secs(5);
    assert_eq!(answer_time(arrival, Some(late)), arrival + ANSWER_DELAY_MAX);
    let soon = arrival + Duration::from_millis(400);
    assert_eq!(answer_time(arrival, Some(soon)), soon - REPORT_RENEW_MARGIN);
    // A range that the server was never granted.
    assert!(answer_time(arrival, Some(BootInstant::default())) < arrival);
}

/// Reports come at the usual interval or a tenth later, and each is answered at the worst moment of
/// the lease.
#[test]
fn grants_last_from_one_report_to_the_next() {
    for interval in [300, 870, 1000, 1500, 2200].map(Duration::from_millis) {
        let arrival = at(10_000);
        let lease_end = arrival + (LEASE_DURATION - EXPIRY_MARGIN - RENEW_INTERVAL);
        let ends = lease_end + lease_excess(Duration::ZERO, Some(interval));
        let longest = Duration::from_secs(10);
        let duration = grant_duration(ends, arrival, longest, Duration::ZERO).unwrap();
        assert!(latest_expiry(arrival, duration, Duration::ZERO) <= ends);
        let next = interval.mul_f64(1.1) + REPORT_RENEW_MARGIN;
        let rounding = Duration::from_micros(10);
        assert!(duration + rounding >= next, "{interval:?}: {duration:?} is less than {next:?}");
    }
}

/// Servers end work with an error that goes on for longer than the grant in force when it began.
#[test]
fn grants_last_for_as_long_as_answers_to_their_service_may_take() {
    for objective in [150, 400, 2000].map(Duration::from_millis) {
        let sent = at(10_000);
        let lease_end = sent + (LEASE_DURATION - EXPIRY_MARGIN - RENEW_INTERVAL);
        let ends = lease_end + lease_excess(objective, None);
        let transit = Duration::from_millis(60);
        let duration = grant_duration(ends, sent, Duration::from_secs(10), transit).unwrap();
        // Work may begin right before the next renewal.
        assert!(duration - RENEW_INTERVAL >= objective / 2, "{objective:?}: {duration:?}");
        assert!(latest_expiry(sent, duration, transit) <= ends);
    }
    assert!(lease_excess(Duration::from_secs(60), None) <= EXCESS_MAX);
    assert_eq!(lease_excess(Duration::from_secs(1), Some(Duration::from_secs(60))), EXCESS_MAX);
}

/// A step of the exchanges between a node and a server with one key.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The server sends a report, over a new connection or over the latest one if no answer is
    /// outstanding there. The answer grants the key or leaves it out.
    Report { new_connection: bool, grant: bool },
    /// The server takes the oldest answer that it has not taken.
    TakeAnswer,
    /// That answer is lost with its connection.
    LoseAnswer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..900).prop_map(Step::Wait),
        (any::<bool>(), any::<bool>())
            .prop_map(|(new_connection, grant)| Step::Report { new_connection, grant }),
        Just(Step::TakeAnswer),
        Just(Step::LoseAnswer),
    ]
}

/// An answer on its way to the server.
struct Answer {
    conn: u64,
    /// Until when the server holds the key by it; `None` if the key is left out.
    holds: Option<BootInstant>,
}

proptest! {
    /// The server takes answers late, in order, or not at all, and may report before it has taken
    /// them. The node never takes the key for free while the server holds it or may yet do so.
    #[test]
    fn no_hold_is_forgotten_too_early(steps in prop::collection::vec(step(), 1..60)) {
        const KEY: u16 = 7;
        let mut held = HeldRanges::default();
        held.sync([range(KEY, KEY, 1)].iter());
        let mut exchanges = ReportExchanges::default();
        let session = exchanges.session();
        let mut now = at(1_000_000);
        let (mut conn, mut server_holds) = (0, BootInstant::default());
        let mut answers: Vec<Answer> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
                Step::Report { new_connection, grant } => {
                    if new_connection || answers.iter().any(|a| a.conn == conn) {
                        conn += 1;
                    }
                    let rows: &[_] = if server_holds > now { &[(KEY, KEY, 1)] } else { &[] };
                    for number in exchanges.confirm(ConnectionId(conn)) {
                        held.holds.accept(number);
                    }
                    held.holds.prune(now);
                    for free in reported(rows).unheld() {
                        let release = held.holds.release(free, Token(u64::MAX), session);
                        held.holds.record_release(&release);
                    }
                    let until = now + Duration::from_millis(1000);
                    if grant {
                        let number = held.assign(0, session, until);
                        exchanges.record_grant(ConnectionId(conn), number);
                    }
                    answers.push(Answer { conn, holds: grant.then_some(until) });
                }
                Step::TakeAnswer if !answers.is_empty() => {
                    let answer = answers.remove(0);
                    server_holds = answer.holds.unwrap_or_default();
                }
                Step::LoseAnswer if !answers.is_empty() => {
                    let lost = answers.remove(0);
                    conn += u64::from(lost.conn == conn);
                }
                Step::TakeAnswer | Step::LoseAnswer => {}
            }
            let pending = answers.iter().filter_map(|a| a.holds);
            let until = pending.chain([server_holds]).max().unwrap_or_default();
            if until > now {
                prop_assert!(held.held_until(KEY) >= until, "held until {until}, not known at {now}");
            }
        }
    }
}
