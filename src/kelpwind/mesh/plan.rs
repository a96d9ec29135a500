//! Plans key ownership: the first assignment of a service's keys, keys without an owner, and moves.
//!
//! Each owner plans for its own keys, from the table that all nodes share. What a single node
//! should do is done by the first eligible one in the order of names. If two act at once, the
//! conditional write to the table accepts only one of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::node::Node;
use crate::core::ids::Holder;
use crate::gate::grant_time::EXCESS_MAX;
use crate::place::spread::{self, Recipient};
use crate::table::keys::{KeyMap, Owner, Range, Span};
use crate::table::{Table, WriteBatch};

/// Time between two checks for keys without an owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the first start of an installation in which keys are not assigned, so that the first
/// assignment need not be changed at once by servers that report later. They report about every
/// second.
const FIRST_START_DELAY: Duration = Duration::from_millis(3500);
/// The same for a node that starts later: its server's first report is due by then.
const START_DELAY: Duration = Duration::from_millis(2500);
/// Time after which the grants of an owner that is no longer a member have expired, unless they
/// outlast its lease.
const DEPARTED_OWNER_WAIT: Duration = Duration::from_millis(1600);
/// The same for an owner whose node is a member in a later incarnation. That node reclaims the
/// keys, or gives them away itself when it has no backend server, unless it is lost before it can.
const RESTARTED_OWNER_WAIT: Duration = Duration::from_millis(4500);
/// Minimum number of adjacent pairs of ranges of one owner for which a merge is worth a call to the
/// store.
const MERGEABLE_PAIRS_MIN: usize = 3;

/// Assigns keys without an owner, and merges adjacent ranges, for as long as the process runs.
pub(crate) async fn maintain_ownership(node: Rc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        node.update_departed_owners();
        if !node.is_keyed() || node.is_stopping() || node.table_position.borrow().is_none() {
            continue;
        }
        let first = node.settings.borrow().bootstrap;
        let wait = if first { FIRST_START_DELAY } else { START_DELAY };
        if node.started.elapsed() < wait {
            continue;
        }
        if node.should_assign_unowned() {
            let written = node.commit("keys without an owner", |node, table| {
                node.keys_with_unowned_assigned(table)
            });
            if let Some(update) = written.await {
                node.notify_owners(&update).await;
            }
        }
        if node.should_merge_ranges() {
            node.commit("adjacent ranges", |node, table| node.keys_with_ranges_merged(table)).await;
        }
    }
}

impl Node {
    /// Whether there are keys without an owner that this node should assign.
    fn should_assign_unowned(&self) -> bool {
        let service = self.service();
        let table = self.table.borrow();
        let unowned = |k: &KeyMap| {
            k.ranges.iter().any(|r| self.is_unowned(k, r))
                || !table.claims.is_empty() && table.apply_claims(&service, &mut k.clone())
        };
        let due = table.keys.get(&service).map_or(self.may_assign_unclaimed(), unowned);
        let recipients = if due { self.recipients(&table, &service, None) } else { Vec::new() };
        recipients.first().is_some_and(|r| r.owner.holder == self.holder())
    }

    /// Tracks since when owners of keys are no longer members. A member's record is deleted, or
    /// replaced by that of a later incarnation, only by the member itself when it stops or once its
    /// lease can never be renewed again. The grants it made then expire within the lease duration.
    fn update_departed_owners(&self) {
        let table = self.table.borrow();
        let mut departed = self.departed_owners.borrow_mut();
        let owners = table.keys.values().flat_map(|k| k.owners());
        let lost: Vec<&Holder> = owners.filter(|h| table.has_departed(h)).collect();
        departed.retain(|holder, _| lost.contains(&holder));
        for holder in lost {
            departed.entry(holder.clone()).or_insert_with(Instant::now);
        }
    }

    /// Whether a range has no owner, or one that departed so long ago that it neither holds the
    /// keys nor will reclaim them.
    fn is_unowned(&self, keys: &KeyMap, range: &Range) -> bool {
        let Some(owner) = &range.owner else {
            return !keys.is_unclaimed(range) || self.may_assign_unclaimed();
        };
        let table = self.table.borrow();
        if !table.has_departed(&owner.holder) {
            return false;
        }
        let restarted = table.is_succeeded(&owner.holder);
        let excess = || table.former_excess(&owner.holder).unwrap_or(EXCESS_MAX);
        let wait = if restarted { RESTARTED_OWNER_WAIT } else { DEPARTED_OWNER_WAIT + excess() };
        let departed = self.departed_owners.borrow();
        departed.get(&owner.holder).is_some_and(|since| since.elapsed() >= wait)
    }

