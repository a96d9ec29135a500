//! What differs between two configurations, as the part that is written to the log.
//!
//! A log record carries only the objects put or dropped, not the whole configuration: at 1,500
//! changes a day the whole text would cost every node more bandwidth than its control may use.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::read::{ConfigError, ConfigErrors, Result, object_label};
use super::{Config, Kind};
use crate::core::codes::Code;

/// Name of an object with its kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectRef {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: String,
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&object_label(self.kind, &self.name))
    }
}

/// A change from one configuration to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// Objects that are new or different.
    pub put: Config,
    /// Objects that are gone.
    pub drop: Vec<ObjectRef>,
}

impl Change {
    /// The change that leads from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> Change {
        let mut drop = Vec::new();
        let put = Config {
            failure_domain: differ(
                Kind::FailureDomain,
                &old.failure_domain,
                &new.failure_domain,
                &mut drop,
            ),
            policy: differ(Kind::Policy, &old.policy, &new.policy, &mut drop),
            service: differ(Kind::Service, &old.service, &new.service, &mut drop),
            key_range: differ(Kind::KeyRange, &old.key_range, &new.key_range, &mut drop),
        };
        Change { put, drop }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.put == Config::default() && self.drop.is_empty()
    }

    /// The objects touched, in words, one a line.
    pub fn describe(&self, old: &Config) -> Vec<String> {
        let mut lines = Vec::new();
        describe(Kind::FailureDomain, &self.put.failure_domain, &old.failure_domain, &mut lines);
        describe(Kind::Policy, &self.put.policy, &old.policy, &mut lines);
        describe(Kind::Service, &self.put.service, &old.service, &mut lines);
        describe(Kind::KeyRange, &self.put.key_range, &old.key_range, &mut lines);
        lines.extend(self.drop.iter().map(|o| format!("drop {o}")));
        lines
    }

    /// Applies the change and checks the result whole.
    pub fn apply(&self, old: &Config) -> Result<Config> {
        let mut new = old.clone();
        for gone in &self.drop {
            let name = gone.name.as_str();
            match gone.kind {
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
        let frozen = frozen(old, &new);
        if frozen.is_empty() { new.validate() } else { Err(ConfigErrors(frozen)) }
    }

    /// Faults that only a flag of the operator lets pass: keys that lose their range, and services
    /// that lose their last failure domain.
    pub fn dangers(&self, old: &Config, new: &Config) -> Vec<ConfigError> {
        let mut found = Vec::new();
        for gone in &self.drop {
            if matches!(gone.kind, Kind::KeyRange | Kind::Service) {
                let reason = "would be dropped with all its keys".to_owned();
                found.push(danger(gone.to_string(), reason));
            }
        }
        for (name, service) in &new.service {
            let lives = |c: &Config| service.domains.iter().any(|d| c.is_active(d));
            if lives(old) && !lives(new) {
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

fn differ<N, T>(
    kind: Kind,
    old: &BTreeMap<N, T>,
    new: &BTreeMap<N, T>,
    drop: &mut Vec<ObjectRef>,
) -> BTreeMap<N, T>
where
    N: Ord + Clone + fmt::Display,
    T: PartialEq + Clone,
{
    let gone = old.keys().filter(|n| !new.contains_key(*n));
    drop.extend(gone.map(|n| ObjectRef { kind, name: n.to_string() }));
    let put = new.iter().filter(|(n, v)| old.get(*n) != Some(v));
    put.map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn describe<N, T>(kind: Kind, put: &BTreeMap<N, T>, old: &BTreeMap<N, T>, lines: &mut Vec<String>)
where
    N: Ord + fmt::Display,
    T: Serialize,
{
    for (name, value) in put {
        let object = object_label(kind, name);
        let Some(before) = old.get(name) else {
            lines.push(format!("add {object}"));
            continue;
        };
        for (field, was, is) in fields_changed(before, value) {
            lines.push(format!("change {object}.{field} from {was} to {is}"));
        }
    }
}

fn fields_changed<T: Serialize>(old: &T, new: &T) -> Vec<(String, String, String)> {
    let table = |v: &T| serde_json::to_value(v).unwrap_or_default();
    let (old, new) = (table(old), table(new));
    let Some(fields) = new.as_object() else {
        return Vec::new();
    };
    let changed = fields.iter().filter(|(k, v)| old.get(k.as_str()) != Some(v));
    changed.map(|(k, v)| (k.clone(), old[k.as_str()].to_string(), v.to_string())).collect()
}

/// Fields of a key range that cannot change while it exists: every key would be hashed anew and
/// could have two owners in the meantime.
fn frozen(old: &Config, new: &Config) -> Vec<ConfigError> {
    let mut found = Vec::new();
    for (name, range) in &new.key_range {
        let Some(before) = old.key_range.get(name) else {
            continue;
        };
        for (field, was, is) in fields_changed(before, range) {
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
