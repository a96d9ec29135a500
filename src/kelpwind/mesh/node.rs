//! One node: what it believes, and the parts that act on it.
//!
//! All of a node runs on one thread, so its state is plain cells; no borrow is held over a wait.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use super::balance::{LoadQuery, Reservations};
use super::gate::Tickets;
use super::held_ranges::HeldRanges;
use super::link::Link;
use super::metrics::Metrics;
use super::platform_api::{NodeSettings, Platform, ServerReport};
use super::serve::Sessions;
use crate::core::ids::{DomainName, Holder, Incarnation, NodeId, Offset, ServiceName};
use crate::core::routes::Routes;
use crate::gate::queue::RequestQueue;
use crate::lease::clock;
use crate::lease::holder::Lease;
use crate::lease::message::IncarnationId;
use crate::lease::takeover::Takeover;
use crate::lease::witness::Witness;
use crate::place::relief::Demand;
use crate::route::budget::Budget;
use crate::route::round_robin::WeightedRoundRobin;
use crate::table::Table;
use crate::table::member::{Instance, Member, Server};

/// The backend server beside the node, as it reported last.
#[derive(Clone, Debug)]
pub(crate) struct BackendStatus {
    /// The last report.
    pub report: ServerReport,
    /// When it came.
    pub heard: Instant,
    /// When it first said that it leaves.
    pub leaving: Option<Instant>,
}

impl BackendStatus {
    /// What the table says of it.
    pub fn server(&self) -> Server {
        Server {
            instance: self.report.instance.clone(),
            slots: self.report.slots,
            draining: self.leaving.is_some(),
        }
    }
}

/// One node.
pub(crate) struct Node {
    /// What it was told at its start, and with each reload.
    pub settings: RefCell<NodeSettings>,
    /// The platform.
    pub platform: Platform,
    /// This run of the process.
    pub run_id: u64,
    /// This node in its present incarnation.
    pub holder: RefCell<Holder>,
    /// When it started.
    pub started: Instant,
    /// The configuration; `None` until one is known.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// Turns true with the first configuration.
    pub configured: watch::Sender<bool>,
    /// Failure domains that are taken out, and since when.
    pub drained_domains: RefCell<HashMap<DomainName, Instant>>,
    /// The table.
    pub table: RefCell<Table>,
    /// How far the table has been read; `None` until it was read whole.
    pub table_offset: watch::Sender<Option<Offset>>,
    /// How far others have read the orders.
    pub orders_published: watch::Sender<Offset>,
    /// Makes the next read of the table due.
    pub table_read_due: Notify,
    /// When this node last guessed that the table had moved.
    pub table_read_requested: Cell<Option<Instant>>,
    /// The backend server.
    pub server: RefCell<Option<BackendStatus>>,
    /// Wakes who announces this node.
    pub announce_wake: Notify,
    /// Wakes the keeper of keys.
    pub grants_wake: Notify,
    /// Tells that keys became active or were given up.
    pub held_changed: watch::Sender<u64>,
    /// The line before the backend server.
    pub queue: RefCell<RequestQueue>,
    /// Who waits in the line.
    pub tickets: Tickets,
    /// Wakes the line while the server is cold.
    pub queue_wake: Notify,
    /// Keys that the backend server holds.
    pub held: RefCell<HeldRanges>,
    /// Owners of keys that are members no more, and since when.
    pub departed_owners: RefCell<HashMap<Holder, Instant>>,
    /// Keys that were asked for lately.
    pub demand: RefCell<Demand>,
    /// What this owner has asked others, to find relief.
    pub load_query: RefCell<LoadQuery>,
    /// Room that was told to others.
    pub reservations: RefCell<Reservations>,
    /// Connections to gates.
    pub links: RefCell<HashMap<NodeId, Rc<Link>>>,
    /// Requests of other entries.
    pub sessions: Sessions,
    /// Requests of this node that run or wait at its own gate.
    pub local_requests: Cell<u32>,
    /// Durations by gate and sort of request.
    pub service_times: RefCell<super::selection::ServiceTimes>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<ServiceName, Rc<Budget>>>,
    /// Shares of routes that lead to several services.
    pub route_splits: RefCell<HashMap<String, WeightedRoundRobin>>,
    /// The longest time that callers of a sort were seen to grant.
    pub caller_timeouts: RefCell<HashMap<String, Duration>>,
    /// The lease.
    pub lease: RefCell<Option<Lease>>,
    /// What this node remembers as a witness.
    pub witness: RefCell<Witness>,
    /// Takeovers under way.
    pub takeovers: RefCell<HashMap<IncarnationId, Takeover>>,
    /// Socket for datagrams.
    pub udp: UdpSocket,
    /// Turns true when the node begins to stop.
    pub stopping: watch::Sender<bool>,
    /// When that was.
    pub stop_began: Cell<Option<Instant>>,
    /// Callers' requests under way.
    pub inflight: Cell<u32>,
    /// Counters.
    pub metrics: Metrics,
}

