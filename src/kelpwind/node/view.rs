//! What operators see of a node: its own state (dump), the state of all members and services
//! (status), and how one key is routed (explanation).

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{Node, NodeAddrs};
use crate::core::codes::Code;
use crate::core::ids::{
    Count, DomainName, Holder, Offset, RangeName, Revision, ServiceName, SliceId, Token, Version,
};
use crate::core::record::Peer;
use crate::core::state::{KeyLocation, State};
use crate::lease::clock;
use crate::util::error::{Error, Result};
use crate::util::suggest;

/// Result of the method `dump`: the state of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// The node and its incarnation.
    pub holder: Holder,
    /// State of the node's lifecycle chart.
    #[serde(rename = "life")]
    pub lifecycle: String,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Addresses of the node.
    pub addrs: NodeAddrs,
    /// Whether the log service answers: `starting`, `up` or `down`.
    #[serde(rename = "log")]
    pub log_health: String,
    /// Offset of the next log record to apply.
    pub offset: Offset,
    /// Digest of all records applied, in hexadecimal.
    pub digest: String,
    /// Revision of the configuration in force at the node.
    pub revision: Revision,
    /// The node's lease; `None` if it is not a member.
    pub lease: Option<LeaseView>,
    /// Slices that the node owns, with their fencing tokens, by key range.
    pub slices: BTreeMap<RangeName, Vec<(SliceId, Token)>>,
    /// Holders that the node witnesses, with the time since their last renewal in milliseconds.
    pub witnessed: BTreeMap<Holder, u64>,
    /// Holders from which the node is trying to take over.
    pub takeovers: Vec<Holder>,
    /// The attached backend server, if there is one.
    pub backend: Option<BackendView>,
    /// Number of members according to the log.
    pub members: usize,
}

/// A node's lease in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Version of the witness set.
    pub version: Version,
    /// Witnesses of the lease.
    pub witnesses: Vec<Peer>,
    /// Requested witness set, while the outcome of its record is not known.
    #[serde(rename = "pending")]
    pub pending_set: Option<Vec<Peer>>,
    /// Time until the lease expires, in milliseconds; 0 if it has expired.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

/// The backend server of a node in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// Service of the backend server.
    pub service: String,
    /// Address of the backend server.
    pub addr: String,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Whether it announced that it is draining.
    pub draining: bool,
    /// Current limit of concurrent requests.
    pub limit: Count,
    /// Number of requests running at the backend server.
    pub running: Count,
    /// Number of requests waiting for the backend server.
    pub waiting: Count,
}

/// Result of the method `status`: all members and services, as one node knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answered.
    #[serde(rename = "from")]
    pub reported_by: Holder,
    /// Whether the log service answers that node: `starting`, `up` or `down`.
    #[serde(rename = "log")]
    pub log_health: String,
    /// Revision of the configuration in force at that node.
    pub revision: Revision,
    /// Offset of the next log record that the node will apply.
    pub offset: Offset,
    /// Failure domains: true if in service, false if drained.
    pub domains: BTreeMap<DomainName, bool>,
    /// Members according to the log.
    pub members: Vec<MemberRow>,
    /// Services of the configuration.
    pub services: BTreeMap<ServiceName, ServiceRow>,
}

/// A member in a status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The node and its incarnation.
    pub holder: Holder,
    /// Address for operators.
    pub admin: std::net::SocketAddr,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// Maximum number of requests that its backend server runs at once.
    pub slots: Count,
    /// Number of slices that it owns.
    pub slices: usize,
    /// Whether it takes new work.
    pub takes_work: bool,
}

/// A service in a status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Number of targets that take new work.
    pub targets: usize,
    /// Number of slices in its key ranges.
    pub slices: usize,
    /// Number of slices without an owner.
    #[serde(rename = "free")]
    pub unassigned: usize,
}

/// Result of the method `explain`: how requests for one key are routed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Slice of the key and its owner; `None` if the service is not keyed or no key range covers
    /// the key.
    #[serde(rename = "place")]
    pub location: Option<KeyLocation>,
    /// Targets of the service that take new work.
    pub targets: Vec<Holder>,
    /// The explanation as text, one statement per line.
    pub lines: Vec<String>,
}

impl Node {
    /// The state of this node.
    pub fn dump(&self) -> Dump {
        let state = self.replica.state();
        let mut slices: BTreeMap<RangeName, Vec<(SliceId, Token)>> = BTreeMap::new();
        for (range, slice, token) in state.owned_by(&self.holder) {
            slices.entry(range.clone()).or_default().push((slice, token));
        }
        Dump {
            holder: self.holder.clone(),
            lifecycle: self.lifecycle.lock().state().to_owned(),
            domain: self.settings.domain.clone(),
            addrs: self.addrs,
            log_health: self.log_health.borrow().to_string(),
            offset: state.next,
            digest: format!("{:016x}", state.digest),
            revision: state.revision,
            lease: self.lease_view(),
            slices,
            witnessed: self.witnessed(),
            takeovers: self.takeovers.lock().values().map(|t| t.holder.clone()).collect(),
            backend: self.backend_view(),
            members: state.members.len(),
        }
    }

