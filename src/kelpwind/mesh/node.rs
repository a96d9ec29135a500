//! The state of one node, shared by its tasks.
//!
//! All tasks of a node run on one thread, so the state is plain cells. No borrow is held across an
//! await point.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use super::balance::{LoadQuery, Reservations};
use super::connection::Activity;
use super::gate::Tickets;
use super::held_ranges::HeldRanges;
use super::link::Link;
use super::metrics::Metrics;
use super::orders::OrdersProgress;
use super::platform_api::{NodeSettings, Platform, ServerReport};
use super::quarantine::SuspectChanges;
use super::report_exchanges::{ConnectionId, ReportExchanges};
use super::restoration::Restoration;
use super::serve::Sessions;
use super::server_exits::RunningRequest;
use super::statements::ServerStatements;
use super::store_era::StoreEra;
use super::tenants::Quotas;
use crate::core::ids::{DomainName, Era, Holder, Incarnation, NodeId, Position, ServiceName};
use crate::core::routes::Routes;
use crate::gate::bulk::BulkAnswers;
use crate::gate::call_tree::CallTrees;
use crate::gate::grant_time::TransitTimes;
use crate::gate::queue::RequestQueue;
use crate::gate::server_runs::ServerRuns;
use crate::lease::clock::{self, BootInstant};
use crate::lease::holder::Lease;
use crate::lease::message::IncarnationId;
use crate::lease::takeover::Takeover;
use crate::lease::witness::Witness;
use crate::net::memory::MemoryAccount;
use crate::net::pacing::Pacer;
use crate::place::relief::Demand;
use crate::route::answer_times::AnswerTimes;
use crate::route::budget::Budget;
use crate::route::quarantine::Quarantine;
use crate::route::round_robin::WeightedRoundRobin;
use crate::table::Table;
use crate::table::member::{Instance, Member, Server};

/// Largest difference between two consecutive incarnations of a node. Leaves room for millions.
const INCARNATION_STEP_MAX: u64 = 1 << 40;

/// The backend server beside the node, according to its last report.
#[derive(Clone, Debug)]
pub(crate) struct BackendStatus {
    pub report: ServerReport,
    /// When the last report arrived.
    pub received: Instant,
}

