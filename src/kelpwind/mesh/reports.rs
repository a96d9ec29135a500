//! Membership: the backend server's reports, and the node's record in the table that follows from
//! them.
//!
//! Reports may arrive late, twice, from a previous instance of the server, or from another server.
//! Only a newer report of the current instance, or one of a later instance, has an effect.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::time::{sleep, timeout};

use super::datagram::TableUpdate;
use super::gate::DRAIN_GRACE;
use super::metrics::ServerChange;
use super::node::{BackendStatus, Node};
use super::platform_api::{Departure, Health, KeyAssignment, ServerMessage, ServerReport};
use super::reattach;
use super::report_exchanges::ConnectionId;
use super::statements::{Change, Source};
use crate::core::ids::Position;
use crate::core::routes::{GrantMode, Route};
use crate::gate::grant_time;
use crate::table::WriteBatch;
use crate::table::member::{Instance, Member};

/// Longest time by which a server's clock may be ahead. A later start would outrank all that follow.
const CLOCK_AHEAD_MAX: Duration = Duration::from_secs(3600);
/// Silence after which the backend server counts as gone. Reports come about every second, and may
/// be seconds late.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Age that a report may have when it arrives. Reports may be seconds late.
const LATE_REPORT_MAX: Duration = Duration::from_secs(10);
/// Interval at which the age of the last report is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a health check, which waits for a slot of the server.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a server that has not answered a health check is asked again.
const HEALTH_RETRY: Duration = Duration::from_millis(100);
/// Pause before a record is written, so that several changes go into one record.
const COALESCE_PAUSE: Duration = Duration::from_millis(15);
/// Average pause after a failed write; the actual one is drawn between half and one and a half of
/// it.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a node leaves its name to a later run. By then the grants of both have expired.
const REJOIN_PAUSE: Duration = Duration::from_secs(5);
/// Time that the first start of a whole installation takes at most.
const START_TIME: Duration = Duration::from_secs(20);
/// Longest wait for the configuration before the node's first record is written, which tells for how
/// long its grants may outlast its lease.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Longest wait until a written record can be read back from the store.
const ECHO_TIMEOUT: Duration = Duration::from_secs(2);

impl Node {
    /// Handles a call of the backend server. Returns the keys that the answer assigns, if any.
    pub async fn handle_message(
        self: &Rc<Self>,
        message: ServerMessage,
        conn: ConnectionId,
    ) -> Option<KeyAssignment> {
        match message {
            ServerMessage::Report(report) => self.answer_report(report, conn).await,
            ServerMessage::Leaving(departure) => {
                self.handle_departure(departure);
                None
            }
        }
    }

