//! The keeper of the backend server's keys: grants and their renewals.
//!
//! The table says which keys this node owns; the server holds them for short times that end before
//! the lease does ([`crate::gate::grant_time`]). [`super::held_ranges`] is what is known of them, and
//! [`super::moves`] gives them away.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::datagram::TableUpdate;
use super::node::Node;
use super::platform_api::{BackendSession, Grant, GrantOutcome};
use crate::core::ids::NodeId;
use crate::gate::grant_time;
use crate::lease::RENEW_INTERVAL;
use crate::lease::clock::{self, Moment};
use crate::place::spread;
use crate::table::keys::{Owner, Range, Span};
use crate::table::{Table, WriteBatch};

/// Time after which a grant without an answer is sent again. The server is on the same host and
/// answers in milliseconds.
const GRANT_TIMEOUT: Duration = Duration::from_millis(90);
/// Part of a grant's time for which the server surely holds the keys, were its clock 2% fast.
const CLOCK_LEAD: f64 = 0.98;
/// Longest pause of the keeper while it owns keys.
const LOOK: Duration = Duration::from_millis(100);

/// Keeps the keys for as long as the process runs.
pub(crate) async fn maintain_grants(node: Rc<Node>) {
    loop {
        let idle = !node.is_keyed() || node.table_offset.borrow().is_none();
        if idle {
            node.grants_wake.notified().await;
            continue;
        }
        node.follow_keys();
        node.send_grants();
        node.start_due_moves();
        // A timeout only means that the next look is due.
        let _ = timeout(LOOK, node.grants_wake.notified()).await;
    }
}

impl Node {
    /// Takes what the table says of this node's keys, and puts right what a former run, or a former
    /// life of the server, has left there.
    fn follow_keys(self: &Rc<Self>) {
        let (me, life) = (self.holder(), self.server_instance());
        let service = self.service();
        let (stale, moved) = {
            let table = self.table.borrow();
            let ranges = table.keys.get(&service).map_or(&[][..], |k| &k.ranges);
            let mine = |r: &&Range| {
                r.owner
                    .as_ref()
                    .is_some_and(|o| o.holder == me && Some(&o.instance) == life.as_ref())
            };
            let stale = ranges.iter().any(|r| {
                r.owner.as_ref().is_some_and(|o| {
                    o.holder.node == me.node
                        && (o.holder != me || Some(&o.instance) != life.as_ref())
                })
            });
            let mut held = self.held.borrow_mut();
            let before = held.ranges.len();
            held.follow(ranges.iter().filter(mine));
            (stale, before != held.ranges.len())
        };
        if moved {
            self.notify_held_changed();
        }
        if stale && life.is_some() && self.lease.borrow().is_some() && !self.is_moving() {
            self.reclaim();
        }
    }

    /// Writes that what a former run owned is this one's. Renewals go on meanwhile.
    fn reclaim(self: &Rc<Self>) {
        self.spawn_key_change(async |node| {
            node.commit("keys of a former run", Node::reclaimed).await;
        });
    }

    /// Writes that this node has spans of its keys under higher tokens, which any life of the server
    /// may be granted.
    fn raise(self: &Rc<Self>, what: &'static str, spans: Vec<Span>) {
        self.spawn_key_change(async move |node| {
            node.commit(what, |node, table| node.raised(table, &spans)).await;
        });
    }

