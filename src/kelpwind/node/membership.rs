//! Membership of this node: joining, maintaining the witness set, announcements of the backend
//! server, and leaving.

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

/// Time limit for learning whether a membership record was applied; it is sent again later.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the witness set and the announcements of the backend server are checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// A witness set whose replacement can wait is replaced at each check with a probability of one in
/// this number.
const DEFERRED_CHANGE_ODDS: u32 = 8;
/// Time without an announcement after which the backend server counts as gone.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for each step of a planned stop.
const STOP_STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for entries to learn of a planned stop before the gate refuses new work.
const STOP_NOTICE_PERIOD: Duration = Duration::from_millis(300);

/// Updates the directory, the witness, the lease, the gauges and the limiter each time the state
/// advances. Runs until the node stops.
pub async fn track_state(node: Arc<Node>) {
    let mut next_offset = node.replica.subscribe();
    loop {
        next_offset.borrow_and_update();
        node.on_state_change();
        if next_offset.changed().await.is_err() {
            return;
        }
    }
}

/// Joins, keeps the member record and the witness set up to date, detaches a silent backend server,
/// and removes expired data. Runs until the node stops.
pub async fn maintain(node: Arc<Node>) {
    let mut timer = every(MAINTENANCE_INTERVAL);
    loop {
        timer.tick().await;
        if node.in_state("starting") && node.is_log_up() {
            node.fire("loaded");
        }
        if node.in_state("joining") {
            node.join().await;
        }
        node.detach_if_silent();
        if node.in_state("serving") {
            node.update_member().await;
            change_witnesses(&node);
        }
        node.entry.prune();
        node.prune_gate();
    }
}

impl Node {
    /// Updates everything that is derived from the state.
    fn on_state_change(&self) {
        let state = self.replica.state();
        let directory = Arc::new(Directory::build(&state, &self.holder, self.addrs.advertise));
        let watching: BTreeSet<IncarnationId> = directory.watched.keys().copied().collect();
        self.witness.lock().update_members(&directory.members, &watching, clock::now());
        *self.directory.write() = directory;
        self.update_lease(&state);
        self.update_gauges(&state);
        self.configure_limiter(&state);
    }

    /// Removes expired outcomes, and what the gate keeps for slices that this node no longer holds.
    fn prune_gate(&self) {
        let state = self.replica.state();
        let held = |slice: &SliceRef| {
            state.slice(&slice.range, slice.slice).is_some_and(|s| s.is_held_by(&self.holder))
        };
        self.gate.dedup.prune(held);
        self.gate.inflight.prune(held);
    }

    /// Creates the lease once this node is a member; drops it when the log says that it no longer
    /// is.
    fn update_lease(&self, state: &State) {
        let mut lease = self.lease.lock();
        let Some(known) = state.members.get(&self.holder) else {
            if lease.take().is_some() {
                self.fire("revoked");
            }
            return;
        };
        let set = &known.member.witnesses;
        match lease.as_mut() {
            Some(lease) => lease.adopt_set(known.version, set),
            None => *lease = Some(Lease::new(self.holder.clone(), known.version, set.clone())),
        }
    }

    fn update_gauges(&self, state: &State) {
        let metrics = &self.metrics;
        metrics.log_offset.set(state.next.0 as i64);
        metrics.config_revision.set(state.revision.0 as i64);
        metrics.members.set(state.members.len() as i64);
        metrics.slices_owned.set(state.owned_by(&self.holder).count() as i64);
    }

