//! Quotas of tenants, summed over all nodes.
//!
//! Load pattern: a few tenants send many times their usual rate while small ones send a request now and
//! then, each at other nodes from second to second. Equal shares would refuse most of a small tenant's
//! requests: of 10 a second, each of 74 nodes would get one in 7 s.
//!
//! So one node keeps a tenant's bucket and grants tokens to the nodes that ask ([`Keeper`]), and each node
//! spends what it was granted within [`GRANT_LIFE`] ([`Allotments`]). Tenants are hashed to [`SLOTS`]
//! groups, and each group has an order of keepers, by hash among the members. A node uses the first
//! keeper that answers.
//!
//! Two keepers may grant for one tenant, since nodes may see different members or be cut off. A keeper
//! therefore fills its buckets in proportion to the members that are in contact with it: those from which
//! it got an ask within [`contact_time`] that counts it as their keeper. A node counts one keeper at a time.
//! A node that counts none, for longer than a keeper may still count it, spends its own share of rate
//! and burst. So the shares of all keepers and nodes add up to the quota.
//!
//! This module does no I/O.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::ids::NodeId;
use crate::core::tenants::{Quota, TenantName};

/// Number of groups of tenants. Each has a keeper of its own, which bounds the number of nodes that a
/// node must stay in contact with.
pub const SLOTS: usize = 8;
/// Number of nodes, in the order of their hashes, that are tried as keepers of a slot.
const KEEPERS_MAX: usize = 3;
/// Time from an ask until the tokens that it brought expire. With the tokens of this time the bound
/// of rate * 5 s + burst is exceeded by 8% of the rate, and 10% are allowed.
pub const GRANT_LIFE: Duration = Duration::from_millis(400);
/// Tokens that a bucket may hold beyond its burst, so that a tenant without one is not refused when a
/// few requests come together. 20 are allowed beyond the bound.
const EXTRA_TOKENS: f64 = 8.0;
/// Time from when a node first keeps a bucket until it grants bursts: the former keeper may have granted
/// one just before.
const NO_BURST_TIME: Duration = Duration::from_secs(5);
/// Time for which a node does not ask again after the keeper has refused.
const REFUSAL_MIN: Duration = Duration::from_millis(100);
/// Longest retry delay of a refused request.
const REFUSAL_MAX: Duration = Duration::from_secs(2);
/// Time after which an ask without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(80);
/// Time after which an answer to an ask no longer counts.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(2);
/// Interval by which a node measures the requests of a tenant, to ask for as many ahead.
const DEMAND_PERIOD: Duration = Duration::from_millis(200);
/// Shortest interval between two asks that keep up contact.
const CONTACT_INTERVAL_MIN: Duration = Duration::from_millis(400);
/// The same per member: a keeper gets at most 125 such asks per second.
const CONTACT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(8);
/// Added per member beyond [`MEMBERS_USUAL`]: at 2,700 members a keeper gets 48 asks per second, of some 40
/// bytes, and may spend 4 KB per second.
const CONTACT_INTERVAL_PER_FURTHER: Duration = Duration::from_millis(14);
/// Number of members up to which contact is kept up more often.
const MEMBERS_USUAL: usize = 250;
/// Interval at which a node asks whether an earlier keeper in the order answers again.
const RETURN_INTERVAL: u32 = 8;
/// Longest time for which a token of a share below one is held.
const SHARE_LIFE_MAX: Duration = Duration::from_secs(10);
/// Most tenants in one ask, so that it fits into a datagram.
const WANTS_MAX: usize = 16;
/// Time after which state of a tenant that sends nothing is dropped.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Tolerance for rounding errors of the number of tokens.
const TOKEN_ERROR: f64 = 1e-6;

/// Interval between two asks that keep up contact, for a number of members.
pub fn contact_interval(members: usize) -> Duration {
    let further = members.saturating_sub(MEMBERS_USUAL) as u32;
    let interval = CONTACT_INTERVAL_PER_MEMBER * members as u32;
    (interval + CONTACT_INTERVAL_PER_FURTHER * further).max(CONTACT_INTERVAL_MIN)
}

