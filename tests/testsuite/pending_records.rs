//! Records that nodes pass on to one another, in any order.

use kelpwind::core::ids::{Era, Offset, Position};
use kelpwind::table::WriteBatch;
use kelpwind::table::pending::PendingBatches;

fn position(offset: u64) -> Position {
    Position { era: None, offset: Offset(offset) }
}

/// A batch of the records from `start` to before `end`.
fn batch(start: u64, end: u64) -> WriteBatch {
    WriteBatch { records: (start..end).map(|n| (n.to_string(), None)).collect() }
}

/// Each gap in what others pass on would cost a read of the store.
#[test]
fn records_that_overtake_others_are_applied_without_a_read() {
    let mut pending = PendingBatches::default();
    pending.insert(position(9), batch(7, 9));
    pending.insert(position(7), batch(5, 7));
    assert_eq!(pending.take(position(4)), None, "the record at 4 is missing");
    let mut end = position(5);
    let mut applied = Vec::new();
    while let Some((next, batch)) = pending.take(end) {
        applied.extend(batch.records.into_iter().map(|(key, _)| key));
        end = next;
    }
    assert_eq!((applied.join(" "), end), ("5 6 7 8".to_owned(), position(9)));
    assert!(pending.is_empty());
}

/// Records that the table already has, or that belong to a former era, must not be applied again.
#[test]
fn records_before_the_end_of_the_table_are_dropped() {
    let mut pending = PendingBatches::default();
    pending.insert(position(7), batch(5, 7));
    let later = Position { era: Some(Era(2)), offset: Offset(3) };
    assert_eq!(pending.take(later), None);
    assert!(pending.is_empty());
}

/// A node that is cut off from the store but hears of all changes must not keep them without bound.
#[test]
fn records_that_stay_missing_take_up_memory_without_bound() {
    let mut pending = PendingBatches::default();
    for start in 10..10_000 {
        pending.insert(position(start + 1), batch(start, start + 1));
    }
    assert_eq!(pending.len(), 64);
    assert!(pending.take(position(10)).is_some(), "the earliest ones are kept");
}
