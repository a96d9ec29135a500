//! Bookkeeping of the keys that a backend server holds: until when the server may hold a key is
//! never forgotten too early.

use std::time::Duration;

use kelpwind::core::ids::Token;
use kelpwind::lease::clock::BootInstant;
use kelpwind::mesh::held_ranges::{HeldRange, HeldRanges, split};
use kelpwind::table::keys::{Range, Span};

/// Duration of a grant.
const GRANT: Duration = Duration::from_millis(1000);

fn at(millis: u64) -> BootInstant {
    BootInstant::from_micros(millis * 1000)
}

fn span(first: u16, last: u16) -> Span {
    Span { first, last }
}

/// A range of the table. This module sees only ranges of its own node, so the owner is left out.
fn range(first: u16, last: u16, token: u64) -> Range {
    Range { span: span(first, last), owner: None, token: Token(token), handover: None }
}

fn synced(ranges: &[Range]) -> HeldRanges {
    let mut held = HeldRanges::default();
    held.sync(ranges.iter());
    held
}

/// Sends a grant of the listed range that starts at `first`, and returns its number.
fn grant(held: &mut HeldRanges, first: u16, now: BootInstant) -> u64 {
    held.last_grant += 1;
    let number = held.last_grant;
    let range = held.ranges.iter_mut().find(|r| r.span.first == first).unwrap();
    assert!(range.in_flight.is_none() && !range.leaving);
    range.begin_grant(number, now + GRANT, now);
    number
}

/// Sends a grant of the listed range that starts at `first`, which the server answers.
fn answered_grant(held: &mut HeldRanges, first: u16, now: BootInstant) {
    let known = held.ranges.iter().find(|r| r.span.first == first).unwrap();
    let token = known.token;
    let number = grant(held, first, now);
    for range in held.end_grant(number, token, true) {
        range.active_until = Some(now + GRANT);
    }
}

/// Begins to move a span.
fn leave(held: &mut HeldRanges, moved: Span) {
    held.ranges = held.ranges.drain(..).flat_map(|r| split(r, moved)).collect();
}

/// Ends a move whose record was not written.
fn stay(held: &mut HeldRanges) {
    held.ranges.iter_mut().for_each(|r| r.leaving = false);
}

/// A release of part of a range must not count as one of the whole range.
#[test]
fn a_merged_range_is_held_although_its_first_part_was_released() {
    let table = [range(0, 9, 1)];
    let mut held = synced(&table);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 4));
    held.record_release(span(0, 4), Token(1));
    assert_eq!(held.leaving_until(), at(0));
    stay(&mut held);
    held.sync(table.iter());
    leave(&mut held, span(0, 9));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// The former owner's data would be lost, and the server would hold the keys without it.
#[test]
fn a_merged_range_keeps_handover_data_that_a_later_part_has_not_passed_on() {
    let mut held = synced(&[range(0, 4, 1)]);
    answered_grant(&mut held, 0, at(0));
    let new = Range { handover: Some("data".to_owned()), ..range(0, 9, 2) };
    held.sync([new].iter());
    assert_eq!(held.ranges.len(), 1);
    assert_eq!(held.ranges[0].handover.as_deref(), Some("data"));
}

/// The table of a node may lag behind what it has known before.
#[test]
fn a_range_whose_token_falls_is_held_until_its_grants_expire() {
    let mut held = synced(&[range(0, 9, 7)]);
    answered_grant(&mut held, 0, at(0));
    held.sync([range(0, 9, 5)].iter());
    assert_eq!(held.held_until(3), at(0) + GRANT);
    // A release under the lower token does not confirm that of the higher one.
    leave(&mut held, span(0, 9));
    held.record_release(span(0, 9), Token(5));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// The move writes the next owner as soon as nothing is leaving that may still be held.
#[test]
fn a_range_that_is_being_moved_keeps_leaving_when_its_token_falls() {
    let mut held = synced(&[range(0, 9, 7)]);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 4));
    held.sync([range(0, 9, 5)].iter());
    let leaving: Vec<Span> = held.ranges.iter().filter(|r| r.leaving).map(|r| r.span).collect();
    assert_eq!(leaving, [span(0, 4)]);
}

/// Keys that leave the list without a release may come back and be moved on.
#[test]
fn the_part_by_which_a_range_shrinks_is_held_until_its_grants_expire() {
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(0));
    held.sync([range(0, 4, 1)].iter());
    assert_eq!(held.held_until(7), at(0) + GRANT);
    held.sync([range(0, 4, 1), range(5, 9, 2)].iter());
    leave(&mut held, span(5, 9));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// A grant without an answer may take effect after the release.
#[test]
fn released_keys_that_leave_the_list_are_held_until_unanswered_grants_expire() {
    let mut held = synced(&[range(0, 9, 1)]);
    let number = grant(&mut held, 0, at(0));
    held.end_grant(number, Token(1), false);
    leave(&mut held, span(0, 9));
    held.record_release(span(0, 9), Token(1));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
    held.sync(std::iter::empty());
    assert_eq!(held.held_until(3), at(0) + GRANT);
}

/// Otherwise the range is never granted again, and a move of it never ends.
#[test]
fn a_grant_ends_although_the_token_was_raised_meanwhile() {
    let mut held = synced(&[range(0, 9, 1)]);
    let number = grant(&mut held, 0, at(0));
    held.sync([range(0, 9, 2)].iter());
    held.end_grant(number, Token(1), true);
    assert!(
        held.ranges.iter().all(|r: &HeldRange| r.in_flight.is_none() && r.unanswered.is_empty())
    );
    // The grant of the new token is due at once.
    assert!(held.ranges.iter().all(|r| r.due == BootInstant::default()));
}

/// The server may apply a grant that is in flight after it has answered the release.
#[test]
fn a_release_does_not_count_while_a_grant_of_the_keys_is_in_flight() {
    let mut held = synced(&[range(0, 9, 1)]);
    let number = grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 9));
    held.record_release(span(0, 9), Token(1));
    held.end_grant(number, Token(1), true);
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// A release of some keys must not count as one of others that are tracked with them.
#[test]
fn a_release_of_fewer_keys_than_are_leaving_does_not_count() {
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 9));
    held.record_release(span(0, 4), Token(1));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// Requests for released keys would be refused by the server.
#[test]
fn released_keys_are_not_certainly_held() {
    let now = kelpwind::lease::clock::now();
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, now);
    assert!(held.is_active(3));
    leave(&mut held, span(0, 9));
    held.record_release(span(0, 9), Token(1));
    stay(&mut held);
    assert!(!held.is_active(3));
}

/// The node may get the keys back in its next incarnation, and move them on.
#[test]
fn keys_of_a_cleared_list_are_held_until_their_grants_expire() {
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(0));
    held.clear();
    assert_eq!(held.held_until(3), at(0) + GRANT);
}

/// Otherwise each move would wait until the grants expire.
#[test]
fn released_keys_without_an_unanswered_grant_need_no_wait() {
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(10));
    leave(&mut held, span(0, 4));
    held.record_release(span(0, 4), Token(1));
    assert_eq!(held.leaving_until(), at(0));
    held.sync([range(5, 9, 1)].iter());
    assert_eq!(held.held_until(3), at(0));
    assert_eq!(held.held_until(7), at(10) + GRANT);
}
