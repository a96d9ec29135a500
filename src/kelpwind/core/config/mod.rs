//! The configuration that operators publish: failure domains, policies, services and key ranges,
//! which refer to one another by name.
//!
//! [`read`] turns a TOML text into a checked [`Config`] or into the list of all its faults;
//! [`change`] says what differs between two configurations and refuses dangerous changes. A
//! `Config` value always satisfies the checks.

pub mod change;
pub mod read;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ids::{Count, DomainName, PolicyName, RangeName, ServiceName, SliceId};
use crate::util::serde_duration;

/// What names of ranges of idempotency keys begin with; no configured range may.
pub const DEDUP_PREFIX: &str = "once.";
/// Slices of a range of idempotency keys.
const DEDUP_SLICES: u32 = 32;

/// Kinds of configured objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A zone whose machines fail together.
    FailureDomain,
    /// How requests may be handled.
    Policy,
    /// A set of equal backend servers.
    Service,
    /// A range of keys of a service that is divided by key.
    KeyRange,
}

impl Kind {
    /// All kinds, in the order in which they refer to one another.
    pub const ALL: [Kind; 4] = [Kind::FailureDomain, Kind::Policy, Kind::Service, Kind::KeyRange];

    /// The kind's name in files.
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
    /// Region it stands in.
    pub region: String,
    /// Whether the operators have taken it out: it gets no new work.
    #[serde(rename = "out")]
    pub drained: bool,
}

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// idempotent
    Idempotent,
    /// once
    Once,
}

/// How requests of one sort are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Policy {
    /// Whether a request with unknown outcome may be run again.
    pub repeat: Repeat,
    /// Longest time a request may take, from its arrival.
    #[serde(with = "serde_duration")]
    pub deadline: Duration,
    /// What a request weighs when not all can be served; the heaviest are shed last.
    pub weight: u32,
    /// Most tries of one request after the first.
    pub retries: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Failure domains its targets stand in.
    pub domains: Vec<DomainName>,
    /// Policy of GET and HEAD requests.
    pub read: PolicyName,
    /// Policy of all other requests.
    pub write: PolicyName,
    /// Most requests in a target at once, whatever the target announces.
    pub slots: Count,
    /// Most connections to a target at once, whatever the target announces.
    pub conns: Count,
    /// Time in which a cold target is brought from its first requests to full use.
    #[serde(with = "serde_duration")]
    pub warmup: Duration,
}

/// A range of keys, from `from` up to but not including `to`; an empty `to` has no bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyRange {
    /// Service the keys belong to.
    pub service: ServiceName,
    /// First key of the range.
    pub from: String,
    /// First key after the range; empty for no bound.
    pub to: String,
    /// Number of slices the keys are hashed to.
    pub slices: u32,
    /// Whether its keys are idempotency keys of a service that is not divided by key. Such ranges
    /// are not configured but follow from services; see [`Config::all_ranges`].
    #[serde(rename = "once", default, skip_serializing_if = "std::ops::Not::not")]
    pub dedup: bool,
}

impl KeyRange {
    /// Whether the range covers `key`.
    pub fn covers(&self, key: &str) -> bool {
        self.from.as_str() <= key && (self.to.is_empty() || key < self.to.as_str())
    }

    /// Whether two ranges share a key.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        let ends_after = |a: &KeyRange, b: &KeyRange| a.to.is_empty() || a.to > b.from;
        ends_after(self, other) && ends_after(other, self)
    }

    /// The slice that `key` is hashed to.
    pub fn slice(&self, key: &str) -> SliceId {
        let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
        SliceId((hash % u64::from(self.slices)) as u32)
    }
}

/// A checked configuration.
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
    /// Whether requests of the service go to the owner of their key.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.key_range.values().any(|r| r.service == *service)
    }

    /// The key range of the service that covers `key`.
    pub fn range_of(&self, service: &ServiceName, key: &str) -> Option<(&RangeName, &KeyRange)> {
        self.key_range.iter().find(|(_, r)| r.service == *service && r.covers(key))
    }

    /// Name of the range of idempotency keys of a service.
    pub fn dedup_range(service: &ServiceName) -> Option<RangeName> {
        format!("{DEDUP_PREFIX}{service}").parse().ok()
    }

    /// The configured key ranges, and a range of idempotency keys for each service that is not
    /// divided by key but has requests that may not be repeated: the owner of a slice of it is the
    /// one that remembers them.
    pub fn all_ranges(&self) -> BTreeMap<RangeName, KeyRange> {
        let mut all = self.key_range.clone();
        for (name, service) in &self.service {
            let policies = [&service.read, &service.write];
            let mut policies = policies.iter().filter_map(|p| self.policy.get(*p));
            let once = policies.any(|p| p.repeat == Repeat::Once);
            let Some(range) = Config::dedup_range(name).filter(|_| once && !self.is_keyed(name))
            else {
                continue;
            };
            let (from, to) = (String::new(), String::new());
            let service = name.clone();
            all.insert(range, KeyRange { service, from, to, slices: DEDUP_SLICES, dedup: true });
        }
        all
    }

    /// Whether the failure domain is configured and not taken out.
    pub fn is_active(&self, domain: &DomainName) -> bool {
        self.failure_domain.get(domain).is_some_and(|d| !d.drained)
    }

    /// The configuration as the TOML text that would be read as itself.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}