/// Time for which a keeper counts a node after its last ask.
pub fn contact_time(members: usize) -> Duration {
    contact_interval(members) * 5 / 2
}

/// Time after its last ask that counted a keeper, after which a node spends its own share. Longer than
/// [`contact_time`] by one interval, for asks that take long and members that are seen differently.
pub fn share_after(members: usize) -> Duration {
    contact_interval(members) * 7 / 2
}

/// Group of a tenant.
pub fn slot(tenant: &TenantName) -> usize {
    xxh3_64_with_seed(tenant.as_str().as_bytes(), SLOTS as u64) as usize % SLOTS
}

/// The first members in the order of keepers of a slot.
pub fn keepers<'a>(slot: usize, members: impl Iterator<Item = &'a NodeId>) -> Vec<NodeId> {
    let hash = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), slot as u64 + 1);
    let mut first: Vec<(u64, &NodeId)> = Vec::with_capacity(KEEPERS_MAX + 1);
    for node in members {
        first.push((hash(node), node));
        first.sort_unstable_by(|a, b| b.cmp(a));
        first.truncate(KEEPERS_MAX);
    }
    first.into_iter().map(|(_, node)| node.clone()).collect()
}

/// Rate at which a keeper fills a bucket, in tokens per second. One in contact with most members makes up
/// for some of the others, which may be lost rather than cut off: there is only one such keeper, and half
/// of what is allowed beyond the bound, and not used by [`GRANT_LIFE`] and [`EXTRA_TOKENS`], is enough for it.
fn fill_rate(quota: &Quota, share: f64) -> f64 {
    let rate = quota.rate.per_second();
    let spare = (0.1 * rate + 0.1 * quota.burst + 12.0) / 5.0;
    let extra = if share > 0.5 { spare / 2.0 } else { 0.0 };
    rate.min(rate * share + extra)
}

/// What a node asks of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The node.
    pub from: NodeId,
    /// Random id of the node's process.
    pub run: u64,
    /// Number of the ask; asks of one process increase.
    pub number: u64,
    /// Slots, as bits, for which the node counts the receiver as its keeper.
    pub counted: u8,
    /// The tokens that it wants.
    pub wants: Vec<Want>,
}

/// Tokens that a node wants for a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// The tenant.
    pub tenant: TenantName,
    /// Number of tokens.
    pub tokens: u32,
    /// Tokens granted before that the node did not spend.
    pub returned: u32,
}

/// The answer of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The keeper.
    pub from: NodeId,
    /// Number of the ask.
    pub number: u64,
    /// The tokens granted.
    pub grants: Vec<Grant>,
}

/// Tokens granted for a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The tenant.
    pub tenant: TenantName,
    /// Number of tokens.
    pub tokens: u32,
    /// Milliseconds until the next token, if there were fewer than wanted.
    pub next_ms: u32,
}

/// Bucket of a tenant at its keeper.
#[derive(Debug)]
struct Bucket {
    level: f64,
    /// When `level` was computed.
    at: Instant,
    created: Instant,
    /// Tokens that were granted and may not have been spent.
    granted: VecDeque<(Instant, f64)>,
}

impl Bucket {
    fn new(now: Instant) -> Bucket {
        Bucket { level: 0.0, at: now, created: now, granted: VecDeque::new() }
    }

    /// Fills the bucket. The tokens in it and those granted but not spent stay within its depth.
    fn fill(&mut self, quota: &Quota, share: f64, now: Instant) {
        let rate = fill_rate(quota, share);
        self.level += rate * now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        while self.granted.front().is_some_and(|(at, _)| *at + GRANT_LIFE <= now) {
            self.granted.pop_front();
        }
        let new = now.saturating_duration_since(self.created) < NO_BURST_TIME;
        let burst = if new { 0.0 } else { quota.burst * share };
        let depth = burst + rate * GRANT_LIFE.as_secs_f64() + EXTRA_TOKENS * share;
        let granted: f64 = self.granted.iter().map(|(_, tokens)| tokens).sum();
        self.level = self.level.min((depth.max(1.0) - granted).max(0.0));
    }

