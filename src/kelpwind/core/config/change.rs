//! Differences between two configurations, in the form that is written to the log.
//!
//! A log record contains only the objects that a change adds, modifies or removes. At 1,500 changes
//! a day, records with the whole configuration would exceed each node's bandwidth limit for control
//! traffic.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::read::{ConfigError, ConfigErrors, Result, object_label};
use super::{Config, Kind};
use crate::core::codes::Code;

/// Reference to a configured object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectRef {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&object_label(self.kind, &self.name))
    }
}

/// The difference between a configuration and its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// Objects that are added or modified, in full.
    pub put: Config,
    /// Objects that are removed.
    pub drop: Vec<ObjectRef>,
}

impl Change {
    /// Computes the change from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> Change {
        let mut drop = Vec::new();
        let put = Config {
            failure_domain: diff_objects(
                Kind::FailureDomain,
                &old.failure_domain,
                &new.failure_domain,
                &mut drop,
            ),
            policy: diff_objects(Kind::Policy, &old.policy, &new.policy, &mut drop),
            service: diff_objects(Kind::Service, &old.service, &new.service, &mut drop),
            key_range: diff_objects(Kind::KeyRange, &old.key_range, &new.key_range, &mut drop),
        };
        Change { put, drop }
    }

    /// Whether the change neither puts nor drops an object.
    pub fn is_empty(&self) -> bool {
        self.put == Config::default() && self.drop.is_empty()
    }

    /// Describes the change from `old`, one line per added or dropped object or modified field.
    pub fn describe(&self, old: &Config) -> Vec<String> {
        let mut lines = Vec::new();
        describe_objects(
            Kind::FailureDomain,
            &self.put.failure_domain,
            &old.failure_domain,
            &mut lines,
        );
        describe_objects(Kind::Policy, &self.put.policy, &old.policy, &mut lines);
        describe_objects(Kind::Service, &self.put.service, &old.service, &mut lines);
        describe_objects(Kind::KeyRange, &self.put.key_range, &old.key_range, &mut lines);
        lines.extend(self.drop.iter().map(|o| format!("drop {o}")));
        lines
    }

    /// Applies the change to `old` and validates the resulting configuration.
    ///
    /// # Errors
    /// The errors of the resulting configuration, or [`Code::Immutable`] for each changed field of
    /// an existing key range.
    pub fn apply(&self, old: &Config) -> Result<Config> {
        let mut new = old.clone();
        for dropped in &self.drop {
            let name = dropped.name.as_str();
            match dropped.kind {
                Kind::FailureDomain => drop(new.failure_domain.remove(name)),
                Kind::Policy => drop(new.policy.remove(name)),
                Kind::Service => drop(new.service.remove(name)),
                Kind::KeyRange => drop(new.key_range.remove(name)),
            }
        }
        let put = self.put.clone();
        new.failure_domain.extend(put.failure_domain);
        new.policy.extend(put.policy);
        new.service.extend(put.service);
        new.key_range.extend(put.key_range);
        let immutable = immutable_fields(old, &new);
        if immutable.is_empty() { new.validate() } else { Err(ConfigErrors(immutable)) }
    }

    /// Finds what needs the operator's `--allow-dangerous` flag: key ranges and services that are
    /// dropped with their keys, and services that lose their last active failure domain.
    pub fn dangers(&self, old: &Config, new: &Config) -> Vec<ConfigError> {
        let mut found = Vec::new();
        for dropped in &self.drop {
            if matches!(dropped.kind, Kind::KeyRange | Kind::Service) {
                let reason = "would be dropped with all its keys".to_owned();
                found.push(danger(dropped.to_string(), reason));
            }
        }
        for (name, service) in &new.service {
            let has_domain = |c: &Config| service.domains.iter().any(|d| c.is_active(d));
            if has_domain(old) && !has_domain(new) {
                let reason = "would lose its last failure domain".to_owned();
                found.push(danger(object_label(Kind::Service, name), reason));
            }
        }
        found
    }
}

fn danger(object: String, reason: String) -> ConfigError {
    ConfigError { code: Code::Dangerous, object, field: String::new(), reason }
}

fn diff_objects<N, T>(
    kind: Kind,
    old: &BTreeMap<N, T>,
    new: &BTreeMap<N, T>,
    drop: &mut Vec<ObjectRef>,
) -> BTreeMap<N, T>
where
    N: Ord + Clone + fmt::Display,
    T: PartialEq + Clone,
{
    let dropped = old.keys().filter(|n| !new.contains_key(*n));
    drop.extend(dropped.map(|n| ObjectRef { kind, name: n.to_string() }));
    let put = new.iter().filter(|(n, v)| old.get(*n) != Some(v));
    put.map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn describe_objects<N, T>(
    kind: Kind,
    put: &BTreeMap<N, T>,
    old: &BTreeMap<N, T>,
    lines: &mut Vec<String>,
) where
    N: Ord + fmt::Display,
    T: Serialize,
{
    for (name, value) in put {
        let object = object_label(kind, name);
        let Some(before) = old.get(name) else {
            lines.push(format!("add {object}"));
            continue;
        };
        for (field, was, is) in changed_fields(before, value) {
            lines.push(format!("change {object}.{field} from {was} to {is}"));
        }
    }
}

fn changed_fields<T: Serialize>(old: &T, new: &T) -> Vec<(String, String, String)> {
    let table = |v: &T| serde_json::to_value(v).unwrap_or_default();
    let (old, new) = (table(old), table(new));
    let Some(fields) = new.as_object() else {
        return Vec::new();
    };
    let changed = fields.iter().filter(|(k, v)| old.get(k.as_str()) != Some(v));
    changed.map(|(k, v)| (k.clone(), old[k.as_str()].to_string(), v.to_string())).collect()
}

/// Reports every changed field of an existing key range. Such a change would rehash the keys, and a
/// key could have two owners until all nodes have applied it.
fn immutable_fields(old: &Config, new: &Config) -> Vec<ConfigError> {
    let mut found = Vec::new();
    for (name, range) in &new.key_range {
        let Some(before) = old.key_range.get(name) else {
            continue;
        };
        for (field, was, is) in changed_fields(before, range) {
            found.push(ConfigError {
                code: Code::Immutable,
                object: object_label(Kind::KeyRange, name),
                field,
                reason: format!("cannot change from {was} to {is}; drop the range and add another"),
            });
        }
    }
    found
}
