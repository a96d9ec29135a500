//! Wire types shared by the router, the log service and the backend servers: JSON bodies, and the
//! HTTP headers that requests and responses carry between callers, nodes and backend servers.
//!
//! The router's clients and the stand-ins that replace the platform in tests both use these types.
//! The crate holds data definitions only.

use serde::{Deserialize, Serialize};

/// Request header: milliseconds until the request's deadline, counted from when it was sent.
pub const DEADLINE_HEADER: &str = "kelpwind-deadline-ms";
/// Request header: the fencing token under which the router sends a request for a key.
pub const TOKEN_HEADER: &str = "kelpwind-token";
/// Request header: when the sender's grant expires, in microseconds of the host's `CLOCK_BOOTTIME`,
/// which the router's process and the backend server beside it share.
pub const GRANT_HEADER: &str = "kelpwind-grant-until";
/// Path at which a backend server that checks fencing tokens accepts a renewed grant.
pub const GRANT_PATH: &str = "/grant";
/// Request header: the identifier of a request, the same on every hop and retry.
pub const REQUEST_HEADER: &str = "kelpwind-request";
/// Request header: the key that the request reads or writes.
pub const KEY_HEADER: &str = "kelpwind-key";
/// Response header: the outcome of the request, `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "kelpwind-outcome";
/// Response header: the numeric result code.
pub const CODE_HEADER: &str = "kelpwind-code";
/// Response header: milliseconds after which the caller may retry.
pub const RETRY_HEADER: &str = "kelpwind-retry-ms";
/// Response header of a backend server: `1` if the request was refused before it ran.
pub const REFUSED_HEADER: &str = "backend-refused";

/// A record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogRecord {
    /// Position of the record in the log; unique and strictly increasing.
    pub offset: u64,
    /// Appended bytes, which must be valid UTF-8.
    pub data: String,
}

/// Response of the log service to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Offset of the oldest record retained.
    pub start: u64,
    /// Offset that the next appended record will have.
    pub end: u64,
    /// Records from the requested offset on, in order of offset: at least one if there is one, and
    /// no more than fit into 8 MiB of JSON, the largest response that a node reads.
    pub records: Vec<LogRecord>,
}

/// Response of the log service to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset assigned to the appended record.
    pub offset: u64,
}

/// Announcement that a backend server posts to the node beside it at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service whose requests the backend server handles.
    pub service: String,
    /// Address to which the node beside it connects.
    pub addr: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub conns: u32,
    /// Whether it refuses requests whose fencing token is older than one it has seen for the key.
    pub fenced: bool,
    /// Whether it is still warming up and can use only part of its slots.
    pub cold: bool,
    /// Whether it accepts no new requests because it is about to stop.
    pub draining: bool,
}

/// Load as a backend server reports it; the figures may be stale or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests running.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// One execution in a backend server's history, which tests check for exclusive ownership and
/// truthful outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Identifier of the request, as in [`REQUEST_HEADER`].
    pub request: String,
    /// Key of the request; empty for services that are not partitioned by key.
    pub key: String,
    /// Fencing token of the request; 0 if it carried none.
    pub token: u64,
    /// Start of the execution, in microseconds since the Unix epoch.
    pub began: u64,
    /// End of the execution, in microseconds since the Unix epoch; 0 while it runs.
    pub ended: u64,
    /// Whether the execution ran to completion; false if it was cancelled.
    pub completed: bool,
}