    /// Applies a report. Returns false if it has no effect, because it is outdated or of another
    /// server, or because nothing listens at the server's address.
    pub fn handle_report(self: &Rc<Self>, report: ServerReport) -> bool {
        let (service, domain) = {
            let settings = self.settings.borrow();
            (settings.service.clone(), settings.domain.clone())
        };
        if report.service != service || report.domain != domain {
            let (id, reported) = (report.instance.id.as_str(), report.service.as_str());
            spdlog::warn!("ignored a report of another service or failure domain", kv: { id, told = reported });
            return false;
        }
        let ahead = report.instance.started_ms.saturating_sub(unix_ms());
        if ahead > CLOCK_AHEAD_MAX.as_millis() as u64 {
            let (id, born) = (report.instance.id.as_str(), report.instance.started_ms);
            spdlog::warn!("ignored a report of a server that starts in the future", kv: { id, born });
            return false;
        }
        let before = self.server.borrow().clone();
        let same = before.as_ref().is_some_and(|b| b.report.instance == report.instance);
        if let Some(before) = &before {
            let known = &before.report;
            let stale = if same {
                report.number <= known.number
            } else {
                report.instance.started_ms < known.instance.started_ms
            };
            if stale {
                return false;
            }
        }
        if self.unreachable_server.borrow().as_ref() == Some(&report.instance) {
            self.reconnect(report);
            return false;
        }
        if before.is_none() && self.must_verify(&report) {
            self.verify(report);
            return false;
        }
        let is_leaving = || self.statements.borrow().leaving_since(&report.instance).is_some();
        let was_leaving = is_leaving();
        if report.draining {
            self.record_leaving(&report.instance, Instant::now(), Source::Report);
        }
        let draining = is_leaving();
        let changed = !same
            || draining != was_leaving
            || before.is_none_or(|b| b.report.slots != report.slots);
        if changed {
            let (id, born) = (report.instance.id.as_str(), report.instance.started_ms);
            spdlog::info!("the backend server's state changed", kv: {
                id, born, draining, slots = report.slots.0, number = report.number
            });
        }
        if !same {
            let replaced = self.server.borrow().is_some();
            let change = if replaced { ServerChange::Replaced } else { ServerChange::Attached };
            self.record_server_change(change, &report.instance);
        }
        self.apply_report(report, same);
        if changed {
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
        true
    }

    /// Stores the backend server's latest report, and applies its slots and its cold start to the
    /// queue. `same` says that the reporting instance is the current one.
    pub fn apply_report(self: &Rc<Self>, report: ServerReport, same: bool) {
        let received = Instant::now();
        let cold_until = (!report.cold_left.is_zero()).then(|| received + report.cold_left);
        let mut queue = self.queue.borrow_mut();
        queue.resize(report.slots.0);
        match cold_until {
            Some(until) => queue.cold_start.set_until(Some(until)),
            None if !same => queue.cold_start.set_until(None),
            None => {}
        }
        drop(queue);
        let instance = report.instance.clone();
        let attached = !same;
        let last = self.last_instance.replace(Some(instance.clone()));
        if let Some(last) = last.filter(|last| *last != instance) {
            self.record_server_exit(&last);
            // The connection for grants may lead to the former instance.
            (self.platform.backend.end_session)();
            self.report_exchanges.borrow_mut().begin_session();
        }
        self.server.replace(Some(BackendStatus { report, received }));
        if attached {
            self.apply_statement(Change::ALL);
        }
    }

    /// Whether a server has to be asked for its state before a report attaches it: it has reported to
    /// a former run of this node, which it may have told that it leaves, and this report may have been
    /// sent before that.
    fn must_verify(&self, report: &ServerReport) -> bool {
        let instance = Some(&report.instance);
        let starting = self.settings.borrow().bootstrap && self.started.elapsed() < START_TIME;
        // The first report of a server that has left since may be late, too.
        let may_be_late = report.number > 1 || self.started.elapsed() < LATE_REPORT_MAX;
        may_be_late
            && !report.draining
            && !starting
            && self.last_instance.borrow().as_ref() != instance
            && self.verified_server.borrow().as_ref() != instance
    }

    /// Asks a server for its state, and applies its report then. If the server says that it is not healthy,
    /// which it does also when it leaves, a later report is to show that it goes on. So is one if the
    /// server cannot be asked, as long as the report may have been sent to a former run of this node.
    fn verify(self: &Rc<Self>, report: ServerReport) {
        if self.verifying.replace(true) {
            return;
        }
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let received = Instant::now();
            let instance = report.instance.clone();
            let counts = match node.ask_state(&instance).await {
                Some((health, asked)) => {
                    node.record_server_state(&instance, &health.state, asked);
                    if health.state.leaving {
                        // When it said so first is not known, so it takes no more requests.
                        let since = asked.checked_sub(DRAIN_GRACE).unwrap_or(asked);
                        node.record_leaving(&instance, since, Source::Answer);
                    }
                    let healthy = health.healthy || health.state.leaving;
                    healthy || !node.awaits_later_report(&instance, asked)
                }
                None => received.duration_since(node.started) >= LATE_REPORT_MAX,
            };
            node.verifying.set(false);
            if !counts {
                let id = instance.id.as_str();
                spdlog::info!("a server that reports is not known to be healthy, and is not attached yet", kv: { id, number = report.number });
                return;
            }
            node.verified_server.replace(Some(instance));
            node.handle_report(report);
        });
    }

    /// Asks the server at the address of the backend server for its health until it answers as
    /// `instance`, for as long as until its next report is due. Returns also when it was asked.
    async fn ask_state(&self, instance: &Instance) -> Option<(Health, Instant)> {
        let interval = self.settings.borrow().report_interval;
        let began = Instant::now();
        loop {
            let asked = Instant::now();
            let health = match self.health_path() {
                Some(path) => (self.platform.backend.health)(&path, HEALTH_TIMEOUT).await,
                None => None,
            };
            if let Some(health) = health.filter(|h| h.id.as_ref() == Some(&instance.id)) {
                return Some((health, asked));
            }
            if began.elapsed() + HEALTH_RETRY >= interval {
                return None;
            }
            sleep(HEALTH_RETRY).await;
        }
    }

    /// Whether a server that was found not to be healthy at `asked` has not reported for long enough since
    /// the first time.
    fn awaits_later_report(&self, instance: &Instance, asked: Instant) -> bool {
        let mut unhealthy = self.unhealthy_server.borrow_mut();
        match unhealthy.as_ref().filter(|(known, _)| known == instance) {
            Some((_, since)) => asked.duration_since(*since) < LATE_REPORT_MAX,
            None => {
                *unhealthy = Some((instance.clone(), asked));
                true
            }
        }
    }

    /// Attaches a server that had closed its listener, and that goes on reporting, once it listens
    /// again.
    fn reconnect(self: &Rc<Self>, report: ServerReport) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let listens = (node.platform.backend.is_listening)().await;
            let current = node.unreachable_server.borrow().as_ref() == Some(&report.instance);
            if listens && current {
                node.unreachable_server.take();
                node.handle_report(report);
            }
        });
    }

    /// Detaches the server of a service divided by key if nothing listens at its address any more.
    /// It may go on with the requests that it has.
    pub fn check_listener(self: &Rc<Self>) {
        if !self.is_keyed() || self.checking_listener.replace(true) {
            return;
        }
        let node = self.clone();
        tokio::task::spawn_local(async move {
            if !(node.platform.backend.is_listening)().await {
                node.detach_unreachable_server();
            }
            node.checking_listener.set(false);
        });
    }

    /// Path of the health check of this node's service.
    pub fn health_path(&self) -> Option<String> {
        let service = self.service();
        self.routes()?.services.get(&service).map(|s| s.health_path.clone())
    }

    /// Treats the server as cold, because it may have lost its state while its failure domain was
    /// drained. Ends with the answer to a health check, at the latest after the usual cold start.
    pub fn assume_cold(self: &Rc<Self>) {
        let service = self.service();
        let Some(spec) = self.routes().and_then(|r| r.services.get(&service).cloned()) else {
            return;
        };
        let asked = Instant::now();
        let until = asked + spec.cold_time;
        self.queue.borrow_mut().cold_start.set_until(Some(until));
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let health = (node.platform.backend.health)(&spec.health_path, HEALTH_TIMEOUT).await;
            let Some(health) = health else {
                spdlog::warn!(
                    "the backend server did not answer the health check; it counts as cold"
                );
                return;
            };
            let server = node.server_instance().filter(|s| health.id.as_ref() == Some(&s.id));
            if let Some(server) = server {
                node.record_server_state(&server, &health.state, asked);
            }
            let cold = health.cold_left.filter(|c| !c.is_zero()).map(|c| Instant::now() + c);
            spdlog::info!("the backend server answered the health check", kv: { cold = cold.is_some() });
            node.queue.borrow_mut().cold_start.set_until(cold);
            node.queue_wake.notify_one();
        });
    }

    /// Requests per second that the backend server can run during a cold start.
    pub fn cold_rate(&self) -> f64 {
        let service = self.service();
        let routes = self.routes();
        routes.and_then(|r| r.services.get(&service).map(|s| s.cold_rate)).unwrap_or(f64::INFINITY)
    }

    /// Handles the announcement that a server shuts down. It may be one that is not attached, because
    /// this process has just started; a report that the server sent before may yet arrive.
    fn handle_departure(&self, departure: Departure) {
        let Departure { id, started_ms } = departure;
        let known = || self.known_instance(&id).map(|instance| instance.started_ms);
        let instance = match started_ms.or_else(known) {
            Some(started_ms) => Instance { id, started_ms },
            // An instance that leaves has started before.
            None => Instance { id, started_ms: unix_ms() },
        };
        self.record_leaving(&instance, Instant::now(), Source::Report);
    }

    /// The latest instance with this id that was the backend server beside this node.
    fn known_instance(&self, id: &str) -> Option<Instance> {
        let recorded = || {
            let table = self.table.borrow();
            table.members.get(&self.name()).and_then(|m| m.instance().cloned())
        };
        let last = self.last_instance.borrow().clone();
        self.server_instance().or(last).or_else(recorded).filter(|known| known.id == id)
    }

    /// Time for which this node leaves its name to a later run; `None` if it may join, which it then
    /// does as the latest run. That record may have been written late by a run that has ended, so
    /// it counts for some time only.
    fn rejoin_pause(&self) -> Option<Duration> {
        let left = REJOIN_PAUSE.saturating_sub(self.replaced_at.get()?.elapsed());
        if !left.is_zero() && self.table.borrow().is_succeeded(&self.holder()) {
            return Some(left);
        }
        self.replaced_at.set(None);
        self.start_incarnation("it joins again after a later run under its name");
        None
    }

    /// Before this run joins: makes its incarnation later than those of former runs under its name.
    fn outrank_former_runs(&self) {
        let latest = self.table.borrow().latest_incarnation(&self.name());
        let later = latest.is_some_and(|inc| inc > self.holder.borrow().inc);
        if later && self.lease.borrow().is_none() {
            self.start_incarnation("a former run had a later one");
        }
    }

    /// Whether all other members are told of this node's next record: it says that the node or its
    /// server joins or leaves. When the whole installation starts, all nodes read the table anyway.
    fn concerns_all(&self, record: &Member) -> bool {
        let starting = self.settings.borrow().bootstrap && self.started.elapsed() < START_TIME;
        let table = self.table.borrow();
        let known = table.members.get(&record.holder.node);
        let same = known.is_some_and(|known| {
            let state = |m: &Member| (m.holder.inc, m.server.clone(), m.stopping);
            state(known) == state(record)
        });
        !starting && !same
    }

    /// This node's record for the table.
    pub fn member_record(&self) -> Member {
        let settings = self.settings.borrow();
        let me = self.holder();
        let (witnesses, version) = match self.lease.borrow().as_ref() {
            Some(lease) => {
                let pending = lease.pending_change().map(|p| p.set.clone());
                let version = lease.version();
                match pending {
                    Some(set) => (set, crate::core::ids::Version(version.0 + 1)),
                    None => (lease.set().to_vec(), version),
                }
            }
            None => (Vec::new(), crate::core::ids::Version(0)),
        };
        Member {
            holder: me,
            addr: settings.listen.peers,
            domain: settings.domain.clone(),
            region: settings.region(&settings.domain).to_owned(),
            service: settings.service.clone(),
            server: self.recorded_server(),
            stopping: self.is_stopping(),
            witnesses,
            version,
            excess_ms: self.chosen_excess().as_millis() as u64,
        }
    }

    /// How much longer than its lease this incarnation's grants may last. It is chosen once, since a
    /// record may be written late: all of one incarnation must say the same.
    fn chosen_excess(&self) -> Duration {
        let chosen = self.grant_excess.get().unwrap_or_else(|| self.wanted_excess());
        self.grant_excess.set(Some(chosen));
        chosen
    }

    /// How much longer than the lease grants should last by the configuration; the most that is
    /// allowed while none is known.
    pub fn wanted_excess(&self) -> Duration {
        let Some(routes) = self.routes() else { return grant_time::EXCESS_MAX };
        let service = self.service();
        if !routes.is_keyed(&service) {
            return Duration::ZERO;
        }
        let uses = |r: &&Rc<Route>| r.services.iter().any(|s| s.service == service);
        let objective = routes.all().filter(uses).map(|r| r.objective).max().unwrap_or_default();
        let interval = self.settings.borrow().report_interval;
        let reports = routes.grant_mode(&service) == GrantMode::Reports;
        grant_time::lease_excess(objective, reports.then_some(interval))
    }

    /// How much longer than its lease this node's grants may last, as its record tells others.
    pub fn announced_excess(&self) -> Duration {
        let table = self.table.borrow();
        table.member(&self.holder()).map_or(Duration::ZERO, Member::grant_excess)
    }
}

