//! Parses a configuration from TOML and reports all its errors in one pass.
//!
//! The text is first parsed into a generic table and the objects are then read field by field, so
//! that an invalid field does not hide other errors. References are checked last, among all objects
//! that could be read.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use super::{Config, DEDUP_PREFIX, Domain, KeyRange, Kind, Policy, Repeat, Service};
use crate::core::codes::Code;
use crate::core::ids::{Count, ParseError};
use crate::util::{near, serial};

/// Maximum number of objects of one kind.
pub const OBJECTS_MAX: usize = 10_000;
/// Maximum number of slices of a key range.
pub const SLICES_MAX: u32 = 1 << 18;
/// Maximum deadline of a policy.
pub const DEADLINE_MAX: Duration = Duration::from_secs(120);
/// Maximum warm-up time of a service.
pub const WARMUP_MAX: Duration = Duration::from_secs(3600);
/// Maximum weight of a policy.
pub const WEIGHT_MAX: u32 = 1_000;
/// Maximum number of retries of a request.
pub const RETRIES_MAX: u32 = 10;
/// Maximum number of slots (concurrent requests) and of connections of a target.
pub const COUNT_MAX: u32 = 65_536;

/// An error in a configuration, or a warning about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// Result code that classifies the error.
    pub code: Code,
    /// Kind and name of the object, such as `service 'historie'`; `file` for the whole file.
    pub object: String,
    /// Field of the object; empty if the error concerns the whole object.
    pub field: String,
    /// What is wrong, and what is expected.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dot = if self.field.is_empty() { "" } else { "." };
        let ConfigError { code, object, field, reason } = self;
        write!(f, "[{}] {object}{dot}{field}: {reason}", code.number())
    }
}

/// All errors found in a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let noun = if self.0.len() == 1 { "error" } else { "errors" };
        write!(f, "{} {noun}", self.0.len())?;
        self.0.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
}

impl std::error::Error for ConfigErrors {}

/// Result of parsing or validating a configuration.
pub type Result<T> = std::result::Result<T, ConfigErrors>;

impl TryFrom<&str> for Config {
    type Error = ConfigErrors;

    fn try_from(text: &str) -> Result<Config> {
        let mut errors = Vec::new();
        let table = match text.parse::<Table>() {
            Ok(table) => table,
            Err(e) => {
                let code = match e.message().contains("duplicate") {
                    true => Code::DuplicateName,
                    false => Code::Unreadable,
                };
                let line = e.span().map_or(0, |s| text[..s.start].lines().count().max(1));
                let reason = format!("line {line}: {}", e.message());
                errors.push(config_error(code, "file", "", reason));
                return Err(ConfigErrors(errors));
            }
        };
        let config = read_objects(&table, &mut errors);
        check_references(&config, &mut errors);
        if errors.is_empty() { Ok(config) } else { Err(ConfigErrors(errors)) }
    }
}

impl Config {
    /// Validates a configuration that was not parsed from a file, such as the result of a change.
    pub fn validate(self) -> Result<Config> {
        let mut errors = Vec::new();
        check_references(&self, &mut errors);
        if errors.is_empty() { Ok(self) } else { Err(ConfigErrors(errors)) }
    }

    /// Finds objects that nothing refers to. They are valid but likely a mistake, so the caller
    /// reports them as warnings.
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
    config_error(
        Code::Unreferenced,
        &object_label(kind, name),
        "",
        Code::Unreferenced.text().to_owned(),
    )
}

fn config_error(code: Code, object: &str, field: &str, reason: String) -> ConfigError {
    ConfigError { code, object: object.to_owned(), field: field.to_owned(), reason }
}

/// Label of an object in error messages, such as `service 'historie'`.
pub(crate) fn object_label(kind: Kind, name: &impl fmt::Display) -> String {
    format!("{kind} '{name}'")
}

