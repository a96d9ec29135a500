//! What a node owned when the store came back from an older copy.
//!
//! The records of the latest transfers may be gone then. A node whose lease is valid knows which keys
//! it owns, and nobody else can have got them: a transfer needs either its own decision or the end of
//! its lease. So it writes its ranges, with their tokens, and the keys of the new era are composed
//! from what all nodes have claimed.

use serde::{Deserialize, Serialize};

use super::chunk::Chunk;
use super::keys::{KEY_MAX, Range, Span};
use crate::core::ids::{Holder, ServiceName};

/// The ranges that one node claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The node and its incarnation.
    pub holder: Holder,
    /// The service of its backend server.
    pub service: ServiceName,
    ranges: Chunk,
}

impl Claim {
    /// The claim of a node to ranges.
    pub fn new(holder: Holder, service: ServiceName, ranges: Vec<Range>) -> Claim {
        Claim { holder, service, ranges: ranges.into() }
    }

    /// The ranges that are well-formed and name the claiming node as their owner.
    pub fn ranges(&self) -> Vec<Range> {
        let mut ranges = self.ranges.clone().ranges(Span { first: 0, last: KEY_MAX });
        ranges.retain(|r| r.owner.as_ref().is_some_and(|o| o.holder == self.holder));
        ranges
    }
}
