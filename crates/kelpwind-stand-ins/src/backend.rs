//! A backend server: slots, connections, cold start, drain, shedding, deadlines, cancellation,
//! freezing, straggling, and load reports that lag or lie. It records what it ran.

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

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks while the server is frozen.
const FREEZE_LOOK: Duration = Duration::from_millis(5);
/// Longest time between two looks at deadline and grant while a request runs.
const STEP: Duration = Duration::from_millis(10);
/// How much longer each request takes for each one that the server does not bear.
const OVERLOAD_FACTOR: u32 = 4;

/// What a backend server is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its service.
    pub service: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub conns: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Time it needs to be at full strength after a start.
    pub warmup: Duration,
    /// Operators' address of the node beside it, to which it announces itself.
    pub node: Option<SocketAddr>,
}

/// Faults and orders, as set over `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests make no progress.
    pub frozen: bool,
    /// Requests take this many times as long.
    pub straggle: u32,
    /// Says that it is draining.
    pub draining: bool,
    /// Refuses requests over its slots; otherwise it slows down under them.
    pub sheds: bool,
    /// Answers end before they are whole.
    pub truncate: bool,
    /// Load that it reports, whatever the truth.
    pub report: Option<u32>,
    /// Age of the load that it reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Set to turn cold once, without announcing it.
    pub chill: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            frozen: false,
            straggle: 1,
            draining: false,
            sheds: true,
            truncate: false,
            report: None,
            report_lag_ms: 0,
            chill: false,
        }
    }
}

/// What a backend server did, as `/history` shows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// All it ran.
    pub executions: Vec<Execution>,
    /// Requests it refused.
    pub refused: u64,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Requests that came while it bore no more.
    pub overruns: u64,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    history: History,
    running: u32,
    tokens: HashMap<String, u64>,
    cold: Instant,
    grant: u64,
    /// Load as it was last reported, and when that was.
    reported: (u32, Instant),
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    options: Arc<Options>,
    inner: Arc<Mutex<Inner>>,
}

/// Microseconds since the epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Microseconds of the host's clock that does not stop while the host sleeps.
fn boot_micros() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// One request that runs; records its end, also when it is cancelled.
struct Run {
    inner: Arc<Mutex<Inner>>,
    index: usize,
    completed: bool,
}

impl Drop for Run {
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

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

fn refusal(why: &str) -> Response {
    let mut response = json(503, &why);
    response.headers_mut().insert(REFUSED_HEADER, "1".parse().expect("a constant header value"));
    response
}

impl Backend {
    /// A backend server that has just started, cold.
    pub fn new(options: Options) -> Backend {
        let inner = Inner {
            faults: Faults::default(),
            history: History::default(),
            running: 0,
            tokens: HashMap::new(),
            cold: Instant::now(),
            grant: 0,
            reported: (0, Instant::now()),
        };
        Backend { options: Arc::new(options), inner: Arc::new(Mutex::new(inner)) }
    }

