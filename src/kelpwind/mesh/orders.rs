//! Applies operators' orders to this node: the configuration, and failure domains that are drained.
//!
//! Callers may use a new configuration as soon as the store has acknowledged it, before this node
//! has read it. So a request that the present configuration does not allow is rejected as invalid
//! only after the store has confirmed that there is no newer one ([`Node::confirm_config`]).

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::entry::ANSWER_MARGIN;
use super::node::Node;
use super::platform_api::{Batch, CallerRequest, OperatorOrder};
use crate::core::freshness::Freshness;
use crate::core::ids::{DomainName, Offset, Revision};
use crate::core::routes::Routes;
use crate::gate::share;
use crate::table::{Record, polling};

/// Longest time that a request waits until the store has confirmed the configuration. The store
/// usually answers in milliseconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a confirmation counts when the store was asked too lately to be asked again: the
/// time within which an accepted configuration must be in force everywhere.
const CONFIRMED_FOR: Duration = Duration::from_secs(2);

/// Time in which operators write again what the store has lost. Until then a failure domain stays
/// drained although the order is not in the store.
const OPERATOR_TIME: Duration = Duration::from_secs(5);

/// How far the orders have been read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OrdersProgress {
    /// Offset up to which this node has read them.
    pub next: Offset,
    /// What is known of their end.
    pub freshness: Freshness,
    /// Whether the last read failed.
    pub failing: bool,
    /// Whether the newest configuration could not be decoded.
    pub skipped: bool,
}

impl OrdersProgress {
    /// Records an answer of the store, which at the time `at` had no records beyond it.
    pub fn record_read(&mut self, batch: &Batch, at: Instant) {
        self.next = batch.next;
        self.freshness.observe(at, batch.end);
        self.failing = false;
    }

    /// Whether this node has read, and could decode, all orders that were published before `since`.
    fn is_current(&self, since: Instant) -> bool {
        !self.skipped && self.freshness.is_current(self.next, since)
    }
}

/// Whether a configuration is the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// The store has confirmed that there is no newer one.
    Newest,
    /// A newer one is in force now.
    Replaced,
    /// The store does not confirm it.
    Unknown,
}

impl Node {
    /// Finds out whether the configuration with this version was the newest one when a request
    /// arrived. The store is asked, unless that was done lately; then a confirmation of the last
    /// [`CONFIRMED_FOR`] counts.
    pub async fn confirm_config(
        &self,
        version: Revision,
        arrived: Instant,
        call: &CallerRequest,
    ) -> Confirmation {
        let replaced = || self.routes().is_some_and(|r| r.version > version);
        let mut orders = self.orders.subscribe();
        let oldest = Instant::now().checked_sub(CONFIRMED_FOR).unwrap_or(self.started);
        let known = orders.borrow().is_current(arrived);
        let since = if known || self.request_orders_check() { arrived } else { oldest };
        // A timeout is no error: the store has not confirmed the configuration.
        let settled =
            orders.wait_for(|o| replaced() || o.failing || o.skipped || o.is_current(since));
        let left = call.remaining.map_or(CONFIRM_TIMEOUT, |t| t.saturating_sub(ANSWER_MARGIN));
        drop(timeout(left.min(CONFIRM_TIMEOUT), settled).await);
        if replaced() {
            return Confirmation::Replaced;
        }
        if orders.borrow().is_current(since) {
            return Confirmation::Newest;
        }
        Confirmation::Unknown
    }

    /// Makes the store tell at once whether there are newer orders. Returns false if it was asked
    /// too lately.
    fn request_orders_check(&self) -> bool {
        let interval = polling::min_speculative_interval(self.member_count());
        let due = self.orders_check_requested.get().is_none_or(|at| at.elapsed() >= interval);
        if due {
            self.orders_check_requested.set(Some(Instant::now()));
            self.orders_check.notify_one();
        }
        due
    }

    /// Decodes records of the orders topic. One that cannot be decoded is logged and skipped, but a
    /// configuration that was skipped is remembered, since it may allow what the last one does not.
    pub fn decode_orders(&self, records: &[Record]) -> Vec<OperatorOrder> {
        let mut skipped = self.orders.borrow().skipped;
        let mut orders = Vec::new();
        for record in records {
            match (self.platform.decode_order)(record) {
                Ok(order) => {
                    skipped &= !matches!(order, OperatorOrder::Routes(_));
                    orders.push(order);
                }
                Err(e) => {
                    skipped |= e.routes;
                    spdlog::error!("failed to decode a record of the orders topic", kv: { key = record.key.as_str(), offset = record.offset.0, why = e.why.as_str() });
                }
            }
        }
        self.orders.send_modify(|orders| orders.skipped = skipped);
        orders
    }

