//! Placement: which owner gets which slices or keys.
//!
//! [`planner`] assigns free slices to owners and chooses slices to hand over. [`spread`]
//! distributes keys without an owner, and [`relief`] moves keys away from overloaded owners. This
//! module does no I/O: it computes moves from the state it is given.
//!
//! Any node may plan for any service, since the fold accepts at most one of two conflicting moves.
//! Only the node that [`planner_of`] returns does so, to keep useless records out of the log.

pub mod planner;
pub mod relief;
pub mod spread;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::ids::{Holder, ServiceName};
use crate::core::state::State;

/// The member that plans for a service: the one with the lowest hash of its incarnation and the
/// service name. If it is lost, its witnesses revoke it, and the member with the next hash plans.
pub fn planner_of<'a>(state: &'a State, service: &ServiceName) -> Option<&'a Holder> {
    let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
    let rank = |h: &&Holder| xxh3_64_with_seed(&h.inc.0.to_le_bytes(), seed);
    let members = state.newest_members().filter(|m| !m.draining);
    members.map(|m| &m.holder).min_by_key(rank)
}
