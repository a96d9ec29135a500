//! Chooses witness sets.
//!
//! A set has up to [`MAX_WITNESSES`] witnesses, spread over failure domains as evenly as they allow, so
//! that a set over three domains bears the loss of any one of them. Among equals those that witness
//! the fewest holders are taken, so that no node's datagrams exceed its share; a hash of holder and
//! witness decides the rest. A holder stands in its own set only when there are too few others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::IncarnationId;
use super::{MAX_WITNESSES, majority};
use crate::core::ids::{DomainName, Holder};
use crate::core::record::{Member, Peer};

/// More holders than the mean that a witness may have before one of them looks for another.
const LOAD_SLACK: usize = 2;

/// Chooses the set of `me` among `members`; those in `barred` have refused it.
///
/// Witnesses of `current` are kept while they are members and not overloaded: each change costs a
/// record.
pub fn choose<'a>(
    me: &Member,
    members: impl Iterator<Item = &'a Member>,
    current: &[Peer],
    barred: &BTreeSet<IncarnationId>,
) -> Vec<Peer> {
    let members: Vec<&Member> = members.collect();
    let loads = loads(&members, &me.holder);
    let load = |m: &Member| loads.get(&IncarnationId::from(m.holder.inc)).copied().unwrap_or(0);
    let fit = members
        .iter()
        .filter(|m| m.holder != me.holder && !m.draining)
        .filter(|m| !barred.contains(&IncarnationId::from(m.holder.inc)));
    let most = MAX_WITNESSES + LOAD_SLACK;
    let kept = |m: &Member| load(m) < most && current.iter().any(|p| p.holder == m.holder);
    let mut ranked: Vec<Ranked> = fit
        .map(|m| {
            let fresh = !kept(m);
            let load = if fresh { load(m) } else { 0 };
            Ranked { fresh, load, rank: rank(&me.holder, &m.holder), member: m }
        })
        .collect();
    ranked.sort_unstable_by_key(|r| (r.fresh, r.load, r.rank));

    let mut taken: Vec<Peer> = Vec::new();
    let mut per_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    while taken.len() < MAX_WITNESSES && !ranked.is_empty() {
        let share = |m: &Member| per_domain.get(&m.domain).copied().unwrap_or(0);
        let best = (0..ranked.len()).min_by_key(|i| (share(ranked[*i].member), *i));
        let Some(best) = best else { break };
        let member = ranked.remove(best).member;
        *per_domain.entry(&member.domain).or_default() += 1;
        taken.push(Peer { holder: member.holder.clone(), addr: member.peer });
    }
    // An even set bears no more losses than the odd one below it; the holder makes it odd.
    if taken.len() < MAX_WITNESSES && taken.len().is_multiple_of(2) {
        taken.push(Peer { holder: me.holder.clone(), addr: me.peer });
    }
    taken.sort_unstable();
    taken
}

/// How much a set needs to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It is as good as the wanted one.
    None,
    /// It has lost a witness but bears another loss, or a witness has more holders than its share.
    /// After the loss of a whole failure domain most sets are in this state, and the records by
    /// which lost holders are revoked must come before theirs.
    Soon,
    /// It bears no more losses, or can grow to bear more.
    Now,
}

/// How much the current set needs to be replaced by `wanted`; `counts` says who can still witness.
pub fn urgency(current: &[Peer], wanted: &[Peer], counts: impl Fn(&Holder) -> bool) -> Urgency {
    let left = current.iter().filter(|p| counts(&p.holder)).count();
    let lost = left < current.len();
    if current.is_empty() && !wanted.is_empty() {
        return Urgency::Now;
    }
    if lost && left <= majority(current.len()) || majority(wanted.len()) > majority(current.len()) {
        return Urgency::Now;
    }
    let same = current.iter().all(|p| wanted.contains(p));
    if same { Urgency::None } else { Urgency::Soon }
}

/// A candidate, in the order in which candidates are preferred.
struct Ranked<'a> {
    fresh: bool,
    load: usize,
    rank: u64,
    member: &'a Member,
}

/// How many other holders each member witnesses.
fn loads(members: &[&Member], me: &Holder) -> HashMap<IncarnationId, usize> {
    let mut loads = HashMap::new();
    let others = members.iter().filter(|m| m.holder != *me);
    for peer in others.flat_map(|m| &m.witnesses) {
        *loads.entry(IncarnationId::from(peer.holder.inc)).or_default() += 1;
    }
    loads
}

fn rank(holder: &Holder, witness: &Holder) -> u64 {
    xxh3_64_with_seed(witness.node.as_str().as_bytes(), holder.inc.0)
}
