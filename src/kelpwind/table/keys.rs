//! Ownership of the keys of one service.
//!
//! Keys are numbers from 0 to 65535, divided into ranges without gaps. Each range has at most one
//! owner: one incarnation of a node together with one instance of the backend server beside it. The
//! range also carries the fencing token under which that owner got the keys. Each transfer of keys,
//! also one to no owner, assigns a token higher than all tokens in the records, so the records
//! always hold the highest token that any server has received.

use serde::{Deserialize, Serialize};

use super::member::Instance;
use crate::core::ids::{Holder, Token};

/// The highest key.
pub const KEY_MAX: u16 = u16::MAX;

/// A node and the instance of its backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The node and its incarnation.
    pub holder: Holder,
    /// The instance of the backend server.
    #[serde(rename = "life")]
    pub instance: Instance,
}

/// The keys from `first` to `last`, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl Span {
    /// Whether `key` lies within the span.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Number of keys.
    pub fn width(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// The parts of this span before and after `other`; the whole span if they do not overlap.
    pub fn subtract(self, other: Span) -> Vec<Span> {
        let Some(inner) = self.intersection(other) else { return vec![self] };
        let before =
            (self.first < inner.first).then(|| Span { first: self.first, last: inner.first - 1 });
        let after =
            (inner.last < self.last).then(|| Span { first: inner.last + 1, last: self.last });
        before.into_iter().chain(after).collect()
    }

    /// The keys in both spans; `None` if they do not overlap.
    pub fn intersection(self, other: Span) -> Option<Span> {
        let (first, last) = (self.first.max(other.first), self.last.min(other.last));
        (first <= last).then_some(Span { first, last })
    }
}

/// A span of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The keys.
    pub span: Span,
    /// The owner; `None` while no node may serve the keys.
    pub owner: Option<Owner>,
    /// Fencing token of the owner; without an owner, that of the last one.
    pub token: Token,
    /// Data that the last owner's backend server returned when it released the keys, for the
    /// backend server of the next owner; `None` if it did not release them.
    pub handover: Option<String>,
}

impl Range {
    /// Whether `next` follows directly and came to the same owner in the same transfer.
    fn is_continued_by(&self, next: &Range) -> bool {
        let adjacent = u32::from(self.span.last) + 1 == u32::from(next.span.first);
        adjacent
            && (&self.owner, self.token, &self.handover)
                == (&next.owner, next.token, &next.handover)
    }
}

/// All key ranges of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyMap {
    /// The ranges, in order and without gaps.
    pub ranges: Vec<Range>,
    /// Every token that is assigned is above this one.
    pub floor: Token,
}

impl KeyMap {
    /// Divides all keys among `owners` in proportion to their shares. `owners` must not be empty.
    pub fn divide(owners: &[(Owner, f64)]) -> KeyMap {
        let total: f64 = owners.iter().map(|(_, share)| share.max(0.0)).sum();
        let mut keys = KeyMap::default();
        let mut first = 0_u32;
        let mut sum = 0.0;
        for (i, (owner, share)) in owners.iter().enumerate() {
            sum += share.max(0.0);
            let part = if total > 0.0 { sum / total } else { (i + 1) as f64 / owners.len() as f64 };
            let end = match i + 1 == owners.len() {
                true => u32::from(KEY_MAX) + 1,
                false => (part * f64::from(u32::from(KEY_MAX) + 1)) as u32,
            };
            if end <= first {
                continue;
            }
            let span = Span { first: first as u16, last: (end - 1) as u16 };
            let (owner, token) = (Some(owner.clone()), Token(keys.ranges.len() as u64 + 1));
            keys.ranges.push(Range { span, owner, token, handover: None });
            first = end;
        }
        keys
    }

    /// Keys that nobody has claimed since the store came back from an older copy. Their token is the
    /// floor.
    pub fn unclaimed(floor: Token) -> KeyMap {
        let span = Span { first: 0, last: KEY_MAX };
        let ranges = vec![Range { span, owner: None, token: floor, handover: None }];
        KeyMap { ranges, floor }
    }

    /// The same keys, with all tokens raised above `floor`.
    pub fn above(mut self, floor: Token) -> KeyMap {
        self.ranges.iter_mut().for_each(|r| r.token.0 += floor.0);
        KeyMap { floor, ..self }
    }

    /// Whether nobody has claimed the keys of a range.
    pub fn is_unclaimed(&self, range: &Range) -> bool {
        range.owner.is_none() && range.token == self.floor && self.floor > Token(0)
    }

    /// Adopts a range that its owner has claimed, except keys that were assigned in this era or that
    /// another owner has claimed under a higher token. Returns whether anything has changed.
    pub fn claim(&mut self, claimed: &Range) -> bool {
        let mut changed = false;
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for range in std::mem::take(&mut self.ranges) {
            let open = self.is_unclaimed(&range) || range.token < claimed.token;
            let Some(part) = range.span.intersection(claimed.span).filter(|_| open) else {
                ranges.push(range);
                continue;
            };
            changed = true;
            let rest = range.span.subtract(part);
            ranges.extend(rest.into_iter().map(|span| Range { span, ..range.clone() }));
            ranges.push(Range { span: part, ..claimed.clone() });
        }
        ranges.sort_by_key(|r| r.span);
        self.ranges = ranges;
        changed
    }

