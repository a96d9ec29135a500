//! Bookkeeping of the keys that a backend server holds: until when the server may hold a key is
//! never forgotten too early.

use std::time::Duration;

use kelpwind::core::ids::Token;
use kelpwind::lease::clock::BootInstant;
use kelpwind::mesh::held_ranges::{HeldRange, HeldRanges};
use kelpwind::mesh::holds::Release;
use kelpwind::mesh::platform_api::{BackendSession, GrantOutcome};
use kelpwind::table::keys::{Range, Span};
use proptest::prelude::*;

/// Duration of a grant.
const GRANT: Duration = Duration::from_millis(1000);

/// The session of all grants.
const SESSION: BackendSession = BackendSession(0);

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
    let i = held.ranges.iter().position(|r| r.span.first == first).unwrap();
    assert!(held.ranges[i].in_flight.is_none() && !held.ranges[i].leaving);
    held.begin_grant(i, SESSION, now + GRANT)
}

/// Ends the call of a grant, with or without an answer of the server.
fn end_grant(held: &mut HeldRanges, number: u64, answered: bool, now: BootInstant) {
    let outcome = if answered { GrantOutcome::Accepted } else { GrantOutcome::Unknown };
    held.end_grant(number, outcome, now, now + GRANT);
}

/// Sends a release, which the server confirms at once.
fn release(held: &mut HeldRanges, span: Span, token: Token) {
    let release = held.holds.release(span, token, SESSION);
    held.record_release(span, &release);
}

/// Sends a grant of the listed range that starts at `first`, which the server answers.
fn answered_grant(held: &mut HeldRanges, first: u16, now: BootInstant) {
    let number = grant(held, first, now);
    end_grant(held, number, true, now);
}

/// Begins to move a span.
fn leave(held: &mut HeldRanges, moved: Span) {
    held.begin_move(vec![moved]);
}

/// Ends a move whose record was not written.
fn stay(held: &mut HeldRanges) {
    held.end_move();
}

/// A release of part of a range must not count as one of the whole range.
#[test]
fn a_merged_range_is_held_although_its_first_part_was_released() {
    let table = [range(0, 9, 1)];
    let mut held = synced(&table);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 4));
    release(&mut held, span(0, 4), Token(1));
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
    release(&mut held, span(0, 9), Token(5));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// The server may be detached and attached again while the move waits for the end of its grants.
#[test]
fn keys_that_are_being_moved_are_granted_when_they_are_listed_again() {
    let table = [range(0, 9, 1)];
    let mut held = synced(&table);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(2, 6));
    held.sync(std::iter::empty());
    held.sync(table.iter());
    let leaving: Vec<Span> = held.ranges.iter().filter(|r| r.leaving).map(|r| r.span).collect();
    assert_eq!(leaving, [span(2, 6)]);
    stay(&mut held);
    assert!(held.ranges.iter().all(|r| !r.leaving));
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
    end_grant(&mut held, number, false, at(0));
    leave(&mut held, span(0, 9));
    release(&mut held, span(0, 9), Token(1));
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
    end_grant(&mut held, number, true, at(0));
    assert!(held.ranges.iter().all(|r: &HeldRange| r.in_flight.is_none()));
    held.holds.prune(at(0) + GRANT);
    assert_eq!(held.held_until(3), BootInstant::default());
    // The grant of the new token is due at once.
    assert!(held.ranges.iter().all(|r| r.due == BootInstant::default()));
}

/// The server may apply a grant that is in flight after it has answered the release.
#[test]
fn a_release_does_not_count_while_a_grant_of_the_keys_is_in_flight() {
    let mut held = synced(&[range(0, 9, 1)]);
    let number = grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 9));
    release(&mut held, span(0, 9), Token(1));
    end_grant(&mut held, number, true, at(0));
    assert_eq!(held.leaving_until(), at(0) + GRANT);
}

/// A release of some keys must not count as one of others that are tracked with them.
#[test]
fn a_release_of_fewer_keys_than_are_leaving_does_not_count() {
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(0));
    leave(&mut held, span(0, 9));
    release(&mut held, span(0, 4), Token(1));
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
    release(&mut held, span(0, 9), Token(1));
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
    release(&mut held, span(0, 4), Token(1));
    assert_eq!(held.leaving_until(), at(0));
    held.sync([range(5, 9, 1)].iter());
    assert_eq!(held.held_until(3), at(0));
    assert_eq!(held.held_until(7), at(10) + GRANT);
}

