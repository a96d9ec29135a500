//! Renews the lease of a node whose server holds keys, maintains its witness set, and answers lease
//! messages of other nodes.
//!
//! [`crate::lease`] has the rules; this module sends and receives their messages.
//! [`super::takeover`] takes over from a holder that has stopped renewing. Only nodes that own keys
//! renew a lease, so a node whose service is not divided by key is a witness at most.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::datagram::Datagram;
use super::node::Node;
use crate::core::ids::{Count, Holder, RecordId};
use crate::core::record::{self, Peer};
use crate::lease::clock;
use crate::lease::holder::Lease;
use crate::lease::message::{IncarnationId, Message};
use crate::lease::set::{self, Urgency};
use crate::lease::witness::Role;
use crate::lease::{RENEW_INTERVAL, majority};
use crate::table::member::Member;
use crate::util::timer::every;

/// Time between two checks of the witness set.
const WITNESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the first start of an installation in which no witness set is chosen: one chosen
/// among the first few members would be replaced at once.
const FIRST_START_DELAY: Duration = Duration::from_millis(1500);
/// A replacement that is not urgent begins at one check in this many, on average.
const DEFERRED_CHANGE_ODDS: u32 = 8;

/// Renews the lease for as long as the process runs.
pub(crate) async fn renew(node: Rc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
        if !node.trusts_table() {
            continue;
        }
        let next = node.table.borrow().next;
        let renewals = match node.lease.borrow_mut().as_mut() {
            Some(lease) if !lease.set().is_empty() => lease.renew(next, clock::now()),
            _ => continue,
        };
        for (peer, message) in renewals {
            node.send_lease_message(&peer, message).await;
        }
    }
}

/// Replaces the witness set when needed, for as long as the process runs.
pub(crate) async fn maintain_witnesses(node: Rc<Node>) {
    let mut timer = every(WITNESS_CHECK_INTERVAL);
    loop {
        timer.tick().await;
        if node.settings.borrow().bootstrap && node.started.elapsed() < FIRST_START_DELAY {
            continue;
        }
        node.start_incarnation_if_refused();
        if node.is_keyed() && node.server.borrow().is_some() && node.begin_witness_change() {
            node.announce_wake.notify_one();
        }
    }
}

impl Node {
    /// Updates this node's lease and the holders that it witnesses from the table. Starts a new
    /// incarnation if this node's record is gone: its keys were taken over. Gives the lease up if a
    /// later run under the same name has joined.
    pub fn sync_lease(&self) {
        let table = self.table.borrow();
        let me = self.holder();
        match table.members.get(&me.node) {
            Some(known) if known.holder == me => {
                let mut lease = self.lease.borrow_mut();
                let fresh = || Lease::new(me.clone(), known.version, known.witnesses.clone());
                lease.get_or_insert_with(fresh).adopt_set(known.version, &known.witnesses);
            }
            Some(known) if known.holder.inc > me.inc => self.yield_to(&known.holder),
            // The record of a former run, which the next announcement of this one replaces.
            Some(_) => {}
            None if self.lease.borrow().is_some() => {
                drop(table);
                self.start_incarnation("its keys were taken over");
                return;
            }
            None => {}
        }
        let (incarnations, watched) = (table.incarnations(), table.watched_by(&me.node));
        let watching: BTreeSet<IncarnationId> = watched.keys().copied().collect();
        let mut witness = self.witness.borrow_mut();
        witness.update_members(&incarnations, &watching, clock::now());
        witness.reject(table.succeeded_owners());
    }

    /// Ends this run's lease, if it has one, because a later run under its name has joined.
    fn yield_to(&self, later: &Holder) {
        if self.lease.take().is_some() {
            let later = later.to_string();
            spdlog::warn!("a later run under this node's name has joined; this one gives up its keys", kv: { later = later.as_str() });
            self.replaced_at.set(Some(Instant::now()));
        }
    }

    /// Starts a new incarnation if a majority of witnesses will never acknowledge this one again.
    fn start_incarnation_if_refused(&self) {
        let refused = self.lease.borrow().as_ref().is_some_and(|lease| {
            let set = lease.set();
            let refused = set
                .iter()
                .filter(|p| lease.refusals().contains(&IncarnationId::from(p.holder.inc)));
            !set.is_empty() && refused.count() >= majority(set.len())
        });
        if refused {
            self.start_incarnation("its witnesses have promised its keys to others");
        }
    }

