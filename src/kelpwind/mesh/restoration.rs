//! How ownership passes into a new era, after the store has come back from an older copy.
//!
//! The latest records of the former era are gone from the store, but the nodes still know what they
//! own. So a node that learns of a new era reads and writes the table of that era beside the one it
//! has, which stays in force meanwhile: leases are renewed, keys are granted and requests are routed
//! by it, and no key changes hands.
//!
//! 1. Each node writes its own record anew and, while its lease is valid, claims its keys.
//! 2. Once all members are back, or after [`claim_wait`], one node of each service writes the keys of
//!    the new era from the claims. Owners keep their tokens. Keys that nobody claims have no owner.
//! 3. A node puts the new table into force once it names the owners of all services, or
//!    [`former_table_time`] after it has learned of the era.
//! 4. Keys that nobody has claimed are assigned [`unclaimed_wait`] after that node has learned of the
//!    era, under tokens above all of the former ones.
//!
//! Until then an owner that the store does not reach may hold unclaimed keys. Its lease needs the
//! acknowledgements of a majority of its witnesses, each of which gives none for an owner that is not
//! in its table, nor once it knows of the new era for [`former_table_time`] and cannot read its table.
//! What remains is an owner that is cut off, together with a majority of its witnesses, from the store
//! and from every node that has read it: they go on by the former table while others are assigned the
//! keys.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::datagram::{Datagram, TableUpdate};
use super::node::Node;
use super::platform_api::StoreError;
use crate::core::ids::{Era, Position, ServiceName};
use crate::gate::grant_time::EXCESS_MAX;
use crate::lease::{LEASE_DURATION, clock};
use crate::table::claim::Claim;
use crate::table::keys::{KeyMap, Range, Span};
use crate::table::{Table, WriteBatch};

/// Interval at which the tables of the present and the former era are compared.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which keys are not assigned because a member may still claim some. Entries of
/// servers that live and reach the store are back within 2 s of its return.
const CLAIM_WAIT: Duration = Duration::from_secs(2);
/// Additional time that each member of a service waits, compared with the one before it, until it
/// writes the keys itself.
const WRITE_STAGGER: Duration = Duration::from_millis(200);
/// How much longer than that the table of the former era stays in force at most.
const ADOPTION_TIME: Duration = Duration::from_secs(1);
/// Records that members write again in a second, all together: half of the writes that the smallest
/// store of the users' deployments takes.
const REWRITES_PER_SECOND: f64 = 200.0;
/// Time within which all nodes that reach the store, or a node that does, know of a new era.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Time in which an answer that was sent before another node told of a new era has arrived.
const STALE_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Time over which members spread the writes of their records.
fn rewrite_time(members: u32) -> Duration {
    Duration::from_secs_f64(f64::from(members) / REWRITES_PER_SECOND)
}

/// Longest time for which the keys of a new era are not written because members may still claim some.
fn claim_wait(members: u32) -> Duration {
    CLAIM_WAIT + rewrite_time(members)
}

/// Longest time for which the table of the former era stays in force.
fn former_table_time(members: u32) -> Duration {
    claim_wait(members) + ADOPTION_TIME
}

/// Time after which nobody holds keys that nobody has claimed: all have learned of the era and given
/// up the former table, and the last leases and grants under it have expired.
fn unclaimed_wait(members: u32) -> Duration {
    DISCOVERY_TIME + former_table_time(members) + LEASE_DURATION + EXCESS_MAX
}

/// The table of the present era while that of the former one is in force.
pub(crate) struct Restoration {
    /// The table of the present era.
    pub table: Table,
    /// Whether it has been read.
    pub loaded: bool,
    /// When this node learned that the former table is one of a former era, from the store or from
    /// another node.
    pub began: Instant,
    /// When the store told this node of the present era.
    learned: Instant,
    /// Whether the lease was valid then. Otherwise its keys may have been assigned to others before.
    held_lease: bool,
    /// Earliest time at which this node writes its record.
    write_at: Instant,
}

impl Node {
    /// Whether the table of the former era is in force.
    pub fn is_restoring(&self) -> bool {
        self.restoration.borrow().is_some()
    }

    /// Calls `f` with the table that is read and written.
    pub fn with_followed_table<T>(&self, f: impl FnOnce(&Table) -> T) -> T {
        match self.restoration.borrow().as_ref() {
            Some(restoration) => f(&restoration.table),
            None => f(&self.table.borrow()),
        }
    }

    /// How far the table that is read and written has been read, and whether it was read at all.
    pub fn followed_position(&self) -> (Position, bool) {
        let loaded = match self.restoration.borrow().as_ref() {
            Some(restoration) => restoration.loaded,
            None => self.table_position.borrow().is_some(),
        };
        (self.with_followed_table(Table::position), loaded)
    }

