//! The lease loops: send renewals, handle the datagrams of other holders and witnesses, and take
//! over from holders that have become silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::directory::WatchedHolder;
use crate::core::ids::Offset;
use crate::core::record::{Body, Peer};
use crate::lease::clock::{self, BootInstant};
use crate::lease::message::{IncarnationId, Message};
use crate::lease::takeover::Takeover;
use crate::lease::{LEASE_DURATION, RENEW_INTERVAL, SILENCE_TIMEOUT, TAKEOVER_STAGGER};
use crate::net::datagram::{self, DATAGRAM_BYTES_MAX};
use crate::place::planner;
use crate::util::timer::every;

/// Interval at which the node checks the holders that it witnesses for silence.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit for learning whether the record of a takeover was applied; it is written again later.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Renews this node's lease. Runs until the node stops.
pub async fn renew(node: Arc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
        node.renew_once().await;
    }
}

/// Renews the grant that the backend server has from this node. Runs until the node stops.
pub async fn renew_grant(node: Arc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
        node.gate.renew_grant().await;
    }
}

/// Receives and handles datagrams. Runs until the node stops.
pub async fn receive(node: Arc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let Ok((size, _)) = node.udp.recv_from(&mut buffer).await else {
            continue;
        };
        node.count_datagram("in", size);
        if let Ok(message) = datagram::decode(&buffer[..size]) {
            node.handle_message(message).await;
        }
    }
}

/// Takes over from silent holders that this node witnesses. Runs until the node stops.
pub async fn watch_holders(node: Arc<Node>) {
    let mut timer = every(WATCH_INTERVAL);
    loop {
        timer.tick().await;
        node.detect_silent_holders();
        node.request_promises().await;
        write_ready_takeovers(&node);
    }
}

impl Node {
    /// Sends one round of renewals to the witness set.
    pub async fn renew_once(&self) {
        let next = { self.replica.state().next };
        let renewals = {
            let mut lease = self.lease.lock();
            let Some(lease) = lease.as_mut() else { return };
            lease.renew(next, clock::now())
        };
        for (peer, message) in renewals {
            self.send_to_peer(&peer, message).await;
        }
    }

    /// Sends a message to a member of a witness set; one for this node itself is handled directly.
    async fn send_to_peer(&self, peer: &Peer, message: Message) {
        if peer.addr == self.addrs.advertise {
            Box::pin(self.handle_message(message)).await;
        } else {
            self.send(peer.addr, message).await;
        }
    }

    async fn send(&self, addr: SocketAddr, message: Message) {
        let raw = datagram::encode(&message);
        self.count_datagram("out", raw.len());
        // A failed send counts as a lost datagram; the next round sends again.
        let _ = self.udp.send_to(&raw, addr).await;
    }

    fn count_datagram(&self, direction: &str, size: usize) {
        self.metrics.datagrams.with_label_values(&[direction]).inc();
        self.metrics.datagram_bytes.with_label_values(&[direction]).inc_by(size as u64);
    }

    /// Sends a message to an incarnation; one that is not a member is ignored.
    async fn reply(&self, to: IncarnationId, message: Message) {
        if to == IncarnationId::from(self.holder.inc) {
            Box::pin(self.handle_message(message)).await;
            return;
        }
        let addr = { self.directory.read().addrs.get(&to).copied() };
        if let Some(addr) = addr {
            self.send(addr, message).await;
        }
    }

    /// Records how far a member has read the log. Offsets from other senders are not trusted.
    fn record_peer_offset(&self, node: IncarnationId, next: Offset) {
        if self.directory.read().members.contains(&node) {
            self.furthest_peer.record(node, next);
        }
    }

