//! The node's HTTP servers: callers' requests, readiness checks, reports of the backend server, and
//! metrics.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::connection::{self, Activity};
use super::gate::MEMORY_RETRY_AFTER;
use super::node::Node;
use super::orders::Confirmation;
use super::platform_api::{Answer, CallerRequest};
use super::request_body::{self, BodyError};
use super::request_state::{Failure, not_run};
use crate::core::codes::{Code, Outcome};
use crate::core::ids::Revision;
use crate::core::routes::Limits;

/// Header with the numbered result code of a failure that the node itself reports.
const CODE_HEADER: HeaderName = HeaderName::from_static("kelpwind-code");
/// Largest report of a backend server that is accepted.
const REPORT_BYTES_MAX: usize = 64 << 10;
/// Longest time to read a report's body: its sender waits 1 s for the answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to read a request's body, also when the caller states a longer timeout or none.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which connections may be idle at least while the configuration may be outdated.
const OUTDATED_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest body that is read before the API key of its request is checked.
const UNKEYED_BODY_MAX: u64 = 64 << 10;
/// Pause after a failed accept, which prevents a busy loop while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(super) type Reply = Response<Full<Bytes>>;

/// Serves connections until `closed` becomes true. Then idle connections close at once, and others
/// after their current request or the one that is about to arrive.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    node: Rc<Node>,
    closed: watch::Receiver<bool>,
    clients: Clients,
    handle: H,
) where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        let mut ending = closed.clone();
        let closing = async {
            wait_until_true(&mut ending).await;
            // Lets the listener see connections that clients have opened, which it accepts first.
            yield_now().await;
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = match clients {
                    Clients::Callers => node.admit_connection().map(Some),
                    Clients::Others => Some(None),
                };
                let connection = admitted.map(|hold| {
                    let activity = Rc::new(Activity::new(node.clone(), clients, hold));
                    connection::serve(stream, activity, closed.clone(), handle.clone())
                });
                if clients == Clients::Callers {
                    // Lets connections end that were closed for this one. Otherwise, the file
                    // descriptors could run out while many clients connect at once.
                    yield_now().await;
                }
                connection.map(tokio::task::spawn_local);
            }
            Err(e) => {
                spdlog::warn!("failed to accept a connection: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Who uses a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Clients {
    /// Callers, which are not trusted: their connections are limited and counted.
    Callers,
    /// The platform, the backend server and operators.
    Others,
}

impl Clients {
    /// The limits in force on their requests and connections.
    pub fn limits(self, node: &Node) -> Limits {
        match self {
            Clients::Callers => caller_limits(node),
            Clients::Others => Limits::default(),
        }
    }
}

/// Limits of callers' requests and connections. While there may be a configuration that this node
/// has not read, connections may be idle for longer than the last one says.
fn caller_limits(node: &Node) -> Limits {
    let known = node.routes().map(|r| r.limits);
    let orders = *node.orders.borrow();
    let behind = orders.next < orders.freshness.end();
    let outdated = known.is_none() || orders.failing || orders.skipped || behind;
    let mut limits = known.unwrap_or_default();
    if outdated {
        limits.idle_timeout = limits.idle_timeout.max(OUTDATED_IDLE_TIMEOUT);
    }
    limits
}

/// Returns when the flag becomes true. Never returns once the sender is gone.
pub(super) async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|f| *f).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Counts a caller's request as in progress until dropped.
struct Inflight(Rc<Node>);