    /// The ownership record in which every key has an owner. `None` when no member can receive keys
    /// or no key lacks an owner.
    fn keys_with_unowned_assigned(&self, table: &Table) -> Option<WriteBatch> {
        let service = self.service();
        let recipients = self.recipients(table, &service, None);
        if recipients.is_empty() {
            return None;
        }
        let Some(keys) = table.keys.get(&service) else {
            // A later era may have begun since this was due.
            if !self.may_assign_unclaimed() {
                return None;
            }
            let shares: Vec<(Owner, f64)> =
                recipients.iter().map(|r| (r.owner.clone(), r.capacity)).collect();
            let keys = KeyMap::divide(&shares).above(table.token_floor());
            return Some(WriteBatch::put_keys(table, &service, &keys));
        };
        let mut keys = keys.clone();
        let claimed = table.apply_claims(&service, &mut keys);
        let unowned: Vec<Span> =
            keys.ranges.iter().filter(|r| self.is_unowned(&keys, r)).map(|r| r.span).collect();
        let former_owners: Vec<Option<Holder>> = std::iter::once(None)
            .chain(self.departed_owners.borrow().keys().cloned().map(Some))
            .collect();
        for (span, to) in spread::distribute(&unowned, &recipients, spread::key_count) {
            for holder in &former_owners {
                keys.transfer(span, holder.as_ref(), Some(to.clone()), None);
            }
        }
        (claimed || !unowned.is_empty()).then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Moves of this node's keys that are due: all keys when they must leave, otherwise a share for
    /// targets that have none.
    pub fn due_moves(&self) -> Vec<(Span, Owner)> {
        let service = self.service();
        let me = self.holder();
        let table = self.table.borrow();
        let Some(keys) = table.keys.get(&service) else { return Vec::new() };
        let own = |r: &&Range| r.owner.as_ref().is_some_and(|o| me.continues(&o.holder));
        let spans: Vec<Span> = keys.ranges.iter().filter(own).map(|r| r.span).collect();
        if spans.is_empty() {
            return Vec::new();
        }
        let mut recipients = self.recipients(&table, &service, None);
        if self.must_give_up_keys() {
            recipients.retain(|r| r.owner.holder.node != me.node);
            return spread::distribute(&spans, &recipients, spread::key_count);
        }
        self.moves_to_new_owners(&me, &spans, &recipients)
    }

    /// Whether all keys must leave this node: it stops, its failure domain is drained, or its
    /// backend server leaves or has not reported in time.
    pub fn must_give_up_keys(&self) -> bool {
        let domain = self.settings.borrow().domain.clone();
        if self.server.borrow().is_none() {
            return self.started.elapsed() >= START_DELAY;
        }
        self.is_stopping() || self.server_leaving_since().is_some() || self.is_drained(&domain)
    }

    /// Keys that this node should move to targets without any, such as those that have just joined.
    /// All owners compute the same plan from the same table, and each makes its own part of the
    /// moves. Later moves follow from the measured load ([`super::balance`]).
    fn moves_to_new_owners(
        &self,
        me: &Holder,
        spans: &[Span],
        recipients: &[Recipient],
    ) -> Vec<(Span, Owner)> {
        let load: f64 = recipients.iter().map(|r| r.load).sum();
        let capacity: f64 = recipients.iter().map(|r| r.capacity).sum();
        let fair_share = |r: &Recipient| load * r.capacity / capacity.max(1.0);
        let surplus = |r: &Recipient| (r.load - fair_share(r)).max(0.0);
        let total: f64 = recipients.iter().map(surplus).sum();
        let Some(own) = recipients.iter().find(|r| r.owner.holder == *me) else {
            return Vec::new();
        };
        let fraction = surplus(own) / total.max(1.0);
        let mut moves = Vec::new();
        let mut left: Vec<Span> = spans.to_vec();
        for recipient in recipients.iter().filter(|r| r.load == 0.0) {
            let mut wanted = (fair_share(recipient) * fraction) as u32;
            while wanted > 0
                && let Some(span) = left.pop()
            {
                if span.width() <= wanted {
                    wanted -= span.width();
                    moves.push((span, recipient.owner.clone()));
                    continue;
                }
                // Move the end of the range, so that its start stays under the same grant.
                let first = span.last - (wanted - 1) as u16;
                moves.push((Span { first, last: span.last }, recipient.owner.clone()));
                left.push(Span { first: span.first, last: first - 1 });
                wanted = 0;
            }
        }
        moves
    }

    /// The ownership record in which adjacent ranges of this node are merged. Each range needs a
    /// grant that must be renewed, and moves leave many small ranges behind.
    fn keys_with_ranges_merged(&self, table: &Table) -> Option<WriteBatch> {
        let service = self.service();
        let mut keys = table.keys.get(&service)?.clone();
        keys.merge_owned(&self.holder()).then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Whether this node has enough adjacent ranges to merge them.
    fn should_merge_ranges(&self) -> bool {
        let service = self.service();
        let table = self.table.borrow();
        let Some(keys) = table.keys.get(&service) else { return false };
        let pairs = keys.ranges.windows(2);
        let own = |r: &Range| r.owner.as_ref().is_some_and(|o| o.holder == self.holder());
        let mergeable = pairs.filter(|p| own(&p[0]) && p[0].owner == p[1].owner).count();
        mergeable >= MERGEABLE_PAIRS_MIN && !self.is_changing_keys()
    }
}

const _: () = {
    let lease = crate::lease::LEASE_DURATION.as_millis();
    assert!(DEPARTED_OWNER_WAIT.as_millis() > lease);
    assert!(RESTARTED_OWNER_WAIT.as_millis() > lease + EXCESS_MAX.as_millis());
};