    /// Begins to read the table of the present era. Returns false if this node already does.
    pub fn follow_era(self: &Rc<Self>) -> bool {
        let era = self.store_era.known();
        if self.followed_position().0.era == era {
            return false;
        }
        let now = Instant::now();
        let told =
            self.announced_era.get().filter(|(told, _)| Some(*told) <= era).map(|(_, at)| at);
        if told.is_some() {
            self.announced_era.set(None);
        }
        if self.table_position.borrow().is_none() {
            self.table.replace(Table::new(era));
            self.era_since.set(now);
            return true;
        }
        // Of an era in between nothing came into force, and the former table is as old as before.
        let before = self.restoration.borrow().as_ref().map(|r| (r.began, r.held_lease));
        let valid = self.lease.borrow().as_ref().is_some_and(|l| l.is_valid(clock::now()));
        self.restoration.replace(Some(Restoration {
            table: Table::new(era),
            loaded: false,
            began: before.map(|(began, _)| began).into_iter().chain(told).fold(now, Instant::min),
            learned: now,
            held_lease: valid && before.is_none_or(|(_, held)| held),
            write_at: now + rewrite_time(self.member_count()).mul_f64(fastrand::f64()),
        }));
        if before.is_none() {
            tokio::task::spawn_local(restore(self.clone()));
        }
        self.announce_wake.notify_one();
        true
    }

