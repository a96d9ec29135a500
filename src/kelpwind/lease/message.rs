//! Datagrams between holders and witnesses.
//!
//! An incarnation is a random 64-bit number, which identifies a holder on its own. Datagrams
//! therefore carry no names or addresses and take only a few tens of bytes.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Offset, Version};

/// Sequence number of a renewal; each holder counts its own upwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seq(pub u64);

/// An incarnation as datagrams carry it: a bare number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl From<crate::core::ids::Incarnation> for IncarnationId {
    fn from(inc: crate::core::ids::Incarnation) -> IncarnationId {
        IncarnationId(inc.0)
    }
}

/// A lease message; one datagram carries one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A holder renews its lease with one witness.
    Renew {
        /// The holder.
        holder: IncarnationId,
        /// The witness it is sent to; another incarnation of that node must not answer.
        witness: IncarnationId,
        /// Sequence number of the renewal.
        seq: Seq,
        /// Offset of the next log record that the holder has to read.
        next: Offset,
    },
    /// The witness acknowledges a renewal.
    Ack {
        /// The holder.
        holder: IncarnationId,
        /// The witness.
        witness: IncarnationId,
        /// Sequence number of the renewal.
        seq: Seq,
        /// Offset of the next log record that the witness has to read.
        next: Offset,
    },
    /// The witness rejects a renewal: it has promised never to acknowledge this holder again.
    Refuse {
        /// The holder.
        holder: IncarnationId,
        /// The witness.
        witness: IncarnationId,
    },
    /// A node that wants to take over from a silent holder asks a witness for its promise.
    PromiseRequest {
        /// The silent holder.
        holder: IncarnationId,
        /// Version of the holder's witness set, as the requester knows it.
        version: Version,
        /// The witness as the set lists it.
        witness: IncarnationId,
        /// The node that asks, to which the promise is sent.
        requester: IncarnationId,
    },
    /// The witness promises never to acknowledge the holder again.
    Promise {
        /// The holder.
        holder: IncarnationId,
        /// Version of the holder's witness set.
        version: Version,
        /// The witness as the set lists it.
        witness: IncarnationId,
        /// Milliseconds until the witness's last acknowledgement expires, rounded up.
        remaining_ms: u32,
    },
}
