//! Storage format of key ownership: each record covers a fixed number of keys.
//!
//! A service with many owners has hundreds of ranges, and a move changes only a few of them. With
//! all ranges in one record, every move would write the whole ownership, and every node would read
//! it. A record therefore holds the ranges of [`CHUNK_KEYS`] keys, and a move writes only the
//! records that it affects, all of them in one call. Each record lists its owners once; ranges
//! refer to them by index.

use serde::{Deserialize, Serialize};

use super::keys::{KEY_MAX, KeyMap, Owner, Range, Span};
use crate::core::ids::Token;

/// Number of keys that one record covers; with some dozens of owners that is a few ranges.
const CHUNK_KEYS: u32 = 1024;
/// Number of records for each service.
const CHUNK_COUNT: u32 = (KEY_MAX as u32 + 1) / CHUNK_KEYS;

/// The ranges in one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Rows", into = "Rows")]
pub(super) struct Chunk(Vec<Range>);

/// JSON form of a [`Chunk`].
#[derive(Serialize, Deserialize)]
struct Rows {
    owners: Vec<Owner>,
    ranges: Vec<Row>,
}

/// First key, last key, index into `owners`, token, handover.
#[derive(Serialize, Deserialize)]
struct Row(u16, u16, Option<usize>, Token, Option<String>);

/// A chunk that names an owner it does not list.
#[derive(Debug, displaydoc::Display)]
pub(super) struct UnknownOwner;

impl std::error::Error for UnknownOwner {}

impl From<Chunk> for Rows {
    fn from(chunk: Chunk) -> Rows {
        let mut owners: Vec<Owner> = Vec::new();
        let mut index = |owner: Owner| match owners.iter().position(|o| *o == owner) {
            Some(known) => known,
            None => {
                owners.push(owner);
                owners.len() - 1
            }
        };
        let row =
            |r: Range| Row(r.span.first, r.span.last, r.owner.map(&mut index), r.token, r.handover);
        let ranges = chunk.0.into_iter().map(row).collect();
        Rows { owners, ranges }
    }
}

impl TryFrom<Rows> for Chunk {
    type Error = UnknownOwner;

    fn try_from(rows: Rows) -> Result<Chunk, UnknownOwner> {
        let range = |Row(first, last, index, token, handover): Row| {
            let owner = match index {
                Some(index) => Some(rows.owners.get(index).cloned().ok_or(UnknownOwner)?),
                None => None,
            };
            Ok(Range { span: Span { first, last }, owner, token, handover })
        };
        rows.ranges.into_iter().map(range).collect::<Result<_, _>>().map(Chunk)
    }
}

impl From<Vec<Range>> for Chunk {
    fn from(ranges: Vec<Range>) -> Chunk {
        Chunk(ranges)
    }
}

impl Chunk {
    /// The parts of all ranges that lie within `span`.
    pub fn of(keys: &KeyMap, span: Span) -> Chunk {
        let inside =
            |r: &Range| r.span.intersection(span).map(|part| Range { span: part, ..r.clone() });
        Chunk(keys.ranges.iter().filter_map(inside).collect())
    }

    /// The ranges that are well-formed and lie within `span`; others are dropped.
    pub fn ranges(self, span: Span) -> Vec<Range> {
        let mut ranges = self.0;
        ranges.retain(|r| r.span.first <= r.span.last && r.span.intersection(span) == Some(r.span));
        ranges
    }
}

/// The keys that record `number` covers; `None` if there is no such record.
pub(super) fn span(number: u32) -> Option<Span> {
    let first = number.checked_mul(CHUNK_KEYS).filter(|_| number < CHUNK_COUNT)?;
    Some(Span { first: first as u16, last: (first + CHUNK_KEYS - 1) as u16 })
}

/// Number and keys of each record.
pub(super) fn all() -> impl Iterator<Item = (u32, Span)> {
    (0..).map_while(|number| Some((number, span(number)?)))
}
