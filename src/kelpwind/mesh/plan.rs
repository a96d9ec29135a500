//! Plans of key ownership: the first division, keys without an owner, and moves.
//!
//! Each owner plans for its own keys, from the table that all have; what only one node should do is
//! done by the first fit one by name. Two that act at once do no harm: the table takes one of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::node::Node;
use crate::core::ids::Holder;
use crate::place::spread::{self, Recipient};
use crate::table::keys::{KeyMap, Owner, Range, Span};
use crate::table::{Table, WriteBatch};

/// Time between two looks at keys without an owner.
const LOOK: Duration = Duration::from_millis(300);
/// Time after the first start of an installation in which backend servers are waited for, so that
/// the first division need not be changed at once. Reports come about every second.
const FIRST_GATHER: Duration = Duration::from_millis(3500);
/// The same for a node that starts later: its server's first report is due by then.
const REPORT_WAIT: Duration = Duration::from_millis(2500);
/// Time after which the grants of an owner that is no member any more have run out.
const ORPHAN_WAIT: Duration = Duration::from_millis(1600);
/// The same for an owner whose node is a member in a later incarnation, which takes its keys back, or gives
/// them away itself when it has no backend server, unless it is lost before it can.
const RESTART_WAIT: Duration = Duration::from_millis(4500);
/// Neighbouring ranges of one owner from which on a record that joins them is worth its call.
const JOINTS_MIN: usize = 3;

/// Divides keys that nobody owns, for as long as the process runs.
pub(crate) async fn plan(node: Rc<Node>) {
    loop {
        sleep(LOOK).await;
        node.note_orphans();
        if !node.is_keyed() || node.is_stopping() || node.table_offset.borrow().is_none() {
            continue;
        }
        let first = node.settings.borrow().bootstrap;
        let wait = if first { FIRST_GATHER } else { REPORT_WAIT };
        if node.started.elapsed() < wait {
            continue;
        }
        if node.has_unowned() {
            let written = node.commit("keys without an owner", |node, table| node.divided(table));
            if let Some(news) = written.await {
                node.notify_owners(&news).await;
            }
        }
        if node.should_join() {
            node.commit("ranges that are neighbours", |node, table| node.joined(table)).await;
        }
    }
}

impl Node {
    /// Whether there are keys that nobody owns, and this node is the one that divides them.
    fn has_unowned(&self) -> bool {
        let service = self.service();
        let table = self.table.borrow();
        let unowned = |k: &KeyMap| k.ranges.iter().any(|r| self.is_unowned(r));
        let due = table.keys.get(&service).is_none_or(unowned);
        let heirs = if due { self.recipients(&table, &service, None) } else { Vec::new() };
        heirs.first().is_some_and(|h| h.owner.holder == self.holder())
    }

    /// Notes since when owners are members no more. The record of a member is dropped, or replaced by a
    /// later incarnation's, only when its lease can never be renewed again, or by itself when it stops;
    /// what it granted runs out within a lease.
    fn note_orphans(&self) {
        let table = self.table.borrow();
        let mut orphans = self.departed_owners.borrow_mut();
        let owners = table.keys.values().flat_map(|k| k.owners());
        let lost: Vec<&Holder> = owners.filter(|h| table.member(h).is_none()).collect();
        orphans.retain(|holder, _| lost.contains(&holder));
        for holder in lost {
            orphans.entry(holder.clone()).or_insert_with(Instant::now);
        }
    }

    /// Whether nobody can serve the keys of a range, and nobody will.
    fn is_unowned(&self, range: &Range) -> bool {
        let Some(owner) = &range.owner else { return true };
        let restarted = self.table.borrow().members.contains_key(&owner.holder.node);
        let wait = if restarted { RESTART_WAIT } else { ORPHAN_WAIT };
        let orphans = self.departed_owners.borrow();
        orphans.get(&owner.holder).is_some_and(|since| since.elapsed() >= wait)
    }