fn read_objects(table: &Table, errors: &mut Vec<ConfigError>) -> Config {
    let mut config = Config::default();
    for (kind, value) in table {
        let known = Kind::ALL.into_iter().find(|k| k.as_str() == kind);
        let (Some(known), Some(objects)) = (known, value.as_table()) else {
            let hint = near::hint(kind, Kind::ALL.iter().map(|k| k.as_str()));
            let reason = format!("not a kind of object{hint}");
            errors.push(config_error(Code::UnknownField, "file", kind, reason));
            continue;
        };
        if objects.len() > OBJECTS_MAX {
            let reason = format!("{} objects; at most {OBJECTS_MAX}", objects.len());
            errors.push(config_error(Code::TooMany, "file", kind, reason));
        }
        match known {
            Kind::FailureDomain => {
                config.failure_domain = read_kind(known, objects, parse_domain, errors)
            }
            Kind::Policy => config.policy = read_kind(known, objects, parse_policy, errors),
            Kind::Service => config.service = read_kind(known, objects, parse_service, errors),
            Kind::KeyRange => config.key_range = read_kind(known, objects, parse_key_range, errors),
        }
    }
    config
}

fn read_kind<N, T>(
    kind: Kind,
    objects: &Table,
    parse: fn(&mut FieldReader) -> Option<T>,
    errors: &mut Vec<ConfigError>,
) -> BTreeMap<N, T>
where
    N: FromStr<Err = ParseError> + Ord,
{
    let mut found = BTreeMap::new();
    for (raw, value) in objects {
        let object = object_label(kind, raw);
        let name = raw.parse::<N>();
        if let Err(e) = &name {
            errors.push(config_error(e.code(), &object, "", e.to_string()));
        }
        let Some(table) = value.as_table() else {
            let reason = "not a table of fields".to_owned();
            errors.push(config_error(Code::BadValue, &object, "", reason));
            continue;
        };
        let mut fields = FieldReader { object, table, known: Vec::new(), errors };
        let parsed = parse(&mut fields);
        fields.report_unknown();
        if let (Ok(name), Some(parsed)) = (name, parsed) {
            found.insert(name, parsed);
        }
    }
    found
}

/// Reads the fields of one object and records every error.
struct FieldReader<'a> {
    object: String,
    table: &'a Table,
    /// Fields that were asked for; all others are reported as unknown.
    known: Vec<&'static str>,
    errors: &'a mut Vec<ConfigError>,
}

impl FieldReader<'_> {
    fn error(&mut self, code: Code, field: &str, reason: String) {
        self.errors.push(config_error(code, &self.object, field, reason));
    }

    /// Value of the field, or `default` if it is absent; `None` if an error was recorded.
    fn read<T>(
        &mut self,
        field: &'static str,
        default: Option<T>,
        expected: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        self.known.push(field);
        let Some(value) = self.table.get(field) else {
            if default.is_none() {
                self.error(Code::BadValue, field, format!("missing; expected {expected}"));
            }
            return default;
        };
        let found = parse(value);
        if found.is_none() {
            self.error(Code::BadValue, field, format!("{value} is not {expected}"));
        }
        found
    }

    fn name<N: FromStr<Err = ParseError>>(&mut self, field: &'static str) -> Option<N> {
        self.read(field, None, "a name", |v| v.as_str()?.parse().ok())
    }

    fn text(&mut self, field: &'static str, default: Option<&str>) -> Option<String> {
        let default = default.map(str::to_owned);
        self.read(field, default, "a string", |v| v.as_str().map(str::to_owned))
    }

    fn flag(&mut self, field: &'static str) -> Option<bool> {
        self.read(field, Some(false), "true or false", Value::as_bool)
    }

    fn number(
        &mut self,
        field: &'static str,
        default: Option<u32>,
        min: u32,
        max: u32,
    ) -> Option<u32> {
        let expected = format!("a number from {min} to {max}");
        self.read(field, default, &expected, |v| {
            let n = u32::try_from(v.as_integer()?).ok()?;
            (min..=max).contains(&n).then_some(n)
        })
    }

    fn time(&mut self, field: &'static str, default: Duration, max: Duration) -> Option<Duration> {
        let expected = format!("a time such as \"250ms\" or \"2s\", at most {}s", max.as_secs());
        self.read(field, Some(default), &expected, |v| {
            serial::parse(v.as_str()?).filter(|d| !d.is_zero() && *d <= max)
        })
    }

    /// Reports all fields of the object that were not asked for.
    fn report_unknown(&mut self) {
        let unknown: Vec<String> =
            self.table.keys().filter(|k| !self.known.contains(&k.as_str())).cloned().collect();
        for field in unknown {
            let hint = near::hint(&field, self.known.iter().copied());
            self.error(Code::UnknownField, &field, format!("no such field{hint}"));
        }
    }
}