    /// Sets the limit of concurrent requests to the lowest of the backend server's announced slots
    /// and connections and those that its service allows.
    fn configure_limiter(&self, state: &State) {
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

    /// The member record that describes this node now, without its witnesses.
    pub fn member(&self) -> Member {
        let attached = self.gate.attached.read().clone();
        let announced = attached.map(|a| a.announcement.clone());
        let service: Option<ServiceName> = announced.as_ref().and_then(|a| a.service.parse().ok());
        let number = |read: fn(&Announcement) -> u32| Count(announced.as_ref().map_or(0, read));
        Member {
            holder: self.holder.clone(),
            peer: self.addrs.advertise,
            admin: self.addrs.admin,
            domain: self.settings.domain.clone(),
            service,
            slots: number(|a| a.slots),
            conns: number(|a| a.conns),
            fenced: announced.as_ref().is_some_and(|a| a.fenced),
            draining: *self.stopping.borrow() || announced.as_ref().is_some_and(|a| a.draining),
            witnesses: Vec::new(),
        }
    }

    /// Chooses a witness set and appends the joining record.
    async fn join(&self) {
        let mut member = self.member();
        let no_refusals = BTreeSet::new();
        member.witnesses = {
            let state = self.replica.state();
            set::choose(&member, state.newest_members(), &[], &no_refusals)
        };
        if let Ok(outcome) = self.append(Body::Join(member), RECORD_TIMEOUT).await
            && outcome.result.is_ok()
        {
            self.fire("joined");
        }
    }

    /// Appends an update if the member record in the log no longer describes this node.
    async fn update_member(&self) {
        let mut member = self.member();
        {
            let state = self.replica.state();
            let Some(known) = state.members.get(&self.holder) else {
                return;
            };
            member.witnesses = known.member.witnesses.clone();
            if known.member == member {
                return;
            }
        }
        member.witnesses.clear();
        let _ = self.append(Body::Update(member), RECORD_TIMEOUT).await;
    }

    /// Handles an announcement of the backend server beside this node: attaches the server if the
    /// announcement differs from the one before, and starts the warm-up if it reports a cold start.
    ///
    /// # Errors
    /// [`Code::BadName`] or [`Code::BadValue`] for a service or address that cannot be parsed.
    pub fn handle_announcement(&self, announcement: Announcement) -> Result<()> {
        let context = "failed to attach the announced backend server";
        let bad = |code: Code| Error::new(code, context);
        let service = announcement.service.parse::<ServiceName>();
        service.map_err(|e| bad(Code::BadName).caused_by(e))?;
        let addr = announcement.addr.parse().map_err(|_| {
            let cause = format!("'{}' is not an IP address with a port", announcement.addr);
            bad(Code::BadValue).caused_by(cause)
        })?;
        let before = self.gate.attached.read().clone();
        let turned_cold = announcement.cold && before.as_ref().is_none_or(|b| !b.announcement.cold);
        let same = before.as_ref().is_some_and(|b| b.announcement == announcement);
        if !same {
            let backend = backend::http(self.pool.clone(), addr);
            *self.gate.attached.write() = Some(Arc::new(AttachedBackend { announcement, backend }));
            self.configure_limiter(&self.replica.state());
        }
        if turned_cold {
            self.gate.admission.with_limiter(|l| l.start_warmup(clock::now()));
        }
        *self.gate.announced_at.lock() = Some(Instant::now());
        Ok(())
    }

    /// Detaches a backend server that has not announced itself for [`ANNOUNCEMENT_TIMEOUT`].
    pub fn detach_if_silent(&self) {
        let silent =
            self.gate.announced_at.lock().is_some_and(|at| at.elapsed() > ANNOUNCEMENT_TIMEOUT);
        if silent && self.gate.attached.write().take().is_some() {
            spdlog::warn!(
                "node {}: detached the backend server: no announcement for {} s",
                self.holder,
                ANNOUNCEMENT_TIMEOUT.as_secs()
            );
        }
    }

    /// Performs a planned stop: reports this node as draining, hands over all slices, refuses new
    /// work, waits for requests in flight, and appends the record by which this node leaves.
    pub async fn leave(&self) {
        self.stopping.send_replace(true);
        self.fire("stop");
        let joined = self.replica.state().members.contains_key(&self.holder);
        if joined && self.is_log_up() {
            let _ = self.append(Body::Update(self.member()), STOP_STEP_TIMEOUT).await;
            let handed = tokio::time::timeout(STOP_STEP_TIMEOUT, self.hand_over_all()).await;
            if handed.is_err() {
                spdlog::warn!(
                    "node {}: failed to hand over all slices within {} s of a planned stop",
                    self.holder,
                    STOP_STEP_TIMEOUT.as_secs()
                );
            }
        }
        tokio::time::sleep(STOP_NOTICE_PERIOD).await;
        self.gate.stopping.store(true, Ordering::Relaxed);
        let idle = tokio::time::timeout(STOP_STEP_TIMEOUT, self.wait_idle()).await.is_ok();
        if !idle {
            // Without the record, the next owners wait until the lease has expired.
            spdlog::warn!(
                "node {}: requests still run {} s after a planned stop; stopping without a record",
                self.holder,
                STOP_STEP_TIMEOUT.as_secs()
            );
        }
        if idle && joined && self.is_log_up() {
            // The gate serves nothing any more, so slices still owned may become unassigned.
            let holder = self.holder.clone();
            let _ = self.append(Body::Leave { holder }, STOP_STEP_TIMEOUT).await;
        }
        self.fire("left");
    }

    /// Waits until no request may be running at the backend server or waits for it.
    async fn wait_idle(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        while self.gate.admission.counts() != (0, 0) || !self.gate.inflight.is_idle() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Replaces the witness set if it has lost a witness or if another set tolerates more losses. Until
/// the outcome of the record is known, the lease needs a majority of both sets.
fn change_witnesses(node: &Arc<Node>) {
    if !node.is_log_up() {
        return;
    }
    let Some(record) = node.begin_set_change() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        while node.append_record(&record, RECORD_TIMEOUT).await.is_err() {
            if node.lease.lock().is_none() {
                return;
            }
        }
    });
}

impl Node {
    /// Chooses a better witness set and returns the record that asks for it; `None` if there is no
    /// better one, the replacement is deferred, or another change is pending.
    fn begin_set_change(&self) -> Option<Record> {
        let state = self.replica.state();
        let known = state.members.get(&self.holder)?;
        let mut lease = self.lease.lock();
        let lease = lease.as_mut()?;
        if lease.pending_change().is_some() || lease.version() != known.version {
            return None;
        }
        let members = state.newest_members();
        let wanted = set::choose(&known.member, members, lease.set(), lease.refusals());
        let is_usable = |holder: &Holder| {
            let newest = state.members.get(holder).filter(|m| state.is_newest(m));
            let active = newest.is_some_and(|m| !m.member.draining);
            active && !lease.refusals().contains(&IncarnationId::from(holder.inc))
        };
        match set::urgency(lease.set(), &wanted, is_usable) {
            Urgency::Now => {}
            // Nodes must not all change at once: each change shifts the loads that the next choice
            // is based on.
            Urgency::Soon if fastrand::u32(..DEFERRED_CHANGE_ODDS) == 0 => {}
            _ => return None,
        }
        let body = Body::Witnesses {
            holder: self.holder.clone(),
            base: known.version,
            set: wanted.clone(),
        };
        let record = Record::new(&self.holder, body);
        lease.begin_set_change(record.id, wanted);
        Some(record)
    }
}
