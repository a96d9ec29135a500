//! Moves keys from an overloaded owner to less busy owners. This module collects the loads from
//! which [`crate::place::relief`] chooses the moves.
//!
//! An owner queries others only when it is overloaded, and queries only a random sample large
//! enough to take the excess load, so the number of messages does not grow with the number of
//! owners. An owner that replies counts the load it was asked to take as its own for a while, so
//! that two overloaded owners do not both fill the same free capacity.
//!
//! Where requests of unequal cost share servers ([`crate::core::routes::Routes::has_bulk`]) and the setting
//! `placing.shed-hot-keys` is on, an owner also looks for an excess that is certain, twenty times a
//! second, and sheds the hot span to several owners at once. The setting is off by default: each of the
//! many small moves costs all nodes calls to the store. Loads of others are converted by the measured service times, so that faster servers take more.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::datagram::Datagram;
use super::node::Node;
use crate::core::ids::{Holder, NodeId};
use crate::place::relief::{self, Excess, OwnerLoad};
use crate::table::keys::{Owner, Span};

/// Time between two checks of this owner's load.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a move starts, until its effect shows: entries still send requests that are in
/// flight to the former owner.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time between two checks for an excess that is certain.
const EXCESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after hot spans begin to be shed. Requests for them are no longer counted here, so what
/// remains shows sooner than after other moves.
const SHED_SETTLE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of ranges per owner of a service, on average. Each range needs a grant that must
/// be renewed.
const RANGES_PER_OWNER_MAX: usize = 12;
/// Time to wait for load replies: a round trip between failure domains with some slack.
const REPLY_WAIT: Duration = Duration::from_millis(40);
/// Time for which capacity offered to one querying owner is not offered to another.
const RESERVATION_TIME: Duration = Duration::from_millis(1200);

/// The latest load query that this owner sent, with the replies so far.
#[derive(Debug, Default)]
pub(crate) struct LoadQuery {
    /// Random number of the query, which the replies repeat.
    query: u32,
    replies: Vec<OwnerLoad>,
    /// The owners that were queried. Replies name them by backend server.
    owners: Vec<Owner>,
}

/// Work in slots that other owners asked this one to take, with the time of each query.
pub(crate) type Reservations = Vec<(Instant, f64)>;