    fn grant(&mut self, tokens: u32, now: Instant) -> u32 {
        let granted = tokens.min((self.level + TOKEN_ERROR) as u32);
        if granted > 0 {
            self.level -= f64::from(granted);
            self.granted.push_back((now, f64::from(granted)));
        }
        granted
    }
}

/// What a keeper knows of a node.
#[derive(Debug)]
struct Contact {
    run: u64,
    number: u64,
    /// When the node last counted this keeper, by slot.
    counted: [Option<Instant>; SLOTS],
}

/// The buckets that one node keeps.
#[derive(Debug, Default)]
pub struct Keeper {
    buckets: HashMap<TenantName, Bucket>,
    contacts: HashMap<NodeId, Contact>,
    /// Shares of the quota that the members in contact have, by slot.
    shares: [f64; SLOTS],
}

impl Keeper {
    /// Answers an ask. `members` is the number of members, and `quota` returns that of a tenant.
    pub fn answer(
        &mut self,
        me: &NodeId,
        ask: &Ask,
        members: usize,
        quota: impl Fn(&TenantName) -> Option<Quota>,
        now: Instant,
    ) -> Option<Reply> {
        if !self.record_contact(ask, members, now) {
            return None;
        }
        let mut grants = Vec::new();
        for want in &ask.wants {
            let slot = slot(&want.tenant);
            let Some(quota) = quota(&want.tenant).filter(|_| ask.counted & (1 << slot) != 0) else {
                continue;
            };
            let share = self.shares[slot];
            let bucket = self.bucket(&want.tenant, now);
            bucket.level += f64::from(want.returned);
            bucket.fill(&quota, share, now);
            let tokens = bucket.grant(want.tokens, now);
            let rate = fill_rate(&quota, share).max(f64::MIN_POSITIVE);
            let next_s = ((1.0 - bucket.level) / rate).clamp(0.0, REFUSAL_MAX.as_secs_f64());
            let next_ms = if tokens < want.tokens { (next_s * 1e3).ceil() as u32 } else { 0 };
            grants.push(Grant { tenant: want.tenant.clone(), tokens, next_ms });
        }
        Some(Reply { from: me.clone(), number: ask.number, grants })
    }

    fn bucket(&mut self, tenant: &TenantName, now: Instant) -> &mut Bucket {
        if !self.buckets.contains_key(tenant) {
            self.buckets.insert(tenant.clone(), Bucket::new(now));
        }
        self.buckets.entry(tenant.clone()).or_insert_with(|| Bucket::new(now))
    }

    /// Records which slots a node counts; false if the ask is older than one before.
    fn record_contact(&mut self, ask: &Ask, members: usize, now: Instant) -> bool {
        let new = || Contact { run: ask.run, number: 0, counted: [None; SLOTS] };
        let contact = self.contacts.entry(ask.from.clone()).or_insert_with(new);
        if contact.run == ask.run && ask.number <= contact.number {
            return false;
        }
        let former = contact.counted;
        (contact.run, contact.number) = (ask.run, ask.number);
        for (slot, at) in contact.counted.iter_mut().enumerate() {
            *at = (ask.counted & (1 << slot) != 0).then_some(now);
        }
        let changed = contact.counted.iter().zip(former).any(|(a, b)| a.is_some() != b.is_some());
        if changed {
            self.update_shares(members, now);
        }
        true
    }

    /// Finds out which members are in contact, and creates the buckets of tenants that this node keeps,
    /// so that they fill. To be called at least once per [`contact_interval`].
    pub fn update<'a>(
        &mut self,
        members: usize,
        is_member: impl Fn(&NodeId) -> bool,
        tenants: impl Iterator<Item = (&'a TenantName, Quota)>,
        now: Instant,
    ) {
        self.contacts.retain(|node, _| is_member(node));
        self.update_shares(members, now);
        let tenants: HashMap<&TenantName, Quota> = tenants.collect();
        let shares = self.shares;
        self.buckets.retain(|name, _| tenants.contains_key(name) && shares[slot(name)] > 0.0);
        for (name, quota) in tenants {
            let share = shares[slot(name)];
            if share > 0.0 {
                self.bucket(name, now).fill(&quota, share, now);
            }
        }
    }

