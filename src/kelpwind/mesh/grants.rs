//! Grants keys to the backend server and renews the grants, by calls or, as [`super::report_grants`]
//! says, in the answers to its reports.
//!
//! The table says which keys this node owns. The server is granted them for short times that end
//! before the node's lease does ([`crate::gate::grant_time`]). [`super::held_ranges`] tracks the
//! grants, and [`super::moves`] moves keys to other owners.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::datagram::TableUpdate;
use super::holds::GrantNumber;
use super::metrics::ServerChange;
use super::node::Node;
use super::platform_api::{BackendSession, Grant, GrantOutcome, ServerRef};
use crate::core::ids::NodeId;
use crate::gate::grant_time;
use crate::lease::clock::{self, BootInstant};
use crate::place::spread;
use crate::table::keys::{Owner, Range, Span};
use crate::table::member::Instance;
use crate::table::{Table, WriteBatch};

/// Time after which a grant without an answer is sent again, over another connection to the same
/// process. The server runs on the same host and answers within milliseconds, but a host with too
/// much to do may take a tenth of a second. After it, a lease leaves time for two more grants.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest pause between two checks for due grants and moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Renews grants and starts due moves for as long as the process runs.
pub(crate) async fn maintain_grants(node: Rc<Node>) {
    loop {
        let idle = !node.is_keyed() || node.table_position.borrow().is_none();
        if idle {
            node.grants_wake.notified().await;
            continue;
        }
        node.sync_held_ranges();
        // Planned moves need not wait for a report of a server that is gone or granted keys by calls.
        if !node.must_await_report() {
            node.begin_planned_moves();
        }
        if !node.grants_in_reports() {
            node.send_grants();
        }
        node.start_due_moves();
        node.keys_checked.notify_waiters();
        let next = node.held.borrow().next_due().map(|due| due.since(clock::now()));
        let pause = next.filter(|p| !p.is_zero()).map_or(CHECK_INTERVAL, |p| p.min(CHECK_INTERVAL));
        // A timeout is the usual case: the next check is due.
        let _ = timeout(pause, node.grants_wake.notified()).await;
    }
}

impl Node {
    /// Adopts this node's ranges from the table. Ranges that the table still assigns to a former
    /// run of this node, or to a former instance of its server, are reclaimed once no other process
    /// can hold them: the owner in the table tells the next run of this node who was granted them.
    pub fn sync_held_ranges(self: &Rc<Self>) {
        let (me, instance) = (self.holder(), self.server_instance());
        let service = self.service();
        let stale = self.former_ranges().iter().any(|span| !self.is_held_elsewhere(*span));
        let changed = {
            let table = self.table.borrow();
            let ranges = table.keys.get(&service).map_or(&[][..], |k| &k.ranges);
            let own = |r: &&Range| {
                r.owner
                    .as_ref()
                    .is_some_and(|o| o.holder == me && Some(&o.instance) == instance.as_ref())
            };
            let mut held = self.held.borrow_mut();
            let before = held.ranges.len();
            held.sync(ranges.iter().filter(own));
            before != held.ranges.len()
        };
        if changed {
            self.notify_held_changed();
        }
        // Without witnesses nobody could take over from this node.
        let witnessed = self.lease.borrow().as_ref().is_some_and(|l| !l.set().is_empty());
        if stale && instance.is_some() && witnessed && !self.is_changing_keys() {
            self.reclaim();
        }
    }

    /// Spans that the table still assigns to a former run of this node, or to a former instance of its
    /// server.
    fn former_ranges(&self) -> Vec<Span> {
        let (me, instance) = (self.holder(), self.server_instance());
        let table = self.table.borrow();
        let keys = table.keys.get(&self.service());
        let former = |o: &Owner| {
            o.holder.node == me.node && (o.holder != me || Some(&o.instance) != instance.as_ref())
        };
        let ranges = keys.into_iter().flat_map(|k| &k.ranges);
        ranges.filter(|r| r.owner.as_ref().is_some_and(former)).map(|r| r.span).collect()
    }

