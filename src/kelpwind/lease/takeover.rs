//! One attempt to take over from a silent holder: collects promises and says when to write.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clock::Moment;
use super::majority;
use super::message::{IncarnationId, Message};
use crate::core::ids::{Holder, Version};
use crate::core::record::Peer;

/// Time after which unanswered questions are asked again.
pub const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the record is written again if the holder is still a member.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// An attempt to take over from one holder.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The silent holder.
    pub holder: Holder,
    /// Version of the set that is asked.
    pub version: Version,
    set: Vec<Peer>,
    free: BTreeMap<IncarnationId, Moment>,
    asked: Option<Moment>,
    wrote: Option<Moment>,
}

impl Takeover {
    /// An attempt that has asked nobody yet.
    pub fn new(target: Holder, version: Version, set: Vec<Peer>) -> Takeover {
        Takeover { holder: target, version, set, free: BTreeMap::new(), asked: None, wrote: None }
    }

    /// Questions to send now: to all who have not promised, unless they were asked just before.
    pub fn promise_requests(&mut self, asker: IncarnationId, now: Moment) -> Vec<(Peer, Message)> {
        if self.asked.is_some_and(|at| now.since(at) < REQUEST_RETRY_INTERVAL) {
            return Vec::new();
        }
        self.asked = Some(now);
        let holder = IncarnationId::from(self.holder.inc);
        let open =
            self.set.iter().filter(|p| !self.free.contains_key(&IncarnationId::from(p.holder.inc)));
        let question = |peer: &Peer| {
            let witness = IncarnationId::from(peer.holder.inc);
            let version = self.version;
            (peer.clone(), Message::PromiseRequest { holder, version, witness, requester: asker })
        };
        open.map(question).collect()
    }

    /// Takes a promise that binds no more after `remaining`.
    pub fn record_promise(
        &mut self,
        version: Version,
        witness: IncarnationId,
        remaining: Duration,
        now: Moment,
    ) {
        let listed = self.set.iter().any(|p| IncarnationId::from(p.holder.inc) == witness);
        if version != self.version || !listed {
            return;
        }
        let free = now + remaining;
        let first = self.free.entry(witness).or_insert(free);
        *first = (*first).min(free);
    }

    /// Notes that the record is about to be written; false if it was written a moment ago.
    pub fn try_begin_write(&mut self, now: Moment) -> bool {
        if self.wrote.is_some_and(|at| now.since(at) < WRITE_RETRY_INTERVAL) {
            return false;
        }
        self.wrote = Some(now);
        true
    }

    /// Whether a majority promised and what they acknowledged before binds no more.
    pub fn is_ready(&self, now: Moment) -> bool {
        let free = self.free.values().filter(|at| **at <= now).count();
        free >= majority(self.set.len())
    }
}
