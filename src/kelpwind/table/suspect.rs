//! The record of a process of a backend server that ended while it was at work on a request.
//!
//! What a gate has learned must outlast its process, so it writes one record for each request that its
//! server was at work on. They are deleted when the request is answered, or after some time. Each
//! record has a key of its own, since several gates may write about the same request.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::member::Instance;
use crate::core::digest::RequestDigest;
use crate::core::ids::ServiceName;

/// Prefix of the record keys.
pub(super) const PREFIX: &str = "suspect/";

/// The end of a server's process while it was at work on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerExit {
    /// The instance that ended.
    pub server: Instance,
    /// Its service.
    pub service: ServiceName,
    /// Whether the process had answered the same request before.
    #[serde(default)]
    pub answered: bool,
}

/// A process of a backend server that ended while it was at work on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// What the request asks for.
    pub digest: RequestDigest,
    /// The process.
    #[serde(flatten)]
    pub exit: ServerExit,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

impl SuspectRecord {
    /// Key of the record, without the prefix of the era. Names of servers may be of any length, so
    /// they are hashed.
    pub fn key(&self) -> String {
        let server = &self.exit.server;
        let hash = xxh3_64(format!("{}/{}", server.started_ms, server.id).as_bytes());
        format!("{PREFIX}{}/{hash:016x}", self.digest)
    }

    /// Time since the process ended, at `now_ms` in milliseconds since the Unix epoch.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.at_ms))
    }

    /// Decodes the record with this key; `None` if the two do not belong together.
    pub(super) fn decode(key: &str, value: &Bytes) -> Option<SuspectRecord> {
        let record: SuspectRecord = serde_json::from_slice(value).ok()?;
        (record.key() == key).then_some(record)
    }
}
