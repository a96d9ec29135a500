//! Which gate a request goes to: gathers what the node knows of the targets for
//! [`crate::route::least_cost`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::frame::OwnerHint;
use super::node::Node;
use crate::core::ids::{NodeId, ServiceName};
use crate::core::routes::Route;
use crate::route::least_cost::{self, Candidate};
use crate::table::member::Member;

/// Weight of the newest answer in what a sort of request usually takes.
const USUAL_WEIGHT: f64 = 0.05;

/// How long sorts of requests take at which gates.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    sorts: HashMap<String, Pace>,
}

#[derive(Debug, Default)]
struct Pace {
    /// What answers usually take, in seconds; 0 while unknown.
    usual: f64,
    /// What gates said last.
    gates: HashMap<NodeId, Duration>,
}

impl ServiceTimes {
    /// Notes what a gate says that a sort of request takes there.
    pub fn note(&mut self, sort: &str, gate: &NodeId, service: Duration) {
        if service.is_zero() {
            return;
        }
        if !self.sorts.contains_key(sort) {
            self.sorts.insert(sort.to_owned(), Pace::default());
        }
        let Some(pace) = self.sorts.get_mut(sort) else { return };
        let secs = service.as_secs_f64();
        match pace.usual > 0.0 {
            true => pace.usual += USUAL_WEIGHT * (secs - pace.usual),
            false => pace.usual = secs,
        }
        match pace.gates.get_mut(gate) {
            Some(known) => *known = service,
            None => drop(pace.gates.insert(gate.clone(), service)),
        }
    }

    /// What a sort of request usually takes, in seconds; `None` while unknown.
    fn usual(&self, sort: &str) -> Option<f64> {
        self.sorts.get(sort).map(|p| p.usual)
    }

    /// What a gate said last that a sort of request takes there.
    fn at(&self, sort: &str, gate: &NodeId) -> Option<Duration> {
        self.sorts.get(sort)?.gates.get(gate).copied()
    }
}

/// A gate that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct GateAddr {
    /// Its node.
    pub node: NodeId,
    /// Its address.
    pub addr: SocketAddr,
}

impl GateAddr {
    fn of(member: &Member) -> GateAddr {
        GateAddr { node: member.holder.node.clone(), addr: member.addr }
    }
}

impl Node {
    /// The gate for a request of a service whose keys are not divided; those in `tried` are left
    /// out. `None` when no target takes work.
    pub fn choose_gate(
        &self,
        route: &Route,
        service: &ServiceName,
        tried: &[NodeId],
    ) -> Option<GateAddr> {
        let table = self.table.borrow();
        let place = self.settings.borrow();
        let allowed = |m: &Member| route.regions.is_empty() || route.regions.contains(&m.region);
        let fit = |m: &&Member| {
            let name = &m.holder.node;
            self.takes_work(m) && allowed(m) && !tried.contains(name) && !self.is_leaving(name)
        };
        let members: Vec<&Member> = table.members_of(service).filter(fit).collect();
        let usual = self.service_times.borrow().usual(&route.name);
        let usual = usual.unwrap_or(route.objective.as_secs_f64() / 2.0);
        let views: Vec<Candidate> = members
            .iter()
            .map(|m| self.view(m, &route.name, usual, m.domain == place.domain))
            .collect();
        let chosen = least_cost::choose(&views, usual, |_| fastrand::u32(..))?;
        Some(GateAddr::of(members[chosen]))
    }

    /// Whether a gate has said itself that it is about to stop.
    fn is_leaving(&self, node: &NodeId) -> bool {
        self.links.borrow().get(node).is_some_and(|l| l.is_leaving())
    }

    fn view(&self, member: &Member, sort: &str, usual: f64, near: bool) -> Candidate {
        let name = &member.holder.node;
        let service = self.service_times.borrow().at(sort, name);
        let service = service.unwrap_or(Duration::from_secs_f64(usual));
        if *name == self.holder.borrow().node {
            let report = self.load_report(sort);
            let own = self.local_requests.get();
            let others = report.busy.saturating_sub(own);
            let (slots, age) = (report.slots, Duration::ZERO);
            let suspect = self.server.borrow().is_none();
            return Candidate {
                others,
                own,
                slots,
                service_time: service,
                report_age: age,
                same_domain: near,
                suspect,
            };
        }
        let slots = member.server.as_ref().map_or(1, |s| s.slots.0);
        let links = self.links.borrow();
        let Some(link) = links.get(name).filter(|l| l.addr == member.addr) else {
            return Candidate {
                slots,
                service_time: service,
                same_domain: near,
                report_age: Duration::from_secs(1),
                ..Candidate::default()
            };
        };
        let (report, at) = link.last_report.get();
        let own = link.pending_count();
        let age = at.map_or(Duration::from_secs(1), |at| at.elapsed());
        let others = report.busy.saturating_sub(own);
        Candidate {
            others,
            own,
            slots,
            service_time: service,
            report_age: age,
            same_domain: near,
            suspect: link.is_suspect(),
        }
    }

    /// The gate that another gate has named as a key's owner; `None` while it is not a known member.
    pub fn hinted_gate(&self, hint: &OwnerHint) -> Option<GateAddr> {
        self.table.borrow().members.get(&hint.node).map(GateAddr::of)
    }

    /// The gate of a key's owner; `None` while nobody owns it.
    pub fn owner_gate(&self, service: &ServiceName, key: u16) -> Option<GateAddr> {
        let table = self.table.borrow();
        let owner = table.keys.get(service)?.find(key)?.owner.as_ref()?;
        table.members.get(&owner.holder.node).map(GateAddr::of)
    }

    /// Notes what a gate said with an answer.
    pub fn record_service_time(&self, sort: &str, gate: &NodeId, service_ms: u32) {
        let service = Duration::from_millis(service_ms.into());
        self.service_times.borrow_mut().note(sort, gate, service);
    }
}
