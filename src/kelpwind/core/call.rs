//! One request on its way through the router, and its answer.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method};
use serde::{Deserialize, Serialize};

use super::codes::Code;
use super::ids::{ParseError, RangeName, ServiceName, SliceId};

/// Longest request identifier or key, in bytes.
pub const ID_BYTES_MAX: usize = 256;

/// Identifier of one request, the same over all hops and retries: the caller's idempotency key, or
/// one drawn by the entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String")]
pub struct RequestId(String);

impl RequestId {
    /// A new one, drawn at random.
    pub fn random() -> RequestId {
        RequestId(format!("{:032x}", fastrand::u128(..)))
    }

    /// The identifier as text.
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
        let plain = raw.bytes().all(|b| b.is_ascii_graphic());
        if plain && (1..=ID_BYTES_MAX).contains(&raw.len()) {
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

/// A slice that a request is about, for services divided by key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceRef {
    /// Key range.
    pub range: RangeName,
    /// Slice of the range.
    pub slice: SliceId,
}

impl fmt::Display for SliceRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.range, self.slice)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its identifier.
    pub id: RequestId,
    /// Service it is for.
    pub service: ServiceName,
    /// Key it is about, and the slice the key is hashed to; none for undivided services.
    pub key: Option<(String, SliceRef)>,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Content type, if given.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
    /// Weight from its policy.
    pub weight: u32,
    /// Set for a request that may run once only and that its caller may send again.
    pub dedup: Option<Attempt>,
    /// When it is too late for an answer.
    pub deadline: Instant,
}

/// Whether a request that its caller may send again has been sent before.
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

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What became of the request.
    pub code: Code,
    /// HTTP status for the caller.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// How busy the gate that answered is; for entries, not for callers.
    pub load: Option<Load>,
}

/// How busy a backend server is, as its gate knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running and waiting.
    pub busy: u32,
    /// Requests that may run at once.
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
        let bad = || ParseError::Number(raw.to_owned());
        let (busy, limit) = raw.split_once('/').ok_or_else(bad)?;
        let busy = busy.parse().map_err(|_| bad())?;
        let limit = limit.parse().map_err(|_| bad())?;
        Ok(Load { busy, limit })
    }
}

impl Answer {
    /// The answer that the router itself gives with `code`.
    pub fn refusal(code: Code) -> Answer {
        let kind = Some(HeaderValue::from_static("text/plain; charset=utf-8"));
        let body = Bytes::from(format!("{}: {code}\n", code.outcome()));
        Answer {
            code,
            status: code.status(),
            content_type: kind,
            body,
            retry_after: None,
            load: None,
        }
    }

    /// The same answer with the time after which the caller may come back.
    pub fn with_retry_after(mut self, time: Duration) -> Answer {
        self.retry_after = Some(time);
        self
    }
}
