//! What operators order, in force on this node.

use std::rc::Rc;
use std::time::Instant;

use super::node::Node;
use super::platform_api::OperatorOrder;
use crate::core::ids::DomainName;
use crate::core::routes::Routes;
use crate::table::Record;

impl Node {
    /// What a record orders; `None` for one that cannot be read.
    pub fn decode_order(&self, record: &Record) -> Option<OperatorOrder> {
        match (self.platform.decode_order)(record) {
            Ok(order) => Some(order),
            Err(why) => {
                spdlog::error!("an order could not be read", kv: { key = record.key.as_str(), offset = record.offset.0, why = why.as_str() });
                None
            }
        }
    }

    /// Takes back failure domains that `orders`, a whole reading, does not name.
    pub fn restore_unnamed_domains(self: &Rc<Self>, orders: &[OperatorOrder]) {
        let is_named = |domain: &DomainName| {
            orders
                .iter()
                .any(|o| matches!(o, OperatorOrder::Drained(named, true) if named == domain))
        };
        let gone: Vec<_> =
            self.drained_domains.borrow().keys().filter(|d| !is_named(d)).cloned().collect();
        for domain in gone {
            self.set_out(domain, false);
        }
    }

    /// Puts an order in force.
    pub fn apply_order(self: &Rc<Self>, order: OperatorOrder) {
        match order {
            OperatorOrder::Routes(routes) => self.configure(*routes),
            OperatorOrder::Drained(domain, out) => self.set_out(domain, out),
            OperatorOrder::Other => {}
        }
    }

    fn configure(&self, routes: Routes) {
        let before = self.routes().map(|r| r.version);
        if before.is_some_and(|before| routes.version <= before) {
            return;
        }
        let (version, count) = (routes.version.0, routes.all().count());
        spdlog::info!("a configuration is in force", kv: { version, routes = count });
        self.routes.replace(Some(Rc::new(routes)));
        self.configured.send_replace(true);
        let rate = self.cold_rate();
        self.queue.borrow_mut().cold_start.set_rate(rate);
        self.grants_wake.notify_one();
    }

    fn set_out(self: &Rc<Self>, domain: DomainName, out: bool) {
        let name = domain.to_string();
        spdlog::info!("a failure domain changes", kv: { domain = name.as_str(), out });
        let own = self.settings.borrow().domain == domain;
        if out {
            self.drained_domains.borrow_mut().entry(domain).or_insert_with(Instant::now);
        } else if self.drained_domains.borrow_mut().remove(&domain).is_some() && own {
            self.assume_cold();
        }
        self.grants_wake.notify_one();
    }
}
