//! Datagrams that nodes send to each other over UDP, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use crate::core::digest::RequestDigest;
use crate::core::ids::{Era, Position, ServiceName};
use crate::lease::message::Message;
use crate::route::allotment::{Ask, Reply};
use crate::table::WriteBatch;
use crate::table::suspect::ServerExit;

/// Records that were appended to the table, passed on so that the receiver need not read them from
/// the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableUpdate {
    /// Position of the table after the records.
    pub next: Position,
    /// The records, which end before `next`; empty when they are too large for a datagram.
    pub batch: WriteBatch,
}

/// The end of a server's process while it was at work on a request, as one node tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectNotice {
    /// What the request asks for.
    pub digest: RequestDigest,
    /// The process that ended.
    pub exit: ServerExit,
    /// Milliseconds since then.
    pub age_ms: u64,
}

/// A datagram. One that is lost is made up for by the next round or by the next read of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A message of the lease protocol.
    Lease(Message),
    /// The table has new records that concern the receiver.
    TableUpdate(TableUpdate),
    /// Operators have published orders.
    OrdersPublished {
        /// Position of the orders topic after them.
        next: Position,
    },
    /// An overloaded owner of keys asks another for its load.
    LoadQuery {
        /// Number of the query, chosen at random by the sender.
        query: u32,
        /// Work that the sender wants to give away, in thousandths of a slot.
        work: u32,
    },
    /// The reply to a load query.
    LoadReply {
        /// Number of the query.
        query: u32,
        /// Name of the backend server beside the replying owner.
        server: String,
        /// Work offered to the backend server, including reservations, in thousandths of a slot.
        work: u32,
        /// Work that the backend server can do at once, in thousandths of a slot.
        slots: u32,
        /// Mean service time there in microseconds; 0 when unknown.
        service_us: u32,
    },
    /// The store has come back from an older copy and is in this era.
    StoreRestored(Era),
    /// Backend servers have ended while they were at work on these requests.
    Suspects(Vec<SuspectNotice>),
    /// Servers of these services have answered these suspects.
    Cleared(Vec<(RequestDigest, ServiceName)>),
    /// A node asks the keeper of tenants' quotas for tokens, or keeps up contact.
    QuotaAsk(Ask),
    /// The answer to it.
    QuotaReply(Reply),
}
