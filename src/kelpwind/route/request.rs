//! Reads a caller's request and resolves its service, key and policy.
//!
//! The path is `/SERVICE/KEY/...` for services divided by key and `/SERVICE/...` for others. The
//! deadline and the idempotency key are in headers.

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

/// Header with the idempotency key of a request that its caller may send again.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the attempt number of such a request. An attempt marked `1` can be run even if the
/// outcomes of earlier requests were lost with an owner.
pub const ATTEMPT_HEADER: &str = "kelpwind-attempt";
/// Time limit for receiving the request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of reading a request; the error is the code of the refusal.
pub type Result<T, E = Code> = std::result::Result<T, E>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Code of the answer.
    pub code: Code,
    /// Whether another configuration could allow the request.
    pub by_config: bool,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal { code, by_config: false }
    }
}

impl Refusal {
    fn by_config(code: Code) -> Refusal {
        Refusal { code, by_config: true }
    }
}

/// A request as the caller sent it, with its body.
#[derive(Debug)]
pub struct RawRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// When the request arrived.
    pub received: Instant,
}

/// A request with its service, key and policy resolved against the configuration.
#[derive(Clone, Debug)]
pub struct ResolvedRequest {
    /// Request as it is sent to a gate.
    pub call: Call,
    /// Policy of the service for the request's method.
    pub policy: Policy,
    /// Whether the policy allows it to run again after an unknown outcome.
    pub idempotent: bool,
}

impl RawRequest {
    /// Reads a request with a body of up to `limit` bytes.
    ///
    /// # Errors
    /// [`Code::BodyTooLarge`] for a larger body; [`Code::DeadlinePast`] if the body does not arrive
    /// completely within the time limit, since the link or this process may be at fault;
    /// [`Code::BadRequest`] if it breaks off or the URI has no path.
    pub async fn read(request: Request<Incoming>, limit: usize) -> Result<RawRequest> {
        let received = Instant::now();
        let (parts, body) = request.into_parts();
        let collected = Limited::new(body, limit).collect();
        let read = tokio::time::timeout(BODY_TIMEOUT, collected).await;
        let body = match read {
            Err(_) => return Err(Code::DeadlinePast),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(Code::BodyTooLarge);
            }
            Ok(Err(_)) => return Err(Code::BadRequest),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.to_string();
        Ok(RawRequest { method: parts.method, path, headers: parts.headers, body, received })
    }

    /// Resolves service, key and policy by the configuration in `state`.
    ///
    /// # Errors
    /// Why the request is refused, such as [`Code::UnknownService`] or [`Code::KeyMissing`].
    pub fn resolve(&self, state: &State) -> Result<ResolvedRequest, Refusal> {
        if state.revision.0 == 0 {
            return Err(Code::NoConfig.into());
        }
        let (service, key) = self.service_and_key()?;
        let spec = state.config.service.get(&service);
        let spec = spec.ok_or(Refusal::by_config(Code::UnknownService))?;
        let is_read = matches!(self.method, Method::GET | Method::HEAD);
        let policy = if is_read { &spec.read } else { &spec.write };
        let policy = state.config.policy.get(policy).ok_or(Code::Internal)?.clone();
        let keyed = state.config.is_keyed(&service);
        let idempotent = policy.repeat == Repeat::Idempotent;
        let idempotency_key = self.header(IDEMPOTENCY_HEADER)?;
        let dedup =
            if idempotent || idempotency_key.is_none() { None } else { Some(self.attempt()?) };
        let key = match (keyed, idempotency_key) {
            (true, _) => Some(locate_key(state, &service, key)?),
            (false, Some(idempotency_key)) if dedup.is_some() => {
                Some(locate_idempotency_key(state, &service, idempotency_key)?)
            }
            (false, _) => None,
        };
        let deadline =
            self.received + self.time_left()?.unwrap_or(policy.deadline).min(policy.deadline);
        let id = self.request_id()?;
        let call = Call {
            id,
            service,
            key,
            method: self.method.clone(),
            path: self.path.clone(),
            content_type: self.headers.get(header::CONTENT_TYPE).cloned(),
            body: self.body.clone(),
            weight: policy.weight,
            dedup,
            deadline,
        };
        Ok(ResolvedRequest { call, policy, idempotent })
    }

    /// Service and key named by the path; the second part is a key only if the service is divided
    /// by key.
    fn service_and_key(&self) -> Result<(ServiceName, Option<&str>)> {
        let path = self.path.split('?').next().unwrap_or_default();
        let mut parts = path.trim_start_matches('/').split('/');
        let service = parts.next().unwrap_or_default();
        let service = service.parse().map_err(|_| Code::UnknownService)?;
        Ok((service, parts.next().filter(|k| !k.is_empty())))
    }

    fn header(&self, name: &str) -> Result<Option<&str>> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        value.to_str().map(Some).map_err(|_| Code::BadRequest)
    }

    /// Time until the caller's deadline, if the request has one.
    fn time_left(&self) -> Result<Option<Duration>> {
        let Some(text) = self.header(DEADLINE_HEADER)? else {
            return Ok(None);
        };
        match text.parse::<u64>() {
            Ok(0) => Err(Code::DeadlinePast),
            Ok(ms) => Ok(Some(Duration::from_millis(ms))),
            Err(_) => Err(Code::BadRequest),
        }
    }

    fn attempt(&self) -> Result<Attempt> {
        match self.header(ATTEMPT_HEADER)? {
            Some("1") => Ok(Attempt::First),
            _ => Ok(Attempt::Later),
        }
    }

    fn request_id(&self) -> Result<RequestId> {
        match self.header(IDEMPOTENCY_HEADER)? {
            Some(text) => text.parse().map_err(|_| Code::BadRequest),
            None => Ok(RequestId::random()),
        }
    }
}

fn locate_key(
    state: &State,
    service: &ServiceName,
    key: Option<&str>,
) -> Result<(String, SliceRef), Refusal> {
    let key = key.ok_or(Refusal::by_config(Code::KeyMissing))?;
    if key.len() > ID_BYTES_MAX {
        return Err(Refusal::by_config(Code::BadRequest));
    }
    let location = state.locate(service, key).ok_or(Refusal::by_config(Code::NoRange))?;
    Ok((key.to_owned(), SliceRef { range: location.range, slice: location.slice }))
}

fn locate_idempotency_key(
    state: &State,
    service: &ServiceName,
    id: &str,
) -> Result<(String, SliceRef), Refusal> {
    let location = state.locate_dedup(service, id).ok_or(Refusal::by_config(Code::NoRange))?;
    Ok((id.to_owned(), SliceRef { range: location.range, slice: location.slice }))
}
