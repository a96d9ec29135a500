//! How ownership is stored: in records of a fixed number of keys each.
//!
//! A service of many owners has hundreds of ranges, and a move changes a few of them. If all stood in
//! one record, each move would be as large as the whole, for the one who writes it and for every node
//! that reads it. So a record holds the ranges of [`WIDTH`] keys, and a move writes the records that it
//! touches, all of them with one call. Owners are named once a record.

use serde::{Deserialize, Serialize};

use super::keys::{KEY_MAX, KeyMap, Owner, Range, Span};
use crate::core::ids::Token;

/// Keys of one record: a few ranges of a service of some dozens of owners.
const WIDTH: u32 = 1024;
/// Number of records of a service.
const COUNT: u32 = (KEY_MAX as u32 + 1) / WIDTH;

/// The ranges of the keys of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Rows", into = "Rows")]
pub(super) struct Chunk(Vec<Range>);

/// A chunk as it is stored.
#[derive(Serialize, Deserialize)]
struct Rows {
    owners: Vec<Owner>,
    ranges: Vec<Row>,
}

/// First and last key, place of the owner among the owners, token, handover.
#[derive(Serialize, Deserialize)]
struct Row(u16, u16, Option<usize>, Token, Option<String>);

/// A chunk that names an owner it does not list.
#[derive(Debug, displaydoc::Display)]
pub(super) struct UnknownOwner;

impl std::error::Error for UnknownOwner {}

impl From<Chunk> for Rows {
    fn from(chunk: Chunk) -> Rows {
        let mut owners: Vec<Owner> = Vec::new();
        let mut place = |owner: Owner| match owners.iter().position(|o| *o == owner) {
            Some(known) => known,
            None => {
                owners.push(owner);
                owners.len() - 1
            }
        };
        let row =
            |r: Range| Row(r.span.first, r.span.last, r.owner.map(&mut place), r.token, r.handover);
        let ranges = chunk.0.into_iter().map(row).collect();
        Rows { owners, ranges }
    }
}

impl TryFrom<Rows> for Chunk {
    type Error = UnknownOwner;

    fn try_from(rows: Rows) -> Result<Chunk, UnknownOwner> {
        let range = |Row(first, last, place, token, handover): Row| {
            let owner = match place {
                Some(place) => Some(rows.owners.get(place).cloned().ok_or(UnknownOwner)?),
                None => None,
            };
            Ok(Range { span: Span { first, last }, owner, token, handover })
        };
        rows.ranges.into_iter().map(range).collect::<Result<_, _>>().map(Chunk)
    }
}

impl Chunk {
    /// The chunk of these keys.
    pub fn of(keys: &KeyMap, span: Span) -> Chunk {
        let inside =
            |r: &Range| r.span.intersection(span).map(|part| Range { span: part, ..r.clone() });
        Chunk(keys.ranges.iter().filter_map(inside).collect())
    }

    /// Its ranges that lie among these keys.
    pub fn ranges(self, span: Span) -> Vec<Range> {
        let mut ranges = self.0;
        ranges.retain(|r| r.span.first <= r.span.last && r.span.intersection(span) == Some(r.span));
        ranges
    }
}

/// The keys of the record of this number; `None` for one that does not exist.
pub(super) fn span(number: u32) -> Option<Span> {
    let first = number.checked_mul(WIDTH).filter(|_| number < COUNT)?;
    Some(Span { first: first as u16, last: (first + WIDTH - 1) as u16 })
}

/// The numbers of all records, and their keys.
pub(super) fn all() -> impl Iterator<Item = (u32, Span)> {
    (0..).map_while(|number| Some((number, span(number)?)))
}
