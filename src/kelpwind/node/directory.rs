//! Index of the members by incarnation: their addresses, and which of them this node witnesses.
//! Rebuilt from the state each time it advances.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::core::ids::{Holder, Version};
use crate::core::record::Peer;
use crate::core::state::State;
use crate::lease::message::IncarnationId;
use crate::lease::witness::Role;

/// A holder that lists this node in its witness set.
#[derive(Clone, Debug)]
pub struct WatchedHolder {
    /// Name and incarnation of the holder.
    pub holder: Holder,
    /// Version of the holder's witness set.
    pub version: Version,
    /// Witnesses of the holder, sorted.
    pub set: Vec<Peer>,
    /// Index of this node in the set; it staggers the start of takeovers.
    pub rank: u32,
}

/// Members by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Peer addresses of members.
    pub addrs: HashMap<IncarnationId, SocketAddr>,
    /// Incarnations of members.
    pub members: BTreeSet<IncarnationId>,
    /// Holders that list this node in their witness set.
    pub watched: HashMap<IncarnationId, WatchedHolder>,
}

impl Directory {
    /// Builds the directory of `state` for the node `local` at the peer address `addr`.
    pub fn build(state: &State, local: &Holder, addr: SocketAddr) -> Directory {
        let mut directory = Directory::default();
        for (holder, known) in &state.members {
            let incarnation = IncarnationId::from(holder.inc);
            directory.addrs.insert(incarnation, known.member.peer);
            directory.members.insert(incarnation);
            let set = &known.member.witnesses;
            let Some(rank) = set.iter().position(|p| role_for(p, local, addr).is_some()) else {
                continue;
            };
            let watched = WatchedHolder {
                holder: holder.clone(),
                version: known.version,
                set: set.clone(),
                rank: rank as u32,
            };
            directory.watched.insert(incarnation, watched);
        }
        directory
    }

    /// The role in which `local` may answer a promise request to `listed`, a witness of `holder`;
    /// `None` if it may not.
    pub fn role(
        &self,
        holder: IncarnationId,
        listed: IncarnationId,
        local: &Holder,
        addr: SocketAddr,
    ) -> Option<Role> {
        let watched = self.watched.get(&holder)?;
        let peer = watched.set.iter().find(|p| IncarnationId::from(p.holder.inc) == listed)?;
        role_for(peer, local, addr)
    }
}

/// A process answers for its own incarnation and for earlier ones at the same address: it could
/// bind the address only because they have ended.
fn role_for(peer: &Peer, local: &Holder, addr: SocketAddr) -> Option<Role> {
    if peer.holder == *local {
        return Some(Role::Listed);
    }
    let earlier = peer.holder.node == local.node && peer.addr == addr;
    earlier.then_some(Role::Successor)
}
