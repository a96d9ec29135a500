//! The replicated state machine: every node derives the same state by applying the log's records in
//! order.
//!
//! [`State::apply`] is the only way to change the state, and it is deterministic. It never fails: a
//! record whose precondition does not hold is ignored, and the reason is returned. Races between
//! authors are decided by log order alone. The offset of the record that grants a slice is the
//! slice's fencing token, so tokens are unique and strictly increasing.
//!
//! Preconditions also handle duplicates: when an author does not receive the reply to an append and
//! appends the record again, the precondition of the second copy no longer holds. A table of known
//! record identifiers would make the state larger, and once an identifier was removed from it, a
//! late duplicate would be applied.

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

/// Number of published revisions that the state keeps.
pub const HISTORY_MAX: usize = 64;

/// Result of applying a record: applied, or ignored with the code of the reason.
pub type ApplyResult = std::result::Result<(), Code>;

/// Ownership of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceState {
    /// Current owner; `None` while the slice is free.
    pub holder: Option<Holder>,
    /// Token of the last grant; 0 if the slice was never granted.
    pub token: Token,
    /// Token of the grant before the last; 0 if there was none.
    pub prev: Token,
    /// The owner that handed the slice over, kept until it is no longer a member. It serves the
    /// slice until the current owner asks it to release the slice; no other node may serve it
    /// before that.
    #[serde(rename = "from")]
    pub former: Option<FormerOwner>,
}

/// An owner that has handed a slice over but may still serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// Holder that was the owner.
    pub holder: Holder,
    /// Token under which it owned the slice.
    pub token: Token,
    /// Token of the grant before that; 0 if there was none.
    pub prev: Token,
}

impl FormerOwner {
    /// State of the slice while the former owner owned it.
    pub fn slice_state(&self) -> SliceState {
        let FormerOwner { holder, token, prev } = self.clone();
        SliceState { holder: Some(holder), token, prev, former: None }
    }
}

impl SliceState {
    /// Whether the slice has an owner or a former owner that may still serve it.
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

    /// Removes `holder` as owner and as former owner of the slice.
    fn release_by(&mut self, holder: &Holder) {
        if self.holder.as_ref() == Some(holder) {
            self.holder = None;
        }
        if self.is_former_owner(holder) {
            self.former = None;
        }
    }
}

/// A key range and the ownership of its slices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeState {
    /// Configuration of the range.
    pub range: KeyRange,
    /// State of each slice, by slice number.
    #[serde(rename = "slots", with = "super::packed_slices")]
    pub slices: Vec<SliceState>,
    /// Whether the range was dropped from the configuration while some of its slices had owners.
    pub retired: bool,
}

/// A member with the version of its witness set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The member's description of itself, with its current witness set.
    pub member: Member,
    /// Version of the witness set.
    pub version: Version,
    /// Offset of the record with which the member joined.
    pub joined: Offset,
}

/// A published revision of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Revision that was published.
    pub revision: Revision,
    /// Operator who published the revision.
    pub author: String,
    /// Description of the changes, one line per object or field.
    pub lines: Vec<String>,
}

/// The state after all records before [`State::next`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Chained digest of all records read, by which two nodes can compare what they have read.
    pub digest: u64,
    /// Current revision of the configuration.
    pub revision: Revision,
    /// Current configuration.
    pub config: Config,
    /// Members, by holder.
    pub members: BTreeMap<Holder, MemberState>,
    /// Key ranges with their slices, including retired ranges.
    pub ranges: BTreeMap<RangeName, RangeState>,
    /// The last [`HISTORY_MAX`] revisions, oldest first.
    pub history: VecDeque<Published>,
    /// Offset of the first record that the newest complete snapshot in the log does not include.
    #[serde(rename = "snapshot")]
    pub snapshot_next: Offset,
}

/// Slice that a key belongs to, with the slice's ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyLocation {
    /// Key range that contains the key.
    pub range: RangeName,
    /// Slice that the key is hashed into.
    pub slice: SliceId,
    /// Owner and token of the slice.
    #[serde(rename = "slot")]
    pub state: SliceState,
}

impl State {
    /// Applies the record at `offset`. A record before [`State::next`] has been read already and is
    /// ignored.
    ///
    /// # Errors
    /// Why the record was ignored: [`Code::BadRecord`] if it was already read, cannot be decoded
    /// or has a newer format, otherwise the code of the precondition that does not hold.
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
                // Chunks are appended in order, so the last one completes the snapshot.
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
            .map_err(|errors| errors.0.first().map_or(Code::BadValue, |error| error.code))?;
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

    /// Whether a range of `config` overlaps a range that is dropped or changed by `config` but
    /// still has owners. Keys in the overlap would have two owners until the old owners have
    /// applied the change.
    pub fn overlaps_retired(&self, config: &Config) -> bool {
        let ranges = config.all_ranges();
        let kept =
            |name: &RangeName, old: &RangeState| ranges.get(name).is_some_and(|r| *r == old.range);
        let owned = |old: &RangeState| old.slices.iter().any(SliceState::is_held);
        let dropped = self.ranges.iter().filter(|(name, old)| !kept(name, old) && owned(old));
        dropped.into_iter().any(|(_, old)| {
            let mut new = ranges.values().filter(|r| r.dedup == old.range.dedup);
            new.any(|r| r.service == old.range.service && r.overlaps(&old.range))
        })
    }