    /// Begins a change of the witness set if one is due. Returns whether it has begun one.
    fn begin_witness_change(&self) -> bool {
        let table = self.table.borrow();
        let me = self.holder();
        let Some(own) = table.member(&me) else { return false };
        let mut lease = self.lease.borrow_mut();
        let Some(lease) = lease.as_mut() else { return false };
        if lease.pending_change().is_some() || lease.version() != own.version {
            return false;
        }
        let members: Vec<record::Member> = table.members.values().map(candidate).collect();
        let wanted = set::choose(&candidate(own), members.iter(), lease.set(), lease.refusals());
        let counts = |holder: &Holder| {
            let stays = table.member(holder).is_some_and(|m| !m.stopping);
            stays && !lease.refusals().contains(&IncarnationId::from(holder.inc))
        };
        match set::urgency(lease.set(), &wanted, counts) {
            Urgency::Now => {}
            // Spread over time, since each change shifts the witness loads that the next one is
            // computed from.
            Urgency::Soon if fastrand::u32(..DEFERRED_CHANGE_ODDS) == 0 => {}
            _ => return false,
        }
        lease.begin_set_change(RecordId(fastrand::u128(..)), wanted);
        true
    }

    /// Sends a lease message to a witness or a holder. One to this node itself is handled directly.
    pub async fn send_lease_message(&self, peer: &Peer, message: Message) {
        if peer.holder.node == self.holder.borrow().node {
            if let Some(answer) = self.handle_lease_message(message) {
                self.handle_lease_message(answer);
            }
            return;
        }
        self.send_datagram(peer.addr, &Datagram::Lease(message)).await;
    }

    /// Handles a lease message and returns the answer for its sender.
    pub fn handle_lease_message(&self, message: Message) -> Option<Message> {
        let now = clock::now();
        let mine = IncarnationId::from(self.holder.borrow().inc);
        match message {
            Message::Renew { holder, witness, seq, next: _ } => {
                let (member, read) = {
                    let table = self.table.borrow();
                    (table.contains_incarnation(holder), table.next)
                };
                let mut state = self.witness.borrow_mut();
                state.record_contact(holder, now);
                // A holder whose keys were taken over is answered as well, since it learns of that
                // from the refusal.
                let known = member || state.has_promised(holder);
                let known = known && !state.has_rejected(holder) && self.trusts_table();
                (witness == mine && known).then(|| state.handle_renewal(holder, seq, read, now))
            }
            Message::Ack { holder, witness, seq, next: _ } if holder == mine => {
                if let Some(lease) = self.lease.borrow_mut().as_mut() {
                    let was_valid = lease.is_valid(now);
                    lease.record_ack(witness, seq);
                    if !was_valid && lease.is_valid(now) {
                        self.grants_wake.notify_one();
                    }
                }
                None
            }
            Message::Refuse { holder, witness } if holder == mine => {
                if let Some(lease) = self.lease.borrow_mut().as_mut() {
                    lease.record_refusal(witness);
                }
                None
            }
            Message::PromiseRequest { holder, version, witness, requester: _ } => {
                let role = self.witness_role(holder, witness)?;
                self.witness
                    .borrow_mut()
                    .handle_promise_request(holder, version, witness, role, now)
            }
            Message::Promise { holder, version, witness, remaining_ms: remaining } => {
                if let Some(takeover) = self.takeovers.borrow_mut().get_mut(&holder) {
                    let remaining = Duration::from_millis(remaining.into());
                    takeover.record_promise(version, witness, remaining, now);
                }
                None
            }
            _ => None,
        }
    }

    /// The role in which this process may answer for a listed witness: as the witness itself, or as
    /// the successor of a former run at its address. That run has ended, or this one could not have
    /// bound the address.
    fn witness_role(&self, holder: IncarnationId, listed: IncarnationId) -> Option<Role> {
        let me = self.holder();
        let watched = self.table.borrow().watched_by(&me.node);
        let set = &watched.get(&holder)?.set;
        let peer = set.iter().find(|p| IncarnationId::from(p.holder.inc) == listed)?;
        if peer.holder == me {
            return Some(Role::Listed);
        }
        let same_addr = peer.addr == self.settings.borrow().listen.peers;
        (peer.holder.node == me.node && same_addr).then_some(Role::Successor)
    }
}

/// A member in the form that [`set::choose`] takes.
fn candidate(member: &Member) -> record::Member {
    record::Member {
        holder: member.holder.clone(),
        peer: member.addr,
        admin: member.addr,
        domain: member.domain.clone(),
        service: Some(member.service.clone()),
        slots: Count(0),
        conns: Count(0),
        fenced: true,
        draining: member.stopping,
        witnesses: member.witnesses.clone(),
    }
}
