//! HTTP encoding of requests from an entry to another node's gate, and of their answers.
//!
//! A request keeps the caller's method and body. Its path is prefixed with `/gate`, and all else is
//! in headers. An answer has the code, the load of the gate and the retry delay in headers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kelpwind_wire::{CODE_HEADER, DEADLINE_HEADER, KEY_HEADER, REQUEST_HEADER, RETRY_HEADER};

use crate::core::call::{Answer, Call, SliceRef};
use crate::core::codes::Code;
use crate::gate::backend;
use crate::net::pool::{Pool, Reuse};

/// Path prefix of requests to a gate.
pub const GATE_PATH: &str = "/gate";
const SERVICE_HEADER: &str = "kelpwind-service";
const RANGE_HEADER: &str = "kelpwind-range";
const SLICE_HEADER: &str = "kelpwind-slice";
const WEIGHT_HEADER: &str = "kelpwind-weight";
const ONCE_HEADER: &str = "kelpwind-once";
const LOAD_HEADER: &str = "kelpwind-load";

/// Result of reading a request from another node; the error is the code of the refusal.
pub type Result<T> = std::result::Result<T, Code>;

/// Sends a request to the gate at `addr` and returns the answer. A failed connection becomes a
/// refusal with the code of its outcome.
pub async fn send(pool: &Pool, addr: SocketAddr, call: &Call, reuse: Reuse) -> Answer {
    let Some(request) = to_request(call) else {
        return Answer::refusal(Code::BadRequest);
    };
    match pool.call_with(addr, request, call.deadline, reuse).await {
        Ok(answer) => {
            from_response(answer).unwrap_or_else(|| Answer::refusal(Code::ConnectionLost))
        }
        Err(e) => Answer::refusal(backend::call_error_code(&e)),
    }
}

fn to_request(call: &Call) -> Option<Request<Bytes>> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut headers = HeaderMap::new();
    headers.insert(REQUEST_HEADER, call.id.as_str().parse().ok()?);
    headers.insert(SERVICE_HEADER, call.service.as_str().parse().ok()?);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
    headers.insert(WEIGHT_HEADER, HeaderValue::from(call.weight));
    if let Some((key, slice)) = &call.key {
        headers.insert(KEY_HEADER, key.parse().ok()?);
        headers.insert(RANGE_HEADER, slice.range.as_str().parse().ok()?);
        headers.insert(SLICE_HEADER, HeaderValue::from(slice.slice.0));
    }
    if let Some(attempt) = &call.dedup {
        headers.insert(ONCE_HEADER, attempt.to_string().parse().ok()?);
    }
    if let Some(kind) = &call.content_type {
        headers.insert(header::CONTENT_TYPE, kind.clone());
    }
    let uri = format!("{GATE_PATH}{}", call.path);
    let request = Request::builder().method(call.method.clone()).uri(uri);
    let mut request = request.body(call.body.clone()).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Reads a request that another node's entry sent.
///
/// # Errors
/// [`Code::BadRequest`] if a header is missing or malformed or the body is incomplete.
pub async fn read(request: Request<Incoming>) -> Result<Call> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.as_str();
    let path = path.strip_prefix(GATE_PATH).ok_or(Code::BadRequest)?.to_owned();
    let headers = &parts.headers;
    let left = Duration::from_millis(parse(headers, DEADLINE_HEADER)?);
    let deadline = Instant::now() + left;
    let id = text(headers, REQUEST_HEADER)?.parse().map_err(|_| Code::BadRequest)?;
    let service = text(headers, SERVICE_HEADER)?.parse().map_err(|_| Code::BadRequest)?;
    let weight = parse(headers, WEIGHT_HEADER)?;
    let key = match headers.contains_key(KEY_HEADER) {
        true => Some(key(headers)?),
        false => None,
    };
    let once = match headers.contains_key(ONCE_HEADER) {
        true => Some(parse(headers, ONCE_HEADER)?),
        false => None,
    };
    let kind = headers.get(header::CONTENT_TYPE).cloned();
    let body = body.collect().await.map_err(|_| Code::BadRequest)?.to_bytes();
    Ok(Call {
        id,
        service,
        key,
        method: parts.method,
        path,
        content_type: kind,
        body,
        weight,
        dedup: once,
        deadline,
    })
}

fn key(headers: &HeaderMap) -> Result<(String, SliceRef)> {
    let key = text(headers, KEY_HEADER)?.to_owned();
    let range = text(headers, RANGE_HEADER)?.parse().map_err(|_| Code::BadRequest)?;
    let slice = parse(headers, SLICE_HEADER)?;
    Ok((key, SliceRef { range, slice }))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str> {
    let value = headers.get(name).ok_or(Code::BadRequest)?;
    value.to_str().map_err(|_| Code::BadRequest)
}

fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<T> {
    text(headers, name)?.parse().map_err(|_| Code::BadRequest)
}

/// Encodes an answer; answers to callers have the same form.
pub fn to_response(answer: Answer) -> Response<Bytes> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = http::StatusCode::from_u16(answer.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(answer.code.number()));
    if let Ok(outcome) = answer.code.outcome().to_string().parse() {
        headers.insert(kelpwind_wire::OUTCOME_HEADER, outcome);
    }
    if let Some(kind) = answer.content_type {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    if let Some(load) = answer.load.and_then(|l| l.to_string().parse().ok()) {
        headers.insert(LOAD_HEADER, load);
    }
    if let Some(retry) = answer.retry_after {
        headers.insert(RETRY_HEADER, HeaderValue::from(retry.as_millis() as u64));
        let seconds = retry.as_millis().div_ceil(1000) as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn from_response(response: Response<Bytes>) -> Option<Answer> {
    let headers = response.headers();
    let number: u16 = parse(headers, CODE_HEADER).ok()?;
    let retry: Option<u64> = parse(headers, RETRY_HEADER).ok();
    let kind = headers.get(header::CONTENT_TYPE).cloned();
    Some(Answer {
        code: Code::try_from(number).ok()?,
        status: response.status().as_u16(),
        content_type: kind,
        retry_after: retry.map(Duration::from_millis),
        load: parse(headers, LOAD_HEADER).ok(),
        body: response.into_body(),
    })
}