    /// Updates the ranges after a change of the configuration: adds new ones, and retires those
    /// that were dropped.
    fn sync_ranges(&mut self) {
        let ranges = self.config.all_ranges();
        for (name, old) in &mut self.ranges {
            old.retired = !ranges.contains_key(name);
        }
        self.prune_retired();
        for (name, range) in &ranges {
            let new_range = || RangeState {
                range: range.clone(),
                slices: vec![SliceState::default(); range.slices as usize],
                retired: false,
            };
            self.ranges.entry(name.clone()).or_insert_with(new_range);
        }
    }

    /// Removes retired ranges whose slices have all been released.
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
        for slice in self.ranges.values_mut().flat_map(|r| &mut r.slices) {
            slice.release_by(holder);
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
        // The slices are free now. A move is ignored if its new owner is no member, and its slice
        // then stays free.
        let _ = self.grant(offset, &moves, None);
        Ok(())
    }

    /// Grants slices that `from` owns, or free slices if `from` is `None`. Moves that do not apply
    /// are skipped; the record counts as applied if at least one move does.
    fn grant(&mut self, offset: Offset, moves: &[Move], from: Option<&Holder>) -> ApplyResult {
        let mut result = Err(Code::StaleToken);
        for step in moves {
            if !self.members.contains_key(&step.to) {
                continue;
            }
            let Some(range) = self.ranges.get_mut(&step.range).filter(|r| !r.retired) else {
                continue;
            };
            let Some(slice) = range.slices.get_mut(step.slice.0 as usize) else {
                continue;
            };
            if slice.holder.as_ref() != from || slice.token != step.prev {
                continue;
            }
            if let Some(from) = from {
                // An owner writes a handover only when it serves the slice itself, so the previous
                // former owner no longer serves it and can be replaced.
                let (token, prev) = (slice.token, slice.prev);
                slice.former = Some(FormerOwner { holder: from.clone(), token, prev });
            }
            slice.holder = Some(step.to.clone());
            slice.prev = slice.token;
            slice.token = Token(offset.0);
            result = Ok(());
        }
        result
    }

    fn release(&mut self, from: &Holder, range: &RangeName) -> ApplyResult {
        let known = self.ranges.get_mut(range).ok_or(Code::StaleToken)?;
        for slice in &mut known.slices {
            slice.release_by(from);
        }
        self.prune_retired();
        Ok(())
    }

    /// Finds the slice of `key` in a service that is divided by key.
    pub fn locate(&self, service: &ServiceName, key: &str) -> Option<KeyLocation> {
        let (name, range) = self.config.range_of(service, key)?;
        self.locate_in(name, range, key)
    }

    /// Finds the slice of the idempotency key `id` in the deduplication range of a service that is
    /// not divided by key.
    pub fn locate_dedup(&self, service: &ServiceName, id: &str) -> Option<KeyLocation> {
        let name = Config::dedup_range(service)?;
        self.locate_in(&name, &self.ranges.get(&name)?.range, id)
    }

    fn locate_in(&self, name: &RangeName, range: &KeyRange, key: &str) -> Option<KeyLocation> {
        let slice = range.slice(key);
        let state = self.slice(name, slice)?.clone();
        Some(KeyLocation { range: name.clone(), slice, state })
    }

    /// State of a slice; `None` if the range or slice does not exist.
    pub fn slice(&self, range: &RangeName, slice: SliceId) -> Option<&SliceState> {
        self.ranges.get(range)?.slices.get(slice.0 as usize)
    }

    /// Iterates over the slices that `holder` owns, with their tokens.
    pub fn owned_by(&self, holder: &Holder) -> impl Iterator<Item = (&RangeName, SliceId, Token)> {
        let all = self.ranges.iter().flat_map(|(name, r)| {
            r.slices.iter().enumerate().map(move |(i, s)| (name, SliceId(i as u32), s))
        });
        all.filter(move |(_, _, s)| s.holder.as_ref() == Some(holder))
            .map(|(name, slice, s)| (name, slice, s.token))
    }

    /// Whether `known` is the last incarnation of its node to join. A restarted node joins before
    /// its previous incarnation is revoked, so two incarnations can be members although the process
    /// of the earlier one has ended.
    pub fn is_newest(&self, known: &MemberState) -> bool {
        let node = &known.member.holder.node;
        let first = Holder { node: node.clone(), inc: Incarnation(0) };
        let same = self.members.range(first..).take_while(|(h, _)| h.node == *node);
        same.into_iter().all(|(_, other)| other.joined <= known.joined)
    }

    /// The members that are the newest incarnation of their node.
    pub fn newest_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| self.is_newest(m)).map(|m| &m.member)
    }

    /// The newest members whose backend server serves `service`.
    pub fn targets(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        // This runs for each request. Few members serve one service, so the costlier `is_newest`
        // test comes second.
        let known = self.members.values();
        let serving = known.filter(move |m| m.member.service.as_ref() == Some(service));
        serving.filter(|m| self.is_newest(m)).map(|m| &m.member)
    }

    /// Whether a member may get new work: neither the member nor its failure domain is draining.
    pub fn takes_work(&self, member: &Member) -> bool {
        !member.draining && self.config.is_active(&member.domain)
    }
}
