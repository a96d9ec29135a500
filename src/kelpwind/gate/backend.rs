//! The backend server as closures, so that another protocol can be put in place of HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request, header};
use kelpwind_platform::{
    DEADLINE_HEADER, KEY_HEADER, REFUSED_HEADER, REQUEST_HEADER, TOKEN_HEADER,
};

use crate::core::call::{Answer, Call};
use crate::core::codes::Code;
use crate::core::ids::Token;
use crate::net::pool::{CallError, Pool};

/// Time after which a caller may come back when the backend server shed its request.
const SHED_RETRY: Duration = Duration::from_millis(200);

type SendFn = Box<dyn Fn(Call, Token, Instant) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A backend server.
pub struct Backend {
    /// Sends a request under a fencing token, until the moment given, and says what became of it.
    /// Dropping the future cancels the work.
    pub send: SendFn,
}

/// The backend server at `addr`, spoken to in HTTP.
pub fn http(pool: Arc<Pool>, addr: SocketAddr) -> Backend {
    Backend {
        send: Box::new(move |call, token, until| {
            send(pool.clone(), addr, call, token, until).boxed()
        }),
    }
}

async fn send(
    pool: Arc<Pool>,
    addr: SocketAddr,
    call: Call,
    token: Token,
    until: Instant,
) -> Answer {
    let Some(request) = request(call, token, until) else {
        return Answer::refusal(Code::BadRequest);
    };
    match pool.call(addr, request, until).await {
        Ok(answer) if answer.headers().contains_key(REFUSED_HEADER) => {
            Answer::refusal(Code::Shed).retry_after(SHED_RETRY)
        }
        Ok(answer) => {
            let kind = answer.headers().get(header::CONTENT_TYPE).cloned();
            let status = answer.status().as_u16();
            let body = answer.into_body();
            Answer {
                code: Code::Done,
                status,
                kind,
                body,
                retry: None,
            }
        }
        Err(e) => Answer::refusal(code(&e)),
    }
}

fn request(call: Call, token: Token, until: Instant) -> Option<Request<Bytes>> {
    let left = until.saturating_duration_since(Instant::now());
    let mut headers = HeaderMap::new();
    headers.insert(REQUEST_HEADER, call.id.as_str().parse().ok()?);
    headers.insert(DEADLINE_HEADER, left.as_millis().to_string().parse().ok()?);
    if let Some((key, _)) = &call.key {
        headers.insert(KEY_HEADER, key.parse().ok()?);
        headers.insert(TOKEN_HEADER, token.to_string().parse().ok()?);
    }
    if let Some(kind) = call.kind {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .body(call.body)
        .ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// The result code for a call that brought no whole answer.
pub fn code(error: &CallError) -> Code {
    match error {
        e if e.is_unsent() => Code::Unreachable,
        CallError::Expired => Code::Expired,
        CallError::Truncated | CallError::TooLarge => Code::Truncated,
        _ => Code::Lost,
    }
}
