//! Selects the gate that a request is sent to: collects what the node knows about the targets, from
//! which [`crate::route::least_cost`] picks one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::frame::OwnerHint;
use super::node::Node;
use super::quarantine::Suspicion;
use super::request_state::RequestState;
use crate::core::ids::{NodeId, ServiceName};
use crate::core::routes::Route;
use crate::route::least_cost::{self, Candidate, WorkCandidate};
use crate::table::member::Member;

/// Weight of the newest answer in the moving average of a class's service time.
const MEAN_WEIGHT: f64 = 0.05;
/// Longest time between two requests to a backend server that limits them.
const INTERVAL_MAX: Duration = Duration::from_secs(4);
/// Age that is assumed for the load report of a gate that has not sent one.
const MISSING_REPORT_AGE: Duration = Duration::from_secs(1);

/// Service times by class of request and by gate, as gates report them with their answers.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    classes: HashMap<String, ClassTimes>,
    /// Requests sent to each gate since its last report, which is identified by its time.
    sent: HashMap<NodeId, (Option<Instant>, u32)>,
}

#[derive(Debug, Default)]
struct ClassTimes {
    /// Exponential moving average over all gates, in seconds; 0 while unknown.
    mean: f64,
    /// The latest report of each gate.
    gates: HashMap<NodeId, Duration>,
}

impl ServiceTimes {
    /// Records the service time that a gate reports for a class. Zero means unknown and is ignored.
    pub fn record(&mut self, class: &str, gate: &NodeId, service_time: Duration) {
        if service_time.is_zero() {
            return;
        }
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), ClassTimes::default());
        }
        let Some(times) = self.classes.get_mut(class) else { return };
        let secs = service_time.as_secs_f64();
        match times.mean > 0.0 {
            true => times.mean += MEAN_WEIGHT * (secs - times.mean),
            false => times.mean = secs,
        }
        match times.gates.get_mut(gate) {
            Some(known) => *known = service_time,
            None => drop(times.gates.insert(gate.clone(), service_time)),
        }
    }

    /// Counts a request that is sent to a gate whose last report came at `report_at`.
    fn record_sent(&mut self, gate: &NodeId, report_at: Option<Instant>) {
        let count = self.sent_since(gate, report_at) + 1;
        match self.sent.get_mut(gate) {
            Some(sent) => *sent = (report_at, count),
            None => drop(self.sent.insert(gate.clone(), (report_at, count))),
        }
    }

    /// Requests sent to a gate since its last report, which came at `report_at`.
    fn sent_since(&self, gate: &NodeId, report_at: Option<Instant>) -> u32 {
        self.sent.get(gate).filter(|(at, _)| *at == report_at).map_or(0, |(_, count)| *count)
    }

    /// Mean service time of a class over all gates, in seconds; `None` while unknown.
    pub fn mean(&self, class: &str) -> Option<f64> {
        self.classes.get(class).map(|t| t.mean)
    }

    /// Latest service time that a gate reported for a class.
    fn at(&self, class: &str, gate: &NodeId) -> Option<Duration> {
        self.classes.get(class)?.gates.get(gate).copied()
    }
}

/// Name and address of a gate.
#[derive(Clone, Debug)]
pub(crate) struct GateAddr {
    /// The node that the gate runs on.
    pub node: NodeId,
    /// Address for connections from other nodes.
    pub addr: SocketAddr,
}

impl GateAddr {
    fn of(member: &Member) -> GateAddr {
        GateAddr { node: member.holder.node.clone(), addr: member.addr }
    }
}

