//! The account of memory for bodies and answers.

use kelpwind::core::ids::ByteCount;
use kelpwind::net::memory::{MemoryAccount, Place, SMALL_BYTES};

const MB: usize = 1 << 20;

#[test]
fn bytes_are_returned_when_a_hold_is_dropped_or_shrinks() {
    let account = MemoryAccount::new(ByteCount(64 * MB));
    let mut body = account.try_take(Place::RequestBody, 10 * MB).unwrap();
    assert!(body.try_grow(5 * MB));
    assert_eq!((body.bytes(), account.held(Place::RequestBody)), (15 * MB, 15 * MB));
    body.shrink_to(MB);
    assert_eq!(account.free(), 63 * MB);
    drop(body);
    assert_eq!(account.free(), 64 * MB);
}

/// Large bodies that never end must not keep usual requests from being read.
#[test]
fn small_bodies_have_room_while_large_ones_fill_the_account() {
    let account = MemoryAccount::new(ByteCount(64 * MB));
    let large: Vec<_> =
        std::iter::from_fn(|| account.try_take(Place::RequestBody, 2 * MB)).collect();
    assert_eq!(large.len(), 28);
    let mut small = account.try_take(Place::RequestBody, SMALL_BYTES).unwrap();
    assert!(!small.try_grow(1), "it is no longer small");
}

/// The answer of a request that has run is kept although the account is full.
#[test]
fn bytes_that_must_be_kept_are_counted_beyond_the_limit() {
    let account = MemoryAccount::new(ByteCount(MB));
    let answer = account.take(Place::Answer, 3 * MB);
    assert_eq!((account.held(Place::Answer), account.free()), (3 * MB, 0));
    assert!(account.try_take(Place::RequestBody, 1).is_none());
    drop(answer);
    assert_eq!(account.free(), MB);
}
