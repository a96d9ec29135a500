//! The lease of a node whose server holds keys: renewals and witnesses.
//!
//! The rules stand in [`crate::lease`]; this file carries their messages. [`super::takeover`] takes over
//! from a holder that has fallen silent. Only nodes that own keys renew, so a node whose service is not
//! divided is a witness at most.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

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

/// Time between two looks at the witness set.
const CARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the first start of an installation in which nodes only gather: a witness set chosen
/// among the first few would be replaced at once.
const FIRST_GATHER: Duration = Duration::from_millis(1500);
/// One in so many looks replaces a set that can wait.
const SOON_ODDS: u32 = 8;

/// Renews the lease for as long as the process runs.
pub(crate) async fn renew(node: Rc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
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

/// Looks after the witness set for as long as the process runs.
pub(crate) async fn maintain_witnesses(node: Rc<Node>) {
    let mut timer = every(CARE_INTERVAL);
    loop {
        timer.tick().await;
        if node.settings.borrow().bootstrap && node.started.elapsed() < FIRST_GATHER {
            continue;
        }
        node.give_up_if_refused();
        if node.is_keyed() && node.server.borrow().is_some() && node.begin_change() {
            node.announce_wake.notify_one();
        }
    }
}

impl Node {
    /// Takes the table as it is now: the own lease, and the holders that this node witnesses.
    pub fn sync_lease(&self) {
        let table = self.table.borrow();
        let me = self.holder();
        match table.members.get(&me.node) {
            Some(known) if known.holder == me => {
                let mut lease = self.lease.borrow_mut();
                let fresh = || Lease::new(me.clone(), known.version, known.witnesses.clone());
                lease.get_or_insert_with(fresh).adopt_set(known.version, &known.witnesses);
            }
            // A record under the same name that is not this run's was written late; it is
            // replaced when this node announces itself again.
            Some(_) => {}
            None if self.lease.borrow().is_some() => {
                drop(table);
                self.start_incarnation("its keys were taken over");
                return;
            }
            None => {}
        }
        let (tags, watched) = (table.incarnations(), table.watched_by(&me.node));
        let watching: BTreeSet<IncarnationId> = watched.keys().copied().collect();
        self.witness.borrow_mut().update_members(&tags, &watching, clock::now());
    }

    /// A majority of witnesses will never acknowledge this incarnation again.
    fn give_up_if_refused(&self) {
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

    /// Begins a change of the witness set if one is due.
    fn begin_change(&self) -> bool {
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
            // Not all at once: each such change shifts the loads that the next one reckons with.
            Urgency::Soon if fastrand::u32(..SOON_ODDS) == 0 => {}
            _ => return false,
        }
        lease.begin_set_change(RecordId(fastrand::u128(..)), wanted);
        true
    }

    /// Sends a message to a witness or a holder, which may be this node.
    pub async fn send_lease_message(&self, peer: &Peer, message: Message) {
        if peer.holder.node == self.holder.borrow().node {
            if let Some(answer) = self.handle_lease_message(message) {
                self.handle_lease_message(answer);
            }
            return;
        }
        self.send_datagram(peer.addr, &Datagram::Lease(message)).await;
    }

    /// Takes one message, and returns the answer to whoever sent it.
    pub fn handle_lease_message(&self, message: Message) -> Option<Message> {
        let now = clock::now();
        let mine = IncarnationId::from(self.holder.borrow().inc);
        match message {
            Message::Renew { holder, witness, seq, next: _ } => {
                let (member, read) = {
                    let table = self.table.borrow();
                    (table.contains_incarnation(holder), table.next)
                };
                let mut memory = self.witness.borrow_mut();
                memory.record_contact(holder, now);
                // A holder whose keys were taken over learns so from the refusals.
                let known = member || memory.has_promised(holder);
                (witness == mine && known).then(|| memory.handle_renewal(holder, seq, read, now))
            }
            Message::Ack { holder, witness, seq, next: _ } if holder == mine => {
                if let Some(lease) = self.lease.borrow_mut().as_mut() {
                    let held = lease.is_valid(now);
                    lease.record_ack(witness, seq);
                    if !held && lease.is_valid(now) {
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
                let role = self.role(holder, witness)?;
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

    /// In which role this process may answer for a listed witness: for itself, or for a former run
    /// at its address, which is dead since this one could bind it.
    fn role(&self, holder: IncarnationId, listed: IncarnationId) -> Option<Role> {
        let me = self.holder();
        let watched = self.table.borrow().watched_by(&me.node);
        let set = &watched.get(&holder)?.set;
        let peer = set.iter().find(|p| IncarnationId::from(p.holder.inc) == listed)?;
        if peer.holder == me {
            return Some(Role::Listed);
        }
        let same_place = peer.addr == self.settings.borrow().listen.peers;
        (peer.holder.node == me.node && same_place).then_some(Role::Successor)
    }
}

/// A member as the choice of witnesses sees it.
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
