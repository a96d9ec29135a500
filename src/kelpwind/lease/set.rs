//! Chooses witness sets.
//!
//! A set has up to [`SET_SIZE`] witnesses, spread over failure domains as evenly as they allow, so
//! that a set over three domains bears the loss of any one of them. Between equals a hash of holder
//! and witness decides: sets differ from holder to holder, each node witnesses about as many
//! holders as every other, and a change of membership disturbs few sets. A holder stands in its own
//! set only when there are too few others.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::Tag;
use super::{SET_SIZE, majority};
use crate::core::ids::{DomainName, Holder};
use crate::core::record::{Member, Peer};

/// Chooses the set of `me` among `members`; those in `barred` have refused it.
///
/// Witnesses of `current` that are still members are kept: each change costs a record.
pub fn choose<'a>(
    me: &Member,
    members: impl Iterator<Item = &'a Member>,
    current: &[Peer],
    barred: &BTreeSet<Tag>,
) -> Vec<Peer> {
    let all: Vec<&Member> = members
        .filter(|m| m.holder != me.holder && !m.draining)
        .filter(|m| !barred.contains(&Tag::from(m.holder.inc)))
        .collect();
    let kept = |m: &Member| current.iter().any(|p| p.holder == m.holder);
    let mut ranked: Vec<(bool, u64, &Member)> =
        all.iter().map(|m| (!kept(m), rank(&me.holder, &m.holder), *m)).collect();
    ranked.sort_unstable_by_key(|(fresh, rank, _)| (*fresh, *rank));

    let mut taken: Vec<Peer> = Vec::new();
    let mut per_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    while taken.len() < SET_SIZE && !ranked.is_empty() {
        let load = |m: &Member| per_domain.get(&m.domain).copied().unwrap_or(0);
        let Some(best) = (0..ranked.len()).min_by_key(|i| (load(ranked[*i].2), *i)) else {
            break;
        };
        let (_, _, member) = ranked.remove(best);
        *per_domain.entry(&member.domain).or_default() += 1;
        taken.push(Peer { holder: member.holder.clone(), addr: member.peer });
    }
    // An even set bears no more losses than the odd one below it; the holder makes it odd.
    if taken.len() < SET_SIZE && taken.len().is_multiple_of(2) {
        taken.push(Peer { holder: me.holder.clone(), addr: me.peer });
    }
    taken.sort_unstable();
    taken
}

/// Whether the current set should be replaced by `wanted`: it has lost a witness, or can grow to
/// bear more losses.
pub fn worth_changing(current: &[Peer], wanted: &[Peer]) -> bool {
    let kept = current.iter().filter(|p| wanted.contains(p)).count();
    kept < current.len() || majority(wanted.len()) > majority(current.len())
}

fn rank(holder: &Holder, witness: &Holder) -> u64 {
    xxh3_64_with_seed(witness.node.as_str().as_bytes(), holder.inc.0)
}
