//! A backend server with slots, a connection limit, a cold start, draining, load shedding,
//! deadlines and cancellation. Faults: frozen and slow requests, truncated responses, and load
//! reports that are stale or wrong. It records every execution for the checks of tests.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Method};
use kelpwind_wire::{
    Announcement, DEADLINE_HEADER, Execution, GRANT_HEADER, KEY_HEADER, LoadReport, REFUSED_HEADER,
    REQUEST_HEADER, TOKEN_HEADER,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::cold_start::capacity;
use crate::server::{json, serve_limited};

/// Interval at which the server announces itself to its node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a request checks whether the server is still frozen.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum interval at which a running request checks its deadline and its grant.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Each request beyond the server's capacity adds this many times the service time to a new
/// request.
const OVERLOAD_FACTOR: u32 = 4;

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Service whose requests it handles.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub conns: u32,
    /// Processing time of a request.
    pub service_time: Duration,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Time from a start to full capacity.
    pub warmup: Duration,
    /// Operators' address of the node beside it, to which it announces itself; `None` for none.
    pub node: Option<SocketAddr>,
}

/// Faults and operating modes of a backend server, set over `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests make no progress; they end only at their deadline or when their grant expires.
    pub frozen: bool,
    /// Factor by which the processing time of a request grows; 0 counts as 1.
    #[serde(rename = "straggle")]
    pub slowdown: u32,
    /// Announces that it is draining.
    pub draining: bool,
    /// Refuses requests beyond its capacity; if false, it runs them and slows down.
    pub sheds: bool,
    /// Truncates every response body.
    pub truncate: bool,
    /// Goes on with a request whose connection was closed.
    pub ignores_disconnects: bool,
    /// Number of running requests that it reports instead of the real one.
    pub report: Option<u32>,
    /// Time for which a load report is repeated before it is updated, in milliseconds.
    pub report_lag_ms: u64,
    /// Restarts the warm-up when it changes from false to true, without announcing a cold start.
    #[serde(rename = "chill")]
    pub reset_warmup: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            frozen: false,
            slowdown: 1,
            draining: false,
            sheds: true,
            truncate: false,
            ignores_disconnects: false,
            report: None,
            report_lag_ms: 0,
            reset_warmup: false,
        }
    }
}

/// Executions and counters of a backend server, as served at `/history`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Executions in order of their start.
    pub executions: Vec<Execution>,
    /// Number of requests refused.
    pub refused: u64,
    /// Maximum number of requests that ran at the same time.
    pub peak: u32,
    /// Number of requests that arrived while the server was at capacity.
    pub overruns: u64,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    history: History,
    running: u32,
    /// Newest fencing token seen of each key.
    newest_tokens: HashMap<String, u64>,
    /// Start of the current warm-up.
    cold_since: Instant,
    /// Latest expiry of the node's grant, in microseconds of the boot clock.
    grant_until: u64,
    /// Last reported load and when it was updated.
    reported: (u32, Instant),
}

/// A backend server; clones share one state.
#[derive(Clone, Debug)]
pub struct Backend {
    options: Arc<Options>,
    inner: Arc<Mutex<Inner>>,
}

/// Current time in microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Current time in microseconds of `CLOCK_BOOTTIME`, which also advances while the host is
/// suspended.
fn boot_micros() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// A running request. Dropping it records the end of the execution, also on cancellation.
struct RunningRequest {
    inner: Arc<Mutex<Inner>>,
    index: usize,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        let completed = self.completed;
        if let Some(execution) = inner.history.executions.get_mut(self.index) {
            execution.ended = unix_micros();
            execution.completed = completed;
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

/// A 503 response marked as a refusal before the request ran.
fn refusal(reason: &str) -> Response {
    let mut response = json(503, &reason);
    response.headers_mut().insert(REFUSED_HEADER, "1".parse().expect("a constant header value"));
    response
}

impl Backend {
    /// Creates a server at the beginning of its warm-up.
    pub fn new(options: Options) -> Backend {
        let inner = Inner {
            faults: Faults::default(),
            history: History::default(),
            running: 0,
            newest_tokens: HashMap::new(),
            cold_since: Instant::now(),
            grant_until: 0,
            reported: (0, Instant::now()),
        };
        Backend { options: Arc::new(options), inner: Arc::new(Mutex::new(inner)) }
    }

    /// Sets the faults and operating modes.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        if faults.reset_warmup && !inner.faults.reset_warmup {
            inner.cold_since = Instant::now();
        }
        inner.faults = faults;
    }

