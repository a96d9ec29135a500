//! The state: a deterministic fold of the log's records.
//!
//! [`State::apply`] is the only way the state changes. It ignores a record whose precondition does
//! not hold, says why, and never fails: every reader of the same records has the same state. Log
//! order is the only arbiter between racing authors, and the offset of a record that grants a slice
//! is the slice's fencing token, so tokens are unique and rise.
//!
//! Why preconditions and not a table of record identifiers seen: a record that is appended twice
//! (its reply was lost and the author tried again) finds its precondition gone the second time. The
//! state stays small and needs no horizon after which a repeat would pass.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::codes::Code;
use super::config::change::Change;
use super::config::{Config, KeyRange};
use super::ids::{
    Holder, Incarnation, Offset, RangeName, Revision, ServiceName, SliceId, Token, Version,
};
use super::record::{Body, FORMAT, Member, Move, Peer, Record};

/// Published revisions that the state remembers.
pub const HISTORY_MAX: usize = 64;

/// What became of a record: applied, or ignored for a reason.
pub type ApplyResult = std::result::Result<(), Code>;

/// A slice: its owner, and the token under which it was last granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceState {
    /// The owner; none while the slice is free.
    pub holder: Option<Holder>,
    /// Token of the last grant.
    pub token: Token,
    /// Token of the grant before; 0 when there was none.
    pub prev: Token,
    /// The owner that handed the slice over, until it is no member any more. It serves the slice
    /// until the next owner asks it to let go; nobody else may serve it before that.
    #[serde(rename = "from")]
    pub former: Option<FormerOwner>,
}

/// An owner that has handed a slice over and may still serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The former owner.
    pub holder: Holder,
    /// The token it held the slice under.
    pub token: Token,
    /// Token of the grant before that; 0 when there was none.
    pub prev: Token,
}

impl FormerOwner {
    /// The slot as it was while the former owner had it.
    pub fn slice_state(&self) -> SliceState {
        let FormerOwner { holder, token, prev } = self.clone();
        SliceState { holder: Some(holder), token, prev, former: None }
    }
}

impl SliceState {
    /// Whether anyone owns the slice or may still serve it.
    fn is_held(&self) -> bool {
        self.holder.is_some() || self.former.is_some()
    }

    /// Whether `holder` is the owner or the former owner.
    pub fn is_held_by(&self, holder: &Holder) -> bool {
        self.holder.as_ref() == Some(holder) || self.is_former_owner(holder)
    }

    fn is_former_owner(&self, holder: &Holder) -> bool {
        self.former.as_ref().is_some_and(|f| f.holder == *holder)
    }

    /// The holder gives the slice up, as owner and as former owner.
    fn release_by(&mut self, holder: &Holder) {
        if self.holder.as_ref() == Some(holder) {
            self.holder = None;
        }
        if self.is_former_owner(holder) {
            self.former = None;
        }
    }
}

/// The slices of a key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeState {
    /// The range as configured.
    pub range: KeyRange,
    /// One slot a slice.
    #[serde(rename = "slots", with = "super::packed_slices")]
    pub slices: Vec<SliceState>,
    /// Whether the range was dropped from the configuration while slices had owners.
    pub retired: bool,
}

/// A member and the version of its witness set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// What the member says of itself; `witnesses` is its current set.
    pub member: Member,
    /// Version of the set.
    pub version: Version,
    /// Offset of the record by which it joined.
    pub joined: Offset,
}

/// A revision that was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision.
    pub revision: Revision,
    /// Who published it.
    pub author: String,
    /// What it changed, one object or field a line.
    pub lines: Vec<String>,
}

/// The folded state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Chained digest of all records applied, to compare two readers by.
    pub digest: u64,
    /// Current revision of the configuration.
    pub revision: Revision,
    /// The configuration.
    pub config: Config,
    /// Members by holder.
    pub members: BTreeMap<Holder, MemberState>,
    /// Slices by key range, retired ones included.
    pub ranges: BTreeMap<RangeName, RangeState>,
    /// The latest revisions, oldest first.
    pub history: VecDeque<Published>,
    /// Offset from which the records count that are not in the newest snapshot in the log.
    #[serde(rename = "snapshot")]
    pub snapshot_next: Offset,
}

/// Where a key belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyLocation {
    /// Key range that covers the key.
    pub range: RangeName,
    /// Slice the key is hashed to.
    pub slice: SliceId,
    /// The slice's owner and token.
    #[serde(rename = "slot")]
    pub state: SliceState,
}

