//! Reads a configuration from TOML and reports every fault in one pass.
//!
//! The text is parsed to a generic table first, then each object is taken apart field by field, so
//! that one bad field hides no other. References are checked last, over all objects that could be
//! read.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use super::{Config, DEDUP_PREFIX, Domain, KeyRange, Kind, Policy, Repeat, Service};
use crate::core::codes::Code;
use crate::core::ids::{Count, ParseError};
use crate::util::{serde_duration, suggest};

/// Most objects of one kind.
pub const OBJECTS_MAX: usize = 10_000;
/// Most slices of one key range.
pub const SLICES_MAX: u32 = 1 << 18;
/// Longest deadline of a policy.
pub const DEADLINE_MAX: Duration = Duration::from_secs(120);
/// Longest warm-up of a service.
pub const WARMUP_MAX: Duration = Duration::from_secs(3600);
/// Greatest weight of a policy.
pub const WEIGHT_MAX: u32 = 1_000;
/// Most retries of a request.
pub const RETRIES_MAX: u32 = 10;
/// Most slots or connections of a target.
pub const COUNT_MAX: u32 = 65_536;

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// Numbered code.
    pub code: Code,
    /// Object, such as `service 'historie'`.
    pub object: String,
    /// Field of the object; empty when the whole object is meant.
    pub field: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dot = if self.field.is_empty() { "" } else { "." };
        let ConfigError { code, object, field, reason } = self;
        write!(f, "[{}] {object}{dot}{field}: {reason}", code.number())
    }
}

/// All faults of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let noun = if self.0.len() == 1 { "fault" } else { "faults" };
        write!(f, "{} {noun}", self.0.len())?;
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

impl std::error::Error for ConfigErrors {}

/// Result of reading a configuration.
pub type Result<T> = std::result::Result<T, ConfigErrors>;

impl TryFrom<&str> for Config {
    type Error = ConfigErrors;

    fn try_from(text: &str) -> Result<Config> {
        let mut faults = Vec::new();
        let table = match text.parse::<Table>() {
            Ok(table) => table,
            Err(e) => {
                let code = match e.message().contains("duplicate") {
                    true => Code::DuplicateName,
                    false => Code::Unreadable,
                };
                let line = e.span().map_or(0, |s| text[..s.start].lines().count().max(1));
                let reason = format!("line {line}: {}", e.message());
                faults.push(fault(code, "file", "", reason));
                return Err(ConfigErrors(faults));
            }
        };
        let config = read_objects(&table, &mut faults);
        check_references(&config, &mut faults);
        if faults.is_empty() { Ok(config) } else { Err(ConfigErrors(faults)) }
    }
}

impl Config {
    /// Checks a configuration that was put together from parts.
    pub fn validate(self) -> Result<Config> {
        let mut faults = Vec::new();
        check_references(&self, &mut faults);
        if faults.is_empty() { Ok(self) } else { Err(ConfigErrors(faults)) }
    }

    /// Objects that nothing refers to; no fault, but most likely an oversight.
    pub fn unreferenced(&self) -> Vec<ConfigError> {
        let services = || self.service.values();
        let mut found = Vec::new();
        for name in self.failure_domain.keys() {
            if !services().any(|s| s.domains.contains(name)) {
                found.push(unreferenced(Kind::FailureDomain, name));
            }
        }
        for name in self.policy.keys() {
            if !services().any(|s| s.read == *name || s.write == *name) {
                found.push(unreferenced(Kind::Policy, name));
            }
        }
        found
    }
}

fn unreferenced(kind: Kind, name: &impl fmt::Display) -> ConfigError {
    fault(Code::Unreferenced, &object_label(kind, name), "", Code::Unreferenced.text().to_owned())
}

fn fault(code: Code, object: &str, field: &str, reason: String) -> ConfigError {
    ConfigError { code, object: object.to_owned(), field: field.to_owned(), reason }
}

/// How an object is named in faults.
pub(crate) fn object_label(kind: Kind, name: &impl fmt::Display) -> String {
    format!("{kind} '{name}'")
}