    fn update_shares(&mut self, members: usize, now: Instant) {
        let limit = contact_time(members);
        for slot in 0..SLOTS {
            let fresh = |c: &&Contact| {
                c.counted[slot].is_some_and(|at| now.saturating_duration_since(at) < limit)
            };
            let count = self.contacts.values().filter(fresh).count();
            self.shares[slot] = (count as f64 / members.max(1) as f64).min(1.0);
        }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is within the quota.
    Run,
    /// The keeper has to be asked.
    Wait,
    /// It exceeds the quota; a token is expected after this time.
    Refuse(Duration),
}

/// A node's tokens of one tenant.
#[derive(Debug)]
struct Stock {
    /// Tokens granted, and when they expire.
    tokens: VecDeque<(Instant, u32)>,
    /// Tokens that expired or were given back.
    returned: u32,
    /// Requests that wait for tokens.
    waiting: u32,
    /// The keeper has no token before this time.
    refused_until: Option<Instant>,
    /// Requests of the present and of the last [`DEMAND_PERIOD`], and the beginning of the present one.
    demand: (u32, u32, Instant),
    /// The node's own share, spent without a keeper.
    share: Share,
    used: Instant,
}

/// A node's own share of a quota.
///
/// A share of a small tenant is less than one token. Such a token becomes due at a time that is drawn for
/// each node, and expires: otherwise each of 74 nodes would save one, and all could be spent at once.
#[derive(Debug, Default)]
struct Share {
    level: f64,
    /// When `level` was computed; `None` while there is a keeper.
    at: Option<Instant>,
    /// When a whole token of a share below one became due.
    due: Option<Instant>,
}

impl Share {
    /// Fills the share. `settled` says that the time without a keeper has been long, so that former
    /// bursts do not matter; `draw` is a random number from 0 to 1.
    fn fill(&mut self, quota: &Quota, members: usize, settled: bool, draw: f64, now: Instant) {
        let members = members.max(1) as f64;
        let rate = (quota.rate.per_second() / members).max(f64::MIN_POSITIVE);
        let depth = (quota.burst + EXTRA_TOKENS) / members;
        let life = Duration::from_secs_f64((depth / rate).min(SHARE_LIFE_MAX.as_secs_f64()));
        let passed = self.at.map(|at| now.saturating_duration_since(at));
        self.at = Some(now);
        if depth >= 1.0 {
            let passed = passed.unwrap_or_default();
            self.level = (self.level + rate * passed.as_secs_f64()).min(depth);
            return;
        }
        match passed.filter(|passed| *passed < life) {
            Some(passed) => self.level += rate * passed.as_secs_f64(),
            // The node has not looked: it holds a token with the probability that one is held.
            None => {
                let held = settled && draw < rate * life.as_secs_f64();
                (self.level, self.due) = (if held { 1.0 } else { draw }, None);
            }
        }
        if self.level < 1.0 {
            self.due = None;
            return;
        }
        let due = *self.due.get_or_insert(now);
        self.level = 1.0;
        if now >= due + life {
            (self.level, self.due) = (0.0, None);
        }
    }

