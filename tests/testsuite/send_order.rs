//! The order in which the messages of one connection between two nodes are sent.

use std::rc::Rc;

use kelpwind::core::ids::ByteCount;
use kelpwind::mesh::send_order::{
    CHUNK_BYTES, PASSED_BYTES_MAX, Piece, Removed, SendOrder, WINDOW_CHUNKS,
};
use kelpwind::net::memory::{MemoryAccount, Place};

const LARGE: usize = 64 << 20;

/// Takes the next piece. The peer confirms every chunk at once.
fn next(order: &mut SendOrder<&'static str>, chunks: &mut u64) -> Option<Piece<&'static str>> {
    let piece = order.take_next()?;
    *chunks += u64::from(piece.start > 0 || !piece.last);
    order.confirm(*chunks);
    Some(piece)
}

/// Guards against small messages waiting for a large body.
#[test]
fn control_and_small_messages_go_between_the_chunks_of_a_large_one() {
    let (mut order, mut chunks) = (SendOrder::default(), 0);
    order.push(1, 0, LARGE, "large");
    assert_eq!(next(&mut order, &mut chunks).unwrap().item, "large");
    order.push(2, 2, 100, "low");
    order.push(3, 1, 100, "high");
    order.push_control("control");
    let items: Vec<_> = (0..4).map(|_| next(&mut order, &mut chunks).unwrap().item).collect();
    assert_eq!(items, ["control", "high", "low", "large"]);
}

/// Guards against parts that are missing, doubled or out of order.
#[test]
fn the_chunks_of_a_message_cover_it_in_order() {
    for size in [1, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES, 5 * CHUNK_BYTES + 7] {
        let (mut order, mut chunks, mut sent) = (SendOrder::default(), 0, 0);
        order.push(1, 0, size, "only");
        while let Some(piece) = next(&mut order, &mut chunks) {
            assert_eq!(piece.start, sent);
            assert!(piece.end - piece.start <= CHUNK_BYTES);
            assert_eq!(piece.last, piece.end == size);
            sent = piece.end;
        }
        assert_eq!(sent, size);
        assert!(order.is_empty());
    }
}

/// Guards against a download of 90 KB waiting for a body of 64 MB of the same priority.
#[test]
fn large_messages_of_one_priority_take_turns() {
    let (mut order, mut chunks) = (SendOrder::default(), 0);
    order.push(1, 1, LARGE, "body");
    order.push(2, 1, 90 << 10, "download");
    let until_done = std::iter::from_fn(|| next(&mut order, &mut chunks))
        .position(|p| p.item == "download" && p.last);
    assert_eq!(until_done, Some(11));
}

#[test]
fn large_messages_of_a_higher_priority_go_first() {
    let (mut order, mut chunks) = (SendOrder::default(), 0);
    order.push(1, 1, LARGE, "low");
    order.push(2, 0, 3 * CHUNK_BYTES, "high");
    let items: Vec<_> = (0..4).map(|_| next(&mut order, &mut chunks).unwrap().item).collect();
    assert_eq!(items, ["high", "high", "high", "low"]);
}

/// Guards against messages that never go while others keep the connection busy.
#[test]
fn no_message_starves_under_a_flood_of_others() {
    const SMALL: usize = 1 << 10;
    let (mut order, mut chunks) = (SendOrder::default(), 0);
    order.push(1, 3, 4 * CHUNK_BYTES, "bulk");
    order.push(2, 2, SMALL, "small");
    let (mut passed, mut bulk) = (0, 0);
    for number in 3.. {
        order.push(number, 0, SMALL, "flood");
        let piece = next(&mut order, &mut chunks).unwrap();
        if piece.item != "bulk" {
            passed += piece.end - piece.start;
            assert!(passed <= PASSED_BYTES_MAX + CHUNK_BYTES, "no chunk after {passed} bytes");
            continue;
        }
        passed = 0;
        bulk += 1;
        if piece.last {
            break;
        }
    }
    assert_eq!(bulk, 4);
    assert_eq!(order.remove(2), Removed::Absent, "the other message was not sent");
}

/// Guards against chunks that fill the buffers of the network, behind which everything waits.
#[test]
fn chunks_stop_while_the_peer_confirms_none_and_small_messages_go_on() {
    let mut order = SendOrder::default();
    order.push(1, 0, LARGE, "large");
    let sent = std::iter::from_fn(|| order.take_next()).count();
    assert_eq!(sent as u64, WINDOW_CHUNKS);
    order.push(2, 3, 100, "small");
    assert_eq!(order.take_next().unwrap().item, "small");
    assert_eq!(order.take_next(), None);
    order.confirm(2);
    assert_eq!(std::iter::from_fn(|| order.take_next()).count(), 2);
    // A confirmation of more than was sent must not raise the limit for later chunks.
    order.confirm(u64::MAX);
    assert_eq!(std::iter::from_fn(|| order.take_next()).count() as u64, WINDOW_CHUNKS);
}

/// Guards against bodies of cancelled requests that stay in memory while the peer does not read.
#[test]
fn memory_is_given_back_when_a_message_is_cancelled() {
    let account = MemoryAccount::new(ByteCount(80 << 20));
    let mut order = SendOrder::default();
    for (number, size) in [(1, LARGE), (2, 100)] {
        let hold = account.try_take(Place::Link, size).unwrap();
        order.push(number, 0, size, Rc::new(hold));
    }
    assert_eq!(order.take_next().map(|p| p.last), Some(true), "the small one goes first");
    drop(order.take_next());
    assert_eq!(account.held(Place::Link), LARGE);
    assert_eq!(order.remove(1), Removed::Partial);
    assert_eq!(account.held(Place::Link), 0);
    assert!(order.is_empty());
    order.push(3, 0, LARGE, Rc::new(account.try_take(Place::Link, LARGE).unwrap()));
    assert_eq!(order.remove(3), Removed::Unsent);
    assert_eq!(order.remove(3), Removed::Absent);
    assert_eq!(account.held(Place::Link), 0);
}

/// Guards against the chunks of two copies of a reply being mixed: a repeated request asks for a reply
/// that may be on its way.
#[test]
fn a_large_message_that_is_being_sent_is_not_added_again() {
    let (mut order, mut chunks) = (SendOrder::default(), 0);
    order.push(1, 0, 3 * CHUNK_BYTES, "reply");
    next(&mut order, &mut chunks);
    order.push(1, 0, 3 * CHUNK_BYTES, "reply");
    assert_eq!(std::iter::from_fn(|| next(&mut order, &mut chunks)).count(), 2);
}
