//! The witness's side of a lease: acknowledges renewals, and promises never to do so again.
//!
//! A witness keeps no disk. What it promised and acknowledged is gone when it restarts; the new
//! incarnation is in no set until a record lists it, so what it has forgotten cannot be asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::clock::Moment;
use super::message::{IncarnationId, Message, Seq};
use super::{LEASE_DURATION, SILENCE_TIMEOUT};
use crate::core::ids::{Offset, Version};

/// A witness's memory.
#[derive(Clone, Debug)]
pub struct Witness {
    me: IncarnationId,
    born: Moment,
    watched: BTreeMap<IncarnationId, Moment>,
    acked: BTreeMap<IncarnationId, Moment>,
    promised: BTreeSet<IncarnationId>,
}

/// In whose name a promise is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The set lists this incarnation.
    Listed,
    /// The set lists an incarnation that ran at the same address before this one. It is dead: two
    /// processes cannot listen on one address.
    Successor,
}

impl Witness {
    /// A witness that has just started.
    pub fn new(me: IncarnationId, born: Moment) -> Witness {
        Witness {
            me,
            born,
            watched: BTreeMap::new(),
            acked: BTreeMap::new(),
            promised: BTreeSet::new(),
        }
    }

    /// Takes the members that the log names; the silence of those that this node watches is counted
    /// from when it first knew of them.
    ///
    /// Neither a promise nor an acknowledgement that still binds is forgotten with a holder's record:
    /// a holder that was frozen while its keys were taken over may write its record once more. Promises
    /// are few, some bytes for each holder that was ever lost.
    pub fn update_members(
        &mut self,
        members: &BTreeSet<IncarnationId>,
        watching: &BTreeSet<IncarnationId>,
        now: Moment,
    ) {
        self.acked.retain(|holder, at| members.contains(holder) || now.since(*at) < LEASE_DURATION);
        self.watched.retain(|holder, _| watching.contains(holder));
        for holder in watching {
            self.watched.entry(*holder).or_insert(now);
        }
    }

    /// Notes that a holder is alive, whichever incarnation of the witness it meant. A holder whose
    /// witness has restarted must not count as silent.
    pub fn record_contact(&mut self, holder: IncarnationId, now: Moment) {
        if let Some(heard) = self.watched.get_mut(&holder) {
            *heard = now;
        }
    }

    /// Answers a renewal of a member. `next` is how far this node has read the log.
    pub fn handle_renewal(
        &mut self,
        holder: IncarnationId,
        seq: Seq,
        next: Offset,
        now: Moment,
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

    /// How long a watched holder has been silent; `None` when it is not watched.
    pub fn silent_for(&self, holder: IncarnationId, now: Moment) -> Option<Duration> {
        self.watched.get(&holder).map(|heard| now.since(*heard))
    }

    /// Holders that are watched.
    pub fn watched(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.watched.keys().copied()
    }

    /// Gives the promise asked for, if the holder has been silent long enough. The answer says how
    /// long the last acknowledgement still binds.
    pub fn handle_promise_request(
        &mut self,
        holder: IncarnationId,
        version: Version,
        listed: IncarnationId,
        role: Role,
        now: Moment,
    ) -> Option<Message> {
        let promised = self.promised.contains(&holder);
        if !promised && self.silent_for(holder, now).is_none_or(|s| s < SILENCE_TIMEOUT) {
            return None;
        }
        self.promised.insert(holder);
        let bound = match role {
            Role::Listed => self.acked.get(&holder).copied(),
            Role::Successor => Some(self.born),
        };
        let left = bound.map_or(Duration::ZERO, |at| LEASE_DURATION.saturating_sub(now.since(at)));
        let remaining = left.as_micros().div_ceil(1000) as u32;
        Some(Message::Promise { holder, version, witness: listed, remaining_ms: remaining })
    }
}