    fn take(&mut self) -> bool {
        let has = self.level + TOKEN_ERROR >= 1.0;
        if has {
            self.level -= 1.0;
            self.due = None;
        }
        has
    }
}

impl Stock {
    fn new(now: Instant) -> Stock {
        Stock {
            tokens: VecDeque::new(),
            returned: 0,
            waiting: 0,
            refused_until: None,
            demand: (0, 0, now),
            share: Share::default(),
            used: now,
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((_, tokens)) = self.tokens.front().copied().filter(|(end, _)| *end <= now) {
            self.returned += tokens;
            self.tokens.pop_front();
        }
    }

    fn take(&mut self) -> bool {
        let Some((_, tokens)) = self.tokens.front_mut() else { return false };
        *tokens -= 1;
        if *tokens == 0 {
            self.tokens.pop_front();
        }
        true
    }

    fn count(&self) -> u32 {
        self.tokens.iter().map(|(_, tokens)| tokens).sum()
    }

    fn measure(&mut self, now: Instant, requests: u32) {
        let (present, _, began) = self.demand;
        let passed = now.saturating_duration_since(began);
        if passed >= DEMAND_PERIOD {
            let last = if passed < DEMAND_PERIOD * 2 { present } else { 0 };
            self.demand = (0, last, now);
        }
        self.demand.0 += requests;
    }

    /// Tokens to ask for: for the requests that wait, and ahead of demand if few are left.
    fn wanted(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.measure(now, 0);
        if self.refused_until.is_some_and(|until| now < until) {
            return 0;
        }
        // A request now and then is not worth tokens that would expire.
        let ahead = if self.demand.1 >= 2 { self.demand.1 } else { 0 };
        let left = self.count();
        let ahead = if left * 2 < ahead { ahead - left } else { 0 };
        self.waiting.saturating_sub(left) + ahead
    }
}

/// How a node stands with the keepers of a slot.
#[derive(Clone, Debug, Default)]
struct SlotState {
    /// The keepers, in order.
    keepers: Vec<NodeId>,
    /// The keeper that is used.
    keeper: Option<NodeId>,
    /// When the keeper in use was chosen.
    since: Option<Instant>,
    /// When an ask was sent that the keeper in use has answered.
    answered: Option<Instant>,
    /// The same for the last keeper that answered; first, when the node learned of keepers.
    in_contact: Option<Instant>,
    /// The keeper that may count this node, and when an ask last counted it.
    counted: Option<(NodeId, Instant)>,
}

/// An ask without an answer.
#[derive(Debug)]
struct Pending {
    number: u64,
    sent: Instant,
    counted: u8,
    /// Whether it may bring tokens.
    wants: bool,
}

/// The tokens of one node, and its standing with the keepers.
#[derive(Debug)]
pub struct Allotments {
    me: NodeId,
    run: u64,
    number: u64,
    members: usize,
    /// Whether this node may still count as a member.
    valid: bool,
    slots: [SlotState; SLOTS],
    stocks: HashMap<TenantName, Stock>,
    pending: HashMap<NodeId, Vec<Pending>>,
    /// When contact was last kept up.
    contacted: Option<Instant>,
    /// Number of times.
    rounds: u32,
}

impl Allotments {
    /// State without tokens of a process with a random id.
    pub fn new(me: NodeId, run: u64) -> Allotments {
        Allotments {
            me,
            run,
            number: 0,
            members: 0,
            valid: false,
            slots: std::array::from_fn(|_| SlotState::default()),
            stocks: HashMap::new(),
            pending: HashMap::new(),
            contacted: None,
            rounds: 0,
        }
    }

    /// Decides on a request of a tenant. `draw` is a random number from 0 to 1.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        quota: &Quota,
        draw: f64,
        first: bool,
        now: Instant,
    ) -> Decision {
        let slot = slot(tenant);
        let alone = self.alone_for(slot, now);
        let counted = self.is_counted(slot, now);
        let (members, valid) = (self.members, self.valid);
        let stock = self.stock(tenant, now);
        stock.used = now;
        if first {
            stock.measure(now, 1);
        }
        stock.expire(now);
        if stock.take() {
            return Decision::Run;
        }
        if let Some(time) = alone {
            stock.share.fill(quota, members, time >= NO_BURST_TIME, draw, now);
            if members > 0 && valid && stock.share.take() {
                return Decision::Run;
            }
            let rate = (quota.rate.per_second() / members.max(1) as f64).max(f64::MIN_POSITIVE);
            let next = ((1.0 - stock.share.level) / rate).clamp(0.05, REFUSAL_MAX.as_secs_f64());
            return Decision::Refuse(Duration::from_secs_f64(next));
        }
        stock.share = Share::default();
        match stock.refused_until.filter(|until| counted && now < *until) {
            Some(until) => Decision::Refuse(until - now),
            None => Decision::Wait,
        }
    }