impl Inflight {
    fn start(node: &Rc<Node>) -> Inflight {
        node.inflight.set(node.inflight.get() + 1);
        Inflight(node.clone())
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}

/// Handles a caller's request.
pub(crate) async fn handle_call(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let _inflight = Inflight::start(&node);
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get().and_then(|id| node.caller(*id));
    let Some(activity) = connection else {
        spdlog::error!("a request came over a connection that is not known");
        return failure_reply(Failure { code: Code::Internal, retry_after: None });
    };
    let mut call = match (node.platform.decode_request)(&parts) {
        Ok(call) => call,
        Err(code) => {
            node.metrics.count_unrouted(code);
            return failure_reply(Failure { code, retry_after: None });
        }
    };
    if let Err(failure) = check_head(&node, &call, arrived).await {
        return reject_unrouted(&node, &call, failure);
    }
    if !node.has_room_to_run() {
        let failure = memory_full(&call);
        return reject_unrouted(&node, &call, failure);
    }
    // A request without a valid key must not take memory for a large body.
    let small = body.size_hint().upper().is_some_and(|size| size <= UNKEYED_BODY_MAX);
    if !small && let Err(failure) = node.check_key(&call, arrived).await {
        return reject_unrouted(&node, &call, failure);
    }
    let routes = node.routes();
    let limit = routes.as_ref().map_or(Limits::default(), |r| r.limits).body_bytes;
    let within = call.remaining.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let read = timeout(within, request_body::read(&node, &activity, body, limit)).await;
    // What has arrived of a body that was not read is given up.
    activity.body.take();
    // The memory of the body is held until the request has its answer.
    let _held;
    match read {
        Ok(Ok((body, hold))) => {
            call.request.body = body;
            _held = hold;
        }
        Ok(Err(BodyError::NoRoom)) => {
            let failure = memory_full(&call);
            return reject_unrouted(&node, &call, failure);
        }
        Ok(Err(BodyError::TooLarge)) => {
            let version = routes.map_or_else(Revision::default, |r| r.version);
            let failure = match node.confirm_config(version, arrived, &call).await {
                Confirmation::Newest => Failure { code: Code::BodyTooLarge, retry_after: None },
                // The body has been discarded, so the caller must send it again.
                Confirmation::Replaced | Confirmation::Unknown => node.stale_config(&call),
            };
            return reject_unrouted(&node, &call, failure);
        }
        Ok(Err(BodyError::Broken(e))) => {
            spdlog::debug!("failed to read the body of a caller's request: {e}");
            let failure = Failure { code: Code::BadRequest, retry_after: None };
            return reject_unrouted(&node, &call, failure);
        }
        Err(_) => {
            // Nothing was sent on, so with sharing the caller is told that the request has not run.
            let retry_after = node.queue.borrow().is_sharing().then_some(Duration::ZERO);
            let failure = Failure { code: Code::DeadlinePast, retry_after };
            return reject_unrouted(&node, &call, failure);
        }
    }
    call.remaining = call.remaining.map(|left| left.saturating_sub(arrived.elapsed()));
    answer(&node, call).await
}

/// The failure of a request for which the node has no memory.
fn memory_full(call: &CallerRequest) -> Failure {
    not_run(Code::MemoryFull, MEMORY_RETRY_AFTER, call.remaining, fastrand::f64())
}

/// Compares the size of a request's head with the limit of the newest configuration. Without a
/// configuration there is no limit, and the request is refused later.
async fn check_head(node: &Node, call: &CallerRequest, arrived: Instant) -> Result<(), Failure> {
    while let Some(routes) = node.routes().filter(|r| call.head_bytes > r.limits.head_bytes) {
        match node.confirm_config(routes.version, arrived, call).await {
            Confirmation::Newest => {
                return Err(Failure { code: Code::HeadTooLarge, retry_after: None });
            }
            Confirmation::Replaced => {}
            Confirmation::Unknown => return Err(node.stale_config(call)),
        }
    }
    Ok(())
}

fn reject_unrouted(node: &Node, call: &CallerRequest, failure: Failure) -> Reply {
    node.record_unrouted(call, failure);
    failure_reply(failure)
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
        spdlog::warn!("a backend server answered with the invalid status {}", answer.status);
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

/// Builds the reply to a request that has failed.
pub(crate) fn failure_reply(failure: Failure) -> Reply {
    let text = format!("{}\n", failure.code);
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let status = match (failure.code.outcome(), failure.retry_after) {
        // 503 promises that the request has not run, and lets the caller retry.
        (Outcome::NotRun, Some(_)) if failure.code != Code::QuotaExceeded => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        _ => StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::BAD_GATEWAY),
    };
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(failure.code.number()));
    if failure.code == Code::MemoryFull {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(retry) = failure.retry_after {
        let secs = format!("{:.3}", retry.as_secs_f64());
        match HeaderValue::from_str(&secs) {
            Ok(secs) => drop(headers.insert(RETRY_AFTER, secs)),
            Err(e) => spdlog::error!("invalid value '{secs}' of the header retry-after: {e}"),
        }
    }
    reply
}

/// Handles a readiness check. The node is ready when it has a configuration and the table, and is
/// not stopping.
pub(crate) async fn check_ready(node: Rc<Node>, _request: Request<Incoming>) -> Reply {
    let known = node.routes().is_some() && node.table_position.borrow().is_some();
    let mut reply = Response::new(Full::default());
    if !known || node.is_stopping() {
        *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    reply
}

/// Handles a report of the backend server.
pub(crate) async fn receive_report(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, REPORT_BYTES_MAX).collect();
    let body = match timeout(REPORT_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            spdlog::warn!("failed to read the body of a backend server's report: {e}");
            return failure_reply(Failure { code: Code::BadRequest, retry_after: None });
        }
        Err(_) => {
            spdlog::warn!("the body of a backend server's report did not arrive in time");
            return failure_reply(Failure { code: Code::DeadlinePast, retry_after: None });
        }
    };
    let message = match (node.platform.decode_report)(&parts.method, parts.uri.path(), &body) {
        Ok(message) => message,
        Err(e) => {
            spdlog::warn!("failed to decode a backend server's report: {e}");
            return failure_reply(Failure { code: Code::BadValue, retry_after: None });
        }
    };
    let conn = parts.extensions.get().copied().unwrap_or_else(|| node.next_connection());
    let assignment = node.handle_message(message, conn).await;
    Response::new(Full::new((node.platform.encode_report_answer)(assignment.as_ref())))
}

/// Handles a request for the metrics.
pub(crate) async fn serve_metrics(node: Rc<Node>, _request: Request<Incoming>) -> Reply {
    Response::new(Full::new(Bytes::from(node.encode_metrics())))
}