/// Moves keys away whenever this owner is overloaded, for as long as the process runs.
pub(crate) async fn rebalance(node: Rc<Node>) {
    let mut checked = Instant::now();
    loop {
        let by_work = node.sheds_hot_keys();
        sleep(if by_work { EXCESS_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
        if !node.can_rebalance() {
            continue;
        }
        if by_work {
            if let Some(excess) = node.certain_excess()
                && node.shed(excess).await
            {
                sleep(SHED_SETTLE_TIME).await;
                continue;
            }
            if checked.elapsed() < CHECK_INTERVAL {
                continue;
            }
            checked = Instant::now();
        }
        let Some(own) = node.own_load() else { continue };
        let requests = node.demand.borrow().len();
        if !relief::is_overloaded(&own, requests) {
            continue;
        }
        node.query_loads(&own).await;
        sleep(REPLY_WAIT).await;
        let moves = node.choose_moves(&own);
        if moves.is_empty() {
            continue;
        }
        let keys: u32 = moves.iter().map(|(s, _)| s.width()).sum();
        spdlog::info!("keys move to less busy owners", kv: {
            busy = own.utilization(), slots = own.slots, requests, keys, ranges = moves.len()
        });
        if node.start_counted_moves(moves) {
            node.metrics.count_moved_keys("count", keys);
            sleep(SETTLE_TIME).await;
        }
    }
}

impl Node {
    fn can_rebalance(&self) -> bool {
        let warm = !self.queue.borrow().cold_start.is_cold(Instant::now());
        self.is_keyed() && !self.is_stopping() && warm && !self.is_changing_keys()
    }

    /// Whether requests of unequal cost share servers, so that the choice of targets and the placing of
    /// keys weigh the work of requests.
    pub fn weighs_work(&self) -> bool {
        self.routes.borrow().as_ref().is_some_and(|r| r.has_bulk())
    }

    /// Whether hot spans are shed as soon as an excess is certain.
    fn sheds_hot_keys(&self) -> bool {
        self.settings.borrow().shed_hot_keys && self.weighs_work()
    }

    /// This owner's load; `None` while it has no backend server.
    fn own_load(&self) -> Option<OwnerLoad> {
        let owner = Owner { holder: self.holder(), instance: self.server_instance()? };
        let now = Instant::now();
        let rate = self.demand.borrow_mut().rate(now);
        let excess = if self.sheds_hot_keys() { self.certain_excess() } else { None };
        let queue = self.queue.borrow();
        let work = rate * queue.typical_time().as_secs_f64();
        let work = excess.map_or(work, |excess| excess.work.max(work));
        Some(OwnerLoad { owner, work, slots: queue.capacity() })
    }

    /// The excess of requests for this owner's keys that chance does not explain.
    fn certain_excess(&self) -> Option<Excess> {
        let (slots, typical) = {
            let queue = self.queue.borrow();
            (queue.capacity(), queue.typical_time())
        };
        let find = || relief::certain_excess(&self.demand.borrow(), slots, typical, Instant::now());
        find()?;
        // Moves may begin with the next report only, and until then requests for their keys count.
        let held = self.held.borrow();
        self.demand.borrow_mut().retain(|key| held.is_staying(key));
        find()
    }

    /// Transfers hot spans to several owners at once. Returns whether there are moves.
    async fn shed(self: &Rc<Self>, excess: Excess) -> bool {
        let now = Instant::now();
        let Some(mut own) = self.own_load() else { return false };
        if self.shed_failed.get().is_some_and(|at| now - at < CHECK_INTERVAL) {
            return false;
        }
        own.work = excess.work;
        self.query_loads(&own).await;
        sleep(REPLY_WAIT).await;
        // More requests are known by now.
        let excess = self.certain_excess().unwrap_or(excess);
        own.work = excess.work;
        let moves = self.movable_spans(&own).map(|spans| {
            relief::plan_shedding(&own, &excess.demand, &spans, &self.load_query.borrow().replies)
        });
        let moves = moves.unwrap_or_default();
        // Without an owner that has room, the others are not asked again at once.
        if moves.is_empty() {
            self.shed_failed.set(Some(now));
            return false;
        }
        let keys: u32 = moves.iter().map(|(s, _)| s.width()).sum();
        spdlog::info!("hot keys are shed", kv: {
            busy = own.utilization(), slots = own.slots, requests = excess.demand.len(), keys,
            ranges = moves.len(), replies = self.load_query.borrow().replies.len()
        });
        let started = self.start_counted_moves(moves);
        if started {
            self.metrics.count_moved_keys("excess", keys);
        }
        started
    }

    /// Starts moves and no longer counts the requests for their keys. Returns whether they started.
    fn start_counted_moves(self: &Rc<Self>, moves: Vec<(Span, Owner)>) -> bool {
        let spans: Vec<Span> = moves.iter().map(|(span, _)| *span).collect();
        let started = self.start_moves(moves);
        if started {
            spans.iter().for_each(|span| self.demand.borrow_mut().remove_span(*span));
        }
        started
    }

    /// Asks a random sample of other owners for their load, and resets the replies.
    async fn query_loads(&self, own: &OwnerLoad) {
        let service = self.service();
        let mut queried: Vec<(Owner, std::net::SocketAddr)> = {
            let table = self.table.borrow();
            let recipients = self.recipients(&table, &service, Some(&own.owner.holder));
            let addr = |node: &NodeId| table.members.get(node).map(|m| m.addr);
            let owners = recipients.into_iter().map(|r| r.owner);
            owners.filter_map(|o| Some((o.clone(), addr(&o.holder.node)?))).collect()
        };
        fastrand::shuffle(&mut queried);
        queried.truncate(relief::owners_to_ask(own));
        let query = fastrand::u32(..);
        let owners = queried.iter().map(|(o, _)| o.clone()).collect();
        self.load_query.replace(LoadQuery { query, replies: Vec::new(), owners });
        let work =
            ((own.utilization() - relief::OVERLOAD_THRESHOLD / 2.0) * own.slots * 1000.0) as u32;
        let work = work / queried.len().max(1) as u32;
        for (_, addr) in queried {
            self.send_datagram(addr, &Datagram::LoadQuery { query, work }).await;
        }
    }

    /// Returns the reply to a load query, and reserves `wanted`, the work in thousandths of a slot
    /// that the querying owner wants to give away. `None` when this owner has no backend server,
    /// when that is cold, and when all keys must leave this node.
    pub fn answer_load_query(&self, query: u32, wanted: u32) -> Option<Datagram> {
        let own = self.own_load()?;
        let cold = self.queue.borrow().cold_start.is_cold(Instant::now());
        if cold || self.must_give_up_keys() {
            return None;
        }
        let mut reserved = self.reservations.borrow_mut();
        reserved.retain(|(at, _)| at.elapsed() < RESERVATION_TIME);
        let reserved_work: f64 = reserved.iter().map(|(_, work)| work).sum();
        let work = own.work + reserved_work;
        reserved.push((Instant::now(), f64::from(wanted) / 1000.0));
        let server = own.owner.instance.id;
        Some(Datagram::LoadReply {
            query,
            server,
            work: (work * 1000.0) as u32,
            slots: (own.slots * 1000.0) as u32,
            service_us: self.queue.borrow().typical_time().as_micros() as u32,
        })
    }

    /// Records a reply to the latest query. Replies to earlier queries and from owners that were
    /// not queried are ignored. `service_time` is the mean service time of the replying owner.
    pub fn record_load_reply(
        &self,
        query: u32,
        server: &str,
        (work, slots): (u32, u32),
        service_time: Duration,
    ) {
        let mut latest = self.load_query.borrow_mut();
        if latest.query != query {
            return;
        }
        let Some(owner) = latest.owners.iter().find(|o| o.instance.id == server).cloned() else {
            return;
        };
        let (work, slots) = (f64::from(work) / 1000.0, f64::from(slots) / 1000.0);
        let load = OwnerLoad { owner, work, slots };
        latest.replies.push(match self.weighs_work() {
            true => load.in_units_of(self.queue.borrow().typical_time(), service_time),
            false => load,
        });
    }

    /// Moves that relieve this owner, chosen from the replies. Empty when the service already has
    /// too many ranges.
    fn choose_moves(&self, own: &OwnerLoad) -> Vec<(Span, Owner)> {
        let Some(spans) = self.movable_spans(own) else { return Vec::new() };
        relief::plan_relief(own, &self.demand.borrow(), &spans, &self.load_query.borrow().replies)
    }

    /// The spans of this owner; `None` when the service already has too many ranges.
    fn movable_spans(&self, own: &OwnerLoad) -> Option<Vec<Span>> {
        let table = self.table.borrow();
        let keys = table.keys.get(&self.service())?;
        let owners: BTreeSet<&Holder> = keys.owners().collect();
        if keys.ranges.len() > RANGES_PER_OWNER_MAX * owners.len() {
            return None;
        }
        Some(keys.owned_by(&own.owner.holder).map(|r| r.span).collect())
    }
}