    fn stock(&mut self, tenant: &TenantName, now: Instant) -> &mut Stock {
        if !self.stocks.contains_key(tenant) {
            self.stocks.insert(tenant.clone(), Stock::new(now));
        }
        self.stocks.entry(tenant.clone()).or_insert_with(|| Stock::new(now))
    }

    /// Records that a request begins or ends to wait for tokens.
    pub fn set_waiting(&mut self, tenant: &TenantName, waits: bool, now: Instant) {
        let stock = self.stock(tenant, now);
        stock.waiting = if waits { stock.waiting + 1 } else { stock.waiting.saturating_sub(1) };
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&mut self, tenant: &TenantName) {
        if let Some(stock) = self.stocks.get_mut(tenant) {
            stock.returned += 1;
        }
    }

    /// Whether a keeper answers and may count this node.
    fn is_counted(&self, slot: usize, now: Instant) -> bool {
        let state = &self.slots[slot];
        let fresh = |at: Instant| now.saturating_duration_since(at) < contact_time(self.members);
        state.counted.is_some() && state.answered.is_some_and(fresh)
    }

    /// For how long no keeper has answered and none has counted this node; `None` if one may.
    fn alone_for(&self, slot: usize, now: Instant) -> Option<Duration> {
        let state = &self.slots[slot];
        let limit = share_after(self.members);
        let over = |at: Instant| now.saturating_duration_since(at).checked_sub(limit);
        let counted = state.counted.as_ref().map_or(Some(Duration::MAX), |(_, at)| over(*at));
        Some(over(state.in_contact?)?.min(counted?))
    }

    /// Takes over the members. `members` are those that may be keepers, `count` is the number of all.
    /// `valid` says whether this node still counts as a member: the share of one that does not belongs to
    /// the others.
    pub fn set_members(&mut self, members: &[NodeId], count: usize, valid: bool, now: Instant) {
        (self.members, self.valid) = (count, valid);
        for (slot, state) in self.slots.iter_mut().enumerate() {
            state.keepers = keepers(slot, members.iter());
            state.in_contact.get_or_insert(now);
        }
    }

    /// The asks that are due, with their receivers. To be called after requests have begun to wait, after
    /// each answer, and at short intervals.
    pub fn due_asks(&mut self, now: Instant) -> Vec<(NodeId, Ask)> {
        let interval = contact_interval(self.members);
        let mut chosen = false;
        for slot in 0..SLOTS {
            chosen |= self.choose_keeper(slot, now);
        }
        let contact =
            chosen || self.contacted.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if contact {
            self.contacted = Some(now);
            self.rounds = self.rounds.wrapping_add(1);
            self.stocks
                .retain(|_, s| s.waiting > 0 || now.saturating_duration_since(s.used) < IDLE_TIME);
        }
        let mut asks: HashMap<NodeId, Ask> = HashMap::new();
        let (me, run) = (self.me.clone(), self.run);
        let ask_of = |to: &NodeId, asks: &mut HashMap<NodeId, Ask>| {
            let new = Ask { from: me.clone(), run, number: 0, counted: 0, wants: Vec::new() };
            asks.entry(to.clone()).or_insert(new);
        };
        for state in self.slots.iter().filter(|_| contact) {
            state.keeper.iter().for_each(|to| ask_of(to, &mut asks));
            let first =
                state.keepers.first().filter(|_| self.rounds.is_multiple_of(RETURN_INTERVAL));
            first.iter().for_each(|to| ask_of(to, &mut asks));
        }
        let mut wants: Vec<(NodeId, Want)> = Vec::new();
        for (tenant, stock) in &mut self.stocks {
            let state = &self.slots[slot(tenant)];
            let Some(keeper) = &state.keeper else { continue };
            let asked = self.pending.get(keeper);
            let recent = |p: &Pending| p.wants && now < p.sent + RESEND_AFTER;
            if asked.is_some_and(|asked| asked.iter().any(recent)) {
                continue;
            }
            let tokens = stock.wanted(now);
            let listed = wants.iter().filter(|(to, _)| to == keeper).count();
            if tokens > 0 && listed < WANTS_MAX {
                let returned = std::mem::take(&mut stock.returned);
                wants.push((keeper.clone(), Want { tenant: tenant.clone(), tokens, returned }));
            }
        }
        for (keeper, want) in wants {
            ask_of(&keeper, &mut asks);
            asks.entry(keeper).and_modify(|ask| ask.wants.push(want));
        }
        asks.into_iter().map(|(to, ask)| self.number_ask(to, ask, now)).collect()
    }