    /// A copy of the executions and counters so far.
    pub fn history(&self) -> History {
        self.inner.lock().history.clone()
    }

    /// Listens on `addr`, serves and announces itself in tasks, and returns the bound address.
    pub async fn start(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let backend = self.clone();
        let with = warp::any().map(move || backend.clone());
        let history = warp::get()
            .and(warp::path!("history"))
            .and(with.clone())
            .map(|backend: Backend| json(200, &backend.history()));
        let load = warp::get()
            .and(warp::path!("load"))
            .and(with.clone())
            .map(|backend: Backend| json(200, &backend.load()));
        let control =
            warp::post().and(warp::path!("control")).and(warp::body::json()).and(with.clone()).map(
                |faults: Faults, backend: Backend| {
                    backend.set_faults(faults);
                    json(200, &())
                },
            );
        let grant = warp::post()
            .and(warp::path!("grant"))
            .and(warp::body::bytes())
            .and(with.clone())
            .map(|until: Bytes, backend: Backend| {
                backend.extend_grant(std::str::from_utf8(&until).ok().and_then(|u| u.parse().ok()));
                json(200, &())
            });
        let request = warp::method()
            .and(warp::path::full())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .and(with)
            .and_then(
                |_: Method, _, headers: HeaderMap, body: Bytes, backend: Backend| async move {
                    Ok::<_, Infallible>(backend.handle_or_detach(headers, body).await)
                },
            );
        let routes = history.or(load).unify().or(control).unify().or(grant).unify().or(request);
        let bound = serve_limited(addr, routes, self.options.conns as usize).await?;
        if let Some(node) = self.options.node {
            tokio::spawn(self.clone().announce(node, bound));
        }
        Ok(bound)
    }

