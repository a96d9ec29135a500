//! What operators see of a node: its dump, the status of the whole, and the way of one key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Addrs, Node};
use crate::core::codes::Code;
use crate::core::ids::{
    Count, DomainName, Holder, Offset, RangeName, Revision, ServiceName, SliceId, Token, Version,
};
use crate::core::record::Peer;
use crate::core::state::{KeyLocation, State};
use crate::lease::clock;
use crate::util::error::{Error, Result};
use crate::util::suggest;

/// All that one process knows of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// The node and its incarnation.
    pub holder: Holder,
    /// Where it is in its life.
    pub life: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Addresses.
    pub addrs: Addrs,
    /// Whether the log answers.
    pub log: String,
    /// Offset of the next record to apply.
    pub offset: Offset,
    /// Digest of all records applied.
    pub digest: String,
    /// Revision of the configuration in force here.
    pub revision: Revision,
    /// The lease.
    pub lease: Option<LeaseView>,
    /// Slices owned, with their tokens.
    pub slices: BTreeMap<RangeName, Vec<(SliceId, Token)>>,
    /// Holders that this node witnesses, and for how long each has been silent, in milliseconds.
    pub witnessed: BTreeMap<Holder, u64>,
    /// Holders that it tries to take over from.
    pub takeovers: Vec<Holder>,
    /// Service of the backend server.
    pub backend: Option<BackendView>,
    /// Members as the log has them.
    pub members: usize,
}

/// A lease as a dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Version of the witness set.
    pub version: Version,
    /// The set.
    pub witnesses: Vec<Peer>,
    /// A set asked for whose record has no known fate.
    pub pending: Option<Vec<Peer>>,
    /// Time left, in milliseconds; 0 when it has lapsed.
    pub left: u64,
}

/// The backend server as a dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// Its service.
    pub service: String,
    /// Its address.
    pub addr: String,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests it bears now.
    pub limit: Count,
    /// Requests running.
    pub running: Count,
    /// Requests waiting.
    pub waiting: Count,
}

/// The whole at a glance, as one node has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Node that says so.
    pub from: Holder,
    /// Whether the log answers it.
    pub log: String,
    /// Revision in force there.
    pub revision: Revision,
    /// Offset of the next record.
    pub offset: Offset,
    /// Failure domains and whether they are in.
    pub domains: BTreeMap<DomainName, bool>,
    /// Members.
    pub members: Vec<MemberRow>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceRow>,
}

/// A member in the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The node and its incarnation.
    pub holder: Holder,
    /// Operators' address.
    pub admin: std::net::SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// Slots.
    pub slots: Count,
    /// Slices owned.
    pub slices: usize,
    /// Whether it takes new work.
    pub takes_work: bool,
}

/// A service in the status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Targets that take work.
    pub targets: usize,
    /// Slices of its key ranges.
    pub slices: usize,
    /// Slices without an owner.
    pub free: usize,
}

/// The way of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explained {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Its place; none when the service is not divided by key.
    pub place: Option<KeyLocation>,
    /// The targets that may get it.
    pub targets: Vec<Holder>,
    /// The way in words.
    pub lines: Vec<String>,
}

impl Node {
    /// This process's state.
    pub fn dump(&self) -> Dump {
        let state = self.replica.state();
        let mut slices: BTreeMap<RangeName, Vec<(SliceId, Token)>> = BTreeMap::new();
        for (range, slice, token) in state.owned_by(&self.me) {
            slices.entry(range.clone()).or_default().push((slice, token));
        }
        Dump {
            holder: self.me.clone(),
            life: self.life.lock().state().to_owned(),
            domain: self.settings.domain.clone(),
            addrs: self.addrs,
            log: self.health.borrow().to_string(),
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
            pending: lease.pending_change().map(|p| p.set.clone()),
            left: lease.expires_at().map_or(0, |e| e.since(now).as_millis() as u64),
        })
    }

    fn witnessed(&self) -> BTreeMap<Holder, u64> {
        let now = clock::now();
        let directory = self.directory.read().clone();
        let witness = self.witness.lock();
        let row = |tag| {
            let watched = directory.watched.get(&tag)?;
            let silence = witness.silent_for(tag, now)?;
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

    /// The whole as this node has it.
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
            from: self.me.clone(),
            log: self.health.borrow().to_string(),
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
                .map(|n| (n.clone(), service(&state, n)))
                .collect(),
        }
    }

    /// The way of a key, and why.
    ///
    /// # Errors
    /// [`Code::UnknownService`], with the nearest known name.
    pub fn explain(&self, name: &str, key: &str) -> Result<Explained> {
        let state = self.replica.state();
        let Some(service) = state.config.service.keys().find(|s| s.as_str() == name) else {
            let known = state.config.service.keys().map(|s| s.as_str());
            let hint = suggest::did_you_mean(name, known);
            let context = format!("failed to explain: no service is named '{name}'{hint}");
            return Err(Error::new(Code::UnknownService, context));
        };
        let place = state.locate(service, key);
        let fit = state.targets(service).filter(|m| state.takes_work(m));
        let targets: Vec<Holder> = fit.map(|m| m.holder.clone()).collect();
        let lines = explain_lines(&state, service, key, place.as_ref(), &targets);
        Ok(Explained { service: service.clone(), key: key.to_owned(), place, targets, lines })
    }
}

fn service(state: &State, name: &ServiceName) -> ServiceRow {
    let targets = state.targets(name).filter(|m| state.takes_work(m)).count();
    let slots =
        || state.ranges.values().filter(|r| r.range.service == *name).flat_map(|r| &r.slices);
    let free = slots().filter(|s| s.holder.is_none()).count();
    ServiceRow { targets, slices: slots().count(), free }
}

fn explain_lines(
    state: &State,
    service: &ServiceName,
    key: &str,
    place: Option<&KeyLocation>,
    targets: &[Holder],
) -> Vec<String> {
    if !state.config.is_keyed(service) {
        let line = format!(
            "{service} is not divided by key: each request goes to one of {} targets that take work",
            targets.len()
        );
        return vec![line];
    }
    let Some(place) = place else {
        return vec![format!("no key range of {service} covers '{key}'")];
    };
    let mut lines =
        vec![format!("'{key}' is in slice {} of key range {}", place.slice, place.range)];
    match &place.state.holder {
        None => lines.push("the slice has no owner at the moment".to_owned()),
        Some(holder) => {
            lines.push(format!("its owner is {holder}, under token {}", place.state.token));
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