    /// Handles one lease message and sends the reply, if there is one.
    pub async fn handle_message(&self, message: Message) {
        let now = clock::now();
        let local = IncarnationId::from(self.holder.inc);
        match message {
            Message::Renew { holder, witness, seq, next } => {
                let member = self.directory.read().members.contains(&holder);
                self.record_peer_offset(holder, next);
                let addressed = witness == local && member;
                let applied = { self.replica.state().next };
                let answer = {
                    let mut state = self.witness.lock();
                    state.record_contact(holder, now);
                    addressed.then(|| state.handle_renewal(holder, seq, applied, now))
                };
                if let Some(answer) = answer {
                    self.reply(holder, answer).await;
                }
            }
            Message::Ack { holder, witness, seq, next } if holder == local => {
                self.record_peer_offset(witness, next);
                if let Some(lease) = self.lease.lock().as_mut() {
                    lease.record_ack(witness, seq);
                }
            }
            Message::Refuse { holder, witness } if holder == local => {
                if let Some(lease) = self.lease.lock().as_mut() {
                    lease.record_refusal(witness);
                }
            }
            Message::PromiseRequest { holder, version, witness, requester } => {
                let directory = self.directory.read().clone();
                let role = directory.role(holder, witness, &self.holder, self.addrs.advertise);
                let Some(role) = role else { return };
                let promise =
                    self.witness.lock().handle_promise_request(holder, version, witness, role, now);
                if let Some(promise) = promise {
                    self.reply(requester, promise).await;
                }
            }
            Message::Promise { holder, version, witness, remaining_ms } => {
                if let Some(takeover) = self.takeovers.lock().get_mut(&holder) {
                    let remaining = Duration::from_millis(remaining_ms.into());
                    takeover.record_promise(version, witness, remaining, now);
                }
            }
            _ => {}
        }
    }

    /// Starts takeovers from holders that have been silent too long, and drops those whose holder
    /// has sent a renewal since or has changed its witness set.
    fn detect_silent_holders(&self) {
        let now = clock::now();
        let directory = self.directory.read().clone();
        let witness = self.witness.lock();
        let mut takeovers = self.takeovers.lock();
        takeovers.retain(|incarnation, t| {
            let same_version =
                directory.watched.get(incarnation).is_some_and(|w| w.version == t.version);
            same_version
                && witness.silent_for(*incarnation, now).is_some_and(|s| s >= SILENCE_TIMEOUT)
        });
        for incarnation in witness.watched() {
            let Some(watched) = directory.watched.get(&incarnation) else {
                continue;
            };
            if watched.holder == self.holder || takeovers.contains_key(&incarnation) {
                continue;
            }
            let timeout = SILENCE_TIMEOUT + TAKEOVER_STAGGER * watched.rank;
            if witness.silent_for(incarnation, now).is_some_and(|s| s >= timeout) {
                self.metrics.takeovers.inc();
                spdlog::warn!(
                    "node {}: no renewal from {} for at least {} ms, starting a takeover",
                    self.holder,
                    watched.holder,
                    timeout.as_millis()
                );
                takeovers.insert(incarnation, new_takeover(watched));
            }
        }
    }

    /// Asks the witness sets of silent holders for promises.
    async fn request_promises(&self) {
        let now = clock::now();
        let local = IncarnationId::from(self.holder.inc);
        let requests: Vec<(Peer, Message)> = {
            let mut takeovers = self.takeovers.lock();
            takeovers.values_mut().flat_map(|t| t.promise_requests(local, now)).collect()
        };
        for (peer, message) in requests {
            self.send_to_peer(&peer, message).await;
        }
    }

    /// Appends the record that revokes a silent holder and assigns its slices to the targets with
    /// the lowest load.
    async fn revoke(&self, takeover: &Takeover) {
        let moves = planner::reassign(&self.replica.state(), &takeover.holder);
        let holder = takeover.holder.clone();
        let body = Body::Revoke { holder, base: takeover.version, moves };
        if let Ok(outcome) = self.append(body, REVOKE_TIMEOUT).await
            && outcome.result.is_ok()
        {
            spdlog::warn!("node {}: revoked {}", self.holder, takeover.holder);
        }
    }
}

fn new_takeover(watched: &WatchedHolder) -> Takeover {
    Takeover::new(watched.holder.clone(), watched.version, watched.set.clone())
}

/// Appends the records of takeovers that a majority of the witnesses has promised and whose
/// earlier acknowledgements of the holder have expired.
fn write_ready_takeovers(node: &Arc<Node>) {
    let now: BootInstant = clock::now();
    let ready: Vec<Takeover> = {
        let mut takeovers = node.takeovers.lock();
        let ready = takeovers.values_mut().filter(|t| t.is_ready(now));
        ready.filter_map(|t| t.try_begin_write(now).then(|| t.clone())).collect()
    };
    for takeover in ready {
        let node = node.clone();
        tokio::spawn(async move { node.revoke(&takeover).await });
    }
}

const _: () = assert!(SILENCE_TIMEOUT.as_millis() < LEASE_DURATION.as_millis());
