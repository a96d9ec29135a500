//! An attempt to take over from a silent holder: collects promises and says when the record of the
//! takeover may be written.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clock::BootInstant;
use super::majority;
use super::message::{IncarnationId, Message};
use crate::core::ids::{Holder, Version};
use crate::core::record::Peer;

/// Time after which unanswered promise requests are sent again.
pub const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the record is written again if the holder is still a member.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// An attempt to take over from one holder.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The silent holder.
    pub holder: Holder,
    /// Version of the witness set whose promises are collected.
    pub version: Version,
    set: Vec<Peer>,
    ack_expiry: BTreeMap<IncarnationId, BootInstant>,
    last_request: Option<BootInstant>,
    last_write: Option<BootInstant>,
}

impl Takeover {
    /// An attempt that has sent no request yet.
    pub fn new(holder: Holder, version: Version, set: Vec<Peer>) -> Takeover {
        Takeover {
            holder,
            version,
            set,
            ack_expiry: BTreeMap::new(),
            last_request: None,
            last_write: None,
        }
    }

    /// Requests to send now, one to each witness that has not promised yet; none if the last ones
    /// were sent less than [`REQUEST_RETRY_INTERVAL`] ago.
    pub fn promise_requests(
        &mut self,
        requester: IncarnationId,
        now: BootInstant,
    ) -> Vec<(Peer, Message)> {
        if self.last_request.is_some_and(|at| now.since(at) < REQUEST_RETRY_INTERVAL) {
            return Vec::new();
        }
        self.last_request = Some(now);
        let holder = IncarnationId::from(self.holder.inc);
        let unanswered = self
            .set
            .iter()
            .filter(|p| !self.ack_expiry.contains_key(&IncarnationId::from(p.holder.inc)));
        let request = |peer: &Peer| {
            let witness = IncarnationId::from(peer.holder.inc);
            let version = self.version;
            (peer.clone(), Message::PromiseRequest { holder, version, witness, requester })
        };
        unanswered.map(request).collect()
    }

    /// Records a promise; the witness's last acknowledgement expires after `remaining`.
    pub fn record_promise(
        &mut self,
        version: Version,
        witness: IncarnationId,
        remaining: Duration,
        now: BootInstant,
    ) {
        let listed = self.set.iter().any(|p| IncarnationId::from(p.holder.inc) == witness);
        if version != self.version || !listed {
            return;
        }
        let expiry = now + remaining;
        let first = self.ack_expiry.entry(witness).or_insert(expiry);
        *first = (*first).min(expiry);
    }

    /// Returns true and records the time if the record may be written now; false if the last
    /// attempt is less than [`WRITE_RETRY_INTERVAL`] ago.
    pub fn try_begin_write(&mut self, now: BootInstant) -> bool {
        if self.last_write.is_some_and(|at| now.since(at) < WRITE_RETRY_INTERVAL) {
            return false;
        }
        self.last_write = Some(now);
        true
    }

    /// Whether a majority has promised and their earlier acknowledgements have expired.
    pub fn is_ready(&self, now: BootInstant) -> bool {
        let expired = self.ack_expiry.values().filter(|at| **at <= now).count();
        expired >= majority(self.set.len())
    }
}
