//! The configuration that operators publish: failure domains, policies, services and key ranges,
//! which refer to one another by name.
//!
//! [`read`] parses and validates a TOML text, and reports all its errors; [`change`] computes the
//! difference between two configurations and finds dangerous changes. All other modules expect a
//! [`Config`] that has passed validation.

pub mod change;
pub mod read;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ids::{Count, DomainName, PolicyName, RangeName, ServiceName, SliceId};
use crate::util::serial;

/// Name prefix of deduplication ranges (see [`KeyRange::dedup`]); reserved, so that no configured
/// range can have the name of one.
pub const DEDUP_PREFIX: &str = "once.";
/// Number of slices of a deduplication range.
const DEDUP_SLICES: u32 = 32;

/// Kind of a configured object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A zone whose hosts fail together.
    FailureDomain,
    /// Rules for handling requests: retries, deadline and weight.
    Policy,
    /// A set of interchangeable backend servers.
    Service,
    /// A range of keys of a service that is divided by key.
    KeyRange,
}

impl Kind {
    /// All kinds; an object only refers to kinds that come before its own.
    pub const ALL: [Kind; 4] = [Kind::FailureDomain, Kind::Policy, Kind::Service, Kind::KeyRange];

    /// Name of the kind in configuration files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::FailureDomain => "failure-domain",
            Kind::Policy => "policy",
            Kind::Service => "service",
            Kind::KeyRange => "key-range",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Domain {
    /// Region that the failure domain belongs to.
    pub region: String,
    /// Whether operators have drained the failure domain: its nodes get no new work.
    #[serde(rename = "out")]
    pub drained: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// idempotent
    Idempotent,
    /// once
    Once,
}

/// Rules for handling one class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Policy {
    /// Whether a request whose outcome is unknown may be retried.
    pub repeat: Repeat,
    /// Longest time from a request's arrival to its answer.
    #[serde(with = "serial")]
    pub deadline: Duration,
    /// Weight of a request under overload: requests of lower weight are rejected first.
    pub weight: u32,
    /// Maximum number of retries of a request, not counting the first attempt.
    pub retries: u32,
}

/// A service and the limits that apply to each of its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Failure domains that the service's targets are in.
    pub domains: Vec<DomainName>,
    /// Policy of GET and HEAD requests.
    pub read: PolicyName,
    /// Policy of all other requests.
    pub write: PolicyName,
    /// Maximum number of concurrent requests to a target, even if the target announces more.
    pub slots: Count,
    /// Maximum number of connections to a target, even if the target announces more.
    pub conns: Count,
    /// Time over which the load of a target that starts cold is ramped up to its full share.
    #[serde(with = "serial")]
    pub warmup: Duration,
}

/// A range of keys of a service, from `from` up to but not including `to`, compared bytewise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyRange {
    /// Service that the keys belong to.
    pub service: ServiceName,
    /// First key of the range.
    pub from: String,
    /// Exclusive upper bound; empty if the range is unbounded above.
    pub to: String,
    /// Number of slices that the keys are hashed into.
    pub slices: u32,
    /// Whether this is a deduplication range: its keys are the idempotency keys of requests to a
    /// service that is not divided by key. These ranges are not configured but derived from the
    /// services; see [`Config::all_ranges`].
    #[serde(rename = "once", default, skip_serializing_if = "std::ops::Not::not")]
    pub dedup: bool,
}

impl KeyRange {
    /// Whether `key` lies in the range.
    pub fn covers(&self, key: &str) -> bool {
        self.from.as_str() <= key && (self.to.is_empty() || key < self.to.as_str())
    }

    /// Whether the two ranges have keys in common.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        let ends_after_start = |a: &KeyRange, b: &KeyRange| a.to.is_empty() || a.to > b.from;
        ends_after_start(self, other) && ends_after_start(other, self)
    }

    /// Slice that `key` is hashed into.
    pub fn slice(&self, key: &str) -> SliceId {
        let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
        SliceId((hash % u64::from(self.slices)) as u32)
    }
}

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Config {
    /// Failure domains by name.
    pub failure_domain: BTreeMap<DomainName, Domain>,
    /// Policies by name.
    pub policy: BTreeMap<PolicyName, Policy>,
    /// Services by name.
    pub service: BTreeMap<ServiceName, Service>,
    /// Key ranges by name.
    pub key_range: BTreeMap<RangeName, KeyRange>,
}

impl Config {
    /// Whether the service is divided by key: its requests go to the owner of their key.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.key_range.values().any(|r| r.service == *service)
    }

    /// Key range of `service` that contains `key`.
    pub fn range_of(&self, service: &ServiceName, key: &str) -> Option<(&RangeName, &KeyRange)> {
        self.key_range.iter().find(|(_, r)| r.service == *service && r.covers(key))
    }

    /// Name of the deduplication range of `service`; `None` if it would be longer than a name may
    /// be.
    pub fn dedup_range(service: &ServiceName) -> Option<RangeName> {
        format!("{DEDUP_PREFIX}{service}").parse().ok()
    }

    /// The configured key ranges, and a deduplication range for each service that is not divided by
    /// key but has requests that must not run twice. The owner of a slice of a deduplication range
    /// keeps the outcomes of the requests whose idempotency keys are hashed into it.
    pub fn all_ranges(&self) -> BTreeMap<RangeName, KeyRange> {
        let mut all = self.key_range.clone();
        for (name, service) in &self.service {
            let policies = [&service.read, &service.write];
            let mut policies = policies.iter().filter_map(|p| self.policy.get(*p));
            let needs_dedup = policies.any(|p| p.repeat == Repeat::Once);
            let Some(range) =
                Config::dedup_range(name).filter(|_| needs_dedup && !self.is_keyed(name))
            else {
                continue;
            };
            let (from, to) = (String::new(), String::new());
            let service = name.clone();
            all.insert(range, KeyRange { service, from, to, slices: DEDUP_SLICES, dedup: true });
        }
        all
    }

    /// Whether the failure domain is configured and not drained.
    pub fn is_active(&self, domain: &DomainName) -> bool {
        self.failure_domain.get(domain).is_some_and(|d| !d.drained)
    }

    /// Formats the configuration as TOML that parses to an equal configuration.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}
