//! The backend server as closures, so that another protocol can be put in place of HTTP.

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
use crate::lease::clock::Moment;
use crate::net::pool::{CallError, Pool};

/// Time after which a caller may come back when the backend server shed its request.
const SHED_RETRY: Duration = Duration::from_millis(200);

/// Longest time to tell a backend server of a renewed grant.
const GRANT_TIME: Duration = Duration::from_millis(200);

/// Under what a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token; 0 for services that are not divided by key.
    pub token: Token,
    /// When the lease ends, as it stands; none for services that are not divided by key.
    pub ends: Option<Moment>,
    /// When it is too late for an answer.
    pub until: Instant,
}

type SendFn = Box<dyn Fn(Call, Grant) -> BoxFuture<'static, Answer> + Send + Sync>;
type RenewFn = Box<dyn Fn(Moment) -> BoxFuture<'static, ()> + Send + Sync>;

/// A backend server.
pub struct Backend {
    /// Sends a request under a grant and says what became of it. Dropping the future cancels the
    /// work.
    pub send: SendFn,
    /// Tells a server that checks fences how long the lease now holds, so that it stops by itself
    /// what outlasts the lease.
    pub renew_grant: RenewFn,
}

/// The backend server at `addr`, spoken to in HTTP.
pub fn http(pool: Arc<Pool>, addr: SocketAddr) -> Backend {
    let renewing = pool.clone();
    Backend {
        send: Box::new(move |call, grant| send(pool.clone(), addr, call, grant).boxed()),
        renew_grant: Box::new(move |ends| renew(renewing.clone(), addr, ends).boxed()),
    }
}

async fn renew(pool: Arc<Pool>, addr: SocketAddr, ends: Moment) {
    let body = Bytes::from(ends.as_micros().to_string());
    if let Ok(request) = Request::post(GRANT_PATH).body(body) {
        // A renewal that is lost is made up for by the next one.
        let _ = pool.call(addr, request, Instant::now() + GRANT_TIME).await;
    }
}

async fn send(pool: Arc<Pool>, addr: SocketAddr, call: Call, grant: Grant) -> Answer {
    let Some(request) = request(call, grant) else {
        return Answer::refusal(Code::BadRequest);
    };
    match pool.call(addr, request, grant.until).await {
        Ok(answer) if answer.headers().contains_key(REFUSED_HEADER) => {
            Answer::refusal(Code::Shed).with_retry_after(SHED_RETRY)
        }
        // The server stopped the work at its deadline or for want of a grant.
        Ok(answer) if answer.status() == StatusCode::GATEWAY_TIMEOUT => {
            Answer::refusal(Code::Expired)
        }
        Ok(answer) => {
            let kind = answer.headers().get(header::CONTENT_TYPE).cloned();
            let status = answer.status().as_u16();
            let body = answer.into_body();
            Answer {
                code: Code::Done,
                status,
                content_type: kind,
                body,
                retry_after: None,
                load: None,
            }
        }
        Err(e) => Answer::refusal(call_error_code(&e)),
    }
}

fn request(call: Call, grant: Grant) -> Option<Request<Bytes>> {
    let left = grant.until.saturating_duration_since(Instant::now());
    let mut headers = HeaderMap::new();
    headers.insert(REQUEST_HEADER, call.id.as_str().parse().ok()?);
    headers.insert(DEADLINE_HEADER, left.as_millis().to_string().parse().ok()?);
    if let Some((key, _)) = &call.key {
        headers.insert(KEY_HEADER, key.parse().ok()?);
        headers.insert(TOKEN_HEADER, HeaderValue::from(grant.token.0));
    }
    if let Some(ends) = grant.ends {
        headers.insert(GRANT_HEADER, HeaderValue::from(ends.as_micros()));
    }
    if let Some(kind) = call.content_type {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    let mut request = Request::builder().method(call.method).uri(call.path).body(call.body).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// The result code for a call that brought no whole answer.
pub fn call_error_code(error: &CallError) -> Code {
    match error {
        e if e.is_unsent() => Code::Unreachable,
        CallError::Expired => Code::Expired,
        CallError::Truncated | CallError::TooLarge => Code::Truncated,
        _ => Code::ConnectionLost,
    }
}