impl Node {
    /// Chooses the gate for a request of a service whose keys are not divided, other than those in
    /// `tried`, and if it is a trial only the one whose turn it is. `None` when no other target takes work.
    pub fn choose_gate(
        &self,
        route: &Route,
        service: &ServiceName,
        tried: &[NodeId],
        suspicion: &Suspicion,
    ) -> Option<GateAddr> {
        let table = self.table.borrow();
        let settings = self.settings.borrow();
        let allowed = |m: &Member| route.regions.is_empty() || route.regions.contains(&m.region);
        let eligible = |m: &&Member| {
            let name = &m.holder.node;
            self.takes_work(m)
                && allowed(m)
                && !tried.contains(name)
                && suspicion.only.as_ref().is_none_or(|only| only == name)
                && !self.is_gate_leaving(name)
                && !self.is_server_leaving(m)
        };
        let members: Vec<&Member> = table.members_of(service).filter(eligible).collect();
        let mean = self.service_times.borrow().mean(&route.name);
        let mean = mean.unwrap_or(route.objective.as_secs_f64() / 2.0);
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|m| self.candidate(m, &route.name, mean, m.domain == settings.domain))
            .collect();
        if !self.weighs_work() {
            let chosen = least_cost::choose(&candidates, mean, |_| fastrand::u32(..))?;
            return Some(GateAddr::of(members[chosen]));
        }
        let targets: Vec<WorkCandidate> = std::iter::zip(&members, candidates)
            .map(|(member, known)| self.work_candidate(&member.holder.node, &route.name, known))
            .collect();
        let choices = least_cost::WORK_CHOICES;
        let chosen = least_cost::choose_by_work(&targets, mean, choices, fastrand::f64)?;
        let name = &members[chosen].holder.node;
        let report_at = self.links.borrow().get(name).and_then(|l| l.last_report.get().1);
        self.service_times.borrow_mut().record_sent(name, report_at);
        Some(GateAddr::of(members[chosen]))
    }

    /// Adds to what is `known` of a target the work that is left there.
    fn work_candidate(&self, name: &NodeId, class: &str, known: Candidate) -> WorkCandidate {
        let is_local = *name == self.holder.borrow().node;
        let (report, report_at) = match is_local {
            true => (self.load_report(class), Some(Instant::now())),
            false => self.links.borrow().get(name).map(|l| l.last_report.get()).unwrap_or_default(),
        };
        let sent_since = self.service_times.borrow().sent_since(name, report_at);
        WorkCandidate {
            known,
            work: Duration::from_millis(report.work_ms.into()),
            speed: if report.speed == 0 { 1.0 } else { f64::from(report.speed) / 1000.0 },
            sent_since: sent_since.min(known.own),
        }
    }

    /// Whether the next gate may return a request because another is likely to run it sooner.
    pub(super) fn may_return(&self, state: &RequestState) -> bool {
        self.weighs_work() && state.is_returnable()
    }

    /// The next of the gates that returned a request, which now may not return it again.
    pub(super) fn next_returned_by(&self, state: &mut RequestState) -> Option<GateAddr> {
        state.may_return = false;
        while let Some(name) = state.returned_by.pop() {
            if let Some(member) = self.table.borrow().members.get(&name) {
                return Some(GateAddr::of(member));
            }
        }
        None
    }

    /// Whether a gate has announced that it is about to stop.
    fn is_gate_leaving(&self, node: &NodeId) -> bool {
        self.links.borrow().get(node).is_some_and(|l| l.is_leaving())
    }

    /// What the node knows about one target. `mean` is the service time that is assumed for a gate
    /// that has not reported one for the class.
    fn candidate(&self, member: &Member, class: &str, mean: f64, same_domain: bool) -> Candidate {
        let name = &member.holder.node;
        let service_time = self.service_times.borrow().at(class, name);
        let service_time = service_time.unwrap_or(Duration::from_secs_f64(mean));
        let interval = self.limit_interval(member);
        if *name == self.holder.borrow().node {
            let report = self.load_report(class);
            let own = self.local_requests.get();
            let others = report.busy.saturating_sub(own);
            let (slots, report_age) = (report.slots, Duration::ZERO);
            let suspect = self.server.borrow().is_none();
            let limited = self.queue.borrow().is_rate_limited(Instant::now());
            let interval = if limited { interval } else { Duration::ZERO };
            return Candidate {
                others,
                own,
                slots,
                service_time,
                interval,
                report_age,
                same_domain,
                suspect,
            };
        }
        let slots = member.server.as_ref().map_or(1, |s| s.slots.0);
        let links = self.links.borrow();
        let Some(link) = links.get(name).filter(|l| l.addr == member.addr) else {
            return Candidate {
                slots,
                service_time,
                interval,
                same_domain,
                report_age: MISSING_REPORT_AGE,
                ..Candidate::default()
            };
        };
        let (report, at) = link.last_report.get();
        let own = link.pending_count();
        let report_age = at.map_or(MISSING_REPORT_AGE, |at| at.elapsed());
        let others = report.busy.saturating_sub(own);
        Candidate {
            others,
            own,
            slots,
            service_time,
            interval,
            report_age,
            same_domain,
            suspect: link.is_suspect(),
        }
    }

    /// Time between two requests at the rate that a member's backend server limits them to; zero
    /// without a limit.
    fn limit_interval(&self, member: &Member) -> Duration {
        let statements = self.statements.borrow();
        let limit = member.instance().and_then(|server| statements.limit(server));
        let Some(limit) = limit else { return Duration::ZERO };
        let secs = 1.0 / limit.rate.per_second().max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(secs.min(INTERVAL_MAX.as_secs_f64()))
    }

    /// The gate that another gate named as the owner of a key; `None` if it is not a known member.
    pub fn hinted_gate(&self, hint: &OwnerHint) -> Option<GateAddr> {
        self.table.borrow().members.get(&hint.node).map(GateAddr::of)
    }

    /// The gate of a key's owner; `None` while the key has no owner that is a member.
    pub fn owner_gate(&self, service: &ServiceName, key: u16) -> Option<GateAddr> {
        let table = self.table.borrow();
        let owner = table.keys.get(service)?.find(key)?.owner.as_ref()?;
        table.members.get(&owner.holder.node).map(GateAddr::of)
    }

    /// Records the service time in milliseconds that a gate reported with an answer.
    pub fn record_service_time(&self, class: &str, gate: &NodeId, service_ms: u32) {
        let service_time = Duration::from_millis(service_ms.into());
        self.service_times.borrow_mut().record(class, gate, service_time);
    }
}
