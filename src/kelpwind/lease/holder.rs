//! The holder's side of a lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::clock::Moment;
use super::message::{IncarnationId, Message, Seq};
use super::{EXPIRY_MARGIN, LEASE_DURATION, majority};
use crate::core::ids::{Holder, Offset, RecordId, Version};
use crate::core::record::Peer;

/// A change of the witness set whose fate is not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetChange {
    /// Identifier of the record that asks for it.
    pub record: RecordId,
    /// The set asked for.
    pub set: Vec<Peer>,
}

/// A holder's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    version: Version,
    set: Vec<Peer>,
    pending: Option<SetChange>,
    seq: Seq,
    sent: VecDeque<(Seq, Moment)>,
    acked: BTreeMap<IncarnationId, Moment>,
    refused: BTreeSet<IncarnationId>,
}

impl Lease {
    /// A lease that nobody has acknowledged yet.
    pub fn new(me: Holder, version: Version, set: Vec<Peer>) -> Lease {
        Lease {
            me,
            version,
            set,
            pending: None,
            seq: Seq::default(),
            sent: VecDeque::new(),
            acked: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Takes the set that the log names. A pending change is over once the version has moved: no
    /// record with the old base can hold any more.
    pub fn adopt_set(&mut self, version: Version, set: &[Peer]) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.set = set.to_vec();
        self.pending = None;
    }

    /// Notes a change of set before its record is sent. From now on both sets must acknowledge.
    pub fn begin_set_change(&mut self, record: RecordId, set: Vec<Peer>) {
        self.pending = Some(SetChange { record, set });
    }

    /// The change of set whose fate is not known yet.
    pub fn pending_change(&self) -> Option<&SetChange> {
        self.pending.as_ref()
    }

    /// Version of the current set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The current set.
    pub fn set(&self) -> &[Peer] {
        &self.set
    }

    /// Witnesses that have promised never to acknowledge this holder again.
    pub fn refusals(&self) -> &BTreeSet<IncarnationId> {
        &self.refused
    }

    /// Starts a renewal: the datagrams to send, each with its witness. `next` is how far this node
    /// has read the log.
    pub fn renew(&mut self, next: Offset, now: Moment) -> Vec<(Peer, Message)> {
        self.seq = Seq(self.seq.0 + 1);
        self.sent.push_back((self.seq, now));
        while self.sent.front().is_some_and(|(_, at)| now.since(*at) > LEASE_DURATION) {
            self.sent.pop_front();
        }
        let pending = self.pending.iter().flat_map(|p| &p.set);
        let peers: BTreeSet<&Peer> = self.set.iter().chain(pending).collect();
        let renewal = |peer: &Peer| {
            let holder = IncarnationId::from(self.me.inc);
            let witness = IncarnationId::from(peer.holder.inc);
            (peer.clone(), Message::Renew { holder, witness, seq: self.seq, next })
        };
        peers.into_iter().map(renewal).collect()
    }

    /// Takes an acknowledgement. It counts from the sending of its renewal; one of an older renewal
    /// never shortens or extends what a newer one gave.
    pub fn record_ack(&mut self, witness: IncarnationId, seq: Seq) {
        let Some((_, at)) = self.sent.iter().find(|(s, _)| *s == seq) else {
            return;
        };
        let newest = self.acked.entry(witness).or_insert(*at);
        *newest = (*newest).max(*at);
    }

    /// Takes a refusal.
    pub fn record_refusal(&mut self, witness: IncarnationId) {
        self.refused.insert(witness);
    }

    /// When the lease ends; `None` while no majority ever acknowledged.
    pub fn expires_at(&self) -> Option<Moment> {
        let current = self.majority_sent(&self.set)?;
        let sent = match &self.pending {
            Some(pending) => current.min(self.majority_sent(&pending.set)?),
            None => current,
        };
        Some(sent + (LEASE_DURATION - EXPIRY_MARGIN))
    }

    /// Whether the lease holds.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.expires_at().is_some_and(|end| now < end)
    }

    /// The latest moment such that a majority of `set` acknowledged renewals sent then or later.
    fn majority_sent(&self, set: &[Peer]) -> Option<Moment> {
        let newest = set.iter().filter_map(|p| self.acked.get(&IncarnationId::from(p.holder.inc)));
        let mut sent: Vec<Moment> = newest.copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(majority(set.len()) - 1).copied()
    }
}