/// Keys of the model.
const KEYS: u16 = 16;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// The node reads the table: widths and tokens of its ranges; those without a token belong to
    /// others.
    Sync(Vec<(u16, Option<u64>)>),
    /// The node reads the same table again.
    Reread,
    /// Grants for this many milliseconds go out for the ranges in the bit set.
    Grant(u16, u64),
    /// The call of a grant ends, with or without an answer.
    EndGrant(usize, bool),
    BeginMove(u16, u16),
    SendRelease(usize),
    ConfirmRelease(usize),
    EndMove,
}

fn step() -> impl Strategy<Value = Step> {
    let ranges = prop::collection::vec((1..=8u16, prop::option::weighted(0.8, 1..=6u64)), 2..6);
    prop_oneof![
        3 => (1u64..500).prop_map(Step::Wait),
        1 => ranges.prop_map(Step::Sync),
        2 => Just(Step::Reread),
        6 => (any::<u16>(), 150u64..1200).prop_map(|(set, millis)| Step::Grant(set, millis)),
        10 => (0usize..8, prop::bool::weighted(0.8)).prop_map(|(i, yes)| Step::EndGrant(i, yes)),
        2 => (0..KEYS, 1..=KEYS).prop_map(|(first, width)| Step::BeginMove(first, width)),
        6 => (0usize..8).prop_map(Step::SendRelease),
        6 => (0usize..8).prop_map(Step::ConfirmRelease),
        1 => Just(Step::EndMove),
    ]
}

/// A grant that the server may have applied or may yet apply.
#[derive(Clone, Debug)]
struct SentGrant {
    number: u64,
    token: Token,
    expiry: BootInstant,
    /// Whether the server has answered, so that it cannot apply the grant any more.
    answered: bool,
}

/// A release that the server may have carried out at any time since it was sent.
struct SentRelease {
    span: Span,
    /// What the node knows of it.
    known: Release,
    /// Numbers of the grants that it certainly ends.
    ended: Vec<u64>,
}

struct World {
    now: BootInstant,
    held: HeldRanges,
    table: Vec<Range>,
    /// For each key, the grants that were sent and not certainly ended.
    grants: Vec<Vec<SentGrant>>,
    /// Numbers of the grants whose calls have not ended, with their spans and tokens.
    in_flight: Vec<(u64, Span, Token)>,
    /// The spans that are being moved.
    moving: Vec<(Span, Token)>,
    releases: Vec<SentRelease>,
    /// Number of keys that a release has freed before their grants expired, as the list knows.
    freed: usize,
}

impl World {
    fn new() -> World {
        World {
            now: at(10_000),
            held: synced(&[range(0, KEYS - 1, 1)]),
            table: vec![range(0, KEYS - 1, 1)],
            grants: vec![Vec::new(); usize::from(KEYS)],
            in_flight: Vec::new(),
            moving: Vec::new(),
            releases: Vec::new(),
            freed: 0,
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(*millis);
                let now = self.now;
                self.grants.iter_mut().for_each(|g| g.retain(|g| g.expiry > now));
            }
            Step::Sync(ranges) => self.sync(ranges),
            Step::Reread => self.held.sync(self.table.iter()),
            Step::Grant(set, millis) => self.grant(*set, Duration::from_millis(*millis)),
            Step::EndGrant(i, answered) => self.end_grant(*i, *answered),
            Step::BeginMove(first, width) => {
                let last = first.saturating_add(*width - 1).min(KEYS - 1);
                self.begin_move(span(*first, last));
            }
            Step::SendRelease(i) => self.send_release(*i),
            Step::ConfirmRelease(i) => self.confirm_release(*i),
            Step::EndMove => {
                stay(&mut self.held);
                self.moving.clear();
                self.releases.clear();
            }
        }
    }

    fn sync(&mut self, ranges: &[(u16, Option<u64>)]) {
        let mut table = Vec::new();
        let mut first = 0;
        for (width, token) in ranges {
            let last = (first + width - 1).min(KEYS - 1);
            table.extend(token.map(|token| range(first, last, token)));
            first = last + 1;
            if first == KEYS {
                break;
            }
        }
        self.held.sync(table.iter());
        self.table = table;
    }

    fn grant(&mut self, set: u16, duration: Duration) {
        let (now, expiry) = (self.now, self.now + duration);
        self.held.holds.prune(now);
        for i in 0..self.held.ranges.len().min(16) {
            let range = &self.held.ranges[i];
            if set >> i & 1 == 0 || range.in_flight.is_some() || range.leaving {
                continue;
            }
            let (span, token) = (range.span, range.token);
            let number = self.held.begin_grant(i, SESSION, expiry);
            self.in_flight.push((number, span, token));
            let sent = SentGrant { number, token, expiry, answered: false };
            for key in span.first..=span.last {
                self.grants[usize::from(key)].push(sent.clone());
            }
        }
    }

    fn end_grant(&mut self, i: usize, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (number, _, _) = self.in_flight.swap_remove(i % self.in_flight.len());
        end_grant(&mut self.held, number, answered, self.now);
        for grant in self.grants.iter_mut().flatten().filter(|g| g.number == number) {
            grant.answered = answered;
        }
    }

    fn begin_move(&mut self, moved: Span) {
        if !self.moving.is_empty() {
            return;
        }
        leave(&mut self.held, moved);
        let leaving = self.held.ranges.iter().filter(|r| r.leaving);
        self.moving = leaving.map(|r| (r.span, r.token)).collect();
    }

    fn send_release(&mut self, i: usize) {
        if self.moving.is_empty() || self.held.is_granting() {
            return;
        }
        let (span, token) = self.moving[i % self.moving.len()];
        let keys = usize::from(span.first)..=usize::from(span.last);
        let grants = self.grants[keys].iter().flatten();
        let ended = grants.filter(|g| g.answered && g.token <= token).map(|g| g.number).collect();
        let known = self.held.holds.release(span, token, SESSION);
        self.releases.push(SentRelease { span, known, ended });
    }

    fn confirm_release(&mut self, i: usize) {
        if self.releases.is_empty() {
            return;
        }
        let release = self.releases.swap_remove(i % self.releases.len());
        self.held.record_release(release.span, &release.known);
        for key in release.span.first..=release.span.last {
            let before = self.held_until(key);
            self.grants[usize::from(key)].retain(|g| !release.ended.contains(&g.number));
            self.freed += usize::from(before > self.now && self.held.held_until(key) <= self.now);
        }
    }

    /// The latest moment at which the server may hold a key.
    fn held_until(&self, key: u16) -> BootInstant {
        let grants = &self.grants[usize::from(key)];
        grants.iter().map(|g| g.expiry).max().unwrap_or_default()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let unfinished = |r: &HeldRange| {
            self.in_flight.iter().any(|(_, span, _)| span.intersection(r.span).is_some())
        };
        for range in &self.held.ranges {
            prop_assert!(
                range.in_flight.is_none() || unfinished(range),
                "never granted again: {range:?}"
            );
        }
        for key in 0..KEYS {
            let (known, may) = (self.held.held_until(key), self.held_until(key));
            prop_assert!(may <= self.now || may <= known, "key {key}: {known} forgets {may}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: prop::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn when_the_server_may_hold_a_key_is_never_forgotten(
        steps in prop::collection::vec(step(), 20..100)
    ) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            world.check()?;
        }
    }
}