    /// Puts drained failure domains back into use if `orders`, which holds the whole topic, no
    /// longer drains them.
    pub fn restore_undrained_domains(self: &Rc<Self>, orders: &[OperatorOrder]) {
        let is_drained = |domain: &DomainName| {
            orders
                .iter()
                .any(|o| matches!(o, OperatorOrder::Drained(drained, true) if drained == domain))
        };
        let restored: Vec<_> =
            self.drained_domains.borrow().keys().filter(|d| !is_drained(d)).cloned().collect();
        for domain in restored {
            self.set_domain_drained(domain, false);
        }
    }

    /// Ends exemptions from the quarantine that `orders`, which holds the whole topic, does not list.
    pub fn end_unlisted_exemptions(&self, orders: &[OperatorOrder]) {
        let is_exempt = |digest| {
            orders.iter().any(|o| matches!(o, OperatorOrder::Exempt(d, true) if *d == digest))
        };
        self.quarantine.borrow_mut().retain_exempt(is_exempt);
    }

    /// Forgets how far the orders were read: after the store was restored their offsets differ. What
    /// was read stays in force.
    pub fn forget_orders_progress(&self) {
        self.orders.send_modify(|orders| {
            *orders = OrdersProgress { skipped: orders.skipped, ..OrdersProgress::default() };
        });
        self.recheck_at.set(Some(Instant::now() + OPERATOR_TIME));
    }

    /// Whether operators may not yet have written again what the store has lost.
    pub fn awaits_operators(&self) -> bool {
        self.recheck_at.get().is_some()
    }

    /// Whether the orders are to be read as a whole because operators have written them again by now.
    pub fn is_recheck_due(&self) -> bool {
        let due = self.recheck_at.get().is_some_and(|at| at <= Instant::now());
        if due {
            self.recheck_at.set(None);
        }
        due
    }

    /// Applies an order.
    pub fn apply_order(self: &Rc<Self>, order: OperatorOrder) {
        match order {
            OperatorOrder::Routes(routes) => self.apply_routes(*routes),
            OperatorOrder::Drained(domain, drained) => self.set_domain_drained(domain, drained),
            OperatorOrder::Exempt(digest, exempt) => self.set_exempt(digest, exempt),
            OperatorOrder::Other => {}
        }
    }

    /// Puts a configuration into force unless a version at least as new already is.
    fn apply_routes(&self, routes: Routes) {
        let before = self.routes().map(|r| r.version);
        if before.is_some_and(|before| routes.version <= before) {
            return;
        }
        let (version, count) = (routes.version.0, routes.all().count());
        spdlog::info!("a configuration is in force", kv: { version, routes = count });
        let link_rate = self.settings.borrow().limits.link_rate.filter(|_| routes.has_bulk());
        self.pacer.set_rate(link_rate);
        let sharing = routes.has_bulk();
        let short = share::short_classes(&routes, &self.service());
        self.routes.replace(Some(Rc::new(routes)));
        self.queue.borrow_mut().set_sharing(sharing);
        self.queue.borrow_mut().set_short_classes(short);
        self.configured.send_replace(true);
        self.quotas.wake.notify_one();
        let rate = self.cold_rate();
        self.queue.borrow_mut().cold_start.set_rate(rate);
        self.grants_wake.notify_one();
    }

    /// Drains a failure domain, or puts it back into use. If it is this node's, its backend server
    /// may have been emptied meanwhile and be cold.
    fn set_domain_drained(self: &Rc<Self>, domain: DomainName, drained: bool) {
        let name = domain.to_string();
        spdlog::info!("a failure domain changes", kv: { domain = name.as_str(), out = drained });
        let own = self.settings.borrow().domain == domain;
        if drained {
            self.drained_domains.borrow_mut().entry(domain).or_insert_with(Instant::now);
        } else if self.drained_domains.borrow_mut().remove(&domain).is_some() && own {
            self.assume_cold();
        }
        self.grants_wake.notify_one();
    }
}