fn read_objects(table: &Table, faults: &mut Vec<ConfigError>) -> Config {
    let mut config = Config::default();
    for (kind, value) in table {
        let known = Kind::ALL.into_iter().find(|k| k.as_str() == kind);
        let (Some(known), Some(objects)) = (known, value.as_table()) else {
            let hint = suggest::did_you_mean(kind, Kind::ALL.iter().map(|k| k.as_str()));
            let reason = format!("not a kind of object{hint}");
            faults.push(fault(Code::UnknownField, "file", kind, reason));
            continue;
        };
        if objects.len() > OBJECTS_MAX {
            let reason = format!("{} objects; at most {OBJECTS_MAX}", objects.len());
            faults.push(fault(Code::TooMany, "file", kind, reason));
        }
        match known {
            Kind::FailureDomain => {
                config.failure_domain = read_kind(known, objects, domain, faults)
            }
            Kind::Policy => config.policy = read_kind(known, objects, policy, faults),
            Kind::Service => config.service = read_kind(known, objects, service, faults),
            Kind::KeyRange => config.key_range = read_kind(known, objects, key_range, faults),
        }
    }
    config
}

fn read_kind<N, T>(
    kind: Kind,
    objects: &Table,
    build: fn(&mut Fields) -> Option<T>,
    faults: &mut Vec<ConfigError>,
) -> BTreeMap<N, T>
where
    N: FromStr<Err = ParseError> + Ord,
{
    let mut found = BTreeMap::new();
    for (raw, value) in objects {
        let object = object_label(kind, raw);
        let name = raw.parse::<N>();
        if let Err(e) = &name {
            faults.push(fault(e.code(), &object, "", e.to_string()));
        }
        let Some(table) = value.as_table() else {
            let reason = "not a table of fields".to_owned();
            faults.push(fault(Code::BadValue, &object, "", reason));
            continue;
        };
        let mut fields = Fields { object, table, asked: Vec::new(), faults };
        let built = build(&mut fields);
        fields.report_unknown();
        if let (Ok(name), Some(built)) = (name, built) {
            found.insert(name, built);
        }
    }
    found
}

/// Takes the fields of one object and notes every fault.
struct Fields<'a> {
    object: String,
    table: &'a Table,
    asked: Vec<&'static str>,
    faults: &'a mut Vec<ConfigError>,
}

impl Fields<'_> {
    fn note(&mut self, code: Code, field: &str, reason: String) {
        self.faults.push(fault(code, &self.object, field, reason));
    }

    /// The field's value, or the default; `None` after a fault.
    fn take<T>(
        &mut self,
        field: &'static str,
        default: Option<T>,
        wanted: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        self.asked.push(field);
        let Some(value) = self.table.get(field) else {
            if default.is_none() {
                self.note(Code::BadValue, field, format!("missing; expected {wanted}"));
            }
            return default;
        };
        let found = read(value);
        if found.is_none() {
            self.note(Code::BadValue, field, format!("{value} is not {wanted}"));
        }
        found
    }

    fn name<N: FromStr<Err = ParseError>>(&mut self, field: &'static str) -> Option<N> {
        self.take(field, None, "a name", |v| v.as_str()?.parse().ok())
    }

    fn text(&mut self, field: &'static str, default: Option<&str>) -> Option<String> {
        let default = default.map(str::to_owned);
        self.take(field, default, "a text", |v| v.as_str().map(str::to_owned))
    }

    fn flag(&mut self, field: &'static str) -> Option<bool> {
        self.take(field, Some(false), "true or false", Value::as_bool)
    }

    fn number(
        &mut self,
        field: &'static str,
        default: Option<u32>,
        min: u32,
        max: u32,
    ) -> Option<u32> {
        let wanted = format!("a number from {min} to {max}");
        self.take(field, default, &wanted, |v| {
            let n = u32::try_from(v.as_integer()?).ok()?;
            (min..=max).contains(&n).then_some(n)
        })
    }

    fn time(&mut self, field: &'static str, default: Duration, max: Duration) -> Option<Duration> {
        let wanted = format!("a time such as \"250ms\" or \"2s\", at most {}s", max.as_secs());
        self.take(field, Some(default), &wanted, |v| {
            serde_duration::parse(v.as_str()?).filter(|d| !d.is_zero() && *d <= max)
        })
    }

    fn report_unknown(&mut self) {
        let unknown: Vec<String> =
            self.table.keys().filter(|k| !self.asked.contains(&k.as_str())).cloned().collect();
        for field in unknown {
            let hint = suggest::did_you_mean(&field, self.asked.iter().copied());
            self.note(Code::UnknownField, &field, format!("no such field{hint}"));
        }
    }
}

