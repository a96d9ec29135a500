//! Choice of witness sets.
//!
//! A set has up to [`WITNESSES_MAX`] witnesses, spread over the failure domains as evenly as
//! possible, so that a set in three domains survives the loss of any one of them. Among otherwise
//! equal candidates, those that witness the fewest holders are preferred, to share the datagram
//! traffic evenly; a hash of holder and witness breaks ties. A holder is its own witness only when
//! there are too few other nodes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::IncarnationId;
use super::{WITNESSES_MAX, majority};
use crate::core::ids::{DomainName, Holder};
use crate::core::record::{Member, Peer};

/// How many holders a witness may have above [`WITNESSES_MAX`], the mean if all sets are full,
/// before one of those holders replaces it.
const LOAD_SLACK: usize = 2;

/// Chooses a witness set for `me` among `members`, without those in `excluded`, which have refused
/// to acknowledge it.
///
/// Witnesses in `current` are kept while they are members and not overloaded, because each change
/// costs a log record.
pub fn choose<'a>(
    me: &Member,
    members: impl Iterator<Item = &'a Member>,
    current: &[Peer],
    excluded: &BTreeSet<IncarnationId>,
) -> Vec<Peer> {
    let members: Vec<&Member> = members.collect();
    let loads = loads(&members, &me.holder);
    let load = |m: &Member| loads.get(&IncarnationId::from(m.holder.inc)).copied().unwrap_or(0);
    let eligible = members
        .iter()
        .filter(|m| m.holder != me.holder && !m.draining)
        .filter(|m| !excluded.contains(&IncarnationId::from(m.holder.inc)));
    let max_load = WITNESSES_MAX + LOAD_SLACK;
    let kept = |m: &Member| load(m) < max_load && current.iter().any(|p| p.holder == m.holder);
    let mut ranked: Vec<Candidate> = eligible
        .map(|m| {
            let is_new = !kept(m);
            let load = if is_new { load(m) } else { 0 };
            Candidate { is_new, load, rank: rank(&me.holder, &m.holder), member: m }
        })
        .collect();
    ranked.sort_unstable_by_key(|r| (r.is_new, r.load, r.rank));

    let mut chosen: Vec<Peer> = Vec::new();
    let mut per_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    while chosen.len() < WITNESSES_MAX && !ranked.is_empty() {
        let in_domain = |m: &Member| per_domain.get(&m.domain).copied().unwrap_or(0);
        let best = (0..ranked.len()).min_by_key(|i| (in_domain(ranked[*i].member), *i));
        let Some(best) = best else { break };
        let member = ranked.remove(best).member;
        *per_domain.entry(&member.domain).or_default() += 1;
        chosen.push(Peer { holder: member.holder.clone(), addr: member.peer });
    }
    // A set of even size tolerates no more losses than the next smaller odd one, so the holder
    // joins it.
    if chosen.len() < WITNESSES_MAX && chosen.len().is_multiple_of(2) {
        chosen.push(Peer { holder: me.holder.clone(), addr: me.peer });
    }
    chosen.sort_unstable();
    chosen
}

/// How urgently a witness set must be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The set is as good as the wanted one.
    None,
    /// The set has lost a witness but tolerates another loss, or one of its witnesses is
    /// overloaded. After the loss of a whole failure domain most sets are in this state; the
    /// records that revoke lost holders must reach the log before the records that replace these
    /// sets.
    Soon,
    /// The set tolerates no further loss, or could grow to tolerate more.
    Now,
}

/// How urgently `current` must be replaced by `wanted`; `can_witness` says which nodes still can be
/// witnesses.
pub fn urgency(
    current: &[Peer],
    wanted: &[Peer],
    can_witness: impl Fn(&Holder) -> bool,
) -> Urgency {
    let left = current.iter().filter(|p| can_witness(&p.holder)).count();
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

/// A member that can become a witness. Candidates with lower values are preferred, compared in
/// field order.
struct Candidate<'a> {
    is_new: bool,
    load: usize,
    rank: u64,
    member: &'a Member,
}

/// For each member, the number of holders other than `me` that it witnesses.
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