/// The time of day, in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Detaches a backend server that has stopped reporting, drops links to nodes that are gone, and logs
/// keys that are not granted.
pub(crate) async fn watch_silence(node: Rc<Node>) {
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let silent =
            node.server.borrow().as_ref().is_some_and(|s| s.received.elapsed() > REPORT_TIMEOUT);
        if silent && let Some(server) = node.server.take() {
            node.record_server_change(ServerChange::Silent, &server.report.instance);
            node.announce_wake.notify_one();
            node.grants_wake.notify_one();
        }
        node.prune_links();
        node.log_ungranted_keys();
    }
}

/// Writes this node's record whenever it differs from the one in the table.
pub(crate) async fn announce(node: Rc<Node>) {
    reattach::reattach(&node).await;
    let mut configured = node.configured.subscribe();
    // On a timeout the record tells the longest time.
    let _ = timeout(CONFIG_WAIT, configured.wait_for(|known| *known)).await;
    loop {
        sleep(COALESCE_PAUSE).await;
        if node.table_position.borrow().is_none() {
            node.announce_wake.notified().await;
            continue;
        }
        if let Some(pause) = node.rejoin_pause() {
            // A timeout is the usual case: the record of the later run has not changed.
            let _ = timeout(pause, node.announce_wake.notified()).await;
            continue;
        }
        sleep(node.rewrite_pause()).await;
        node.outrank_former_runs();
        let record = node.member_record();
        let name = node.name();
        let claim = node.own_claim();
        let known = node.with_followed_table(|table| {
            let claimed = claim.is_none() || table.claims.get(&name) == claim.as_ref();
            table.members.get(&name) == Some(&record) && !table.is_outdated(&name) && claimed
        });
        if known {
            node.announce_wake.notified().await;
            continue;
        }
        let concerns_all = node.concerns_all(&record);
        let era = node.followed_position().0.era;
        let mut batch = WriteBatch::put_member(&record);
        if let Some(claim) = &claim {
            batch = batch.merge(WriteBatch::put_claim(claim));
        }
        let batch = batch.of_era(era);
        match (node.platform.store.append)(batch.clone(), None).await {
            Ok(next) => {
                let next = Position { era, offset: next };
                let update = TableUpdate { next, batch };
                let known = node.apply_table_update(&update);
                if node.is_keyed() && !known {
                    node.request_table_read();
                }
                if concerns_all {
                    node.notify_members(&update).await;
                } else if node.is_keyed() {
                    // They must know an incarnation before they can acknowledge it.
                    let witnesses = record.witnesses.iter().map(|p| p.holder.node.clone());
                    node.send_table_update(witnesses, &update).await;
                }
                if node.is_restoring() {
                    // A timeout means that the record was not read back; it is written again then.
                    let echo = async {
                        while node.followed_position().0 < next {
                            node.announce_wake.notified().await;
                        }
                    };
                    let _ = timeout(ECHO_TIMEOUT, echo).await;
                    continue;
                }
                let mut offset = node.table_position.subscribe();
                let echo = offset.wait_for(|offset| offset.is_some_and(|offset| offset >= next));
                if timeout(ECHO_TIMEOUT, echo).await.is_err() {
                    spdlog::warn!("the node's record cannot be read back from the store yet");
                }
            }
            Err(e) => {
                let why = e.to_string();
                spdlog::warn!("failed to write the node's record", kv: { why = why.as_str() });
                sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}
