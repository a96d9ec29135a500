//! Datagrams between holders and witnesses.
//!
//! Incarnations are drawn at random from 64 bits, so one alone names a holder; names and addresses
//! stay out of the datagrams, which come to a few tens of bytes.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Offset, Version};

/// Number of a renewal, rising for one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seq(pub u64);

/// An incarnation as it stands in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl From<crate::core::ids::Incarnation> for IncarnationId {
    fn from(inc: crate::core::ids::Incarnation) -> IncarnationId {
        IncarnationId(inc.0)
    }
}

/// What a datagram says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A holder renews its lease with one witness.
    Renew {
        /// The holder.
        holder: IncarnationId,
        /// The witness meant; another incarnation must not answer.
        witness: IncarnationId,
        /// Number of the renewal.
        seq: Seq,
        /// How far the holder has read the log.
        next: Offset,
    },
    /// The witness acknowledges a renewal.
    Ack {
        /// The holder.
        holder: IncarnationId,
        /// The witness.
        witness: IncarnationId,
        /// Number of the renewal.
        seq: Seq,
        /// How far the witness has read the log.
        next: Offset,
    },
    /// The witness will never acknowledge this holder again.
    Refuse {
        /// The holder.
        holder: IncarnationId,
        /// The witness.
        witness: IncarnationId,
    },
    /// Someone who wants to take over asks for a promise.
    PromiseRequest {
        /// The silent holder.
        holder: IncarnationId,
        /// Version of its set, as the asker knows it.
        version: Version,
        /// The witness as the set lists it.
        witness: IncarnationId,
        /// The asker, to whom the promise is sent.
        requester: IncarnationId,
    },
    /// The witness promises never to acknowledge the holder again.
    Promise {
        /// The holder.
        holder: IncarnationId,
        /// Version of the set.
        version: Version,
        /// The witness as the set lists it.
        witness: IncarnationId,
        /// Time until its last acknowledgement binds no longer, in milliseconds, rounded up.
        remaining_ms: u32,
    },
}
