//! Membership: what the backend server reports, and what the node therefore says of itself.
//!
//! Reports may come late, twice, from a former life of the server, or from someone else; only a
//! newer report of the present life, or one of a later life, changes anything.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::datagram::News;
use super::node::{BackendStatus, Node};
use super::platform_api::{ServerMessage, ServerReport};
use super::recall;
use crate::table::Draft;
use crate::table::member::Member;

/// Silence after which a backend server that reported counts as gone; reports come about every
/// second, and may be seconds late.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at the last report.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for the server's answer about its health, which waits for a slot.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause in which several changes gather into one record.
const GATHER_PAUSE: Duration = Duration::from_millis(15);
/// Pause after a record that could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest time to wait for a record of this node to come back from the store.
const ECHO_TIMEOUT: Duration = Duration::from_secs(2);

impl Node {
    /// Takes what the backend server says.
    pub fn handle_message(&self, message: ServerMessage) {
        match message {
            ServerMessage::Report(report) => self.handle_report(report),
            ServerMessage::Leaving(id) => self.handle_leaving(&id),
        }
    }

    fn handle_report(&self, report: ServerReport) {
        let (service, domain) = {
            let place = self.settings.borrow();
            (place.service.clone(), place.domain.clone())
        };
        if report.service != service || report.domain != domain {
            let (id, told) = (report.instance.id.as_str(), report.service.as_str());
            spdlog::warn!("a report of another service was left aside", kv: { id, told });
            return;
        }
        let before = self.server.borrow().clone();
        let same = before.as_ref().is_some_and(|b| b.report.instance == report.instance);
        if let Some(before) = &before {
            let known = &before.report;
            let stale = if same {
                report.number <= known.number
            } else {
                report.instance.born < known.instance.born
            };
            if stale {
                return;
            }
        }
        let now = Instant::now();
        let known = before.as_ref().filter(|_| same).and_then(|b| b.leaving_since);
        let leaving = known.or(report.draining.then_some(now));
        let changed =
            !same || known != leaving || before.is_none_or(|b| b.report.slots != report.slots);
        if changed {
            let (id, born, draining) =
                (report.instance.id.as_str(), report.instance.born, leaving.is_some());
            spdlog::info!("the backend server's state changed", kv: {
                id, born, draining, slots = report.slots.0, number = report.number
            });
        }
        self.apply_report(report, same, leaving);
        if changed {
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
    }

    /// Takes a report as the newest of the backend server; `same` when the life was known before.
    pub fn apply_report(&self, report: ServerReport, same: bool, leaving: Option<Instant>) {
        let received = Instant::now();
        let until = (!report.cold_left.is_zero()).then(|| received + report.cold_left);
        let mut line = self.queue.borrow_mut();
        line.resize(report.slots.0);
        match until {
            Some(until) => line.cold.set(Some(until)),
            None if !same => line.cold.set(None),
            None => {}
        }
        drop(line);
        self.server.replace(Some(BackendStatus { report, received, leaving_since: leaving }));
    }

    /// The server may have been emptied, and then it is cold: it gets little until it has told.
    pub fn assume_cold(self: &Rc<Self>) {
        let service = self.service();
        let Some(spec) = self.routes().and_then(|r| r.services.get(&service).cloned()) else {
            return;
        };
        let until = Instant::now() + spec.cold_time;
        self.queue.borrow_mut().cold.set(Some(until));
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let health = (node.platform.backend.health)(&spec.health, HEALTH_TIMEOUT).await;
            let Some(health) = health else {
                spdlog::warn!("the backend server did not tell whether it is cold");
                return;
            };
            let cold = health.cold_left.filter(|c| !c.is_zero()).map(|c| Instant::now() + c);
            spdlog::info!("the backend server told whether it is cold", kv: { cold = cold.is_some() });
            node.queue.borrow_mut().cold.set(cold);
            node.queue_wake.notify_one();
        });
    }

    /// Requests a second that the backend server bears while it is cold.
    pub fn cold_rate(&self) -> f64 {
        let service = self.service();
        let routes = self.routes();
        routes.and_then(|r| r.services.get(&service).map(|s| s.cold_rate)).unwrap_or(f64::INFINITY)
    }

    fn handle_leaving(&self, id: &str) {
        let mut server = self.server.borrow_mut();
        let Some(attached) = server.as_mut().filter(|s| s.report.instance.id == id) else { return };
        if attached.leaving_since.is_none() {
            spdlog::info!("the backend server leaves", kv: { id });
            attached.leaving_since = Some(Instant::now());
            self.announce_wake.notify_one();
            self.grants_wake.notify_one();
        }
    }

    /// What this node says of itself.
    pub fn member_record(&self) -> Member {
        let place = self.settings.borrow();
        let me = self.holder();
        let (witnesses, version) = match self.lease.borrow().as_ref() {
            Some(lease) => {
                let pending = lease.pending().map(|p| p.set.clone());
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
            addr: place.listen.peers,
            domain: place.domain.clone(),
            region: place.region(&place.domain).to_owned(),
            service: place.service.clone(),
            server: self.server.borrow().as_ref().map(BackendStatus::server),
            stopping: self.is_stopping(),
            witnesses,
            version,
        }
    }
}

/// Forgets a backend server that has stopped reporting.
pub(crate) async fn watch_silence(node: Rc<Node>) {
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let silent =
            node.server.borrow().as_ref().is_some_and(|s| s.received.elapsed() > REPORT_TIMEOUT);
        if silent && let Some(server) = node.server.take() {
            let id = server.report.instance.id.as_str();
            spdlog::warn!("the backend server no longer reports", kv: { id });
            node.announce_wake.notify_one();
            node.grants_wake.notify_one();
        }
        node.prune_links();
    }
}

/// Writes this node's record whenever it differs from what the table has.
pub(crate) async fn announce(node: Rc<Node>) {
    recall::recall(&node).await;
    loop {
        sleep(GATHER_PAUSE).await;
        if node.table_offset.borrow().is_none() {
            node.announce_wake.notified().await;
            continue;
        }
        let member = node.member_record();
        let name = node.name();
        let known = node.table.borrow().members.get(&name) == Some(&member);
        if known {
            node.announce_wake.notified().await;
            continue;
        }
        let draft = Draft::member(&member);
        match (node.platform.store.append)(draft.clone(), None).await {
            Ok(next) => {
                let news = News { next, draft };
                let known = node.take_news(&news);
                // Witnesses must know an incarnation before they can acknowledge it.
                if node.is_keyed() {
                    if !known {
                        node.hurry();
                    }
                    let witnesses = member.witnesses.iter().map(|p| p.holder.node.clone());
                    node.tell_news(witnesses, &news).await;
                }
                let mut read = node.table_offset.subscribe();
                let echo = read.wait_for(|read| read.is_some_and(|read| read >= next));
                if timeout(ECHO_TIMEOUT, echo).await.is_err() {
                    spdlog::warn!("the node's own record has not come back from the store");
                }
            }
            Err(e) => {
                let why = e.to_string();
                spdlog::warn!("the node's record was not written", kv: { why = why.as_str() });
                sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}