fn parse_domain(f: &mut FieldReader) -> Option<Domain> {
    let region = f.text("region", None);
    let drained = f.flag("out");
    Some(Domain { region: region?, drained: drained? })
}

fn parse_policy(f: &mut FieldReader) -> Option<Policy> {
    let repeat = f.read("repeat", None, "\"idempotent\" or \"once\"", |v| match v.as_str()? {
        "idempotent" => Some(Repeat::Idempotent),
        "once" => Some(Repeat::Once),
        _ => None,
    });
    let deadline = f.time("deadline", Duration::from_secs(2), DEADLINE_MAX);
    let weight = f.number("weight", Some(1), 1, WEIGHT_MAX);
    let retries = f.number("retries", Some(2), 0, RETRIES_MAX);
    Some(Policy { repeat: repeat?, deadline: deadline?, weight: weight?, retries: retries? })
}

fn parse_service(f: &mut FieldReader) -> Option<Service> {
    let domains = f.read("domains", None, "a list of names of failure domains", |v| {
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

fn parse_key_range(f: &mut FieldReader) -> Option<KeyRange> {
    let service = f.name("service");
    let from = f.text("from", Some(""));
    let to = f.text("to", Some(""));
    let slices = f.number("slices", Some(64), 1, SLICES_MAX);
    let (from, to) = (from?, to?);
    if !to.is_empty() && from >= to {
        f.error(Code::BadValue, "to", format!("'{to}' does not come after '{from}'"));
        return None;
    }
    Some(KeyRange { service: service?, from, to, slices: slices?, dedup: false })
}

fn check_references(config: &Config, errors: &mut Vec<ConfigError>) {
    for (name, service) in &config.service {
        let object = object_label(Kind::Service, name);
        let domains = config.failure_domain.keys().map(|n| n.as_str());
        if service.domains.is_empty() {
            let reason = "no failure domain; expected at least one".to_owned();
            errors.push(config_error(Code::BadValue, &object, "domains", reason));
        }
        for domain in &service.domains {
            check_reference(domain.as_str(), domains.clone(), &object, "domains", errors);
        }
        let policies = config.policy.keys().map(|n| n.as_str());
        check_reference(service.read.as_str(), policies.clone(), &object, "read", errors);
        check_reference(service.write.as_str(), policies, &object, "write", errors);
    }
    for (name, range) in &config.key_range {
        let object = object_label(Kind::KeyRange, name);
        if name.as_str().starts_with(DEDUP_PREFIX) {
            let reason =
                format!("the prefix '{DEDUP_PREFIX}' is reserved for deduplication ranges");
            errors.push(config_error(Code::BadName, &object, "", reason));
        }
        let services = config.service.keys().map(|n| n.as_str());
        check_reference(range.service.as_str(), services, &object, "service", errors);
        check_overlap(config, &object, name.as_str(), range, errors);
    }
}

fn check_overlap(
    config: &Config,
    object: &str,
    name: &str,
    range: &KeyRange,
    errors: &mut Vec<ConfigError>,
) {
    let later = config.key_range.iter().filter(|(n, _)| n.as_str() > name);
    for (other_name, other) in later {
        if other.service == range.service && other.overlaps(range) {
            let reason = format!("shares keys with key-range '{other_name}'");
            errors.push(config_error(Code::Overlap, object, "from", reason));
        }
    }
}

fn check_reference<'a>(
    name: &str,
    mut known: impl Iterator<Item = &'a str> + Clone,
    object: &str,
    field: &str,
    errors: &mut Vec<ConfigError>,
) {
    let names = known.clone();
    if !known.any(|k| k == name) {
        let reason = format!("nothing is named '{name}'{}", near::hint(name, names));
        errors.push(config_error(Code::UnknownName, object, field, reason));
    }
}
