//! Who stands behind an incarnation, and which holders this node witnesses: drawn from the state
//! each time it moves.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::core::ids::{Holder, Version};
use crate::core::record::Peer;
use crate::core::state::State;
use crate::lease::message::IncarnationId;
use crate::lease::witness::Role;

/// A holder that this node witnesses.
#[derive(Clone, Debug)]
pub struct Watched {
    /// The holder.
    pub holder: Holder,
    /// Version of its witness set.
    pub version: Version,
    /// The set.
    pub set: Vec<Peer>,
    /// Place of this node in the set.
    pub rank: u32,
}

/// Members by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Addresses of members.
    pub addrs: HashMap<IncarnationId, SocketAddr>,
    /// Incarnations of members.
    pub members: BTreeSet<IncarnationId>,
    /// Holders that this node witnesses.
    pub watched: HashMap<IncarnationId, Watched>,
}

impl Directory {
    /// The directory of `state`, as seen from `me` with the address `addr`.
    pub fn of(state: &State, me: &Holder, addr: SocketAddr) -> Directory {
        let mut directory = Directory::default();
        for (holder, known) in &state.members {
            let tag = IncarnationId::from(holder.inc);
            directory.addrs.insert(tag, known.member.peer);
            directory.members.insert(tag);
            let set = &known.member.witnesses;
            let Some(rank) = set.iter().position(|p| role(p, me, addr).is_some()) else {
                continue;
            };
            let watched = Watched {
                holder: holder.clone(),
                version: known.version,
                set: set.clone(),
                rank: rank as u32,
            };
            directory.watched.insert(tag, watched);
        }
        directory
    }

    /// In which role `me` may answer for the witness that is listed as `listed` in the set of
    /// `holder`.
    pub fn role(
        &self,
        holder: IncarnationId,
        listed: IncarnationId,
        me: &Holder,
        addr: SocketAddr,
    ) -> Option<Role> {
        let watched = self.watched.get(&holder)?;
        let peer = watched.set.iter().find(|p| IncarnationId::from(p.holder.inc) == listed)?;
        role(peer, me, addr)
    }
}

/// A process answers for its own incarnation, and for those that ran before it at its address: that
/// it could bind the address shows that they are dead.
fn role(peer: &Peer, me: &Holder, addr: SocketAddr) -> Option<Role> {
    if peer.holder == *me {
        return Some(Role::Listed);
    }
    let before = peer.holder.node == me.node && peer.addr == addr;
    before.then_some(Role::Successor)
}
