//! Who owns the keys of one service.
//!
//! Keys are numbers from 0 to 65535, divided into ranges without gaps. Each range has at most one
//! owner: a node in one incarnation and one life of the backend server beside it, with the fencing
//! token under which it got the keys. A new token is above all in the records, and so above all that
//! any server ever had: whoever gives keys away leaves them under a new one.

use serde::{Deserialize, Serialize};

use super::member::Instance;
use crate::core::ids::{Holder, Token};

/// The greatest key.
pub const KEY_MAX: u16 = u16::MAX;

/// A node and the life of its backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The node in its incarnation.
    pub holder: Holder,
    /// The life of the backend server.
    #[serde(rename = "life")]
    pub instance: Instance,
}

/// Keys from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl Span {
    /// Whether the key is among them.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Number of keys.
    pub fn width(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// The keys before and after those of another span.
    pub fn subtract(self, other: Span) -> Vec<Span> {
        let Some(inner) = self.intersection(other) else { return vec![self] };
        let before =
            (self.first < inner.first).then(|| Span { first: self.first, last: inner.first - 1 });
        let after =
            (inner.last < self.last).then(|| Span { first: inner.last + 1, last: self.last });
        before.into_iter().chain(after).collect()
    }

    /// Keys that are in both.
    pub fn intersection(self, other: Span) -> Option<Span> {
        let (first, last) = (self.first.max(other.first), self.last.min(other.last));
        (first <= last).then_some(Span { first, last })
    }
}

/// A range of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The keys.
    pub span: Span,
    /// The owner; `None` while nobody may serve them.
    pub owner: Option<Owner>,
    /// Token under which the owner has them, or the last owner had them.
    pub token: Token,
    /// What the last owner's server left for the next one, if it was released in order.
    pub handover: Option<String>,
}

impl Range {
    /// Whether `next` are the keys after these, given to the same owner at the same time.
    fn goes_on_in(&self, next: &Range) -> bool {
        let neighbours = u32::from(self.span.last) + 1 == u32::from(next.span.first);
        neighbours
            && (&self.owner, self.token, &self.handover)
                == (&next.owner, next.token, &next.handover)
    }
}

/// All ranges of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyMap {
    /// The ranges, in order and without gaps.
    pub ranges: Vec<Range>,
}

impl KeyMap {
    /// All keys, divided evenly by `shares` among the owners. There must be an owner.
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

    /// A token above all that were given.
    fn next_token(&self) -> Token {
        Token(self.ranges.iter().map(|r| r.token.0).max().unwrap_or(0) + 1)
    }

    /// The range that a key is in.
    pub fn find(&self, key: u16) -> Option<&Range> {
        let after = self.ranges.partition_point(|r| r.span.last < key);
        self.ranges.get(after).filter(|r| r.span.contains(key))
    }

    /// Incarnations that own keys, with repeats.
    pub fn owners(&self) -> impl Iterator<Item = &Holder> {
        self.ranges.iter().filter_map(|r| r.owner.as_ref()).map(|o| &o.holder)
    }

    /// Ranges of one incarnation.
    pub fn owned_by(&self, holder: &Holder) -> impl Iterator<Item = &Range> {
        self.ranges.iter().filter(move |r| r.owner.as_ref().is_some_and(|o| o.holder == *holder))
    }

    /// Gives the keys of `span` that `from` owns to `to`, under a new token. `handover` is what the
    /// former owner's server left. Returns false when `from` owns none of them.
    pub fn transfer(
        &mut self,
        span: Span,
        from: Option<&Holder>,
        to: Option<Owner>,
        handover: Option<String>,
    ) -> bool {
        let token = self.next_token();
        let mut given = false;
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for range in self.ranges.drain(..) {
            let of_from = range.owner.as_ref().map(|o| &o.holder) == from;
            let Some(part) = range.span.intersection(span).filter(|_| of_from) else {
                ranges.push(range);
                continue;
            };
            given = true;
            let rest = range.span.subtract(part);
            ranges.extend(rest.into_iter().map(|span| Range { span, ..range.clone() }));
            ranges.push(Range { span: part, owner: to.clone(), token, handover: handover.clone() });
        }
        ranges.sort_by_key(|r| r.span);
        self.ranges = ranges;
        given
    }

    /// Puts `ranges`, which lie among the keys of `span`, in the place of what stands there.
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
                Some(last) if last.goes_on_in(&range) => last.span.last = range.span.last,
                _ => self.ranges.push(range),
            }
        }
    }

    /// Makes neighbouring ranges of one holder one, under the greater of their tokens: both are above
    /// what any other server had for their keys, so the greater one is too. Returns whether anything
    /// has changed.
    pub fn merge_owned(&mut self, holder: &Holder) -> bool {
        let before = self.ranges.len();
        let mut joined: Vec<Range> = Vec::with_capacity(before);
        for range in self.ranges.drain(..) {
            let same = |last: &Range| {
                last.owner == range.owner
                    && last.owner.as_ref().is_some_and(|o| o.holder == *holder)
            };
            match joined.last_mut() {
                Some(last) if same(last) => {
                    last.span.last = range.span.last;
                    last.token = last.token.max(range.token);
                    last.handover = None;
                }
                _ => joined.push(range),
            }
        }
        self.ranges = joined;
        self.ranges.len() < before
    }

    /// The node of `old` goes on as `new`, since its process or its server has started again. The keys get
    /// a new token in any case: a new run cannot know whether it is the same life that listens there.
    /// Returns false when `old` owns nothing.
    pub fn replace_owner(&mut self, old: &Owner, new: &Owner) -> bool {
        let token = self.next_token();
        let mut passed = false;
        for range in self.ranges.iter_mut().filter(|r| r.owner.as_ref() == Some(old)) {
            range.owner = Some(new.clone());
            range.token = token;
            range.handover = None;
            passed = true;
        }
        passed
    }
}