impl State {
    /// Applies the record at `offset`. Records before [`State::next`] are repeats and ignored.
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) -> ApplyResult {
        if offset < self.next {
            return Err(Code::BadRecord);
        }
        self.next = offset.next();
        self.digest = xxh3_64_with_seed(raw, self.digest);
        let record = Record::try_from(raw).map_err(|_| Code::BadRecord)?;
        if record.format > FORMAT {
            return Err(Code::BadRecord);
        }
        self.apply_body(offset, record)
    }

    fn apply_body(&mut self, offset: Offset, record: Record) -> ApplyResult {
        match record.body {
            Body::Config { base, change } => self.configure(offset, record.author, base, change),
            Body::Join(member) => self.join(offset, member),
            Body::Update(member) => self.update(member),
            Body::Leave { holder } => self.remove(&holder),
            Body::Witnesses { holder, base, set } => self.set_witnesses(offset, holder, base, set),
            Body::Revoke { holder, base, moves } => self.revoke(offset, holder, base, moves),
            Body::Assign { moves } => self.grant(offset, &moves, None),
            Body::Handover { from, moves } => self.grant(offset, &moves, Some(&from)),
            Body::Release { from, range } => self.release(&from, &range),
            Body::Snapshot(chunk) => {
                // Pieces are written in order, so the last one ends a whole snapshot.
                if chunk.index + 1 == chunk.total {
                    self.snapshot_next = self.snapshot_next.max(chunk.next);
                }
                Ok(())
            }
        }
    }

    fn configure(
        &mut self,
        offset: Offset,
        author: String,
        base: Revision,
        change: Change,
    ) -> ApplyResult {
        if base != self.revision {
            return Err(Code::StaleBase);
        }
        let config = change
            .apply(&self.config)
            .map_err(|f| f.0.first().map_or(Code::BadValue, |fault| fault.code))?;
        if self.overlaps_retired(&config) {
            return Err(Code::Immutable);
        }
        let lines = change.describe(&self.config);
        self.revision = Revision(offset.next().0);
        self.config = config;
        self.sync_ranges();
        self.history.push_back(Published { revision: self.revision, author, lines });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        Ok(())
    }

    /// Whether a range of `config` covers keys of a range that is being dropped but still has
    /// owners. Such keys would have two owners until the old ones have read the change.
    pub fn overlaps_retired(&self, config: &Config) -> bool {
        let ranges = config.all_ranges();
        let kept =
            |name: &RangeName, old: &RangeState| ranges.get(name).is_some_and(|r| *r == old.range);
        let owned = |old: &RangeState| old.slices.iter().any(SliceState::is_held);
        let leaving = self.ranges.iter().filter(|(name, old)| !kept(name, old) && owned(old));
        leaving.into_iter().any(|(_, old)| {
            let mut new = ranges.values().filter(|r| r.dedup == old.range.dedup);
            new.any(|r| r.service == old.range.service && r.overlaps(&old.range))
        })
    }

    fn sync_ranges(&mut self) {
        let ranges = self.config.all_ranges();
        for (name, old) in &mut self.ranges {
            old.retired = !ranges.contains_key(name);
        }
        self.prune_retired();
        for (name, range) in &ranges {
            let fresh = || RangeState {
                range: range.clone(),
                slices: vec![SliceState::default(); range.slices as usize],
                retired: false,
            };
            self.ranges.entry(name.clone()).or_insert_with(fresh);
        }
    }

    fn prune_retired(&mut self) {
        self.ranges.retain(|_, r| !r.retired || r.slices.iter().any(SliceState::is_held));
    }

    fn join(&mut self, offset: Offset, member: Member) -> ApplyResult {
        if self.members.contains_key(&member.holder) {
            return Ok(());
        }
        let version = Version(offset.0);
        let holder = member.holder.clone();
        self.members.insert(holder, MemberState { member, version, joined: offset });
        Ok(())
    }

    fn update(&mut self, mut member: Member) -> ApplyResult {
        let known = self.members.get_mut(&member.holder).ok_or(Code::NotMember)?;
        member.witnesses = std::mem::take(&mut known.member.witnesses);
        known.member = member;
        Ok(())
    }

    fn remove(&mut self, holder: &Holder) -> ApplyResult {
        self.members.remove(holder).ok_or(Code::NotMember)?;
        for slot in self.ranges.values_mut().flat_map(|r| &mut r.slices) {
            slot.release_by(holder);
        }
        self.prune_retired();
        Ok(())
    }

    fn set_witnesses(
        &mut self,
        offset: Offset,
        holder: Holder,
        base: Version,
        set: Vec<Peer>,
    ) -> ApplyResult {
        let known = self.members.get_mut(&holder).ok_or(Code::NotMember)?;
        if known.version != base {
            return Err(Code::StaleVersion);
        }
        known.version = Version(offset.0);
        known.member.witnesses = set;
        Ok(())
    }

    fn revoke(
        &mut self,
        offset: Offset,
        holder: Holder,
        base: Version,
        moves: Vec<Move>,
    ) -> ApplyResult {
        let known = self.members.get(&holder).ok_or(Code::NotMember)?;
        if known.version != base {
            return Err(Code::StaleVersion);
        }
        self.remove(&holder)?;
        // The slices are free now; a move whose new owner is unknown leaves its slice free.
        let _ = self.grant(offset, &moves, None);
        Ok(())
    }

    /// Grants slices that `from` holds (free ones for `None`). Applied when one move at least holds.
    fn grant(&mut self, offset: Offset, moves: &[Move], from: Option<&Holder>) -> ApplyResult {
        let mut verdict = Err(Code::StaleToken);
        for step in moves {
            if !self.members.contains_key(&step.to) {
                continue;
            }
            let Some(range) = self.ranges.get_mut(&step.range).filter(|r| !r.retired) else {
                continue;
            };
            let Some(slot) = range.slices.get_mut(step.slice.0 as usize) else {
                continue;
            };
            if slot.holder.as_ref() != from || slot.token != step.prev {
                continue;
            }
            if let Some(from) = from {
                // Only an owner that has the slice writes this, so no earlier one has it.
                let (token, prev) = (slot.token, slot.prev);
                slot.former = Some(FormerOwner { holder: from.clone(), token, prev });
            }
            slot.holder = Some(step.to.clone());
            slot.prev = slot.token;
            slot.token = Token(offset.0);
            verdict = Ok(());
        }
        verdict
    }

    fn release(&mut self, from: &Holder, range: &RangeName) -> ApplyResult {
        let known = self.ranges.get_mut(range).ok_or(Code::StaleToken)?;
        for slot in &mut known.slices {
            slot.release_by(from);
        }
        self.prune_retired();
        Ok(())
    }

    /// Where a key of a service belongs.
    pub fn locate(&self, service: &ServiceName, key: &str) -> Option<KeyLocation> {
        let (name, range) = self.config.range_of(service, key)?;
        self.locate_in(name, range, key)
    }

    /// Where an idempotency key of a service that is not divided by key belongs.
    pub fn locate_dedup(&self, service: &ServiceName, id: &str) -> Option<KeyLocation> {
        let name = Config::dedup_range(service)?;
        self.locate_in(&name, &self.ranges.get(&name)?.range, id)
    }

    fn locate_in(&self, name: &RangeName, range: &KeyRange, key: &str) -> Option<KeyLocation> {
        let slice = range.slice(key);
        let slot = self.slice(name, slice)?.clone();
        Some(KeyLocation { range: name.clone(), slice, state: slot })
    }

    /// The slot of a slice.
    pub fn slice(&self, range: &RangeName, slice: SliceId) -> Option<&SliceState> {
        self.ranges.get(range)?.slices.get(slice.0 as usize)
    }

    /// The slices of `holder`, with their tokens.
    pub fn owned_by(&self, holder: &Holder) -> impl Iterator<Item = (&RangeName, SliceId, Token)> {
        let all = self.ranges.iter().flat_map(|(name, r)| {
            r.slices.iter().enumerate().map(move |(i, s)| (name, SliceId(i as u32), s))
        });
        all.filter(move |(_, _, s)| s.holder.as_ref() == Some(holder))
            .map(|(name, slice, s)| (name, slice, s.token))
    }

    /// Whether no later incarnation of the same node has followed a member. A node that restarts
    /// joins before its former incarnation is revoked, and that one is dead.
    pub fn is_newest(&self, known: &MemberState) -> bool {
        let node = &known.member.holder.node;
        let first = Holder { node: node.clone(), inc: Incarnation(0) };
        let same = self.members.range(first..).take_while(|(h, _)| h.node == *node);
        same.into_iter().all(|(_, other)| other.joined <= known.joined)
    }

    /// Members that no later incarnation of the same node has followed.
    pub fn newest_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| self.is_newest(m)).map(|m| &m.member)
    }

    /// Members whose backend server serves `service`.
    pub fn targets(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        // Asked for each request: few members serve the service, so the costlier test comes second.
        let known = self.members.values();
        let serving = known.filter(move |m| m.member.service.as_ref() == Some(service));
        serving.filter(|m| self.is_newest(m)).map(|m| &m.member)
    }

    /// Whether a member may get new work: neither it nor its failure domain is being taken out.
    pub fn takes_work(&self, member: &Member) -> bool {
        !member.draining && self.config.is_active(&member.domain)
    }
}