impl Node {
    /// Its name.
    pub fn name(&self) -> NodeId {
        self.settings.borrow().node.clone()
    }

    /// The service of the backend server beside it.
    pub fn service(&self) -> ServiceName {
        self.settings.borrow().service.clone()
    }

    /// This node in its present incarnation.
    pub fn holder(&self) -> Holder {
        self.holder.borrow().clone()
    }

    /// Whether it is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// How long it has been stopping.
    pub fn stopping_for(&self) -> Duration {
        self.stop_began.get().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// The configuration.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.borrow().clone()
    }

    /// Whether a failure domain is taken out.
    pub fn is_drained(&self, domain: &DomainName) -> bool {
        self.drained_domains.borrow().contains_key(domain)
    }

    /// The life of the backend server.
    pub fn server_instance(&self) -> Option<Instance> {
        self.server.borrow().as_ref().map(|s| s.report.instance.clone())
    }

    /// Whether the backend server's keys are divided among the targets of its service.
    pub fn is_keyed(&self) -> bool {
        let service = self.service();
        self.routes().is_some_and(|r| r.is_keyed(&service))
    }

    /// Whether a member may get new work.
    pub fn takes_work(&self, member: &Member) -> bool {
        member.takes_work() && !self.is_drained(&member.domain)
    }

    /// Whether a holder seems to be out of reach, or its keys are about to be taken over.
    pub fn is_suspect(&self, holder: &Holder) -> bool {
        let links = self.links.borrow();
        let silent = links.get(&holder.node).is_some_and(|l| l.is_suspect());
        silent || self.takeovers.borrow().contains_key(&IncarnationId::from(holder.inc))
    }

    /// Starts a new incarnation: what the former one owned is over for good.
    pub fn start_incarnation(&self, why: &str) {
        let fresh = Incarnation(fastrand::u64(..));
        let old = std::mem::replace(&mut self.holder.borrow_mut().inc, fresh);
        let (old, fresh) = (old.to_string(), fresh.to_string());
        spdlog::warn!("the node goes on under a new incarnation", kv: { why, old = old.as_str(), fresh = fresh.as_str() });
        self.lease.replace(None);
        let born = clock::now();
        self.witness.replace(Witness::new(IncarnationId::from(self.holder.borrow().inc), born));
        self.announce_wake.notify_one();
        self.grants_wake.notify_one();
    }

    /// The link to a member's gate; a member at another address than before gets a new one.
    pub fn link(&self, node: &NodeId, addr: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(node) {
            if link.addr == addr {
                return link.clone();
            }
            link.retire();
        }
        let link = Link::new(node.clone(), addr);
        links.insert(node.clone(), link.clone());
        link
    }

    /// Drops links to nodes that are members no more.
    pub fn prune_links(&self) {
        let table = self.table.borrow();
        self.links.borrow_mut().retain(|name, link| {
            let known = table.members.contains_key(name);
            if !known {
                link.retire();
            }
            known
        });
    }
}
