//! Wire types of the interfaces of own deployments: the log service, the backend servers and
//! the headers that requests carry between them and the router.
//!
//! Both sides use these types: the router's clients, and the stand-ins that take the platform's
//! place in tests. Nothing here decides anything.

use serde::{Deserialize, Serialize};

/// Header: milliseconds left for a request when it was sent.
pub const DEADLINE_HEADER: &str = "kelpwind-deadline-ms";
/// Header: the fencing token under which the router sends a request for a key.
pub const TOKEN_HEADER: &str = "kelpwind-token";
/// Header: until when the sender's grant holds, in microseconds of the host's `CLOCK_BOOTTIME`, which
/// the router's process and the backend server beside it share.
pub const GRANT_HEADER: &str = "kelpwind-grant-until";
/// Path at which a backend server that checks fences takes a renewed grant.
pub const GRANT_PATH: &str = "/grant";
/// Header: the identifier of one request, the same over all hops and retries.
pub const REQUEST_HEADER: &str = "kelpwind-request";
/// Header: the key that a request is about.
pub const KEY_HEADER: &str = "kelpwind-key";
/// Header of an answer: what became of the request, `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "kelpwind-outcome";
/// Header of an answer: the numbered result code.
pub const CODE_HEADER: &str = "kelpwind-code";
/// Header of an answer: milliseconds after which the caller may come back.
pub const RETRY_HEADER: &str = "kelpwind-retry-ms";
/// Header of a backend's answer: set to `1` when the request was refused before it ran.
pub const REFUSED_HEADER: &str = "backend-refused";

/// One record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogRecord {
    /// Position of the record in the log; unique and rising.
    pub offset: u64,
    /// The bytes that were appended, as text.
    pub data: String,
}

/// Answer to a read from the log service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Offset of the oldest record still kept.
    pub start: u64,
    /// Offset that the next record will get.
    pub end: u64,
    /// Records from the offset asked for, in order.
    pub records: Vec<LogRecord>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record.
    pub offset: u64,
}

/// What a backend server says of itself to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service whose requests the backend server takes.
    pub service: String,
    /// Address the node beside it connects to.
    pub addr: String,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub conns: u32,
    /// Whether it refuses requests that carry an outdated fencing token.
    pub fenced: bool,
    /// Whether it has just started and can bear only part of its slots.
    pub cold: bool,
    /// Whether it wants no more work because it is about to stop.
    pub draining: bool,
}

/// A backend server's own report of its load; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests it can run at once.
    pub slots: u32,
}

/// One entry of a backend server's record of what it ran, for history checking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Request identifier.
    pub request: String,
    /// Key of the request; empty for services that are not divided by key.
    pub key: String,
    /// Fencing token the request came with; 0 when there was none.
    pub token: u64,
    /// When the run began, in microseconds since the epoch.
    pub began: u64,
    /// When the run ended, in microseconds since the epoch; 0 while it runs.
    pub ended: u64,
    /// Whether the run came to its end (false: it was cancelled).
    pub completed: bool,
}