/// The state of one node.
pub(crate) struct Node {
    /// Settings; a reload may change their bounds.
    pub settings: RefCell<NodeSettings>,
    /// The functions of the platform.
    pub platform: Platform,
    /// Random id of this run of the process.
    pub run_id: u64,
    /// The name and the current incarnation of this node.
    pub holder: RefCell<Holder>,
    /// When the process started.
    pub started: Instant,
    /// The same on the clock of leases.
    pub started_boot: BootInstant,
    /// When a later run under the name of this node was found to have joined.
    pub replaced_at: Cell<Option<Instant>>,
    /// The configuration; `None` until one is known.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// Becomes true when the first configuration arrives.
    pub configured: watch::Sender<bool>,
    /// Drained failure domains and the time at which each drain became known.
    pub drained_domains: RefCell<HashMap<DomainName, Instant>>,
    /// The table as far as this node has read it.
    pub table: RefCell<Table>,
    /// How far the table has been read; `None` until the first full read.
    pub table_position: watch::Sender<Option<Position>>,
    /// The table of the present era, until it replaces that of the former one.
    pub restoration: RefCell<Option<Restoration>>,
    /// When the store told of the era whose table is in force, if another one was in force before.
    pub restored_at: Cell<Option<Instant>>,
    /// When this node, before its first read of the table, learned of the present era.
    pub era_since: Cell<Instant>,
    /// A later era that another node has told of, and when.
    pub announced_era: Cell<Option<(Era, Instant)>>,
    /// Number of conditional writes whose outcome is not known.
    pub uncertain_writes: Cell<u32>,
    /// How far the operators' topic has been read.
    pub orders: watch::Sender<OrdersProgress>,
    /// The era of the store.
    pub store_era: StoreEra,
    /// When the orders are read as a whole again after the store was restored.
    pub recheck_at: Cell<Option<Instant>>,
    /// Triggers a read of the operators' topic that does not wait.
    pub orders_check: Notify,
    /// When such a read was last requested.
    pub orders_check_requested: Cell<Option<Instant>>,
    /// Triggers the next read of the table.
    pub table_read_due: Notify,
    /// When a read was last requested on the assumption that the table had changed.
    pub table_read_requested: Cell<Option<Instant>>,
    /// The backend server; `None` until it reports.
    pub server: RefCell<Option<BackendStatus>>,
    /// The instance that last was the backend server.
    pub last_instance: RefCell<Option<Instance>>,
    /// The instance that was detached because it could not be connected to.
    pub unreachable_server: RefCell<Option<Instance>>,
    /// The instance that was last asked for its state before a report attached it.
    pub verified_server: RefCell<Option<Instance>>,
    /// Whether an instance is being asked for its state.
    pub verifying: Cell<bool>,
    /// A server that reported and was not healthy when it was asked, and when it first was.
    pub unhealthy_server: RefCell<Option<(Instance, Instant)>>,
    /// Whether a check is in progress whether the backend server's listener is open.
    pub checking_listener: Cell<bool>,
    /// Wakes the task that writes this node's record.
    pub announce_wake: Notify,
    /// Wakes the task that grants keys to the backend server.
    pub grants_wake: Notify,
    /// Exchanges with a backend server that is granted keys in the answers to its reports.
    pub report_exchanges: RefCell<ReportExchanges>,
    /// Notified after each check of which keys the backend server is to hold.
    pub keys_checked: Notify,
    /// Counts changes of the keys that the backend server holds.
    pub held_changed: watch::Sender<u64>,
    /// What backend servers state of themselves.
    pub statements: RefCell<ServerStatements>,
    /// Requests at the backend server.
    pub server_runs: RefCell<ServerRuns<Rc<RunningRequest>>>,
    /// Seed of the fingerprints by which they are compared.
    pub fingerprint_seed: u64,
    /// Whether a check is in progress whether the backend server's process has ended.
    pub checking_exit: Cell<bool>,
    /// Requests under which backend servers have ended.
    pub quarantine: RefCell<Quarantine>,
    /// What of it is still to be written or passed on.
    pub suspect_changes: RefCell<SuspectChanges>,
    /// Wakes the task that does so.
    pub suspects_wake: Notify,
    /// The queue in front of the backend server.
    pub queue: RefCell<RequestQueue>,
    /// What became of recent requests and of the calls that they made.
    pub call_trees: RefCell<CallTrees>,
    /// Predicted costs of requests, and the work that is left at the backend server.
    pub work: RefCell<super::gate::GateWork>,
    /// Requests that wait in the queue.
    pub tickets: Tickets,
    /// Wakes the task that starts queued requests during a cold start.
    pub queue_wake: Notify,
    /// Keys that the backend server holds.
    pub held: RefCell<HeldRanges>,
    /// How much longer than its lease this incarnation's grants may last; `None` until its record is
    /// first made.
    pub grant_excess: Cell<Option<Duration>>,
    /// How long recent grants took.
    pub transit_times: RefCell<TransitTimes>,
    /// Owners of keys that are no longer members, and since when.
    pub departed_owners: RefCell<HashMap<Holder, Instant>>,
    /// Recently requested keys.
    pub demand: RefCell<Demand>,
    /// The last query of this owner for the load of others.
    pub load_query: RefCell<LoadQuery>,
    /// When this owner last found no owner to shed hot keys to.
    pub shed_failed: Cell<Option<Instant>>,
    /// Capacity reserved for overloaded owners that have asked for this owner's load.
    pub reservations: RefCell<Reservations>,
    /// Memory for bodies and answers.
    pub memory: MemoryAccount,
    /// Pacing of large messages to other nodes.
    pub pacer: Rc<Pacer>,
    /// Large answers of the backend server.
    pub bulk_answers: RefCell<BulkAnswers>,
    /// Connections to the gates of other nodes.
    pub links: RefCell<HashMap<NodeId, Rc<Link>>>,
    /// Sessions of other nodes' entries with this gate.
    pub sessions: Sessions,
    /// Requests of this node's entry that run or wait at its own gate.
    pub local_requests: Cell<u32>,
    /// Service times by gate and request class.
    pub service_times: RefCell<super::selection::ServiceTimes>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<HashMap<ServiceName, Rc<Budget>>>,
    /// Weighted choice among the services of a route, by route name.
    pub route_splits: RefCell<HashMap<String, WeightedRoundRobin>>,
    /// Longest timeout seen from callers, by route name.
    pub caller_timeouts: RefCell<HashMap<String, Duration>>,
    /// This node's own lease.
    pub lease: RefCell<Option<Lease>>,
    /// This node's state as a witness of other holders.
    pub witness: RefCell<Witness>,
    /// Takeovers in progress, by incarnation of the holder.
    pub takeovers: RefCell<HashMap<IncarnationId, Takeover>>,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Socket for datagrams between nodes.
    pub udp: UdpSocket,
    /// Becomes true when the node begins to stop.
    pub stopping: watch::Sender<bool>,
    /// When the node began to stop.
    pub stop_began: Cell<Option<Instant>>,
    /// When a node that stops ends all requests; `None` while it runs.
    pub work_ends: Cell<Option<Instant>>,
    /// Whether a node that stops has ended all requests.
    pub work_ended: watch::Sender<bool>,
    /// How long the answers of each route take.
    pub answer_times: RefCell<HashMap<String, AnswerTimes>>,
    /// Number of the last connection that was accepted.
    pub last_connection: Cell<u64>,
    /// Callers' requests in progress.
    pub inflight: Cell<u32>,
    /// Connections of callers, by number.
    pub callers: RefCell<HashMap<u64, Rc<Activity>>>,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl Node {
    pub fn name(&self) -> NodeId {
        self.settings.borrow().node.clone()
    }

    /// The service of the backend server beside the node.
    pub fn service(&self) -> ServiceName {
        self.settings.borrow().service.clone()
    }

    /// The name and the current incarnation of this node.
    pub fn holder(&self) -> Holder {
        self.holder.borrow().clone()
    }

    /// Number of a connection that was just accepted.
    pub fn next_connection(&self) -> ConnectionId {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        ConnectionId(number)
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Time since the node began to stop; zero while it runs.
    pub fn stopping_for(&self) -> Duration {
        self.stop_began.get().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// The configuration; `None` until one is known.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.borrow().clone()
    }

    /// Whether a failure domain is drained.
    pub fn is_drained(&self, domain: &DomainName) -> bool {
        self.drained_domains.borrow().contains_key(domain)
    }

    /// The instance of the backend server.
    pub fn server_instance(&self) -> Option<Instance> {
        self.server.borrow().as_ref().map(|s| s.report.instance.clone())
    }

    /// When the backend server first said that it is about to shut down; `None` if it has not, or
    /// there is none.
    pub fn server_leaving_since(&self) -> Option<Instant> {
        let server = self.server.borrow();
        self.statements.borrow().leaving_since(&server.as_ref()?.report.instance)
    }

    /// The backend server as this node's record in the table describes it.
    pub fn recorded_server(&self) -> Option<Server> {
        let server = self.server.borrow();
        let report = &server.as_ref()?.report;
        let draining = self.server_leaving_since().is_some();
        Some(Server { instance: report.instance.clone(), slots: report.slots, draining })
    }

    /// Whether the backend server's keys are divided among the targets of its service.
    pub fn is_keyed(&self) -> bool {
        let service = self.service();
        self.routes().is_some_and(|r| r.is_keyed(&service))
    }

    /// Whether a member may be sent new work.
    pub fn takes_work(&self, member: &Member) -> bool {
        member.takes_work() && !self.is_drained(&member.domain)
    }

    /// Whether a holder seems unreachable or a takeover of its keys is in progress.
    pub fn is_suspect(&self, holder: &Holder) -> bool {
        let links = self.links.borrow();
        let silent = links.get(&holder.node).is_some_and(|l| l.is_suspect());
        silent || self.takeovers.borrow().contains_key(&IncarnationId::from(holder.inc))
    }

    /// Starts a new incarnation, without a lease. Ownership under the previous one ends for good.
    pub fn start_incarnation(&self, why: &str) {
        let latest = self.table.borrow().latest_incarnation(&self.name());
        let fresh = later_than(latest.unwrap_or_default().max(self.holder.borrow().inc));
        let old = std::mem::replace(&mut self.holder.borrow_mut().inc, fresh);
        let (old, fresh) = (old.to_string(), fresh.to_string());
        spdlog::warn!("the node goes on under a new incarnation", kv: { why, old = old.as_str(), fresh = fresh.as_str() });
        self.lease.replace(None);
        self.grant_excess.set(None);
        let now = clock::now();
        self.witness.replace(Witness::new(IncarnationId::from(self.holder.borrow().inc), now));
        self.announce_wake.notify_one();
        self.grants_wake.notify_one();
    }

    /// The link to a member's gate. A member whose address has changed gets a new link.
    pub fn link(&self, node: &NodeId, addr: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(node) {
            if link.addr == addr {
                return link.clone();
            }
            link.retire();
        }
        let link = Link::new(node.clone(), addr, self.memory.clone(), self.pacer.clone());
        links.insert(node.clone(), link.clone());
        link
    }

    /// Drops links to nodes that are no longer members.
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

/// A new incarnation that is later than `former`. Random, since other nodes know incarnations by
/// their numbers alone.
fn later_than(former: Incarnation) -> Incarnation {
    Incarnation(former.0.saturating_add(1 + fastrand::u64(..INCARNATION_STEP_MAX)))
}