    /// Changes faults and orders.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        if faults.chill && !inner.faults.chill {
            inner.cold = Instant::now();
        }
        inner.faults = faults;
    }

    /// What it did.
    pub fn history(&self) -> History {
        self.inner.lock().history.clone()
    }

    /// Listens on `addr`, serves and announces itself as tasks; returns the address listened on.
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
                backend.take_grant(std::str::from_utf8(&until).ok().and_then(|u| u.parse().ok()));
                json(200, &())
            });
        let work = warp::method()
            .and(warp::path::full())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .and(with)
            .and_then(
                |_: Method, _, headers: HeaderMap, body: Bytes, backend: Backend| async move {
                    Ok::<_, Infallible>(backend.work(headers, body).await)
                },
            );
        let routes = history.or(load).unify().or(control).unify().or(grant).unify().or(work);
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
            let said = self.announcement(bound);
            let _ = crate::proxy::post(node, "/announce", &said).await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    fn announcement(&self, bound: SocketAddr) -> Announcement {
        let inner = self.inner.lock();
        let cold = !inner.faults.chill && inner.cold.elapsed() < self.options.warmup;
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

    async fn work(&self, headers: HeaderMap, body: Bytes) -> Response {
        let began = Instant::now();
        let (mut run, time) = match self.admit(&headers) {
            Ok(admitted) => admitted,
            Err(why) => return refusal(why),
        };
        let deadline: u64 = text(&headers, DEADLINE_HEADER).parse().unwrap_or(u64::MAX / 2);
        let deadline = began + Duration::from_millis(deadline);
        let fenced = self.options.fenced && headers.contains_key(GRANT_HEADER);
        while began.elapsed() < time || self.inner.lock().faults.frozen {
            if Instant::now() >= deadline {
                return json(504, &"deadline");
            }
            if fenced && self.has_lapsed() {
                return json(504, &"lapsed");
            }
            let left = time.saturating_sub(began.elapsed());
            let step = if left.is_zero() { FREEZE_LOOK } else { left.min(STEP) };
            tokio::time::sleep(step).await;
        }
        run.completed = true;
        drop(run);
        self.answer(&headers, &body)
    }

    fn take_grant(&self, until: Option<u64>) {
        let mut inner = self.inner.lock();
        inner.grant = inner.grant.max(until.unwrap_or(0));
    }

    fn has_lapsed(&self) -> bool {
        boot_micros() >= self.inner.lock().grant
    }

    fn admit(&self, headers: &HeaderMap) -> Result<(Run, Duration), &'static str> {
        let mut inner = self.inner.lock();
        let key = text(headers, KEY_HEADER);
        let token: u64 = text(headers, TOKEN_HEADER).parse().unwrap_or(0);
        if self.options.fenced && !key.is_empty() {
            inner.grant = inner.grant.max(text(headers, GRANT_HEADER).parse().unwrap_or(0));
            if boot_micros() >= inner.grant {
                inner.history.refused += 1;
                return Err("lapsed grant");
            }
            let newest = inner.tokens.entry(key.clone()).or_default();
            if token < *newest {
                inner.history.refused += 1;
                return Err("outdated token");
            }
            *newest = token;
        }
        let capacity = capacity(self.options.slots, inner.cold.elapsed(), self.options.warmup);
        let over = (inner.running + 1).saturating_sub(capacity);
        inner.history.overruns += u64::from(over > 0);
        if over > 0 && inner.faults.sheds {
            inner.history.refused += 1;
            return Err("no slot");
        }
        inner.running += 1;
        inner.history.peak = inner.history.peak.max(inner.running);
        let time =
            self.options.service_time * inner.faults.straggle.max(1) * (1 + over * OVERLOAD_FACTOR);
        let index = inner.history.executions.len();
        let request = text(headers, REQUEST_HEADER);
        let began = unix_micros();
        let execution = Execution { request, key, token, began, ended: 0, completed: false };
        inner.history.executions.push(execution);
        Ok((Run { inner: self.inner.clone(), index, completed: false }, time))
    }

    fn answer(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let said = BTreeMap::from([
            ("service", self.options.service.clone()),
            ("request", text(headers, REQUEST_HEADER)),
            ("key", text(headers, KEY_HEADER)),
            ("token", text(headers, TOKEN_HEADER)),
            ("body", String::from_utf8_lossy(body).into_owned()),
        ]);
        if self.inner.lock().faults.truncate {
            return truncated(&said);
        }
        json(200, &said)
    }
}

/// An answer that promises more bytes than it brings.
fn truncated(said: &BTreeMap<&str, String>) -> Response {
    let whole = serde_json::to_vec(said).unwrap_or_default();
    let length = whole.len();
    let half = Bytes::from(whole).slice(..length / 2);
    let cut = io::Error::from(io::ErrorKind::ConnectionReset);
    let body = warp::reply::stream(futures_util::stream::iter([Ok(half), Err(cut)]));
    warp::reply::with_header(body, "content-length", length).into_response()
}
