//! Tenants: whose request it is, and whether the tenant's quota allows it.

use std::rc::Rc;

use super::node::Node;
use super::platform_api::CallerRequest;
use super::request_state::{Failure, RequestState};
use super::selection::GateAddr;
use crate::core::codes::Code;
use crate::core::routes::Route;
use crate::core::tenants::{Tenant, Tenants};

impl Node {
    /// Finds out whose request it is, and restricts its route to what the tenant is allowed.
    pub fn admit_tenant(
        &self,
        tenants: &Tenants,
        route: &Rc<Route>,
        call: &CallerRequest,
    ) -> Result<(Rc<Route>, Option<Rc<Tenant>>), Code> {
        let key = (self.platform.api_key)(&call.request);
        match tenants.admit(key, route.public)? {
            Some(tenant) => Ok((tenant.restrict(route)?, Some(tenant.clone()))),
            None => Ok((route.clone(), None)),
        }
    }

    /// Refuses a tenant's request whose key is owned in a region where it may not be handled.
    pub(super) fn check_region(
        &self,
        state: &RequestState,
        gate: &GateAddr,
    ) -> Result<(), Failure> {
        let regions = &state.route.regions;
        if state.tenant.is_none() || regions.is_empty() {
            return Ok(());
        }
        let table = self.table.borrow();
        match table.members.get(&gate.node).is_some_and(|m| regions.contains(&m.region)) {
            true => Ok(()),
            false => Err(Failure { code: Code::NoTarget, retry_after: None }),
        }
    }
}