    /// The ownership records in which what former runs of nodes owned is their own again: this node's
    /// keys, and those of all nodes that are members in a later incarnation. After a loss of many nodes
    /// at once, whoever is heard first so writes for all of them.
    fn reclaimed(&self, table: &Table) -> Option<WriteBatch> {
        let own = Owner { holder: self.holder(), instance: self.server_instance()? };
        let service = self.service();
        let mut keys = table.keys.get(&service)?.clone();
        let owners: BTreeSet<Owner> = keys.ranges.iter().filter_map(|r| r.owner.clone()).collect();
        let mut changed = false;
        for owner in owners {
            if owner.holder.node == own.holder.node {
                changed |= owner != own && keys.replace_owner(&owner, &own);
            } else if let Some(successor) = successor(table, &owner) {
                changed |= keys.replace_owner(&owner, &successor);
            }
        }
        changed.then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Sends the grants that are due.
    fn send_grants(self: &Rc<Self>) {
        let Some(ends) = self.lease.borrow().as_ref().and_then(|l| l.expires_at()) else { return };
        let now = clock::now();
        let most = self.settings.borrow().bounds.max_grant;
        let Some(time) = grant_time::grant_duration(ends, now, most) else { return };
        let session = (self.platform.backend.session)();
        let (mut due, mut lost) = (Vec::new(), Vec::new());
        let mut held = self.held.borrow_mut();
        let mut number = held.grants;
        for range in &mut held.ranges {
            if range.busy || range.leaving || range.due > now {
                continue;
            }
            if *range.session.get_or_insert(session) != session {
                lost.push(range.span);
                continue;
            }
            number += 1;
            let free = grant_time::latest_expiry(now, time);
            range.busy = true;
            range.released = false;
            range.held_until = range.held_until.max(free);
            range.open.retain(|(_, until)| *until > now);
            range.open.push((number, free));
            let (span, token) = (range.span, range.token);
            due.push((
                number,
                Grant { span, token, until: free, handover: range.handover.clone() },
            ));
        }
        held.grants = number;
        drop(held);
        for (number, grant) in due {
            let (node, held) = (self.clone(), now + time.mul_f64(CLOCK_LEAD));
            tokio::task::spawn_local(async move {
                node.grant(number, grant, session, (now, held)).await;
            });
        }
        if !lost.is_empty() && !self.is_moving() {
            spdlog::info!("the backend server may have started anew", kv: { session = session.0, ranges = lost.len() });
            self.raise("keys of a server that may have started anew", lost);
        }
    }

    /// Sends a grant made at `sent`; once it is answered the server holds the keys until `held` at least.
    async fn grant(
        self: Rc<Self>,
        number: u64,
        grant: Grant,
        session: BackendSession,
        (sent, held): (Moment, Moment),
    ) {
        let (span, token) = (grant.span, grant.token);
        let granted = (self.platform.backend.grant)(grant, session, GRANT_TIMEOUT).await;
        let mut became = false;
        for range in self.held.borrow_mut().parts_of(span, token) {
            range.busy = false;
            if granted != GrantOutcome::Unknown {
                range.open.retain(|(open, _)| *open != number);
            }
            match granted {
                GrantOutcome::Accepted => {
                    let now = clock::now();
                    became = range.active.is_none_or(|until| until <= now);
                    range.active = Some(range.active.map_or(held, |known| known.max(held)));
                    range.due = sent + RENEW_INTERVAL;
                    range.handover = None;
                }
                GrantOutcome::Unknown | GrantOutcome::NotSent => range.due = clock::now(),
                GrantOutcome::StaleToken | GrantOutcome::ServerDown => {
                    range.due = clock::now() + RENEW_INTERVAL
                }
            }
        }
        match granted {
            GrantOutcome::Accepted if became => {
                spdlog::info!("the backend server holds keys", kv: { first = span.first, last = span.last, token = token.0 });
                self.notify_held_changed();
            }
            GrantOutcome::Accepted => {}
            GrantOutcome::Unknown => {
                spdlog::debug!("a grant was not answered", kv: { first = span.first, token = token.0 });
                self.grants_wake.notify_one();
            }
            GrantOutcome::StaleToken => {
                spdlog::warn!("the backend server has seen a higher token", kv: { first = span.first, token = token.0 });
                if !self.is_moving() {
                    self.raise("a higher token", vec![span]);
                }
            }
            // Sent with the next look: at once, a lack of connections would spin.
            GrantOutcome::NotSent => {
                spdlog::debug!("a grant was not sent", kv: { first = span.first, token = token.0 });
            }
            GrantOutcome::ServerDown => self.detach_server(),
        }
    }

    /// The ownership record in which this node has spans of its keys under higher tokens.
    fn raised(&self, table: &Table, spans: &[Span]) -> Option<WriteBatch> {
        let me = self.holder();
        let service = self.service();
        let to = Owner { holder: me.clone(), instance: self.server_instance()? };
        let mut keys = table.keys.get(&service)?.clone();
        let mut changed = false;
        for span in spans {
            changed |= keys.transfer(*span, Some(&me), Some(to.clone()), None);
        }
        changed.then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Nothing listens at the server's address: its process has ended, and it holds nothing.
    pub fn detach_server(&self) {
        if let Some(server) = self.server.take() {
            let id = server.report.instance.id.as_str();
            spdlog::warn!("the backend server is gone", kv: { id });
            let mut held = self.held.borrow_mut();
            held.gone_until = Moment::default();
            for range in &mut held.ranges {
                range.active = None;
                range.held_until = Moment::default();
                range.open.clear();
            }
            drop(held);
            self.notify_held_changed();
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
    }

    /// Tells those who wait for keys that what is held has changed.
    pub fn notify_held_changed(&self) {
        self.held_changed.send_modify(|count| *count += 1);
    }

    /// Tells all owners of the service's keys that the table has moved.
    pub async fn notify_owners(&self, news: &TableUpdate) {
        let me = self.name();
        let owners: BTreeSet<NodeId> = {
            let table = self.table.borrow();
            let owners = table.keys.values().flat_map(|k| k.owners());
            owners.map(|h| h.node.clone()).filter(|n| *n != me).collect()
        };
        self.send_table_update(owners, news).await;
    }

    /// Who can get keys of the service, other than `except` and this node while it leaves.
    pub fn recipients(
        &self,
        table: &Table,
        service: &crate::core::ids::ServiceName,
        except: Option<&crate::core::ids::Holder>,
    ) -> Vec<spread::Recipient> {
        let keys = table.keys.get(service);
        let fit = table.members_of(service).filter(|m| self.takes_work(m));
        let fit = fit.filter(|m| Some(&m.holder) != except && !self.is_suspect(&m.holder));
        fit.filter_map(|m| {
            let server = m.server.as_ref()?;
            let owned = keys.into_iter().flat_map(|k| k.owned_by(&m.holder));
            Some(spread::Recipient {
                owner: Owner { holder: m.holder.clone(), instance: server.instance.clone() },
                load: owned.map(|r| spread::key_count(r.span)).sum(),
                capacity: f64::from(server.slots.0.max(1)),
            })
        })
        .collect()
    }
}

/// The owner's node in a later incarnation, if it has a backend server. Only the node itself knows of a
/// later life of its server before its record does.
fn successor(table: &Table, owner: &Owner) -> Option<Owner> {
    let member = table.members.get(&owner.holder.node)?;
    let later = member.holder.inc != owner.holder.inc && member.takes_work();
    let life = member.instance().filter(|_| later)?.clone();
    Some(Owner { holder: member.holder.clone(), instance: life })
}
