//! Joining, keeping the witness set, announcements of the backend server, and leaving.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use kelpwind_wire::Announcement;

use super::Node;
use super::directory::Directory;
use crate::core::call::SliceRef;
use crate::core::codes::Code;
use crate::core::ids::{Count, Holder, ServiceName};
use crate::core::record::{Body, Member, Record};
use crate::core::state::State;
use crate::gate::backend;
use crate::gate::handler::AttachedBackend;
use crate::lease::clock;
use crate::lease::holder::Lease;
use crate::lease::message::IncarnationId;
use crate::lease::set::{self, Urgency};
use crate::util::error::{Error, Result};
use crate::util::timer::every;

/// Longest time to wait for the fate of a joining record before it is sent anew.
const JOIN_TIME: Duration = Duration::from_secs(5);
/// Time between two looks at the witness set and at what the backend server said.
const CARE_INTERVAL: Duration = Duration::from_millis(250);
/// One in so many looks replaces a set that can wait.
const SOON_ODDS: u32 = 8;
/// Silence after which a backend server that announced itself counts as gone.
const ANNOUNCED_MAX: Duration = Duration::from_secs(5);
/// Longest time that a planned stop waits for a part of it.
const STOP_STEP_TIME: Duration = Duration::from_secs(5);
/// Time that entries are given to learn of a planned stop before the gate closes.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Draws what follows from the state each time it moves: directory, lease, witness, life.
pub async fn track(node: Arc<Node>) {
    let mut moves = node.replica.subscribe();
    loop {
        moves.borrow_and_update();
        node.take_state();
        if moves.changed().await.is_err() {
            return;
        }
    }
}

/// Joins, and looks after the witness set and the backend server.
pub async fn care(node: Arc<Node>) {
    let mut timer = every(CARE_INTERVAL);
    loop {
        timer.tick().await;
        if node.is("starting") && node.log_is_up() {
            node.fire("loaded");
        }
        if node.is("joining") {
            node.join().await;
        }
        node.detach_if_silent();
        if node.is("serving") {
            node.update().await;
            change_witnesses(&node);
        }
        node.entry.prune();
        node.prune_memory();
    }
}

impl Node {
    fn take_state(&self) {
        let state = self.replica.state();
        let directory = Arc::new(Directory::of(&state, &self.me, self.addrs.advertise));
        let watching: BTreeSet<IncarnationId> = directory.watched.keys().copied().collect();
        self.witness.lock().update_members(&directory.members, &watching, clock::now());
        *self.directory.write() = directory;
        self.follow_lease(&state);
        self.show(&state);
        self.fit_limiter(&state);
    }

    fn prune_memory(&self) {
        let state = self.replica.state();
        let mine = |slice: &SliceRef| {
            state.slice(&slice.range, slice.slice).is_some_and(|slot| slot.is_held_by(&self.me))
        };
        self.gate.dedup.prune(mine);
        self.gate.inflight.prune(mine);
    }

    fn follow_lease(&self, state: &State) {
        let mut lease = self.lease.lock();
        let Some(known) = state.members.get(&self.me) else {
            if lease.take().is_some() {
                self.fire("revoked");
            }
            return;
        };
        let set = &known.member.witnesses;
        match lease.as_mut() {
            Some(lease) => lease.adopt_set(known.version, set),
            None => *lease = Some(Lease::new(self.me.clone(), known.version, set.clone())),
        }
    }

    fn show(&self, state: &State) {
        let metrics = &self.metrics;
        metrics.offset.set(state.next.0 as i64);
        metrics.revision.set(state.revision.0 as i64);
        metrics.members.set(state.members.len() as i64);
        metrics.slices.set(state.owned_by(&self.me).count() as i64);
    }

    /// The limits of the backend server: what it announced, or what its service says if less.
    fn fit_limiter(&self, state: &State) {
        let Some(attached) = self.gate.attached.read().clone() else {
            return;
        };
        let Some(spec) = state.config.service.get(attached.announcement.service.as_str()) else {
            return;
        };
        let slots = attached.announcement.slots.min(attached.announcement.conns);
        let slots = Count(slots.min(spec.slots.0).min(spec.conns.0));
        self.gate.admission.with_limiter(|l| l.configure(slots, spec.warmup));
    }

    /// What this node says of itself now.
    pub fn member(&self) -> Member {
        let attached = self.gate.attached.read().clone();
        let said = attached.map(|a| a.announcement.clone());
        let service: Option<ServiceName> = said.as_ref().and_then(|s| s.service.parse().ok());
        let number = |read: fn(&Announcement) -> u32| Count(said.as_ref().map_or(0, read));
        Member {
            holder: self.me.clone(),
            peer: self.addrs.advertise,
            admin: self.addrs.admin,
            domain: self.settings.domain.clone(),
            service,
            slots: number(|s| s.slots),
            conns: number(|s| s.conns),
            fenced: said.as_ref().is_some_and(|s| s.fenced),
            draining: *self.stop.borrow() || said.as_ref().is_some_and(|s| s.draining),
            witnesses: Vec::new(),
        }
    }

