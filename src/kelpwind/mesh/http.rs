//! The node's HTTP listeners: callers, readiness, reports of the backend server, metrics.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::platform_api::{Answer, CallerRequest};
use super::request_state::Failure;
use crate::core::codes::{Code, Outcome};
use crate::core::routes::Limits;

/// Header of a failure of the node's own: the numbered result code.
const CODE_HEADER: HeaderName = HeaderName::from_static("kelpwind-code");
/// Least space for a request's head that the HTTP library works with, in bytes.
const HEAD_MIN: usize = 8 << 10;
/// Largest report that is read, in bytes.
const REPORT_MAX: usize = 64 << 10;
/// Longest time for a request's body to come when the caller states no limit.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Reply = Response<Full<Bytes>>;

/// Serves connections until `closed` turns true; those with a request under way end with it.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    node: Rc<Node>,
    closed: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        let mut ending = closed.clone();
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_true(&mut ending) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(stream, node.clone(), closed.clone(), handle.clone());
                tokio::task::spawn_local(connection);
            }
            Err(e) => {
                spdlog::warn!("failed to accept a connection: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns when the flag turns true; never when nobody can turn it any more.
async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|f| *f).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    node: Rc<Node>,
    mut closed: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("a connection keeps its delay: {e}");
    }
    let limits = node.routes().map_or(Limits::default(), |r| r.limits);
    let service = service_fn(move |request| {
        let node = node.clone();
        let reply = handle(node.clone(), request);
        async move {
            let mut reply = reply.await;
            if node.is_stopping() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    // The library counts idle time as time in which the next head is due.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(HEAD_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_true(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        spdlog::debug!("a connection ended with an error: {e}");
    }
}

/// Counts a caller's request while it is under way.
struct Inflight(Rc<Node>);

impl Inflight {
    fn of(node: &Rc<Node>) -> Inflight {
        node.inflight.set(node.inflight.get() + 1);
        Inflight(node.clone())
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}

/// A caller's request.
pub(crate) async fn handle_call(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let _inflight = Inflight::of(&node);
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let mut call = match (node.platform.decode_request)(&parts) {
        Ok(call) => call,
        Err(code) => return failure_reply(Failure { code, retry_after: None }),
    };
    let limit = node.routes().map_or(Limits::default(), |r| r.limits).body_bytes;
    let within = call.remaining.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    match timeout(within, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => call.request.body = body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            return failure_reply(Failure { code: Code::BodyTooLarge, retry_after: None });
        }
        Ok(Err(e)) => {
            spdlog::debug!("a caller's body broke off: {e}");
            return failure_reply(Failure { code: Code::BadRequest, retry_after: None });
        }
        Err(_) => return failure_reply(Failure { code: Code::DeadlinePast, retry_after: None }),
    }
    call.remaining = call.remaining.map(|left| left.saturating_sub(arrived.elapsed()));
    answer(&node, call).await
}

async fn answer(node: &Rc<Node>, call: CallerRequest) -> Reply {
    let echo = call.echo.clone();
    match node.route(call).await {
        Ok(answer) => to_reply(answer),
        Err(failure) => {
            let mut reply = failure_reply(failure);
            add_headers(&mut reply, echo);
            reply
        }
    }
}

fn to_reply(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        spdlog::warn!("a backend server answered with the status {}", answer.status);
        return failure_reply(Failure { code: Code::Truncated, retry_after: None });
    };
    *reply.status_mut() = status;
    add_headers(&mut reply, answer.headers);
    reply
}

fn add_headers(reply: &mut Reply, headers: Vec<(String, Bytes)>) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            reply.headers_mut().append(name, value);
        }
    }
}

/// The answer to a caller whose request has failed.
pub(crate) fn failure_reply(failure: Failure) -> Reply {
    let text = format!("{}\n", failure.code);
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let status = match (failure.code.outcome(), failure.retry_after) {
        // Only these statuses promise that the request has not run.
        (Outcome::NotRun, Some(_)) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::BAD_GATEWAY),
    };
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(failure.code.number()));
    if let Some(retry) = failure.retry_after {
        let secs = format!("{:.3}", retry.as_secs_f64());
        match HeaderValue::from_str(&secs) {
            Ok(secs) => drop(headers.insert(RETRY_AFTER, secs)),
            Err(e) => spdlog::error!("'{secs}' is no header value: {e}"),
        }
    }
    reply
}

/// Whether the node is ready: it has a configuration and the table, and is not stopping.
pub(crate) async fn check_ready(node: Rc<Node>, _request: Request<Incoming>) -> Reply {
    let known = node.routes().is_some() && node.table_offset.borrow().is_some();
    let mut reply = Response::new(Full::default());
    if !known || node.is_stopping() {
        *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    reply
}

/// A call of the backend server.
pub(crate) async fn receive_report(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, REPORT_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            spdlog::warn!("a report could not be read: {e}");
            return failure_reply(Failure { code: Code::BadRequest, retry_after: None });
        }
    };
    let message = match (node.platform.decode_report)(&parts.method, parts.uri.path(), &body) {
        Ok(message) => message,
        Err(e) => {
            spdlog::warn!("a report could not be read: {e}");
            return failure_reply(Failure { code: Code::BadValue, retry_after: None });
        }
    };
    node.handle_message(message);
    Response::new(Full::new(Bytes::from_static(b"{}")))
}

/// The metrics.
pub(crate) async fn serve_metrics(node: Rc<Node>, _request: Request<Incoming>) -> Reply {
    Response::new(Full::new(Bytes::from(node.encode_metrics())))
}