    /// Whether the table still assigns keys to a former run of this node, or to a former instance of
    /// its server.
    pub fn has_former_keys(&self) -> bool {
        !self.former_ranges().is_empty()
    }

    /// Whether another process than that of the current session may hold any key of a span.
    fn is_held_elsewhere(&self, span: Span) -> bool {
        let session = self.grant_session();
        self.held.borrow().holds.until_elsewhere(span, session) > clock::now()
    }

    /// Writes that keys of former runs belong to the present ones. Renewals continue meanwhile.
    fn reclaim(self: &Rc<Self>) {
        let held_ms = self.held.borrow().remaining_hold(clock::now()).as_millis() as u64;
        let up_ms = self.started.elapsed().as_millis() as u64;
        spdlog::info!("keys of a former run or server are reclaimed", kv: { up_ms, held_ms });
        self.spawn_key_change(async |node| {
            node.commit("keys of a former run", Node::reclaimed_keys).await;
        });
    }

    /// Assigns higher tokens to spans of this node's keys, under which any instance of the server
    /// may be granted them.
    pub fn raise_tokens(self: &Rc<Self>, what: &'static str, spans: Vec<Span>) {
        let instance = self.server_instance();
        self.spawn_key_change(async move |node| {
            node.commit(what, |node, table| {
                let same = node.server_instance() == instance;
                same.then(|| node.keys_with_raised_tokens(table, &spans)).flatten()
            })
            .await;
        });
    }