/// Guards against a property test that passes only because its steps never lead to releases that
/// count, to keys held under several grants, or to ranges of several parts.
#[test]
fn the_model_reaches_releases_and_splits() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::deterministic();
    let (mut freed, mut split, mut shared) = (0, 0, 0);
    for _ in 0..300 {
        let steps = prop::collection::vec(step(), 20..100).new_tree(&mut runner).unwrap();
        let mut world = World::new();
        for step in &steps.current() {
            world.run(step);
            split += usize::from(world.held.ranges.iter().any(|r| r.leaving));
            shared += usize::from(world.grants.iter().any(|g| g.len() > 1));
        }
        freed += world.freed;
    }
    println!("freed {freed}, split {split}, shared {shared}");
    assert!(freed >= 100 && split >= 100 && shared >= 100);
}

/// Another process at the server's address must not be granted keys that the former one holds.
#[test]
fn keys_granted_in_a_former_session_are_held_elsewhere_until_their_grants_expire() {
    let next = BackendSession(SESSION.0 + 1);
    let mut held = synced(&[range(0, 9, 1)]);
    answered_grant(&mut held, 0, at(0));
    assert_eq!(held.holds.until_elsewhere(span(0, 9), SESSION), at(0));
    assert_eq!(held.holds.until_elsewhere(span(0, 9), next), at(0) + GRANT);
    // A process confirms only what it was granted itself.
    let release = held.holds.release(span(0, 9), Token(2), next);
    held.record_release(span(0, 9), &release);
    assert_eq!(held.holds.until_elsewhere(span(0, 9), next), at(0) + GRANT);
}

/// The server of a restarted node may have been replaced meanwhile.
#[test]
fn keys_of_a_former_run_are_held_elsewhere_until_its_server_is_confirmed() {
    let mut held = synced(&[range(0, 9, 1)]);
    held.assume_former_grants(at(0), Duration::ZERO);
    assert!(held.holds.until_elsewhere(span(0, 9), SESSION) > at(0) + GRANT);
    held.holds.confirm_former(span(0, 9), SESSION);
    assert_eq!(held.holds.until_elsewhere(span(0, 9), SESSION), at(0));
    assert!(held.holds.until_elsewhere(span(10, 10), SESSION) > at(0) + GRANT);
    assert!(held.held_until(3) > at(0) + GRANT);
}