    fn load(&self) -> LoadReport {
        let mut inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.report_lag_ms);
        if inner.reported.1.elapsed() >= lag {
            inner.reported = (inner.running, Instant::now());
        }
        let running = inner.faults.report.unwrap_or(inner.reported.0);
        LoadReport { running, slots: self.options.slots }
    }

    async fn announce(self, node: SocketAddr, bound: SocketAddr) {
        loop {
            let announcement = self.announcement(bound);
            let _ = crate::proxy::post(node, "/announce", &announcement).await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    fn announcement(&self, bound: SocketAddr) -> Announcement {
        let inner = self.inner.lock();
        let cold = !inner.faults.reset_warmup && inner.cold_since.elapsed() < self.options.warmup;
        Announcement {
            service: self.options.service.clone(),
            addr: bound.to_string(),
            slots: self.options.slots,
            conns: self.options.conns,
            fenced: self.options.fenced,
            cold,
            draining: inner.faults.draining,
        }
    }

    async fn handle_or_detach(self, headers: HeaderMap, body: Bytes) -> Response {
        if !self.inner.lock().faults.ignores_disconnects {
            return self.handle(headers, body).await;
        }
        // A task goes on when the future that waits for it is dropped.
        let task = tokio::spawn(async move { self.handle(headers, body).await });
        task.await.unwrap_or_else(|e| json(500, &e.to_string()))
    }

    async fn handle(&self, headers: HeaderMap, body: Bytes) -> Response {
        let began = Instant::now();
        let (mut request, time) = match self.admit(&headers) {
            Ok(admitted) => admitted,
            Err(reason) => return refusal(reason),
        };
        let deadline: u64 = header_text(&headers, DEADLINE_HEADER).parse().unwrap_or(u64::MAX / 2);
        let deadline = began + Duration::from_millis(deadline);
        let fenced = self.options.fenced && headers.contains_key(GRANT_HEADER);
        while began.elapsed() < time || self.inner.lock().faults.frozen {
            if Instant::now() >= deadline {
                return json(504, &"deadline");
            }
            if fenced && self.has_expired_grant() {
                return json(504, &"lapsed");
            }
            let left = time.saturating_sub(began.elapsed());
            let step = if left.is_zero() { FREEZE_POLL_INTERVAL } else { left.min(CHECK_INTERVAL) };
            tokio::time::sleep(step).await;
        }
        request.completed = true;
        drop(request);
        self.respond(&headers, &body)
    }

    fn extend_grant(&self, until: Option<u64>) {
        let mut inner = self.inner.lock();
        inner.grant_until = inner.grant_until.max(until.unwrap_or(0));
    }

    fn has_expired_grant(&self) -> bool {
        boot_micros() >= self.inner.lock().grant_until
    }

    /// Checks the grant, the fencing token and the capacity, and records the start of the
    /// execution. Returns the running request and its processing time.
    fn admit(&self, headers: &HeaderMap) -> Result<(RunningRequest, Duration), &'static str> {
        let mut inner = self.inner.lock();
        let key = header_text(headers, KEY_HEADER);
        let token: u64 = header_text(headers, TOKEN_HEADER).parse().unwrap_or(0);
        if self.options.fenced && !key.is_empty() {
            inner.grant_until =
                inner.grant_until.max(header_text(headers, GRANT_HEADER).parse().unwrap_or(0));
            if boot_micros() >= inner.grant_until {
                inner.history.refused += 1;
                return Err("lapsed grant");
            }
            let newest = inner.newest_tokens.entry(key.clone()).or_default();
            if token < *newest {
                inner.history.refused += 1;
                return Err("outdated token");
            }
            *newest = token;
        }
        let capacity =
            capacity(self.options.slots, inner.cold_since.elapsed(), self.options.warmup);
        let over = (inner.running + 1).saturating_sub(capacity);
        inner.history.overruns += u64::from(over > 0);
        if over > 0 && inner.faults.sheds {
            inner.history.refused += 1;
            return Err("no slot");
        }
        inner.running += 1;
        inner.history.peak = inner.history.peak.max(inner.running);
        let time =
            self.options.service_time * inner.faults.slowdown.max(1) * (1 + over * OVERLOAD_FACTOR);
        let index = inner.history.executions.len();
        let request = header_text(headers, REQUEST_HEADER);
        let began = unix_micros();
        let execution = Execution { request, key, token, began, ended: 0, completed: false };
        inner.history.executions.push(execution);
        Ok((RunningRequest { inner: self.inner.clone(), index, completed: false }, time))
    }

    /// A response that echoes the request's headers and body, so that tests can tell whose it is.
    fn respond(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let echo = BTreeMap::from([
            ("service", self.options.service.clone()),
            ("request", header_text(headers, REQUEST_HEADER)),
            ("key", header_text(headers, KEY_HEADER)),
            ("token", header_text(headers, TOKEN_HEADER)),
            ("body", String::from_utf8_lossy(body).into_owned()),
        ]);
        if self.inner.lock().faults.truncate {
            return truncated(&echo);
        }
        json(200, &echo)
    }
}

/// A response that ends after half of the bytes that its `content-length` declares.
fn truncated(echo: &BTreeMap<&str, String>) -> Response {
    let body = serde_json::to_vec(echo).unwrap_or_default();
    let length = body.len();
    let half = Bytes::from(body).slice(..length / 2);
    let reset = io::Error::from(io::ErrorKind::ConnectionReset);
    let body = warp::reply::stream(futures_util::stream::iter([Ok(half), Err(reset)]));
    warp::reply::with_header(body, "content-length", length).into_response()
}
