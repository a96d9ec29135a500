//! Durations as text such as `250ms`, for `#[serde(with = "serde_duration")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Parses a whole number of milliseconds or seconds, as in `250ms` or `2s`.
pub(crate) fn parse(raw: &str) -> Option<Duration> {
    if let Some(ms) = raw.strip_suffix("ms") {
        return ms.trim().parse().ok().map(Duration::from_millis);
    }
    let secs: u64 = raw.strip_suffix('s')?.trim().parse().ok()?;
    Some(Duration::from_secs(secs))
}

/// Serialises a duration in milliseconds, as `250ms`.
pub(crate) fn serialize<S: Serializer>(value: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&format!("{}ms", value.as_millis()))
}

/// Deserialises a duration that [`parse`] accepts.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let raw = String::deserialize(d)?;
    parse(&raw).ok_or_else(|| {
        serde::de::Error::custom(format!("'{raw}' is not a duration such as 250ms or 2s"))
    })
}
