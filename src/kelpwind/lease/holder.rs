//! The holder's side of a lease: sends renewals, collects acknowledgements, computes the expiry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::clock::BootInstant;
use super::message::{IncarnationId, Message, Seq};
use super::{EXPIRY_MARGIN, LEASE_DURATION, majority};
use crate::core::ids::{Holder, Offset, RecordId, Version};
use crate::core::record::Peer;

/// A change of the witness set of which the holder does not know yet whether the log accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetChange {
    /// Identifier of the record that requests the change.
    pub record: RecordId,
    /// The requested set.
    pub set: Vec<Peer>,
}

/// A holder's lease, as the holder itself sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    version: Version,
    set: Vec<Peer>,
    pending: Option<SetChange>,
    seq: Seq,
    sent: VecDeque<(Seq, BootInstant)>,
    acked: BTreeMap<IncarnationId, BootInstant>,
    refusals: BTreeSet<IncarnationId>,
}

impl Lease {
    /// A lease that no witness has acknowledged yet, so it is not valid.
    pub fn new(me: Holder, version: Version, set: Vec<Peer>) -> Lease {
        Lease {
            me,
            version,
            set,
            pending: None,
            seq: Seq::default(),
            sent: VecDeque::new(),
            acked: BTreeMap::new(),
            refusals: BTreeSet::new(),
        }
    }

    /// Adopts the witness set that the log names. A new version ends a pending change, since the
    /// log ignores any record that is based on an older version.
    pub fn adopt_set(&mut self, version: Version, set: &[Peer]) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.set = set.to_vec();
        self.pending = None;
    }

    /// Records a change of the witness set; called before its record is sent. From now on the lease
    /// needs a majority of both sets.
    pub fn begin_set_change(&mut self, record: RecordId, set: Vec<Peer>) {
        self.pending = Some(SetChange { record, set });
    }

    /// The change of the witness set whose result is not known yet.
    pub fn pending_change(&self) -> Option<&SetChange> {
        self.pending.as_ref()
    }

    /// Version of the current witness set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The current witness set.
    pub fn set(&self) -> &[Peer] {
        &self.set
    }

    /// Witnesses that have promised never to acknowledge this holder again.
    pub fn refusals(&self) -> &BTreeSet<IncarnationId> {
        &self.refusals
    }

    /// Starts a renewal and returns the datagrams to send, each with its witness. `next` is the
    /// offset of the next log record that this node has to read.
    pub fn renew(&mut self, next: Offset, now: BootInstant) -> Vec<(Peer, Message)> {
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

    /// Records an acknowledgement. The lease counts from the time its renewal was sent, so an
    /// acknowledgement of an older renewal that arrives late changes nothing.
    pub fn record_ack(&mut self, witness: IncarnationId, seq: Seq) {
        let Some((_, at)) = self.sent.iter().find(|(s, _)| *s == seq) else {
            return;
        };
        let newest = self.acked.entry(witness).or_insert(*at);
        *newest = (*newest).max(*at);
    }

    /// Records that a witness has promised never to acknowledge this holder again.
    pub fn record_refusal(&mut self, witness: IncarnationId) {
        self.refusals.insert(witness);
    }

    /// When the lease expires; `None` if no majority has acknowledged a renewal yet.
    pub fn expires_at(&self) -> Option<BootInstant> {
        let current = self.majority_sent_at(&self.set)?;
        let sent = match &self.pending {
            Some(pending) => current.min(self.majority_sent_at(&pending.set)?),
            None => current,
        };
        Some(sent + (LEASE_DURATION - EXPIRY_MARGIN))
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        self.expires_at().is_some_and(|end| now < end)
    }

    /// The latest point in time such that a majority of `set` has acknowledged renewals sent then
    /// or later.
    fn majority_sent_at(&self, set: &[Peer]) -> Option<BootInstant> {
        let newest = set.iter().filter_map(|p| self.acked.get(&IncarnationId::from(p.holder.inc)));
        let mut sent: Vec<BootInstant> = newest.copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(majority(set.len()) - 1).copied()
    }
}
