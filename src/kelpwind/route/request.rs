//! Reads a caller's request: `/SERVICE/KEY/...` for services divided by key, `/SERVICE/...` for
//! others, with the deadline and the idempotency key in headers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kelpwind_wire::DEADLINE_HEADER;

use crate::core::call::{Attempt, Call, ID_BYTES_MAX, RequestId, SliceRef};
use crate::core::codes::Code;
use crate::core::config::{Policy, Repeat};
use crate::core::ids::ServiceName;
use crate::core::state::State;

/// Header that names a request which its caller may send again.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that counts the tries of such a request. The first try says `1`; then it can be run even
/// where the memory of earlier tries was lost.
pub const ATTEMPT_HEADER: &str = "kelpwind-attempt";
/// Longest time in which a caller must have sent the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Code>;

/// A request as the caller sent it, its body read.
#[derive(Debug)]
pub struct RawRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    came: Instant,
}

/// A request together with what its policy says.
#[derive(Clone, Debug)]
pub struct ResolvedRequest {
    /// The request.
    pub call: Call,
    /// Its policy.
    pub policy: Policy,
    /// Whether it may be run again when its outcome is unknown.
    pub idempotent: bool,
}

impl RawRequest {
    /// Reads the whole body, up to `limit` bytes.
    pub async fn read(request: Request<Incoming>, limit: usize) -> Result<RawRequest> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let collected = Limited::new(body, limit).collect();
        let read = tokio::time::timeout(BODY_TIMEOUT, collected).await;
        let body = match read {
            Err(_) => return Err(Code::BadRequest),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(Code::BodyTooLarge);
            }
            Ok(Err(_)) => return Err(Code::BadRequest),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.to_string();
        Ok(RawRequest { method: parts.method, path, headers: parts.headers, body, came })
    }

    /// Finds service, key and policy by the configuration.
    pub fn resolve(self, state: &State) -> Result<ResolvedRequest> {
        if state.revision.0 == 0 {
            return Err(Code::NoConfig);
        }
        let (service, key) = self.names()?;
        let spec = state.config.service.get(&service).ok_or(Code::UnknownService)?;
        let reads = matches!(self.method, Method::GET | Method::HEAD);
        let policy = if reads { &spec.read } else { &spec.write };
        let policy = state.config.policy.get(policy).ok_or(Code::Internal)?.clone();
        let keyed = state.config.is_keyed(&service);
        let idempotent = policy.repeat == Repeat::Idempotent;
        let named = self.text(IDEMPOTENCY_HEADER)?;
        let once = if idempotent || named.is_none() { None } else { Some(self.attempt()?) };
        let key = match (keyed, named) {
            (true, _) => Some(place(state, &service, key)?),
            (false, Some(named)) if once.is_some() => Some(place_once(state, &service, named)?),
            (false, _) => None,
        };
        let deadline =
            self.came + self.time_left()?.unwrap_or(policy.deadline).min(policy.deadline);
        let id = self.id()?;
        let call = Call {
            id,
            service,
            key,
            method: self.method,
            path: self.path,
            content_type: self.headers.get(header::CONTENT_TYPE).cloned(),
            body: self.body,
            weight: policy.weight,
            dedup: once,
            deadline,
        };
        Ok(ResolvedRequest { call, policy, idempotent })
    }

    fn names(&self) -> Result<(ServiceName, Option<&str>)> {
        let path = self.path.split('?').next().unwrap_or_default();
        let mut parts = path.trim_start_matches('/').split('/');
        let service = parts.next().unwrap_or_default();
        let service = service.parse().map_err(|_| Code::UnknownService)?;
        let key = parts.next().filter(|k| !k.is_empty());
        if key.is_some_and(|k| k.len() > ID_BYTES_MAX) {
            return Err(Code::BadRequest);
        }
        Ok((service, key))
    }

    fn text(&self, header: &str) -> Result<Option<&str>> {
        let Some(value) = self.headers.get(header) else {
            return Ok(None);
        };
        value.to_str().map(Some).map_err(|_| Code::BadRequest)
    }

    fn time_left(&self) -> Result<Option<Duration>> {
        let Some(text) = self.text(DEADLINE_HEADER)? else {
            return Ok(None);
        };
        match text.parse::<u64>() {
            Ok(0) => Err(Code::DeadlinePast),
            Ok(ms) => Ok(Some(Duration::from_millis(ms))),
            Err(_) => Err(Code::BadRequest),
        }
    }

    fn attempt(&self) -> Result<Attempt> {
        match self.text(ATTEMPT_HEADER)? {
            Some("1") => Ok(Attempt::First),
            _ => Ok(Attempt::Later),
        }
    }

    fn id(&self) -> Result<RequestId> {
        match self.text(IDEMPOTENCY_HEADER)? {
            Some(text) => text.parse().map_err(|_| Code::BadRequest),
            None => Ok(RequestId::random()),
        }
    }
}

fn place(state: &State, service: &ServiceName, key: Option<&str>) -> Result<(String, SliceRef)> {
    let key = key.ok_or(Code::KeyMissing)?;
    let place = state.locate(service, key).ok_or(Code::NoRange)?;
    Ok((key.to_owned(), SliceRef { range: place.range, slice: place.slice }))
}

fn place_once(state: &State, service: &ServiceName, id: &str) -> Result<(String, SliceRef)> {
    let place = state.locate_dedup(service, id).ok_or(Code::NoRange)?;
    Ok((id.to_owned(), SliceRef { range: place.range, slice: place.slice }))
}
