//! A caller's request as entry and gate pass it on, and the answer to it.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method};
use serde::{Deserialize, Serialize};

use super::codes::Code;
use super::ids::{ParseError, RangeName, ServiceName, SliceId};

/// Longest request identifier and longest key, in bytes.
pub const ID_BYTES_MAX: usize = 256;

/// Identifier of a request, the same at every hop and retry: the caller's idempotency key, or a
/// random one assigned by the entry. 1 to [`ID_BYTES_MAX`] printable ASCII characters without
/// spaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String")]
pub struct RequestId(String);

impl RequestId {
    /// Generates a random identifier of 32 hexadecimal digits.
    pub fn random() -> RequestId {
        RequestId(format!("{:032x}", fastrand::u128(..)))
    }

    /// The identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self, ParseError> {
        let printable = raw.bytes().all(|b| b.is_ascii_graphic());
        if printable && (1..=ID_BYTES_MAX).contains(&raw.len()) {
            Ok(RequestId(raw.to_owned()))
        } else {
            Err(ParseError::Name(raw.to_owned()))
        }
    }
}

impl TryFrom<String> for RequestId {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self, ParseError> {
        raw.parse()
    }
}

/// A slice of a key range; the text form is `RANGE/SLICE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceRef {
    /// Key range that the slice belongs to.
    pub range: RangeName,
    /// Number of the slice within the range.
    pub slice: SliceId,
}

impl fmt::Display for SliceRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.range, self.slice)
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request identifier.
    pub id: RequestId,
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Key of the request and the slice that the key is hashed to: a key of a service that is
    /// divided by key, or the idempotency key of a request that must be deduplicated. `None` for
    /// all other requests.
    pub key: Option<(String, SliceRef)>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged from the caller's request.
    pub path: String,
    /// `Content-Type` header of the request.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
    /// Weight from the request's policy; under overload, lower weights are rejected first.
    pub weight: u32,
    /// Set for a request that must not run twice but that its caller may retry; the gate then
    /// deduplicates it by its identifier.
    pub dedup: Option<Attempt>,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Instant,
}

/// Whether a request that its caller may retry is sent for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Attempt {
    /// first
    First,
    /// later
    Later,
}

impl FromStr for Attempt {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self, ParseError> {
        match raw {
            "first" => Ok(Attempt::First),
            "later" => Ok(Attempt::Later),
            _ => Err(ParseError::Name(raw.to_owned())),
        }
    }
}

/// The answer to a [`Call`], from the backend server or from the router itself.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Result code of the request.
    pub code: Code,
    /// HTTP status that the caller receives.
    pub status: u16,
    /// `Content-Type` header of the answer.
    pub content_type: Option<HeaderValue>,
    /// Answer body.
    pub body: Bytes,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Load of the backend server behind the gate that answered; entries choose targets by it and
    /// do not pass it to callers.
    pub load: Option<Load>,
}

/// Load of a backend server as its gate measures it; the text form is `BUSY/LIMIT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests running and queued.
    pub busy: u32,
    /// Number of requests that may run concurrently.
    pub limit: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.busy, self.limit)
    }
}

impl FromStr for Load {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::Number(raw.to_owned());
        let (busy, limit) = raw.split_once('/').ok_or_else(invalid)?;
        let busy = busy.parse().map_err(|_| invalid())?;
        let limit = limit.parse().map_err(|_| invalid())?;
        Ok(Load { busy, limit })
    }
}

impl Answer {
    /// An answer of the router itself, with `code` and its text as the body.
    pub fn refusal(code: Code) -> Answer {
        let content_type = Some(HeaderValue::from_static("text/plain; charset=utf-8"));
        let body = Bytes::from(format!("{}: {code}\n", code.outcome()));
        Answer { code, status: code.status(), content_type, body, retry_after: None, load: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Answer {
        self.retry_after = Some(delay);
        self
    }
}