fn domain(f: &mut Fields) -> Option<Domain> {
    let region = f.text("region", None);
    let out = f.flag("out");
    Some(Domain { region: region?, drained: out? })
}

fn policy(f: &mut Fields) -> Option<Policy> {
    let repeat = f.take("repeat", None, "\"idempotent\" or \"once\"", |v| match v.as_str()? {
        "idempotent" => Some(Repeat::Idempotent),
        "once" => Some(Repeat::Once),
        _ => None,
    });
    let deadline = f.time("deadline", Duration::from_secs(2), DEADLINE_MAX);
    let weight = f.number("weight", Some(1), 1, WEIGHT_MAX);
    let retries = f.number("retries", Some(2), 0, RETRIES_MAX);
    Some(Policy { repeat: repeat?, deadline: deadline?, weight: weight?, retries: retries? })
}

fn service(f: &mut Fields) -> Option<Service> {
    let domains = f.take("domains", None, "a list of names of failure domains", |v| {
        let list = v.as_array()?;
        list.iter().map(|n| n.as_str()?.parse().ok()).collect::<Option<Vec<_>>>()
    });
    let read = f.name("read");
    let write = f.name("write");
    let slots = f.number("slots", Some(COUNT_MAX), 1, COUNT_MAX);
    let conns = f.number("conns", Some(COUNT_MAX), 1, COUNT_MAX);
    let warmup = f.time("warmup", Duration::from_secs(10), WARMUP_MAX);
    Some(Service {
        domains: domains?,
        read: read?,
        write: write?,
        slots: Count(slots?),
        conns: Count(conns?),
        warmup: warmup?,
    })
}

fn key_range(f: &mut Fields) -> Option<KeyRange> {
    let service = f.name("service");
    let from = f.text("from", Some(""));
    let to = f.text("to", Some(""));
    let slices = f.number("slices", Some(64), 1, SLICES_MAX);
    let (from, to) = (from?, to?);
    if !to.is_empty() && from >= to {
        f.note(Code::BadValue, "to", format!("'{to}' does not come after '{from}'"));
        return None;
    }
    Some(KeyRange { service: service?, from, to, slices: slices?, dedup: false })
}

fn check_references(config: &Config, faults: &mut Vec<ConfigError>) {
    for (name, service) in &config.service {
        let object = object_label(Kind::Service, name);
        let domains = config.failure_domain.keys().map(|n| n.as_str());
        if service.domains.is_empty() {
            let reason = "no failure domain; expected at least one".to_owned();
            faults.push(fault(Code::BadValue, &object, "domains", reason));
        }
        for domain in &service.domains {
            refer(domain.as_str(), domains.clone(), &object, "domains", faults);
        }
        let policies = config.policy.keys().map(|n| n.as_str());
        refer(service.read.as_str(), policies.clone(), &object, "read", faults);
        refer(service.write.as_str(), policies, &object, "write", faults);
    }
    for (name, range) in &config.key_range {
        let object = object_label(Kind::KeyRange, name);
        if name.as_str().starts_with(DEDUP_PREFIX) {
            let reason =
                format!("names that begin with '{DEDUP_PREFIX}' are kept for other ranges");
            faults.push(fault(Code::BadName, &object, "", reason));
        }
        let services = config.service.keys().map(|n| n.as_str());
        refer(range.service.as_str(), services, &object, "service", faults);
        check_overlap(config, &object, name.as_str(), range, faults);
    }
}

fn check_overlap(
    config: &Config,
    object: &str,
    name: &str,
    range: &KeyRange,
    faults: &mut Vec<ConfigError>,
) {
    let later = config.key_range.iter().filter(|(n, _)| n.as_str() > name);
    for (other, against) in later {
        if against.service == range.service && against.overlaps(range) {
            let reason = format!("shares keys with key-range '{other}'");
            faults.push(fault(Code::Overlap, object, "from", reason));
        }
    }
}

fn refer<'a>(
    name: &str,
    mut known: impl Iterator<Item = &'a str> + Clone,
    object: &str,
    field: &str,
    faults: &mut Vec<ConfigError>,
) {
    let names = known.clone();
    if !known.any(|k| k == name) {
        let reason = format!("nothing is named '{name}'{}", suggest::did_you_mean(name, names));
        faults.push(fault(Code::UnknownName, object, field, reason));
    }
}