    fn number_ask(&mut self, to: NodeId, mut ask: Ask, now: Instant) -> (NodeId, Ask) {
        self.number += 1;
        ask.number = self.number;
        for slot in 0..SLOTS {
            if self.slots[slot].keeper.as_ref() != Some(&to) || !self.may_count(slot, now) {
                continue;
            }
            ask.counted |= 1 << slot;
            self.slots[slot].counted = Some((to.clone(), now));
        }
        let wants = !ask.wants.is_empty();
        let pending = Pending { number: ask.number, sent: now, counted: ask.counted, wants };
        let asked = self.pending.entry(to.clone()).or_default();
        asked.retain(|p| now < p.sent + ANSWER_TIME_MAX);
        asked.push(pending);
        (to, ask)
    }

    /// Whether an ask may count the keeper in use: it has answered lately, and no other one may still count
    /// this node.
    fn may_count(&self, slot: usize, now: Instant) -> bool {
        let state = &self.slots[slot];
        let since = |at: Instant| now.saturating_duration_since(at);
        let answers = state.answered.is_some_and(|at| since(at) < contact_time(self.members));
        let other = state.counted.as_ref().filter(|(node, _)| Some(node) != state.keeper.as_ref());
        answers && other.is_none_or(|(_, at)| since(*at) >= share_after(self.members))
    }

    /// Replaces a keeper that does not answer, or that is none any more. Returns whether it did.
    fn choose_keeper(&mut self, slot: usize, now: Instant) -> bool {
        let patience = contact_time(self.members);
        let state = &mut self.slots[slot];
        let known = state.keeper.as_ref().and_then(|k| state.keepers.iter().position(|n| n == k));
        let silent =
            |at: Option<Instant>| at.is_none_or(|at| now.saturating_duration_since(at) >= patience);
        let next = match known {
            None => 0,
            Some(at) if silent(state.answered) && silent(state.since) => {
                (at + 1) % state.keepers.len().max(1)
            }
            Some(_) => return false,
        };
        state.keeper = state.keepers.get(next).cloned();
        (state.since, state.answered) = (Some(now), None);
        state.keeper.is_some()
    }

    /// Takes in the answer to an ask.
    pub fn receive(&mut self, reply: Reply, now: Instant) {
        let Some(asked) = self.pending.get_mut(&reply.from) else { return };
        let Some(found) = asked.iter().position(|p| p.number == reply.number) else { return };
        let Pending { sent, counted, .. } = asked.swap_remove(found);
        for (slot, state) in self.slots.iter_mut().enumerate() {
            let released = counted & (1 << slot) == 0;
            if released && state.counted.as_ref().is_some_and(|(node, _)| *node == reply.from) {
                state.counted = None;
            }
            let first = state.keepers.first() == Some(&reply.from);
            if state.keeper.as_ref() != Some(&reply.from) {
                if !first {
                    continue;
                }
                state.keeper = Some(reply.from.clone());
                (state.since, state.answered) = (Some(sent), None);
            }
            // The first answer allows the keeper to be counted, which the next ask tells it.
            if state.answered.is_none() {
                self.contacted = None;
            }
            state.answered = state.answered.max(Some(sent));
            state.in_contact = state.in_contact.max(Some(sent));
        }
        for grant in reply.grants {
            let Some(stock) = self.stocks.get_mut(&grant.tenant) else { continue };
            if grant.tokens > 0 {
                stock.tokens.push_back((sent + GRANT_LIFE, grant.tokens));
            }
            let wait = Duration::from_millis(grant.next_ms.into()).max(REFUSAL_MIN);
            stock.refused_until = (grant.next_ms > 0).then_some(now + wait);
        }
    }
}