    /// The ownership record in which every key has an owner.
    fn divided(&self, table: &Table) -> Option<WriteBatch> {
        let service = self.service();
        let heirs = self.recipients(table, &service, None);
        if heirs.is_empty() {
            return None;
        }
        let Some(keys) = table.keys.get(&service) else {
            let shares: Vec<(Owner, f64)> =
                heirs.iter().map(|h| (h.owner.clone(), h.capacity)).collect();
            return Some(WriteBatch::put_keys(table, &service, &KeyMap::divide(&shares)));
        };
        let mut keys = keys.clone();
        let free: Vec<Span> =
            keys.ranges.iter().filter(|r| self.is_unowned(r)).map(|r| r.span).collect();
        let former: Vec<Option<Holder>> = std::iter::once(None)
            .chain(self.departed_owners.borrow().keys().cloned().map(Some))
            .collect();
        for (span, to) in spread::distribute(&free, &heirs, spread::key_count) {
            for holder in &former {
                keys.transfer(span, holder.as_ref(), Some(to.clone()), None);
            }
        }
        (!free.is_empty()).then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// The moves that this node should make now.
    pub fn due_moves(&self) -> Vec<(Span, Owner)> {
        let service = self.service();
        let me = self.holder();
        let table = self.table.borrow();
        let Some(keys) = table.keys.get(&service) else { return Vec::new() };
        let own = |r: &&Range| r.owner.as_ref().is_some_and(|o| o.holder.node == me.node);
        let spans: Vec<Span> = keys.ranges.iter().filter(own).map(|r| r.span).collect();
        if spans.is_empty() {
            return Vec::new();
        }
        let mut heirs = self.recipients(&table, &service, None);
        if self.must_give_up_keys() {
            heirs.retain(|h| h.owner.holder.node != me.node);
            return spread::distribute(&spans, &heirs, spread::key_count);
        }
        self.share_with_new(&me, &spans, &heirs)
    }

    /// Whether all keys must leave this node.
    pub fn must_give_up_keys(&self) -> bool {
        let domain = self.settings.borrow().domain.clone();
        match self.server.borrow().as_ref() {
            Some(server) => {
                self.is_stopping() || server.leaving_since.is_some() || self.is_drained(&domain)
            }
            None => self.started.elapsed() >= REPORT_WAIT,
        }
    }

    /// Keys that this node should give to targets that have none, as those that have just joined.
    /// All owners reckon from the same table, so each gives its own part of one plan. How much each
    /// keeps after that follows from the load ([`super::balance`]).
    fn share_with_new(
        &self,
        me: &Holder,
        spans: &[Span],
        heirs: &[Recipient],
    ) -> Vec<(Span, Owner)> {
        let load: f64 = heirs.iter().map(|h| h.load).sum();
        let capacity: f64 = heirs.iter().map(|h| h.capacity).sum();
        let fair = |h: &Recipient| load * h.capacity / capacity.max(1.0);
        let surplus = |h: &Recipient| (h.load - fair(h)).max(0.0);
        let total: f64 = heirs.iter().map(surplus).sum();
        let Some(mine) = heirs.iter().find(|h| h.owner.holder == *me) else { return Vec::new() };
        let part = surplus(mine) / total.max(1.0);
        let mut moves = Vec::new();
        let mut left: Vec<Span> = spans.to_vec();
        for heir in heirs.iter().filter(|h| h.load == 0.0) {
            let mut want = (fair(heir) * part) as u32;
            while want > 0
                && let Some(span) = left.pop()
            {
                if span.width() <= want {
                    want -= span.width();
                    moves.push((span, heir.owner.clone()));
                    continue;
                }
                // The end of a range goes, so that its start stays under the same grant.
                let first = span.last - (want - 1) as u16;
                moves.push((Span { first, last: span.last }, heir.owner.clone()));
                left.push(Span { first: span.first, last: first - 1 });
                want = 0;
            }
        }
        moves
    }

    /// The ownership record in which neighbouring ranges of this node are one. Each range is a grant
    /// to renew, and moves leave many small ones behind.
    fn joined(&self, table: &Table) -> Option<WriteBatch> {
        let service = self.service();
        let mut keys = table.keys.get(&service)?.clone();
        keys.merge_owned(&self.holder()).then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Whether neighbouring ranges of this node should become one.
    fn should_join(&self) -> bool {
        let service = self.service();
        let table = self.table.borrow();
        let Some(keys) = table.keys.get(&service) else { return false };
        let pairs = keys.ranges.windows(2);
        let mine = |r: &Range| r.owner.as_ref().is_some_and(|o| o.holder == self.holder());
        let joints = pairs.filter(|p| mine(&p[0]) && p[0].owner == p[1].owner).count();
        joints >= JOINTS_MIN && !self.is_moving()
    }
}

const _: () = assert!(ORPHAN_WAIT.as_millis() > crate::lease::LEASE_DURATION.as_millis());
