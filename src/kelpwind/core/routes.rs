//! Routes: which host and path lead to which service, and how their requests may be handled.
//!
//! A [`Routes`] value is a whole checked configuration as the operators of a platform publish it.
//! It is replaced as one, never changed in place, and only by one with a higher version.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::Repeat;
use super::ids::{Count, Revision, ServiceName};

/// A service that a route leads to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other parts.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, which also names the sort of its requests in statistics and logs.
    pub name: String,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// Path prefix of its requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run again.
    pub repeat: Repeat,
    /// Longest time a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// Latency objective: an answer within it is worth most to the caller.
    #[serde(rename = "aim")]
    pub objective: Duration,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Rank among the routes of a service; 0 is the most important.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// The services it leads to; never empty.
    #[serde(rename = "parts")]
    pub services: Vec<WeightedService>,
    /// Regions in which its requests may be handled; empty for all.
    pub regions: Vec<String>,
}

impl Route {
    /// Whether its requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Idempotent
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of its targets' health answers.
    #[serde(rename = "health")]
    pub health_path: String,
    /// Most connections that one target accepts.
    pub conns: Count,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Time for which a target is cold after it started during traffic.
    pub cold_time: Duration,
    /// Whether its keys are divided among its targets.
    pub keyed: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Its version; a higher one replaces it.
    pub version: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits for callers.
    pub limits: Limits,
    by_host: HashMap<String, Vec<std::rc::Rc<Route>>>,
}

impl Routes {
    /// A configuration of these routes.
    pub fn new(
        version: Revision,
        services: BTreeMap<ServiceName, Service>,
        limits: Limits,
        routes: Vec<Route>,
    ) -> Routes {
        let mut by_host: HashMap<String, Vec<std::rc::Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(std::rc::Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Routes { version, services, limits, by_host }
    }

    /// The route with the longest prefix that begins the path. `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::rc::Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// All routes, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &std::rc::Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// Whether the service divides its keys among its targets.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.keyed)
    }
}