    fn lease_view(&self) -> Option<LeaseView> {
        let now = clock::now();
        let lease = self.lease.lock();
        let lease = lease.as_ref()?;
        Some(LeaseView {
            version: lease.version(),
            witnesses: lease.set().to_vec(),
            pending_set: lease.pending_change().map(|p| p.set.clone()),
            remaining_ms: lease.expires_at().map_or(0, |e| e.since(now).as_millis() as u64),
        })
    }

    fn witnessed(&self) -> BTreeMap<Holder, u64> {
        let now = clock::now();
        let directory = self.directory.read().clone();
        let witness = self.witness.lock();
        let row = |incarnation| {
            let watched = directory.watched.get(&incarnation)?;
            let silence = witness.silent_for(incarnation, now)?;
            Some((watched.holder.clone(), silence.as_millis() as u64))
        };
        witness.watched().filter_map(row).collect()
    }

    fn backend_view(&self) -> Option<BackendView> {
        let attached = self.gate.attached.read().clone()?;
        let (running, waiting) = self.gate.admission.counts();
        Some(BackendView {
            service: attached.announcement.service.clone(),
            addr: attached.announcement.addr.clone(),
            fenced: attached.announcement.fenced,
            draining: attached.announcement.draining,
            limit: self.gate.admission.with_limiter(|l| l.limit(clock::now())),
            running: Count(running),
            waiting: Count(waiting),
        })
    }

    /// All members and services, as this node knows them.
    pub fn status(&self) -> Status {
        let state = self.replica.state();
        let mut owned: BTreeMap<&Holder, usize> = BTreeMap::new();
        for holder in
            state.ranges.values().flat_map(|r| &r.slices).filter_map(|s| s.holder.as_ref())
        {
            *owned.entry(holder).or_default() += 1;
        }
        let row = |m: &crate::core::state::MemberState| MemberRow {
            holder: m.member.holder.clone(),
            admin: m.member.admin,
            domain: m.member.domain.clone(),
            service: m.member.service.clone(),
            slots: m.member.slots,
            slices: owned.get(&m.member.holder).copied().unwrap_or(0),
            takes_work: state.takes_work(&m.member),
        };
        Status {
            reported_by: self.holder.clone(),
            log_health: self.log_health.borrow().to_string(),
            revision: state.revision,
            offset: state.next,
            domains: state
                .config
                .failure_domain
                .iter()
                .map(|(n, d)| (n.clone(), !d.drained))
                .collect(),
            members: state.members.values().map(row).collect(),
            services: state
                .config
                .service
                .keys()
                .map(|n| (n.clone(), service_row(&state, n)))
                .collect(),
        }
    }

    /// Explains how requests for a key are routed.
    ///
    /// # Errors
    /// [`Code::UnknownService`], with the most similar known name; [`Code::StaleConfig`] if the
    /// service may have been published without this node having read it.
    pub async fn explain(&self, name: &str, key: &str) -> Result<Explanation> {
        let known = self.replica.state().config.service.contains_key(name);
        if !known && !self.replica.confirm(Instant::now()).await {
            let context = format!("failed to explain: this node knows no service '{name}'");
            return Err(Error::new(Code::StaleConfig, context));
        }
        let state = self.replica.state();
        let Some(service) = state.config.service.keys().find(|s| s.as_str() == name) else {
            let known = state.config.service.keys().map(|s| s.as_str());
            let hint = suggest::did_you_mean(name, known);
            let context = format!("failed to explain: no service is named '{name}'{hint}");
            return Err(Error::new(Code::UnknownService, context));
        };
        let location = state.locate(service, key);
        let available = state.targets(service).filter(|m| state.takes_work(m));
        let targets: Vec<Holder> = available.map(|m| m.holder.clone()).collect();
        let lines = explain_lines(&state, service, key, location.as_ref(), &targets);
        Ok(Explanation { service: service.clone(), key: key.to_owned(), location, targets, lines })
    }
}

fn service_row(state: &State, name: &ServiceName) -> ServiceRow {
    let targets = state.targets(name).filter(|m| state.takes_work(m)).count();
    let slices =
        || state.ranges.values().filter(|r| r.range.service == *name).flat_map(|r| &r.slices);
    let unassigned = slices().filter(|s| s.holder.is_none()).count();
    ServiceRow { targets, slices: slices().count(), unassigned }
}

fn explain_lines(
    state: &State,
    service: &ServiceName,
    key: &str,
    location: Option<&KeyLocation>,
    targets: &[Holder],
) -> Vec<String> {
    if !state.config.is_keyed(service) {
        let line = format!(
            "{service} is not divided by key: each request goes to one of {} targets that take \
             work",
            targets.len()
        );
        return vec![line];
    }
    let Some(location) = location else {
        return vec![format!("no key range of {service} covers '{key}'")];
    };
    let mut lines =
        vec![format!("'{key}' is in slice {} of key range {}", location.slice, location.range)];
    match &location.state.holder {
        None => lines.push("the slice has no owner at the moment".to_owned()),
        Some(holder) => {
            lines.push(format!("its owner is {holder}, under token {}", location.state.token));
            if let Some(known) = state.members.get(holder) {
                let at = &known.member;
                lines.push(format!(
                    "the owner stands in {} and is reached at {}",
                    at.domain, at.peer
                ));
                let witnesses = at.witnesses.iter().map(|p| p.holder.node.as_str());
                let witnesses: Vec<&str> = witnesses.collect();
                lines.push(format!("its lease is witnessed by {}", witnesses.join(", ")));
            }
        }
    }
    lines
}