    /// Time until this node may write its record in a new era; zero if it may now.
    pub fn rewrite_pause(&self) -> Duration {
        let restoration = self.restoration.borrow();
        let at = restoration.as_ref().map(|r| r.write_at);
        at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Waits until the table of the present era is in force. The era may be known before the table's
    /// reader follows it.
    pub async fn wait_for_present_era(&self) {
        let mut known = self.table_position.subscribe();
        let is_former = || self.table.borrow().era != self.store_era.known();
        while self.is_restoring() || is_former() {
            // Fails only if the sender is dropped, and `self` owns the sender.
            drop(known.changed().await);
        }
    }

    /// Whether keys may be granted by the table in force. A lease that was lost before this node
    /// learned of the present era, and that witnesses acknowledge again, only allows claims.
    pub fn may_grant(&self) -> bool {
        self.restoration.borrow().as_ref().is_none_or(|r| r.held_lease)
    }

    /// Whether this node may still act by its table as holder and as witness.
    pub fn trusts_table(&self) -> bool {
        let restoration = self.restoration.borrow();
        let learned = restoration.as_ref().map(|r| r.began);
        let told = self.announced_era.get().map(|(_, at)| at);
        let since = [learned, told].into_iter().flatten().min();
        since.is_none_or(|at| at.elapsed() < former_table_time(self.member_count()))
    }

    /// Records that another node has told of an era, and asks the store if it is a later one.
    pub fn record_announced_era(&self, era: Era) {
        if self.store_era.known() < Some(era) && self.announced_era.get().is_none() {
            self.announced_era.set(Some((era, Instant::now())));
            self.request_table_read();
        }
    }

    /// Records that the store has answered in the known era, which may show that what another node
    /// told is not true. What is true is kept for [`Node::follow_era`].
    pub fn check_announced_era(&self) {
        let Some((era, at)) = self.announced_era.get() else { return };
        if self.store_era.known() < Some(era) && at.elapsed() > STALE_ANSWER_TIME {
            self.announced_era.set(None);
        }
    }

    /// What this node claims in the table of the present era while that of the former one is in force;
    /// `None` without a valid lease. Keys of a write without a known outcome may belong to another node
    /// already, so they are not claimed.
    pub fn own_claim(&self) -> Option<Claim> {
        self.restoration.borrow().as_ref()?;
        let now = clock::now();
        self.lease.borrow().as_ref().filter(|lease| lease.is_valid(now))?;
        let (me, service) = (self.holder(), self.service());
        let held = self.held.borrow();
        let unsure = if self.uncertain_writes.get() > 0 { held.moving() } else { &[] };
        let table = self.table.borrow();
        let mut ranges: Vec<Range> = table.keys.get(&service)?.owned_by(&me).cloned().collect();
        for moving in unsure {
            ranges = ranges.into_iter().flat_map(|r| without(&r, *moving)).collect();
        }
        (!ranges.is_empty()).then(|| Claim::new(me, service, ranges))
    }

    /// Whether keys without an owner that nobody has claimed may be assigned.
    pub fn may_assign_unclaimed(&self) -> bool {
        let first_start = self.settings.borrow().bootstrap && self.restored_at.get().is_none();
        let table = self.table.borrow();
        if table.era.is_none() || first_start && !table.follows_loss() {
            return true;
        }
        drop(table);
        // A node that has just started may not know of all members yet.
        let members = self.member_count();
        match self.restored_at.get() {
            Some(at) => at.elapsed() >= unclaimed_wait(members),
            None => self.era_since.get().elapsed() >= unclaimed_wait(2 * members),
        }
    }

    /// Writes the keys of this node's service from what was claimed, if that is due.
    async fn write_claimed_keys(&self) {
        let Some((at, batch)) = self.claimed_keys() else { return };
        let batch = batch.of_era(at.era).merge(self.with_followed_table(WriteBatch::delete_former));
        match (self.platform.store.append)(batch.clone(), Some(at.offset)).await {
            Ok(next) => {
                let next = Position { offset: next, ..at };
                let update = TableUpdate { next, batch };
                self.apply_table_update(&update);
                self.notify_members(&update).await;
            }
            Err(StoreError::Conflict) => self.request_table_read(),
            Err(e) => {
                let why = e.to_string();
                spdlog::warn!("failed to write the keys of a new era", kv: { why = why.as_str() });
                self.request_table_read();
            }
        }
    }

    fn claimed_keys(&self) -> Option<(Position, WriteBatch)> {
        let service = self.service();
        let former = self.table.borrow();
        let restoration = self.restoration.borrow();
        let Restoration { table, loaded, began, .. } = restoration.as_ref()?;
        if !loaded || table.keys.contains_key(&service) || !former.keys.contains_key(&service) {
            return None;
        }
        let me = self.name();
        let mut writers = table.members_of(&service).filter(|m| !m.stopping);
        let rank = writers.position(|m| m.holder.node == me)?;
        let all_back = former.members.keys().all(|name| table.members.contains_key(name));
        let wait = if all_back { Duration::ZERO } else { claim_wait(former.members.len() as u32) };
        if began.elapsed() < wait + WRITE_STAGGER * rank as u32 {
            return None;
        }
        let mut keys = KeyMap::unclaimed(table.token_floor());
        table.apply_claims(&service, &mut keys);
        Some((table.position(), WriteBatch::put_keys(table, &service, &keys)))
    }

    /// Whether the table of the present era can replace that of the former one.
    fn is_era_complete(&self) -> bool {
        let former = self.table.borrow();
        let restoration = self.restoration.borrow();
        let Some(Restoration { table, loaded, began, .. }) = restoration.as_ref() else {
            return false;
        };
        let members = former.members.len() as u32;
        let has_keys = |service: &ServiceName| table.keys.contains_key(service);
        let all_back = former.members.keys().all(|name| table.members.contains_key(name));
        let waited = |time| began.elapsed() >= time;
        let complete = former.keys.keys().all(has_keys)
            && table.members.contains_key(&self.holder.borrow().node)
            && (all_back || waited(claim_wait(members)));
        *loaded && (complete || waited(former_table_time(members)))
    }

    /// Puts the table of the present era into force.
    fn adopt_era(&self) {
        let Some(Restoration { table, began, learned, .. }) = self.restoration.take() else {
            return;
        };
        let unclaimed = |keys: &KeyMap| {
            let ranges = keys.ranges.iter().filter(|r| keys.is_unclaimed(r));
            ranges.map(|r| r.span.width()).sum::<u32>()
        };
        let unclaimed: u32 = table.keys.values().map(unclaimed).sum();
        let (era, members) = (table.era.map_or(0, |era| era.0), table.members.len());
        let lacking =
            self.table.borrow().members.keys().filter(|m| !table.members.contains_key(*m)).count();
        let took_ms = began.elapsed().as_millis() as u64;
        spdlog::info!("the table of a new era is in force", kv: { era, members, lacking, unclaimed, took_ms });
        self.table.replace(table);
        self.restored_at.set(Some(learned));
        self.table_position.send_replace(Some(self.table.borrow().position()));
        self.sync_lease();
        self.announce_wake.notify_one();
        self.grants_wake.notify_one();
    }
}

/// The parts of a range outside a span.
fn without(range: &Range, span: Span) -> Vec<Range> {
    range.span.subtract(span).into_iter().map(|span| Range { span, ..range.clone() }).collect()
}

/// Tells the other members of the new era, and puts its table into force once that is complete.
async fn restore(node: Rc<Node>) {
    if let Some(era) = node.store_era.known() {
        let others: Vec<_> = {
            let me = node.name();
            let table = node.table.borrow();
            table.members.values().filter(|m| m.holder.node != me).map(|m| m.addr).collect()
        };
        for addr in others {
            node.send_datagram(addr, &Datagram::StoreRestored(era)).await;
        }
    }
    while node.is_restoring() {
        node.write_claimed_keys().await;
        if node.is_era_complete() {
            node.adopt_era();
            return;
        }
        // A lease that was not valid before may be valid now, and its keys can be claimed.
        node.announce_wake.notify_one();
        sleep(CHECK_INTERVAL).await;
    }
}
