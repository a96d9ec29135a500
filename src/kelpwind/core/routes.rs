//! Routing table: maps host and path prefix of a request to services, with the rules for handling
//! it.
//!
//! A [`Routes`] value is a complete, validated configuration as the operators of a platform publish
//! it. It is immutable, and only a configuration with a higher version replaces it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::Repeat;
use super::ids::{Count, Revision, ServiceName};
use super::tenants::Tenants;

/// A service of a route, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service, relative to the other services of the route.
    pub weight: f64,
}

/// A route: requests to a host and path prefix, and the services that handle them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route; statistics and logs group requests by it.
    pub name: String,
    /// Host name to match, in lower case and without a port.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Longest time from a request's arrival to its answer.
    pub timeout: Duration,
    /// Latency objective: a later answer, up to `timeout`, is of less value to the caller.
    #[serde(rename = "aim")]
    pub objective: Duration,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority among the routes of a service; 0 is the highest.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Services that the requests are distributed to; never empty.
    #[serde(rename = "parts")]
    pub services: Vec<WeightedService>,
    /// Regions in which requests may be handled; empty if there is no restriction.
    pub regions: Vec<String>,
    /// Whether its answers are large and less urgent than others.
    #[serde(default)]
    pub bulk: bool,
    /// Whether its requests need no API key where the configuration has tenants.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Whether requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Idempotent
    }
}

/// How the targets of a keyed service learn which keys they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GrantMode {
    /// Each node calls the target beside it.
    #[default]
    Calls,
    /// Each target is told in the answers to its liveness reports.
    Reports,
}

/// A service and the limits of each of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check of the service's targets.
    #[serde(rename = "health")]
    pub health_path: String,
    /// Maximum number of connections that a target accepts.
    pub conns: Count,
    /// Maximum request rate of a cold target, in requests per second.
    pub cold_rate: f64,
    /// Time for which a target that starts under traffic stays cold.
    pub cold_time: Duration,
    /// Whether the service's keys are divided among its targets.
    pub keyed: bool,
    /// How the targets of a keyed service are granted keys.
    #[serde(default)]
    pub grants: GrantMode,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head (request line and headers), in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the whole head must arrive.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration has been read.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration of routes and services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Version of the configuration; a higher one replaces it.
    pub version: Revision,
    /// Services, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Tenants; `None` if the configuration has no table of them, and API keys mean nothing.
    pub tenants: Option<Tenants>,
    /// Routes by host, those with the longest path prefix first.
    by_host: HashMap<String, Vec<std::rc::Rc<Route>>>,
    /// Whether a route is bulk.
    bulk: bool,
}

impl Routes {
    /// Builds the configuration and indexes `routes` by host and path prefix.
    pub fn new(
        version: Revision,
        services: BTreeMap<ServiceName, Service>,
        limits: Limits,
        routes: Vec<Route>,
    ) -> Routes {
        let bulk = routes.iter().any(|r| r.bulk);
        let mut by_host: HashMap<String, Vec<std::rc::Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(std::rc::Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Routes { version, services, limits, tenants: None, by_host, bulk }
    }

    /// The same configuration with these tenants.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Routes {
        Routes { tenants, ..self }
    }

    /// Finds the route of `host` with the longest path prefix that matches `path`. `host` may
    /// include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::rc::Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Whether some routes have large answers, so that requests of unequal cost share servers and links.
    pub fn has_bulk(&self) -> bool {
        self.bulk
    }

    /// Iterates over all routes, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &std::rc::Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// Whether the service divides its keys among its targets.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.keyed)
    }

    /// How the targets of a service are granted keys.
    pub fn grant_mode(&self, service: &ServiceName) -> GrantMode {
        self.services.get(service).map(|s| s.grants).unwrap_or_default()
    }
}