    async fn join(&self) {
        let mut member = self.member();
        let none = BTreeSet::new();
        member.witnesses = {
            let state = self.replica.state();
            set::choose(&member, state.newest_members(), &[], &none)
        };
        if let Ok(fate) = self.append(Body::Join(member), JOIN_TIME).await
            && fate.result.is_ok()
        {
            self.fire("joined");
        }
    }

    /// Tells the log when what this node says of itself has changed.
    async fn update(&self) {
        let mut said = self.member();
        {
            let state = self.replica.state();
            let Some(known) = state.members.get(&self.me) else {
                return;
            };
            said.witnesses = known.member.witnesses.clone();
            if known.member == said {
                return;
            }
        }
        said.witnesses.clear();
        let _ = self.append(Body::Update(said), JOIN_TIME).await;
    }

    /// Takes an announcement of the backend server beside this node.
    ///
    /// # Errors
    /// [`Code::BadName`] or [`Code::BadValue`] for a service or address that cannot be read.
    pub fn announced(&self, said: Announcement) -> Result<()> {
        let context = "failed to take the announcement";
        let bad = |code: Code| Error::new(code, context);
        said.service.parse::<ServiceName>().map_err(|e| bad(Code::BadName).caused_by(e))?;
        let addr = said.addr.parse().map_err(|_| {
            bad(Code::BadValue).caused_by(format!("'{}' is not an address", said.addr))
        })?;
        let before = self.gate.attached.read().clone();
        let turned_cold = said.cold && before.as_ref().is_none_or(|b| !b.announcement.cold);
        let same = before.as_ref().is_some_and(|b| b.announcement == said);
        if !same {
            let backend = backend::http(self.pool.clone(), addr);
            *self.gate.attached.write() =
                Some(Arc::new(AttachedBackend { announcement: said, backend }));
            self.fit_limiter(&self.replica.state());
        }
        if turned_cold {
            self.gate.admission.with_limiter(|l| l.start_warmup(clock::now()));
        }
        *self.gate.announced_at.lock() = Some(Instant::now());
        Ok(())
    }

    /// Forgets a backend server that has stopped announcing itself.
    pub fn detach_if_silent(&self) {
        let silent = self.gate.announced_at.lock().is_some_and(|at| at.elapsed() > ANNOUNCED_MAX);
        if silent && self.gate.attached.write().take().is_some() {
            spdlog::warn!("node {}: the backend server no longer announces itself", self.me);
        }
    }

    /// A planned stop: no new work, all slices handed over, requests in flight ended, then out.
    pub async fn leave(&self) {
        self.stop.send_replace(true);
        self.fire("stop");
        let joined = self.replica.state().members.contains_key(&self.me);
        if joined && self.log_is_up() {
            let _ = self.append(Body::Update(self.member()), STOP_STEP_TIME).await;
            let handed = tokio::time::timeout(STOP_STEP_TIME, self.hand_over_all()).await;
            if handed.is_err() {
                spdlog::warn!("node {}: stops with slices it could not hand over", self.me);
            }
        }
        tokio::time::sleep(STOP_NOTICE).await;
        self.gate.stopping.store(true, Ordering::Relaxed);
        let _ = tokio::time::timeout(STOP_STEP_TIME, self.idle()).await;
        if joined && self.log_is_up() {
            // Nothing is served any more: what is still owned becomes free with this record.
            let holder = self.me.clone();
            let _ = self.append(Body::Leave { holder }, STOP_STEP_TIME).await;
        }
        self.fire("left");
    }

    async fn idle(&self) {
        const LOOK: Duration = Duration::from_millis(10);
        while self.gate.admission.counts() != (0, 0) {
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Changes the witness set when it has lost a witness or can bear more losses. Until the fate of
/// the record is known, the lease needs a majority of both sets.
fn change_witnesses(node: &Arc<Node>) {
    if !node.log_is_up() {
        return;
    }
    let Some(record) = node.begin_change() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        while node.append_record(&record, JOIN_TIME).await.is_err() {
            if node.lease.lock().is_none() {
                return;
            }
        }
    });
}

impl Node {
    fn begin_change(&self) -> Option<Record> {
        let state = self.replica.state();
        let known = state.members.get(&self.me)?;
        let mut lease = self.lease.lock();
        let lease = lease.as_mut()?;
        if lease.pending_change().is_some() || lease.version() != known.version {
            return None;
        }
        let members = state.newest_members();
        let wanted = set::choose(&known.member, members, lease.set(), lease.refusals());
        let counts = |holder: &Holder| {
            let newest = state.members.get(holder).filter(|m| state.is_newest(m));
            let stays = newest.is_some_and(|m| !m.member.draining);
            stays && !lease.refusals().contains(&IncarnationId::from(holder.inc))
        };
        match set::urgency(lease.set(), &wanted, counts) {
            Urgency::Now => {}
            // Not all at once: each such change shifts the loads that the next one reckons with.
            Urgency::Soon if fastrand::u32(..SOON_ODDS) == 0 => {}
            _ => return None,
        }
        let body =
            Body::Witnesses { holder: self.me.clone(), base: known.version, set: wanted.clone() };
        let record = Record::new(&self.me, body);
        lease.begin_set_change(record.id, wanted);
        Some(record)
    }
}
