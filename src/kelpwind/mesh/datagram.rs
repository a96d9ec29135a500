//! What nodes say to one another in datagrams.

use serde::{Deserialize, Serialize};

use crate::core::ids::Offset;
use crate::lease::message::Message;
use crate::table::WriteBatch;

/// Records that were appended to the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableUpdate {
    /// The table's next offset after them.
    pub next: Offset,
    /// The records, which come before `next`; none when they are too large for a datagram.
    pub draft: WriteBatch,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// About a lease.
    Lease(Message),
    /// The table has records that concern the node.
    TableUpdate(TableUpdate),
    /// Operators have published something.
    OrdersPublished {
        /// The next offset of the orders after it.
        next: Offset,
    },
    /// An owner of keys asks another how busy it is.
    LoadQuery {
        /// Number of the question.
        query: u32,
        /// Work that the asker would like to give away, in thousandths of a slot.
        work: u32,
    },
    /// The answer.
    LoadReply {
        /// Number of the question.
        query: u32,
        /// Name of the backend server that answers for itself.
        server: String,
        /// Work that is asked of it, in thousandths of a slot.
        work: u32,
        /// Its slots.
        slots: u32,
    },
}
