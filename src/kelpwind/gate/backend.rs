//! The client of the backend server, as a struct of closures so that HTTP can be replaced by
//! another protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use kelpwind_wire::{
    DEADLINE_HEADER, GRANT_HEADER, GRANT_PATH, KEY_HEADER, REFUSED_HEADER, REQUEST_HEADER,
    TOKEN_HEADER,
};

use crate::core::call::{Answer, Call};
use crate::core::codes::Code;
use crate::core::ids::Token;
use crate::lease::clock::BootInstant;
use crate::net::pool::{CallError, Pool};

/// Retry delay given to a caller whose request the backend server shed.
const SHED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout for sending a renewed grant to the backend server.
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);

/// Authority under which a request is sent to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token; 0 for services that are not divided by key.
    pub token: Token,
    /// Current end of the lease; none for services that are not divided by key.
    pub lease_end: Option<BootInstant>,
    /// Time after which an answer is of no use to the caller; the work is cancelled then.
    pub deadline: Instant,
}

type SendFn = Box<dyn Fn(Call, Grant) -> BoxFuture<'static, Answer> + Send + Sync>;
type RenewFn = Box<dyn Fn(BootInstant) -> BoxFuture<'static, ()> + Send + Sync>;

/// Client of one backend server.
pub struct Backend {
    /// Sends a request under a grant and returns its outcome. Dropping the future cancels the work.
    pub send: SendFn,
    /// Sends the new end of the lease to a server that checks fencing tokens, so that it stops work
    /// that outlasts the lease by itself.
    pub renew_grant: RenewFn,
}

/// Creates an HTTP client of the backend server at `addr`.
pub fn http(pool: Arc<Pool>, addr: SocketAddr) -> Backend {
    let renewal_pool = pool.clone();
    Backend {
        send: Box::new(move |call, grant| send(pool.clone(), addr, call, grant).boxed()),
        renew_grant: Box::new(move |lease_end| {
            renew_grant(renewal_pool.clone(), addr, lease_end).boxed()
        }),
    }
}

async fn renew_grant(pool: Arc<Pool>, addr: SocketAddr, lease_end: BootInstant) {
    let body = Bytes::from(lease_end.as_micros().to_string());
    if let Ok(request) = Request::post(GRANT_PATH).body(body) {
        // A lost renewal is made up for by the next one.
        let _ = pool.call(addr, request, Instant::now() + GRANT_TIMEOUT).await;
    }
}

async fn send(pool: Arc<Pool>, addr: SocketAddr, call: Call, grant: Grant) -> Answer {
    let Some(request) = build_request(call, grant) else {
        return Answer::refusal(Code::BadRequest);
    };
    match pool.call(addr, request, grant.deadline).await {
        Ok(answer) if answer.headers().contains_key(REFUSED_HEADER) => {
            Answer::refusal(Code::Shed).with_retry_after(SHED_RETRY_DELAY)
        }
        // The server stopped the work at its deadline or at the end of its grant.
        Ok(answer) if answer.status() == StatusCode::GATEWAY_TIMEOUT => {
            Answer::refusal(Code::Expired)
        }
        Ok(answer) => {
            let content_type = answer.headers().get(header::CONTENT_TYPE).cloned();
            let status = answer.status().as_u16();
            let body = answer.into_body();
            Answer { code: Code::Done, status, content_type, body, retry_after: None, load: None }
        }
        Err(e) => Answer::refusal(call_error_code(&e)),
    }
}

fn build_request(call: Call, grant: Grant) -> Option<Request<Bytes>> {
    let left = grant.deadline.saturating_duration_since(Instant::now());
    let mut headers = HeaderMap::new();
    headers.insert(REQUEST_HEADER, call.id.as_str().parse().ok()?);
    headers.insert(DEADLINE_HEADER, left.as_millis().to_string().parse().ok()?);
    if let Some((key, _)) = &call.key {
        headers.insert(KEY_HEADER, key.parse().ok()?);
        headers.insert(TOKEN_HEADER, HeaderValue::from(grant.token.0));
    }
    if let Some(lease_end) = grant.lease_end {
        headers.insert(GRANT_HEADER, HeaderValue::from(lease_end.as_micros()));
    }
    if let Some(content_type) = call.content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    let mut request = Request::builder().method(call.method).uri(call.path).body(call.body).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Result code for a call that ended without a complete answer.
pub fn call_error_code(error: &CallError) -> Code {
    match error {
        e if e.is_unsent() => Code::Unreachable,
        CallError::Expired => Code::Expired,
        CallError::Truncated | CallError::TooLarge => Code::Truncated,
        CallError::InvalidStatus => Code::InvalidStatus,
        _ => Code::ConnectionLost,
    }
}
