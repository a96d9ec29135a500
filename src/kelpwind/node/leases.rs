//! The lease loop: sends renewals, answers other holders' datagrams, and takes over from silent
//! ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::directory::Watched;
use crate::core::ids::Offset;
use crate::core::record::{Body, Peer};
use crate::lease::clock::{self, Moment};
use crate::lease::message::{IncarnationId, Message};
use crate::lease::takeover::Takeover;
use crate::lease::{LEASE_DURATION, RENEW_INTERVAL, SILENCE_TIMEOUT, TAKEOVER_STAGGER};
use crate::net::datagram::{self, DATAGRAM_BYTES_MAX};
use crate::place::planner;
use crate::util::timer::every;

/// Time between two looks at the holders that this node witnesses.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time to wait for the fate of a takeover's record before it is sent anew.
const REVOKE_TIME: Duration = Duration::from_secs(2);

/// Renews this node's lease for as long as the process runs.
pub async fn renew(node: Arc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
        node.renew_once().await;
    }
}

/// Tells the backend server of the lease for as long as the process runs.
pub async fn renew_grant(node: Arc<Node>) {
    let mut timer = every(RENEW_INTERVAL);
    loop {
        timer.tick().await;
        node.gate.renew_grant().await;
    }
}

/// Receives datagrams for as long as the process runs.
pub async fn receive(node: Arc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let Ok((size, _)) = node.udp.recv_from(&mut buffer).await else {
            continue;
        };
        node.count_datagram("in", size);
        if let Ok(message) = datagram::decode(&buffer[..size]) {
            node.answer(message).await;
        }
    }
}

/// Looks for silent holders for as long as the process runs.
pub async fn watch(node: Arc<Node>) {
    let mut timer = every(WATCH_INTERVAL);
    loop {
        timer.tick().await;
        node.look_for_silence();
        node.ask_for_promises().await;
        finish_takeovers(&node);
    }
}

impl Node {
    /// Sends one round of renewals. A witness in this very process is told without a datagram.
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

    async fn send_to_peer(&self, peer: &Peer, message: Message) {
        if peer.addr == self.addrs.advertise {
            Box::pin(self.answer(message)).await;
        } else {
            self.send(peer.addr, message).await;
        }
    }

    async fn send(&self, addr: SocketAddr, message: Message) {
        let raw = datagram::encode(&message);
        self.count_datagram("out", raw.len());
        // A datagram that cannot be sent is as good as lost; the next round makes up for it.
        let _ = self.udp.send_to(&raw, addr).await;
    }

    fn count_datagram(&self, direction: &str, size: usize) {
        self.metrics.datagrams.with_label_values(&[direction]).inc();
        self.metrics.datagram_bytes.with_label_values(&[direction]).inc_by(size as u64);
    }

    async fn reply(&self, to: IncarnationId, message: Message) {
        if to == IncarnationId::from(self.me.inc) {
            Box::pin(self.answer(message)).await;
            return;
        }
        let addr = { self.directory.read().addrs.get(&to).copied() };
        if let Some(addr) = addr {
            self.send(addr, message).await;
        }
    }

    /// Notes how far a member has read the log; others could send anything.
    fn note_ahead(&self, node: IncarnationId, next: Offset) {
        if self.directory.read().members.contains(&node) {
            self.ahead.note(node, next);
        }
    }

    /// Takes one message.
    pub async fn answer(&self, message: Message) {
        let now = clock::now();
        let mine = IncarnationId::from(self.me.inc);
        match message {
            Message::Renew { holder, witness, seq, next } => {
                let member = self.directory.read().members.contains(&holder);
                self.note_ahead(holder, next);
                let meant = witness == mine && member;
                let read = { self.replica.state().next };
                let answer = {
                    let mut memory = self.witness.lock();
                    memory.record_contact(holder, now);
                    meant.then(|| memory.handle_renewal(holder, seq, read, now))
                };
                if let Some(answer) = answer {
                    self.reply(holder, answer).await;
                }
            }
            Message::Ack { holder, witness, seq, next } if holder == mine => {
                self.note_ahead(witness, next);
                if let Some(lease) = self.lease.lock().as_mut() {
                    lease.record_ack(witness, seq);
                }
            }
            Message::Refuse { holder, witness } if holder == mine => {
                if let Some(lease) = self.lease.lock().as_mut() {
                    lease.record_refusal(witness);
                }
            }
            Message::PromiseRequest { holder, version, witness, requester: asker } => {
                let directory = self.directory.read().clone();
                let role = directory.role(holder, witness, &self.me, self.addrs.advertise);
                let Some(role) = role else { return };
                let promise =
                    self.witness.lock().handle_promise_request(holder, version, witness, role, now);
                if let Some(promise) = promise {
                    self.reply(asker, promise).await;
                }
            }
            Message::Promise { holder, version, witness, remaining_ms: remaining } => {
                if let Some(takeover) = self.takeovers.lock().get_mut(&holder) {
                    let remaining = Duration::from_millis(remaining.into());
                    takeover.record_promise(version, witness, remaining, now);
                }
            }
            _ => {}
        }
    }

    /// Starts takeovers from holders that have been silent, and ends those whose holder is back.
    fn look_for_silence(&self) {
        let now = clock::now();
        let directory = self.directory.read().clone();
        let witness = self.witness.lock();
        let mut takeovers = self.takeovers.lock();
        takeovers.retain(|tag, t| {
            let same = directory.watched.get(tag).is_some_and(|w| w.version == t.version);
            same && witness.silent_for(*tag, now).is_some_and(|s| s >= SILENCE_TIMEOUT)
        });
        for tag in witness.watched() {
            let Some(watched) = directory.watched.get(&tag) else {
                continue;
            };
            if watched.holder == self.me || takeovers.contains_key(&tag) {
                continue;
            }
            let patience = SILENCE_TIMEOUT + TAKEOVER_STAGGER * watched.rank;
            if witness.silent_for(tag, now).is_some_and(|s| s >= patience) {
                self.metrics.takeovers.inc();
                spdlog::warn!(
                    "node {}: {} is silent, asking its witnesses",
                    self.me,
                    watched.holder
                );
                takeovers.insert(tag, start(watched));
            }
        }
    }

    async fn ask_for_promises(&self) {
        let now = clock::now();
        let mine = IncarnationId::from(self.me.inc);
        let questions: Vec<(Peer, Message)> = {
            let mut takeovers = self.takeovers.lock();
            takeovers.values_mut().flat_map(|t| t.promise_requests(mine, now)).collect()
        };
        for (peer, message) in questions {
            self.send_to_peer(&peer, message).await;
        }
    }

    /// Appends the record of a takeover. The lost holder's slices go to those that bear most.
    async fn revoke(&self, takeover: &Takeover) {
        let moves = planner::reassign(&self.replica.state(), &takeover.holder);
        let holder = takeover.holder.clone();
        let body = Body::Revoke { holder, base: takeover.version, moves };
        if let Ok(fate) = self.append(body, REVOKE_TIME).await
            && fate.result.is_ok()
        {
            spdlog::warn!("node {}: {} is revoked", self.me, takeover.holder);
        }
    }
}

fn start(watched: &Watched) -> Takeover {
    Takeover::new(watched.holder.clone(), watched.version, watched.set.clone())
}

fn finish_takeovers(node: &Arc<Node>) {
    let now: Moment = clock::now();
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
