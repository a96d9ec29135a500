//! The witness's side of a lease: acknowledges renewals, and promises never to do so again.
//!
//! A witness stores nothing on disk, so its promises and acknowledgements are lost when it
//! restarts. That is safe because the new incarnation belongs to no witness set until a record
//! lists it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::clock::BootInstant;
use super::message::{IncarnationId, Message, Seq};
use super::{LEASE_DURATION, SILENCE_TIMEOUT};
use crate::core::ids::{Offset, Version};

/// State of a witness, kept in memory only.
#[derive(Clone, Debug)]
pub struct Witness {
    me: IncarnationId,
    started_at: BootInstant,
    watched_since: BTreeMap<IncarnationId, BootInstant>,
    last_contact: BTreeMap<IncarnationId, BootInstant>,
    acked: BTreeMap<IncarnationId, BootInstant>,
    promised: BTreeSet<IncarnationId>,
    rejected: BTreeSet<IncarnationId>,
}

/// For which incarnation a witness gives a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// For itself: the set lists this incarnation.
    Listed,
    /// For a previous incarnation that the set lists and that ran at the same address. Two
    /// processes cannot listen on one address, so it has ended or lost the address. Renewals that
    /// reached it before count from when they were sent, which was before this process started.
    Successor,
}

impl Witness {
    /// A witness that has just started.
    pub fn new(me: IncarnationId, started_at: BootInstant) -> Witness {
        Witness {
            me,
            started_at,
            watched_since: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            acked: BTreeMap::new(),
            promised: BTreeSet::new(),
            rejected: BTreeSet::new(),
        }
    }

    /// Adopts the members that the log names. The silence of a holder in `watching` counts from
    /// when this node first learns of it.
    ///
    /// Promises, and acknowledgements that have not expired, outlive the holder's record: a holder
    /// that was frozen while its keys were taken over may write its record once more. Promises are
    /// never dropped; they take a few bytes for each holder that was ever lost.
    pub fn update_members(
        &mut self,
        members: &BTreeSet<IncarnationId>,
        watching: &BTreeSet<IncarnationId>,
        now: BootInstant,
    ) {
        self.acked.retain(|holder, at| members.contains(holder) || now.since(*at) < LEASE_DURATION);
        for times in [&mut self.watched_since, &mut self.last_contact] {
            times.retain(|holder, _| watching.contains(holder));
            for holder in watching {
                times.entry(*holder).or_insert(now);
            }
        }
    }

    /// Never answers renewals of these holders again, because a later incarnation of their node is
    /// a member.
    pub fn reject(&mut self, holders: impl IntoIterator<Item = IncarnationId>) {
        self.rejected.extend(holders);
    }

    /// Whether renewals of a holder are not answered.
    pub fn has_rejected(&self, holder: IncarnationId) -> bool {
        self.rejected.contains(&holder)
    }

    /// Records that a holder is alive, whichever incarnation of this witness its message was sent
    /// to: a holder must not count as silent because its witness has restarted.
    pub fn record_contact(&mut self, holder: IncarnationId, now: BootInstant) {
        if let Some(last) = self.last_contact.get_mut(&holder) {
            *last = now;
        }
    }

    /// Answers a renewal of a member. `next` is the offset of the next log record that this node
    /// has to read.
    pub fn handle_renewal(
        &mut self,
        holder: IncarnationId,
        seq: Seq,
        next: Offset,
        now: BootInstant,
    ) -> Message {
        if self.promised.contains(&holder) {
            return Message::Refuse { holder, witness: self.me };
        }
        self.acked.insert(holder, now);
        Message::Ack { holder, witness: self.me, seq, next }
    }

    /// Whether this witness has promised never to acknowledge a holder again.
    pub fn has_promised(&self, holder: IncarnationId) -> bool {
        self.promised.contains(&holder)
    }

    /// Time since the last contact with a holder; `None` if the holder is not watched.
    pub fn silent_for(&self, holder: IncarnationId, now: BootInstant) -> Option<Duration> {
        self.last_contact.get(&holder).map(|last| now.since(*last))
    }

    /// Holders whose silence this witness measures.
    pub fn watched(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.last_contact.keys().copied()
    }

    /// Gives the requested promise if the holder has been silent for [`SILENCE_TIMEOUT`] or this
    /// witness has promised before. The answer says how long the last acknowledgement stays valid.
    /// A holder that was never acknowledged may have joined with the keys of its node's former run,
    /// which may have held a lease until then.
    pub fn handle_promise_request(
        &mut self,
        holder: IncarnationId,
        version: Version,
        listed: IncarnationId,
        role: Role,
        now: BootInstant,
    ) -> Option<Message> {
        let promised = self.promised.contains(&holder);
        if !promised && self.silent_for(holder, now).is_none_or(|s| s < SILENCE_TIMEOUT) {
            return None;
        }
        self.promised.insert(holder);
        let bound = match role {
            Role::Listed => self.acked.get(&holder).or(self.watched_since.get(&holder)).copied(),
            Role::Successor => Some(self.started_at),
        };
        let left = bound.map_or(Duration::ZERO, |at| LEASE_DURATION.saturating_sub(now.since(at)));
        let remaining = left.as_micros().div_ceil(1000) as u32;
        Some(Message::Promise { holder, version, witness: listed, remaining_ms: remaining })
    }
}