    /// The ownership record that returns keys of former runs to the nodes that owned them: this
    /// node, and all nodes that are members in a later incarnation. After many nodes are lost at
    /// once, the first record appended reclaims the keys of all that are back by then.
    fn reclaimed_keys(&self, table: &Table) -> Option<WriteBatch> {
        let own = Owner { holder: self.holder(), instance: self.server_instance()? };
        let service = self.service();
        let mut keys = table.keys.get(&service)?.clone();
        let owners: BTreeSet<Owner> = keys.ranges.iter().filter_map(|r| r.owner.clone()).collect();
        let mut changed = false;
        for owner in owners {
            if owner.holder.node == own.holder.node {
                let former = own.holder.continues(&owner.holder) && owner != own;
                let free = |span| !self.is_held_elsewhere(span);
                changed |= former && keys.replace_owner_if(&owner, &own, free);
            } else if let Some(successor) = successor(table, &owner) {
                changed |= keys.replace_owner(&owner, &successor);
            }
        }
        changed.then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// The backend server that is attached; `None` while there is none, or its service is unknown.
    pub fn server_ref(&self) -> Option<Rc<ServerRef>> {
        let id = self.server_instance()?.id;
        Some(Rc::new(ServerRef { id, health_path: self.health_path()? }))
    }

    /// When grants that are made at `now` must have ended: the end of the lease, and the excess that
    /// this node's record tells others. `None` without a valid lease.
    pub fn grants_end(&self, now: BootInstant) -> Option<BootInstant> {
        if !self.may_grant() {
            return None;
        }
        let lease_end = self.lease.borrow().as_ref().filter(|l| l.is_valid(now))?.expires_at()?;
        Some(lease_end + self.announced_excess())
    }

    /// Sends the grants that are due.
    fn send_grants(self: &Rc<Self>) {
        let now = clock::now();
        let Some(ends) = self.grants_end(now) else { return };
        let longest = self.settings.borrow().bounds.max_grant;
        let transit = self.transit_times.borrow_mut().allowance(now);
        let Some(time) = grant_time::grant_duration(ends, now, longest, transit) else { return };
        let Some(server) = self.server_ref() else { return };
        let session = self.grant_session();
        let mut due = Vec::new();
        let mut held = self.held.borrow_mut();
        let (selected, former) = held.select(session, now, false);
        for i in selected {
            let until = grant_time::latest_expiry(now, time, transit);
            let range = &held.ranges[i];
            let (span, token, handover) = (range.span, range.token, range.handover.clone());
            let grant = Grant { server: server.clone(), span, token, until, transit, handover };
            due.push((held.begin_grant(i, session, until), grant));
        }
        drop(held);
        for (number, grant) in due {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.send_grant(number, grant, session, (now, time)).await;
            });
        }
        self.renew_former_tokens(session, former);
    }

    /// Assigns higher tokens to spans that were granted in a session before `session`.
    pub fn renew_former_tokens(self: &Rc<Self>, session: BackendSession, former: Vec<Span>) {
        if !former.is_empty() && !self.is_changing_keys() {
            spdlog::info!("the backend server may have started anew", kv: { session = session.0, ranges = former.len() });
            self.raise_tokens("keys of a server that may have restarted", former);
        }
    }

    /// Sends a grant that was made at `made` for `time`. Once the server confirms it, the server
    /// certainly holds the keys for nearly that time from then on.
    async fn send_grant(
        self: Rc<Self>,
        number: GrantNumber,
        grant: Grant,
        session: BackendSession,
        (made, time): (BootInstant, Duration),
    ) {
        let (span, token) = (grant.span, grant.token);
        let result = (self.platform.backend.grant)(grant, session, GRANT_TIMEOUT).await;
        let (granted, now) = (result.outcome, clock::now());
        self.metrics.count_grant(granted, result.took);
        // A longer time is due to a pause of this node and does not apply to the next grants.
        self.transit_times.borrow_mut().record(result.took.min(GRANT_TIMEOUT), now);
        let newly_active = {
            let mut held = self.held.borrow_mut();
            if granted == GrantOutcome::Accepted {
                // It took effect before its answer, but perhaps not long before.
                held.holds.extend(number, grant_time::latest_expiry(now, time, Duration::ZERO));
            }
            held.end_grant(number, granted, made, grant_time::certain_until(made, time))
        };
        match granted {
            GrantOutcome::Accepted if newly_active => {
                let instance = self.server_instance();
                let id = instance.as_ref().map_or("", |i| i.id.as_str());
                spdlog::info!("the backend server holds keys", kv: {
                    id, session = session.0, first = span.first, last = span.last, token = token.0
                });
                self.notify_held_changed();
            }
            GrantOutcome::Accepted => {}
            GrantOutcome::Unknown => {
                spdlog::debug!("the backend server did not answer a grant", kv: { first = span.first, token = token.0 });
                self.grants_wake.notify_one();
            }
            GrantOutcome::StaleToken => {
                spdlog::warn!("the backend server rejected a grant: it has seen a higher token", kv: { first = span.first, token = token.0 });
                if !self.is_changing_keys() {
                    self.raise_tokens("a higher token", vec![span]);
                }
            }
            // Retried at the next check. Retrying at once would spin while no connection is free.
            GrantOutcome::NotSent => {
                spdlog::debug!("failed to send a grant to the backend server", kv: { first = span.first, token = token.0 });
            }
            GrantOutcome::Unreachable => self.detach_unreachable_server(),
        }
    }

    /// The ownership record that assigns higher tokens to spans of this node's keys.
    fn keys_with_raised_tokens(&self, table: &Table, spans: &[Span]) -> Option<WriteBatch> {
        let me = self.holder();
        let service = self.service();
        let owner = Owner { holder: me.clone(), instance: self.server_instance()? };
        let mut keys = table.keys.get(&service)?.clone();
        let mut changed = false;
        for span in spans {
            changed |= keys.transfer(*span, Some(&me), Some(owner.clone()), None);
        }
        changed.then(|| WriteBatch::put_keys(table, &service, &keys))
    }

    /// Detaches the backend server, because nothing listens at its address. It may go on with its
    /// work, so its keys stay with it until its grants expire.
    pub fn detach_unreachable_server(&self) {
        if let Some(server) = self.server.take() {
            self.record_server_change(ServerChange::Refused, &server.report.instance);
            self.unreachable_server.replace(Some(server.report.instance));
            self.notify_held_changed();
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
    }

    /// Logs keys that this node owns and the backend server does not hold, with what their next grant
    /// waits for.
    pub fn log_ungranted_keys(&self) {
        let now = clock::now();
        let held = self.held.borrow();
        let Some(range) = held.ungranted(now).filter(|_| self.server.borrow().is_some()) else {
            return;
        };
        let ends = self.lease.borrow().as_ref().and_then(|l| l.expires_at());
        let lease_ms = ends.map_or(0, |at| at.since(now).as_millis() as u64);
        let witnesses = self.lease.borrow().as_ref().map_or(0, |l| l.set().len());
        let session = self.grant_session();
        let elsewhere = held.holds.until_elsewhere(range.span, session).since(now);
        spdlog::info!("the backend server does not hold keys that this node owns", kv: {
            first = range.span.first, last = range.span.last, token = range.token.0, lease_ms,
            witnesses, session = session.0, granted = range.session.map_or(-1, |s| s.0 as i64),
            sending = range.in_flight.is_some(), due_ms = range.due.since(now).as_millis() as u64,
            held_ms = elsewhere.as_millis() as u64, changing = held.changing
        });
    }

    /// Counts and logs a change of the backend server, with the time for which a server beside this
    /// node may still hold keys.
    pub fn record_server_change(&self, change: ServerChange, instance: &Instance) {
        self.metrics.count_server_change(change);
        let held_ms = self.held.borrow().remaining_hold(clock::now()).as_millis() as u64;
        let (id, born) = (instance.id.as_str(), instance.started_ms);
        spdlog::info!("the backend server was attached, replaced or detached", kv: {
            change = change.label(), id, born, held_ms
        });
    }

    /// Wakes the tasks that wait for keys to be granted or given up.
    pub fn notify_held_changed(&self) {
        self.held_changed.send_modify(|count| *count += 1);
    }

    /// Sends a table update to all other owners of keys.
    pub async fn notify_owners(&self, update: &TableUpdate) {
        let me = self.name();
        let owners: BTreeSet<NodeId> = {
            let table = self.table.borrow();
            let owners = table.keys.values().flat_map(|k| k.owners());
            owners.map(|h| h.node.clone()).filter(|n| *n != me).collect()
        };
        self.send_table_update(owners, update).await;
    }

    /// Members that can receive keys of the service: those that take work, have witnesses and are not
    /// suspected to be unreachable. `except` is left out, and so is this node while it leaves.
    pub fn recipients(
        &self,
        table: &Table,
        service: &crate::core::ids::ServiceName,
        except: Option<&crate::core::ids::Holder>,
    ) -> Vec<spread::Recipient> {
        let keys = table.keys.get(service);
        let eligible =
            table.members_of(service).filter(|m| self.takes_work(m) && m.has_witnesses());
        let eligible =
            eligible.filter(|m| Some(&m.holder) != except && !self.is_suspect(&m.holder));
        eligible
            .filter_map(|m| {
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

/// The owner's node in a later incarnation, if that has the same instance of the backend server,
/// which takes work, and witnesses that can take over from it. Only the node itself knows when a
/// former instance can no longer hold the keys.
fn successor(table: &Table, owner: &Owner) -> Option<Owner> {
    let member = table.members.get(&owner.holder.node)?;
    let later = table.is_succeeded(&owner.holder);
    let can_own = member.takes_work() && member.has_witnesses();
    let same = |i: &&Instance| **i == owner.instance;
    let instance = member.instance().filter(same).filter(|_| later && can_own)?.clone();
    Some(Owner { holder: member.holder.clone(), instance })
}