    /// A token higher than that of every range.
    fn next_token(&self) -> Token {
        let highest = self.ranges.iter().map(|r| r.token).max().unwrap_or_default();
        Token(highest.max(self.floor).0.saturating_add(1))
    }

    /// Whether a key of `ranges` has a higher token here. Tokens rise, so none should.
    pub fn has_higher_token(&self, ranges: &[Range]) -> bool {
        let higher = |new: &Range| {
            let known = self.ranges.iter().filter(|r| r.token > new.token);
            known.into_iter().any(|r| r.span.intersection(new.span).is_some())
        };
        ranges.iter().any(higher)
    }

    /// The range that contains `key`.
    pub fn find(&self, key: u16) -> Option<&Range> {
        let after = self.ranges.partition_point(|r| r.span.last < key);
        self.ranges.get(after).filter(|r| r.span.contains(key))
    }

    /// The holder of each range that has an owner; one that owns several ranges is repeated.
    pub fn owners(&self) -> impl Iterator<Item = &Holder> {
        self.ranges.iter().filter_map(|r| r.owner.as_ref()).map(|o| &o.holder)
    }

    /// The ranges that one incarnation owns.
    pub fn owned_by(&self, holder: &Holder) -> impl Iterator<Item = &Range> {
        self.ranges.iter().filter(move |r| r.owner.as_ref().is_some_and(|o| o.holder == *holder))
    }

    /// Transfers the keys in `span` that `from` owns to `to`, under a new token. `handover` is the
    /// data that the previous owner's backend server returned for the next one. Returns false if
    /// `from` owns none of the keys.
    pub fn transfer(
        &mut self,
        span: Span,
        from: Option<&Holder>,
        to: Option<Owner>,
        handover: Option<String>,
    ) -> bool {
        let token = self.next_token();
        let mut changed = false;
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for range in self.ranges.drain(..) {
            let owned_by_from = range.owner.as_ref().map(|o| &o.holder) == from;
            let Some(part) = range.span.intersection(span).filter(|_| owned_by_from) else {
                ranges.push(range);
                continue;
            };
            changed = true;
            let rest = range.span.subtract(part);
            ranges.extend(rest.into_iter().map(|span| Range { span, ..range.clone() }));
            ranges.push(Range { span: part, owner: to.clone(), token, handover: handover.clone() });
        }
        ranges.sort_by_key(|r| r.span);
        self.ranges = ranges;
        changed
    }

    /// Replaces everything within `span` by `ranges`, which must lie within it.
    pub fn replace(&mut self, span: Span, ranges: Vec<Range>) {
        let mut all = Vec::with_capacity(self.ranges.len() + ranges.len() + 2);
        for range in self.ranges.drain(..) {
            if range.span.intersection(span).is_none() {
                all.push(range);
                continue;
            }
            let rest = range.span.subtract(span);
            all.extend(rest.into_iter().map(|span| Range { span, ..range.clone() }));
        }
        all.extend(ranges);
        all.sort_by_key(|r| r.span);
        for range in all {
            match self.ranges.last_mut() {
                Some(last) if last.is_continued_by(&range) => last.span.last = range.span.last,
                _ => self.ranges.push(range),
            }
        }
    }

    /// Merges adjacent ranges of one holder under the higher of their tokens. That token is safe
    /// for all their keys, since each token is higher than what any other server had for its keys.
    /// Returns whether anything has changed.
    pub fn merge_owned(&mut self, holder: &Holder) -> bool {
        let before = self.ranges.len();
        let mut merged: Vec<Range> = Vec::with_capacity(before);
        for range in self.ranges.drain(..) {
            let same = |last: &Range| {
                last.owner == range.owner
                    && last.owner.as_ref().is_some_and(|o| o.holder == *holder)
            };
            match merged.last_mut() {
                Some(last) if same(last) => {
                    last.span.last = range.span.last;
                    last.token = last.token.max(range.token);
                    last.handover = None;
                }
                _ => merged.push(range),
            }
        }
        self.ranges = merged;
        self.ranges.len() < before
    }

    /// Replaces `old` by `new`, the same node after a restart of its process or of its backend
    /// server. The keys always get a new token, since a restarted node cannot know whether the
    /// server that listens at the address is still the same instance. Returns false if `old` owns
    /// no keys.
    pub fn replace_owner(&mut self, old: &Owner, new: &Owner) -> bool {
        self.replace_owner_if(old, new, |_| true)
    }

    /// The same for the ranges whose span `counts` accepts.
    pub fn replace_owner_if(
        &mut self,
        old: &Owner,
        new: &Owner,
        counts: impl Fn(Span) -> bool,
    ) -> bool {
        let token = self.next_token();
        let mut replaced = false;
        let owned = |r: &&mut Range| r.owner.as_ref() == Some(old) && counts(r.span);
        for range in self.ranges.iter_mut().filter(owned) {
            range.owner = Some(new.clone());
            range.token = token;
            range.handover = None;
            replaced = true;
        }
        replaced
    }
}
