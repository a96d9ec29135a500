//! Records of the log, from which every node derives the replicated state (see [`super::state`]).
//!
//! A record is a JSON object with a format number. Each kind of record has a precondition, so a
//! record that was appended twice, too late or by the loser of a race has no effect.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::config::change::Change;
use super::ids::{
    Count, DomainName, Holder, Offset, RangeName, RecordId, Revision, ServiceName, SliceId, Token,
    Version,
};

/// Format number of the records that this version writes.
pub const FORMAT: u16 = 1;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format number; readers reject records of a higher format than they know.
    pub format: u16,
    /// Identifier by which the author recognises the record when it reads the log.
    pub id: RecordId,
    /// Node or operator that appended the record.
    pub author: String,
    /// Kind and content of the record.
    pub body: Body,
}

/// Kind and content of a record, with the precondition under which it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Changes the configuration. Applied if `base` is the current revision.
    Config {
        /// Revision that the change is based on.
        base: Revision,
        /// Objects that are put and dropped.
        change: Change,
    },
    /// Adds a member; without effect if it is one already.
    Join(Member),
    /// Replaces a member's description of itself, except its witness set. Applied if the holder is
    /// a member.
    Update(Member),
    /// Removes a member and frees its slices. Only the holder itself writes this record, after it
    /// has stopped serving the slices.
    Leave {
        /// The holder that leaves.
        holder: Holder,
    },
    /// Replaces a member's witness set. Only the holder itself writes this record; it is applied if
    /// `base` is the current version of the set.
    Witnesses {
        /// The holder whose witness set changes.
        holder: Holder,
        /// Version of the set that is replaced.
        base: Version,
        /// The new witness set.
        set: Vec<Peer>,
    },
    /// Removes a member whose lease has expired, after a majority of its witnesses have promised
    /// never to acknowledge it again. Applied if `base` is the current version of its witness set.
    Revoke {
        /// The holder that is removed.
        holder: Holder,
        /// Version of the witness set whose majority promised.
        base: Version,
        /// New owners of its slices; slices that are not listed become free.
        moves: Vec<Move>,
    },
    /// Grants free slices. Each move is applied if its slice is still free and its token unchanged.
    Assign {
        /// Slices with their new owners.
        moves: Vec<Move>,
    },
    /// Transfers slices to new owners. Only the owner writes this record, and only after the owner
    /// before it has released the slices to it. The owner keeps serving a slice until the new owner
    /// asks it to release the slice.
    Handover {
        /// The current owner.
        from: Holder,
        /// Slices with their new owners.
        moves: Vec<Move>,
    },
    /// Frees an owner's slices of a key range that was dropped from the configuration. Only the
    /// owner writes this record, after it has stopped serving the slices.
    Release {
        /// The owner that releases its slices.
        from: Holder,
        /// The dropped key range.
        range: RangeName,
    },
    /// A chunk of a snapshot. Applying it changes nothing but the offset up to which snapshots
    /// cover the log.
    Snapshot(Chunk),
}

/// The grant of a slice to a new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Key range of the slice.
    pub range: RangeName,
    /// Number of the slice within the range.
    pub slice: SliceId,
    /// Token of the slice's last grant, or 0 if it was never granted; the move is rejected if the
    /// slice has another token.
    pub prev: Token,
    /// The new owner.
    pub to: Holder,
}

/// A node's description of itself and of the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Node and incarnation that the description is of.
    pub holder: Holder,
    /// Address for datagrams and requests from other nodes.
    pub peer: SocketAddr,
    /// Address for operators' commands.
    pub admin: SocketAddr,
    /// Failure domain that the node is in.
    pub domain: DomainName,
    /// Service of the backend server; `None` until a backend server has announced itself.
    pub service: Option<ServiceName>,
    /// Maximum number of concurrent requests that the backend server accepts.
    pub slots: Count,
    /// Maximum number of concurrent connections that the backend server accepts.
    pub conns: Count,
    /// Whether the backend server checks fencing tokens.
    pub fenced: bool,
    /// Whether the node or its backend server is draining and takes no new work.
    pub draining: bool,
    /// Witness set of the holder when it joined.
    pub witnesses: Vec<Peer>,
}

/// A node in one incarnation, with the address of that incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Node and incarnation.
    pub holder: Holder,
    /// Address for datagrams and requests from other nodes.
    pub addr: SocketAddr,
}

/// A chunk of a snapshot of the state; see [`crate::log::snapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier that all chunks of the snapshot share.
    pub snapshot: RecordId,
    /// Offset of the first record that the snapshot does not include.
    pub next: Offset,
    /// Index of this chunk, from 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub total: u32,
    /// Digest of the text of the whole snapshot.
    pub digest: u64,
    /// This chunk of the text.
    pub data: String,
}

impl Record {
    /// Creates a record in the current format with a random identifier.
    pub fn new(author: impl ToString, body: Body) -> Record {
        let id = RecordId(fastrand::u128(..));
        Record { format: FORMAT, id, author: author.to_string(), body }
    }

    /// Encodes the record for appending it to the log.
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
