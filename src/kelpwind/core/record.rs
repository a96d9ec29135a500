//! Records of the log. All lasting state is the fold of these (see [`super::state`]).
//!
//! A record is JSON with a format number. Each body carries the precondition under which it holds,
//! so a record that was appended twice, late, or by the loser of a race changes nothing.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::config::change::Change;
use super::ids::{
    Count, DomainName, Holder, Offset, RangeName, RecordId, Revision, ServiceName, SliceId, Token,
    Version,
};

/// Format number that this version writes.
pub const FORMAT: u16 = 1;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format number.
    pub format: u16,
    /// Identifier drawn by the author, by which the author finds it again.
    pub id: RecordId,
    /// Node or operator that appended it.
    pub author: String,
    /// What it says.
    pub body: Body,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// A change of configuration; holds while `base` is the current revision.
    Config {
        /// Revision the change was made from.
        base: Revision,
        /// The change.
        change: Change,
    },
    /// A node joins.
    Join(Member),
    /// A node changes what it says of itself; holds while it is a member.
    Update(Member),
    /// A node leaves by itself and gives up its slices; only the holder writes it, after it has
    /// stopped serving them.
    Leave {
        /// The holder that leaves.
        holder: Holder,
    },
    /// A holder changes its own witness set; holds while `base` is the version of the set.
    Witnesses {
        /// The holder.
        holder: Holder,
        /// Version of the set it replaces.
        base: Version,
        /// The new set.
        set: Vec<Peer>,
    },
    /// A majority of a holder's witnesses have promised never to acknowledge it again and its lease
    /// has run out: it is a member no more. Holds while `base` is the version of the set.
    Revoke {
        /// The holder that is lost.
        holder: Holder,
        /// Version of the set whose majority promised.
        base: Version,
        /// New owners of its slices; slices not named become free.
        moves: Vec<Move>,
    },
    /// Free slices get owners; each move holds while its slice is free and its token unchanged.
    Assign {
        /// The moves.
        moves: Vec<Move>,
    },
    /// An owner hands slices over; only the owner writes it, and only once it serves them itself. It
    /// goes on serving them until the next owner asks it to let go.
    Handover {
        /// The owner.
        from: Holder,
        /// The moves.
        moves: Vec<Move>,
    },
    /// An owner gives up its slices of a key range that was dropped; only the owner writes it,
    /// after it has stopped serving them.
    Release {
        /// The owner.
        from: Holder,
        /// The key range.
        range: RangeName,
    },
    /// A piece of a snapshot of the state; the fold notes only up to where snapshots go.
    Snapshot(Chunk),
}

/// A slice gets an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Key range of the slice.
    pub range: RangeName,
    /// The slice.
    pub slice: SliceId,
    /// Token under which it was last granted; 0 when it never was.
    pub prev: Token,
    /// The new owner.
    pub to: Holder,
}

/// What a node says of itself and of the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node in its incarnation.
    pub holder: Holder,
    /// Address for datagrams and requests from other nodes.
    pub peer: SocketAddr,
    /// Address for operators' calls.
    pub admin: SocketAddr,
    /// Failure domain it stands in.
    pub domain: DomainName,
    /// Service of its backend server; none while no backend server has announced itself.
    pub service: Option<ServiceName>,
    /// Requests the backend server can run at once.
    pub slots: Count,
    /// Connections the backend server accepts at once.
    pub conns: Count,
    /// Whether the backend server checks fencing tokens.
    pub fenced: bool,
    /// Whether the node or its backend server is about to stop.
    pub draining: bool,
    /// Its first witness set.
    pub witnesses: Vec<Peer>,
}

/// A node in one incarnation, and the address it then had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The node in its incarnation.
    pub holder: Holder,
    /// Address for datagrams and requests.
    pub addr: SocketAddr,
}

/// One piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier of the snapshot; all its pieces share it.
    pub snapshot: RecordId,
    /// Offset of the first record that is not in the snapshot.
    pub next: Offset,
    /// Number of this piece, from 0.
    pub index: u32,
    /// Number of pieces.
    pub total: u32,
    /// Digest of the whole snapshot's text.
    pub digest: u64,
    /// This piece of the text.
    pub data: String,
}

impl Record {
    /// A record of this version's format with a random identifier.
    pub fn new(author: impl ToString, body: Body) -> Record {
        let id = RecordId(fastrand::u128(..));
        Record { format: FORMAT, id, author: author.to_string(), body }
    }

    /// The record as the bytes that are appended.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

impl TryFrom<&[u8]> for Record {
    type Error = serde_json::Error;

    fn try_from(raw: &[u8]) -> std::result::Result<Record, Self::Error> {
        serde_json::from_slice(raw)
    }
}
